// Token bucket of the platform stand-in.
#include "standins/common/budget.h"

#include <algorithm>

namespace mangovalve::standins {

auto MakeBudget(double aRate, double aBurst, TimePoint aNow) -> Budget
{
  return { aRate, aBurst, aBurst, aNow };
}

auto TakeToken(Budget& aBudget, TimePoint aNow) -> bool
{
  const std::chrono::duration<double> elapsed = aNow - aBudget.mUpdated;
  aBudget.mTokens =
    std::min(aBudget.mBurst, aBudget.mTokens + elapsed.count() * aBudget.mRate);
  aBudget.mUpdated = aNow;
  if (aBudget.mTokens < 1) {
    return false;
  }
  aBudget.mTokens -= 1;
  return true;
}

} // namespace mangovalve::standins
