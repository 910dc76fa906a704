// limits_cost: what rates and membership cost a daemon. Times are measured on
// this machine and have no bounds; bytes are sizes of real frames times the
// number of messages that the settings lead to.
#include <chrono>

#include <absl/strings/str_format.h>

#include "bench/scenarios.h"
#include "mangovalve/limits/fake_fleet.h"
#include "mangovalve/limits/wire.h"
#include "mangovalve/peer/frame.h"

namespace mangovalve::bench {
namespace {

using namespace std::chrono_literals;
using namespace mangovalve::fake;

// Seconds of one call, as the average of many.
template<typename Body>
auto SecondsPerCall(int aCalls, Body aBody) -> double
{
  const auto start = Clock::now();
  for (auto index = 0; index < aCalls; ++index) {
    aBody(index);
  }
  return std::chrono::duration<double>(Clock::now() - start).count() / aCalls;
}

struct Cost
{
  double mRenewalSeconds = 0; // seconds at the owner
  double mToken = 0;          // seconds at the holder
};

auto Measure(int aTeams, int aHosts) -> Cost
{
  MemberState members;
  Document document;
  document.mRevision = 1;
  document.mDomains["d0"];
  for (auto index = 0; index < aHosts; ++index) {
    const auto name = absl::StrFormat("host-%03d", index);
    members.mMembers[name] = { name, "d0", "r", "", "", {}, 1, {}, 0, {} };
  }
  for (auto index = 0; index < aTeams; ++index) {
    const auto name = absl::StrFormat("team-%03d", index);
    document.mTeams[name] = { name, 1e6, 1e6 };
  }
  ShareHistory history;
  AddRevision(history, document);
  LimitNode node;
  auto view = BuildView("host-000", "d0", "r", members, history);
  view.mOwnedGroups = 0xffff;
  view.mRoleDeadline = TimePoint::max();
  SetView(node, view, TimePoint(1s));
  Cost cost;
  cost.mRenewalSeconds = SecondsPerCall(20000, [&](int aIndex) {
    const auto now = TimePoint(2s) + aIndex * 65ms;
    static_cast<void>(OnLeaseRequest(node.mOwner,
                                     node.mView,
                                     node.mSettings,
                                     node.mView.mHolderCandidates[0].front(),
                                     { 1, 1 },
                                     now));
  });
  cost.mToken = SecondsPerCall(20000, [&](int aIndex) {
    ClientOutput output;
    TokenDemand demand;
    demand.mId = static_cast<std::uint64_t>(aIndex);
    demand.mTeam = absl::StrFormat("team-%03d", aIndex % aTeams);
    demand.mWait = 300ms;
    Deliver(node,
            "host-001",
            TokenRequest{ { demand } },
            TimePoint(10000s) + aIndex * 100us,
            output);
  });
  return cost;
}

// Bytes of a message on the wire, with the headers of one TCP segment.
auto WireBytes(const LimitMessage& aMessage) -> double
{
  constexpr auto kHeaders = 52.0; // IPv4, and TCP with timestamps
  return static_cast<double>(EncodeLimitMessage("host-000", aMessage).size()) +
         kHeaders;
}

auto HeartbeatBytes() -> double
{
  flatbuffers::FlatBufferBuilder builder;
  const peer::ProcessId process(1, 2);
  const auto beat =
    peer::Encode("host-000",
                 builder,
                 peer::CreateHeartbeat(builder, &process, 9, 9, 9, false, 9));
  flatbuffers::FlatBufferBuilder other;
  const auto ack = peer::Encode(
    "host-000", other, peer::CreateHeartbeatAck(other, 9, 9, 9, 9, false));
  return static_cast<double>(beat.size() + ack.size()) + 2 * 52.0;
}

auto BytesPerSecond(Report& aReport,
                    const std::string& aLabel,
                    double aHosts,
                    double aDomains,
                    double aRegions,
                    double aRequests,
                    const LimitSettings& aLimits,
                    const FailureDetectorSettings& aContact) -> double
{
  const auto seconds = [](Duration aTime) {
    return std::chrono::duration<double>(aTime).count();
  };
  const auto pairs = kGroups * aDomains / aHosts; // renewals of one daemon
  const auto lease = WireBytes(LeaseRequest{ 9, 1 }) +
                     WireBytes(LeaseGrant{ 9, 1, 9, 9, 200ms, {} });
  const auto renewals = pairs * lease / seconds(aLimits.mRenewalInterval);
  const auto watched = std::min<double>(
    static_cast<double>(aContact.mMonitoredPeers), aHosts / aDomains - 1);
  const auto beats =
    watched * HeartbeatBytes() / seconds(aContact.mHeartbeatInterval);
  const auto token =
    WireBytes(TokenRequest{ { { 9, "team-000", 1, 300ms, 1 } } }) +
    WireBytes(
      TokenGrant{ 1, { { 9, TokenStatus::Granted, 20ms, {}, 0, {} } } });
  const auto tokens = aRequests / aHosts * token * (1 - aRegions / aHosts);
  aReport.Figure(aLabel + "_renewal_bytes_per_s", renewals);
  aReport.Figure(aLabel + "_heartbeat_bytes_per_s", beats);
  aReport.Figure(aLabel + "_token_bytes_per_s_without_prefetch", tokens);
  aReport.Figure(aLabel + "_control_bytes_per_s", renewals + beats);
  return renewals + beats;
}

const Registration kLimitsCost("limits_cost", [](Report& aReport) {
  const auto small = Measure(16, 9);
  const auto large = Measure(260, 45);
  aReport.Figure("renewal_us_16_teams", small.mRenewalSeconds * 1e6);
  aReport.Figure("renewal_us_260_teams", large.mRenewalSeconds * 1e6);
  aReport.Figure("renewal_slope_us_per_team",
                 (large.mRenewalSeconds - small.mRenewalSeconds) * 1e6 / 244);
  aReport.Figure("token_us_16_teams", small.mToken * 1e6);
  aReport.Figure("token_us_260_teams", large.mToken * 1e6);
  aReport.Figure("token_slope_us_per_team",
                 (large.mToken - small.mToken) * 1e6 / 244);
  const LimitSettings limits;
  const FailureDetectorSettings contact;
  BytesPerSecond(aReport, "hosts9", 9, 3, 1, 400, limits, contact);
  BytesPerSecond(aReport, "hosts90", 90, 6, 2, 8000, limits, contact);
  BytesPerSecond(aReport, "hosts360", 360, 16, 8, 32000, limits, contact);
  auto slowLimits = limits;
  slowLimits.mRenewalInterval = 150ms;
  auto slowContact = contact;
  slowContact.mHeartbeatInterval = 150ms;
  slowContact.mMonitoredPeers = 1;
  BytesPerSecond(
    aReport, "hosts360_slow", 360, 16, 8, 32000, slowLimits, slowContact);
});

} // namespace
} // namespace mangovalve::bench
