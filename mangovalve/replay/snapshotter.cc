// Writes snapshots when they are due.
#include "mangovalve/replay/snapshotter.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

// Number of samples of the age index over the whole retention.
constexpr int kAgeSamples = 512;
// Entries older than the retention divided by this are re-appended. The other
// half of the retention is left for outages of the log.
constexpr int kReappendAgeDivisor = 2;

} // namespace

auto AddAgeSample(AgeIndex& aIndex,
                  LogTime aTime,
                  Offset aOffset,
                  milliseconds aSpacing) -> void
{
  if (aIndex.mSamples.empty() ||
      aTime >= aIndex.mSamples.back().first + aSpacing) {
    aIndex.mSamples.emplace_back(aTime, aOffset);
  }
}

auto OffsetOlderThan(AgeIndex& aIndex, LogTime aTime) -> Offset
{
  auto& samples = aIndex.mSamples;
  // Advance to the last sample not after aTime; entries below it are not
  // younger.
  while (samples.size() > 1 && samples[1].first <= aTime) {
    samples.pop_front();
  }
  return samples.empty() || samples.front().first > aTime
           ? 0
           : samples.front().second;
}

auto StaggeredInterval(milliseconds aInterval, const std::string& aHost)
  -> milliseconds
{
  const auto quarter = std::max<std::int64_t>(aInterval.count() / 4, 1);
  return aInterval +
         milliseconds(static_cast<std::int64_t>(
           StableHash(aHost) % static_cast<std::uint64_t>(quarter)));
}

Snapshotter::Snapshotter(Replica& aReplica,
                         JournalPort aJournal,
                         SnapshotterOptions aOptions)
  : mReplica(aReplica)
  , mJournal(std::move(aJournal))
  , mOptions(aOptions)
{
  mReplica.OnApplied([this](const AppliedEntry& aApplied) {
    const absl::MutexLock lock(&mMutex);
    ObserveEntry(mSchedule, aApplied.mEntry);
    AddAgeSample(mAges,
                 aApplied.mLogTime,
                 aApplied.mEntry.mOffset,
                 mOptions.mRetention / kAgeSamples);
    mNewest = aApplied.mLogTime;
    mNewestAt = Clock::now();
  });
}

Snapshotter::~Snapshotter()
{
  Stop();
}

auto Snapshotter::OnReappend(ReappendHook aHook) -> void
{
  mHooks.push_back(std::move(aHook));
}

auto Snapshotter::Start() -> void
{
  mThread = Thread("snapshotter", [this] { Run(); });
}

auto Snapshotter::Stop() -> void
{
  {
    const absl::MutexLock lock(&mMutex);
    mStopping = true;
  }
  mThread.Join();
}

auto Snapshotter::Run() -> void
{
  while (true) {
    {
      const absl::MutexLock lock(&mMutex);
      if (mMutex.AwaitWithTimeout(absl::Condition(&mStopping),
                                  absl::FromChrono(mOptions.mTick))) {
        return;
      }
    }
    Tick(Clock::now());
  }
}

auto Snapshotter::Tick(TimePoint aNow) -> bool
{
  if (!mReplica.CaughtUp()) {
    return false;
  }
  const auto next = mReplica.Next();
  const auto first = mReplica.FirstRetained();
  Offset below = 0;
  auto due = false;
  {
    const absl::MutexLock lock(&mMutex);
    if (mNewestAt == TimePoint{}) {
      return false; // no entry was applied yet, so the log time is unknown
    }
    const auto now = mNewest + std::chrono::duration_cast<milliseconds>(
                                 std::max(aNow - mNewestAt, Duration::zero()));
    below =
      OffsetOlderThan(mAges, now - mOptions.mRetention / kReappendAgeDivisor);
    due = SnapshotDue(mOptions.mPolicy, mSchedule, first, next, now);
  }
  if (below > 0) {
    for (const auto& hook : mHooks) {
      hook(below);
    }
  }
  return due && Write();
}

auto Snapshotter::Write() -> bool
{
  const auto state = mReplica.Capture();
  for (const auto& piece : SplitState(state)) {
    const auto committed =
      mJournal.mCommit(DraftPiece(piece),
                       CommitPriority::Claim,
                       Clock::now() + mOptions.mCommitTimeout);
    if (!committed) {
      // The next tick retries with a newer state. The pieces already written
      // are never completed and are ignored.
      FindCounter("snapshots_total", { { "ok", "false" } }).Add();
      LogEvent(Severity::Warn,
               "snapshot_failed",
               { { "as_of", absl::StrCat(state.mAsOf) },
                 { "reason", committed.error().mMessage } });
      return false;
    }
  }
  FindCounter("snapshots_total", { { "ok", "true" } }).Add();
  FindCounter("snapshot_bytes")
    .Set(static_cast<std::int64_t>(state.mData.size()));
  return true;
}

} // namespace mangovalve
