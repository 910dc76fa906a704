// Builds drafts of batch records and decodes their bodies from the log.
#pragma once

#include <string>
#include <vector>

#include "mangovalve/batch/ports.h"

namespace mangovalve {

struct ItemBody
{
  std::uint32_t mIndex = 0;
  std::string mCustomId;
  std::string mBody;
};

struct ItemOutcome
{
  std::uint32_t mIndex = 0;
  record::ItemStatus mStatus = record::ItemStatus::Done;
  std::uint32_t mAttempts = 0;
  std::uint32_t mHttpStatus = 0;
  std::string mCustomId;
  std::string mBody;
};

// Estimated bytes of an item or result in a record.
auto RecordBytes(const ItemBody& aItem) -> std::size_t;
auto RecordBytes(const ItemOutcome& aOutcome) -> std::size_t;

auto DraftJobOpened(const JobKey& aKey, const JobOptions& aOptions)
  -> RecordDraft;
// Bodies of consecutive items; aUpload is 0 for a re-appended copy.
auto DraftJobItems(const JobKey& aKey,
                   Position aUpload,
                   std::vector<ItemBody> aItems) -> RecordDraft;
auto DraftJobSealed(const JobKey& aKey,
                    Position aUpload,
                    std::uint32_t aItemCount,
                    const std::string& aDigest) -> RecordDraft;
auto DraftJobCancelled(const JobKey& aKey) -> RecordDraft;
auto DraftChunkClaimed(const JobKey& aKey,
                       std::uint32_t aChunk,
                       const std::string& aHolder,
                       Offset aEndsClaim) -> RecordDraft;
auto DraftChunkReleased(const JobKey& aKey, std::uint32_t aChunk, Offset aClaim)
  -> RecordDraft;
auto DraftItemIntent(const JobKey& aKey, std::uint32_t aIndex, Offset aClaim)
  -> RecordDraft;
// aSource: position that a re-appended copy replaces, 0 for new results.
auto DraftItemResults(const JobKey& aKey,
                      std::uint32_t aChunk,
                      Offset aClaim,
                      Position aSource,
                      std::vector<ItemOutcome> aOutcomes) -> RecordDraft;

// Bodies or results of the record at a position of a fetched batch. Fails if
// the batch is malformed or the record has another type.
auto ReadItems(const std::string& aBatch, Position aPosition)
  -> Result<std::vector<ItemBody>, std::string>;
auto ReadResults(const std::string& aBatch, Position aPosition)
  -> Result<std::vector<ItemOutcome>, std::string>;

// Retries the commit until its verdict is known or aDeadline has passed. Once
// an append may have been attempted, every error is reported as OutcomeUnknown.
auto CommitUntil(const BatchPorts& aPorts,
                 const RecordDraft& aDraft,
                 CommitPriority aPriority,
                 TimePoint aDeadline) -> Result<Verdict, JournalError>;

} // namespace mangovalve
