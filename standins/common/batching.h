// Continuous batching of the engine stand-in, as pure functions over a struct
// with the time passed in.
//
// Sequences are admitted in order of arrival while the batch has room; there
// is no notion of priority. The delay of the first token and the time between
// tokens grow with the number of sequences in the batch.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangovalve/base/time.h"
#include "standins/common/prefix_cache.h"

namespace mangovalve::standins {

using SequenceId = std::uint64_t;

struct BatchingOptions
{
  std::size_t mMaxBatch = 16;
  Duration mFirstToken = std::chrono::milliseconds(30); // batch of one
  Duration mInterToken = std::chrono::milliseconds(8);  // batch of one
  // Each further sequence in the batch adds this share to both times.
  double mGrowth = 0.03;
  // Added to the first token for each prompt token that is not cached.
  Duration mPrefillPerToken = std::chrono::microseconds(50);
  std::size_t mCacheBlocks = 4096;
  // Ended sequences stay resumable for this long, up to mMaxEnded.
  Duration mRetainEnded = std::chrono::seconds(60);
  std::size_t mMaxEnded = 10000;
  // A stream without a reader is cancelled after this time.
  Duration mReaderGrace = std::chrono::seconds(2);
};

enum class SequenceState
{
  Waiting,
  Running,
  Finished,
  Cancelled, // resumable while retained
};

struct Sequence
{
  std::string mRequestId;
  std::string mPrompt;
  std::string mModel;
  std::uint32_t mMaxTokens = 16;
  std::uint32_t mTokens = 0; // produced so far
  SequenceState mState = SequenceState::Waiting;
  TimePoint mArrived;
  TimePoint mNextTokenAt; // Running only
  TimePoint mEndedAt;     // Finished and Cancelled only
  Duration mFirstTokenDelay{ 0 };
  std::uint32_t mReaders = 0;
  TimePoint mUnreadSince; // while mReaders is 0
};

struct Batching
{
  BatchingOptions mOptions;
  SequenceId mNextId = 1;
  std::map<SequenceId, Sequence> mSequences;
  std::map<std::string, SequenceId> mByRequestId; // the latest of each
  std::deque<SequenceId> mWaiting;
  std::vector<SequenceId> mRunning;
  std::deque<SequenceId> mEnded; // oldest first; may name resumed ones
  PrefixCache mCache;
  Duration mLastFirstTokenDelay{ 0 };
  std::uint64_t mFinishedCount = 0;
};

// An empty batch.
auto MakeBatching(const BatchingOptions& aOptions) -> Batching;

// Queues a sequence; the caller is its first reader.
auto AddSequence(Batching& aBatching, Sequence aSequence, TimePoint aNow)
  -> SequenceId;

// The latest sequence of a request; null when unknown or no longer retained.
auto FindSequence(Batching& aBatching, const std::string& aRequestId)
  -> std::optional<SequenceId>;

// Stops a sequence; false when it had already ended or is unknown.
auto CancelSequence(Batching& aBatching, SequenceId aId, TimePoint aNow)
  -> bool;

// Adds a reader; a cancelled sequence is queued again and goes on after its
// last token. False when it is unknown.
auto AttachReader(Batching& aBatching, SequenceId aId, TimePoint aNow) -> bool;

// Removes a reader.
auto DetachReader(Batching& aBatching, SequenceId aId, TimePoint aNow) -> void;

// Produces every token that is due at aNow, ends and admits sequences and
// appends the changes of the prefix cache.
auto Advance(Batching& aBatching,
             TimePoint aNow,
             std::vector<CacheChange>& aChanges) -> void;

// When Advance next has something to do.
auto NextEvent(const Batching& aBatching) -> std::optional<TimePoint>;

// Text of the token at aIndex of the answer to a prompt. The first token holds
// the prompt's digest, so that a caller can tell another request's answer.
auto TokenText(const std::string& aPrompt, std::uint32_t aIndex) -> std::string;

} // namespace mangovalve::standins
