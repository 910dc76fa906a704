// Parsing and matching of the stand-ins' faults.
#include "standins/common/faults.h"

#include <map>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace mangovalve::standins {
namespace {

struct KindEntry
{
  FaultKind mKind;
  int mStatus;
};

auto Kinds() -> const std::map<std::string, KindEntry>&
{
  static const auto* const sKinds = new std::map<std::string, KindEntry>{
    { "late", { FaultKind::Late, 0 } },
    { "slow", { FaultKind::Slow, 0 } },
    { "error", { FaultKind::Error, 500 } },
    { "outage", { FaultKind::Error, 503 } },
    { "over_budget", { FaultKind::Error, 429 } },
    { "lost_before", { FaultKind::LostBefore, 0 } },
    { "lost_after", { FaultKind::LostAfter, 0 } },
    { "crossed", { FaultKind::Crossed, 0 } },
    { "cut", { FaultKind::Cut, 0 } },
    { "silent", { FaultKind::Silent, 0 } },
    { "leaving", { FaultKind::Leaving, 503 } },
  };
  return *sKinds;
}

auto Places() -> const std::map<std::string, FaultPlace>&
{
  static const auto* const sPlaces = new std::map<std::string, FaultPlace>{
    { "", FaultPlace::Unset },
    { "length", FaultPlace::Length },
    { "chunk", FaultPlace::Chunk },
    { "done", FaultPlace::Done },
    { "unframed", FaultPlace::Unframed },
    { "first_byte", FaultPlace::FirstByte },
    { "stream", FaultPlace::Stream },
    { "old_connections", FaultPlace::OldConnections },
  };
  return *sPlaces;
}

auto Matches(const Fault& aFault, const FaultQuery& aQuery) -> bool
{
  if (aFault.mCount == 0 || aFault.mKind == FaultKind::Leaving) {
    return false;
  }
  if (aFault.mPlace == FaultPlace::OldConnections &&
      aQuery.mConnectedAt >= aFault.mSetAt) {
    return false;
  }
  return (aFault.mMethod.empty() || aFault.mMethod == aQuery.mMethod) &&
         absl::StartsWith(aQuery.mPath, aFault.mPath);
}

} // namespace

auto ParseFault(const nlohmann::json& aJson, TimePoint aNow)
  -> Result<Fault, std::string>
{
  if (!aJson.is_object()) {
    return Err(std::string("a fault is a JSON object"));
  }
  try {
    Fault fault;
    const auto name = aJson.value("kind", std::string());
    const auto kind = Kinds().find(name);
    if (kind == Kinds().end()) {
      return Err(absl::StrCat("kind: unknown fault \"", name, "\""));
    }
    const auto where = aJson.value("where", std::string());
    const auto place = Places().find(where);
    if (place == Places().end()) {
      return Err(absl::StrCat("where: unknown place \"", where, "\""));
    }
    fault.mKind = kind->second.mKind;
    fault.mPlace = place->second;
    fault.mStatus = aJson.value("status", kind->second.mStatus);
    fault.mPath = aJson.value("path", fault.mPath);
    fault.mMethod = aJson.value("method", fault.mMethod);
    fault.mDelay = std::chrono::milliseconds(aJson.value("delay_ms", 0));
    fault.mCount = aJson.value("count", fault.mCount);
    fault.mProbability = aJson.value("probability", fault.mProbability);
    fault.mAfter = aJson.value("after", fault.mAfter);
    fault.mSetAt = aNow;
    return fault;
  } catch (const nlohmann::json::exception& error) {
    return Err(std::string(error.what()));
  }
}

FaultBoard::FaultBoard(std::uint64_t aSeed)
  : mRandom{ aSeed }
{
}

auto FaultBoard::Set(Fault aFault) -> void
{
  const absl::MutexLock lock(&mMutex);
  aFault.mSerial = mNextSerial++;
  mFaults.push_back(std::move(aFault));
}

auto FaultBoard::Clear() -> void
{
  const absl::MutexLock lock(&mMutex);
  mFaults.clear();
  mFirstSerial = mNextSerial;
}

auto FaultBoard::Take(const FaultQuery& aQuery) -> std::optional<Fault>
{
  const absl::MutexLock lock(&mMutex);
  for (auto& fault : mFaults) {
    if (!Matches(fault, aQuery)) {
      continue;
    }
    if (fault.mProbability < 1 && Uniform(mRandom) >= fault.mProbability) {
      continue;
    }
    if (fault.mCount > 0) {
      --fault.mCount;
    }
    return fault;
  }
  return std::nullopt;
}

auto FaultBoard::IsLeaving() const -> bool
{
  const absl::MutexLock lock(&mMutex);
  for (const auto& fault : mFaults) {
    if (fault.mKind == FaultKind::Leaving) {
      return true;
    }
  }
  return false;
}

auto FaultBoard::IsInForce(std::uint64_t aSerial) const -> bool
{
  const absl::MutexLock lock(&mMutex);
  return aSerial >= mFirstSerial;
}

auto ApplyFaultRequest(FaultBoard& aBoard,
                       const std::string& aBody,
                       TimePoint aNow) -> Result<void, std::string>
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return Err(std::string("the body is not a JSON object"));
  }
  const auto one = nlohmann::json::array({ json });
  const auto& objects = json.contains("faults") ? json["faults"] : one;
  std::vector<Fault> faults;
  if (!json.contains("clear") || json.contains("kind") ||
      json.contains("faults")) {
    for (const auto& object : objects) {
      auto fault = ParseFault(object, aNow);
      if (!fault) {
        return Err(fault.error());
      }
      faults.push_back(*std::move(fault));
    }
  }
  if (json.contains("clear")) {
    aBoard.Clear();
  }
  for (auto& fault : faults) {
    aBoard.Set(std::move(fault));
  }
  return {};
}

} // namespace mangovalve::standins
