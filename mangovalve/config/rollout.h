// Rollout of model versions, make-before-break: decides which versions of a
// model each endpoint should load, serve and unload. The plan is a pure
// function of its input and is computed again whenever the input changes;
// commands are idempotent, so repeating one does no harm.
//
// Requests are routed to the previous version on an endpoint until the new one
// has answered there. The previous version stays loaded until the new one has
// been answering on every endpoint for the retention time of the model. A
// rollback within that time therefore only changes routes.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mangovalve/base/time.h"
#include "mangovalve/config/state.h"

namespace mangovalve {

// A version that is loaded or loading on an endpoint.
struct VersionReport
{
  std::string mVersion;
  bool mAnswered = false;  // has answered a request; false: still loading
  TimePoint mAnsweredAt{}; // time at which this host first saw an answer
};

// The live endpoints of a model's service, by name. An endpoint that was
// removed or has failed must not be listed, since it would block the rollout.
using VersionReports = std::map<std::string, std::vector<VersionReport>>;

struct EndpointRollout
{
  std::string mRoute;               // version to route to; empty: none
  std::vector<std::string> mLoad;   // versions to load
  std::vector<std::string> mUnload; // versions that may be unloaded
};

struct RolloutInput
{
  // Versions of the model in the order of the document's revisions; the last
  // one is the target.
  std::vector<std::string> mHistory;
  TimePoint mChangedAt{}; // when this host applied the last change
  std::chrono::milliseconds mRetainFormer{};
  VersionReports mReports;
};

// Maximum number of versions loaded on one endpoint, including the target.
// Beyond it, the oldest versions that are not routed are unloaded before their
// retention time.
constexpr std::size_t kMaxLoadedVersions = 3;

auto PlanRollout(const RolloutInput& aInput, TimePoint aNow)
  -> std::map<std::string, EndpointRollout>;

// Returns the versions that a model had within the document's history, oldest
// first, without consecutive duplicates.
auto VersionHistory(const ConfigState& aState, const std::string& aModel)
  -> std::vector<std::string>;

} // namespace mangovalve
