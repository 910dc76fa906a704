// Exchange of load reports between daemons over UDP.
#include "mangovalve/peer/report_exchange.h"

#include <algorithm>
#include <array>

#include "mangovalve/loop/http_client.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

// Shortest interval: several times the network delay between domains, but short
// compared with a latency objective of 300 ms.
constexpr auto kMinInterval = std::chrono::milliseconds(60);

// Interval per peer of the own domain. It limits a daemon to 400 datagrams per
// second, about 0.4% of a core.
constexpr auto kIntervalPerPeer = std::chrono::microseconds(2500);

// The same for peers of other domains, up to a maximum interval: a peer without
// a report for 1.5 s counts as unresponsive.
constexpr auto kIntervalPerRemotePeer = std::chrono::milliseconds(12);
constexpr auto kMaxRemoteInterval = std::chrono::milliseconds(700);

// Maximum interval while the report is urgent.
constexpr auto kUrgentInterval = std::chrono::milliseconds(150);

// Interval of unchanged reports, which only show that the daemon is running.
constexpr auto kUnchangedInterval = std::chrono::milliseconds(400);

// Largest payload of a UDP datagram over IPv4.
constexpr std::size_t kMaxDatagramBytes = 65507;

auto Pack(const wire::LoadReportT& aReport) -> std::string
{
  flatbuffers::FlatBufferBuilder builder;
  wire::FinishLoadReportBuffer(builder,
                               wire::LoadReport::Pack(builder, &aReport));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

} // namespace

auto ReportInterval(std::size_t aPeers, bool aOwnDomain) -> Duration
{
  const auto count = static_cast<int>(aPeers);
  if (aOwnDomain) {
    return std::max<Duration>(kMinInterval, kIntervalPerPeer * count);
  }
  return std::clamp<Duration>(
    kIntervalPerRemotePeer * count, kMinInterval, kMaxRemoteInterval);
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
    Spawn(mLoop, Send(true));
    Spawn(mLoop, Send(false));
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
    flatbuffers::Verifier verifier(buffer.data(), size);
    if (error || !wire::VerifyLoadReportBuffer(verifier)) {
      continue;
    }
    wire::LoadReportT report;
    wire::GetLoadReport(buffer.data())->UnPackTo(&report);
    mPorts.mOnReport(std::move(report));
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

auto ReportExchange::Send(bool aOwnDomain) -> Task<>
{
  std::string last;
  TimePoint lastSent{};
  for (;;) {
    auto report = mPorts.mOwnReport();
    report.incarnation = mIncarnation;
    auto packed = Pack(report);
    const auto now = Clock::now();
    const auto peers = mPorts.mPeers(aOwnDomain);
    if (packed != last || now >= lastSent + kUnchangedInterval) {
      last = std::move(packed);
      lastSent = now;
      report.sequence = ++mSequence;
      SendToAll(Pack(report), peers);
    }
    auto interval = ReportInterval(peers.size(), aOwnDomain);
    if (mPorts.mUrgent()) {
      interval = std::min<Duration>(interval, kUrgentInterval);
    }
    co_await SleepUntil(now + interval);
  }
}

} // namespace mangovalve
