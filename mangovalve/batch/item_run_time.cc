// How long items run.
#include "mangovalve/batch/item_run_time.h"

#include <algorithm>

#include "mangovalve/base/decayed_mean.h"

namespace mangovalve {
namespace {

// Least share of a whole run that an item is expected to need still.
constexpr double kMinRemainingShare = 0.05;

// From an item's last event until its caller can read the result: an append
// takes some 10 ms, and callers look about twice a second.
constexpr auto kListing = std::chrono::milliseconds(300);

// An item is urgent when it could wait less than this share of a whole run. A
// burst of online requests that makes it stop lasts about that long or longer.
constexpr double kUrgentShare = 0.5;

auto RunOf(const RunTimeEstimate& aPace, double aEvents) -> Duration
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aEvents * aPace.mSecondsPerEvent));
}

} // namespace

auto NoteRun(RunTimeEstimate& aPace, std::uint32_t aEvents, Duration aTook)
  -> void
{
  const std::chrono::duration<double> took = aTook;
  BlendMean(aPace.mSecondsPerEvent, took.count() / std::max(1U, aEvents));
}

auto NoteCompleted(RunTimeEstimate& aPace, std::uint32_t aEvents) -> void
{
  BlendMean(aPace.mEvents, aEvents);
}

auto RemainingRun(const RunTimeEstimate& aPace, std::uint32_t aHad) -> Duration
{
  const auto least = kMinRemainingShare * aPace.mEvents;
  return RunOf(aPace, std::max(least, aPace.mEvents - aHad));
}

auto TimelinessOf(const RunTimeEstimate& aPace,
                  std::uint32_t aHad,
                  WallTime aDue,
                  WallTime aNow) -> Timeliness
{
  const auto slack =
    Duration(aDue - aNow) - kListing - RemainingRun(aPace, aHad);
  if (slack < Duration::zero()) {
    return Timeliness::Late;
  }
  return slack < RunOf(aPace, kUrgentShare * aPace.mEvents)
           ? Timeliness::Urgent
           : Timeliness::OnTime;
}

} // namespace mangovalve
