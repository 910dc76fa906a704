// A server that answers with any bytes, for tests of clients that must bear
// responses outside the protocol.
#pragma once

#include <functional>
#include <string>

#include "mangovalve/loop/asio.h"

namespace mangovalve::standin {

class RawServer
{
public:
  // Answers one request; returns when the connection may be closed.
  using Behavior =
    std::function<auto(RawServer&, Tcp::socket&, const Request&)->Task<>>;

  RawServer(asio::io_context& aLoop, Behavior aBehavior);

  auto Listen(const std::string& aAddress) -> ErrorCode;

  // Sends bytes; false once the client has closed the connection.
  auto Send(Tcp::socket& aSocket, std::string aBytes) -> Task<bool>;

  // Repeats the bytes, with a pause after each, until the client closes.
  auto SendForever(Tcp::socket& aSocket, std::string aBytes, Duration aPause)
    -> Task<>;

  std::string mAddress;
  std::size_t mRequests = 0;
  std::size_t mBytesSent = 0;
  std::size_t mOpen = 0; // connections

private:
  auto Accept() -> Task<>;
  auto Serve(Tcp::socket aSocket) -> Task<>;

  asio::io_context& mLoop;
  Behavior mBehavior;
  Tcp::acceptor mAcceptor;
};

} // namespace mangovalve::standin
