// Fencing, loading and appending of one partition of batch jobs.
#include "mangovalve/batch/job_partition.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

// All owners share one writer name, since the fence compares tokens by writer.
constexpr auto kWriterName = "job-owner";

constexpr auto kCallTimeout = std::chrono::milliseconds(1500);
constexpr auto kRetryDelay = std::chrono::milliseconds(100);

// Bytes of records in one append. A larger append blocks the partition and all
// appends queued behind it for too long.
constexpr std::size_t kBytesPerAppend = 512UL << 10U;

// The low bits of a token hold the start of the process in units of 100 ms.
// Tokens then stay below 2^53, the largest integer that JSON numbers hold
// exactly, for 131,072 generations.
constexpr auto kStartBits = 36U;
constexpr auto kStartUnit = std::chrono::milliseconds(100);

// Increment of the token after an attempt was fenced by a process whose clock
// was ahead: about seven minutes in units of kStartUnit.
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

auto FenceToken(std::uint64_t aGeneration, WallTime aStartedAt) -> std::uint64_t
{
  const auto start =
    static_cast<std::uint64_t>(aStartedAt.time_since_epoch() / kStartUnit);
  return (aGeneration << kStartBits) |
         (start & ((std::uint64_t{ 1 } << kStartBits) - 1));
}

JobPartition::JobPartition(asio::io_context& aLoop,
                           const TablePorts& aTables,
                           std::uint32_t aPartition,
                           std::uint64_t aGeneration,
                           WallTime aStartedAt,
                           ProgressSource aFetchProgress)
  : mLoop(aLoop)
  , mTables(aTables)
  , mPartition(aPartition)
  , mGeneration(aGeneration)
  , mToken(FenceToken(aGeneration, aStartedAt))
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
               { "jobs", absl::StrCat(mTable.mJobs.size()) } });
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
    const auto set = co_await AppendUntilDurable(none);
    if (set) {
      co_return true;
    }
    // If the clock was set back, the previous process may have a later start
    // time and so a higher token. Tokens of later generations are still higher.
    mToken += kFenceStep;
  }
  co_return false;
}

// The former owner is fenced, so its progress is final. Without this handoff,
// items that were running would start from their first event again.
auto JobPartition::ImportProgress() -> Task<>
{
  if (!mFetchProgress || mTable.mJobs.empty()) {
    co_return;
  }
  const auto page = co_await mFetchProgress(mPartition, mGeneration);
  auto imported = ApplyProgress(mTable, page);
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
  std::string after;
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
  }
  mTable = LoadJobs(records);
  co_return true;
}

auto JobPartition::AppendUntilDurable(const std::vector<KeyedRecord>& aRecords)
  -> Task<bool>
{
  const auto sequence = mSequence;
  while (!mStopped || !aRecords.empty()) {
    auto records = aRecords;
    std::optional<WriterFence> fence(
      WriterFence{ kWriterName, mToken, sequence });
    const auto result = co_await mTables.mAppend(Table::Jobs,
                                                 mPartition,
                                                 std::move(records),
                                                 std::move(fence),
                                                 Clock::now() + kCallTimeout);
    const auto kind =
      result ? TableErrorKind::NotApplied : result.error().mKind;
    SetStoreReachable(result || kind == TableErrorKind::Fenced ||
                      kind == TableErrorKind::Sequence);
    if (result) {
      mSequence = sequence + 1;
      co_return true;
    }
    if (kind == TableErrorKind::Fenced) {
      LogEvent(Severity::Warn,
               "partition_fenced",
               { { "partition", absl::StrCat(mPartition) },
                 { "generation", absl::StrCat(mGeneration) } });
      co_return false;
    }
    if (kind == TableErrorKind::Sequence) {
      // The append was stored by an earlier attempt if the store expects the
      // next number. Any other number means that the state here does not match
      // the store.
      mSequence = sequence + 1;
      co_return result.error().mExpected == sequence + 1;
    }
    if (mStopped) {
      co_return false;
    }
    co_await SleepUntil(Clock::now() + kRetryDelay);
  }
  co_return false;
}

auto JobPartition::DequeueBatch(std::vector<PendingAppend>& aAppends)
  -> std::vector<KeyedRecord>
{
  std::vector<KeyedRecord> records;
  std::size_t bytes = 0;
  const auto limit = std::min(kBytesPerAppend, mTables.mMaxCallBytes / 2);
  while (!mQueue.empty() && (records.empty() || bytes < limit)) {
    auto& write = mQueue.front();
    bytes += BytesOf(write.mRecords);
    if (!records.empty() && bytes >= limit) {
      break;
    }
    std::move(write.mRecords.begin(),
              write.mRecords.end(),
              std::back_inserter(records));
    aAppends.push_back(std::move(write));
    mQueue.pop_front();
  }
  return records;
}

auto JobPartition::AppendQueued() -> Task<>
{
  while (!mStopped) {
    if (mQueue.empty()) {
      co_await mQueued.WaitUntil(TimePoint::max());
      continue;
    }
    std::vector<PendingAppend> appends;
    const auto records = DequeueBatch(appends);
    mAppending = true;
    const auto appended = co_await AppendUntilDurable(records);
    mAppending = false;
    if (!appended) {
      co_return;
    }
    for (const auto& write : appends) {
      write.mOnDurable();
    }
    NotifyWaiters();
  }
}

auto JobPartition::Enqueue(std::vector<KeyedRecord> aRecords,
                           std::function<void()> aOnDurable) -> void
{
  // Records of more than kBytesPerAppend are split into several appends. The
  // last record makes the others valid, so a partial write has no effect.
  std::vector<KeyedRecord> part;
  std::size_t bytes = 0;
  for (auto& record : aRecords) {
    const auto size = record.mKey.size() + record.mValue.size();
    if (!part.empty() && bytes + size > kBytesPerAppend) {
      mQueue.push_back({ std::exchange(part, {}), [] {} });
      bytes = 0;
    }
    bytes += size;
    part.push_back(std::move(record));
  }
  mQueue.push_back({ std::move(part), std::move(aOnDurable) });
  mQueued.Notify();
}

auto JobPartition::NotifyWaiters() -> void
{
  for (auto* waiter : mWaiters) {
    waiter->Notify();
  }
}

auto JobPartition::WaitUntilDurable(std::shared_ptr<bool> aDurable,
                                    TimePoint aDeadline) -> Task<bool>
{
  const auto keepAlive = shared_from_this();
  Wakeup wakeup(mLoop);
  mWaiters.push_back(&wakeup);
  while (!*aDurable && !mStopped && Clock::now() < aDeadline) {
    co_await wakeup.WaitUntil(aDeadline);
  }
  std::erase(mWaiters, &wakeup);
  co_return *aDurable;
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
    Enqueue(JobRecords(*job, mTables.mMaxRecordBytes),
            [job] { job->mDurable = true; });
  }
  const std::shared_ptr<bool> durable(job, &job->mDurable);
  const auto done = co_await WaitUntilDurable(durable, aDeadline);
  co_return done ? JobOutcome::Done : JobOutcome::Unknown;
}

auto JobPartition::EndJob(SubmittedJobPtr aJob, TimePoint aDeadline)
  -> Task<JobOutcome>
{
  aJob->mEnded = true;
  const auto durable = std::make_shared<bool>(false);
  Enqueue({ JobRecord(*aJob, mTables.mMaxRecordBytes) },
          [durable] { *durable = true; });
  const auto done = co_await WaitUntilDurable(durable, aDeadline);
  co_return done ? JobOutcome::Done : JobOutcome::Unknown;
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
  const auto keepAlive = shared_from_this();
  Wakeup wakeup(mLoop);
  mWaiters.push_back(&wakeup);
  while (aJob->mResults.size() <= aPosition && !IsComplete(*aJob) &&
         !mStopped && Clock::now() < aUntil) {
    co_await wakeup.WaitUntil(aUntil);
  }
  std::erase(mWaiters, &wakeup);
}

} // namespace mangovalve
