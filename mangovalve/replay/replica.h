// This host's copy of the FleetState, kept current from the log and from peers.
//
// A reader thread follows the log. Entries from peers come in through
// ApplyRelayed, so that a host that reaches any peer stays current. Entries are
// applied one at a time in log order, whatever their source.
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "mangovalve/base/result.h"
#include "mangovalve/base/thread.h"
#include "mangovalve/base/time.h"
#include "mangovalve/config/document.h"
#include "mangovalve/log_service/log_port.h"
#include "mangovalve/replay/apply.h"
#include "mangovalve/replay/fleet_state.h"
#include "mangovalve/replay/snapshot.h"

namespace mangovalve {

struct ReplicaOptions
{
  std::size_t mReadLimit = 500;                    // entries in one read
  Duration mReadTimeout = std::chrono::seconds(2); // deadline of one read
  Duration mRetryDelay = std::chrono::milliseconds(100);
  std::size_t mRecentBytes = std::size_t{ 8 } << 20; // kept for peers
  std::size_t mMaxReordered = 1024; // entries that wait for earlier ones
};

// What an applied entry's hook gets.
struct AppliedEntry
{
  const LogEntry& mEntry;
  const std::vector<AppliedRecord>& mRecords;
  LogTime mLogTime{};
  bool mFromPeer = false;
};

// Entries for a peer. mFirstAvailable is the oldest that is still buffered; a
// peer that needs an older one asks for the state.
struct RecentEntries
{
  Offset mFirstAvailable = 0;
  std::vector<LogEntry> mEntries;
};

class Replica
{
public:
  using AppliedHook = std::function<auto(const AppliedEntry& aApplied)->void>;

  explicit Replica(LogPort aLog, ReplicaOptions aOptions = {});
  ~Replica();
  Replica(const Replica&) = delete;
  auto operator=(const Replica&) -> Replica& = delete;

  // Calls aHook after each applied entry, in log order. Hooks must not block
  // or call ApplyRelayed, Restore or Step. Add all hooks before Start.
  auto OnApplied(AppliedHook aHook) -> void;
  // Calls aHook after the state was replaced by a snapshot or a peer's state,
  // so that entries were skipped. Same rules as for OnApplied.
  auto OnSkipped(std::function<auto()->void> aHook) -> void;

  // Calls aHook after a read of the log that left this replica current, with
  // the time at which the read was sent. Same rules as for OnApplied.
  auto OnCurrent(std::function<auto(TimePoint aSentAt)->void> aHook) -> void;

  // Starts and ends the reader thread. Stop waits for the read under way.
  auto Start() -> void;
  auto Stop() -> void;
  // One read of the log, as the reader thread does it; false when the log was
  // not reached. For tests, in place of Start.
  auto Step(TimePoint aDeadline) -> bool;

  // Takes entries that a peer relayed, in any order and any number of times.
  auto ApplyRelayed(std::vector<LogEntry> aEntries) -> void;
  // Takes a peer's state if it is ahead of this host's. The error names what is
  // malformed; the state is then unchanged.
  auto Restore(const SavedState& aState) -> Result<void, std::string>;

  // Calls aRead(const FleetState&) under a shared lock; aRead must be short.
  template<typename F>
  auto Read(F&& aRead) const -> decltype(auto)
  {
    const absl::ReaderMutexLock lock(&mStateMutex);
    return aRead(mState);
  }

  // The document in force; never null. Revision 0 means none.
  auto CurrentDocument() const -> std::shared_ptr<const Document>;
  // Offset of the next entry to apply.
  auto Next() const -> Offset;
  // Whether the state was once complete: replayed to the end of the log or
  // taken from a peer.
  auto CaughtUp() const -> bool { return mCaughtUp; }
  // Whether there is a state to which entries can be applied.
  auto HasState() const -> bool { return mHasState; }
  // Whether requests may be served: caught up and a document is in force.
  auto Ready() const -> bool;
  // The oldest offset that the log retains, as it last answered.
  auto FirstRetained() const -> Offset { return mFirstRetained; }
  // When the log last answered; nothing before the first time.
  auto LastLogContact() const -> std::optional<TimePoint>;
  // Buffered entries from aFrom on, at most aMaxBytes of payload.
  auto Recent(Offset aFrom, std::size_t aMaxBytes) const -> RecentEntries;
  // The state for a peer.
  auto Capture() const -> SavedState;
  // Why the replica is not caught up, for logs and /readyz; empty if it is.
  auto CatchUpError() const -> std::string;

private:
  LogPort mLog;
  ReplicaOptions mOptions;
  std::vector<AppliedHook> mAppliedHooks;
  std::vector<std::function<auto()->void>> mSkippedHooks;
  std::vector<std::function<auto(TimePoint)->void>> mCurrentHooks;
  std::atomic<bool> mStopping{ false };
  std::atomic<bool> mCaughtUp{ false };
  // Whether mState has a valid start: log's beginning, snapshot or peer.
  std::atomic<bool> mHasState{ false };
  std::atomic<Offset> mFirstRetained{ 0 };
  // Entries asked for in one read; halved while reads fail, since the answer
  // may be too large to arrive in time.
  std::size_t mLimit;

  // Held while an entry is applied and its hooks run, so that hooks see log
  // order. Taken before mStateMutex.
  absl::Mutex mApplyMutex;
  // Entries from peers that wait for earlier ones, by offset.
  std::map<Offset, LogEntry> mReordered ABSL_GUARDED_BY(mApplyMutex);

  mutable absl::Mutex mStateMutex;
  FleetState mState ABSL_GUARDED_BY(mStateMutex);

  mutable absl::Mutex mRecentMutex;
  std::deque<LogEntry> mRecent ABSL_GUARDED_BY(mRecentMutex);
  std::size_t mRecentBytes ABSL_GUARDED_BY(mRecentMutex) = 0;
  std::optional<TimePoint> mLastContact ABSL_GUARDED_BY(mRecentMutex);
  std::string mProblem ABSL_GUARDED_BY(mRecentMutex) = "log not read yet";

  Thread mThread;

  auto Run() -> void;
  auto Begin(TimePoint aDeadline) -> bool;
  auto ReadLog(Offset aFrom, std::size_t aLimit, TimePoint aDeadline)
    -> std::optional<LogPage>;
  auto Adopt(const SavedState& aState) -> Result<void, std::string>;
  auto StartFromSnapshot(Offset aFirst, Offset aNext) -> bool;
  auto TakePage(const LogPage& aPage, TimePoint aSentAt) -> void;
  auto ApplyOne(const LogEntry& aEntry, bool aFromPeer)
    -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mApplyMutex);
  auto ApplyReordered() -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mApplyMutex);
  auto Remember(const LogEntry& aEntry) -> void;
  auto Replace(FleetState aState)
    -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mApplyMutex);
  auto SetProblem(const std::string& aProblem) -> void;
};

} // namespace mangovalve
