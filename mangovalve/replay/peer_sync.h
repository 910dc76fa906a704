// Relay of entries and transfer of the state between hosts: conversion to and
// from the peers' messages, and the decision what to ask of whom. The transport
// is in peer/.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "mangovalve/base/time.h"
#include "mangovalve/peer/messages_generated.h"
#include "mangovalve/replay/replica.h"
#include "mangovalve/replay/snapshot.h"

namespace mangovalve {

// Payload of one RecordRelay; a frame holds at most 4 MiB.
constexpr std::size_t kRelayBytes = std::size_t{ 1 } << 20;

auto BuildRelay(flatbuffers::FlatBufferBuilder& aBuilder,
                const RecentEntries& aEntries)
  -> flatbuffers::Offset<peer::RecordRelay>;
auto EntriesOf(const peer::RecordRelay& aRelay) -> std::vector<LogEntry>;

auto BuildStatePart(flatbuffers::FlatBufferBuilder& aBuilder,
                    const StatePiece& aPiece)
  -> flatbuffers::Offset<peer::StatePart>;
auto PieceOf(const peer::StatePart& aPart) -> StatePiece;

// What this host last heard of a peer's replica.
struct PeerPosition
{
  std::string mHost;
  Offset mApplied = 0;
  // Oldest entry that the peer can relay, from its last RecordRelay.
  std::optional<Offset> mFirstAvailable;
  TimePoint mHeardAt{};
};

struct SyncRequest
{
  enum class Kind
  {
    Relay, // RelayRequest from mFrom
    State, // StateRequest
  };
  Kind mKind = Kind::Relay;
  std::string mHost;
  Offset mFrom = 0;
};

struct SyncState
{
  std::optional<SyncRequest> mOutstanding;
  TimePoint mAskedAt{};
  std::size_t mTurn = 0; // rotates over the peers that are ahead
};

struct SyncOptions
{
  // How long the log may be silent before entries are asked of a peer.
  Duration mLogTimeout = std::chrono::milliseconds(300);
  Duration mAnswerTimeout = std::chrono::seconds(1);
  Duration mStateTimeout = std::chrono::seconds(30);
  Duration mPeerMaxAge = std::chrono::seconds(3);
};

// This host's own replica, for PlanSync.
struct OwnPosition
{
  Offset mNext = 0;
  bool mHasState = false; // false: has no state to apply entries to
  std::optional<TimePoint> mLogContact;
};

// The request to send now, or nothing: entries from a peer that is ahead while
// the log is silent; the whole state when this host has none, or when the peer
// no longer holds the next entry. One request at a time; an unanswered one is
// repeated to the next peer.
auto PlanSync(SyncState& aState,
              const SyncOptions& aOptions,
              const OwnPosition& aOwn,
              const std::vector<PeerPosition>& aPeers,
              TimePoint aNow) -> std::optional<SyncRequest>;

// Takes note that the outstanding request was answered.
auto ClearOutstanding(SyncState& aState) -> void;

} // namespace mangovalve
