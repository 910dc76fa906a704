// Writes snapshots when they are due, and calls the other modules to re-append
// what they still need from entries that will expire.
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

// Sampled log times of entries, used to find the entries older than a given
// time.
struct AgeIndex
{
  std::deque<std::pair<LogTime, Offset>> mSamples; // ascending
};

// Adds a sample unless the last one is less than aSpacing of log time old.
auto AddAgeSample(AgeIndex& aIndex,
                  LogTime aTime,
                  Offset aOffset,
                  std::chrono::milliseconds aSpacing) -> void;

// Returns an offset below which no entry is younger than aTime; 0 if no such
// entry is known. Drops the samples before that offset.
auto OffsetOlderThan(AgeIndex& aIndex, LogTime aTime) -> Offset;

struct SnapshotterOptions
{
  SnapshotPolicy mPolicy;
  // Age at which the platform drops an entry from the log.
  std::chrono::milliseconds mRetention{ 24LL * 3600 * 1000 };
  Duration mTick = std::chrono::seconds(1);           // interval between rounds
  Duration mCommitTimeout = std::chrono::seconds(30); // for each piece
};

// Returns the interval plus up to a quarter of it, derived from the host's
// name, so that hosts do not all write a snapshot at once. The first host whose
// interval has passed writes one, after which none is due on the others.
auto StaggeredInterval(std::chrono::milliseconds aInterval,
                       const std::string& aHost) -> std::chrono::milliseconds;

class Snapshotter
{
public:
  // Re-appends what is still needed from entries below aBelow. Called once per
  // tick on the snapshotter's thread, with non-decreasing offsets.
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
  // Performs one round, as the thread does periodically: calls the re-append
  // hooks and writes a snapshot if one is due. Returns whether a snapshot was
  // written. For tests.
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
