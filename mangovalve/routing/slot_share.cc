// This host's share of the free slots of a failure domain.
#include "mangovalve/routing/slot_share.h"

#include <algorithm>
#include <cmath>

namespace mangovalve {

auto RenewShare(SlotShare& aShare,
                double aFree,
                const SlotCompetition& aCompetition,
                TimePoint aAsOf,
                Random& aRandom) -> void
{
  // The rate lags behind a sudden rise, which may be fivefold.
  constexpr double kPlenty = 5;
  // A host whose arrivals have just begun must not be left without a share.
  constexpr double kMinArrivals = 1;
  const auto own = std::max(aCompetition.mOwn, kMinArrivals);
  const auto all = own + std::max(0.0, aCompetition.mOthers);
  const std::chrono::duration<double> interval = aCompetition.mInterval;
  const auto free = std::max(0.0, aFree);
  const auto plenty = free > 0 && free >= kPlenty * all * interval.count();
  const auto share = plenty ? free : free * own / all;
  const auto whole = std::floor(share);
  aShare.mSlots = whole + (Uniform(aRandom) < share - whole ? 1 : 0);
  aShare.mAsOf = aAsOf;
}

auto MayTakeSlot(const SlotShare& aShare) -> bool
{
  return aShare.mSlots >= 1;
}

auto TakeSlot(SlotShare& aShare) -> void
{
  aShare.mSlots -= 1;
}

auto ReturnSlot(SlotShare& aShare) -> void
{
  aShare.mSlots += 1;
}

} // namespace mangovalve
