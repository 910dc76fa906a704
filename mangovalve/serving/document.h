// The configuration that a daemon serves by on a platform that brings its own
// document: routes, services, teams and their keys. Immutable once in force; a
// request keeps the version that it was admitted under.
//
// The product's own document is config/document.h. This one has what that
// lacks: several services of a route, limits of callers, batch limits.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovalve/loop/http_server.h"

namespace mangovalve {

enum class RouteKind
{
  Idempotent,
  NonIdempotent,
  Streaming,
  Batch,
};

struct WeightedService
{
  std::string mService;
  double mWeight = 1; // share of the route's requests, relative to the others
};

struct ServingRoute
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; // begins and ends with a slash
  RouteKind mKind = RouteKind::NonIdempotent;
  std::vector<WeightedService> mServices; // never empty
  std::uint32_t mMaxAttempts = 1; // endpoints that one request may be sent to
  std::chrono::milliseconds mTimeout{ 30000 };         // whole answer
  std::chrono::milliseconds mLatencyObjective{ 1000 }; // answer or first event
  std::chrono::milliseconds mInterEventObjective{
    0
  };                       // between events; 0: none
  int mPriority = 0;       // 0 is the highest
  bool mPublic = false;    // no key needed
  bool mResumable = false; // streams only
  // Batch only.
  std::chrono::milliseconds mDue{ 0 };          // after the first submission
  std::chrono::milliseconds mAbandonAfter{ 0 }; // after the first submission
  std::uint64_t mMaxQueuedTokens = 0;           // per team; 0: no limit
};

struct ServingService
{
  std::string mName;
  bool mIsEngine = false;
  std::uint32_t mSlots = 0; // requests at once per endpoint; 0: not declared
  std::uint32_t mMaxConnections = 0; // per endpoint, from all hosts
};

struct ServingTeam
{
  std::string mName;
  std::optional<int> mPriority; // goes before the route's
  double mRate = 0;             // requests per second, fleet-wide; 0: no limit
  double mBurst = 0;            // requests, fleet-wide
};

struct ServingDocument
{
  std::uint64_t mVersion = 0;
  std::vector<ServingRoute> mRoutes;
  std::map<std::string, ServingService> mServices; // by name
  std::map<std::string, ServingTeam> mTeams;       // by name
  absl::flat_hash_map<std::string, std::string> mTeamOfKey;
  bool mKeysRequired = false; // the document names teams
  CallerLimits mLimits;
};

// The route of a request: among the routes of the host, the one with the
// longest prefix that begins the path. Null if there is none.
auto FindRoute(const ServingDocument& aDocument,
               std::string_view aHost,
               std::string_view aPath) -> const ServingRoute*;

// Whether a request of the route may run more than once.
auto MayRepeat(const ServingRoute& aRoute) -> bool;

// The service for a draw aUniform in [0, 1), by weight.
auto PickService(const ServingRoute& aRoute, double aUniform)
  -> const std::string&;

// Whether the route may send to the service.
auto Allows(const ServingRoute& aRoute, std::string_view aService) -> bool;

} // namespace mangovalve
