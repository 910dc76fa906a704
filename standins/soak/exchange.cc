// One request of a caller on a connection of its own.
#include "standins/soak/exchange.h"

#include <algorithm>
#include <limits>
#include <sstream>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "mangovalve/loop/http_client.h"

namespace mangovalve::standin {
namespace {

// Time for a reset to follow the end of a connection. Over loopback it follows
// as soon as the peer closes its socket.
constexpr auto kResetWait = std::chrono::seconds(2);
constexpr auto kResetPoll = std::chrono::milliseconds(5);

auto Text(const Request& aRequest) -> std::string
{
  auto request = aRequest;
  request.prepare_payload();
  std::ostringstream text;
  text << request;
  return text.str();
}

// A host that closes a connection with unread bytes, or gets bytes afterwards,
// resets it. One that has read everything does not.
auto IsReset(Tcp::socket& aSocket) -> bool
{
  tcp_info info{};
  socklen_t size = sizeof info;
  const auto failed =
    getsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return failed != 0 || info.tcpi_state == TCP_CLOSE;
}

auto WasReset(beast::tcp_stream& aStream) -> Task<bool>
{
  const auto until = Clock::now() + kResetWait;
  while (!IsReset(aStream.socket()) && Clock::now() < until) {
    co_await SleepUntil(Clock::now() + kResetPoll);
  }
  co_return IsReset(aStream.socket());
}

auto SendPieces(CallerConnection& aConnection,
                const std::string& aText,
                SendPlan aPlan,
                TimePoint& aLastWriteAt) -> Task<ErrorCode>
{
  ErrorCode error;
  const auto size = (aText.size() + aPlan.mPieces - 1) / aPlan.mPieces;
  for (std::size_t from = 0; !error && from < aText.size(); from += size) {
    if (from > 0) {
      co_await SleepUntil(Clock::now() + aPlan.mPause);
    }
    const auto count = std::min(size, aText.size() - from);
    aLastWriteAt = Clock::now();
    co_await asio::async_write(aConnection.mStream,
                               asio::buffer(aText.data() + from, count),
                               CaptureError(error));
  }
  co_return error;
}

} // namespace

auto Connect(asio::io_context& aLoop, std::string aAddress, TimePoint aDeadline)
  -> Task<CallerConnectionPtr>
{
  const auto address = ParseAddress(aAddress);
  if (!address) {
    co_return nullptr;
  }
  auto connection = std::make_unique<CallerConnection>(aLoop);
  connection->mStream.expires_at(aDeadline);
  ErrorCode error;
  co_await connection->mStream.async_connect(*address, CaptureError(error));
  if (error) {
    co_return nullptr;
  }
  connection->mStream.socket().set_option(Tcp::no_delay(true), error);
  co_return connection;
}

auto IsOpen(CallerConnection& aConnection) -> bool
{
  char byte = 0;
  const auto count = recv(aConnection.mStream.socket().native_handle(),
                          &byte,
                          1,
                          MSG_PEEK | MSG_DONTWAIT);
  return count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

auto Exchange(CallerConnection& aConnection,
              const Request& aRequest,
              SendPlan aPlan,
              TimePoint aDeadline,
              Attempt& aAttempt,
              Response& aResponse) -> Task<>
{
  auto& stream = aConnection.mStream;
  aAttempt.mFirst = !aConnection.mUsed;
  aConnection.mUsed = true;
  stream.expires_at(aDeadline);
  const auto text = Text(aRequest);
  aAttempt.mIdleSince = aConnection.mIdleSince;
  aAttempt.mBegunAt = Clock::now();
  auto error =
    co_await SendPieces(aConnection, text, aPlan, aAttempt.mLastWriteAt);
  aAttempt.mSentAt = aAttempt.mEndedAt = Clock::now();
  if (error) {
    aAttempt.mEnding = Ending::Unsent;
    co_return;
  }
  const auto patient = aPlan.mPatience > aDeadline - aAttempt.mSentAt;
  if (!patient) {
    stream.expires_at(aAttempt.mSentAt + aPlan.mPatience);
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  co_await http::async_read(
    stream, aConnection.mBuffer, parser, CaptureError(error));
  aAttempt.mEndedAt = aConnection.mIdleSince = Clock::now();
  aAttempt.mBegun = parser.got_some();
  if (!error) {
    aAttempt.mEnding = Ending::Answered;
    aResponse = parser.release();
    aAttempt.mStatus = aResponse.result_int();
  } else if (error == beast::error::timeout) {
    aAttempt.mEnding = patient ? Ending::Overdue : Ending::GaveUp;
  } else {
    const auto reset = co_await WasReset(stream);
    aAttempt.mEnding = reset ? Ending::Reset : Ending::Closed;
  }
}

} // namespace mangovalve::standin
