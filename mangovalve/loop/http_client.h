// HTTP/1.1 to endpoints, peers and the platform: pooled connections, one
// request at a time on each, every step bounded by a deadline.
//
// The pool decides nothing about retries. It tells only whether a request can
// have left this process, which is what the caller needs to know for that.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "mangovalve/base/result.h"
#include "mangovalve/base/time.h"
#include "mangovalve/loop/asio.h"

namespace mangovalve {

// A connection in use by one exchange. Destroying it closes it.
struct ClientConnection
{
  explicit ClientConnection(asio::io_context& aLoop)
    : mStream(aLoop)
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  std::string mAddress;
  bool mReused = false;
  TimePoint mIdleSince{};
  // The other side may close it, when idle, from then on.
  TimePoint mUsableUntil{};
};

// Idle connections to one address; an engine runs eight requests at once.
constexpr std::size_t kMaxIdleConnections = 16;

using ClientConnectionPtr = std::unique_ptr<ClientConnection>;

class ConnectionPool
{
public:
  explicit ConnectionPool(asio::io_context& aLoop)
    : mLoop(aLoop)
  {
  }

  // An idle connection that was last used after aIdleAfter, or a new one. An
  // error means that nothing was sent.
  auto Acquire(std::string aAddress, TimePoint aIdleAfter, TimePoint aDeadline)
    -> Task<Result<ClientConnectionPtr, ErrorCode>>;

  // Keeps a connection for reuse until aUsableUntil. Call only after a whole
  // answer with nothing left in the buffer. With aMaxIdle idle ones to the same
  // address, the one that has been idle longest is closed.
  auto Release(ClientConnectionPtr aConnection,
               TimePoint aUsableUntil,
               std::size_t aMaxIdle = kMaxIdleConnections) -> void;

  // Closes the idle connections to an address, e.g. when one of them turned
  // out to be silent.
  auto CloseIdleConnections(const std::string& aAddress) -> void;

  // Closes idle connections that may not be used any more.
  auto CloseExpired(TimePoint aNow) -> void;

private:
  auto TakeIdle(const std::string& aAddress, TimePoint aIdleAfter)
    -> ClientConnectionPtr;

  asio::io_context& mLoop;
  // Most recently used at the back.
  absl::flat_hash_map<std::string, std::deque<ClientConnectionPtr>> mIdle;
};

using ResponseParser = http::response_parser<http::string_body>;

// Sends a whole request.
auto SendRequest(ClientConnection& aConnection,
                 const Request& aRequest,
                 TimePoint aDeadline) -> Task<ErrorCode>;

// Reads up to the end of the headers.
auto ReadHead(ClientConnection& aConnection,
              ResponseParser& aParser,
              TimePoint aDeadline) -> Task<ErrorCode>;

// Reads some of the body and returns it; aParser.is_done() tells whether that
// was the end. An answer that was cut short is an error.
auto ReadSomeBody(ClientConnection& aConnection,
                  ResponseParser& aParser,
                  TimePoint aDeadline) -> Task<Result<std::string, ErrorCode>>;

// Reads the rest of the body, up to the parser's limit.
auto ReadBody(ClientConnection& aConnection,
              ResponseParser& aParser,
              TimePoint aDeadline) -> Task<ErrorCode>;

// Whether the connection can carry another request after this answer, and
// until when it may stay idle.
auto ReusableUntil(const ClientConnection& aConnection,
                   const ResponseParser& aParser,
                   TimePoint aNow) -> TimePoint;

enum class CallError
{
  NotSent,    // nothing of the request left this process
  NoResponse, // it may have been executed
};

// One whole exchange with a small answer, over the pool. A reused connection
// on which the request failed is not tried again here.
auto CallOnce(ConnectionPool& aPool,
              std::string aAddress,
              Request aRequest,
              TimePoint aDeadline) -> Task<Result<Response, CallError>>;

// "IP:PORT" as an endpoint of the library; an error for anything else.
auto ParseAddress(const std::string& aAddress)
  -> Result<Tcp::endpoint, ErrorCode>;

} // namespace mangovalve
