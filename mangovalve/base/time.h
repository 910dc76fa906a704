// Time types used in every signature that holds a time.
//
// Deadlines are stored as points in time, never as durations, so that a
// process that was paused finds them passed when it resumes.
#pragma once

#include <chrono>

#include <time.h>

namespace mangovalve {

// Local monotonic time: deadlines, leases, timeouts.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

// Monotonic time that also counts while the machine is suspended. For leases,
// which run out at their giver in the meantime.
struct BootClock;
using BootTime = std::chrono::time_point<BootClock, std::chrono::nanoseconds>;

inline auto BootNow() -> BootTime
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return BootTime(std::chrono::seconds(time.tv_sec) +
                  std::chrono::nanoseconds(time.tv_nsec));
}

// The wall clock. It differs between hosts and may be set forward or back, so
// it decides nothing that has to be exact.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

inline auto WallNow() -> WallTime
{
  return std::chrono::floor<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

// Append time that the platform's log gave a record, since the Unix epoch.
// Only log time may decide anything during replay.
using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace mangovalve
