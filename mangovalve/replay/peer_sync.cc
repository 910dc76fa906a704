// Relay of log entries and transfer of the state between hosts.
#include "mangovalve/replay/peer_sync.h"

namespace mangovalve {
namespace {

auto Bytes(const std::string& aText) -> const std::uint8_t*
{
  return reinterpret_cast<const std::uint8_t*>(aText.data());
}

auto IsOutstanding(const SyncState& aState,
                   const SyncOptions& aOptions,
                   TimePoint aNow) -> bool
{
  if (!aState.mOutstanding) {
    return false;
  }
  const auto timeout = aState.mOutstanding->mKind == SyncRequest::Kind::State
                         ? aOptions.mStateTimeout
                         : aOptions.mRelayTimeout;
  return aNow - aState.mSentAt < timeout;
}

} // namespace

auto BuildRelay(flatbuffers::FlatBufferBuilder& aBuilder,
                const RecentEntries& aEntries)
  -> flatbuffers::Offset<peer::RecordRelay>
{
  std::vector<flatbuffers::Offset<peer::RelayedEntry>> entries;
  for (const auto& each : aEntries.mEntries) {
    const auto payload =
      aBuilder.CreateVector(Bytes(each.mPayload), each.mPayload.size());
    entries.push_back(peer::CreateRelayedEntry(
      aBuilder, each.mOffset, each.mTime.time_since_epoch().count(), payload));
  }
  const auto vector = aBuilder.CreateVector(entries);
  return peer::CreateRecordRelay(aBuilder, aEntries.mFirstAvailable, vector);
}

auto EntriesOf(const peer::RecordRelay& aRelay) -> std::vector<LogEntry>
{
  std::vector<LogEntry> entries;
  if (aRelay.entries() == nullptr) {
    return entries;
  }
  for (const auto* const each : *aRelay.entries()) {
    LogEntry entry;
    entry.mOffset = each->offset();
    entry.mTime = LogTime(std::chrono::milliseconds(each->time_ms()));
    if (each->payload() != nullptr) {
      entry.mPayload.assign(each->payload()->begin(), each->payload()->end());
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

auto BuildStatePart(flatbuffers::FlatBufferBuilder& aBuilder,
                    const StatePiece& aPiece)
  -> flatbuffers::Offset<peer::StatePart>
{
  const auto digest = aBuilder.CreateString(aPiece.mDigest);
  const auto data =
    aBuilder.CreateVector(Bytes(aPiece.mData), aPiece.mData.size());
  return peer::CreateStatePart(
    aBuilder, aPiece.mAsOf, aPiece.mPart, aPiece.mParts, digest, data);
}

auto PieceOf(const peer::StatePart& aPart) -> StatePiece
{
  StatePiece piece;
  piece.mAsOf = aPart.as_of();
  piece.mPart = aPart.part();
  piece.mParts = aPart.parts();
  if (aPart.content_digest() != nullptr) {
    piece.mDigest = aPart.content_digest()->str();
  }
  if (aPart.data() != nullptr) {
    piece.mData.assign(aPart.data()->begin(), aPart.data()->end());
  }
  return piece;
}

auto PlanSync(SyncState& aState,
              const SyncOptions& aOptions,
              const OwnPosition& aOwn,
              const std::vector<PeerPosition>& aPeers,
              TimePoint aNow) -> std::optional<SyncRequest>
{
  const auto logResponds =
    aOwn.mLogContact && aNow - *aOwn.mLogContact < aOptions.mLogTimeout;
  if ((aOwn.mHasState && logResponds) ||
      IsOutstanding(aState, aOptions, aNow)) {
    return std::nullopt;
  }
  std::vector<const PeerPosition*> ahead;
  for (const auto& each : aPeers) {
    const auto isAhead = !aOwn.mHasState || each.mApplied > aOwn.mNext;
    if (isAhead && aNow - each.mHeardAt < aOptions.mPeerMaxAge) {
      ahead.push_back(&each);
    }
  }
  if (ahead.empty()) {
    return std::nullopt;
  }
  const auto& chosen = *ahead[aState.mNextPeer++ % ahead.size()];
  const auto needsState =
    !aOwn.mHasState ||
    (chosen.mFirstAvailable && *chosen.mFirstAvailable > aOwn.mNext);
  aState.mOutstanding = { needsState ? SyncRequest::Kind::State
                                     : SyncRequest::Kind::Relay,
                          chosen.mHost,
                          aOwn.mNext };
  aState.mSentAt = aNow;
  return aState.mOutstanding;
}

auto ClearOutstanding(SyncState& aState) -> void
{
  aState.mOutstanding.reset();
}

} // namespace mangovalve
