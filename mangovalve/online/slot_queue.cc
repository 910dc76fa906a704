// Queue of online requests that wait for a slot at an endpoint.
#include "mangovalve/online/slot_queue.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "mangovalve/base/id.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

// Minimum retry delay given to a caller that was refused a slot. Most online
// requests take about twice as long, so some slots are free again by then.
constexpr auto kMinRetryAfter = milliseconds(400);

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
  }
  ~QueuePosition()
  {
    mPool.mQueue.erase(mWaiter);
    WakeFirstWaiter(mPool);
  }
  QueuePosition(const QueuePosition&) = delete;
  auto operator=(const QueuePosition&) -> QueuePosition& = delete;

  auto IsFirst() const -> bool
  {
    return mPool.mQueue.begin()->mArrivalNumber == mWaiter.mArrivalNumber;
  }

private:
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

auto WaitInQueue(ServingState& aState,
                 ServicePool& aPool,
                 const SlotRequest& aRequest) -> Task<EndpointPtr>
{
  auto& caller = *aRequest.mCaller;
  Wakeup wakeup(aState.mLoop);
  const QueuePosition place(
    aPool, QueuedRequest{ aRequest.mPriority, aState.mNextWaiter++, &wakeup });
  caller.mInterrupt = [&wakeup] { wakeup.Notify(); };
  const auto deadline = [&] {
    return std::min(aRequest.mWaitDeadline,
                    aState.mAnswerBy.value_or(TimePoint::max()));
  };
  EndpointPtr endpoint;
  while (!endpoint && Clock::now() < deadline() && !caller.Disconnected()) {
    // Nothing else notifies when a limit allows the next request.
    const auto nextAt = NextLimitedAt(aState, aPool, Clock::now());
    co_await wakeup.WaitUntil(std::min(deadline(), nextAt));
    if (place.IsFirst()) {
      endpoint = TakeEndpoint(aState, aPool, aRequest);
    }
  }
  caller.mInterrupt = nullptr;
  co_return endpoint;
}

// Estimate that decides whether a request waits or is refused.
struct WaitEstimate
{
  double mSlots = 0;      // of usable endpoints without a limit
  std::size_t mAhead = 0; // requests waiting here and on other hosts
  LimitedService mLimited;
  Duration mWait{ 0 };
};

// Whether there is an endpoint for which a request could wait.
auto MayWait(const WaitEstimate& aEstimate) -> bool
{
  return aEstimate.mSlots > 0 || aEstimate.mLimited.mPart > 0;
}

auto EstimateWait(const ServingState& aState,
                  const ServicePool& aPool,
                  const SlotRequest& aRequest) -> WaitEstimate
{
  WaitEstimate estimate;
  const auto now = Clock::now();
  const auto candidates = Candidates(aState, aPool, LimitedUse::Needed, now);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto limited = IsLimited(aPool.mEndpoints[i]->mStatements->mLimit);
    estimate.mSlots +=
      candidates[i].mUsable && !limited ? candidates[i].mSlots : 0;
  }
  estimate.mLimited = LimitsOf(aState, aPool, now);
  estimate.mAhead = aPool.mQueue.size() +
                    PeerWaiting(aState.mFleet, StableHash(aRequest.mService));
  const std::chrono::duration<double> typical = aRequest.mTypicalRunTime;
  const auto run =
    aPool.mMeanSeconds > 0 ? aPool.mMeanSeconds : typical.count();
  estimate.mWait = ExpectedWait(estimate.mAhead, estimate.mSlots, run);
  if (estimate.mLimited.mPart > 0) {
    const auto wait =
      ExpectedLimitedWait(aPool.mQueue.size(), estimate.mLimited, now);
    estimate.mWait =
      estimate.mSlots > 0 ? std::min(estimate.mWait, wait) : wait;
  }
  return estimate;
}

auto LogNoSlot(const ServingState& aState,
               const SlotRequest& aRequest,
               const WaitEstimate& aEstimate) -> void
{
  const auto millis = [](Duration aDuration) {
    return absl::StrCat(
      std::chrono::duration_cast<milliseconds>(aDuration).count());
  };
  LogEvent(
    Severity::Info,
    "no_slot",
    { { "id", aRequest.mId },
      { "service", aRequest.mService },
      { "usable_slots", absl::StrCat(aEstimate.mSlots) },
      { "limited_endpoints", absl::StrCat(aEstimate.mLimited.mEndpoints) },
      { "limited_part", absl::StrCat(aEstimate.mLimited.mPart) },
      { "ahead", absl::StrCat(aEstimate.mAhead) },
      { "expected_wait_ms", millis(aEstimate.mWait) },
      { "waited_ms", millis(Clock::now() - aRequest.mCaller->mArrivedAt) },
      { "peers_heard", absl::StrCat(ResponsivePeerCount(aState.mFleet)) } });
}

} // namespace

auto ExpectedWait(std::size_t aAhead, double aSlots, double aMeanSeconds)
  -> Duration
{
  if (aSlots <= 0) {
    return Duration::zero();
  }
  const auto seconds = static_cast<double>(aAhead + 1) * aMeanSeconds / aSlots;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
}

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
                 std::span<const std::string> aTried) -> bool
{
  const auto found = aState.mPools.find(aService);
  return found != aState.mPools.end() && found->second.mQueue.empty() &&
         PlaceRequest(aState, found->second, aTried, Clock::now()) != nullptr;
}

auto AcquireSlot(ServingState& aState, SlotRequest aRequest) -> Task<Slot>
{
  const auto found = aState.mPools.find(aRequest.mService);
  if (found == aState.mPools.end() || found->second.mEndpoints.empty()) {
    LogNoSlot(aState, aRequest, {});
    co_return Slot{ nullptr, kNoEndpointRetryAfter };
  }
  auto& pool = found->second;
  if (ExceedsMemory(aState, aRequest.mService, aRequest.mSize)) {
    LogNoSlot(aState, aRequest, {});
    co_return Slot{ nullptr, kMaxReturnDelay };
  }
  if (pool.mQueue.empty()) {
    if (auto endpoint = TakeEndpoint(aState, pool, aRequest)) {
      co_return Slot{ std::move(endpoint), {} };
    }
  }
  const auto estimate = EstimateWait(aState, pool, aRequest);
  if (!MayWait(estimate) && estimate.mLimited.mEndpoints == 0) {
    LogNoSlot(aState, aRequest, estimate);
    co_return Slot{ nullptr, kNoEndpointRetryAfter };
  }
  Slot slot;
  slot.mRetryAfter = std::chrono::duration_cast<milliseconds>(
    std::max<Duration>(estimate.mWait, kMinRetryAfter));
  if (MayWait(estimate) &&
      Clock::now() + estimate.mWait <= aRequest.mWaitDeadline) {
    slot.mEndpoint = co_await WaitInQueue(aState, pool, aRequest);
  }
  if (!slot.mEndpoint && estimate.mSlots == 0) {
    const auto now = Clock::now();
    const auto hosts = ResponsivePeerCount(aState.mFleet) + 1;
    slot.mRetryAfter = std::chrono::ceil<milliseconds>(
      ScheduleReturn(pool, estimate.mLimited, hosts, now) - now);
  }
  if (!slot.mEndpoint && !aRequest.mCaller->Disconnected()) {
    LogNoSlot(aState, aRequest, estimate);
  }
  co_return slot;
}

} // namespace mangovalve
