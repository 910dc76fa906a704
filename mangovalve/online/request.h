// Processing of one online request: key, team, rate token, fair queue, choice
// of an endpoint, dispatch with retries, answer. Independent of the HTTP
// server; frontend.h connects it to one.
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

// A request that has passed the checks, with its route, team and limits.
struct AdmittedRequest
{
  std::shared_ptr<const Document> mDocument; // used for its admission
  Route mRoute;
  Service mService;
  std::string mTeam; // empty on open routes
  double mWeight = 1;
  double mWork = 1;
  std::uint64_t mPrefix = 0;
  bool mStream = false;        // the caller requested an event stream
  std::string mIdempotencyKey; // only on routes that are not idempotent
  std::string mRequestId;      // X-Request-Id, new for each request
  std::string mTarget;         // without parts that contain a key
  HeaderList mHeaders;         // forwarded to endpoints
  TraceContext mTrace;         // span of the caller's request
  TimePoint mDeadline;
};

// Request limits in addition to those of the HTTP server.
constexpr std::size_t kMaxHeaders = 100;
constexpr std::size_t kMaxHeaderBytes = 32 << 10;
constexpr std::size_t kMaxIdempotencyKeyBytes = 128;
constexpr int kMaxAttempts = 3;

// The route with the longest matching path prefix; aModel selects among model
// routes. Null if no route matches; aModelUnknown is then true if a route
// matches the path but not the model.
auto FindRoute(const Document& aDocument,
               const std::string& aPath,
               const std::string& aModel,
               bool& aModelUnknown) -> const Route*;

// Checks route, key, team and input. Takes no rate token.
auto Admit(const OnlinePorts& aPorts, const OnlineRequest& aRequest)
  -> Result<AdmittedRequest, Refusal>;

// Runs an admitted request: rate token, queue, dispatch, answer. The sink
// receives the parts of a streamed answer; a failure after the sink has
// accepted a head is returned as a refusal too.
auto RunOnline(const OnlinePorts& aPorts,
               Dispatcher& aDispatcher,
               const AdmittedRequest& aAdmitted,
               const OnlineRequest& aRequest,
               const ResponseSink& aSink,
               Cancellation* aCancellation)
  -> Result<EndpointResponse, Refusal>;

// Dispatches a request that has taken its rate token, with retries. aBeforeSend
// is called once, after the first endpoint is chosen and before anything is
// sent; if it returns a refusal, the request ends with it.
auto Dispatch(const OnlinePorts& aPorts,
              Dispatcher& aDispatcher,
              const AdmittedRequest& aAdmitted,
              const OnlineRequest& aRequest,
              const ResponseSink& aSink,
              Cancellation* aCancellation,
              const std::function<Result<void, Refusal>()>& aBeforeSend)
  -> Result<EndpointResponse, Refusal>;

} // namespace mangovalve
