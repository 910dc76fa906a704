// Who waits for an endpoint.
#include "mangovalve/online/slot_line.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "mangovalve/base/id.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

// Least pause named to a caller that found no slot: most online requests take
// about twice as long, so by then some of the slots are free again.
constexpr auto kMinRetryAfter = milliseconds(400);

// Pause when no endpoint of the service is known at all. Endpoints write to the
// store about once a second.
constexpr auto kNoEndpointRetryAfter = milliseconds(1000);

// Takes a request out of the line, however its wait ends.
class LinePlace
{
public:
  LinePlace(ServicePool& aPool, QueuedRequest aWaiter)
    : mPool(aPool)
    , mWaiter(aWaiter)
  {
    mPool.mQueue.insert(mWaiter);
  }
  ~LinePlace()
  {
    mPool.mQueue.erase(mWaiter);
    WakeFirstWaiter(mPool);
  }
  LinePlace(const LinePlace&) = delete;
  auto operator=(const LinePlace&) -> LinePlace& = delete;

  auto IsFirst() const -> bool
  {
    return mPool.mQueue.begin()->mArrivalNumber == mWaiter.mArrivalNumber;
  }

private:
  ServicePool& mPool;
  QueuedRequest mWaiter;
};

auto TryPlace(ServingState& aState,
              const ServicePool& aPool,
              std::span<const std::string> aTried) -> EndpointPtr
{
  const auto candidates = Candidates(aState, aPool, Clock::now());
  std::vector<std::size_t> excluded;
  for (std::size_t i = 0; i < aPool.mEndpoints.size(); ++i) {
    const auto& id = aPool.mEndpoints[i]->mRegistration.mId;
    if (std::find(aTried.begin(), aTried.end(), id) != aTried.end()) {
      excluded.push_back(i);
    }
  }
  const auto place =
    PlaceOnline(candidates, excluded, aState.mPlacement, aState.mRandom);
  return place ? aPool.mEndpoints[*place] : nullptr;
}

auto WaitInLine(ServingState& aState,
                ServicePool& aPool,
                const SlotRequest& aRequest) -> Task<EndpointPtr>
{
  auto& caller = *aRequest.mCaller;
  Wakeup wakeup(aState.mLoop);
  const LinePlace place(
    aPool, QueuedRequest{ aRequest.mPriority, aState.mNextWaiter++, &wakeup });
  caller.mOnDisconnect = [&wakeup] { wakeup.Notify(); };
  EndpointPtr endpoint;
  while (!endpoint && Clock::now() < aRequest.mGiveUpAt &&
         !caller.Disconnected()) {
    co_await wakeup.WaitUntil(aRequest.mGiveUpAt);
    if (place.IsFirst()) {
      endpoint = TryPlace(aState, aPool, aRequest.mTried);
    }
  }
  caller.mOnDisconnect = nullptr;
  co_return endpoint;
}

// What a refusal is decided by.
struct Outlook
{
  double mSlots = 0;      // that could be used
  std::size_t mAhead = 0; // requests that wait before it
  Duration mWait{ 0 };
};

auto OutlookOf(const ServingState& aState,
               const ServicePool& aPool,
               const SlotRequest& aRequest) -> Outlook
{
  Outlook outlook;
  for (const auto& candidate : Candidates(aState, aPool, Clock::now())) {
    outlook.mSlots += candidate.mUsable ? candidate.mSlots : 0;
  }
  outlook.mAhead = aPool.mQueue.size() +
                   PeerWaiting(aState.mFleet, StableHash(aRequest.mService));
  const std::chrono::duration<double> usual = aRequest.mUsualRun;
  const auto run = aPool.mMeanSeconds > 0 ? aPool.mMeanSeconds : usual.count();
  outlook.mWait = ExpectedWait(outlook.mAhead, outlook.mSlots, run);
  return outlook;
}

auto LogNoSlot(const ServingState& aState,
               const SlotRequest& aRequest,
               const Outlook& aOutlook) -> void
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
      { "usable_slots", absl::StrCat(aOutlook.mSlots) },
      { "ahead", absl::StrCat(aOutlook.mAhead) },
      { "expected_wait_ms", millis(aOutlook.mWait) },
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

auto HasSlot(ServingState& aState,
             const std::string& aService,
             std::span<const std::string> aTried) -> bool
{
  const auto found = aState.mPools.find(aService);
  return found != aState.mPools.end() && found->second.mQueue.empty() &&
         TryPlace(aState, found->second, aTried) != nullptr;
}

auto TakeSlot(ServingState& aState, SlotRequest aRequest) -> Task<Slot>
{
  const auto found = aState.mPools.find(aRequest.mService);
  if (found == aState.mPools.end() || found->second.mEndpoints.empty()) {
    LogNoSlot(aState, aRequest, {});
    co_return Slot{ nullptr, kNoEndpointRetryAfter };
  }
  auto& pool = found->second;
  if (pool.mQueue.empty()) {
    if (auto endpoint = TryPlace(aState, pool, aRequest.mTried)) {
      co_return Slot{ std::move(endpoint), {} };
    }
  }
  const auto outlook = OutlookOf(aState, pool, aRequest);
  Slot slot;
  slot.mRetryAfter = std::chrono::duration_cast<milliseconds>(
    std::max<Duration>(outlook.mWait, kMinRetryAfter));
  if (Clock::now() + outlook.mWait <= aRequest.mGiveUpAt) {
    slot.mEndpoint = co_await WaitInLine(aState, pool, aRequest);
  }
  if (!slot.mEndpoint && !aRequest.mCaller->Disconnected()) {
    LogNoSlot(aState, aRequest, outlook);
  }
  co_return slot;
}

} // namespace mangovalve
