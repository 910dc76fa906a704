// Tests of group commit in virtual time.
#include "mangovalve/replay/commit_queue.h"

#include <doctest/doctest.h>

#include "mangovalve/replay/fleet_state.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using Kind = PlatformError::Kind;

auto Draft(std::uint64_t aId, std::size_t aSize = 256) -> RecordDraft
{
  RecordDraft draft;
  draft.mId = { 1, aId };
  draft.mType = record::RecordBody::HostRemoved;
  draft.mSizeHint = aSize;
  draft.mBuild = [aSize](flatbuffers::FlatBufferBuilder& aBuilder) {
    const std::string host(aSize, 'h');
    return record::CreateHostRemovedDirect(aBuilder, host.c_str()).Union();
  };
  return draft;
}

auto Ids(const std::optional<CommitBatch>& aBatch) -> std::vector<std::uint64_t>
{
  std::vector<std::uint64_t> ids;
  if (aBatch) {
    for (const auto& id : aBatch->mIds) {
      ids.push_back(id.mLow);
    }
  }
  return ids;
}

using IdList = std::vector<std::uint64_t>;

auto Failure(Kind aKind) -> Result<Offset, PlatformError>
{
  return Err(PlatformError{ aKind, "test" });
}

// Guards against online requests and configuration changes that wait behind
// batch results.
TEST_CASE("configuration precedes claims, and claims precede results")
{
  CommitQueue queue;
  REQUIRE(Enqueue(queue, Draft(1), CommitPriority::Result));
  REQUIRE(Enqueue(queue, Draft(2), CommitPriority::Claim));
  REQUIRE(Enqueue(queue, Draft(3), CommitPriority::Configuration));
  REQUIRE(Enqueue(queue, Draft(4), CommitPriority::Claim));
  CHECK(Ids(NextBatch(queue, 1, {})) == IdList{ 3, 2, 4, 1 });
}

// Guards against hosts that together exceed the append budget of the platform.
TEST_CASE("the interval of appends is the number of hosts over the budget")
{
  CommitQueue queue;
  queue.mOptions.mFleetAppendsPerSecond = 100;
  queue.mOptions.mMaxBatchBytes = 100;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    REQUIRE(Enqueue(queue, Draft(i), CommitPriority::Claim));
  }
  auto appends = 0;
  for (auto now = TimePoint{}; now < TimePoint{} + std::chrono::seconds(10);
       now += milliseconds(1)) {
    if (const auto batch = NextBatch(queue, 9, now)) {
      ++appends;
      FinishAppend(queue, *batch, Offset{ 1 }, now);
    }
  }
  // 10 s at one append per 90 ms.
  CHECK(appends == 112);
}

// Guards against an append that the platform rejects as too large.
TEST_CASE("batches are split by size, and only an oversized record fails")
{
  CommitQueue queue;
  queue.mOptions.mMaxBatchBytes = 1000;
  queue.mOptions.mMaxRecordBytes = 2000;
  REQUIRE(Enqueue(queue, Draft(1, 600), CommitPriority::Claim));
  REQUIRE(Enqueue(queue, Draft(2, 600), CommitPriority::Claim));
  REQUIRE(Enqueue(queue, Draft(3, 1500), CommitPriority::Claim));
  CHECK(Enqueue(queue, Draft(4, 2001), CommitPriority::Claim).error().mKind ==
        JournalError::Kind::TooLarge);
  CHECK(Ids(NextBatch(queue, 1, TimePoint{ std::chrono::seconds(1) })) ==
        IdList{ 1 });
  CHECK(Ids(NextBatch(queue, 1, TimePoint{ std::chrono::seconds(2) })) ==
        IdList{ 2 });
  CHECK(Ids(NextBatch(queue, 1, TimePoint{ std::chrono::seconds(3) })) ==
        IdList{ 3 });
}

// Guards against memory use that grows while the platform is unavailable.
TEST_CASE("the queue is bounded in records and in bytes")
{
  CommitQueue queue;
  queue.mOptions.mMaxQueuedRecords = 3;
  queue.mOptions.mMaxQueuedBytes = 1000;
  REQUIRE(Enqueue(queue, Draft(1, 400), CommitPriority::Result));
  REQUIRE(Enqueue(queue, Draft(2, 400), CommitPriority::Result));
  const auto byBytes = Enqueue(queue, Draft(3, 400), CommitPriority::Result);
  CHECK(byBytes.error().mKind == JournalError::Kind::QueueFull);
  auto third = Enqueue(queue, Draft(3, 100), CommitPriority::Result);
  REQUIRE(third);
  CHECK_FALSE(Enqueue(queue, Draft(4, 1), CommitPriority::Result));
  CHECK(RemoveWaiter(queue, *third).error().mKind ==
        JournalError::Kind::NotAppended);
  CHECK(Enqueue(queue, Draft(4, 1), CommitPriority::Result));
}

// Guards against reporting NotAppended for a record that takes effect later.
// A record may be reported so only if none of its appends can have reached the
// log.
TEST_CASE("the error at the deadline depends on all appends of the record")
{
  struct Case
  {
    std::vector<Result<Offset, PlatformError>> mAppends;
    JournalError::Kind mExpected;
  };
  const std::vector<Case> cases{
    { {}, JournalError::Kind::NotAppended },
    { { Failure(Kind::NotSent) }, JournalError::Kind::NotAppended },
    { { Failure(Kind::Rejected), Failure(Kind::NotSent) },
      JournalError::Kind::NotAppended },
    { { Failure(Kind::OutcomeUnknown) }, JournalError::Kind::OutcomeUnknown },
    { { Failure(Kind::Malformed) }, JournalError::Kind::OutcomeUnknown },
    { { Failure(Kind::OutcomeUnknown), Failure(Kind::NotSent) },
      JournalError::Kind::OutcomeUnknown },
    { { Offset{ 5 } }, JournalError::Kind::OutcomeUnknown },
  };
  for (const auto& each : cases) {
    CommitQueue queue;
    const auto record = Enqueue(queue, Draft(1), CommitPriority::Claim);
    TimePoint now{};
    for (const auto& result : each.mAppends) {
      now += std::chrono::seconds(5);
      const auto batch = NextBatch(queue, 1, now);
      REQUIRE(Ids(batch) == IdList{ 1 });
      FinishAppend(queue, *batch, result, now);
    }
    CHECK(RemoveWaiter(queue, *record).error().mKind == each.mExpected);
    CHECK(queue.mPending.empty());
    CHECK(queue.mBytes == 0);
  }
  CommitQueue queue; // the deadline expires during the append
  const auto record = Enqueue(queue, Draft(1), CommitPriority::Claim);
  REQUIRE(NextBatch(queue, 1, {}));
  CHECK(RemoveWaiter(queue, *record).error().mKind ==
        JournalError::Kind::OutcomeUnknown);
}

// Guards against a record that is dropped with its append, and against one that
// is still appended after it was read back.
TEST_CASE("a record is appended again until it is read back")
{
  CommitQueue queue;
  const auto record = Enqueue(queue, Draft(1), CommitPriority::Claim);
  TimePoint now{};
  for (auto i = 0; i < 5; ++i) {
    now += std::chrono::seconds(5);
    const auto batch = NextBatch(queue, 1, now);
    REQUIRE(Ids(batch) == IdList{ 1 });
    FinishAppend(queue, *batch, Failure(Kind::OutcomeUnknown), now);
  }
  AppliedRecord applied;
  applied.mId = { 1, 1 };
  applied.mContext.mOffset = 9;
  applied.mVerdict = Accepted();
  ResolveApplied(queue, { applied }, {});
  CHECK_FALSE(NextBatch(queue, 1, now + std::chrono::seconds(5)));
  REQUIRE((*record)->mOutcome);
  CHECK(RemoveWaiter(queue, *record)->mContext.mOffset == 9);
}

// Guards against a writer that drops a record whose batch expired before it was
// appended.
TEST_CASE("an expired record is appended again under a new stamp")
{
  CommitQueue queue;
  REQUIRE(Enqueue(queue, Draft(1), CommitPriority::Claim));
  const auto batch = NextBatch(queue, 1, {});
  FinishAppend(queue, *batch, Offset{ 0 }, {});
  const LogTime late(kDeduplicationWindow * 2);
  FleetState state;
  const auto outcome = ApplyEntry(state, { 0, late, batch->mPayload });
  REQUIRE(outcome.mRecords.size() == 1);
  REQUIRE(outcome.mRecords[0].mKind == AppliedRecord::Kind::Expired);
  ResolveApplied(queue, outcome.mRecords, state.mLogTime);
  const auto again = NextBatch(queue, 1, TimePoint{ std::chrono::seconds(1) });
  REQUIRE(again);
  const auto second = ApplyEntry(state, { 1, late, again->mPayload });
  CHECK(second.mRecords[0].mKind == AppliedRecord::Kind::First);
}

// Guards against a record that is never appended again because its expired
// batch was read back before the response to the append.
TEST_CASE("a record that expires during its append is appended again")
{
  CommitQueue queue;
  const auto record = Enqueue(queue, Draft(1), CommitPriority::Claim);
  const auto batch = NextBatch(queue, 1, {});
  AppliedRecord expired;
  expired.mKind = AppliedRecord::Kind::Expired;
  expired.mId = { 1, 1 };
  ResolveApplied(queue, { expired }, LogTime(kDeduplicationWindow * 2));
  FinishAppend(queue, *batch, Offset{ 0 }, {});
  CHECK(Ids(NextBatch(queue, 1, TimePoint{ std::chrono::seconds(1) })) ==
        IdList{ 1 });
}

// Guards against retries that use up the append budget while appends fail.
TEST_CASE("failed appends are retried with exponential backoff")
{
  CommitQueue queue;
  REQUIRE(Enqueue(queue, Draft(1), CommitPriority::Claim));
  auto attempts = 0;
  for (auto now = TimePoint{}; now < TimePoint{} + std::chrono::seconds(60);
       now += milliseconds(10)) {
    if (const auto batch = NextBatch(queue, 9, now)) {
      ++attempts;
      FinishAppend(queue, *batch, Failure(Kind::Rejected), now);
    }
  }
  // Backoff of 50, 100, 200, 400 and 800 ms, then one append per second.
  CHECK(attempts >= 60);
  CHECK(attempts <= 66);
}

} // namespace
} // namespace mangovalve
