// HTTP/1.1 server on the event loop.
#include "mangovalve/loop/http_server.h"

#include <algorithm>
#include <sstream>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <sys/socket.h>

#include "mangovalve/loop/http_client.h"
#include "mangovalve/loop/run_loop.h"

namespace mangovalve {
namespace {

// A caller that does not read its response for this time is disconnected.
constexpr auto kWriteTimeout = std::chrono::seconds(5);

// Delay after a failed accept, which is mostly caused by a lack of descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

// Time within which the first request of a new connection arrives. It covers
// one retransmission of a lost packet.
constexpr auto kFirstRequestTime = std::chrono::milliseconds(1000);

constexpr int kBacklog = 512;
constexpr std::size_t kReadBytes = 4096;

auto StatusOf(const ErrorCode& aError) -> http::status
{
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return http::status::request_header_fields_too_large;
  }
  if (aError == http::error::body_limit) {
    return http::status::payload_too_large;
  }
  return http::status::bad_request;
}

// Whether the error is a malformed request, which requires an error response.
auto IsMalformed(const ErrorCode& aError) -> bool
{
  return aError.category() ==
           make_error_code(http::error::bad_method).category() &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

auto HasPendingInput(Tcp::socket& aSocket) -> bool
{
  char byte = 0;
  return recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Ends what the handler of the caller awaits.
auto Interrupt(const Caller& aCaller) -> void
{
  try {
    if (const auto interrupt = aCaller.mInterrupt) {
      interrupt();
    }
  } catch (const std::exception& exception) {
    ReportEscaped(exception);
  }
}

auto HeadText(const ResponseHead& aHead) -> std::string
{
  std::ostringstream text;
  text << aHead;
  return text.str();
}

} // namespace

Caller::Caller(Tcp::socket aSocket)
  : mStream(std::move(aSocket))
{
  ErrorCode ignored; // without the option, only latency suffers
  mStream.socket().set_option(Tcp::no_delay(true), ignored);
}

auto Caller::RemoteIp() const -> std::string
{
  ErrorCode error;
  const auto remote = mStream.socket().remote_endpoint(error);
  return error ? std::string() : remote.address().to_string();
}

auto Caller::Write(std::string aBytes) -> Task<bool>
{
  mStream.expires_at(Clock::now() + kWriteTimeout);
  ErrorCode error;
  co_await asio::async_write(
    mStream, asio::buffer(aBytes), CaptureError(error));
  mDisconnected = mDisconnected || error;
  co_return !error;
}

auto Caller::EndsConnection() -> bool
{
  mLast = mLast || (mClosing && mBuffer.size() == 0 &&
                    !HasPendingInput(mStream.socket()));
  return mLast;
}

auto Caller::Reply(Response aResponse) -> Task<bool>
{
  mAnswered = true;
  aResponse.version(11);
  aResponse.keep_alive(!EndsConnection());
  aResponse.prepare_payload();
  mStream.expires_at(Clock::now() + kWriteTimeout);
  http::response_serializer<http::string_body> serializer(aResponse);
  ErrorCode error;
  co_await http::async_write(mStream, serializer, CaptureError(error));
  mDisconnected = mDisconnected || error;
  co_return !error;
}

auto Caller::BeginChunks(ResponseHead aHead, std::string aFirst) -> Task<bool>
{
  mAnswered = true;
  mChunked = true;
  aHead.version(11);
  aHead.erase(http::field::content_length);
  aHead.set(http::field::transfer_encoding, "chunked");
  if (EndsConnection()) {
    aHead.set(http::field::connection, "close");
  }
  auto bytes = HeadText(aHead);
  if (!aFirst.empty()) {
    absl::StrAppendFormat(&bytes, "%x\r\n%s\r\n", aFirst.size(), aFirst);
  }
  co_return co_await Write(std::move(bytes));
}

auto Caller::SendChunk(std::string aBytes) -> Task<bool>
{
  if (aBytes.empty()) {
    co_return !mDisconnected;
  }
  co_return co_await Write(
    absl::StrFormat("%x\r\n%s\r\n", aBytes.size(), aBytes));
}

auto Caller::EndChunks() -> Task<bool>
{
  mChunked = false;
  co_return co_await Write("0\r\n\r\n");
}

auto Caller::Abort() -> void
{
  mAnswered = true;
  mLast = true;
  ErrorCode ignored; // the socket is closed either way
  mStream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  mStream.close();
}

AsyncHttpServer::AsyncHttpServer(asio::io_context& aLoop,
                                 RequestHandler aHandler,
                                 std::function<auto()->CallerLimits> aLimits)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
  , mLimits(std::move(aLimits))
  , mAcceptor(aLoop)
{
}

auto AsyncHttpServer::Listen(const std::string& aAddress) -> ErrorCode
{
  const auto endpoint = ParseAddress(aAddress);
  if (!endpoint) {
    return endpoint.error();
  }
  ErrorCode error;
  mAcceptor.open(endpoint->protocol(), error);
  if (!error) {
    mAcceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    mAcceptor.bind(*endpoint, error);
  }
  if (!error) {
    mAcceptor.listen(kBacklog, error);
  }
  if (!error) {
    Spawn(mLoop, Accept());
  }
  return error;
}

auto AsyncHttpServer::Accept() -> Task<>
{
  while (mAcceptor.is_open()) {
    ErrorCode error;
    auto socket = co_await mAcceptor.async_accept(CaptureError(error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      co_await SleepUntil(Clock::now() + kAcceptRetryDelay);
      continue;
    }
    Admit(std::move(socket));
  }
}

// Counts the connection before its task starts, so that a stop in between waits
// for it.
auto AsyncHttpServer::Admit(Tcp::socket aSocket) -> void
{
  CallerPtr caller;
  try {
    caller = std::make_shared<Caller>(std::move(aSocket));
    caller->mClosing = mClosing;
    mLastAccepted = caller->mAcceptedAt;
    mCallers.insert(caller);
    Spawn(mLoop, Serve(caller));
  } catch (const std::exception& exception) {
    ReportEscaped(exception);
    mCallers.erase(caller);
  }
}

auto AsyncHttpServer::Serve(CallerPtr aCaller) -> Task<>
{
  try {
    for (auto open = true; open;) {
      open = co_await ServeOne(aCaller);
    }
  } catch (const std::exception& exception) {
    ReportEscaped(exception);
  }
  mCallers.erase(aCaller);
  // Closing a socket with unread bytes resets the connection, which may discard
  // the response at the caller. So the sending side is shut down first.
  ErrorCode ignored; // the caller may have closed the connection
  aCaller->mStream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  aCaller->mStream.close();
}

auto AsyncHttpServer::ServeOne(CallerPtr aCaller) -> Task<bool>
{
  const auto limits = mLimits();
  auto& caller = *aCaller;
  auto& stream = caller.mStream;
  ErrorCode error;
  if (caller.mBuffer.size() == 0) {
    stream.expires_at(Clock::now() + limits.mIdleTimeout);
    const auto count = co_await stream.async_read_some(
      caller.mBuffer.prepare(kReadBytes), CaptureError(error));
    if (error) {
      co_return false;
    }
    caller.mBuffer.commit(count);
  }
  caller.mPhase = ConnectionPhase::Reading;
  // Bounds what the parser's own limits leave open, such as trailers.
  caller.mBuffer.max_size(limits.mMaxHeaderBytes + kMaxBufferBytes);
  RequestParser parser;
  parser.header_limit(limits.mMaxHeaderBytes);
  parser.body_limit(limits.mMaxBodyBytes);
  stream.expires_at(Clock::now() + limits.mHeaderTimeout);
  co_await http::async_read_header(
    stream, caller.mBuffer, parser, CaptureError(error));
  if (!error && !parser.is_done()) {
    if (parser.get()[http::field::expect] == "100-continue") {
      co_await caller.Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    stream.expires_at(Clock::now() + limits.mIdleTimeout);
    co_await http::async_read(
      stream, caller.mBuffer, parser, CaptureError(error));
  }
  if (error) {
    if (IsMalformed(error)) {
      caller.mLast = true;
      co_await caller.Reply(Response(StatusOf(error), 11));
    }
    co_return false;
  }
  caller.mArrivedAt = Clock::now();
  caller.mPhase = ConnectionPhase::Handling;
  caller.mAnswered = false;
  caller.mLast = !parser.keep_alive();
  stream.expires_never();
  Spawn(mLoop, WatchForDisconnect(aCaller));
  auto request = std::make_shared<Request>(parser.release());
  co_await Handle(aCaller, std::move(request));
  caller.mInterrupt = nullptr;
  caller.mPhase = ConnectionPhase::Idle;
  if (!caller.mAnswered || caller.mChunked) {
    caller.Abort();
  }
  stream.socket().cancel(error); // ends WatchForDisconnect
  if (caller.mBuffer.size() == 0) {
    caller.mBuffer.shrink_to_fit();
  }
  co_return !caller.mDisconnected && !caller.mLast;
}

auto AsyncHttpServer::Handle(CallerPtr aCaller,
                             std::shared_ptr<Request> aRequest) -> Task<>
{
  try {
    co_await mHandler(aCaller, std::move(aRequest));
    co_return;
  } catch (const std::exception& exception) {
    ReportEscaped(exception);
  }
  aCaller->mLast = true;
  if (aCaller->mAnswered) {
    aCaller->Abort(); // the response may be incomplete
  } else {
    co_await aCaller->Reply(Response(http::status::internal_server_error, 11));
  }
}

auto AsyncHttpServer::WatchForDisconnect(CallerPtr aCaller) -> Task<>
{
  auto& socket = aCaller->mStream.socket();
  ErrorCode error;
  co_await socket.async_wait(Tcp::socket::wait_read, CaptureError(error));
  if (error) {
    co_return;
  }
  char byte = 0;
  const auto count =
    recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const auto closed =
    count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  // Pending bytes belong to the next request, which the caller has pipelined.
  if (closed && !aCaller->mDisconnected) {
    aCaller->mDisconnected = true;
    aCaller->mSendingEnded = count == 0;
    Interrupt(*aCaller);
  }
}

auto AsyncHttpServer::CloseAfterResponses() -> void
{
  mClosing = true;
  for (const auto& caller : mCallers) {
    caller->mClosing = true;
  }
}

auto AsyncHttpServer::CloseIdle() -> void
{
  const auto openedBefore = Clock::now() - kFirstRequestTime;
  for (const auto& caller : mCallers) {
    const auto idle = caller->mPhase == ConnectionPhase::Idle ||
                      (caller->mPhase == ConnectionPhase::Opened &&
                       caller->mAcceptedAt < openedBefore);
    if (idle && !HasPendingInput(caller->mStream.socket())) {
      caller->mStream.cancel();
    }
  }
}

auto AsyncHttpServer::InterruptHandlers() -> void
{
  for (const auto& caller : mCallers) {
    Interrupt(*caller);
  }
}

auto AsyncHttpServer::ActiveRequests() const -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(mCallers.begin(), mCallers.end(), [](const auto& aCaller) {
      return aCaller->mPhase == ConnectionPhase::Reading ||
             aCaller->mPhase == ConnectionPhase::Handling;
    }));
}

auto AsyncHttpServer::CountConnections() const -> ConnectionCounts
{
  ConnectionCounts counts;
  for (const auto& caller : mCallers) {
    switch (caller->mPhase) {
      case ConnectionPhase::Opened:
        ++counts.mOpened;
        break;
      case ConnectionPhase::Idle:
        ++counts.mIdle;
        break;
      case ConnectionPhase::Reading:
        ++counts.mReading;
        break;
      case ConnectionPhase::Handling:
        ++counts.mHandling;
        break;
    }
    const auto active = caller->mPhase == ConnectionPhase::Reading ||
                        caller->mPhase == ConnectionPhase::Handling;
    counts.mUnread +=
      !active && HasPendingInput(caller->mStream.socket()) ? 1 : 0;
  }
  return counts;
}

auto AsyncHttpServer::StopAccepting() -> void
{
  ErrorCode error; // also if the acceptor is closed already
  mAcceptor.non_blocking(true, error);
  // Closing the acceptor would reset the connections in its backlog, whose
  // requests may have been sent already.
  while (!error) {
    Tcp::socket socket(mLoop);
    mAcceptor.accept(socket, error);
    if (!error) {
      Admit(std::move(socket));
    }
  }
  mAcceptor.close(error);
}

} // namespace mangovalve
