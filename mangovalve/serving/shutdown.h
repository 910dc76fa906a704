// Planned stop of a server: when it stops accepting connections, and how it
// ends without dropping a request that has reached the host.
#pragma once

#include "mangovalve/base/time.h"
#include "mangovalve/loop/http_server.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {

struct StopSchedule
{
  TimePoint mAcceptUntil; // connections are accepted at least until then
  TimePoint mExitBy;      // requests in progress are cut then
};

// Performs the last step of a stop, a call to the store.
using FinalCall = std::function<auto()->Task<>>;

// Accepts connections as scheduled, then closes idle ones and waits for the
// requests in progress. Returns when the process may exit.
auto DrainConnections(AsyncHttpServer& aServer,
                      const StopSchedule& aSchedule,
                      const FinalCall& aFinalCall) -> Task<>;

// The counts as fields of a log event.
auto LogFields(const ConnectionCounts& aCounts) -> Fields;

} // namespace mangovalve
