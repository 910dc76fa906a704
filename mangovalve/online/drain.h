// Draining: the order in which a daemon stops taking online requests.
//
// Readiness fails first, so that the balancer moves callers away. Connections
// and requests are still accepted for a stated time, because the balancer
// notices late. Then new requests are refused as "not run", running ones
// finish, and the daemon may stop its server. Pure functions with the time
// passed in.
#pragma once

#include <cstddef>

#include "mangovalve/base/time.h"

namespace mangovalve {

struct DrainPolicy
{
  Duration mAcceptFor = std::chrono::seconds(5); // after readiness failed
  // Bound on the wait for running requests, from the start of the drain. Must
  // exceed the longest timeout of any route.
  Duration mFinishWithin = std::chrono::seconds(90);
};

enum class DrainPhase
{
  Serving,  // ready
  NotReady, // readiness fails, requests are accepted
  Refusing, // new requests are refused, running ones finish
  Done,     // nothing runs, or the bound has passed: the server may stop
};

struct DrainSchedule
{
  bool mStarted = false;
  TimePoint mAcceptUntil{};
  TimePoint mFinishBy{};
};

// Starts the drain; no effect when it has started.
auto StartDrain(DrainSchedule& aState,
                const DrainPolicy& aPolicy,
                TimePoint aNow) -> void;

auto Phase(const DrainSchedule& aState, std::size_t aRunning, TimePoint aNow)
  -> DrainPhase;

} // namespace mangovalve
