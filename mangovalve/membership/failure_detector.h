// Failure detection between the hosts of a domain: heartbeats, fencing
// proposals, the deadline until which a host may use its roles, and the time
// from which a reassigned role may be used.
//
// Pure functions over FailureDetector; time and messages are passed in.
//
// A host may use its roles until RoleDeadline. The deadline is a stored point
// in time, so that a host that was paused finds it expired. It is the role
// lease (mRoleLease) after the newest of these:
// - a read of the log by this host that left its replica current, measured from
//   sending the read ("log contact");
// - the same of a domain peer, as reported by that peer;
// - acknowledgements of a majority of the domain's hosts. Without the first two
//   this counts for kMaxWithoutLogContact at most, and without a limit if all
//   hosts of the domain acknowledge.
// Hence two hosts that are partitioned off together cannot extend each other's
// deadlines while the rest of the domain fences them.
//
// A role that was reassigned by a member record may be used once the domain has
// settled at that record: every unfenced host of the domain has confirmed the
// record, among them at least half of the hosts that may act on an older member
// list, and mTakeoverDelay has passed since.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mangovalve/base/time.h"
#include "mangovalve/membership/state.h"

namespace mangovalve {

// Longest time for which a majority without log contact extends the deadline.
// Must be less than kRemovalDelay, since removed hosts do not count for the
// majority.
constexpr std::chrono::minutes kMaxWithoutLogContact{ 50 };

// All hosts must use the same values: the successor in a role relies on the
// role lease of its predecessor. docs/rates.md has the figures of the
// membership_loss benchmark behind them.
struct FailureDetectorSettings
{
  Duration mHeartbeatInterval = std::chrono::milliseconds(50);
  Duration mDetectionTimeout = std::chrono::milliseconds(200);
  Duration mRoleLease = std::chrono::milliseconds(200);
  // Delay from the confirmation of a change to the use of reassigned roles: the
  // longer one of the role lease and LimitSettings::mLease, plus twice the
  // largest clock drift and a margin.
  Duration mTakeoverDelay = std::chrono::milliseconds(210);
  // Number of peers that a host monitors, independent of the size of the
  // domain.
  std::size_t mMonitoredPeers = 2;
};

struct HeartbeatInfo
{
  Id128 mProcess;
  std::uint64_t mSequence = 0;
  Offset mApplied = 0; // next log offset of the replica
  Duration mLogAge{};  // since the sender last knew its replica current
  Offset mSettled = 0; // last change at which the domain has settled
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
  TimePoint mHeardAt{}; // last message, or start as a peer
  TimePoint mAckedAt{}; // sending of the newest acknowledged heartbeat
  // The peer's replica was current at this time or later.
  TimePoint mReplicaCurrentAt{};
  Offset mApplied = 0;
  bool mDraining = false;
};

struct FailureDetector
{
  std::string mHost;
  std::string mDomain;
  Id128 mProcess;
  Offset mApplied = 0;
  // Start of the newest read of the log that left the replica current.
  TimePoint mLogContactAt{};
  std::map<std::string, PeerLiveness> mPeers;
  // Sending times of unacknowledged heartbeats by sequence number,
  // kMaxSentHeartbeats at most.
  std::map<std::uint64_t, TimePoint> mSent;
  std::uint64_t mSequence = 0;
  TimePoint mNextHeartbeatAt{};
  TimePoint mTickedAt{};
  // A peer has reported this process as fenced. Cleared by a new join.
  bool mReportedFenced = false;
  Offset mSettled = 0;
  Offset mAnnouncedChange = 0; // last change confirmed to the peers at once
  Offset mPendingChange = 0;   // change that the domain has not settled at yet
  // When the domain settles at the pending change; max until it is confirmed.
  TimePoint mSettlesAt = TimePoint::max();
  std::map<std::string, TimePoint> mProposedAt;
};

constexpr std::size_t kMaxSentHeartbeats = 4096;

// A read of the log that was sent at aStartedAt left the replica current.
auto OnLogContact(FailureDetector& aDetector, TimePoint aStartedAt) -> void;

// The replica has advanced to aApplied. Call after each batch of records.
auto OnApplied(FailureDetector& aDetector,
               const MemberState& aMembers,
               Offset aApplied) -> void;

// Heartbeats that are due, with their receivers: the monitored peers, or every
// domain peer while a change is being confirmed or the log is unavailable.
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

// Time until which this host may use its roles; the epoch of the clock if it is
// no member, is fenced, or was reported as fenced.
auto RoleDeadline(const FailureDetector& aDetector,
                  const MemberState& aMembers,
                  const FailureDetectorSettings& aSettings) -> TimePoint;

struct FenceProposal
{
  std::string mHost;
  Offset mIncarnation = 0;
};

// Fences of monitored peers that were silent for the detection timeout. A pause
// of this process restarts the timeouts, and a process that hears none of
// several peers uses a ten times longer one, since it is probably partitioned
// off itself.
auto FenceProposals(FailureDetector& aDetector,
                    const MemberState& aMembers,
                    const FailureDetectorSettings& aSettings,
                    TimePoint aNow) -> std::vector<FenceProposal>;

// Evaluates the confirmations of the domain's last change. True once the domain
// has settled at it, so that roles reassigned by it may be used.
auto UpdateSettled(FailureDetector& aDetector,
                   const MemberState& aMembers,
                   const FailureDetectorSettings& aSettings,
                   TimePoint aNow) -> bool;

// The roles of a host and whether they are in use. A role that a host keeps
// through every change of its domain stays in use; a role that was reassigned
// to it is used once the domain has settled.
struct RoleUse
{
  Offset mLastSeenChange = 0;        // the domain's last change at the update
  std::map<std::string, bool> mUsed; // role -> in use
};

// Updates the use of aRoles, the roles assigned to this host by the current
// member list. aSettled is the result of UpdateSettled.
auto UpdateRoles(RoleUse& aUse,
                 const std::vector<std::string>& aRoles,
                 const DomainChange& aChange,
                 bool aSettled) -> void;

} // namespace mangovalve
