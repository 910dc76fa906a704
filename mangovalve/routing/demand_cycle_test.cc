// Tests of the forecast of a service's demand.
#include "mangovalve/routing/demand_cycle.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

constexpr auto kStep = milliseconds(200);
constexpr auto kHighLength = milliseconds(2400);
constexpr auto kLowLength = milliseconds(3400);
constexpr double kHighRate = 620;
constexpr double kLowRate = 130;

// Rate of a square wave that begins with a low phase at aStart.
auto WaveAt(TimePoint aStart, TimePoint aAt) -> double
{
  const auto at = (aAt - aStart) % (kLowLength + kHighLength);
  return at < kLowLength ? kLowRate : kHighRate;
}

// Records the wave up to aUntil, with deviations of up to aNoise of the rate.
auto Record(DemandCycle& aCycle,
            TimePoint aStart,
            TimePoint aUntil,
            double aNoise = 0) -> void
{
  auto sign = 1.0;
  for (auto at = aStart; at <= aUntil; at += kStep) {
    sign = -sign;
    RecordDemand(aCycle, WaveAt(aStart, at) * (1 + sign * aNoise), at);
  }
}

TEST_CASE("arrivals count for the rate and are forgotten")
{
  ArrivalRate rate;
  auto now = TimePoint(std::chrono::hours(1));
  for (auto i = 0; i < 1000; ++i) {
    now += milliseconds(10);
    RecordArrival(rate, now);
  }
  CHECK(ArrivalsPerSecond(rate, now) == doctest::Approx(100).epsilon(0.05));
  CHECK(ArrivalsPerSecond(rate, now + std::chrono::seconds(3)) < 1);
}

TEST_CASE("alternating demand is forecast, also with noise")
{
  // Guards against callers being sent back into the next phase of high demand.
  for (const auto noise : { 0.0, 0.08 }) {
    DemandCycle cycle;
    const auto start = TimePoint(std::chrono::hours(1));
    // Two whole cycles, then one second of the third phase of high demand.
    const auto now =
      start + 2 * (kLowLength + kHighLength) + kLowLength + milliseconds(1000);
    Record(cycle, start, now, noise);
    REQUIRE(cycle.mHigh);
    const auto end = PhaseEnd(cycle, now);
    REQUIRE(end);
    const auto expected = start + 3 * (kLowLength + kHighLength);
    CHECK(*end > expected - milliseconds(500));
    CHECK(*end < expected + milliseconds(500));
    const auto during = ForecastRate(cycle, now + milliseconds(300), now);
    const auto after = ForecastRate(cycle, expected + milliseconds(900), now);
    const auto later =
      ForecastRate(cycle, expected + kLowLength + milliseconds(900), now);
    REQUIRE((during && after && later));
    CHECK(*during == doctest::Approx(kHighRate).epsilon(0.2));
    CHECK(*after == doctest::Approx(kLowRate).epsilon(0.35));
    CHECK(*later == doctest::Approx(kHighRate).epsilon(0.2));
  }
}

TEST_CASE("steady, new and changed demand has no forecast")
{
  // A wrong forecast would hold batch items back, or ask callers to return at
  // a time that means nothing.
  const auto start = TimePoint(std::chrono::hours(1));
  DemandCycle steady;
  for (auto at = start; at < start + std::chrono::seconds(20); at += kStep) {
    RecordDemand(steady, kHighRate, at);
  }
  CHECK_FALSE(PhaseEnd(steady, start + std::chrono::seconds(20)));
  CHECK_FALSE(ForecastRate(DemandCycle{}, start, start));
  DemandCycle first;
  Record(first, start, start + kLowLength + milliseconds(1000));
  CHECK_FALSE(PhaseEnd(first, start + kLowLength + milliseconds(1000)));
  // A phase that goes on far beyond the length of those before.
  DemandCycle changed;
  auto now = start + 2 * (kLowLength + kHighLength) + milliseconds(2000);
  Record(changed, start, now);
  REQUIRE(PhaseEnd(changed, now));
  for (auto i = 0; i < 25; ++i) {
    now += kStep;
    RecordDemand(changed, kLowRate, now);
  }
  CHECK_FALSE(PhaseEnd(changed, now));
}

TEST_CASE("a pause without samples starts the forecast anew")
{
  // The host was frozen, so the phases in between are not known.
  const auto start = TimePoint(std::chrono::hours(1));
  const auto end = start + 3 * (kLowLength + kHighLength);
  DemandCycle cycle;
  Record(cycle, start, end);
  RecordDemand(cycle, kLowRate, end + std::chrono::seconds(5));
  CHECK_FALSE(PhaseEnd(cycle, end + std::chrono::seconds(5)));
}

} // namespace
} // namespace mangovalve
