// Estimates the run time of batch items and their timeliness.
#include "mangovalve/batch/item_run_time.h"

#include <algorithm>

#include "mangovalve/base/decayed_mean.h"

namespace mangovalve {
namespace {

// Lower bound of the expected remaining run, as a share of a whole run.
constexpr double kMinRemainingShare = 0.05;

// Delay from the last event of an item until its caller reads the result: an
// append takes some 10 ms, and callers poll about twice a second.
constexpr auto kPublishDelay = std::chrono::milliseconds(300);

// An item is urgent if its slack is less than this share of a whole run. A
// burst of online requests that preempts the item lasts at least about that
// long.
constexpr double kUrgentShare = 0.5;

auto RunTimeOf(const RunTimeEstimate& aEstimate, double aEvents) -> Duration
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aEvents * aEstimate.mSecondsPerEvent));
}

} // namespace

auto RecordRun(RunTimeEstimate& aEstimate,
               std::uint32_t aEvents,
               Duration aTook) -> void
{
  const std::chrono::duration<double> took = aTook;
  UpdateDecayedMean(aEstimate.mSecondsPerEvent,
                    took.count() / std::max(1U, aEvents));
}

auto RecordCompletion(RunTimeEstimate& aEstimate, std::uint32_t aEvents) -> void
{
  UpdateDecayedMean(aEstimate.mEvents, aEvents);
}

auto RemainingRunTime(const RunTimeEstimate& aEstimate, std::uint32_t aReceived)
  -> Duration
{
  const auto least = kMinRemainingShare * aEstimate.mEvents;
  return RunTimeOf(aEstimate, std::max(least, aEstimate.mEvents - aReceived));
}

auto LatestStart(const RunTimeEstimate& aEstimate,
                 std::uint32_t aReceived,
                 TimePoint aDue) -> TimePoint
{
  return aDue - kPublishDelay - RemainingRunTime(aEstimate, aReceived);
}

auto TimelinessOf(const RunTimeEstimate& aEstimate,
                  std::uint32_t aReceived,
                  TimePoint aDue,
                  TimePoint aNow) -> Timeliness
{
  const auto slack = LatestStart(aEstimate, aReceived, aDue) - aNow;
  if (slack < Duration::zero()) {
    return Timeliness::Late;
  }
  return slack < RunTimeOf(aEstimate, kUrgentShare * aEstimate.mEvents)
           ? Timeliness::Urgent
           : Timeliness::OnTime;
}

} // namespace mangovalve
