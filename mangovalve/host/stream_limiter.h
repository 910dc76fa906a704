// Limits of concurrent batch streams at the endpoints of which this host is the
// batch dispatcher. Passes load reports, first-token delays and signals that
// online requests wait, here or on other hosts, to batch/stream_limit.h.
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
  // Registered, unfenced hosts of this host's failure domain.
  std::function<auto()->std::vector<std::string>> mDomainHosts;
  // Whether this host may use the role now; see MembershipMonitor::MayUse.
  std::function<auto(const std::string& aRole)->bool> mMayUse;
  // Notifies aHost, the batch dispatcher of aEndpoint, that aWaiting online
  // requests wait for the endpoint.
  std::function<auto(const std::string& aHost,
                     const std::string& aEndpoint,
                     std::uint32_t aWaiting)
                  ->void>
    mSendPressure;
  // Makes the batch worker read the limits at once.
  std::function<auto()->void> mWakeWorker;
};

// Thread-safe.
class StreamLimiter
{
public:
  explicit StreamLimiter(StreamLimiterPorts aPorts);

  // Limits of all live endpoints of which this host is the batch dispatcher
  // now.
  auto CurrentLimits() -> std::vector<StreamLimit>;

  // Records that a batch item starts or ends at an endpoint.
  auto RecordStart(const std::string& aEndpoint) -> void;
  auto RecordEnd(const std::string& aEndpoint) -> void;

  // Records the time from the dispatch of an online request to its first byte.
  // No effect if this host has never been the endpoint's batch dispatcher.
  auto RecordFirstByte(const std::string& aEndpoint, Duration aDelay) -> void;

  // Records that aWaiting online requests wait on this host for a service. The
  // batch dispatcher of each of the service's endpoints in this host's domain
  // is notified and must yield. No effect if aWaiting is 0.
  auto RecordWaiting(const std::string& aService, std::uint32_t aWaiting)
    -> void;

  // Records that aWaiting online requests wait for one endpoint, on this host
  // or on the host that reported it.
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
