// Tests of the endpoint set: responses take precedence over the host list.
#include "mangovalve/endpoint/endpoint_set.h"

#include <doctest/doctest.h>

#include "mangovalve/endpoint/fake_endpoint_test.h"
#include "mangovalve/endpoint/load_poller.h"

namespace mangovalve {
namespace {

const auto kStart = TimePoint(std::chrono::hours(1));

auto Seeded() -> EndpointSetOptions
{
  EndpointSetOptions options;
  options.mSeed = 5;
  return options;
}

auto Row(const std::string& aAddress, bool aLeaving = false) -> EndpointHint
{
  return { "s", aAddress, "d", aLeaving };
}

TEST_CASE("the host list announces endpoints and marks leaving ones")
{
  EndpointSet set("d", Seeded());
  CHECK_FALSE(set.Choose("s", 4, 0, {}, kStart));
  set.ApplyHostList({ Row("a:1"), Row("b:1", true) });
  for (auto i = 0; i < 4; ++i) {
    CHECK(set.Choose("s", 4, 0, {}, kStart)->mAddress == "a:1");
  }
  CHECK_FALSE(set.Choose("s", 4, 0, {}, kStart)); // a is full
  set.ApplyHostList({ Row("a:1", true), Row("b:1") });
  CHECK(set.Choose("s", 4, 0, {}, kStart)->mAddress == "b:1");
}

// Guards against a faulty host list that removes every endpoint.
TEST_CASE("an empty list changes nothing, a missing row means leaving")
{
  EndpointSet set("d", Seeded());
  set.ApplyHostList({ Row("a:1"), Row("b:1") });
  set.ApplyHostList({});
  CHECK(set.UsableCount("s", kStart) == 2);
  set.ApplyHostList({ Row("b:1") });
  CHECK(set.UsableCount("s", kStart) == 1);
}

// Guards against new work for a leaving endpoint while the list is delayed.
TEST_CASE("responses and load reports of endpoints override the list")
{
  EndpointSet set("d", Seeded());
  set.ApplyHostList({ Row("a:1"), Row("b:1") });
  const auto chosen = set.Choose("s", 4, 0, {}, kStart);
  REQUIRE(chosen);
  set.Finish(*chosen, ExchangeResult::Leaving, kStart);
  LoadReport leaving;
  leaving.mLeaving = true;
  leaving.mRequestedAt = kStart;
  for (auto second = 0; second < 60; ++second) {
    const auto now = kStart + std::chrono::seconds(second);
    set.ApplyHostList({ Row("a:1"), Row("b:1") });
    set.RecordLoad(chosen->mAddress, leaving, now);
    const auto next = set.Choose("s", 100, 0, {}, now);
    REQUIRE(next);
    CHECK(next->mAddress != chosen->mAddress);
  }
}

TEST_CASE("load reports are parsed, and malformed ones are refused")
{
  const auto report =
    ParseLoadReport(R"({"running":3,"waiting":2,"leaving":true})", kStart);
  REQUIRE(report);
  CHECK(report->mRunning == 3);
  CHECK(report->mWaiting == 2);
  CHECK(report->mLeaving);
  for (const auto* const body :
       { "", "[]", "{", R"({"running":"3"})", R"({"waiting":-1})" }) {
    CHECK_FALSE(ParseLoadReport(body, kStart));
  }
}

TEST_CASE("a poll records a report and a refused connection")
{
  std::string address;
  EndpointSet set("d", Seeded());
  EndpointClient client;
  const auto timeout = std::chrono::seconds(30);
  {
    const testing::FakeEndpoint endpoint(
      [](testing::FakeEndpoint::Connection& aConnection,
         const testing::FakeRequest& aRequest) {
        aConnection.Send(
          testing::WholeResponse(aRequest.Id(), R"({"running":7})"));
      });
    address = endpoint.Address();
    set.ApplyHostList({ Row(address) });
    PollLoad(client, set, address, timeout);
    REQUIRE(set.List(Clock::now())[0].mReport);
    CHECK(set.List(Clock::now())[0].mReport->mRunning == 7);
    CHECK(set.UsableCount("s", Clock::now()) == 1);
  }
  const auto before = Clock::now();
  PollLoad(client, set, address, timeout);
  CHECK(set.UsableCount("s", before) == 0);
}

} // namespace
} // namespace mangovalve
