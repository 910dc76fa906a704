// OnlineFront: binds the online path to an httplib::Server.
#include "mangovalve/online/front.h"

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

constexpr int kListenBacklog = 1024; // httplib's own is 5
// How often a worker that waits for stream data checks that its caller is
// still connected.
constexpr auto kCallerCheck = std::chrono::milliseconds(50);

// Headers of an endpoint's answer that callers get.
constexpr std::array<const char*, 7> kAnswerHeaders = {
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
    // httplib passes connection data as headers of these names.
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
  FindCounter(
    "mangovalve_online_refused_total",
    { { "reason", aRefusal.mReason }, { "run", RunName(aRefusal.mRun) } })
    .Add();
}

auto SetHead(httplib::Response& aResponse, const EndpointResponseHead& aHead)
  -> void
{
  aResponse.status = aHead.mStatus;
  for (const auto* const name : kAnswerHeaders) {
    const auto value = HeaderValue(aHead.mHeaders, name);
    if (!value.empty()) {
      aResponse.set_header(name, value);
    }
  }
}

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

// Everything that one streamed answer needs until its last byte is written.
struct StreamJob
{
  StreamJob(std::size_t aMaxBytes,
            OnlineRequest aRequest,
            AdmittedRequest aAdmitted,
            std::shared_ptr<void> aCounted)
    : mPipe(aMaxBytes)
    , mRequest(std::move(aRequest))
    , mAdmitted(std::move(aAdmitted))
    , mCounted(std::move(aCounted))
  {
  }
  ~StreamJob()
  {
    mPipe.CloseReader();
    mCancellation.Cancel();
    mThread.Join();
  }
  StreamJob(const StreamJob&) = delete;
  auto operator=(const StreamJob&) -> StreamJob& = delete;

  StreamPipe mPipe;
  Cancellation mCancellation;
  OnlineRequest mRequest;
  AdmittedRequest mAdmitted;
  std::shared_ptr<void> mCounted;
  Thread mThread;
};

// Writes what has arrived. False ends the connection without the last chunk,
// so that the caller cannot take a cut stream for a whole one.
auto WriteStream(StreamJob& aJob, httplib::DataSink& aSink) -> bool
{
  std::string data;
  switch (aJob.mPipe.Take(Clock::now() + kCallerCheck, data)) {
    case StreamPipe::Next::Data:
      return aSink.write(data.data(), data.size());
    case StreamPipe::Next::Nothing:
      return aSink.is_writable();
    case StreamPipe::Next::Ended:
      break;
  }
  const auto ending = aJob.mPipe.Ending();
  if (ending) {
    aSink.done();
    return true;
  }
  const auto event = absl::StrCat("data: ", ToJson(ending.error()), "\n\n");
  aSink.write(event.data(), event.size());
  FindCounter("mangovalve_online_streams_cut_total",
              { { "reason", ending.error().mReason } })
    .Add();
  return false;
}

} // namespace

auto ConfigureServer(httplib::Server& aServer, const FrontOptions& aOptions)
  -> void
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
      // Only for errors of the server itself; answers carry a request id.
      if (aResponse.body.empty() && !aResponse.has_header("X-Request-Id")) {
        const auto* const reason = aResponse.status == 413   ? "body_too_large"
                                   : aResponse.status == 414 ? "path_too_long"
                                   : aResponse.status == 404 ? "no_route"
                                                             : "bad_request";
        const auto status = aResponse.status;
        SetRefusal(aResponse,
                   { status,
                     reason,
                     "the server cannot take this request",
                     Run::NotRun,
                     {} });
      }
    });
  aServer.set_exception_handler([](const httplib::Request&,
                                   httplib::Response& aResponse,
                                   const std::exception_ptr&) {
    SetRefusal(aResponse,
               { 500, "internal", "internal error", Run::Unknown, {} });
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
  ::listen(listening, kListenBacklog); // raises the length of the queue
  return port;
}

OnlineFront::OnlineFront(const OnlinePorts& aPorts, FrontOptions aOptions)
  : mPorts(aPorts)
  , mOptions(aOptions)
  , mDispatcher(aPorts)
  , mRunning(std::make_shared<std::atomic<std::size_t>>(0))
{
}

auto OnlineFront::Register(httplib::Server& aServer) -> void
{
  const auto handler = [this](const httplib::Request& aRequest,
                              httplib::Response& aResponse) {
    Handle(aRequest, aResponse);
  };
  constexpr auto kEveryPath = "/.*";
  aServer.Get(kEveryPath, handler);
  aServer.Post(kEveryPath, handler);
  aServer.Put(kEveryPath, handler);
  aServer.Patch(kEveryPath, handler);
  aServer.Delete(kEveryPath, handler);
}

auto OnlineFront::Drain() -> void
{
  const absl::MutexLock lock(&mMutex);
  StartDrain(mDrain, mOptions.mDrain, mPorts.mNow());
}

auto OnlineFront::DrainState() -> DrainPhase
{
  const absl::MutexLock lock(&mMutex);
  return Phase(mDrain, Running(), mPorts.mNow());
}

auto OnlineFront::Handle(const httplib::Request& aRequest,
                         httplib::Response& aResponse) -> void
{
  const auto arrival = mPorts.mNow();
  const auto phase = DrainState();
  if (phase != DrainPhase::Serving) {
    aResponse.set_header("Connection", "close");
  }
  if (phase == DrainPhase::Refusing || phase == DrainPhase::Done) {
    SetRefusal(aResponse,
               { 503,
                 "draining",
                 "this host is shutting down",
                 Run::NotRun,
                 std::chrono::milliseconds(100) });
    return;
  }
  ++*mRunning;
  const std::shared_ptr<void> counted(
    nullptr, [running = mRunning](void*) { --*running; });
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
    HandleStream(request, *admitted, counted, aResponse);
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

auto OnlineFront::HandleStream(const OnlineRequest& aRequest,
                               const AdmittedRequest& aAdmitted,
                               const std::shared_ptr<void>& aCounted,
                               httplib::Response& aResponse) -> void
{
  const auto job = std::make_shared<StreamJob>(
    mOptions.mMaxBufferedStreamBytes, aRequest, aAdmitted, aCounted);
  // httplib's client blocks until an answer has ended, so that a stream needs
  // a second thread beside the worker that writes to the caller.
  job->mThread = Thread("online-stream", [this, &job = *job] {
    ResponseSink sink;
    sink.mOnHead = [&job](const EndpointResponseHead& aHead) {
      return job.mPipe.PutHead(aHead);
    };
    sink.mOnData = [&job](std::string_view aData) {
      return job.mPipe.PutData(aData);
    };
    job.mPipe.End(RunOnline(mPorts,
                            mDispatcher,
                            job.mAdmitted,
                            job.mRequest,
                            sink,
                            &job.mCancellation));
  });
  if (const auto head = job->mPipe.WaitForHead()) {
    SetHead(aResponse, *head);
    aResponse.set_chunked_content_provider(
      ContentType(*head), [job](std::size_t, httplib::DataSink& aSink) {
        return WriteStream(*job, aSink);
      });
    return;
  }
  const auto result = job->mPipe.Ending();
  if (result) {
    SetAnswer(aResponse, *result);
  } else {
    SetRefusal(aResponse, result.error());
  }
}

} // namespace mangovalve
