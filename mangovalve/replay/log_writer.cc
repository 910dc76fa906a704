// Group commit.
#include "mangovalve/replay/log_writer.h"

#include <absl/time/time.h>

#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

// An append without a response delays the other records of the host by this. A
// short timeout is safe: an append that took effect is read back in replay even
// if its response was dropped.
constexpr std::chrono::seconds kAppendTimeout{ 1 };

auto FromPlatform(const PlatformError& aError) -> JournalError
{
  return { JournalError::Kind::NotAppended, aError.mMessage };
}

} // namespace

LogWriter::LogWriter(LogPort aLog,
                     Replica& aReplica,
                     CommitOptions aOptions,
                     std::function<auto()->std::size_t> aMembers)
  : mLog(std::move(aLog))
  , mReplica(aReplica)
  , mMembers(std::move(aMembers))
{
  mQueue.mOptions = std::move(aOptions);
  mReplica.OnApplied([this](const AppliedEntry& aApplied) {
    const absl::MutexLock lock(&mMutex);
    ResolveApplied(mQueue, aApplied.mRecords, aApplied.mLogTime);
  });
  mReplica.OnSkipped([this] {
    const absl::MutexLock lock(&mMutex);
    FailUncertain(mQueue);
  });
}

LogWriter::~LogWriter()
{
  Stop();
}

auto LogWriter::Start() -> void
{
  mThread = Thread("writer", [this] { Run(); });
}

auto LogWriter::Stop() -> void
{
  {
    const absl::MutexLock lock(&mMutex);
    mStopping = true;
  }
  mThread.Join();
}

auto LogWriter::WaitForBatch() -> std::optional<CommitBatch>
{
  const auto members = mMembers();
  const absl::MutexLock lock(&mMutex);
  const auto hasWork = [this]() ABSL_SHARED_LOCKS_REQUIRED(mMutex) {
    return mStopping || !mQueue.mQueue.empty();
  };
  mMutex.Await(absl::Condition(&hasWork));
  const auto wait = mQueue.mNextAppend - Clock::now();
  mMutex.AwaitWithTimeout(absl::Condition(&mStopping), absl::FromChrono(wait));
  if (mStopping) {
    return std::nullopt;
  }
  return NextBatch(mQueue, members, Clock::now());
}

auto LogWriter::Run() -> void
{
  while (true) {
    const auto batch = WaitForBatch();
    if (!batch) {
      const absl::MutexLock lock(&mMutex);
      if (mStopping) {
        return;
      }
      continue;
    }
    const auto result =
      mLog.mAppend(batch->mPayload, Clock::now() + kAppendTimeout);
    FindCounter("log_appends_total", { { "ok", result ? "true" : "false" } })
      .Add();
    if (!result) {
      LogEvent(Severity::Warn,
               "append_failed",
               { { "reason", result.error().mMessage } });
    }
    const absl::MutexLock lock(&mMutex);
    FinishAppend(mQueue, *batch, result, Clock::now());
  }
}

auto LogWriter::Commit(RecordDraft aDraft,
                       CommitPriority aPriority,
                       TimePoint aDeadline) -> Result<Committed, JournalError>
{
  const absl::MutexLock lock(&mMutex);
  if (mStopping) {
    return Err(JournalError{ JournalError::Kind::NotAppended, "stopping" });
  }
  auto queued = Enqueue(mQueue, std::move(aDraft), aPriority);
  if (!queued) {
    return Err(std::move(queued.error()));
  }
  const auto record = *queued;
  const auto done = [this, &record]() ABSL_SHARED_LOCKS_REQUIRED(mMutex) {
    return mStopping || record->mOutcome || record->mFailure;
  };
  const auto wait = aDeadline - Clock::now();
  mMutex.AwaitWithTimeout(absl::Condition(&done), absl::FromChrono(wait));
  return RemoveWaiter(mQueue, record);
}

auto LogWriter::Fetch(Offset aOffset, TimePoint aDeadline)
  -> Result<std::string, JournalError>
{
  auto recent = mReplica.Recent(aOffset, 1);
  if (!recent.mEntries.empty() && recent.mEntries[0].mOffset == aOffset) {
    return std::move(recent.mEntries[0].mPayload);
  }
  auto page = mLog.mRead(aOffset, 1, aDeadline);
  if (!page) {
    return Err(FromPlatform(page.error()));
  }
  if (page->mEntries.empty() || page->mEntries[0].mOffset != aOffset) {
    return Err(JournalError{ JournalError::Kind::NotAppended,
                             "the log has no entry at this offset" });
  }
  return std::move(page->mEntries[0].mPayload);
}

auto LogWriter::Port() -> JournalPort
{
  return {
    [this](RecordDraft aDraft, CommitPriority aPriority, TimePoint aDeadline) {
      return Commit(std::move(aDraft), aPriority, aDeadline);
    },
    [this](Offset aOffset, TimePoint aDeadline) {
      return Fetch(aOffset, aDeadline);
    }
  };
}

} // namespace mangovalve
