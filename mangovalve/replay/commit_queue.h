// The state machine of group commit: which records the next append contains,
// and what is known about each of them. It does no I/O and reads no clock; the
// caller passes the time in.
//
// A record stays in the queue until it is read back in replay or all of its
// waiters have timed out. While an append of it may have been dropped, the
// record is appended again under the same id; replay takes the first occurrence
// and ignores the rest.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovalve/log_service/log_port.h"
#include "mangovalve/replay/apply.h"
#include "mangovalve/replay/journal.h"

namespace mangovalve {

struct CommitOptions
{
  std::string mWriter; // host name, stored in each batch
  // Appends per second that the platform allows to the whole fleet.
  double mFleetAppendsPerSecond = 300;
  std::size_t mMaxBatchBytes = std::size_t{ 256 } << 10;
  std::size_t mMaxRecordBytes = std::size_t{ 1 } << 20;
  std::size_t mMaxQueuedBytes = std::size_t{ 16 } << 20;
  std::size_t mMaxQueuedRecords = 20000;
  Duration mFirstBackoff = std::chrono::milliseconds(50);
  Duration mMaxBackoff = std::chrono::seconds(1);
};

// A record between Enqueue and its verdict.
struct PendingRecord
{
  RecordDraft mDraft;
  CommitPriority mPriority = CommitPriority::Result;
  std::uint64_t mSequence = 0; // order of arrival
  bool mQueued = true;         // to be appended, for the first time or again
  bool mInFlight = false;      // part of the append in progress
  bool mUncertain = false;     // an append of it has or may yet take effect
  bool mExpired = false; // an expired copy was read back during the append
  std::size_t mWaiters = 0;
  std::optional<Committed> mOutcome;    // set once it is read back
  std::optional<JournalError> mFailure; // set once it has failed
};

struct CommitQueue
{
  CommitOptions mOptions;
  // Records to append, ordered by priority and then by arrival.
  std::map<std::pair<CommitPriority, std::uint64_t>,
           std::shared_ptr<PendingRecord>>
    mQueue;
  absl::flat_hash_map<Id128, std::shared_ptr<PendingRecord>> mPending;
  std::uint64_t mNextSequence = 0;
  std::size_t mBytes = 0;  // sum of the size hints of mPending
  LogTime mLogTime{};      // newest log time seen in replay
  TimePoint mNextAppend{}; // no append before this time
  Duration mBackoff{};     // zero after a successful append
};

struct CommitBatch
{
  std::string mPayload; // serialized record::RecordBatch
  std::vector<Id128> mIds;
};

// Adds a record with one waiter. If the id is already pending, only adds a
// waiter and keeps the first draft. Fails with TooLarge or QueueFull.
auto Enqueue(CommitQueue& aQueue, RecordDraft aDraft, CommitPriority aPriority)
  -> Result<std::shared_ptr<PendingRecord>, JournalError>;

// Returns the batch to append now, or nothing while the queue is empty or the
// append interval (aMembers / mFleetAppendsPerSecond seconds) has not passed.
auto NextBatch(CommitQueue& aQueue, std::size_t aMembers, TimePoint aNow)
  -> std::optional<CommitBatch>;

// Records the result of the append of a batch. Records whose append failed are
// queued again, and the next append is delayed by an exponential backoff.
auto FinishAppend(CommitQueue& aQueue,
                  const CommitBatch& aBatch,
                  const Result<Offset, PlatformError>& aResult,
                  TimePoint aNow) -> void;

// Resolves the pending records among those that replay has applied, and
// advances the log time. Must be called for every applied entry, in log order.
auto ResolveApplied(CommitQueue& aQueue,
                    const std::vector<AppliedRecord>& aRecords,
                    LogTime aLogTime) -> void;

// Fails with OutcomeUnknown every record whose append may have taken effect. To
// be called when replay has skipped entries, e.g. by loading a snapshot: the
// record may have been among them and would never be read back.
auto FailUncertain(CommitQueue& aQueue) -> void;

// Removes one waiter, and the record with the last one. Returns the verdict
// or the failure if there is one yet. Otherwise the error is OutcomeUnknown if
// an append of the record may take effect, and NotAppended if none can.
auto RemoveWaiter(CommitQueue& aQueue,
                  const std::shared_ptr<PendingRecord>& aRecord)
  -> Result<Committed, JournalError>;

} // namespace mangovalve
