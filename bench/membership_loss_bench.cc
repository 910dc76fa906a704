// membership_loss: the loss of one host in nine, and what moves with it.
#include <absl/strings/str_format.h>

#include "bench/scenarios.h"
#include "mangovalve/limits/fake_fleet.h"
#include "mangovalve/membership/rendezvous.h"

namespace mangovalve::bench {
namespace {

using namespace std::chrono_literals;
using namespace mangovalve::fake;

constexpr auto kTeams = 32;
constexpr auto kRate = 20.0;

// Wrongful refusals in percent of the requests offered in the 10 s after the
// loss of a host, over all teams.
auto Loss(Report& aReport,
          double aLoad,
          double aBurst,
          double aSkew,
          const FleetOptions& aOptions) -> double
{
  FakeFleet fleet(aOptions);
  Document document;
  for (const auto* domain : { "d0", "d1", "d2" }) {
    document.mDomains[domain];
  }
  std::vector<TeamLoad> loads;
  for (auto index = 0; index < kTeams; ++index) {
    const auto name = absl::StrFormat("team-%d", index);
    document.mTeams[name] = { name, kRate, aBurst };
    loads.push_back({ name, kRate * aLoad, aSkew, 300ms });
  }
  fleet.Submit(document);
  fleet.RunFor(3s + std::chrono::ceil<Duration>(
                      std::chrono::duration<double>(aBurst / kRate)));
  std::vector<std::unique_ptr<OfferedRequest>> offered;
  OfferLoad(fleet, loads, 15s, aOptions.mSeed, offered);
  fleet.RunFor(5s);
  // A different host for each seed.
  const auto lost = "h" + std::to_string(aOptions.mSeed % 9);
  const auto lostAt = fleet.Now();
  fleet.Kill(lost);
  fleet.RunFor(12s);
  // Requests that waited on the lost host itself are gone with it.
  std::erase_if(offered,
                [&](const auto& aRequest) { return !aRequest->mDecided; });
  auto before = 0.0;
  auto wrongful = 0.0;
  auto count = 0.0;
  auto excess = 0.0;
  std::vector<std::unique_ptr<OfferedRequest>> early;
  for (const auto& request : offered) {
    if (request->mAt < lostAt) {
      early.push_back(std::make_unique<OfferedRequest>(*request));
    } else {
      count += 1;
    }
  }
  for (const auto& [name, team] : document.mTeams) {
    const Share limit{ team.mRate, team.mBurst };
    wrongful += Compare(offered, name, limit, 300ms).mWrongfulRefusals;
    before += Compare(early, name, limit, 300ms).mWrongfulRefusals;
    excess = std::max(excess,
                      WindowExcess(AdmissionTimes(fleet.Deductions(), name),
                                   limit.mRate,
                                   limit.mBurst));
  }
  aReport.Check(absl::StrFormat("load%g_burst%g_skew%g_seed%d_over_bound",
                                aLoad,
                                aBurst,
                                aSkew,
                                aOptions.mSeed),
                excess,
                Bound::AtMost,
                1e-6);
  return 100 * (wrongful - before) / count;
}

// Parts of the roles that change hands when hosts go and come back, for roles
// hashed over registered hosts and over live hosts.
auto Moves(Report& aReport) -> void
{
  std::vector<std::string> hosts;
  for (auto index = 0; index < 9; ++index) {
    hosts.push_back("h" + std::to_string(index));
  }
  auto live = hosts;
  live.erase(live.begin() + 4);
  constexpr auto kRoles = 10000;
  auto moved = 0.0;
  for (auto role = 0; role < kRoles; ++role) {
    const auto name = "role/" + std::to_string(role);
    moved +=
      RendezvousOwner(name, hosts) != RendezvousOwner(name, live) ? 1 : 0;
  }
  const auto part = 100 * moved / kRoles;
  // A blip of 1 s is longer than the detection timeout: its fence moves roles
  // once, and back when the host has joined again. Over live hosts they move
  // at the first missed heartbeats, so also for a blip of 0.2 s.
  aReport.Figure("keys_moved_pct_loss_registered", part);
  aReport.Figure("keys_moved_pct_loss_live", part);
  aReport.Figure("keys_moved_pct_blip_0.2s_registered", 0);
  aReport.Figure("keys_moved_pct_blip_0.2s_live", 2 * part);
  aReport.Figure("keys_moved_pct_blip_1s_registered", 2 * part);
  aReport.Figure("keys_moved_pct_blip_1s_live", 2 * part);
}

const Registration kMembershipLoss("membership_loss", [](Report& aReport) {
  for (const auto load : { 0.8, 1.0, 5.0 }) {
    for (const auto burst : { 1.0, 5.0, 40.0 }) {
      for (const auto skew : { 0.0, 0.8 }) {
        auto worst = 0.0;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
          FleetOptions options;
          options.mSeed = seed;
          worst = std::max(worst, Loss(aReport, load, burst, skew, options));
        }
        aReport.Check(
          absl::StrFormat(
            "load%g_burst%g_skew%g_wrongful_pct_10s", load, burst, skew),
          worst,
          Bound::Below,
          1);
      }
    }
  }
  Moves(aReport);
});

} // namespace
} // namespace mangovalve::bench
