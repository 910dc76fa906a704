// Documents of a soak.
#include <absl/strings/str_cat.h>

#include "platform/names.h"
#include "standins/soak/soak.h"

namespace mangovalve::standin {
namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

constexpr auto kTimeout = milliseconds(6000);

auto RenderRoute(const SoakRoute& aRoute, const SoakTerms& aTerms) -> Json
{
  Json route = { { "name", aRoute.mName },
                 { "host", "h.example" },
                 { "pathPrefix", "/" + aRoute.mName + "/" },
                 { "kind", aRoute.mKind },
                 { "timeoutMs", aTerms.mTimeout.count() },
                 { "sloMs", 300 },
                 { "maxAttempts", 3 },
                 { "gapAimMs", 400 },
                 { "resumable", aRoute.mResumable } };
  if (aTerms.mServices.size() == 1) {
    route["service"] = aTerms.mServices.front();
    return route;
  }
  auto weight = aTerms.mServices.size();
  for (const auto& service : aTerms.mServices) {
    route["backends"].push_back(
      { { "service", service }, { "weight", weight-- } });
  }
  return route;
}

auto BatchRoute() -> SoakRoute
{
  return { "lex", "batch", "quick", 0, false };
}

auto RenderBatchRoute(const SoakTerms& aTerms) -> Json
{
  auto route = RenderRoute(BatchRoute(), aTerms);
  route["dueMs"] = 60000;
  route["maxQueueS"] = 300;
  route["maxQueuedTokens"] = 0;
  return route;
}

auto Team(const char* aName, std::vector<std::string> aKeys) -> Json
{
  return { { "name", aName },
           { "apiKeys", std::move(aKeys) },
           { "ratePerS", 0 },
           { "burst", 0 } };
}

// The key of the callers, and others that come and go.
auto Teams(Random& aRandom, bool aMoves) -> Json
{
  auto teams = Json::array({ Team("red", { "red-key" }) });
  if (aMoves && Chance(aRandom, 50)) {
    teams[0]["apiKeys"].push_back("other-red-key");
  }
  if (aMoves && Chance(aRandom, 50)) {
    teams.push_back(Team("blue", { "blue-key" }));
  }
  return teams;
}

auto Services(Random& aRandom, bool aMoves) -> Json
{
  constexpr std::uint64_t kConnections = 1000;
  constexpr std::uint64_t kFewest = 24;
  auto services = Json::array();
  const auto add = [&](const std::string& aName) {
    const auto connections =
      aMoves ? kFewest + UniformBelow(aRandom, kConnections) : kConnections;
    services.push_back({ { "name", aName }, { "maxConns", connections } });
  };
  for (const auto* name : { "quick", "slow", "app", "work" }) {
    add(name);
    if (aMoves) {
      add(TwinOf(name));
    }
  }
  return services;
}

// Callers send a request within a second, which the shortest limits allow.
auto ChooseLimits(Random& aRandom, SoakDocument& aDocument) -> Json
{
  constexpr auto kShortestIdle = milliseconds(1500);
  constexpr auto kShortestHeader = milliseconds(2000);
  constexpr std::uint64_t kRangeMs = 4500;
  aDocument.mIdleLimit =
    kShortestIdle + milliseconds(UniformBelow(aRandom, kRangeMs));
  aDocument.mHeaderLimit =
    kShortestHeader + milliseconds(UniformBelow(aRandom, kRangeMs));
  return { { "idleTimeoutMs", aDocument.mIdleLimit.count() },
           { "headerTimeoutMs", aDocument.mHeaderLimit.count() } };
}

} // namespace

auto ExtraRoute(const std::string& aName) -> SoakRoute
{
  return { aName, "idempotent", "app", 0, false };
}

auto TwinOf(const std::string& aService) -> std::string
{
  return aService + "-twin";
}

auto Soak::ChooseTerms(const SoakRoute& aRoute) -> SoakTerms
{
  constexpr auto kShort = milliseconds(800);
  constexpr std::uint64_t kShortRangeMs = 700;
  constexpr std::uint64_t kRangeMs = 3000;
  constexpr std::uint64_t kShortTimeouts = 30; // percent
  SoakTerms terms{ { aRoute.mService },
                   kTimeout + milliseconds(UniformBelow(mRandom, kRangeMs)) };
  if (!mOptions.mMoves) {
    return terms;
  }
  if (Chance(mRandom, kShortTimeouts)) {
    terms.mTimeout =
      kShort + milliseconds(UniformBelow(mRandom, kShortRangeMs));
  }
  if (Chance(mRandom, 50)) {
    terms.mServices = { TwinOf(aRoute.mService) };
  }
  if (Chance(mRandom, 30)) {
    terms.mServices = { aRoute.mService, TwinOf(aRoute.mService) };
  }
  return terms;
}

auto Soak::Publish() -> void
{
  SoakDocument document;
  document.mVersion = (mDocuments.empty() ? 0 : mDocuments.back().mVersion) +
                      1 + UniformBelow(mRandom, 3);
  auto routes = Json::array();
  for (const auto& route : SoakRoutes()) {
    const auto& terms = document.mRoutes[route.mName] = ChooseTerms(route);
    routes.push_back(RenderRoute(route, terms));
  }
  routes.push_back(RenderBatchRoute(ChooseTerms(BatchRoute())));
  for (const auto& name : mExtraRoutes) {
    const auto route = ExtraRoute(name);
    const auto& terms = document.mRoutes[name] = ChooseTerms(route);
    routes.push_back(RenderRoute(route, terms));
  }
  Json json = { { "version", document.mVersion },
                { "routes", routes },
                { "services", Services(mRandom, mOptions.mMoves) },
                { "tenants", Teams(mRandom, mOptions.mMoves) } };
  if (mOptions.mMoves) {
    json["limits"] = ChooseLimits(mRandom, document);
  }
  document.mPublishedAt = Clock::now();
  mDocuments.push_back(std::move(document));
  mStore.Put(
    platform::kConfigurationTopic, platform::kConfigurationKey, json.dump());
  ++mCounts["documents"];
  if (mOptions.mMoves) {
    WakeAtOldLimit();
  }
}

// Some callers that are idle under a shorter limit than the newest one send
// when a host closes connections by the former.
auto Soak::WakeAtOldLimit() -> void
{
  constexpr auto kRange = milliseconds(4);
  if (mDocuments.size() < 2) {
    return;
  }
  const auto& old = mDocuments[mDocuments.size() - 2];
  for (auto& caller : mCallers) {
    if (caller.mIdleUntil > Clock::now() && caller.mConnection &&
        Chance(mRandom, 30)) {
      caller.mIdleUntil = caller.mConnection->mIdleSince + old.mIdleLimit -
                          kRange / 2 + RandomTime(mRandom, kRange);
      caller.mWake.cancel();
    }
  }
}

auto Soak::PublishSeries() -> Task<>
{
  constexpr std::uint64_t kMostVersions = 12;
  constexpr std::size_t kMostRoutes = 40;
  constexpr auto kMostPause = milliseconds(80);
  const auto versions = 1 + UniformBelow(mRandom, kMostVersions);
  for (std::size_t i = 0; i < versions; ++i) {
    if (mExtraRoutes.size() < kMostRoutes && Chance(mRandom, 70)) {
      mExtraRoutes.push_back(
        absl::StrCat(kExtraRoute, mDocuments.back().mVersion));
    } else if (!mExtraRoutes.empty()) {
      mExtraRoutes.erase(mExtraRoutes.begin());
    }
    Publish();
    co_await SleepUntil(Clock::now() + RandomTime(mRandom, kMostPause));
  }
}

} // namespace mangovalve::standin
