// Tests of the expected times at an endpoint.
#include "mangovalve/routing/endpoint_estimate.h"

#include <limits>

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const auto kStart = TimePoint{} + std::chrono::hours(1);

auto SizeOf(std::uint32_t aPrompt, std::uint32_t aOutput) -> RequestSize
{
  RequestSize size;
  size.mPromptTokens = aPrompt;
  size.mMaxOutputTokens = aOutput;
  return size;
}

// A service whose endpoints take 20 ms and 0.02 ms per prompt token to the
// first event, and 40 ms for each of 17 further ones.
auto Measured() -> ServiceTimes
{
  ServiceTimes times;
  for (int i = 0; i < 200; ++i) {
    const auto prompt = 200U + static_cast<std::uint32_t>(i % 4) * 100;
    const auto factor = i % 3 == 0 ? 4.0 : 1.0;
    const auto first = (20 + 0.02 * prompt) * factor;
    RecordFirstEvent(times,
                     prompt,
                     std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double, std::milli>(first)),
                     factor);
    RecordOutput(
      times, 17, milliseconds(17 * 40) * static_cast<int>(factor), factor);
  }
  return times;
}

TEST_CASE(
  "a work factor follows statements within a second and decays when old")
{
  // Guards against single statements, which describe one moment, and against a
  // slowness that is believed long after the endpoint was last heard.
  WorkFactor factor;
  CHECK_FALSE(IsKnown(factor, kStart));
  CHECK(CurrentWorkFactor(factor, kStart) == 1);
  NoteWorkFactor(factor, 1, kStart);
  NoteWorkFactor(factor, 4, kStart + milliseconds(50));
  CHECK(CurrentWorkFactor(factor, kStart + milliseconds(50)) < 1.6);
  for (int i = 2; i <= 20; ++i) {
    NoteWorkFactor(factor, 4, kStart + i * milliseconds(50));
  }
  const auto last = kStart + seconds(1);
  CHECK(CurrentWorkFactor(factor, last) > 3.8);
  CHECK(CurrentWorkFactor(factor, last + seconds(1)) > 3.8);
  CHECK(CurrentWorkFactor(factor, last + seconds(3)) ==
        doctest::Approx(2).epsilon(0.05));
  CHECK(CurrentWorkFactor(factor, last + seconds(10)) == 1);
  CHECK_FALSE(IsKnown(factor, last + seconds(10)));
}

TEST_CASE("unusable and outdated work factors change nothing")
{
  // Guards against figures from other hosts that would divide by 0 or replace
  // newer ones.
  WorkFactor factor;
  NoteWorkFactor(factor, 2, kStart);
  NoteWorkFactor(factor, 0, kStart + seconds(1));
  NoteWorkFactor(factor, -3, kStart + seconds(1));
  NoteWorkFactor(
    factor, std::numeric_limits<double>::quiet_NaN(), kStart + seconds(1));
  NoteWorkFactor(
    factor, std::numeric_limits<double>::infinity(), kStart + seconds(1));
  NoteWorkFactor(factor, 9, kStart - seconds(1));
  CHECK(CurrentWorkFactor(factor, kStart) == 2);
  CHECK(factor.mAt == kStart);
  NoteWorkFactor(factor, 1e300, kStart + seconds(5));
  CHECK(CurrentWorkFactor(factor, kStart + seconds(5)) <= 50);
}

TEST_CASE("the parts of the measured times are told apart and follow the speed")
{
  // Machines with the factors 1 and 4 contribute to the same usual times.
  const auto times = Measured();
  CHECK(PromptTokenMillis(times) == doctest::Approx(0.02).epsilon(0.02));
  const EndpointConditions usual;
  EndpointConditions slow;
  slow.mWorkFactor = 4;
  const auto size = SizeOf(400, 18);
  CHECK(ExpectedFirstEvent(times, usual, size) ==
        doctest::Approx(28).epsilon(0.02));
  CHECK(ExpectedFirstEvent(times, slow, size) ==
        doctest::Approx(112).epsilon(0.02));
  CHECK(ExpectedEnd(times, usual, size) == doctest::Approx(708).epsilon(0.02));
  CHECK(RelativeTime(times, slow, size) == doctest::Approx(4));
  CHECK(RelativeTime(times, usual, size) == doctest::Approx(1));
  // A longer prompt takes longer everywhere, which prefers no endpoint.
  CHECK(RelativeTime(times, slow, SizeOf(8000, 18)) == doctest::Approx(4));
}

TEST_CASE("kept tokens save their reading time and no more")
{
  // Guards against a preference for kept parts that exceeds what they save.
  const auto times = Measured();
  EndpointConditions keeps;
  keeps.mKeptTokens = 200;
  const auto size = SizeOf(450, 18);
  CHECK(SavedMillis(times, keeps) == doctest::Approx(4).epsilon(0.02));
  CHECK(ExpectedFirstEvent(times, {}, size) -
          ExpectedFirstEvent(times, keeps, size) ==
        doctest::Approx(4).epsilon(0.02));
  CHECK(RelativeTime(times, keeps, size) < 1);
  CHECK(RelativeTime(times, keeps, size) > 0.9);
  EndpointConditions slowKeeps = keeps;
  slowKeeps.mWorkFactor = 1.3;
  CHECK(RelativeTime(times, slowKeeps, size) > 1);
}

TEST_CASE("before anything is measured, the work factor is the expected time")
{
  const ServiceTimes times;
  EndpointConditions slow;
  slow.mWorkFactor = 3;
  slow.mKeptTokens = 100;
  CHECK(RelativeTime(times, slow, SizeOf(100, 10)) == 3);
  CHECK(SavedMillis(times, slow) == 0);
  CHECK(ExpectedFirstEvent(times, slow, {}) == 0);
}

TEST_CASE("prompts of equal size do not pass for an expensive reading")
{
  // Without different sizes, the fixed part can't be told from the reading.
  ServiceTimes times;
  for (int i = 0; i < 100; ++i) {
    RecordFirstEvent(times, 450, milliseconds(20 + i % 7), 1);
  }
  CHECK(PromptTokenMillis(times) == 0);
  // An event that came late after a wait is left out.
  RecordFirstEvent(times, 450, seconds(30), 1);
  CHECK(ExpectedFirstEvent(times, {}, SizeOf(450, 1)) < 30);
}

TEST_CASE("a request larger than the free memory does not fit")
{
  // An endpoint crashes if its requests exceed its memory. The load is seven
  // requests of 17,000 tokens on an endpoint for 147,261.
  constexpr std::uint64_t kMemory = 147261;
  ServiceTimes times;
  times.mTokens = 17000;
  EndpointRecord record;
  CHECK(FitsMemory(record, times, 7, kMemory, SizeOf(20000, 8000)));
  CHECK_FALSE(FitsMemory(record, times, 7, kMemory, SizeOf(20000, 8300)));
  // Requests of this host count with their own size.
  record.mSized = 5;
  record.mSizedTokens = 5000;
  CHECK(FitsMemory(record, times, 7, kMemory, SizeOf(100000, 8000)));
  record.mSizedTokens = 140000;
  CHECK_FALSE(FitsMemory(record, times, 5, kMemory, SizeOf(7000, 300)));
  CHECK(FitsMemory(record, times, 5, kMemory, SizeOf(7000, 200)));
  // Nothing is known of the size or of the memory.
  CHECK(FitsMemory(record, times, 100, kMemory, {}));
  CHECK(FitsMemory(record, times, 100, 0, SizeOf(1000000, 1)));
}

} // namespace
} // namespace mangovalve
