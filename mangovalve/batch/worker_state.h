// Decisions of a host's batch worker: which chunks to claim, which items to
// run, and which records to commit. They are functions over plain structs that
// get the time as an argument; Worker (worker.h) executes the resulting
// actions.
//
// The replayed state decides which chunks the host holds: a chunk is processed
// while its current claim names this holder, even if the response to the append
// of the claim was not received.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mangovalve/batch/ports.h"
#include "mangovalve/batch/records.h"

namespace mangovalve {

struct WorkerSettings
{
  // Host and incarnation. A restarted host is a different holder, so that it
  // never treats intents of its former process as its own.
  std::string mHolder;
  std::uint32_t mMaxChunks = 16;
  std::size_t mMaxLoadedBytes = std::size_t{ 64 } << 20;
  // Bytes of results that are not yet in the log. No item is started above this
  // limit.
  std::size_t mMaxBufferedBytes = std::size_t{ 32 } << 20;
  // A result record is written when it is this large or old, or when it
  // completes its chunk.
  std::size_t mFlushItems = 64;
  std::size_t mFlushBytes = std::size_t{ 256 } << 10;
  Duration mFlushAge = std::chrono::seconds(2);
  std::uint32_t mMaxResultCommits = 8;
  // Delay before a failed item, commit or fetch is retried. For an item it
  // doubles with each attempt, up to the maximum.
  Duration mRetryDelay = std::chrono::seconds(1);
  Duration mMaxRetryDelay = std::chrono::seconds(60);
  Duration mScanInterval = std::chrono::seconds(1);
  // After this many holders of a chunk have failed, its items run one at a
  // time, each after a recorded intent, to identify an item that crashes its
  // host.
  std::uint32_t mSuspectTakeovers = 2;
};

// A chunk under one claim.
struct HeldKey
{
  JobKey mKey;
  std::uint32_t mChunk = 0;
  Offset mClaim = 0;

  auto operator==(const HeldKey&) const -> bool = default;
  auto operator<(const HeldKey& aOther) const -> bool
  {
    return std::tie(mKey, mChunk, mClaim) <
           std::tie(aOther.mKey, aOther.mChunk, aOther.mClaim);
  }
};

enum class ItemStage : std::uint8_t
{
  Ready,            // may be started from mNotBefore on
  CommittingIntent, // its intent is being committed
  Running,
  Reported, // its result is in the buffer or in the log
};

struct HeldItem
{
  ItemBody mBody;
  ItemStage mStage = ItemStage::Ready;
  std::uint32_t mAttempts = 0;
  bool mIntentCommitted = false; // intent read back and not used by an attempt
  TimePoint mNotBefore{};
  std::optional<ResumePoint> mResume;
};

struct HeldChunk
{
  JobOptions mOptions;
  std::string mService;
  bool mSuspect = false;
  bool mLoading = false;
  bool mLoaded = false;
  bool mReconciled = false; // items compared with the replayed state
  TimePoint mLoadNotBefore{};
  std::size_t mBytes = 0;
  std::map<std::uint32_t, HeldItem> mItems; // unfinished items, by index
};

struct RunningItem
{
  HeldKey mHeld;
  BatchDispatch mDispatch;
  std::uint32_t mAttempts = 0;
  std::string mCustomId;
  std::size_t mBodyBytes = 0;
  StopReason mStop = StopReason::None;
};

// Results of one chunk that wait for the next result record.
struct ResultBuffer
{
  std::vector<ItemOutcome> mOutcomes;
  std::size_t mBytes = 0;
  TimePoint mOldest{};
};

struct PendingCommit
{
  enum class Kind : std::uint8_t
  {
    Claim,
    Release,
    Intent,
    Results,
  };
  Kind mKind = Kind::Claim;
  HeldKey mHeld;
  std::uint32_t mIndex = 0;  // Intent
  std::size_t mBytes = 0;    // Results
  std::size_t mOutcomes = 0; // Results
  RecordDraft mDraft;
  bool mInFlight = false;
  TimePoint mNotBefore{};
};

struct RecordIdLess
{
  auto operator()(const Id128& aLeft, const Id128& aRight) const -> bool
  {
    return std::tie(aLeft.mHigh, aLeft.mLow) <
           std::tie(aRight.mHigh, aRight.mLow);
  }
};

struct WorkerState
{
  std::map<HeldKey, HeldChunk> mHeld;
  std::map<HeldKey, ResultBuffer> mBuffers;
  std::map<Id128, PendingCommit, RecordIdLess> mCommits; // by record id
  std::map<std::uint64_t, RunningItem> mRunning; // by token, oldest first
  std::size_t mBufferedBytes = 0; // of buffers and pending result records
  std::uint64_t mNextToken = 1;
  TimePoint mNextScan{};
  TimePoint mNextClaim{};
};

// Inputs of one step.
struct WorkerInput
{
  const BatchState& mBatch;
  TimePoint mNow{};
  std::vector<StreamLimit> mStreamLimits;
  bool mMayUseRoles = true;
  // Set while draining: no item is started, and running items are abandoned at
  // this time.
  std::optional<TimePoint> mDrainDeadline;
  const Holders& mHolders;
  // Service of a route; empty if the document has no such route.
  const std::function<auto(const std::string&)->std::string>& mServiceOf;
};

struct WorkerAction
{
  enum class Kind : std::uint8_t
  {
    Commit,   // mDraft, mPriority; then OnCommitted
    Load,     // mHeld, mPositions; then OnLoaded
    Dispatch, // mToken, mDispatch; then OnDispatched
    Stop,     // mToken, mStop
  };
  Kind mKind = Kind::Commit;
  RecordDraft mDraft;
  CommitPriority mPriority = CommitPriority::Result;
  HeldKey mHeld;
  std::vector<Position> mPositions;
  std::uint64_t mToken = 0;
  BatchDispatch mDispatch;
  StopReason mStop = StopReason::None;
};

// Decides on the actions for now and updates aState as if they had been
// started.
auto Step(WorkerState& aState,
          const WorkerSettings& aSettings,
          const WorkerInput& aInput) -> std::vector<WorkerAction>;

auto OnCommitted(WorkerState& aState,
                 const WorkerSettings& aSettings,
                 const Id128& aRecord,
                 const Result<Verdict, JournalError>& aResult,
                 TimePoint aNow) -> void;

// Bodies from the records that the Load action named. Bodies of items of other
// chunks are ignored.
auto OnLoaded(WorkerState& aState,
              const WorkerSettings& aSettings,
              const HeldKey& aHeld,
              const Result<std::vector<ItemBody>, std::string>& aBodies,
              TimePoint aNow) -> void;

auto OnDispatched(WorkerState& aState,
                  const WorkerSettings& aSettings,
                  std::uint64_t aToken,
                  const DispatchOutcome& aOutcome,
                  TimePoint aNow) -> void;

// Whether no chunk is held, no item runs and no record waits to be committed.
auto IsIdle(const WorkerState& aState) -> bool;

} // namespace mangovalve
