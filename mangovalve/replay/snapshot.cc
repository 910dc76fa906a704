// Snapshots: splitting a saved state into pieces and reassembling it.
#include "mangovalve/replay/snapshot.h"

#include <algorithm>
#include <memory>

#include <absl/strings/str_cat.h>

#include "mangovalve/base/id.h"
#include "mangovalve/replay/records_generated.h"

namespace mangovalve {
namespace {

// Bound on the number of pieces of a snapshot, against malformed pieces.
constexpr std::uint32_t kMaxPieces = 65536;

auto Text(const flatbuffers::String* aText) -> std::string
{
  return aText == nullptr ? std::string() : aText->str();
}

auto PieceOf(const record::SnapshotPart& aPart) -> StatePiece
{
  StatePiece piece;
  piece.mAsOf = aPart.as_of();
  piece.mPart = aPart.part();
  piece.mParts = aPart.parts();
  piece.mDigest = Text(aPart.content_digest());
  if (aPart.data() != nullptr) {
    piece.mData.assign(aPart.data()->begin(), aPart.data()->end());
  }
  return piece;
}

auto Join(const StateAssembler::Assembly& aAssembly) -> std::string
{
  std::string data;
  data.reserve(aAssembly.mBytes);
  for (const auto& [part, piece] : aAssembly.mPieces) {
    data += piece;
  }
  return data;
}

} // namespace

auto SplitState(const SavedState& aState, std::size_t aPieceBytes)
  -> std::vector<StatePiece>
{
  const auto count = std::max<std::size_t>(
    (aState.mData.size() + aPieceBytes - 1) / aPieceBytes, 1);
  const auto digest = Sha256Hex(aState.mData);
  std::vector<StatePiece> pieces;
  for (std::size_t i = 0; i < count; ++i) {
    pieces.push_back({ aState.mAsOf,
                       static_cast<std::uint32_t>(i),
                       static_cast<std::uint32_t>(count),
                       digest,
                       aState.mData.substr(i * aPieceBytes, aPieceBytes) });
  }
  return pieces;
}

auto DraftPiece(const StatePiece& aPiece) -> RecordDraft
{
  const auto name = absl::StrCat("snapshot/",
                                 aPiece.mAsOf,
                                 "/",
                                 aPiece.mPart,
                                 "/",
                                 aPiece.mParts,
                                 "/",
                                 aPiece.mDigest);
  const auto shared = std::make_shared<const StatePiece>(aPiece);
  RecordDraft draft;
  draft.mId = { StableHash(name, 1), StableHash(name, 2) };
  draft.mType = record::RecordBody::SnapshotPart;
  draft.mSizeHint = aPiece.mData.size() + 256;
  draft.mBuild = [shared](flatbuffers::FlatBufferBuilder& aBuilder) {
    const auto digest = aBuilder.CreateString(shared->mDigest);
    const auto data = aBuilder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(shared->mData.data()),
      shared->mData.size());
    return record::CreateSnapshotPart(aBuilder,
                                      shared->mAsOf,
                                      shared->mPart,
                                      shared->mParts,
                                      digest,
                                      data)
      .Union();
  };
  return draft;
}

auto AddPiece(StateAssembler& aAssembler, StatePiece aPiece)
  -> std::optional<SavedState>
{
  if (aPiece.mParts == 0 || aPiece.mParts > kMaxPieces ||
      aPiece.mPart >= aPiece.mParts) {
    return std::nullopt;
  }
  const std::pair key(aPiece.mAsOf, aPiece.mDigest);
  auto& assembly = aAssembler.mAssemblies[key];
  if (assembly.mPieces.empty()) {
    assembly.mParts = aPiece.mParts;
  }
  const auto size = aPiece.mData.size();
  if (assembly.mParts != aPiece.mParts ||
      assembly.mBytes + size > kMaxStateBytes) {
    return std::nullopt;
  }
  if (assembly.mPieces.emplace(aPiece.mPart, std::move(aPiece.mData)).second) {
    assembly.mBytes += size;
  }
  std::optional<SavedState> complete;
  if (assembly.mPieces.size() == assembly.mParts) {
    SavedState state{ key.first, Join(assembly) };
    if (Sha256Hex(state.mData) == key.second) {
      complete = std::move(state);
    }
    aAssembler.mAssemblies.erase(key);
  }
  while (aAssembler.mAssemblies.size() > kMaxAssemblies) {
    aAssembler.mAssemblies.erase(aAssembler.mAssemblies.begin());
  }
  return complete;
}

auto PiecesOf(const LogEntry& aEntry) -> std::vector<StatePiece>
{
  std::vector<StatePiece> pieces;
  const auto* const batch = VerifiedBatch(aEntry.mPayload);
  if (batch == nullptr || batch->records() == nullptr) {
    return pieces;
  }
  for (const auto* const each : *batch->records()) {
    if (const auto* const part = each->body_as_SnapshotPart()) {
      pieces.push_back(PieceOf(*part));
    }
  }
  return pieces;
}

auto ObserveEntry(SnapshotSchedule& aSchedule, const LogEntry& aEntry) -> void
{
  if (!aSchedule.mTime) {
    // Without a snapshot, the interval begins with the first entry applied, so
    // that a starting host does not write one at once.
    aSchedule.mTime = aEntry.mTime;
  }
  for (auto& piece : PiecesOf(aEntry)) {
    if (piece.mAsOf <= aSchedule.mAsOf) {
      continue; // piece of an older snapshot
    }
    if (const auto state = AddPiece(aSchedule.mAssembler, std::move(piece))) {
      aSchedule.mAsOf = state->mAsOf;
      aSchedule.mTime = aEntry.mTime;
    }
  }
}

auto SnapshotDue(const SnapshotPolicy& aPolicy,
                 const SnapshotSchedule& aSchedule,
                 Offset aFirst,
                 Offset aNext,
                 LogTime aNow) -> bool
{
  if (aNext <= aSchedule.mAsOf) {
    return false;
  }
  const auto before =
    aSchedule.mAsOf > aFirst ? aSchedule.mAsOf - aFirst : Offset{ 0 };
  const auto expiring = aFirst > 0 && before * 2 < aNext - aFirst;
  const auto age = aNow - aSchedule.mTime.value_or(aNow);
  return expiring || age >= aPolicy.mInterval ||
         aNext - aSchedule.mAsOf >= aPolicy.mMaxEntries;
}

} // namespace mangovalve
