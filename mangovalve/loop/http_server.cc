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
constexpr std::size_t kBodyReadBytes = 16UL << 10U;

// Memory of a connection apart from its read buffer: its socket, timer and
// tasks.
constexpr std::size_t kConnectionBytes = 2048;

// A request is copied once to be sent to an endpoint.
constexpr std::size_t kRequestCopies = 2;

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

// Parses what the buffer has; need_more if that is not enough.
auto ParseBuffered(beast::flat_buffer& aBuffer, RequestParser& aParser)
  -> ErrorCode
{
  if (aBuffer.size() == 0) {
    return http::error::need_more;
  }
  ErrorCode error;
  aBuffer.consume(aParser.put(aBuffer.data(), error));
  return error;
}

// Reads up to aBytes into the buffer of the connection.
auto ReadMore(beast::tcp_stream& aStream,
              beast::flat_buffer& aBuffer,
              std::size_t aBytes) -> Task<ErrorCode>
{
  // A new document may have lowered the limit.
  if (aBuffer.size() >= aBuffer.max_size()) {
    co_return ErrorCode(http::error::buffer_overflow);
  }
  const auto room = aBuffer.max_size() - aBuffer.size();
  ErrorCode error;
  const auto count = co_await aStream.async_read_some(
    aBuffer.prepare(std::min(aBytes, room)), CaptureError(error));
  aBuffer.commit(count);
  co_return error;
}

// Capacity that a body of aSize bytes needs so that aMore fit, and at most
// aMost. Doubling it bounds the cost of copies; the library would reserve what
// the sender announces.
auto BodyCapacity(const std::string& aBody,
                  std::size_t aMore,
                  std::uint64_t aMost) -> std::size_t
{
  const auto needed =
    std::min<std::uint64_t>(aBody.size() + std::uint64_t{ aMore }, aMost);
  return needed <= aBody.capacity()
           ? aBody.capacity()
           : std::max<std::size_t>(
               needed, std::min<std::uint64_t>(2 * aBody.capacity(), aMost));
}

// Gives the body exactly this capacity, unless it has more. Its own reserve()
// would double the present one.
auto Grow(std::string& aBody, std::size_t aCapacity) -> void
{
  if (aCapacity > aBody.capacity()) {
    std::string grown;
    grown.reserve(aCapacity);
    grown += aBody;
    aBody = std::move(grown);
  }
}

auto HeadText(const ResponseHead& aHead) -> std::string
{
  std::ostringstream text;
  text << aHead;
  return text.str();
}

} // namespace

Caller::Caller(Tcp::socket aSocket, MemoryAccountPtr aAccount)
  : mStream(std::move(aSocket))
  , mHolder(aAccount)
{
  mHolder.mProgress.mProgressAt = mAcceptedAt;
  mHolder.BeConnection([this] { mStream.cancel(); });
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
  mHolder.Force(HeldKind::Output, aBytes.size());
  mStream.expires_at(Clock::now() + kWriteTimeout);
  ErrorCode error;
  co_await asio::async_write(
    mStream, asio::buffer(aBytes), CaptureError(error));
  mHolder.Force(HeldKind::Output, 0);
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
  mHolder.Force(HeldKind::Output, aResponse.body().size());
  mStream.expires_at(Clock::now() + kWriteTimeout);
  http::response_serializer<http::string_body> serializer(aResponse);
  ErrorCode error;
  co_await http::async_write(mStream, serializer, CaptureError(error));
  mHolder.Force(HeldKind::Output, 0);
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
    // Accepted connections inherit it, and the system does not raise it.
    mAcceptor.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes), error);
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
  if (mAccount != nullptr && !mAccount->MakeRoomForConnection()) {
    return; // closes it
  }
  try {
    caller = std::make_shared<Caller>(std::move(aSocket), mAccount);
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
  auto& caller = *aCaller;
  auto& stream = caller.mStream;
  ErrorCode error;
  if (caller.mBuffer.size() == 0) {
    stream.expires_at(Clock::now() + mLimits().mIdleTimeout);
    error = co_await ReadMore(stream, caller.mBuffer, kReadBytes);
    if (error || caller.mHolder.Evicted()) {
      co_return false;
    }
  }
  caller.mPhase = ConnectionPhase::Reading;
  auto request = co_await ReadRequest(aCaller);
  if (!request) {
    co_return false;
  }
  caller.mArrivedAt = Clock::now();
  caller.mPhase = ConnectionPhase::Handling;
  caller.mAnswered = false;
  stream.expires_never();
  Spawn(mLoop, WatchForDisconnect(aCaller));
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
  caller.mHolder.ReleaseAll();
  caller.mHolder.mProgress = { 0, 0, Clock::now(), true };
  caller.mHolder.SetEvictable(true);
  co_return !caller.mDisconnected && !caller.mLast;
}

auto AsyncHttpServer::ReadRequest(CallerPtr aCaller)
  -> Task<std::shared_ptr<Request>>
{
  const auto limits = mLimits();
  auto& caller = *aCaller;
  auto& holder = caller.mHolder;
  holder.mProgress.mServed = false;
  // Bounds what the parser's own limits leave open, such as trailers, like the
  // head.
  caller.mBuffer.max_size(limits.mMaxHeaderBytes + kBodyReadBytes);
  std::optional<RequestParser> parser(std::in_place);
  parser->LimitHead(limits.mMaxHeaderBytes,
                    mAccount != nullptr ? mAccount->mLimits.mHeaderLines
                                        : kMaxHeaderLines);
  parser->body_limit(limits.mMaxBodyBytes);
  auto error =
    co_await ReadHead(aCaller, *parser, Clock::now() + limits.mHeaderTimeout);
  if (!error && !parser->is_done()) {
    if (parser->get()[http::field::expect] == "100-continue") {
      co_await caller.Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    error = co_await ReadBody(aCaller, *parser, limits);
  }
  const auto bodyBytes = parser->get().body().capacity();
  if (!error &&
      (!holder.Set(HeldKind::Heads, kRequestCopies * parser->HeadBytes()) ||
       !holder.Set(HeldKind::Bodies, kRequestCopies * bodyBytes))) {
    error = asio::error::no_buffer_space;
  }
  holder.SetEvictable(false);
  if (error) {
    co_await ReplyUnread(aCaller, parser, error);
    co_return nullptr;
  }
  caller.mLast = !parser->keep_alive();
  co_return std::make_shared<Request>(parser->release());
}

auto AsyncHttpServer::ReadHead(CallerPtr aCaller,
                               RequestParser& aParser,
                               TimePoint aDeadline) -> Task<ErrorCode>
{
  auto& caller = *aCaller;
  auto& holder = caller.mHolder;
  caller.mStream.expires_at(aDeadline);
  for (;;) {
    holder.mProgress.mProgressAt = Clock::now();
    auto error = ParseBuffered(caller.mBuffer, aParser);
    holder.mProgress.mReceived = aParser.HeadBytes();
    if (error != http::error::need_more &&
        (error || aParser.is_header_done())) {
      co_return error;
    }
    if (!holder.Set(HeldKind::Heads, aParser.HeadBytes()) ||
        !holder.Set(HeldKind::Connections,
                    kConnectionBytes + caller.mBuffer.capacity())) {
      co_return ErrorCode(asio::error::no_buffer_space);
    }
    if (error == http::error::need_more) {
      error = co_await ReadMore(caller.mStream, caller.mBuffer, kReadBytes);
      if (error) {
        co_return error;
      }
    }
  }
}

auto AsyncHttpServer::ReadBody(CallerPtr aCaller,
                               RequestParser& aParser,
                               CallerLimits aLimits) -> Task<ErrorCode>
{
  auto& caller = *aCaller;
  auto& holder = caller.mHolder;
  auto& body = aParser.get().body();
  aParser.eager(true);
  if (!holder.Set(HeldKind::Heads, aParser.HeadBytes())) {
    co_return ErrorCode(asio::error::no_buffer_space);
  }
  const auto most =
    std::min(aParser.content_length().value_or(aLimits.mMaxBodyBytes),
             aLimits.mMaxBodyBytes);
  caller.mStream.expires_at(Clock::now() + aLimits.mIdleTimeout);
  while (!aParser.is_done()) {
    const auto capacity = BodyCapacity(body, caller.mBuffer.size(), most);
    if (!holder.Set(HeldKind::Bodies, capacity) ||
        !holder.Set(HeldKind::Connections,
                    kConnectionBytes + caller.mBuffer.capacity())) {
      co_return ErrorCode(asio::error::no_buffer_space);
    }
    Grow(body, capacity);
    const auto size = body.size();
    auto error = ParseBuffered(caller.mBuffer, aParser);
    // Only bytes of the body are progress; a sender may pad chunks and trailers
    // without end.
    if (body.size() > size) {
      holder.mProgress.mReceived = aParser.HeadBytes() + body.size();
      holder.mProgress.mProgressAt = Clock::now();
      caller.mStream.expires_at(Clock::now() + aLimits.mIdleTimeout);
    }
    if (error == http::error::need_more || (!error && !aParser.is_done())) {
      error = co_await ReadMore(caller.mStream, caller.mBuffer, kBodyReadBytes);
    }
    if (error) {
      co_return error;
    }
  }
  co_return ErrorCode();
}

auto AsyncHttpServer::ReplyUnread(CallerPtr aCaller,
                                  std::optional<RequestParser>& aParser,
                                  ErrorCode aError) -> Task<>
{
  const auto full =
    aCaller->mHolder.Evicted() || aError == asio::error::no_buffer_space;
  if (!full && !IsMalformed(aError)) {
    co_return;
  }
  auto response = !full     ? Response(StatusOf(aError), 11)
                  : mRefuse ? mRefuse(aParser->get().base())
                            : Response(http::status::service_unavailable, 11);
  // Freed before the response is written, which may take its time.
  aParser.reset();
  aCaller->mBuffer = beast::flat_buffer();
  aCaller->mHolder.ReleaseAll();
  aCaller->mLast = true;
  co_await aCaller->Reply(std::move(response));
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
