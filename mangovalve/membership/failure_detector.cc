// FailureDetector between domain peers.
#include "mangovalve/membership/failure_detector.h"

#include <algorithm>

namespace mangovalve {
namespace {

// A peer that just joined gets this long before it may be proposed for fencing.
constexpr auto kJoinGrace = std::chrono::seconds(1);
constexpr auto kProposeAgain = std::chrono::seconds(1);

// This host's entry, or nullptr while it is not a member or is fenced.
auto Self(const FailureDetector& aContact, const MemberState& aMembers)
  -> const Member*
{
  const auto* const self = FindMember(aMembers, aContact.mHost);
  return self != nullptr && self->mFence == 0 &&
             self->mProcess == aContact.mProcess && !aContact.mToldFenced
           ? self
           : nullptr;
}

// Unfenced peers of the domain, ordered by name, without this host.
auto ActivePeers(const FailureDetector& aContact, const MemberState& aMembers)
  -> std::vector<std::string>
{
  auto peers = ActiveInDomain(aMembers, aContact.mDomain);
  std::erase(peers, aContact.mHost);
  return peers;
}

auto IsActivePeer(const FailureDetector& aContact,
                  const MemberState& aMembers,
                  const std::string& aHost) -> bool
{
  const auto* const member = FindMember(aMembers, aHost);
  return member != nullptr && member->mFence == 0 &&
         member->mDomain == aContact.mDomain && aHost != aContact.mHost;
}

// Fenced hosts that may still act, as the domain has not settled since.
auto UnsettledFenced(const FailureDetector& aContact,
                     const MemberState& aMembers) -> std::size_t
{
  std::size_t count = 0;
  for (const auto* member : DomainMembers(aMembers, aContact.mDomain)) {
    count += member->mFence > aContact.mSettled ? 1 : 0;
  }
  return count;
}

// The peers after this host in the order of names, so that every host is
// watched by the same number of others.
auto Watched(const FailureDetector& aContact,
             const MemberState& aMembers,
             const FailureDetectorSettings& aSettings)
  -> std::vector<std::string>
{
  auto peers = ActivePeers(aContact, aMembers);
  const auto next =
    std::upper_bound(peers.begin(), peers.end(), aContact.mHost);
  std::rotate(peers.begin(), next, peers.end());
  if (peers.size() > aSettings.mWatched) {
    peers.resize(aSettings.mWatched);
  }
  return peers;
}

auto LogAge(const FailureDetector& aContact, TimePoint aNow) -> Duration
{
  return aContact.mLogAt == TimePoint() ? Duration::max()
                                        : aNow - aContact.mLogAt;
}

// Newest time at which this host's absence from the fences was certain by way
// of the log.
auto AnchoredAt(const FailureDetector& aContact,
                const std::vector<std::string>& aPeers) -> TimePoint
{
  auto anchored = aContact.mLogAt;
  for (const auto& peer : aPeers) {
    const auto found = aContact.mPeers.find(peer);
    if (found != aContact.mPeers.end()) {
      anchored = std::max(anchored, found->second.mAnchoredAt);
    }
  }
  return anchored;
}

auto ChangeOf(const MemberState& aMembers, const std::string& aDomain) -> Offset
{
  const auto found = aMembers.mDomainChanges.find(aDomain);
  return found == aMembers.mDomainChanges.end() ? 0 : found->second.mLast;
}

auto Confirmed(const FailureDetector& aContact,
               const std::string& aPeer,
               Offset aOffset) -> bool
{
  const auto found = aContact.mPeers.find(aPeer);
  return found != aContact.mPeers.end() && found->second.mApplied > aOffset;
}

// Every unfenced host confirmed the change, and those of them that were part of
// the last settled list are at least half of all that may act on that list: the
// rest can form no majority.
auto ConfirmedByDomain(const FailureDetector& aContact,
                       const MemberState& aMembers,
                       Offset aChange) -> bool
{
  std::size_t settledHosts = 0;
  for (const auto& host : ActiveInDomain(aMembers, aContact.mDomain)) {
    if (host != aContact.mHost && !Confirmed(aContact, host, aChange)) {
      return false;
    }
    settledHosts +=
      FindMember(aMembers, host)->mIncarnation <= aContact.mSettled ? 1 : 0;
  }
  return settledHosts >= UnsettledFenced(aContact, aMembers);
}

// A host that was paused heard nobody, which says nothing about its peers.
auto ForgiveAfterPause(FailureDetector& aContact,
                       const FailureDetectorSettings& aSettings,
                       TimePoint aNow) -> void
{
  if (aContact.mTickedAt != TimePoint() &&
      aNow - aContact.mTickedAt > aSettings.mDetection / 2) {
    for (auto& [host, peer] : aContact.mPeers) {
      peer.mHeardAt = std::max(peer.mHeardAt, aNow);
    }
  }
  aContact.mTickedAt = aNow;
}

} // namespace

auto OnLogContact(FailureDetector& aContact, TimePoint aStartedAt) -> void
{
  aContact.mLogAt = std::max(aContact.mLogAt, aStartedAt);
}

auto OnApplied(FailureDetector& aContact,
               const MemberState& aMembers,
               Offset aApplied) -> void
{
  aContact.mApplied = aApplied;
  // A change is confirmed to the peers at once.
  const auto change = ChangeOf(aMembers, aContact.mDomain);
  if (change > aContact.mSettled && change != aContact.mConfirmedTo) {
    aContact.mConfirmedTo = change;
    aContact.mBeatAt = {};
  }
  const auto* const self = FindMember(aMembers, aContact.mHost);
  if (self != nullptr && self->mProcess != aContact.mProcess) {
    aContact.mToldFenced = false;
  }
}

auto DueHeartbeats(FailureDetector& aContact,
                   const MemberState& aMembers,
                   const FailureDetectorSettings& aSettings,
                   TimePoint aNow)
  -> std::vector<std::pair<std::string, HeartbeatInfo>>
{
  std::vector<std::pair<std::string, HeartbeatInfo>> heartbeats;
  if (aNow < aContact.mBeatAt) {
    return heartbeats;
  }
  aContact.mBeatAt = aNow + aSettings.mHeartbeat;
  const auto age = LogAge(aContact, aNow);
  const auto wide = aContact.mSettled < ChangeOf(aMembers, aContact.mDomain) ||
                    age > aSettings.mContactPeriod / 2;
  const auto receivers = wide ? ActivePeers(aContact, aMembers)
                              : Watched(aContact, aMembers, aSettings);
  for (const auto& peer : receivers) {
    const auto sequence = ++aContact.mSequence;
    aContact.mSent[sequence] = aNow;
    heartbeats.emplace_back(peer,
                            HeartbeatInfo{ aContact.mProcess,
                                           sequence,
                                           aContact.mApplied,
                                           age,
                                           aContact.mSettled,
                                           false });
  }
  while (aContact.mSent.size() > kMaxSent) {
    aContact.mSent.erase(aContact.mSent.begin());
  }
  return heartbeats;
}

auto OnHeartbeat(FailureDetector& aContact,
                 const MemberState& aMembers,
                 const std::string& aFrom,
                 const HeartbeatInfo& aHeartbeat,
                 TimePoint aNow) -> HeartbeatAckInfo
{
  HeartbeatAckInfo ack{ aHeartbeat.mSequence,
                        aContact.mApplied,
                        LogAge(aContact, aNow),
                        aContact.mSettled,
                        true };
  const auto* const member = FindMember(aMembers, aFrom);
  if (!IsActivePeer(aContact, aMembers, aFrom) ||
      member->mProcess != aHeartbeat.mProcess) {
    // A host whose join this replica has not seen yet is unknown, not fenced.
    ack.mFenced = member != nullptr;
    return ack;
  }
  ack.mFenced = false;
  auto& peer = aContact.mPeers[aFrom];
  peer.mHeardAt = aNow;
  peer.mApplied = std::max(peer.mApplied, aHeartbeat.mApplied);
  peer.mDraining = aHeartbeat.mDraining;
  return ack;
}

auto OnHeartbeatAck(FailureDetector& aContact,
                    const MemberState& aMembers,
                    const std::string& aFrom,
                    const HeartbeatAckInfo& aAck,
                    TimePoint aNow) -> void
{
  const auto sent = aContact.mSent.find(aAck.mSequence);
  if (sent == aContact.mSent.end() ||
      !IsActivePeer(aContact, aMembers, aFrom)) {
    return;
  }
  const auto sentAt = sent->second;
  aContact.mSent.erase(sent);
  if (aAck.mFenced) {
    // A replica that has not applied this process's join speaks of a former
    // process; until the join is applied here, the host has no roles anyway.
    const auto* const self = FindMember(aMembers, aContact.mHost);
    aContact.mToldFenced =
      aContact.mToldFenced ||
      (self != nullptr && self->mProcess == aContact.mProcess &&
       aAck.mApplied > self->mIncarnation);
    return;
  }
  auto& peer = aContact.mPeers[aFrom];
  peer.mHeardAt = aNow;
  peer.mAckedAt = std::max(peer.mAckedAt, sentAt);
  peer.mApplied = std::max(peer.mApplied, aAck.mApplied);
  if (aAck.mLogAge < std::chrono::hours(1)) {
    peer.mAnchoredAt = std::max(peer.mAnchoredAt, sentAt - aAck.mLogAge);
  }
  // A settled domain is a fact about the past that any host may rely on.
  if (aAck.mSettled <= ChangeOf(aMembers, aContact.mDomain)) {
    aContact.mSettled = std::max(aContact.mSettled, aAck.mSettled);
  }
}

auto RoleDeadline(const FailureDetector& aContact,
                  const MemberState& aMembers,
                  const FailureDetectorSettings& aSettings) -> TimePoint
{
  if (Self(aContact, aMembers) == nullptr) {
    return {};
  }
  const auto peers = ActivePeers(aContact, aMembers);
  const auto anchored = AnchoredAt(aContact, peers);
  const auto bound = anchored + kMaxUnanchored;
  std::vector<TimePoint> acked;
  for (const auto& peer : peers) {
    const auto found = aContact.mPeers.find(peer);
    acked.push_back(found == aContact.mPeers.end() ? TimePoint()
                                                   : found->second.mAckedAt);
  }
  std::sort(acked.begin(), acked.end(), std::greater<>());
  const auto hosts = peers.size() + 1 + UnsettledFenced(aContact, aMembers);
  // Peers that make a majority together with this host.
  const auto needed = hosts / 2;
  auto deadline = anchored + aSettings.mContactPeriod;
  if (needed == 0) {
    deadline = std::max(deadline, bound);
  } else if (needed <= acked.size()) {
    const auto majority = acked[needed - 1] + aSettings.mContactPeriod;
    deadline = std::max(deadline, std::min<TimePoint>(majority, bound));
    if (hosts == peers.size() + 1) {
      deadline = std::max(deadline, acked.back() + aSettings.mContactPeriod);
    }
  }
  return deadline;
}

auto FenceProposals(FailureDetector& aContact,
                    const MemberState& aMembers,
                    const FailureDetectorSettings& aSettings,
                    TimePoint aNow) -> std::vector<FenceProposal>
{
  ForgiveAfterPause(aContact, aSettings, aNow);
  const auto peers = ActivePeers(aContact, aMembers);
  std::erase_if(aContact.mPeers, [&](const auto& aPeer) {
    return std::find(peers.begin(), peers.end(), aPeer.first) == peers.end();
  });
  for (const auto& peer : peers) {
    const auto [entry, added] = aContact.mPeers.try_emplace(peer);
    if (added || entry->second.mHeardAt == TimePoint()) {
      entry->second.mHeardAt = aNow + kJoinGrace;
    }
  }
  std::vector<FenceProposal> proposals;
  if (Self(aContact, aMembers) == nullptr) {
    return proposals;
  }
  const auto watched = Watched(aContact, aMembers, aSettings);
  const auto heardSome =
    std::any_of(watched.begin(), watched.end(), [&](const auto& aPeer) {
      return aNow - aContact.mPeers[aPeer].mHeardAt < aSettings.mDetection;
    });
  const auto alone = watched.size() > 1 && !heardSome;
  const auto timeout = aSettings.mDetection * (alone ? 10 : 1);
  for (const auto& peer : watched) {
    auto& proposedAt = aContact.mProposedAt[peer];
    if (aNow - aContact.mPeers[peer].mHeardAt >= timeout &&
        (proposedAt == TimePoint() || aNow - proposedAt >= kProposeAgain)) {
      proposedAt = aNow;
      proposals.push_back({ peer, FindMember(aMembers, peer)->mIncarnation });
    }
  }
  return proposals;
}

auto Settled(FailureDetector& aContact,
             const MemberState& aMembers,
             const FailureDetectorSettings& aSettings,
             TimePoint aNow) -> bool
{
  const auto change = ChangeOf(aMembers, aContact.mDomain);
  if (aContact.mSettled >= change) {
    return true;
  }
  if (aContact.mPending != change) {
    aContact.mPending = change;
    aContact.mSettlesAt = TimePoint::max();
  }
  if (aContact.mSettlesAt == TimePoint::max() &&
      ConfirmedByDomain(aContact, aMembers, change)) {
    aContact.mSettlesAt = aNow + aSettings.mTakeover;
  }
  if (aNow < aContact.mSettlesAt) {
    return false;
  }
  aContact.mSettled = change;
  return true;
}

auto UpdateRoles(RoleUse& aUse,
                 const std::vector<std::string>& aRoles,
                 const DomainChange& aChange,
                 bool aSettled) -> void
{
  const auto sawAll =
    aUse.mSeen == aChange.mLast || aUse.mSeen == aChange.mBefore;
  std::map<std::string, bool> used;
  for (const auto& role : aRoles) {
    const auto before = aUse.mUsed.find(role);
    const auto kept = sawAll && before != aUse.mUsed.end() && before->second;
    used[role] = kept || aSettled;
  }
  aUse.mUsed = std::move(used);
  aUse.mSeen = aChange.mLast;
}

} // namespace mangovalve
