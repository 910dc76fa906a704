// Soft state of a serving daemon.
#include "mangovalve/serving/state.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "mangovalve/base/decayed_mean.h"
#include "mangovalve/base/id.h"
#include "mangovalve/membership/rendezvous.h"
#include "mangovalve/serving/endpoint_statements.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

// Half-life of reported load that the daemons' reports do not account for;
// about the longest delay of a peer's load report.
constexpr double kUnaccountedLoadHalfLifeSeconds = 0.25;

// Fraction of an endpoint's connections that may be idle. The rest is reserved
// for connections in use: a burst needs one for each slot and each place in the
// endpoint's queue.
constexpr double kIdleConnectionFraction = 0.5;

// A peer is unresponsive after this time without a report. It spans several
// report intervals, so that dropped datagrams have no effect.
constexpr auto kUnresponsiveAfter = std::chrono::milliseconds(1500);

// Counts of admissions are repeated in reports for this time after their last
// change, so that a dropped datagram only delays them.
constexpr auto kAdmissionReportDuration = std::chrono::seconds(4);

// An unresponsive peer is removed after this time without a report. A short
// network partition or pause must not hand its share of the rates to others.
constexpr auto kRemoveAfter = std::chrono::seconds(12);

auto UnaccountedLoad(const Endpoint& aEndpoint, TimePoint aNow) -> double
{
  const std::chrono::duration<double> age = aNow - aEndpoint.mUnaccountedLoadAt;
  return aEndpoint.mUnaccountedLoad *
         std::exp2(-std::max(0.0, age.count()) /
                   kUnaccountedLoadHalfLifeSeconds);
}

auto TotalInFlight(const ServingState& aState, const Endpoint& aEndpoint)
  -> InFlight
{
  const auto peers = PeerInFlight(aState.mFleet, aEndpoint.mHash);
  return InFlight{ aEndpoint.mOwnInFlight.mOnline + peers.mOnline,
                   aEndpoint.mOwnInFlight.mBatch + peers.mBatch };
}

// Whether the endpoint finishes its requests and then exits.
auto IsLeaving(const Endpoint& aEndpoint) -> bool
{
  return aEndpoint.mRegistration.mLeaving || aEndpoint.mStatements->mLeaving;
}

// Whether the endpoint may receive new requests, apart from its health and its
// limit.
auto MayGetRequests(const ServingState& aState, const Endpoint& aEndpoint)
  -> bool
{
  return !aEndpoint.mEvacuated && !IsLeaving(aEndpoint) &&
         !IsCutOff(aState, aEndpoint);
}

auto LogEvacuation(const ServingState& aState,
                   const std::string& aChange,
                   const std::string& aDomain,
                   std::string_view aSource) -> void
{
  FindCounter("mangovalve_evacuations_total", { { "change", aChange } }).Add();
  LogEvent(Severity::Info,
           absl::StrCat("evacuation_", aChange),
           { { "domain", aDomain },
             { "as_of", absl::StrCat(aState.mEvacuations.mAsOf.value_or(0)) },
             { "source", std::string(aSource) } });
}

// Whether a host or an endpoint of the failure domain is known.
auto IsKnownDomain(const ServingState& aState, const std::string& aDomain)
  -> bool
{
  const auto& peers = aState.mFleet.mPeers;
  const auto& endpoints = aState.mDirectory.mEntries;
  return aDomain == aState.mDomain ||
         aState.mFleet.mDomains.contains(aDomain) ||
         std::any_of(peers.begin(),
                     peers.end(),
                     [&](const auto& aPeer) {
                       return aPeer.second.mDomain == aDomain;
                     }) ||
         std::any_of(
           endpoints.begin(), endpoints.end(), [&](const auto& aEntry) {
             return aEntry.second.mRegistration.mDomain == aDomain;
           });
}

auto IsIn(std::span<const std::string> aIds, const std::string& aId) -> bool
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

// Key of the endpoint's incarnation in PrefixAffinity.
auto KeptHash(const Endpoint& aEndpoint) -> std::uint64_t
{
  return StableHash(
    aEndpoint.mRegistration.mId,
    static_cast<std::uint64_t>(aEndpoint.mRegistration.mStartedMs));
}

// Adds or updates the endpoint of a registration.
auto SyncEndpoint(ServingState& aState,
                  const Registration& aRegistration,
                  TimePoint aNow) -> void
{
  auto& pool = aState.mPools[aRegistration.mService];
  auto& endpoint = pool.mById[aRegistration.mId];
  const auto isNew =
    !endpoint || endpoint->mRegistration.mStartedMs != aRegistration.mStartedMs;
  const auto changed = isNew || endpoint->mRegistration != aRegistration;
  // Health and load of an earlier incarnation with the same id do not apply to
  // this one.
  if (endpoint &&
      endpoint->mRegistration.mStartedMs != aRegistration.mStartedMs) {
    endpoint->mHealth = Health{};
    endpoint->mUnaccountedLoad = 0;
    ForgetEndpoint(pool.mAffinity, KeptHash(*endpoint));
    endpoint->mRecord.mWorkFactor = {};
    endpoint->mRecord.mRunning.reset();
    endpoint->mRecord.mWaiting.reset();
    endpoint->mRecord.mSlots.reset();
  }
  if (!endpoint) {
    endpoint = std::make_shared<Endpoint>();
    endpoint->mHash = StableHash(aRegistration.mId);
    endpoint->mUnaccountedLoadAt = aNow;
    pool.mEndpoints.push_back(endpoint);
    LogEvent(Severity::Info,
             "endpoint_added",
             { { "endpoint", aRegistration.mId },
               { "service", aRegistration.mService },
               { "address", aRegistration.mAddress },
               { "domain", aRegistration.mDomain } });
  } else if (aRegistration.mLeaving && !endpoint->mRegistration.mLeaving) {
    LogEvent(Severity::Info,
             "endpoint_leaving",
             { { "endpoint", aRegistration.mId } });
  }
  endpoint->mRegistration = aRegistration;
  endpoint->mStatements = StatementsOf(aState, aRegistration, aNow);
  endpoint->mOwnDomain = aRegistration.mDomain == aState.mDomain;
  endpoint->mEvacuated =
    aState.mEvacuations.mDomains.contains(aRegistration.mDomain);
  if (changed) {
    RecordRegistration(aState, *endpoint, isNew, aNow);
  }
}

auto RemoveMissingEndpoints(ServingState& aState) -> void
{
  for (auto& [name, entry] : aState.mPools) {
    const auto& service = name;
    auto& pool = entry;
    auto& byId = pool.mById;
    std::erase_if(pool.mEndpoints, [&](const EndpointPtr& aEndpoint) {
      const auto& id = aEndpoint->mRegistration.mId;
      const auto found = aState.mDirectory.mEntries.find(id);
      const auto missing = found == aState.mDirectory.mEntries.end() ||
                           found->second.mRegistration.mService != service;
      if (missing) {
        aEndpoint->mRemoved = true;
        byId.erase(id);
        ForgetEndpoint(pool.mAffinity, KeptHash(*aEndpoint));
        aState.mPool.CloseIdleConnections(aEndpoint->mRegistration.mAddress);
        LogEvent(Severity::Info, "endpoint_removed", { { "endpoint", id } });
      }
      return missing;
    });
  }
}

auto IndexByHash(ServingState& aState) -> void
{
  aState.mEndpointOfHash.clear();
  for (const auto& [service, pool] : aState.mPools) {
    for (const auto& endpoint : pool.mEndpoints) {
      aState.mEndpointOfHash[endpoint->mHash] = endpoint;
    }
  }
}

// Resets what all rates know about the admissions that a host reported.
auto ResetBaselines(ServingState& aState, const std::string& aHost) -> void
{
  for (auto& [team, rate] : aState.mRates) {
    ResetPeerBaseline(rate, aHost);
  }
}

auto ApplyPeerEvidence(ServingState& aState,
                       const wire::CrashEvidenceT* aEvidence,
                       const std::string& aHost,
                       TimePoint aNow) -> void
{
  if (aEvidence != nullptr) {
    ApplyEvidence(
      aState.mSuspects, aState.mSuspectPolicy, *aEvidence, aHost, aNow);
  }
}

auto ApplyPeerEvacuations(ServingState& aState,
                          const wire::EvacuationsT* aEvacuations,
                          const std::string& aHost) -> void
{
  if (aEvacuations != nullptr) {
    ApplyEvacuations(aState, FromWire(*aEvacuations), aHost);
  }
}

auto ShareOfRates(const ServingState& aState) -> double
{
  const auto responsive =
    static_cast<double>(ResponsivePeerCount(aState.mFleet) + 1);
  const auto registered = static_cast<double>(aState.mFleet.mPeers.size() + 1);
  return responsive / registered;
}

// Age up to which this host's share of the own domain's slots is used; about
// the interval of the peers' reports.
constexpr auto kOwnShareInterval = std::chrono::milliseconds(80);

// Mean time for which a request that a peer has placed remains unknown here:
// half the interval of its reports, and their transport.
constexpr double kUnseenSeconds = 0.05;

// Usual age of a summary when the next one arrives.
constexpr auto kOtherShareInterval = std::chrono::milliseconds(300);

// A domain with a smaller fraction of its slots left for online requests
// competes for slots of other domains.
constexpr double kShortFraction = 0.1;

// Age up to which the shares of teams are used; about the interval of the
// peers' reports.
constexpr auto kTeamShareInterval = std::chrono::milliseconds(50);

// Largest teams whose shares are computed; the others are not held back.
constexpr std::size_t kMaxSharingTeams = 64;

// While a smaller fraction of the own domain's slots is free, a host uses the
// slots that it has freed first. With more, that would keep a steady caller at
// one endpoint.
constexpr double kScarceFraction = 0.25;

// Whether requests hold a slot for so long that a report tells for a while
// which slots are free. A slot that is free again several times between two
// reports must not count once only.
auto HoldsSlots(const ServicePool& aPool, Duration aReportInterval) -> bool
{
  constexpr double kMinIntervals = 2;
  const std::chrono::duration<double> interval = aReportInterval;
  return aPool.mMeanSeconds >= kMinIntervals * interval.count();
}

struct DomainRoom
{
  double mSlots = 0;
  double mFree = 0; // for online requests
};

// Room of each failure domain of the pool, by the same candidates.
auto RoomByDomain(const ServicePool& aPool,
                  std::span<const PlacementCandidate> aCandidates)
  -> std::map<std::string, DomainRoom>
{
  std::map<std::string, DomainRoom> rooms;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (aCandidates[i].mUsable) {
      auto& room = rooms[aPool.mEndpoints[i]->mRegistration.mDomain];
      room.mSlots += aCandidates[i].mSlots;
      room.mFree += std::max(0.0, ReclaimableSlots(aCandidates[i]));
    }
  }
  return rooms;
}

// Renews the shares of the free slots of the other domains of which there are
// newer summaries.
auto RenewOtherShares(ServingState& aState,
                      ServicePool& aPool,
                      std::span<const PlacementCandidate> aCandidates) -> void
{
  const auto& fleet = aState.mFleet;
  auto due = false;
  for (const auto& [name, domain] : fleet.mDomains) {
    if (domain.mUnresponsive || domain.mLastReportAt == TimePoint{} ||
        !HoldsSlots(aPool, kOtherShareInterval)) {
      aPool.mShares.erase(name);
    } else {
      due = due || aPool.mShares[name].mAsOf != domain.mLastReportAt;
    }
  }
  if (!due) {
    return;
  }
  const auto rooms = RoomByDomain(aPool, aCandidates);
  const auto service = StableHash(aPool.mEndpoints[0]->mRegistration.mService);
  const auto own = ArrivalsPerSecond(aPool.mArrivals, Clock::now());
  auto competing = DomainArrivals(fleet, aState.mDomain, service);
  const auto isShort = [](const DomainRoom& aRoom) {
    return aRoom.mFree < kShortFraction * aRoom.mSlots;
  };
  for (const auto& [name, room] : rooms) {
    if (name != aState.mDomain && isShort(room)) {
      competing += DomainArrivals(fleet, name, service);
    }
  }
  for (auto& [name, share] : aPool.mShares) {
    const auto room = rooms.find(name);
    const std::chrono::duration<double> interval = kOtherShareInterval;
    // The hosts there see their free slots sooner.
    const auto taken = DomainArrivals(fleet, name, service) * interval.count();
    const auto found = fleet.mDomains.find(name);
    if (found != fleet.mDomains.end() &&
        share.mAsOf != found->second.mLastReportAt) {
      RenewShare(share,
                 room == rooms.end() ? 0 : room->second.mFree - taken,
                 { own, competing, kOtherShareInterval },
                 found->second.mLastReportAt,
                 aState.mRandom);
    }
  }
}

// Renews the share of the own domain's free slots.
auto RenewOwnShare(ServingState& aState, ServicePool& aPool, TimePoint aNow)
  -> SlotShare&
{
  auto& share = aPool.mShares[aState.mDomain];
  if (aNow < share.mAsOf + kOwnShareInterval) {
    return share;
  }
  auto free = 0.0;
  auto slots = 0.0;
  for (const auto& endpoint : aPool.mEndpoints) {
    if (endpoint->mOwnDomain) {
      const auto candidate =
        CandidateOf(aState, *endpoint, LimitedUse::Needed, aNow);
      if (candidate.mUsable) {
        free += std::max(0.0, ReclaimableSlots(candidate));
        slots += candidate.mSlots;
      }
    }
  }
  const auto service = StableHash(aPool.mEndpoints[0]->mRegistration.mService);
  const auto own = ArrivalsPerSecond(aPool.mArrivals, aNow);
  const auto others = DomainArrivals(aState.mFleet, aState.mDomain, service);
  const auto competing = HoldsSlots(aPool, kOwnShareInterval) ? others : 0;
  RenewShare(
    share, free, { own, competing, kOwnShareInterval }, aNow, aState.mRandom);
  aPool.mUnseenPlacements = others * kUnseenSeconds;
  share.mScarce = free < kScarceFraction * slots;
  return share;
}

// Memory of the service's endpoints in tokens; 0: undeclared.
auto MemoryTokens(const ServingState& aState, const std::string& aService)
  -> std::uint64_t
{
  if (!aState.mDocument) {
    return 0;
  }
  const auto service = aState.mDocument->mServices.find(aService);
  return service == aState.mDocument->mServices.end()
           ? 0
           : service->second.mMemoryTokens;
}

// Memory assumed for endpoints that declare none, when kept parts of prompts
// are looked up.
constexpr double kAssumedMemoryTokens = 100000;

// What the placement of one request takes into account for every candidate.
struct SizedRequest
{
  const RequestSize& mSize;
  std::uint64_t mMemoryTokens = 0;
  std::vector<KeptTokens> mKept;
};

auto SizedRequestOf(const ServingState& aState,
                    const ServicePool& aPool,
                    const RequestSize& aSize) -> SizedRequest
{
  const auto& service = aPool.mEndpoints[0]->mRegistration.mService;
  SizedRequest request{ aSize, MemoryTokens(aState, service), {} };
  if (!aSize.mSharedParts.empty()) {
    const auto memory = request.mMemoryTokens > 0
                          ? static_cast<double>(request.mMemoryTokens)
                          : kAssumedMemoryTokens;
    request.mKept = FindKept(
      aPool.mAffinity, aSize.mSharedParts, aSize.mSharedPartTokens, memory);
  }
  return request;
}

auto ConditionsOf(const Endpoint& aEndpoint,
                  std::span<const KeptTokens> aKept,
                  TimePoint aNow) -> EndpointConditions
{
  EndpointConditions conditions;
  conditions.mWorkFactor =
    CurrentWorkFactor(aEndpoint.mRecord.mWorkFactor, aNow);
  if (!aKept.empty()) {
    const auto hash = KeptHash(aEndpoint);
    for (const auto& kept : aKept) {
      conditions.mKeptTokens =
        kept.mEndpoint == hash ? kept.mTokens : conditions.mKeptTokens;
    }
  }
  return conditions;
}

// Applies the request's size to the candidates, which belong to aEndpoints in
// the same order.
auto ApplySize(std::vector<PlacementCandidate>& aCandidates,
               std::span<const EndpointPtr> aEndpoints,
               const ServicePool& aPool,
               const SizedRequest& aRequest,
               TimePoint aNow) -> void
{
  const auto timed = !aRequest.mKept.empty() ||
                     std::any_of(aCandidates.begin(),
                                 aCandidates.end(),
                                 [](const PlacementCandidate& aCandidate) {
                                   return aCandidate.mRelativeTime > 0;
                                 });
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    auto& candidate = aCandidates[i];
    const auto& endpoint = *aEndpoints[i];
    candidate.mUsable =
      candidate.mUsable &&
      FitsMemory(endpoint.mRecord,
                 aPool.mTimes,
                 candidate.mOnline + candidate.mBatch + candidate.mUnseen,
                 aRequest.mMemoryTokens,
                 aRequest.mSize);
    if (timed && candidate.mUsable) {
      candidate.mRelativeTime =
        RelativeTime(aPool.mTimes,
                     ConditionsOf(endpoint, aRequest.mKept, aNow),
                     aRequest.mSize);
    }
  }
}

// Candidates of all domains for one request, with those at which it must not be
// placed.
struct FleetCandidates
{
  std::vector<PlacementCandidate> mCandidates; // as ServicePool::mEndpoints
  std::vector<std::size_t> mExcluded;
};

auto FleetCandidatesOf(ServingState& aState,
                       ServicePool& aPool,
                       std::span<const std::string> aTried,
                       const SizedRequest& aRequest,
                       TimePoint aNow) -> FleetCandidates
{
  FleetCandidates fleet;
  fleet.mCandidates = Candidates(aState, aPool, LimitedUse::Needed, aNow);
  RenewOtherShares(aState, aPool, fleet.mCandidates);
  for (std::size_t i = 0; i < aPool.mEndpoints.size(); ++i) {
    const auto& endpoint = *aPool.mEndpoints[i];
    const auto share = aPool.mShares.find(endpoint.mRegistration.mDomain);
    // Unhealthy endpoints are candidates only if there are no others.
    const auto used = share != aPool.mShares.end() &&
                      !MayTakeSlot(share->second) &&
                      IsAvailable(aState, endpoint, aNow);
    if (used || IsIn(aTried, endpoint.mRegistration.mId)) {
      fleet.mExcluded.push_back(i);
    }
  }
  ApplySize(fleet.mCandidates, aPool.mEndpoints, aPool, aRequest, aNow);
  return fleet;
}

// Excludes the endpoints with limits: requests that have a free slot elsewhere
// leave the limits to those that have not.
auto ExcludeLimited(FleetCandidates& aFleet, const ServicePool& aPool) -> void
{
  for (std::size_t i = 0; i < aPool.mEndpoints.size(); ++i) {
    if (IsLimited(aPool.mEndpoints[i]->mStatements->mLimit)) {
      aFleet.mExcluded.push_back(i);
    }
  }
}

// Number of endpoints whose work factor is sent with one load report, and with
// one summary to another domain, where bytes are dear.
constexpr std::size_t kMaxReportedSpeeds = 64;
constexpr std::size_t kMaxSummarySpeeds = 32;

// Statements older than this are not passed on.
constexpr auto kMaxSpeedAge = std::chrono::seconds(1);

// Work factors within this ratio of 1 are not sent to other domains.
constexpr double kClearRatio = 1.25;

// A work factor that this host knows and that is newer than this is not
// replaced by its absence from a summary.
constexpr auto kSummaryDelay = std::chrono::milliseconds(500);

auto AgeMillis(TimePoint aAt, TimePoint aNow) -> std::uint32_t
{
  const auto age =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aAt).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, age));
}

auto OwnSpeeds(const ServingState& aState, TimePoint aNow)
  -> std::vector<wire::EndpointSpeed>
{
  std::vector<wire::EndpointSpeed> speeds;
  for (const auto& [hash, endpoint] : aState.mEndpointOfHash) {
    const auto& factor = endpoint->mRecord.mWorkFactor;
    if (factor.mOwnStatedAt != TimePoint{} &&
        factor.mOwnStatedAt >= aNow - kMaxSpeedAge &&
        speeds.size() < kMaxReportedSpeeds) {
      speeds.emplace_back(hash,
                          static_cast<float>(factor.mOwnStated),
                          AgeMillis(factor.mOwnStatedAt, aNow));
    }
  }
  return speeds;
}

// The endpoints of the own domain whose work factor differs clearly from 1, the
// slowest first.
auto DomainSpeeds(const ServingState& aState, TimePoint aNow)
  -> std::vector<wire::EndpointSpeed>
{
  std::vector<wire::EndpointSpeed> speeds;
  for (const auto& [hash, endpoint] : aState.mEndpointOfHash) {
    const auto& factor = endpoint->mRecord.mWorkFactor;
    const auto current = CurrentWorkFactor(factor, aNow);
    const auto clear = current > kClearRatio || current < 1 / kClearRatio;
    if (endpoint->mOwnDomain && clear) {
      speeds.emplace_back(
        hash, static_cast<float>(current), AgeMillis(factor.mAt, aNow));
    }
  }
  std::sort(
    speeds.begin(),
    speeds.end(),
    [](const wire::EndpointSpeed& aLeft, const wire::EndpointSpeed& aRight) {
      return aLeft.work_factor() > aRight.work_factor();
    });
  speeds.resize(std::min(speeds.size(), kMaxSummarySpeeds));
  return speeds;
}

auto ApplySpeeds(ServingState& aState,
                 std::span<const wire::EndpointSpeed> aSpeeds,
                 TimePoint aNow) -> void
{
  for (const auto& speed : aSpeeds) {
    const auto found = aState.mEndpointOfHash.find(speed.endpoint());
    const auto age = std::chrono::milliseconds(speed.age_ms());
    if (found != aState.mEndpointOfHash.end() &&
        age <= std::chrono::seconds(10)) {
      NoteWorkFactor(
        found->second->mRecord.mWorkFactor, speed.work_factor(), aNow - age);
    }
  }
}

// Endpoints of a domain that its summary does not list work as usual.
auto ApplyUsualSpeeds(ServingState& aState,
                      std::span<const wire::EndpointSpeed> aListed,
                      const std::string& aDomain,
                      TimePoint aNow) -> void
{
  for (const auto& entry : aState.mEndpointOfHash) {
    const auto& endpoint = entry.second;
    auto& factor = endpoint->mRecord.mWorkFactor;
    const auto isListed =
      std::any_of(aListed.begin(), aListed.end(), [&](const auto& aSpeed) {
        return aSpeed.endpoint() == entry.first;
      });
    if (!isListed && endpoint->mRegistration.mDomain == aDomain &&
        IsKnown(factor, aNow) && factor.mAt < aNow - kSummaryDelay) {
      NoteWorkFactor(factor, 1, aNow);
    }
  }
}

// The endpoint of a slot that a request of this host has freed and that no
// other host can have taken yet; null if there is none. Used while slots are
// short: of the slots that all hosts see, many are taken twice.
auto FindFreedSlot(const ServingState& aState,
                   ServicePool& aPool,
                   std::span<const std::string> aTried,
                   const SizedRequest& aRequest,
                   TimePoint aNow) -> EndpointPtr
{
  auto& freed = aPool.mFreed;
  while (!freed.empty() && freed.front().mAt < aNow - kOwnShareInterval) {
    freed.pop_front();
  }
  for (auto slot = freed.rbegin(); slot != freed.rend(); ++slot) {
    const auto& endpoint = slot->mEndpoint;
    if (endpoint->mRemoved || IsIn(aTried, endpoint->mRegistration.mId)) {
      continue;
    }
    std::vector<PlacementCandidate> candidate{ CandidateOf(
      aState, *endpoint, LimitedUse::Needed, aNow) };
    ApplySize(candidate, { &endpoint, 1 }, aPool, aRequest, aNow);
    if (candidate[0].mUsable && ReclaimableSlots(candidate[0]) > 0) {
      return endpoint;
    }
  }
  return nullptr;
}

auto TrialRole(const PartSet& aSet) -> std::string
{
  return absl::StrCat("trial ", absl::StrJoin(aSet, " "));
}

// The host that tries requests with the quarantined set.
auto TrialHost(const ServingState& aState, const PartSet& aSet) -> std::string
{
  std::vector<std::string> hosts{ aState.mHost };
  for (const auto& [host, peer] : aState.mFleet.mPeers) {
    if (!peer.mUnresponsive) {
      hosts.push_back(host);
    }
  }
  return RendezvousOwner(TrialRole(aSet), hosts);
}

// Number of hosts that try the set before this one: the one that tries
// requests, and the owners of job partitions that are preferred to this one.
auto ItemTrialTurn(const ServingState& aState, const PartSet& aSet)
  -> std::size_t
{
  const auto role = TrialRole(aSet);
  const auto first = TrialHost(aState, aSet);
  const auto own = RendezvousScore(role, aState.mHost);
  std::size_t before = 0;
  for (const auto& [host, peer] : aState.mFleet.mPeers) {
    const auto owner = !peer.mUnresponsive && !peer.mLast.partitions.empty();
    const auto preferred = owner && RendezvousScore(role, host) > own;
    before += preferred || host == first ? 1 : 0;
  }
  return before;
}

} // namespace

auto ActivateDocument(ServingState& aState,
                      std::shared_ptr<const ServingDocument> aDocument) -> bool
{
  if (aState.mDocument && aDocument->mVersion <= aState.mDocument->mVersion) {
    return false;
  }
  const auto now = Clock::now();
  for (const auto& [name, team] : aDocument->mTeams) {
    SetLimits(aState.mRates[name], team.mRate, team.mBurst, now);
  }
  std::erase_if(aState.mRates, [&](const auto& aRate) {
    return !aDocument->mTeams.contains(aRate.first);
  });
  aState.mRateOfHash.clear();
  for (auto& [name, rate] : aState.mRates) {
    aState.mRateOfHash[StableHash(name)] = &rate;
  }
  LogEvent(Severity::Info,
           "document_in_force",
           { { "version", absl::StrCat(aDocument->mVersion) },
             { "routes", absl::StrCat(aDocument->mRoutes.size()) },
             { "teams", absl::StrCat(aDocument->mTeams.size()) } });
  aState.mDocument = std::move(aDocument);
  WakeFirstWaiterOfEachPool(aState);
  return true;
}

auto SyncPools(ServingState& aState, TimePoint aNow) -> void
{
  static_cast<void>(ApplyRemovals(aState.mDirectory, aNow));
  if (aState.mSyncedRevision != aState.mDirectory.mRevision) {
    RemoveMissingEndpoints(aState);
    for (const auto& [id, entry] : aState.mDirectory.mEntries) {
      SyncEndpoint(aState, entry.mRegistration, aNow);
    }
    ForgetStatements(aState, aNow);
    IndexByHash(aState);
    aState.mSyncedRevision = aState.mDirectory.mRevision;
    UpdateLimitParts(aState, aNow);
  }
  aState.mKnowsEndpoints = aState.mDirectory.mLoaded;
  for (auto& [service, pool] : aState.mPools) {
    std::vector<Health*> healths;
    for (const auto& endpoint : pool.mEndpoints) {
      healths.push_back(&endpoint->mHealth);
    }
    UpdateEjections(healths, aState.mHealth, aNow);
  }
}

auto ApplyEvacuations(ServingState& aState,
                      EvacuationSet aSet,
                      std::string_view aSource) -> void
{
  if (!Supersedes(aSet, aState.mEvacuations)) {
    return;
  }
  const auto change = CompareEvacuations(aState.mEvacuations, aSet);
  aState.mEvacuations = std::move(aSet);
  for (const auto& domain : change.mOrdered) {
    LogEvacuation(aState, "ordered", domain, aSource);
  }
  for (const auto& domain : change.mRevoked) {
    LogEvacuation(aState, "revoked", domain, aSource);
    aState.mCheckedEvacuations.erase(domain);
  }
  if (change.mOrdered.empty() && change.mRevoked.empty()) {
    return;
  }
  const auto& domains = aState.mEvacuations.mDomains;
  for (auto& [service, pool] : aState.mPools) {
    for (const auto& endpoint : pool.mEndpoints) {
      endpoint->mEvacuated = domains.contains(endpoint->mRegistration.mDomain);
    }
  }
  WakeFirstWaiterOfEachPool(aState);
}

auto CheckEvacuations(ServingState& aState) -> void
{
  for (const auto& domain : aState.mEvacuations.mDomains) {
    if (!aState.mCheckedEvacuations.insert(domain).second) {
      continue;
    }
    if (!IsKnownDomain(aState, domain)) {
      LogEvent(Severity::Warn,
               "evacuation_of_unknown_domain",
               { { "domain", domain } });
    }
  }
}

auto AllEvacuated(const ServicePool& aPool) -> bool
{
  return !aPool.mEndpoints.empty() &&
         std::all_of(
           aPool.mEndpoints.begin(),
           aPool.mEndpoints.end(),
           [](const EndpointPtr& aEndpoint) { return aEndpoint->mEvacuated; });
}

auto IsAvailable(const ServingState& aState,
                 const Endpoint& aEndpoint,
                 TimePoint aNow) -> bool
{
  return MayGetRequests(aState, aEndpoint) && Usable(aEndpoint.mHealth, aNow);
}

auto Candidates(const ServingState& aState,
                const ServicePool& aPool,
                LimitedUse aUse,
                TimePoint aNow) -> std::vector<PlacementCandidate>
{
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(aPool.mEndpoints.size());
  auto usable = false;
  for (const auto& endpoint : aPool.mEndpoints) {
    candidates.push_back(CandidateOf(aState, *endpoint, aUse, aNow));
    usable = usable || IsAvailable(aState, *endpoint, aNow);
  }
  // If no endpoint is healthy, try those that can be reached instead of
  // refusing every request. Evacuated ones are not tried.
  for (std::size_t i = 0; !usable && i < candidates.size(); ++i) {
    const auto& endpoint = *aPool.mEndpoints[i];
    candidates[i].mUsable = MayGetRequests(aState, endpoint) &&
                            MaySend(endpoint.mStatements->mLimit, aUse, aNow);
  }
  return candidates;
}

auto IsCutOff(const ServingState& aState, const Endpoint& aEndpoint) -> bool
{
  if (aEndpoint.mOwnDomain || aState.mDirectory.mStoreReachable) {
    return false;
  }
  const auto& domains = aState.mFleet.mDomains;
  const auto domain = domains.find(aEndpoint.mRegistration.mDomain);
  return domain != domains.end() && domain->second.mUnresponsive;
}

auto CandidateOf(const ServingState& aState,
                 const Endpoint& aEndpoint,
                 LimitedUse aUse,
                 TimePoint aNow) -> PlacementCandidate
{
  const auto total = TotalInFlight(aState, aEndpoint);
  PlacementCandidate candidate;
  candidate.mOwnDomain = aEndpoint.mOwnDomain;
  candidate.mUsable = IsAvailable(aState, aEndpoint, aNow) &&
                      MaySend(aEndpoint.mStatements->mLimit, aUse, aNow);
  candidate.mSlots = aEndpoint.mRegistration.mSlots;
  candidate.mOnline = total.mOnline;
  candidate.mBatch = total.mBatch;
  candidate.mUnseen = UnaccountedLoad(aEndpoint, aNow);
  candidate.mSlowStart =
    SlowStartShare(aEndpoint.mHealth, aState.mHealth, aNow);
  const auto& factor = aEndpoint.mRecord.mWorkFactor;
  candidate.mRelativeTime =
    IsKnown(factor, aNow) ? CurrentWorkFactor(factor, aNow) : 0;
  return candidate;
}

auto PlaceRequest(ServingState& aState,
                  ServicePool& aPool,
                  std::span<const std::string> aTried,
                  TimePoint aNow,
                  const RequestSize& aSize) -> EndpointPtr
{
  if (aPool.mEndpoints.empty()) {
    return nullptr;
  }
  const auto request = SizedRequestOf(aState, aPool, aSize);
  const auto& own = RenewOwnShare(aState, aPool, aNow);
  if (own.mScarce) {
    if (auto freed = FindFreedSlot(aState, aPool, aTried, request, aNow)) {
      return freed;
    }
  }
  const auto mayUseOwn = MayTakeSlot(own);
  auto policy = aState.mPlacement;
  policy.mUnseenPlacements =
    std::max(policy.mUnseenPlacements, aPool.mUnseenPlacements);
  std::vector<PlacementCandidate> near;
  std::vector<EndpointPtr> nearEndpoints;
  for (const auto& endpoint : aPool.mEndpoints) {
    if (mayUseOwn && endpoint->mOwnDomain &&
        !IsIn(aTried, endpoint->mRegistration.mId)) {
      near.push_back(CandidateOf(aState, *endpoint, LimitedUse::Surplus, aNow));
      nearEndpoints.push_back(endpoint);
    }
  }
  ApplySize(near, nearEndpoints, aPool, request, aNow);
  std::optional<FleetCandidates> fleet;
  const auto ownTime = MeanTimeOnFreeSlot(near, policy);
  if (ownTime && MayLeaveDomainEarly(*ownTime, policy)) {
    fleet = FleetCandidatesOf(aState, aPool, aTried, request, aNow);
    auto unlimited = *fleet;
    ExcludeLimited(unlimited, aPool);
    if (const auto place = PlaceEarlyInOtherDomain(unlimited.mCandidates,
                                                   unlimited.mExcluded,
                                                   *ownTime,
                                                   policy,
                                                   aState.mRandom)) {
      return aPool.mEndpoints[*place];
    }
  }
  if (const auto place = PlaceOnFreeSlot(near, policy, aState.mRandom)) {
    return nearEndpoints[*place];
  }
  if (!fleet) {
    fleet = FleetCandidatesOf(aState, aPool, aTried, request, aNow);
  }
  const auto place =
    PlaceOnline(fleet->mCandidates, fleet->mExcluded, policy, aState.mRandom);
  return place ? aPool.mEndpoints[*place] : nullptr;
}

auto ExceedsMemory(const ServingState& aState,
                   const std::string& aService,
                   const RequestSize& aSize) -> bool
{
  const auto memory = MemoryTokens(aState, aService);
  return memory > 0 && TokensOf(aSize) > memory;
}

auto InputsOf(const ServingState& aState,
              const Endpoint& aEndpoint,
              const RequestSize& aSize,
              TimePoint aNow) -> PlacementInputs
{
  PlacementInputs inputs;
  const auto found = aState.mPools.find(aEndpoint.mRegistration.mService);
  if (found == aState.mPools.end() || found->second.mEndpoints.empty()) {
    return inputs;
  }
  const auto& pool = found->second;
  const auto request = SizedRequestOf(aState, pool, aSize);
  const auto conditions = ConditionsOf(aEndpoint, request.mKept, aNow);
  const auto& factor = aEndpoint.mRecord.mWorkFactor;
  if (IsKnown(factor, aNow)) {
    inputs.mWorkFactor = conditions.mWorkFactor;
    inputs.mFactorAge = aNow - factor.mAt;
  }
  inputs.mFirstEventMs = ExpectedFirstEvent(pool.mTimes, conditions, aSize);
  inputs.mSavedMs = SavedMillis(pool.mTimes, conditions);
  inputs.mKeptTokens = conditions.mKeptTokens;
  return inputs;
}

auto NoteSentTo(ServingState& aState,
                const Endpoint& aEndpoint,
                const RequestSize& aSize,
                TimePoint aNow) -> void
{
  auto& pool = aState.mPools[aEndpoint.mRegistration.mService];
  const auto tokens = static_cast<double>(TokensOf(aSize));
  if (tokens > 0) {
    UpdateDecayedMean(pool.mTimes.mTokens, tokens);
  }
  if (!aSize.mSharedParts.empty()) {
    // The other hosts are assumed to send requests of the same size.
    const auto own = std::max(0.1, ArrivalsPerSecond(pool.mArrivals, aNow));
    const auto others = pool.mUnseenPlacements / kUnseenSeconds;
    NotePrefixSent(pool.mAffinity,
                   KeptHash(aEndpoint),
                   aSize.mSharedParts,
                   tokens * (own + others) / own);
  }
}

auto EndsBeforeExit(const ServingState& aState, TimePoint aDeadline) -> bool
{
  return !aState.mAnswerBy || aDeadline <= *aState.mAnswerBy;
}

auto TriesQuarantine(const ServingState& aState, const PartSet& aSet) -> bool
{
  return TrialHost(aState, aSet) == aState.mHost;
}

auto MayTakeTrial(const ServingState& aState,
                  std::span<const PartHash> aParts,
                  TimePoint aNow) -> bool
{
  const auto due =
    DueTrial(aState.mSuspects, aParts, aState.mSuspectPolicy, aNow);
  return due && TriesQuarantine(aState, *due);
}

auto TakeTrial(ServingState& aState,
               std::span<const PartHash> aParts,
               TimePoint aNow) -> bool
{
  return TakeTrial(aState.mSuspects,
                   aParts,
                   aState.mSuspectPolicy,
                   MayTakeTrial(aState, aParts, aNow),
                   aNow);
}

auto MayTryItem(const ServingState& aState,
                std::span<const PartHash> aParts,
                TimePoint aNow) -> bool
{
  const auto& policy = aState.mSuspectPolicy;
  const auto due = FindDueTrials(aState.mSuspects, aParts, policy, aNow);
  if (!due) {
    return false;
  }
  const auto turn = static_cast<int>(ItemTrialTurn(aState, due->mParts));
  return aNow >= due->mSince + turn * policy.mSpreadTime;
}

auto TakeSlotOf(ServicePool& aPool, const Endpoint& aEndpoint) -> void
{
  const auto share = aPool.mShares.find(aEndpoint.mRegistration.mDomain);
  if (share != aPool.mShares.end()) {
    TakeSlot(share->second);
  }
  auto& freed = aPool.mFreed;
  const auto used =
    std::find_if(freed.begin(), freed.end(), [&](const FreedSlot& aFreed) {
      return aFreed.mEndpoint.get() == &aEndpoint;
    });
  if (used != freed.end()) {
    freed.erase(used);
  }
}

ScopedInFlight::ScopedInFlight(ServingState& aState,
                               EndpointPtr aEndpoint,
                               Workload aWork,
                               std::uint64_t aTokens)
  : mState(aState)
  , mEndpoint(std::move(aEndpoint))
  , mWork(aWork)
  , mTokens(aTokens)
{
  ++Count();
  mEndpoint->mRecord.mSized += mTokens > 0 ? 1 : 0;
  mEndpoint->mRecord.mSizedTokens += mTokens;
}

ScopedInFlight::~ScopedInFlight()
{
  --Count();
  mEndpoint->mRecord.mSized -= mTokens > 0 ? 1 : 0;
  mEndpoint->mRecord.mSizedTokens -= mTokens;
  const auto pool = mState.mPools.find(mEndpoint->mRegistration.mService);
  if (pool != mState.mPools.end()) {
    if (mWork == Workload::Online) {
      constexpr std::size_t kMaxFreed = 256;
      auto& freed = pool->second.mFreed;
      freed.push_back({ mEndpoint, Clock::now() });
      if (freed.size() > kMaxFreed) {
        freed.pop_front();
      }
      auto& shares = pool->second.mShares;
      const auto share = shares.find(mEndpoint->mRegistration.mDomain);
      if (share != shares.end()) {
        ReturnSlot(share->second);
      }
    }
    WakeFirstWaiter(pool->second);
  }
}

auto ScopedInFlight::Count() -> std::uint32_t&
{
  return mWork == Workload::Online ? mEndpoint->mOwnInFlight.mOnline
                                   : mEndpoint->mOwnInFlight.mBatch;
}

auto IdleConnectionShare(std::uint32_t aMaxConnections, std::size_t aHosts)
  -> std::size_t
{
  if (aMaxConnections == 0) {
    return kMaxIdleConnections;
  }
  const auto share =
    kIdleConnectionFraction * aMaxConnections / static_cast<double>(aHosts);
  return std::clamp<std::size_t>(
    static_cast<std::size_t>(share), 1, kMaxIdleConnections);
}

auto IdleConnectionLimit(const ServingState& aState, const Endpoint& aEndpoint)
  -> std::size_t
{
  const auto& services = aState.mDocument->mServices;
  const auto service = services.find(aEndpoint.mRegistration.mService);
  return IdleConnectionShare(
    service == services.end() ? 0 : service->second.mMaxConnections,
    aState.mFleet.mPeers.size() + 1);
}

ScopedTeamRun::ScopedTeamRun(ServingState& aState,
                             std::string aService,
                             int aPriority,
                             std::uint64_t aTeam)
  : mState(aState)
  , mService(std::move(aService))
  , mPriority(aPriority)
  , mTeam(aTeam)
{
  ++mState.mPools[mService].mClasses[mPriority].mTeams[mTeam].mRunning;
}

ScopedTeamRun::~ScopedTeamRun()
{
  const auto pool = mState.mPools.find(mService);
  if (pool != mState.mPools.end()) {
    auto& priorityClass = pool->second.mClasses[mPriority];
    auto& running = priorityClass.mTeams[mTeam].mRunning;
    running -= std::min(running, 1U);
    ForgetIdleTeam(priorityClass, mTeam);
  }
}

auto ForgetIdleTeam(PriorityClass& aClass, std::uint64_t aTeam) -> void
{
  const auto team = aClass.mTeams.find(aTeam);
  if (team != aClass.mTeams.end() && team->second.mRunning == 0 &&
      team->second.mWaiting == 0) {
    aClass.mTeams.erase(team);
  }
}

auto SharesOf(const ServingState& aState,
              const std::string& aService,
              int aPriority,
              PriorityClass& aClass,
              TimePoint aNow) -> const TeamShares&
{
  if (aNow < aClass.mSharesAsOf + kTeamShareInterval) {
    return aClass.mShares;
  }
  aClass.mSharesAsOf = aNow;
  auto sums = aClass.mTeams;
  const auto* const peers =
    PeerTeams(aState.mFleet, TeamUseKey(aService, aPriority));
  if (peers != nullptr) {
    for (const auto& [team, load] : *peers) {
      sums[team].mWaiting += load.mWaiting;
      sums[team].mRunning += load.mRunning;
    }
  }
  std::vector<TeamDemand> demands;
  demands.reserve(sums.size());
  for (const auto& [team, load] : sums) {
    demands.push_back({ team,
                        1,
                        static_cast<double>(load.mWaiting),
                        static_cast<double>(load.mRunning) });
  }
  const auto kept = std::min(demands.size(), kMaxSharingTeams);
  std::partial_sort(demands.begin(),
                    demands.begin() + static_cast<std::ptrdiff_t>(kept),
                    demands.end(),
                    [](const TeamDemand& aLeft, const TeamDemand& aRight) {
                      return aLeft.mWaiting + aLeft.mRunning >
                             aRight.mWaiting + aRight.mRunning;
                    });
  demands.resize(kept);
  aClass.mShares = ComputeShares(demands, 0);
  return aClass.mShares;
}

auto HostShare(const ServingState& aState,
               const std::string& aService,
               const ServicePool& aPool,
               TimePoint aNow) -> double
{
  const auto& fleet = aState.mFleet;
  const auto service = StableHash(aService);
  const auto own = ArrivalsPerSecond(aPool.mArrivals, aNow);
  const auto domain = own + DomainArrivals(fleet, aState.mDomain, service);
  const auto all = own + PeerArrivals(fleet, service);
  const auto hosts =
    static_cast<double>(ResponsivePeersIn(fleet, aState.mDomain) + 1);
  if (ResponsivePeerCount(fleet) == 0 || all <= 0) {
    // The registered hosts may still use the endpoints.
    return 1 / static_cast<double>(fleet.mPeers.size() + 1);
  }
  // The rate of a single host is too noisy to be its part of the domain's,
  // unless it is far above the others.
  constexpr double kOwnPart = 0.5;
  return std::max(domain / hosts, kOwnPart * own) / all;
}

auto IsServedBefore(const ServicePool& aPool,
                    const QueuedRequest& aLeft,
                    const QueuedRequest& aRight,
                    TimePoint aNow) -> bool
{
  if (aLeft.mPriority != aRight.mPriority) {
    return aLeft.mPriority < aRight.mPriority;
  }
  if (aLeft.mBegun != aRight.mBegun) {
    return aLeft.mBegun;
  }
  const auto found = aPool.mClasses.find(aLeft.mPriority);
  const auto rank = [&](const QueuedRequest& aWaiter) {
    WaiterRank result;
    if (found != aPool.mClasses.end()) {
      const auto& over = found->second.mShares.mOver;
      result.mOverShare =
        std::find(over.begin(), over.end(), aWaiter.mTeam) != over.end();
    }
    result.mLate = aNow > aWaiter.mLatestStart;
    result.mArrivalNumber = aWaiter.mArrivalNumber;
    return result;
  };
  return IsServedBefore(rank(aLeft), rank(aRight));
}

auto FirstWaiter(const ServicePool& aPool, TimePoint aNow)
  -> const QueuedRequest&
{
  const auto* first = &*aPool.mQueue.begin();
  for (const auto& waiter : aPool.mQueue) {
    if (waiter.mPriority != first->mPriority) {
      break;
    }
    if (IsServedBefore(aPool, waiter, *first, aNow)) {
      first = &waiter;
    }
  }
  return *first;
}

auto WakeFirstWaiter(ServicePool& aPool) -> void
{
  if (!aPool.mQueue.empty()) {
    FirstWaiter(aPool, Clock::now()).mWakeup->Notify();
  }
}

auto WakeFirstWaiterOfEachPool(ServingState& aState) -> void
{
  for (auto& [service, pool] : aState.mPools) {
    WakeFirstWaiter(pool);
  }
}

auto RecordExchange(ServingState& aState,
                    Endpoint& aEndpoint,
                    ExchangeResult aResult) -> void
{
  const auto now = Clock::now();
  NoteResult(aEndpoint.mHealth, aResult, aState.mHealth, now);
  if (aResult != ExchangeResult::Failed) {
    return;
  }
  aState.mPool.CloseIdleConnections(aEndpoint.mRegistration.mAddress);
  SyncPools(aState, now); // applies an ejection immediately
}

auto RecordReportedLoad(const ServingState& aState,
                        Endpoint& aEndpoint,
                        const ReportedLoad& aLoad) -> void
{
  const auto now = Clock::now();
  auto& record = aEndpoint.mRecord;
  const auto note = [now](std::optional<StatedFigure>& aFigure,
                          const std::optional<std::uint32_t>& aStated) {
    if (aStated) {
      aFigure = StatedFigure{ *aStated, now };
    }
  };
  note(record.mRunning, aLoad.mRunning);
  note(record.mWaiting, aLoad.mWaiting);
  note(record.mSlots, aLoad.mSlots);
  if (aLoad.mWorkFactor) {
    NoteOwnWorkFactor(record.mWorkFactor, *aLoad.mWorkFactor, now);
  }
  const auto total = TotalInFlight(aState, aEndpoint);
  const auto known = static_cast<double>(total.mOnline + total.mBatch);
  if (!aLoad.mRunning || !aLoad.mWaiting) {
    return;
  }
  const auto reported =
    static_cast<double>(*aLoad.mRunning) + static_cast<double>(*aLoad.mWaiting);
  aEndpoint.mUnaccountedLoad = std::max(0.0, reported - known);
  aEndpoint.mUnaccountedLoadAt = now;
  const auto peers = PeerInFlight(aState.mFleet, aEndpoint.mHash);
  aEndpoint.mPeersAtStatement = peers.mOnline + peers.mBatch;
}

auto UnreportedLoad(const ServingState& aState,
                    const Endpoint& aEndpoint,
                    TimePoint aNow) -> double
{
  const auto peers = PeerInFlight(aState.mFleet, aEndpoint.mHash);
  const auto reportedSince = static_cast<double>(peers.mOnline + peers.mBatch) -
                             static_cast<double>(aEndpoint.mPeersAtStatement);
  return std::max(
    0.0, UnaccountedLoad(aEndpoint, aNow) - std::max(0.0, reportedSince));
}

auto ApplyPeerReport(ServingState& aState,
                     wire::LoadReportT aReport,
                     std::uint64_t aOwnIncarnation,
                     TimePoint aNow) -> void
{
  if (aReport.domain != aState.mDomain) {
    return; // summaries report the load of other domains
  }
  const auto host = aReport.host;
  const auto known = aState.mFleet.mPeers.find(host);
  const auto wasUnresponsive =
    known == aState.mFleet.mPeers.end() || known->second.mUnresponsive;
  const auto evidence = std::move(aReport.evidence);
  const auto evacuations = std::move(aReport.evacuations);
  if (!ApplyReport(aState.mFleet, std::move(aReport), aNow)) {
    return;
  }
  ApplyLimits(
    aState, aState.mFleet.mPeers[host].mLast.limits, aState.mDomain, aNow);
  ApplyColdEndpoints(
    aState, aState.mFleet.mPeers[host].mLast.cold, aState.mDomain, aNow);
  ApplySpeeds(aState, aState.mFleet.mPeers[host].mLast.speeds, aNow);
  ApplyPeerEvidence(aState, evidence.get(), host, aNow);
  ApplyPeerEvacuations(aState, evacuations.get(), host);
  const auto& report = aState.mFleet.mPeers[host].mLast;
  const auto startedLater = report.incarnation > aOwnIncarnation;
  for (const auto& use : report.teams) {
    const auto found = aState.mRateOfHash.find(use.team());
    if (found == aState.mRateOfHash.end()) {
      continue; // the peer uses another version of the document
    }
    auto& rate = *found->second;
    const auto admissions = CountPeerReport(
      rate, host, report.incarnation, use.admitted(), startedLater, aNow);
    CountDomainAdmissions(rate, admissions, aNow);
    if (wasUnresponsive && !startedLater) {
      LowerTokens(rate, use.level());
    }
  }
  if (wasUnresponsive) {
    RepeatEvidence(aState.mSuspectExchange, aNow);
    RepeatLimits(aState, aNow);
    UpdatePeerLiveness(aState, aNow);
    LogEvent(Severity::Info, "peer_heard", { { "peer", host } });
  }
  WakeFirstWaiterOfEachPool(aState);
}

auto ApplyPeerSummary(ServingState& aState,
                      wire::DomainSummaryT aSummary,
                      TimePoint aNow) -> void
{
  const auto name = aSummary.domain;
  if (name == aState.mDomain) {
    return;
  }
  const auto evidence = std::move(aSummary.evidence);
  const auto evacuations = std::move(aSummary.evacuations);
  const auto result =
    ApplySummary(aState.mFleet, std::move(aSummary), aState.mDomain, aNow);
  if (result == SummaryResult::Ignored) {
    return;
  }
  const auto& summary = aState.mFleet.mDomains[name].mLast;
  ApplyLimits(aState, summary.limits, name, aNow);
  ApplyColdEndpoints(aState, summary.cold, name, aNow);
  ApplySpeeds(aState, summary.speeds, aNow);
  ApplyUsualSpeeds(aState, summary.speeds, name, aNow);
  ApplyPeerEvidence(aState, evidence.get(), summary.host, aNow);
  ApplyPeerEvacuations(aState, evacuations.get(), summary.host);
  const auto newSender = result == SummaryResult::NewSender;
  if (newSender) {
    RepeatEvidence(aState.mSuspectExchange, aNow);
    RepeatLimits(aState, aNow);
    ResetBaselines(aState, summary.host);
    UpdatePeerLiveness(aState, aNow);
    LogEvent(Severity::Info,
             "domain_heard",
             { { "domain", name }, { "sender", summary.host } });
  }
  for (const auto& use : summary.teams) {
    const auto found = aState.mRateOfHash.find(use.team());
    if (found == aState.mRateOfHash.end()) {
      continue; // the sender uses another version of the document
    }
    auto& rate = *found->second;
    static_cast<void>(CountPeerReport(
      rate, summary.host, summary.incarnation, use.admitted(), false, aNow));
    if (newSender) {
      LowerTokens(rate, use.level());
    }
  }
  WakeFirstWaiterOfEachPool(aState);
}

auto AnyTeamNearRateLimit(const ServingState& aState) -> bool
{
  return std::any_of(
    aState.mRates.begin(), aState.mRates.end(), [](const auto& aRate) {
      const auto& rate = aRate.second;
      return rate.mRate > 0 && rate.mTokens < rate.mBurst / 2;
    });
}

auto OwnReport(const ServingState& aState, TimePoint aNow) -> wire::LoadReportT
{
  wire::LoadReportT report;
  report.host = aState.mHost;
  report.domain = aState.mDomain;
  report.document = aState.mDocument ? aState.mDocument->mVersion : 0;
  for (const auto& [service, pool] : aState.mPools) {
    for (const auto& endpoint : pool.mEndpoints) {
      if (endpoint->mOwnInFlight.mOnline + endpoint->mOwnInFlight.mBatch > 0) {
        report.endpoints.emplace_back(endpoint->mHash,
                                      endpoint->mOwnInFlight.mOnline,
                                      endpoint->mOwnInFlight.mBatch);
      }
    }
    // Rates this low do not change a decision.
    constexpr double kMinReportedRate = 0.05;
    const auto arrivals = ArrivalsPerSecond(pool.mArrivals, aNow);
    if (arrivals >= kMinReportedRate) {
      report.demands.emplace_back(StableHash(service),
                                  static_cast<float>(arrivals));
    }
    if (!pool.mQueue.empty()) {
      report.queues.emplace_back(
        StableHash(service), static_cast<std::uint32_t>(pool.mQueue.size()));
    }
    for (const auto& [priority, requests] : pool.mClasses) {
      AddTeamUses(
        report.team_uses, TeamUseKey(service, priority), requests.mTeams);
    }
  }
  const auto changedAfter = aNow - kAdmissionReportDuration;
  for (const auto& [hash, rate] : aState.mRateOfHash) {
    if (rate->mRate > 0 && rate->mChangedAt > changedAfter) {
      report.teams.emplace_back(
        hash, rate->mAdmitted, static_cast<float>(rate->mTokens));
    }
  }
  report.evidence =
    EvidenceToSend(aState.mSuspectExchange, aState.mSuspects, aNow);
  report.limits = LimitsForReport(aState, aNow);
  report.cold = ColdForReport(aState, aNow);
  report.evacuations = ToWire(aState.mEvacuations);
  report.speeds = OwnSpeeds(aState, aNow);
  return report;
}

auto OwnSummary(const ServingState& aState,
                const wire::LoadReportT& aOwnReport,
                TimePoint aNow) -> wire::DomainSummaryT
{
  auto summary = SummarizeDomain(aState.mFleet, aOwnReport, aNow);
  summary.evidence =
    EvidenceToSend(aState.mSuspectExchange, aState.mSuspects, aNow);
  summary.limits = LimitsForSummary(aState, aNow);
  summary.cold = ColdForSummary(aState, aNow);
  summary.evacuations = ToWire(aState.mEvacuations);
  summary.speeds = DomainSpeeds(aState, aNow);
  for (const auto& [hash, rate] : aState.mRateOfHash) {
    if (rate->mRate > 0 &&
        rate->mDomainChangedAt > aNow - kAdmissionReportDuration) {
      const auto admitted = std::max<std::int64_t>(0, rate->mDomainAdmitted);
      summary.teams.emplace_back(hash,
                                 static_cast<std::uint64_t>(admitted),
                                 static_cast<float>(rate->mTokens));
    }
  }
  return summary;
}

auto CountArrival(ServingState& aState,
                  const std::string& aService,
                  TimePoint aNow) -> void
{
  const auto pool = aState.mPools.find(aService);
  if (pool != aState.mPools.end()) {
    RecordArrival(pool->second.mArrivals, aNow);
  }
}

auto SampleDemand(ServingState& aState, TimePoint aNow) -> void
{
  for (auto& [service, pool] : aState.mPools) {
    const auto rate = ArrivalsPerSecond(pool.mArrivals, aNow) +
                      PeerArrivals(aState.mFleet, StableHash(service));
    const auto high = pool.mDemand.mHigh;
    const auto began = pool.mDemand.mPhaseBegan;
    RecordDemand(pool.mDemand, rate, aNow);
    if (pool.mDemand.mHigh != high) {
      RecordPhase(pool.mReturns, high, began, pool.mDemand.mPhaseBegan);
      const auto end = PhaseEnd(pool.mDemand, aNow);
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end.value_or(aNow) - aNow);
      LogEvent(Severity::Info,
               "demand_phase",
               { { "service", service },
                 { "high", high ? "0" : "1" },
                 { "arrivals_per_s", absl::StrCat(rate) },
                 { "mean", absl::StrCat(pool.mDemand.mMeanRate) },
                 { "forecast", end ? "1" : "0" },
                 { "left_ms", absl::StrCat(left.count()) } });
    }
  }
}

auto UpdatePeerLiveness(ServingState& aState, TimePoint aNow) -> void
{
  std::vector<std::string> removed;
  for (const auto& [host, peer] : aState.mFleet.mPeers) {
    if (peer.mDomain == aState.mDomain && !peer.mUnresponsive &&
        peer.mLastReportAt < aNow - kUnresponsiveAfter) {
      LogEvent(Severity::Warn, "peer_silent", { { "peer", host } });
      ResetBaselines(aState, host);
    }
    if (peer.mLastReportAt < aNow - kRemoveAfter) {
      removed.push_back(host);
    }
  }
  for (const auto& [name, domain] : aState.mFleet.mDomains) {
    if (!domain.mUnresponsive &&
        domain.mLastReportAt < aNow - kUnresponsiveAfter) {
      LogEvent(Severity::Warn, "domain_silent", { { "domain", name } });
      ResetBaselines(aState, domain.mLast.host);
    }
  }
  MarkUnresponsive(aState.mFleet, aNow - kUnresponsiveAfter);
  for (const auto& host : removed) {
    RemovePeer(aState.mFleet, host);
  }
  UpdateLimitParts(aState, aNow);
  const auto share = ShareOfRates(aState);
  for (auto& [team, rate] : aState.mRates) {
    SetShare(rate, share, aNow);
  }
}

} // namespace mangovalve
