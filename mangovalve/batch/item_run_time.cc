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
constexpr auto kPublishDelay = std::chrono::milliseconds(300);

// An item is urgent when it could wait less than this share of a whole run. A
// burst of online requests that makes it stop lasts about that long or longer.
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
  BlendMean(aEstimate.mSecondsPerEvent, took.count() / std::max(1U, aEvents));
}

auto RecordCompletion(RunTimeEstimate& aEstimate, std::uint32_t aEvents) -> void
{
  BlendMean(aEstimate.mEvents, aEvents);
}

auto RemainingRunTime(const RunTimeEstimate& aEstimate, std::uint32_t aReceived)
  -> Duration
{
  const auto least = kMinRemainingShare * aEstimate.mEvents;
  return RunTimeOf(aEstimate, std::max(least, aEstimate.mEvents - aReceived));
}

auto TimelinessOf(const RunTimeEstimate& aEstimate,
                  std::uint32_t aReceived,
                  WallTime aDue,
                  WallTime aNow) -> Timeliness
{
  const auto slack = Duration(aDue - aNow) - kPublishDelay -
                     RemainingRunTime(aEstimate, aReceived);
  if (slack < Duration::zero()) {
    return Timeliness::Late;
  }
  return slack < RunTimeOf(aEstimate, kUrgentShare * aEstimate.mEvents)
           ? Timeliness::Urgent
           : Timeliness::OnTime;
}

} // namespace mangovalve
