// Builds drafts of batch records and decodes their bodies from the log.
#include "mangovalve/batch/records.h"

#include <memory>
#include <utility>

#include <flatbuffers/flatbuffers.h>

namespace mangovalve {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using Body = flatbuffers::Offset<void>;

// Bytes of a record or item in addition to its texts, with room for padding.
constexpr std::size_t kRecordOverhead = 256;
constexpr std::size_t kItemOverhead = 64;

template<typename F>
auto Draft(record::RecordBody aType, std::size_t aBytes, F aBuild)
  -> RecordDraft
{
  RecordDraft draft;
  draft.mId = NewId();
  draft.mType = aType;
  draft.mSizeHint = aBytes + kRecordOverhead;
  draft.mBuild = [build = std::move(aBuild)](Builder& aBuilder) -> Body {
    return build(aBuilder).Union();
  };
  return draft;
}

template<typename T>
auto TotalBytes(const std::vector<T>& aValues) -> std::size_t
{
  std::size_t bytes = 0;
  for (const auto& value : aValues) {
    bytes += RecordBytes(value);
  }
  return bytes;
}

auto Text(const flatbuffers::String* aText) -> std::string
{
  return aText == nullptr ? std::string{} : aText->str();
}

// The record at a position of a fetched batch; null if the batch is malformed
// or has no such record.
auto FindRecord(const std::string& aBatch, Position aPosition)
  -> const record::Record*
{
  const auto* const data = reinterpret_cast<const std::uint8_t*>(aBatch.data());
  flatbuffers::Verifier verifier(data, aBatch.size());
  if (!record::VerifyRecordBatchBuffer(verifier)) {
    return nullptr;
  }
  const auto* const records = record::GetRecordBatch(data)->records();
  return records == nullptr || IndexOf(aPosition) >= records->size()
           ? nullptr
           : records->Get(IndexOf(aPosition));
}

} // namespace

auto RecordBytes(const ItemBody& aItem) -> std::size_t
{
  return aItem.mBody.size() + aItem.mCustomId.size() + kItemOverhead;
}

auto RecordBytes(const ItemOutcome& aOutcome) -> std::size_t
{
  return aOutcome.mBody.size() + aOutcome.mCustomId.size() + kItemOverhead;
}

auto DraftJobOpened(const JobKey& aKey, const JobOptions& aOptions)
  -> RecordDraft
{
  return Draft(
    record::RecordBody::JobOpened, 256, [aKey, aOptions](Builder& aBuilder) {
      return record::CreateJobOpenedDirect(aBuilder,
                                           aKey.mTeam.c_str(),
                                           aKey.mJob.c_str(),
                                           aOptions.mRoute.c_str(),
                                           aOptions.mModel.c_str(),
                                           0,
                                           aOptions.mChunkSize,
                                           aOptions.mMaxAttempts,
                                           aOptions.mRepeatable);
    });
}

auto DraftJobItems(const JobKey& aKey,
                   Position aUpload,
                   std::vector<ItemBody> aItems) -> RecordDraft
{
  const auto bytes = TotalBytes(aItems);
  return Draft(record::RecordBody::JobItems,
               bytes,
               [aKey, aUpload, items = std::move(aItems)](Builder& aBuilder) {
                 std::vector<flatbuffers::Offset<record::JobItem>> offsets;
                 offsets.reserve(items.size());
                 for (const auto& item : items) {
                   offsets.push_back(record::CreateJobItem(
                     aBuilder,
                     aBuilder.CreateString(item.mCustomId),
                     aBuilder.CreateString(item.mBody)));
                 }
                 return record::CreateJobItemsDirect(
                   aBuilder,
                   aKey.mTeam.c_str(),
                   aKey.mJob.c_str(),
                   items.empty() ? 0 : items.front().mIndex,
                   &offsets,
                   aUpload == 0,
                   aUpload);
               });
}

auto DraftJobSealed(const JobKey& aKey,
                    Position aUpload,
                    std::uint32_t aItemCount,
                    const std::string& aDigest) -> RecordDraft
{
  return Draft(record::RecordBody::JobSealed,
               256,
               [aKey, aUpload, aItemCount, aDigest](Builder& aBuilder) {
                 return record::CreateJobSealedDirect(aBuilder,
                                                      aKey.mTeam.c_str(),
                                                      aKey.mJob.c_str(),
                                                      aDigest.c_str(),
                                                      aUpload,
                                                      aItemCount);
               });
}

auto DraftJobCancelled(const JobKey& aKey) -> RecordDraft
{
  return Draft(
    record::RecordBody::JobCancelled, 256, [aKey](Builder& aBuilder) {
      return record::CreateJobCancelledDirect(
        aBuilder, aKey.mTeam.c_str(), aKey.mJob.c_str());
    });
}

auto DraftChunkClaimed(const JobKey& aKey,
                       std::uint32_t aChunk,
                       const std::string& aHolder,
                       Offset aEndsClaim) -> RecordDraft
{
  return Draft(record::RecordBody::ChunkClaimed,
               256,
               [aKey, aChunk, aHolder, aEndsClaim](Builder& aBuilder) {
                 return record::CreateChunkClaimedDirect(aBuilder,
                                                         aKey.mTeam.c_str(),
                                                         aKey.mJob.c_str(),
                                                         aChunk,
                                                         aHolder.c_str(),
                                                         aEndsClaim);
               });
}

auto DraftChunkReleased(const JobKey& aKey, std::uint32_t aChunk, Offset aClaim)
  -> RecordDraft
{
  return Draft(
    record::RecordBody::ChunkReleased,
    256,
    [aKey, aChunk, aClaim](Builder& aBuilder) {
      return record::CreateChunkReleasedDirect(
        aBuilder, aKey.mTeam.c_str(), aKey.mJob.c_str(), aChunk, aClaim);
    });
}

auto DraftItemIntent(const JobKey& aKey, std::uint32_t aIndex, Offset aClaim)
  -> RecordDraft
{
  return Draft(
    record::RecordBody::ItemIntent,
    256,
    [aKey, aIndex, aClaim](Builder& aBuilder) {
      return record::CreateItemIntentDirect(
        aBuilder, aKey.mTeam.c_str(), aKey.mJob.c_str(), aIndex, aClaim);
    });
}

auto DraftItemResults(const JobKey& aKey,
                      std::uint32_t aChunk,
                      Offset aClaim,
                      Position aSource,
                      std::vector<ItemOutcome> aOutcomes) -> RecordDraft
{
  const auto bytes = TotalBytes(aOutcomes);
  return Draft(record::RecordBody::ItemResults,
               bytes,
               [aKey, aChunk, aClaim, aSource, outcomes = std::move(aOutcomes)](
                 Builder& aBuilder) {
                 std::vector<flatbuffers::Offset<record::ItemResult>> offsets;
                 offsets.reserve(outcomes.size());
                 for (const auto& outcome : outcomes) {
                   offsets.push_back(record::CreateItemResult(
                     aBuilder,
                     outcome.mIndex,
                     outcome.mStatus,
                     outcome.mAttempts,
                     outcome.mHttpStatus,
                     aBuilder.CreateString(outcome.mBody),
                     aBuilder.CreateString(outcome.mCustomId)));
                 }
                 return record::CreateItemResultsDirect(aBuilder,
                                                        aKey.mTeam.c_str(),
                                                        aKey.mJob.c_str(),
                                                        aChunk,
                                                        aClaim,
                                                        &offsets,
                                                        aSource != 0,
                                                        aSource);
               });
}

auto ReadItems(const std::string& aBatch, Position aPosition)
  -> Result<std::vector<ItemBody>, std::string>
{
  const auto* const found = FindRecord(aBatch, aPosition);
  const auto* const body =
    found == nullptr ? nullptr : found->body_as_JobItems();
  if (body == nullptr || body->items() == nullptr) {
    return Err(std::string("record does not contain item bodies"));
  }
  std::vector<ItemBody> items;
  auto index = body->first_index();
  for (const auto* const item : *body->items()) {
    items.push_back({ index++, Text(item->custom_id()), Text(item->body()) });
  }
  return items;
}

auto ReadResults(const std::string& aBatch, Position aPosition)
  -> Result<std::vector<ItemOutcome>, std::string>
{
  const auto* const found = FindRecord(aBatch, aPosition);
  const auto* const body =
    found == nullptr ? nullptr : found->body_as_ItemResults();
  if (body == nullptr || body->results() == nullptr) {
    return Err(std::string("record does not contain results"));
  }
  std::vector<ItemOutcome> outcomes;
  for (const auto* const result : *body->results()) {
    outcomes.push_back({ result->index(),
                         result->status(),
                         result->attempts(),
                         result->http_status(),
                         Text(result->custom_id()),
                         Text(result->body()) });
  }
  return outcomes;
}

auto CommitUntil(const BatchPorts& aPorts,
                 const RecordDraft& aDraft,
                 CommitPriority aPriority,
                 TimePoint aDeadline) -> Result<Verdict, JournalError>
{
  auto attempted = false;
  for (;;) {
    auto committed = aPorts.mJournal.mCommit(aDraft, aPriority, aDeadline);
    if (committed) {
      return committed->mVerdict;
    }
    auto error = std::move(committed.error());
    attempted = attempted || error.mKind == JournalError::Kind::OutcomeUnknown;
    // Retries keep the record id: replay applies only its first occurrence.
    if (error.mKind != JournalError::Kind::OutcomeUnknown ||
        aPorts.mNow() >= aDeadline) {
      if (attempted) {
        error.mKind = JournalError::Kind::OutcomeUnknown;
      }
      return Err(std::move(error));
    }
  }
}

} // namespace mangovalve
