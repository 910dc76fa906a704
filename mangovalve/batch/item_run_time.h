// Estimates the run time of batch items, and classifies items by whether they
// can finish by their due time. The class decides the order in which items
// start and are preempted.
//
// When there is more batch work than slots, items that can no longer finish in
// time must not delay those that can: in strict order of due time, every item
// would finish slightly too late. Late items therefore start last and are
// preempted first.
#pragma once

#include <chrono>
#include <cstdint>

#include "mangovalve/base/time.h"

namespace mangovalve {

// Decayed means over finished runs; 0 before the first run.
struct RunTimeEstimate
{
  double mEvents = 0; // events of a whole item
  double mSecondsPerEvent = 0;
};

// Adds a run that received aEvents events, at least one, in aTook.
auto RecordRun(RunTimeEstimate& aEstimate,
               std::uint32_t aEvents,
               Duration aTook) -> void;

// Adds a completed item that received aEvents events over all its runs.
auto RecordCompletion(RunTimeEstimate& aEstimate, std::uint32_t aEvents)
  -> void;

// Expected remaining run time of an item that has received aReceived events. It
// is never 0, because an item with more events than usual still needs some
// time.
auto RemainingRunTime(const RunTimeEstimate& aEstimate, std::uint32_t aReceived)
  -> Duration;

// Latest start or resumption of an item with which its result is published by
// aDue.
auto LatestStart(const RunTimeEstimate& aEstimate,
                 std::uint32_t aReceived,
                 TimePoint aDue) -> TimePoint;

enum class Timeliness
{
  Urgent, // would be late if it had to wait or were preempted once more
  OnTime,
  Late, // cannot finish by its due time
};

auto TimelinessOf(const RunTimeEstimate& aEstimate,
                  std::uint32_t aReceived,
                  TimePoint aDue,
                  TimePoint aNow) -> Timeliness;

} // namespace mangovalve
