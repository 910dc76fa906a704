// A TCP proxy on loopback that delays or drops what a server answers.
#include "review/common/proxy.h"

#include <array>

#include "mangovalve/loop/http_client.h"

namespace mangovalve::review {
namespace {

constexpr std::size_t kReadBytes = 16UL << 10U;
constexpr auto kSilentPoll = std::chrono::milliseconds(20);

} // namespace

struct Proxy::Link
{
  explicit Link(asio::io_context& aLoop)
    : mClient(aLoop)
    , mServer(aLoop)
  {
  }

  Tcp::socket mClient;
  Tcp::socket mServer;
  bool mLost = false; // nothing more passes to the client

  auto Close() -> void
  {
    ErrorCode ignored; // the sockets are closed either way
    mClient.close(ignored);
    mServer.close(ignored);
  }
};

Proxy::Proxy(asio::io_context& aLoop, std::string aServer)
  : mLoop(aLoop)
  , mServer(std::move(aServer))
  , mAcceptor(aLoop)
{
}

auto Proxy::Listen(const std::string& aAddress) -> ErrorCode
{
  ErrorCode error;
  const auto endpoint = ParseAddress(aAddress);
  if (!endpoint) {
    return endpoint.error();
  }
  mAcceptor.open(endpoint->protocol(), error);
  mAcceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  mAcceptor.bind(*endpoint, error);
  if (!error) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) {
    Spawn(mLoop, Accept());
  }
  return error;
}

auto Proxy::Reset() -> void
{
  for (const auto& link : mLinks) {
    ErrorCode ignored; // the socket is closed either way
    link->mClient.set_option(asio::socket_base::linger(true, 0), ignored);
    link->Close();
  }
}

auto Proxy::Accept() -> Task<>
{
  for (;;) {
    ErrorCode error;
    auto socket = co_await mAcceptor.async_accept(CaptureError(error));
    if (error) {
      co_return;
    }
    auto link = std::make_shared<Link>(mLoop);
    link->mClient = std::move(socket);
    mLinks.insert(link);
    Spawn(mLoop, Open(std::move(link)));
  }
}

auto Proxy::Open(LinkPtr aLink) -> Task<>
{
  ErrorCode error;
  const auto endpoint = ParseAddress(mServer);
  co_await aLink->mServer.async_connect(*endpoint, CaptureError(error));
  if (error) {
    aLink->Close();
    mLinks.erase(aLink);
    co_return;
  }
  aLink->mClient.set_option(Tcp::no_delay(true), error);
  aLink->mServer.set_option(Tcp::no_delay(true), error);
  Spawn(mLoop, Forward(aLink, true));
  co_await Forward(aLink, false);
  mLinks.erase(aLink);
}

auto Proxy::Forward(LinkPtr aLink, bool aToServer) -> Task<>
{
  auto& from = aToServer ? aLink->mClient : aLink->mServer;
  auto& to = aToServer ? aLink->mServer : aLink->mClient;
  std::array<char, kReadBytes> bytes{};
  for (;;) {
    ErrorCode error;
    const auto count =
      co_await from.async_read_some(asio::buffer(bytes), CaptureError(error));
    if (error) {
      break;
    }
    while (mSilent && to.is_open()) {
      co_await SleepUntil(Clock::now() + kSilentPoll);
    }
    const std::string_view text(bytes.data(), count);
    if (aToServer && !mLoseAnswersOf.empty() &&
        text.find(mLoseAnswersOf) != std::string_view::npos) {
      aLink->mLost = true;
      ++mLost;
    }
    if (!aToServer && aLink->mLost) {
      continue;
    }
    co_await asio::async_write(
      to, asio::buffer(text.data(), text.size()), CaptureError(error));
    if (error) {
      break;
    }
  }
  if (aToServer || !aLink->mLost) {
    aLink->Close();
  }
}

} // namespace mangovalve::review
