// Queue of online requests that wait for a slot at an endpoint.
#include "mangovalve/online/slot_queue.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "mangovalve/base/id.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

// Minimum retry delay given to a caller that was refused a slot, without and
// with a forecast of the demand. Most online requests take about twice as long
// as the first, so some slots are free again by then.
constexpr auto kMinRetryAfter = milliseconds(400);
constexpr auto kMinForecastRetryAfter = milliseconds(200);

// Maximum retry delay given to a caller that was refused a slot, unless the
// queue is longer. Callers give up at some time that few of them state.
constexpr auto kMaxRetryAfter = milliseconds(4000);

// Part of the slots' capacity that is planned for arrivals and returns. Hosts
// see each other's requests up to 300 ms late, so not all slots are in use.
constexpr double kPlannedUse = 0.9;

// Largest part of the objective that is reserved for the first event.
constexpr double kMaxFirstEventPart = 0.5;

// Maximum retry delay given to a caller because of the endpoints' limits, which
// may end at any time.
constexpr auto kMaxReturnDelay = milliseconds(10000);

// Retry delay while no endpoint of the service is known. Endpoints write to the
// store about once a second.
constexpr auto kNoEndpointRetryAfter = milliseconds(1000);

// Holds a request's position in the queue and removes it on destruction,
// however the wait ends.
class QueuePosition
{
public:
  QueuePosition(ServicePool& aPool, QueuedRequest aWaiter)
    : mPool(aPool)
    , mWaiter(aWaiter)
  {
    mPool.mQueue.insert(mWaiter);
    ++Class().mTeams[mWaiter.mTeam].mWaiting;
  }
  ~QueuePosition()
  {
    mPool.mQueue.erase(mWaiter);
    auto& waiting = Class().mTeams[mWaiter.mTeam].mWaiting;
    waiting -= std::min(waiting, 1U);
    ForgetIdleTeam(Class(), mWaiter.mTeam);
    WakeFirstWaiter(mPool);
  }
  QueuePosition(const QueuePosition&) = delete;
  auto operator=(const QueuePosition&) -> QueuePosition& = delete;

  auto IsFirst(TimePoint aNow) const -> bool
  {
    return FirstWaiter(mPool, aNow).mArrivalNumber == mWaiter.mArrivalNumber;
  }

  // Requests that are served before.
  auto Ahead(TimePoint aNow) const -> std::size_t
  {
    return static_cast<std::size_t>(std::count_if(
      mPool.mQueue.begin(), mPool.mQueue.end(), [&](const auto& aOther) {
        return IsServedBefore(mPool, aOther, mWaiter, aNow);
      }));
  }

private:
  auto Class() -> PriorityClass& { return mPool.mClasses[mWaiter.mPriority]; }

  ServicePool& mPool;
  QueuedRequest mWaiter;
};

// PlaceRequest for a request that is then sent.
auto TakeEndpoint(ServingState& aState,
                  ServicePool& aPool,
                  const SlotRequest& aRequest) -> EndpointPtr
{
  const auto now = Clock::now();
  auto endpoint =
    PlaceRequest(aState, aPool, aRequest.mTried, now, aRequest.mSize);
  if (!endpoint && aRequest.mBegun) {
    // A tried endpoint is better than none, and a slot that this request does
    // not use would be kept from those behind it.
    endpoint = PlaceRequest(aState, aPool, {}, now, aRequest.mSize);
  }
  if (endpoint) {
    RecordSent(endpoint->mStatements->mLimit, now);
    TakeSlotOf(aPool, *endpoint);
  }
  return endpoint;
}

// When a limit allows this host the next request after aNow.
auto NextLimitedAt(const ServingState& aState,
                   const ServicePool& aPool,
                   TimePoint aNow) -> TimePoint
{
  auto next = TimePoint::max();
  for (const auto& endpoint : aPool.mEndpoints) {
    const auto& limit = endpoint->mStatements->mLimit;
    if (IsLimited(limit) && limit.mNextAt > aNow &&
        IsAvailable(aState, *endpoint, aNow)) {
      next = std::min(next, limit.mNextAt);
    }
  }
  return next;
}

// Estimate that decides whether a request waits or is refused.
struct WaitEstimate
{
  SlotOutlook mOutlook; // of usable endpoints without a limit
  double mFree = 0;     // free slots of all hosts, by the last reports
  LimitedService mLimited;
  TimePoint mLatestStart{};
  Duration mWait{ 0 };
  double mChance = 0; // of a slot until mLatestStart
};

// Whether there is an endpoint for which a request could wait.
auto MayWait(const WaitEstimate& aEstimate) -> bool
{
  return aEstimate.mOutlook.mSlots > 0 || aEstimate.mLimited.mPart > 0;
}

// When the request must get its slot so that its first event is in time.
auto LatestStart(const ServicePool& aPool, const SlotRequest& aRequest)
  -> TimePoint
{
  if (aRequest.mFirstEventDue == TimePoint::max()) {
    return aRequest.mWaitDeadline;
  }
  const std::chrono::duration<double> objective =
    aRequest.mFirstEventDue - aRequest.mCaller->mArrivedAt;
  const std::chrono::duration<double> firstEvent(
    std::min(aPool.mFirstEventSeconds, kMaxFirstEventPart * objective.count()));
  return std::min(aRequest.mWaitDeadline,
                  aRequest.mFirstEventDue -
                    std::chrono::duration_cast<Duration>(firstEvent));
}

auto HoldSeconds(const ServicePool& aPool, const SlotRequest& aRequest)
  -> double
{
  const std::chrono::duration<double> typical = aRequest.mTypicalRunTime;
  return aPool.mHoldSeconds > 0   ? aPool.mHoldSeconds
         : aPool.mMeanSeconds > 0 ? aPool.mMeanSeconds
                                  : typical.count();
}

// Arrivals per second here that are served before requests of this priority.
auto UrgentArrivals(const ServicePool& aPool, int aPriority, TimePoint aNow)
  -> double
{
  auto sum = 0.0;
  for (const auto& [priority, requests] : aPool.mClasses) {
    sum +=
      priority < aPriority ? ArrivalsPerSecond(requests.mArrivals, aNow) : 0;
  }
  return sum;
}

auto EstimateWait(const ServingState& aState,
                  const ServicePool& aPool,
                  const SlotRequest& aRequest,
                  std::size_t aAhead,
                  TimePoint aNow) -> WaitEstimate
{
  WaitEstimate estimate;
  auto& outlook = estimate.mOutlook;
  const auto candidates = Candidates(aState, aPool, LimitedUse::Needed, aNow);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto limited = IsLimited(aPool.mEndpoints[i]->mStatements->mLimit);
    if (candidates[i].mUsable && !limited) {
      const auto free = ReclaimableSlots(candidates[i]);
      outlook.mSlots += candidates[i].mSlots;
      outlook.mExcess -= free;
      estimate.mFree += std::max(0.0, free);
    }
  }
  outlook.mHoldSeconds = HoldSeconds(aPool, aRequest);
  outlook.mShare = HostShare(aState, aRequest.mService, aPool, aNow);
  outlook.mUrgentPerSecond = UrgentArrivals(aPool, aRequest.mPriority, aNow);
  outlook.mAhead = aAhead;
  estimate.mLatestStart = LatestStart(aPool, aRequest);
  estimate.mChance = SlotChance(outlook, estimate.mLatestStart - aNow);
  estimate.mWait = ExpectedWait(outlook);
  estimate.mLimited = LimitsOf(aState, aPool, aNow);
  if (estimate.mLimited.mPart > 0) {
    const auto wait =
      ExpectedLimitedWait(aPool.mQueue.size(), estimate.mLimited, aNow);
    estimate.mWait = outlook.mSlots > 0 ? std::min(estimate.mWait, wait) : wait;
  }
  return estimate;
}

// Whether the request should wait, or go on waiting.
auto ShouldWait(const WaitEstimate& aEstimate,
                const SlotRequest& aRequest,
                TimePoint aNow) -> bool
{
  const auto slots =
    aEstimate.mOutlook.mSlots > 0 &&
    IsWorthWaiting(
      aEstimate.mOutlook, aEstimate.mLatestStart, aRequest.mReviewAt, aNow);
  const auto limits = aEstimate.mLimited.mPart > 0 &&
                      aNow + aEstimate.mWait <= aRequest.mWaitDeadline;
  return slots || limits;
}

// Requests in the queue that are served before a new one.
auto AheadOfNew(const ServicePool& aPool,
                const QueuedRequest& aWaiter,
                TimePoint aNow) -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    aPool.mQueue.begin(), aPool.mQueue.end(), [&](const auto& aOther) {
      return IsServedBefore(aPool, aOther, aWaiter, aNow);
    }));
}

// Free slots of all hosts, by the last reports.
auto FreeSlots(const ServingState& aState,
               const ServicePool& aPool,
               TimePoint aNow) -> double
{
  auto free = 0.0;
  for (const auto& candidate :
       Candidates(aState, aPool, LimitedUse::Needed, aNow)) {
    free += candidate.mUsable ? std::max(0.0, ReclaimableSlots(candidate)) : 0;
  }
  return free;
}

// Whether the request leaves the free slots to teams that hold less than their
// share.
auto MustYield(const ServingState& aState,
               ServicePool& aPool,
               const SlotRequest& aRequest,
               TimePoint aNow) -> bool
{
  const auto& shares = SharesOf(aState,
                                aRequest.mService,
                                aRequest.mPriority,
                                aPool.mClasses[aRequest.mPriority],
                                aNow);
  const auto team = StableHash(aRequest.mTeam);
  return !aRequest.mBegun && Yields(shares, team, 0) &&
         Yields(shares, team, FreeSlots(aState, aPool, aNow));
}

// Why a request got no slot.
enum class RefusalCause
{
  NoEndpoint,
  ExpectedWait, // it would not get a slot in time
  OverShare,    // the same, and its team yields to others
  Waited,       // until its wait deadline
};

auto NameOf(RefusalCause aCause) -> std::string
{
  switch (aCause) {
    case RefusalCause::NoEndpoint:
      return "no_endpoint";
    case RefusalCause::ExpectedWait:
      return "expected_wait";
    case RefusalCause::OverShare:
      return "over_share";
    case RefusalCause::Waited:
      break;
  }
  return "waited";
}

struct WaitOutcome
{
  EndpointPtr mEndpoint;
  RefusalCause mCause = RefusalCause::Waited; // if there is no endpoint
};

auto WaitInQueue(ServingState& aState,
                 ServicePool& aPool,
                 const SlotRequest& aRequest,
                 QueuedRequest aWaiter) -> Task<WaitOutcome>
{
  auto& caller = *aRequest.mCaller;
  Wakeup wakeup(aState.mLoop);
  aWaiter.mWakeup = &wakeup;
  const QueuePosition place(aPool, aWaiter);
  caller.mInterrupt = [&wakeup] { wakeup.Notify(); };
  const auto deadline = [&] {
    return std::min(aRequest.mWaitDeadline,
                    aState.mAnswerBy.value_or(TimePoint::max()));
  };
  auto reviewAt = aRequest.mReviewAt;
  WaitOutcome outcome;
  while (!outcome.mEndpoint && Clock::now() < deadline() &&
         !caller.Disconnected()) {
    if (AllEvacuated(aPool)) {
      outcome.mCause = RefusalCause::NoEndpoint;
      break;
    }
    // Nothing else notifies when a limit allows the next request.
    const auto nextAt = NextLimitedAt(aState, aPool, Clock::now());
    co_await wakeup.WaitUntil(std::min(std::min(deadline(), nextAt), reviewAt));
    const auto now = Clock::now();
    const auto yields = MustYield(aState, aPool, aRequest, now);
    if (!place.IsFirst(now)) {
      // The order may have changed after this request was woken.
      if (now < deadline() && now < reviewAt) {
        WakeFirstWaiter(aPool);
      }
    } else if (!yields) {
      outcome.mEndpoint = TakeEndpoint(aState, aPool, aRequest);
    }
    if (!outcome.mEndpoint && now >= reviewAt) {
      reviewAt = TimePoint::max();
      const auto estimate =
        EstimateWait(aState, aPool, aRequest, place.Ahead(now), now);
      if (yields || !ShouldWait(estimate, aRequest, now)) {
        outcome.mCause =
          yields ? RefusalCause::OverShare : RefusalCause::ExpectedWait;
        break;
      }
    }
  }
  caller.mInterrupt = nullptr;
  co_return outcome;
}

// Schedules the return of a caller that was refused a slot.
auto PlanReturn(ServingState& aState,
                ServicePool& aPool,
                const SlotRequest& aRequest,
                const WaitEstimate& aEstimate,
                TimePoint aNow) -> PlannedReturn
{
  const auto& outlook = aEstimate.mOutlook;
  ReturnOutlook returns;
  returns.mPerSecond =
    kPlannedUse * outlook.mSlots / std::max(outlook.mHoldSeconds, 0.001);
  returns.mShare = outlook.mShare;
  const auto waiting = static_cast<double>(
    aPool.mQueue.size() +
    PeerWaiting(aState.mFleet, StableHash(aRequest.mService)));
  returns.mBacklog = std::max(0.0, outlook.mExcess) + waiting;
  SlotOutlook behindAll = outlook;
  behindAll.mExcess = returns.mBacklog;
  behindAll.mShare = 1;
  behindAll.mUrgentPerSecond = 0;
  behindAll.mAhead = 0;
  const auto forecast = PhaseEnd(aPool.mDemand, aNow).has_value();
  returns.mEarliest =
    aNow +
    std::max<Duration>(forecast ? kMinForecastRetryAfter : kMinRetryAfter,
                       ExpectedWait(behindAll));
  returns.mLatest = std::min(aNow + kMaxRetryAfter, aRequest.mReturnBy);
  return PlanReturn(
    aPool.mReturns, aPool.mDemand, returns, aNow, aState.mRandom);
}

// Part of the slots of this priority that the request's team holds.
auto PartOfTeam(const ServingState& aState,
                const SlotRequest& aRequest,
                const PriorityClass& aClass) -> double
{
  const auto team = StableHash(aRequest.mTeam);
  auto own = 0.0;
  auto all = 0.0;
  const auto add = [&](const TeamLoads& aTeams) {
    for (const auto& [other, load] : aTeams) {
      all += load.mRunning;
      own += other == team ? load.mRunning : 0;
    }
  };
  add(aClass.mTeams);
  const auto* const peers =
    PeerTeams(aState.mFleet, TeamUseKey(aRequest.mService, aRequest.mPriority));
  if (peers != nullptr) {
    add(*peers);
  }
  return all > 0 ? own / all : 0;
}

struct Refusal
{
  RefusalCause mCause = RefusalCause::NoEndpoint;
  PlannedReturn mReturn;
  double mPartOfTeam = 0;
};

auto LogNoSlot(const ServingState& aState,
               const SlotRequest& aRequest,
               const WaitEstimate& aEstimate,
               const Refusal& aRefusal) -> void
{
  const auto millis = [](Duration aDuration) {
    return absl::StrCat(
      std::chrono::duration_cast<milliseconds>(aDuration).count());
  };
  const auto now = Clock::now();
  const auto& outlook = aEstimate.mOutlook;
  FindCounter("mangovalve_no_slot_total",
              { { "reason", NameOf(aRefusal.mCause) } })
    .Add();
  LogEvent(
    Severity::Info,
    "no_slot",
    { { "id", aRequest.mId },
      { "service", aRequest.mService },
      { "reason", NameOf(aRefusal.mCause) },
      { "usable_slots", absl::StrCat(outlook.mSlots) },
      { "excess", absl::StrCat(outlook.mExcess) },
      { "hold_ms", absl::StrCat(outlook.mHoldSeconds * 1000) },
      { "host_share", absl::StrCat(outlook.mShare) },
      { "urgent_per_s", absl::StrCat(outlook.mUrgentPerSecond) },
      { "limited_endpoints", absl::StrCat(aEstimate.mLimited.mEndpoints) },
      { "limited_part", absl::StrCat(aEstimate.mLimited.mPart) },
      { "ahead", absl::StrCat(outlook.mAhead) },
      { "expected_wait_ms", millis(aEstimate.mWait) },
      { "chance", absl::StrCat(aEstimate.mChance) },
      { "team_part", absl::StrCat(aRefusal.mPartOfTeam) },
      { "forecast", aRefusal.mReturn.mForecast ? "1" : "0" },
      { "return_has_room", aRefusal.mReturn.mHasRoom ? "1" : "0" },
      { "return_ms", millis(std::max(aRefusal.mReturn.mAt, now) - now) },
      { "waited_ms", millis(now - aRequest.mCaller->mArrivedAt) },
      { "peers_heard", absl::StrCat(ResponsivePeerCount(aState.mFleet)) } });
}

} // namespace

auto ExpectedLimitedWait(std::size_t aAhead,
                         const LimitedService& aLimited,
                         TimePoint aNow) -> Duration
{
  const auto first = std::max<Duration>(aLimited.mNextAt - aNow, {});
  const std::chrono::duration<double> others(static_cast<double>(aAhead) /
                                             aLimited.mPart);
  return first + std::chrono::duration_cast<Duration>(others);
}

auto ScheduleReturn(ServicePool& aPool,
                    const LimitedService& aLimited,
                    std::size_t aHosts,
                    TimePoint aNow) -> TimePoint
{
  const auto rate = std::max(aLimited.mRate, kMinEndpointRate);
  const std::chrono::duration<double> interval(static_cast<double>(aHosts) /
                                               rate);
  const auto next =
    std::max(aNow, aPool.mReturnsUntil) +
    std::min<Duration>(kMaxReturnDelay,
                       std::chrono::duration_cast<Duration>(interval));
  aPool.mReturnsUntil =
    std::clamp(next, aNow + kMinRetryAfter, aNow + kMaxReturnDelay);
  return aPool.mReturnsUntil;
}

auto HasFreeSlot(ServingState& aState,
                 const std::string& aService,
                 std::span<const std::string> aTried,
                 const RequestSize& aSize) -> bool
{
  const auto found = aState.mPools.find(aService);
  return found != aState.mPools.end() && found->second.mQueue.empty() &&
         PlaceRequest(aState, found->second, aTried, Clock::now(), aSize) !=
           nullptr;
}

auto AcquireSlot(ServingState& aState, SlotRequest aRequest) -> Task<Slot>
{
  const auto found = aState.mPools.find(aRequest.mService);
  if (found == aState.mPools.end() || found->second.mEndpoints.empty()) {
    Refusal refusal;
    refusal.mReturn.mAt = Clock::now() + kNoEndpointRetryAfter;
    LogNoSlot(aState, aRequest, {}, refusal);
    co_return Slot{ nullptr, kNoEndpointRetryAfter };
  }
  auto& pool = found->second;
  auto& requests = pool.mClasses[aRequest.mPriority];
  auto now = Clock::now();
  if (ExceedsMemory(aState, aRequest.mService, aRequest.mSize)) {
    Refusal refusal;
    refusal.mReturn.mAt = now + kMaxReturnDelay;
    LogNoSlot(aState, aRequest, {}, refusal);
    co_return Slot{ nullptr, kMaxReturnDelay };
  }
  RecordArrival(requests.mArrivals, now);
  const auto yields = MustYield(aState, pool, aRequest, now);
  if (pool.mQueue.empty() && !yields) {
    if (auto endpoint = TakeEndpoint(aState, pool, aRequest)) {
      co_return Slot{ std::move(endpoint), {} };
    }
  }
  QueuedRequest waiter{
    aRequest.mPriority,         aState.mNextWaiter++,        nullptr,
    StableHash(aRequest.mTeam), LatestStart(pool, aRequest), aRequest.mBegun
  };
  const auto estimate =
    EstimateWait(aState, pool, aRequest, AheadOfNew(pool, waiter, now), now);
  Refusal refusal;
  const auto begun = aRequest.mBegun;
  if (!begun && !MayWait(estimate) && estimate.mLimited.mEndpoints == 0) {
    refusal.mReturn.mAt = now + kNoEndpointRetryAfter;
    LogNoSlot(aState, aRequest, estimate, refusal);
    co_return Slot{ nullptr, kNoEndpointRetryAfter };
  }
  refusal.mCause =
    yields ? RefusalCause::OverShare : RefusalCause::ExpectedWait;
  if (begun || (MayWait(estimate) && ShouldWait(estimate, aRequest, now))) {
    const auto outcome = co_await WaitInQueue(aState, pool, aRequest, waiter);
    if (outcome.mEndpoint || aRequest.mCaller->Disconnected()) {
      co_return Slot{ outcome.mEndpoint, {} };
    }
    refusal.mCause = outcome.mCause;
    now = Clock::now();
  }
  if (estimate.mOutlook.mSlots == 0) {
    const auto hosts = ResponsivePeerCount(aState.mFleet) + 1;
    refusal.mReturn.mAt = ScheduleReturn(pool, estimate.mLimited, hosts, now);
  } else {
    refusal.mReturn = PlanReturn(aState, pool, aRequest, estimate, now);
  }
  refusal.mPartOfTeam = PartOfTeam(aState, aRequest, requests);
  LogNoSlot(aState, aRequest, estimate, refusal);
  co_return Slot{ nullptr,
                  std::chrono::ceil<milliseconds>(refusal.mReturn.mAt - now) };
}

} // namespace mangovalve
