// Abstraction of the HTTP protocol spoken with callers and endpoints: functions
// that extract metadata from messages and functions that build messages. The
// platform adapter supplies them; no other code knows the names of headers,
// paths or fields.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mangovalve/base/result.h"
#include "mangovalve/batch/job_records_generated.h"
#include "mangovalve/loop/asio.h"

namespace mangovalve {

// Metadata of a caller's request.
struct RequestMetadata
{
  std::string mId;   // of this attempt; empty if absent
  std::string mHost; // without a port
  std::string mPath; // without the query
  std::string mKey;  // empty if absent
  // How long the caller waits for the response.
  std::optional<std::chrono::milliseconds> mCallerTimeout;
  std::optional<std::uint64_t> mResumeAfter; // last event that it received
  // Hashes of the parts of the prompt that other requests may share, in order.
  // The last part belongs to the request alone and is left out. kWholeRequest
  // is not set.
  std::vector<std::uint64_t> mSharedParts;
  // Tokens of each of these parts; 0: not stated.
  std::vector<std::uint32_t> mSharedPartTokens;
  std::uint32_t mPromptTokens = 0;    // 0: not stated
  std::uint32_t mMaxOutputTokens = 0; // 0: not stated
};

// Parts of one prompt that are read; later ones are ignored.
constexpr std::size_t kMaxSharedParts = 32;

// Metadata of a request that is forwarded to an endpoint.
struct DispatchMetadata
{
  std::string mEndpointId; // other endpoints must refuse it
  std::string mTeam;       // empty on public routes
  std::optional<std::chrono::milliseconds> mRemaining; // until the deadline
  std::optional<std::uint64_t> mResumeAfter;
};

// Load that an endpoint states in a response. An unreadable figure is missing
// and does not invalidate the others.
struct ReportedLoad
{
  std::optional<std::uint32_t> mRunning;
  std::optional<std::uint32_t> mWaiting;
  std::optional<std::uint32_t> mSlots;
  // Time that work takes on the endpoint's machine now, relative to its usual
  // time; above 0.
  std::optional<double> mWorkFactor;
  bool mPartlyUnreadable = false;
};

// Metadata of an endpoint's response.
struct ResponseMetadata
{
  std::string mId;             // of the request that it belongs to
  bool mSigned = false;        // the endpoint signed status and body
  bool mNotExecuted = false;   // the endpoint did not execute the request
  bool mWrongEndpoint = false; // the address now belongs to another endpoint
  // The status, if a host sent it, would promise that the request has not run.
  bool mStatusPromises = false;
  bool mIsEventStream = false;
  std::optional<ReportedLoad> mLoad;
  // Requests per second that the endpoint accepts from all hosts together;
  // empty: no limit. Not negative, and finite.
  std::optional<double> mLimit;
  bool mLimitUnreadable = false; // there is a limit, but it can't be read
  bool mLeaving = false;         // the endpoint finishes its requests and exits
  // How much longer the endpoint is cold; empty: not stated.
  std::optional<std::chrono::milliseconds> mColdFor;
};

// Operations on a batch job.
enum class JobOperation
{
  Submit,
  Results,
  Body, // upload of the body of an item that is not listed yet
  End,
};

struct JobCall
{
  JobOperation mOperation = JobOperation::Results;
  std::string mJob;
  std::string mItem;                    // Body
  std::uint32_t mAfter = 0;             // Results: first position
  std::chrono::milliseconds mWait{ 0 }; // Results: long poll for a result
};

enum class JobOutcome
{
  Done,       // accepted, found or ended
  NotFound,   // there is no such job, item or body
  OverLimit,  // exceeds the limit of the team's queue; nothing will run
  NotApplied, // refused; nothing will run
  Unknown,    // may have taken effect or do so later
  NotOwner,   // another daemon owns the job's partition
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
  OverRate,       // not executed
  Overloaded,     // not executed
  NotReady,       // not executed
  Quarantined,    // not executed; it may crash endpoints
  EndpointFailed, // may have been executed
  TimedOut,       // may have been executed
};

struct Protocol
{
  std::function<auto(const RequestHead&)->RequestMetadata> mReadRequest;
  // Builds the request to an endpoint from the caller's request.
  std::function<auto(const Request&, const DispatchMetadata&)->Request>
    mEndpointRequest;
  std::function<auto(const ResponseHead&)->ResponseMetadata> mReadResponse;
  // Builds the response head for the caller from the endpoint's.
  std::function<auto(const ResponseHead&)->ResponseHead> mCallerHead;
  std::function<auto(RefusalReason,
                     const std::string& aId,
                     std::optional<std::chrono::milliseconds> aRetryAfter)
                  ->Response>
    mRefuse;

  // Batch. Empty unless the request concerns a job that was submitted before.
  std::function<auto(const RequestHead&)->std::optional<JobCall>> mReadJobCall;
  // Parses the items of a submission; the error says what is malformed.
  std::function<auto(const Request&)->Result<wire::JobT, std::string>>
    mReadSubmission;
  std::function<
    auto(JobOperation, const JobResponse&, const std::string& aId)->Response>
    mJobResponse;
  // Builds the request to an endpoint for an item.
  std::function<auto(const std::string& aHost,
                     const wire::JobItemT&,
                     const DispatchMetadata&)
                  ->Request>
    mItemRequest;
  // As RequestMetadata::mSharedParts.
  std::function<auto(const wire::JobItemT&)->std::vector<std::uint64_t>>
    mItemSharedParts;
  // Whether the response status means that retrying the item is useless.
  std::function<auto(unsigned aStatus)->bool> mIsPermanentFailure;
};

} // namespace mangovalve
