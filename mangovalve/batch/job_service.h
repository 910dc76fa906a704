// Batch jobs of the whole fleet at one daemon: membership in the group that
// shares out the partitions, calls of callers, and calls of other daemons.
//
// Any daemon takes a caller's call and passes it to the owner of the team's
// partition, which the owners' load reports name. A daemon that cannot be sure
// says so instead of "not found".
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "mangovalve/batch/item_runner.h"
#include "mangovalve/batch/job_partition.h"
#include "mangovalve/serving/state.h"

namespace mangovalve {

struct JobServicePolicy
{
  // A member that has not joined for this long loses its partitions. Shorter
  // takes over sooner; a few joins may be lost within it.
  Duration mTimeToLive = std::chrono::milliseconds(2000);
  Duration mJoinInterval = std::chrono::milliseconds(600);
  // Bound on a call to the owner, beyond what it may wait for a result.
  Duration mCallTimeout = std::chrono::milliseconds(1500);
  // How long a call waits for a partition to get an owner.
  Duration mOwnerWait = std::chrono::milliseconds(400);
  // Bound on the question to a former owner. It delays a take-over, and saves
  // the runs of items, of some seconds each.
  Duration mProgressTimeout = std::chrono::milliseconds(500);
  // How long a former owner keeps what it has of a partition: the next one
  // joins the group at most one interval later, then sets its fence.
  Duration mKeepFormer = std::chrono::milliseconds(4000);
  // Results stay readable this long after the submission.
  std::chrono::milliseconds mKeepResults{ 120000 };
};

class JobService
{
public:
  JobService(ServingState& aState,
             const Protocol& aProtocol,
             const TablePorts& aTables);

  // Joins the group and runs items until the loop stops.
  auto Start() -> void;

  // A call of a caller, whose team has been checked.
  auto ServeCall(CallerPtr aCaller,
                 std::string aTeam,
                 JobCall aCall,
                 std::string aId) -> Task<>;
  auto ServeSubmission(CallerPtr aCaller,
                       std::shared_ptr<Request> aRequest,
                       std::string aTeam,
                       RequestMetadata aFacts) -> Task<>;

  // A call of another daemon; false if the request is none.
  auto ServePeer(CallerPtr aCaller, std::shared_ptr<Request> aRequest)
    -> Task<bool>;

  // Adds the partitions owned to a load report.
  auto AddClaims(wire::LoadReportT& aReport) const -> void;

  // Stops all items and gives the partitions back once what was recorded is
  // durable or aUntil has passed. Their next owners can ask for the progress of
  // the items until the process ends.
  auto Drain(TimePoint aUntil) -> Task<>;

  JobServicePolicy mPolicy;

private:
  struct Question
  {
    JobOperation mOperation = JobOperation::Results;
    std::string mTeam;
    wire::JobT mJob;        // Submit
    wire::JobQueryT mQuery; // the others
  };

  auto KeepMembership() -> Task<>;
  auto TakeShare(const GroupAssignment& aShare) -> void;
  // Stops a partition that is no longer held and keeps it for its next owner.
  auto Release(JobPartitionPtr aPartition) -> void;
  auto ForgetFormer(TimePoint aNow) -> void;
  auto FetchProgress(std::uint32_t aPartition, std::uint64_t aGeneration)
    -> Task<wire::ProgressPageT>;
  // The progress of a partition that this daemon has lost to the asker.
  auto GiveProgress(const wire::ProgressQueryT& aQuery)
    -> std::optional<wire::ProgressPageT>;
  auto ServeProgress(CallerPtr aCaller, std::string aQuery) -> Task<>;
  auto DropOldJobs() -> Task<>;
  auto LeaseHolds() const -> bool;
  auto Ask(Question aQuestion) -> Task<JobResponse>;
  auto AskPeer(const std::string& aHost, const Question& aQuestion)
    -> Task<JobResponse>;
  auto Answer(JobPartitionPtr aPartition, Question aQuestion)
    -> Task<JobResponse>;
  auto AnswerSubmit(JobPartitionPtr aPartition, wire::JobT aJob)
    -> Task<JobResponse>;
  auto AnswerQuery(JobPartitionPtr aPartition,
                   JobOperation aVerb,
                   wire::JobQueryT aQuery) -> Task<JobResponse>;
  auto OwnPartition(std::uint32_t aPartition) const -> JobPartitionPtr;
  auto RunnablePartitions() const -> std::vector<JobPartitionPtr>;
  auto Owners() const -> std::size_t;
  auto CallDeadline(const Question& aQuestion) const -> TimePoint;

  ServingState& mState;
  const Protocol& mProtocol;
  const TablePorts& mTables;
  ItemRunner mRunner;
  std::map<std::uint32_t, JobPartitionPtr> mPartitions;
  struct FormerPartition
  {
    JobPartitionPtr mPartition;
    TimePoint mKeepUntil;
  };
  std::map<std::uint32_t, FormerPartition> mFormer; // none is in mPartitions
  std::uint64_t mGeneration = 0;
  WallTime mStartedAt = WallNow();
  BootTime mLeaseUntil{};
  bool mLeaving = false;
};

} // namespace mangovalve
