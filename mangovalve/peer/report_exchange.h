// Exchange of load reports between daemons, one UDP datagram each.
//
// The interval between reports grows with the number of peers, so that the
// number of datagrams per second that a daemon sends and receives is bounded at
// any fleet size.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "mangovalve/base/time.h"
#include "mangovalve/loop/asio.h"
#include "mangovalve/peer/load_report_generated.h"

namespace mangovalve {

struct ReportPorts
{
  std::function<auto()->wire::LoadReportT> mOwnReport;
  // Addresses, "IP:PORT", of the peers inside or outside this host's failure
  // domain.
  std::function<auto(bool aOwnDomain)->std::vector<std::string>> mPeers;
  // Whether peers of all domains need the report soon, e.g. because a team is
  // near its rate limit.
  std::function<auto()->bool> mUrgent;
  std::function<void(wire::LoadReportT)> mOnReport;
};

// Time between two reports of one daemon to aPeers peers. Other domains get
// reports less often: their endpoints are chosen only when those of the own
// domain are full, and traffic between domains is expensive.
auto ReportInterval(std::size_t aPeers, bool aOwnDomain) -> Duration;

class ReportExchange
{
public:
  // aIncarnation increases with each start of the daemon.
  ReportExchange(asio::io_context& aLoop,
                 ReportPorts aPorts,
                 std::uint64_t aIncarnation);

  // Binds the UDP socket and starts the exchange, which runs until the loop
  // stops.
  auto Start(const std::string& aAddress) -> ErrorCode;

private:
  auto Receive() -> Task<>;
  auto Send(bool aOwnDomain) -> Task<>;
  auto SendToAll(const std::string& aDatagram,
                 const std::vector<std::string>& aPeers) -> void;

  asio::io_context& mLoop;
  ReportPorts mPorts;
  std::uint64_t mIncarnation;
  std::uint64_t mSequence = 0;
  Udp::socket mSocket;
};

} // namespace mangovalve
