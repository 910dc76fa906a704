// Failure detection between the hosts of a domain.
#include "mangovalve/membership/failure_detector.h"

#include <algorithm>

namespace mangovalve {
namespace {

// Added to the detection timeout of a peer that has just joined.
constexpr auto kJoinGracePeriod = std::chrono::seconds(1);
constexpr auto kProposalRetryInterval = std::chrono::seconds(1);

// This host's entry, or nullptr while it is not a member or is fenced.
auto Self(const FailureDetector& aDetector, const MemberState& aMembers)
  -> const Member*
{
  const auto* const self = FindMember(aMembers, aDetector.mHost);
  return self != nullptr && self->mFence == 0 &&
             self->mProcess == aDetector.mProcess && !aDetector.mReportedFenced
           ? self
           : nullptr;
}

// Unfenced peers of the domain, ordered by name, without this host.
auto ActivePeers(const FailureDetector& aDetector, const MemberState& aMembers)
  -> std::vector<std::string>
{
  auto peers = ActiveInDomain(aMembers, aDetector.mDomain);
  std::erase(peers, aDetector.mHost);
  return peers;
}

auto IsActivePeer(const FailureDetector& aDetector,
                  const MemberState& aMembers,
                  const std::string& aHost) -> bool
{
  const auto* const member = FindMember(aMembers, aHost);
  return member != nullptr && member->mFence == 0 &&
         member->mDomain == aDetector.mDomain && aHost != aDetector.mHost;
}

// Number of fenced hosts that may still use their roles, since the domain has
// not settled after their fences.
auto UnsettledFenced(const FailureDetector& aDetector,
                     const MemberState& aMembers) -> std::size_t
{
  std::size_t count = 0;
  for (const auto* member : DomainMembers(aMembers, aDetector.mDomain)) {
    count += member->mFence > aDetector.mSettled ? 1 : 0;
  }
  return count;
}

// The peers that follow this host in cyclic order of names, so that every host
// is monitored by the same number of peers.
auto MonitoredPeers(const FailureDetector& aDetector,
                    const MemberState& aMembers,
                    const FailureDetectorSettings& aSettings)
  -> std::vector<std::string>
{
  auto peers = ActivePeers(aDetector, aMembers);
  const auto next =
    std::upper_bound(peers.begin(), peers.end(), aDetector.mHost);
  std::rotate(peers.begin(), next, peers.end());
  if (peers.size() > aSettings.mMonitoredPeers) {
    peers.resize(aSettings.mMonitoredPeers);
  }
  return peers;
}

auto LogAge(const FailureDetector& aDetector, TimePoint aNow) -> Duration
{
  return aDetector.mLogContactAt == TimePoint()
           ? Duration::max()
           : aNow - aDetector.mLogContactAt;
}

// Newest time at which the log, read by this host or a peer, is known to have
// contained no fence of this host.
auto LatestLogContact(const FailureDetector& aDetector,
                      const std::vector<std::string>& aPeers) -> TimePoint
{
  auto lastContact = aDetector.mLogContactAt;
  for (const auto& peer : aPeers) {
    const auto found = aDetector.mPeers.find(peer);
    if (found != aDetector.mPeers.end()) {
      lastContact = std::max(lastContact, found->second.mReplicaCurrentAt);
    }
  }
  return lastContact;
}

auto LastDomainChange(const MemberState& aMembers, const std::string& aDomain)
  -> Offset
{
  const auto found = aMembers.mDomainChanges.find(aDomain);
  return found == aMembers.mDomainChanges.end() ? 0 : found->second.mLastChange;
}

auto Confirmed(const FailureDetector& aDetector,
               const std::string& aPeer,
               Offset aOffset) -> bool
{
  const auto found = aDetector.mPeers.find(aPeer);
  return found != aDetector.mPeers.end() && found->second.mApplied > aOffset;
}

// True if every unfenced host has confirmed the change and those of them that
// were in the last settled member list are at least half of all hosts that may
// act on that list, so that the others cannot form a majority.
auto ConfirmedByDomain(const FailureDetector& aDetector,
                       const MemberState& aMembers,
                       Offset aChange) -> bool
{
  std::size_t settledHosts = 0;
  for (const auto& host : ActiveInDomain(aMembers, aDetector.mDomain)) {
    if (host != aDetector.mHost && !Confirmed(aDetector, host, aChange)) {
      return false;
    }
    settledHosts +=
      FindMember(aMembers, host)->mIncarnation <= aDetector.mSettled ? 1 : 0;
  }
  return settledHosts >= UnsettledFenced(aDetector, aMembers);
}

// Restarts the timeouts after a pause of this process, during which it received
// no heartbeats.
auto ResetTimeoutsAfterPause(FailureDetector& aDetector,
                             const FailureDetectorSettings& aSettings,
                             TimePoint aNow) -> void
{
  if (aDetector.mTickedAt != TimePoint() &&
      aNow - aDetector.mTickedAt > aSettings.mDetectionTimeout / 2) {
    for (auto& [host, peer] : aDetector.mPeers) {
      peer.mHeardAt = std::max(peer.mHeardAt, aNow);
    }
  }
  aDetector.mTickedAt = aNow;
}

} // namespace

auto OnLogContact(FailureDetector& aDetector, TimePoint aStartedAt) -> void
{
  aDetector.mLogContactAt = std::max(aDetector.mLogContactAt, aStartedAt);
}

auto OnApplied(FailureDetector& aDetector,
               const MemberState& aMembers,
               Offset aApplied) -> void
{
  aDetector.mApplied = aApplied;
  // Sends heartbeats at once to confirm a new change to the peers.
  const auto change = LastDomainChange(aMembers, aDetector.mDomain);
  if (change > aDetector.mSettled && change != aDetector.mAnnouncedChange) {
    aDetector.mAnnouncedChange = change;
    aDetector.mNextHeartbeatAt = {};
  }
  const auto* const self = FindMember(aMembers, aDetector.mHost);
  if (self != nullptr && self->mProcess != aDetector.mProcess) {
    aDetector.mReportedFenced = false;
  }
}

auto DueHeartbeats(FailureDetector& aDetector,
                   const MemberState& aMembers,
                   const FailureDetectorSettings& aSettings,
                   TimePoint aNow)
  -> std::vector<std::pair<std::string, HeartbeatInfo>>
{
  std::vector<std::pair<std::string, HeartbeatInfo>> heartbeats;
  if (aNow < aDetector.mNextHeartbeatAt) {
    return heartbeats;
  }
  aDetector.mNextHeartbeatAt = aNow + aSettings.mHeartbeatInterval;
  const auto age = LogAge(aDetector, aNow);
  const auto toAllPeers =
    aDetector.mSettled < LastDomainChange(aMembers, aDetector.mDomain) ||
    age > aSettings.mRoleLease / 2;
  const auto receivers = toAllPeers
                           ? ActivePeers(aDetector, aMembers)
                           : MonitoredPeers(aDetector, aMembers, aSettings);
  for (const auto& peer : receivers) {
    const auto sequence = ++aDetector.mSequence;
    aDetector.mSent[sequence] = aNow;
    heartbeats.emplace_back(peer,
                            HeartbeatInfo{ aDetector.mProcess,
                                           sequence,
                                           aDetector.mApplied,
                                           age,
                                           aDetector.mSettled,
                                           false });
  }
  while (aDetector.mSent.size() > kMaxSentHeartbeats) {
    aDetector.mSent.erase(aDetector.mSent.begin());
  }
  return heartbeats;
}

auto OnHeartbeat(FailureDetector& aDetector,
                 const MemberState& aMembers,
                 const std::string& aFrom,
                 const HeartbeatInfo& aHeartbeat,
                 TimePoint aNow) -> HeartbeatAckInfo
{
  HeartbeatAckInfo ack{ aHeartbeat.mSequence,
                        aDetector.mApplied,
                        LogAge(aDetector, aNow),
                        aDetector.mSettled,
                        true };
  const auto* const member = FindMember(aMembers, aFrom);
  if (!IsActivePeer(aDetector, aMembers, aFrom) ||
      member->mProcess != aHeartbeat.mProcess) {
    // A host is unknown, not fenced, until this replica has applied its join.
    ack.mFenced = member != nullptr;
    return ack;
  }
  ack.mFenced = false;
  auto& peer = aDetector.mPeers[aFrom];
  peer.mHeardAt = aNow;
  peer.mApplied = std::max(peer.mApplied, aHeartbeat.mApplied);
  peer.mDraining = aHeartbeat.mDraining;
  return ack;
}

auto OnHeartbeatAck(FailureDetector& aDetector,
                    const MemberState& aMembers,
                    const std::string& aFrom,
                    const HeartbeatAckInfo& aAck,
                    TimePoint aNow) -> void
{
  const auto sent = aDetector.mSent.find(aAck.mSequence);
  if (sent == aDetector.mSent.end() ||
      !IsActivePeer(aDetector, aMembers, aFrom)) {
    return;
  }
  const auto sentAt = sent->second;
  aDetector.mSent.erase(sent);
  if (aAck.mFenced) {
    // The report of a replica that has not applied this process's join refers
    // to an earlier process. Until this host has applied the join, it has no
    // roles.
    const auto* const self = FindMember(aMembers, aDetector.mHost);
    aDetector.mReportedFenced =
      aDetector.mReportedFenced ||
      (self != nullptr && self->mProcess == aDetector.mProcess &&
       aAck.mApplied > self->mIncarnation);
    return;
  }
  auto& peer = aDetector.mPeers[aFrom];
  peer.mHeardAt = aNow;
  peer.mAckedAt = std::max(peer.mAckedAt, sentAt);
  peer.mApplied = std::max(peer.mApplied, aAck.mApplied);
  if (aAck.mLogAge < std::chrono::hours(1)) {
    peer.mReplicaCurrentAt =
      std::max(peer.mReplicaCurrentAt, sentAt - aAck.mLogAge);
  }
  // A domain remains settled at a change, so that the result of any host is
  // valid for the others.
  if (aAck.mSettled <= LastDomainChange(aMembers, aDetector.mDomain)) {
    aDetector.mSettled = std::max(aDetector.mSettled, aAck.mSettled);
  }
}

auto RoleDeadline(const FailureDetector& aDetector,
                  const MemberState& aMembers,
                  const FailureDetectorSettings& aSettings) -> TimePoint
{
  if (Self(aDetector, aMembers) == nullptr) {
    return {};
  }
  const auto peers = ActivePeers(aDetector, aMembers);
  const auto lastContact = LatestLogContact(aDetector, peers);
  const auto bound = lastContact + kMaxWithoutLogContact;
  std::vector<TimePoint> ackTimes;
  for (const auto& peer : peers) {
    const auto found = aDetector.mPeers.find(peer);
    ackTimes.push_back(
      found == aDetector.mPeers.end() ? TimePoint() : found->second.mAckedAt);
  }
  std::sort(ackTimes.begin(), ackTimes.end(), std::greater<>());
  const auto hosts = peers.size() + 1 + UnsettledFenced(aDetector, aMembers);
  // Number of peers that form a majority together with this host.
  const auto needed = hosts / 2;
  auto deadline = lastContact + aSettings.mRoleLease;
  if (needed == 0) {
    deadline = std::max(deadline, bound);
  } else if (needed <= ackTimes.size()) {
    const auto majority = ackTimes[needed - 1] + aSettings.mRoleLease;
    deadline = std::max(deadline, std::min<TimePoint>(majority, bound));
    if (hosts == peers.size() + 1) {
      deadline = std::max(deadline, ackTimes.back() + aSettings.mRoleLease);
    }
  }
  return deadline;
}

auto FenceProposals(FailureDetector& aDetector,
                    const MemberState& aMembers,
                    const FailureDetectorSettings& aSettings,
                    TimePoint aNow) -> std::vector<FenceProposal>
{
  ResetTimeoutsAfterPause(aDetector, aSettings, aNow);
  const auto peers = ActivePeers(aDetector, aMembers);
  std::erase_if(aDetector.mPeers, [&](const auto& aPeer) {
    return std::find(peers.begin(), peers.end(), aPeer.first) == peers.end();
  });
  for (const auto& peer : peers) {
    const auto [entry, added] = aDetector.mPeers.try_emplace(peer);
    if (added || entry->second.mHeardAt == TimePoint()) {
      entry->second.mHeardAt = aNow + kJoinGracePeriod;
    }
  }
  std::vector<FenceProposal> proposals;
  if (Self(aDetector, aMembers) == nullptr) {
    return proposals;
  }
  const auto watched = MonitoredPeers(aDetector, aMembers, aSettings);
  const auto heardAny =
    std::any_of(watched.begin(), watched.end(), [&](const auto& aPeer) {
      return aNow - aDetector.mPeers[aPeer].mHeardAt <
             aSettings.mDetectionTimeout;
    });
  const auto possiblyIsolated = watched.size() > 1 && !heardAny;
  const auto timeout =
    aSettings.mDetectionTimeout * (possiblyIsolated ? 10 : 1);
  for (const auto& peer : watched) {
    auto& proposedAt = aDetector.mProposedAt[peer];
    if (aNow - aDetector.mPeers[peer].mHeardAt >= timeout &&
        (proposedAt == TimePoint() ||
         aNow - proposedAt >= kProposalRetryInterval)) {
      proposedAt = aNow;
      proposals.push_back({ peer, FindMember(aMembers, peer)->mIncarnation });
    }
  }
  return proposals;
}

auto UpdateSettled(FailureDetector& aDetector,
                   const MemberState& aMembers,
                   const FailureDetectorSettings& aSettings,
                   TimePoint aNow) -> bool
{
  const auto change = LastDomainChange(aMembers, aDetector.mDomain);
  if (aDetector.mSettled >= change) {
    return true;
  }
  if (aDetector.mPendingChange != change) {
    aDetector.mPendingChange = change;
    aDetector.mSettlesAt = TimePoint::max();
  }
  if (aDetector.mSettlesAt == TimePoint::max() &&
      ConfirmedByDomain(aDetector, aMembers, change)) {
    aDetector.mSettlesAt = aNow + aSettings.mTakeoverDelay;
  }
  if (aNow < aDetector.mSettlesAt) {
    return false;
  }
  aDetector.mSettled = change;
  return true;
}

auto UpdateRoles(RoleUse& aUse,
                 const std::vector<std::string>& aRoles,
                 const DomainChange& aChange,
                 bool aSettled) -> void
{
  const auto sawEveryChange = aUse.mLastSeenChange == aChange.mLastChange ||
                              aUse.mLastSeenChange == aChange.mPreviousChange;
  std::map<std::string, bool> used;
  for (const auto& role : aRoles) {
    const auto before = aUse.mUsed.find(role);
    const auto kept =
      sawEveryChange && before != aUse.mUsed.end() && before->second;
    used[role] = kept || aSettled;
  }
  aUse.mUsed = std::move(used);
  aUse.mLastSeenChange = aChange.mLastChange;
}

} // namespace mangovalve
