// An in-memory log with injected faults, for tests and benchmarks.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <string>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "mangovalve/log_service/log_port.h"

namespace mangovalve {

class FakeLog
{
public:
  // Outcome of one append.
  enum class AppendOutcome
  {
    Done,
    NotSent,
    Rejected,
    ResponseDropped, // takes effect, but the writer gets no response
    RequestDropped,  // has no effect, and the writer gets no response
    Delayed,         // takes effect at the next CompleteDelayed
  };

  // aOutcome is called for the outcome of each following append.
  auto SetAppendOutcome(std::function<auto()->AppendOutcome> aOutcome) -> void
  {
    const absl::MutexLock lock(&mMutex);
    mOutcome = std::move(aOutcome);
  }

  auto SetTime(LogTime aNow) -> void
  {
    const absl::MutexLock lock(&mMutex);
    mNow = aNow;
  }

  auto SetReachable(bool aReachable) -> void
  {
    const absl::MutexLock lock(&mMutex);
    mReachable = aReachable;
  }

  // Makes every delayed append take effect.
  auto CompleteDelayed() -> void
  {
    const absl::MutexLock lock(&mMutex);
    for (auto& each : mDelayed) {
      Add(std::move(each));
    }
    mDelayed.clear();
  }

  // Drops the entries below aFirst, as the retention of the platform does.
  auto Expire(Offset aFirst) -> void
  {
    const absl::MutexLock lock(&mMutex);
    while (!mEntries.empty() && mEntries.front().mOffset < aFirst) {
      mEntries.pop_front();
    }
  }

  auto Append(const std::string& aPayload) -> Result<Offset, PlatformError>
  {
    using Kind = PlatformError::Kind;
    const absl::MutexLock lock(&mMutex);
    const auto outcome = !mReachable ? AppendOutcome::NotSent
                         : mOutcome  ? mOutcome()
                                     : AppendOutcome::Done;
    switch (outcome) {
      case AppendOutcome::NotSent:
        return Err(PlatformError{ Kind::NotSent, "not sent" });
      case AppendOutcome::Rejected:
        return Err(PlatformError{ Kind::Rejected, "rejected" });
      case AppendOutcome::ResponseDropped:
        Add(aPayload);
        break;
      case AppendOutcome::Delayed:
        mDelayed.push_back(aPayload);
        break;
      case AppendOutcome::RequestDropped:
        break;
      case AppendOutcome::Done:
        Add(aPayload);
        return mNext - 1;
    }
    return Err(PlatformError{ Kind::OutcomeUnknown, "no answer" });
  }

  auto Read(Offset aFrom, std::size_t aLimit) const
    -> Result<LogPage, PlatformError>
  {
    const absl::MutexLock lock(&mMutex);
    if (!mReachable) {
      return Err(PlatformError{ PlatformError::Kind::NotSent, "not sent" });
    }
    LogPage page;
    page.mFirstOffset = mEntries.empty() ? mNext : mEntries.front().mOffset;
    page.mNextOffset = mNext;
    for (auto at = std::max(aFrom, page.mFirstOffset);
         at < mNext && page.mEntries.size() < aLimit;
         ++at) {
      page.mEntries.push_back(mEntries[at - page.mFirstOffset]);
    }
    return page;
  }

  // A port whose reads return at once instead of waiting for entries.
  auto Port() -> LogPort
  {
    return { [this](const std::string& aPayload, TimePoint) {
              return Append(aPayload);
            },
             [this](Offset aFrom, std::size_t aLimit, TimePoint) {
               return Read(aFrom, aLimit);
             } };
  }

private:
  mutable absl::Mutex mMutex;
  std::deque<LogEntry> mEntries ABSL_GUARDED_BY(mMutex);
  std::deque<std::string> mDelayed ABSL_GUARDED_BY(mMutex);
  std::function<auto()->AppendOutcome> mOutcome ABSL_GUARDED_BY(mMutex);
  Offset mNext ABSL_GUARDED_BY(mMutex) = 0;
  LogTime mNow ABSL_GUARDED_BY(mMutex){};
  bool mReachable ABSL_GUARDED_BY(mMutex) = true;

  auto Add(std::string aPayload) -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex)
  {
    mEntries.push_back({ mNext++, mNow, std::move(aPayload) });
  }
};

} // namespace mangovalve
