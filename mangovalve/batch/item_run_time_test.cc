// Tests of run time estimates and the start order that follows from them.
#include "mangovalve/batch/item_run_time.h"

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

#include "mangovalve/batch/job_table.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds(1000) };

// Items of 160 events at 25 ms, which is 4 s per run.
auto Estimate() -> RunTimeEstimate
{
  RunTimeEstimate estimate;
  RecordRun(estimate, 160, seconds(4));
  RecordCompletion(estimate, 160);
  return estimate;
}

TEST_CASE("remaining run time shrinks with received events and stays above 0")
{
  const auto estimate = Estimate();
  CHECK(RemainingRunTime({}, 0) == Duration::zero());
  CHECK(RemainingRunTime(estimate, 0) == seconds(4));
  CHECK(RemainingRunTime(estimate, 80) == seconds(2));
  CHECK(RemainingRunTime(estimate, 1000) == milliseconds(200));
  auto last = RemainingRunTime(estimate, 0);
  for (std::uint32_t had = 1; had < 200; ++had) {
    CHECK(RemainingRunTime(estimate, had) <= last);
    last = RemainingRunTime(estimate, had);
  }
}

TEST_CASE("an item is urgent just before it becomes late")
{
  // Guards against a late item that is classified as urgent: it is never
  // preempted and keeps its slot through every burst of online requests.
  const auto estimate = Estimate();
  const auto at = [&](std::uint32_t aReceived, milliseconds aLeft) {
    return TimelinessOf(estimate, aReceived, kStart + aLeft, kStart);
  };
  CHECK(at(0, seconds(10)) == Timeliness::OnTime);
  CHECK(at(0, seconds(6)) == Timeliness::Urgent);
  CHECK(at(0, seconds(4)) == Timeliness::Late);
  CHECK(at(120, seconds(4)) == Timeliness::OnTime);
  CHECK(at(120, milliseconds(1200)) == Timeliness::Late);
  CHECK(at(120, -seconds(5)) == Timeliness::Late);
  // Without an estimate, only an item past its due time is late.
  CHECK(TimelinessOf({}, 0, kStart + seconds(1), kStart) == Timeliness::OnTime);
  CHECK(TimelinessOf({}, 0, kStart, kStart) == Timeliness::Late);
}

// Runs two jobs on a number of slots in virtual time and counts the items of
// each that finish by their due time.
struct Overload
{
  JobTable mTable;
  ServingDocument mDocument;
  std::vector<int> mInTime{ 0, 0 };

  auto Add(const std::string& aId, std::size_t aItems, milliseconds aAfter)
    -> void
  {
    wire::JobT job;
    job.team = "team";
    job.id = aId;
    job.host = "h";
    job.path = "/b/x";
    job.submitted_ms =
      std::chrono::floor<milliseconds>(kStart.time_since_epoch() + aAfter)
        .count();
    for (std::size_t i = 0; i < aItems; ++i) {
      auto item = std::make_unique<wire::JobItemT>();
      item->path = "/b/1";
      job.items.push_back(std::move(item));
    }
    const auto made = MakeJob(std::move(job));
    made->mDurable = true;
    mTable.mJobs[{ "team", aId }] = made;
  }

  auto Run(std::size_t aSlots, seconds aLength) -> void
  {
    constexpr auto kRun = seconds(4);
    std::vector<std::pair<TimePoint, RunnableItem>> running;
    for (auto now = kStart; now < kStart + aLength; now += seconds(1)) {
      std::erase_if(running, [&](const auto& aRun) {
        const auto ended = aRun.first <= now;
        if (ended && now <= aRun.second.mDue) {
          ++mInTime[aRun.second.mJob->mId == "second" ? 1 : 0];
        }
        return ended;
      });
      const SchedulingInput input{ now, Estimate() };
      auto items =
        RunnableItems(mTable, mDocument, "llm", aSlots - running.size(), input);
      std::erase_if(items, [&](const RunnableItem& aItem) {
        return aItem.mJob->mSubmittedAt > JobNow(mTable.mClock, now);
      });
      for (auto& item : items) {
        auto& entry = item.mJob->mItems[item.mIndex];
        entry.mRunning = true;
        running.emplace_back(now + kRun, item);
      }
    }
  }
};

TEST_CASE("many jobs at once: a late backlog does not make the next job late")
{
  // Four slots finish 16 items of 4 s within 18 s. The first job has 60 items.
  // In order of due time alone, its backlog would occupy the slots until second
  // 60, and all items of the second job, due at second 38, would be late.
  Overload load;
  ServingRoute route;
  route.mName = "batch";
  route.mHost = "h";
  route.mPathPrefix = "/b/";
  route.mKind = RouteKind::Batch;
  route.mServices = { { "llm", 1 } };
  route.mDue = seconds(18);
  load.mDocument.mRoutes.push_back(route);
  load.Add("first", 60, seconds(0));
  load.Add("second", 12, seconds(20));
  load.Run(4, seconds(60));
  CHECK(load.mInTime[0] == 16);
  CHECK(load.mInTime[1] == 12);
}

} // namespace
} // namespace mangovalve
