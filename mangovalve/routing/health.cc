// Updates endpoint health: refusal backoff, ejection and slow start.
#include "mangovalve/routing/health.h"

#include <algorithm>
#include <cmath>

namespace mangovalve {
namespace {

// aFirst, doubled for each earlier occurrence, at most aMax.
auto Backoff(Duration aFirst, Duration aMax, std::uint32_t aOccurrences)
  -> Duration
{
  const auto doublings = std::min(aOccurrences, 16U);
  return std::min(aMax, aFirst * (1 << doublings));
}

auto NoteSuccess(Health& aHealth, const HealthPolicy& aPolicy, TimePoint aNow)
  -> void
{
  aHealth.mErrorShare *= aPolicy.mErrorDecay;
  aHealth.mConsecutiveFailures = 0;
  if (aHealth.mConsecutiveRefusals > 0) {
    aHealth.mUsableSince = aNow;
  }
  aHealth.mConsecutiveRefusals = 0;
  aHealth.mRefusedUntil = {};
}

auto NoteFailure(Health& aHealth, const HealthPolicy& aPolicy) -> void
{
  aHealth.mErrorShare =
    aHealth.mErrorShare * aPolicy.mErrorDecay + (1 - aPolicy.mErrorDecay);
  ++aHealth.mConsecutiveFailures;
}

} // namespace

auto NoteResult(Health& aHealth,
                ExchangeResult aResult,
                const HealthPolicy& aPolicy,
                TimePoint aNow) -> void
{
  switch (aResult) {
    case ExchangeResult::Good:
      NoteSuccess(aHealth, aPolicy, aNow);
      break;
    case ExchangeResult::Failed:
      NoteFailure(aHealth, aPolicy);
      break;
    case ExchangeResult::Refused:
      aHealth.mRefusedUntil = aNow + Backoff(aPolicy.mMinRefusalBackoff,
                                             aPolicy.mMaxRefusalBackoff,
                                             aHealth.mConsecutiveRefusals);
      ++aHealth.mConsecutiveRefusals;
      break;
    case ExchangeResult::Leaving:
      aHealth.mLeavingUntil = aNow + aPolicy.mLeavingHold;
      break;
    case ExchangeResult::Ignored:
      return;
  }
  aHealth.mOutlier = aHealth.mConsecutiveFailures >= aPolicy.mFailuresToEject ||
                     aHealth.mErrorShare > aPolicy.mErrorShareToEject;
}

auto UpdateEjections(std::span<Health* const> aService,
                     const HealthPolicy& aPolicy,
                     TimePoint aNow) -> void
{
  std::size_t ejected = 0;
  std::vector<Health*> outliers;
  for (auto* const health : aService) {
    if (health->mEjected && health->mEjectedUntil <= aNow) {
      health->mEjected = false;
      health->mOutlier = false;
      health->mConsecutiveFailures = 0;
      health->mErrorShare = 0;
      health->mUsableSince = aNow;
    }
    if (health->mEjected) {
      ++ejected;
    } else if (health->mOutlier) {
      outliers.push_back(health);
    } else if (health->mConsecutiveEjections > 0 &&
               aNow - health->mUsableSince > aPolicy.mMaxEjection) {
      health->mConsecutiveEjections = 0; // healthy for long: reset the backoff
    }
  }
  const auto cap = static_cast<std::size_t>(std::floor(
    aPolicy.mMaxEjectedShare * static_cast<double>(aService.size())));
  std::sort(outliers.begin(), outliers.end(), [](auto* aLeft, auto* aRight) {
    return std::pair(aLeft->mErrorShare, aLeft->mConsecutiveFailures) >
           std::pair(aRight->mErrorShare, aRight->mConsecutiveFailures);
  });
  for (auto* const health : outliers) {
    if (ejected >= cap) {
      break;
    }
    health->mEjected = true;
    health->mEjectedUntil = aNow + Backoff(aPolicy.mMinEjection,
                                           aPolicy.mMaxEjection,
                                           health->mConsecutiveEjections);
    ++health->mConsecutiveEjections;
    ++ejected;
  }
}

auto Usable(const Health& aHealth, TimePoint aNow) -> bool
{
  return !aHealth.mEjected && aHealth.mRefusedUntil <= aNow &&
         aHealth.mLeavingUntil <= aNow;
}

auto SlowStartShare(const Health& aHealth,
                    const HealthPolicy& aPolicy,
                    TimePoint aNow) -> double
{
  if (aHealth.mUsableSince == TimePoint{}) {
    return 1;
  }
  using Seconds = std::chrono::duration<double>;
  const auto age = Seconds(aNow - aHealth.mUsableSince);
  const auto share = age / Seconds(aPolicy.mSlowStart);
  return std::clamp(share, aPolicy.mSlowStartInitialShare, 1.0);
}

} // namespace mangovalve
