// Decides when batch items yield, and which items start.
#include "mangovalve/routing/batch_yield.h"

#include <algorithm>
#include <cmath>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Time after which this host's reports show the preemptions of all hosts: a
// stop, the interval of the reports in a domain, and that of the summaries.
constexpr auto kOwnDomainDelay = milliseconds(120);
constexpr auto kOtherDomainDelay = milliseconds(400);

// A phase of high demand counts as over this long before its expected end. The
// items that start then hold their first slots when the demand has fallen.
constexpr auto kFallMargin = milliseconds(100);

// An item that can't end before the rise starts if it can run for this share of
// a whole run until then. On slots that are free for 3.4 s out of 5.8 s, items
// of 5 s then end twice in three cycles with one preemption each; with half a
// run, one item ends in two cycles, again with one preemption.
constexpr double kWorthwhileShare = 0.3;

// An item that is expected to end within this time is almost done. It is about
// the time in which a preempted item's slot gets to an online request, at most.
constexpr auto kAlmostDone = milliseconds(400);

// Difference below which a fraction of an item is rounding.
constexpr double kEpsilon = 1e-6;

} // namespace

auto ItemsToYield(YieldMemory& aMemory, const YieldLoad& aLoad, TimePoint aNow)
  -> YieldDemand
{
  const auto reported =
    std::max(0.0, aLoad.mOnline + aLoad.mBatch - aLoad.mSlots);
  const auto all =
    std::max(0.0, aLoad.mOnline + aLoad.mBatch + aLoad.mUnseen - aLoad.mSlots);
  if (all <= kEpsilon) {
    aMemory = {};
    return {};
  }
  auto counted = reported;
  if (all <= reported + kEpsilon) {
    aMemory.mUnseenSince.reset();
  } else {
    const auto lasting = aMemory.mUnseenSince && *aMemory.mUnseenSince < aNow;
    aMemory.mUnseenSince = aMemory.mUnseenSince.value_or(aNow);
    counted = lasting || aLoad.mWaiting > 0 ? all : reported;
  }
  counted = std::min(counted, aLoad.mBatch);
  const auto delay = aLoad.mOwnDomain ? kOwnDomainDelay : kOtherDomainDelay;
  if (aMemory.mAnswered > 0 && aNow >= aMemory.mAnsweredAt + delay) {
    aMemory.mAnswered = 0;
    aMemory.mRepeated = true;
  }
  const auto items = counted - aMemory.mAnswered;
  if (items <= kEpsilon) {
    return {};
  }
  if (aMemory.mAnswered <= 0) {
    aMemory.mAnsweredAt = aNow;
  }
  aMemory.mAnswered = counted;
  return { items,
           counted > reported ? YieldReason::Unseen : YieldReason::Reported };
}

auto OwnPart(double aItems, const YieldPosition& aPosition, double aOffset)
  -> std::uint32_t
{
  if (aItems <= 0 || aPosition.mOwn <= 0) {
    return 0;
  }
  // The items to preempt are evenly spaced among all items in their order.
  const auto all = std::max(aPosition.mAll, aPosition.mBefore + aPosition.mOwn);
  const auto step = all / std::min(aItems, all);
  const auto chosenBefore = [&](double aPlace) {
    return std::max(0.0, std::ceil(aPlace / step - aOffset - kEpsilon));
  };
  const auto chosen = chosenBefore(aPosition.mBefore + aPosition.mOwn) -
                      chosenBefore(aPosition.mBefore);
  return static_cast<std::uint32_t>(std::min(chosen, aPosition.mOwn));
}

auto YieldsBefore(const YieldingItem& aLeft, const YieldingItem& aRight) -> bool
{
  const auto almostDone = [](const YieldingItem& aItem) {
    return aItem.mRemaining > Duration::zero() &&
           aItem.mRemaining <= kAlmostDone;
  };
  if (almostDone(aLeft) != almostDone(aRight)) {
    return almostDone(aRight);
  }
  return aLeft.mLate != aRight.mLate ? aLeft.mLate
                                     : aLeft.mReceived < aRight.mReceived;
}

auto OutlookOf(const DemandCycle& aCycle, double aMeanSeconds, TimePoint aNow)
  -> std::optional<RiseOutlook>
{
  const auto end = PhaseEnd(aCycle, aNow);
  if (!end || aMeanSeconds <= 0) {
    return std::nullopt;
  }
  RiseOutlook outlook;
  outlook.mOnlineThen = aCycle.mHighPhase.mRate * aMeanSeconds;
  if (!aCycle.mHigh) {
    outlook.mRiseAt = *end;
  } else if (*end > aNow + kFallMargin) {
    outlook.mRiseAt = aNow;
    outlook.mFallAt = *end;
    return outlook;
  } else {
    outlook.mRiseAt = *end + aCycle.mLowPhase.mLength;
  }
  outlook.mFallAt = outlook.mRiseAt + aCycle.mHighPhase.mLength;
  return outlook;
}

auto RoomThroughRise(const RiseOutlook& aOutlook,
                     double aSlots,
                     double aBatch,
                     double aHeadroom) -> double
{
  return std::max(0.0, aSlots - aOutlook.mOnlineThen - aBatch - aHeadroom);
}

auto StartRuleOf(const RiseOutlook& aOutlook,
                 const StartingItem& aItem,
                 TimePoint aNow) -> StartRule
{
  const Seconds left = aOutlook.mRiseAt - aNow;
  const Seconds whole = aItem.mWhole;
  if (aNow + aItem.mRemaining <= aOutlook.mRiseAt ||
      (left.count() > 0 && left.count() >= kWorthwhileShare * whole.count())) {
    return StartRule::BeforeRise;
  }
  if (!aItem.mLate && aItem.mLatestStart <= aOutlook.mFallAt) {
    return StartRule::MustStart;
  }
  return StartRule::ThroughRise;
}

} // namespace mangovalve
