// Exchange of load reports between the daemons of a failure domain and of
// domain summaries between domains, one UDP datagram each.
//
// The intervals grow with the number of receivers, so that the number of
// datagrams per second that a daemon sends and receives is bounded at any fleet
// size.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "mangovalve/base/time.h"
#include "mangovalve/loop/asio.h"
#include "mangovalve/peer/domain_summary_generated.h"
#include "mangovalve/peer/load_report_generated.h"

namespace mangovalve {

struct ReportPorts
{
  std::function<auto()->wire::LoadReportT> mOwnReport;
  // Addresses, "IP:PORT", of the peers in this host's failure domain.
  std::function<auto()->std::vector<std::string>> mDomainPeers;
  std::function<auto()->wire::DomainSummaryT> mOwnSummary;
  // The hosts of each domain to which this host sends the summary of its own.
  std::function<auto()->std::vector<std::vector<std::string>>> mSummaryTargets;
  // Whether the reports are needed soon, e.g. because a team is near its rate
  // limit.
  std::function<auto()->bool> mUrgent;
  std::function<void(wire::LoadReportT)> mOnReport;
  std::function<void(wire::DomainSummaryT)> mOnSummary;
};

// Time between two reports of a daemon to aPeers peers of its domain.
auto ReportInterval(std::size_t aPeers) -> Duration;

// Time between two summaries of a domain to another domain of aHosts hosts. It
// is longer, because endpoints of other domains are chosen only when those of
// the own domain are full, and traffic between domains is expensive.
auto SummaryInterval(std::size_t aHosts) -> Duration;

// Bytes that differ between two reports if the later one has news. Ages of
// evidence and limits, and quarantines are left out: ages change all the time,
// and a new quarantine comes with the runs that caused it.
auto ComparableBytes(wire::LoadReportT aReport) -> std::string;

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
  auto SendReports() -> Task<>;
  auto SendSummaries() -> Task<>;
  auto SendToAll(const std::string& aDatagram,
                 const std::vector<std::string>& aPeers) -> void;

  asio::io_context& mLoop;
  ReportPorts mPorts;
  std::uint64_t mIncarnation;
  std::uint64_t mSequence = 0;
  Udp::socket mSocket;
};

} // namespace mangovalve
