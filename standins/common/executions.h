// Counts of executions, so that tests can tell lost and repeated work from the
// endpoint's side.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

namespace mangovalve::standins {

// Executions by request id, idempotency key and content. Thread-safe.
class Executions
{
public:
  // Counts one execution; empty names are not counted.
  auto Count(const std::string& aId,
             const std::string& aIdempotencyKey,
             const std::string& aContent) -> void;
  // Counts an execution, by request id, that ran to its end.
  auto CountCompleted(const std::string& aId) -> void;

  // {"total","completed_total","by_id":{ID:n},"completed_by_id":{ID:n},
  // "by_key":{KEY:n},"by_content":{DIGEST:n}}. The digest of a content is the
  // 16 hexadecimal digits of ContentDigest.
  auto Render() const -> nlohmann::json;

private:
  mutable absl::Mutex mMutex;
  std::uint64_t mTotal ABSL_GUARDED_BY(mMutex) = 0;
  std::uint64_t mCompletedTotal ABSL_GUARDED_BY(mMutex) = 0;
  std::map<std::string, std::uint64_t> mById ABSL_GUARDED_BY(mMutex);
  std::map<std::string, std::uint64_t> mCompletedById ABSL_GUARDED_BY(mMutex);
  std::map<std::string, std::uint64_t> mByKey ABSL_GUARDED_BY(mMutex);
  std::map<std::string, std::uint64_t> mByContent ABSL_GUARDED_BY(mMutex);
};

// Stable digest of a prompt or body, 16 hexadecimal digits.
auto ContentDigest(const std::string& aContent) -> std::string;

} // namespace mangovalve::standins
