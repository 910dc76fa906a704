// The batch jobs of one partition: what was submitted, what is listed, what is
// left to run. Pure state; its owner feeds it from the store and from the
// endpoints' answers.
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
#include "mangovalve/batch/job_records_generated.h"
#include "mangovalve/serving/document.h"
#include "mangovalve/serving/tables.h"

namespace mangovalve {

struct BatchItem
{
  wire::JobItemT mSubmitted;
  bool mRunning = false;
  bool mFinished = false;      // its result is listed or about to be
  bool mCompleted = false;     // the result is its whole output
  std::uint32_t mFailures = 0; // runs that the endpoint answered as failed
  TimePoint mNotBefore{};      // earliest next run
  // What its runs have brought so far; empty once its result is listed.
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
  WallTime mSubmittedAt{};
  bool mDurable = false; // the store has it; before that nothing may run
  bool mEnded = false;   // by its caller
  std::vector<BatchItem> mItems;
  std::vector<BatchResult> mResults; // durable, in order of position
  std::uint32_t mNextPosition = 0;   // of the next result to be stored
};

using SubmittedJobPtr = std::shared_ptr<SubmittedJob>;

struct JobTable
{
  std::map<std::pair<std::string, std::string>, SubmittedJobPtr>
    mJobs; // team, id
};

// Partition of a team's jobs. All jobs of a team share one, so that its owner
// alone knows what the team has queued.
auto PartitionOf(const std::string& aTeam, std::uint32_t aPartitions)
  -> std::uint32_t;

auto FindJob(const JobTable& aTable,
             const std::string& aTeam,
             const std::string& aId) -> SubmittedJobPtr;

auto MakeJob(wire::JobT aSubmission) -> SubmittedJobPtr;

// Tokens of a team's items on a route that are neither finished nor ended.
auto QueuedTokens(const JobTable& aTable,
                  const ServingDocument& aDocument,
                  const std::string& aTeam,
                  const std::string& aRoute) -> std::uint64_t;

auto TotalTokens(const SubmittedJob& aJob) -> std::uint64_t;

// Whether every item has its listed result, or the caller has ended the job.
auto IsComplete(const SubmittedJob& aJob) -> bool;

// A page of results from position aAfter on, of about aMaxBytes; at least one
// if there is one.
auto MakeResultPage(const SubmittedJob& aJob,
                    std::uint32_t aAfter,
                    std::size_t aMaxBytes) -> wire::ResultPageT;

// An item that may run now.
struct RunnableItem
{
  SubmittedJobPtr mJob;
  std::uint32_t mIndex = 0;
  WallTime mDue;
  bool mLate = false; // cannot be done by mDue
};

// Whether aLeft is to be started before aRight: those that can be done in time
// first, then the earliest due.
auto StartsBefore(const RunnableItem& aLeft, const RunnableItem& aRight)
  -> bool;

// What the order of items depends on.
struct SchedulingInput
{
  TimePoint mNow;
  WallTime mWallNow;
  RunTimeEstimate mEstimate;
};

// The runnable items of a service, at most aMost, in the order of StartsBefore.
auto RunnableItems(const JobTable& aTable,
                   const ServingDocument& aDocument,
                   const std::string& aService,
                   std::size_t aMost,
                   const SchedulingInput& aClock) -> std::vector<RunnableItem>;

// Items that no longer can or need to be run: their route is gone, or the time
// after which they may be abandoned has passed.
auto AbandonedItems(const JobTable& aTable,
                    const ServingDocument& aDocument,
                    WallTime aWallNow) -> std::vector<RunnableItem>;

// What a former owner hands to the next: the events that its runs have brought,
// and results that the store does not have. Stops after about aMaxBytes.
auto CollectProgress(const JobTable& aTable, std::size_t aMaxBytes)
  -> wire::ProgressPageT;

struct ImportedProgress
{
  std::size_t mItems = 0;
  std::uint64_t mEvents = 0;
  std::vector<RunnableItem> mCompleted; // to be recorded as results
};

// Takes in what a former owner had, for items that are open here and have less.
auto ApplyProgress(JobTable& aTable, const wire::ProgressPageT& aPage)
  -> ImportedProgress;

// Records of the store.

// The records of a job: its bodies, then the job itself, which makes it valid.
auto JobRecords(const SubmittedJob& aJob, std::size_t aMaxRecord)
  -> std::vector<KeyedRecord>;

// The job's own record, without bodies.
auto JobRecord(const SubmittedJob& aJob, std::size_t aMaxRecord) -> KeyedRecord;

// The records of a result at a position; they also drop the item's body.
auto ResultRecords(const SubmittedJob& aJob,
                   std::uint32_t aPosition,
                   const BatchResult& aResult,
                   std::size_t aMaxRecord) -> std::vector<KeyedRecord>;

// Drops all records of a job.
auto TombstoneRecords(const SubmittedJob& aJob, std::size_t aMaxRecord)
  -> std::vector<KeyedRecord>;

// Rebuilds the table from the newest record of each key. Records without their
// job, left by a submission that was never completed, are passed over.
auto LoadJobs(const std::vector<KeyedRecord>& aRecords) -> JobTable;

} // namespace mangovalve
