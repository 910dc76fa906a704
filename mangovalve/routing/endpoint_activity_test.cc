// Tests of an endpoint's activity against the silence of an attempt.
#include "mangovalve/routing/endpoint_activity.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

auto At(int aMillis) -> TimePoint
{
  return TimePoint(std::chrono::hours(1)) + milliseconds(aMillis);
}

// Bytes every 50 ms from aFrom to aUntil.
auto SendBytes(EndpointActivity& aActivity, int aFrom, int aUntil) -> void
{
  constexpr int kInterval = 50;
  for (auto at = aFrom; at <= aUntil; at += kInterval) {
    NoteBytes(aActivity, At(at));
  }
}

// Begun at 0, overdue at 600, abandoned at 1400 or at last at 2800.
auto SilenceFromZero() -> AttemptSilence
{
  return { At(0), At(600), At(1400), At(2800) };
}

auto ServesOnlyOthersAt(const EndpointActivity& aActivity, int aNow) -> bool
{
  constexpr int kRecent = 100;
  return ServesOnlyOthers(aActivity, SilenceFromZero(), At(aNow - kRecent));
}

TEST_CASE("an endpoint that sends all the time leaves out a silent attempt")
{
  // Guards against a request that waits in vain at an endpoint that answers.
  EndpointActivity activity;
  SendBytes(activity, -1000, 600);
  CHECK(ServesOnlyOthersAt(activity, 600));
  SendBytes(activity, 650, 900);
  CHECK(ServesOnlyOthersAt(activity, 900));
}

TEST_CASE("bytes with short pauses are no silence of the endpoint")
{
  // Guards against an endpoint with few requests that never counts as active.
  EndpointActivity activity;
  for (const auto at : { 0, 300, 600, 900 }) {
    NoteBytes(activity, At(at));
  }
  CHECK(activity.mSince == At(0));
  CHECK(ServesOnlyOthersAt(activity, 950));
}

TEST_CASE("an endpoint that has just woken up may go on with the attempt")
{
  // Guards against an attempt that is abandoned as its endpoint goes on.
  EndpointActivity activity;
  SendBytes(activity, -1000, 0);
  SendBytes(activity, 1200, 1750);
  CHECK(activity.mSince == At(1200));
  CHECK_FALSE(ServesOnlyOthersAt(activity, 1750));
  SendBytes(activity, 1800, 1800);
  CHECK(ServesOnlyOthersAt(activity, 1800));
}

TEST_CASE("bytes before the attempt is overdue show no active endpoint")
{
  // Guards against an attempt that is abandoned when its endpoint has just
  // fallen silent.
  EndpointActivity activity;
  SendBytes(activity, -1000, 550);
  CHECK_FALSE(ServesOnlyOthersAt(activity, 600));
  CHECK_FALSE(ServesOnlyOthersAt(activity, 700));
  SendBytes(activity, 600, 700);
  CHECK_FALSE(ServesOnlyOthersAt(activity, 850));
}

TEST_CASE("an attempt is abandoned after a silence of its whole endpoint")
{
  // Guards against several silences, or a silence after a long start, that are
  // taken for a single long one, and against an endpoint that is never left.
  const auto silence = SilenceFromZero();
  EndpointActivity activity;
  CHECK(AbandonAt(activity, silence) == At(1400));
  SendBytes(activity, -1000, 0);
  CHECK(AbandonAt(activity, silence) == At(1400));
  SendBytes(activity, 50, 500);
  CHECK(AbandonAt(activity, silence) == At(1900));
  NoteBytes(activity, At(1300));
  CHECK(AbandonAt(activity, silence) == At(2700));
  NoteBytes(activity, At(2600));
  CHECK(AbandonAt(activity, silence) == At(2800));
}

} // namespace
} // namespace mangovalve
