// Tests of the replica: readiness, initial state, gaps in the entries, and
// commits with the real threads.
#include "mangovalve/replay/replica.h"

#include <doctest/doctest.h>

#include "mangovalve/config/submission.h"
#include "mangovalve/replay/encode.h"
#include "mangovalve/replay/fake_log.h"
#include "mangovalve/replay/log_writer.h"
#include "mangovalve/replay/snapshotter.h"

namespace mangovalve {
namespace {

auto SubmissionOf(const FleetState& aState, double aRate) -> RecordDraft
{
  auto document = *aState.mConfig.mDocument;
  document.mTeams["alpha"] = { "alpha", aRate, 9, 1, 9 };
  auto draft = DraftSubmission(
    *PlanSubmission(aState.mConfig, aState.mConfig.mRevision, document));
  draft.mId = { 3, static_cast<std::uint64_t>(aRate) };
  return draft;
}

// Appends aCount entries with one submission each, which set the rates 1 to
// aCount. Returns the resulting state.
auto FillLog(FakeLog& aLog, int aCount) -> FleetState
{
  FleetState state;
  for (auto i = 1; i <= aCount; ++i) {
    const auto draft = SubmissionOf(state, i);
    const auto payload = EncodeBatch("test", {}, { &draft });
    const auto offset = *aLog.Append(payload);
    ApplyEntry(state, { offset, {}, payload });
  }
  return state;
}

auto AppendSnapshot(FakeLog& aLog, const FleetState& aState) -> void
{
  for (const auto& piece : SplitState({ aState.mNext, Save(aState) }, 500)) {
    const auto draft = DraftPiece(piece);
    (void)aLog.Append(EncodeBatch("test", {}, { &draft }));
  }
}

auto StepAll(Replica& aReplica) -> void
{
  for (auto i = 0; i < 20; ++i) {
    aReplica.Step({});
  }
}

auto RateOf(const Replica& aReplica) -> double
{
  return aReplica.CurrentDocument()->mTeams.at("alpha").mRate;
}

// Guards against a host that serves from an empty configuration.
TEST_CASE("a replica is ready when it has caught up and has a document")
{
  FakeLog log;
  Replica replica(log.Port());
  CHECK_FALSE(replica.CaughtUp());
  StepAll(replica);
  CHECK(replica.CaughtUp());
  CHECK_FALSE(replica.Ready());
  FillLog(log, 1);
  StepAll(replica);
  CHECK(replica.Ready());
  CHECK(RateOf(replica) == 1);
  // A ready replica stays ready during an outage of the platform.
  log.SetReachable(false);
  CHECK_FALSE(replica.Step({}));
  CHECK(replica.Ready());
}

// Guards against a replica that starts from an empty state although the first
// entries of the log have expired.
TEST_CASE("without the first entries a snapshot or a peer is needed")
{
  FakeLog log;
  const auto state = FillLog(log, 10);
  log.Expire(4);
  Replica replica(log.Port());
  StepAll(replica);
  CHECK_FALSE(replica.CaughtUp());
  CHECK(replica.Next() == 0);
  CHECK_FALSE(replica.CatchUpError().empty());
  SUBCASE("snapshot")
  {
    AppendSnapshot(log, state);
  }
  SUBCASE("peer")
  {
    REQUIRE(replica.Restore({ state.mNext, Save(state) }));
  }
  StepAll(replica);
  CHECK(replica.Ready());
  CHECK(RateOf(replica) == 10);
  CHECK(replica.CatchUpError().empty());
}

// Guards against a start from a snapshot that lacks a piece, and against a host
// that reverts to an older snapshot which was appended after a newer one.
TEST_CASE("incomplete and stale snapshots are ignored")
{
  FakeLog log;
  FillLog(log, 3);
  FleetState old;
  const auto page = log.Read(0, 100);
  for (const auto& entry : page->mEntries) {
    ApplyEntry(old, entry);
  }
  auto state = old;
  for (auto rate = 4; rate <= 6; ++rate) {
    const auto draft = SubmissionOf(state, rate);
    const auto payload = EncodeBatch("test", {}, { &draft });
    ApplyEntry(state, { *log.Append(payload), {}, payload });
  }
  AppendSnapshot(log, state);
  AppendSnapshot(log, old); // stale
  auto pieces = SplitState({ state.mNext + 1, "unfinished" }, 4);
  const auto draft = DraftPiece(pieces[0]);
  (void)log.Append(EncodeBatch("test", {}, { &draft }));
  SUBCASE("everything is retained") {}
  SUBCASE("the stale snapshot's entries have expired")
  {
    log.Expire(5);
  }
  Replica replica(log.Port());
  StepAll(replica);
  CHECK(replica.Ready());
  CHECK(RateOf(replica) == 6);
  // A running host ignores an older state from a peer.
  REQUIRE(replica.Restore({ old.mNext, Save(old) }));
  CHECK(RateOf(replica) == 6);
}

// Guards against a host that cannot start while the platform is unavailable
// although a peer has the state.
TEST_CASE("a host starts from a peer while the platform is unavailable")
{
  FakeLog log;
  const auto state = FillLog(log, 5);
  log.SetReachable(false);
  Replica replica(log.Port());
  StepAll(replica);
  CHECK_FALSE(replica.Ready());
  const auto saved = Save(state);
  CHECK_FALSE(replica.Restore({ 5, saved.substr(0, saved.size() / 2) }));
  CHECK_FALSE(replica.Restore({ 4, saved }));
  CHECK_FALSE(replica.Ready());
  REQUIRE(replica.Restore({ 5, saved }));
  CHECK(replica.Ready());
  CHECK(RateOf(replica) == 5);
}

// Guards against relayed entries that are applied out of order or with a gap.
TEST_CASE("relayed entries are applied in log order")
{
  FakeLog log;
  FillLog(log, 6);
  const auto entries = log.Read(0, 100)->mEntries;
  ReplicaOptions options;
  options.mMaxReordered = 3;
  Replica replica(log.Port(), options);
  replica.Step({}); // initializes the state
  log.SetReachable(false);
  replica.ApplyRelayed({ entries[2], entries[1] });
  CHECK(replica.Next() == 0);
  replica.ApplyRelayed(
    { entries[5], entries[4], entries[3] }); // holds back only 1, 2, 3
  replica.ApplyRelayed({ entries[0], entries[0] });
  CHECK(replica.Next() == 4);
  replica.ApplyRelayed(entries);
  CHECK(replica.Next() == 6);
  CHECK(RateOf(replica) == 6);
  const auto recent = replica.Recent(3, 1);
  CHECK(recent.mFirstAvailable == 0);
  REQUIRE(recent.mEntries.size() == 1);
  CHECK(recent.mEntries[0].mOffset == 3);
  CHECK(replica.Recent(9, 1).mEntries.empty());
}

// Guards against a waiter that gets no result because the host skipped the
// entry that holds its record.
TEST_CASE("records that may have been skipped fail with OutcomeUnknown")
{
  FakeLog log;
  Replica replica(log.Port());
  CommitQueue queue;
  replica.OnSkipped([&queue] { FailUncertain(queue); });
  StepAll(replica);
  const auto record = Enqueue(
    queue, SubmissionOf(FleetState(), 1), CommitPriority::Configuration);
  const auto batch = NextBatch(queue, 1, {});
  FinishAppend(queue, *batch, log.Append(batch->mPayload), {});
  FleetState later;
  later.mNext = 8;
  REQUIRE(replica.Restore({ 8, Save(later) }));
  REQUIRE((*record)->mFailure); // without waiting for the deadline
  CHECK(RemoveWaiter(queue, *record).error().mKind ==
        JournalError::Kind::OutcomeUnknown);
}

// Runs the reader and writer threads on a log that drops every request or its
// response, alternately. Guards against a commit that fails although its record
// is in the log.
TEST_CASE("a commit returns the verdict although responses are dropped")
{
  FakeLog log;
  auto count = 0;
  log.SetAppendOutcome([&count] {
    return ++count % 2 == 0 ? FakeLog::AppendOutcome::ResponseDropped
                            : FakeLog::AppendOutcome::RequestDropped;
  });
  ReplicaOptions options;
  options.mRetryDelay = std::chrono::milliseconds(1);
  Replica replica(log.Port(), options);
  CommitOptions commit;
  commit.mFleetAppendsPerSecond = 1000;
  LogWriter writer(
    log.Port(), replica, commit, [] { return std::size_t{ 1 }; });
  Snapshotter snapshotter(replica, writer.Port(), {});
  replica.Start();
  writer.Start();
  const auto port = writer.Port();
  for (auto rate = 1; rate <= 5; ++rate) {
    auto draft = replica.Read(
      [&](const FleetState& aState) { return SubmissionOf(aState, rate); });
    const auto committed = port.mCommit(std::move(draft),
                                        CommitPriority::Configuration,
                                        Clock::now() + std::chrono::minutes(5));
    REQUIRE(committed);
    CHECK(committed->mVerdict.mAccepted);
    CHECK(committed->mVerdict.mDetail == static_cast<std::uint64_t>(rate));
    const auto payload = port.mFetch(committed->mContext.mOffset, Clock::now());
    REQUIRE(payload);
    CHECK(VerifiedBatch(*payload) != nullptr);
  }
  CHECK(replica.Ready());
  writer.Stop();
  CHECK(port.mCommit({}, CommitPriority::Result, Clock::now()).error().mKind ==
        JournalError::Kind::NotAppended);
  replica.Stop();
}

// Guards against snapshots that are never written, and against hooks that are
// called to re-append records when it is too late.
TEST_CASE("the snapshotter writes a snapshot that a new host starts from")
{
  FakeLog log;
  Replica replica(log.Port());
  JournalPort journal;
  journal.mCommit = [&](RecordDraft aDraft,
                        CommitPriority,
                        TimePoint) -> Result<Committed, JournalError> {
    (void)log.Append(
      EncodeBatch("test", LogTime(std::chrono::hours(3)), { &aDraft }));
    return Committed{};
  };
  SnapshotterOptions options;
  options.mRetention = std::chrono::hours(4);
  Snapshotter snapshotter(replica, journal, options);
  Offset reappendBelow = 0;
  snapshotter.OnReappend([&](Offset aBelow) { reappendBelow = aBelow; });
  FillLog(log, 10);
  StepAll(replica);
  const auto now = Clock::now();
  CHECK_FALSE(snapshotter.Tick(now));
  CHECK(reappendBelow == 0);
  log.SetTime(LogTime(std::chrono::hours(3)));
  (void)log.Append("");
  StepAll(replica);
  CHECK(snapshotter.Tick(now));
  CHECK(reappendBelow == 0); // one sample: no entry is known to be old enough
  StepAll(replica);
  CHECK_FALSE(snapshotter.Tick(now));
  // The entries of an idle log expire as well, so the log time is extrapolated.
  CHECK_FALSE(snapshotter.Tick(now + std::chrono::minutes(9)));
  CHECK(snapshotter.Tick(now + std::chrono::minutes(30)));
  log.Expire(10);
  Replica fresh(log.Port());
  StepAll(fresh);
  CHECK(fresh.Ready());
  CHECK(RateOf(fresh) == 10);
}

} // namespace
} // namespace mangovalve
