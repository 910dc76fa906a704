// One partition of batch jobs at its owner.
#include "mangovalve/batch/job_partition.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

// The same for all owners: the fence compares their tokens under one name.
constexpr auto kWriterName = "job-owner";

constexpr auto kAnswerTimeout = std::chrono::milliseconds(1500);
constexpr auto kRetryPause = std::chrono::milliseconds(100);

// Calls of more bytes keep the partition busy for long, and what waits behind
// them with it.
constexpr std::size_t kBytesPerAppend = 512UL << 10U;

// The start of a process in tenths of a second takes the low bits of a token.
// Tokens then stay below 2^53, the whole numbers that JSON can hold, for
// 131,072 generations.
constexpr auto kStartBits = 36U;
constexpr auto kStartUnit = std::chrono::milliseconds(100);

// Step over tokens of a process whose clock was ahead: about seven minutes.
constexpr std::uint64_t kFenceStep = 4096;
constexpr int kFenceTries = 3;

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
                           ProgressSource aFormer)
  : mLoop(aLoop)
  , mTables(aTables)
  , mPartition(aPartition)
  , mGeneration(aGeneration)
  , mToken(FenceToken(aGeneration, aStartedAt))
  , mFormer(std::move(aFormer))
  , mQueued(aLoop)
{
}

auto JobPartition::Run() -> Task<>
{
  const auto self = shared_from_this(); // lives until its last append
  const auto opened = co_await Open();
  if (opened) {
    co_await TakeProgress();
    mLoaded = true;
    LogEvent(Severity::Info,
             "partition_owned",
             { { "partition", absl::StrCat(mPartition) },
               { "generation", absl::StrCat(mGeneration) },
               { "jobs", absl::StrCat(mTable.mJobs.size()) } });
    co_await AppendQueued();
  }
  mStopped = true;
  WakeWaiters();
  LogEvent(Severity::Info,
           "partition_left",
           { { "partition", absl::StrCat(mPartition) },
             { "generation", absl::StrCat(mGeneration) } });
}

auto JobPartition::Stop() -> void
{
  mStopped = true;
  mQueued.Notify();
  WakeWaiters();
}

auto JobPartition::NoteAnswer(bool aAnswered) -> void
{
  if (aAnswered != mStoreAnswers) {
    LogEvent(aAnswered ? Severity::Info : Severity::Warn,
             aAnswered ? "partition_store_back" : "partition_store_away",
             { { "partition", absl::StrCat(mPartition) } });
  }
  mStoreAnswers = aAnswered;
}

auto JobPartition::Open() -> Task<bool>
{
  // Without records, the append only sets the fence's token. After it no
  // former owner can write, so what is loaded next stays complete.
  const auto fenced = co_await SetFence();
  if (!fenced) {
    co_return false;
  }
  while (!mStopped) {
    const auto loaded = co_await LoadPages();
    if (loaded) {
      co_return true;
    }
    co_await SleepUntil(Clock::now() + kRetryPause);
  }
  co_return false;
}

auto JobPartition::SetFence() -> Task<bool>
{
  const std::vector<KeyedRecord> none;
  for (auto tries = 0; tries < kFenceTries && !mStopped; ++tries) {
    const auto set = co_await AppendUntilDurable(none);
    if (set) {
      co_return true;
    }
    // The process before this one may have started at a later wall time, if
    // the clock was set back. Owners of later generations stay above this.
    mToken += kFenceStep;
  }
  co_return false;
}

// The fence is set, so what the former owner has of an item now is all that it
// will ever have; without it the item's run would start anew.
auto JobPartition::TakeProgress() -> Task<>
{
  if (!mFormer || mTable.mJobs.empty()) {
    co_return;
  }
  const auto page = co_await mFormer(mPartition, mGeneration);
  auto taken = ApplyProgress(mTable, page);
  for (auto& item : taken.mCompleted) {
    auto& output = item.mJob->mItems[item.mIndex].mOutput;
    Finish(item.mJob, item.mIndex, true, std::move(output));
  }
  LogEvent(Severity::Info,
           "progress_taken",
           { { "partition", absl::StrCat(mPartition) },
             { "items", absl::StrCat(taken.mItems) },
             { "completed", absl::StrCat(taken.mCompleted.size()) },
             { "events", absl::StrCat(taken.mEvents) } });
}

auto JobPartition::LoadPages() -> Task<bool>
{
  std::vector<KeyedRecord> records;
  std::string after;
  for (auto more = true; more;) {
    auto page = co_await mTables.mNewest(
      Table::Jobs, mPartition, after, Clock::now() + kAnswerTimeout);
    NoteAnswer(page.has_value());
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
                                                 Clock::now() + kAnswerTimeout);
    const auto kind =
      result ? TableErrorKind::NotApplied : result.error().mKind;
    NoteAnswer(result || kind == TableErrorKind::Fenced ||
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
      // The store has the record if it expects the next number; any other
      // number means that the state here is not what the store has.
      mSequence = sequence + 1;
      co_return result.error().mExpected == sequence + 1;
    }
    if (mStopped) {
      co_return false;
    }
    co_await SleepUntil(Clock::now() + kRetryPause);
  }
  co_return false;
}

auto JobPartition::TakeBatch(std::vector<Write>& aWrites)
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
    aWrites.push_back(std::move(write));
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
    std::vector<Write> writes;
    const auto records = TakeBatch(writes);
    mAppending = true;
    const auto appended = co_await AppendUntilDurable(records);
    mAppending = false;
    if (!appended) {
      co_return;
    }
    for (const auto& write : writes) {
      write.mOnDurable();
    }
    WakeWaiters();
  }
}

auto JobPartition::Enqueue(std::vector<KeyedRecord> aRecords,
                           std::function<void()> aOnDurable) -> void
{
  // A write of more bytes than one call takes goes in several; its last record
  // makes the others valid.
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

auto JobPartition::WakeWaiters() -> void
{
  for (auto* waiter : mWaiters) {
    waiter->Notify();
  }
}

auto JobPartition::WaitUntilDurable(std::shared_ptr<bool> aDurable,
                                    TimePoint aDeadline) -> Task<bool>
{
  const auto self = shared_from_this();
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
    if (!mStoreAnswers) {
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

auto JobPartition::End(SubmittedJobPtr aJob, TimePoint aDeadline)
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
  item.mOutput = aOutput; // for a next owner, until the result is durable
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

auto JobPartition::Drop(SubmittedJobPtr aJob) -> void
{
  mTable.mJobs.erase({ aJob->mTeam, aJob->mId });
  Enqueue(DropRecords(*aJob, mTables.mMaxRecordBytes), [] {});
}

auto JobPartition::WaitForResult(SubmittedJobPtr aJob,
                                 std::uint32_t aPosition,
                                 TimePoint aUntil) -> Task<>
{
  const auto self = shared_from_this();
  Wakeup wakeup(mLoop);
  mWaiters.push_back(&wakeup);
  while (aJob->mResults.size() <= aPosition && !IsOver(*aJob) && !mStopped &&
         Clock::now() < aUntil) {
    co_await wakeup.WaitUntil(aUntil);
  }
  std::erase(mWaiters, &wakeup);
}

} // namespace mangovalve
