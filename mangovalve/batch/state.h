// Replayed batch index: jobs, chunks, claims and results by offset.
//
// Bodies of items and results stay in the log; the index holds the position of
// the records that contain them. An item costs memory only while its chunk is
// unfinished; a finished chunk keeps the positions of its result records.
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

// Place of a record: the append's offset << 20 | index within its batch.
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

// Largest job.
constexpr std::uint32_t kMaxJobItems = 470000;

// Largest chunk; result records of a chunk stay far below an append's limit.
constexpr std::uint32_t kMaxChunkSize = 4096;

// How long results stay readable after the job finished. Until then they are
// carried forward in the log.
constexpr std::chrono::hours kResultRetention{ 72 };

// How long a finished job's id is remembered. A resend within this time gets
// the same job, later it would be a new job that runs again.
constexpr std::chrono::hours kJobIdRetention{ 30 * 24 };

// How long an upload may take before its records are ignored.
constexpr std::chrono::hours kMaxUploadDuration{ 6 };

// A job is named by its team and the caller's id.
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
  // False: an intent is read back before an item's only dispatch.
  bool mRepeatable = true;

  auto operator==(const JobOptions&) const -> bool = default;
};

// Record that holds the bodies of items [mFirst, mFirst + mCount).
struct BodyRun
{
  Position mPosition = 0;
  std::uint32_t mFirst = 0;
  std::uint32_t mCount = 0;
};

// A job's items on their way into the log, before the seal.
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
  // Claims that ended another holder's claim: how often a holder was lost.
  std::uint32_t mTakeovers = 0;
  std::uint32_t mRemaining = 0;
  std::vector<std::uint64_t> mDone;   // one bit an item; empty: none
  std::vector<std::uint8_t> mIntents; // intents per item; empty: none
};

struct BatchJob
{
  JobOptions mOptions;
  std::string mDigest;
  Position mOpened = 0; // position of the sealed upload, orders jobs by age
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
  // Per chunk, in log order, the records that hold the first result of an item.
  // Read with ResultPositions; a finished job keeps them packed instead, which
  // takes a third of the memory.
  std::vector<std::vector<Position>> mResults;
  std::string mPacked;                    // variable-length differences
  std::vector<std::uint32_t> mPackedEnds; // per chunk, end in mPacked

  auto Finished() const -> std::uint32_t { return mDone + mFailed + mUnknown; }
};

// Log time of an offset, about one a minute.
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

// The job, or nothing if it was never sealed or is forgotten.
auto FindJob(const BatchState& aState, const JobKey& aKey) -> const BatchJob*;

// Number of chunks, and of items in a chunk.
auto ChunkCount(const BatchJob& aJob) -> std::uint32_t;
auto ItemsInChunk(const BatchJob& aJob, std::uint32_t aChunk) -> std::uint32_t;

// Positions of a chunk's result records, in log order. Empty after expiry and
// for a chunk that the job does not have.
auto ResultPositions(const BatchJob& aJob, std::uint32_t aChunk)
  -> std::vector<Position>;

// Replaces the positions of all chunks by packed ones.
auto PackResults(BatchJob& aJob) -> void;

// Whether an item has its result.
auto IsFinished(const BatchJob& aJob, std::uint32_t aItem) -> bool;

// How many intents of an item of an open chunk are recorded.
auto IntentCount(const BatchJob& aJob, std::uint32_t aItem) -> std::uint32_t;

// Largest known offset whose append time is not after aTime, 0 if none. It lags
// the exact one by at most about a minute of log time.
auto OffsetAt(const BatchState& aState, LogTime aTime) -> Offset;

// Serializes the state for a snapshot.
auto Save(const BatchState& aState) -> std::string;

// Restores a saved state; the error names what is malformed.
auto Load(std::string_view aData, BatchState& aState)
  -> Result<void, std::string>;

} // namespace mangovalve
