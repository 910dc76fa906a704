// EndpointClient over cpp-httplib: connection pool, watcher for deadlines and
// cancellation, checks of framing and of the request id.
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

// How often a watch that has fired stops its connection again: a first stop
// has no effect when it comes before the exchange owns its socket.
constexpr auto kStopAgain = std::chrono::milliseconds(20);

// Passes bytes through and keeps the last ones read.
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

// httplib's client takes a chunked answer for whole when it is cut between the
// CR and LF after a chunk's data, so the last bytes read are kept for a check
// of our own.
class TailClient : public httplib::ClientImpl
{
public:
  TailClient(const std::string& aHost, int aPort)
    : ClientImpl(aHost, aPort)
  {
  }

  // Called when the connection is open, before the first byte is written;
  // false abandons the request unsent.
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
  TimePoint mLastAnswer;
};

// One running exchange as the watcher sees it.
struct Watch
{
  TailClient* mClient = nullptr;
  TimePoint mDue;
  Kind mWhenDue = Kind::NoFirstByte;
  // Stopping a client that still connects would block the watcher, so nothing
  // is stopped before this time unless the exchange is known to be connected.
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

// Stops exchanges whose time is over. httplib has no deadline that changes
// during a request, so a thread shuts the socket down instead.
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

  // Ends a watch; the reason for which it stopped the exchange, if it did.
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

  // Stops what is due; when the next watch is due.
  auto StopDue(TimePoint aNow) -> TimePoint
  {
    auto next = TimePoint::max();
    for (auto& watch : mWatches) {
      if (WhenToStop(watch) <= aNow) {
        if (!watch.mFired) {
          watch.mFired = watch.mCancelled ? Kind::Cancelled : watch.mWhenDue;
        }
        watch.mDue = aNow + kStopAgain;
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
  Thread mThread; // last: starts when all members exist
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

// An idle connection must be silent: readable means closed by the endpoint or
// holding bytes that no request of ours asked for.
auto QuietSocket(int aSocket) -> bool
{
  pollfd entry{ aSocket, POLLIN | POLLRDHUP, 0 };
  return poll(&entry, 1, 0) == 0;
}

auto SetClientSocketOptions(int aSocket) -> void
{
  // Sent bytes that stay unacknowledged this long end the connection, so that
  // one whose packets are dropped is noticed before the first-byte deadline.
  const unsigned int timeoutMs = 2000;
  setsockopt(
    aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof(timeoutMs));
}

auto ToHeaderList(const httplib::Headers& aHeaders) -> HeaderList
{
  return { aHeaders.begin(), aHeaders.end() };
}

// Whether the head promises a body whose end can be recognised.
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

  // The newest usable idle connection, or a new one that is not yet open.
  auto Borrow(const std::string& aAddress, bool aNew, TimePoint aNow)
    -> Connection
  {
    if (!aNew) {
      const absl::MutexLock lock(&mMutex);
      auto& idle = mIdle[aAddress];
      while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (aNow - connection.mLastAnswer < mOptions.mMaxIdle &&
            QuietSocket(connection.mClient->socket())) {
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

  auto GiveBack(const std::string& aAddress, Connection aConnection) -> void
  {
    const absl::MutexLock lock(&mMutex);
    auto& idle = mIdle[aAddress];
    idle.push_back(std::move(aConnection));
    if (idle.size() > mOptions.mMaxIdlePerAddress) {
      idle.pop_front();
    }
  }

  // Closes the idle connections to an address after one of its connections
  // went silent: what silenced one may have silenced its siblings, and an idle
  // connection can prove nothing without a request.
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

// What the callbacks of one exchange find out.
struct Progress
{
  bool mHeadReceived = false;
  bool mStreamed = false;
  std::optional<Kind> mRejected; // set when a callback abandoned the request
  EndpointResponse mAnswer;
  StreamEndDetector mEnd;
  std::size_t mBytes = 0;
};

auto IsEventStream(const EndpointResponseHead& aHead) -> bool
{
  return absl::StartsWithIgnoreCase(HeaderValue(aHead.mHeaders, "Content-Type"),
                                    "text/event-stream");
}

// Checks the head; false abandons the request.
auto TakeHead(const EndpointRequest& aRequest,
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
  aProgress.mAnswer.mFirstByte = Clock::now();
  aProgress.mAnswer.mHead = { aHead.status, ToHeaderList(aHead.headers) };
  aProgress.mStreamed = aSink.mOnData != nullptr && aHead.status == 200 &&
                        IsEventStream(aProgress.mAnswer.mHead);
  if (aProgress.mStreamed && aSink.mOnHead &&
      !aSink.mOnHead(aProgress.mAnswer.mHead)) {
    aProgress.mRejected = Kind::Cancelled;
    return false;
  }
  return true;
}

auto TakeData(const ResponseSink& aSink,
              std::string_view aData,
              std::size_t aMaxBytes,
              Progress& aProgress) -> bool
{
  aProgress.mBytes += aData.size();
  if (aProgress.mBytes > aMaxBytes) {
    aProgress.mRejected = Kind::TooLarge;
    return false;
  }
  if (IsEventStream(aProgress.mAnswer.mHead)) {
    aProgress.mEnd.Add(aData);
  }
  if (!aProgress.mStreamed) {
    aProgress.mAnswer.mBody.append(aData);
    return true;
  }
  if (!aSink.mOnData(aData)) {
    aProgress.mRejected = Kind::Cancelled;
    return false;
  }
  return true;
}

// The request in httplib's form, without its callbacks.
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

// Turns what happened into an answer or an error.
auto Conclude(bool aOk,
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
      !HeaderValue(aProgress.mAnswer.mHead.mHeaders, "Transfer-Encoding")
         .empty();
    if (chunked && aTail != "\r\n\r\n") {
      return Fail(
        Kind::Truncated, Sent::Sent, true, "last chunk is incomplete");
    }
    if (IsEventStream(aProgress.mAnswer.mHead) &&
        aProgress.mAnswer.mHead.mStatus == 200 && !aProgress.mEnd.Done()) {
      return Fail(
        Kind::Truncated, Sent::Sent, true, "stream ended before [DONE]");
    }
    return std::move(aProgress.mAnswer);
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
    return Fail(Kind::Deadline, Sent::NotSent, false, "deadline passed");
  }
  if (SplitAddress(aRequest.mAddress).second == 0) {
    return Fail(Kind::Refused, Sent::NotSent, false, "malformed address");
  }

  auto connection =
    mImpl->Borrow(aRequest.mAddress, aRequest.mNewConnection, start);
  auto& client = *connection.mClient;
  const auto connectTime =
    std::min<Duration>(mImpl->mOptions.mConnectTimeout, firstByte - start);
  client.set_connection_timeout(
    std::max<Duration>(connectTime, std::chrono::milliseconds(1)));
  // The watcher ends the exchange; these are only a last resort.
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
  const auto alive = [&] {
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
  const auto unpaused = [&] {
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
    alive();
    return TakeHead(aRequest, aSink, aHead, progress);
  };
  request.content_receiver =
    [&](const char* aData, std::size_t aSize, std::uint64_t, std::uint64_t) {
      // A sink that waits for a slow caller is no pause of the endpoint.
      unpaused();
      const auto taken = TakeData(
        aSink, { aData, aSize }, mImpl->mOptions.mMaxResponseBytes, progress);
      alive();
      return taken;
    };
  auto tooLate = false;
  client.mOnOpen = [&] {
    watcher.Update(watched, [](Watch& aWatch) { aWatch.mConnected = true; });
    tooLate = Clock::now() > std::min(aRequest.mSendBy, aRequest.mDeadline);
    return !tooLate;
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
  if (tooLate) {
    return Fail(Kind::Deadline, Sent::NotSent, false, "too late to send");
  }
  auto result = Conclude(ok, error, fired, client.mTail, progress);
  if (result && !fired && client.is_socket_open() != 0) {
    connection.mLastAnswer = Clock::now();
    mImpl->GiveBack(aRequest.mAddress, std::move(connection));
  } else if (!result && (result.error().mKind == Kind::NoFirstByte ||
                         result.error().mKind == Kind::Stalled)) {
    mImpl->CloseIdle(aRequest.mAddress);
  }
  return result;
}

auto StreamEndDetector::Add(std::string_view aData) -> void
{
  constexpr std::size_t kMaxKept = 32; // longer than the line looked for
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
