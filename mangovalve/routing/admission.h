// Admission of requests for a service whose slots are short: which requests
// wait for a slot, which team yields to which, and when the callers of refused
// requests return.
//
// A request that is refused at once and served when its caller returns is worth
// more than one that gets its slot too late, and costs the other requests
// nothing. So a request waits only while it will probably get a slot in time.
//
// The functions are pure; the current time is a parameter.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "mangovalve/base/random.h"
#include "mangovalve/base/time.h"
#include "mangovalve/routing/demand_cycle.h"

namespace mangovalve {

// What decides when a waiting request of this host gets a slot.
struct SlotOutlook
{
  double mSlots = 0;           // of the usable endpoints
  double mHoldSeconds = 0;     // mean time for which a request holds a slot
  double mExcess = 0;          // requests at the endpoints beyond their slots
  double mShare = 1;           // this host's part of the slots that become free
  double mUrgentPerSecond = 0; // later arrivals here that are served first
  std::size_t mAhead = 0;      // waiting here and served first
};

// Expected number of slots that this host gets for requests of this priority.
auto ExpectedSlots(const SlotOutlook& aOutlook, Duration aWithin) -> double;

// Probability that the request gets a slot. Slots become free independently of
// each other, so their number has a Poisson distribution; the mean alone does
// not tell how many requests wait in vain.
auto SlotChance(const SlotOutlook& aOutlook, Duration aWithin) -> double;

// Expected wait of the request.
auto ExpectedWait(const SlotOutlook& aOutlook) -> Duration;

// Whether the request should wait, if it has to get its slot by aLatestStart.
// After aReviewAt a refusal costs more, so the chance must be better.
auto IsWorthWaiting(const SlotOutlook& aOutlook,
                    TimePoint aLatestStart,
                    TimePoint aReviewAt,
                    TimePoint aNow) -> bool;

// Time from a request's dispatch to its first event at an endpoint without a
// queue, from measured times with and without one: their lower quartile.
// Time spent in queues must not count, because a mean that contains it would
// let all requests be refused after a burst.
auto RecordFirstEvent(double& aLowerQuartile, double aSeconds) -> void;

// Requests of one team, of all hosts, for one service and priority.
struct TeamDemand
{
  std::uint64_t mTeam = 0;
  double mWeight = 1; // relative share of the slots
  double mWaiting = 0;
  double mRunning = 0;
};

// Which teams hold more than their share of the slots.
struct TeamShares
{
  std::vector<std::uint64_t> mOver;
  // Slots that waiting requests of the other teams should get.
  double mOwed = 0;
};

// Divides the slots that the teams hold, and aFree free ones, in proportion to
// the weights; what a team does not need goes to the others.
auto ComputeShares(std::span<const TeamDemand> aTeams, double aFree)
  -> TeamShares;

// Whether a request of the team leaves aFree free slots to other teams.
auto Yields(const TeamShares& aShares, std::uint64_t aTeam, double aFree)
  -> bool;

// The place of a request among the waiting ones of the same priority.
struct WaiterRank
{
  bool mOverShare = false; // its team holds more than its share
  bool mLate = false;      // it can't meet its objective any more
  std::uint64_t mArrivalNumber = 0;
};

auto IsServedBefore(const WaiterRank& aLeft, const WaiterRank& aRight) -> bool;

// Returns that this host has scheduled.
struct ReturnPlan
{
  // By interval of kReturnInterval, as a ring of those before mEnd.
  std::array<std::uint16_t, 128> mCounts{};
  std::int64_t mEnd = 0;
  // Scheduled returns per second in the last phases, as decayed means. The
  // measured demand contains them.
  double mInHighPhase = 0;
  double mInLowPhase = 0;
};

constexpr auto kReturnInterval = std::chrono::milliseconds(100);

// Records the end of a phase of demand that began at aBegan.
auto RecordPhase(ReturnPlan& aPlan,
                 bool aHigh,
                 TimePoint aBegan,
                 TimePoint aEnd) -> void;

// Room for returns at a service.
struct ReturnOutlook
{
  double mPerSecond = 0; // requests that all slots can serve
  double mShare = 1;     // this host's part of the room
  double mBacklog = 0;   // requests of all hosts that are served before
  TimePoint mEarliest{};
  TimePoint mLatest{}; // later ones are useless to the caller
};

struct PlannedReturn
{
  TimePoint mAt{};
  bool mForecast = false; // the demand until then was forecast
  bool mHasRoom = false;  // false: the least crowded time was taken
};

// Schedules the return of a refused caller at the first time at which slots are
// expected to be left for it, after the forecast arrivals and the callers that
// this host has already asked to return.
auto PlanReturn(ReturnPlan& aPlan,
                const DemandCycle& aCycle,
                const ReturnOutlook& aOutlook,
                TimePoint aNow,
                Random& aRandom) -> PlannedReturn;

} // namespace mangovalve
