// Lookups in a serving document.
#include "mangovalve/serving/document.h"

#include <algorithm>

namespace mangovalve {

auto FindRoute(const ServingDocument& aDocument,
               std::string_view aHost,
               std::string_view aPath) -> const ServingRoute*
{
  const ServingRoute* best = nullptr;
  for (const auto& route : aDocument.mRoutes) {
    if (route.mHost == aHost && aPath.starts_with(route.mPathPrefix) &&
        (best == nullptr ||
         route.mPathPrefix.size() > best->mPathPrefix.size())) {
      best = &route;
    }
  }
  return best;
}

auto MayRepeat(const ServingRoute& aRoute) -> bool
{
  return aRoute.mKind == RouteKind::Idempotent ||
         (aRoute.mKind == RouteKind::Streaming && aRoute.mResumable);
}

auto PickService(const ServingRoute& aRoute, double aUniform)
  -> const std::string&
{
  auto total = 0.0;
  for (const auto& service : aRoute.mServices) {
    total += service.mWeight;
  }
  auto left = aUniform * total;
  for (const auto& service : aRoute.mServices) {
    left -= service.mWeight;
    if (left < 0) {
      return service.mService;
    }
  }
  return aRoute.mServices.back().mService;
}

auto Allows(const ServingRoute& aRoute, std::string_view aService) -> bool
{
  return std::any_of(
    aRoute.mServices.begin(),
    aRoute.mServices.end(),
    [&](const WeightedService& aEntry) { return aEntry.mService == aService; });
}

} // namespace mangovalve
