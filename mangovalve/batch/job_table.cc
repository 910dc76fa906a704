// Scheduling order, progress handoff and store records of batch jobs.
#include "mangovalve/batch/job_table.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "mangovalve/base/id.h"
#include "mangovalve/batch/flatbuffers_table.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

// Bytes reserved for keys and framing within the store's limit on a record.
constexpr std::size_t kRecordOverhead = 4096;

auto JobKeyText(const std::string& aTeam, const std::string& aId) -> std::string
{
  return absl::StrFormat("%016x/%s", StableHash(aTeam), aId);
}

auto JobKeyText(const SubmittedJob& aJob) -> std::string
{
  return JobKeyText(aJob.mTeam, aJob.mId);
}

auto BodyKey(const std::string& aJob, std::size_t aItem, std::size_t aPiece)
  -> std::string
{
  return absl::StrFormat("b/%s/%u/%u", aJob, aItem, aPiece);
}

auto ItemsKey(const std::string& aJob, std::size_t aPiece) -> std::string
{
  return absl::StrFormat("i/%s/%u", aJob, aPiece);
}

auto ResultKey(const std::string& aJob,
               std::size_t aPosition,
               std::size_t aPiece) -> std::string
{
  return absl::StrFormat("r/%s/%u/%u", aJob, aPosition, aPiece);
}

constexpr auto kClockKey = "c";

auto Pieces(std::size_t aSize, std::size_t aPiece) -> std::uint32_t
{
  return static_cast<std::uint32_t>((aSize + aPiece - 1) / aPiece);
}

using Records = std::map<std::string, const std::string*>;

// Appends the records of aBytes, split into pieces of at most aPiece bytes, to
// aRecords.
template<typename KeyOf>
auto AppendPieces(std::vector<KeyedRecord>& aRecords,
                  std::string_view aBytes,
                  std::size_t aPiece,
                  KeyOf aKeyOf) -> void
{
  for (std::size_t at = 0; at < aBytes.size(); at += aPiece) {
    aRecords.push_back(
      { aKeyOf(at / aPiece), std::string(aBytes.substr(at, aPiece)), 0 });
  }
}

// Concatenates pieces; nullopt if one is missing.
template<typename KeyOf>
auto Join(const Records& aRecords, std::uint32_t aPieces, KeyOf aKeyOf)
  -> std::optional<std::string>
{
  std::string joined;
  for (std::uint32_t piece = 0; piece < aPieces; ++piece) {
    const auto found = aRecords.find(aKeyOf(piece));
    if (found == aRecords.end()) {
      return std::nullopt;
    }
    joined += *found->second;
  }
  return joined;
}

auto LoadBodies(SubmittedJob& aJob, const Records& aRecords) -> void
{
  const auto key = JobKeyText(aJob);
  for (std::size_t i = 0; i < aJob.mItems.size(); ++i) {
    auto& item = aJob.mItems[i];
    const auto body =
      Join(aRecords, item.mSubmitted.body_pieces, [&](std::uint32_t aPiece) {
        return BodyKey(key, i, aPiece);
      });
    if (body) {
      item.mSubmitted.body.assign(body->begin(), body->end());
    }
  }
}

auto LoadResults(SubmittedJob& aJob, const Records& aRecords) -> void
{
  const auto key = JobKeyText(aJob);
  for (;; ++aJob.mNextPosition) {
    const auto position = aJob.mNextPosition;
    const auto found = aRecords.find(ResultKey(key, position, 0));
    if (found == aRecords.end()) {
      return;
    }
    const auto* record = VerifiedTable<wire::ResultRecord>(*found->second);
    if (record == nullptr || record->item() >= aJob.mItems.size()) {
      LogEvent(Severity::Error,
               "result_record_unreadable",
               { { "job", aJob.mId }, { "position", absl::StrCat(position) } });
      return;
    }
    BatchResult result{ record->item(), record->completed(), {} };
    if (record->output() != nullptr) {
      result.mOutput.assign(record->output()->begin(), record->output()->end());
    }
    const auto rest =
      Join(aRecords, record->output_pieces(), [&](std::uint32_t aPiece) {
        return ResultKey(key, position, aPiece + 1);
      });
    result.mOutput += rest.value_or("");
    aJob.mItems[result.mItem].mFinished = true;
    aJob.mResults.push_back(std::move(result));
  }
}

// The items of a job as they are stored, without bodies.
auto StoredItems(const SubmittedJob& aJob)
  -> std::vector<std::unique_ptr<wire::JobItemT>>
{
  std::vector<std::unique_ptr<wire::JobItemT>> items;
  for (const auto& item : aJob.mItems) {
    auto entry = std::make_unique<wire::JobItemT>();
    entry->id = item.mSubmitted.id;
    entry->path = item.mSubmitted.path;
    for (const auto& header : item.mSubmitted.headers) {
      entry->headers.push_back(std::make_unique<wire::HeaderFieldT>(*header));
    }
    entry->tokens = item.mSubmitted.tokens;
    entry->body_pieces = item.mSubmitted.body_pieces;
    items.push_back(std::move(entry));
  }
  return items;
}

// Reads a job record and the items that have records of their own; null if that
// is not possible.
auto LoadJob(const std::string& aValue, const Records& aRecords)
  -> SubmittedJobPtr
{
  const auto* record = VerifiedTable<wire::Job>(aValue);
  if (record == nullptr) {
    return nullptr;
  }
  wire::JobT unpacked;
  record->UnPackTo(&unpacked);
  if (unpacked.item_pieces > 0) {
    const auto key = JobKeyText(unpacked.team, unpacked.id);
    const auto joined =
      Join(aRecords, unpacked.item_pieces, [&](std::uint32_t aPiece) {
        return ItemsKey(key, aPiece);
      });
    auto items = joined ? UnpackTable<wire::Job>(*joined) : std::nullopt;
    if (!items) {
      return nullptr;
    }
    unpacked.items = std::move(items->items);
  }
  const auto pieces = unpacked.item_pieces;
  auto job = MakeJob(std::move(unpacked));
  job->mItemPieces = pieces;
  job->mDurable = true;
  return job;
}

// The clock as far as the records tell: no job is from the future.
auto LoadClock(const JobTable& aTable,
               const Records& aRecords,
               JobTime aFirst,
               TimePoint aNow) -> JobClock
{
  std::optional<JobTime> latest;
  if (const auto found = aRecords.find(kClockKey); found != aRecords.end()) {
    const auto* stored = VerifiedTable<wire::ClockReading>(*found->second);
    if (stored != nullptr) {
      latest = JobTime(std::chrono::milliseconds(stored->clock_ms()));
    } else {
      LogEvent(Severity::Error, "clock_record_unreadable");
    }
  }
  for (const auto& [key, job] : aTable.mJobs) {
    latest = std::max(latest, std::optional(job->mSubmittedAt));
  }
  return { latest.value_or(aFirst), aNow };
}

// Visits the unfinished items of durable jobs that have not been ended.
template<typename Visit>
auto ForEachOpenItem(const JobTable& aTable, const Visit& aVisit) -> void
{
  for (const auto& [key, job] : aTable.mJobs) {
    if (!job->mDurable || job->mEnded) {
      continue;
    }
    for (std::uint32_t i = 0; i < job->mItems.size(); ++i) {
      if (!job->mItems[i].mFinished) {
        aVisit(job, i);
      }
    }
  }
}

} // namespace

auto PartitionOf(const std::string& aTeam, std::uint32_t aPartitions)
  -> std::uint32_t
{
  return static_cast<std::uint32_t>(StableHash(aTeam) %
                                    std::max(1U, aPartitions));
}

auto FindJob(const JobTable& aTable,
             const std::string& aTeam,
             const std::string& aId) -> SubmittedJobPtr
{
  const auto found = aTable.mJobs.find({ aTeam, aId });
  return found == aTable.mJobs.end() ? nullptr : found->second;
}

auto MakeJob(wire::JobT aSubmission) -> SubmittedJobPtr
{
  auto job = std::make_shared<SubmittedJob>();
  job->mTeam = std::move(aSubmission.team);
  job->mId = std::move(aSubmission.id);
  job->mHost = std::move(aSubmission.host);
  job->mPath = std::move(aSubmission.path);
  job->mSubmittedAt =
    JobTime(std::chrono::milliseconds(aSubmission.submitted_ms));
  job->mEnded = aSubmission.ended;
  for (auto& item : aSubmission.items) {
    BatchItem entry;
    entry.mSubmitted = std::move(*item);
    job->mItems.push_back(std::move(entry));
  }
  return job;
}

auto QueuedTokens(const JobTable& aTable,
                  const ServingDocument& aDocument,
                  const std::string& aTeam,
                  const std::string& aRoute) -> std::uint64_t
{
  std::uint64_t tokens = 0;
  for (const auto& [key, job] : aTable.mJobs) {
    if (key.first != aTeam || job->mEnded) {
      continue;
    }
    const auto* route = FindRoute(aDocument, job->mHost, job->mPath);
    if (route == nullptr || route->mName != aRoute) {
      continue;
    }
    for (const auto& item : job->mItems) {
      tokens += item.mFinished ? 0 : item.mSubmitted.tokens;
    }
  }
  return tokens;
}

auto TotalTokens(const SubmittedJob& aJob) -> std::uint64_t
{
  std::uint64_t tokens = 0;
  for (const auto& item : aJob.mItems) {
    tokens += item.mSubmitted.tokens;
  }
  return tokens;
}

auto IsComplete(const SubmittedJob& aJob) -> bool
{
  return aJob.mEnded || aJob.mResults.size() == aJob.mItems.size();
}

auto MakeResultPage(const SubmittedJob& aJob,
                    std::uint32_t aAfter,
                    std::size_t aMaxBytes) -> wire::ResultPageT
{
  wire::ResultPageT page;
  page.total = static_cast<std::uint32_t>(aJob.mItems.size());
  page.next = aAfter;
  std::size_t bytes = 0;
  for (std::size_t i = aAfter; i < aJob.mResults.size(); ++i) {
    const auto& result = aJob.mResults[i];
    bytes += result.mOutput.size();
    if (bytes > aMaxBytes && !page.results.empty()) {
      break;
    }
    auto entry = std::make_unique<wire::ItemResultT>();
    entry->id = aJob.mItems[result.mItem].mSubmitted.id;
    entry->completed = result.mCompleted;
    entry->output = result.mOutput;
    page.results.push_back(std::move(entry));
    ++page.next;
  }
  return page;
}

auto StartsBefore(const RunnableItem& aLeft, const RunnableItem& aRight) -> bool
{
  return std::pair(aLeft.mLate, aLeft.mDue) <
         std::pair(aRight.mLate, aRight.mDue);
}

auto RunnableItems(const JobTable& aTable,
                   const ServingDocument& aDocument,
                   const std::string& aService,
                   std::size_t aMaxItems,
                   const SchedulingInput& aInput) -> std::vector<RunnableItem>
{
  std::vector<RunnableItem> items;
  const auto add = [&](const SubmittedJobPtr& aJob, std::uint32_t aIndex) {
    const auto& item = aJob->mItems[aIndex];
    const auto* route = FindRoute(aDocument, aJob->mHost, item.mSubmitted.path);
    if (item.mRunning || aInput.mNow < item.mNotBefore || route == nullptr ||
        !Allows(*route, aService)) {
      return;
    }
    const auto due = LocalTime(aTable.mClock, aJob->mSubmittedAt + route->mDue);
    const auto timeliness =
      TimelinessOf(aInput.mEstimate, item.mEvents, due, aInput.mNow);
    items.push_back({ aJob, aIndex, due, timeliness == Timeliness::Late });
  };
  ForEachOpenItem(aTable, add);
  const auto limit = std::min(aMaxItems, items.size());
  std::partial_sort(items.begin(),
                    items.begin() + static_cast<std::ptrdiff_t>(limit),
                    items.end(),
                    StartsBefore);
  items.resize(limit);
  return items;
}

auto AbandonedItems(const JobTable& aTable,
                    const ServingDocument& aDocument,
                    TimePoint aNow) -> std::vector<RunnableItem>
{
  const auto now = JobNow(aTable.mClock, aNow);
  std::vector<RunnableItem> items;
  ForEachOpenItem(
    aTable, [&](const SubmittedJobPtr& aJob, std::uint32_t aIndex) {
      const auto* route =
        FindRoute(aDocument, aJob->mHost, aJob->mItems[aIndex].mSubmitted.path);
      if (route == nullptr ||
          (route->mAbandonAfter.count() > 0 &&
           now > aJob->mSubmittedAt + route->mAbandonAfter)) {
        items.push_back({ aJob, aIndex, aNow, true });
      }
    });
  return items;
}

auto HasOpenItems(const JobTable& aTable) -> bool
{
  return std::any_of(
    aTable.mJobs.begin(), aTable.mJobs.end(), [](const auto& aEntry) {
      return !IsComplete(*aEntry.second);
    });
}

auto CollectProgress(const JobTable& aTable,
                     std::size_t aMaxBytes,
                     TimePoint aNow) -> wire::ProgressPageT
{
  wire::ProgressPageT page;
  page.clock_ms = JobNow(aTable.mClock, aNow).time_since_epoch().count();
  std::size_t bytes = 0;
  for (const auto& [key, job] : aTable.mJobs) {
    for (std::uint32_t i = 0; i < job->mItems.size() && !job->mEnded; ++i) {
      const auto& item = job->mItems[i];
      // A run can be resumed only after an event with a known id.
      const auto resumable = item.mLastEvent && !item.mOutput.empty();
      if (bytes > aMaxBytes || (!resumable && item.mFailures == 0)) {
        continue;
      }
      auto progress = std::make_unique<wire::ItemProgressT>();
      progress->team = job->mTeam;
      progress->job = job->mId;
      progress->item = i;
      progress->failures = item.mFailures;
      if (resumable) {
        progress->last_event = *item.mLastEvent;
        progress->events = item.mEvents;
        progress->completed = item.mFinished && item.mCompleted;
        progress->output.assign(item.mOutput.begin(), item.mOutput.end());
      }
      bytes += item.mOutput.size();
      page.items.push_back(std::move(progress));
    }
  }
  return page;
}

auto ApplyProgress(JobTable& aTable,
                   const wire::ProgressPageT& aPage,
                   TimePoint aNow) -> ImportedProgress
{
  Advance(
    aTable.mClock, JobTime(std::chrono::milliseconds(aPage.clock_ms)), aNow);
  ImportedProgress imported;
  for (const auto& progress : aPage.items) {
    const auto job = FindJob(aTable, progress->team, progress->job);
    if (!job || job->mEnded || progress->item >= job->mItems.size()) {
      continue;
    }
    auto& item = job->mItems[progress->item];
    if (item.mFinished || item.mRunning) {
      continue;
    }
    item.mFailures = std::max(item.mFailures, progress->failures);
    if (item.mEvents >= progress->events) {
      continue;
    }
    item.mOutput.assign(progress->output.begin(), progress->output.end());
    item.mLastEvent = progress->last_event;
    item.mEvents = progress->events;
    ++imported.mItems;
    imported.mEvents += progress->events;
    if (progress->completed) {
      imported.mCompleted.push_back({ job, progress->item, {}, false });
    }
  }
  return imported;
}

auto JobRecord(const SubmittedJob& aJob) -> KeyedRecord
{
  wire::JobT record;
  record.team = aJob.mTeam;
  record.id = aJob.mId;
  record.host = aJob.mHost;
  record.path = aJob.mPath;
  record.submitted_ms = aJob.mSubmittedAt.time_since_epoch().count();
  record.ended = aJob.mEnded;
  record.item_pieces = aJob.mItemPieces;
  if (aJob.mItemPieces == 0) {
    record.items = StoredItems(aJob);
  }
  return { absl::StrCat("j/", JobKeyText(aJob)),
           PackTable<wire::Job>(record),
           0 };
}

auto JobRecords(SubmittedJob& aJob, std::size_t aMaxRecord)
  -> std::vector<KeyedRecord>
{
  const auto piece = aMaxRecord - kRecordOverhead;
  const auto key = JobKeyText(aJob);
  std::vector<KeyedRecord> records;
  for (std::size_t i = 0; i < aJob.mItems.size(); ++i) {
    auto& item = aJob.mItems[i].mSubmitted;
    item.body_pieces = Pieces(item.body.size(), piece);
    const std::string body(item.body.begin(), item.body.end());
    AppendPieces(records, body, piece, [&](std::size_t aPiece) {
      return BodyKey(key, i, aPiece);
    });
  }
  aJob.mItemPieces = 0;
  auto record = JobRecord(aJob);
  if (record.mValue.size() > piece) {
    aJob.mItemPieces = Pieces(record.mValue.size(), piece);
    AppendPieces(records, record.mValue, piece, [&](std::size_t aPiece) {
      return ItemsKey(key, aPiece);
    });
    record = JobRecord(aJob);
  }
  records.push_back(std::move(record));
  return records;
}

auto ResultRecords(const SubmittedJob& aJob,
                   std::uint32_t aPosition,
                   const BatchResult& aResult,
                   std::size_t aMaxRecord) -> std::vector<KeyedRecord>
{
  const auto piece = aMaxRecord - kRecordOverhead;
  const auto key = JobKeyText(aJob);
  wire::ResultRecordT record;
  record.item = aResult.mItem;
  record.completed = aResult.mCompleted;
  const auto& output = aResult.mOutput;
  record.output.assign(output.begin(),
                       output.begin() + static_cast<std::ptrdiff_t>(
                                          std::min(piece, output.size())));
  record.output_pieces =
    output.size() > piece ? Pieces(output.size() - piece, piece) : 0;
  std::vector<KeyedRecord> records;
  for (std::uint32_t i = 1; i <= record.output_pieces; ++i) {
    records.push_back(
      { ResultKey(key, aPosition, i), output.substr(i * piece, piece), 0 });
  }
  records.push_back(
    { ResultKey(key, aPosition, 0), PackTable<wire::ResultRecord>(record), 0 });
  const auto& item = aJob.mItems[aResult.mItem].mSubmitted;
  for (std::uint32_t i = 0; i < item.body_pieces; ++i) {
    records.push_back({ BodyKey(key, aResult.mItem, i), "", 0 });
  }
  return records;
}

auto TombstoneRecords(const SubmittedJob& aJob, std::size_t aMaxRecord)
  -> std::vector<KeyedRecord>
{
  const auto key = JobKeyText(aJob);
  std::vector<KeyedRecord> records{ JobRecord(aJob) };
  for (std::uint32_t i = 0; i < aJob.mItemPieces; ++i) {
    records.push_back({ ItemsKey(key, i), "", 0 });
  }
  for (std::size_t i = 0; i < aJob.mItems.size(); ++i) {
    const auto& item = aJob.mItems[i];
    for (auto n = 0U; !item.mFinished && n < item.mSubmitted.body_pieces; ++n) {
      records.push_back({ BodyKey(key, i, n), "", 0 });
    }
  }
  for (std::uint32_t i = 0; i < aJob.mResults.size(); ++i) {
    for (auto& record : ResultRecords(aJob, i, aJob.mResults[i], aMaxRecord)) {
      records.push_back(std::move(record));
    }
  }
  for (auto& record : records) {
    record.mValue.clear();
  }
  return records;
}

auto ClockRecord(const JobClock& aClock, TimePoint aNow) -> KeyedRecord
{
  wire::ClockReadingT reading;
  reading.clock_ms = JobNow(aClock, aNow).time_since_epoch().count();
  return { kClockKey, PackTable<wire::ClockReading>(reading), 0 };
}

auto LoadJobs(const std::vector<KeyedRecord>& aRecords,
              JobTime aFirst,
              TimePoint aNow) -> JobTable
{
  Records records;
  for (const auto& record : aRecords) {
    if (!record.mValue.empty()) {
      records[record.mKey] = &record.mValue;
    }
  }
  JobTable table;
  for (const auto& [key, value] : records) {
    if (!key.starts_with("j/")) {
      continue;
    }
    const auto job = LoadJob(*value, records);
    if (!job) {
      LogEvent(Severity::Error, "job_record_unreadable", { { "key", key } });
      continue;
    }
    LoadBodies(*job, records);
    LoadResults(*job, records);
    table.mJobs[{ job->mTeam, job->mId }] = job;
  }
  table.mClock = LoadClock(table, records, aFirst, aNow);
  return table;
}

} // namespace mangovalve
