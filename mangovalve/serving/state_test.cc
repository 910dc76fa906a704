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

auto Endpoint(int aNumber, const std::string& aDomain) -> Registration
{
  Registration registration;
  registration.mId = "e" + std::to_string(aNumber);
  registration.mService = "llm";
  registration.mAddress = "10.0.0.1:" + std::to_string(aNumber + 1);
  registration.mDomain = aDomain;
  registration.mSlots = 2;
  return registration;
}

TEST_CASE("renewed registrations of thousands of endpoints change no pool")
{
  // Guards against work that grows with the square of the number of endpoints.
  // The pattern of load is 3,000 endpoints that renew their registrations every
  // second while nothing changes.
  constexpr int kEndpoints = 3000;
  asio::io_context loop;
  ServingState state(loop);
  const auto now = Clock::now();
  for (auto i = 0; i < kEndpoints; ++i) {
    Register(state.mDirectory, Endpoint(i, "a"));
  }
  SyncPools(state, now);
  REQUIRE(state.mPools["llm"].mEndpoints.size() == kEndpoints);
  const auto revision = state.mDirectory.mRevision;
  for (auto i = 0; i < kEndpoints; ++i) {
    Register(state.mDirectory, Endpoint(i, "a"));
    Renew(state.mDirectory, "e" + std::to_string(i));
  }
  CHECK(state.mDirectory.mRevision == revision);
  SyncPools(state, now);
  CHECK(state.mSyncedRevision == revision);

  // A change and a removal reach the pool by one synchronization.
  auto leaving = Endpoint(7, "a");
  leaving.mLeaving = true;
  Register(state.mDirectory, leaving);
  Unregister(state.mDirectory, "e8", now);
  SyncPools(state, now);
  auto& pool = state.mPools["llm"];
  CHECK(pool.mEndpoints.size() == kEndpoints - 1);
  CHECK(pool.mById.size() == kEndpoints - 1);
  CHECK_FALSE(pool.mById.contains("e8"));
  CHECK(pool.mById["e7"]->mRegistration.mLeaving);
}

TEST_CASE("a request leaves the own domain only when all its slots are taken")
{
  // Guards against a preselection of the own domain that changes placement: the
  // pattern of load is a domain that fills up while others have free slots.
  asio::io_context loop;
  ServingState state(loop);
  state.mDomain = "a";
  const auto now = Clock::now();
  for (auto i = 0; i < 4; ++i) {
    Register(state.mDirectory, Endpoint(i, "a"));
    Register(state.mDirectory, Endpoint(i + 4, "b"));
  }
  SyncPools(state, now);
  auto& pool = state.mPools["llm"];
  const auto place = [&](std::vector<std::string> aTried) {
    return PlaceRequest(state, pool, aTried, now);
  };
  auto own = 0;
  for (auto placed = place({}); placed && placed->mOwnDomain;
       placed = place({})) {
    ++placed->mOwnInFlight.mOnline;
    ++own;
  }
  CHECK(own == 8);
  CHECK_FALSE(place({})->mOwnDomain);
  CHECK(place({ "e4", "e5", "e6" })->mRegistration.mId == "e7");
  for (const auto& endpoint : pool.mEndpoints) {
    endpoint->mOwnInFlight.mOnline = 2;
  }
  CHECK(place({}) == nullptr);
  // A batch item in the own domain is preempted before a request waits.
  pool.mById["e2"]->mOwnInFlight = InFlight{ 1, 1 };
  CHECK(place({})->mRegistration.mId == "e2");
  CHECK(place({ "e2" }) == nullptr);
}

} // namespace
} // namespace mangovalve
