// Bounds how fast this host's steady clock runs against the log's time, so that
// tokens accrue no faster than in true time and hardly slower.
//
// Without it a clock that may drift by 0.5% must accrue at 0.995 of the rate,
// which alone costs 0.5% of the admissions of a team at its rate.
#pragma once

#include <algorithm>

#include "mangovalve/base/time.h"

namespace mangovalve {

struct ClockSpeed
{
  bool mStarted = false;
  TimePoint mFirstSent{}; // just before the first own append was sent
  LogTime mFirstLog{};    // the log's time of it
  double mBound = 1.005;  // the clock runs at most this fast
};

// An own append was sent no earlier than aSent and read back by aRead; the log
// gave it aLog. The clock's time from before the first append to after this one
// covers the log's time between them, so the quotient bounds the clock's speed;
// the error is the latency over the time observed.
inline auto ObserveAppend(ClockSpeed& aSpeed,
                          TimePoint aSent,
                          TimePoint aRead,
                          LogTime aLog) -> void
{
  if (!aSpeed.mStarted) {
    aSpeed = { true, aSent, aLog, aSpeed.mBound };
    return;
  }
  // The log's time counts whole milliseconds.
  const std::chrono::duration<double> log =
    aLog - aSpeed.mFirstLog - std::chrono::milliseconds(1);
  const std::chrono::duration<double> own = aRead - aSpeed.mFirstSent;
  if (log.count() > 1) {
    // A clock may run slower for a while and then faster, so the bound is that
    // of the whole time, not the least one seen.
    aSpeed.mBound = std::min(1.005, std::max(0.995, own / log));
  }
}

// Part of the rate at which tokens may accrue by this clock.
inline auto AccrualFactor(const ClockSpeed& aSpeed) -> double
{
  return std::min(1.0, 1 / aSpeed.mBound);
}

} // namespace mangovalve
