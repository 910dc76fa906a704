// Threads that execute the decisions of worker_state.h.
#include "mangovalve/batch/worker.h"

#include <utility>

#include <absl/time/time.h>

#include "mangovalve/batch/reappend.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

// Longest time between two decisions, for changes of limits and state without a
// call of Wake.
constexpr absl::Duration kMaxStepInterval = absl::Milliseconds(20);
constexpr absl::Duration kReappendInterval = absl::Seconds(5);

// Timeout of one commit or fetch, which is retried.
constexpr std::chrono::seconds kCallTimeout{ 10 };
constexpr std::chrono::seconds kDrainGrace{ 5 };

// Records that are re-appended in one round.
constexpr std::size_t kReappendBatchSize = 64;

} // namespace

Worker::Worker(const BatchPorts& aPorts, WorkerSettings aSettings)
  : mPorts(aPorts)
  , mSettings(std::move(aSettings))
{
  mStepThread = Thread("batch-worker", [this] { Run(); });
  mReappendThread = Thread("batch-carrier", [this] { RunReappend(); });
}

Worker::~Worker()
{
  {
    const absl::MutexLock lock(&mMutex);
    mEnd = true;
  }
  mStepThread.Join();
  mReappendThread.Join();
  for (auto& [number, task] : mTasks) {
    *task.mStop = StopReason::Abandon;
  }
  mTasks.clear();
}

auto Worker::Wake() -> void
{
  const absl::MutexLock lock(&mMutex);
  mWake = true;
}

auto Worker::Drain(TimePoint aDeadline) -> bool
{
  {
    const absl::MutexLock lock(&mMutex);
    mDrainDeadline = aDeadline;
    mWake = true;
  }
  while (mPorts.mNow() < aDeadline + kDrainGrace) {
    const absl::MutexLock lock(&mMutex);
    const auto idle = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) {
      return IsIdle(mState);
    };
    if (mMutex.AwaitWithTimeout(absl::Condition(&idle), kMaxStepInterval)) {
      return true;
    }
  }
  return false;
}

auto Worker::Run() -> void
{
  for (;;) {
    {
      const absl::MutexLock lock(&mMutex);
      const auto due = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) {
        return mWake || mEnd;
      };
      mMutex.AwaitWithTimeout(absl::Condition(&due), kMaxStepInterval);
      if (mEnd) {
        return;
      }
      mWake = false;
    }
    Reap();
    StepOnce();
  }
}

auto Worker::StepOnce() -> void
{
  const auto document = mPorts.mDocument();
  const std::function<auto(const std::string&)->std::string> serviceOf =
    [&](const std::string& aRoute) -> std::string {
    if (document == nullptr) {
      return {};
    }
    const auto route = document->mRoutes.find(aRoute);
    return route == document->mRoutes.end() ? std::string{}
                                            : route->second.mService;
  };
  auto limits = mPorts.mStreamLimits();
  const auto mayUseRoles = mPorts.mMayUseRoles();
  std::vector<WorkerAction> actions;
  {
    const absl::MutexLock lock(&mMutex);
    mPorts.mRead([&](const BatchState& aBatch, const Holders& aHolders) {
      mMutex.AssertHeld();
      actions = Step(mState,
                     mSettings,
                     { aBatch,
                       mPorts.mNow(),
                       std::move(limits),
                       mayUseRoles,
                       mDrainDeadline,
                       aHolders,
                       serviceOf });
    });
    FindCounter("batch_items_running")
      .Set(static_cast<std::int64_t>(mState.mRunning.size()));
    FindCounter("batch_result_bytes_waiting")
      .Set(static_cast<std::int64_t>(mState.mBufferedBytes));
  }
  for (auto& action : actions) {
    Execute(std::move(action));
  }
}

auto Worker::Execute(WorkerAction aAction) -> void
{
  using Kind = WorkerAction::Kind;
  if (aAction.mKind == Kind::Stop) {
    const auto stop = mStops.find(aAction.mToken);
    if (stop != mStops.end()) {
      *stop->second = aAction.mStop;
    }
    return;
  }
  Task task;
  task.mStop = std::make_shared<StopFlag>(StopReason::None);
  task.mDone = std::make_shared<std::atomic<bool>>(false);
  if (aAction.mKind == Kind::Dispatch) {
    mStops[aAction.mToken] = task.mStop;
  }
  task.mThread = Thread(
    "batch-task",
    [this, action = std::move(aAction), stop = task.mStop, done = task.mDone] {
      switch (action.mKind) {
        case Kind::Commit:
          RunCommit(action);
          break;
        case Kind::Load:
          RunLoad(action);
          break;
        case Kind::Dispatch:
          RunDispatch(action, *stop);
          break;
        case Kind::Stop:
          break;
      }
      *done = true;
    });
  mTasks.emplace(mNextTask++, std::move(task));
}

auto Worker::Reap() -> void
{
  std::erase_if(mTasks,
                [](const auto& aEntry) { return aEntry.second.mDone->load(); });
  std::erase_if(
    mStops, [](const auto& aEntry) { return aEntry.second.use_count() == 1; });
}

auto Worker::RunCommit(const WorkerAction& aAction) -> void
{
  Result<Verdict, JournalError> result;
  auto committed = mPorts.mJournal.mCommit(
    aAction.mDraft, aAction.mPriority, mPorts.mNow() + kCallTimeout);
  if (committed) {
    result = committed->mVerdict;
  } else {
    result = Err(committed.error());
    FindCounter("batch_commit_failures_total").Add();
  }
  const absl::MutexLock lock(&mMutex);
  OnCommitted(mState, mSettings, aAction.mDraft.mId, result, mPorts.mNow());
  mWake = true;
}

auto Worker::RunLoad(const WorkerAction& aAction) -> void
{
  Result<std::vector<ItemBody>, std::string> bodies = std::vector<ItemBody>{};
  for (const auto position : aAction.mPositions) {
    const auto batch =
      mPorts.mJournal.mFetch(OffsetOf(position), mPorts.mNow() + kCallTimeout);
    auto items = batch ? ReadItems(*batch, position)
                       : Result<std::vector<ItemBody>, std::string>(
                           Err(batch.error().mMessage));
    if (!items) {
      bodies = Err(items.error());
      LogEvent(Severity::Warn,
               "batch_body_load_failed",
               { { "job", aAction.mHeld.mKey.mJob },
                 { "chunk", std::to_string(aAction.mHeld.mChunk) },
                 { "reason", items.error() } });
      break;
    }
    bodies->insert(bodies->end(),
                   std::make_move_iterator(items->begin()),
                   std::make_move_iterator(items->end()));
  }
  const absl::MutexLock lock(&mMutex);
  OnLoaded(mState, mSettings, aAction.mHeld, bodies, mPorts.mNow());
  mWake = true;
}

auto Worker::RunDispatch(const WorkerAction& aAction, const StopFlag& aStop)
  -> void
{
  const auto outcome = mPorts.mDispatch(aAction.mDispatch, aStop);
  const absl::MutexLock lock(&mMutex);
  OnDispatched(mState, mSettings, aAction.mToken, outcome, mPorts.mNow());
  mWake = true;
}

auto Worker::RunReappend() -> void
{
  for (;;) {
    {
      const absl::MutexLock lock(&mMutex);
      if (mMutex.AwaitWithTimeout(absl::Condition(&mEnd), kReappendInterval)) {
        return;
      }
    }
    if (mPorts.mMayUseRoles()) {
      ReappendRound(mPorts,
                    mSettings.mHolder,
                    kReappendBatchSize,
                    mPorts.mNow() + kCallTimeout);
    }
  }
}

} // namespace mangovalve
