// A TCP proxy on loopback that delays or drops what a server answers.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "mangovalve/loop/asio.h"

namespace mangovalve::review {

class Proxy
{
public:
  Proxy(asio::io_context& aLoop, std::string aServer);

  auto Listen(const std::string& aAddress) -> ErrorCode;

  // Resets all open connections.
  auto Reset() -> void;

  // The connection of a call whose first bytes contain this text gets nothing
  // more from the server: the call is done and its answer is lost. Empty: all
  // answers pass.
  std::string mLoseAnswersOf;
  std::uint64_t mLost = 0; // answers
  // No connection carries a byte in either direction; new ones are accepted.
  bool mSilent = false;

private:
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;

  auto Accept() -> Task<>;
  auto Open(LinkPtr aLink) -> Task<>;
  auto Forward(LinkPtr aLink, bool aToServer) -> Task<>;

  asio::io_context& mLoop;
  std::string mServer;
  Tcp::acceptor mAcceptor;
  std::set<LinkPtr> mLinks;
};

} // namespace mangovalve::review
