// Addresses on loopback for stand-ins and tests.
#pragma once

#include <string>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <unistd.h>

#include "mangovalve/loop/asio.h"

namespace mangovalve::standin {

// An address "IP:PORT" that no other process takes: each process has an IP of
// its own, and the ports are below those that the system gives to outgoing
// connections.
inline auto FreeAddress() -> std::string
{
  constexpr int kRange = 250;
  constexpr unsigned kFirstPort = 12000;
  constexpr unsigned kPorts = 20000;
  static const auto pid = static_cast<int>(getpid());
  static const auto ip = absl::StrFormat(
    "127.%d.%d.254", 1 + (pid / kRange) % kRange, 1 + pid % kRange);
  static auto next = 0U;
  asio::io_context loop;
  for (;;) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    Tcp::acceptor acceptor(loop, Tcp::v4());
    ErrorCode error;
    acceptor.bind({ asio::ip::make_address(ip), port }, error);
    if (!error) {
      return absl::StrCat(ip, ":", port);
    }
  }
}

} // namespace mangovalve::standin
