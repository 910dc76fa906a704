// Runs the items of the job partitions that this daemon owns on slots that
// online requests leave free, and preempts them when online requests need the
// slots.
//
// An interrupted item keeps the events that it has received and resumes after
// them at another endpoint, so preemption is cheap.
#pragma once

#include <functional>
#include <list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovalve/batch/job_partition.h"
#include "mangovalve/routing/batch_yield.h"
#include "mangovalve/serving/state.h"

namespace mangovalve {

struct ItemRunnerPolicy
{
  // Interval at which the load is evaluated. An online request whose slot is
  // used by batch waits up to this long plus the delay of a load report.
  Duration mInterval = std::chrono::milliseconds(40);
  // An item that receives no event from its endpoint for this long is
  // interrupted and resumed at another one.
  Duration mIdleTimeout = std::chrono::milliseconds(2500);
  Duration mConnectTimeout = std::chrono::milliseconds(400);
  // Delay before an item is sent again after a refusal or a failure.
  Duration mRetryDelay = std::chrono::milliseconds(200);
  // The same after a crash of the endpoint that the item may have caused.
  Duration mSuspectedRetryDelay = std::chrono::seconds(3);
  // Interval at which the quarantine of an item is checked.
  Duration mQuarantineCheckInterval = std::chrono::seconds(1);
  // Interval of the batch_load log events, while items wait.
  Duration mLogInterval = std::chrono::seconds(1);
};

struct ItemRunnerPorts
{
  // The partitions whose items this daemon may run now.
  std::function<auto()->std::vector<JobPartitionPtr>> mPartitions;
  // Number of daemons that own partitions, including this one; at least 1.
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

  // Starts no new items from now on.
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
    TimePoint mDeadline;       // when its item may be abandoned
    std::uint32_t mEvents = 0; // received by this run
    bool mAnswerBegun = false; // by the endpoint
    bool mTrial = false;       // its item is quarantined and is tried
    bool mMayHaveRun = false;  // it was sent, and not refused as not run
    // When the endpoint ended the connection before it had begun to answer.
    std::optional<TimePoint> mLostAt;
    bool mStopped = false;
    std::string mStopReason;     // for the log; empty: not stopped
    std::function<void()> mStop; // closes the connection
  };
  using RunningItemPtr = std::shared_ptr<RunningItem>;

  enum class RunOutcome
  {
    Completed,
    PermanentFailure, // the item can never succeed
    Failed,           // the endpoint ran the item and reported a failure
    Interrupted,      // to be resumed
  };

  auto StopSuperseded() -> void;
  auto Yield(TimePoint aNow) -> void;
  // Preempts items at one endpoint for online requests.
  auto YieldAt(const EndpointPtr& aEndpoint,
               YieldMemory& aMemory,
               double aWaiting,
               TimePoint aNow) -> void;
  auto StartItems(TimePoint aNow) -> void;
  auto StartItemsOf(const std::string& aService,
                    ServicePool& aPool,
                    TimePoint aNow) -> void;
  auto AbandonItems(TimePoint aNow) -> void;
  auto RunOne(RunningItemPtr aRun) -> Task<>;
  auto Exchange(RunningItemPtr aRun) -> Task<RunOutcome>;
  auto ReadEvents(RunningItem& aRun,
                  ClientConnection& aConnection,
                  ResponseParser& aParser) -> Task<RunOutcome>;
  // Notes that the endpoint has begun to answer.
  auto NoteAnswerBegun(RunningItem& aRun) -> void;
  // Notes the error of a read or write, if the endpoint has caused it.
  static auto NoteError(RunningItem& aRun, const ErrorCode& aError) -> void;
  // Examines whether the endpoint has crashed, and if so, whether the item may
  // be the cause.
  auto ExamineLoss(RunningItemPtr aRun) -> Task<>;
  auto IsQuarantined(const RunnableItem& aItem, TimePoint aNow) const -> bool;
  // Whether the item is quarantined and may not be sent as a trial now.
  auto IsHeldBack(const RunnableItem& aItem, TimePoint aNow) const -> bool;
  // Uses up the trials of the run's quarantines.
  auto TakeTrial(RunningItem& aRun, TimePoint aNow) -> void;
  // Makes the run's trials due again if the endpoint has not run the item.
  auto ReturnUnusedTrial(const RunningItem& aRun, TimePoint aNow) -> void;
  // The items of a partition to start next. Quarantined ones are held back.
  auto NextItems(const JobPartitionPtr& aPartition,
                 const std::string& aService,
                 const SchedulingInput& aInput) -> std::vector<RunnableItem>;
  // Which rule allows the item to start, by the forecast of the demand.
  auto RuleOf(const RiseOutlook& aOutlook,
              const RunnableItem& aItem,
              TimePoint aNow) const -> StartRule;
  // Items that may start now although they may still run when the demand rises.
  auto RoomThroughRiseFor(const RiseOutlook& aOutlook,
                          std::span<const PlacementCandidate> aCandidates,
                          TimePoint aNow) -> std::size_t;
  static auto Stop(RunningItem& aRun, std::string_view aReason) -> void;
  // The items on an endpoint that may be preempted, those to preempt first at
  // the front. Urgent items are not among them, nor trials that an answer has
  // not decided yet.
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
  // By hash of the id, of the endpoints at which items of this host run.
  absl::flat_hash_map<std::uint64_t, YieldMemory> mYields;
  bool mPaused = false;
  TimePoint mNextLoadLog{}; // of batch_load
};

} // namespace mangovalve
