// Property test: hosts that append, read, relay, restart and transfer state in
// any interleaving converge to the same state.
#include <algorithm>
#include <array>
#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include "mangovalve/base/property.h"
#include "mangovalve/base/random.h"
#include "mangovalve/config/submission.h"
#include "mangovalve/replay/commit_queue.h"
#include "mangovalve/replay/encode.h"
#include "mangovalve/replay/fake_log.h"
#include "mangovalve/replay/replica.h"
#include "mangovalve/replay/snapshot.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kHosts = 3;

// A host without threads: the test calls each step in virtual time.
struct Host
{
  std::unique_ptr<Replica> mReplica;
  CommitQueue mQueue;
  std::vector<std::shared_ptr<PendingRecord>> mRecords;
};

// Three hosts on one log. All random choices come from one seeded Random.
struct Fleet
{
  Random mRandom;
  FakeLog mLog;
  std::vector<Host> mHosts{ kHosts };
  TimePoint mNow{};
  LogTime mLogNow{};
  std::uint64_t mSubmitted = 0;
  // Last active revision of each host, to detect a host that reverts to an
  // earlier one.
  std::vector<std::uint64_t> mLastRevision = std::vector<std::uint64_t>(kHosts);
  bool mReverted = false;
};

auto StartHost(Fleet& aFleet, std::size_t aHost) -> void
{
  auto& host = aFleet.mHosts[aHost];
  ReplicaOptions options;
  options.mReadLimit = 5;
  options.mRecentBytes = 4000;
  host.mReplica = std::make_unique<Replica>(aFleet.mLog.Port(), options);
  host.mQueue = {};
  host.mRecords.clear();
  auto* const queue = &host.mQueue;
  host.mReplica->OnApplied([queue](const AppliedEntry& aApplied) {
    ResolveApplied(*queue, aApplied.mRecords, aApplied.mLogTime);
  });
  host.mReplica->OnSkipped([queue] { FailUncertain(*queue); });
}

auto RandomOutcome(Fleet& aFleet) -> FakeLog::AppendOutcome
{
  constexpr std::array kOutcomes{ FakeLog::AppendOutcome::Done,
                                  FakeLog::AppendOutcome::Done,
                                  FakeLog::AppendOutcome::Done,
                                  FakeLog::AppendOutcome::NotSent,
                                  FakeLog::AppendOutcome::Rejected,
                                  FakeLog::AppendOutcome::ResponseDropped,
                                  FakeLog::AppendOutcome::RequestDropped,
                                  FakeLog::AppendOutcome::Delayed };
  return kOutcomes[UniformBelow(aFleet.mRandom, kOutcomes.size())];
}

// Enqueues a submission that changes one team's rate, based on the revision
// that the host knows.
auto Submit(Fleet& aFleet, Host& aHost) -> void
{
  const auto number = ++aFleet.mSubmitted;
  const auto submission = aHost.mReplica->Read([&](const FleetState& aState) {
    auto document = *aState.mConfig.mDocument;
    const auto name = "team" + std::to_string(number % 4);
    document.mTeams[name] = { name, static_cast<double>(number), 9, 1, 9 };
    return PlanSubmission(aState.mConfig, aState.mConfig.mRevision, document);
  });
  if (!submission) {
    return;
  }
  auto draft = DraftSubmission(*submission);
  draft.mId = { 7, number };
  const auto record =
    Enqueue(aHost.mQueue, std::move(draft), CommitPriority::Configuration);
  if (record) {
    aHost.mRecords.push_back(*record);
  }
}

auto Flush(Fleet& aFleet, Host& aHost) -> void
{
  aFleet.mNow += std::chrono::seconds(2);
  if (const auto batch = NextBatch(aHost.mQueue, kHosts, aFleet.mNow)) {
    FinishAppend(
      aHost.mQueue, *batch, aFleet.mLog.Append(batch->mPayload), aFleet.mNow);
  }
}

// Relays the entries that one host has buffered to another, shuffled and with
// one duplicate.
auto Relay(Fleet& aFleet, const Host& aFrom, Host& aTo) -> void
{
  auto entries = aFrom.mReplica->Recent(aTo.mReplica->Next(), 100000).mEntries;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    std::swap(entries[i],
              entries[UniformBelow(aFleet.mRandom, entries.size())]);
  }
  if (!entries.empty()) {
    entries.push_back(entries[UniformBelow(aFleet.mRandom, entries.size())]);
  }
  aTo.mReplica->ApplyRelayed(std::move(entries));
}

// Appends a snapshot of one host, in one of three cases without its last piece.
// After half of the complete ones, expires the entries before the snapshot.
auto WriteSnapshot(Fleet& aFleet, const Host& aHost) -> void
{
  if (!aHost.mReplica->CaughtUp()) {
    return;
  }
  const auto state = aHost.mReplica->Capture();
  auto pieces = SplitState(state, 300);
  const auto incomplete = UniformBelow(aFleet.mRandom, 3) == 0;
  if (incomplete) {
    pieces.pop_back();
  }
  aFleet.mLog.SetAppendOutcome({});
  for (const auto& piece : pieces) {
    const auto draft = DraftPiece(piece);
    (void)aFleet.mLog.Append(EncodeBatch("test", aFleet.mLogNow, { &draft }));
  }
  aFleet.mLog.SetAppendOutcome([&aFleet] { return RandomOutcome(aFleet); });
  if (!incomplete && UniformBelow(aFleet.mRandom, 2) == 0) {
    aFleet.mLog.Expire(state.mAsOf);
  }
}

auto TransferState(const Host& aFrom, Host& aTo) -> void
{
  if (!aFrom.mReplica->CaughtUp()) {
    return;
  }
  StateAssembler assembler;
  for (auto& piece : SplitState(aFrom.mReplica->Capture(), 100)) {
    if (const auto state = AddPiece(assembler, std::move(piece))) {
      CHECK(aTo.mReplica->Restore(*state));
    }
  }
}

auto TrackRevisions(Fleet& aFleet) -> void
{
  for (std::size_t i = 0; i < kHosts; ++i) {
    auto& replica = *aFleet.mHosts[i].mReplica;
    if (!replica.CaughtUp()) {
      continue;
    }
    const auto revision = replica.CurrentDocument()->mRevision;
    aFleet.mReverted = aFleet.mReverted || revision < aFleet.mLastRevision[i];
    aFleet.mLastRevision[i] = revision;
  }
}

auto RandomStep(Fleet& aFleet) -> void
{
  auto& random = aFleet.mRandom;
  const auto at = UniformBelow(random, kHosts);
  auto& host = aFleet.mHosts[at];
  auto& other = aFleet.mHosts[UniformBelow(random, kHosts)];
  aFleet.mLogNow += milliseconds(UniformBelow(random, 20000));
  aFleet.mLog.SetTime(aFleet.mLogNow);
  switch (UniformBelow(random, 12)) {
    case 0:
    case 1:
      Submit(aFleet, host);
      break;
    case 2:
    case 3:
    case 4:
      Flush(aFleet, host);
      break;
    case 5:
    case 6:
      host.mReplica->Step(aFleet.mNow);
      break;
    case 7:
    case 8:
      Relay(aFleet, other, host);
      break;
    case 9:
      WriteSnapshot(aFleet, host);
      break;
    case 10:
      TransferState(other, host);
      break;
    default:
      if (UniformBelow(random, 3) == 0) {
        StartHost(aFleet, at);
        aFleet.mLastRevision[at] = 0; // none is active until it catches up
      } else {
        aFleet.mLog.CompleteDelayed();
      }
  }
  TrackRevisions(aFleet);
}

// Stops all faults and lets every host read to the end of the log.
auto FinishWithoutFaults(Fleet& aFleet) -> void
{
  aFleet.mLog.SetAppendOutcome({});
  aFleet.mLog.CompleteDelayed();
  for (auto round = 0; round < 200; ++round) {
    for (auto& host : aFleet.mHosts) {
      Flush(aFleet, host);
      host.mReplica->Step(aFleet.mNow);
    }
    TrackRevisions(aFleet);
  }
}

auto RunFleet(Fleet& aFleet, std::uint64_t aSeed) -> void
{
  aFleet.mRandom.mState = aSeed;
  aFleet.mLog.SetAppendOutcome([&aFleet] { return RandomOutcome(aFleet); });
  for (std::size_t i = 0; i < kHosts; ++i) {
    StartHost(aFleet, i);
  }
  for (auto i = 0; i < 150; ++i) {
    RandomStep(aFleet);
  }
  FinishWithoutFaults(aFleet);
}

// Whether the history agrees with the verdict that each waiter got, and every
// revision in the history can be reconstructed.
auto VerdictsMatchHistory(const Host& aHost) -> bool
{
  return aHost.mReplica->Read([&](const FleetState& aState) {
    for (const auto& each : aHost.mRecords) {
      if (!each->mOutcome || !each->mOutcome->mVerdict.mAccepted) {
        continue;
      }
      const auto* const revision =
        FindRevision(aState.mConfig, each->mOutcome->mVerdict.mDetail);
      if (revision == nullptr ||
          revision->mContext.mOffset != each->mOutcome->mContext.mOffset) {
        return false;
      }
    }
    const auto& history = aState.mConfig.mHistory;
    return std::all_of(history.begin(), history.end(), [&](const auto& aEach) {
      return EntriesDigest(*EntriesAt(aState.mConfig, aEach.mNumber)) ==
             aEach.mDigest;
    });
  });
}

// Guards against hosts that diverge after dropped responses, delayed, duplicate
// and reordered entries, restarts from snapshots (including incomplete ones),
// expiry of log entries and state transfer, and against a host that reverts to
// an earlier revision.
TEST_CASE("all hosts converge to the same state in any interleaving")
{
  CHECK(CheckSeeded(20261204, 300, [](std::uint64_t aSeed) {
    Fleet fleet;
    RunFleet(fleet, aSeed);
    const auto expected = fleet.mHosts[0].mReplica->Capture();
    RC_ASSERT(expected.mAsOf > 0);
    for (const auto& host : fleet.mHosts) {
      RC_ASSERT(host.mReplica->CaughtUp());
      const auto state = host.mReplica->Capture();
      RC_ASSERT(state.mAsOf == expected.mAsOf);
      RC_ASSERT(state.mData == expected.mData);
      RC_ASSERT(VerdictsMatchHistory(host));
    }
    RC_ASSERT(!fleet.mReverted);
  }));
}

} // namespace
} // namespace mangovalve
