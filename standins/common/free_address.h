// Addresses on loopback for stand-ins and tests.
#pragma once

#include <string>

#include "mangovalve/loop/asio.h"

namespace mangovalve::standin {

// "127.0.0.1:PORT" with a port that was free a moment ago.
inline auto FreeAddress() -> std::string
{
  asio::io_context loop;
  const Tcp::acceptor acceptor(
    loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace mangovalve::standin
