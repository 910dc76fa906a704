// Runs the items of the job partitions that this daemon owns, on slots that
// online requests leave free, and gives them back when online requests come.
//
// An interrupted item keeps the events that it has brought and goes on after
// them at the next endpoint, so giving way costs little.
#pragma once

#include <functional>
#include <list>
#include <vector>

#include "mangovalve/batch/job_partition.h"
#include "mangovalve/serving/state.h"

namespace mangovalve {

struct ItemRunnerPolicy
{
  // Pause between two looks at the load. Online requests that find batch in
  // their slots wait about this long plus a load report.
  Duration mInterval = std::chrono::milliseconds(40);
  // An item whose endpoint brings nothing for this long goes on elsewhere.
  Duration mIdleTimeout = std::chrono::milliseconds(2500);
  Duration mConnectTimeout = std::chrono::milliseconds(400);
  // Pause before an item is sent again that an endpoint refused or failed.
  Duration mRetryDelay = std::chrono::milliseconds(200);
  // Pause between two lines in the log on the load, while items wait.
  Duration mLogInterval = std::chrono::seconds(1);
};

struct ItemRunnerPorts
{
  // The partitions that this daemon may run items of, now.
  std::function<auto()->std::vector<JobPartitionPtr>> mPartitions;
  // Owners of partitions in the fleet, this daemon included; at least 1.
  std::function<auto()->std::size_t> mOwners;
};

class ItemRunner
{
public:
  ItemRunner(ServingState& aState,
             const Protocol& aProtocol,
             ItemRunnerPorts aPorts)
    : mState(aState)
    , mProtocol(aProtocol)
    , mPorts(std::move(aPorts))
  {
  }

  // Runs until the loop stops.
  auto Run() -> Task<>;

  // No new items from now on.
  auto Pause() -> void { mPaused = true; }
  auto Running() const -> std::size_t { return mRunning.size(); }

  // Stops the running items of a job, of a partition, or all of them.
  auto StopJob(const SubmittedJob& aJob) -> void;
  auto StopPartition(const JobPartition& aPartition) -> void;
  auto StopAll() -> void;

  ItemRunnerPolicy mPolicy;

private:
  struct RunningItem
  {
    JobPartitionPtr mPartition;
    RunnableItem mItem;
    EndpointPtr mEndpoint;
    TimePoint mStartedAt;
    std::uint32_t mEvents = 0; // brought by this run
    bool mStopped = false;
    std::function<void()> mStop; // closes the connection
  };
  using RunningItemPtr = std::shared_ptr<RunningItem>;

  enum class RunOutcome
  {
    Completed,
    PermanentFailure, // the item can never be done
    Failed,           // the endpoint ran it and failed
    Interrupted,      // to be gone on with
  };

  auto StopSuperseded() -> void;
  auto Yield(TimePoint aNow) -> void;
  auto StartItems(TimePoint aNow) -> void;
  auto StartItemsOf(const std::string& aService,
                    ServicePool& aPool,
                    TimePoint aNow) -> void;
  auto AbandonItems() -> void;
  auto RunOne(RunningItemPtr aRun) -> Task<>;
  auto Exchange(RunningItemPtr aRun) -> Task<RunOutcome>;
  auto ReadEvents(RunningItem& aRun,
                  ClientConnection& aConnection,
                  ResponseParser& aParser) -> Task<RunOutcome>;
  auto Stop(RunningItem& aRun) -> void;
  // The items on an endpoint that may give way, those to stop first at the
  // front.
  auto PreemptionCandidates(const EndpointPtr& aEndpoint) const
    -> std::vector<RunningItemPtr>;
  auto LogLoad(const std::string& aService,
               std::size_t aWaiting,
               std::size_t aLate,
               double aSpare,
               TimePoint aNow) -> void;
  auto RecordFailure(RunningItem& aRun, std::string_view aReason) -> RunOutcome;

  ServingState& mState;
  const Protocol& mProtocol;
  ItemRunnerPorts mPorts;
  std::list<RunningItemPtr> mRunning; // newest last
  RunTimeEstimate mEstimate;
  bool mPaused = false;
  TimePoint mNextLoadLog{}; // the load
};

// The wall clock, for times that other daemons read too.
auto WallNow() -> WallTime;

} // namespace mangovalve
