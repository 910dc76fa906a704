// Sends this daemon's load report to all peers and takes theirs in, one
// datagram each.
//
// The pause between reports grows with the number of peers, so that a daemon
// sends and gets a bounded number of datagrams a second at any fleet size.
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
  // Addresses, "IP:PORT", of the peers in this host's failure domain, or of all
  // others.
  std::function<auto(bool aOwnDomain)->std::vector<std::string>> mPeers;
  // Whether all must hear soon, e.g. because a team is near its rate.
  std::function<auto()->bool> mUrgent;
  std::function<void(wire::LoadReportT)> mOnReport;
};

// Time between two reports of one daemon to so many peers. Peers of other
// domains hear less often: they are chosen only when the own domain is full,
// and bytes between domains are dear.
auto ReportInterval(std::size_t aPeers, bool aOwnDomain) -> Duration;

class ReportExchange
{
public:
  // aIncarnation grows with each start of the daemon.
  ReportExchange(asio::io_context& aLoop,
                 ReportPorts aPorts,
                 std::uint64_t aIncarnation);

  // Binds the datagram socket and runs until the loop stops.
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
