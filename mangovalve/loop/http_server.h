// HTTP/1.1 server on the event loop: reads requests, calls a handler for each,
// and notifies the handler when its caller disconnects.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/container/flat_hash_set.h>

#include "mangovalve/base/time.h"
#include "mangovalve/loop/asio.h"
#include "mangovalve/loop/memory_account.h"
#include "mangovalve/loop/message_parser.h"

namespace mangovalve {

// Limits on the size of a caller's request and on the time to receive it.
struct CallerLimits
{
  std::uint32_t mMaxHeaderBytes = 16UL << 10U;
  std::uint64_t mMaxBodyBytes = 4UL << 20U;
  std::chrono::milliseconds mHeaderTimeout{ 3000 };
  std::chrono::milliseconds mIdleTimeout{ 15000 };
};

// What a server is doing on a connection.
enum class ConnectionPhase
{
  Opened,   // no byte of a first request has been read
  Idle,     // a response was sent, no byte of another request has been read
  Reading,  // part of a request has been read
  Handling, // the handler runs
};

// Open connections of a server by phase.
struct ConnectionCounts
{
  std::size_t mOpened = 0;
  std::size_t mIdle = 0;
  std::size_t mReading = 0;
  std::size_t mHandling = 0;
  // Connections in one of the first two phases with bytes that have arrived.
  std::size_t mUnread = 0;
};

// The connection of a caller, on which one request at a time is handled.
class Caller
{
public:
  // aAccount may be null.
  explicit Caller(Tcp::socket aSocket, MemoryAccountPtr aAccount = nullptr);

  // The functions that send return false if the caller is unreachable.

  // Sends a complete response; sets its length and connection headers.
  auto Reply(Response aResponse) -> Task<bool>;

  // Sends the head of a chunked response together with its first chunk, which
  // may be empty.
  auto BeginChunks(ResponseHead aHead, std::string aFirst) -> Task<bool>;
  auto SendChunk(std::string aBytes) -> Task<bool>;
  auto EndChunks() -> Task<bool>;

  // Resets the connection, so that the caller can't take a partial response for
  // a complete one.
  auto Abort() -> void;

  // IP address of the caller; empty if it is no longer known.
  auto RemoteIp() const -> std::string;

  // Whether the caller has closed its connection.
  auto Disconnected() const -> bool { return mDisconnected; }

  // Whether all that is known of this is the end of the caller's sending side,
  // so that it may still read a response.
  auto MayStillRead() const -> bool { return mSendingEnded; }

  // Whether a response to the current request was begun.
  auto Answered() const -> bool { return mAnswered; }

  // Counts bytes that the handler holds for the request; false if they don't
  // fit. They are returned after the request.
  auto Hold(HeldKind aKind, std::size_t aBytes) -> bool
  {
    return mHolder.Set(aKind, aBytes);
  }

  // Ends what the handler awaits. Called if the caller disconnects during the
  // request, and by InterruptHandlers. The handler sets it.
  std::function<void()> mInterrupt;

  // When the request had been read.
  TimePoint mArrivedAt{};

private:
  friend class AsyncHttpServer;

  auto Write(std::string aBytes) -> Task<bool>;
  // Decides whether the response that begins now is the last one.
  auto EndsConnection() -> bool;

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  MemoryHolder mHolder;
  ConnectionPhase mPhase = ConnectionPhase::Opened;
  TimePoint mAcceptedAt = Clock::now();
  bool mDisconnected = false;
  bool mSendingEnded = false; // implies mDisconnected; without a reset
  // The next response is the last one, unless another request has arrived.
  bool mClosing = false;
  bool mLast = false;     // no request follows, which the response announces
  bool mAnswered = false; // the response to the current request was begun
  bool mChunked = false;  // a chunked response was begun but not ended
};

using CallerPtr = std::shared_ptr<Caller>;
using RequestHandler =
  std::function<Task<>(CallerPtr, std::shared_ptr<Request>)>;

// An exception that a handler or an interrupt throws is logged and ends its
// connection, with status 500 if no response has begun.
class AsyncHttpServer
{
public:
  // aLimits is called for each request, since a new configuration may change
  // the limits.
  AsyncHttpServer(asio::io_context& aLoop,
                  RequestHandler aHandler,
                  std::function<auto()->CallerLimits> aLimits);

  // Counts what the connections hold in aAccount, and bounds them by it. Call
  // it before Listen.
  auto UseAccount(MemoryAccountPtr aAccount) -> void
  {
    mAccount = std::move(aAccount);
  }

  // Response to a request that was not handled for lack of memory; 503 without
  // anything else if empty. The head may be incomplete.
  std::function<auto(const RequestHead&)->Response> mRefuse;

  // Listens on "IP:PORT" and serves until the loop stops.
  auto Listen(const std::string& aAddress) -> ErrorCode;

  // From now on, every response ends its connection, unless the next request
  // has arrived on it before the response begins.
  auto CloseAfterResponses() -> void;
  // Closes the connections on which no request is in progress and no byte of
  // one has arrived. A new connection is kept for the time that its first
  // request needs to arrive.
  auto CloseIdle() -> void;
  // Ends what the handlers await, so that they answer now.
  auto InterruptHandlers() -> void;
  // Accepts the connections that are already established, then no more.
  auto StopAccepting() -> void;

  // Number of requests that are being read or handled.
  auto ActiveRequests() const -> std::size_t;

  auto CountConnections() const -> ConnectionCounts;
  auto HasConnections() const -> bool { return !mCallers.empty(); }

  // When the newest connection was accepted; zero if there was none.
  auto LastAccepted() const -> TimePoint { return mLastAccepted; }

private:
  auto Accept() -> Task<>;
  auto Admit(Tcp::socket aSocket) -> void;
  auto Serve(CallerPtr aCaller) -> Task<>;
  // Serves one request; returns whether another may follow.
  auto ServeOne(CallerPtr aCaller) -> Task<bool>;
  // Reads a request; null if it could not be read, and the caller knows.
  auto ReadRequest(CallerPtr aCaller) -> Task<std::shared_ptr<Request>>;
  static auto ReadHead(CallerPtr aCaller,
                       RequestParser& aParser,
                       TimePoint aDeadline) -> Task<ErrorCode>;
  static auto ReadBody(CallerPtr aCaller,
                       RequestParser& aParser,
                       CallerLimits aLimits) -> Task<ErrorCode>;
  // Answers what could not be read, as far as an answer is due.
  auto ReplyUnread(CallerPtr aCaller,
                   std::optional<RequestParser>& aParser,
                   ErrorCode aError) -> Task<>;
  auto Handle(CallerPtr aCaller, std::shared_ptr<Request> aRequest) -> Task<>;
  static auto WatchForDisconnect(CallerPtr aCaller) -> Task<>;

  asio::io_context& mLoop;
  RequestHandler mHandler;
  std::function<auto()->CallerLimits> mLimits;
  MemoryAccountPtr mAccount;
  Tcp::acceptor mAcceptor;
  // Every accepted connection, from the moment of its acceptance.
  absl::flat_hash_set<CallerPtr> mCallers;
  TimePoint mLastAccepted{};
  bool mClosing = false;
};

} // namespace mangovalve
