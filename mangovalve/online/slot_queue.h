// Who waits for an endpoint, for how long, and who is refused at once.
//
// Engines admit in order of arrival and know no priorities, so what has to wait
// waits here, in order of priority. A request whose expected wait is longer
// than it may wait is refused at once, while its caller can still come back.
#pragma once

#include <optional>
#include <span>
#include <string>

#include "mangovalve/loop/http_server.h"
#include "mangovalve/serving/state.h"

namespace mangovalve {

// An online request that wants an endpoint.
struct SlotRequest
{
  CallerPtr mCaller;
  std::string mId; // for the log
  std::string mService;
  int mPriority = 0;
  std::span<const std::string> mTried; // endpoints that it does not want
  // How long a request holds a slot, while nothing has been measured.
  Duration mTypicalRunTime;
  TimePoint mWaitDeadline;
};

struct Slot
{
  EndpointPtr mEndpoint; // null: refused, or the caller has gone
  // When a caller that was refused had best come back.
  std::chrono::milliseconds mRetryAfter{ 0 };
};

auto AcquireSlot(ServingState& aState, SlotRequest aRequest) -> Task<Slot>;

// Whether a request could have an endpoint now, other than those it has tried.
auto HasFreeSlot(ServingState& aState,
                 const std::string& aService,
                 std::span<const std::string> aTried) -> bool;

// Time that a new request would wait for an endpoint when aAhead requests wait
// before it and aSlots slots free up once in aMeanSeconds each.
auto ExpectedWait(std::size_t aAhead, double aSlots, double aMeanSeconds)
  -> Duration;

} // namespace mangovalve
