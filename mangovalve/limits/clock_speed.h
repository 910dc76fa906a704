// Upper bound of the speed of this host's steady clock relative to the log's
// time. With it tokens accrue no faster than in true time and hardly slower.
//
// Without this bound, a clock that may drift by 0.5% must accrue at 0.995 of
// the rate, and a team at its rate loses 0.5% of its admissions.
#pragma once

#include <algorithm>

#include "mangovalve/base/time.h"

namespace mangovalve {

struct ClockSpeed
{
  bool mStarted = false;
  TimePoint mFirstSent{}; // no later than the sending of the first append
  LogTime mFirstLog{};    // the log's timestamp of that append
  double mBound = 1.005;  // upper bound of the clock's speed
};

// Updates the bound from an append of this host that was sent no earlier than
// aSent, read back by aRead, and timestamped aLog by the log. The local time
// from before the first append to after this one covers the log's time between
// the two, so that the quotient is an upper bound of the clock's speed. Its
// error is the latency divided by the time observed.
inline auto ObserveAppend(ClockSpeed& aSpeed,
                          TimePoint aSent,
                          TimePoint aRead,
                          LogTime aLog) -> void
{
  if (!aSpeed.mStarted) {
    aSpeed = { true, aSent, aLog, aSpeed.mBound };
    return;
  }
  // The log's timestamps have a resolution of one millisecond.
  const std::chrono::duration<double> log =
    aLog - aSpeed.mFirstLog - std::chrono::milliseconds(1);
  const std::chrono::duration<double> own = aRead - aSpeed.mFirstSent;
  if (log.count() > 1) {
    // The speed of a clock may vary, so the bound is that of the whole time
    // observed and not the smallest one so far.
    aSpeed.mBound = std::min(1.005, std::max(0.995, own / log));
  }
}

// Fraction of the rate at which tokens may accrue by this clock.
inline auto AccrualFactor(const ClockSpeed& aSpeed) -> double
{
  return std::min(1.0, 1 / aSpeed.mBound);
}

} // namespace mangovalve
