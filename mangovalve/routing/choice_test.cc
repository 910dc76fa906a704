// Tests of the endpoint choice.
#include "mangovalve/routing/choice.h"

#include <map>

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

auto Make(const std::string& aAddress, bool aOwnDomain, double aReported)
  -> Candidate
{
  Candidate candidate;
  candidate.mAddress = aAddress;
  candidate.mOwnDomain = aOwnDomain;
  candidate.mReported = aReported;
  candidate.mLimit = 10;
  return candidate;
}

TEST_CASE("own requests since the report are counted once")
{
  auto candidate = Make("a", true, 5);
  candidate.mOwnAtReport = 2;
  candidate.mOwnInFlight = 4;
  CHECK(EstimatedLoad(candidate) == 7);
  candidate.mReported = -1;
  CHECK(EstimatedLoad(candidate) == 4);
}

// Guards against requests that are sent to a full endpoint.
TEST_CASE("full endpoints are not chosen")
{
  Random random{ 1 };
  SpillState spill;
  std::vector<Candidate> all{ Make("a", true, 10), Make("b", true, 12) };
  CHECK_FALSE(ChooseEndpoint(all, 0, {}, spill, random));
  all.push_back(Make("c", true, 9));
  for (auto i = 0; i < 100; ++i) {
    CHECK(ChooseEndpoint(all, i, {}, spill, random) == 2U);
  }
}

// Guards against all hosts choosing the endpoint that a lagging report showed
// as the least loaded.
TEST_CASE("hosts with the same report do not all choose the same endpoint")
{
  std::vector<Candidate> all;
  for (auto i = 0; i < 12; ++i) {
    all.push_back(
      Make(std::string(1, static_cast<char>('a' + i)), true, i < 4 ? 0 : 2));
  }
  std::map<std::size_t, int> chosen;
  for (std::uint64_t host = 0; host < 900; ++host) {
    Random random{ host };
    SpillState spill;
    ++chosen[*ChooseEndpoint(all, 0, {}, spill, random)];
  }
  for (const auto& [index, count] : chosen) {
    CHECK(count < 900 / 4);
  }
}

// Guards against spill-over that starts or stops with every report.
TEST_CASE("spill-over starts and stops with hysteresis")
{
  Random random{ 1 };
  SpillState spill;
  const ChoicePolicy policy;
  const auto spills = [&](double aOwn, double aOther) {
    const std::vector<Candidate> all{ Make("a", true, aOwn),
                                      Make("b", false, aOther) };
    static_cast<void>(ChooseEndpoint(all, 0, policy, spill, random));
    return spill.mSpilling;
  };
  CHECK_FALSE(spills(5, 5));
  CHECK_FALSE(spills(6, 5));
  CHECK(spills(7, 5));
  CHECK(spills(6, 5));
  CHECK_FALSE(spills(5, 5));
  CHECK_FALSE(spills(6, 5));
}

// Guards against spill-over of all requests when hosts only poll the endpoints
// of their own domain.
TEST_CASE("endpoints without load reports are not assumed to be idle")
{
  Random random{ 1 };
  SpillState spill;
  const std::vector<Candidate> all{ Make("a", true, 9), Make("b", false, -1) };
  CHECK(ChooseEndpoint(all, 0, {}, spill, random) == 0U);
  CHECK_FALSE(spill.mSpilling);
}

TEST_CASE("other domains are used when the own one has no capacity")
{
  Random random{ 1 };
  SpillState spill;
  const std::vector<Candidate> all{ Make("a", true, 10), Make("b", false, 9) };
  CHECK(ChooseEndpoint(all, 0, {}, spill, random) == 1U);
}

// Guards against a popular prefix that overloads its endpoint.
TEST_CASE("a prefix keeps its endpoint unless that is overloaded")
{
  Random random{ 1 };
  SpillState spill;
  std::vector<Candidate> all;
  for (const auto* const address : { "a", "b", "c", "d" }) {
    all.push_back(Make(address, true, 4));
  }
  const auto preferred = *ChooseEndpoint(all, 77, {}, spill, random);
  for (auto i = 0; i < 50; ++i) {
    CHECK(ChooseEndpoint(all, 77, {}, spill, random) == preferred);
  }
  all[preferred].mReported = 9;
  for (auto i = 0; i < 50; ++i) {
    CHECK(ChooseEndpoint(all, 77, {}, spill, random) != preferred);
  }
}

// Guards against overload of an endpoint right after its recovery.
TEST_CASE("a slow-starting endpoint gets a reduced share")
{
  Random random{ 3 };
  SpillState spill;
  std::vector<Candidate> all{ Make("a", true, 4), Make("b", true, 2) };
  all[1].mSlowStart = 0.1;
  for (auto i = 0; i < 50; ++i) {
    CHECK(ChooseEndpoint(all, 0, {}, spill, random) == 0U);
  }
}

} // namespace
} // namespace mangovalve
