// Draining: the phases in which a daemon stops accepting online requests.
//
// Readiness fails first, so that the load balancer redirects callers.
// Connections and requests are still accepted for mAcceptFor, because the load
// balancer reacts with a delay. Then new requests are refused as "not run",
// running ones finish, accepted connections get their first answer, and the
// daemon may stop its server. The functions are pure; the current time is a
// parameter.
#pragma once

#include <cstddef>

#include "mangovalve/base/time.h"

namespace mangovalve {

struct DrainPolicy
{
  Duration mAcceptFor = std::chrono::seconds(5); // after readiness fails
  // Bound on the wait for unanswered requests, from the start of the drain.
  // Must exceed the longest timeout of any route.
  Duration mFinishWithin = std::chrono::seconds(90);
};

enum class DrainPhase
{
  Serving,  // ready
  NotReady, // readiness fails, requests are accepted
  Refusing, // new requests are refused, running ones finish
  Done,     // nothing is unanswered, or mFinishWithin is over: may stop
};

struct DrainSchedule
{
  bool mStarted = false;
  TimePoint mAcceptUntil{};
  TimePoint mFinishBy{};
};

// Starts the drain; has no effect if it was started before.
auto StartDrain(DrainSchedule& aState,
                const DrainPolicy& aPolicy,
                TimePoint aNow) -> void;

// Phase at aNow while aUnanswered requests are running or may be unread on
// accepted connections.
auto Phase(const DrainSchedule& aState, std::size_t aUnanswered, TimePoint aNow)
  -> DrainPhase;

} // namespace mangovalve
