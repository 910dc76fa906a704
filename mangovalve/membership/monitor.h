// MembershipMonitor: the daemon's adapter of membership/contact.h. A thread
// sends and answers heartbeats over the transport, proposes fences, rejoins
// after a fence and keeps the roles' use up to date.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "mangovalve/membership/failure_detector.h"
#include "mangovalve/peer/messages_generated.h"
#include "mangovalve/replay/journal.h"

namespace mangovalve {

struct MembershipMonitorOptions
{
  std::string mHost;
  std::string mDomain;
  std::string mRegion;
  std::string mPeerAddress;
  std::string mOperatorAddress;
  FailureDetectorSettings mFailureDetector;
};

struct MembershipMonitorPorts
{
  std::function<auto()->TimePoint> mNow = [] { return Clock::now(); };
  // Queues an encoded frame for a peer; may drop it.
  std::function<auto(const std::string& aHost, std::string aFrame)->void> mSend;
  JournalPort mJournal;
};

class MembershipMonitor
{
public:
  MembershipMonitor(MembershipMonitorOptions aOptions,
                    MembershipMonitorPorts aPorts);
  ~MembershipMonitor();
  MembershipMonitor(const MembershipMonitor&) = delete;
  auto operator=(const MembershipMonitor&) -> MembershipMonitor& = delete;

  // Starts the heartbeat thread, and a thread that appends the join and the
  // fences and waits for their verdicts.
  auto Start() -> void;
  auto Stop() -> void;

  // Publishes the replayed members and the replica's next offset, after each
  // batch of records, in order. Any thread.
  auto SetMembers(const MemberState& aMembers, Offset aApplied) -> void;
  // A read of the log that was sent at aStartedAt left the replica current.
  // Call after SetMembers. Any thread.
  auto RecordLogContact(TimePoint aStartedAt) -> void;

  // Heartbeat and HeartbeatAck; from the transport's thread.
  auto Handle(const peer::Frame& aFrame) -> void;

  auto SetDraining(bool aDraining) -> void;
  // Fences this host by its own record, so that its roles pass on without the
  // detection timeout, and does not join again. Call when a drain begins.
  auto Leave() -> void;

  // Until when this host may use its roles; compare at each use.
  auto RolesValidUntil() const -> TimePoint;

  // True while the role's use is allowed now: this host is the first of the
  // rendezvous order of its domain's active hosts for aRole, the role's former
  // user has stopped, and the deadline has not passed. The first question
  // registers the role; ask for a role early and keep asking, since a role
  // asked for the first time after a change of members waits until the domain
  // has settled. Any thread.
  auto MayUse(const std::string& aRole) -> bool;

  // This host's incarnation (offset of its join); 0 while not a member.
  auto Incarnation() const -> Offset;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mangovalve
