// Queue of online requests that wait for a slot at an endpoint.
//
// Engines admit requests in order of arrival and have no priorities, so
// requests wait here instead, in order of priority. A request whose expected
// wait exceeds its wait deadline is refused at once, while its caller still has
// time to retry; routing/admission.h has the decisions.
#pragma once

#include <optional>
#include <span>
#include <string>

#include "mangovalve/loop/http_server.h"
#include "mangovalve/serving/endpoint_statements.h"
#include "mangovalve/serving/state.h"

namespace mangovalve {

// An online request for an endpoint.
struct SlotRequest
{
  CallerPtr mCaller;
  std::string mId; // for the log
  std::string mService;
  int mPriority = 0;
  // Endpoints to exclude; a request that has begun uses them if no other one
  // has a slot.
  std::span<const std::string> mTried;
  // Assumed time for which a request holds a slot, until it has been measured.
  Duration mTypicalRunTime;
  TimePoint mWaitDeadline;
  std::string mTeam;
  // When the first event is due; no limit for a request that may have run.
  TimePoint mFirstEventDue = TimePoint::max();
  // When the wait is reviewed, shortly before a refusal costs more.
  TimePoint mReviewAt = TimePoint::max();
  // When a refused caller must return at the latest.
  TimePoint mReturnBy = TimePoint::max();
  RequestSize mSize;
  // The caller has received a part of the answer, so that a refusal would reset
  // its connection. The request waits until mWaitDeadline, before all others of
  // its priority.
  bool mBegun = false;
};

struct Slot
{
  EndpointPtr mEndpoint; // null: refused, or the caller has disconnected
  // Delay after which a refused caller should retry.
  std::chrono::milliseconds mRetryAfter{ 0 };
};

// Waits for an endpoint with a free slot, or refuses the request. One that has
// begun is refused only if it can't be served at all.
auto AcquireSlot(ServingState& aState, SlotRequest aRequest) -> Task<Slot>;

// Whether an endpoint outside aTried has a slot for an online request now.
auto HasFreeSlot(ServingState& aState,
                 const std::string& aService,
                 std::span<const std::string> aTried,
                 const RequestSize& aSize) -> bool;

// Expected wait of a new request when all endpoints have limits, behind aAhead
// waiting requests of this host. aLimited must allow this host a part.
auto ExpectedLimitedWait(std::size_t aAhead,
                         const LimitedService& aLimited,
                         TimePoint aNow) -> Duration;

// Returns the time at which the caller of a request that the limits did not
// allow should return, and reserves it: each caller is assigned another request
// of the limits. aHosts is the number of hosts that refuse requests in the same
// way.
auto ScheduleReturn(ServicePool& aPool,
                    const LimitedService& aLimited,
                    std::size_t aHosts,
                    TimePoint aNow) -> TimePoint;

} // namespace mangovalve
