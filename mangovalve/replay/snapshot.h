// Snapshots: splitting a saved state into pieces and reassembling it.
//
// A snapshot as of offset o is the state after every entry below o. Each piece
// is a SnapshotPart record in the log, or a StatePart message to a peer. Equal
// states have equal snapshots, so any host may write one, and the same snapshot
// may be written more than once.
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

// The serialized state as of an offset.
struct SavedState
{
  Offset mAsOf = 0;
  std::string mData; // see Save(const FleetState&)
};

struct StatePiece
{
  Offset mAsOf = 0;
  std::uint32_t mPart = 0;  // index of the piece, from 0 to mParts - 1
  std::uint32_t mParts = 0; // number of pieces
  std::string mDigest;      // SHA-256 of the whole data
  std::string mData;
};

// Size of one piece, which must fit into one append and into one peer frame.
constexpr std::size_t kStatePieceBytes = std::size_t{ 192 } << 10;

auto SplitState(const SavedState& aState,
                std::size_t aPieceBytes = kStatePieceBytes)
  -> std::vector<StatePiece>;

// Returns the record of one piece. The record id is derived from the content,
// so that the same piece written by two hosts takes effect once.
auto DraftPiece(const StatePiece& aPiece) -> RecordDraft;

// Collects pieces in any order. Bounded: holds the pieces of the kMaxAssemblies
// newest snapshots, and at most kMaxStateBytes of each.
struct StateAssembler
{
  struct Assembly
  {
    std::uint32_t mParts = 0;
    std::size_t mBytes = 0;
    std::map<std::uint32_t, std::string> mPieces;
  };
  // By offset and digest: pieces of copies of one snapshot are combined, and
  // pieces of different snapshots never are.
  std::map<std::pair<Offset, std::string>, Assembly> mAssemblies;
};

constexpr std::size_t kMaxAssemblies = 4;
constexpr std::size_t kMaxStateBytes = std::size_t{ 512 } << 20;

// Adds a piece. Returns the state once all its pieces are present and its
// digest matches.
auto AddPiece(StateAssembler& aAssembler, StatePiece aPiece)
  -> std::optional<SavedState>;

// Returns the snapshot pieces in a log entry; none if the entry is malformed.
auto PiecesOf(const LogEntry& aEntry) -> std::vector<StatePiece>;

// The newest snapshot in the log, as far as this host has read.
struct SnapshotSchedule
{
  Offset mAsOf = 0; // of the newest complete snapshot; 0: none yet
  // Log time at which it was completed; without a snapshot, that of the first
  // entry seen.
  std::optional<LogTime> mTime;
  StateAssembler mAssembler;
};

struct SnapshotPolicy
{
  // Log time between snapshots. At most a quarter of the platform's retention,
  // so that a snapshot is written well before a record that it replaces
  // expires.
  std::chrono::milliseconds mInterval{ 600000 };
  // Entries between snapshots; bounds the replay at the start of a host.
  Offset mMaxEntries = 200000;
};

// Updates the schedule with an applied entry, which may hold snapshot pieces.
auto ObserveEntry(SnapshotSchedule& aSchedule, const LogEntry& aEntry) -> void;

// Whether a snapshot is due: by log time, by the number of entries, or because
// less than half of the retained entries lie before the newest snapshot. aFirst
// is the oldest retained offset and aNext the next one to apply. aNow is the
// log time; the caller extrapolates it while no entries arrive, because the
// entries of an idle log expire as well.
auto SnapshotDue(const SnapshotPolicy& aPolicy,
                 const SnapshotSchedule& aSchedule,
                 Offset aFirst,
                 Offset aNext,
                 LogTime aNow) -> bool;

} // namespace mangovalve
