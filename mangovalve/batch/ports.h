// Dependencies of the batch code as a struct of functions: the daemon connects
// them to its other components, tests pass fakes. Every function may be called
// from any thread.
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

// Where an interrupted stream can be resumed.
struct ResumePoint
{
  std::string mEndpoint;
  std::string mStreamId;
  std::uint64_t mFrom = 0; // number of events already received
  std::string mPartial;    // response received so far
};

// One item to run at an endpoint.
struct BatchDispatch
{
  Id128 mRequestId;
  JobKey mKey;
  std::uint32_t mIndex = 0;
  std::string mRoute;
  std::string mModel;
  std::string mEndpoint; // that of the stream limit
  std::string mBody;
  // False: the item may run at most once, so the dispatch must not yield or
  // retry it.
  bool mRepeatable = true;
  std::optional<ResumePoint> mResume;
};

// Why a running dispatch must stop.
enum class StopReason : std::uint8_t
{
  None,
  Yield,   // online requests wait; the item is resumed later
  Abandon, // job cancelled, claim superseded or host draining
};

// Set by the worker and polled by the dispatch.
using StopFlag = std::atomic<StopReason>;

struct DispatchOutcome
{
  enum class Kind
  {
    Answered, // complete response; mHttpStatus and mBody are set
    NotRun,   // no byte of the request can have reached an endpoint
    Unknown,  // the item may have run
    Yielded,  // stopped for online requests; mResume says where
  };
  Kind mKind = Kind::Unknown;
  std::uint32_t mHttpStatus = 0;
  std::string mBody;
  std::optional<ResumePoint> mResume;
};

// How many batch streams may run now at an endpoint for which this host is the
// batch dispatcher. Lowering the limit stops the newest streams.
struct StreamLimit
{
  std::string mEndpoint;
  std::string mService;
  std::string mModel; // empty: plain service
  std::uint32_t mLimit = 0;
};

// Names of the hosts that may hold claims: registered and not fenced, each with
// its incarnation, e.g. "host-3@1187". The chunks of a holder that is not in
// the set may be claimed by other hosts.
using Holders = std::set<std::string>;

struct BatchPorts
{
  JournalPort mJournal;
  // Calls the function with the replayed state, locked against replay, and the
  // holders at the same offset. The function must be short and call no port.
  std::function<
    auto(const std::function<void(const BatchState&, const Holders&)>&)->void>
    mRead;
  std::function<auto()->std::shared_ptr<const Document>> mDocument;
  // Team of the request's key; nullopt if the key is unknown or withdrawn.
  std::function<auto(const httplib::Request&)->std::optional<std::string>>
    mTeam;
  // Runs one item and blocks until it ends. Must return soon after the flag is
  // set.
  std::function<auto(const BatchDispatch&, const StopFlag&)->DispatchOutcome>
    mDispatch;
  // Current limits of all endpoints for which this host is the batch
  // dispatcher.
  std::function<auto()->std::vector<StreamLimit>> mStreamLimits;
  // Whether this host may use its claims now: it is registered, not fenced, and
  // has had contact with the log within the role lease.
  std::function<auto()->bool> mMayUseRoles;
  std::function<auto()->TimePoint> mNow;
  // Log time of the newest replayed record.
  std::function<auto()->LogTime> mLogTime;
  // Retention of the platform's log. Needed records are re-appended at half of
  // it.
  std::chrono::milliseconds mLogRetention{ std::chrono::hours(24) };
};

} // namespace mangovalve
