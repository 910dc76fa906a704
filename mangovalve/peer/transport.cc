// TCP transport between daemons: one epoll thread with non-blocking sockets.
#include "mangovalve/peer/transport.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/synchronization/mutex.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mangovalve/base/thread.h"
#include "mangovalve/peer/frame.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve::peer {
namespace {

auto ParseAddress(const std::string& aAddress) -> std::optional<sockaddr_in>
{
  const auto colon = aAddress.rfind(':');
  std::uint32_t port = 0;
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(aAddress.substr(colon + 1), &port) || port > 65535 ||
      inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &parsed.sin_addr) !=
        1) {
    return std::nullopt;
  }
  parsed.sin_port = htons(static_cast<std::uint16_t>(port));
  return parsed;
}

auto FormatAddress(const sockaddr_in& aAddress) -> std::string
{
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &aAddress.sin_addr, text.data(), text.size());
  return std::string(text.data()) + ":" +
         std::to_string(ntohs(aAddress.sin_port));
}

// Owns a file descriptor.
class Descriptor
{
public:
  Descriptor() = default;
  explicit Descriptor(int aValue)
    : mValue(aValue)
  {
  }
  ~Descriptor() { Reset(); }
  Descriptor(Descriptor&& aOther) noexcept
    : mValue(std::exchange(aOther.mValue, -1))
  {
  }
  auto operator=(Descriptor&& aOther) noexcept -> Descriptor&
  {
    if (this != &aOther) {
      Reset();
      mValue = std::exchange(aOther.mValue, -1);
    }
    return *this;
  }
  Descriptor(const Descriptor&) = delete;
  auto operator=(const Descriptor&) -> Descriptor& = delete;

  auto Reset() -> void
  {
    if (mValue >= 0) {
      close(mValue);
    }
    mValue = -1;
  }
  auto Value() const -> int { return mValue; }
  auto Valid() const -> bool { return mValue >= 0; }

private:
  int mValue = -1;
};

auto NewSocket() -> Descriptor
{
  Descriptor fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const auto on = 1;
  if (fd.Valid()) {
    setsockopt(fd.Value(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  return fd;
}

enum class LinkState
{
  Closed,
  Connecting,
  Open,
};

// Outgoing connection to a peer and the frames queued for it.
struct Link
{
  sockaddr_in mAddress{};
  Descriptor mFd;
  LinkState mState = LinkState::Closed;
  std::deque<std::string> mQueue;
  std::size_t mQueuedBytes = 0;
  std::size_t mSent = 0; // bytes of the first frame that were already written
  TimePoint mRetryAt{};
  Duration mBackoff{};
  TimePoint mLastQueuedAt{}; // when the last frame was queued
  TimePoint
    mLastReceivedAt{}; // when a byte was last read or the connection was opened
  TimePoint mKeepaliveAt{};
};

struct Incoming
{
  Descriptor mFd;
  FrameReader mReader;
  std::string mReplies; // keepalives to return
};

// Bounds the delay of reconnects, keepalives and timeouts.
constexpr auto kPollInterval = std::chrono::milliseconds(25);
// Limit of unsent replies to keepalives. A connection over it is closed,
// because its peer sends keepalives without reading the replies.
constexpr std::size_t kMaxReplyBytes = 4096;

// Reads the available bytes. False on end of stream or error.
auto ReadInto(int aFd, std::string& aBytes) -> bool
{
  std::array<char, 65536> chunk{};
  const auto got = recv(aFd, chunk.data(), chunk.size(), 0);
  if (got > 0) {
    aBytes.assign(chunk.data(), static_cast<std::size_t>(got));
    return true;
  }
  aBytes.clear();
  return got < 0 && (errno == EAGAIN || errno == EINTR);
}

} // namespace

struct Transport::Impl
{
  explicit Impl(TransportOptions aOptions)
    : mOptions(std::move(aOptions))
    , mDropped(FindCounter("peer_frames_dropped_total"))
    , mMalformed(FindCounter("peer_frames_malformed_total"))
    , mUnresponsive(FindCounter("peer_connections_silent_total"))
    , mReconnects(FindCounter("peer_connects_total"))
    , mBytesSent(FindCounter("peer_bytes_sent_total"))
    , mBytesReceived(FindCounter("peer_bytes_received_total"))
  {
  }

  auto Run() -> void;
  auto Listen() -> Result<void, std::string>;
  auto Watch(int aFd, std::uint32_t aEvents, int aOperation) const -> void;
  auto Wake() const -> void;
  auto Accept() -> void;
  auto Receive(int aFd, std::uint32_t aEvents) -> void;
  auto Dispatch(const std::string& aBytes) -> bool;
  auto Reply(Incoming& aIncoming) const -> bool;
  auto Maintain(TimePoint aNow) -> void;
  auto MaintainLink(Link& aLink, TimePoint aNow) -> void;
  auto Connect(Link& aLink, TimePoint aNow) -> void;
  auto Close(Link& aLink, TimePoint aNow) -> void;
  auto HandleEvents(Link& aLink, std::uint32_t aEvents) -> void;
  auto Flush(Link& aLink) -> bool;
  auto WatchLink(const Link& aLink) const -> void;

  TransportOptions mOptions;
  std::map<Message, FrameHandler> mHandlers; // fixed after Start
  Descriptor mListen;
  Descriptor mEpoll;
  Descriptor mWake;
  std::string mAddress;
  std::map<int, Incoming> mIncoming; // by descriptor; I/O thread only
  mutable absl::Mutex mMutex;
  std::map<std::string, Link> mLinks ABSL_GUARDED_BY(mMutex);
  std::atomic<bool> mStop{ false };
  Counter& mDropped;
  Counter& mMalformed;
  Counter& mUnresponsive;
  Counter& mReconnects;
  Counter& mBytesSent;
  Counter& mBytesReceived;
  Thread mThread;
};

auto Transport::Impl::Watch(int aFd,
                            std::uint32_t aEvents,
                            int aOperation) const -> void
{
  epoll_event event{};
  event.events = aEvents;
  event.data.fd = aFd;
  epoll_ctl(mEpoll.Value(), aOperation, aFd, &event);
}

auto Transport::Impl::Wake() const -> void
{
  const std::uint64_t one = 1;
  // A write to a full counter fails, but then the thread wakes up anyway.
  static_cast<void>(write(mWake.Value(), &one, sizeof(one)) > 0);
}

auto Transport::Impl::Listen() -> Result<void, std::string>
{
  const auto failed = [&](const std::string& aStep) {
    return Err(aStep + " " + mOptions.mListenAddress + ": " +
               std::strerror(errno));
  };
  auto address = ParseAddress(mOptions.mListenAddress);
  if (!address) {
    return Err("listen address " + mOptions.mListenAddress + " is not IP:port");
  }
  mListen = NewSocket();
  mEpoll = Descriptor(epoll_create1(EPOLL_CLOEXEC));
  mWake = Descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!mListen.Valid() || !mEpoll.Valid() || !mWake.Valid()) {
    return failed("open socket for");
  }
  const auto on = 1;
  setsockopt(mListen.Value(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  socklen_t size = sizeof(*address);
  auto* const raw = reinterpret_cast<sockaddr*>(&*address);
  if (bind(mListen.Value(), raw, size) != 0) {
    return failed("bind");
  }
  if (listen(mListen.Value(), 512) != 0) {
    return failed("listen on");
  }
  getsockname(mListen.Value(), raw, &size);
  mAddress = FormatAddress(*address);
  Watch(mListen.Value(), EPOLLIN, EPOLL_CTL_ADD);
  Watch(mWake.Value(), EPOLLIN, EPOLL_CTL_ADD);
  return {};
}

auto Transport::Impl::Accept() -> void
{
  while (true) {
    Descriptor fd(
      accept4(mListen.Value(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd.Valid()) {
      return;
    }
    if (mIncoming.size() >= mOptions.mMaxIncoming) {
      continue;
    }
    const auto on = 1;
    setsockopt(fd.Value(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    Watch(fd.Value(), EPOLLIN, EPOLL_CTL_ADD);
    const auto key = fd.Value();
    mIncoming[key].mFd = std::move(fd);
  }
}

auto Transport::Impl::Dispatch(const std::string& aBytes) -> bool
{
  const auto* const frame = VerifyFrame(aBytes);
  if (frame == nullptr) {
    mMalformed.Add();
    return false;
  }
  const auto handler = mHandlers.find(frame->message_type());
  if (handler != mHandlers.end()) {
    handler->second(*frame);
  }
  return true;
}

auto Transport::Impl::Reply(Incoming& aIncoming) const -> bool
{
  auto& replies = aIncoming.mReplies;
  if (!replies.empty()) {
    const auto sent =
      send(aIncoming.mFd.Value(), replies.data(), replies.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      replies.erase(0, static_cast<std::size_t>(sent));
    }
  }
  Watch(aIncoming.mFd.Value(),
        replies.empty() ? EPOLLIN : EPOLLIN | EPOLLOUT,
        EPOLL_CTL_MOD);
  return replies.size() <= kMaxReplyBytes;
}

auto Transport::Impl::Receive(int aFd, std::uint32_t aEvents) -> void
{
  const auto found = mIncoming.find(aFd);
  if (found == mIncoming.end()) {
    return;
  }
  auto& incoming = found->second;
  auto ok = true;
  if ((aEvents & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
    std::string bytes;
    std::vector<std::string> frames;
    ok = ReadInto(aFd, bytes);
    mBytesReceived.Add(static_cast<std::int64_t>(bytes.size()));
    ok = ok && Feed(incoming.mReader, bytes, frames);
    for (const auto& frame : frames) {
      if (frame.empty()) {
        incoming.mReplies += AddLengthPrefix({});
      } else {
        ok = ok && Dispatch(frame);
      }
    }
  }
  if (!ok || !Reply(incoming)) {
    mIncoming.erase(found);
  }
}

auto Transport::Impl::WatchLink(const Link& aLink) const -> void
{
  const auto writing =
    aLink.mState == LinkState::Connecting || !aLink.mQueue.empty();
  Watch(
    aLink.mFd.Value(), writing ? EPOLLIN | EPOLLOUT : EPOLLIN, EPOLL_CTL_MOD);
}

auto Transport::Impl::Close(Link& aLink, TimePoint aNow) -> void
{
  aLink.mFd.Reset();
  aLink.mState = LinkState::Closed;
  // A partly sent frame is dropped with its connection. The peer has not
  // received it completely.
  if (aLink.mSent > 0) {
    aLink.mQueuedBytes -= aLink.mQueue.front().size();
    aLink.mQueue.pop_front();
    aLink.mSent = 0;
    mDropped.Add();
  }
  aLink.mBackoff =
    std::clamp(aLink.mBackoff * 2, mOptions.mBackoffMin, mOptions.mBackoffMax);
  aLink.mRetryAt = aNow + aLink.mBackoff;
}

auto Transport::Impl::Connect(Link& aLink, TimePoint aNow) -> void
{
  mReconnects.Add();
  aLink.mFd = NewSocket();
  aLink.mLastReceivedAt = aNow;
  aLink.mKeepaliveAt = aNow + mOptions.mKeepaliveInterval;
  const auto status =
    aLink.mFd.Valid()
      ? connect(aLink.mFd.Value(),
                reinterpret_cast<const sockaddr*>(&aLink.mAddress),
                sizeof(aLink.mAddress))
      : -1;
  if (status != 0 && (!aLink.mFd.Valid() || errno != EINPROGRESS)) {
    Close(aLink, aNow);
    return;
  }
  aLink.mState = LinkState::Connecting;
  Watch(aLink.mFd.Value(), EPOLLIN | EPOLLOUT, EPOLL_CTL_ADD);
}

auto Transport::Impl::Flush(Link& aLink) -> bool
{
  while (!aLink.mQueue.empty()) {
    const auto& frame = aLink.mQueue.front();
    const auto sent = send(aLink.mFd.Value(),
                           frame.data() + aLink.mSent,
                           frame.size() - aLink.mSent,
                           MSG_NOSIGNAL);
    if (sent < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    mBytesSent.Add(sent);
    aLink.mSent += static_cast<std::size_t>(sent);
    if (aLink.mSent == frame.size()) {
      aLink.mQueuedBytes -= frame.size();
      aLink.mQueue.pop_front();
      aLink.mSent = 0;
    }
  }
  return true;
}

auto Transport::Impl::HandleEvents(Link& aLink, std::uint32_t aEvents) -> void
{
  const auto now = Clock::now();
  auto ok = true;
  if (aLink.mState == LinkState::Connecting && (aEvents & EPOLLOUT) != 0) {
    auto error = 0;
    socklen_t size = sizeof(error);
    getsockopt(aLink.mFd.Value(), SOL_SOCKET, SO_ERROR, &error, &size);
    ok = error == 0;
    if (ok) {
      aLink.mState = LinkState::Open;
      aLink.mLastReceivedAt = now;
    }
  }
  if (ok && (aEvents & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
    std::string bytes;
    ok = ReadInto(aLink.mFd.Value(), bytes);
    if (!bytes.empty()) {
      aLink.mLastReceivedAt = now;
      aLink.mBackoff = Duration::zero();
    }
  }
  if (ok && aLink.mState == LinkState::Open) {
    ok = Flush(aLink);
  }
  if (!ok) {
    Close(aLink, now);
    return;
  }
  WatchLink(aLink);
}

auto Transport::Impl::MaintainLink(Link& aLink, TimePoint aNow) -> void
{
  if (aLink.mState == LinkState::Closed) {
    if (!aLink.mQueue.empty() && aNow >= aLink.mRetryAt) {
      Connect(aLink, aNow);
    }
    return;
  }
  if (aNow - aLink.mLastReceivedAt >= mOptions.mUnresponsiveTimeout) {
    mUnresponsive.Add();
    Close(aLink, aNow);
  } else if (aNow - aLink.mLastQueuedAt >= mOptions.mIdleTimeout) {
    Close(aLink, aNow);
  } else if (aLink.mState == LinkState::Open && aNow >= aLink.mKeepaliveAt) {
    aLink.mKeepaliveAt = aNow + mOptions.mKeepaliveInterval;
    aLink.mQueue.push_back(AddLengthPrefix({}));
    aLink.mQueuedBytes += aLink.mQueue.back().size();
    WatchLink(aLink);
  }
}

auto Transport::Impl::Maintain(TimePoint aNow) -> void
{
  absl::MutexLock lock(&mMutex);
  for (auto& [host, link] : mLinks) {
    MaintainLink(link, aNow);
    if (link.mState == LinkState::Open && !link.mQueue.empty()) {
      HandleEvents(link, 0);
    }
  }
}

auto Transport::Impl::Run() -> void
{
  std::array<epoll_event, 64> events{};
  while (!mStop) {
    const auto count = epoll_wait(
      mEpoll.Value(), events.data(), events.size(), kPollInterval.count());
    for (auto index = 0; index < count; ++index) {
      const auto fd = events.at(index).data.fd;
      const auto flags = events.at(index).events;
      if (fd == mListen.Value()) {
        Accept();
      } else if (fd == mWake.Value()) {
        std::uint64_t value = 0;
        static_cast<void>(read(fd, &value, sizeof(value)) > 0);
      } else if (mIncoming.contains(fd)) {
        Receive(fd, flags);
      } else {
        absl::MutexLock lock(&mMutex);
        for (auto& [host, link] : mLinks) {
          if (link.mFd.Value() == fd) {
            HandleEvents(link, flags);
          }
        }
      }
    }
    Maintain(Clock::now());
  }
}

Transport::Transport(TransportOptions aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aOptions)))
{
}

Transport::~Transport()
{
  Stop();
}

auto Transport::SetHandler(Message aType, FrameHandler aHandler) -> void
{
  mImpl->mHandlers[aType] = std::move(aHandler);
}

auto Transport::Start() -> Result<void, std::string>
{
  auto listening = mImpl->Listen();
  if (listening) {
    mImpl->mThread = Thread("peer", [this] { mImpl->Run(); });
  }
  return listening;
}

auto Transport::Stop() -> void
{
  mImpl->mStop = true;
  mImpl->Wake();
  mImpl->mThread.Join();
  mImpl->mIncoming.clear();
  mImpl->mListen.Reset();
  absl::MutexLock lock(&mImpl->mMutex);
  mImpl->mLinks.clear();
}

auto Transport::Address() const -> std::string
{
  return mImpl->mAddress;
}

auto Transport::SetPeer(const std::string& aHost, const std::string& aAddress)
  -> void
{
  const auto address = ParseAddress(aAddress);
  if (!address) {
    LogEvent(Severity::Warn,
             "peer_address_malformed",
             { { "host", aHost }, { "address", aAddress } });
    return;
  }
  absl::MutexLock lock(&mImpl->mMutex);
  auto& link = mImpl->mLinks[aHost];
  if (FormatAddress(link.mAddress) != FormatAddress(*address)) {
    link = Link();
    link.mAddress = *address;
  }
}

auto Transport::RemovePeer(const std::string& aHost) -> void
{
  absl::MutexLock lock(&mImpl->mMutex);
  mImpl->mLinks.erase(aHost);
}

auto Transport::Send(const std::string& aHost, std::string aFrame) -> bool
{
  {
    absl::MutexLock lock(&mImpl->mMutex);
    const auto found = mImpl->mLinks.find(aHost);
    if (found == mImpl->mLinks.end()) {
      return false;
    }
    auto& link = found->second;
    if (link.mQueuedBytes + aFrame.size() > mImpl->mOptions.mQueueBytes) {
      mImpl->mDropped.Add();
      return false;
    }
    link.mQueuedBytes += aFrame.size();
    link.mQueue.push_back(std::move(aFrame));
    link.mLastQueuedAt = Clock::now();
  }
  mImpl->Wake();
  return true;
}

auto Transport::Connected(const std::string& aHost) const -> bool
{
  absl::MutexLock lock(&mImpl->mMutex);
  const auto found = mImpl->mLinks.find(aHost);
  return found != mImpl->mLinks.end() &&
         found->second.mState == LinkState::Open;
}

} // namespace mangovalve::peer
