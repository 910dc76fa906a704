// The running engine.
#include "standins/engine/engine.h"

#include <utility>

#include <absl/time/clock.h>

namespace mangovalve::standins {
namespace {

constexpr auto kReportInterval = std::chrono::milliseconds(20);
// How soon a reader notices that its caller has left.
constexpr auto kConnectionPoll = absl::Milliseconds(50);

auto Milliseconds(Duration aTime) -> double
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

Engine::Engine(EngineOptions aOptions)
  : mLoadLag(aOptions.mLoadLag)
  , mMaxWaiting(aOptions.mMaxWaiting)
  , mBatching(MakeBatching(aOptions.mBatching))
  , mFeed(std::move(aOptions.mFeed))
  , mState(std::move(aOptions.mState))
  , mThread("batch", [this] { Run(); })
{
}

Engine::~Engine()
{
  {
    const absl::MutexLock lock(&mMutex);
    mStopped = true;
    mWork.Signal();
  }
  mThread.Join();
}

auto Engine::Start(Sequence aSequence, const std::string& aIdempotencyKey)
  -> std::optional<SequenceId>
{
  const absl::MutexLock lock(&mMutex);
  if (mBatching.mWaiting.size() >= mMaxWaiting) {
    return std::nullopt;
  }
  mExecutions.Count(aSequence.mRequestId, aIdempotencyKey, aSequence.mPrompt);
  const auto id = AddSequence(mBatching, std::move(aSequence), Clock::now());
  mWork.Signal();
  return id;
}

auto Engine::Resume(const std::string& aRequestId) -> std::optional<SequenceId>
{
  const absl::MutexLock lock(&mMutex);
  const auto id = FindSequence(mBatching, aRequestId);
  if (!id || !AttachReader(mBatching, *id, Clock::now())) {
    return std::nullopt;
  }
  mWork.Signal();
  return id;
}

auto Engine::Leave(SequenceId aId) -> void
{
  const absl::MutexLock lock(&mMutex);
  DetachReader(mBatching, aId, Clock::now());
  mWork.Signal();
}

auto Engine::Cancel(const std::string& aRequestId) -> bool
{
  const absl::MutexLock lock(&mMutex);
  const auto id = FindSequence(mBatching, aRequestId);
  const auto cancelled = id && CancelSequence(mBatching, *id, Clock::now());
  mWork.Signal();
  mProgress.SignalAll();
  return cancelled;
}

auto Engine::WaitFor(SequenceId aId,
                     std::uint32_t aTokens,
                     const std::function<bool()>& aIsConnected) -> SequenceView
{
  const absl::MutexLock lock(&mMutex);
  for (;;) {
    const auto found = mBatching.mSequences.find(aId);
    if (found == mBatching.mSequences.end()) {
      return { "", aTokens, SequenceState::Cancelled };
    }
    const auto& sequence = found->second;
    if (sequence.mTokens > aTokens ||
        sequence.mState >= SequenceState::Finished || !aIsConnected()) {
      return { sequence.mPrompt, sequence.mTokens, sequence.mState };
    }
    mProgress.WaitWithTimeout(&mMutex, kConnectionPoll);
  }
}

auto Engine::Load() -> nlohmann::json
{
  const absl::MutexLock lock(&mMutex);
  const auto visible = Clock::now() - mLoadLag;
  nlohmann::json report;
  for (const auto& entry : mReports) {
    if (entry.mAt > visible && !report.is_null()) {
      break;
    }
    report = entry.mJson;
  }
  return report.is_null() ? nlohmann::json::object() : report;
}

auto Engine::CacheEvents(std::uint64_t aAfter) -> nlohmann::json
{
  const absl::MutexLock lock(&mMutex);
  return RenderEvents(mFeed, aAfter, Clock::now());
}

auto Engine::ExportBlocks(const std::vector<BlockHash>& aBlocks)
  -> std::vector<BlockHash>
{
  const absl::MutexLock lock(&mMutex);
  const auto& cache = mBatching.mCache;
  if (aBlocks.empty()) {
    return { cache.mByUse.begin(), cache.mByUse.end() };
  }
  std::vector<BlockHash> cached;
  for (const auto block : aBlocks) {
    if (cache.mBlocks.count(block) > 0) {
      cached.push_back(block);
    }
  }
  return cached;
}

auto Engine::ImportBlocks(const std::vector<BlockHash>& aBlocks) -> void
{
  const absl::MutexLock lock(&mMutex);
  std::vector<CacheChange> changes;
  Store(mBatching.mCache, aBlocks, changes);
  Publish(changes, Clock::now());
}

auto Engine::WithState(const std::function<void(EngineState&)>& aFunction)
  -> void
{
  const absl::MutexLock lock(&mMutex);
  aFunction(mState);
}

auto Engine::Run() -> void
{
  const absl::MutexLock lock(&mMutex);
  while (!mStopped) {
    const auto now = Clock::now();
    Step(now);
    const auto report = now + kReportInterval;
    const auto next = std::min(NextEvent(mBatching).value_or(report), report);
    if (next > now) {
      mWork.WaitWithTimeout(&mMutex, absl::FromChrono(next - now));
    }
  }
}

auto Engine::Step(TimePoint aNow) -> void
{
  std::vector<CacheChange> changes;
  Advance(mBatching, aNow, changes);
  Publish(changes, aNow);
  if (mReports.empty() || mReports.back().mAt + kReportInterval <= aNow) {
    TakeReport(aNow);
  }
  mProgress.SignalAll();
}

auto Engine::TakeReport(TimePoint aNow) -> void
{
  mReports.push_back(
    { aNow,
      { { "running", mBatching.mRunning.size() },
        { "waiting", mBatching.mWaiting.size() },
        { "max_running", mBatching.mOptions.mMaxBatch },
        { "first_token_ms", Milliseconds(mBatching.mLastFirstTokenDelay) },
        { "finished", mBatching.mFinishedCount },
        { "cache_blocks", mBatching.mCache.mByUse.size() },
        { "cache_capacity", mBatching.mCache.mCapacity } } });
  // The newest report that is older than the lag stays.
  while (mReports.size() > 1 && mReports[1].mAt + mLoadLag <= aNow) {
    mReports.pop_front();
  }
}

auto Engine::Publish(const std::vector<CacheChange>& aChanges, TimePoint aNow)
  -> void
{
  for (const auto& change : aChanges) {
    standins::Publish(mFeed, change, aNow);
  }
}

} // namespace mangovalve::standins
