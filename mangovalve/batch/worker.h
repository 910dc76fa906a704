// Worker: carries out the decisions of worker_state.h with threads: one for
// decisions, one per running item, commit or fetch (bounded by the slots'
// limits, kMaxResultCommits and mMaxChunks), and one that carries records
// forward before the log drops them.
#pragma once

#include <map>
#include <memory>
#include <string>

#include <absl/synchronization/mutex.h>

#include "mangovalve/base/thread.h"
#include "mangovalve/batch/ports.h"
#include "mangovalve/batch/worker_state.h"

namespace mangovalve {

class Worker
{
public:
  // Starts working. The ports must outlive the worker.
  Worker(const BatchPorts& aPorts, WorkerSettings aSettings);
  ~Worker();
  Worker(const Worker&) = delete;
  auto operator=(const Worker&) -> Worker& = delete;

  // Decides again soon: a slot's limit fell, or records were replayed. Cheap;
  // call it whenever an endpoint's feeder must yield.
  auto Wake() -> void;

  // Takes no new work; running items end until aDeadline and are abandoned
  // then. Returns when all claims are released and results written, or when a
  // grace of 5 s after aDeadline is over (false).
  auto Drain(TimePoint aDeadline) -> bool;

private:
  struct Task
  {
    Thread mThread;
    std::shared_ptr<StopFlag> mStop;
    std::shared_ptr<std::atomic<bool>> mDone;
  };

  auto Run() -> void;
  auto RunReappend() -> void;
  auto StepOnce() -> void;
  auto Execute(WorkerAction aAction) -> void;
  auto RunCommit(const WorkerAction& aAction) -> void;
  auto RunLoad(const WorkerAction& aAction) -> void;
  auto RunDispatch(const WorkerAction& aAction, const StopFlag& aStop) -> void;
  auto Reap() -> void;

  const BatchPorts& mPorts;
  const WorkerSettings mSettings;

  absl::Mutex mMutex;
  WorkerState mState ABSL_GUARDED_BY(mMutex);
  std::optional<TimePoint> mDrainDeadline ABSL_GUARDED_BY(mMutex);
  bool mWake ABSL_GUARDED_BY(mMutex) = false;
  bool mEnd ABSL_GUARDED_BY(mMutex) = false;

  // Only the decision thread touches the tasks, and the destructor after it.
  std::uint64_t mNextTask = 0;
  std::map<std::uint64_t, Task> mTasks;
  std::map<std::uint64_t, std::shared_ptr<StopFlag>> mStops; // by token

  Thread mStepThread;
  Thread mReappendThread;
};

} // namespace mangovalve
