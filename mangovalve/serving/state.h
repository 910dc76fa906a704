// Soft state of a serving daemon: the active configuration, the endpoints with
// their health and load, the peers, the teams' rate limits, and the requests
// that wait for an endpoint. Only the event loop's thread accesses it.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "mangovalve/base/random.h"
#include "mangovalve/limits/fleet_rate.h"
#include "mangovalve/loop/http_client.h"
#include "mangovalve/loop/wakeup.h"
#include "mangovalve/routing/crash_suspects.h"
#include "mangovalve/routing/demand_cycle.h"
#include "mangovalve/routing/endpoint_activity.h"
#include "mangovalve/routing/endpoint_limit.h"
#include "mangovalve/routing/health.h"
#include "mangovalve/routing/placement.h"
#include "mangovalve/routing/slot_share.h"
#include "mangovalve/serving/document.h"
#include "mangovalve/serving/endpoint_directory.h"
#include "mangovalve/serving/fleet_load.h"
#include "mangovalve/serving/protocol.h"
#include "mangovalve/serving/suspect_exchange.h"

namespace mangovalve {

// From which host the latest statement of an endpoint comes.
enum class StatementSource
{
  ThisHost, // it received the response itself
  OwnDomain,
  OtherDomain,
};

// What an endpoint has stated about itself in its responses since its start.
struct EndpointStatements
{
  std::string mId; // of the endpoint, for the log
  EndpointLimit mLimit;
  StatementSource mSource = StatementSource::ThisHost; // of mLimit.mLatest
  bool mLeaving = false;     // it gets no new requests until its end
  TimePoint mRegisteredAt{}; // when its registration was last read
};

using EndpointStatementsPtr = std::shared_ptr<EndpointStatements>;

// An endpoint as seen by this daemon. Requests in flight share ownership, so it
// can outlive its registration.
struct Endpoint
{
  Registration mRegistration;
  std::uint64_t mHash = 0; // of the id, as in load reports
  bool mOwnDomain = false; // in the failure domain of this daemon
  Health mHealth;
  EndpointStatementsPtr mStatements = std::make_shared<EndpointStatements>();
  InFlight mOwnInFlight;
  EndpointActivity mActivity;
  // Requests that the endpoint reported beyond those that the daemons' reports
  // account for, and when it reported them. The value decays with time.
  double mUnaccountedLoad = 0;
  TimePoint mUnaccountedLoadAt{};
  bool mRemoved = false;
};

using EndpointPtr = std::shared_ptr<Endpoint>;

// A request that waits for an endpoint, ordered by priority, then by arrival.
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
  absl::flat_hash_map<std::string, EndpointPtr> mById; // the same endpoints
  std::set<QueuedRequest> mQueue;
  // Mean duration of online requests at an endpoint; 0: unknown.
  double mMeanSeconds = 0;
  // Callers that were refused because of the endpoints' limits are asked to
  // return one after the other; the last of them then.
  TimePoint mReturnsUntil{};
  ArrivalRate mArrivals; // of online requests at this host
  DemandCycle mDemand;   // of all hosts
  // By failure domain; none for domains of which nothing is reported.
  std::map<std::string, SlotShare> mShares;
};

// Answers that this daemon keeps at the same time until they are complete.
constexpr std::size_t kMaxAnswerBytesInMemory = 16UL << 20U;

struct ServingState
{
  explicit ServingState(asio::io_context& aLoop)
    : mLoop(aLoop)
    , mPool(aLoop)
  {
    mAnswerBytes.mAccount = &mMemory;
  }

  asio::io_context& mLoop;
  MemoryAccount mMemory;
  std::string mHost;   // address of this daemon for its peers
  std::string mDomain; // failure domain of this daemon
  TimePoint mStartedAt = Clock::now();
  // Null until the first document is active.
  std::shared_ptr<const ServingDocument> mDocument;
  EndpointDirectory mDirectory;
  std::uint64_t mSyncedRevision = 0; // of mDirectory, as applied to mPools
  FleetLoad mFleet;
  std::map<std::string, ServicePool> mPools; // by service
  // By hash of an endpoint's id and start. Has the statements of all endpoints
  // in mPools, and of former ones that still bind this host.
  absl::flat_hash_map<std::uint64_t, EndpointStatementsPtr> mStatements;
  std::map<std::string, FleetRate> mRates; // by team
  // The same rates by hash of the team, which load reports contain.
  std::map<std::uint64_t, FleetRate*> mRateOfHash;
  ConnectionPool mPool;
  ByteBudget mAnswerBytes{ kMaxAnswerBytesInMemory }; // of online requests
  Random mRandom;
  std::uint64_t mNextWaiter = 0;
  PlacementPolicy mPlacement;
  HealthPolicy mHealth;
  // When all requests must have been answered; set once this host is stopping.
  std::optional<TimePoint> mAnswerBy;
  CrashSuspects mSuspects;
  SuspectPolicy mSuspectPolicy;
  SuspectExchange mSuspectExchange; // of mSuspects
};

// Whether a request with this deadline is certain to be answered before this
// host exits. How long recent requests took says nothing about it: endpoints
// fall silent, and a further attempt begins anew.
auto EndsBeforeExit(const ServingState& aState, TimePoint aDeadline) -> bool;

// Whether this host is the one that tries requests with a quarantined set: the
// first one in the rendezvous order of the hosts that are responsive here.
auto TriesQuarantine(const ServingState& aState, const PartSet& aSet) -> bool;

// Whether TakeTrial would succeed.
auto MayTakeTrial(const ServingState& aState,
                  std::span<const PartHash> aParts,
                  TimePoint aNow) -> bool;

// Whether a quarantined request with these parts may be sent, once, as the
// trial of its set. The trial is then used up.
auto TakeTrial(ServingState& aState,
               std::span<const PartHash> aParts,
               TimePoint aNow) -> bool;

enum class Workload
{
  Online,
  Batch,
};

// Makes a document the active one. Returns false if it is not newer than the
// active document.
auto ActivateDocument(ServingState& aState,
                      std::shared_ptr<const ServingDocument> aDocument) -> bool;

// Updates the pools from the endpoint directory, and ejections. Costs little
// while the directory is unchanged.
auto SyncPools(ServingState& aState, TimePoint aNow) -> void;

// Placement candidates for the pool's endpoints, in the same order. Usable are
// those whose limits allow aUse now.
auto Candidates(const ServingState& aState,
                const ServicePool& aPool,
                LimitedUse aUse,
                TimePoint aNow) -> std::vector<PlacementCandidate>;

// Whether the endpoint may receive new requests, apart from its limit.
auto IsAvailable(const ServingState& aState,
                 const Endpoint& aEndpoint,
                 TimePoint aNow) -> bool;

// Whether nothing can reach the endpoint's failure domain from here: its
// summaries have stopped and the store does not answer either. One of the two
// alone may be a lost gateway or an outage of the store.
auto IsCutOff(const ServingState& aState, const Endpoint& aEndpoint) -> bool;

// The same for one endpoint, without the fallback for a service whose endpoints
// are all unhealthy.
auto CandidateOf(const ServingState& aState,
                 const Endpoint& aEndpoint,
                 LimitedUse aUse,
                 TimePoint aNow) -> PlacementCandidate;

// Endpoint for an online request, outside the ids in aTried; null if online
// requests hold all slots, or the endpoints' limits allow no request now. The
// caller calls RecordSent for it before it decides about another request. Other
// domains are examined only if no endpoint of the own domain has a free slot.
// Renews this host's shares of the free slots, but takes none from them.
auto PlaceRequest(ServingState& aState,
                  ServicePool& aPool,
                  std::span<const std::string> aTried,
                  TimePoint aNow) -> EndpointPtr;

// Records that a request of this host takes a slot of the endpoint.
auto TakeSlotOf(ServicePool& aPool, const Endpoint& aEndpoint) -> void;

// Counts one request as in flight at an endpoint during its lifetime.
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

// Idle connections that each of aHosts hosts may keep to an endpoint that
// accepts aMaxConnections in total; 0 means that the endpoint has no limit.
auto IdleConnectionShare(std::uint32_t aMaxConnections, std::size_t aHosts)
  -> std::size_t;

// The same for an endpoint, from the active document and the known hosts.
auto IdleConnectionLimit(const ServingState& aState, const Endpoint& aEndpoint)
  -> std::size_t;

// Wakes the first request in the pool's queue.
auto WakeFirstWaiter(ServicePool& aPool) -> void;
auto WakeFirstWaiterOfEachPool(ServingState& aState) -> void;

auto RecordExchange(ServingState& aState,
                    Endpoint& aEndpoint,
                    ExchangeResult aResult) -> void;

// Records the load that an endpoint reported with a response.
auto RecordReportedLoad(const ServingState& aState,
                        Endpoint& aEndpoint,
                        const ReportedLoad& aLoad) -> void;

// Applies a peer's report to loads, rates and evidence on crashes, then wakes
// waiting requests.
auto ApplyPeerReport(ServingState& aState,
                     wire::LoadReportT aReport,
                     std::uint64_t aOwnIncarnation,
                     TimePoint aNow) -> void;

// Whether a team has used more than half of its burst. Peers then need the
// admissions of this host sooner.
auto AnyTeamNearRateLimit(const ServingState& aState) -> bool;

// Applies the summary of another failure domain in the same way.
auto ApplyPeerSummary(ServingState& aState,
                      wire::DomainSummaryT aSummary,
                      TimePoint aNow) -> void;

// Load report of this daemon, without the job partitions that it owns. The
// evidence in it is that of the last NoteEvidence.
auto OwnReport(const ServingState& aState, TimePoint aNow) -> wire::LoadReportT;

// Summary of this daemon's failure domain; aOwnReport includes the job
// partitions that it owns.
auto OwnSummary(const ServingState& aState,
                const wire::LoadReportT& aOwnReport,
                TimePoint aNow) -> wire::DomainSummaryT;

// Marks unresponsive peers, removes those that stay unresponsive, and adapts
// this daemon's share of the rates to the number of responsive peers.
auto UpdatePeerLiveness(ServingState& aState, TimePoint aNow) -> void;

// Counts an online request for the service.
auto CountArrival(ServingState& aState,
                  const std::string& aService,
                  TimePoint aNow) -> void;

// Samples the demand for each service. Call it several times per second.
auto SampleDemand(ServingState& aState, TimePoint aNow) -> void;

} // namespace mangovalve
