// Time of one partition of jobs, carried on from owner to owner.
//
// Each owner continues from the newest reading that its predecessors stored or
// handed over, and advances it by its own monotonic clock. The clocks of two
// hosts are never compared, and a step of the wall clock changes nothing. The
// time may lag, by what passed after the last reading, but is never ahead, so
// nothing happens before its time.
#pragma once

#include <chrono>

#include "mangovalve/base/time.h"

namespace mangovalve {

struct PartitionClock;

// Since the Unix epoch by the wall clock of the partition's first owner.
using JobTime =
  std::chrono::time_point<PartitionClock, std::chrono::milliseconds>;

struct JobClock
{
  JobTime mReading{}; // the partition's time at mReadAt
  TimePoint mReadAt{};
};

inline auto JobNow(const JobClock& aClock, TimePoint aNow) -> JobTime
{
  return aClock.mReading +
         std::chrono::floor<std::chrono::milliseconds>(aNow - aClock.mReadAt);
}

// This host's time at aTime.
inline auto LocalTime(const JobClock& aClock, JobTime aTime) -> TimePoint
{
  return aClock.mReadAt + (aTime - aClock.mReading);
}

// Continues from another owner's reading, unless the own one is later.
inline auto Advance(JobClock& aClock, JobTime aReading, TimePoint aNow) -> void
{
  if (aReading > JobNow(aClock, aNow)) {
    aClock = { aReading, aNow };
  }
}

} // namespace mangovalve
