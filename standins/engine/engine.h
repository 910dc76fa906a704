// The running engine: the batch with its clock, the load reports, the cache
// events and the ordered state behind one mutex.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "mangovalve/base/thread.h"
#include "standins/common/batching.h"
#include "standins/common/cache_feed.h"
#include "standins/common/engine_orders.h"
#include "standins/common/executions.h"

namespace mangovalve::standins {

struct EngineOptions
{
  BatchingOptions mBatching;
  Duration mLoadLag{ 0 }; // age of a load report
  std::size_t mMaxWaiting = 1000;
  EngineState mState;
  CacheFeed mFeed;
};

// What a reader of a sequence sees.
struct SequenceView
{
  std::string mPrompt;
  std::uint32_t mTokens = 0;
  SequenceState mState = SequenceState::Waiting;
};

// Callers on any thread.
class Engine
{
public:
  explicit Engine(EngineOptions aOptions);
  ~Engine();
  Engine(const Engine&) = delete;
  auto operator=(const Engine&) -> Engine& = delete;

  // Queues a request; nothing when too many wait.
  auto Start(Sequence aSequence, const std::string& aIdempotencyKey)
    -> std::optional<SequenceId>;
  // Attaches a reader to the latest sequence of a request.
  auto Resume(const std::string& aRequestId) -> std::optional<SequenceId>;
  auto Leave(SequenceId aId) -> void;
  auto Cancel(const std::string& aRequestId) -> bool;

  // Waits until the sequence has more than aTokens tokens, has ended, or
  // aIsConnected is false.
  auto WaitFor(SequenceId aId,
               std::uint32_t aTokens,
               const std::function<bool()>& aIsConnected) -> SequenceView;

  // Report as it was before the lag.
  auto Load() -> nlohmann::json;
  auto CacheEvents(std::uint64_t aAfter) -> nlohmann::json;

  // The cached ones of the blocks; all when empty.
  auto ExportBlocks(const std::vector<BlockHash>& aBlocks)
    -> std::vector<BlockHash>;
  auto ImportBlocks(const std::vector<BlockHash>& aBlocks) -> void;

  // Runs aFunction on the ordered state under the mutex.
  auto WithState(const std::function<void(EngineState&)>& aFunction) -> void;

  auto Counts() const -> const Executions& { return mExecutions; }

private:
  absl::Mutex mMutex; // declared first: the attributes below name it
  struct Report
  {
    TimePoint mAt;
    nlohmann::json mJson;
  };

  auto Run() -> void;
  auto Step(TimePoint aNow) -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  auto TakeReport(TimePoint aNow) -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  auto Publish(const std::vector<CacheChange>& aChanges, TimePoint aNow)
    -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);

  const Duration mLoadLag;
  const std::size_t mMaxWaiting;
  Executions mExecutions;
  absl::CondVar mWork;     // wakes the batch's thread
  absl::CondVar mProgress; // wakes readers
  bool mStopped ABSL_GUARDED_BY(mMutex) = false;
  Batching mBatching ABSL_GUARDED_BY(mMutex);
  CacheFeed mFeed ABSL_GUARDED_BY(mMutex);
  EngineState mState ABSL_GUARDED_BY(mMutex);
  std::deque<Report> mReports ABSL_GUARDED_BY(mMutex); // oldest first
  Thread mThread;
};

} // namespace mangovalve::standins
