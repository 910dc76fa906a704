// What batch needs from its surroundings, as a struct of functions: the daemon
// fills it from the other slices, tests pass fakes. Every function may be
// called from any thread.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <httplib.h>

#include "mangovalve/base/id.h"
#include "mangovalve/base/time.h"
#include "mangovalve/batch/state.h"
#include "mangovalve/config/document.h"
#include "mangovalve/replay/journal.h"

namespace mangovalve {

// Where a cancelled stream can be resumed.
struct ResumePoint
{
  std::string mEndpoint;
  std::string mStreamId;
  std::uint64_t mFrom = 0; // events already received
  std::string mPartial;    // answer received up to there
};

// One item to run at an endpoint.
struct BatchDispatch
{
  Id128 mRequestId;
  JobKey mKey;
  std::uint32_t mIndex = 0;
  std::string mRoute;
  std::string mModel;
  std::string mEndpoint; // chosen by StreamLimit
  std::string mBody;
  // False: at most one execution; the item must not be yielded or retried
  // inside the dispatch.
  bool mRepeatable = true;
  std::optional<ResumePoint> mResume;
};

// Why a running dispatch must stop.
enum class StopReason : std::uint8_t
{
  None,
  Yield,   // online requests wait; the item resumes later
  Abandon, // job cancelled, claim lost or host draining
};

// Set by the worker, watched by the dispatch.
using StopFlag = std::atomic<StopReason>;

struct DispatchOutcome
{
  enum class Kind
  {
    Answered, // whole answer; mHttpStatus and mBody are set
    NotRun,   // no byte of the request can have reached an endpoint
    Unknown,  // it may have run
    Yielded,  // stopped for online requests; mResume tells where
  };
  Kind mKind = Kind::Unknown;
  std::uint32_t mHttpStatus = 0;
  std::string mBody;
  std::optional<ResumePoint> mResume;
};

// How many batch streams may run now at an endpoint that this host feeds. A
// lower limit than before stops the newest streams.
struct StreamLimit
{
  std::string mEndpoint;
  std::string mService;
  std::string mModel; // empty: plain service
  std::uint32_t mLimit = 0;
};

// Names of the hosts that may hold claims: registered and not fenced, each with
// its incarnation, e.g. "host-3@1187". A holder that is not in the set is lost:
// its chunks are taken over.
using Holders = std::set<std::string>;

struct BatchPorts
{
  JournalPort mJournal;
  // Runs the function with the replayed state locked against replay, and the
  // holders of the same offset. It is short and calls no port.
  std::function<
    auto(const std::function<void(const BatchState&, const Holders&)>&)->void>
    mRead;
  std::function<auto()->std::shared_ptr<const Document>> mDocument;
  // Team whose key came with the request; nothing: unknown or withdrawn key.
  std::function<auto(const httplib::Request&)->std::optional<std::string>>
    mTeam;
  // Runs one item to its end; blocks. Must return soon after the flag is set.
  std::function<auto(const BatchDispatch&, const StopFlag&)->DispatchOutcome>
    mDispatch;
  // Limits now, for every endpoint that this host feeds.
  std::function<auto()->std::vector<StreamLimit>> mStreamLimits;
  // Whether this host may use its claims now: registered, not fenced, and in
  // contact within the contact period.
  std::function<auto()->bool> mMayUseRoles;
  std::function<auto()->TimePoint> mNow;
  // Log time of the newest replayed record.
  std::function<auto()->LogTime> mLogTime;
  // Retention of the platform's log; records are carried at half of it.
  std::chrono::milliseconds mLogRetention{ std::chrono::hours(24) };
};

} // namespace mangovalve
