// Retry budget of one host and service: retries are limited to a fixed share of
// the requests, so that a failing service does not receive a multiple of its
// usual load.
#pragma once

#include <algorithm>

namespace mangovalve {

struct RetryBudgetPolicy
{
  double mShare = 0.1;  // retries added to the balance by each request
  double mReserve = 10; // maximum balance, in retries
};

struct RetryBudget
{
  double mBalance = 0; // available retries, in [0, mReserve]
};

// Called once for each request of a caller.
inline auto NoteRequest(RetryBudget& aBudget, const RetryBudgetPolicy& aPolicy)
  -> void
{
  aBudget.mBalance =
    std::min(aPolicy.mReserve, aBudget.mBalance + aPolicy.mShare);
}

// Takes one retry; returns false if the balance is less than one.
inline auto TakeRetry(RetryBudget& aBudget) -> bool
{
  if (aBudget.mBalance < 1) {
    return false;
  }
  aBudget.mBalance -= 1;
  return true;
}

} // namespace mangovalve
