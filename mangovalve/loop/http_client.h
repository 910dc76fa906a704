// HTTP/1.1 client for endpoints, peers and the platform: pooled connections
// with one request at a time on each, and a deadline for every step.
//
// The pool does not retry. Errors tell whether any part of a request can have
// left this process, so that the caller can decide on a retry.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovalve/base/result.h"
#include "mangovalve/base/time.h"
#include "mangovalve/loop/asio.h"
#include "mangovalve/loop/memory_account.h"
#include "mangovalve/loop/message_parser.h"

namespace mangovalve {

// Unparsed bytes that one connection buffers. Larger than the head of a
// response and one read together.
constexpr std::size_t kMaxBufferBytes = 256UL << 10U;

// Body of a response that is passed on in parts, and of one that is kept whole.
constexpr std::size_t kMaxStreamBytes = 64UL << 20U;
constexpr std::size_t kMaxBodyBytes = 16UL << 20U;

// Body of a response that is read only to keep the connection in use.
constexpr std::size_t kMaxDiscardedBytes = 64UL << 10U;

// Number of answers to earlier requests that are discarded in one exchange.
constexpr int kMaxDiscardedAnswers = 2;

// Ids that are barred from one connection. It is closed when it has as many.
constexpr std::size_t kMaxBarredIds = 32;

// A connection used by one exchange at a time. The destructor closes it.
struct ClientConnection
{
  explicit ClientConnection(asio::io_context& aLoop)
    : mStream(aLoop)
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer{ kMaxBufferBytes };
  std::string mAddress;
  std::uint64_t mNumber = 0; // in this pool
  bool mReused = false;
  TimePoint mIdleSince{};
  // The server may close the idle connection from this time on.
  TimePoint mUsableUntil{};
  // Hashes of the ids that are barred from this connection; fewer than
  // kMaxBarredIds when it is idle.
  std::vector<std::uint64_t> mBarredIds;
};

// Bars the request with this id from using the connection again, as long as the
// connection is open. Call it for a request that may come again under its id: a
// late copy of the answer to its first exchange could not be told from the
// answer to the second one.
auto BarId(ClientConnection& aConnection, std::string_view aId) -> void;

// Idle connections to one address. It is twice the number of requests that an
// engine runs concurrently.
constexpr std::size_t kMaxIdleConnections = 16;

using ClientConnectionPtr = std::unique_ptr<ClientConnection>;

class ConnectionPool
{
public:
  explicit ConnectionPool(asio::io_context& aLoop)
    : mLoop(aLoop)
  {
  }

  // Returns an idle connection that became idle at aIdleAfter or later and from
  // which the request id aId is not barred, or a new one. aId must stay valid
  // until the task has ended. After an error, nothing has been sent.
  auto Acquire(std::string aAddress,
               TimePoint aIdleAfter,
               TimePoint aDeadline,
               std::string_view aId = {})
    -> Task<Result<ClientConnectionPtr, ErrorCode>>;

  // Keeps a connection for reuse until aUsableUntil. Call it only after a
  // complete response, with an empty buffer. If aMaxIdle connections to the
  // same address are already idle, the one that has been idle longest is
  // closed.
  auto Release(ClientConnectionPtr aConnection,
               TimePoint aUsableUntil,
               std::size_t aMaxIdle = kMaxIdleConnections) -> void;

  // Closes the idle connections to an address, e.g. after one of them was found
  // to be unresponsive.
  auto CloseIdleConnections(const std::string& aAddress) -> void;

  // Closes the idle connections whose mUsableUntil has passed.
  auto CloseExpired(TimePoint aNow) -> void;

private:
  auto TakeIdle(const std::string& aAddress,
                TimePoint aIdleAfter,
                std::string_view aId) -> ClientConnectionPtr;

  asio::io_context& mLoop;
  std::uint64_t mOpened = 0; // connections, ever
  // Most recently used at the back.
  absl::flat_hash_map<std::string, std::deque<ClientConnectionPtr>> mIdle;
};

// Sends a complete request.
auto SendRequest(ClientConnection& aConnection,
                 const Request& aRequest,
                 TimePoint aDeadline) -> Task<ErrorCode>;

// Reads the response up to the end of the headers, after any interim responses
// (1xx), into a new parser in aParser. A status below 100 is the error
// bad_status.
auto ReadHead(ClientConnection& aConnection,
              std::optional<ResponseParser>& aParser,
              TimePoint aDeadline) -> Task<ErrorCode>;

// Reads and returns the next part of the body; aParser.is_done() tells whether
// the body is complete. A truncated response is an error.
auto ReadSomeBody(ClientConnection& aConnection,
                  ResponseParser& aParser,
                  TimePoint aDeadline) -> Task<Result<std::string, ErrorCode>>;

// Bytes of bodies that several exchanges keep at the same time.
struct ByteBudget
{
  std::size_t mLimit = 0;
  std::size_t mUsed = 0;
  MemoryAccountPtr mAccount; // that counts them too, unless null
};

// The bytes of one exchange. The destructor returns them.
class BudgetedBytes
{
public:
  explicit BudgetedBytes(ByteBudget& aBudget)
    : mBudget(aBudget)
    , mHolder(aBudget.mAccount)
  {
  }
  ~BudgetedBytes() { mBudget.mUsed -= mBytes; }
  BudgetedBytes(const BudgetedBytes&) = delete;
  auto operator=(const BudgetedBytes&) -> BudgetedBytes& = delete;

  // Sets the number of bytes; false if the budget is exceeded.
  auto Resize(std::size_t aBytes) -> bool
  {
    mBudget.mUsed = mBudget.mUsed - mBytes + aBytes;
    mBytes = aBytes;
    // What an endpoint has sent is not refused for the sake of new requests.
    mHolder.Force(HeldKind::Answers, aBytes);
    return mBudget.mUsed <= mBudget.mLimit;
  }

  // From now on, the account counts the bytes elsewhere.
  auto PassOn() -> void { mHolder.ReleaseAll(); }

private:
  ByteBudget& mBudget;
  MemoryHolder mHolder;
  std::size_t mBytes = 0;
};

// How the rest of a body is read.
struct BodyLimits
{
  std::size_t mMaxBytes = kMaxBodyBytes;
  BudgetedBytes* mBudgeted = nullptr; // of a budget that bounds it too
  std::function<void()> mOnProgress;  // called after each part
};

// Reads the rest of the body. Fails with body_limit if it exceeds the maximum,
// and with no_buffer_space if it exceeds the budget.
auto ReadBody(ClientConnection& aConnection,
              ResponseParser& aParser,
              TimePoint aDeadline,
              BodyLimits aLimits) -> Task<ErrorCode>;

// Reads the rest of a body that nobody needs, so that the connection can be
// reused. Fails with body_limit if that is not worthwhile.
auto DiscardBody(ClientConnection& aConnection,
                 ResponseParser& aParser,
                 TimePoint aDeadline) -> Task<ErrorCode>;

// Time until which the connection may stay idle and be reused after this
// response; aNow if it can't be reused.
auto ReusableUntil(const ClientConnection& aConnection,
                   const ResponseParser& aParser,
                   TimePoint aNow) -> TimePoint;

enum class CallError
{
  NotSent,    // no part of the request has left this process
  NoResponse, // the request may have been executed
};

// Performs one exchange with a small response over the pool. It does not retry,
// even if the request failed on a reused connection.
auto CallOnce(ConnectionPool& aPool,
              std::string aAddress,
              Request aRequest,
              TimePoint aDeadline) -> Task<Result<Response, CallError>>;

// Parses "IP:PORT"; anything else is an error.
auto ParseAddress(const std::string& aAddress)
  -> Result<Tcp::endpoint, ErrorCode>;

} // namespace mangovalve
