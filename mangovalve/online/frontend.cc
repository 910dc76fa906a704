// OnlineFrontend: connects the online path to an httplib::Server.
#include "mangovalve/online/frontend.h"

#include <array>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <sys/socket.h>

#include "mangovalve/base/thread.h"
#include "mangovalve/online/stream_pipe.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/span.h"

namespace mangovalve {
namespace {

constexpr int kListenBacklog = 1024; // httplib's default is 5
// Interval at which a worker that waits for stream data checks that its caller
// is still connected.
constexpr auto kCallerCheckInterval = std::chrono::milliseconds(50);

// Headers of an endpoint's answer that are forwarded to callers.
constexpr std::array<const char*, 7> kForwardedAnswerHeaders = {
  "Cache-Control",        "Content-Disposition",
  "Content-Language",     "ETag",
  "Last-Modified",        "Location",
  "Idempotency-Replayed",
};

auto SetServerSocketOptions(socket_t aSocket) -> void
{
  const auto yes = 1;
  setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

auto ToOnlineRequest(const httplib::Request& aRequest, TimePoint aArrival)
  -> OnlineRequest
{
  OnlineRequest request;
  request.mMethod = aRequest.method;
  request.mPath = aRequest.path;
  request.mTarget = aRequest.target;
  for (const auto& [name, value] : aRequest.headers) {
    // httplib adds connection data as headers with these names.
    if (!absl::StartsWith(name, "REMOTE_") &&
        !absl::StartsWith(name, "LOCAL_")) {
      request.mHeaders.emplace_back(name, value);
    }
  }
  request.mBody = aRequest.body;
  request.mArrival = aArrival;
  return request;
}

auto SetRefusal(httplib::Response& aResponse, const Refusal& aRefusal) -> void
{
  aResponse.status = aRefusal.mStatus;
  if (aRefusal.mRetryAfter.count() > 0) {
    const auto seconds = (aRefusal.mRetryAfter.count() + 999) / 1000;
    aResponse.set_header("Retry-After", absl::StrCat(seconds));
  }
  aResponse.set_content(ToJson(aRefusal), "application/json");
  FindCounter("mangovalve_online_refused_total",
              { { "reason", aRefusal.mReason },
                { "run", ExecutionStateName(aRefusal.mExecution) } })
    .Add();
}

auto SetHead(httplib::Response& aResponse, const EndpointResponseHead& aHead)
  -> void
{
  aResponse.status = aHead.mStatus;
  for (const auto* const name : kForwardedAnswerHeaders) {
    const auto value = HeaderValue(aHead.mHeaders, name);
    if (!value.empty()) {
      aResponse.set_header(name, value);
    }
  }
}

// The answer's content type, or a default for unspecified content.
auto ContentType(const EndpointResponseHead& aHead) -> std::string
{
  const auto type = HeaderValue(aHead.mHeaders, "Content-Type");
  return type.empty() ? "application/octet-stream" : type;
}

auto SetAnswer(httplib::Response& aResponse, const EndpointResponse& aAnswer)
  -> void
{
  SetHead(aResponse, aAnswer.mHead);
  if (!aAnswer.mBody.empty()) {
    aResponse.set_content(aAnswer.mBody, ContentType(aAnswer.mHead));
  }
}

// State of a streamed answer until its last byte is written.
struct StreamedAnswer
{
  StreamedAnswer(std::size_t aMaxBytes,
                 OnlineRequest aRequest,
                 AdmittedRequest aAdmitted,
                 std::shared_ptr<void> aRunningGuard)
    : mPipe(aMaxBytes)
    , mRequest(std::move(aRequest))
    , mAdmitted(std::move(aAdmitted))
    , mRunningGuard(std::move(aRunningGuard))
  {
  }
  ~StreamedAnswer()
  {
    mPipe.CloseReader();
    mCancellation.Cancel();
    mThread.Join();
  }
  StreamedAnswer(const StreamedAnswer&) = delete;
  auto operator=(const StreamedAnswer&) -> StreamedAnswer& = delete;

  StreamPipe mPipe;
  Cancellation mCancellation;
  OnlineRequest mRequest;
  AdmittedRequest mAdmitted;
  std::shared_ptr<void> mRunningGuard; // counts the request as running
  Thread mThread;
};

auto CountScoped(const std::shared_ptr<std::atomic<std::size_t>>& aCount)
  -> std::shared_ptr<void>
{
  ++*aCount;
  return { nullptr, [aCount](void*) { --*aCount; } };
}

// Counts the connection of this worker until its first answer.
thread_local std::shared_ptr<void> tUnansweredGuard;

// Counts connections from their acceptance. A server that is stopped closes
// those that still wait for a worker, although their requests may have been
// sent.
class CountingPool final : public httplib::TaskQueue
{
public:
  CountingPool(std::size_t aWorkers,
               std::shared_ptr<std::atomic<std::size_t>> aUnanswered)
    : mPool(aWorkers)
    , mUnanswered(std::move(aUnanswered))
  {
  }

  auto enqueue(std::function<void()> aConnection) -> void override
  {
    mPool.enqueue([guard = CountScoped(mUnanswered),
                   connection = std::move(aConnection)]() mutable {
      tUnansweredGuard = std::move(guard);
      connection();
      tUnansweredGuard.reset();
    });
  }

  auto shutdown() -> void override { mPool.shutdown(); }

private:
  httplib::ThreadPool mPool;
  std::shared_ptr<std::atomic<std::size_t>> mUnanswered;
};

// Writes the buffered data. Returns false to close the connection without the
// last chunk, so that the caller recognizes a truncated stream.
auto WriteStream(StreamedAnswer& aStreamed, httplib::DataSink& aSink) -> bool
{
  std::string data;
  switch (aStreamed.mPipe.Take(Clock::now() + kCallerCheckInterval, data)) {
    case StreamPipe::Next::Data:
      return aSink.write(data.data(), data.size());
    case StreamPipe::Next::Nothing:
      return aSink.is_writable();
    case StreamPipe::Next::Ended:
      break;
  }
  const auto finalResult = aStreamed.mPipe.FinalResult();
  if (finalResult) {
    aSink.done();
    return true;
  }
  const auto event =
    absl::StrCat("data: ", ToJson(finalResult.error()), "\n\n");
  aSink.write(event.data(), event.size());
  FindCounter("mangovalve_online_streams_cut_total",
              { { "reason", finalResult.error().mReason } })
    .Add();
  return false;
}

} // namespace

auto ConfigureServer(httplib::Server& aServer,
                     const OnlineFrontendOptions& aOptions) -> void
{
  aServer.new_task_queue = [workers = aOptions.mWorkers] {
    return new httplib::ThreadPool(workers);
  };
  aServer.set_tcp_nodelay(true);
  aServer.set_keep_alive_max_count(1'000'000);
  aServer.set_keep_alive_timeout(aOptions.mKeepAlive.count());
  aServer.set_read_timeout(aOptions.mReadTimeout.count());
  aServer.set_write_timeout(aOptions.mWriteTimeout.count());
  aServer.set_payload_max_length(aOptions.mMaxBodyBytes);
  aServer.set_socket_options(SetServerSocketOptions);
  aServer.set_error_handler(
    [](const httplib::Request&, httplib::Response& aResponse) {
      // Only for the server's own errors; answers have a request id.
      if (aResponse.body.empty() && !aResponse.has_header("X-Request-Id")) {
        const auto* const reason = aResponse.status == 413   ? "body_too_large"
                                   : aResponse.status == 414 ? "path_too_long"
                                   : aResponse.status == 404 ? "no_route"
                                                             : "bad_request";
        const auto status = aResponse.status;
        SetRefusal(aResponse,
                   { status,
                     reason,
                     "the server cannot accept this request",
                     ExecutionState::NotRun,
                     {} });
      }
    });
  aServer.set_exception_handler([](const httplib::Request&,
                                   httplib::Response& aResponse,
                                   const std::exception_ptr&) {
    SetRefusal(
      aResponse,
      { 500, "internal", "internal error", ExecutionState::Unknown, {} });
  });
}

auto BindServer(httplib::Server& aServer, const std::string& aHost, int aPort)
  -> int
{
  auto listening = INVALID_SOCKET;
  aServer.set_socket_options([&listening](socket_t aSocket) {
    SetServerSocketOptions(aSocket);
    listening = aSocket;
  });
  const auto port = aPort == 0 ? aServer.bind_to_any_port(aHost)
                    : aServer.bind_to_port(aHost, aPort) ? aPort
                                                         : 0;
  aServer.set_socket_options(SetServerSocketOptions);
  if (port <= 0) {
    return 0;
  }
  ::listen(listening, kListenBacklog); // raises the backlog
  return port;
}

OnlineFrontend::OnlineFrontend(const OnlinePorts& aPorts,
                               OnlineFrontendOptions aOptions)
  : mPorts(aPorts)
  , mOptions(aOptions)
  , mDispatcher(aPorts)
  , mRunning(std::make_shared<std::atomic<std::size_t>>(0))
  , mUnanswered(std::make_shared<std::atomic<std::size_t>>(0))
{
}

auto OnlineFrontend::Register(httplib::Server& aServer) -> void
{
  const auto handler = [this](const httplib::Request& aRequest,
                              httplib::Response& aResponse) {
    Handle(aRequest, aResponse);
  };
  aServer.new_task_queue = [workers = mOptions.mWorkers,
                            unanswered = mUnanswered] {
    return new CountingPool(workers, unanswered);
  };
  aServer.set_post_routing_handler(
    [](const httplib::Request&, httplib::Response&) {
      tUnansweredGuard.reset();
    });
  constexpr auto kEveryPath = "/.*";
  aServer.Get(kEveryPath, handler);
  aServer.Post(kEveryPath, handler);
  aServer.Put(kEveryPath, handler);
  aServer.Patch(kEveryPath, handler);
  aServer.Delete(kEveryPath, handler);
}

auto OnlineFrontend::Drain() -> void
{
  const absl::MutexLock lock(&mMutex);
  StartDrain(mDrain, mOptions.mDrain, mPorts.mNow());
}

auto OnlineFrontend::CurrentDrainPhase() -> DrainPhase
{
  const absl::MutexLock lock(&mMutex);
  return Phase(mDrain, Running() + UnansweredConnections(), mPorts.mNow());
}

auto OnlineFrontend::Handle(const httplib::Request& aRequest,
                            httplib::Response& aResponse) -> void
{
  const auto arrival = mPorts.mNow();
  const auto phase = CurrentDrainPhase();
  if (phase != DrainPhase::Serving) {
    aResponse.set_header("Connection", "close");
  }
  if (phase == DrainPhase::Refusing || phase == DrainPhase::Done) {
    SetRefusal(aResponse,
               { 503,
                 "draining",
                 "this host is shutting down",
                 ExecutionState::NotRun,
                 std::chrono::milliseconds(100) });
    return;
  }
  const auto runningGuard = CountScoped(mRunning);
  auto span =
    StartSpan("caller",
              ParseTraceparent(aRequest.get_header_value("traceparent")),
              arrival);
  const auto request = ToOnlineRequest(aRequest, arrival);
  auto admitted = Admit(mPorts, request);
  if (!admitted) {
    SetRefusal(aResponse, admitted.error());
    return;
  }
  aResponse.set_header("X-Request-Id", admitted->mRequestId);
  std::erase_if(admitted->mHeaders, [](const auto& aHeader) {
    return absl::EqualsIgnoreCase(aHeader.first, "traceparent");
  });
  admitted->mTrace = span.mContext;
  span.mAttributes = { { "route", admitted->mRoute.mName },
                       { "team", admitted->mTeam } };
  if (admitted->mStream && admitted->mIdempotencyKey.empty()) {
    HandleStream(request, *admitted, runningGuard, aResponse);
  } else {
    const auto result =
      RunOnline(mPorts, mDispatcher, *admitted, request, {}, nullptr);
    if (result) {
      SetAnswer(aResponse, *result);
    } else {
      SetRefusal(aResponse, result.error());
    }
  }
  span.mAttributes.emplace_back("status", absl::StrCat(aResponse.status));
  FinishSpan(span, mPorts.mNow());
}

auto OnlineFrontend::HandleStream(const OnlineRequest& aRequest,
                                  const AdmittedRequest& aAdmitted,
                                  const std::shared_ptr<void>& aRunningGuard,
                                  httplib::Response& aResponse) -> void
{
  const auto streamed = std::make_shared<StreamedAnswer>(
    mOptions.mMaxBufferedStreamBytes, aRequest, aAdmitted, aRunningGuard);
  // httplib's client blocks until an answer has ended, so a stream needs a
  // second thread in addition to the worker that writes to the caller.
  streamed->mThread = Thread("online-stream", [this, &streamed = *streamed] {
    ResponseSink sink;
    sink.mOnHead = [&streamed](const EndpointResponseHead& aHead) {
      return streamed.mPipe.PutHead(aHead);
    };
    sink.mOnData = [&streamed](std::string_view aData) {
      return streamed.mPipe.PutData(aData);
    };
    streamed.mPipe.End(RunOnline(mPorts,
                                 mDispatcher,
                                 streamed.mAdmitted,
                                 streamed.mRequest,
                                 sink,
                                 &streamed.mCancellation));
  });
  if (const auto head = streamed->mPipe.WaitForHead()) {
    SetHead(aResponse, *head);
    aResponse.set_chunked_content_provider(
      ContentType(*head), [streamed](std::size_t, httplib::DataSink& aSink) {
        return WriteStream(*streamed, aSink);
      });
    return;
  }
  const auto result = streamed->mPipe.FinalResult();
  if (result) {
    SetAnswer(aResponse, *result);
  } else {
    SetRefusal(aResponse, result.error());
  }
}

} // namespace mangovalve
