// HTTP/1.1 client on the event loop.
#include "mangovalve/loop/http_client.h"

#include <algorithm>
#include <optional>
#include <type_traits>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "mangovalve/base/id.h"
#include "mangovalve/loop/request_check.h"
#include "mangovalve/loop/run_loop.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

// The connection ends when sent bytes stay unacknowledged for this time. A
// network partition causes no reset, so the system would otherwise retransmit
// for minutes.
constexpr int kUnacknowledgedTimeoutMs = 3000;

// Time that an idle connection is kept if the server announces no timeout.
constexpr auto kDefaultIdleTimeout = std::chrono::seconds(4);

// An idle connection is closed this long before the timeout that the server
// announces, so that no request is sent while the server closes it.
constexpr auto kIdleMargin = std::chrono::milliseconds(700);

constexpr std::size_t kMaxHeaderBytes = 64UL << 10U;

// Interim responses before one final response.
constexpr int kMaxInterimResponses = 8;

auto SetOptions(Tcp::socket& aSocket) -> void
{
  ErrorCode ignored; // without the option, only latency suffers
  aSocket.set_option(Tcp::no_delay(true), ignored);
  const int timeout = kUnacknowledgedTimeoutMs;
  static_cast<void>(setsockopt(aSocket.native_handle(),
                               IPPROTO_TCP,
                               TCP_USER_TIMEOUT,
                               &timeout,
                               sizeof(timeout)));
}

// Whether the server has neither closed the idle connection nor sent
// unsolicited bytes on it.
auto HasNoPendingInput(Tcp::socket& aSocket) -> bool
{
  char byte = 0;
  const auto count =
    recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto IsBarred(const ClientConnection& aConnection, std::uint64_t aIdHash)
  -> bool
{
  const auto& barred = aConnection.mBarredIds;
  return std::find(barred.begin(), barred.end(), aIdHash) != barred.end();
}

// Idle timeout, in seconds, of a Keep-Alive header such as "timeout=N, max=M".
auto KeepAliveTimeout(std::string_view aValue) -> std::optional<int>
{
  for (auto part :
       absl::StrSplit(absl::string_view(aValue.data(), aValue.size()), ',')) {
    part = absl::StripAsciiWhitespace(part);
    int seconds = 0;
    if (absl::ConsumePrefix(&part, "timeout=") &&
        absl::SimpleAtoi(part, &seconds)) {
      return seconds;
    }
  }
  return std::nullopt;
}

// Performs aStep of an exchange. What the step throws ends the connection and
// is the error `fault`.
template<typename T>
auto Contain(ClientConnection& aConnection, Task<T> aStep) -> Task<T>
{
  try {
    co_return co_await std::move(aStep);
  } catch (const std::exception& exception) {
    ReportEscaped(exception);
  }
  aConnection.mStream.close();
  const ErrorCode fault = asio::error::fault;
  if constexpr (std::is_same_v<T, ErrorCode>) {
    co_return fault;
  } else {
    co_return Err(fault);
  }
}

auto ReportRefused(const ClientConnection& aConnection, const ErrorCode& aError)
  -> void
{
  FindCounter("mangovalve_unwritable_requests_total").Add();
  LogEvent(
    Severity::Error,
    "unwritable_request",
    { { "address", aConnection.mAddress }, { "reason", aError.message() } });
}

auto WriteRequest(ClientConnection& aConnection,
                  const Request& aRequest,
                  TimePoint aDeadline) -> Task<ErrorCode>
{
  if (const auto refused = CheckRequest(aRequest)) {
    ReportRefused(aConnection, refused);
    co_return refused;
  }
  aConnection.mStream.expires_at(aDeadline);
  http::request_serializer<http::string_body> serializer(aRequest);
  ErrorCode error;
  co_await http::async_write(
    aConnection.mStream, serializer, CaptureError(error));
  co_return error;
}

auto ParseHead(ClientConnection& aConnection,
               std::optional<ResponseParser>& aParser,
               TimePoint aDeadline) -> Task<ErrorCode>
{
  aConnection.mStream.expires_at(aDeadline);
  for (auto interim = 0; interim <= kMaxInterimResponses; ++interim) {
    aParser.emplace();
    aParser->header_limit(kMaxHeaderBytes);
    aParser->body_limit(kMaxStreamBytes);
    ErrorCode error;
    co_await http::async_read_header(
      aConnection.mStream, aConnection.mBuffer, *aParser, CaptureError(error));
    if (error) {
      co_return error;
    }
    // As a number, because the library does not know all interim statuses.
    const auto status = aParser->get().result_int();
    // The parser accepts any three digits. Below 100, there is no class of
    // statuses, so what follows has no defined meaning either.
    if (status < static_cast<unsigned>(http::status::continue_)) {
      break;
    }
    // No request asks for an upgrade, so this response has no defined meaning.
    if (status == static_cast<unsigned>(http::status::switching_protocols)) {
      break;
    }
    if (status >= static_cast<unsigned>(http::status::ok)) {
      co_return ErrorCode();
    }
  }
  co_return ErrorCode(http::error::bad_status);
}

auto ParseSomeBody(ClientConnection& aConnection,
                   ResponseParser& aParser,
                   TimePoint aDeadline) -> Task<Result<std::string, ErrorCode>>
{
  aConnection.mStream.expires_at(aDeadline);
  ErrorCode error;
  if (!aParser.is_done()) {
    co_await http::async_read_some(
      aConnection.mStream, aConnection.mBuffer, aParser, CaptureError(error));
  }
  if (error) {
    co_return Err(error);
  }
  co_return std::exchange(aParser.get().body(), {});
}

auto ParseBody(ClientConnection& aConnection,
               ResponseParser& aParser,
               TimePoint aDeadline,
               BodyLimits aLimits) -> Task<ErrorCode>
{
  // A parser reserves the announced length before it reads.
  if (aParser.content_length() &&
      *aParser.content_length() > aLimits.mMaxBytes) {
    co_return ErrorCode(http::error::body_limit);
  }
  aConnection.mStream.expires_at(aDeadline);
  while (!aParser.is_done()) {
    ErrorCode error;
    co_await http::async_read_some(
      aConnection.mStream, aConnection.mBuffer, aParser, CaptureError(error));
    if (error) {
      co_return error;
    }
    const auto size = aParser.get().body().size();
    if (size > aLimits.mMaxBytes) {
      co_return ErrorCode(http::error::body_limit);
    }
    if (aLimits.mBudgeted != nullptr && !aLimits.mBudgeted->Resize(size)) {
      co_return ErrorCode(asio::error::no_buffer_space);
    }
    if (aLimits.mOnProgress) {
      aLimits.mOnProgress();
    }
  }
  co_return ErrorCode();
}

} // namespace

auto ParseAddress(const std::string& aAddress)
  -> Result<Tcp::endpoint, ErrorCode>
{
  const auto colon = aAddress.rfind(':');
  std::uint32_t port = 0;
  constexpr std::uint32_t kMaxPort = 65535;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(aAddress.substr(colon + 1), &port) || port == 0 ||
      port > kMaxPort) {
    return Err(ErrorCode(asio::error::invalid_argument));
  }
  ErrorCode error;
  const auto ip = asio::ip::make_address(aAddress.substr(0, colon), error);
  if (error) {
    return Err(error);
  }
  return Tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

auto BarId(ClientConnection& aConnection, std::string_view aId) -> void
{
  aConnection.mBarredIds.push_back(StableHash(aId));
}

auto ConnectionPool::TakeIdle(const std::string& aAddress,
                              TimePoint aIdleAfter,
                              std::string_view aId) -> ClientConnectionPtr
{
  const auto found = mIdle.find(aAddress);
  if (found == mIdle.end()) {
    return nullptr;
  }
  const auto now = Clock::now();
  const auto idHash = StableHash(aId);
  auto& idle = found->second;
  for (auto i = idle.size(); i-- > 0;) {
    if (idle[i]->mIdleSince < aIdleAfter) {
      return nullptr;
    }
    if (IsBarred(*idle[i], idHash)) {
      continue;
    }
    auto connection = std::move(idle[i]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (now < connection->mUsableUntil &&
        HasNoPendingInput(connection->mStream.socket())) {
      connection->mReused = true;
      return connection;
    }
  }
  if (idle.empty()) {
    mIdle.erase(found);
  }
  return nullptr;
}

auto ConnectionPool::Acquire(std::string aAddress,
                             TimePoint aIdleAfter,
                             TimePoint aDeadline,
                             std::string_view aId)
  -> Task<Result<ClientConnectionPtr, ErrorCode>>
{
  if (auto idle = TakeIdle(aAddress, aIdleAfter, aId)) {
    co_return idle;
  }
  const auto endpoint = ParseAddress(aAddress);
  if (!endpoint) {
    co_return Err(endpoint.error());
  }
  auto connection = std::make_unique<ClientConnection>(mLoop);
  connection->mAddress = aAddress;
  connection->mStream.expires_at(aDeadline);
  ErrorCode error;
  co_await connection->mStream.async_connect(*endpoint, CaptureError(error));
  if (error) {
    co_return Err(error);
  }
  SetOptions(connection->mStream.socket());
  connection->mNumber = ++mOpened;
  co_return connection;
}

auto ConnectionPool::Release(ClientConnectionPtr aConnection,
                             TimePoint aUsableUntil,
                             std::size_t aMaxIdle) -> void
{
  const auto now = Clock::now();
  if (aUsableUntil <= now || aConnection->mBarredIds.size() >= kMaxBarredIds) {
    return;
  }
  aConnection->mStream.expires_never();
  aConnection->mIdleSince = now;
  aConnection->mUsableUntil = aUsableUntil;
  aConnection->mBuffer.shrink_to_fit();
  auto& idle = mIdle[aConnection->mAddress];
  while (idle.size() >= aMaxIdle) {
    idle.pop_front();
  }
  idle.push_back(std::move(aConnection));
}

auto ConnectionPool::CloseIdleConnections(const std::string& aAddress) -> void
{
  mIdle.erase(aAddress);
}

auto ConnectionPool::CloseExpired(TimePoint aNow) -> void
{
  for (auto it = mIdle.begin(); it != mIdle.end();) {
    std::erase_if(it->second, [&](const ClientConnectionPtr& aIdle) {
      return aIdle->mUsableUntil <= aNow;
    });
    if (it->second.empty()) {
      mIdle.erase(it++);
    } else {
      ++it;
    }
  }
}

auto SendRequest(ClientConnection& aConnection,
                 const Request& aRequest,
                 TimePoint aDeadline) -> Task<ErrorCode>
{
  return Contain(aConnection, WriteRequest(aConnection, aRequest, aDeadline));
}

auto ReadHead(ClientConnection& aConnection,
              std::optional<ResponseParser>& aParser,
              TimePoint aDeadline) -> Task<ErrorCode>
{
  return Contain(aConnection, ParseHead(aConnection, aParser, aDeadline));
}

auto ReadSomeBody(ClientConnection& aConnection,
                  ResponseParser& aParser,
                  TimePoint aDeadline) -> Task<Result<std::string, ErrorCode>>
{
  return Contain(aConnection, ParseSomeBody(aConnection, aParser, aDeadline));
}

auto ReadBody(ClientConnection& aConnection,
              ResponseParser& aParser,
              TimePoint aDeadline,
              BodyLimits aLimits) -> Task<ErrorCode>
{
  return Contain(
    aConnection,
    ParseBody(aConnection, aParser, aDeadline, std::move(aLimits)));
}

auto DiscardBody(ClientConnection& aConnection,
                 ResponseParser& aParser,
                 TimePoint aDeadline) -> Task<ErrorCode>
{
  BodyLimits limits;
  limits.mMaxBytes = kMaxDiscardedBytes;
  return ReadBody(aConnection, aParser, aDeadline, std::move(limits));
}

auto ReusableUntil(const ClientConnection& aConnection,
                   const ResponseParser& aParser,
                   TimePoint aNow) -> TimePoint
{
  if (!aParser.is_done() || !aParser.keep_alive() ||
      aConnection.mBuffer.size() != 0) {
    return aNow;
  }
  const auto value = aParser.get()[http::field::keep_alive];
  const auto seconds =
    KeepAliveTimeout(std::string_view(value.data(), value.size()));
  return aNow + (seconds ? std::chrono::seconds(*seconds) - kIdleMargin
                         : std::chrono::milliseconds(kDefaultIdleTimeout));
}

auto CallOnce(ConnectionPool& aPool,
              std::string aAddress,
              Request aRequest,
              TimePoint aDeadline) -> Task<Result<Response, CallError>>
{
  try {
    aRequest.prepare_payload();
  } catch (const std::exception& exception) {
    ReportEscaped(exception);
    co_return Err(CallError::NotSent);
  }
  auto connection =
    co_await aPool.Acquire(aAddress, TimePoint::min(), aDeadline);
  if (!connection) {
    co_return Err(CallError::NotSent);
  }
  std::optional<ResponseParser> parser;
  auto error = co_await SendRequest(**connection, aRequest, aDeadline);
  if (!error) {
    error = co_await ReadHead(**connection, parser, aDeadline);
  }
  if (!error) {
    BodyLimits limits;
    error =
      co_await ReadBody(**connection, *parser, aDeadline, std::move(limits));
  }
  if (error) {
    // Other idle connections have probably been closed or become unresponsive
    // for the same reason.
    aPool.CloseIdleConnections(aAddress);
    co_return Err(CallError::NoResponse);
  }
  const auto usableUntil = ReusableUntil(**connection, *parser, Clock::now());
  aPool.Release(std::move(*connection), usableUntil);
  co_return parser->release();
}

} // namespace mangovalve
