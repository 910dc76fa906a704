// Fencing, loading and appending of one partition of batch jobs.
#include "mangovalve/batch/job_partition.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

// All owners share one writer name, since the fence compares tokens by writer.
constexpr auto kWriterName = "job-owner";

constexpr auto kCallTimeout = std::chrono::milliseconds(1500);
constexpr auto kRetryDelay = std::chrono::milliseconds(100);

// Longest time between two records of the partition's time while items are
// open: what a next owner may lose of their age if this one dies.
constexpr auto kClockInterval = std::chrono::seconds(5);

// Bytes of records in one append. A larger append blocks the partition and all
// appends queued behind it for too long.
constexpr std::size_t kMaxBytesPerAppend = 512UL << 10U;

// The low bits of a token hold the time of the opening in units of 100 ms.
// Tokens then stay below 2^53, the largest integer that JSON numbers hold
// exactly, for 131,072 generations.
constexpr auto kTimeBits = 36U;
constexpr auto kTimeUnit = std::chrono::milliseconds(100);

// Increment of the token after an attempt was fenced by a process whose clock
// was ahead: about seven minutes in units of kTimeUnit.
constexpr std::uint64_t kFenceStep = 4096;
constexpr int kFenceAttempts = 3;

auto BytesOf(const std::vector<KeyedRecord>& aRecords) -> std::size_t
{
  std::size_t bytes = 0;
  for (const auto& record : aRecords) {
    bytes += record.mKey.size() + record.mValue.size();
  }
  return bytes;
}

} // namespace

auto FenceToken(std::uint64_t aGeneration, WallTime aOpenedAt) -> std::uint64_t
{
  const auto opened =
    static_cast<std::uint64_t>(aOpenedAt.time_since_epoch() / kTimeUnit);
  return (aGeneration << kTimeBits) |
         (opened & ((std::uint64_t{ 1 } << kTimeBits) - 1));
}

JobPartition::JobPartition(asio::io_context& aLoop,
                           const TablePorts& aTables,
                           std::uint32_t aPartition,
                           std::uint64_t aGeneration,
                           WallTime aOpenedAt,
                           ProgressSource aFetchProgress)
  : mLoop(aLoop)
  , mTables(aTables)
  , mPartition(aPartition)
  , mGeneration(aGeneration)
  , mOpenedAt(aOpenedAt)
  , mToken(FenceToken(aGeneration, aOpenedAt))
  , mFirstTime(aOpenedAt.time_since_epoch())
  , mFetchProgress(std::move(aFetchProgress))
  , mQueued(aLoop)
{
}

auto JobPartition::Run() -> Task<>
{
  const auto keepAlive = shared_from_this(); // until the last append
  const auto opened = co_await Open();
  if (opened) {
    co_await ImportProgress();
    mLoaded = true;
    LogEvent(Severity::Info,
             "partition_owned",
             { { "partition", absl::StrCat(mPartition) },
               { "generation", absl::StrCat(mGeneration) },
               { "jobs", absl::StrCat(mTable.mJobs.size()) },
               { "pages", absl::StrCat(mPagesLoaded) },
               { "end", absl::StrCat(mEnd) } });
    co_await AppendQueued();
  }
  mStopped = true;
  NotifyWaiters();
  LogEvent(Severity::Info,
           "partition_left",
           { { "partition", absl::StrCat(mPartition) },
             { "generation", absl::StrCat(mGeneration) } });
}

auto JobPartition::Stop() -> void
{
  mStopped = true;
  mQueued.Notify();
  NotifyWaiters();
}

auto JobPartition::Reassign(std::uint64_t aGeneration) -> void
{
  mReassigned = aGeneration;
  mQueued.Notify();
}

auto JobPartition::SetStoreReachable(bool aReachable) -> void
{
  if (aReachable != mStoreReachable) {
    LogEvent(aReachable ? Severity::Info : Severity::Warn,
             aReachable ? "partition_store_back" : "partition_store_away",
             { { "partition", absl::StrCat(mPartition) } });
  }
  mStoreReachable = aReachable;
}

auto JobPartition::Open() -> Task<bool>
{
  // An append without records only sets the fencing token. No former owner can
  // write after it, so the records loaded next are complete.
  const auto fenced = co_await AcquireFence();
  if (!fenced) {
    co_return false;
  }
  while (!mStopped) {
    const auto loaded = co_await LoadPages();
    if (loaded) {
      co_return true;
    }
    co_await SleepUntil(Clock::now() + kRetryDelay);
  }
  co_return false;
}

auto JobPartition::AcquireFence() -> Task<bool>
{
  const std::vector<KeyedRecord> none;
  for (auto attempt = 0; attempt < kFenceAttempts && !mStopped; ++attempt) {
    const auto set = co_await AppendUntilDecided(none);
    if (set == AppendResult::Durable) {
      co_return true;
    }
    // If the clock was set back, the previous process may have opened the
    // partition at a later time and so have a higher token. Tokens of later
    // generations are still higher.
    mToken += kFenceStep;
  }
  co_return false;
}

auto JobPartition::ConfirmOwnership() -> Task<bool>
{
  const auto generation = *mReassigned;
  mToken = FenceToken(generation, mOpenedAt);
  mSequence = 0;
  mClockRecordedAt = Clock::now();
  const std::vector<KeyedRecord> records{ ClockRecord(mTable.mClock,
                                                      mClockRecordedAt) };
  const auto end = mEnd;
  const auto decided = co_await AppendUntilDecided(records, end);
  const auto confirmed = decided == AppendResult::Durable;
  LogEvent(confirmed ? Severity::Info : Severity::Warn,
           confirmed ? "partition_confirmed" : "partition_not_confirmed",
           { { "partition", absl::StrCat(mPartition) },
             { "generation", absl::StrCat(generation) },
             { "end", absl::StrCat(end) } });
  FindCounter("mangovalve_partition_confirmations_total",
              { { "result", confirmed ? "unchanged" : "lost" } })
    .Add();
  if (!confirmed) {
    co_return false;
  }
  mGeneration = generation;
  // There may have been another assignment meanwhile.
  if (mReassigned == generation) {
    mReassigned.reset();
  }
  co_return true;
}

// The former owner is fenced, so its progress is final. Without this handoff,
// items that were running would start from their first event again.
auto JobPartition::ImportProgress() -> Task<>
{
  if (!mFetchProgress || mTable.mJobs.empty()) {
    co_return;
  }
  const auto page = co_await mFetchProgress(mPartition, mGeneration);
  auto imported = ApplyProgress(mTable, page, Clock::now());
  for (auto& item : imported.mCompleted) {
    auto& output = item.mJob->mItems[item.mIndex].mOutput;
    Finish(item.mJob, item.mIndex, true, std::move(output));
  }
  LogEvent(Severity::Info,
           "progress_taken",
           { { "partition", absl::StrCat(mPartition) },
             { "items", absl::StrCat(imported.mItems) },
             { "completed", absl::StrCat(imported.mCompleted.size()) },
             { "events", absl::StrCat(imported.mEvents) } });
}

auto JobPartition::LoadPages() -> Task<bool>
{
  std::vector<KeyedRecord> records;
  std::optional<Offset> end;
  std::string after;
  mPagesLoaded = 0;
  for (auto more = true; more;) {
    auto page = co_await mTables.mNewest(
      Table::Jobs, mPartition, after, Clock::now() + kCallTimeout);
    SetStoreReachable(page.has_value());
    if (!page) {
      co_return false;
    }
    more = page->mMore && !page->mRecords.empty();
    after = page->mRecords.empty() ? after : page->mRecords.back().mKey;
    std::move(page->mRecords.begin(),
              page->mRecords.end(),
              std::back_inserter(records));
    ++mPagesLoaded;
    end = end.value_or(page->mEnd);
    // Another owner has fenced this one and appended: earlier pages may lack
    // its records. Opening the partition again renews the fence.
    if (page->mEnd != *end) {
      LogEvent(Severity::Warn,
               "partition_changed_in_load",
               { { "partition", absl::StrCat(mPartition) },
                 { "generation", absl::StrCat(mGeneration) },
                 { "pages", absl::StrCat(mPagesLoaded) },
                 { "first_end", absl::StrCat(*end) },
                 { "end", absl::StrCat(page->mEnd) } });
      mStopped = true;
      co_return false;
    }
  }
  mEnd = *end;
  mTable = LoadJobs(records, mFirstTime, Clock::now());
  co_return true;
}

auto JobPartition::AppendUntilDecided(const std::vector<KeyedRecord>& aRecords,
                                      std::optional<Offset> aEndsAt)
  -> Task<AppendResult>
{
  const auto sequence = mSequence;
  while (!mStopped || !aRecords.empty()) {
    auto records = aRecords;
    std::optional<WriterFence> fence(
      WriterFence{ kWriterName, mToken, sequence, aEndsAt });
    const auto result = co_await mTables.mAppend(Table::Jobs,
                                                 mPartition,
                                                 std::move(records),
                                                 std::move(fence),
                                                 Clock::now() + kCallTimeout);
    const auto kind =
      result ? TableErrorKind::NotApplied : result.error().mKind;
    SetStoreReachable(result || kind == TableErrorKind::Fenced ||
                      kind == TableErrorKind::Sequence ||
                      kind == TableErrorKind::Moved ||
                      kind == TableErrorKind::Rejected);
    if (result && *result < mEnd + aRecords.size()) {
      // The answer to an earlier append under the same token.
      LogEvent(Severity::Error,
               "append_not_written",
               { { "partition", absl::StrCat(mPartition) },
                 { "end", absl::StrCat(mEnd) },
                 { "answered", absl::StrCat(*result) } });
      co_return AppendResult::Stopped;
    }
    if (result) {
      mSequence = sequence + 1;
      mEnd = *result;
      co_return AppendResult::Durable;
    }
    if (kind == TableErrorKind::Rejected) {
      co_return AppendResult::Rejected;
    }
    if (kind == TableErrorKind::Fenced) {
      LogEvent(Severity::Warn,
               "partition_fenced",
               { { "partition", absl::StrCat(mPartition) },
                 { "generation", absl::StrCat(mGeneration) } });
      co_return AppendResult::Stopped;
    }
    if (kind == TableErrorKind::Moved) {
      co_return AppendResult::Stopped;
    }
    if (kind == TableErrorKind::Sequence) {
      // The append was stored by an earlier attempt if the store expects the
      // next number. Any other number means that the state here does not match
      // the store. The end is not stated.
      mSequence = sequence + 1;
      mEnd = 0;
      co_return result.error().mExpected == sequence + 1
        ? AppendResult::Durable
        : AppendResult::Stopped;
    }
    if (mStopped) {
      co_return AppendResult::Stopped;
    }
    co_await SleepUntil(Clock::now() + kRetryDelay);
  }
  co_return AppendResult::Stopped;
}

auto JobPartition::BytesPerAppend() const -> std::size_t
{
  return std::min(kMaxBytesPerAppend, mTables.mMaxCallBytes / 2);
}

auto JobPartition::DequeueBatch() -> std::vector<PendingAppend>
{
  std::vector<PendingAppend> appends;
  std::size_t bytes = 0;
  while (!mQueue.empty()) {
    auto& next = mQueue.front();
    bytes += BytesOf(next.mRecords);
    if (!appends.empty() && bytes >= BytesPerAppend()) {
      break;
    }
    if (!next.mChange->mRejected) {
      appends.push_back(std::move(next));
    }
    mQueue.pop_front();
  }
  return appends;
}

auto JobPartition::AppendBatch(std::vector<PendingAppend> aAppends)
  -> Task<bool>
{
  std::vector<KeyedRecord> records;
  for (const auto& append : aAppends) {
    records.insert(
      records.end(), append.mRecords.begin(), append.mRecords.end());
  }
  mClockRecordedAt = Clock::now();
  records.push_back(ClockRecord(mTable.mClock, mClockRecordedAt));
  const auto result = co_await AppendUntilDecided(records);
  if (result == AppendResult::Stopped) {
    co_return false;
  }
  if (result == AppendResult::Durable) {
    for (const auto& append : aAppends) {
      if (append.mLast) {
        append.mChange->mOnDurable();
      }
    }
    co_return true;
  }
  if (aAppends.size() == 1) {
    co_return HandleRejection(*aAppends.front().mChange);
  }
  for (auto& append : aAppends) {
    if (append.mChange->mRejected) {
      continue;
    }
    std::vector<PendingAppend> single;
    single.push_back(std::move(append));
    const auto decided = co_await AppendBatch(std::move(single));
    if (!decided) {
      co_return false;
    }
  }
  co_return true;
}

auto JobPartition::HandleRejection(Change& aChange) -> bool
{
  aChange.mRejected = true;
  LogEvent(Severity::Error,
           "change_rejected",
           { { "partition", absl::StrCat(mPartition) },
             { "stops", aChange.mOnRejected ? "false" : "true" } });
  if (!aChange.mOnRejected) {
    return false;
  }
  aChange.mOnRejected();
  return true;
}

auto JobPartition::NextClockRecord() const -> TimePoint
{
  return HasOpenItems(mTable) ? mClockRecordedAt + kClockInterval
                              : TimePoint::max();
}

auto JobPartition::AppendQueued() -> Task<>
{
  while (!mStopped) {
    if (mReassigned) {
      mAppending = true;
      const auto confirmed = co_await ConfirmOwnership();
      mAppending = false;
      if (!confirmed) {
        co_return;
      }
      continue;
    }
    auto appends = DequeueBatch();
    const auto clockDue = NextClockRecord();
    if (appends.empty() && Clock::now() < clockDue) {
      co_await mQueued.WaitUntil(clockDue);
      continue;
    }
    mAppending = true;
    const auto decided = co_await AppendBatch(std::move(appends));
    mAppending = false;
    if (!decided) {
      co_return;
    }
    NotifyWaiters();
  }
}

auto JobPartition::Enqueue(std::vector<KeyedRecord> aRecords,
                           std::function<void()> aOnDurable,
                           std::function<void()> aOnRejected) -> void
{
  const auto change = std::make_shared<Change>(
    Change{ std::move(aOnDurable), std::move(aOnRejected) });
  std::vector<KeyedRecord> part;
  std::size_t bytes = 0;
  for (auto& record : aRecords) {
    const auto size = record.mKey.size() + record.mValue.size();
    if (!part.empty() && bytes + size > BytesPerAppend()) {
      mQueue.push_back({ std::exchange(part, {}), change });
      bytes = 0;
    }
    bytes += size;
    part.push_back(std::move(record));
  }
  mQueue.push_back({ std::move(part), change, true });
  mQueued.Notify();
}

auto JobPartition::EnqueueJob(SubmittedJobPtr aJob) -> void
{
  Enqueue(
    JobRecords(*aJob, mTables.mMaxRecordBytes),
    [aJob] { aJob->mDurable = true; },
    [this, aJob] {
      aJob->mRejected = true;
      RemoveJob(aJob);
    });
}

auto JobPartition::NotifyWaiters() -> void
{
  for (auto* waiter : mWaiters) {
    waiter->Notify();
  }
}

auto JobPartition::WaitUntil(std::function<auto()->bool> aDone,
                             TimePoint aUntil) -> Task<>
{
  const auto keepAlive = shared_from_this();
  Wakeup wakeup(mLoop);
  mWaiters.push_back(&wakeup);
  while (!aDone() && !mStopped && Clock::now() < aUntil) {
    co_await wakeup.WaitUntil(aUntil);
  }
  std::erase(mWaiters, &wakeup);
}

auto JobPartition::Submit(SubmittedJobPtr aJob,
                          std::uint64_t aQueued,
                          std::uint64_t aLimit,
                          TimePoint aDeadline) -> Task<JobOutcome>
{
  if (!Active()) {
    co_return JobOutcome::NotOwner;
  }
  auto job = FindJob(mTable, aJob->mTeam, aJob->mId);
  if (!job) {
    if (aLimit > 0 && aQueued + TotalTokens(*aJob) > aLimit) {
      co_return JobOutcome::OverLimit;
    }
    if (!mStoreReachable) {
      co_return JobOutcome::NotApplied;
    }
    job = std::move(aJob);
    mTable.mJobs[{ job->mTeam, job->mId }] = job;
    EnqueueJob(job);
  }
  std::function<auto()->bool> decided = [job] {
    return job->mDurable || job->mRejected;
  };
  co_await WaitUntil(std::move(decided), aDeadline);
  if (job->mRejected) {
    co_return JobOutcome::NotApplied;
  }
  co_return job->mDurable ? JobOutcome::Done : JobOutcome::Unknown;
}

auto JobPartition::EndJob(SubmittedJobPtr aJob, TimePoint aDeadline)
  -> Task<JobOutcome>
{
  aJob->mEnded = true;
  const auto durable = std::make_shared<bool>(false);
  Enqueue({ JobRecord(*aJob) }, [durable] { *durable = true; });
  std::function<auto()->bool> done = [durable] { return *durable; };
  co_await WaitUntil(std::move(done), aDeadline);
  co_return *durable ? JobOutcome::Done : JobOutcome::Unknown;
}

auto JobPartition::Finish(SubmittedJobPtr aJob,
                          std::uint32_t aItem,
                          bool aCompleted,
                          std::string aOutput) -> void
{
  auto& item = aJob->mItems[aItem];
  if (item.mFinished) {
    return;
  }
  item.mFinished = true;
  item.mCompleted = aCompleted;
  item.mOutput = aOutput; // for the next owner, until the result is durable
  if (mStopped) {
    return;
  }
  const auto result = std::make_shared<BatchResult>(
    BatchResult{ aItem, aCompleted, std::move(aOutput) });
  auto records = ResultRecords(
    *aJob, aJob->mNextPosition++, *result, mTables.mMaxRecordBytes);
  Enqueue(std::move(records), [aJob, result] {
    auto& done = aJob->mItems[result->mItem];
    done.mSubmitted.body = {};
    done.mOutput = {};
    aJob->mResults.push_back(std::move(*result));
  });
}

auto JobPartition::RemoveJob(SubmittedJobPtr aJob) -> void
{
  mTable.mJobs.erase({ aJob->mTeam, aJob->mId });
  Enqueue(TombstoneRecords(*aJob, mTables.mMaxRecordBytes), [] {});
}

auto JobPartition::WaitForResult(SubmittedJobPtr aJob,
                                 std::uint32_t aPosition,
                                 TimePoint aUntil) -> Task<>
{
  std::function<auto()->bool> done = [aJob, aPosition] {
    return aJob->mResults.size() > aPosition || IsComplete(*aJob);
  };
  co_await WaitUntil(std::move(done), aUntil);
}

} // namespace mangovalve
