// HTTP/1.1 server on the event loop: reads requests, hands each to a handler,
// and tells the handler when its caller has gone.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <absl/container/flat_hash_set.h>

#include "mangovalve/base/time.h"
#include "mangovalve/loop/asio.h"

namespace mangovalve {

// What a caller may send, and how long it may take.
struct CallerLimits
{
  std::uint32_t mMaxHeaderBytes = 16UL << 10U;
  std::uint64_t mMaxBodyBytes = 4UL << 20U;
  std::chrono::milliseconds mHeaderTimeout{ 3000 };
  std::chrono::milliseconds mIdleTimeout{ 15000 };
};

// One caller's connection while a request of it is handled.
class Caller
{
public:
  Caller(Tcp::socket aSocket);

  // Each of these returns false when the caller can't be reached any more.

  // Sends a whole answer; sets its length and connection headers.
  auto Reply(Response aResponse) -> Task<bool>;

  // Sends the head of an answer whose body follows in chunks, together with
  // the first of them.
  auto BeginChunks(ResponseHead aHead, std::string aFirst) -> Task<bool>;
  auto SendChunk(std::string aBytes) -> Task<bool>;
  auto EndChunks() -> Task<bool>;

  // Closes the connection so that the answer does not look complete.
  auto Abort() -> void;

  // IP of the other side; empty when it can't be told any more.
  auto RemoteIp() const -> std::string;

  // Whether the caller has closed its connection.
  auto Disconnected() const -> bool { return mDisconnected; }

  // Called once when the caller leaves during this request; set by the handler.
  std::function<void()> mOnDisconnect;

  // When the head of the request had been read.
  TimePoint mArrivedAt{};

private:
  friend class AsyncHttpServer;

  auto Write(std::string aBytes) -> Task<bool>;

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  bool mDisconnected = false;
  bool mClosing = false;  // answers say that the connection ends
  bool mIdle = true;      // no request is being handled
  bool mAnswered = false; // the current request has its answer
  bool mChunked = false;  // an answer was begun in chunks
};

using CallerPtr = std::shared_ptr<Caller>;
using RequestHandler =
  std::function<Task<>(CallerPtr, std::shared_ptr<Request>)>;

class AsyncHttpServer
{
public:
  // aLimits is asked for each request, since a new configuration may change
  // them.
  AsyncHttpServer(asio::io_context& aLoop,
                  RequestHandler aHandler,
                  std::function<auto()->CallerLimits> aLimits);

  // Listens on "IP:PORT" and serves until the loop stops.
  auto Listen(const std::string& aAddress) -> ErrorCode;

  // From now on every answer ends its connection.
  auto CloseAfterResponses() -> void;
  // Closes the connections on which no request is being handled.
  auto CloseIdle() -> void;
  auto StopAccepting() -> void;

  // Requests being handled.
  auto ActiveRequests() const -> std::size_t { return mActive; }

private:
  auto Accept() -> Task<>;
  auto Serve(CallerPtr aCaller) -> Task<>;
  auto ServeOne(CallerPtr aCaller) -> Task<bool>;
  static auto Watch(CallerPtr aCaller) -> Task<>;

  asio::io_context& mLoop;
  RequestHandler mHandler;
  std::function<auto()->CallerLimits> mLimits;
  Tcp::acceptor mAcceptor;
  absl::flat_hash_set<CallerPtr> mCallers;
  bool mClosing = false;
  std::size_t mActive = 0;
};

} // namespace mangovalve
