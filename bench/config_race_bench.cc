// Operators whose submissions race: one winner for each base revision, and the
// time from acceptance until a revision is in force on every host.
#include <algorithm>

#include <absl/strings/str_format.h>

#include "bench/config_fleet.h"
#include "bench/scenarios.h"

namespace mangovalve::bench {
namespace {

constexpr double kTarget = 3; // seconds until in force everywhere
constexpr int kRaces = 40;    // pairs of submissions
constexpr std::chrono::seconds kBetweenRaces{ 4 };
constexpr double kBaselinePoll = 5; // seconds between polls of a host

struct Tally
{
  int mAccepted = 0;
  int mConflicts = 0;
  int mWrongConflicts = 0; // a conflict that does not name a later revision
  int mUnknown = 0;
};

auto Count(Tally& aTally, const std::optional<Verdict>& aVerdict) -> void
{
  if (!aVerdict) {
    ++aTally.mUnknown;
  } else if (aVerdict->mAccepted) {
    ++aTally.mAccepted;
  } else {
    ++aTally.mConflicts;
    aTally.mWrongConflicts += aVerdict->mDetail == 0 ? 1 : 0;
  }
}

auto RunRaces(const FleetOptions& aOptions, Report& aReport) -> void
{
  ConfigFleet fleet(aOptions);
  Tally tally;
  auto start = fleet.Now() + std::chrono::seconds(1);
  fleet.At(start, [&] {
    fleet.Submit(
      fleet.ReachingHost(),
      [](Document& aDocument) { aDocument = SampleDocument(8); },
      [&](const auto& aVerdict) { Count(tally, aVerdict); });
  });
  for (auto i = 0; i < kRaces; ++i) {
    start += kBetweenRaces;
    for (const auto* const team : { "team1", "team2" }) {
      // Both operators act within 50 ms, through different hosts.
      fleet.At(start + std::chrono::milliseconds(UniformBelow(fleet.Rng(), 50)),
               [&fleet, &tally, team, i] {
                 fleet.Submit(
                   fleet.ReachingHost(),
                   [&](Document& aDocument) {
                     aDocument.mTeams[team].mRate = 200 + i;
                   },
                   [&tally](const auto& aVerdict) { Count(tally, aVerdict); });
               });
    }
  }
  fleet.RunUntil(start + std::chrono::seconds(20));
  const auto label = absl::StrFormat("hosts_%d_relayed_%.0f%%_lost_%.0f%%",
                                     aOptions.mHosts,
                                     aOptions.mRelayedShare * 100,
                                     aOptions.mLostShare * 100);
  const auto revisions =
    fleet.Replica(fleet.Hosts() - 1).CurrentDocument()->mRevision;
  aReport.Check(
    label + "_in_force_s", fleet.WorstInForce(), Bound::AtMost, kTarget);
  aReport.Check(label + "_accepted_without_revision",
                static_cast<double>(tally.mAccepted) -
                  static_cast<double>(revisions),
                Bound::AtMost,
                0);
  aReport.Check(label + "_conflicts_without_revision",
                tally.mWrongConflicts,
                Bound::AtMost,
                0);
  aReport.Figure(label + "_accepted", tally.mAccepted);
  aReport.Figure(label + "_conflicts", tally.mConflicts);
  aReport.Figure(label + "_unknown", tally.mUnknown);
}

// Hosts that poll one stored document, which each operator overwrites.
auto RunBaseline(Report& aReport) -> void
{
  Random random{ 7 };
  auto worst = 0.0;
  for (auto change = 0; change < kRaces; ++change) {
    for (auto host = 0; host < 9; ++host) {
      worst = std::max(worst, Uniform(random) * kBaselinePoll);
    }
  }
  aReport.Figure("baseline_poll_in_force_s", worst);
  aReport.Figure("baseline_last_writer_lost_updates", kRaces);
}

const Registration kConfigRace("config_race", [](Report& aReport) {
  RunRaces({ 9, 0, 0, 1 }, aReport);
  RunRaces({ 9, 0.3, 0.1, 2 }, aReport);
  RunRaces({ 36, 0.3, 0.1, 3 }, aReport);
  RunRaces({ 360, 0.3, 0, 4 }, aReport);
  RunBaseline(aReport);
});

} // namespace
} // namespace mangovalve::bench
