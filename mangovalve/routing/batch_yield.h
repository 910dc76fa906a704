// Decides when batch items yield their slots to online requests, and which
// items start while online demand alternates between phases.
//
// A preempted item costs its endpoint a second reading of the prompt and the
// output, so an item is preempted only for an online request that the endpoint
// already holds beyond its slots, and starts only where it is likely to end or
// to make progress before the demand rises.
//
// The functions are pure; the current time is a parameter.
#pragma once

#include <cstdint>
#include <optional>

#include "mangovalve/base/time.h"
#include "mangovalve/routing/demand_cycle.h"

namespace mangovalve {

// An endpoint that runs batch items, by the reports of all hosts.
struct YieldLoad
{
  double mSlots = 1;
  double mOnline = 0;
  double mBatch = 0;
  // Requests that the endpoint stated beyond those in the hosts' reports,
  // without those that have been reported since.
  double mUnseen = 0;
  // Online requests that wait in the hosts' queues of the service.
  double mWaiting = 0;
  bool mOwnDomain = true; // the reports on it are recent
};

// What this host has decided about an endpoint lately.
struct YieldMemory
{
  // Requests beyond the slots for which the hosts have already been asked to
  // preempt, since mAnsweredAt. Reports don't show the effect at once.
  double mAnswered = 0;
  TimePoint mAnsweredAt{};
  bool mRepeated = false; // the last decision did not suffice
  // Since when unseen requests have exceeded the slots.
  std::optional<TimePoint> mUnseenSince;
};

enum class YieldReason
{
  Reported, // requests in the hosts' reports exceed the slots
  Unseen,   // with requests that only the endpoint has stated
};

struct YieldDemand
{
  double mItems = 0; // of all hosts, to preempt now
  YieldReason mReason = YieldReason::Reported;
};

// Number of items of all hosts to preempt at the endpoint now. Each request
// beyond its slots counts once, until reports must show the effect of the
// preemption. Unseen requests count if online requests wait in queues, or if
// they still exceed the slots at the next look.
auto ItemsToYield(YieldMemory& aMemory, const YieldLoad& aLoad, TimePoint aNow)
  -> YieldDemand;

// The position of a host's items among the batch items at an endpoint, which
// all hosts put in the same order.
struct YieldPosition
{
  double mBefore = 0; // items of the hosts before this one
  double mOwn = 0;
  double mAll = 0;
};

// This host's part of aItems to preempt. Hosts with the same reports and the
// same aOffset in [0, 1) preempt aItems in total, without exchanging messages.
auto OwnPart(double aItems, const YieldPosition& aPosition, double aOffset)
  -> std::uint32_t;

// A running batch item that may be preempted.
struct YieldingItem
{
  bool mLate = false;          // can't end by its due time
  Duration mRemaining{};       // expected run time
  std::uint32_t mReceived = 0; // events
};

// Whether aLeft is preempted before aRight. Items that are almost done come
// last, because their slots become free as soon as without preemption. Of the
// others, late ones come first, since they miss their due time anyway; then
// those with the least output to read again.
auto YieldsBefore(const YieldingItem& aLeft, const YieldingItem& aRight)
  -> bool;

// Online demand for a service's slots in the next seconds.
struct RiseOutlook
{
  TimePoint mRiseAt{}; // when the next phase of high demand begins
  // End of that phase.
  TimePoint mFallAt{};
  double mOnlineThen = 0; // slots that online requests need in it
};

// The outlook when online requests take aMeanSeconds; nullopt if there is no
// forecast.
auto OutlookOf(const DemandCycle& aCycle, double aMeanSeconds, TimePoint aNow)
  -> std::optional<RiseOutlook>;

// Batch items that can keep their slots during the rise, beyond the aBatch
// items that will then run. aHeadroom slots stay free.
auto RoomThroughRise(const RiseOutlook& aOutlook,
                     double aSlots,
                     double aBatch,
                     double aHeadroom) -> double;

// A batch item that could start now.
struct StartingItem
{
  Duration mRemaining{};    // expected run time
  Duration mWhole{};        // expected run time of a whole item
  TimePoint mLatestStart{}; // start that just meets the due time
  bool mLate = false;       // the due time can't be met any more
};

enum class StartRule
{
  BeforeRise,  // it ends, or makes progress worth its costs, before the rise
  MustStart,   // it would be late if it waited until the demand has fallen
  ThroughRise, // only if it can keep its slot during the rise
};

auto StartRuleOf(const RiseOutlook& aOutlook,
                 const StartingItem& aItem,
                 TimePoint aNow) -> StartRule;

} // namespace mangovalve
