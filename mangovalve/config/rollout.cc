// Rollout of model versions, make-before-break.
#include "mangovalve/config/rollout.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace mangovalve {
namespace {

auto FindReport(const std::vector<VersionReport>& aReports,
                const std::string& aVersion) -> const VersionReport*
{
  const auto found = std::find_if(
    aReports.begin(), aReports.end(), [&](const VersionReport& aEach) {
      return aEach.mVersion == aVersion;
    });
  return found == aReports.end() ? nullptr : &*found;
}

// Returns the newest version that has answered on the endpoint: the target, or
// else the newest previous one. Empty if none has.
auto ChooseRoute(const std::vector<std::string>& aHistory,
                 const std::vector<VersionReport>& aReports) -> std::string
{
  for (auto each = aHistory.rbegin(); each != aHistory.rend(); ++each) {
    const auto* const report = FindReport(aReports, *each);
    if (report != nullptr && report->mAnswered) {
      return *each;
    }
  }
  return {};
}

// Whether the target has been answering on every endpoint for the retention
// time.
auto RetentionElapsed(const RolloutInput& aInput,
                      const std::string& aTarget,
                      TimePoint aNow) -> bool
{
  if (aNow - aInput.mChangedAt < aInput.mRetainFormer) {
    return false;
  }
  return std::all_of(
    aInput.mReports.begin(), aInput.mReports.end(), [&](const auto& aEach) {
      const auto* const report = FindReport(aEach.second, aTarget);
      return report != nullptr && report->mAnswered &&
             aNow - report->mAnsweredAt >= aInput.mRetainFormer;
    });
}

// Position of a version in the history: higher is newer, 0 is not in it.
auto Rank(const std::vector<std::string>& aHistory, const std::string& aVersion)
  -> std::size_t
{
  const auto found = std::find(aHistory.rbegin(), aHistory.rend(), aVersion);
  return static_cast<std::size_t>(aHistory.rend() - found);
}

// Returns the loaded versions other than the target and the routed one, oldest
// first.
auto OtherVersions(const RolloutInput& aInput,
                   const std::vector<VersionReport>& aReports,
                   const std::string& aTarget,
                   const std::string& aRoute) -> std::vector<std::string>
{
  std::vector<std::string> others;
  for (const auto& each : aReports) {
    if (each.mVersion != aTarget && each.mVersion != aRoute) {
      others.push_back(each.mVersion);
    }
  }
  std::stable_sort(
    others.begin(), others.end(), [&](const auto& aLeft, const auto& aRight) {
      return Rank(aInput.mHistory, aLeft) < Rank(aInput.mHistory, aRight);
    });
  return others;
}

auto PlanEndpoint(const RolloutInput& aInput,
                  const std::vector<VersionReport>& aReports,
                  const std::string& aTarget,
                  bool aRetentionElapsed) -> EndpointRollout
{
  EndpointRollout plan;
  plan.mRoute = ChooseRoute(aInput.mHistory, aReports);
  if (FindReport(aReports, aTarget) == nullptr) {
    plan.mLoad.push_back(aTarget);
  }
  plan.mUnload = OtherVersions(aInput, aReports, aTarget, plan.mRoute);
  if (!aRetentionElapsed) {
    const auto kept = kMaxLoadedVersions -
                      (plan.mRoute.empty() || plan.mRoute == aTarget ? 1 : 2);
    plan.mUnload.resize(plan.mUnload.size() -
                        std::min(plan.mUnload.size(), kept));
  }
  return plan;
}

} // namespace

auto PlanRollout(const RolloutInput& aInput, TimePoint aNow)
  -> std::map<std::string, EndpointRollout>
{
  std::map<std::string, EndpointRollout> plans;
  if (aInput.mHistory.empty()) {
    return plans;
  }
  const auto& target = aInput.mHistory.back();
  const auto retentionElapsed = RetentionElapsed(aInput, target, aNow);
  for (const auto& [endpoint, reports] : aInput.mReports) {
    plans[endpoint] = PlanEndpoint(aInput, reports, target, retentionElapsed);
  }
  return plans;
}

auto VersionHistory(const ConfigState& aState, const std::string& aModel)
  -> std::vector<std::string>
{
  const auto versionOf = [](const std::string& aJson) {
    const auto json = nlohmann::json::parse(aJson, nullptr, false);
    return json.is_object() ? json.value("version", "") : std::string();
  };
  std::vector<std::string> newestFirst;
  const auto add = [&](const std::string& aVersion) {
    if (!aVersion.empty() &&
        (newestFirst.empty() || newestFirst.back() != aVersion)) {
      newestFirst.push_back(aVersion);
    }
  };
  const auto path = "models/" + aModel;
  if (const auto found = aState.mEntries.find(path);
      found != aState.mEntries.end()) {
    add(versionOf(found->second));
  } else {
    return {};
  }
  for (auto each = aState.mHistory.rbegin(); each != aState.mHistory.rend();
       ++each) {
    const auto undo = each->mUndo.find(path);
    if (undo != each->mUndo.end() && undo->second) {
      add(versionOf(*undo->second));
    }
  }
  std::reverse(newestFirst.begin(), newestFirst.end());
  return newestFirst;
}

} // namespace mangovalve
