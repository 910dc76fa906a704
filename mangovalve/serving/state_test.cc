// Tests of the soft state of a serving daemon.
#include "mangovalve/serving/state.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

TEST_CASE("idle connections of all hosts leave room for connections in use")
{
  // Guards against hosts whose idle connections exhaust an endpoint's limit, so
  // that the endpoint resets connections in use.
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

TEST_CASE("a peer's admissions count for the teams of the active document")
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
  const auto applyReport = [&](std::uint64_t aSequence,
                               std::uint64_t aAdmitted) {
    auto copy = OwnReport(state);
    copy.incarnation = 1;
    copy.sequence = aSequence;
    const auto& team = report.teams[0];
    copy.teams = { wire::TeamUse(team.team(), aAdmitted, team.level()) };
    ApplyPeerReport(other, std::move(copy), 2);
  };
  applyReport(1,
              1); // sets the baseline and, for an unresponsive peer, the level
  CHECK(other.mRates["b"].mTokens <= 4.01);
  applyReport(2, 4);
  CHECK(other.mRates["b"].mTokens <= 1.01);
  CHECK(other.mRates["a"].mTokens == 5);

  // A team that the active document no longer contains is ignored.
  CHECK(ActivateDocument(other, Document(3, { "a" })));
  applyReport(3, 9);
  CHECK(other.mRates.size() == 1);
  CHECK(other.mRates["a"].mTokens == 5);
}

} // namespace
} // namespace mangovalve
