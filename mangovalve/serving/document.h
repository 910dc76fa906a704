// Configuration document of a serving daemon on a platform that supplies its
// own documents: routes, services, teams and their keys. Immutable once active;
// a request keeps the version that it was admitted under.
//
// config/document.h defines the product's own document. This one adds several
// services per route, limits for callers, and batch limits.
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
  double mWeight = 1; // relative share of the route's requests
};

struct ServingRoute
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; // begins and ends with a slash
  RouteKind mKind = RouteKind::NonIdempotent;
  std::vector<WeightedService> mServices; // never empty
  std::uint32_t mMaxAttempts = 1; // endpoints that one request may be sent to
  std::chrono::milliseconds mTimeout{ 30000 }; // for the complete response
  // For the response, or for the first event of a stream.
  std::chrono::milliseconds mLatencyObjective{ 1000 };
  // Between two events of a stream; 0: none.
  std::chrono::milliseconds mInterEventObjective{ 0 };
  // Silence after which callers abandon an answer.
  std::chrono::milliseconds mCallerPatience{ 30000 };
  int mPriority = 0;       // 0 is the highest
  bool mPublic = false;    // no key needed; not for batch
  bool mResumable = false; // streams only
  // Endpoints that keep leading parts of a prompt are preferred.
  bool mSticky = false;
  // Batch only. Both times count from the first submission of a job.
  std::chrono::milliseconds mDue{ 0 };          // until items should be done
  std::chrono::milliseconds mAbandonAfter{ 0 }; // until items are given up
  std::uint64_t mMaxQueuedTokens = 0;           // per team; 0: no limit
};

struct ServingService
{
  std::string mName;
  bool mIsEngine = false;
  std::uint32_t mSlots = 0; // concurrent requests per endpoint; 0: undeclared
  // Per endpoint, from all hosts; 0: no limit.
  std::uint32_t mMaxConnections = 0;
  // Tokens that an endpoint can hold; 0: undeclared.
  std::uint64_t mMemoryTokens = 0;
  // How long an endpoint is cold after its start, and the requests per second
  // that it takes from all hosts meanwhile. A rate of 0 means no such limit.
  std::chrono::milliseconds mWarmup{ 0 };
  double mWarmupRate = 0;
};

struct ServingTeam
{
  std::string mName;
  std::optional<int> mPriority; // overrides the priority of the route
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
  bool mKeysRequired = false; // true if the document defines teams
  CallerLimits mLimits;
};

// Returns the route of the host with the longest path prefix that matches, or
// nullptr.
auto FindRoute(const ServingDocument& aDocument,
               std::string_view aHost,
               std::string_view aPath) -> const ServingRoute*;

// Whether a request of the route may be executed more than once.
auto MayRepeat(const ServingRoute& aRoute) -> bool;

// Selects a service by weight; aUniform is a random number in [0, 1).
auto PickService(const ServingRoute& aRoute, double aUniform)
  -> const std::string&;

// Whether the route may send to the service.
auto Allows(const ServingRoute& aRoute, std::string_view aService) -> bool;

} // namespace mangovalve
