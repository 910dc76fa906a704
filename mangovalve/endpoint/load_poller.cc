// LoadPoller: polls endpoints for their load reports.
#include "mangovalve/endpoint/load_poller.h"

#include <nlohmann/json.hpp>

#include "mangovalve/base/id.h"

namespace mangovalve {

auto ParseLoadReport(const std::string& aBody, TimePoint aRequestedAt)
  -> std::optional<LoadReport>
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return std::nullopt;
  }
  const auto number = [&](const char* aName) -> std::optional<double> {
    const auto found = body.find(aName);
    if (found == body.end()) {
      return 0;
    }
    if (!found->is_number() || found->get<double>() < 0) {
      return std::nullopt;
    }
    return found->get<double>();
  };
  const auto running = number("running");
  const auto waiting = number("waiting");
  if (!running || !waiting) {
    return std::nullopt;
  }
  const auto leaving = body.find("leaving");
  LoadReport report;
  report.mRunning = *running;
  report.mWaiting = *waiting;
  report.mLeaving = leaving != body.end() && *leaving == true;
  report.mRequestedAt = aRequestedAt;
  return report;
}

auto PollLoad(EndpointClient& aClient,
              EndpointSet& aSet,
              const std::string& aAddress,
              Duration aTimeout) -> void
{
  const auto now = Clock::now();
  EndpointRequest request;
  request.mMethod = "GET";
  request.mAddress = aAddress;
  request.mTarget = "/load";
  request.mRequestId = ToHex(NewId());
  request.mFirstByteDeadline = now + aTimeout;
  request.mDeadline = now + aTimeout;
  const auto response = aClient.Exchange(request);
  if (!response) {
    // A slow or malformed report is no evidence about requests.
    if (response.error().mKind == EndpointError::Kind::Refused) {
      aSet.RecordProbe(aAddress, ExchangeResult::Refused, Clock::now());
    }
    return;
  }
  if (response->mHead.mStatus != 200) {
    return;
  }
  if (const auto report = ParseLoadReport(response->mBody, now)) {
    aSet.RecordLoad(aAddress, *report, Clock::now());
  }
}

LoadPoller::LoadPoller(EndpointClient& aClient,
                       EndpointSet& aSet,
                       LoadPollerOptions aOptions)
  : mClient(aClient)
  , mSet(aSet)
  , mOptions(std::move(aOptions))
{
  for (std::size_t i = 0; i < mOptions.mThreads; ++i) {
    mThreads.emplace_back("load-poll", [this, i] { Run(i); });
  }
}

LoadPoller::~LoadPoller()
{
  mEnding.Notify();
}

auto LoadPoller::Run(std::size_t aThread) -> void
{
  while (!mEnding.HasBeenNotified()) {
    const auto start = Clock::now();
    std::size_t index = 0;
    for (const auto& endpoint : mSet.List(start)) {
      const auto mine = index++ % mOptions.mThreads == aThread;
      if (mine && !mEnding.HasBeenNotified() &&
          (!mOptions.mShouldPoll || mOptions.mShouldPoll(endpoint.mHint))) {
        PollLoad(mClient, mSet, endpoint.mHint.mAddress, mOptions.mTimeout);
      }
    }
    const auto left = start + mOptions.mInterval - Clock::now();
    mEnding.WaitForNotificationWithTimeout(absl::FromChrono(left));
  }
}

} // namespace mangovalve
