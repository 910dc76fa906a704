// Starts, preempts and runs batch items on slots that online requests leave
// free.
#include "mangovalve/batch/item_runner.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

#include "mangovalve/base/id.h"
#include "mangovalve/online/event_stream.h"
#include "mangovalve/routing/batch_yield.h"
#include "mangovalve/serving/endpoint_crash.h"
#include "mangovalve/serving/endpoint_statements.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

// Items that one daemon starts on a service in one interval, at most.
constexpr std::size_t kMaxStarts = 8;

// Items of a partition that are considered in one interval. More than
// kMaxStarts, because the forecast may not allow the first ones to start.
constexpr std::size_t kMaxConsidered = 32;

// Times per interval that the next items of a partition are selected again
// because some of the selected ones were quarantined.
constexpr int kMaxSelections = 16;

// Largest output of an item; callers accept result pages of 1 MB.
constexpr std::size_t kMaxOutputBytes = 900UL << 10U;

// Latest end of a run on a route that sets no time after which its items are
// abandoned.
constexpr auto kMaxRunTime = std::chrono::minutes(10);

// Deadline of a run that starts now.
auto RunDeadline(const ServingDocument& aDocument,
                 const JobClock& aClock,
                 const RunnableItem& aItem,
                 TimePoint aNow) -> TimePoint
{
  const auto& job = *aItem.mJob;
  const auto& path = job.mItems[aItem.mIndex].mSubmitted.path;
  const auto* route = FindRoute(aDocument, job.mHost, path);
  if (route == nullptr || route->mAbandonAfter.count() == 0) {
    return aNow + kMaxRunTime;
  }
  return LocalTime(aClock, job.mSubmittedAt + route->mAbandonAfter);
}

// Appends the data of the events that follow those received before, up to the
// first gap; false if there is one.
auto AppendEvents(BatchItem& aItem, std::vector<StreamEvent> aEvents) -> bool
{
  const auto selection = SelectNext(std::move(aEvents), aItem.mLastEvent, true);
  for (const auto& event : selection.mNext) {
    if (!IsProgress(event)) {
      continue;
    }
    aItem.mOutput += aItem.mEvents > 0 ? "\n" : "";
    aItem.mOutput += EventData(event);
    ++aItem.mEvents;
  }
  return !selection.mGap;
}

// Whether the answer is the one to the request with this id. An answer without
// an id on a reused connection may be a copy of an earlier one.
auto Answers(const ResponseMetadata& aAnswer,
             const std::string& aId,
             const ClientConnection& aConnection) -> bool
{
  return aAnswer.mId.empty() ? !aConnection.mReused : aAnswer.mId == aId;
}

// Reads the head of the answer to the request with this id. Answers to other
// requests are discarded, up to a limit; the one that exceeds it is returned.
auto ReadAnswerHead(const Protocol& aProtocol,
                    const std::string& aId,
                    ClientConnection& aConnection,
                    std::optional<ResponseParser>& aParser,
                    TimePoint aDeadline) -> Task<ErrorCode>
{
  for (int discarded = 0;; ++discarded) {
    auto error = co_await ReadHead(aConnection, aParser, aDeadline);
    if (error) {
      co_return error;
    }
    const auto answer = aProtocol.mReadResponse(aParser->get().base());
    if (answer.mId.empty() || answer.mId == aId ||
        discarded == kMaxDiscardedAnswers) {
      co_return error;
    }
    LogEvent(Severity::Warn,
             "stray_answer",
             { { "id", aId },
               { "answers", answer.mId },
               { "connection", absl::StrCat(aConnection.mNumber) } });
    error = co_await DiscardBody(aConnection, *aParser, aDeadline);
    if (error) {
      co_return error;
    }
  }
}

auto NameOf(StartRule aRule) -> std::string
{
  switch (aRule) {
    case StartRule::BeforeRise:
      return "before_rise";
    case StartRule::MustStart:
      return "must_start";
    case StartRule::ThroughRise:
      return "through_rise";
  }
  return "";
}

// Makes the next run of the item start with its first event.
auto DiscardOutput(BatchItem& aItem) -> void
{
  aItem.mOutput.clear();
  aItem.mLastEvent.reset();
  aItem.mEvents = 0;
}

} // namespace

auto ItemRunner::Run() -> Task<>
{
  for (;;) {
    const auto now = Clock::now();
    Yield(now);
    if (!mPaused) {
      AbandonItems(now);
      StartItems(now);
    }
    co_await SleepUntil(now + mPolicy.mInterval);
  }
}

auto ItemRunner::PreemptionCandidates(const EndpointPtr& aEndpoint) const
  -> std::vector<RunningItemPtr>
{
  std::vector<std::pair<YieldingItem, RunningItemPtr>> candidates;
  const auto now = Clock::now();
  for (const auto& run : mRunning) {
    const auto undecided = run->mTrial && !run->mAnswerBegun;
    if (run->mEndpoint != aEndpoint || run->mStopped || undecided) {
      continue;
    }
    const auto events = run->mItem.mJob->mItems[run->mItem.mIndex].mEvents;
    const auto timeliness =
      TimelinessOf(mEstimate, events, run->mItem.mDue, now);
    if (timeliness != Timeliness::Urgent) {
      candidates.emplace_back(YieldingItem{ timeliness == Timeliness::Late,
                                            RemainingRunTime(mEstimate, events),
                                            events },
                              run);
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const auto& aLeft, const auto& aRight) {
              return YieldsBefore(aLeft.first, aRight.first);
            });
  std::vector<RunningItemPtr> runs;
  for (auto& candidate : candidates) {
    runs.push_back(std::move(candidate.second));
  }
  return runs;
}

auto ItemRunner::Stop(RunningItem& aRun, std::string_view aReason) -> void
{
  if (!aRun.mStopped) {
    aRun.mStopReason = aReason;
    FindCounter("mangovalve_batch_stops_total",
                { { "reason", aRun.mStopReason } })
      .Add();
  }
  aRun.mStopped = true;
  if (aRun.mStop) {
    aRun.mStop();
  }
}

auto ItemRunner::StopJob(const SubmittedJob& aJob) -> void
{
  for (const auto& run : mRunning) {
    if (run->mItem.mJob.get() == &aJob) {
      Stop(*run, "job_ended");
    }
  }
}

auto ItemRunner::StopPartition(const JobPartition& aPartition) -> void
{
  for (const auto& run : mRunning) {
    if (run->mPartition.get() == &aPartition) {
      Stop(*run, "partition_left");
    }
  }
}

auto ItemRunner::StopAll() -> void
{
  for (const auto& run : mRunning) {
    Stop(*run, "shutdown");
  }
}

// The new owner of a partition runs its items too, so runs that continue here
// would only occupy slots.
auto ItemRunner::StopSuperseded() -> void
{
  const auto held = mPorts.mPartitions();
  for (const auto& run : mRunning) {
    const auto superseded =
      std::find(held.begin(), held.end(), run->mPartition) == held.end();
    if (superseded && !run->mStopped) {
      Stop(*run, "partition_left");
    }
  }
}

auto ItemRunner::Yield(TimePoint aNow) -> void
{
  if (mRunning.empty()) {
    return;
  }
  StopSuperseded();
  absl::flat_hash_map<std::uint64_t, YieldMemory> yields;
  for (auto& [service, pool] : mState.mPools) {
    const auto waiting = static_cast<double>(pool.mQueue.size()) +
                         PeerWaiting(mState.mFleet, StableHash(service));
    for (const auto& endpoint : pool.mEndpoints) {
      if (endpoint->mOwnInFlight.mBatch > 0) {
        auto& memory = yields[endpoint->mHash];
        memory = mYields[endpoint->mHash];
        YieldAt(endpoint, memory, waiting, aNow);
      }
    }
  }
  mYields = std::move(yields);
}

auto ItemRunner::YieldAt(const EndpointPtr& aEndpoint,
                         YieldMemory& aMemory,
                         double aWaiting,
                         TimePoint aNow) -> void
{
  const auto candidate =
    CandidateOf(mState, *aEndpoint, LimitedUse::Spare, aNow);
  const YieldLoad load{ UsableSlots(candidate),
                        candidate.mOnline,
                        candidate.mBatch,
                        UnreportedLoad(mState, *aEndpoint, aNow),
                        aWaiting,
                        aEndpoint->mOwnDomain };
  const auto demand = ItemsToYield(aMemory, load, aNow);
  if (demand.mItems <= 0) {
    return;
  }
  YieldPosition position{ 0,
                          static_cast<double>(aEndpoint->mOwnInFlight.mBatch),
                          candidate.mBatch };
  // Hosts whose reports differ may have chosen too few items together.
  auto offset = Uniform(mState.mRandom);
  if (!aMemory.mRepeated) {
    Random common{ aEndpoint->mHash }; // the same at all hosts
    offset = Uniform(common);
    position.mBefore = BatchBefore(
      mState.mFleet, mState.mHost, mState.mDomain, aEndpoint->mHash);
  }
  auto runs = PreemptionCandidates(aEndpoint);
  const auto part = OwnPart(demand.mItems, position, offset);
  runs.resize(std::min<std::size_t>(part, runs.size()));
  for (const auto& run : runs) {
    Stop(*run,
         demand.mReason == YieldReason::Unseen ? "online_unseen" : "online");
  }
  aMemory.mAnswered -= static_cast<double>(runs.size());
}

auto ItemRunner::AbandonItems(TimePoint aNow) -> void
{
  if (!mState.mDocument) {
    return;
  }
  for (const auto& partition : mPorts.mPartitions()) {
    const auto items =
      AbandonedItems(partition->Jobs(), *mState.mDocument, aNow);
    for (const auto& item : items) {
      LogEvent(Severity::Info,
               "item_abandoned",
               { { "job", item.mJob->mId },
                 { "id", item.mJob->mItems[item.mIndex].mSubmitted.id } });
      partition->Finish(item.mJob, item.mIndex, false, "");
    }
  }
}

auto ItemRunner::StartItems(TimePoint aNow) -> void
{
  if (!mState.mDocument) {
    return;
  }
  for (auto& [service, pool] : mState.mPools) {
    StartItemsOf(service, pool, aNow);
  }
}

auto ItemRunner::IsQuarantined(const RunnableItem& aItem, TimePoint aNow) const
  -> bool
{
  if (mState.mSuspects.mQuarantines.empty()) {
    return false;
  }
  const auto& item = aItem.mJob->mItems[aItem.mIndex];
  return mangovalve::IsQuarantined(
    mState.mSuspects, mProtocol.mItemSharedParts(item.mSubmitted), aNow);
}

auto ItemRunner::IsHeldBack(const RunnableItem& aItem, TimePoint aNow) const
  -> bool
{
  const auto& item = aItem.mJob->mItems[aItem.mIndex];
  return IsQuarantined(aItem, aNow) &&
         !MayTryItem(mState, mProtocol.mItemSharedParts(item.mSubmitted), aNow);
}

auto ItemRunner::TakeTrial(RunningItem& aRun, TimePoint aNow) -> void
{
  const auto& item = aRun.mItem.mJob->mItems[aRun.mItem.mIndex].mSubmitted;
  const auto parts = mProtocol.mItemSharedParts(item);
  aRun.mTrial = true;
  TakeTrials(mState.mSuspects, parts, mState.mSuspectPolicy, aNow);
  LogEvent(Severity::Info,
           "item_trial",
           { { "id", item.id },
             { "endpoint", aRun.mEndpoint->mRegistration.mId },
             { "parts", FormatHashes(parts) } });
}

auto ItemRunner::ReturnUnusedTrial(const RunningItem& aRun, TimePoint aNow)
  -> void
{
  if (aRun.mTrial && !aRun.mMayHaveRun) {
    const auto& item = aRun.mItem.mJob->mItems[aRun.mItem.mIndex].mSubmitted;
    ReturnTrials(mState.mSuspects,
                 mProtocol.mItemSharedParts(item),
                 mState.mSuspectPolicy,
                 aNow);
  }
}

auto ItemRunner::NextItems(const JobPartitionPtr& aPartition,
                           const std::string& aService,
                           const SchedulingInput& aInput)
  -> std::vector<RunnableItem>
{
  for (auto selection = 0; selection < kMaxSelections; ++selection) {
    auto items = RunnableItems(
      aPartition->Jobs(), *mState.mDocument, aService, kMaxConsidered, aInput);
    const auto heldBack = std::erase_if(items, [&](const RunnableItem& aItem) {
      const auto held = IsHeldBack(aItem, aInput.mNow);
      if (held) {
        aItem.mJob->mItems[aItem.mIndex].mNotBefore =
          aInput.mNow + mPolicy.mQuarantineCheckInterval;
      }
      return held;
    });
    if (heldBack == 0 || !items.empty()) {
      return items;
    }
  }
  return {};
}

auto ItemRunner::RuleOf(const RiseOutlook& aOutlook,
                        const RunnableItem& aItem,
                        TimePoint aNow) const -> StartRule
{
  const auto events = aItem.mJob->mItems[aItem.mIndex].mEvents;
  const StartingItem item{ RemainingRunTime(mEstimate, events),
                           RemainingRunTime(mEstimate, 0),
                           LatestStart(mEstimate, events, aItem.mDue),
                           aItem.mLate };
  return StartRuleOf(aOutlook, item, aNow);
}

auto ItemRunner::RoomThroughRiseFor(
  const RiseOutlook& aOutlook,
  std::span<const PlacementCandidate> aCandidates,
  TimePoint aNow) -> std::size_t
{
  auto slots = 0.0;
  auto batch = 0.0;
  auto headroom = 0.0;
  for (const auto& candidate : aCandidates) {
    slots += candidate.mUsable ? UsableSlots(candidate) : 0;
    headroom += candidate.mUsable
                  ? BatchHeadroom(candidate, mState.mPlacement.mBatchHeadroom)
                  : 0;
    batch += candidate.mBatch;
  }
  // The items of other hosts are assumed to be as far as those of this host.
  std::size_t lasting = 0;
  for (const auto& run : mRunning) {
    const auto events = run->mItem.mJob->mItems[run->mItem.mIndex].mEvents;
    lasting +=
      aNow + RemainingRunTime(mEstimate, events) > aOutlook.mRiseAt ? 1 : 0;
  }
  if (!mRunning.empty()) {
    batch *=
      static_cast<double>(lasting) / static_cast<double>(mRunning.size());
  }
  const auto room = RoomThroughRise(aOutlook, slots, batch, headroom) /
                    static_cast<double>(mPorts.mOwners());
  return static_cast<std::size_t>(room + Uniform(mState.mRandom));
}

auto ItemRunner::StartItemsOf(const std::string& aService,
                              ServicePool& aPool,
                              TimePoint aNow) -> void
{
  std::vector<std::pair<RunnableItem, JobPartitionPtr>> items;
  const SchedulingInput input{ aNow, mEstimate };
  std::size_t late = 0;
  for (const auto& partition : mPorts.mPartitions()) {
    for (auto& item : NextItems(partition, aService, input)) {
      late += item.mLate ? 1 : 0;
      items.emplace_back(std::move(item), partition);
    }
  }
  if (items.empty()) {
    return;
  }
  std::sort(
    items.begin(), items.end(), [](const auto& aLeft, const auto& aRight) {
      return StartsBefore(aLeft.first, aRight.first);
    });
  // All owners see the same free slots at the same time, so each one takes an
  // equal share of them.
  auto candidates = Candidates(mState, aPool, LimitedUse::Spare, aNow);
  const auto spare = SpareSlotsForBatch(candidates, mState.mPlacement);
  const auto share = spare / static_cast<double>(mPorts.mOwners());
  auto starts = static_cast<std::size_t>(share + Uniform(mState.mRandom));
  starts = std::min(starts, kMaxStarts);
  LogLoad(aService, items.size(), late, spare, aNow);
  const auto outlook = OutlookOf(aPool.mDemand, aPool.mMeanSeconds, aNow);
  auto room = outlook ? RoomThroughRiseFor(*outlook, candidates, aNow) : 0;
  for (std::size_t i = 0; i < items.size() && starts > 0; ++i) {
    // An item that has just been started may have used up the trial.
    if (IsHeldBack(items[i].first, aNow)) {
      continue;
    }
    const auto rule =
      outlook ? RuleOf(*outlook, items[i].first, aNow) : StartRule::BeforeRise;
    if (rule == StartRule::ThroughRise) {
      if (room == 0) {
        continue;
      }
      --room;
    }
    --starts;
    FindCounter("mangovalve_batch_starts_total",
                { { "rule", outlook ? NameOf(rule) : "no_forecast" } })
      .Add();
    const auto urgency =
      items[i].first.mLate ? BatchUrgency::Late : BatchUrgency::OnTime;
    const auto place =
      PlaceBatch(candidates, urgency, mState.mPlacement, mState.mRandom);
    if (!place) {
      return;
    }
    auto& limit = aPool.mEndpoints[*place]->mStatements->mLimit;
    RecordSent(limit, aNow);
    candidates[*place].mBatch += 1;
    candidates[*place].mUsable = MaySend(limit, LimitedUse::Spare, aNow);
    auto run = std::make_shared<RunningItem>();
    run->mPartition = items[i].second;
    run->mItem = items[i].first;
    run->mEndpoint = aPool.mEndpoints[*place];
    run->mStartedAt = aNow;
    run->mDeadline = RunDeadline(
      *mState.mDocument, run->mPartition->Jobs().mClock, run->mItem, aNow);
    run->mItem.mJob->mItems[run->mItem.mIndex].mRunning = true;
    if (IsQuarantined(run->mItem, aNow)) {
      TakeTrial(*run, aNow);
    }
    mRunning.push_back(run);
    Spawn(mState.mLoop, RunOne(run));
  }
}

auto ItemRunner::LogLoad(const std::string& aService,
                         std::size_t aWaiting,
                         std::size_t aLate,
                         double aSpare,
                         TimePoint aNow) -> void
{
  if (aNow < mNextLoadLog) {
    return;
  }
  mNextLoadLog = aNow + mPolicy.mLogInterval;
  LogEvent(Severity::Info,
           "batch_load",
           { { "service", aService },
             { "running", absl::StrCat(mRunning.size()) },
             { "next_waiting", absl::StrCat(aWaiting) },
             { "next_late", absl::StrCat(aLate) },
             { "spare_slots", absl::StrCat(aSpare) },
             { "owners", absl::StrCat(mPorts.mOwners()) } });
}

auto ItemRunner::RunOne(RunningItemPtr aRun) -> Task<>
{
  const auto job = aRun->mItem.mJob;
  const auto index = aRun->mItem.mIndex;
  auto outcome = RunOutcome::Interrupted;
  {
    const ScopedInFlight use(mState, aRun->mEndpoint, Workload::Batch);
    outcome = co_await Exchange(aRun);
  }
  aRun->mStop = nullptr;
  if (aRun->mLostAt) {
    MarkCold(mState, *aRun->mEndpoint, "connection_lost", *aRun->mLostAt);
    co_await ExamineLoss(aRun);
  }
  ReturnUnusedTrial(*aRun, Clock::now());
  mRunning.remove(aRun);
  auto& item = job->mItems[index];
  if (aRun->mEvents > 0) {
    RecordRun(mEstimate, aRun->mEvents, Clock::now() - aRun->mStartedAt);
  }
  item.mRunning = false;
  const auto* route =
    mState.mDocument
      ? FindRoute(*mState.mDocument, job->mHost, item.mSubmitted.path)
      : nullptr;
  if (outcome == RunOutcome::Failed) {
    ++item.mFailures;
    item.mNotBefore = Clock::now() + mPolicy.mRetryDelay;
  }
  if (outcome == RunOutcome::Failed && route != nullptr &&
      item.mFailures >= route->mMaxAttempts) {
    outcome = RunOutcome::PermanentFailure;
  }
  const auto outcomeName = outcome == RunOutcome::Completed ? "completed"
                           : outcome == RunOutcome::PermanentFailure
                             ? "given_up"
                           : aRun->mStopped ? "stopped"
                                            : "interrupted";
  FindCounter("mangovalve_item_runs_total", { { "outcome", outcomeName } })
    .Add();
  LogEvent(Severity::Info,
           "item",
           { { "id", item.mSubmitted.id },
             { "job", job->mId },
             { "endpoint", aRun->mEndpoint->mRegistration.mId },
             { "events", absl::StrCat(aRun->mEvents) },
             { "failures", absl::StrCat(item.mFailures) },
             { "outcome", outcomeName },
             { "stop_reason", aRun->mStopReason } });
  if (job->mEnded || item.mFinished) {
    co_return;
  }
  if (outcome == RunOutcome::Completed ||
      outcome == RunOutcome::PermanentFailure) {
    FindCounter("mangovalve_batch_results_total",
                { { "outcome", outcomeName } })
      .Add();
  }
  if (outcome == RunOutcome::Completed) {
    aRun->mPartition->Finish(job, index, true, std::move(item.mOutput));
  } else if (outcome == RunOutcome::PermanentFailure) {
    aRun->mPartition->Finish(job, index, false, "");
  }
}

auto ItemRunner::RecordFailure(RunningItem& aRun, std::string_view aReason)
  -> RunOutcome
{
  if (aRun.mStopped) {
    return RunOutcome::Interrupted;
  }
  const auto& item = aRun.mItem.mJob->mItems[aRun.mItem.mIndex];
  LogEvent(
    Severity::Warn,
    "attempt_failed",
    { { "id", item.mSubmitted.id },
      { "endpoint", aRun.mEndpoint->mRegistration.mId },
      { "reason", std::string(aReason) },
      { "attempt_events", absl::StrCat(aRun.mEvents) },
      { "parts", FormatHashes(mProtocol.mItemSharedParts(item.mSubmitted)) } });
  RecordExchange(mState, *aRun.mEndpoint, ExchangeResult::Failed);
  return RunOutcome::Interrupted;
}

auto ItemRunner::NoteAnswerBegun(RunningItem& aRun) -> void
{
  aRun.mAnswerBegun = true;
  const auto& item = aRun.mItem.mJob->mItems[aRun.mItem.mIndex];
  auto& suspects = mState.mSuspects;
  if (!suspects.mStarts.empty()) {
    RecordStart(
      suspects, mProtocol.mItemSharedParts(item.mSubmitted), Clock::now());
  }
}

auto ItemRunner::NoteError(RunningItem& aRun, const ErrorCode& aError) -> void
{
  if (!aRun.mAnswerBegun && !aRun.mStopped && EndedByEndpoint(aError)) {
    aRun.mLostAt = Clock::now();
  }
}

auto ItemRunner::ExamineLoss(RunningItemPtr aRun) -> Task<>
{
  auto& item = aRun->mItem.mJob->mItems[aRun->mItem.mIndex];
  const auto parts = mProtocol.mItemSharedParts(item.mSubmitted);
  // An item is never the cause by itself, only by parts that others share.
  LostRun run{ item.mSubmitted.id, aRun->mStartedAt, *aRun->mLostAt, parts };
  const auto crashed = co_await RecordIfCrashed(
    mState, aRun->mEndpoint, std::move(run), TimePoint::max());
  const auto now = Clock::now();
  if (crashed &&
      IsSuspected(mState.mSuspects, parts, mState.mSuspectPolicy, now)) {
    item.mNotBefore = now + mPolicy.mSuspectedRetryDelay;
  }
}

auto ItemRunner::Exchange(RunningItemPtr aRun) -> Task<RunOutcome>
{
  auto& item = aRun->mItem.mJob->mItems[aRun->mItem.mIndex];
  auto& endpoint = *aRun->mEndpoint;
  item.mNotBefore = Clock::now() + mPolicy.mRetryDelay;
  auto connection =
    co_await mState.mPool.Acquire(endpoint.mRegistration.mAddress,
                                  TimePoint::min(),
                                  Clock::now() + mPolicy.mConnectTimeout,
                                  item.mSubmitted.id);
  if (!connection) {
    RecordExchange(mState, endpoint, ExchangeResult::Refused);
    if (connection.error() == asio::error::connection_refused) {
      MarkCold(mState, endpoint, "connection_refused", Clock::now());
    }
    co_return RunOutcome::Interrupted;
  }
  if (aRun->mStopped || aRun->mItem.mJob->mEnded) {
    co_return RunOutcome::Interrupted;
  }
  const auto quarantined =
    !aRun->mTrial && IsQuarantined(aRun->mItem, Clock::now());
  if (quarantined) {
    item.mNotBefore = Clock::now() + mPolicy.mQuarantineCheckInterval;
  }
  // The endpoint may have been evacuated or turned cold while the connection
  // was opened.
  if (quarantined || endpoint.mEvacuated ||
      !MayStillSend(
        endpoint.mStatements->mLimit, aRun->mStartedAt, Clock::now())) {
    // A connection that was idle before stays in use.
    const auto usableUntil = (*connection)->mUsableUntil;
    mState.mPool.Release(std::move(*connection),
                         usableUntil,
                         IdleConnectionLimit(mState, endpoint));
    co_return RunOutcome::Interrupted;
  }
  auto& stream = (*connection)->mStream;
  aRun->mStop = [&stream] { stream.close(); };
  DispatchMetadata dispatch;
  dispatch.mEndpointId = endpoint.mRegistration.mId;
  dispatch.mTeam = aRun->mItem.mJob->mTeam;
  dispatch.mResumeAfter = item.mLastEvent;
  const auto request =
    mProtocol.mItemRequest(aRun->mItem.mJob->mHost, item.mSubmitted, dispatch);
  aRun->mMayHaveRun = true;
  auto error = co_await SendRequest(
    **connection, request, Clock::now() + mPolicy.mIdleTimeout);
  std::optional<ResponseParser> parser;
  if (!error) {
    error = co_await ReadAnswerHead(mProtocol,
                                    item.mSubmitted.id,
                                    **connection,
                                    parser,
                                    Clock::now() + mPolicy.mIdleTimeout);
  }
  auto outcome = RunOutcome::Interrupted;
  if (error) {
    NoteError(*aRun, error);
    outcome = RecordFailure(*aRun, error.message());
  } else {
    outcome = co_await ReadEvents(*aRun, **connection, *parser);
  }
  aRun->mStop = nullptr;
  if (!aRun->mStopped && parser && parser->is_done()) {
    if (outcome != RunOutcome::Completed) {
      BarId(**connection, item.mSubmitted.id);
    }
    const auto usableUntil = ReusableUntil(**connection, *parser, Clock::now());
    mState.mPool.Release(std::move(*connection),
                         usableUntil,
                         IdleConnectionLimit(mState, endpoint));
  }
  co_return outcome;
}

auto ItemRunner::ReadEvents(RunningItem& aRun,
                            ClientConnection& aConnection,
                            ResponseParser& aParser) -> Task<RunOutcome>
{
  auto& item = aRun.mItem.mJob->mItems[aRun.mItem.mIndex];
  const auto metadata = mProtocol.mReadResponse(aParser.get().base());
  const auto status = aParser.get().result_int();
  if (metadata.mLoad) {
    RecordReportedLoad(mState, *aRun.mEndpoint, *metadata.mLoad);
  }
  if (metadata.mId == item.mSubmitted.id) {
    RecordStatements(mState, *aRun.mEndpoint, metadata, Clock::now());
  }
  if (!Answers(metadata, item.mSubmitted.id, aConnection)) {
    // The item's own answer is still to come on this connection.
    aConnection.mStream.close();
    co_return RecordFailure(aRun, "response to another request");
  }
  if (metadata.mNotExecuted || metadata.mWrongEndpoint) {
    aRun.mMayHaveRun = false;
    RecordExchange(mState,
                   *aRun.mEndpoint,
                   metadata.mWrongEndpoint ? ExchangeResult::Leaving
                                           : ExchangeResult::Ignored);
    co_return RunOutcome::Interrupted;
  }
  if (mProtocol.mIsPermanentFailure(status)) {
    RecordExchange(mState, *aRun.mEndpoint, ExchangeResult::Good);
    co_return RunOutcome::PermanentFailure;
  }
  if (status == static_cast<unsigned>(http::status::internal_server_error)) {
    RecordFailure(aRun, "status 500");
    co_return RunOutcome::Failed;
  }
  if (status != static_cast<unsigned>(http::status::ok) || !metadata.mSigned) {
    co_return RecordFailure(aRun, absl::StrCat("status ", status));
  }
  EventSplitter splitter;
  const auto nextDeadline = [&] {
    return std::min(Clock::now() + mPolicy.mIdleTimeout, aRun.mDeadline);
  };
  auto progressBy = nextDeadline(); // extended by whole events only
  while (!aParser.is_done()) {
    const auto bytes = co_await ReadSomeBody(aConnection, aParser, progressBy);
    if (aRun.mStopped) {
      co_return RunOutcome::Interrupted;
    }
    if (!bytes) {
      NoteError(aRun, bytes.error());
      co_return RecordFailure(aRun, bytes.error().message());
    }
    NoteBytes(aRun.mEndpoint->mActivity, Clock::now());
    auto events = SplitEvents(splitter, *bytes);
    if (!aRun.mAnswerBegun &&
        std::any_of(events.begin(), events.end(), IsProgress)) {
      NoteAnswerBegun(aRun);
    }
    const auto before = item.mEvents;
    const auto complete = AppendEvents(item, std::move(events));
    aRun.mEvents += item.mEvents - before;
    if (!complete) {
      co_return RecordFailure(aRun, "events are missing in the stream");
    }
    if (IsOverlong(splitter)) {
      co_return RecordFailure(aRun, "event exceeds the size limit");
    }
    if (item.mEvents > before) {
      progressBy = nextDeadline();
    }
    if (item.mOutput.size() > kMaxOutputBytes) {
      RecordFailure(aRun, "output exceeds the size limit");
      DiscardOutput(item);
      co_return RunOutcome::Failed;
    }
  }
  // Without a length and chunks, the end of a stream that has no event can't be
  // told from the end of its endpoint. An item has an event, and a resumed
  // stream repeats none, unless the id of a later one is spoiled.
  const auto endedEarly =
    aRun.mEvents == 0 &&
    (aParser.need_eof() || aRun.mAnswerBegun || !item.mLastEvent);
  if (endedEarly || !splitter.mPartial.empty()) {
    if (aParser.need_eof()) {
      NoteError(aRun, http::error::partial_message);
    }
    if (endedEarly) {
      // The item may have all its events already; another end of this kind
      // would not tell.
      DiscardOutput(item);
    }
    co_return RecordFailure(aRun,
                            endedEarly ? "stream ended before its first event"
                                       : "stream ended within an event");
  }
  RecordExchange(mState, *aRun.mEndpoint, ExchangeResult::Good);
  RecordCompletion(mEstimate, item.mEvents);
  co_return RunOutcome::Completed;
}

} // namespace mangovalve
