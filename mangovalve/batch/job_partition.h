// One partition of batch jobs at the daemon that owns it.
//
// The store's group hands a partition to one daemon at a time, and its fence
// keeps a former owner from writing. The owner loads the partition's records,
// then is the only one to accept jobs and to append results, so each result has
// one position. Nothing is answered before the store has it: a job is accepted,
// a result listed and a job's end confirmed only once their records are
// durable.
//
// While the store is away, appends are kept and sent again with the same
// sequence number; what arrives meanwhile is refused without an attempt.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "mangovalve/batch/job_table.h"
#include "mangovalve/loop/wakeup.h"
#include "mangovalve/serving/protocol.h"
#include "mangovalve/serving/tables.h"

namespace mangovalve {

// Asks the owner before this one what it has of the partition's items.
using ProgressSource =
  std::function<auto(std::uint32_t aPartition, std::uint64_t aGeneration)
                  ->Task<wire::ProgressPageT>>;

class JobPartition : public std::enable_shared_from_this<JobPartition>
{
public:
  // aStartedAt: when this process started. aFetchProgress may be empty.
  JobPartition(asio::io_context& aLoop,
               const TablePorts& aTables,
               std::uint32_t aPartition,
               std::uint64_t aGeneration,
               WallTime aStartedAt,
               ProgressSource aFetchProgress = nullptr);

  // Fences former owners, loads the jobs, then appends records until it is
  // stopped or fenced itself.
  auto Run() -> Task<>;
  auto Stop() -> void;

  auto Number() const -> std::uint32_t { return mPartition; }
  auto Generation() const -> std::uint64_t { return mGeneration; }
  // Loaded and not known to have lost the partition.
  auto Active() const -> bool { return mLoaded && !mStopped; }
  auto Stopped() const -> bool { return mStopped; }
  // Whether all that was recorded is durable.
  auto Flushed() const -> bool { return mQueue.empty() && !mAppending; }
  // Whether the last call to the store got an answer.
  auto StoreReachable() const -> bool { return mStoreReachable; }
  auto Jobs() -> JobTable& { return mTable; }

  // Accepts a job once. aLimit: tokens that its team may have queued on the
  // route, 0 for no limit; aQueued: what it has queued.
  auto Submit(SubmittedJobPtr aJob,
              std::uint64_t aQueued,
              std::uint64_t aLimit,
              TimePoint aDeadline) -> Task<JobOutcome>;

  // Ends a job at its caller's wish.
  auto EndJob(SubmittedJobPtr aJob, TimePoint aDeadline) -> Task<JobOutcome>;

  // Records the one result of an item; it is listed once the store has it.
  auto Finish(SubmittedJobPtr aJob,
              std::uint32_t aItem,
              bool aCompleted,
              std::string aOutput) -> void;

  // Forgets a job and drops its records.
  auto RemoveJob(SubmittedJobPtr aJob) -> void;

  // Returns when the job may have a result at the position, or at aUntil.
  auto WaitForResult(SubmittedJobPtr aJob,
                     std::uint32_t aPosition,
                     TimePoint aUntil) -> Task<>;

private:
  // Records that are appended together, and who waits for them.
  struct PendingAppend
  {
    std::vector<KeyedRecord> mRecords;
    std::function<void()> mOnDurable;
  };

  auto Open() -> Task<bool>;
  auto AcquireFence() -> Task<bool>;
  auto ImportProgress() -> Task<>;
  auto LoadPages() -> Task<bool>;
  auto AppendQueued() -> Task<>;
  auto AppendUntilDurable(const std::vector<KeyedRecord>& aRecords)
    -> Task<bool>;
  auto DequeueBatch(std::vector<PendingAppend>& aAppends)
    -> std::vector<KeyedRecord>;
  auto Enqueue(std::vector<KeyedRecord> aRecords,
               std::function<void()> aOnDurable) -> void;
  auto SetStoreReachable(bool aReachable) -> void;
  auto NotifyWaiters() -> void;
  auto WaitUntilDurable(std::shared_ptr<bool> aDurable, TimePoint aDeadline)
    -> Task<bool>;

  asio::io_context& mLoop;
  const TablePorts& mTables;
  std::uint32_t mPartition;
  std::uint64_t mGeneration;
  std::uint64_t mToken; // of the fence; see FenceToken
  std::uint64_t mSequence = 0;
  JobTable mTable;
  bool mLoaded = false;
  bool mStopped = false;
  bool mStoreReachable = true;
  bool mAppending = false;
  ProgressSource mFetchProgress;
  std::deque<PendingAppend>
    mQueue; // in the order in which they must be durable
  Wakeup mQueued;
  std::vector<Wakeup*> mWaiters; // tasks that wait for something durable
};

// The fencing token of an owner: its generation, then the start of its process.
// A process that was killed and started again is the same member of the group
// with the same generation. With the token of the process before it, the store
// would take its first appends for repeats of that process's and confirm them
// without writing them.
auto FenceToken(std::uint64_t aGeneration, WallTime aStartedAt)
  -> std::uint64_t;

using JobPartitionPtr = std::shared_ptr<JobPartition>;

} // namespace mangovalve
