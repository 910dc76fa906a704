// Fleet-wide token bucket of a team.
#include "mangovalve/limits/fleet_rate.h"

#include <algorithm>

namespace mangovalve {
namespace {

constexpr double kMinRate = 1e-3; // per second; keeps divisions finite

// Longest delay of a retry. Callers wait for seconds.
constexpr auto kMaxRetryDelay = std::chrono::seconds(60);

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
  // With a burst below one request, nothing would be admitted.
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
  CountDomainAdmissions(aRate, 1, aNow);
  return true;
}

auto Refund(FleetRate& aRate, TimePoint aNow) -> void
{
  aRate.mChangedAt = aNow;
  aRate.mAdmitted -= std::min<std::uint64_t>(1, aRate.mAdmitted);
  CountDomainAdmissions(aRate, -1, aNow);
  aRate.mTokens = std::min(aRate.mBurst, aRate.mTokens + 1);
}

auto ScheduleRetry(FleetRate& aRate, std::size_t aHosts, TimePoint aNow)
  -> TimePoint
{
  const auto perSecond = std::max(kMinRate, aRate.mRate * aRate.mShare);
  const auto timeOf = [perSecond](double aTokens) {
    const auto seconds = std::chrono::duration<double>(aTokens / perSecond);
    return std::chrono::duration_cast<Duration>(
      std::min<std::chrono::duration<double>>(seconds, kMaxRetryDelay));
  };
  const auto next = aNow + timeOf(std::max(0.0, 1 - aRate.mTokens));
  const auto at = std::max(next, aRate.mRetriesScheduledUntil);
  aRate.mRetriesScheduledUntil = std::min<TimePoint>(
    at + timeOf(static_cast<double>(aHosts)), aNow + kMaxRetryDelay);
  return at;
}

auto CountPeerReport(FleetRate& aRate,
                     const std::string& aHost,
                     std::uint64_t aIncarnation,
                     std::uint64_t aAdmitted,
                     bool aStartedLater,
                     TimePoint aNow) -> std::int64_t
{
  const auto [found, first] = aRate.mPeers.try_emplace(aHost);
  auto& peer = found->second;
  auto base = peer.mAdmitted;
  if (peer.mResetBaseline || (first && !aStartedLater)) {
    base = aAdmitted;
  } else if (peer.mIncarnation != aIncarnation) {
    base = 0;
  }
  peer = PeerAdmissions{ aIncarnation, aAdmitted, false };
  const auto change =
    static_cast<std::int64_t>(aAdmitted) - static_cast<std::int64_t>(base);
  if (aRate.mRate > 0 && change != 0) {
    Accrue(aRate, aNow);
    aRate.mTokens =
      std::min(aRate.mBurst, aRate.mTokens - static_cast<double>(change));
  }
  return change;
}

auto CountDomainAdmissions(FleetRate& aRate,
                           std::int64_t aAdmissions,
                           TimePoint aNow) -> void
{
  if (aAdmissions != 0) {
    aRate.mDomainAdmitted += aAdmissions;
    aRate.mDomainChangedAt = aNow;
  }
}

auto ResetPeerBaseline(FleetRate& aRate, const std::string& aHost) -> void
{
  aRate.mPeers[aHost].mResetBaseline = true;
}

auto LowerTokens(FleetRate& aRate, double aLevel) -> void
{
  aRate.mTokens = std::min(aRate.mTokens, aLevel);
}

} // namespace mangovalve
