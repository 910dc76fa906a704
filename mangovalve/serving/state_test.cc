// Tests of what a daemon derives from its soft state.
#include "mangovalve/serving/state.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

TEST_CASE("idle connections of all hosts leave an endpoint room")
{
  // An endpoint resets connections beyond its limit, so hosts that each kept
  // all they ever needed would take the place of those in use.
  for (const std::uint32_t limit : { 96U, 110U, 240U, 570U }) {
    for (std::size_t hosts = 1; hosts <= 400; ++hosts) {
      const auto share = IdleConnectionShare(limit, hosts);
      CHECK(share >= 1);
      CHECK(share <= kMaxIdleConnections);
      if (share > 1) {
        CHECK(2 * share * hosts <= limit);
      }
    }
  }
  CHECK(IdleConnectionShare(0, 1000) == kMaxIdleConnections);
}

auto Document(std::uint64_t aVersion, std::vector<std::string> aTeams)
  -> std::shared_ptr<const ServingDocument>
{
  auto document = std::make_shared<ServingDocument>();
  document->mVersion = aVersion;
  for (auto& team : aTeams) {
    document->mTeams[team] = ServingTeam{ team, std::nullopt, 10, 5 };
  }
  return document;
}

TEST_CASE("a peer's admissions count for the teams of the document in force")
{
  asio::io_context loop;
  ServingState state(loop);
  state.mHost = "10.0.0.1:1";
  CHECK(ActivateDocument(state, Document(2, { "a", "b" })));
  CHECK_FALSE(ActivateDocument(state, Document(1, { "a" })));
  CHECK(Admit(state.mRates["b"], Clock::now()));
  const auto report = OwnReport(state);
  REQUIRE(report.teams.size() == 1);

  asio::io_context otherLoop;
  ServingState other(otherLoop);
  CHECK(ActivateDocument(other, Document(2, { "a", "b" })));
  const auto take = [&](std::uint64_t aSequence, std::uint64_t aAdmitted) {
    auto copy = OwnReport(state);
    copy.incarnation = 1;
    copy.sequence = aSequence;
    const auto& team = report.teams[0];
    copy.teams = { wire::TeamUse(team.team(), aAdmitted, team.level()) };
    ApplyPeerReport(other, std::move(copy), 2);
  };
  take(1, 1); // sets the base and, after a silence, the level
  CHECK(other.mRates["b"].mTokens <= 4.01);
  take(2, 4);
  CHECK(other.mRates["b"].mTokens <= 1.01);
  CHECK(other.mRates["a"].mTokens == 5);

  // A team that the document has lost is passed over.
  CHECK(ActivateDocument(other, Document(3, { "a" })));
  take(3, 9);
  CHECK(other.mRates.size() == 1);
  CHECK(other.mRates["a"].mTokens == 5);
}

} // namespace
} // namespace mangovalve
