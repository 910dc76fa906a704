// Snapshots: a saved state split into parts, and its reassembly.
//
// A snapshot as of offset o is the state after every entry below o. Its parts
// are records of the log, or messages to a peer. Who wrote it does not matter,
// and the same snapshot may be written more than once.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mangovalve/replay/apply.h"
#include "mangovalve/replay/fleet_state.h"
#include "mangovalve/replay/journal.h"

namespace mangovalve {

// The whole state as of an offset.
struct SavedState
{
  Offset mAsOf = 0;
  std::string mData; // see Save(const FleetState&)
};

struct StatePiece
{
  Offset mAsOf = 0;
  std::uint32_t mPart = 0; // 0 to mParts - 1
  std::uint32_t mParts = 0;
  std::string mDigest; // SHA-256 of the whole data
  std::string mData;
};

// Bytes of one part; a part must fit into one append or one frame.
constexpr std::size_t kStatePieceBytes = std::size_t{ 192 } << 10;

auto SplitState(const SavedState& aState,
                std::size_t aPieceBytes = kStatePieceBytes)
  -> std::vector<StatePiece>;

// The record of one part. Its id follows from its content, so that a part that
// two hosts write takes effect once.
auto DraftPiece(const StatePiece& aPiece) -> RecordDraft;

// Collects parts in any order. Bounded: holds the parts of the kMaxAssemblies
// newest snapshots, and at most kMaxStateBytes of each.
struct StateAssembler
{
  struct Assembly
  {
    std::uint32_t mParts = 0;
    std::size_t mBytes = 0;
    std::map<std::uint32_t, std::string> mPieces;
  };
  // By offset and digest: copies of one snapshot complete each other, and
  // different ones never mix.
  std::map<std::pair<Offset, std::string>, Assembly> mAssemblies;
};

constexpr std::size_t kMaxAssemblies = 4;
constexpr std::size_t kMaxStateBytes = std::size_t{ 512 } << 20;

// Adds a part; returns the state when it is complete and its digest is right.
auto AddPiece(StateAssembler& aAssembler, StatePiece aPiece)
  -> std::optional<SavedState>;

// The parts of snapshots in an entry of the log; none if it is malformed.
auto PiecesOf(const LogEntry& aEntry) -> std::vector<StatePiece>;

// What this host knows about the snapshots in the log.
struct SnapshotSchedule
{
  Offset mAsOf = 0; // of the newest complete snapshot; 0: none yet
  // When it became complete; without one, time of the first entry seen.
  std::optional<LogTime> mTime;
  StateAssembler mAssembler;
};

struct SnapshotPolicy
{
  // Log time between snapshots; at most a quarter of the platform's retention,
  // so that a snapshot is written well before a needed record expires.
  std::chrono::milliseconds mInterval{ 600000 };
  // Entries between snapshots; bounds the replay of a starting host.
  Offset mMaxEntries = 200000;
};

// Takes note of an entry while it is applied.
auto ObserveEntry(SnapshotSchedule& aSchedule, const LogEntry& aEntry) -> void;

// Whether a snapshot is due: by log time, by entries, or because less than half
// of what is retained lies before the newest snapshot. aFirst is the oldest
// retained offset, aNext the next one to apply, and aNow the log time,
// estimated while no entries arrive: a quiet log expires too.
auto SnapshotDue(const SnapshotPolicy& aPolicy,
                 const SnapshotSchedule& aSchedule,
                 Offset aFirst,
                 Offset aNext,
                 LogTime aNow) -> bool;

} // namespace mangovalve
