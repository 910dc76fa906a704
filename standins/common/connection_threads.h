// Threads of a stand-in's HTTP server: one per open connection.
//
// cpp-httplib holds a worker for the life of a connection, so a fixed pool
// would let idle kept-alive connections block new ones.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <httplib.h>

#include "mangovalve/base/thread.h"
#include "mangovalve/base/time.h"

namespace mangovalve::standins {

// Starts threads on demand up to a limit; further connections wait.
class ConnectionThreads : public httplib::TaskQueue
{
public:
  explicit ConnectionThreads(std::size_t aLimit);

  // NOLINTNEXTLINE(readability-identifier-naming): name set by cpp-httplib
  auto enqueue(std::function<void()> aTask) -> void override;
  // NOLINTNEXTLINE(readability-identifier-naming): name set by cpp-httplib
  auto shutdown() -> void override;

private:
  auto Run() -> void;

  const std::size_t mLimit;
  absl::Mutex mMutex;
  absl::CondVar mChanged;
  std::deque<std::function<void()>> mTasks ABSL_GUARDED_BY(mMutex);
  std::size_t mIdle ABSL_GUARDED_BY(mMutex) = 0;
  bool mStopped ABSL_GUARDED_BY(mMutex) = false;
  std::vector<Thread> mThreads ABSL_GUARDED_BY(mMutex);
};

// When the connection that the calling thread serves was accepted.
auto CurrentConnectionStart() -> TimePoint;

} // namespace mangovalve::standins
