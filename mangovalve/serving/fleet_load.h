// What the other daemons last said of themselves: their requests in flight at
// each endpoint, their queues, their configuration and the job partitions that
// they own. Sums over peers are kept up to date, so that a look-up does not
// grow with the fleet.
//
// A peer that has not been heard for a while counts as silent: its requests
// are left out of the sums, since it may be dead. The endpoints' own reports
// show what a silent peer still does there.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovalve/base/time.h"
#include "mangovalve/peer/load_report_generated.h"

namespace mangovalve {

struct InFlight
{
  std::uint32_t mOnline = 0;
  std::uint32_t mBatch = 0;
};

struct PeerState
{
  std::string mDomain;
  wire::LoadReportT mLast;
  TimePoint mLastReportAt{};
  bool mUnresponsive = true; // left out of the sums
};

// The owner of a partition, as a report names it.
struct OwnerClaim
{
  std::string mHost;
  std::uint64_t mGeneration = 0;
};

struct FleetLoad
{
  std::map<std::string, PeerState> mPeers; // by address for daemons
  // Sums over the peers that are not silent, by hash; no zero entries.
  absl::flat_hash_map<std::uint64_t, InFlight> mInFlight;
  absl::flat_hash_map<std::uint64_t, std::uint32_t> mWaiting;
  // The newest claim heard for each partition, also after its end.
  std::map<std::uint32_t, OwnerClaim> mLastOwners;
};

// Adds a host that is registered but has not been heard yet. It counts as if it
// had last been heard now.
auto AddPeer(FleetLoad& aFleet,
             const std::string& aHost,
             const std::string& aDomain,
             TimePoint aNow) -> void;
auto RemovePeer(FleetLoad& aFleet, const std::string& aHost) -> void;

// Takes a report in; false if it is older than the last one of that peer.
auto ApplyReport(FleetLoad& aFleet, wire::LoadReportT aReport, TimePoint aNow)
  -> bool;

// Marks peers silent that have not been heard since aSilentBefore.
auto MarkUnresponsive(FleetLoad& aFleet, TimePoint aSilentBefore) -> void;

auto PeerInFlight(const FleetLoad& aFleet, std::uint64_t aEndpoint) -> InFlight;
auto PeerWaiting(const FleetLoad& aFleet, std::uint64_t aService)
  -> std::uint32_t;

// Peers that are not silent.
auto ResponsivePeerCount(const FleetLoad& aFleet) -> std::size_t;

// The peer that owned the partition last, if it is heard.
auto LastOwnerOf(const FleetLoad& aFleet, std::uint32_t aPartition)
  -> std::optional<OwnerClaim>;

// The peer that owns the partition with the highest generation, not silent.
auto OwnerOf(const FleetLoad& aFleet, std::uint32_t aPartition)
  -> std::optional<OwnerClaim>;

} // namespace mangovalve
