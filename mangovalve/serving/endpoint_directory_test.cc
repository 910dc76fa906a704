// Tests of the directory of endpoints.
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

TEST_CASE("a removal takes effect at once while the store answers")
{
  EndpointDirectory directory;
  Register(directory, Named("a"));
  Unregister(directory, "a", kNow);
  CHECK(ApplyRemovals(directory, kNow) == std::vector<std::string>{ "a" });
  CHECK(directory.mEntries.empty());
}

TEST_CASE("a registration that lapsed in an outage has two seconds to return")
{
  // Guards against a fleet without endpoints after the store was away for
  // longer than the endpoints' heartbeats last.
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

TEST_CASE(
  "a removal just after an outage waits no longer than its end plus 2 s")
{
  EndpointDirectory directory;
  Register(directory, Named("a"));
  RecordStoreContact(directory, false, kNow);
  RecordStoreContact(directory, true, kNow + seconds(1));
  Unregister(directory, "a", kNow + seconds(2));
  CHECK(ApplyRemovals(directory, kNow + milliseconds(2999)).empty());
  CHECK(ApplyRemovals(directory, kNow + seconds(3)).size() == 1);
}

TEST_CASE("an endpoint that said it was leaving is not kept through an outage")
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

TEST_CASE("a reload removes what is missing and keeps what is there")
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
