// Writes snapshots when they are due, and has the slices carry forward what
// lies in entries that will expire.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "mangovalve/base/thread.h"
#include "mangovalve/replay/journal.h"
#include "mangovalve/replay/replica.h"
#include "mangovalve/replay/snapshot.h"

namespace mangovalve {

// Log times of entries, sampled, to find the entries older than a given time.
struct AgeIndex
{
  std::deque<std::pair<LogTime, Offset>> mSamples; // ascending
};

// Adds a sample at most once in aSpacing of log time.
auto AddAgeSample(AgeIndex& aIndex,
                  LogTime aTime,
                  Offset aOffset,
                  std::chrono::milliseconds aSpacing) -> void;

// The offset below which every entry is older than aTime. Drops the samples
// that are no longer needed.
auto OffsetOlderThan(AgeIndex& aIndex, LogTime aTime) -> Offset;

struct SnapshotterOptions
{
  SnapshotPolicy mPolicy;
  // Age at which the platform drops an entry.
  std::chrono::milliseconds mRetention{ 24LL * 3600 * 1000 };
  Duration mTick = std::chrono::seconds(1);
  Duration mCommitTimeout = std::chrono::seconds(30);
};

// Spreads the snapshots of the hosts over time: the interval plus up to a
// quarter of it, by the host's name. The first host whose interval has passed
// writes, and the others then see that none is due.
auto StaggeredInterval(std::chrono::milliseconds aInterval,
                       const std::string& aHost) -> std::chrono::milliseconds;

class Snapshotter
{
public:
  // Appends again what is still needed from entries below aBelow; called about
  // once a tick on the snapshotter's thread, with rising offsets.
  using ReappendHook = std::function<auto(Offset aBelow)->void>;

  // The replica must outlive the snapshotter and not be started yet.
  Snapshotter(Replica& aReplica,
              JournalPort aJournal,
              SnapshotterOptions aOptions);
  ~Snapshotter();
  Snapshotter(const Snapshotter&) = delete;
  auto operator=(const Snapshotter&) -> Snapshotter& = delete;

  auto OnReappend(ReappendHook aHook) -> void;
  auto Start() -> void;
  auto Stop() -> void;
  // One round, as the thread does it: carries forward and writes a snapshot if
  // one is due. True if a snapshot was written. For tests.
  auto Tick(TimePoint aNow) -> bool;

private:
  auto Run() -> void;
  auto Write() -> bool;

  Replica& mReplica;
  JournalPort mJournal;
  SnapshotterOptions mOptions;
  std::vector<ReappendHook> mHooks;
  absl::Mutex mMutex;
  SnapshotSchedule mSchedule ABSL_GUARDED_BY(mMutex);
  AgeIndex mAges ABSL_GUARDED_BY(mMutex);
  LogTime mNewest ABSL_GUARDED_BY(mMutex){};     // log time of the last entry
  TimePoint mNewestAt ABSL_GUARDED_BY(mMutex){}; // when it was applied
  bool mStopping ABSL_GUARDED_BY(mMutex) = false;
  Thread mThread;
};

} // namespace mangovalve
