// Claims, starts, preempts and reports batch items for a host's worker.
#include "mangovalve/batch/worker_state.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "mangovalve/telemetry/counters.h"

namespace mangovalve {
namespace {

// Unresolved claims of this host, at most.
constexpr std::size_t kMaxPendingClaims = 4;

// One step in progress.
struct StepContext
{
  WorkerState& mState;
  const WorkerSettings& mSettings;
  const WorkerInput& mInput;
  std::vector<WorkerAction> mActions;
};

auto Commit(StepContext& aStep, PendingCommit& aPending) -> void
{
  aPending.mInFlight = true;
  WorkerAction action;
  action.mKind = WorkerAction::Kind::Commit;
  action.mDraft = aPending.mDraft;
  action.mPriority = aPending.mKind == PendingCommit::Kind::Results
                       ? CommitPriority::Result
                       : CommitPriority::Claim;
  aStep.mActions.push_back(std::move(action));
}

auto Propose(StepContext& aStep, PendingCommit aPending) -> void
{
  const auto id = aPending.mDraft.mId;
  auto& pending = aStep.mState.mCommits[id];
  pending = std::move(aPending);
  Commit(aStep, pending);
}

auto HasPending(const WorkerState& aState,
                PendingCommit::Kind aKind,
                const JobKey& aKey,
                std::uint32_t aChunk) -> bool
{
  return std::any_of(
    aState.mCommits.begin(), aState.mCommits.end(), [&](const auto& aEntry) {
      const auto& pending = aEntry.second;
      return pending.mKind == aKind && pending.mHeld.mKey == aKey &&
             pending.mHeld.mChunk == aChunk;
    });
}

auto CountPending(const WorkerState& aState, PendingCommit::Kind aKind)
  -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    aState.mCommits.begin(), aState.mCommits.end(), [&](const auto& aEntry) {
      return aEntry.second.mKind == aKind;
    }));
}

// The chunk if aHeld is its current claim, otherwise null.
auto CurrentChunk(const BatchState& aBatch, const HeldKey& aHeld)
  -> const OpenChunk*
{
  const auto* const job = FindJob(aBatch, aHeld.mKey);
  if (job == nullptr) {
    return nullptr;
  }
  const auto open = job->mOpen.find(aHeld.mChunk);
  return open != job->mOpen.end() && open->second.mClaim == aHeld.mClaim
           ? &open->second
           : nullptr;
}

auto Stop(StepContext& aStep,
          std::uint64_t aToken,
          RunningItem& aRunning,
          StopReason aReason) -> void
{
  if (aRunning.mStop >= aReason) {
    return;
  }
  aRunning.mStop = aReason;
  WorkerAction action;
  action.mKind = WorkerAction::Kind::Stop;
  action.mToken = aToken;
  action.mStop = aReason;
  aStep.mActions.push_back(std::move(action));
}

auto AddResult(WorkerState& aState,
               const HeldKey& aHeld,
               ItemOutcome aOutcome,
               TimePoint aNow) -> void
{
  auto& buffer = aState.mBuffers[aHeld];
  if (buffer.mOutcomes.empty()) {
    buffer.mOldest = aNow;
  }
  const auto bytes = RecordBytes(aOutcome);
  buffer.mBytes += bytes;
  aState.mBufferedBytes += bytes;
  buffer.mOutcomes.push_back(std::move(aOutcome));
}

// Reports the result of an item that is not run, or not run again, under this
// claim.
auto ReportWithoutRun(WorkerState& aState,
                      const HeldKey& aHeld,
                      HeldItem& aItem,
                      record::ItemStatus aStatus,
                      const std::string& aMessage,
                      TimePoint aNow) -> void
{
  aItem.mStage = ItemStage::Reported;
  AddResult(aState,
            aHeld,
            { aItem.mBody.mIndex,
              aStatus,
              aItem.mAttempts,
              0,
              aItem.mBody.mCustomId,
              aMessage },
            aNow);
}

// Drops chunks whose claim is no longer current and stops their items. This
// includes cancelled jobs, whose buffered results are dropped, too.
auto DropSuperseded(StepContext& aStep) -> void
{
  auto& state = aStep.mState;
  const auto& batch = aStep.mInput.mBatch;
  for (auto it = state.mHeld.begin(); it != state.mHeld.end();) {
    it = CurrentChunk(batch, it->first) == nullptr ? state.mHeld.erase(it)
                                                   : std::next(it);
  }
  for (auto& [token, running] : state.mRunning) {
    if (!state.mHeld.contains(running.mHeld)) {
      Stop(aStep, token, running, StopReason::Abandon);
    }
  }
  for (auto it = state.mBuffers.begin(); it != state.mBuffers.end();) {
    const auto* const job = FindJob(batch, it->first.mKey);
    if (job == nullptr || job->mFinished) {
      state.mBufferedBytes -= it->second.mBytes;
      it = state.mBuffers.erase(it);
    } else {
      ++it;
    }
  }
}

// Adds chunks whose current claim names this holder, including claims whose
// append got no response.
auto AddCurrentClaims(StepContext& aStep) -> void
{
  if (aStep.mInput.mNow < aStep.mState.mNextScan) {
    return;
  }
  aStep.mState.mNextScan = aStep.mInput.mNow + aStep.mSettings.mScanInterval;
  for (const auto& [key, job] : aStep.mInput.mBatch.mJobs) {
    for (const auto& [number, open] : job.mOpen) {
      if (open.mClaim == 0 || open.mHolder != aStep.mSettings.mHolder) {
        continue;
      }
      auto [held, added] =
        aStep.mState.mHeld.try_emplace({ key, number, open.mClaim });
      held->second.mReconciled = false;
      if (added) {
        held->second.mOptions = job.mOptions;
        held->second.mService = aStep.mInput.mServiceOf(job.mOptions.mRoute);
        held->second.mSuspect =
          open.mTakeovers >= aStep.mSettings.mSuspectTakeovers;
      }
    }
  }
}

// Starts loading the bodies of held chunks.
auto LoadBodies(StepContext& aStep) -> void
{
  for (auto& [held, chunk] : aStep.mState.mHeld) {
    if (chunk.mLoaded || chunk.mLoading ||
        aStep.mInput.mNow < chunk.mLoadNotBefore) {
      continue;
    }
    const auto* const job = FindJob(aStep.mInput.mBatch, held.mKey);
    const auto first = held.mChunk * job->mOptions.mChunkSize;
    const auto end = first + ItemsInChunk(*job, held.mChunk);
    WorkerAction action;
    action.mKind = WorkerAction::Kind::Load;
    action.mHeld = held;
    for (const auto& run : job->mBodies) {
      if (run.mFirst < end && run.mFirst + run.mCount > first) {
        action.mPositions.push_back(run.mPosition);
      }
    }
    chunk.mLoading = true;
    aStep.mActions.push_back(std::move(action));
  }
}

// Drops loaded items that have a result, and reports those that must not run
// again: an intent that this claim did not make is from a former holder that
// failed.
auto ReconcileLoaded(StepContext& aStep) -> void
{
  for (auto& [held, chunk] : aStep.mState.mHeld) {
    if (!chunk.mLoaded || chunk.mReconciled) {
      continue;
    }
    chunk.mReconciled = true;
    const auto* const job = FindJob(aStep.mInput.mBatch, held.mKey);
    std::erase_if(chunk.mItems, [&](const auto& aEntry) {
      return aEntry.second.mStage == ItemStage::Ready &&
             IsFinished(*job, aEntry.first);
    });
    for (auto& [index, item] : chunk.mItems) {
      const auto intents = IntentCount(*job, index);
      if (item.mStage != ItemStage::Ready || item.mIntentCommitted ||
          intents == 0) {
        continue;
      }
      item.mAttempts = std::max(item.mAttempts, intents);
      if (!job->mOptions.mRepeatable) {
        ReportWithoutRun(aStep.mState,
                         held,
                         item,
                         record::ItemStatus::OutcomeUnknown,
                         "the host that ran this item was lost",
                         aStep.mInput.mNow);
      } else if (item.mAttempts >= job->mOptions.mMaxAttempts) {
        ReportWithoutRun(aStep.mState,
                         held,
                         item,
                         record::ItemStatus::Failed,
                         "every attempt ended with the loss of its host",
                         aStep.mInput.mNow);
      }
    }
  }
}

// Stops the newest streams of endpoints above their limit, and all items at the
// drain deadline.
auto StopExcess(StepContext& aStep) -> void
{
  std::map<std::string, std::uint32_t> limitByEndpoint;
  for (const auto& limit : aStep.mInput.mStreamLimits) {
    limitByEndpoint[limit.mEndpoint] += limit.mLimit;
  }
  std::map<std::string, std::uint32_t> counts;
  const auto drained = aStep.mInput.mDrainDeadline &&
                       aStep.mInput.mNow >= *aStep.mInput.mDrainDeadline;
  for (auto& [token, running] : aStep.mState.mRunning) {
    if (drained) {
      Stop(aStep, token, running, StopReason::Abandon);
    } else if (running.mStop == StopReason::None &&
               ++counts[running.mDispatch.mEndpoint] >
                 limitByEndpoint[running.mDispatch.mEndpoint] &&
               running.mDispatch.mRepeatable) {
      Stop(aStep, token, running, StopReason::Yield);
    }
  }
}

auto Start(StepContext& aStep,
           const HeldKey& aHeld,
           const HeldChunk& aChunk,
           HeldItem& aItem,
           const std::string& aEndpoint) -> void
{
  RunningItem running;
  running.mHeld = aHeld;
  running.mAttempts = aItem.mAttempts;
  running.mCustomId = aItem.mBody.mCustomId;
  running.mBodyBytes = aItem.mBody.mBody.size();
  auto& dispatch = running.mDispatch;
  dispatch.mRequestId = NewId();
  dispatch.mKey = aHeld.mKey;
  dispatch.mIndex = aItem.mBody.mIndex;
  dispatch.mRoute = aChunk.mOptions.mRoute;
  dispatch.mModel = aChunk.mOptions.mModel;
  dispatch.mEndpoint = aEndpoint;
  dispatch.mRepeatable = aChunk.mOptions.mRepeatable;
  dispatch.mResume = aItem.mResume;
  WorkerAction action;
  action.mKind = WorkerAction::Kind::Dispatch;
  action.mToken = aStep.mState.mNextToken++;
  action.mDispatch = dispatch;
  action.mDispatch.mBody = aItem.mBody.mBody;
  aStep.mState.mRunning[action.mToken] = std::move(running);
  aStep.mActions.push_back(std::move(action));
  aItem.mStage = ItemStage::Running;
}

// Whether an item of the chunk may be started now. A suspect chunk runs one
// item at a time, and only when all its earlier results are in the log.
auto MayStart(const WorkerState& aState,
              const HeldKey& aHeld,
              const HeldChunk& aChunk) -> bool
{
  if (!aChunk.mSuspect) {
    return true;
  }
  return std::none_of(aChunk.mItems.begin(),
                      aChunk.mItems.end(),
                      [](const auto& aEntry) {
                        const auto stage = aEntry.second.mStage;
                        return stage == ItemStage::Running ||
                               stage == ItemStage::CommittingIntent;
                      }) &&
         !aState.mBuffers.contains(aHeld) &&
         !HasPending(
           aState, PendingCommit::Kind::Results, aHeld.mKey, aHeld.mChunk);
}

// Starts ready items of a service up to the limit of one endpoint. An item that
// needs an intent counts against the limit while the intent is committed.
auto FillLimit(StepContext& aStep,
               const StreamLimit& aLimit,
               std::uint32_t& aUsed) -> void
{
  for (auto& [held, chunk] : aStep.mState.mHeld) {
    if (!chunk.mLoaded || chunk.mService != aLimit.mService ||
        chunk.mOptions.mModel != aLimit.mModel) {
      continue;
    }
    for (auto& [index, item] : chunk.mItems) {
      if (aUsed >= aLimit.mLimit) {
        return;
      }
      if (item.mStage != ItemStage::Ready ||
          item.mNotBefore > aStep.mInput.mNow) {
        continue;
      }
      if (!MayStart(aStep.mState, held, chunk)) {
        break;
      }
      if (item.mIntentCommitted ||
          (chunk.mOptions.mRepeatable && !chunk.mSuspect)) {
        Start(aStep, held, chunk, item, aLimit.mEndpoint);
      } else {
        item.mStage = ItemStage::CommittingIntent;
        PendingCommit pending;
        pending.mKind = PendingCommit::Kind::Intent;
        pending.mHeld = held;
        pending.mIndex = index;
        pending.mDraft = DraftItemIntent(held.mKey, index, held.mClaim);
        Propose(aStep, std::move(pending));
      }
      ++aUsed;
    }
  }
}

// Number of items that use each limit. An item whose intent is being committed
// or was committed has no endpoint yet; it counts against the first limit of
// its service that has room.
auto CountUsed(const StepContext& aStep) -> std::vector<std::uint32_t>
{
  const auto& limits = aStep.mInput.mStreamLimits;
  std::vector<std::uint32_t> used(limits.size(), 0);
  for (const auto& [token, running] : aStep.mState.mRunning) {
    for (std::size_t i = 0; i < limits.size(); ++i) {
      if (limits[i].mEndpoint == running.mDispatch.mEndpoint &&
          limits[i].mModel == running.mDispatch.mModel) {
        ++used[i];
      }
    }
  }
  for (const auto& [held, chunk] : aStep.mState.mHeld) {
    auto committing = static_cast<std::uint32_t>(std::count_if(
      chunk.mItems.begin(), chunk.mItems.end(), [](const auto& aEntry) {
        return aEntry.second.mStage == ItemStage::CommittingIntent ||
               (aEntry.second.mStage == ItemStage::Ready &&
                aEntry.second.mIntentCommitted);
      }));
    for (std::size_t i = 0; i < limits.size() && committing > 0; ++i) {
      if (limits[i].mService == chunk.mService &&
          limits[i].mModel == chunk.mOptions.mModel &&
          used[i] < limits[i].mLimit) {
        const auto taken = std::min(committing, limits[i].mLimit - used[i]);
        used[i] += taken;
        committing -= taken;
      }
    }
  }
  return used;
}

// Starts items whose intent was read back, then other items.
auto StartItems(StepContext& aStep) -> void
{
  if (!aStep.mInput.mMayUseRoles || aStep.mInput.mDrainDeadline ||
      aStep.mState.mBufferedBytes >= aStep.mSettings.mMaxBufferedBytes) {
    return;
  }
  for (auto& [held, chunk] : aStep.mState.mHeld) {
    for (auto& [index, item] : chunk.mItems) {
      if (item.mStage != ItemStage::Ready || !item.mIntentCommitted ||
          item.mNotBefore > aStep.mInput.mNow) {
        continue;
      }
      for (const auto& limit : aStep.mInput.mStreamLimits) {
        if (limit.mLimit > 0 && limit.mService == chunk.mService &&
            limit.mModel == chunk.mOptions.mModel) {
          Start(aStep, held, chunk, item, limit.mEndpoint);
          break;
        }
      }
    }
  }
  auto used = CountUsed(aStep);
  for (std::size_t i = 0; i < aStep.mInput.mStreamLimits.size(); ++i) {
    FillLimit(aStep, aStep.mInput.mStreamLimits[i], used[i]);
  }
}

// Writes result records that are large or old enough or complete their chunk,
// and all of them while draining.
auto FlushResults(StepContext& aStep) -> void
{
  auto& state = aStep.mState;
  for (auto it = state.mBuffers.begin(); it != state.mBuffers.end();) {
    auto& [held, buffer] = *it;
    const auto chunk = state.mHeld.find(held);
    const auto open =
      chunk != state.mHeld.end() &&
      std::any_of(chunk->second.mItems.begin(),
                  chunk->second.mItems.end(),
                  [](const auto& aEntry) {
                    return aEntry.second.mStage != ItemStage::Reported;
                  });
    const auto due =
      !open || aStep.mInput.mDrainDeadline || chunk->second.mSuspect ||
      buffer.mOutcomes.size() >= aStep.mSettings.mFlushItems ||
      buffer.mBytes >= aStep.mSettings.mFlushBytes ||
      aStep.mInput.mNow >= buffer.mOldest + aStep.mSettings.mFlushAge;
    if (!due || CountPending(state, PendingCommit::Kind::Results) >=
                  aStep.mSettings.mMaxResultCommits) {
      ++it;
      continue;
    }
    PendingCommit pending;
    pending.mKind = PendingCommit::Kind::Results;
    pending.mHeld = held;
    pending.mBytes = buffer.mBytes;
    pending.mOutcomes = buffer.mOutcomes.size();
    pending.mDraft = DraftItemResults(
      held.mKey, held.mChunk, held.mClaim, 0, std::move(buffer.mOutcomes));
    it = state.mBuffers.erase(it);
    Propose(aStep, std::move(pending));
  }
}

// Retries commits with an unknown outcome under the same record id.
auto RetryCommits(StepContext& aStep) -> void
{
  for (auto& [id, pending] : aStep.mState.mCommits) {
    if (!pending.mInFlight && aStep.mInput.mNow >= pending.mNotBefore) {
      Commit(aStep, pending);
    }
  }
}

// A chunk of the job that can be claimed: an unclaimed one, otherwise one whose
// holder is no longer registered or is fenced.
auto PickChunk(const StepContext& aStep,
               const JobKey& aKey,
               const BatchJob& aJob) -> std::optional<HeldKey>
{
  const auto isClaimable = [&](std::uint32_t aChunk) {
    return !HasPending(aStep.mState, PendingCommit::Kind::Claim, aKey, aChunk);
  };
  // Each host starts its search at a different chunk, so that claims rarely
  // conflict.
  const auto start = static_cast<std::uint32_t>(
    StableHash(aStep.mSettings.mHolder + aKey.mJob) % ChunkCount(aJob));
  std::optional<HeldKey> wrapped;
  for (const auto chunk : aJob.mUnclaimed) {
    if (isClaimable(chunk)) {
      if (chunk >= start) {
        return HeldKey{ aKey, chunk, 0 };
      }
      if (!wrapped) {
        wrapped = HeldKey{ aKey, chunk, 0 };
      }
    }
  }
  if (wrapped) {
    return wrapped;
  }
  for (const auto& [number, open] : aJob.mOpen) {
    if (open.mClaim != 0 && open.mHolder != aStep.mSettings.mHolder &&
        isClaimable(number) && !aStep.mInput.mHolders.contains(open.mHolder)) {
      return HeldKey{ aKey, number, open.mClaim };
    }
  }
  return std::nullopt;
}

// The chunk to claim next for a service: from the oldest job of the team with
// the fewest claimed chunks.
auto PickClaim(const StepContext& aStep, const StreamLimit& aLimit)
  -> std::optional<HeldKey>
{
  std::map<std::string, std::size_t> claimed;
  for (const auto& [key, job] : aStep.mInput.mBatch.mJobs) {
    claimed[key.mTeam] += job.mOpen.size() - job.mUnclaimed.size();
  }
  std::vector<std::tuple<std::size_t, Position, const JobKey*, const BatchJob*>>
    jobs;
  for (const auto& [key, job] : aStep.mInput.mBatch.mJobs) {
    if (!job.mOpen.empty() && job.mOptions.mModel == aLimit.mModel &&
        aStep.mInput.mServiceOf(job.mOptions.mRoute) == aLimit.mService) {
      jobs.emplace_back(claimed[key.mTeam], job.mOpened, &key, &job);
    }
  }
  std::sort(jobs.begin(), jobs.end());
  for (const auto& [count, opened, key, job] : jobs) {
    if (const auto chunk = PickChunk(aStep, *key, *job)) {
      return chunk;
    }
  }
  return std::nullopt;
}

// Claims chunks for services whose ready items do not use up the limits.
auto ClaimChunks(StepContext& aStep) -> void
{
  const auto& input = aStep.mInput;
  auto& state = aStep.mState;
  if (!input.mMayUseRoles || input.mDrainDeadline ||
      input.mNow < state.mNextClaim) {
    return;
  }
  state.mNextClaim = input.mNow + std::chrono::milliseconds(100);
  std::size_t loaded = 0;
  for (const auto& [held, chunk] : state.mHeld) {
    loaded += chunk.mBytes;
  }
  std::map<std::pair<std::string, std::string>, StreamLimit> demands;
  for (const auto& limit : input.mStreamLimits) {
    auto& demand = demands[{ limit.mService, limit.mModel }];
    demand.mService = limit.mService;
    demand.mModel = limit.mModel;
    demand.mLimit += limit.mLimit;
  }
  for (const auto& [name, demand] : demands) {
    const auto pending = CountPending(state, PendingCommit::Kind::Claim);
    if (pending >= kMaxPendingClaims ||
        state.mHeld.size() + pending >= aStep.mSettings.mMaxChunks ||
        loaded >= aStep.mSettings.mMaxLoadedBytes) {
      return;
    }
    std::size_t ready = 0;
    for (const auto& [held, chunk] : state.mHeld) {
      if (chunk.mService == demand.mService &&
          chunk.mOptions.mModel == demand.mModel) {
        ready += !chunk.mLoaded ? chunk.mOptions.mChunkSize
                 : chunk.mSuspect
                   ? 1
                   : static_cast<std::size_t>(std::count_if(
                       chunk.mItems.begin(),
                       chunk.mItems.end(),
                       [&](const auto& aEntry) {
                         return aEntry.second.mStage == ItemStage::Ready &&
                                aEntry.second.mNotBefore <= input.mNow;
                       }));
      }
    }
    if (ready >= demand.mLimit) {
      continue;
    }
    const auto chunk = PickClaim(aStep, demand);
    if (chunk) {
      PendingCommit claim;
      claim.mKind = PendingCommit::Kind::Claim;
      claim.mHeld = *chunk;
      claim.mDraft = DraftChunkClaimed(
        chunk->mKey, chunk->mChunk, aStep.mSettings.mHolder, chunk->mClaim);
      Propose(aStep, std::move(claim));
    }
  }
}

// While draining, releases chunks that have no running items, unwritten results
// or pending commits.
auto ReleaseChunks(StepContext& aStep) -> void
{
  auto& state = aStep.mState;
  if (!aStep.mInput.mDrainDeadline) {
    return;
  }
  for (const auto& [held, chunk] : state.mHeld) {
    const auto busy = std::any_of(state.mRunning.begin(),
                                  state.mRunning.end(),
                                  [&held = held](const auto& aEntry) {
                                    return aEntry.second.mHeld == held;
                                  }) ||
                      state.mBuffers.contains(held) ||
                      std::any_of(state.mCommits.begin(),
                                  state.mCommits.end(),
                                  [&held = held](const auto& aEntry) {
                                    return aEntry.second.mHeld == held;
                                  });
    if (!busy) {
      PendingCommit release;
      release.mKind = PendingCommit::Kind::Release;
      release.mHeld = held;
      release.mDraft = DraftChunkReleased(held.mKey, held.mChunk, held.mClaim);
      Propose(aStep, std::move(release));
    }
  }
}

auto FindItem(WorkerState& aState, const HeldKey& aHeld, std::uint32_t aIndex)
  -> HeldItem*
{
  const auto chunk = aState.mHeld.find(aHeld);
  if (chunk == aState.mHeld.end()) {
    return nullptr;
  }
  const auto item = chunk->second.mItems.find(aIndex);
  return item == chunk->second.mItems.end() ? nullptr : &item->second;
}

auto RetryDelay(const WorkerSettings& aSettings, std::uint32_t aAttempts)
  -> Duration
{
  return std::min(aSettings.mMaxRetryDelay,
                  aSettings.mRetryDelay * (1U << std::min(aAttempts, 16U)));
}

// Whether another attempt could succeed. A 4xx status concerns the item itself,
// except 408 (timeout) and 429 (load).
auto IsTransient(std::uint32_t aHttpStatus) -> bool
{
  return aHttpStatus >= 500 || aHttpStatus == 408 || aHttpStatus == 429;
}

// Status of the result of an ended dispatch; nullopt if the item is retried.
auto ResultStatus(const RunningItem& aRunning,
                  const DispatchOutcome& aOutcome,
                  std::uint32_t aMaxAttempts)
  -> std::optional<record::ItemStatus>
{
  using Kind = DispatchOutcome::Kind;
  if (aOutcome.mKind == Kind::Answered && aOutcome.mHttpStatus >= 200 &&
      aOutcome.mHttpStatus < 300) {
    return record::ItemStatus::Done;
  }
  if (aOutcome.mKind == Kind::NotRun) {
    return std::nullopt;
  }
  if (!aRunning.mDispatch.mRepeatable) {
    return aOutcome.mKind == Kind::Answered
             ? record::ItemStatus::Failed
             : record::ItemStatus::OutcomeUnknown;
  }
  if (aOutcome.mKind == Kind::Yielded) {
    return std::nullopt;
  }
  const auto permanent =
    aOutcome.mKind == Kind::Answered && !IsTransient(aOutcome.mHttpStatus);
  return permanent || aRunning.mAttempts + 1 >= aMaxAttempts
           ? std::optional(record::ItemStatus::Failed)
           : std::nullopt;
}

} // namespace

auto Step(WorkerState& aState,
          const WorkerSettings& aSettings,
          const WorkerInput& aInput) -> std::vector<WorkerAction>
{
  StepContext step{ aState, aSettings, aInput, {} };
  DropSuperseded(step);
  AddCurrentClaims(step);
  LoadBodies(step);
  ReconcileLoaded(step);
  StopExcess(step);
  StartItems(step);
  FlushResults(step);
  RetryCommits(step);
  ClaimChunks(step);
  ReleaseChunks(step);
  return std::move(step.mActions);
}

auto OnCommitted(WorkerState& aState,
                 const WorkerSettings& aSettings,
                 const Id128& aRecord,
                 const Result<Verdict, JournalError>& aResult,
                 TimePoint aNow) -> void
{
  const auto found = aState.mCommits.find(aRecord);
  if (found == aState.mCommits.end()) {
    return;
  }
  auto& pending = found->second;
  using Kind = PendingCommit::Kind;
  // Claims are not retried: a claim that is applied later appears in the
  // replayed state.
  if (!aResult && pending.mKind != Kind::Claim) {
    pending.mInFlight = false;
    pending.mNotBefore = aNow + aSettings.mRetryDelay;
    return;
  }
  if (pending.mKind == Kind::Intent) {
    auto* const item = FindItem(aState, pending.mHeld, pending.mIndex);
    if (item != nullptr && item->mStage == ItemStage::CommittingIntent) {
      item->mStage = ItemStage::Ready;
      item->mIntentCommitted = aResult->mAccepted;
      aState.mHeld[pending.mHeld].mReconciled = false;
    }
  } else if (pending.mKind == Kind::Results) {
    aState.mBufferedBytes -= pending.mBytes;
  } else if (pending.mKind == Kind::Claim) {
    aState.mNextScan = {};
    if (!aResult) {
      aState.mNextClaim = aNow + aSettings.mRetryDelay;
    }
  }
  aState.mCommits.erase(found);
}

auto OnLoaded(WorkerState& aState,
              const WorkerSettings& aSettings,
              const HeldKey& aHeld,
              const Result<std::vector<ItemBody>, std::string>& aBodies,
              TimePoint aNow) -> void
{
  const auto found = aState.mHeld.find(aHeld);
  if (found == aState.mHeld.end()) {
    return;
  }
  auto& chunk = found->second;
  chunk.mLoading = false;
  if (!aBodies) {
    FindCounter("batch_body_load_failures_total").Add();
    chunk.mLoadNotBefore = aNow + aSettings.mRetryDelay;
    return;
  }
  const auto first = aHeld.mChunk * chunk.mOptions.mChunkSize;
  for (const auto& body : *aBodies) {
    if (body.mIndex >= first &&
        body.mIndex - first < chunk.mOptions.mChunkSize) {
      chunk.mBytes += RecordBytes(body);
      chunk.mItems[body.mIndex].mBody = body;
    }
  }
  chunk.mLoaded = true;
}

auto OnDispatched(WorkerState& aState,
                  const WorkerSettings& aSettings,
                  std::uint64_t aToken,
                  const DispatchOutcome& aOutcome,
                  TimePoint aNow) -> void
{
  const auto found = aState.mRunning.find(aToken);
  if (found == aState.mRunning.end()) {
    return;
  }
  const auto running = std::move(found->second);
  aState.mRunning.erase(found);
  const auto index = running.mDispatch.mIndex;
  auto* const item = FindItem(aState, running.mHeld, index);
  const auto chunk = aState.mHeld.find(running.mHeld);
  const auto maxAttempts = chunk == aState.mHeld.end()
                             ? 0xffffffffU
                             : chunk->second.mOptions.mMaxAttempts;
  const auto status = ResultStatus(running, aOutcome, maxAttempts);
  const auto counted = aOutcome.mKind == DispatchOutcome::Kind::Answered ||
                       aOutcome.mKind == DispatchOutcome::Kind::Unknown;
  const auto attempts = running.mAttempts + (counted ? 1 : 0);
  // The result is reported even if the claim was superseded meanwhile, since
  // the first result of an item counts.
  if (status) {
    AddResult(aState,
              running.mHeld,
              { index,
                *status,
                attempts,
                aOutcome.mHttpStatus,
                running.mCustomId,
                aOutcome.mBody },
              aNow);
  }
  if (item == nullptr) {
    return;
  }
  if (status) {
    item->mStage = ItemStage::Reported;
    item->mBody.mBody.clear();
    return;
  }
  item->mStage = ItemStage::Ready;
  item->mAttempts = attempts;
  if (aOutcome.mKind == DispatchOutcome::Kind::Yielded) {
    item->mResume = aOutcome.mResume;
    item->mNotBefore = aNow;
    return;
  }
  item->mResume.reset();
  item->mNotBefore = aNow + RetryDelay(aSettings, attempts);
  // An attempt that may have run consumes its intent.
  item->mIntentCommitted = item->mIntentCommitted && !counted;
}

auto IsIdle(const WorkerState& aState) -> bool
{
  return aState.mHeld.empty() && aState.mRunning.empty() &&
         aState.mBuffers.empty() && aState.mCommits.empty();
}

} // namespace mangovalve
