// Batch job service of one daemon: membership in the group that assigns the
// partitions, requests of callers, and requests of other daemons.
//
// Any daemon accepts a caller's request and forwards it to the owner of the
// team's partition, which it knows from the load reports of the owners. A
// daemon that cannot rule out that a job exists answers NotApplied instead of
// NotFound.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "mangovalve/batch/item_runner.h"
#include "mangovalve/batch/job_lease.h"
#include "mangovalve/batch/job_partition.h"
#include "mangovalve/serving/state.h"

namespace mangovalve {

struct JobServicePolicy
{
  // A member that has not renewed its membership for this long loses its
  // partitions. A shorter time speeds up failover, but it must cover a few
  // failed renewals.
  Duration mTimeToLive = std::chrono::milliseconds(2000);
  Duration mJoinInterval = std::chrono::milliseconds(600);
  // Timeout of a call to the owner, in addition to the time of a long poll.
  Duration mCallTimeout = std::chrono::milliseconds(1500);
  // How long a request waits until its partition has a reachable owner.
  Duration mOwnerWait = std::chrono::milliseconds(400);
  // Timeout of the progress query to a former owner. It can delay a takeover by
  // this long, but saves the repetition of runs of several seconds each.
  Duration mProgressTimeout = std::chrono::milliseconds(500);
  // How long a former owner retains its state of a partition for the handoff:
  // the next owner joins the group at most one join interval later, then sets
  // its fence.
  Duration mFormerRetention = std::chrono::milliseconds(4000);
  // Results stay readable this long after the job was submitted.
  std::chrono::milliseconds mKeepResults{ 120000 };
};

class JobService
{
public:
  JobService(ServingState& aState,
             const Protocol& aProtocol,
             const TablePorts& aTables);

  // Starts the group membership and the item runner; both last until the loop
  // stops.
  auto Start() -> void;

  // Requests of a caller whose team has been authenticated.
  auto ServeCall(CallerPtr aCaller,
                 std::string aTeam,
                 JobCall aCall,
                 std::string aId) -> Task<>;
  auto ServeSubmission(CallerPtr aCaller,
                       std::shared_ptr<Request> aRequest,
                       std::string aTeam,
                       RequestMetadata aMetadata) -> Task<>;

  // A request of another daemon; false if the path is not one of this service.
  auto ServePeer(CallerPtr aCaller, std::shared_ptr<Request> aRequest)
    -> Task<bool>;

  // Adds the owned partitions to a load report.
  auto AddOwnedPartitions(wire::LoadReportT& aReport) const -> void;

  // Stops all items, waits until all enqueued records are durable or
  // aFlushUntil has passed, and releases the partitions; returns by aDeadline.
  // Their next owners can query the progress of the items until the process
  // ends.
  auto Drain(TimePoint aFlushUntil, TimePoint aDeadline) -> Task<>;

  // Bound of the time from a caller's request to its response, whatever the
  // request asks for and the owner of its job does.
  auto LongestCall() const -> Duration;

  JobServicePolicy mPolicy;

private:
  struct JobRequest
  {
    JobOperation mOperation = JobOperation::Results;
    std::string mTeam;
    wire::JobT mJob;        // Submit
    wire::JobQueryT mQuery; // all other verbs
  };

  auto MaintainMembership() -> Task<>;
  // Stops the partitions that are no longer assigned, and loads the new ones.
  // Unless aHeld, those that remain have to confirm that nobody else has
  // changed them.
  auto ApplyAssignment(const GroupAssignment& aAssignment, bool aHeld) -> void;
  auto ReleaseAll() -> void;
  // Stops a partition that is no longer owned and retains it for the handoff.
  auto Release(JobPartitionPtr aPartition) -> void;
  auto ExpireFormerPartitions(TimePoint aNow) -> void;
  auto FetchProgress(std::uint32_t aPartition, std::uint64_t aGeneration)
    -> Task<wire::ProgressPageT>;
  // Progress of a partition whose new owner sends the query; nullopt if this
  // daemon did not own the partition before.
  auto ExportProgress(const wire::ProgressQueryT& aQuery)
    -> std::optional<wire::ProgressPageT>;
  auto ServeProgress(CallerPtr aCaller, std::string aQuery) -> Task<>;
  auto RemoveExpiredJobs() -> Task<>;
  auto LeaseValid() const -> bool;
  // The outcome of a call that depends on there being nothing beyond the jobs
  // that the partition has loaded: nullopt if that is certain. NotOwner if it
  // will be known shortly.
  auto UncertainOutcome(const JobPartition& aPartition) const
    -> std::optional<JobOutcome>;
  auto RouteRequest(JobRequest aJobRequest) -> Task<JobResponse>;
  auto CallPeer(const std::string& aHost, const JobRequest& aJobRequest)
    -> Task<JobResponse>;
  auto HandleRequest(JobPartitionPtr aPartition, JobRequest aJobRequest)
    -> Task<JobResponse>;
  auto HandleSubmit(JobPartitionPtr aPartition, wire::JobT aJob)
    -> Task<JobResponse>;
  auto HandleQuery(JobPartitionPtr aPartition,
                   JobOperation aVerb,
                   wire::JobQueryT aQuery) -> Task<JobResponse>;
  auto OwnPartition(std::uint32_t aPartition) const -> JobPartitionPtr;
  // Time for the fencing token of a partition that is opened now. Increases
  // from one renewal of the membership to the next, whatever happens to the
  // wall clock.
  auto OpeningTime() const -> WallTime;
  auto RunnablePartitions() const -> std::vector<JobPartitionPtr>;
  auto Owners() const -> std::size_t;
  auto CallDeadline(const JobRequest& aJobRequest) const -> TimePoint;

  ServingState& mState;
  const Protocol& mProtocol;
  const TablePorts& mTables;
  ItemRunner mRunner;
  std::map<std::uint32_t, JobPartitionPtr> mPartitions;
  struct FormerPartition
  {
    JobPartitionPtr mPartition;
    TimePoint mRetainUntil;
  };
  std::map<std::uint32_t, FormerPartition> mFormer; // disjoint from mPartitions
  JobLease mLease;
  WallTime mStartedAt = WallNow();
  BootTime mBootTimeAtStart = BootNow();
  bool mLeaving = false;
};

} // namespace mangovalve
