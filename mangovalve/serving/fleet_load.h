// The latest load reports of the other daemons: their requests in flight at
// each endpoint, their queues, their configuration version and the job
// partitions that they own. Sums over peers are maintained incrementally, so
// that the cost of a lookup does not grow with the fleet.
//
// Peers of the own failure domain report to this host directly. For each other
// domain, one of its hosts, the gateway, sends a summary of its domain. Hosts
// choose the gateway without agreement, so two may send for a moment;
// receivers use one sender at a time.
//
// A peer whose reports have stopped for a while counts as unresponsive. It may
// have crashed, so its requests are left out of the sums. If it still runs, the
// endpoints' own load reports include its requests.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovalve/base/time.h"
#include "mangovalve/peer/domain_summary_generated.h"
#include "mangovalve/peer/load_report_generated.h"

namespace mangovalve {

struct InFlight
{
  std::uint32_t mOnline = 0;
  std::uint32_t mBatch = 0;
};

// Online requests of one team.
struct TeamLoad
{
  std::uint32_t mWaiting = 0;
  std::uint32_t mRunning = 0;
};

using TeamLoads = absl::flat_hash_map<std::uint64_t, TeamLoad>; // by team

// Teams per service and priority in a report; the smallest are left out.
constexpr std::size_t kMaxReportedTeams = 32;

struct PeerState
{
  std::string mDomain;
  wire::LoadReportT mLast;
  TimePoint mLastReportAt{};
  bool mUnresponsive = true; // excluded from the sums
};

// Another failure domain as described by its summaries.
struct DomainState
{
  wire::DomainSummaryT mLast; // of the current sender
  TimePoint mLastReportAt{};
  bool mUnresponsive = true; // excluded from the sums
};

// Owner of a job partition according to a load report.
struct OwnerClaim
{
  std::string mHost;
  std::uint64_t mGeneration = 0;
};

struct FleetLoad
{
  std::map<std::string, PeerState> mPeers; // by the host's address for peers
  std::map<std::string, DomainState> mDomains; // other failure domains
  // Sums over the responsive peers and domains, by hash of the endpoint's id or
  // the service's name; no zero entries.
  absl::flat_hash_map<std::uint64_t, InFlight> mInFlight;
  absl::flat_hash_map<std::uint64_t, std::uint32_t> mWaiting;
  // The same by TeamUseKey and team.
  absl::flat_hash_map<std::uint64_t, TeamLoads> mTeams;
  // The claim with the highest generation that was reported for each partition;
  // kept after the owner has stopped claiming it.
  std::map<std::uint32_t, OwnerClaim> mLastOwners;
};

// Adds a registered host that has not sent a report yet. Its time without
// reports counts from aNow.
auto AddPeer(FleetLoad& aFleet,
             const std::string& aHost,
             const std::string& aDomain,
             TimePoint aNow) -> void;
auto RemovePeer(FleetLoad& aFleet, const std::string& aHost) -> void;

// Applies a report; false if it is not newer than the peer's last one.
auto ApplyReport(FleetLoad& aFleet, wire::LoadReportT aReport, TimePoint aNow)
  -> bool;

// How a host takes part in the exchange of summaries.
struct DomainMember
{
  std::string mHost; // its address for peers
  std::string mDomain;
  std::uint64_t mIncarnation = 0; // Unix time of its start, in milliseconds
};

// Whether aSelf sends the summaries of its domain to the hosts of aTo. Every
// host of a domain evaluates this on its own view of the domain; equal views
// give exactly one gateway. A host that started at aSettledBefore or earlier,
// in Unix milliseconds, is preferred, because a new one does not know its
// domain yet.
auto IsGateway(const FleetLoad& aFleet,
               const DomainMember& aSelf,
               const std::string& aTo,
               std::uint64_t aSettledBefore,
               TimePoint aNow) -> bool;

// Summary of this host's domain, from its own report and those of its peers.
// Contains no teams.
auto SummarizeDomain(const FleetLoad& aFleet,
                     const wire::LoadReportT& aOwnReport,
                     TimePoint aNow) -> wire::DomainSummaryT;

enum class SummaryResult
{
  Ignored,   // outdated, or not from the current sender
  Applied,   // next summary of the current sender
  NewSender, // first summary of this sender, or first one after a silence
};

// Applies a summary of another domain. aOwnDomain is the domain of this host.
auto ApplySummary(FleetLoad& aFleet,
                  wire::DomainSummaryT aSummary,
                  const std::string& aOwnDomain,
                  TimePoint aNow) -> SummaryResult;

// Marks the peers and domains unresponsive whose last report came before
// aDeadline.
auto MarkUnresponsive(FleetLoad& aFleet, TimePoint aDeadline) -> void;

auto PeerInFlight(const FleetLoad& aFleet, std::uint64_t aEndpoint) -> InFlight;
auto PeerWaiting(const FleetLoad& aFleet, std::uint64_t aService)
  -> std::uint32_t;

// Hash by which reports tell a service's requests of one priority.
auto TeamUseKey(const std::string& aService, int aPriority) -> std::uint64_t;

// Loads of the teams at the responsive peers; null if there are none.
auto PeerTeams(const FleetLoad& aFleet, std::uint64_t aUseKey)
  -> const TeamLoads*;

// Adds the largest of the teams to a report.
auto AddTeamUses(std::vector<wire::TeamServiceUse>& aUses,
                 std::uint64_t aUseKey,
                 const TeamLoads& aTeams) -> void;

// Batch items at the endpoint of the responsive hosts that come before this
// host in the order of domains and, within its domain, of hosts. All hosts use
// the same order.
auto BatchBefore(const FleetLoad& aFleet,
                 const std::string& aHost,
                 const std::string& aDomain,
                 std::uint64_t aEndpoint) -> std::uint32_t;

// Arrivals per second at the responsive peers.
auto PeerArrivals(const FleetLoad& aFleet, std::uint64_t aService) -> double;

// The same at the hosts of one failure domain.
auto DomainArrivals(const FleetLoad& aFleet,
                    const std::string& aDomain,
                    std::uint64_t aService) -> double;

auto ResponsivePeerCount(const FleetLoad& aFleet) -> std::size_t;

// The same in one failure domain.
auto ResponsivePeersIn(const FleetLoad& aFleet, const std::string& aDomain)
  -> std::size_t;

// The last known owner of the partition, if it is responsive, even when it no
// longer claims the partition.
auto LastOwnerOf(const FleetLoad& aFleet, std::uint32_t aPartition)
  -> std::optional<OwnerClaim>;

// The responsive peer that claims the partition with the highest generation.
auto OwnerOf(const FleetLoad& aFleet, std::uint32_t aPartition)
  -> std::optional<OwnerClaim>;

} // namespace mangovalve
