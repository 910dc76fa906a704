// One online request from arrival to answer: key, team, token, fair queue,
// endpoint choice, dispatch with retries, answer. Independent of the HTTP
// server; front.h binds it to one.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "mangovalve/base/result.h"
#include "mangovalve/online/dispatcher.h"
#include "mangovalve/online/ports.h"
#include "mangovalve/online/refusal.h"
#include "mangovalve/telemetry/span.h"

namespace mangovalve {

struct OnlineRequest
{
  std::string mMethod;
  std::string mPath;   // decoded, without the query
  std::string mTarget; // as sent: encoded path and query
  HeaderList mHeaders;
  std::string mBody;
  TimePoint mArrival;
};

// A request whose route, team and limits are known.
struct AdmittedRequest
{
  std::shared_ptr<const Document> mDocument; // revision it was admitted under
  Route mRoute;
  Service mService;
  std::string mTeam; // empty on open routes
  double mWeight = 1;
  double mWork = 1;
  std::uint64_t mPrefix = 0;
  bool mStream = false;        // the caller asked for an event stream
  std::string mIdempotencyKey; // only on routes that are not idempotent
  std::string mRequestId;      // the request's own X-Request-Id
  std::string mTarget;         // without anything that holds a key
  HeaderList mHeaders;         // those that endpoints may see
  TraceContext mTrace;         // span of the caller's request
  TimePoint mDeadline;
};

// Request limits beside those of the HTTP server.
constexpr std::size_t kMaxHeaders = 100;
constexpr std::size_t kMaxHeaderBytes = 32 << 10;
constexpr std::size_t kMaxIdempotencyKey = 128;
constexpr int kMaxAttempts = 3;

// Longest-prefix route for a path; aModel selects among model routes. Nothing
// when no route fits; aModelUnknown tells that a path fits but not the model.
auto FindRoute(const Document& aDocument,
               const std::string& aPath,
               const std::string& aModel,
               bool& aModelUnknown) -> const Route*;

// Checks key, route, team and input. Takes no token yet.
auto Admit(const OnlinePorts& aPorts, const OnlineRequest& aRequest)
  -> Result<AdmittedRequest, Refusal>;

// Runs an admitted request: token, queue, dispatch, answer. The sink gets the
// parts of a streamed answer; a failure after the sink accepted a head is
// returned as a refusal too.
auto RunOnline(const OnlinePorts& aPorts,
               Dispatcher& aDispatcher,
               const AdmittedRequest& aAdmitted,
               const OnlineRequest& aRequest,
               const ResponseSink& aSink,
               Cancellation* aCancellation)
  -> Result<EndpointResponse, Refusal>;

// One dispatch with retries, for a request that holds its token. aBeforeSend
// runs once, when the first endpoint is chosen and nothing has been sent; its
// refusal ends the request.
auto Dispatch(const OnlinePorts& aPorts,
              Dispatcher& aDispatcher,
              const AdmittedRequest& aAdmitted,
              const OnlineRequest& aRequest,
              const ResponseSink& aSink,
              Cancellation* aCancellation,
              const std::function<Result<void, Refusal>()>& aBeforeSend)
  -> Result<EndpointResponse, Refusal>;

} // namespace mangovalve
