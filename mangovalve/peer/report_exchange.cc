// Exchange of load reports by datagrams.
#include "mangovalve/peer/report_exchange.h"

#include <algorithm>
#include <array>

#include "mangovalve/loop/http_client.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

// Shortest pause: a few times the network's delay between domains, and short
// against the 300 ms of a latency objective.
constexpr auto kMinInterval = std::chrono::milliseconds(60);

// Pause for each peer of the own domain: 400 datagrams a second at most, about
// 0.4% of a core.
constexpr auto kIntervalPerPeer = std::chrono::microseconds(2500);

// The same for the peers of other domains, up to a limit: a peer that is not
// heard for 1.5 s counts as silent.
constexpr auto kIntervalPerFarPeer = std::chrono::milliseconds(12);
constexpr auto kMaxFarInterval = std::chrono::milliseconds(700);

// With urgent news, other domains hear at least this often.
constexpr auto kUrgentInterval = std::chrono::milliseconds(150);

// A report that says nothing new is sent this often, as a sign of life.
constexpr auto kQuietInterval = std::chrono::milliseconds(400);

constexpr std::size_t kMaxDatagram = 65507;

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
    kIntervalPerFarPeer * count, kMinInterval, kMaxFarInterval);
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
  std::vector<std::uint8_t> buffer(kMaxDatagram);
  for (;;) {
    Udp::endpoint from;
    ErrorCode error;
    const auto size = co_await mSocket.async_receive_from(
      asio::buffer(buffer), from, CaptureError(error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    // Other errors are a peer's closed port, reported for an earlier send.
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
    ErrorCode ignored; // a lost datagram is made good by the next one
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
    if (packed != last || now >= lastSent + kQuietInterval) {
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
