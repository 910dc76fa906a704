// Tests of the rollout of model versions with failed loads and rollbacks.
#include "mangovalve/config/rollout.h"

#include <doctest/doctest.h>

#include "mangovalve/base/property.h"
#include "mangovalve/base/random.h"
#include "mangovalve/config/submission.h"

namespace mangovalve {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{ seconds(1000) };

auto Ready(const std::string& aVersion, TimePoint aAt = {}) -> VersionReport
{
  return { aVersion, true, aAt };
}

auto Loading(const std::string& aVersion) -> VersionReport
{
  return { aVersion, false, {} };
}

using Versions = std::vector<std::string>;

// Guards against an endpoint without a routed version while the new version
// loads.
TEST_CASE("the previous version is routed until the new one has answered")
{
  RolloutInput input{ { "v1", "v2" }, kStart, seconds(60), {} };
  input.mReports["a"] = { Ready("v1") };
  input.mReports["b"] = { Ready("v1"), Loading("v2") };
  input.mReports["c"] = { Ready("v1"), Ready("v2", kStart) };
  input.mReports["d"] = {};
  const auto plan = PlanRollout(input, kStart + seconds(600));
  CHECK(plan.at("a").mRoute == "v1");
  CHECK(plan.at("a").mLoad == Versions{ "v2" });
  CHECK(plan.at("b").mRoute == "v1");
  CHECK(plan.at("b").mLoad.empty());
  CHECK(plan.at("c").mRoute == "v2");
  CHECK(plan.at("c").mUnload.empty()); // not answered on every endpoint yet
  CHECK(plan.at("d").mRoute.empty());
  CHECK(plan.at("d").mLoad == Versions{ "v2" });
}

// Guards against a previous version that is unloaded before the new one has
// been answering on every endpoint for the retention time.
TEST_CASE("the previous version stays loaded for the retention time")
{
  RolloutInput input{ { "v1", "v2" }, kStart, seconds(60), {} };
  input.mReports["a"] = { Ready("v1"), Ready("v2", kStart + seconds(5)) };
  input.mReports["b"] = { Ready("v1"), Ready("v2", kStart + seconds(9)) };
  CHECK(PlanRollout(input, kStart + seconds(68)).at("a").mUnload.empty());
  CHECK(PlanRollout(input, kStart + seconds(69)).at("a").mUnload ==
        Versions{ "v1" });
}

// Guards against a rollback that loads a version again which is still loaded.
TEST_CASE("a rollback while the new version loads changes only routes")
{
  const Versions history{ "v1", "v2", "v1" };
  RolloutInput input{ history, kStart, seconds(60), {} };
  input.mReports["a"] = { Ready("v1") };
  input.mReports["b"] = { Ready("v1"), Loading("v2") };
  input.mReports["c"] = { Ready("v1"), Ready("v2") };
  for (const auto& each : PlanRollout(input, kStart)) {
    CAPTURE(each.first);
    CHECK(each.second.mRoute == "v1");
    CHECK(each.second.mLoad.empty());
    CHECK(each.second.mUnload.empty());
  }
  const auto later = PlanRollout(input, kStart + seconds(60));
  CHECK(later.at("b").mUnload == Versions{ "v2" });
}

// Guards against a rollback to a version that was already unloaded and fails to
// load on half of the endpoints. Those must keep serving the version they have.
TEST_CASE("a rollback that fails on some endpoints leaves all of them routed")
{
  RolloutInput input{ { "v1", "v2", "v1" }, kStart, seconds(60), {} };
  input.mReports["a"] = { Ready("v2"), Ready("v1", kStart) };
  input.mReports["b"] = { Ready("v2") }; // its load failed
  auto plan = PlanRollout(input, kStart + seconds(600));
  CHECK(plan.at("a").mRoute == "v1");
  CHECK(plan.at("a").mUnload.empty());
  CHECK(plan.at("b").mRoute == "v2");
  CHECK(plan.at("b").mLoad == Versions{ "v1" });
  CHECK(plan.at("b").mUnload.empty());
  // The operator cancels the rollback: only the routes change.
  input.mHistory.emplace_back("v2");
  plan = PlanRollout(input, kStart + seconds(600));
  CHECK(plan.at("a").mRoute == "v2");
  CHECK(plan.at("b").mRoute == "v2");
  CHECK(plan.at("a").mLoad.empty());
  CHECK(plan.at("b").mLoad.empty());
}

// Guards against an endpoint that has a routed version and is left without one,
// or that has more than kMaxLoadedVersions loaded, after any sequence of
// version changes, rollbacks, failed loads and delays.
TEST_CASE("an endpoint keeps a routed version under random changes")
{
  CHECK(CheckSeeded(20261206, 500, [](std::uint64_t aSeed) {
    Random random{ aSeed };
    RolloutInput input{ { "v0" }, kStart, seconds(60), {} };
    for (const auto* const name : { "a", "b", "c" }) {
      input.mReports[name] = { Ready("v0") };
    }
    auto now = kStart;
    for (auto step = 0; step < 200; ++step) {
      now += seconds(UniformBelow(random, 30));
      if (UniformBelow(random, 10) == 0) {
        input.mHistory.push_back("v" + std::to_string(UniformBelow(random, 5)));
        input.mChangedAt = now;
      }
      for (const auto& [endpoint, plan] : PlanRollout(input, now)) {
        RC_ASSERT(!plan.mRoute.empty());
        auto& reports = input.mReports[endpoint];
        for (const auto& version : plan.mUnload) {
          RC_ASSERT(version != plan.mRoute);
          std::erase_if(reports, [&](const auto& aEach) {
            return aEach.mVersion == version;
          });
        }
        for (const auto& version : plan.mLoad) {
          if (UniformBelow(random, 2) == 0) {
            reports.push_back(Loading(version));
          }
        }
        RC_ASSERT(reports.size() <= kMaxLoadedVersions);
        for (auto& each : reports) {
          const auto draw = UniformBelow(random, 4);
          if (!each.mAnswered && draw == 0) {
            each = Ready(each.mVersion, now);
          }
        }
        std::erase_if(reports, [&](const auto& aEach) {
          return !aEach.mAnswered &&
                 UniformBelow(random, 6) == 0; // load failed
        });
      }
    }
  }));
}

TEST_CASE("the versions of a model follow the revisions")
{
  ConfigState state;
  for (const auto* const version : { "v1", "v2", "v2", "v1" }) {
    auto document = *state.mDocument;
    document.mModels["m"] = { "m", "s", version, {}, seconds(60) };
    document.mTeams["t"].mRate += 1; // makes each revision differ
    const auto target = ToEntries(document);
    const auto before = state.mEntries;
    state.mEntries = target;
    state.mDocument = std::make_shared<Document>(document);
    state.mHistory.push_back({});
    state.mHistory.back().mNumber = ++state.mRevision;
    state.mHistory.back().mUndo = DiffEntries(target, before);
  }
  CHECK(VersionHistory(state, "m") == Versions{ "v1", "v2", "v1" });
  CHECK(VersionHistory(state, "other").empty());
}

} // namespace
} // namespace mangovalve
