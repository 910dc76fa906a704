// Group commit: one thread appends the queued records of this host. Each waiter
// gets the verdict of its record once the record is read back in replay.
#pragma once

#include <functional>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "mangovalve/base/thread.h"
#include "mangovalve/log_service/log_port.h"
#include "mangovalve/replay/commit_queue.h"
#include "mangovalve/replay/journal.h"
#include "mangovalve/replay/replica.h"

namespace mangovalve {

class LogWriter
{
public:
  // aMembers returns the number of registered hosts, which share the append
  // budget; it is called on the writer's thread. The replica must outlive the
  // writer and must not be started yet.
  LogWriter(LogPort aLog,
            Replica& aReplica,
            CommitOptions aOptions,
            std::function<auto()->std::size_t> aMembers);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  auto operator=(const LogWriter&) -> LogWriter& = delete;

  auto Start() -> void;
  // Stops the thread. Waiters return; records of which no append can have taken
  // effect fail with NotAppended.
  auto Stop() -> void;

  // See JournalPort::mCommit. Must not be called from a hook of the replica: it
  // would wait for replay, which waits for the hook.
  auto Commit(RecordDraft aDraft, CommitPriority aPriority, TimePoint aDeadline)
    -> Result<Committed, JournalError>;
  // See JournalPort::mFetch.
  auto Fetch(Offset aOffset, TimePoint aDeadline)
    -> Result<std::string, JournalError>;

  // The journal for other modules; valid as long as this LogWriter.
  auto Port() -> JournalPort;

private:
  auto Run() -> void;
  auto WaitForBatch() -> std::optional<CommitBatch>;

  LogPort mLog;
  Replica& mReplica;
  std::function<auto()->std::size_t> mMembers;
  absl::Mutex mMutex;
  CommitQueue mQueue ABSL_GUARDED_BY(mMutex);
  bool mStopping ABSL_GUARDED_BY(mMutex) = false;
  Thread mThread;
};

} // namespace mangovalve
