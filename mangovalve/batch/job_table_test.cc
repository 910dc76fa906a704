// Tests of the job table and its records.
#include "mangovalve/batch/job_table.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "mangovalve/base/random.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxRecord = 8192;
constexpr JobTime kSubmitted{ seconds(1000) };
// The clock of a table that was not loaded starts at 0, so this is kSubmitted.
constexpr TimePoint kNow{ seconds(1000) };
constexpr SchedulingInput kClock{ kNow, {} };

auto Document() -> ServingDocument
{
  ServingDocument document;
  ServingRoute route;
  route.mName = "batch";
  route.mHost = "h";
  route.mPathPrefix = "/b/";
  route.mKind = RouteKind::Batch;
  route.mServices = { { "llm", 1 } };
  route.mDue = seconds(18);
  route.mAbandonAfter = seconds(60);
  document.mRoutes.push_back(route);
  return document;
}

auto Submission(const std::string& aId, std::size_t aItems) -> SubmittedJobPtr
{
  wire::JobT job;
  job.team = "team";
  job.id = aId;
  job.host = "h";
  job.path = "/b/x";
  job.submitted_ms = kSubmitted.time_since_epoch().count();
  for (std::size_t i = 0; i < aItems; ++i) {
    auto item = std::make_unique<wire::JobItemT>();
    item->id = aId + "-" + std::to_string(i);
    item->path = "/b/" + std::to_string(i);
    item->tokens = 100;
    // Bodies of different sizes, some of several records.
    item->body.assign(i * 7000, static_cast<std::uint8_t>('a' + i));
    auto header = std::make_unique<wire::HeaderFieldT>();
    header->name = "Model";
    header->value = "m";
    item->headers.push_back(std::move(header));
    job.items.push_back(std::move(item));
  }
  return MakeJob(std::move(job));
}

// Keeps the newest record of each key, as the store does.
struct Newest
{
  std::map<std::string, std::string> mValues;

  auto Put(const std::vector<KeyedRecord>& aRecords) -> void
  {
    for (const auto& record : aRecords) {
      REQUIRE(record.mKey.size() + record.mValue.size() < kMaxRecord);
      if (record.mValue.empty()) {
        mValues.erase(record.mKey);
      } else {
        mValues[record.mKey] = record.mValue;
      }
    }
  }

  auto Load(TimePoint aNow = kNow) const -> JobTable
  {
    std::vector<KeyedRecord> records;
    for (const auto& [key, value] : mValues) {
      records.push_back({ key, value, 0 });
    }
    return LoadJobs(records, kSubmitted, aNow);
  }
};

TEST_CASE("a job is restored completely from its records")
{
  Newest store;
  const auto job = Submission("j1", 4);
  store.Put(JobRecords(*job, kMaxRecord));
  auto table = store.Load();
  const auto loaded = FindJob(table, "team", "j1");
  REQUIRE(loaded);
  CHECK(loaded->mDurable);
  CHECK(loaded->mSubmittedAt == kSubmitted);
  REQUIRE(loaded->mItems.size() == 4);
  for (std::size_t i = 0; i < 4; ++i) {
    CHECK(loaded->mItems[i].mSubmitted.body == job->mItems[i].mSubmitted.body);
    CHECK(loaded->mItems[i].mSubmitted.headers[0]->value == "m");
  }
}

TEST_CASE("a job without its job record is not loaded")
{
  // Guards against items that run although the submission was incomplete.
  Newest store;
  auto records = JobRecords(*Submission("j1", 3), kMaxRecord);
  records.pop_back();
  store.Put(records);
  CHECK(store.Load().mJobs.empty());
}

TEST_CASE("results of any size keep their position and content")
{
  Newest store;
  const auto job = Submission("j1", 3);
  store.Put(JobRecords(*job, kMaxRecord));
  const std::string large(30000, 'z');
  store.Put(ResultRecords(*job, 0, { 2, true, large }, kMaxRecord));
  store.Put(ResultRecords(*job, 1, { 0, false, "" }, kMaxRecord));
  const auto loaded = FindJob(store.Load(), "team", "j1");
  REQUIRE(loaded->mResults.size() == 2);
  CHECK(loaded->mResults[0].mOutput == large);
  CHECK(loaded->mResults[0].mItem == 2);
  CHECK_FALSE(loaded->mResults[1].mCompleted);
  CHECK(loaded->mNextPosition == 2);
  CHECK(loaded->mItems[2].mFinished);
  CHECK_FALSE(loaded->mItems[1].mFinished);
  // Only the bodies of unfinished items are left.
  CHECK(loaded->mItems[2].mSubmitted.body.empty());
  CHECK(loaded->mItems[1].mSubmitted.body.size() == 7000);
}

TEST_CASE("jobs with any ids have keys of their own that the store takes")
{
  // Guards against keys that the store's client would have to cut, so that two
  // jobs overwrite each other.
  Newest store;
  const std::string begin(kMaxJobIdBytes - 1, 'i');
  const std::vector<std::string> ids = { "x",        "x/0",     "x/0/0",
                                         "x/1/0",    "x/2/0/0", begin + "a",
                                         begin + "b" };
  for (const auto& id : ids) {
    for (const auto& record : JobRecords(*Submission(id, 3), kMaxRecord)) {
      CHECK(record.mKey.size() <= 255);
      CHECK_FALSE(store.mValues.contains(record.mKey));
      store.mValues[record.mKey] = record.mValue;
    }
  }
  const auto table = store.Load();
  CHECK(table.mJobs.size() == ids.size());
  for (const auto& id : ids) {
    const auto job = FindJob(table, "team", id);
    REQUIRE(job);
    CHECK(job->mItems[2].mSubmitted.id == id + "-2");
    CHECK(job->mItems[2].mSubmitted.body.size() == 14000);
  }
}

TEST_CASE("removing a job removes all its records")
{
  Newest store;
  const auto job = Submission("j1", 3);
  store.Put(JobRecords(*job, kMaxRecord));
  for (std::uint32_t i = 0; i < 3; ++i) {
    store.Put(ResultRecords(*job, i, { i, true, "x" }, kMaxRecord));
  }
  store.Put(TombstoneRecords(*FindJob(store.Load(), "team", "j1"), kMaxRecord));
  CHECK(store.mValues.empty());
}

// A job of as many items as a submission may have, with long headers.
auto LargeSubmission() -> SubmittedJobPtr
{
  constexpr std::size_t kItems = 200;
  constexpr std::size_t kHeaderBytes = 1500;
  const auto job = Submission("large", 3);
  auto items = std::move(job->mItems);
  job->mItems.clear();
  for (std::size_t i = 0; i < kItems; ++i) {
    BatchItem item;
    item.mSubmitted = items[i % items.size()].mSubmitted;
    item.mSubmitted.id = "large-" + std::to_string(i);
    item.mSubmitted.headers[0]->value.assign(kHeaderBytes + i, 'h');
    job->mItems.push_back(std::move(item));
  }
  return job;
}

TEST_CASE("no record of a large job exceeds the limit of the store")
{
  // Guards against a job that the store never takes. Newest checks the sizes.
  Newest store;
  const auto job = LargeSubmission();
  store.Put(JobRecords(*job, kMaxRecord));
  const auto loaded = FindJob(store.Load(), "team", "large");
  REQUIRE(loaded);
  REQUIRE(loaded->mItems.size() == job->mItems.size());
  for (std::size_t i = 0; i < job->mItems.size(); ++i) {
    const auto& item = loaded->mItems[i].mSubmitted;
    const auto& submitted = job->mItems[i].mSubmitted;
    CHECK(item.id == submitted.id);
    CHECK(item.headers[0]->value == submitted.headers[0]->value);
    CHECK(item.body == submitted.body);
  }
  // A result shortens what is left of the job, an end writes it again.
  store.Put(ResultRecords(*loaded, 0, { 2, true, "x" }, kMaxRecord));
  loaded->mItems[2].mSubmitted.body = {};
  loaded->mEnded = true;
  store.Put({ JobRecord(*loaded) });
  const auto ended = FindJob(store.Load(), "team", "large");
  REQUIRE(ended);
  CHECK(ended->mEnded);
  CHECK(ended->mItems.size() == job->mItems.size());
  store.Put(TombstoneRecords(*ended, kMaxRecord));
  CHECK(store.mValues.empty());
}

TEST_CASE("a large job of which a record is missing is not loaded")
{
  // Guards against items that are lost because a submission was incomplete.
  Newest store;
  const auto records = JobRecords(*LargeSubmission(), kMaxRecord);
  for (std::size_t i = 0; i + 1 < records.size(); ++i) {
    if (!records[i].mKey.starts_with("b/")) {
      auto incomplete = records;
      incomplete.erase(incomplete.begin() + static_cast<std::ptrdiff_t>(i));
      Newest partial;
      partial.Put(incomplete);
      CHECK(partial.Load().mJobs.empty());
    }
  }
}

TEST_CASE("unreadable records do not affect other jobs")
{
  Newest store;
  store.Put(JobRecords(*Submission("good", 1), kMaxRecord));
  store.mValues["j/0000/bad"] = "garbage";
  store.mValues["nonsense"] = "garbage";
  CHECK(store.Load().mJobs.size() == 1);
}

TEST_CASE("queued tokens exclude finished items and ended jobs")
{
  JobTable table;
  const auto document = Document();
  const auto first = Submission("j1", 3);
  const auto second = Submission("j2", 2);
  table.mJobs[{ "team", "j1" }] = first;
  table.mJobs[{ "team", "j2" }] = second;
  CHECK(QueuedTokens(table, document, "team", "batch") == 500);
  first->mItems[0].mFinished = true;
  CHECK(QueuedTokens(table, document, "team", "batch") == 400);
  second->mEnded = true;
  CHECK(QueuedTokens(table, document, "team", "batch") == 200);
  CHECK(QueuedTokens(table, document, "other", "batch") == 0);
  CHECK(QueuedTokens(table, document, "team", "other") == 0);
}

TEST_CASE("only durable, unfinished, idle items run, the earliest due first")
{
  JobTable table;
  const auto document = Document();
  const auto late = Submission("late", 2);
  late->mSubmittedAt += seconds(5);
  late->mDurable = true;
  const auto early = Submission("early", 2);
  early->mDurable = true;
  early->mItems[0].mRunning = true;
  const auto pending = Submission("pending", 2);
  const auto ended = Submission("ended", 2);
  ended->mDurable = true;
  ended->mEnded = true;
  for (const auto& job : { late, early, pending, ended }) {
    table.mJobs[{ job->mTeam, job->mId }] = job;
  }
  const auto items = RunnableItems(table, document, "llm", 10, kClock);
  REQUIRE(items.size() == 3);
  CHECK(items[0].mJob == early);
  CHECK(items[0].mDue == kNow + seconds(18));
  CHECK(RunnableItems(table, document, "llm", 1, kClock).size() == 1);
  CHECK(RunnableItems(table, document, "other", 10, kClock).empty());
  early->mItems[1].mNotBefore = kNow + seconds(1);
  CHECK(RunnableItems(table, document, "llm", 10, kClock).size() == 2);
}

TEST_CASE("items are abandoned only after their time or without a route")
{
  JobTable table;
  auto document = Document();
  const auto job = Submission("j", 2);
  job->mDurable = true;
  job->mItems[0].mFinished = true;
  table.mJobs[{ "team", "j" }] = job;
  CHECK(AbandonedItems(table, document, kNow + seconds(60)).empty());
  CHECK(AbandonedItems(table, document, kNow + seconds(61)).size() == 1);
  document.mRoutes.clear();
  CHECK(AbandonedItems(table, document, kNow).size() == 1);
}

TEST_CASE("the age of an item is carried from owner to owner")
{
  // Guards against an owner that gives up items early since its clock is ahead
  // of the former owner's, and against ages that begin anew with each owner.
  const auto document = Document();
  for (const auto offset : { seconds(-10), seconds(0), seconds(10) }) {
    for (const auto handedOver : { false, true }) {
      CAPTURE(offset.count());
      CAPTURE(handedOver);
      Newest store;
      const auto job = Submission("j", 1);
      store.Put(JobRecords(*job, kMaxRecord));
      auto former = store.Load();
      // The former owner had stored an age of 50 s when it stopped at 55 s.
      store.Put({ ClockRecord(former.mClock, kNow + seconds(50)) });
      const auto stopped = kNow + seconds(55);
      auto next = store.Load(stopped + offset);
      if (handedOver) {
        ApplyProgress(
          next, CollectProgress(former, 1000, stopped), stopped + offset);
      }
      const auto left = seconds(handedOver ? 5 : 10);
      const auto abandoned = [&](milliseconds aAfter) {
        const auto now = stopped + offset + aAfter;
        return AbandonedItems(next, document, now).size();
      };
      CHECK(abandoned(left) == 0);
      CHECK(abandoned(left + milliseconds(1)) == 1);
      // The time goes on where it was, also for the next owner but one.
      const auto later = stopped + offset + seconds(3);
      store.Put({ ClockRecord(next.mClock, later) });
      const auto third = store.Load(kNow);
      CHECK(JobNow(third.mClock, kNow) == JobNow(next.mClock, later));
    }
  }
}

TEST_CASE("no job is from the future of its partition")
{
  // Guards against records of a version that stored wall times.
  Newest store;
  const auto job = Submission("j", 1);
  job->mSubmittedAt += seconds(500);
  store.Put({ ClockRecord({ kSubmitted, kNow }, kNow) });
  store.Put(JobRecords(*job, kMaxRecord));
  const auto table = store.Load();
  CHECK(JobNow(table.mClock, kNow) == job->mSubmittedAt);
  CHECK(JobNow(Newest{}.Load().mClock, kNow) == kSubmitted);
  // An earlier reading than the own one changes nothing.
  JobClock clock{ kSubmitted, kNow };
  Advance(clock, kSubmitted + seconds(1), kNow + seconds(2));
  CHECK(JobNow(clock, kNow + seconds(2)) == kSubmitted + seconds(2));
}

TEST_CASE("a new owner imports the progress of the former owner")
{
  // Guards against a handoff of a partition that discards the received events
  // of all running items, so that each of them repeats a run of several
  // seconds.
  JobTable former;
  JobTable next;
  for (auto* table : { &former, &next }) {
    const auto job = Submission("j", 6);
    job->mDurable = true;
    table->mJobs[{ "team", "j" }] = job;
  }
  auto& formerItems = former.mJobs.begin()->second->mItems;
  for (auto& item : formerItems) {
    item.mOutput = "a\nb\nc";
    item.mLastEvent = 3;
    item.mEvents = 3;
  }
  formerItems[1].mFinished = true; // all events received, result not stored
  formerItems[1].mCompleted = true;
  formerItems[2].mLastEvent = std::nullopt; // cannot be resumed
  formerItems[2].mFailures = 2;
  auto& nextItems = next.mJobs.begin()->second->mItems;
  nextItems[3].mFinished = true;
  nextItems[4].mOutput = "a\nb\nc\nd";
  nextItems[4].mLastEvent = 4;
  nextItems[4].mEvents = 4;
  nextItems[5].mRunning = true;
  const auto imported =
    ApplyProgress(next, CollectProgress(former, 1000, kNow), kNow);
  CHECK(imported.mItems == 2);
  CHECK(imported.mEvents == 6);
  REQUIRE(imported.mCompleted.size() == 1);
  CHECK(imported.mCompleted[0].mIndex == 1);
  CHECK(nextItems[0].mOutput == "a\nb\nc");
  CHECK(nextItems[0].mLastEvent == 3);
  CHECK(nextItems[2].mOutput.empty());
  CHECK(nextItems[2].mFailures == 2);
  CHECK(nextItems[3].mOutput.empty());
  CHECK(nextItems[4].mLastEvent == 4);
  CHECK(nextItems[5].mOutput.empty());
  // The page is bounded, and progress of ended or unknown jobs is ignored.
  CHECK(CollectProgress(former, 0, kNow).items.size() == 1);
  former.mJobs.begin()->second->mEnded = true;
  CHECK(CollectProgress(former, 1000, kNow).items.empty());
  JobTable empty;
  former.mJobs.begin()->second->mEnded = false;
  CHECK(
    ApplyProgress(empty, CollectProgress(former, 1000, kNow), kNow).mItems ==
    0);
}

TEST_CASE("a result page holds at least one result and continues the last one")
{
  const auto job = Submission("j", 3);
  for (std::uint32_t i = 0; i < 3; ++i) {
    job->mResults.push_back({ i, true, std::string(100, 'x') });
  }
  const auto first = MakeResultPage(*job, 0, 10);
  CHECK(first.total == 3);
  CHECK(first.results.size() == 1);
  CHECK(first.next == 1);
  CHECK(MakeResultPage(*job, 1, 1000).results.size() == 2);
  CHECK(MakeResultPage(*job, 7, 1000).next == 7);
}

} // namespace
} // namespace mangovalve
