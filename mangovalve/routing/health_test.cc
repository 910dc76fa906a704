// Tests of endpoint health and of the retry budget.
#include "mangovalve/routing/health.h"

#include <doctest/doctest.h>

#include "mangovalve/routing/retry_budget.h"

namespace mangovalve {
namespace {

const auto kStart = TimePoint(std::chrono::hours(1));

auto Fail(Health& aHealth, int aTimes, TimePoint aNow) -> void
{
  for (auto i = 0; i < aTimes; ++i) {
    NoteResult(aHealth, ExchangeResult::Failed, {}, aNow);
  }
}

auto Ejected(const std::vector<Health*>& aService) -> std::size_t
{
  std::size_t count = 0;
  for (const auto* const health : aService) {
    count += health->mEjected ? 1 : 0;
  }
  return count;
}

// Guards against a common fault that gets all endpoints ejected.
TEST_CASE("at most the maximum share of a service is ejected")
{
  for (std::size_t size = 1; size <= 12; ++size) {
    std::vector<Health> healths(size);
    std::vector<Health*> service;
    for (auto& health : healths) {
      Fail(health, 5, kStart);
      service.push_back(&health);
    }
    UpdateEjections(service, {}, kStart);
    CHECK(Ejected(service) ==
          static_cast<std::size_t>(0.34 * static_cast<double>(size)));
  }
}

TEST_CASE("an outlier is ejected with backoff and readmitted with a slow start")
{
  std::vector<Health> healths(3);
  const std::vector<Health*> service{ &healths[0], &healths[1], &healths[2] };
  const HealthPolicy policy;
  auto now = kStart;
  for (const auto seconds : { 1, 2, 4, 8, 16, 30, 30 }) {
    Fail(healths[0], 3, now);
    UpdateEjections(service, policy, now);
    CHECK_FALSE(Usable(healths[0], now));
    now += std::chrono::seconds(seconds) - std::chrono::milliseconds(1);
    UpdateEjections(service, policy, now);
    CHECK_FALSE(Usable(healths[0], now));
    now += std::chrono::milliseconds(1);
    UpdateEjections(service, policy, now);
    CHECK(Usable(healths[0], now));
    CHECK(SlowStartShare(healths[0], policy, now) ==
          doctest::Approx(policy.mSlowStartInitialShare));
    CHECK(SlowStartShare(healths[0], policy, now + policy.mSlowStart) == 1);
  }
  CHECK(Usable(healths[1], now));
}

// Guards against an endpoint that fails most requests but never three in
// succession.
TEST_CASE("a high error share ejects without consecutive failures")
{
  std::vector<Health> healths(3);
  const std::vector<Health*> service{ &healths[0], &healths[1], &healths[2] };
  for (auto i = 0; i < 60; ++i) {
    Fail(healths[0], 2, kStart);
    NoteResult(healths[0], ExchangeResult::Good, {}, kStart);
  }
  Fail(healths[0], 2, kStart);
  UpdateEjections(service, {}, kStart);
  CHECK(healths[0].mEjected);
}

TEST_CASE("refusing and leaving endpoints are unusable immediately")
{
  Health refused;
  const HealthPolicy policy;
  NoteResult(refused, ExchangeResult::Refused, policy, kStart);
  CHECK_FALSE(Usable(refused, kStart));
  CHECK(Usable(refused, kStart + policy.mMinRefusalBackoff));
  Health leaving;
  NoteResult(leaving, ExchangeResult::Leaving, policy, kStart);
  NoteResult(leaving, ExchangeResult::Good, policy, kStart);
  CHECK_FALSE(Usable(leaving, kStart));
}

TEST_CASE("retries are limited to their share of requests")
{
  const RetryBudgetPolicy policy;
  RetryBudget budget{ policy.mReserve };
  auto retries = 0;
  for (auto i = 0; i < 1000; ++i) {
    NoteRequest(budget, policy);
    retries += TakeRetry(budget) ? 1 : 0;
    retries += TakeRetry(budget) ? 1 : 0;
  }
  CHECK(retries <= 1000 * policy.mShare + policy.mReserve);
  CHECK(retries >= 1000 * policy.mShare);
}

} // namespace
} // namespace mangovalve
