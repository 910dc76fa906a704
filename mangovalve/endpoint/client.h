// EndpointClient: one HTTP/1.1 request to an endpoint over a pooled connection.
//
// Guarantees:
// - EndpointError::mSent is NotSent only if no byte of the request can have
//   reached the endpoint. Only then may a non-idempotent request be sent again.
// - An answer is returned only if its framing says that it is whole and it
//   echoes the request's X-Request-Id.
// - A connection whose exchange did not end with a whole answer is closed and
//   never used again.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "mangovalve/base/result.h"
#include "mangovalve/base/time.h"

namespace mangovalve {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Value of a header, case-insensitive name; empty when absent.
auto HeaderValue(const HeaderList& aHeaders, std::string_view aName)
  -> std::string;

// Whether any byte of a request can have reached the endpoint.
enum class Sent
{
  NotSent,
  Sent,
};

struct EndpointRequest
{
  std::string mAddress; // "IP:port"
  std::string mMethod = "POST";
  std::string mTarget; // path and query, already encoded
  HeaderList mHeaders;
  std::string mContentType = "application/json";
  std::string mBody;
  std::string mRequestId; // sent as X-Request-Id, must be echoed
  TimePoint mFirstByteDeadline;
  TimePoint mDeadline; // of the whole answer
  // Latest time of the first byte of the request, checked on the open
  // connection; a process that was paused meanwhile sends nothing.
  TimePoint mSendBy = TimePoint::max();
  bool mNewConnection = false; // use no pooled connection
  // Longest pause between two parts of an answer before it counts as silent.
  Duration mMaxPause = std::chrono::seconds(10);
};

struct EndpointResponseHead
{
  int mStatus = 0;
  HeaderList mHeaders;
};

struct EndpointResponse
{
  EndpointResponseHead mHead;
  std::string mBody;    // empty when the body went to ResponseSink::mOnData
  TimePoint mFirstByte; // when the head arrived
};

// Receives a streamed answer (status 200, text/event-stream) while it arrives.
// Any other answer, or any answer without mOnData, is collected into
// EndpointResponse::mBody. Returning false abandons the request.
struct ResponseSink
{
  // Called once, after X-Request-Id and framing were checked.
  std::function<bool(const EndpointResponseHead& aHead)> mOnHead;
  std::function<bool(std::string_view aData)> mOnData;
};

struct EndpointError
{
  enum class Kind
  {
    Refused,      // no connection: refused or not reachable in time
    NoFirstByte,  // nothing arrived before the first-byte deadline
    Stalled,      // the answer stopped in the middle
    Deadline,     // the whole deadline passed
    Cancelled,    // by the caller or by a sink
    Truncated,    // the connection ended before the answer was whole
    Unframed,     // neither a length nor chunks: cannot be known to be whole
    WrongRequest, // the answer belongs to another request
    TooLarge,
  };
  Kind mKind = Kind::Refused;
  Sent mSent = Sent::NotSent;
  bool mHeadReceived = false; // the endpoint began to answer this request
  std::string mMessage;
};

// Stable word for logs, metrics and refusals.
auto KindName(EndpointError::Kind aKind) -> const char*;

// Cancels one exchange from another thread; usable before it starts.
class Cancellation
{
public:
  auto Cancel() -> void;
  auto Cancelled() const -> bool { return mCancelled.load(); }

private:
  friend class EndpointClient;
  std::atomic<bool> mCancelled{ false };
  absl::Mutex mMutex;
  std::function<void()> mWake; // set while an exchange runs
};

struct EndpointClientOptions
{
  Duration mConnectTimeout = std::chrono::seconds(1);
  // Shorter than the 5 s after which common servers close an idle connection.
  Duration mMaxIdle = std::chrono::seconds(4);
  std::size_t mMaxIdlePerAddress = 32;
  std::size_t mMaxResponseBytes = 16 << 20;
};

// Callers on any thread; each exchange blocks its caller.
class EndpointClient
{
public:
  explicit EndpointClient(EndpointClientOptions aOptions = {});
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  auto operator=(const EndpointClient&) -> EndpointClient& = delete;

  // Sends the request and waits for the whole answer.
  auto Exchange(const EndpointRequest& aRequest,
                const ResponseSink& aSink = {},
                Cancellation* aCancellation = nullptr)
    -> Result<EndpointResponse, EndpointError>;

  // Idle connections to an address, for metrics and tests.
  auto IdleCount(const std::string& aAddress) -> std::size_t;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

// Follows an event stream (SSE) and tells whether its last event was
// "data: [DONE]". Lines may be split over parts in any way.
class StreamEndDetector
{
public:
  auto Add(std::string_view aData) -> void;
  auto Done() const -> bool { return mDone; }

private:
  std::string mLine; // at most kMaxKept bytes of the line in progress
  bool mDone = false;
};

} // namespace mangovalve
