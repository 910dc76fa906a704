// The state machine of group commit.
#include "mangovalve/replay/commit_queue.h"

#include <algorithm>
#include <utility>

#include "mangovalve/replay/encode.h"

namespace mangovalve {
namespace {

using Kind = JournalError::Kind;

auto QueueKey(const PendingRecord& aRecord)
  -> std::pair<CommitPriority, std::uint64_t>
{
  return { aRecord.mPriority, aRecord.mSequence };
}

auto Queue(CommitQueue& aQueue, const std::shared_ptr<PendingRecord>& aRecord)
  -> void
{
  aRecord->mQueued = true;
  aQueue.mQueue[QueueKey(*aRecord)] = aRecord;
}

auto Dequeue(CommitQueue& aQueue, PendingRecord& aRecord) -> void
{
  aRecord.mQueued = false;
  aQueue.mQueue.erase(QueueKey(aRecord));
}

// Removes a record that is resolved or abandoned; its waiters keep the pointer.
auto Remove(CommitQueue& aQueue, PendingRecord& aRecord) -> void
{
  Dequeue(aQueue, aRecord);
  if (aQueue.mPending.erase(aRecord.mDraft.mId) > 0) {
    aQueue.mBytes -= aRecord.mDraft.mSizeHint;
  }
}

auto AppendInterval(const CommitQueue& aQueue, std::size_t aMembers) -> Duration
{
  const std::chrono::duration<double> interval(
    static_cast<double>(std::max<std::size_t>(aMembers, 1)) /
    aQueue.mOptions.mFleetAppendsPerSecond);
  return std::chrono::duration_cast<Duration>(interval);
}

auto GrowBackoff(CommitQueue& aQueue, TimePoint aNow) -> void
{
  const auto& options = aQueue.mOptions;
  aQueue.mBackoff =
    std::clamp(aQueue.mBackoff * 2, options.mFirstBackoff, options.mMaxBackoff);
  aQueue.mNextAppend = std::max(aQueue.mNextAppend, aNow + aQueue.mBackoff);
}

auto BuildPayload(const CommitQueue& aQueue,
                  const std::vector<std::shared_ptr<PendingRecord>>& aRecords)
  -> std::string
{
  std::vector<const RecordDraft*> drafts;
  for (const auto& each : aRecords) {
    drafts.push_back(&each->mDraft);
  }
  return EncodeBatch(aQueue.mOptions.mWriter, aQueue.mLogTime, drafts);
}

// Selects the first records of the queue that fit into one append, at least
// one.
auto SelectRecords(const CommitQueue& aQueue)
  -> std::vector<std::shared_ptr<PendingRecord>>
{
  std::vector<std::shared_ptr<PendingRecord>> selected;
  std::size_t bytes = 0;
  for (const auto& [key, each] : aQueue.mQueue) {
    bytes += each->mDraft.mSizeHint;
    if (!selected.empty() && bytes > aQueue.mOptions.mMaxBatchBytes) {
      break;
    }
    selected.push_back(each);
  }
  return selected;
}

auto Fail(CommitQueue& aQueue, PendingRecord& aRecord, JournalError aError)
  -> void
{
  aRecord.mFailure = std::move(aError);
  Remove(aQueue, aRecord);
}

} // namespace

auto Enqueue(CommitQueue& aQueue, RecordDraft aDraft, CommitPriority aPriority)
  -> Result<std::shared_ptr<PendingRecord>, JournalError>
{
  if (const auto found = aQueue.mPending.find(aDraft.mId);
      found != aQueue.mPending.end()) {
    ++found->second->mWaiters;
    return found->second;
  }
  const auto& options = aQueue.mOptions;
  if (aDraft.mSizeHint > options.mMaxRecordBytes) {
    return Err(JournalError{ Kind::TooLarge, "the record is too large" });
  }
  if (aQueue.mPending.size() >= options.mMaxQueuedRecords ||
      aQueue.mBytes + aDraft.mSizeHint > options.mMaxQueuedBytes) {
    return Err(JournalError{ Kind::QueueFull, "the commit queue is full" });
  }
  auto record = std::make_shared<PendingRecord>();
  record->mDraft = std::move(aDraft);
  record->mPriority = aPriority;
  record->mSequence = aQueue.mNextSequence++;
  record->mWaiters = 1;
  aQueue.mBytes += record->mDraft.mSizeHint;
  aQueue.mPending[record->mDraft.mId] = record;
  Queue(aQueue, record);
  return record;
}

auto NextBatch(CommitQueue& aQueue, std::size_t aMembers, TimePoint aNow)
  -> std::optional<CommitBatch>
{
  if (aNow < aQueue.mNextAppend) {
    return std::nullopt;
  }
  const auto records = SelectRecords(aQueue);
  if (records.empty()) {
    return std::nullopt;
  }
  CommitBatch batch;
  batch.mPayload = BuildPayload(aQueue, records);
  if (records.size() == 1 &&
      batch.mPayload.size() > aQueue.mOptions.mMaxRecordBytes) {
    const auto kind =
      records[0]->mUncertain ? Kind::OutcomeUnknown : Kind::TooLarge;
    Fail(aQueue, *records[0], { kind, "the record is too large" });
    return std::nullopt;
  }
  for (const auto& each : records) {
    Dequeue(aQueue, *each);
    each->mInFlight = true;
    batch.mIds.push_back(each->mDraft.mId);
  }
  aQueue.mNextAppend = aNow + AppendInterval(aQueue, aMembers);
  return batch;
}

auto FinishAppend(CommitQueue& aQueue,
                  const CommitBatch& aBatch,
                  const Result<Offset, PlatformError>& aResult,
                  TimePoint aNow) -> void
{
  const auto hadNoEffect =
    !aResult && (aResult.error().mKind == PlatformError::Kind::NotSent ||
                 aResult.error().mKind == PlatformError::Kind::Rejected);
  for (const auto& id : aBatch.mIds) {
    const auto found = aQueue.mPending.find(id);
    if (found == aQueue.mPending.end()) {
      continue; // read back, or abandoned by its waiters, in the meantime
    }
    auto& record = *found->second;
    record.mInFlight = false;
    record.mUncertain = record.mUncertain || !hadNoEffect;
    if (!aResult || std::exchange(record.mExpired, false)) {
      Queue(aQueue, found->second);
    }
  }
  if (aResult) {
    aQueue.mBackoff = {};
  } else {
    GrowBackoff(aQueue, aNow);
  }
}

auto ResolveApplied(CommitQueue& aQueue,
                    const std::vector<AppliedRecord>& aRecords,
                    LogTime aLogTime) -> void
{
  for (const auto& each : aRecords) {
    const auto found = aQueue.mPending.find(each.mId);
    if (found == aQueue.mPending.end()) {
      continue;
    }
    const auto record = found->second;
    if (each.mKind == AppliedRecord::Kind::Expired) {
      if (record->mInFlight) {
        record->mExpired = true;
      } else {
        Queue(aQueue, record);
      }
      continue;
    }
    record->mOutcome = Committed{ each.mContext, each.mVerdict };
    Remove(aQueue, *record);
  }
  aQueue.mLogTime = std::max(aQueue.mLogTime, aLogTime);
}

auto FailUncertain(CommitQueue& aQueue) -> void
{
  std::vector<std::shared_ptr<PendingRecord>> uncertain;
  for (const auto& [id, each] : aQueue.mPending) {
    if (each->mUncertain || each->mInFlight) {
      uncertain.push_back(each);
    }
  }
  for (const auto& each : uncertain) {
    Fail(aQueue,
         *each,
         { Kind::OutcomeUnknown,
           "replay skipped entries that may hold the record" });
  }
}

auto RemoveWaiter(CommitQueue& aQueue,
                  const std::shared_ptr<PendingRecord>& aRecord)
  -> Result<Committed, JournalError>
{
  --aRecord->mWaiters;
  if (aRecord->mOutcome) {
    return *aRecord->mOutcome;
  }
  if (aRecord->mFailure) {
    return Err(*aRecord->mFailure);
  }
  const auto attempted = aRecord->mUncertain || aRecord->mInFlight;
  if (aRecord->mWaiters == 0) {
    Remove(aQueue, *aRecord);
  }
  if (attempted) {
    return Err(JournalError{
      Kind::OutcomeUnknown,
      "the record was not read back before the deadline; resend it with the "
      "same id" });
  }
  return Err(JournalError{ Kind::NotAppended,
                           "the record was not appended before the deadline" });
}

} // namespace mangovalve
