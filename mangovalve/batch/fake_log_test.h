// An in-memory log and replicas of the batch index, for the tests of this
// folder.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "mangovalve/batch/records.h"
#include "mangovalve/batch/state.h"

// In a separate namespace, because tests of other folders also define a FakeLog
// and all tests are linked into one program.
namespace mangovalve::batch_fake {

struct FakeLog
{
  struct Entry
  {
    std::string mPayload;
    LogTime mTime{};
  };
  std::vector<Entry> mEntries;
  Offset mFirst = 1; // first retained offset
  LogTime mTime{};   // of the next append
};

// Serializes the drafts as one append.
inline auto Serialize(const std::vector<RecordDraft>& aDrafts) -> std::string
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<record::Record>> records;
  for (const auto& draft : aDrafts) {
    const auto body = draft.mBuild(builder);
    const record::RecordId id(draft.mId.mHigh, draft.mId.mLow);
    records.push_back(record::CreateRecord(builder, &id, draft.mType, body));
  }
  builder.Finish(record::CreateRecordBatchDirect(builder, "fake", &records));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

// Offsets start at 1, because 0 means that a chunk is unclaimed.
inline auto Append(FakeLog& aLog, const std::vector<RecordDraft>& aDrafts)
  -> Offset
{
  aLog.mEntries.push_back({ Serialize(aDrafts), aLog.mTime });
  return aLog.mEntries.size();
}

inline auto Fetch(const FakeLog& aLog, Offset aOffset)
  -> Result<std::string, JournalError>
{
  if (aOffset < aLog.mFirst || aOffset > aLog.mEntries.size()) {
    return Err(
      JournalError{ JournalError::Kind::NotAppended, "offset not retained" });
  }
  return aLog.mEntries[aOffset - 1].mPayload;
}

inline auto ApplyRecord(BatchState& aState,
                        const RecordContext& aContext,
                        const record::Record& aRecord) -> Verdict
{
  using record::RecordBody;
  switch (aRecord.body_type()) {
    case RecordBody::JobOpened:
      return Apply(aState, aContext, *aRecord.body_as_JobOpened());
    case RecordBody::JobItems:
      return Apply(aState, aContext, *aRecord.body_as_JobItems());
    case RecordBody::JobSealed:
      return Apply(aState, aContext, *aRecord.body_as_JobSealed());
    case RecordBody::JobCancelled:
      return Apply(aState, aContext, *aRecord.body_as_JobCancelled());
    case RecordBody::ChunkClaimed:
      return Apply(aState, aContext, *aRecord.body_as_ChunkClaimed());
    case RecordBody::ChunkReleased:
      return Apply(aState, aContext, *aRecord.body_as_ChunkReleased());
    case RecordBody::ItemIntent:
      return Apply(aState, aContext, *aRecord.body_as_ItemIntent());
    case RecordBody::ItemResults:
      return Apply(aState, aContext, *aRecord.body_as_ItemResults());
    default:
      return Rejected("not_batch");
  }
}

// Replayed index of one host, and the verdicts by record id.
struct Replica
{
  BatchState mState;
  Offset mNext = 1;
  std::map<std::string, Verdict> mVerdicts;
};

inline auto Replay(Replica& aReplica, const FakeLog& aLog, Offset aEnd) -> void
{
  for (; aReplica.mNext < aEnd; ++aReplica.mNext) {
    const auto& entry = aLog.mEntries[aReplica.mNext - 1];
    const auto* const batch = record::GetRecordBatch(entry.mPayload.data());
    RecordContext context{ aReplica.mNext, 0, entry.mTime };
    for (const auto* const found : *batch->records()) {
      const auto id = ToHex({ found->id()->high(), found->id()->low() });
      if (!aReplica.mVerdicts.contains(id)) {
        aReplica.mVerdicts[id] = ApplyRecord(aReplica.mState, context, *found);
      }
      ++context.mIndex;
    }
  }
}

inline auto ReplayAll(Replica& aReplica, const FakeLog& aLog) -> void
{
  Replay(aReplica, aLog, aLog.mEntries.size() + 1);
}

// Appends one record and returns the verdict after full replay.
inline auto CommitNow(FakeLog& aLog,
                      Replica& aReplica,
                      const RecordDraft& aDraft) -> Verdict
{
  Append(aLog, { aDraft });
  ReplayAll(aReplica, aLog);
  return aReplica.mVerdicts[ToHex(aDraft.mId)];
}

inline auto TestItems(std::uint32_t aCount) -> std::vector<ItemBody>
{
  std::vector<ItemBody> items;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    items.push_back(
      { i, "c" + std::to_string(i), "{\"n\":" + std::to_string(i) + "}" });
  }
  return items;
}

// Appends the records of a sealed job to the log.
inline auto SealJob(FakeLog& aLog,
                    Replica& aReplica,
                    const JobKey& aKey,
                    const JobOptions& aOptions,
                    std::uint32_t aItems) -> Verdict
{
  const auto upload =
    CommitNow(aLog, aReplica, DraftJobOpened(aKey, aOptions)).mDetail;
  CommitNow(aLog, aReplica, DraftJobItems(aKey, upload, TestItems(aItems)));
  return CommitNow(
    aLog, aReplica, DraftJobSealed(aKey, upload, aItems, "digest"));
}

// Results that a caller can read: the first one of each item in the indexed
// records.
inline auto ReadableResults(const FakeLog& aLog, const BatchJob& aJob)
  -> std::map<std::uint32_t, ItemOutcome>
{
  std::map<std::uint32_t, ItemOutcome> outcomes;
  for (std::uint32_t chunk = 0; chunk < ChunkCount(aJob); ++chunk) {
    for (const auto position : ResultPositions(aJob, chunk)) {
      const auto batch = Fetch(aLog, OffsetOf(position));
      if (!batch) {
        continue;
      }
      auto results = ReadResults(*batch, position);
      for (auto& outcome : *results) {
        const auto index = outcome.mIndex;
        outcomes.try_emplace(index, std::move(outcome));
      }
    }
  }
  return outcomes;
}

} // namespace mangovalve::batch_fake
