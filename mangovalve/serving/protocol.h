// The protocol of callers and endpoints as the serving path needs it: what a
// message says, and how a message is made. The adapter fills the functions;
// nothing else knows the names of headers, paths or fields.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "mangovalve/base/result.h"
#include "mangovalve/batch/job_records_generated.h"
#include "mangovalve/loop/asio.h"

namespace mangovalve {

// What a caller's request says.
struct RequestMetadata
{
  std::string mId;   // of this attempt; empty if there is none
  std::string mHost; // without a port
  std::string mPath; // without the query
  std::string mKey;  // empty if there is none
  std::optional<std::chrono::milliseconds>
    mCallerTimeout;                          // how long it will wait
  std::optional<std::uint64_t> mResumeAfter; // last event that it has
};

// How a request goes to an endpoint.
struct Dispatch
{
  std::string mEndpointId; // any other endpoint must not run it
  std::string mTeam;       // empty on public routes
  std::optional<std::chrono::milliseconds> mRemaining; // until the deadline
  std::optional<std::uint64_t> mResumeAfter;
};

struct ReportedLoad
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
};

// What an endpoint's answer says.
struct ResponseMetadata
{
  std::string mId;             // of the request that it answers
  bool mSigned = false;        // the endpoint vouches for status and body
  bool mNotRun = false;        // the endpoint did not run the request
  bool mWrongEndpoint = false; // another endpoint has this address now
  bool mIsEventStream = false;
  std::optional<ReportedLoad> mLoad;
};

// What a caller wants of a batch job that it submitted before.
enum class JobOperation
{
  Submit,
  Results,
  Body, // of an item that is not listed yet
  End,
};

struct JobCall
{
  JobOperation mOperation = JobOperation::Results;
  std::string mJob;
  std::string mItem;                    // Body
  std::uint32_t mAfter = 0;             // Results: first position
  std::chrono::milliseconds mWait{ 0 }; // Results: for a result to exist
};

enum class JobOutcome
{
  Done,       // accepted, found or ended
  NotFound,   // there is no such job, item or body
  OverLimit,  // does not fit the team's queue; nothing of it will run
  NotApplied, // refused; nothing of it will run
  Unknown,    // it may take effect later
  NotOwner,   // ask another daemon
};

struct JobResponse
{
  JobOutcome mOutcome = JobOutcome::NotApplied;
  wire::ResultPageT mPage; // Results
  std::string mBody;       // Body
};

enum class RefusalReason
{
  Malformed,
  UnknownKey,
  NoRoute,
  OverRate,       // not run
  Overloaded,     // not run
  NotReady,       // not run
  EndpointFailed, // may have run
  TimedOut,       // may have run
};

struct Protocol
{
  std::function<auto(const RequestHead&)->RequestMetadata> mReadRequest;
  // The caller's request as it goes to an endpoint.
  std::function<auto(const Request&, const Dispatch&)->Request>
    mEndpointRequest;
  std::function<auto(const ResponseHead&)->ResponseMetadata> mReadResponse;
  // An endpoint's head as the caller gets it.
  std::function<auto(const ResponseHead&)->ResponseHead> mCallerHead;
  std::function<auto(RefusalReason,
                     const std::string& aId,
                     std::optional<std::chrono::milliseconds> aRetryAfter)
                  ->Response>
    mRefuse;

  // Batch. Nothing when the request is not about a submitted job.
  std::function<auto(const RequestHead&)->std::optional<JobCall>> mReadJobCall;
  // The items of a submission; an error says what is wrong with it.
  std::function<auto(const Request&)->Result<wire::JobT, std::string>>
    mReadSubmission;
  std::function<
    auto(JobOperation, const JobResponse&, const std::string& aId)->Response>
    mJobResponse;
  // An item as it goes to an endpoint.
  std::function<
    auto(const std::string& aHost, const wire::JobItemT&, const Dispatch&)
      ->Request>
    mItemRequest;
  // Status of an answer that says that an item can never be done.
  std::function<auto(unsigned aStatus)->bool> mIsPermanentFailure;
};

} // namespace mangovalve
