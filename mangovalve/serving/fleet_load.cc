// The latest load reports of the other daemons.
#include "mangovalve/serving/fleet_load.h"

#include <algorithm>

namespace mangovalve {
namespace {

// Adds a report to the sums, or subtracts it if aSign is -1.
auto AddToSums(FleetLoad& aFleet, const wire::LoadReportT& aReport, int aSign)
  -> void
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
}

auto IsNewer(const wire::LoadReportT& aReport, const wire::LoadReportT& aLast)
  -> bool
{
  return aReport.incarnation > aLast.incarnation ||
         (aReport.incarnation == aLast.incarnation &&
          aReport.sequence > aLast.sequence);
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
  auto& peer = aFleet.mPeers[aReport.host];
  if (!IsNewer(aReport, peer.mLast)) {
    return false;
  }
  if (!peer.mUnresponsive) {
    AddToSums(aFleet, peer.mLast, -1);
  }
  AddToSums(aFleet, aReport, 1);
  for (const auto& claim : aReport.partitions) {
    auto& last = aFleet.mLastOwners[claim.partition()];
    if (claim.generation() >= last.mGeneration) {
      last = OwnerClaim{ aReport.host, claim.generation() };
    }
  }
  peer.mDomain = aReport.domain;
  peer.mLast = std::move(aReport);
  peer.mLastReportAt = aNow;
  peer.mUnresponsive = false;
  return true;
}

auto MarkUnresponsive(FleetLoad& aFleet, TimePoint aDeadline) -> void
{
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
