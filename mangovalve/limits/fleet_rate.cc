// A team's rate over the whole fleet.
#include "mangovalve/limits/fleet_rate.h"

#include <algorithm>

namespace mangovalve {
namespace {

auto Accrue(FleetRate& aRate, TimePoint aNow) -> void
{
  if (aNow <= aRate.mAccruedAt) {
    return;
  }
  const std::chrono::duration<double> elapsed = aNow - aRate.mAccruedAt;
  aRate.mTokens = std::min(
    aRate.mBurst, aRate.mTokens + elapsed.count() * aRate.mRate * aRate.mShare);
  aRate.mAccruedAt = aNow;
}

} // namespace

auto SetLimits(FleetRate& aRate,
               double aPerSecond,
               double aBurst,
               TimePoint aNow) -> void
{
  const auto fresh = aRate.mRate <= 0;
  // A burst below one request would admit nothing at all.
  const auto burst = std::max(1.0, aBurst);
  if (fresh) {
    aRate.mTokens = burst;
  } else {
    Accrue(aRate, aNow);
  }
  aRate.mAccruedAt = aNow;
  aRate.mRate = aPerSecond;
  aRate.mBurst = burst;
  aRate.mTokens = std::min(aRate.mTokens, burst);
}

auto SetShare(FleetRate& aRate, double aShare, TimePoint aNow) -> void
{
  if (aShare != aRate.mShare) {
    Accrue(aRate, aNow);
    aRate.mShare = aShare;
  }
}

auto Admit(FleetRate& aRate, TimePoint aNow) -> bool
{
  if (aRate.mRate > 0) {
    Accrue(aRate, aNow);
    if (aRate.mTokens < 1) {
      return false;
    }
    aRate.mTokens -= 1;
  }
  ++aRate.mAdmitted;
  aRate.mChangedAt = aNow;
  return true;
}

auto Refund(FleetRate& aRate, TimePoint aNow) -> void
{
  aRate.mChangedAt = aNow;
  aRate.mAdmitted -= std::min<std::uint64_t>(1, aRate.mAdmitted);
  aRate.mTokens = std::min(aRate.mBurst, aRate.mTokens + 1);
}

auto NextTokenAt(const FleetRate& aRate, TimePoint aNow) -> TimePoint
{
  const auto missing = std::max(0.0, 1 - aRate.mTokens);
  const auto seconds = missing / std::max(1e-3, aRate.mRate * aRate.mShare);
  return aNow + std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(std::min(seconds, 60.0)));
}

auto NotePeer(FleetRate& aRate,
              const std::string& aHost,
              std::uint64_t aIncarnation,
              std::uint64_t aAdmitted,
              bool aStartedLater,
              TimePoint aNow) -> void
{
  const auto [found, first] = aRate.mPeers.try_emplace(aHost);
  auto& peer = found->second;
  auto base = peer.mAdmitted;
  if (peer.mRebase || (first && !aStartedLater)) {
    base = aAdmitted;
  } else if (peer.mIncarnation != aIncarnation) {
    base = 0;
  }
  peer = PeerAdmissions{ aIncarnation, aAdmitted, false };
  if (aRate.mRate > 0 && aAdmitted != base) {
    Accrue(aRate, aNow);
    const auto change =
      static_cast<double>(aAdmitted) - static_cast<double>(base);
    aRate.mTokens = std::min(aRate.mBurst, aRate.mTokens - change);
  }
}

auto RebasePeer(FleetRate& aRate, const std::string& aHost) -> void
{
  aRate.mPeers[aHost].mRebase = true;
}

auto LowerTo(FleetRate& aRate, double aLevel) -> void
{
  aRate.mTokens = std::min(aRate.mTokens, aLevel);
}

} // namespace mangovalve
