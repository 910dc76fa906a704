// Counts of executions by request id, idempotency key and content.
#include "standins/common/executions.h"

#include <absl/strings/str_format.h>

#include "mangovalve/base/id.h"

namespace mangovalve::standins {
namespace {

// A test run stays far below this; past it new names are not counted.
constexpr std::size_t kMaxNames = 1000000;

auto Increment(std::map<std::string, std::uint64_t>& aCounts,
               const std::string& aName) -> void
{
  if (!aName.empty() && (aCounts.size() < kMaxNames || aCounts.count(aName))) {
    ++aCounts[aName];
  }
}

} // namespace

auto Executions::Count(const std::string& aId,
                       const std::string& aIdempotencyKey,
                       const std::string& aContent) -> void
{
  const absl::MutexLock lock(&mMutex);
  ++mTotal;
  Increment(mById, aId);
  Increment(mByKey, aIdempotencyKey);
  if (!aContent.empty()) {
    Increment(mByContent, ContentDigest(aContent));
  }
}

auto Executions::CountCompleted(const std::string& aId) -> void
{
  const absl::MutexLock lock(&mMutex);
  ++mCompletedTotal;
  Increment(mCompletedById, aId);
}

auto Executions::Render() const -> nlohmann::json
{
  const absl::MutexLock lock(&mMutex);
  return { { "total", mTotal },  { "completed_total", mCompletedTotal },
           { "by_id", mById },   { "completed_by_id", mCompletedById },
           { "by_key", mByKey }, { "by_content", mByContent } };
}

auto ContentDigest(const std::string& aContent) -> std::string
{
  return absl::StrFormat("%016x", StableHash(aContent));
}

} // namespace mangovalve::standins
