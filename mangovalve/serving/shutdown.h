// Planned stop of a server: when it stops accepting connections, and how it
// ends without dropping a request that has reached the host.
//
// A load balancer stops sending to a host some time after the host's readiness
// has failed, or not at all while too few other hosts are ready. So the
// listener closes once no connections come any more. Every response ends its
// connection meanwhile. Requests that would not end before the exit must be
// refused while the listener is open. The process may exit when no connection
// is left that may need a response.
#pragma once

#include "mangovalve/base/time.h"
#include "mangovalve/loop/http_server.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {

struct StopPolicy
{
  // Connections are accepted for at least this time, in which a load balancer
  // sees that the host is not ready.
  Duration mBalancerDelay = std::chrono::milliseconds(2300);
  // The listener closes after this time without a new connection.
  Duration mQuietTime = std::chrono::milliseconds(400);
  // The listener closes this much before the exit at the latest.
  Duration mLastRequests = std::chrono::milliseconds(500);
  // Reserved at the end of the grace period for the last writes and the exit.
  Duration mExitMargin = std::chrono::milliseconds(700);
};

// mAcceptUntil <= mCloseBy <= mExitBy.
struct StopSchedule
{
  TimePoint mAcceptUntil; // the listener is open until then at least
  TimePoint mCloseBy;     // the listener is closed then at the latest
  TimePoint mExitBy;      // requests in progress are cut then
};

// Schedule of a stop that begins at aNow; the process is killed aGrace later.
auto PlanStop(const StopPolicy& aPolicy,
              TimePoint aNow,
              std::chrono::milliseconds aGrace) -> StopSchedule;

// Whether the listener may close at aNow. aLastAccepted: when the newest
// connection was accepted.
auto MayCloseListener(const StopPolicy& aPolicy,
                      const StopSchedule& aSchedule,
                      TimePoint aLastAccepted,
                      TimePoint aNow) -> bool;

// Performs the last step of a stop, a call to the store.
using FinalCall = std::function<auto()->Task<>>;

// Ends the connections of a server as scheduled. Returns when the process may
// exit; nothing may be awaited between this and the exit. Call the server's
// CloseAfterResponses before.
auto DrainConnections(AsyncHttpServer& aServer,
                      StopPolicy aPolicy,
                      StopSchedule aSchedule,
                      FinalCall aFinalCall) -> Task<>;

// The counts as fields of a log event.
auto LogFields(const ConnectionCounts& aCounts) -> Fields;

} // namespace mangovalve
