// Tests of the limit of batch streams at an endpoint.
#include "mangovalve/batch/stream_limit.h"

#include <map>

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const auto kStart = TimePoint{} + std::chrono::hours(1);

auto Settings() -> StreamLimitSettings
{
  StreamLimitSettings settings;
  settings.mCapacity = 32;
  return settings;
}

// Runs an idle endpoint whose streams follow the limit, with a report every
// 100 ms, until aEnd.
auto RunIdle(StreamLimitState& aState, TimePoint aBegin, TimePoint aEnd)
  -> std::uint32_t
{
  std::uint32_t running = 0;
  for (auto now = aBegin; now < aEnd; now += milliseconds(5)) {
    if ((now - kStart) % milliseconds(100) == Duration{}) {
      OnLoadReport(aState, Settings(), running, now);
    }
    running = BatchLimit(aState, Settings(), running, now);
  }
  return running;
}

// Guards against two batch dispatchers of an endpoint, and against endpoints
// that change their dispatcher although it has not failed.
TEST_CASE("a failed host moves only the endpoints that it dispatched to")
{
  const std::vector<std::string> hosts{ "a", "b", "c" };
  const std::vector<std::string> rest{ "c", "a" };
  std::map<std::string, int> counts;
  for (auto i = 0; i < 300; ++i) {
    const auto endpoint = "10.0.0.1:" + std::to_string(i);
    const auto dispatcher = BatchDispatcherOf(endpoint, hosts);
    ++counts[dispatcher];
    if (dispatcher != "b") {
      CHECK(BatchDispatcherOf(endpoint, rest) == dispatcher);
    }
  }
  CHECK(counts.size() == 3);
  CHECK(counts["b"] > 50);
  CHECK(BatchDispatcherOf("x", {}).empty());
}

// Guards against unused idle capacity, which lasts only seconds.
TEST_CASE("batch fills an idle endpoint within a second")
{
  StreamLimitState state;
  const auto settings = Settings();
  // Enough measured delays to fit a fill target above half of the capacity.
  for (std::size_t i = 0; i < settings.mSamples; ++i) {
    OnFirstToken(state, settings, milliseconds(i < 20 ? 2000 : 50), kStart);
  }
  CHECK(RunIdle(state, kStart, kStart + seconds(1)) >= 24);
}

// Guards against online requests that wait until batch streams finish.
TEST_CASE("waiting online requests lower the limit and pause growth")
{
  StreamLimitState state;
  const auto settings = Settings();
  const auto running = RunIdle(state, kStart, kStart + seconds(1));
  REQUIRE(running > 8);
  const auto now = kStart + seconds(1);
  OnPressure(state, settings, 5, running, now);
  const auto limit = BatchLimit(state, settings, running, now);
  CHECK(limit <= running - 5);
  CHECK(BatchLimit(state, settings, limit, now + milliseconds(90)) <= limit);
  OnPressure(state, settings, 40, limit, now + milliseconds(91));
  CHECK(BatchLimit(state, settings, limit, now + milliseconds(91)) == 0);
  CHECK(RunIdle(state, now + milliseconds(200), now + seconds(1)) > limit);
}

// Guards against batch streams in the slots of online requests. A load report
// lags behind the dispatcher's own streams, so that they can be counted as
// online streams or online streams as batch.
TEST_CASE("online streams are separated from batch in a lagging report")
{
  StreamLimitState state;
  const auto settings = Settings();
  OnLoadReport(state, settings, 0, kStart);
  BatchLimit(state, settings, 2, kStart);
  BatchLimit(state, settings, 10, kStart + milliseconds(100));
  OnLoadReport(state, settings, 30, kStart + milliseconds(50));
  CHECK(state.mOnline == 28);
  OnLoadReport(state, settings, 3, kStart + milliseconds(20));
  CHECK(state.mOnline == 28);
  CHECK(BatchLimit(state, settings, 10, kStart + milliseconds(120)) <= 4);
}

// Guards against growth based on an outdated load report.
TEST_CASE("batch does not grow without recent load reports")
{
  StreamLimitState state;
  const auto settings = Settings();
  OnLoadReport(state, settings, 0, kStart);
  const auto later = kStart + settings.mReportMaxAge + milliseconds(1);
  for (auto i = 0; i < 100; ++i) {
    CHECK(BatchLimit(state, settings, 0, later + milliseconds(20 * i)) == 0);
  }
}

// Guards against batch that keeps its streams although it raises the p99
// first-token delay of online requests.
TEST_CASE("queueing and longer steps that raise the p99 delay reduce batch")
{
  StreamLimitState state;
  const auto settings = Settings();
  auto now = kStart;
  // Each batch stream adds 1 ms to a delay of 50 ms; one request in twenty
  // waits for a slot.
  for (auto i = 0; i < 3000; ++i) {
    now += milliseconds(100);
    const auto batch = static_cast<std::uint32_t>(i % 16);
    OnLoadReport(state, settings, batch, now);
    BatchLimit(state, settings, batch, now);
    const auto delay = i % 20 == 15 ? 200 : 50 + batch;
    OnFirstToken(
      state, settings, milliseconds(delay), now + milliseconds(delay));
  }
  CHECK(state.mHeadroom == 16);
  CHECK(state.mDelayPerStream > 0.8);
  CHECK(state.mDelayPerStream < 1.2);
  CHECK(state.mFillTarget <= 4);
}

} // namespace
} // namespace mangovalve
