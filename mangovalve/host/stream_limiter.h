// The feeders of this host: for every endpoint that it feeds, how many batch
// streams may run. Adapter of batch/feeder.h to load reports, first-token
// delays, and signals that online requests wait, here and on other hosts.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "mangovalve/batch/ports.h"
#include "mangovalve/batch/stream_limit.h"
#include "mangovalve/endpoint/endpoint_set.h"

namespace mangovalve {

struct StreamLimiterPorts
{
  std::string mHost;
  std::string mDomain;
  std::function<auto()->std::shared_ptr<const Document>> mDocument;
  std::function<auto()->std::vector<EndpointStatus>> mEndpoints;
  // Unfenced registered hosts of the own domain.
  std::function<auto()->std::vector<std::string>> mDomainHosts;
  // Whether this host may use the role now; see MembershipMonitor::MayUse.
  std::function<auto(const std::string& aRole)->bool> mMayUse;
  // Tells another host that online requests wait for an endpoint it feeds.
  std::function<auto(const std::string& aHost,
                     const std::string& aEndpoint,
                     std::uint32_t aWaiting)
                  ->void>
    mSendPressure;
  // Has the batch worker look at the limits at once.
  std::function<auto()->void> mWakeWorker;
};

// Callers on any thread.
class StreamLimiter
{
public:
  explicit StreamLimiter(StreamLimiterPorts aPorts);

  // Limits of all endpoints that this host feeds now.
  auto CurrentLimits() -> std::vector<StreamLimit>;

  // A batch item starts or ends at an endpoint.
  auto RecordStart(const std::string& aEndpoint) -> void;
  auto RecordEnd(const std::string& aEndpoint) -> void;

  // Time from the dispatch of an online request to its first byte.
  auto RecordFirstByte(const std::string& aEndpoint, Duration aDelay) -> void;

  // Online requests wait on this host for a service: every feeder of one of
  // its endpoints in the own domain must yield.
  auto RecordWaiting(const std::string& aService, std::uint32_t aWaiting)
    -> void;

  // The same for one endpoint, as told by another host.
  auto RecordPressure(const std::string& aEndpoint, std::uint32_t aWaiting)
    -> void;

private:
  struct DispatchedEndpoint
  {
    StreamLimitState mState;
    StreamLimitSettings mSettings;
    std::uint32_t mRunning = 0;
  };

  const StreamLimiterPorts mPorts;
  absl::Mutex mMutex;
  std::map<std::string, DispatchedEndpoint> mDispatchedEndpoints
    ABSL_GUARDED_BY(mMutex); // by address
};

} // namespace mangovalve
