// Tests of the endpoint directory.
#include "mangovalve/serving/endpoint_directory.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{ std::chrono::hours(1) };

auto Named(const std::string& aId) -> Registration
{
  Registration registration;
  registration.mId = aId;
  registration.mService = "llm";
  return registration;
}

TEST_CASE("a removal takes effect at once while the store is available")
{
  EndpointDirectory directory;
  Register(directory, Named("a"));
  Unregister(directory, "a", kNow);
  CHECK(ApplyRemovals(directory, kNow) == std::vector<std::string>{ "a" });
  CHECK(directory.mEntries.empty());
}

TEST_CASE(
  "a registration that expired in a store outage is kept 2 s after its end")
{
  // Guards against losing all endpoints when an outage of the store outlasts
  // the lifetime of their registrations.
  EndpointDirectory directory;
  Register(directory, Named("a"));
  Register(directory, Named("b"));
  RecordStoreContact(directory, false, kNow);
  Unregister(directory, "a", kNow);
  Unregister(directory, "b", kNow);
  CHECK(ApplyRemovals(directory, kNow + seconds(30)).empty());

  const auto back = kNow + seconds(30);
  RecordStoreContact(directory, true, back);
  CHECK(ApplyRemovals(directory, back + milliseconds(1900)).empty());
  Register(directory, Named("a"));
  CHECK(ApplyRemovals(directory, back + milliseconds(2000)) ==
        std::vector<std::string>{ "b" });
  CHECK(directory.mEntries.contains("a"));
}

TEST_CASE("a removal just after a store outage takes effect 2 s after its end")
{
  EndpointDirectory directory;
  Register(directory, Named("a"));
  RecordStoreContact(directory, false, kNow);
  RecordStoreContact(directory, true, kNow + seconds(1));
  Unregister(directory, "a", kNow + seconds(2));
  CHECK(ApplyRemovals(directory, kNow + milliseconds(2999)).empty());
  CHECK(ApplyRemovals(directory, kNow + seconds(3)).size() == 1);
}

TEST_CASE("a leaving endpoint gets no grace period after a store outage")
{
  EndpointDirectory directory;
  auto leaving = Named("a");
  leaving.mLeaving = true;
  Register(directory, leaving);
  RecordStoreContact(directory, false, kNow);
  Unregister(directory, "a", kNow);
  RecordStoreContact(directory, true, kNow + seconds(1));
  CHECK(directory.mEntries.contains("a"));
}

TEST_CASE("replacing all registrations removes only the missing ones")
{
  EndpointDirectory directory;
  Register(directory, Named("a"));
  Register(directory, Named("b"));
  ReplaceAll(directory, { Named("b"), Named("c") }, kNow);
  ApplyRemovals(directory, kNow);
  CHECK(directory.mEntries.size() == 2);
  CHECK(directory.mEntries.contains("c"));
}

} // namespace
} // namespace mangovalve
