// Soft state of a serving daemon: the active configuration, the endpoints with
// their health and load, the peers, the teams' rate limits, and the requests
// that wait for an endpoint. Only the event loop's thread accesses it.
#pragma once

#include <deque>
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
#include "mangovalve/routing/admission.h"
#include "mangovalve/routing/crash_suspects.h"
#include "mangovalve/routing/demand_cycle.h"
#include "mangovalve/routing/endpoint_activity.h"
#include "mangovalve/routing/endpoint_estimate.h"
#include "mangovalve/routing/endpoint_limit.h"
#include "mangovalve/routing/health.h"
#include "mangovalve/routing/placement.h"
#include "mangovalve/routing/prefix_affinity.h"
#include "mangovalve/routing/slot_share.h"
#include "mangovalve/routing/warmup.h"
#include "mangovalve/serving/document.h"
#include "mangovalve/serving/endpoint_directory.h"
#include "mangovalve/serving/evacuation.h"
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
  ColdStatement mCold;
  StatementSource mColdSource = StatementSource::ThisHost;
  TimePoint mColdChangedAt{}; // when mCold last changed here
  bool mLeaving = false;      // it gets no new requests until its end
  TimePoint mRegisteredAt{};  // when its registration was last read
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
  // Requests of the peers at the endpoint by their reports at that time.
  std::uint32_t mPeersAtStatement = 0;
  EndpointRecord mRecord; // of this incarnation
  bool mRemoved = false;
  bool mEvacuated = false; // its failure domain is in mEvacuations
};

using EndpointPtr = std::shared_ptr<Endpoint>;

// A request that waits for an endpoint, ordered by priority, then by arrival.
struct QueuedRequest
{
  int mPriority = 0;
  std::uint64_t mArrivalNumber = 0;
  Wakeup* mWakeup = nullptr;
  std::uint64_t mTeam = 0; // hash of the name
  // A later start is too late for the objective.
  TimePoint mLatestStart = TimePoint::max();
  // The caller has received a part of the answer: served before the others of
  // its priority.
  bool mBegun = false;

  auto operator<(const QueuedRequest& aOther) const -> bool
  {
    return mPriority != aOther.mPriority
             ? mPriority < aOther.mPriority
             : mArrivalNumber < aOther.mArrivalNumber;
  }
};

// A slot that a request of this host has freed. Other hosts learn of it with
// the next report only.
struct FreedSlot
{
  EndpointPtr mEndpoint;
  TimePoint mAt{};
};

// Online requests of one priority for a service at this host.
struct PriorityClass
{
  ArrivalRate mArrivals;
  TeamLoads mTeams;   // by hash of the team's name; no zero entries
  TeamShares mShares; // of all hosts, renewed while requests wait
  TimePoint mSharesAsOf{};
};

struct ServicePool
{
  std::vector<EndpointPtr> mEndpoints;
  absl::flat_hash_map<std::string, EndpointPtr> mById; // the same endpoints
  std::set<QueuedRequest> mQueue;
  // Mean duration of online requests at an endpoint; 0: unknown.
  double mMeanSeconds = 0;
  // Mean time for which online requests hold a slot, without the time in the
  // queues of endpoints; 0: unknown.
  double mHoldSeconds = 0;
  // Time from the dispatch to the first event without a queue; 0: unknown.
  double mFirstEventSeconds = 0;
  // By priority; the document has few of them.
  std::map<int, PriorityClass> mClasses;
  ReturnPlan mReturns; // of callers that were refused for want of a slot
  // Callers that were refused because of the endpoints' limits are asked to
  // return one after the other; the last of them then.
  TimePoint mReturnsUntil{};
  ArrivalRate mArrivals; // of online requests at this host
  DemandCycle mDemand;   // of all hosts
  // By failure domain; none for domains of which nothing is reported.
  std::map<std::string, SlotShare> mShares;
  // Endpoints at which requests of this host have ended lately, oldest first.
  std::deque<FreedSlot> mFreed;
  ServiceTimes mTimes;
  PrefixAffinity mAffinity;
  // Arrivals at the other hosts of the own domain within about the age of their
  // reports; renewed with this host's share.
  double mUnseenPlacements = 0;
};

// Answers that this daemon keeps at the same time until they are complete.
constexpr std::size_t kMaxAnswerBytesInMemory = 16UL << 20U;

struct ServingState
{
  explicit ServingState(asio::io_context& aLoop)
    : mLoop(aLoop)
    , mPool(aLoop)
  {
    mAnswerBytes.mAccount = mMemory;
  }

  asio::io_context& mLoop;
  MemoryAccountPtr mMemory = std::make_shared<MemoryAccount>();
  std::string mHost;   // address of this daemon for its peers
  std::string mDomain; // failure domain of this daemon
  TimePoint mStartedAt = Clock::now();
  // Null until the first document is active.
  std::shared_ptr<const ServingDocument> mDocument;
  EvacuationSet mEvacuations;
  // Evacuated domains that have been checked for having endpoints or hosts.
  std::set<std::string> mCheckedEvacuations;
  EndpointDirectory mDirectory;
  std::uint64_t mSyncedRevision = 0; // of mDirectory, as applied to mPools
  // mPools has the endpoints of a whole table, so that others are new.
  bool mKnowsEndpoints = false;
  FleetLoad mFleet;
  std::map<std::string, ServicePool> mPools; // by service
  // Endpoints of all pools by Endpoint::mHash.
  absl::flat_hash_map<std::uint64_t, EndpointPtr> mEndpointOfHash;
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

// Whether a quarantined batch item with these parts may be sent as the trial of
// its quarantines. Only the owner of its partition can send an item, so the
// owners take turns, at intervals within which the evidence of a trial spreads.
auto MayTryItem(const ServingState& aState,
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

// Puts a set of evacuated domains in force if it is newer than the current one.
// Requests that wait for an endpoint which is evacuated by it are woken.
auto ApplyEvacuations(ServingState& aState,
                      EvacuationSet aSet,
                      std::string_view aSource) -> void;

// Logs a warning for each evacuated domain that has neither endpoints nor
// hosts, once after the order. Call it when the endpoints are known.
auto CheckEvacuations(ServingState& aState) -> void;

// Whether the pool has endpoints and all of them are evacuated.
auto AllEvacuated(const ServicePool& aPool) -> bool;

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
// domains are examined only if no endpoint of the own domain has a free slot or
// its endpoints are clearly slower than usual. Endpoints whose free memory the
// request does not fit are left out. Renews this host's shares of the free
// slots, but takes none from them.
auto PlaceRequest(ServingState& aState,
                  ServicePool& aPool,
                  std::span<const std::string> aTried,
                  TimePoint aNow,
                  const RequestSize& aSize = {}) -> EndpointPtr;

// Whether the request exceeds the whole memory of each endpoint of the service.
auto ExceedsMemory(const ServingState& aState,
                   const std::string& aService,
                   const RequestSize& aSize) -> bool;

// What a placement was based on, for the log.
struct PlacementInputs
{
  std::optional<double> mWorkFactor; // nullopt: not stated
  Duration mFactorAge{};
  double mFirstEventMs = 0; // expected; 0: unknown
  double mSavedMs = 0;
  std::uint32_t mKeptTokens = 0; // of the prompt, at the endpoint
};

auto InputsOf(const ServingState& aState,
              const Endpoint& aEndpoint,
              const RequestSize& aSize,
              TimePoint aNow) -> PlacementInputs;

// Records that a request of this size is sent to the endpoint.
auto NoteSentTo(ServingState& aState,
                const Endpoint& aEndpoint,
                const RequestSize& aSize,
                TimePoint aNow) -> void;

// Records that a request of this host takes a slot of the endpoint.
auto TakeSlotOf(ServicePool& aPool, const Endpoint& aEndpoint) -> void;

// Counts one request as in flight at an endpoint during its lifetime.
class ScopedInFlight
{
public:
  // aTokens are those that the request may hold; 0: unknown.
  ScopedInFlight(ServingState& aState,
                 EndpointPtr aEndpoint,
                 Workload aWork,
                 std::uint64_t aTokens = 0);
  ~ScopedInFlight();
  ScopedInFlight(const ScopedInFlight&) = delete;
  auto operator=(const ScopedInFlight&) -> ScopedInFlight& = delete;

private:
  auto Count() -> std::uint32_t&;

  ServingState& mState;
  EndpointPtr mEndpoint;
  Workload mWork;
  std::uint64_t mTokens;
};

// Idle connections that each of aHosts hosts may keep to an endpoint that
// accepts aMaxConnections in total; 0 means that the endpoint has no limit.
auto IdleConnectionShare(std::uint32_t aMaxConnections, std::size_t aHosts)
  -> std::size_t;

// The same for an endpoint, from the active document and the known hosts.
auto IdleConnectionLimit(const ServingState& aState, const Endpoint& aEndpoint)
  -> std::size_t;

// Counts a request of a team as running during its lifetime.
class ScopedTeamRun
{
public:
  ScopedTeamRun(ServingState& aState,
                std::string aService,
                int aPriority,
                std::uint64_t aTeam);
  ~ScopedTeamRun();
  ScopedTeamRun(const ScopedTeamRun&) = delete;
  auto operator=(const ScopedTeamRun&) -> ScopedTeamRun& = delete;

private:
  ServingState& mState;
  std::string mService;
  int mPriority;
  std::uint64_t mTeam;
};

// Removes the team if it has no request any more.
auto ForgetIdleTeam(PriorityClass& aClass, std::uint64_t aTeam) -> void;

// Shares of the teams of all hosts in the slots that requests of this priority
// hold. Computed anew at most every 50 ms.
auto SharesOf(const ServingState& aState,
              const std::string& aService,
              int aPriority,
              PriorityClass& aClass,
              TimePoint aNow) -> const TeamShares&;

// Fraction of a service's slots that becomes free for requests of this host.
auto HostShare(const ServingState& aState,
               const std::string& aService,
               const ServicePool& aPool,
               TimePoint aNow) -> double;

// Whether the left request is served before the right one, of the same pool.
auto IsServedBefore(const ServicePool& aPool,
                    const QueuedRequest& aLeft,
                    const QueuedRequest& aRight,
                    TimePoint aNow) -> bool;

// The request in the pool's queue that is served first. The queue must not be
// empty.
auto FirstWaiter(const ServicePool& aPool, TimePoint aNow)
  -> const QueuedRequest&;

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

// Requests that the endpoint reported and that no daemon has reported, neither
// before nor since; decays with time.
auto UnreportedLoad(const ServingState& aState,
                    const Endpoint& aEndpoint,
                    TimePoint aNow) -> double;

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
