// StreamLimiter: state per endpoint and the signals that reach it.
#include "mangovalve/host/stream_limiter.h"

#include <absl/strings/str_cat.h>

namespace mangovalve {
namespace {

// Model that a service's batch items run with; empty for plain services.
auto ModelOf(const Document& aDocument, const std::string& aService)
  -> std::string
{
  for (const auto& [name, model] : aDocument.mModels) {
    if (model.mService == aService) {
      return name;
    }
  }
  return {};
}

} // namespace

StreamLimiter::StreamLimiter(StreamLimiterPorts aPorts)
  : mPorts(std::move(aPorts))
{
}

auto StreamLimiter::CurrentLimits() -> std::vector<StreamLimit>
{
  const auto document = mPorts.mDocument();
  const auto hosts = mPorts.mDomainHosts();
  const auto now = Clock::now();
  std::vector<StreamLimit> slots;
  for (const auto& endpoint : mPorts.mEndpoints()) {
    const auto& address = endpoint.mHint.mAddress;
    const auto service = document->mServices.find(endpoint.mHint.mService);
    if (endpoint.mHint.mDomain != mPorts.mDomain ||
        endpoint.mState != EndpointState::Live ||
        service == document->mServices.end() ||
        BatchDispatcherOf(address, hosts) != mPorts.mHost ||
        !mPorts.mMayUse(absl::StrCat("feeder/", address))) {
      continue;
    }
    const absl::MutexLock lock(&mMutex);
    auto& feed = mDispatchedEndpoints[address];
    feed.mSettings.mCapacity = service->second.mMaxInFlight;
    if (endpoint.mReport &&
        endpoint.mReport->mRequestedAt > feed.mState.mReportTime) {
      OnLoadReport(feed.mState,
                   feed.mSettings,
                   static_cast<std::uint32_t>(endpoint.mReport->mRunning +
                                              endpoint.mReport->mWaiting),
                   endpoint.mReport->mRequestedAt);
    }
    slots.push_back(
      { address,
        endpoint.mHint.mService,
        ModelOf(*document, endpoint.mHint.mService),
        BatchLimit(feed.mState, feed.mSettings, feed.mRunning, now) });
  }
  return slots;
}

auto StreamLimiter::RecordStart(const std::string& aEndpoint) -> void
{
  const absl::MutexLock lock(&mMutex);
  ++mDispatchedEndpoints[aEndpoint].mRunning;
}

auto StreamLimiter::RecordEnd(const std::string& aEndpoint) -> void
{
  const absl::MutexLock lock(&mMutex);
  --mDispatchedEndpoints[aEndpoint].mRunning;
}

auto StreamLimiter::RecordFirstByte(const std::string& aEndpoint,
                                    Duration aDelay) -> void
{
  const absl::MutexLock lock(&mMutex);
  const auto feed = mDispatchedEndpoints.find(aEndpoint);
  if (feed != mDispatchedEndpoints.end()) {
    OnFirstToken(
      feed->second.mState, feed->second.mSettings, aDelay, Clock::now());
  }
}

auto StreamLimiter::RecordWaiting(const std::string& aService,
                                  std::uint32_t aWaiting) -> void
{
  if (aWaiting == 0) {
    return;
  }
  const auto hosts = mPorts.mDomainHosts();
  for (const auto& endpoint : mPorts.mEndpoints()) {
    if (endpoint.mHint.mService != aService ||
        endpoint.mHint.mDomain != mPorts.mDomain) {
      continue;
    }
    const auto feeder = BatchDispatcherOf(endpoint.mHint.mAddress, hosts);
    if (feeder == mPorts.mHost) {
      RecordPressure(endpoint.mHint.mAddress, aWaiting);
    } else if (!feeder.empty()) {
      mPorts.mSendPressure(feeder, endpoint.mHint.mAddress, aWaiting);
    }
  }
}

auto StreamLimiter::RecordPressure(const std::string& aEndpoint,
                                   std::uint32_t aWaiting) -> void
{
  {
    const absl::MutexLock lock(&mMutex);
    const auto feed = mDispatchedEndpoints.find(aEndpoint);
    if (feed == mDispatchedEndpoints.end()) {
      return;
    }
    OnPressure(feed->second.mState,
               feed->second.mSettings,
               aWaiting,
               feed->second.mRunning,
               Clock::now());
  }
  mPorts.mWakeWorker();
}

} // namespace mangovalve
