// LoadPoller: polls endpoints for their load reports.
//
// GET /load returns {"running","waiting","leaving"}; missing numbers count as
// 0. The endpoints are divided among a few threads, so that an unresponsive
// endpoint delays only the reports of its own thread, by at most the timeout.
// Refused connections are recorded, so that an endpoint that has exited is
// ejected although the host list is delayed.
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
  // Selects the endpoints that this host polls; not set: all.
  std::function<bool(const EndpointHint& aHint)> mShouldPoll;
};

// Parses the body of a load report; nothing if it is malformed.
auto ParseLoadReport(const std::string& aBody, TimePoint aRequestedAt)
  -> std::optional<LoadReport>;

// Polls one endpoint once and records the report or the refused connection.
auto PollLoad(EndpointClient& aClient,
              EndpointSet& aSet,
              const std::string& aAddress,
              Duration aTimeout) -> void;

// Polls from construction until destruction. The client and the set must
// outlive it.
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
