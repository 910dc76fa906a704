// A thread pool that grows with the number of open connections.
#include "standins/common/connection_threads.h"

#include <utility>

namespace mangovalve::standins {
namespace {

thread_local TimePoint tConnectionStart;

} // namespace

ConnectionThreads::ConnectionThreads(std::size_t aLimit)
  : mLimit(aLimit)
{
}

auto ConnectionThreads::enqueue(std::function<void()> aTask) -> void
{
  const absl::MutexLock lock(&mMutex);
  const auto acceptedAt = Clock::now();
  mTasks.push_back([acceptedAt, task = std::move(aTask)] {
    tConnectionStart = acceptedAt;
    task();
  });
  if (mIdle < mTasks.size() && mThreads.size() < mLimit) {
    mThreads.emplace_back("connection", [this] { Run(); });
  }
  mChanged.Signal();
}

auto ConnectionThreads::shutdown() -> void
{
  std::vector<Thread> threads;
  {
    const absl::MutexLock lock(&mMutex);
    mStopped = true;
    mChanged.SignalAll();
    threads = std::move(mThreads);
  }
  for (auto& thread : threads) {
    thread.Join();
  }
}

auto ConnectionThreads::Run() -> void
{
  for (;;) {
    std::function<void()> task;
    {
      const absl::MutexLock lock(&mMutex);
      ++mIdle;
      while (mTasks.empty() && !mStopped) {
        mChanged.Wait(&mMutex);
      }
      --mIdle;
      if (mTasks.empty()) {
        return;
      }
      task = std::move(mTasks.front());
      mTasks.pop_front();
    }
    task();
  }
}

auto CurrentConnectionStart() -> TimePoint
{
  return tConnectionStart;
}

} // namespace mangovalve::standins
