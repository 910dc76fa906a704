// Executes the decisions of worker_state.h with threads: one that takes the
// decisions, one per running item, commit or fetch (bounded by the stream
// limits, mMaxResultCommits and mMaxChunks), and one that re-appends records
// before the log drops them.
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
  // Starts the threads. The ports must outlive the worker.
  Worker(const BatchPorts& aPorts, WorkerSettings aSettings);
  ~Worker();
  Worker(const Worker&) = delete;
  auto operator=(const Worker&) -> Worker& = delete;

  // Makes the next decision soon, because a stream limit was lowered or records
  // were replayed. Cheap; to be called whenever batch must yield at an
  // endpoint.
  auto Wake() -> void;

  // Starts no new items; running items are abandoned at aDeadline. Returns true
  // when all claims are released and all results written, false if that is not
  // the case 5 s after aDeadline.
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

  // Used only by the decision thread, and by the destructor after joining it.
  std::uint64_t mNextTask = 0;
  std::map<std::uint64_t, Task> mTasks;
  std::map<std::uint64_t, std::shared_ptr<StopFlag>> mStops; // by token

  Thread mStepThread;
  Thread mReappendThread;
};

} // namespace mangovalve
