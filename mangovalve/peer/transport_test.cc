// Tests of the transport over loopback sockets. Waits have no timeout, so that
// no result depends on the machine's speed: a test ends when the event occurs.
#include "mangovalve/peer/transport.h"

#include <atomic>

#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mangovalve/peer/frame.h"

namespace mangovalve::peer {
namespace {

auto Options(const std::string& aHost) -> TransportOptions
{
  TransportOptions options;
  options.mHost = aHost;
  options.mListenAddress = "127.0.0.1:0";
  options.mUnresponsiveTimeout = std::chrono::milliseconds(200);
  options.mKeepaliveInterval = std::chrono::milliseconds(50);
  return options;
}

auto HeartbeatFrame(const std::string& aFrom, std::uint64_t aSequence)
  -> std::string
{
  flatbuffers::FlatBufferBuilder builder;
  const ProcessId process(1, 2);
  return Encode(
    aFrom, builder, CreateHeartbeat(builder, &process, aSequence, 9));
}

// A listening socket whose connections get no replies.
struct UnresponsivePeer
{
  int mFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in mAddress{};

  UnresponsivePeer()
  {
    mAddress.sin_family = AF_INET;
    mAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(mAddress);
    static_cast<void>(bind(mFd, reinterpret_cast<sockaddr*>(&mAddress), size));
    listen(mFd, 16);
    getsockname(mFd, reinterpret_cast<sockaddr*>(&mAddress), &size);
  }
  ~UnresponsivePeer() { close(mFd); }
  auto Address() const -> std::string
  {
    return "127.0.0.1:" + std::to_string(ntohs(mAddress.sin_port));
  }
};

TEST_CASE("frames reach the handler of their type")
{
  Transport first(Options("a"));
  Transport second(Options("b"));
  absl::Notification arrived;
  std::atomic<std::uint64_t> sequence{ 0 };
  second.SetHandler(Message::Heartbeat, [&](const Frame& aFrame) {
    sequence = aFrame.message_as_Heartbeat()->sequence();
    if (aFrame.from()->str() == "a" && !arrived.HasBeenNotified()) {
      arrived.Notify();
    }
  });
  REQUIRE(first.Start());
  REQUIRE(second.Start());
  first.SetPeer("b", second.Address());
  CHECK_FALSE(first.Send("unknown", HeartbeatFrame("a", 1)));
  CHECK(first.Send("b", HeartbeatFrame("a", 42)));
  arrived.WaitForNotification();
  CHECK(sequence == 42);
}

// Guards against a connection that stays open forever after its peer became
// unresponsive. It must be closed and opened again.
TEST_CASE("an unresponsive connection is closed and reopened")
{
  UnresponsivePeer unresponsive;
  Transport first(Options("a"));
  REQUIRE(first.Start());
  first.SetPeer("b", unresponsive.Address());
  CHECK(first.Send("b", HeartbeatFrame("a", 1)));
  const auto accepted = accept(unresponsive.mFd, nullptr, nullptr);
  REQUIRE(accepted >= 0);
  // Only the transport can end the stream, by closing it.
  char bytes[4096];
  while (recv(accepted, bytes, sizeof(bytes), 0) > 0) {
  }
  close(accepted);
  CHECK(first.Send("b", HeartbeatFrame("a", 2)));
  const auto again = accept(unresponsive.mFd, nullptr, nullptr);
  CHECK(again >= 0);
  close(again);
}

// Guards against unbounded memory while a peer does not read.
TEST_CASE("a full queue drops frames and does not block")
{
  auto options = Options("a");
  options.mQueueBytes = 10000;
  Transport first(options);
  REQUIRE(first.Start());
  first.SetPeer("b", "127.0.0.1:1");
  auto queued = 0;
  for (auto index = 0; index < 1000; ++index) {
    queued += first.Send("b", HeartbeatFrame("a", 1)) ? 1 : 0;
  }
  CHECK(queued > 0);
  CHECK(queued < 1000);
}

// Guards against malformed input that reaches a handler or ends the process.
TEST_CASE("a malformed frame closes its connection; other peers are served")
{
  Transport server(Options("b"));
  Transport client(Options("a"));
  absl::Notification arrived;
  server.SetHandler(Message::Heartbeat,
                    [&](const Frame&) { arrived.Notify(); });
  REQUIRE(server.Start());
  REQUIRE(client.Start());
  const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const auto text = server.Address();
  address.sin_port = htons(
    static_cast<std::uint16_t>(std::stoi(text.substr(text.rfind(':') + 1))));
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0);
  const auto garbage = AddLengthPrefix("this is no frame at all, only text");
  REQUIRE(send(fd, garbage.data(), garbage.size(), MSG_NOSIGNAL) > 0);
  char byte = 0;
  CHECK(recv(fd, &byte, 1, 0) <= 0);
  close(fd);
  client.SetPeer("b", server.Address());
  CHECK(client.Send("b", HeartbeatFrame("a", 1)));
  arrived.WaitForNotification();
}

} // namespace
} // namespace mangovalve::peer
