// How long items run, and what follows for the order in which they start and
// give way.
//
// When there is more batch work than slots, items that can no longer be done
// in time must not hold up those that can: served strictly by due time, every
// item would end just too late. So late items start last and stop first.
#pragma once

#include <chrono>
#include <cstdint>

#include "mangovalve/base/time.h"

namespace mangovalve {

using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// Learned from the runs of one service; zero while nothing is known.
struct RunTimeEstimate
{
  double mEvents = 0; // of a whole item
  double mSecondsPerEvent = 0;
};

// Notes a run that brought aEvents events, at least one, in aTook.
auto RecordRun(RunTimeEstimate& aEstimate,
               std::uint32_t aEvents,
               Duration aTook) -> void;

// Notes a completed item that had aEvents events over all its runs.
auto RecordCompletion(RunTimeEstimate& aEstimate, std::uint32_t aEvents)
  -> void;

// What is left to run of an item that has aReceived events. An item with more
// events than usual is expected to end soon, not at once.
auto RemainingRunTime(const RunTimeEstimate& aEstimate, std::uint32_t aReceived)
  -> Duration;

enum class Timeliness
{
  Urgent, // would be late if it had to wait or stop once more
  OnTime,
  Late, // cannot be done in time, or its time has passed
};

auto TimelinessOf(const RunTimeEstimate& aEstimate,
                  std::uint32_t aReceived,
                  WallTime aDue,
                  WallTime aNow) -> Timeliness;

} // namespace mangovalve
