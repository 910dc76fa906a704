// The latest load reports of the other daemons.
#include "mangovalve/serving/fleet_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <absl/strings/str_cat.h>

#include "mangovalve/base/id.h"
#include "mangovalve/membership/rendezvous.h"

namespace mangovalve {
namespace {

// A host of the own domain that has been silent for this time is not chosen as
// a gateway. The next one must take over before receivers count the domain as
// unresponsive.
constexpr auto kGatewayTimeout = std::chrono::milliseconds(700);

// A sender of summaries that has been silent for this time is replaced by any
// other host of its domain.
constexpr auto kSenderTimeout = std::chrono::milliseconds(1000);

// Hosts of the own domain heard within this time are listed as responsive.
constexpr auto kListedWithin = std::chrono::milliseconds(1000);

// Adds a report or summary to the sums, or subtracts it if aSign is -1.
template<typename Report>
auto AddToSums(FleetLoad& aFleet, const Report& aReport, int aSign) -> void
{
  const auto apply = [aSign](std::uint32_t& aSum, std::uint32_t aValue) {
    aSum = aSign > 0 ? aSum + aValue : aSum - std::min(aSum, aValue);
  };
  for (const auto& use : aReport.endpoints) {
    auto& sum = aFleet.mInFlight[use.endpoint()];
    apply(sum.mOnline, use.online());
    apply(sum.mBatch, use.batch());
    if (sum.mOnline == 0 && sum.mBatch == 0) {
      aFleet.mInFlight.erase(use.endpoint());
    }
  }
  for (const auto& queue : aReport.queues) {
    auto& sum = aFleet.mWaiting[queue.service()];
    apply(sum, queue.waiting());
    if (sum == 0) {
      aFleet.mWaiting.erase(queue.service());
    }
  }
  for (const auto& use : aReport.team_uses) {
    auto& teams = aFleet.mTeams[use.service()];
    auto& sum = teams[use.team()];
    apply(sum.mWaiting, use.waiting());
    apply(sum.mRunning, use.running());
    if (sum.mWaiting == 0 && sum.mRunning == 0) {
      teams.erase(use.team());
    }
    if (teams.empty()) {
      aFleet.mTeams.erase(use.service());
    }
  }
}

template<typename Report>
auto IsNewer(const Report& aReport, const Report& aLast) -> bool
{
  return aReport.incarnation > aLast.incarnation ||
         (aReport.incarnation == aLast.incarnation &&
          aReport.sequence > aLast.sequence);
}

// Whether aLeft is preferred over aRight as the gateway to aDomain.
auto IsPreferred(const std::string& aDomain,
                 const std::string& aLeft,
                 const std::string& aRight) -> bool
{
  const auto left = RendezvousScore(aDomain, aLeft);
  const auto right = RendezvousScore(aDomain, aRight);
  return left != right ? left > right : aLeft < aRight;
}

auto RecordClaim(FleetLoad& aFleet,
                 std::uint32_t aPartition,
                 const std::string& aHost,
                 std::uint64_t aGeneration) -> void
{
  auto& last = aFleet.mLastOwners[aPartition];
  if (aGeneration >= last.mGeneration) {
    last = OwnerClaim{ aHost, aGeneration };
  }
}

// Updates the peers of another domain from its summary.
auto UpdatePeers(FleetLoad& aFleet,
                 const wire::DomainSummaryT& aSummary,
                 TimePoint aNow) -> void
{
  for (const auto& host : aSummary.hosts) {
    AddPeer(aFleet, host, aSummary.domain, aNow);
    auto& peer = aFleet.mPeers[host];
    peer.mLastReportAt = aNow;
    peer.mUnresponsive = false;
    peer.mLast.partitions.clear();
  }
  for (const auto& claim : aSummary.partitions) {
    if (claim.host() < aSummary.hosts.size()) {
      const auto& host = aSummary.hosts[claim.host()];
      aFleet.mPeers[host].mLast.partitions.emplace_back(claim.generation(),
                                                        claim.partition());
      RecordClaim(aFleet, claim.partition(), host, claim.generation());
    }
  }
  AddPeer(aFleet, aSummary.host, aSummary.domain, aNow);
  aFleet.mPeers[aSummary.host].mLast.document = aSummary.document;
}

// Reported arrivals per second for a service. Peers of other domains report
// none themselves.
auto ArrivalsIn(const std::vector<wire::ServiceDemand>& aDemands,
                std::uint64_t aService) -> double
{
  auto sum = 0.0;
  for (const auto& demand : aDemands) {
    const auto rate = static_cast<double>(demand.arrivals_per_s());
    sum += demand.service() == aService && rate > 0 && std::isfinite(rate)
             ? rate
             : 0;
  }
  return sum;
}

} // namespace

auto AddPeer(FleetLoad& aFleet,
             const std::string& aHost,
             const std::string& aDomain,
             TimePoint aNow) -> void
{
  const auto [peer, added] = aFleet.mPeers.try_emplace(aHost);
  peer->second.mDomain = aDomain;
  if (added) {
    peer->second.mLastReportAt = aNow;
  }
}

auto RemovePeer(FleetLoad& aFleet, const std::string& aHost) -> void
{
  const auto found = aFleet.mPeers.find(aHost);
  if (found == aFleet.mPeers.end()) {
    return;
  }
  if (!found->second.mUnresponsive) {
    AddToSums(aFleet, found->second.mLast, -1);
  }
  aFleet.mPeers.erase(found);
}

auto ApplyReport(FleetLoad& aFleet, wire::LoadReportT aReport, TimePoint aNow)
  -> bool
{
  AddPeer(aFleet, aReport.host, aReport.domain, aNow);
  auto& peer = aFleet.mPeers[aReport.host];
  if (!IsNewer(aReport, peer.mLast)) {
    return false;
  }
  if (!peer.mUnresponsive) {
    AddToSums(aFleet, peer.mLast, -1);
  }
  AddToSums(aFleet, aReport, 1);
  for (const auto& claim : aReport.partitions) {
    RecordClaim(aFleet, claim.partition(), aReport.host, claim.generation());
  }
  peer.mDomain = aReport.domain;
  peer.mLast = std::move(aReport);
  peer.mLastReportAt = aNow;
  peer.mUnresponsive = false;
  return true;
}

auto IsGateway(const FleetLoad& aFleet,
               const DomainMember& aSelf,
               const std::string& aTo,
               std::uint64_t aSettledBefore,
               TimePoint aNow) -> bool
{
  const auto selfSettled = aSelf.mIncarnation <= aSettledBefore;
  return std::none_of(
    aFleet.mPeers.begin(), aFleet.mPeers.end(), [&](const auto& aEntry) {
      const auto& [host, peer] = aEntry;
      if (peer.mDomain != aSelf.mDomain || peer.mUnresponsive ||
          peer.mLastReportAt < aNow - kGatewayTimeout) {
        return false;
      }
      const auto settled = peer.mLast.incarnation <= aSettledBefore;
      return settled != selfSettled ? settled
                                    : IsPreferred(aTo, host, aSelf.mHost);
    });
}

auto SummarizeDomain(const FleetLoad& aFleet,
                     const wire::LoadReportT& aOwnReport,
                     TimePoint aNow) -> wire::DomainSummaryT
{
  FleetLoad sums;
  wire::DomainSummaryT summary;
  const auto add = [&](const std::string& aHost,
                       const wire::LoadReportT& aReport) {
    const auto index = static_cast<std::uint32_t>(summary.hosts.size());
    summary.hosts.push_back(aHost);
    AddToSums(sums, aReport, 1);
    for (const auto& claim : aReport.partitions) {
      summary.partitions.emplace_back(
        claim.generation(), claim.partition(), index);
    }
  };
  summary.host = aOwnReport.host;
  summary.domain = aOwnReport.domain;
  summary.document = aOwnReport.document;
  add(aOwnReport.host, aOwnReport);
  for (const auto& [host, peer] : aFleet.mPeers) {
    if (peer.mDomain == aOwnReport.domain && !peer.mUnresponsive &&
        peer.mLastReportAt >= aNow - kListedWithin) {
      add(host, peer.mLast);
    }
  }
  std::map<std::uint64_t, float> demands;
  const auto addDemands = [&](const wire::LoadReportT& aReport) {
    for (const auto& demand : aReport.demands) {
      demands[demand.service()] += demand.arrivals_per_s();
    }
  };
  addDemands(aOwnReport);
  for (const auto& [host, peer] : aFleet.mPeers) {
    if (peer.mDomain == aOwnReport.domain && !peer.mUnresponsive) {
      addDemands(peer.mLast);
    }
  }
  for (const auto& [service, rate] : demands) {
    summary.demands.emplace_back(service, rate);
  }
  for (const auto& [endpoint, use] : sums.mInFlight) {
    summary.endpoints.emplace_back(endpoint, use.mOnline, use.mBatch);
  }
  for (const auto& [service, waiting] : sums.mWaiting) {
    summary.queues.emplace_back(service, waiting);
  }
  for (const auto& [key, teams] : sums.mTeams) {
    AddTeamUses(summary.team_uses, key, teams);
  }
  return summary;
}

auto ApplySummary(FleetLoad& aFleet,
                  wire::DomainSummaryT aSummary,
                  const std::string& aOwnDomain,
                  TimePoint aNow) -> SummaryResult
{
  auto& domain = aFleet.mDomains[aSummary.domain];
  const auto& current = domain.mLast.host;
  const auto sameSender = current == aSummary.host;
  const auto accepted = sameSender
                          ? IsNewer(aSummary, domain.mLast)
                          : domain.mUnresponsive ||
                              domain.mLastReportAt < aNow - kSenderTimeout ||
                              IsPreferred(aOwnDomain, aSummary.host, current);
  if (!accepted) {
    return SummaryResult::Ignored;
  }
  const auto newSender = !sameSender || domain.mUnresponsive;
  if (!domain.mUnresponsive) {
    AddToSums(aFleet, domain.mLast, -1);
  }
  AddToSums(aFleet, aSummary, 1);
  UpdatePeers(aFleet, aSummary, aNow);
  domain.mLast = std::move(aSummary);
  domain.mLastReportAt = aNow;
  domain.mUnresponsive = false;
  return newSender ? SummaryResult::NewSender : SummaryResult::Applied;
}

auto MarkUnresponsive(FleetLoad& aFleet, TimePoint aDeadline) -> void
{
  for (auto& [name, domain] : aFleet.mDomains) {
    if (!domain.mUnresponsive && domain.mLastReportAt < aDeadline) {
      AddToSums(aFleet, domain.mLast, -1);
      domain.mUnresponsive = true;
    }
  }
  for (auto& [host, peer] : aFleet.mPeers) {
    if (!peer.mUnresponsive && peer.mLastReportAt < aDeadline) {
      AddToSums(aFleet, peer.mLast, -1);
      peer.mUnresponsive = true;
    }
  }
}

auto PeerInFlight(const FleetLoad& aFleet, std::uint64_t aEndpoint) -> InFlight
{
  const auto found = aFleet.mInFlight.find(aEndpoint);
  return found == aFleet.mInFlight.end() ? InFlight{} : found->second;
}

auto PeerWaiting(const FleetLoad& aFleet, std::uint64_t aService)
  -> std::uint32_t
{
  const auto found = aFleet.mWaiting.find(aService);
  return found == aFleet.mWaiting.end() ? 0 : found->second;
}

auto TeamUseKey(const std::string& aService, int aPriority) -> std::uint64_t
{
  return StableHash(absl::StrCat(aService, "\n", aPriority));
}

auto PeerTeams(const FleetLoad& aFleet, std::uint64_t aUseKey)
  -> const TeamLoads*
{
  const auto found = aFleet.mTeams.find(aUseKey);
  return found == aFleet.mTeams.end() ? nullptr : &found->second;
}

auto AddTeamUses(std::vector<wire::TeamServiceUse>& aUses,
                 std::uint64_t aUseKey,
                 const TeamLoads& aTeams) -> void
{
  std::vector<std::pair<std::uint64_t, TeamLoad>> teams(aTeams.begin(),
                                                        aTeams.end());
  const auto kept = std::min(teams.size(), kMaxReportedTeams);
  const auto size = [](const auto& aTeam) {
    return std::uint64_t{ aTeam.second.mWaiting } + aTeam.second.mRunning;
  };
  std::partial_sort(teams.begin(),
                    teams.begin() + static_cast<std::ptrdiff_t>(kept),
                    teams.end(),
                    [&](const auto& aLeft, const auto& aRight) {
                      return std::pair(size(aLeft), aLeft.first) >
                             std::pair(size(aRight), aRight.first);
                    });
  teams.resize(kept);
  for (const auto& [team, load] : teams) {
    aUses.emplace_back(aUseKey, team, load.mWaiting, load.mRunning);
  }
}

auto BatchBefore(const FleetLoad& aFleet,
                 const std::string& aHost,
                 const std::string& aDomain,
                 std::uint64_t aEndpoint) -> std::uint32_t
{
  std::uint32_t batch = 0;
  const auto add = [&](const std::vector<wire::EndpointUse>& aUses) {
    for (const auto& use : aUses) {
      batch += use.endpoint() == aEndpoint ? use.batch() : 0;
    }
  };
  for (const auto& [name, domain] : aFleet.mDomains) {
    if (name < aDomain && !domain.mUnresponsive) {
      add(domain.mLast.endpoints);
    }
  }
  for (const auto& [host, peer] : aFleet.mPeers) {
    if (peer.mDomain == aDomain && host < aHost && !peer.mUnresponsive) {
      add(peer.mLast.endpoints);
    }
  }
  return batch;
}

auto PeerArrivals(const FleetLoad& aFleet, std::uint64_t aService) -> double
{
  auto sum = 0.0;
  for (const auto& [host, peer] : aFleet.mPeers) {
    if (!peer.mUnresponsive) {
      sum += ArrivalsIn(peer.mLast.demands, aService);
    }
  }
  for (const auto& [name, domain] : aFleet.mDomains) {
    if (!domain.mUnresponsive) {
      sum += ArrivalsIn(domain.mLast.demands, aService);
    }
  }
  return sum;
}

auto DomainArrivals(const FleetLoad& aFleet,
                    const std::string& aDomain,
                    std::uint64_t aService) -> double
{
  const auto domain = aFleet.mDomains.find(aDomain);
  if (domain != aFleet.mDomains.end()) {
    return domain->second.mUnresponsive
             ? 0
             : ArrivalsIn(domain->second.mLast.demands, aService);
  }
  auto sum = 0.0;
  for (const auto& [host, peer] : aFleet.mPeers) {
    if (!peer.mUnresponsive && peer.mDomain == aDomain) {
      sum += ArrivalsIn(peer.mLast.demands, aService);
    }
  }
  return sum;
}

auto ResponsivePeersIn(const FleetLoad& aFleet, const std::string& aDomain)
  -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    aFleet.mPeers.begin(), aFleet.mPeers.end(), [&](const auto& aEntry) {
      return !aEntry.second.mUnresponsive && aEntry.second.mDomain == aDomain;
    }));
}

auto ResponsivePeerCount(const FleetLoad& aFleet) -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    aFleet.mPeers.begin(), aFleet.mPeers.end(), [](const auto& aPeer) {
      return !aPeer.second.mUnresponsive;
    }));
}

auto LastOwnerOf(const FleetLoad& aFleet, std::uint32_t aPartition)
  -> std::optional<OwnerClaim>
{
  const auto last = aFleet.mLastOwners.find(aPartition);
  if (last == aFleet.mLastOwners.end()) {
    return std::nullopt;
  }
  const auto peer = aFleet.mPeers.find(last->second.mHost);
  return peer == aFleet.mPeers.end() || peer->second.mUnresponsive
           ? std::nullopt
           : std::optional(last->second);
}

auto OwnerOf(const FleetLoad& aFleet, std::uint32_t aPartition)
  -> std::optional<OwnerClaim>
{
  std::optional<OwnerClaim> best;
  for (const auto& [host, peer] : aFleet.mPeers) {
    if (peer.mUnresponsive) {
      continue;
    }
    for (const auto& claim : peer.mLast.partitions) {
      if (claim.partition() == aPartition &&
          (!best || claim.generation() > best->mGeneration)) {
        best = OwnerClaim{ host, claim.generation() };
      }
    }
  }
  return best;
}

} // namespace mangovalve
