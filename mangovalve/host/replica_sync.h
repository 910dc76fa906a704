// Keeps this host's replica current through peers while the log is unavailable,
// and answers the requests of peers. Connects replay/peer_sync.h to the
// transport.
//
// A host requests entries once it has had no log contact for a timeout, from
// one peer at a time, in rotation over peers of all failure domains. A host
// without any state requests the whole state, also from seeds whose host names
// it does not know yet.
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
  // aOwnAddress is the address to which peers send responses; aSeeds are the
  // addresses of peers. Both have the form "IP:PORT". Registers handlers, so it
  // must be constructed before the transport starts.
  ReplicaSync(std::string aHost,
              std::string aOwnAddress,
              const std::vector<std::string>& aSeeds,
              Replica& aReplica,
              peer::Transport& aTransport);

  // Replaces the peers by the members. The peers stay if there are no members
  // but this host. Thread-safe.
  auto SetMembers(const MemberState& aMembers) -> void;

  // Records a peer's applied position from its heartbeats. Thread-safe.
  auto RecordPosition(const std::string& aHost, Offset aApplied) -> void;

  // Sends the request that is due, if any. Call about ten times a second.
  auto Tick() -> void;

  // When a peer last answered a request; the clock's epoch before the first
  // answer.
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
  StateAssembler mAssembler; // only used on the transport's I/O thread
};

} // namespace mangovalve
