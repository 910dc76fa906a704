// The documents that a soak publishes, and what they allow for as long as they
// may be in force.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "mangovalve/base/time.h"

namespace mangovalve::standin {

// Time within which a host must use a document that was published.
constexpr auto kApplyBound = std::chrono::milliseconds(2000);

// A kind of request, served by a route of the same name.
struct SoakRoute
{
  std::string mName;
  std::string mKind;
  std::string mService;
  std::uint32_t mEvents = 0; // of its streams; 0: plain responses
  bool mResumable = false;
};

// What a document says of a route.
struct SoakTerms
{
  std::vector<std::string> mServices; // never empty; the first gets most
  std::chrono::milliseconds mTimeout{};
};

struct SoakDocument
{
  std::uint64_t mVersion = 0;
  TimePoint mPublishedAt{};
  std::map<std::string, SoakTerms> mRoutes; // by name
  std::chrono::milliseconds mIdleLimit{ 15000 };
  std::chrono::milliseconds mHeaderLimit{ 3000 };
};

// What the documents of a span of time say of a route together.
struct Allowance
{
  bool mAlways = false;            // all of them have the route
  std::set<std::string> mServices; // of any of them
  Duration mShortestTimeout = Duration::max();
};

// Routes that every document has.
auto SoakRoutes() -> const std::vector<SoakRoute>&;

// The documents, in the order of publication, that a host may use at some time
// of the span.
auto InForce(const std::vector<SoakDocument>& aDocuments,
             TimePoint aFrom,
             TimePoint aUntil) -> std::span<const SoakDocument>;

auto AllowanceOf(std::span<const SoakDocument> aDocuments,
                 const std::string& aRoute) -> Allowance;

// The longest time for which a caller may be idle under each of the documents.
auto UsableIdle(std::span<const SoakDocument> aDocuments) -> Duration;

// The same for the time in which it sends a request.
auto UsableSending(std::span<const SoakDocument> aDocuments) -> Duration;

} // namespace mangovalve::standin
