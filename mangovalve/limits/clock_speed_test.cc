// Tests of the upper bound of the clock's speed.
#include "mangovalve/limits/clock_speed.h"

#include <doctest/doctest.h>

#include "mangovalve/base/random.h"

namespace mangovalve {
namespace {

using namespace std::chrono_literals;

// Guards against tokens that accrue faster than in true time: for all latencies
// of the log, the factor times the clock's speed must not exceed 1.
TEST_CASE("a calibrated clock accrues no faster than true time")
{
  for (const auto speed : { 0.995, 0.9999, 1.0, 1.0001, 1.005 }) {
    Random random{ 7 };
    ClockSpeed calibrated;
    CHECK(AccrualFactor(calibrated) * speed <= 1 + 1e-9);
    for (auto second = 1; second <= 600; second += 5) {
      const auto sent = std::chrono::milliseconds(1000 * second);
      const auto logged =
        sent + std::chrono::milliseconds(UniformBelow(random, 100));
      const auto read =
        logged + std::chrono::milliseconds(UniformBelow(random, 100));
      const auto local = [&](std::chrono::milliseconds aTrue) {
        return TimePoint(std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(aTrue) * speed));
      };
      ObserveAppend(calibrated, local(sent), local(read), LogTime(logged));
      CHECK(AccrualFactor(calibrated) * speed <= 1 + 1e-9);
    }
    CHECK(AccrualFactor(calibrated) * speed >= std::min(speed, 1.0) - 0.001);
  }
}

} // namespace
} // namespace mangovalve
