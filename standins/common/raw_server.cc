// A server that answers with any bytes.
#include "standins/common/raw_server.h"

#include "mangovalve/loop/http_client.h"

namespace mangovalve::standin {

RawServer::RawServer(asio::io_context& aLoop, Behavior aBehavior)
  : mLoop(aLoop)
  , mBehavior(std::move(aBehavior))
  , mAcceptor(aLoop)
{
}

auto RawServer::Listen(const std::string& aAddress) -> ErrorCode
{
  mAddress = aAddress;
  const auto address = ParseAddress(aAddress);
  if (!address) {
    return address.error();
  }
  ErrorCode error;
  mAcceptor.open(address->protocol(), error);
  if (!error) {
    mAcceptor.bind(*address, error);
  }
  if (!error) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) {
    Spawn(mLoop, Accept());
  }
  return error;
}

auto RawServer::Accept() -> Task<>
{
  for (;;) {
    ErrorCode error;
    auto socket = co_await mAcceptor.async_accept(CaptureError(error));
    if (error) {
      co_return;
    }
    Spawn(mLoop, Serve(std::move(socket)));
  }
}

auto RawServer::Serve(Tcp::socket aSocket) -> Task<>
{
  ++mOpen;
  beast::flat_buffer buffer;
  ErrorCode error;
  while (!error) {
    Request request;
    co_await http::async_read(aSocket, buffer, request, CaptureError(error));
    if (!error) {
      ++mRequests;
      co_await mBehavior(*this, aSocket, request);
    }
  }
  --mOpen;
}

auto RawServer::Send(Tcp::socket& aSocket, std::string aBytes) -> Task<bool>
{
  ErrorCode error;
  mBytesSent += co_await asio::async_write(
    aSocket, asio::buffer(aBytes), CaptureError(error));
  co_return !error;
}

auto RawServer::SendForever(Tcp::socket& aSocket,
                            std::string aBytes,
                            Duration aPause) -> Task<>
{
  for (auto open = true; open;) {
    auto copy = aBytes;
    open = co_await Send(aSocket, std::move(copy));
    co_await SleepUntil(Clock::now() + aPause);
  }
}

} // namespace mangovalve::standin
