// Token bucket of the platform stand-in, for appends and weight fetches.
#pragma once

#include "mangovalve/base/time.h"

namespace mangovalve::standins {

struct Budget
{
  double mRate = 0;   // tokens per second
  double mBurst = 0;  // most tokens held
  double mTokens = 0; // as of mUpdated
  TimePoint mUpdated;
};

// A full bucket.
auto MakeBudget(double aRate, double aBurst, TimePoint aNow) -> Budget;

// Takes one token if there is one.
auto TakeToken(Budget& aBudget, TimePoint aNow) -> bool;

} // namespace mangovalve::standins
