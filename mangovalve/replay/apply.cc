// Applies log entries to the FleetState.
#include "mangovalve/replay/apply.h"

#include <algorithm>

#include "mangovalve/replay/records_generated.h"

namespace mangovalve {
namespace {

// Verifier bounds on a batch from the log, against malformed or hostile
// buffers.
constexpr flatbuffers::uoffset_t kMaxDepth = 16;
constexpr flatbuffers::uoffset_t kMaxTables = 1000000;

auto Dispatch(FleetState& aState,
              const RecordContext& aContext,
              const record::Record& aRecord) -> Verdict
{
  using record::RecordBody;
  switch (aRecord.body_type()) {
    case RecordBody::ConfigSubmission:
      return Apply(
        aState.mConfig, aContext, *aRecord.body_as_ConfigSubmission());
    case RecordBody::HostJoined:
      return Apply(aState.mMembers, aContext, *aRecord.body_as_HostJoined());
    case RecordBody::HostFenced:
      return Apply(aState.mMembers, aContext, *aRecord.body_as_HostFenced());
    case RecordBody::HostRemoved:
      return Apply(aState.mMembers, aContext, *aRecord.body_as_HostRemoved());
    case RecordBody::JobOpened:
      return Apply(aState.mBatch, aContext, *aRecord.body_as_JobOpened());
    case RecordBody::JobItems:
      return Apply(aState.mBatch, aContext, *aRecord.body_as_JobItems());
    case RecordBody::JobSealed:
      return Apply(aState.mBatch, aContext, *aRecord.body_as_JobSealed());
    case RecordBody::JobCancelled:
      return Apply(aState.mBatch, aContext, *aRecord.body_as_JobCancelled());
    case RecordBody::ChunkClaimed:
      return Apply(aState.mBatch, aContext, *aRecord.body_as_ChunkClaimed());
    case RecordBody::ChunkReleased:
      return Apply(aState.mBatch, aContext, *aRecord.body_as_ChunkReleased());
    case RecordBody::ItemIntent:
      return Apply(aState.mBatch, aContext, *aRecord.body_as_ItemIntent());
    case RecordBody::ItemResults:
      return Apply(aState.mBatch, aContext, *aRecord.body_as_ItemResults());
    case RecordBody::RequestIntent:
      return Apply(aState.mIntents, aContext, *aRecord.body_as_RequestIntent());
    case RecordBody::RequestOutcome:
      return Apply(
        aState.mIntents, aContext, *aRecord.body_as_RequestOutcome());
    case RecordBody::OrderIssued:
      return Apply(aState.mCommands, aContext, *aRecord.body_as_OrderIssued());
    case RecordBody::OrderEnded:
      return Apply(aState.mCommands, aContext, *aRecord.body_as_OrderEnded());
    case RecordBody::SnapshotPart:
      return Accepted(); // only read by starting hosts; changes no state
    case RecordBody::NONE:
      break;
  }
  return Rejected("unsupported");
}

// Drops the ids whose first occurrence is older than the deduplication window.
auto DropExpiredIds(FleetState& aState) -> void
{
  auto& seen = aState.mSeen;
  while (!seen.mInOrder.empty()) {
    const auto found = seen.mById.find(seen.mInOrder.front());
    if (found->second.mContext.mTime + kDeduplicationWindow >=
        aState.mLogTime) {
      return;
    }
    seen.mById.erase(found);
    seen.mInOrder.pop_front();
  }
}

// Applies one record unless it is a duplicate or its batch has expired.
auto ApplyRecord(FleetState& aState,
                 const RecordContext& aContext,
                 bool aExpired,
                 const record::Record& aRecord) -> AppliedRecord
{
  AppliedRecord applied;
  applied.mId = { aRecord.id()->high(), aRecord.id()->low() };
  applied.mType = aRecord.body_type();
  applied.mContext = aContext;
  if (const auto found = aState.mSeen.mById.find(applied.mId);
      found != aState.mSeen.mById.end()) {
    applied.mKind = AppliedRecord::Kind::Duplicate;
    applied.mContext = found->second.mContext;
    applied.mVerdict = found->second.mVerdict;
    return applied;
  }
  if (aExpired) {
    applied.mKind = AppliedRecord::Kind::Expired;
    applied.mVerdict = Rejected("expired");
    return applied;
  }
  applied.mVerdict = Dispatch(aState, aContext, aRecord);
  aState.mSeen.mById[applied.mId] = { aContext, applied.mVerdict };
  aState.mSeen.mInOrder.push_back(applied.mId);
  return applied;
}

} // namespace

auto VerifiedBatch(const std::string& aPayload) -> const record::RecordBatch*
{
  flatbuffers::Verifier verifier(
    reinterpret_cast<const std::uint8_t*>(aPayload.data()),
    aPayload.size(),
    kMaxDepth,
    kMaxTables);
  return record::VerifyRecordBatchBuffer(verifier)
           ? record::GetRecordBatch(aPayload.data())
           : nullptr;
}

auto ApplyEntry(FleetState& aState, const LogEntry& aEntry) -> ApplyOutcome
{
  if (aEntry.mOffset != aState.mNext) {
    return { aEntry.mOffset < aState.mNext ? ApplyOutcome::Kind::Stale
                                           : ApplyOutcome::Kind::Gap,
             {} };
  }
  ++aState.mNext;
  aState.mLogTime = std::max(aState.mLogTime, aEntry.mTime);
  DropExpiredIds(aState);
  const auto* const batch = VerifiedBatch(aEntry.mPayload);
  if (batch == nullptr) {
    return { ApplyOutcome::Kind::Malformed, {} };
  }
  ApplyOutcome outcome;
  if (batch->records() == nullptr) {
    return outcome;
  }
  const LogTime stamped{ std::chrono::milliseconds(batch->stamped_ms()) };
  const auto expired = stamped + kDeduplicationWindow < aState.mLogTime;
  RecordContext context{ aEntry.mOffset, 0, aState.mLogTime };
  for (const auto* const each : *batch->records()) {
    if (each->id() != nullptr && each->body() != nullptr) {
      outcome.mRecords.push_back(ApplyRecord(aState, context, expired, *each));
    }
    ++context.mIndex;
  }
  return outcome;
}

} // namespace mangovalve
