// Replayed batch index: jobs, chunks, claims and results by offset.
//
// Bodies of items and results stay in the log; the index holds the positions of
// the records that contain them. An item takes memory only while its chunk is
// unfinished; of a finished chunk, only the positions of its result records
// remain.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include "mangovalve/base/result.h"
#include "mangovalve/replay/record_context.h"
#include "mangovalve/replay/records_generated.h"

namespace mangovalve {

// Position of a record in the log: offset of the append << 20 | index of the
// record in its batch.
using Position = std::uint64_t;

constexpr std::uint32_t kPositionIndexBits = 20;

inline auto PositionOf(const RecordContext& aContext) -> Position
{
  return aContext.mOffset << kPositionIndexBits | aContext.mIndex;
}

inline auto OffsetOf(Position aPosition) -> Offset
{
  return aPosition >> kPositionIndexBits;
}

inline auto IndexOf(Position aPosition) -> std::uint32_t
{
  return static_cast<std::uint32_t>(aPosition &
                                    ((1U << kPositionIndexBits) - 1));
}

// Items of a job, at most.
constexpr std::uint32_t kMaxJobItems = 470000;

// Items of a chunk, at most. Result records of a chunk stay far below the size
// limit of an append.
constexpr std::uint32_t kMaxChunkSize = 4096;

// How long results stay readable after their job has finished. Until then they
// are re-appended to the log.
constexpr std::chrono::hours kResultRetention{ 72 };

// How long the id of a finished job is kept. A resend within this time refers
// to the same job; a later one would create a new job and run the items again.
constexpr std::chrono::hours kJobIdRetention{ 30 * 24 };

// How long an upload may take; after that its records are ignored.
constexpr std::chrono::hours kMaxUploadDuration{ 6 };

// A job is identified by its team and the id chosen by the caller.
struct JobKey
{
  std::string mTeam;
  std::string mJob;

  auto operator==(const JobKey&) const -> bool = default;
  auto operator<(const JobKey& aOther) const -> bool
  {
    return std::tie(mTeam, mJob) < std::tie(aOther.mTeam, aOther.mJob);
  }
};

struct JobOptions
{
  std::string mRoute;
  std::string mModel;
  std::uint32_t mChunkSize = 128;
  std::uint32_t mMaxAttempts = 3;
  // False: an item is dispatched at most once, after its intent was read back
  // from the log.
  bool mRepeatable = true;

  auto operator==(const JobOptions&) const -> bool = default;
};

// A record that holds the bodies of items [mFirst, mFirst + mCount).
struct BodyRun
{
  Position mPosition = 0;
  std::uint32_t mFirst = 0;
  std::uint32_t mCount = 0;
};

// A job whose items are being uploaded and which is not sealed yet.
struct BatchUpload
{
  JobKey mKey;
  JobOptions mOptions;
  LogTime mOpened{};
  std::vector<BodyRun> mBodies; // sorted, without overlap
};

// A chunk with unfinished items.
struct OpenChunk
{
  Offset mClaim = 0; // offset of the current claim, 0: unclaimed
  std::string mHolder;
  // Claims that replaced the claim of a failed holder.
  std::uint32_t mTakeovers = 0;
  std::uint32_t mRemaining = 0;
  std::vector<std::uint64_t> mDone;   // one bit per item; empty: no item done
  std::vector<std::uint8_t> mIntents; // intents per item; empty: none
};

struct BatchJob
{
  JobOptions mOptions;
  std::string mDigest;
  Position mOpened = 0; // of the upload's first record; orders jobs by age
  std::uint32_t mItemCount = 0;
  std::uint32_t mDone = 0;
  std::uint32_t mFailed = 0;
  std::uint32_t mUnknown = 0;
  bool mCancelled = false;
  bool mExpired = false;            // results are no longer readable
  std::optional<LogTime> mFinished; // all items finished, or cancelled
  std::vector<BodyRun> mBodies;
  absl::btree_map<std::uint32_t, OpenChunk> mOpen;
  absl::btree_set<std::uint32_t> mUnclaimed; // subset of mOpen
  // Per chunk, in log order, the records that hold the first result of at least
  // one item. To be read with ResultPositions, because a finished job keeps the
  // positions packed instead, which takes a third of the memory.
  std::vector<std::vector<Position>> mResults;
  std::string mPacked;                    // differences as varints
  std::vector<std::uint32_t> mPackedEnds; // per chunk, end in mPacked

  auto FinishedCount() const -> std::uint32_t
  {
    return mDone + mFailed + mUnknown;
  }
};

// Log time of an offset, recorded about once a minute.
struct TimeMark
{
  LogTime mTime{};
  Offset mOffset = 0;
};

struct BatchState
{
  absl::btree_map<JobKey, BatchJob> mJobs;
  absl::btree_map<Position, BatchUpload> mUploads;
  std::vector<TimeMark> mMarks; // oldest first
  LogTime mNextExpiry{};
};

auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::JobOpened& aRecord) -> Verdict;
auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::JobItems& aRecord) -> Verdict;
auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::JobSealed& aRecord) -> Verdict;
auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::JobCancelled& aRecord) -> Verdict;
auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::ChunkClaimed& aRecord) -> Verdict;
auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::ChunkReleased& aRecord) -> Verdict;
auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::ItemIntent& aRecord) -> Verdict;
auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::ItemResults& aRecord) -> Verdict;

// The job, or null if it was never sealed or its id has been dropped.
auto FindJob(const BatchState& aState, const JobKey& aKey) -> const BatchJob*;

// Number of chunks of a job, and of items in a chunk.
auto ChunkCount(const BatchJob& aJob) -> std::uint32_t;
auto ItemsInChunk(const BatchJob& aJob, std::uint32_t aChunk) -> std::uint32_t;

// Positions of a chunk's result records, in log order. Empty after expiry and
// for a chunk that the job does not have.
auto ResultPositions(const BatchJob& aJob, std::uint32_t aChunk)
  -> std::vector<Position>;

// Replaces the positions of all chunks by their packed form.
auto PackResults(BatchJob& aJob) -> void;

// Whether an item has its result.
auto IsFinished(const BatchJob& aJob, std::uint32_t aItem) -> bool;

// Number of recorded intents of an item; 0 if its chunk is not open.
auto IntentCount(const BatchJob& aJob, std::uint32_t aItem) -> std::uint32_t;

// Largest recorded offset whose append time is not after aTime, 0 if there is
// none. It lags the exact offset by at most about a minute of log time.
auto OffsetAt(const BatchState& aState, LogTime aTime) -> Offset;

// Serializes the state for a snapshot.
auto Save(const BatchState& aState) -> std::string;

// Restores a saved state; the error says what is malformed.
auto Load(std::string_view aData, BatchState& aState)
  -> Result<void, std::string>;

} // namespace mangovalve
