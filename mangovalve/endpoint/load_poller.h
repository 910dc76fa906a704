// LoadPoller: asks endpoints for their load reports.
//
// GET /load -> {"running","waiting","leaving"}; missing numbers count as 0. A
// few threads share the endpoints, so that one silent endpoint delays the
// reports of the others by at most its share of the timeout. A refused
// connection is noted, so that an endpoint that left is dropped although the
// host list lags.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/synchronization/notification.h>

#include "mangovalve/base/thread.h"
#include "mangovalve/endpoint/client.h"
#include "mangovalve/endpoint/endpoint_set.h"

namespace mangovalve {

struct LoadPollerOptions
{
  Duration mInterval = std::chrono::milliseconds(100);
  Duration mTimeout = std::chrono::milliseconds(500);
  std::size_t mThreads = 4;
  // Endpoints that this host polls; empty: all.
  std::function<bool(const EndpointHint& aHint)> mShouldPoll;
};

// Parses the body of a load report; nothing when it is malformed.
auto ParseLoadReport(const std::string& aBody, TimePoint aTaken)
  -> std::optional<LoadReport>;

// Polls one endpoint once and records what it finds.
auto PollLoad(EndpointClient& aClient,
              EndpointSet& aSet,
              const std::string& aAddress,
              Duration aTimeout) -> void;

// Polls from its construction until its destruction. The client and the set
// must outlive it.
class LoadPoller
{
public:
  LoadPoller(EndpointClient& aClient,
             EndpointSet& aSet,
             LoadPollerOptions aOptions = {});
  ~LoadPoller();
  LoadPoller(const LoadPoller&) = delete;
  auto operator=(const LoadPoller&) -> LoadPoller& = delete;

private:
  auto Run(std::size_t aThread) -> void;

  EndpointClient& mClient;
  EndpointSet& mSet;
  const LoadPollerOptions mOptions;
  absl::Notification mEnding;
  std::vector<Thread> mThreads;
};

} // namespace mangovalve
