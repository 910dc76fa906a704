// Relay of log entries and transfer of the state between hosts: conversion to
// and from peer messages, and the choice of the next request and its recipient.
// The transport is in peer/.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "mangovalve/base/time.h"
#include "mangovalve/peer/messages_generated.h"
#include "mangovalve/replay/replica.h"
#include "mangovalve/replay/snapshot.h"

namespace mangovalve {

// Payload bytes of one RecordRelay. It must fit into a frame of at most 4 MiB.
constexpr std::size_t kRelayBytes = std::size_t{ 1 } << 20;

auto BuildRelay(flatbuffers::FlatBufferBuilder& aBuilder,
                const RecentEntries& aEntries)
  -> flatbuffers::Offset<peer::RecordRelay>;
auto EntriesOf(const peer::RecordRelay& aRelay) -> std::vector<LogEntry>;

auto BuildStatePart(flatbuffers::FlatBufferBuilder& aBuilder,
                    const StatePiece& aPiece)
  -> flatbuffers::Offset<peer::StatePart>;
auto PieceOf(const peer::StatePart& aPart) -> StatePiece;

// The position of a peer's replica, as the peer last reported it.
struct PeerPosition
{
  std::string mHost;
  Offset mApplied = 0; // next entry that the peer will apply
  // Oldest entry that the peer can relay, from its last RecordRelay; nothing if
  // it has not sent one.
  std::optional<Offset> mFirstAvailable;
  TimePoint mHeardAt{};
};

struct SyncRequest
{
  enum class Kind
  {
    Relay, // RelayRequest for the entries from mFrom on
    State, // StateRequest for the whole state
  };
  Kind mKind = Kind::Relay;
  std::string mHost;
  Offset mFrom = 0;
};

struct SyncState
{
  std::optional<SyncRequest> mOutstanding;
  TimePoint mSentAt{};
  std::size_t mNextPeer = 0; // round robin over the peers that are ahead
};

struct SyncOptions
{
  // Entries are requested from a peer once the log has been unresponsive for
  // this long.
  Duration mLogTimeout = std::chrono::milliseconds(300);
  Duration mRelayTimeout = std::chrono::seconds(1);
  Duration mStateTimeout = std::chrono::seconds(30);
  // A position older than this is ignored.
  Duration mPeerMaxAge = std::chrono::seconds(3);
};

// The position of this host's own replica, for PlanSync.
struct OwnPosition
{
  Offset mNext = 0;
  bool mHasState = false; // false: no state yet to apply entries to
  std::optional<TimePoint> mLogContact; // last response of the log
};

// Returns the request to send now, or nothing. While the log is unresponsive,
// entries are requested from a peer that is ahead. The whole state is requested
// when this host has none, or when the peer no longer buffers the next entry.
// One request is outstanding at a time; when it times out, the next request
// goes to the next peer.
auto PlanSync(SyncState& aState,
              const SyncOptions& aOptions,
              const OwnPosition& aOwn,
              const std::vector<PeerPosition>& aPeers,
              TimePoint aNow) -> std::optional<SyncRequest>;

// Clears the outstanding request after its response.
auto ClearOutstanding(SyncState& aState) -> void;

} // namespace mangovalve
