// This host's replica of the FleetState.
#include "mangovalve/replay/replica.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {

Replica::Replica(LogPort aLog, ReplicaOptions aOptions)
  : mLog(std::move(aLog))
  , mOptions(aOptions)
  , mCurrentReadLimit(aOptions.mReadLimit)
{
}

Replica::~Replica()
{
  Stop();
}

auto Replica::OnApplied(AppliedHook aHook) -> void
{
  mAppliedHooks.push_back(std::move(aHook));
}

auto Replica::OnSkipped(std::function<auto()->void> aHook) -> void
{
  mSkippedHooks.push_back(std::move(aHook));
}

auto Replica::OnCurrent(std::function<auto(TimePoint aSentAt)->void> aHook)
  -> void
{
  mCurrentHooks.push_back(std::move(aHook));
}

auto Replica::Start() -> void
{
  mThread = Thread("replay", [this] { Run(); });
}

auto Replica::Stop() -> void
{
  mStopping = true;
  mThread.Join();
}

auto Replica::Run() -> void
{
  while (!mStopping) {
    if (!Step(Clock::now() + mOptions.mReadTimeout)) {
      absl::SleepFor(absl::FromChrono(mOptions.mRetryDelay));
    }
  }
}

auto Replica::ReadLog(Offset aFrom, std::size_t aLimit, TimePoint aDeadline)
  -> std::optional<LogPage>
{
  auto page = mLog.mRead(aFrom, aLimit, aDeadline);
  if (!page) {
    FindCounter("log_read_errors_total").Add();
    mCurrentReadLimit = std::max<std::size_t>(mCurrentReadLimit / 2, 1);
    return std::nullopt;
  }
  mCurrentReadLimit = std::min(mCurrentReadLimit * 2, mOptions.mReadLimit);
  mFirstRetained = page->mFirstOffset;
  const absl::MutexLock lock(&mRecentMutex);
  mLastContact = Clock::now();
  return std::move(*page);
}

auto Replica::Step(TimePoint aDeadline) -> bool
{
  if (!mHasState) {
    return Initialize(aDeadline);
  }
  const auto sentAt = Clock::now();
  const auto page = ReadLog(Next(), mCurrentReadLimit, aDeadline);
  if (!page) {
    return false;
  }
  if (page->mFirstOffset > Next()) {
    // The entries that this host needs next have expired from the log; only a
    // snapshot can fill the gap.
    return StartFromSnapshot(page->mFirstOffset, page->mNextOffset);
  }
  ApplyPage(*page, sentAt);
  return true;
}

auto Replica::Initialize(TimePoint aDeadline) -> bool
{
  const auto page = ReadLog(0, 1, aDeadline);
  if (!page) {
    SetCatchUpError("the log is unreachable");
    return false;
  }
  if (StartFromSnapshot(page->mFirstOffset, page->mNextOffset)) {
    return true;
  }
  if (page->mFirstOffset == 0) {
    mHasState = true; // the log is complete: replay it from the start
  }
  return mHasState;
}

// Searches the log backwards from its end for the newest usable snapshot.
auto Replica::StartFromSnapshot(Offset aFirst, Offset aNext) -> bool
{
  StateAssembler assembler;
  for (auto high = aNext; high > aFirst && !mStopping;) {
    const auto low = high - std::min<Offset>(high - aFirst, mCurrentReadLimit);
    auto page = ReadLog(low, high - low, Clock::now() + mOptions.mReadTimeout);
    if (!page) {
      SetCatchUpError(
        "the log became unreachable during the search for a snapshot");
      return false;
    }
    for (auto entry = page->mEntries.rbegin(); entry != page->mEntries.rend();
         ++entry) {
      for (auto& piece : PiecesOf(*entry)) {
        const auto state = AddPiece(assembler, std::move(piece));
        if (state && state->mAsOf >= aFirst && InstallState(*state)) {
          return true;
        }
      }
    }
    high = low;
  }
  if (aFirst > 0) {
    SetCatchUpError(
      "the beginning of the log has expired and no snapshot was found");
  }
  return false;
}

auto Replica::ApplyPage(const LogPage& aPage, TimePoint aSentAt) -> void
{
  const absl::MutexLock lock(&mApplyMutex);
  for (const auto& entry : aPage.mEntries) {
    ApplyOne(entry, false);
  }
  ApplyReordered();
  if (!mCaughtUp && Next() >= aPage.mNextOffset) {
    mCaughtUp = true;
    SetCatchUpError("");
  }
  if (Next() >= aPage.mNextOffset) {
    for (const auto& hook : mCurrentHooks) {
      hook(aSentAt);
    }
  }
}

auto Replica::ApplyOne(const LogEntry& aEntry, bool aFromPeer) -> void
{
  ApplyOutcome outcome;
  LogTime logTime;
  {
    const absl::MutexLock lock(&mStateMutex);
    outcome = ApplyEntry(mState, aEntry);
    logTime = mState.mLogTime;
  }
  if (outcome.mKind == ApplyOutcome::Kind::Stale ||
      outcome.mKind == ApplyOutcome::Kind::Gap) {
    return;
  }
  if (outcome.mKind == ApplyOutcome::Kind::Malformed) {
    LogEvent(Severity::Warn,
             "log_entry_malformed",
             { { "offset", absl::StrCat(aEntry.mOffset) } });
  }
  FindCounter("log_entries_applied_total").Add();
  BufferRecent(aEntry);
  for (const auto& hook : mAppliedHooks) {
    hook({ aEntry, outcome.mRecords, logTime, aFromPeer });
  }
}

auto Replica::ApplyReordered() -> void
{
  while (!mReordered.empty() && mReordered.begin()->first <= Next()) {
    const auto entry = std::move(mReordered.begin()->second);
    mReordered.erase(mReordered.begin());
    ApplyOne(entry, true);
  }
}

auto Replica::ApplyRelayed(std::vector<LogEntry> aEntries) -> void
{
  if (!mHasState) {
    return; // there is no state yet to apply them to
  }
  const absl::MutexLock lock(&mApplyMutex);
  for (auto& entry : aEntries) {
    if (entry.mOffset < Next()) {
      continue;
    }
    const auto offset = entry.mOffset;
    mReordered.emplace(offset, std::move(entry));
    ApplyReordered();
    if (mReordered.size() > mOptions.mMaxReordered) {
      mReordered.erase(std::prev(mReordered.end()));
    }
  }
}

auto Replica::InstallState(const SavedState& aState)
  -> Result<void, std::string>
{
  FleetState state;
  if (auto loaded = Load(aState.mData, state); !loaded) {
    LogEvent(Severity::Warn,
             "state_unusable",
             { { "as_of", absl::StrCat(aState.mAsOf) },
               { "reason", loaded.error() } });
    return loaded;
  }
  if (state.mNext != aState.mAsOf) {
    return Err(
      std::string("the offset of the state differs from the announced one"));
  }
  const absl::MutexLock lock(&mApplyMutex);
  if (!mHasState || state.mNext > Next()) {
    ReplaceState(std::move(state));
    ApplyReordered();
  }
  return {};
}

auto Replica::Restore(const SavedState& aState) -> Result<void, std::string>
{
  auto installed = InstallState(aState);
  if (installed) {
    mCaughtUp = true;
    SetCatchUpError("");
  }
  return installed;
}

auto Replica::ReplaceState(FleetState aState) -> void
{
  {
    const absl::MutexLock lock(&mStateMutex);
    mState = std::move(aState);
  }
  mHasState = true;
  {
    const absl::MutexLock lock(&mRecentMutex);
    mRecent.clear();
    mRecentBytes = 0;
  }
  for (const auto& hook : mSkippedHooks) {
    hook();
  }
}

auto Replica::BufferRecent(const LogEntry& aEntry) -> void
{
  const absl::MutexLock lock(&mRecentMutex);
  mRecent.push_back(aEntry);
  mRecentBytes += aEntry.mPayload.size();
  while (mRecentBytes > mOptions.mRecentBytes && mRecent.size() > 1) {
    mRecentBytes -= mRecent.front().mPayload.size();
    mRecent.pop_front();
  }
}

auto Replica::SetCatchUpError(const std::string& aError) -> void
{
  const absl::MutexLock lock(&mRecentMutex);
  if (aError != mCatchUpError && !aError.empty()) {
    LogEvent(Severity::Warn, "replay_cannot_start", { { "reason", aError } });
  }
  mCatchUpError = aError;
}

auto Replica::CurrentDocument() const -> std::shared_ptr<const Document>
{
  return Read(
    [](const FleetState& aState) { return aState.mConfig.mDocument; });
}

auto Replica::Next() const -> Offset
{
  return Read([](const FleetState& aState) { return aState.mNext; });
}

auto Replica::Ready() const -> bool
{
  return mCaughtUp && CurrentDocument()->mRevision != 0;
}

auto Replica::LastLogContact() const -> std::optional<TimePoint>
{
  const absl::MutexLock lock(&mRecentMutex);
  return mLastContact;
}

auto Replica::Recent(Offset aFrom, std::size_t aMaxBytes) const -> RecentEntries
{
  const absl::MutexLock lock(&mRecentMutex);
  RecentEntries recent;
  if (mRecent.empty()) {
    return recent;
  }
  recent.mFirstAvailable = mRecent.front().mOffset;
  std::size_t bytes = 0;
  for (auto at = std::max(aFrom, recent.mFirstAvailable);
       at <= mRecent.back().mOffset;
       ++at) {
    const auto& entry = mRecent[at - recent.mFirstAvailable];
    bytes += entry.mPayload.size();
    if (!recent.mEntries.empty() && bytes > aMaxBytes) {
      break;
    }
    recent.mEntries.push_back(entry);
  }
  return recent;
}

auto Replica::Capture() const -> SavedState
{
  return Read([](const FleetState& aState) {
    return SavedState{ aState.mNext, Save(aState) };
  });
}

auto Replica::CatchUpError() const -> std::string
{
  const absl::MutexLock lock(&mRecentMutex);
  return mCatchUpError;
}

} // namespace mangovalve
