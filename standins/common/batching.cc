// Continuous batching of the engine stand-in.
#include "standins/common/batching.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "standins/common/executions.h"

namespace mangovalve::standins {
namespace {

auto Grown(const Batching& aBatching, Duration aTime) -> Duration
{
  const auto others =
    std::max(static_cast<double>(aBatching.mRunning.size()) - 1.0, 0.0);
  return std::chrono::duration_cast<Duration>(
    aTime * (1.0 + aBatching.mOptions.mGrowth * others));
}

auto End(Batching& aBatching,
         SequenceId aId,
         SequenceState aState,
         TimePoint aNow) -> void
{
  auto& sequence = aBatching.mSequences.at(aId);
  sequence.mState = aState;
  sequence.mEndedAt = aNow;
  aBatching.mEnded.push_back(aId);
  if (aState == SequenceState::Finished) {
    ++aBatching.mFinishedCount;
  }
}

auto AdmitWaiting(Batching& aBatching,
                  TimePoint aNow,
                  std::vector<CacheChange>& aChanges) -> void
{
  while (!aBatching.mWaiting.empty() &&
         aBatching.mRunning.size() < aBatching.mOptions.mMaxBatch) {
    const auto id = aBatching.mWaiting.front();
    aBatching.mWaiting.pop_front();
    aBatching.mRunning.push_back(id);
    auto& sequence = aBatching.mSequences.at(id);
    const auto blocks = PromptBlocks(sequence.mPrompt);
    const auto cachedBytes = Touch(aBatching.mCache, blocks) * kBlockBytes;
    const auto tokens =
      (sequence.mPrompt.size() - cachedBytes) / kTokenBytes + sequence.mTokens;
    sequence.mState = SequenceState::Running;
    sequence.mNextTokenAt = aNow + Grown(aBatching,
                                         aBatching.mOptions.mFirstToken +
                                           aBatching.mOptions.mPrefillPerToken *
                                             static_cast<std::int64_t>(tokens));
    Store(aBatching.mCache, blocks, aChanges);
  }
}

auto Produce(Batching& aBatching, SequenceId aId) -> void
{
  auto& sequence = aBatching.mSequences.at(aId);
  const auto at = sequence.mNextTokenAt;
  if (sequence.mTokens++ == 0) {
    sequence.mFirstTokenDelay = at - sequence.mArrived;
    aBatching.mLastFirstTokenDelay = sequence.mFirstTokenDelay;
  }
  sequence.mNextTokenAt = at + Grown(aBatching, aBatching.mOptions.mInterToken);
  if (sequence.mTokens >= sequence.mMaxTokens) {
    std::erase(aBatching.mRunning, aId);
    End(aBatching, aId, SequenceState::Finished, at);
  }
}

auto CancelUnread(Batching& aBatching, TimePoint aNow) -> void
{
  std::vector<SequenceId> unread;
  for (const auto& ids : { std::vector<SequenceId>(aBatching.mWaiting.begin(),
                                                   aBatching.mWaiting.end()),
                           aBatching.mRunning }) {
    for (const auto id : ids) {
      const auto& sequence = aBatching.mSequences.at(id);
      if (sequence.mReaders == 0 &&
          sequence.mUnreadSince + aBatching.mOptions.mReaderGrace <= aNow) {
        unread.push_back(id);
      }
    }
  }
  for (const auto id : unread) {
    CancelSequence(aBatching, id, aNow);
  }
}

auto DropEnded(Batching& aBatching, TimePoint aNow) -> void
{
  const auto& options = aBatching.mOptions;
  while (!aBatching.mEnded.empty()) {
    const auto id = aBatching.mEnded.front();
    const auto found = aBatching.mSequences.find(id);
    const auto isEnded = found != aBatching.mSequences.end() &&
                         found->second.mState >= SequenceState::Finished &&
                         found->second.mReaders == 0;
    if (isEnded && aBatching.mEnded.size() <= options.mMaxEnded &&
        found->second.mEndedAt + options.mRetainEnded > aNow) {
      return;
    }
    if (isEnded) {
      const auto byId = aBatching.mByRequestId.find(found->second.mRequestId);
      if (byId != aBatching.mByRequestId.end() && byId->second == id) {
        aBatching.mByRequestId.erase(byId);
      }
      aBatching.mSequences.erase(found);
    }
    aBatching.mEnded.pop_front();
  }
}

// The running sequence whose token is due first.
auto EarliestRunning(const Batching& aBatching) -> std::optional<SequenceId>
{
  std::optional<SequenceId> earliest;
  TimePoint at = TimePoint::max();
  for (const auto id : aBatching.mRunning) {
    const auto due = aBatching.mSequences.at(id).mNextTokenAt;
    if (due < at) {
      at = due;
      earliest = id;
    }
  }
  return earliest;
}

} // namespace

auto MakeBatching(const BatchingOptions& aOptions) -> Batching
{
  Batching batching;
  batching.mOptions = aOptions;
  batching.mCache.mCapacity = aOptions.mCacheBlocks;
  return batching;
}

auto AddSequence(Batching& aBatching, Sequence aSequence, TimePoint aNow)
  -> SequenceId
{
  const auto id = aBatching.mNextId++;
  aSequence.mState = SequenceState::Waiting;
  aSequence.mArrived = aNow;
  aSequence.mReaders = 1;
  aBatching.mByRequestId[aSequence.mRequestId] = id;
  aBatching.mSequences.emplace(id, std::move(aSequence));
  aBatching.mWaiting.push_back(id);
  return id;
}

auto FindSequence(Batching& aBatching, const std::string& aRequestId)
  -> std::optional<SequenceId>
{
  const auto found = aBatching.mByRequestId.find(aRequestId);
  return found == aBatching.mByRequestId.end()
           ? std::nullopt
           : std::optional<SequenceId>(found->second);
}

auto CancelSequence(Batching& aBatching, SequenceId aId, TimePoint aNow) -> bool
{
  const auto found = aBatching.mSequences.find(aId);
  if (found == aBatching.mSequences.end() ||
      found->second.mState >= SequenceState::Finished) {
    return false;
  }
  std::erase(aBatching.mWaiting, aId);
  std::erase(aBatching.mRunning, aId);
  End(aBatching, aId, SequenceState::Cancelled, aNow);
  return true;
}

auto AttachReader(Batching& aBatching, SequenceId aId, TimePoint aNow) -> bool
{
  const auto found = aBatching.mSequences.find(aId);
  if (found == aBatching.mSequences.end()) {
    return false;
  }
  auto& sequence = found->second;
  ++sequence.mReaders;
  if (sequence.mState == SequenceState::Cancelled) {
    sequence.mState = SequenceState::Waiting;
    sequence.mArrived = aNow;
    aBatching.mWaiting.push_back(aId);
  }
  return true;
}

auto DetachReader(Batching& aBatching, SequenceId aId, TimePoint aNow) -> void
{
  const auto found = aBatching.mSequences.find(aId);
  if (found == aBatching.mSequences.end() || found->second.mReaders == 0) {
    return;
  }
  if (--found->second.mReaders == 0) {
    found->second.mUnreadSince = aNow;
    // It may have been skipped by DropEnded while it still had a reader.
    if (found->second.mState >= SequenceState::Finished) {
      aBatching.mEnded.push_back(aId);
    }
  }
}

auto Advance(Batching& aBatching,
             TimePoint aNow,
             std::vector<CacheChange>& aChanges) -> void
{
  CancelUnread(aBatching, aNow);
  AdmitWaiting(aBatching, aNow, aChanges);
  for (;;) {
    const auto next = EarliestRunning(aBatching);
    if (!next || aBatching.mSequences.at(*next).mNextTokenAt > aNow) {
      break;
    }
    const auto at = aBatching.mSequences.at(*next).mNextTokenAt;
    Produce(aBatching, *next);
    AdmitWaiting(aBatching, at, aChanges);
  }
  DropEnded(aBatching, aNow);
}

auto NextEvent(const Batching& aBatching) -> std::optional<TimePoint>
{
  std::optional<TimePoint> next;
  const auto consider = [&next](TimePoint aAt) {
    next = next ? std::min(*next, aAt) : aAt;
  };
  if (const auto id = EarliestRunning(aBatching)) {
    consider(aBatching.mSequences.at(*id).mNextTokenAt);
  }
  for (const auto id : aBatching.mRunning) {
    const auto& sequence = aBatching.mSequences.at(id);
    if (sequence.mReaders == 0) {
      consider(sequence.mUnreadSince + aBatching.mOptions.mReaderGrace);
    }
  }
  return next;
}

auto TokenText(const std::string& aPrompt, std::uint32_t aIndex) -> std::string
{
  return aIndex == 0 ? ContentDigest(aPrompt) : absl::StrCat(" t", aIndex);
}

} // namespace mangovalve::standins
