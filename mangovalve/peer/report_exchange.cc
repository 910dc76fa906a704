// Exchange of load reports and domain summaries over UDP.
#include "mangovalve/peer/report_exchange.h"

#include <algorithm>
#include <array>

#include "mangovalve/loop/http_client.h"
#include "mangovalve/telemetry/counters.h"

namespace mangovalve {
namespace {

// Shortest interval: several times the network delay between domains, but short
// compared with a latency objective of 300 ms.
constexpr auto kMinInterval = std::chrono::milliseconds(60);

// Interval per peer of the own domain. It limits a daemon to 400 datagrams per
// second, about 0.4% of a core.
constexpr auto kIntervalPerPeer = std::chrono::microseconds(2500);

// The same for the hosts of another domain, up to a maximum interval: a domain
// without a summary for 1.5 s counts as unresponsive.
constexpr auto kIntervalPerRemoteHost = std::chrono::milliseconds(18);
constexpr auto kMaxSummaryInterval = std::chrono::milliseconds(500);

// Interval at which a host that sends no summaries checks whether it must take
// over from a gateway that has failed.
constexpr auto kGatewayCheckInterval = std::chrono::milliseconds(200);

// Maximum interval while the report is urgent.
constexpr auto kUrgentInterval = std::chrono::milliseconds(150);

// Interval of unchanged reports, which only show that the daemon is running.
constexpr auto kUnchangedInterval = std::chrono::milliseconds(400);

// Largest payload of a UDP datagram over IPv4.
constexpr std::size_t kMaxDatagramBytes = 65507;

auto Bytes(const flatbuffers::FlatBufferBuilder& aBuilder) -> std::string
{
  return { reinterpret_cast<const char*>(aBuilder.GetBufferPointer()),
           aBuilder.GetSize() };
}

auto Pack(const wire::LoadReportT& aReport) -> std::string
{
  flatbuffers::FlatBufferBuilder builder;
  wire::FinishLoadReportBuffer(builder,
                               wire::LoadReport::Pack(builder, &aReport));
  return Bytes(builder);
}

auto Pack(const wire::DomainSummaryT& aSummary) -> std::string
{
  flatbuffers::FlatBufferBuilder builder;
  wire::FinishDomainSummaryBuffer(
    builder, wire::DomainSummary::Pack(builder, &aSummary));
  return Bytes(builder);
}

auto CountSent(const char* aKind, std::size_t aReceivers, std::size_t aBytes)
  -> void
{
  const auto datagrams = static_cast<std::int64_t>(aReceivers);
  FindCounter("mangovalve_peer_datagrams_total", { { "kind", aKind } })
    .Add(datagrams);
  FindCounter("mangovalve_peer_bytes_total", { { "kind", aKind } })
    .Add(datagrams * static_cast<std::int64_t>(aBytes));
}

} // namespace

auto ReportInterval(std::size_t aPeers) -> Duration
{
  return std::max<Duration>(kMinInterval,
                            kIntervalPerPeer * static_cast<int>(aPeers));
}

auto SummaryInterval(std::size_t aHosts) -> Duration
{
  return std::clamp<Duration>(kIntervalPerRemoteHost * static_cast<int>(aHosts),
                              kMinInterval,
                              kMaxSummaryInterval);
}

auto ComparableBytes(wire::LoadReportT aReport) -> std::string
{
  if (aReport.evidence) {
    auto& evidence = *aReport.evidence;
    for (auto& run : evidence.runs) {
      run->age_ms = 0;
    }
    for (auto& start : evidence.starts) {
      start = wire::PartStart(start.part(), 0);
    }
    evidence.quarantines.clear();
    if (evidence.runs.empty() && evidence.starts.empty()) {
      aReport.evidence.reset();
    }
  }
  for (auto& limit : aReport.limits) {
    limit = wire::EndpointLimit(limit.endpoint(), limit.rate(), 0);
  }
  return Pack(aReport);
}

ReportExchange::ReportExchange(asio::io_context& aLoop,
                               ReportPorts aPorts,
                               std::uint64_t aIncarnation)
  : mLoop(aLoop)
  , mPorts(std::move(aPorts))
  , mIncarnation(aIncarnation)
  , mSocket(aLoop)
{
}

auto ReportExchange::Start(const std::string& aAddress) -> ErrorCode
{
  const auto address = ParseAddress(aAddress);
  if (!address) {
    return address.error();
  }
  ErrorCode error;
  mSocket.open(Udp::v4(), error);
  if (!error) {
    mSocket.bind(Udp::endpoint(address->address(), address->port()), error);
  }
  if (!error) {
    mSocket.non_blocking(true, error);
  }
  if (!error) {
    Spawn(mLoop, Receive());
    Spawn(mLoop, SendReports());
    Spawn(mLoop, SendSummaries());
  }
  return error;
}

auto ReportExchange::Receive() -> Task<>
{
  std::vector<std::uint8_t> buffer(kMaxDatagramBytes);
  for (;;) {
    Udp::endpoint from;
    ErrorCode error;
    const auto size = co_await mSocket.async_receive_from(
      asio::buffer(buffer), from, CaptureError(error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    // Other errors report the closed port of a peer, caused by an earlier send.
    if (error) {
      continue;
    }
    flatbuffers::Verifier verifier(buffer.data(), size);
    if (wire::VerifyLoadReportBuffer(verifier)) {
      wire::LoadReportT report;
      wire::GetLoadReport(buffer.data())->UnPackTo(&report);
      mPorts.mOnReport(std::move(report));
      continue;
    }
    flatbuffers::Verifier summaryVerifier(buffer.data(), size);
    if (wire::VerifyDomainSummaryBuffer(summaryVerifier)) {
      wire::DomainSummaryT summary;
      wire::GetDomainSummary(buffer.data())->UnPackTo(&summary);
      mPorts.mOnSummary(std::move(summary));
    }
  }
}

auto ReportExchange::SendToAll(const std::string& aDatagram,
                               const std::vector<std::string>& aPeers) -> void
{
  for (const auto& peer : aPeers) {
    const auto address = ParseAddress(peer);
    if (!address) {
      continue;
    }
    ErrorCode ignored; // the next datagram replaces a dropped one
    mSocket.send_to(asio::buffer(aDatagram),
                    Udp::endpoint(address->address(), address->port()),
                    0,
                    ignored);
  }
}

auto ReportExchange::SendReports() -> Task<>
{
  std::string last;
  TimePoint lastSent{};
  for (;;) {
    auto report = mPorts.mOwnReport();
    report.incarnation = mIncarnation;
    auto packed = ComparableBytes(report);
    const auto now = Clock::now();
    const auto peers = mPorts.mDomainPeers();
    if (packed != last || now >= lastSent + kUnchangedInterval) {
      last = std::move(packed);
      lastSent = now;
      report.sequence = ++mSequence;
      const auto datagram = Pack(report);
      SendToAll(datagram, peers);
      CountSent("report", peers.size(), datagram.size());
    }
    auto interval = ReportInterval(peers.size());
    if (mPorts.mUrgent()) {
      interval = std::min<Duration>(interval, kUrgentInterval);
    }
    co_await SleepUntil(now + interval);
  }
}

auto ReportExchange::SendSummaries() -> Task<>
{
  for (;;) {
    const auto now = Clock::now();
    const auto targets = mPorts.mSummaryTargets();
    Duration interval = kGatewayCheckInterval;
    if (!targets.empty()) {
      auto summary = mPorts.mOwnSummary();
      summary.incarnation = mIncarnation;
      summary.sequence = ++mSequence;
      const auto datagram = Pack(summary);
      std::size_t largest = 0;
      for (const auto& hosts : targets) {
        SendToAll(datagram, hosts);
        CountSent("summary", hosts.size(), datagram.size());
        largest = std::max(largest, hosts.size());
      }
      interval = SummaryInterval(largest);
      if (mPorts.mUrgent()) {
        interval = std::min<Duration>(interval, kUrgentInterval);
      }
    }
    co_await SleepUntil(now + interval);
  }
}

} // namespace mangovalve
