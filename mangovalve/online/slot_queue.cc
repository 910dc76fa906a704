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

auto WaitInQueue(ServingState& aState,
                 ServicePool& aPool,
                 const SlotRequest& aRequest) -> Task<EndpointPtr>
{
  auto& caller = *aRequest.mCaller;
  Wakeup wakeup(aState.mLoop);
  const QueuePosition place(
    aPool, QueuedRequest{ aRequest.mPriority, aState.mNextWaiter++, &wakeup });
  caller.mOnDisconnect = [&wakeup] { wakeup.Notify(); };
  EndpointPtr endpoint;
  while (!endpoint && Clock::now() < aRequest.mWaitDeadline &&
         !caller.Disconnected()) {
    co_await wakeup.WaitUntil(aRequest.mWaitDeadline);
    if (place.IsFirst()) {
      endpoint = PlaceRequest(aState, aPool, aRequest.mTried, Clock::now());
    }
  }
  caller.mOnDisconnect = nullptr;
  co_return endpoint;
}

// Estimate that decides whether a request waits or is refused.
struct WaitEstimate
{
  double mSlots = 0;      // of usable endpoints
  std::size_t mAhead = 0; // requests waiting here and on other hosts
  Duration mWait{ 0 };
};

auto EstimateWait(const ServingState& aState,
                  const ServicePool& aPool,
                  const SlotRequest& aRequest) -> WaitEstimate
{
  WaitEstimate estimate;
  for (const auto& candidate : Candidates(aState, aPool, Clock::now())) {
    estimate.mSlots += candidate.mUsable ? candidate.mSlots : 0;
  }
  estimate.mAhead = aPool.mQueue.size() +
                    PeerWaiting(aState.mFleet, StableHash(aRequest.mService));
  const std::chrono::duration<double> typical = aRequest.mTypicalRunTime;
  const auto run =
    aPool.mMeanSeconds > 0 ? aPool.mMeanSeconds : typical.count();
  estimate.mWait = ExpectedWait(estimate.mAhead, estimate.mSlots, run);
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
  if (pool.mQueue.empty()) {
    if (auto endpoint =
          PlaceRequest(aState, pool, aRequest.mTried, Clock::now())) {
      co_return Slot{ std::move(endpoint), {} };
    }
  }
  const auto estimate = EstimateWait(aState, pool, aRequest);
  if (estimate.mSlots == 0) {
    LogNoSlot(aState, aRequest, estimate);
    co_return Slot{ nullptr, kNoEndpointRetryAfter };
  }
  Slot slot;
  slot.mRetryAfter = std::chrono::duration_cast<milliseconds>(
    std::max<Duration>(estimate.mWait, kMinRetryAfter));
  if (Clock::now() + estimate.mWait <= aRequest.mWaitDeadline) {
    slot.mEndpoint = co_await WaitInQueue(aState, pool, aRequest);
  }
  if (!slot.mEndpoint && !aRequest.mCaller->Disconnected()) {
    LogNoSlot(aState, aRequest, estimate);
  }
  co_return slot;
}

} // namespace mangovalve
