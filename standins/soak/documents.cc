// What the documents of a soak allow.
#include "standins/soak/documents.h"

#include <algorithm>

namespace mangovalve::standin {
namespace {

// Callers use four fifths of a limit.
auto UsablePart(std::chrono::milliseconds aLimit) -> Duration
{
  constexpr int kFifths = 5;
  return Duration(aLimit) * (kFifths - 1) / kFifths;
}

} // namespace

auto SoakRoutes() -> const std::vector<SoakRoute>&
{
  static const std::vector<SoakRoute> routes = {
    { "short", "streaming", "quick", 8, true },
    { "long", "streaming", "slow", 30, true },
    { "once", "streaming", "quick", 8, false },
    { "plain", "idempotent", "app", 0, false },
    { "pay", "non_idempotent", "app", 0, false },
    { "work", "non_idempotent", "work", 0, false },
  };
  return routes;
}

auto InForce(const std::vector<SoakDocument>& aDocuments,
             TimePoint aFrom,
             TimePoint aUntil) -> std::span<const SoakDocument>
{
  std::size_t begin = 0;
  while (begin + 1 < aDocuments.size() &&
         aDocuments[begin + 1].mPublishedAt + kApplyBound < aFrom) {
    ++begin;
  }
  auto end = begin;
  while (end < aDocuments.size() && aDocuments[end].mPublishedAt <= aUntil) {
    ++end;
  }
  return std::span(aDocuments).subspan(begin, end - begin);
}

auto AllowanceOf(std::span<const SoakDocument> aDocuments,
                 const std::string& aRoute) -> Allowance
{
  Allowance allowance;
  allowance.mAlways = true;
  for (const auto& document : aDocuments) {
    const auto route = document.mRoutes.find(aRoute);
    if (route == document.mRoutes.end()) {
      allowance.mAlways = false;
      continue;
    }
    const auto& terms = route->second;
    allowance.mServices.insert(terms.mServices.begin(), terms.mServices.end());
    allowance.mShortestTimeout =
      std::min<Duration>(allowance.mShortestTimeout, terms.mTimeout);
  }
  return allowance;
}

auto UsableIdle(std::span<const SoakDocument> aDocuments) -> Duration
{
  auto usable = Duration::max();
  for (const auto& document : aDocuments) {
    usable = std::min(usable, UsablePart(document.mIdleLimit));
  }
  return usable;
}

// The idle limit also bounds the time in which a body arrives.
auto UsableSending(std::span<const SoakDocument> aDocuments) -> Duration
{
  auto usable = UsableIdle(aDocuments);
  for (const auto& document : aDocuments) {
    usable = std::min(usable, UsablePart(document.mHeaderLimit));
  }
  return usable;
}

} // namespace mangovalve::standin
