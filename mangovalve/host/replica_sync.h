// Keeps this host's replica current through peers while the log is out of
// reach, and serves peers that ask: the adapter of replay/peer_sync.h to the
// transport.
//
// A host asks for entries once the log has been silent for a while, one peer at
// a time, peers of all failure domains in turn. A host without any state asks
// for the whole state, also from seeds whose names it does not know yet.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "mangovalve/membership/state.h"
#include "mangovalve/peer/transport.h"
#include "mangovalve/replay/peer_sync.h"
#include "mangovalve/replay/replica.h"

namespace mangovalve {

class ReplicaSync
{
public:
  // aOwnAddress is where peers answer; aSeeds are peers' addresses. Registers
  // its handlers: call before the transport starts.
  ReplicaSync(std::string aHost,
              std::string aOwnAddress,
              const std::vector<std::string>& aSeeds,
              Replica& aReplica,
              peer::Transport& aTransport);

  // Publishes the member list. Any thread.
  auto SetMembers(const MemberState& aMembers) -> void;

  // Notes a peer's position from its heartbeats. Any thread.
  auto RecordPosition(const std::string& aHost, Offset aApplied) -> void;

  // Sends the request that is due; call about ten times a second.
  auto Tick() -> void;

  // When a peer last answered a request; the clock's epoch before the first.
  auto LastPeerContact() const -> TimePoint;

private:
  auto OnRelayRequest(const peer::Frame& aFrame) -> void;
  auto OnRelay(const peer::Frame& aFrame) -> void;
  auto OnStateRequest(const peer::Frame& aFrame) -> void;
  auto OnStatePart(const peer::Frame& aFrame) -> void;
  auto Positions(TimePoint aNow) const -> std::vector<PeerPosition>;

  const std::string mHost;
  const std::string mOwnAddress;
  Replica& mReplica;
  peer::Transport& mTransport;

  mutable absl::Mutex mMutex;
  std::map<std::string, PeerPosition> mPeers ABSL_GUARDED_BY(mMutex);
  SyncState mSync ABSL_GUARDED_BY(mMutex);
  TimePoint mLastPeerContact ABSL_GUARDED_BY(mMutex){};
  StateAssembler mAssembler; // I/O thread of the transport only
};

} // namespace mangovalve
