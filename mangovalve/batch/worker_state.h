// Decisions of a host's batch worker, as functions over plain structs with the
// time passed in: which chunks to claim, which items to run, what to commit.
//
// The replayed state decides what the host holds: a chunk is worked on while
// its current claim names this holder, whether or not the answer of the claim's
// append arrived. Worker (worker.h) carries the actions out.
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
  // Host and incarnation. A restarted host is another holder, so that it never
  // mistakes intents of its former process for its own.
  std::string mHolder;
  std::uint32_t mMaxChunks = 16;
  std::size_t mMaxLoadedBytes = std::size_t{ 64 } << 20;
  // Results waiting for the log. Above it no item is started.
  std::size_t mMaxBufferedBytes = std::size_t{ 32 } << 20;
  // A result record is written when it is this large or old, or ends a chunk.
  std::size_t mFlushItems = 64;
  std::size_t mFlushBytes = std::size_t{ 256 } << 10;
  Duration mFlushAge = std::chrono::seconds(2);
  std::uint32_t mMaxResultCommits = 8;
  // Delay before a failed item, commit or fetch is tried again; doubles per
  // attempt of an item up to the maximum.
  Duration mRetryDelay = std::chrono::seconds(1);
  Duration mMaxRetryDelay = std::chrono::seconds(60);
  Duration mScanInterval = std::chrono::seconds(1);
  // From this many lost holders on, a chunk's items run one at a time, each
  // after a recorded intent, so that an item that kills its host is found.
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
  Ready,            // may be started at mNotBefore
  CommittingIntent, // its intent is being committed
  Running,
  Reported, // its result is in the buffer or in the log
};

struct HeldItem
{
  ItemBody mBody;
  ItemStage mStage = ItemStage::Ready;
  std::uint32_t mAttempts = 0;
  bool mIntentCommitted = false; // intent read back, not yet used up
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
  std::map<std::uint32_t, HeldItem> mItems; // unfinished ones, by index
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

// Results of one chunk waiting for the next record.
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
  std::map<Id128, PendingCommit, RecordIdLess> mCommits; // by record
  std::map<std::uint64_t, RunningItem> mRunning; // by token, oldest first
  std::size_t mBufferedBytes = 0; // of buffers and pending result records
  std::uint64_t mNextToken = 1;
  TimePoint mNextScan{};
  TimePoint mNextClaim{};
};

// What a step sees of the world.
struct WorkerInput
{
  const BatchState& mBatch;
  TimePoint mNow{};
  std::vector<StreamLimit> mStreamLimits;
  bool mMayUseRoles = true;
  // Set while draining: no new work; running items are abandoned when it is
  // over.
  std::optional<TimePoint> mDrainDeadline;
  const Holders& mHolders;
  // Service of a route; empty: not in the document.
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

// Decides what to do now.
auto Step(WorkerState& aState,
          const WorkerSettings& aSettings,
          const WorkerInput& aInput) -> std::vector<WorkerAction>;

auto OnCommitted(WorkerState& aState,
                 const WorkerSettings& aSettings,
                 const Id128& aRecord,
                 const Result<Verdict, JournalError>& aResult,
                 TimePoint aNow) -> void;

// Bodies of the records that the load named; more than the chunk's items are
// ignored.
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

// Whether nothing is held, running or waiting to be committed.
auto IsIdle(const WorkerState& aState) -> bool;

} // namespace mangovalve
