// Tests of the load reports of peers.
#include "mangovalve/serving/fleet_load.h"

#include <doctest/doctest.h>

#include "mangovalve/base/random.h"

namespace mangovalve {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{ std::chrono::hours(1) };

auto Report(const std::string& aHost,
            std::uint64_t aIncarnation,
            std::uint64_t aSequence,
            std::uint32_t aOnline,
            std::uint32_t aWaiting) -> wire::LoadReportT
{
  wire::LoadReportT report;
  report.host = aHost;
  report.incarnation = aIncarnation;
  report.sequence = aSequence;
  report.endpoints.emplace_back(7, aOnline, 0);
  report.queues.emplace_back(9, aWaiting);
  return report;
}

TEST_CASE("delayed, duplicate and older reports are ignored")
{
  FleetLoad fleet;
  CHECK(ApplyReport(fleet, Report("a", 1, 2, 3, 1), kNow));
  CHECK_FALSE(ApplyReport(fleet, Report("a", 1, 2, 9, 9), kNow));
  CHECK_FALSE(ApplyReport(fleet, Report("a", 1, 1, 9, 9), kNow));
  CHECK(ApplyReport(fleet, Report("a", 2, 1, 4, 0), kNow));
  CHECK_FALSE(ApplyReport(fleet, Report("a", 1, 50, 9, 9), kNow));
  CHECK(PeerInFlight(fleet, 7).mOnline == 4);
  CHECK(PeerWaiting(fleet, 9) == 0);
}

TEST_CASE(
  "sums equal the last reports of responsive peers in any order of events")
{
  Random random{ 11 };
  FleetLoad fleet;
  std::map<std::string, std::uint32_t> expected;
  for (std::uint64_t i = 1; i < 2000; ++i) {
    const auto host = std::to_string(UniformBelow(random, 6));
    const auto now = kNow + std::chrono::milliseconds(i);
    if (UniformBelow(random, 20) == 0) {
      RemovePeer(fleet, host);
      expected.erase(host);
    } else if (UniformBelow(random, 20) == 0) {
      MarkUnresponsive(fleet, now + seconds(1));
      expected.clear();
    } else {
      const auto online = static_cast<std::uint32_t>(UniformBelow(random, 5));
      ApplyReport(fleet, Report(host, 1, i, online, online), now);
      expected[host] = online;
    }
    std::uint32_t sum = 0;
    for (const auto& [name, online] : expected) {
      sum += online;
    }
    REQUIRE(PeerInFlight(fleet, 7).mOnline == sum);
    REQUIRE(PeerWaiting(fleet, 9) == sum);
    REQUIRE(ResponsivePeerCount(fleet) == expected.size());
  }
}

TEST_CASE("the claim with the highest generation determines the owner")
{
  // Guards against sending requests to a former owner that has not yet noticed
  // that the partition was reassigned.
  FleetLoad fleet;
  const auto claim = [&](const std::string& aHost, std::uint64_t aGeneration) {
    auto report = Report(aHost, 1, 1, 0, 0);
    report.partitions.emplace_back(aGeneration, 3);
    ApplyReport(fleet, std::move(report), kNow);
  };
  CHECK_FALSE(OwnerOf(fleet, 3).has_value());
  claim("new", 8);
  claim("old", 7);
  CHECK(OwnerOf(fleet, 3)->mHost == "new");
  MarkUnresponsive(fleet, kNow + seconds(1));
  CHECK_FALSE(OwnerOf(fleet, 3).has_value());
}

TEST_CASE("a registered host counts as responsive only after its first report")
{
  FleetLoad fleet;
  AddPeer(fleet, "a", "d", kNow);
  CHECK(fleet.mPeers.size() == 1);
  CHECK(ResponsivePeerCount(fleet) == 0);
  CHECK(ApplyReport(fleet, Report("a", 1, 1, 2, 0), kNow));
  AddPeer(fleet, "a", "d", kNow);
  CHECK(ResponsivePeerCount(fleet) == 1);
}

} // namespace
} // namespace mangovalve
