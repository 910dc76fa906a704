// The decision part of group commit: which records the next append carries,
// and what is known about each of them. Time is passed in.
//
// A record stays here until it is read back in replay or its waiters give up.
// It is appended again, under the same id, as long as an append may have been
// lost; replay takes the first occurrence.
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
  std::string mWriter; // host name, for the batch
  // Appends per second that the platform grants to the whole fleet.
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
  std::uint64_t mOrder = 0;
  bool mQueued = true;     // to be appended, for the first time or again
  bool mInFlight = false;  // part of the append under way
  bool mUncertain = false; // an append of it may take effect or has done so
  bool mExpired = false;   // an expired copy was read back during the append
  std::size_t mWaiters = 0;
  std::optional<Committed> mOutcome;    // set once it is read back
  std::optional<JournalError> mFailure; // set when it cannot be appended
};

struct CommitQueue
{
  CommitOptions mOptions;
  // Records to append, in the order of priority, then of arrival.
  std::map<std::pair<CommitPriority, std::uint64_t>,
           std::shared_ptr<PendingRecord>>
    mQueue;
  absl::flat_hash_map<Id128, std::shared_ptr<PendingRecord>> mPending;
  std::uint64_t mNextOrder = 0;
  std::size_t mBytes = 0;  // sum of the size hints of mPending
  LogTime mLogTime{};      // newest log time seen in replay
  TimePoint mNextAppend{}; // earliest time of the next append
  Duration mBackoff{};     // zero after a successful append
};

struct CommitBatch
{
  std::string mPayload; // serialized record::RecordBatch
  std::vector<Id128> mIds;
};

// Adds a record and a waiter. An id that is pending already gets one more
// waiter; its draft stays the first one.
auto Enqueue(CommitQueue& aQueue, RecordDraft aDraft, CommitPriority aPriority)
  -> Result<std::shared_ptr<PendingRecord>, JournalError>;

// The batch to append now, or nothing while the queue is empty or the append
// interval (aMembers / mFleetAppendsPerSecond) has not passed.
auto NextBatch(CommitQueue& aQueue, std::size_t aMembers, TimePoint aNow)
  -> std::optional<CommitBatch>;

// Takes note of how the append of a batch ended.
auto FinishAppend(CommitQueue& aQueue,
                  const CommitBatch& aBatch,
                  const Result<Offset, PlatformError>& aResult,
                  TimePoint aNow) -> void;

// Takes note of the records that replay has applied, and of the log time then.
// Must be called for every applied entry, in log order.
auto ResolveApplied(CommitQueue& aQueue,
                    const std::vector<AppliedRecord>& aRecords,
                    LogTime aLogTime) -> void;

// Takes note that replay has skipped entries, e.g. by starting from a snapshot:
// records that may have been among them end with OutcomeUnknown.
auto FailUncertain(CommitQueue& aQueue) -> void;

// Removes one waiter, and with the last one the record. Tells what is known if
// there is no verdict yet.
auto RemoveWaiter(CommitQueue& aQueue,
                  const std::shared_ptr<PendingRecord>& aRecord)
  -> Result<Committed, JournalError>;

} // namespace mangovalve
