// A withdrawn key: how long after the withdrawal was accepted a host still
// admits requests with it, on connections that stay open.
#include <algorithm>

#include <absl/strings/str_format.h>

#include "bench/config_fleet.h"
#include "bench/scenarios.h"
#include "mangovalve/keys/keys.h"

namespace mangovalve::bench {
namespace {

constexpr double kTarget = 3; // seconds
constexpr std::chrono::milliseconds kRequestInterval{ 10 };
constexpr std::chrono::seconds kConnectionLife{ 60 }; // of the baseline

// One caller on each host, who sends a request every kRequestInterval.
struct Callers
{
  ConfigFleet& mFleet;
  std::vector<TimePoint> mLastAdmitted;
  std::vector<TimePoint> mLastAdmittedBaseline;
  // Baseline: the key is checked when a connection opens.
  std::vector<TimePoint> mConnectedAt;
  std::vector<bool> mConnectionAdmitted;
};

auto Request(Callers& aCallers, std::size_t aHost) -> void
{
  auto& fleet = aCallers.mFleet;
  const auto now = fleet.Now();
  const auto document = fleet.Replica(aHost).CurrentDocument();
  const auto admitted = FindKey(*document, "key-3") != nullptr;
  if (admitted) {
    aCallers.mLastAdmitted[aHost] = now;
  }
  if (now - aCallers.mConnectedAt[aHost] >= kConnectionLife) {
    aCallers.mConnectedAt[aHost] = now;
    aCallers.mConnectionAdmitted[aHost] = admitted;
  }
  if (aCallers.mConnectionAdmitted[aHost]) {
    aCallers.mLastAdmittedBaseline[aHost] = now;
  }
  fleet.At(now + kRequestInterval,
           [&aCallers, aHost] { Request(aCallers, aHost); });
}

auto Latest(const std::vector<TimePoint>& aTimes, TimePoint aSince) -> double
{
  const auto latest = *std::max_element(aTimes.begin(), aTimes.end());
  return std::max(Seconds(latest - aSince), 0.0);
}

auto Run(const FleetOptions& aOptions, Report& aReport) -> void
{
  ConfigFleet fleet(aOptions);
  const auto count = fleet.Hosts();
  Callers callers{ fleet,
                   std::vector<TimePoint>(count),
                   std::vector<TimePoint>(count),
                   std::vector<TimePoint>(count),
                   std::vector<bool>(count) };
  const auto start = fleet.Now();
  fleet.Submit(
    fleet.ReachingHost(),
    [](Document& aDocument) { aDocument = SampleDocument(260); },
    [](const auto&) {});
  fleet.RunUntil(start + std::chrono::seconds(5));
  for (std::size_t i = 0; i < count; ++i) {
    callers.mConnectedAt[i] =
      fleet.Now() - std::chrono::seconds(UniformBelow(fleet.Rng(), 60));
    callers.mConnectionAdmitted[i] = true;
    fleet.At(fleet.Now() +
               std::chrono::microseconds(UniformBelow(fleet.Rng(), 10000)),
             [&callers, i] { Request(callers, i); });
  }
  fleet.At(start + std::chrono::seconds(6), [&fleet] {
    fleet.Submit(
      fleet.ReachingHost(),
      [](Document& aDocument) { aDocument.mKeys.erase(KeyDigest("key-3")); },
      [](const auto&) {});
  });
  fleet.RunUntil(start + std::chrono::seconds(90));
  const auto label = absl::StrFormat(
    "hosts_%d_relayed_%.0f%%", aOptions.mHosts, aOptions.mRelayedShare * 100);
  const auto accepted = fleet.AcceptedAt(2);
  aReport.Check(
    label + "_withdrawal_accepted", accepted ? 1 : 0, Bound::AtLeast, 1);
  if (accepted) {
    aReport.Check(label + "_last_admitted_s",
                  Latest(callers.mLastAdmitted, *accepted),
                  Bound::AtMost,
                  kTarget);
    aReport.Figure(label + "_baseline_per_connection_s",
                   Latest(callers.mLastAdmittedBaseline, *accepted));
  }
}

const Registration kKeyWithdrawal("key_withdrawal", [](Report& aReport) {
  Run({ 9, 0, 0, 1 }, aReport);
  Run({ 9, 0.3, 0.1, 2 }, aReport);
  Run({ 360, 0.3, 0, 3 }, aReport);
});

} // namespace
} // namespace mangovalve::bench
