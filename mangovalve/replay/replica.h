// This host's replica of the FleetState, kept current from the log and from
// peers.
//
// A reader thread follows the log. Entries from peers come in through
// ApplyRelayed, so that a host that can reach any peer stays current without
// the log. Entries are applied one at a time in log order, whatever their
// source.
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
  std::size_t mReadLimit = 500; // entries in one read
  // Deadline of one read, which is a long poll for new entries.
  Duration mReadTimeout = std::chrono::seconds(2);
  Duration mRetryDelay = std::chrono::milliseconds(100); // after a failed read
  std::size_t mRecentBytes = std::size_t{ 8 } << 20;     // buffered for peers
  // Relayed entries held back until earlier ones have been applied.
  std::size_t mMaxReordered = 1024;
};

// The argument of an AppliedHook.
struct AppliedEntry
{
  const LogEntry& mEntry;
  const std::vector<AppliedRecord>& mRecords;
  LogTime mLogTime{};
  bool mFromPeer = false;
};

// Entries to relay to a peer. mFirstAvailable is the oldest buffered offset; a
// peer that needs an older one requests the whole state.
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
  // which skips entries. Same rules as for OnApplied.
  auto OnSkipped(std::function<auto()->void> aHook) -> void;

  // Calls aHook after a read of the log that brought this replica up to the end
  // of the log, with the time at which the read was sent. Same rules as for
  // OnApplied.
  auto OnCurrent(std::function<auto(TimePoint aSentAt)->void> aHook) -> void;

  // Starts and stops the reader thread. Stop waits for the read in progress.
  auto Start() -> void;
  auto Stop() -> void;
  // Performs one read of the log, as the reader thread does in a loop. Returns
  // false when the log was unreachable, or no valid initial state was found.
  // For tests, in place of Start.
  auto Step(TimePoint aDeadline) -> bool;

  // Accepts entries that a peer relayed, in any order and with any number of
  // duplicates. Ignored until there is a state to apply them to.
  auto ApplyRelayed(std::vector<LogEntry> aEntries) -> void;
  // Installs a peer's state if it is ahead of this host's. On failure the state
  // is unchanged and the error says what is malformed.
  auto Restore(const SavedState& aState) -> Result<void, std::string>;

  // Calls aRead(const FleetState&) under a shared lock. It must be brief, since
  // entries cannot be applied meanwhile.
  template<typename F>
  auto Read(F&& aRead) const -> decltype(auto)
  {
    const absl::ReaderMutexLock lock(&mStateMutex);
    return aRead(mState);
  }

  // The active document; never null. Revision 0 means that there is none yet.
  auto CurrentDocument() const -> std::shared_ptr<const Document>;
  // Offset of the next entry to apply.
  auto Next() const -> Offset;
  // Whether the state has ever been complete: replayed to the end of the log or
  // installed from a peer. Stays true when the log becomes unavailable.
  auto CaughtUp() const -> bool { return mCaughtUp; }
  // Whether there is a state to which entries can be applied.
  auto HasState() const -> bool { return mHasState; }
  // Whether requests may be served: caught up and a document is active.
  auto Ready() const -> bool;
  // The oldest offset that the log retains, from its last response.
  auto FirstRetained() const -> Offset { return mFirstRetained; }
  // Time of the last response of the log; nothing before the first one.
  auto LastLogContact() const -> std::optional<TimePoint>;
  // Buffered entries from aFrom on: at most aMaxBytes of payload, but at least
  // one entry if there is any.
  auto Recent(Offset aFrom, std::size_t aMaxBytes) const -> RecentEntries;
  // Serializes the current state, for a snapshot or a peer.
  auto Capture() const -> SavedState;
  // Why the replica has not caught up, for logs and /readyz; empty if it has.
  auto CatchUpError() const -> std::string;

private:
  LogPort mLog;
  ReplicaOptions mOptions;
  std::vector<AppliedHook> mAppliedHooks;
  std::vector<std::function<auto()->void>> mSkippedHooks;
  std::vector<std::function<auto(TimePoint)->void>> mCurrentHooks;
  std::atomic<bool> mStopping{ false };
  std::atomic<bool> mCaughtUp{ false };
  // Whether mState derives from a valid initial state: the beginning of the
  // log, a snapshot or a peer's state.
  std::atomic<bool> mHasState{ false };
  std::atomic<Offset> mFirstRetained{ 0 };
  // Maximum number of entries of the next read. Halved after a failed read, as
  // the response may be too large to arrive before the deadline.
  std::size_t mCurrentReadLimit;

  // Held while an entry is applied and its hooks run, so that hooks run in log
  // order. Acquired before mStateMutex.
  absl::Mutex mApplyMutex;
  // Relayed entries held back until earlier ones have been applied, by offset.
  std::map<Offset, LogEntry> mReordered ABSL_GUARDED_BY(mApplyMutex);

  mutable absl::Mutex mStateMutex;
  FleetState mState ABSL_GUARDED_BY(mStateMutex);

  mutable absl::Mutex mRecentMutex;
  std::deque<LogEntry> mRecent ABSL_GUARDED_BY(mRecentMutex);
  std::size_t mRecentBytes ABSL_GUARDED_BY(mRecentMutex) = 0;
  std::optional<TimePoint> mLastContact ABSL_GUARDED_BY(mRecentMutex);
  std::string mCatchUpError ABSL_GUARDED_BY(mRecentMutex) = "log not read yet";

  Thread mThread;

  auto Run() -> void;
  auto Initialize(TimePoint aDeadline) -> bool;
  auto ReadLog(Offset aFrom, std::size_t aLimit, TimePoint aDeadline)
    -> std::optional<LogPage>;
  auto InstallState(const SavedState& aState) -> Result<void, std::string>;
  auto StartFromSnapshot(Offset aFirst, Offset aNext) -> bool;
  auto ApplyPage(const LogPage& aPage, TimePoint aSentAt) -> void;
  auto ApplyOne(const LogEntry& aEntry, bool aFromPeer)
    -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mApplyMutex);
  auto ApplyReordered() -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mApplyMutex);
  auto BufferRecent(const LogEntry& aEntry) -> void;
  auto ReplaceState(FleetState aState)
    -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mApplyMutex);
  auto SetCatchUpError(const std::string& aError) -> void;
};

} // namespace mangovalve
