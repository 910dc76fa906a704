// This host's share of the free slots of a failure domain.
//
// All hosts see the same free slots, as of the last reports, and would all take
// them until the next reports: in a burst, several times as many requests would
// be sent as there are slots, and wait in the endpoints' queues. So each host
// takes, until newer reports have arrived, only its share of the slots that it
// saw, in proportion to the arrivals at the hosts that compete for them.
//
// The functions are pure; the current time is a parameter.
#pragma once

#include "mangovalve/base/random.h"
#include "mangovalve/base/time.h"

namespace mangovalve {

struct SlotShare
{
  TimePoint mAsOf{};    // of the reports on which it is based
  double mSlots = 0;    // that this host may still take until newer ones arrive
  bool mScarce = false; // few of the slots were free
};

// The hosts that compete for free slots.
struct SlotCompetition
{
  double mOwn = 0;      // arrivals per second at this host
  double mOthers = 0;   // at the others
  Duration mInterval{}; // between two reports
};

// Sets the share of aFree slots that are free by the reports of aAsOf. Rounds
// randomly, so that all hosts together take about as many slots as are free.
// Where there are plenty for all arrivals of an interval, a host may take any
// number.
auto RenewShare(SlotShare& aShare,
                double aFree,
                const SlotCompetition& aCompetition,
                TimePoint aAsOf,
                Random& aRandom) -> void;

auto MayTakeSlot(const SlotShare& aShare) -> bool;

// Records a request that takes a slot, or one of this host that has ended.
auto TakeSlot(SlotShare& aShare) -> void;
auto ReturnSlot(SlotShare& aShare) -> void;

} // namespace mangovalve
