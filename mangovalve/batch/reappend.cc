// Re-appends bodies and results before the log's retention drops them.
#include "mangovalve/batch/reappend.h"

#include <algorithm>

#include "mangovalve/batch/records.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

// Whether a record of bodies contains an item without a result.
auto IsNeeded(const BatchJob& aJob, const BodyRun& aRun) -> bool
{
  for (auto item = aRun.mFirst; item < aRun.mFirst + aRun.mCount; ++item) {
    if (!IsFinished(aJob, item)) {
      return true;
    }
  }
  return false;
}

auto CollectNeeded(const JobKey& aKey,
                   const BatchJob& aJob,
                   Offset aBefore,
                   std::vector<ReappendItem>& aItems) -> void
{
  for (const auto& run : aJob.mBodies) {
    if (OffsetOf(run.mPosition) < aBefore && IsNeeded(aJob, run)) {
      aItems.push_back({ aKey, run.mPosition, false, 0 });
    }
  }
  for (std::uint32_t chunk = 0; chunk < ChunkCount(aJob); ++chunk) {
    for (const auto position : ResultPositions(aJob, chunk)) {
      if (OffsetOf(position) < aBefore) {
        aItems.push_back({ aKey, position, true, chunk });
      }
    }
  }
}

// Draft of the copy; the error says why the record cannot be read.
auto DraftCopy(const ReappendItem& aItem, const std::string& aBatch)
  -> Result<RecordDraft, std::string>
{
  if (aItem.mResults) {
    auto results = ReadResults(aBatch, aItem.mPosition);
    if (!results) {
      return Err(results.error());
    }
    return DraftItemResults(
      aItem.mKey, aItem.mChunk, 0, aItem.mPosition, std::move(*results));
  }
  auto items = ReadItems(aBatch, aItem.mPosition);
  if (!items) {
    return Err(items.error());
  }
  return DraftJobItems(aItem.mKey, 0, std::move(*items));
}

} // namespace

auto ReappendsFor(const Holders& aHolders,
                  const std::string& aSelf,
                  const JobKey& aKey) -> bool
{
  const auto seed = StableHash(aKey.mTeam + "/" + aKey.mJob);
  const auto own = StableHash(aSelf, seed);
  return aHolders.contains(aSelf) &&
         std::none_of(
           aHolders.begin(), aHolders.end(), [&](const std::string& aHolder) {
             return StableHash(aHolder, seed) > own;
           });
}

auto RecordsToReappend(const BatchState& aState,
                       const Holders& aHolders,
                       const std::string& aSelf,
                       Offset aBefore,
                       std::size_t aLimit) -> std::vector<ReappendItem>
{
  std::vector<ReappendItem> items;
  for (const auto& [key, job] : aState.mJobs) {
    if (!job.mExpired && OffsetOf(job.mOpened) < aBefore &&
        ReappendsFor(aHolders, aSelf, key)) {
      CollectNeeded(key, job, aBefore, items);
    }
  }
  std::sort(items.begin(),
            items.end(),
            [](const ReappendItem& aLeft, const ReappendItem& aRight) {
              return aLeft.mPosition < aRight.mPosition;
            });
  items.resize(std::min(items.size(), aLimit));
  return items;
}

auto ReappendRound(const BatchPorts& aPorts,
                   const std::string& aSelf,
                   std::size_t aLimit,
                   TimePoint aDeadline) -> std::size_t
{
  const auto time = aPorts.mLogTime() - aPorts.mLogRetention / 2;
  std::vector<ReappendItem> items;
  aPorts.mRead([&](const BatchState& aState, const Holders& aHolders) {
    items = RecordsToReappend(
      aState, aHolders, aSelf, OffsetAt(aState, time), aLimit);
  });
  std::size_t reappended = 0;
  for (const auto& item : items) {
    const auto batch =
      aPorts.mJournal.mFetch(OffsetOf(item.mPosition), aDeadline);
    const auto draft =
      batch ? DraftCopy(item, *batch)
            : Result<RecordDraft, std::string>(Err(batch.error().mMessage));
    if (!draft) {
      FindCounter("batch_carry_failures_total").Add();
      LogEvent(Severity::Error,
               "batch_carry_failed",
               { { "job", item.mKey.mJob }, { "reason", draft.error() } });
      continue;
    }
    const auto verdict =
      CommitUntil(aPorts, *draft, CommitPriority::Result, aDeadline);
    if (!verdict) {
      break; // the next round re-appends the rest
    }
    reappended += verdict->mAccepted ? 1 : 0;
  }
  FindCounter("batch_records_carried_total")
    .Add(static_cast<std::int64_t>(reappended));
  return reappended;
}

} // namespace mangovalve
