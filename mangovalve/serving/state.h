// All soft state of a serving daemon: the configuration in force, the
// endpoints with their health and load, the peers, the teams' rates, and the
// requests that wait for an endpoint. It belongs to the event loop's thread.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mangovalve/base/random.h"
#include "mangovalve/limits/fleet_rate.h"
#include "mangovalve/loop/http_client.h"
#include "mangovalve/loop/wakeup.h"
#include "mangovalve/routing/health.h"
#include "mangovalve/routing/placement.h"
#include "mangovalve/serving/document.h"
#include "mangovalve/serving/endpoint_directory.h"
#include "mangovalve/serving/fleet_load.h"
#include "mangovalve/serving/protocol.h"

namespace mangovalve {

// One endpoint as this daemon sees it. Shared with the requests that are using
// it, so that it outlives its registration.
struct Endpoint
{
  Registration mRegistration;
  std::uint64_t mHash = 0; // of the id, as in load reports
  Health mHealth;
  InFlight mOwnInFlight;
  // Requests that the endpoint reported beyond those that the fleet's reports
  // account for, and when it did; forgotten after a while.
  double mUnseen = 0;
  TimePoint mUnseenAt{};
  bool mRemoved = false;
};

using EndpointPtr = std::shared_ptr<Endpoint>;

// A request that waits for an endpoint, in order of priority, then arrival.
struct QueuedRequest
{
  int mPriority = 0;
  std::uint64_t mArrivalNumber = 0;
  Wakeup* mWakeup = nullptr;

  auto operator<(const QueuedRequest& aOther) const -> bool
  {
    return mPriority != aOther.mPriority
             ? mPriority < aOther.mPriority
             : mArrivalNumber < aOther.mArrivalNumber;
  }
};

struct ServicePool
{
  std::vector<EndpointPtr> mEndpoints;
  std::set<QueuedRequest> mQueue;
  double mMeanSeconds = 0; // of online requests at an endpoint; 0: unknown
};

struct ServingState
{
  explicit ServingState(asio::io_context& aLoop)
    : mLoop(aLoop)
    , mPool(aLoop)
  {
  }

  asio::io_context& mLoop;
  std::string mHost;   // this daemon's address for other daemons
  std::string mDomain; // its failure domain
  std::shared_ptr<const ServingDocument> mDocument; // null before the first
  EndpointDirectory mDirectory;
  FleetLoad mFleet;
  std::map<std::string, ServicePool> mPools; // by service
  std::map<std::string, FleetRate> mRates;   // by team
  // The same rates by hash of the team, as load reports name them.
  std::map<std::uint64_t, FleetRate*> mRateOfHash;
  ConnectionPool mPool;
  Random mRandom;
  std::uint64_t mNextWaiter = 0;
  PlacementPolicy mPlacement;
  HealthPolicy mHealth;
};

enum class Workload
{
  Online,
  Batch,
};

// Puts a document in force unless it is older than the one there is.
auto ActivateDocument(ServingState& aState,
                      std::shared_ptr<const ServingDocument> aDocument) -> bool;

// Makes the pools follow the directory.
auto SyncPools(ServingState& aState, TimePoint aNow) -> void;

// The pool's endpoints as candidates, in the same order.
auto Candidates(const ServingState& aState,
                const ServicePool& aPool,
                TimePoint aNow) -> std::vector<PlacementCandidate>;

// Counts a request at an endpoint while it lives.
class ScopedInFlight
{
public:
  ScopedInFlight(ServingState& aState, EndpointPtr aEndpoint, Workload aWork);
  ~ScopedInFlight();
  ScopedInFlight(const ScopedInFlight&) = delete;
  auto operator=(const ScopedInFlight&) -> ScopedInFlight& = delete;

private:
  auto Count() -> std::uint32_t&;

  ServingState& mState;
  EndpointPtr mEndpoint;
  Workload mWork;
};

// Idle connections that a host keeps to an endpoint which takes
// aMaxConnections from aHosts hosts together; 0 means that it names no limit.
auto IdleConnectionShare(std::uint32_t aMaxConnections, std::size_t aHosts)
  -> std::size_t;

// The same for an endpoint, by the document and the hosts known.
auto IdleConnectionLimit(const ServingState& aState, const Endpoint& aEndpoint)
  -> std::size_t;

// Wakes the first request that waits for the service.
auto WakeFirstWaiter(ServicePool& aPool) -> void;
auto WakeFirstWaiterOfEachPool(ServingState& aState) -> void;

auto RecordExchange(ServingState& aState,
                    Endpoint& aEndpoint,
                    ExchangeResult aResult) -> void;

// Takes in the load that an endpoint reported with an answer.
auto RecordReportedLoad(const ServingState& aState,
                        Endpoint& aEndpoint,
                        const ReportedLoad& aLoad) -> void;

// Applies a peer's report to loads and rates; wakes requests that wait.
auto ApplyPeerReport(ServingState& aState,
                     wire::LoadReportT aReport,
                     std::uint64_t aOwnIncarnation) -> void;

// Whether a team has used up half of its burst, so that the other hosts should
// hear soon what is admitted here.
auto AnyTeamNearRateLimit(const ServingState& aState) -> bool;

// This daemon's own report, without its partitions.
auto OwnReport(const ServingState& aState) -> wire::LoadReportT;

// Marks peers silent and divides the rates by who is heard.
auto UpdatePeerLiveness(ServingState& aState, TimePoint aNow) -> void;

} // namespace mangovalve
