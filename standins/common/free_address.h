// Addresses on loopback for stand-ins and tests.
#pragma once

#include <string>

#include <unistd.h>

#include "mangovalve/loop/asio.h"

namespace mangovalve::standin {

// "127.0.0.1:PORT" with a port that was free a moment ago. The ports are below
// those that the system gives to outgoing connections, and each process begins
// at another one, so that nothing else takes a port before it is used.
inline auto FreeAddress() -> std::string
{
  constexpr unsigned kFirstPort = 12000;
  constexpr unsigned kPorts = 20000;
  constexpr unsigned kPortsPerProcess = 61; // coprime to kPorts
  static auto next = static_cast<unsigned>(getpid()) * kPortsPerProcess;
  asio::io_context loop;
  for (;;) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    Tcp::acceptor acceptor(loop, Tcp::v4());
    ErrorCode error;
    acceptor.bind({ asio::ip::make_address("127.0.0.1"), port }, error);
    if (!error) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

} // namespace mangovalve::standin
