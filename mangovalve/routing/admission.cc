// Admission of requests for a service whose slots are short.
#include "mangovalve/routing/admission.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// A request waits if it gets a slot in time with at least this probability.
constexpr double kMinChance = 0.5;

// The same once a refusal would cost more. A request that is refused early and
// served later is worth 0.575 of one that is served in time.
constexpr double kMinLateChance = 0.65;

// More urgent requests leave at least this part of the slots to others in the
// estimate, since bursts of them end.
constexpr double kMinLeftByUrgent = 0.1;

// A team may exceed its share by this fraction, at least by one request. The
// counts of other hosts are up to 300 ms old.
constexpr double kShareTolerance = 0.1;

// Uncertainty of the forecast times at which phases begin and end.
constexpr auto kForecastMargin = milliseconds(200);

// Part of the slots that is assumed to be free for returns at least while there
// is no forecast; it spreads the returns.
constexpr double kMinSpareFraction = 0.05;

// Weight of the past in the mean number of returns per phase.
constexpr double kPhaseDecay = 0.5;

// Intervals after the present one in which returns can be scheduled.
constexpr std::int64_t kMaxIntervals = 60;

auto SlotsPerSecond(const SlotOutlook& aOutlook) -> double
{
  return aOutlook.mHoldSeconds > 0 ? aOutlook.mSlots / aOutlook.mHoldSeconds
                                   : 0;
}

// Slots per second that this host gets for requests of this priority.
auto OwnSlotsPerSecond(const SlotOutlook& aOutlook) -> double
{
  const auto own = aOutlook.mShare * SlotsPerSecond(aOutlook);
  return std::max(own - aOutlook.mUrgentPerSecond, kMinLeftByUrgent * own);
}

auto IntervalOf(TimePoint aAt) -> std::int64_t
{
  return aAt.time_since_epoch() / kReturnInterval;
}

auto BeginOf(std::int64_t aInterval) -> TimePoint
{
  return TimePoint(aInterval * kReturnInterval);
}

auto CountOf(ReturnPlan& aPlan, std::int64_t aInterval) -> std::uint16_t&
{
  const auto size = static_cast<std::int64_t>(aPlan.mCounts.size());
  return aPlan.mCounts[static_cast<std::size_t>(aInterval % size)];
}

// Makes the ring cover the intervals before aEnd.
auto ExtendTo(ReturnPlan& aPlan, std::int64_t aEnd) -> void
{
  const auto size = static_cast<std::int64_t>(aPlan.mCounts.size());
  for (auto i = std::max(aPlan.mEnd, aEnd - size); i < aEnd; ++i) {
    CountOf(aPlan, i) = 0;
  }
  aPlan.mEnd = std::max(aPlan.mEnd, aEnd);
}

// Forecast rate of arrivals at aAt, without the returns.
auto NewArrivals(const ReturnPlan& aPlan,
                 const DemandCycle& aCycle,
                 double aShare,
                 TimePoint aAt,
                 TimePoint aNow) -> std::optional<double>
{
  const auto rate = ForecastRate(aCycle, std::max(aAt, aNow), aNow);
  if (!rate) {
    return std::nullopt;
  }
  const auto high = *rate >= aCycle.mHighPhase.mRate;
  const auto returns = high ? aPlan.mInHighPhase : aPlan.mInLowPhase;
  return std::max(0.0, *rate - returns / aShare);
}

// The highest forecast within the margin around aAt.
auto CautiousArrivals(const ReturnPlan& aPlan,
                      const DemandCycle& aCycle,
                      double aShare,
                      TimePoint aAt,
                      TimePoint aNow) -> std::optional<double>
{
  std::optional<double> highest;
  for (const auto at : { aAt - kForecastMargin, aAt, aAt + kForecastMargin }) {
    const auto rate = NewArrivals(aPlan, aCycle, aShare, at, aNow);
    if (!rate) {
      return std::nullopt;
    }
    highest = std::max(highest.value_or(0), *rate);
  }
  return highest;
}

} // namespace

auto ExpectedSlots(const SlotOutlook& aOutlook, Duration aWithin) -> double
{
  const Seconds within = aWithin;
  const auto perSecond = SlotsPerSecond(aOutlook);
  if (perSecond <= 0 || within.count() <= 0) {
    return 0;
  }
  const auto usable = within.count() - aOutlook.mExcess / perSecond;
  return std::max(0.0, usable) * OwnSlotsPerSecond(aOutlook);
}

auto SlotChance(const SlotOutlook& aOutlook, Duration aWithin) -> double
{
  const auto mean = ExpectedSlots(aOutlook, aWithin);
  const auto ahead = static_cast<double>(aOutlook.mAhead);
  // The normal distribution is close enough to the Poisson distribution there.
  constexpr double kLargeMean = 50;
  if (mean > kLargeMean || ahead > 2 * kLargeMean) {
    const auto deviations =
      (mean - ahead - 0.5) / std::sqrt(std::max(mean, 1.0));
    return std::erfc(-deviations / std::numbers::sqrt2) / 2;
  }
  auto term = std::exp(-mean);
  auto atMostAhead = term;
  for (std::size_t i = 1; i <= aOutlook.mAhead; ++i) {
    term *= mean / static_cast<double>(i);
    atMostAhead += term;
  }
  return std::clamp(1 - atMostAhead, 0.0, 1.0);
}

auto ExpectedWait(const SlotOutlook& aOutlook) -> Duration
{
  const auto perSecond = SlotsPerSecond(aOutlook);
  const auto own = OwnSlotsPerSecond(aOutlook);
  if (perSecond <= 0 || own <= 0) {
    return Duration::zero();
  }
  const Seconds wait(aOutlook.mExcess / perSecond +
                     static_cast<double>(aOutlook.mAhead + 1) / own);
  // Longer waits don't change a decision.
  return std::chrono::duration_cast<Duration>(
    std::min(wait, Seconds(std::chrono::hours(1))));
}

auto IsWorthWaiting(const SlotOutlook& aOutlook,
                    TimePoint aLatestStart,
                    TimePoint aReviewAt,
                    TimePoint aNow) -> bool
{
  const auto needed = aNow < aReviewAt ? kMinChance : kMinLateChance;
  return aNow < aLatestStart &&
         SlotChance(aOutlook, aLatestStart - aNow) >= needed;
}

auto RecordFirstEvent(double& aLowerQuartile, double aSeconds) -> void
{
  if (aLowerQuartile <= 0) {
    aLowerQuartile = std::max(aSeconds, 0.001);
    return;
  }
  // Three of four values are above the quartile, so that both steps cancel out.
  constexpr double kStep = 0.02;
  aLowerQuartile *= aSeconds > aLowerQuartile ? 1 + kStep : 1 - 3 * kStep;
}

auto ComputeShares(std::span<const TeamDemand> aTeams, double aFree)
  -> TeamShares
{
  struct Claim
  {
    const TeamDemand* mTeam = nullptr;
    double mPerWeight = 0; // requests that want slots
  };
  std::vector<Claim> claims;
  auto slots = std::max(0.0, aFree);
  auto weights = 0.0;
  for (const auto& team : aTeams) {
    if (team.mWeight > 0) {
      claims.push_back(
        { &team, (team.mRunning + team.mWaiting) / team.mWeight });
      slots += team.mRunning;
      weights += team.mWeight;
    }
  }
  // The teams with the smallest claims get them whole, as long as they are at
  // most an equal part of what is left.
  std::sort(
    claims.begin(), claims.end(), [](const Claim& aLeft, const Claim& aRight) {
      return aLeft.mPerWeight < aRight.mPerWeight;
    });
  TeamShares shares;
  for (const auto& claim : claims) {
    const auto& team = *claim.mTeam;
    const auto part =
      team.mWeight * std::min(claim.mPerWeight, slots / weights);
    slots = std::max(0.0, slots - part);
    weights -= team.mWeight;
    if (team.mRunning > part + std::max(1.0, kShareTolerance * part)) {
      shares.mOver.push_back(team.mTeam);
    } else {
      shares.mOwed +=
        std::min(team.mWaiting, std::max(0.0, part - team.mRunning));
    }
  }
  return shares;
}

auto Yields(const TeamShares& aShares, std::uint64_t aTeam, double aFree)
  -> bool
{
  return aFree <= aShares.mOwed &&
         std::find(aShares.mOver.begin(), aShares.mOver.end(), aTeam) !=
           aShares.mOver.end();
}

auto IsServedBefore(const WaiterRank& aLeft, const WaiterRank& aRight) -> bool
{
  if (aLeft.mOverShare != aRight.mOverShare) {
    return aRight.mOverShare;
  }
  if (aLeft.mLate != aRight.mLate) {
    return aRight.mLate;
  }
  return aLeft.mArrivalNumber < aRight.mArrivalNumber;
}

auto RecordPhase(ReturnPlan& aPlan,
                 bool aHigh,
                 TimePoint aBegan,
                 TimePoint aEnd) -> void
{
  const Seconds length = aEnd - aBegan;
  if (length.count() <= 0) {
    return;
  }
  const auto size = static_cast<std::int64_t>(aPlan.mCounts.size());
  const auto last = std::min(IntervalOf(aEnd), aPlan.mEnd);
  auto returns = 0.0;
  for (auto i = std::max(IntervalOf(aBegan), aPlan.mEnd - size); i < last;
       ++i) {
    returns += CountOf(aPlan, i);
  }
  auto& mean = aHigh ? aPlan.mInHighPhase : aPlan.mInLowPhase;
  mean = kPhaseDecay * mean + (1 - kPhaseDecay) * returns / length.count();
}

auto PlanReturn(ReturnPlan& aPlan,
                const DemandCycle& aCycle,
                const ReturnOutlook& aOutlook,
                TimePoint aNow,
                Random& aRandom) -> PlannedReturn
{
  const auto share = std::clamp(aOutlook.mShare, 1e-6, 1.0);
  const auto first = IntervalOf(std::max(aOutlook.mEarliest, aNow));
  const auto present = IntervalOf(aNow);
  ExtendTo(aPlan, present + kMaxIntervals + 1);
  const auto last =
    std::min(IntervalOf(aOutlook.mLatest) - 1, present + kMaxIntervals);
  PlannedReturn planned;
  const auto jitter = std::chrono::duration_cast<Duration>(
    Uniform(aRandom) * Seconds(kReturnInterval));
  if (last <= first) {
    planned.mAt = std::max(aOutlook.mEarliest, aNow) + jitter;
    if (first < aPlan.mEnd) {
      ++CountOf(aPlan, first);
    }
    return planned;
  }
  planned.mForecast = PhaseEnd(aCycle, aNow).has_value();
  const Seconds length = kReturnInterval;
  auto room = -aOutlook.mBacklog * share;
  auto best = first;
  auto mostLeft = -1e300;
  auto chosen = last + 1;
  for (auto i = first; i <= last && chosen > last; ++i) {
    const auto arrivals =
      CautiousArrivals(aPlan, aCycle, share, BeginOf(i), aNow);
    const auto spare = arrivals
                         ? aOutlook.mPerSecond - *arrivals
                         : std::max(aOutlook.mPerSecond - aCycle.mMeanRate,
                                    kMinSpareFraction * aOutlook.mPerSecond);
    const auto left =
      std::max(0.0, spare) * length.count() * share - CountOf(aPlan, i);
    room += left;
    if (left >= mostLeft) {
      mostLeft = left;
      best = i;
    }
    if (room >= 1) {
      chosen = i;
    }
  }
  planned.mHasRoom = chosen <= last;
  const auto interval = planned.mHasRoom ? chosen : best;
  ++CountOf(aPlan, interval);
  planned.mAt = std::max(aOutlook.mEarliest, BeginOf(interval) + jitter);
  return planned;
}

} // namespace mangovalve
