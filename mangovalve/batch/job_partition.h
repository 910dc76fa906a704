// One partition of batch jobs at the daemon that owns it.
//
// The store's group assigns a partition to one daemon at a time, and a fence
// rejects the appends of former owners. The owner loads the partition's records
// and is then the only writer of jobs and results, so each result has exactly
// one position. Each append carries the partition's time (job_clock.h). A job
// is accepted, a result is published and the end of a job is confirmed only
// after their records are durable.
//
// A daemon may lose a partition and get it back without learning of either. The
// owner then sets a new fence on condition that the partition still ends where
// its own last append ended. If so, its jobs are complete and no owner in
// between can write any more; otherwise it stops, and the partition is loaded
// again.
//
// While the store is unavailable, pending appends are retried with the same
// sequence number, and new jobs are refused without an attempt to append them.
// A job whose records the store rejects is refused, so that it does not hold up
// the records behind it.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mangovalve/batch/job_table.h"
#include "mangovalve/loop/wakeup.h"
#include "mangovalve/serving/protocol.h"
#include "mangovalve/serving/tables.h"

namespace mangovalve {

// Fetches the progress of the partition's items from its former owner.
using ProgressSource =
  std::function<auto(std::uint32_t aPartition, std::uint64_t aGeneration)
                  ->Task<wire::ProgressPageT>>;

class JobPartition : public std::enable_shared_from_this<JobPartition>
{
public:
  // aOpenedAt: for the fencing token, later than that of any owner of the
  // partition that this process had before. aFetchProgress may be empty; then
  // no progress is imported.
  JobPartition(asio::io_context& aLoop,
               const TablePorts& aTables,
               std::uint32_t aPartition,
               std::uint64_t aGeneration,
               WallTime aOpenedAt,
               ProgressSource aFetchProgress = nullptr);

  // Fences former owners, loads the jobs, then appends records until this owner
  // is stopped or fenced.
  auto Run() -> Task<>;
  auto Stop() -> void;

  // Makes this owner confirm, under the generation of a later assignment, that
  // no other owner has changed the partition.
  auto Reassign(std::uint64_t aGeneration) -> void;

  auto Number() const -> std::uint32_t { return mPartition; }
  auto Generation() const -> std::uint64_t { return mGeneration; }
  // Whether the jobs are loaded and this owner is not known to be superseded.
  auto Active() const -> bool { return mLoaded && !mStopped; }
  auto Stopped() const -> bool { return mStopped; }
  // Whether the jobs are complete as of the last assignment. Otherwise another
  // owner may have accepted jobs and published results.
  auto Confirmed() const -> bool { return !mReassigned; }
  // Whether all enqueued records are durable.
  auto Flushed() const -> bool { return mQueue.empty() && !mAppending; }
  // Whether the store answered the last call.
  auto StoreReachable() const -> bool { return mStoreReachable; }
  auto Jobs() -> JobTable& { return mTable; }
  auto Now() const -> JobTime { return JobNow(mTable.mClock, Clock::now()); }

  // Accepts a job; a job with a known team and id is not added again. aLimit:
  // tokens that the team may have queued on the route, 0 for no limit; aQueued:
  // tokens that it has queued. Unknown if the job is not durable by aDeadline,
  // NotApplied if the store is known to be unavailable or rejects the job.
  auto Submit(SubmittedJobPtr aJob,
              std::uint64_t aQueued,
              std::uint64_t aLimit,
              TimePoint aDeadline) -> Task<JobOutcome>;

  // Ends a job on request of its caller. Unknown if this is not durable in
  // time.
  auto EndJob(SubmittedJobPtr aJob, TimePoint aDeadline) -> Task<JobOutcome>;

  // Records the result of an item, which is published once it is durable. Later
  // results of the same item are ignored.
  auto Finish(SubmittedJobPtr aJob,
              std::uint32_t aItem,
              bool aCompleted,
              std::string aOutput) -> void;

  // Removes a job and writes tombstones for its records.
  auto RemoveJob(SubmittedJobPtr aJob) -> void;

  // Returns when the job has a result at the position, is complete or the
  // partition is stopped, at the latest at aUntil.
  auto WaitForResult(SubmittedJobPtr aJob,
                     std::uint32_t aPosition,
                     TimePoint aUntil) -> Task<>;

private:
  // A change of the table and what follows from its fate. Its records may need
  // several appends, of which the last one makes the others valid.
  struct Change
  {
    std::function<void()> mOnDurable;
    // Empty: the table here would differ from the store, so the partition
    // stops and is loaded again.
    std::function<void()> mOnRejected;
    bool mRejected = false; // by the store; the remaining appends are left out
  };
  struct PendingAppend
  {
    std::vector<KeyedRecord> mRecords;
    std::shared_ptr<Change> mChange;
    bool mLast = false; // of its change
  };
  enum class AppendResult
  {
    Durable,
    Rejected,
    Stopped, // this owner is stopped or fenced
  };

  auto Open() -> Task<bool>;
  auto AcquireFence() -> Task<bool>;
  // Renews the fence under the generation of the last assignment; false if
  // another owner has changed the partition, or may have.
  auto ConfirmOwnership() -> Task<bool>;
  auto ImportProgress() -> Task<>;
  // Loads the records of one state of the partition, which ends at mEnd. False
  // if a page was not read, and, with this owner stopped, if the partition
  // changed between two pages.
  auto LoadPages() -> Task<bool>;
  auto AppendQueued() -> Task<>;
  // Repeats the append until the store has decided on it. With aEndsAt, it is
  // refused unless the partition ends there.
  auto AppendUntilDecided(const std::vector<KeyedRecord>& aRecords,
                          std::optional<Offset> aEndsAt = std::nullopt)
    -> Task<AppendResult>;
  // Appends several changes at once, or each one by itself if the store rejects
  // one of them; false if this owner must stop.
  auto AppendBatch(std::vector<PendingAppend> aAppends) -> Task<bool>;
  auto HandleRejection(Change& aChange) -> bool;
  auto DequeueBatch() -> std::vector<PendingAppend>;
  // When the partition's time has to be stored even without other records.
  auto NextClockRecord() const -> TimePoint;
  // Bytes of records in one append.
  auto BytesPerAppend() const -> std::size_t;
  auto Enqueue(std::vector<KeyedRecord> aRecords,
               std::function<void()> aOnDurable,
               std::function<void()> aOnRejected = nullptr) -> void;
  auto EnqueueJob(SubmittedJobPtr aJob) -> void;
  auto SetStoreReachable(bool aReachable) -> void;
  auto NotifyWaiters() -> void;
  // Waits until aDone holds, this owner is stopped or aUntil has passed.
  auto WaitUntil(std::function<auto()->bool> aDone, TimePoint aUntil) -> Task<>;

  asio::io_context& mLoop;
  const TablePorts& mTables;
  std::uint32_t mPartition;
  std::uint64_t mGeneration;
  WallTime mOpenedAt;
  std::uint64_t mToken; // fencing token, see FenceToken
  JobTime mFirstTime;   // of the partition if the store knows none
  TimePoint mClockRecordedAt{};
  std::uint64_t mSequence = 0;
  Offset mEnd = 0; // of the partition, after the last read or append
  std::size_t mPagesLoaded = 0; // by the last load
  // Generation of an assignment that is not confirmed yet.
  std::optional<std::uint64_t> mReassigned;
  JobTable mTable;
  bool mLoaded = false;
  bool mStopped = false;
  bool mStoreReachable = true;
  bool mAppending = false;
  ProgressSource mFetchProgress;
  std::deque<PendingAppend>
    mQueue; // in the order in which they must be durable
  Wakeup mQueued;
  std::vector<Wakeup*> mWaiters; // tasks that wait for durable records
};

// The fencing token of an owner: its generation in the high bits, the time at
// which it opened the partition in the low bits, in units of 100 ms. A process
// can open a partition several times under one generation, and a restarted
// process can rejoin the group as the same member with the same generation. If
// two owners had the same token, the store would treat the first appends of the
// second one as duplicates and confirm them without writing them.
auto FenceToken(std::uint64_t aGeneration, WallTime aOpenedAt) -> std::uint64_t;

using JobPartitionPtr = std::shared_ptr<JobPartition>;

} // namespace mangovalve
