// FailureDetector between domain peers: failure detection, fencing proposals,
// the time until which a host may use its roles, and when a role may pass on.
//
// Pure functions over FailureDetector; time and messages are passed in.
//
// A host may use its roles until RoleDeadline, a stored point in time that it
// finds passed after a pause. The deadline extends by the contact period from
// the newest of these:
// - an own read of the log that left the replica current (counted from when the
//   read was sent);
// - the same of a domain peer, as told by that peer;
// - answers of a majority of the domain's hosts, for kMaxWithoutLogContact at
// most
//   without contact of the first two kinds, and of all of them without bound.
// Two hosts that are cut off together thus cannot keep each other's roles alive
// while the rest of the domain fences them.
//
// A role that a member record moved may be used once the domain has settled at
// that record: every unfenced host of the domain and at least half of those
// that may act on an older list confirmed the record, and the contact period
// has passed since.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mangovalve/base/time.h"
#include "mangovalve/membership/state.h"

namespace mangovalve {

// Less than kRemovalDelay: a removed host no longer counts for the majority.
constexpr std::chrono::minutes kMaxWithoutLogContact{ 50 };

// Measured with membership_loss; docs/rates.md has the figures. Equal on all
// hosts: a successor relies on the contact period of the host before it.
struct FailureDetectorSettings
{
  Duration mHeartbeatInterval = std::chrono::milliseconds(50);
  Duration mDetectionTimeout = std::chrono::milliseconds(200);
  Duration mRoleLease = std::chrono::milliseconds(200);
  // From confirmation to the use of a moved role: the longest of the contact
  // period and the lease of a share, plus twice the drift of a clock and a bit.
  Duration mTakeoverDelay = std::chrono::milliseconds(210);
  // Peers that a host watches, whatever the size of the domain.
  std::size_t mMonitoredPeers = 2;
};

struct HeartbeatInfo
{
  Id128 mProcess;
  std::uint64_t mSequence = 0;
  Offset mApplied = 0; // next log offset of the replica
  Duration mLogAge{};  // since the sender last knew its replica current
  Offset mSettled = 0; // the domain settled at this change
  bool mDraining = false;
};

struct HeartbeatAckInfo
{
  std::uint64_t mSequence = 0;
  Offset mApplied = 0;
  Duration mLogAge{};
  Offset mSettled = 0;
  bool mFenced = false; // the sender of the heartbeat is fenced or unknown
};

struct PeerLiveness
{
  TimePoint mHeardAt{}; // any message; or when it became a peer
  TimePoint mAckedAt{}; // when the newest answered heartbeat was sent
  TimePoint
    mReplicaCurrentAt{}; // its replica was current at this time or later
  Offset mApplied = 0;
  bool mDraining = false;
};

struct FailureDetector
{
  std::string mHost;
  std::string mDomain;
  Id128 mProcess;
  Offset mApplied = 0;
  TimePoint
    mLogContactAt{}; // start of the last read that left the replica current
  std::map<std::string, PeerLiveness> mPeers;
  std::map<std::uint64_t, TimePoint>
    mSent; // heartbeats, kMaxSentHeartbeats at most
  std::uint64_t mSequence = 0;
  TimePoint mNextHeartbeatAt{};
  TimePoint mTickedAt{};
  bool mReportedFenced = false; // by a peer; cleared by an own new join
  Offset mSettled = 0;
  Offset mAnnouncedChange =
    0; // last change that heartbeats were sent for at once
  Offset mPendingChange = 0;               // change that is being confirmed
  TimePoint mSettlesAt = TimePoint::max(); // once confirmed
  std::map<std::string, TimePoint> mProposedAt;
};

constexpr std::size_t kMaxSentHeartbeats = 4096;

// A read of the log that started at aStartedAt found nothing beyond aApplied.
auto OnLogContact(FailureDetector& aDetector, TimePoint aStartedAt) -> void;

// The replica advanced; call after each batch of records.
auto OnApplied(FailureDetector& aDetector,
               const MemberState& aMembers,
               Offset aApplied) -> void;

// Heartbeats that are due, with their receivers: the watched peers; every
// domain peer while a change is being confirmed or the log is out of reach.
auto DueHeartbeats(FailureDetector& aDetector,
                   const MemberState& aMembers,
                   const FailureDetectorSettings& aSettings,
                   TimePoint aNow)
  -> std::vector<std::pair<std::string, HeartbeatInfo>>;

auto OnHeartbeat(FailureDetector& aDetector,
                 const MemberState& aMembers,
                 const std::string& aFrom,
                 const HeartbeatInfo& aHeartbeat,
                 TimePoint aNow) -> HeartbeatAckInfo;

auto OnHeartbeatAck(FailureDetector& aDetector,
                    const MemberState& aMembers,
                    const std::string& aFrom,
                    const HeartbeatAckInfo& aAck,
                    TimePoint aNow) -> void;

// Until when this host may use its roles; the epoch of the clock if not at all.
auto RoleDeadline(const FailureDetector& aDetector,
                  const MemberState& aMembers,
                  const FailureDetectorSettings& aSettings) -> TimePoint;

struct FenceProposal
{
  std::string mHost;
  Offset mIncarnation = 0;
};

// MonitoredPeers peers that missed their heartbeats for the detection timeout.
// Nothing after a pause of this process, and not while it hears none of several
// peers, when it is more likely cut off itself.
auto FenceProposals(FailureDetector& aDetector,
                    const MemberState& aMembers,
                    const FailureDetectorSettings& aSettings,
                    TimePoint aNow) -> std::vector<FenceProposal>;

// Notes confirmations; true once the domain has settled at its last change, so
// that roles moved by it may be used.
auto UpdateSettled(FailureDetector& aDetector,
                   const MemberState& aMembers,
                   const FailureDetectorSettings& aSettings,
                   TimePoint aNow) -> bool;

// Roles that a host uses. A role that it keeps through every change of its
// domain stays in use; one that moved here is used once the domain has settled.
struct RoleUse
{
  Offset mLastSeenChange = 0;        // the domain's last change when updated
  std::map<std::string, bool> mUsed; // role -> in use
};

// Updates the use of aRoles, the roles that the current list gives this host.
auto UpdateRoles(RoleUse& aUse,
                 const std::vector<std::string>& aRoles,
                 const DomainChange& aChange,
                 bool aSettled) -> void;

} // namespace mangovalve
