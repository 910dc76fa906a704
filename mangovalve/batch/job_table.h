// The batch jobs of one partition: the submitted items, the published results
// and the items left to run. Plain state without I/O; JobPartition fills it
// from the store and from the endpoints' responses.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mangovalve/base/time.h"
#include "mangovalve/batch/item_run_time.h"
#include "mangovalve/batch/job_clock.h"
#include "mangovalve/batch/job_records_generated.h"
#include "mangovalve/serving/document.h"
#include "mangovalve/serving/tables.h"

namespace mangovalve {

struct BatchItem
{
  wire::JobItemT mSubmitted;
  bool mRunning = false;
  bool mFinished = false;      // its result is published or being appended
  bool mCompleted = false;     // the result holds the whole output
  std::uint32_t mFailures = 0; // runs for which an endpoint reported a failure
  TimePoint mNotBefore{};      // earliest next run
  // Output received by all runs so far; empty once the result is published.
  std::string mOutput;
  std::optional<std::uint64_t> mLastEvent;
  std::uint32_t mEvents = 0;
};

struct BatchResult
{
  std::uint32_t mItem = 0; // index in the job
  bool mCompleted = false;
  std::string mOutput;
};

struct SubmittedJob
{
  std::string mTeam;
  std::string mId;
  std::string mHost;
  std::string mPath;
  JobTime mSubmittedAt{};
  bool mDurable = false;  // in the store; no item runs before that
  bool mRejected = false; // by the store; it never runs
  bool mEnded = false;    // ended by its caller
  std::vector<BatchItem> mItems;
  std::vector<BatchResult> mResults; // durable, in order of position
  std::uint32_t mNextPosition = 0;   // of the next result to be stored
  // Records that hold the items; 0 if they are in the job record. Set with the
  // records of the job, as are the pieces of the bodies.
  std::uint32_t mItemPieces = 0;
};

using SubmittedJobPtr = std::shared_ptr<SubmittedJob>;

// Longest id of a job. It is part of the keys of the job's records, of which
// the other parts take up to 41 bytes and the store takes 255.
constexpr std::size_t kMaxJobIdBytes = 214;

struct JobTable
{
  std::map<std::pair<std::string, std::string>, SubmittedJobPtr>
    mJobs;         // team, id
  JobClock mClock; // not before any job's mSubmittedAt
};

// Partition of a team's jobs. All jobs of a team are in one partition, so that
// its owner can enforce the team's limit of queued tokens without coordination.
auto PartitionOf(const std::string& aTeam, std::uint32_t aPartitions)
  -> std::uint32_t;

auto FindJob(const JobTable& aTable,
             const std::string& aTeam,
             const std::string& aId) -> SubmittedJobPtr;

auto MakeJob(wire::JobT aSubmission) -> SubmittedJobPtr;

// Tokens of a team's unfinished items on a route, without those of ended jobs.
auto QueuedTokens(const JobTable& aTable,
                  const ServingDocument& aDocument,
                  const std::string& aTeam,
                  const std::string& aRoute) -> std::uint64_t;

auto TotalTokens(const SubmittedJob& aJob) -> std::uint64_t;

// Whether every item has a published result, or the caller has ended the job.
auto IsComplete(const SubmittedJob& aJob) -> bool;

// A page of results from position aAfter on, of about aMaxBytes. It holds at
// least one result if there is one, whatever its size.
auto MakeResultPage(const SubmittedJob& aJob,
                    std::uint32_t aAfter,
                    std::size_t aMaxBytes) -> wire::ResultPageT;

// An item that may run now.
struct RunnableItem
{
  SubmittedJobPtr mJob;
  std::uint32_t mIndex = 0;
  TimePoint mDue;
  bool mLate = false; // cannot finish by mDue
};

// Whether aLeft starts before aRight: items that can finish in time precede
// late ones, then the earliest due time decides.
auto StartsBefore(const RunnableItem& aLeft, const RunnableItem& aRight)
  -> bool;

// Time and run time estimate that decide the order of items.
struct SchedulingInput
{
  TimePoint mNow;
  RunTimeEstimate mEstimate;
};

// The runnable items of a service, at most aMaxItems, in the order of
// StartsBefore.
auto RunnableItems(const JobTable& aTable,
                   const ServingDocument& aDocument,
                   const std::string& aService,
                   std::size_t aMaxItems,
                   const SchedulingInput& aInput) -> std::vector<RunnableItem>;

// Unfinished items that are to be given up: their route is no longer in the
// document, or the time after which they may be abandoned has passed.
auto AbandonedItems(const JobTable& aTable,
                    const ServingDocument& aDocument,
                    TimePoint aNow) -> std::vector<RunnableItem>;

// Whether an unfinished item's age is needed later.
auto HasOpenItems(const JobTable& aTable) -> bool;

// Handoff of a former owner to the next one: the partition's time, the events
// that its runs have received, and results that are not in the store. Bounded
// to about aMaxBytes of output.
auto CollectProgress(const JobTable& aTable,
                     std::size_t aMaxBytes,
                     TimePoint aNow) -> wire::ProgressPageT;

struct ImportedProgress
{
  std::size_t mItems = 0;
  std::uint64_t mEvents = 0;
  std::vector<RunnableItem> mCompleted; // their results are to be recorded
};

// Merges the handoff of a former owner. Items that are finished or running here
// are left as they are, and items with at least as many events keep their
// output. The higher count of failures and the later time are kept.
auto ApplyProgress(JobTable& aTable,
                   const wire::ProgressPageT& aPage,
                   TimePoint aNow) -> ImportedProgress;

// Encoding of jobs as records of the store.

// The records of a job: its bodies, its items if they need records of their
// own, then the job record. Without the job record, which is written last, the
// others are ignored. Notes in the job how it was split.
auto JobRecords(SubmittedJob& aJob, std::size_t aMaxRecord)
  -> std::vector<KeyedRecord>;

// The job record of a job that was split by JobRecords() or loaded.
auto JobRecord(const SubmittedJob& aJob) -> KeyedRecord;

// The records of a result at a position, and tombstones (empty values) for the
// item's body.
auto ResultRecords(const SubmittedJob& aJob,
                   std::uint32_t aPosition,
                   const BatchResult& aResult,
                   std::size_t aMaxRecord) -> std::vector<KeyedRecord>;

// Tombstones (empty values) for all records of a job.
auto TombstoneRecords(const SubmittedJob& aJob, std::size_t aMaxRecord)
  -> std::vector<KeyedRecord>;

// The partition's time at aNow. Its next owner continues from the newest one of
// these records.
auto ClockRecord(const JobClock& aClock, TimePoint aNow) -> KeyedRecord;

// Rebuilds the table from the newest record of each key. Records without a job
// record, left by an incomplete submission, are ignored. Unreadable records and
// jobs of which the items are missing are logged and skipped. The partition's
// time at aNow is the latest one in the records; without any it is aFirst.
auto LoadJobs(const std::vector<KeyedRecord>& aRecords,
              JobTime aFirst,
              TimePoint aNow) -> JobTable;

} // namespace mangovalve
