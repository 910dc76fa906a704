// Retry budget of one host and service: retries may be at most a fixed share
// of requests, so that a failing service is not hit by a multiple of its load.
#pragma once

#include <algorithm>

namespace mangovalve {

struct RetryBudgetPolicy
{
  double mShare = 0.1;  // retries earned by each request
  double mReserve = 10; // most that can be saved up, in retries
};

struct RetryBudget
{
  double mBalance = 0; // in [0, mReserve]
};

// Called once for each request of a caller.
inline auto NoteRequest(RetryBudget& aBudget, const RetryBudgetPolicy& aPolicy)
  -> void
{
  aBudget.mBalance =
    std::min(aPolicy.mReserve, aBudget.mBalance + aPolicy.mShare);
}

// Takes one retry if the budget has it.
inline auto TakeRetry(RetryBudget& aBudget) -> bool
{
  if (aBudget.mBalance < 1) {
    return false;
  }
  aBudget.mBalance -= 1;
  return true;
}

} // namespace mangovalve
