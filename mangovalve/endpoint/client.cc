// EndpointClient on top of cpp-httplib: connection pool, a watcher thread for
// deadlines and cancellation, and checks of framing and request id.
#include "mangovalve/endpoint/client.h"

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <optional>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>
#include <netinet/tcp.h>
#include <poll.h>

#include "mangovalve/base/thread.h"

namespace mangovalve {
namespace {

using Kind = EndpointError::Kind;

// Interval at which the watcher stops an expired exchange again. A stop has no
// effect before the exchange owns its socket.
constexpr auto kStopRetryInterval = std::chrono::milliseconds(20);

// Forwards to another stream and keeps the last bytes read.
class TailStream : public httplib::Stream
{
public:
  TailStream(httplib::Stream& aStream, std::string& aTail)
    : mStream(aStream)
    , mTail(aTail)
  {
  }
  auto is_readable() const -> bool override { return mStream.is_readable(); }
  auto is_writable() const -> bool override { return mStream.is_writable(); }
  auto read(char* aData, std::size_t aSize) -> ssize_t override
  {
    const auto count = mStream.read(aData, aSize);
    if (count > 0) {
      mTail.append(aData, static_cast<std::size_t>(count));
      mTail.erase(0, mTail.size() - std::min<std::size_t>(mTail.size(), 4));
    }
    return count;
  }
  auto write(const char* aData, std::size_t aSize) -> ssize_t override
  {
    return mStream.write(aData, aSize);
  }
  auto get_remote_ip_and_port(std::string& aIp, int& aPort) const
    -> void override
  {
    mStream.get_remote_ip_and_port(aIp, aPort);
  }
  auto get_local_ip_and_port(std::string& aIp, int& aPort) const
    -> void override
  {
    mStream.get_local_ip_and_port(aIp, aPort);
  }
  auto socket() const -> socket_t override { return mStream.socket(); }

private:
  httplib::Stream& mStream;
  std::string& mTail;
};

// httplib's client treats a chunked response as complete when it is truncated
// between the CR and LF after a chunk's data. This client keeps the last bytes
// read, so that EndpointClient can check the end itself.
class TailClient : public httplib::ClientImpl
{
public:
  TailClient(const std::string& aHost, int aPort)
    : ClientImpl(aHost, aPort)
  {
  }

  // Called when the connection is open, before the first byte is written.
  // Returning false aborts the request before anything is sent.
  std::function<bool()> mOnOpen;
  std::string mTail; // last bytes read, at most 4

private:
  auto process_socket(const Socket& aSocket,
                      std::function<bool(httplib::Stream&)> aCallback)
    -> bool override
  {
    mTail.clear();
    if (mOnOpen && !mOnOpen()) {
      return false;
    }
    return httplib::detail::process_client_socket(
      aSocket.sock,
      read_timeout_sec_,
      read_timeout_usec_,
      write_timeout_sec_,
      write_timeout_usec_,
      [&](httplib::Stream& aStream) {
        TailStream stream(aStream, mTail);
        return aCallback(stream);
      });
  }
};

struct Connection
{
  std::unique_ptr<TailClient> mClient;
  TimePoint mLastResponse;
};

// State of a running exchange that the watcher needs.
struct Watch
{
  TailClient* mClient = nullptr;
  TimePoint mDue;
  Kind mWhenDue = Kind::NoFirstByte;
  // Stopping a client during its connect would block the watcher. Unless the
  // exchange is known to be connected, it is not stopped before this time.
  TimePoint mConnectLimit;
  bool mConnected = false;
  bool mCancelled = false;
  std::optional<Kind> mFired;
};

auto WhenToStop(const Watch& aWatch) -> TimePoint
{
  if (aWatch.mCancelled && !aWatch.mFired) {
    return aWatch.mConnected ? TimePoint::min() : aWatch.mConnectLimit;
  }
  return aWatch.mDue;
}

// Stops exchanges whose deadline has expired. httplib can't change a deadline
// during a request, so a separate thread shuts the socket down.
class Watcher
{
public:
  Watcher()
    : mThread("endpoint-watch", [this] { Run(); })
  {
  }
  ~Watcher()
  {
    {
      const absl::MutexLock lock(&mMutex);
      mEnding = true;
      mChanged.Signal();
    }
    mThread.Join();
  }
  Watcher(const Watcher&) = delete;
  auto operator=(const Watcher&) -> Watcher& = delete;

  auto Add(const Watch& aWatch) -> std::list<Watch>::iterator
  {
    const absl::MutexLock lock(&mMutex);
    mWatches.push_front(aWatch);
    mChanged.Signal();
    return mWatches.begin();
  }

  // Removes a watch. Returns the reason if the watcher stopped the exchange.
  auto Remove(std::list<Watch>::iterator aWatch) -> std::optional<Kind>
  {
    const absl::MutexLock lock(&mMutex);
    const auto fired = aWatch->mFired;
    mWatches.erase(aWatch);
    return fired;
  }

  template<typename F>
  auto Update(std::list<Watch>::iterator aWatch, F&& aChange) -> void
  {
    const absl::MutexLock lock(&mMutex);
    const auto before = WhenToStop(*aWatch);
    aChange(*aWatch);
    if (WhenToStop(*aWatch) < before) {
      mChanged.Signal();
    }
  }

private:
  auto Run() -> void
  {
    const absl::MutexLock lock(&mMutex);
    while (!mEnding) {
      const auto next = StopDue(Clock::now());
      if (next == TimePoint::max()) {
        mChanged.Wait(&mMutex);
      } else {
        mChanged.WaitWithTimeout(&mMutex,
                                 absl::FromChrono(next - Clock::now()));
      }
    }
  }

  // Stops the exchanges that are due. Returns when the next one is due.
  auto StopDue(TimePoint aNow) -> TimePoint
  {
    auto next = TimePoint::max();
    for (auto& watch : mWatches) {
      if (WhenToStop(watch) <= aNow) {
        if (!watch.mFired) {
          watch.mFired = watch.mCancelled ? Kind::Cancelled : watch.mWhenDue;
        }
        watch.mDue = aNow + kStopRetryInterval;
        watch.mClient->stop();
      }
      next = std::min(next, WhenToStop(watch));
    }
    return next;
  }

  absl::Mutex mMutex;
  absl::CondVar mChanged;
  std::list<Watch> mWatches;
  bool mEnding = false;
  Thread mThread; // declared last, so that it starts after all members are
                  // initialized
};

// Splits "IP:port"; port 0 when malformed.
auto SplitAddress(const std::string& aAddress) -> std::pair<std::string, int>
{
  const auto colon = aAddress.rfind(':');
  auto port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(aAddress.substr(colon + 1), &port) || port < 1 ||
      port > 65535) {
    return { aAddress, 0 };
  }
  return { aAddress.substr(0, colon), port };
}

// Whether an idle connection has no pending input. If it is readable, the
// endpoint has closed it or sent bytes that belong to no request.
auto HasNoPendingInput(int aSocket) -> bool
{
  pollfd entry{ aSocket, POLLIN | POLLRDHUP, 0 };
  return poll(&entry, 1, 0) == 0;
}

auto SetClientSocketOptions(int aSocket) -> void
{
  // The connection ends when sent bytes stay unacknowledged for this time, so
  // that a connection whose packets are dropped is detected before the
  // first-byte deadline.
  const unsigned int timeoutMs = 2000;
  setsockopt(
    aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof(timeoutMs));
}

auto ToHeaderList(const httplib::Headers& aHeaders) -> HeaderList
{
  return { aHeaders.begin(), aHeaders.end() };
}

// Whether the head declares a framing by which truncation can be detected.
auto IsFramed(const EndpointRequest& aRequest, const httplib::Response& aHead)
  -> bool
{
  if (aRequest.mMethod == "HEAD" || aHead.status == 204 ||
      aHead.status == 304) {
    return true;
  }
  const auto lengths = aHead.get_header_value_count("Content-Length");
  const auto chunked =
    absl::EqualsIgnoreCase(aHead.get_header_value("Transfer-Encoding"),
                           "chunked") &&
    aHead.get_header_value_count("Transfer-Encoding") == 1;
  std::uint64_t length = 0;
  return chunked ? lengths == 0
                 : lengths == 1 &&
                     absl::SimpleAtoi(aHead.get_header_value("Content-Length"),
                                      &length);
}

auto Fail(Kind aKind, Sent aSent, bool aHeadSeen, std::string aMessage)
  -> tl::unexpected<EndpointError>
{
  return Err(EndpointError{ aKind, aSent, aHeadSeen, std::move(aMessage) });
}

} // namespace

auto HeaderValue(const HeaderList& aHeaders, std::string_view aName)
  -> std::string
{
  const absl::string_view name(aName.data(), aName.size());
  for (const auto& [key, value] : aHeaders) {
    if (absl::EqualsIgnoreCase(key, name)) {
      return value;
    }
  }
  return {};
}

auto KindName(Kind aKind) -> const char*
{
  switch (aKind) {
    case Kind::Refused:
      return "endpoint_refused";
    case Kind::NoFirstByte:
      return "no_first_byte";
    case Kind::Stalled:
      return "answer_silent";
    case Kind::Deadline:
      return "deadline";
    case Kind::Cancelled:
      return "cancelled";
    case Kind::Truncated:
      return "answer_cut";
    case Kind::Unframed:
      return "answer_unframed";
    case Kind::WrongRequest:
      return "answer_of_another_request";
    case Kind::TooLarge:
      return "answer_too_large";
  }
  return "unknown";
}

auto Cancellation::Cancel() -> void
{
  mCancelled = true;
  const absl::MutexLock lock(&mMutex);
  if (mWake) {
    mWake();
  }
}

struct EndpointClient::Impl
{
  explicit Impl(EndpointClientOptions aOptions)
    : mOptions(aOptions)
  {
  }

  // Returns the most recently used idle connection that is still usable, or a
  // new one that is not open yet.
  auto Acquire(const std::string& aAddress, bool aNew, TimePoint aNow)
    -> Connection
  {
    if (!aNew) {
      const absl::MutexLock lock(&mMutex);
      auto& idle = mIdle[aAddress];
      while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (aNow - connection.mLastResponse < mOptions.mMaxIdle &&
            HasNoPendingInput(connection.mClient->socket())) {
          return connection;
        }
      }
    }
    const auto [host, port] = SplitAddress(aAddress);
    Connection connection{ std::make_unique<TailClient>(host, port), aNow };
    auto& client = *connection.mClient;
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_decompress(false);
    client.set_url_encode(false);
    client.set_socket_options(SetClientSocketOptions);
    return connection;
  }

  auto Release(const std::string& aAddress, Connection aConnection) -> void
  {
    const absl::MutexLock lock(&mMutex);
    auto& idle = mIdle[aAddress];
    idle.push_back(std::move(aConnection));
    if (idle.size() > mOptions.mMaxIdlePerAddress) {
      idle.pop_front();
    }
  }

  // Closes the idle connections to an address after one of its connections
  // became unresponsive. The same fault may affect the others, and an idle
  // connection can't be tested without a request.
  auto CloseIdle(const std::string& aAddress) -> void
  {
    const absl::MutexLock lock(&mMutex);
    mIdle.erase(aAddress);
  }

  EndpointClientOptions mOptions;
  Watcher mWatcher;
  absl::Mutex mMutex;
  std::map<std::string, std::deque<Connection>> mIdle; // newest at the back
};

namespace {

// State that the callbacks of one exchange fill in.
struct Progress
{
  bool mHeadReceived = false;
  bool mStreamed = false;
  std::optional<Kind> mRejected; // set when a callback aborted the request
  EndpointResponse mResponse;
  StreamEndDetector mEnd;
  std::size_t mBytes = 0;
};

auto IsEventStream(const EndpointResponseHead& aHead) -> bool
{
  return absl::StartsWithIgnoreCase(HeaderValue(aHead.mHeaders, "Content-Type"),
                                    "text/event-stream");
}

// Checks and stores the head; false aborts the request.
auto ProcessHead(const EndpointRequest& aRequest,
                 const ResponseSink& aSink,
                 const httplib::Response& aHead,
                 Progress& aProgress) -> bool
{
  if (aHead.get_header_value("X-Request-Id") != aRequest.mRequestId) {
    aProgress.mRejected = Kind::WrongRequest;
    return false;
  }
  aProgress.mHeadReceived = true;
  if (!IsFramed(aRequest, aHead)) {
    aProgress.mRejected = Kind::Unframed;
    return false;
  }
  aProgress.mResponse.mFirstByte = Clock::now();
  aProgress.mResponse.mHead = { aHead.status, ToHeaderList(aHead.headers) };
  aProgress.mStreamed = aSink.mOnData != nullptr && aHead.status == 200 &&
                        IsEventStream(aProgress.mResponse.mHead);
  if (aProgress.mStreamed && aSink.mOnHead &&
      !aSink.mOnHead(aProgress.mResponse.mHead)) {
    aProgress.mRejected = Kind::Cancelled;
    return false;
  }
  return true;
}

auto ProcessData(const ResponseSink& aSink,
                 std::string_view aData,
                 std::size_t aMaxBytes,
                 Progress& aProgress) -> bool
{
  aProgress.mBytes += aData.size();
  if (aProgress.mBytes > aMaxBytes) {
    aProgress.mRejected = Kind::TooLarge;
    return false;
  }
  if (IsEventStream(aProgress.mResponse.mHead)) {
    aProgress.mEnd.Add(aData);
  }
  if (!aProgress.mStreamed) {
    aProgress.mResponse.mBody.append(aData);
    return true;
  }
  if (!aSink.mOnData(aData)) {
    aProgress.mRejected = Kind::Cancelled;
    return false;
  }
  return true;
}

// Converts the request for httplib, without callbacks.
auto ToHttp(const EndpointRequest& aRequest) -> httplib::Request
{
  httplib::Request request;
  request.method = aRequest.mMethod;
  request.path = aRequest.mTarget;
  for (const auto& [name, value] : aRequest.mHeaders) {
    request.headers.emplace(name, value);
  }
  request.headers.emplace("X-Request-Id", aRequest.mRequestId);
  request.body = aRequest.mBody;
  if (!aRequest.mBody.empty()) {
    request.headers.emplace("Content-Type", aRequest.mContentType);
  }
  return request;
}

// Converts the outcome of an exchange into a response or an error.
auto ToResult(bool aOk,
              httplib::Error aError,
              std::optional<Kind> aFired,
              const std::string& aTail,
              Progress& aProgress) -> Result<EndpointResponse, EndpointError>
{
  const auto neverConnected = aError == httplib::Error::Connection ||
                              aError == httplib::Error::ConnectionTimeout ||
                              aError == httplib::Error::BindIPAddress;
  if (!aOk && neverConnected) {
    const auto kind =
      aFired == Kind::Cancelled ? Kind::Cancelled : Kind::Refused;
    return Fail(kind, Sent::NotSent, false, httplib::to_string(aError));
  }
  if (aProgress.mRejected) {
    return Fail(*aProgress.mRejected,
                Sent::Sent,
                aProgress.mHeadReceived,
                KindName(*aProgress.mRejected));
  }
  if (aOk) {
    const auto chunked =
      !HeaderValue(aProgress.mResponse.mHead.mHeaders, "Transfer-Encoding")
         .empty();
    if (chunked && aTail != "\r\n\r\n") {
      return Fail(
        Kind::Truncated, Sent::Sent, true, "final chunk is incomplete");
    }
    if (IsEventStream(aProgress.mResponse.mHead) &&
        aProgress.mResponse.mHead.mStatus == 200 && !aProgress.mEnd.Done()) {
      return Fail(
        Kind::Truncated, Sent::Sent, true, "event stream ended before [DONE]");
    }
    return std::move(aProgress.mResponse);
  }
  const auto kind = aFired.value_or(Kind::Truncated);
  return Fail(
    kind, Sent::Sent, aProgress.mHeadReceived, httplib::to_string(aError));
}

} // namespace

EndpointClient::EndpointClient(EndpointClientOptions aOptions)
  : mImpl(std::make_unique<Impl>(aOptions))
{
}

EndpointClient::~EndpointClient() = default;

auto EndpointClient::IdleCount(const std::string& aAddress) -> std::size_t
{
  const absl::MutexLock lock(&mImpl->mMutex);
  const auto found = mImpl->mIdle.find(aAddress);
  return found == mImpl->mIdle.end() ? 0 : found->second.size();
}

auto EndpointClient::Exchange(const EndpointRequest& aRequest,
                              const ResponseSink& aSink,
                              Cancellation* aCancellation)
  -> Result<EndpointResponse, EndpointError>
{
  const auto start = Clock::now();
  if (aCancellation != nullptr && aCancellation->Cancelled()) {
    return Fail(Kind::Cancelled, Sent::NotSent, false, "cancelled");
  }
  const auto firstByte =
    std::min(aRequest.mFirstByteDeadline, aRequest.mDeadline);
  if (firstByte <= start) {
    return Fail(Kind::Deadline,
                Sent::NotSent,
                false,
                "deadline expired before the exchange began");
  }
  if (SplitAddress(aRequest.mAddress).second == 0) {
    return Fail(Kind::Refused, Sent::NotSent, false, "address is not IP:port");
  }

  auto connection =
    mImpl->Acquire(aRequest.mAddress, aRequest.mNewConnection, start);
  auto& client = *connection.mClient;
  const auto connectTime =
    std::min<Duration>(mImpl->mOptions.mConnectTimeout, firstByte - start);
  client.set_connection_timeout(
    std::max<Duration>(connectTime, std::chrono::milliseconds(1)));
  // The watcher enforces the deadlines; these timeouts are only a safeguard.
  const auto remaining = aRequest.mDeadline - start + std::chrono::seconds(1);
  client.set_read_timeout(remaining);
  client.set_write_timeout(remaining);

  Watch watch;
  watch.mClient = &client;
  watch.mDue = firstByte;
  watch.mWhenDue =
    firstByte == aRequest.mDeadline ? Kind::Deadline : Kind::NoFirstByte;
  watch.mConnectLimit = start + connectTime;
  auto& watcher = mImpl->mWatcher;
  const auto watched = watcher.Add(watch);
  const auto extendPauseDeadline = [&] {
    watcher.Update(watched, [&](Watch& aWatch) {
      const auto pause = Clock::now() + aRequest.mMaxPause;
      aWatch.mConnected = true;
      if (aWatch.mFired) {
        return;
      }
      aWatch.mWhenDue =
        pause < aRequest.mDeadline ? Kind::Stalled : Kind::Deadline;
      aWatch.mDue = std::min(pause, aRequest.mDeadline);
    });
  };
  const auto suspendPauseDeadline = [&] {
    watcher.Update(watched, [&](Watch& aWatch) {
      if (!aWatch.mFired) {
        aWatch.mWhenDue = Kind::Deadline;
        aWatch.mDue = aRequest.mDeadline;
      }
    });
  };
  if (aCancellation != nullptr) {
    const absl::MutexLock lock(&aCancellation->mMutex);
    aCancellation->mWake = [&watcher, watched] {
      watcher.Update(watched, [](Watch& aWatch) { aWatch.mCancelled = true; });
    };
    if (aCancellation->Cancelled()) {
      aCancellation->mWake();
    }
  }

  Progress progress;
  auto request = ToHttp(aRequest);
  request.response_handler = [&](const httplib::Response& aHead) {
    extendPauseDeadline();
    return ProcessHead(aRequest, aSink, aHead, progress);
  };
  request.content_receiver =
    [&](const char* aData, std::size_t aSize, std::uint64_t, std::uint64_t) {
      // Time that the sink waits for a slow caller is no pause of the endpoint.
      suspendPauseDeadline();
      const auto taken = ProcessData(
        aSink, { aData, aSize }, mImpl->mOptions.mMaxResponseBytes, progress);
      extendPauseDeadline();
      return taken;
    };
  auto sendTooLate = false;
  client.mOnOpen = [&] {
    watcher.Update(watched, [](Watch& aWatch) { aWatch.mConnected = true; });
    sendTooLate = Clock::now() > std::min(aRequest.mSendBy, aRequest.mDeadline);
    return !sendTooLate;
  };
  httplib::Response response;
  auto error = httplib::Error::Success;
  const auto ok = client.send(request, response, error);
  client.mOnOpen = nullptr;

  if (aCancellation != nullptr) {
    const absl::MutexLock lock(&aCancellation->mMutex);
    aCancellation->mWake = nullptr;
  }
  const auto fired = watcher.Remove(watched);
  if (sendTooLate) {
    return Fail(Kind::Deadline,
                Sent::NotSent,
                false,
                "deadline expired before the first byte");
  }
  auto result = ToResult(ok, error, fired, client.mTail, progress);
  if (result && !fired && client.is_socket_open() != 0) {
    connection.mLastResponse = Clock::now();
    mImpl->Release(aRequest.mAddress, std::move(connection));
  } else if (!result && (result.error().mKind == Kind::NoFirstByte ||
                         result.error().mKind == Kind::Stalled)) {
    mImpl->CloseIdle(aRequest.mAddress);
  }
  return result;
}

auto StreamEndDetector::Add(std::string_view aData) -> void
{
  constexpr std::size_t kMaxKept = 32; // longer than "data: [DONE]"
  for (const auto c : aData) {
    if (c == '\r') {
      continue;
    }
    if (c != '\n') {
      if (mLine.size() < kMaxKept) {
        mLine.push_back(c);
      }
      continue;
    }
    if (!mLine.empty()) {
      mDone = mLine == "data: [DONE]" || mLine == "data:[DONE]";
    }
    mLine.clear();
  }
}

} // namespace mangovalve
