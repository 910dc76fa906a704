// Stream limits by endpoint and the signals that change them.
#include "mangovalve/host/stream_limiter.h"

#include <absl/strings/str_cat.h>

namespace mangovalve {
namespace {

// Name of the model that a service's batch items run with; empty for a service
// without a model.
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
  std::vector<StreamLimit> limits;
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
    auto& dispatched = mDispatchedEndpoints[address];
    dispatched.mSettings.mCapacity = service->second.mMaxInFlight;
    if (endpoint.mReport &&
        endpoint.mReport->mRequestedAt > dispatched.mState.mReportTime) {
      OnLoadReport(dispatched.mState,
                   dispatched.mSettings,
                   static_cast<std::uint32_t>(endpoint.mReport->mRunning +
                                              endpoint.mReport->mWaiting),
                   endpoint.mReport->mRequestedAt);
    }
    limits.push_back(
      { address,
        endpoint.mHint.mService,
        ModelOf(*document, endpoint.mHint.mService),
        BatchLimit(
          dispatched.mState, dispatched.mSettings, dispatched.mRunning, now) });
  }
  return limits;
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
  const auto dispatched = mDispatchedEndpoints.find(aEndpoint);
  if (dispatched != mDispatchedEndpoints.end()) {
    OnFirstToken(dispatched->second.mState,
                 dispatched->second.mSettings,
                 aDelay,
                 Clock::now());
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
    const auto dispatcher = BatchDispatcherOf(endpoint.mHint.mAddress, hosts);
    if (dispatcher == mPorts.mHost) {
      RecordPressure(endpoint.mHint.mAddress, aWaiting);
    } else if (!dispatcher.empty()) {
      mPorts.mSendPressure(dispatcher, endpoint.mHint.mAddress, aWaiting);
    }
  }
}

auto StreamLimiter::RecordPressure(const std::string& aEndpoint,
                                   std::uint32_t aWaiting) -> void
{
  {
    const absl::MutexLock lock(&mMutex);
    const auto dispatched = mDispatchedEndpoints.find(aEndpoint);
    if (dispatched == mDispatchedEndpoints.end()) {
      return;
    }
    OnPressure(dispatched->second.mState,
               dispatched->second.mSettings,
               aWaiting,
               dispatched->second.mRunning,
               Clock::now());
  }
  mPorts.mWakeWorker();
}

} // namespace mangovalve
