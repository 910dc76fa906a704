// Routes, faults and socket options of the stand-ins' HTTP server.
#include "standins/common/server.h"

#include <array>
#include <cstdio>
#include <filesystem>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "standins/common/connection_threads.h"

namespace mangovalve::standins {
namespace {

// A daemon keeps tens of connections to each endpoint, and one stream each.
constexpr std::size_t kMaxConnections = 2000;
constexpr std::size_t kMaxReceivedBytes = 64U << 20U;
// cpp-httplib listens with a backlog of 5. A burst of connects then waits one
// second for the retransmission of its SYN.
constexpr int kListenBacklog = 1024;
// A silent connection is held this long unless its caller closes it or the
// fault is cleared.
constexpr auto kMaxSilence = std::chrono::minutes(10);
constexpr auto kSilencePoll = absl::Milliseconds(20);

// Socket of the connection from this request's remote port; -1 when it is
// gone. cpp-httplib does not show it to handlers.
auto FindSocket(const httplib::Request& aRequest) -> int
{
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd", error)) {
    int fd = -1;
    if (!absl::SimpleAtoi(entry.path().filename().string(), &fd)) {
      continue;
    }
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
        peer.sin_family == AF_INET &&
        ntohs(peer.sin_port) == aRequest.remote_port) {
      return fd;
    }
  }
  return -1;
}

auto CloseConnection(const httplib::Request& aRequest) -> void
{
  const auto fd = FindSocket(aRequest);
  if (fd >= 0) {
    shutdown(fd, SHUT_RDWR);
  }
}

auto IsClosedByPeer(int aSocket) -> bool
{
  char byte = 0;
  return aSocket < 0 || recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

auto StaySilent(const Standin& aStandin,
                const Fault& aFault,
                const httplib::Request& aRequest) -> void
{
  const auto fd = FindSocket(aRequest);
  const auto end = Clock::now() + kMaxSilence;
  while (Clock::now() < end && aStandin.mFaults.IsInForce(aFault.mSerial) &&
         !IsClosedByPeer(fd)) {
    absl::SleepFor(kSilencePoll);
  }
  CloseConnection(aRequest);
}

auto IsTestPath(const std::string& aPath) -> bool
{
  return aPath == "/faults" || aPath == "/received" || aPath == "/executions";
}

auto RequestHead(const httplib::Request& aRequest) -> std::string
{
  auto text =
    absl::StrCat(aRequest.method, " ", aRequest.target, " HTTP/1.1\r\n");
  for (const auto& [name, value] : aRequest.headers) {
    // Added by cpp-httplib, not received.
    if (!absl::StartsWith(name, "REMOTE_") &&
        !absl::StartsWith(name, "LOCAL_")) {
      absl::StrAppend(&text, name, ": ", value, "\r\n");
    }
  }
  return absl::StrCat(text, "\r\n");
}

// Keeps the answer for the crossed fault, unless it has no request id.
auto Remember(Standin& aStandin, SentAnswer aSent) -> void
{
  if (aSent.mId.empty()) {
    return;
  }
  const absl::MutexLock lock(&aStandin.mSentMutex);
  aStandin.mSent = std::move(aSent);
}

auto LastSent(Standin& aStandin) -> SentAnswer
{
  const absl::MutexLock lock(&aStandin.mSentMutex);
  return aStandin.mSent.value_or(
    SentAnswer{ "crossed-request", "{}", { "data: {}\n\n" } });
}

// State of one streamed answer; owned by its content provider.
struct StreamProgress
{
  std::optional<Fault> mFault;
  httplib::Request mRequest;
  Answer mAnswer;
  SentAnswer mSent;
  std::uint64_t mParts = 0;
  bool mEnded = false;
};

auto Shows(const std::optional<Fault>& aFault,
           FaultKind aKind,
           FaultPlace aPlace) -> bool
{
  return aFault && aFault->mKind == aKind && aFault->mPlace == aPlace;
}

// Writes the next part of a stream; false closes the connection.
auto WritePart(Standin& aStandin,
               StreamProgress& aProgress,
               httplib::DataSink& aSink) -> bool
{
  const auto& fault = aProgress.mFault;
  if (fault && aProgress.mParts >= fault->mAfter) {
    if (Shows(fault, FaultKind::Silent, FaultPlace::Stream)) {
      StaySilent(aStandin, *fault, aProgress.mRequest);
      return false;
    }
    if (Shows(fault, FaultKind::Cut, FaultPlace::Chunk)) {
      return false;
    }
  }
  auto part = aProgress.mAnswer.mNextPart(aSink.is_writable);
  if (part && Shows(fault, FaultKind::Cut, FaultPlace::Done) &&
      absl::StrContains(*part, "[DONE]")) {
    part.reset();
  }
  if (!part) {
    if (!aSink.is_writable()) {
      return false;
    }
    aProgress.mEnded = true;
    Remember(aStandin, std::move(aProgress.mSent));
    aSink.done();
    return true;
  }
  ++aProgress.mParts;
  aProgress.mSent.mParts.push_back(*part);
  return aSink.is_writable() && aSink.write(part->data(), part->size());
}

auto SendStream(Standin& aStandin,
                const httplib::Request& aRequest,
                const std::optional<Fault>& aFault,
                Answer aAnswer,
                httplib::Response& aResponse) -> void
{
  auto progress = std::make_shared<StreamProgress>();
  progress->mFault = aFault;
  progress->mRequest = aRequest;
  progress->mSent.mId = aRequest.get_header_value("X-Request-Id");
  progress->mSent.mBody =
    nlohmann::json{ { "id", progress->mSent.mId } }.dump();
  const auto contentType = aAnswer.mContentType;
  progress->mAnswer = std::move(aAnswer);
  aResponse.set_chunked_content_provider(
    contentType,
    [&aStandin, progress](std::size_t, httplib::DataSink& aSink) {
      return WritePart(aStandin, *progress, aSink);
    },
    [progress](bool) {
      if (!progress->mEnded && progress->mAnswer.mOnDisconnect) {
        progress->mAnswer.mOnDisconnect();
      }
    });
}

auto SendCutBody(const Fault& aFault,
                 const Answer& aAnswer,
                 httplib::Response& aResponse) -> void
{
  const auto& body = aAnswer.mBody;
  const auto size = aFault.mAfter > 0
                      ? std::min<std::size_t>(aFault.mAfter, body.size())
                      : body.size() / 2;
  const auto sent = body.substr(0, size);
  if (aFault.mPlace == FaultPlace::Unframed) {
    aResponse.set_content_provider(
      aAnswer.mContentType, [sent](std::size_t, httplib::DataSink& aSink) {
        aSink.write(sent.data(), sent.size());
        aSink.done();
        return true;
      });
    return;
  }
  aResponse.set_content_provider(
    body.size(),
    aAnswer.mContentType,
    [sent](std::size_t aOffset, std::size_t, httplib::DataSink& aSink) {
      if (aOffset == 0) {
        aSink.write(sent.data(), sent.size());
      }
      return false;
    });
}

auto SendCrossed(Standin& aStandin,
                 const Answer& aAnswer,
                 httplib::Response& aResponse) -> void
{
  const auto sent = LastSent(aStandin);
  aResponse.set_header("X-Request-Id", sent.mId);
  if (!aAnswer.mNextPart) {
    aResponse.set_content(sent.mBody, aAnswer.mContentType);
    return;
  }
  aResponse.set_chunked_content_provider(
    aAnswer.mContentType,
    [parts = sent.mParts](std::size_t, httplib::DataSink& aSink) {
      for (const auto& part : parts) {
        aSink.write(part.data(), part.size());
      }
      aSink.done();
      return true;
    });
}

auto Send(Standin& aStandin,
          const httplib::Request& aRequest,
          const std::optional<Fault>& aFault,
          Answer aAnswer,
          httplib::Response& aResponse) -> void
{
  aResponse.status = aAnswer.mStatus;
  for (const auto& [name, value] : aAnswer.mHeaders) {
    aResponse.set_header(name, value);
  }
  if (aFault && aFault->mKind == FaultKind::Crossed) {
    SendCrossed(aStandin, aAnswer, aResponse);
    return;
  }
  const auto id = aRequest.get_header_value("X-Request-Id");
  if (!id.empty()) {
    aResponse.set_header("X-Request-Id", id);
  }
  if (aAnswer.mNextPart) {
    SendStream(aStandin, aRequest, aFault, std::move(aAnswer), aResponse);
    return;
  }
  if (aFault && aFault->mKind == FaultKind::Cut &&
      aFault->mPlace != FaultPlace::Done &&
      aFault->mPlace != FaultPlace::Chunk) {
    SendCutBody(*aFault, aAnswer, aResponse);
    return;
  }
  Remember(
    aStandin,
    { id, aAnswer.mBody, { absl::StrCat("data: ", aAnswer.mBody, "\n\n") } });
  aResponse.set_content(aAnswer.mBody, aAnswer.mContentType);
}

// Ends the request before the handler runs; false when the handler is to run.
auto FailBefore(Standin& aStandin,
                const Fault& aFault,
                const httplib::Request& aRequest,
                httplib::Response& aResponse) -> bool
{
  switch (aFault.mKind) {
    case FaultKind::Slow:
      absl::SleepFor(absl::FromChrono(aFault.mDelay));
      return false;
    case FaultKind::Error:
      Send(aStandin,
           aRequest,
           std::nullopt,
           ErrorAnswer(aFault.mStatus, "fault", "requested by POST /faults"),
           aResponse);
      return true;
    case FaultKind::LostBefore:
      CloseConnection(aRequest);
      return true;
    case FaultKind::Silent:
      if (aFault.mPlace == FaultPlace::Stream) {
        return false;
      }
      StaySilent(aStandin, aFault, aRequest);
      return true;
    default:
      return false;
  }
}

auto ServeRequest(Standin& aStandin,
                  const AnswerFunction& aHandler,
                  const httplib::Request& aRequest,
                  httplib::Response& aResponse) -> void
{
  if (!IsTestPath(aRequest.path)) {
    aStandin.mReceived.Add(aRequest.body);
  }
  const auto fault =
    IsTestPath(aRequest.path)
      ? std::nullopt
      : aStandin.mFaults.Take(
          { aRequest.method, aRequest.path, CurrentConnectionStart() });
  if (fault && FailBefore(aStandin, *fault, aRequest, aResponse)) {
    return;
  }
  auto answer = aHandler(aRequest);
  if (fault && fault->mKind == FaultKind::Late) {
    absl::SleepFor(absl::FromChrono(fault->mDelay));
  }
  if (fault && fault->mKind == FaultKind::LostAfter) {
    CloseConnection(aRequest);
    return;
  }
  Send(aStandin, aRequest, fault, std::move(answer), aResponse);
}

auto ConfigureServer(Standin& aStandin) -> void
{
  auto& server = aStandin.mServer;
  server.new_task_queue = [] { return new ConnectionThreads(kMaxConnections); };
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(1000000000);
  server.set_keep_alive_timeout(300);
  server.set_read_timeout(300);
  server.set_write_timeout(60);
  // The default options set SO_REUSEPORT, which lets two servers share a port
  // without an error.
  server.set_socket_options([&aStandin](int aSocket) {
    const int yes = 1;
    setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    aStandin.mListenSocket = aSocket;
  });
  server.set_pre_routing_handler(
    [&aStandin](const httplib::Request& aRequest, httplib::Response&) {
      if (!IsTestPath(aRequest.path)) {
        aStandin.mReceived.Add(RequestHead(aRequest));
      }
      return httplib::Server::HandlerResponse::Unhandled;
    });
}

} // namespace

auto JsonAnswer(const nlohmann::json& aJson, int aStatus) -> Answer
{
  Answer answer;
  answer.mStatus = aStatus;
  answer.mBody =
    aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return answer;
}

auto ErrorAnswer(int aStatus,
                 const std::string& aReason,
                 const std::string& aMessage) -> Answer
{
  return JsonAnswer(
    { { "error", { { "reason", aReason }, { "message", aMessage } } } },
    aStatus);
}

auto TextMember(const nlohmann::json& aJson, const char* aName) -> std::string
{
  const auto found = aJson.find(aName);
  return found != aJson.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

auto ReceivedLog::Add(const std::string& aText) -> void
{
  const absl::MutexLock lock(&mMutex);
  mText += aText;
  if (mText.size() > kMaxReceivedBytes) {
    const auto excess = mText.size() - kMaxReceivedBytes / 2;
    mText.erase(0, excess);
    mDropped += excess;
  }
}

auto ReceivedLog::Text() const -> std::string
{
  const absl::MutexLock lock(&mMutex);
  return mText;
}

auto ReceivedLog::DroppedBytes() const -> std::uint64_t
{
  const absl::MutexLock lock(&mMutex);
  return mDropped;
}

Standin::Standin(std::uint64_t aSeed)
  : mFaults(aSeed)
{
  ConfigureServer(*this);
  AddRoute(*this, "POST", "/faults", [this](const httplib::Request& aRequest) {
    const auto applied =
      ApplyFaultRequest(mFaults, aRequest.body, Clock::now());
    return applied ? JsonAnswer({ { "ok", true } })
                   : ErrorAnswer(400, "bad_fault", applied.error());
  });
  AddRoute(*this, "GET", "/received", [this](const httplib::Request&) {
    Answer answer;
    answer.mContentType = "application/octet-stream";
    answer.mHeaders = { { "X-Dropped-Bytes",
                          absl::StrCat(mReceived.DroppedBytes()) } };
    answer.mBody = mReceived.Text();
    return answer;
  });
}

auto AddRoute(Standin& aStandin,
              const std::string& aMethod,
              const std::string& aPattern,
              AnswerFunction aHandler) -> void
{
  const auto serve =
    [&aStandin, handler = std::move(aHandler)](const httplib::Request& aRequest,
                                               httplib::Response& aResponse) {
      ServeRequest(aStandin, handler, aRequest, aResponse);
    };
  if (aMethod == "GET") {
    aStandin.mServer.Get(aPattern, serve);
  } else {
    aStandin.mServer.Post(aPattern, serve);
  }
}

auto Bind(Standin& aStandin, const std::string& aAddress)
  -> Result<std::string, std::string>
{
  const auto colon = aAddress.rfind(':');
  int port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(aAddress.substr(colon + 1), &port)) {
    return Err(absl::StrCat("address is not IP:PORT: ", aAddress));
  }
  const auto ip = aAddress.substr(0, colon);
  if (port == 0) {
    port = aStandin.mServer.bind_to_any_port(ip);
  } else if (!aStandin.mServer.bind_to_port(ip, port)) {
    port = -1;
  }
  if (port < 0) {
    return Err(absl::StrCat("cannot bind to ", aAddress));
  }
  listen(aStandin.mListenSocket, kListenBacklog);
  return absl::StrCat(ip, ":", port);
}

auto RunStandin(Standin& aStandin, const std::string& aAddress) -> int
{
  const auto bound = Bind(aStandin, aAddress);
  if (!bound) {
    std::fprintf(stderr, "%s\n", bound.error().c_str());
    return 1;
  }
  std::printf("listening=%s\n", bound->c_str());
  std::fflush(stdout);
  return aStandin.mServer.listen_after_bind() ? 0 : 1;
}

} // namespace mangovalve::standins
