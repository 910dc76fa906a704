// Runs the failure detector of membership/failure_detector.h in the daemon:
// sends and answers heartbeats over the transport, proposes fences, rejoins
// after a fence, and updates which roles this host may use.
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
  // Queues an encoded frame for a peer. Frames may be dropped.
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

  // Starts the heartbeat thread and a thread that appends joins, fences and
  // removals to the log and waits for their verdicts.
  auto Start() -> void;
  auto Stop() -> void;

  // Publishes the replayed members and the replica's next offset. Call after
  // each batch of records, in the order of the log. Any thread.
  auto SetMembers(const MemberState& aMembers, Offset aApplied) -> void;
  // A read of the log that was sent at aStartedAt left the replica current.
  // Call after SetMembers. Any thread.
  auto RecordLogContact(TimePoint aStartedAt) -> void;

  // Handles Heartbeat and HeartbeatAck frames. Called by the transport's
  // thread.
  auto Handle(const peer::Frame& aFrame) -> void;

  auto SetDraining(bool aDraining) -> void;
  // Appends a fence of this host, so that its roles are reassigned without the
  // detection timeout, and does not rejoin. Call when a drain begins.
  auto Leave() -> void;

  // Time until which this host may use its roles. Compare it with the current
  // time at each use.
  auto RolesValidUntil() const -> TimePoint;

  // True if this host may use the role now: it is the first host in the
  // rendezvous order of its domain's active hosts for aRole, the previous user
  // of the role has stopped, and the role deadline has not expired. The first
  // call registers the role. Call early and regularly, since a role that is
  // registered after a change of members cannot be used until the domain has
  // settled. Any thread.
  auto MayUse(const std::string& aRole) -> bool;

  // This host's incarnation (the offset of its join); 0 while it is not a
  // member or is fenced.
  auto Incarnation() const -> Offset;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mangovalve
