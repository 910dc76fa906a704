// Tests of the requests to cold endpoints.
#include "mangovalve/routing/warmup.h"

#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <absl/strings/str_cat.h>

#include "mangovalve/base/random.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

auto MostAllowed(double aRate) -> double
{
  return 1.5 * aRate + 5;
}

// Guards against an outdated statement that makes a cold endpoint warm.
TEST_CASE("the newest statement about the cold time counts")
{
  ColdStatement latest;
  CHECK_FALSE(IsCold(latest, kStart));
  const ColdStatement cold{ kStart + seconds(3), kStart };
  CHECK(ApplyColdStatement(latest, cold, milliseconds(300)));
  CHECK(IsCold(latest, kStart + milliseconds(2999)));
  CHECK_FALSE(IsCold(latest, kStart + seconds(3)));
  const auto before = kStart - milliseconds(1);
  CHECK_FALSE(
    ApplyColdStatement(latest, { before, before }, milliseconds(300)));
  CHECK(IsCold(latest, kStart + seconds(1)));
  const auto after = kStart + milliseconds(1);
  // The same end, as stated later.
  CHECK_FALSE(ApplyColdStatement(
    latest, { kStart + milliseconds(3100), after }, milliseconds(300)));
  CHECK(ApplyColdStatement(
    latest, { after, after + milliseconds(1) }, milliseconds(300)));
  CHECK_FALSE(IsCold(latest, kStart + seconds(1)));
}

// Guards against a rate that lets two groups exceed the bound together.
TEST_CASE("two groups of hosts stay under the bound")
{
  for (const auto rate : { 0.1, 0.5, 1.0, 3.0, 6.9, 20.0, 150.0 }) {
    const auto share = ShareOfWarmup(rate);
    CHECK(share.mRate > 0);
    CHECK(share.mRate <= rate);
    const auto senders = static_cast<double>(share.mSenders);
    CHECK(2 * (1.25 * share.mRate + senders) <= MostAllowed(rate) + 1e-9);
  }
  // Most of the rate is used.
  CHECK(ShareOfWarmup(6.9).mRate > 0.6 * 6.9);
}

struct SimulatedHost
{
  std::string mName;
  EndpointLimit mLimit;
  std::size_t mGroup = 0; // hosts of the same group hear each other
  TimePoint mSettledAt = kStart;
};

enum class Faults
{
  None,
  Some, // groups form and dissolve, and hosts restart
};

// A fleet of 3 to 24 hosts with more demand at every one than the endpoint may
// get, for 20 s.
auto Simulate(double aRate, std::uint64_t aSeed, Faults aFaults)
  -> std::vector<TimePoint>
{
  Random random{ aSeed };
  const auto count = 3 + UniformBelow(random, 22);
  std::vector<SimulatedHost> hosts(count);
  for (std::size_t i = 0; i < count; ++i) {
    hosts[i].mName = absl::StrCat("10.0.0.", i, ":1");
  }
  std::vector<TimePoint> arrivals;
  for (auto now = kStart; now < kStart + seconds(20); now += milliseconds(5)) {
    if (aFaults == Faults::Some && UniformBelow(random, 400) == 0) {
      const auto groups = 1 + UniformBelow(random, 4);
      for (auto& host : hosts) {
        host.mGroup = UniformBelow(random, groups);
      }
    }
    if (aFaults == Faults::Some && UniformBelow(random, 300) == 0) {
      auto& host = hosts[UniformBelow(random, count)];
      host.mLimit = {};
      host.mSettledAt = now + milliseconds(1500);
    }
    for (auto& host : hosts) {
      // Views are renewed at different times.
      if (UniformBelow(random, 40) == 0 || !host.mLimit.mWarmupRate) {
        std::vector<std::string> responsive;
        for (const auto& other : hosts) {
          if (other.mGroup == host.mGroup) {
            responsive.push_back(other.mName);
          }
        }
        const SenderView view{ host.mName, responsive, count };
        SetWarmupRate(host.mLimit, aRate, now);
        const auto part = PartOfWarmup("e", aRate, std::nullopt, view);
        SetPart(host.mLimit, now < host.mSettledAt ? 0 : part, now);
      }
      if (UniformBelow(random, 4) != 0 &&
          MaySend(host.mLimit, LimitedUse::Needed, now)) {
        RecordSent(host.mLimit, now);
        const auto delay = milliseconds(UniformBelow(random, 250));
        if (MayStillSend(host.mLimit, now, now + delay)) {
          arrivals.push_back(now + delay);
        }
      }
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  return arrivals;
}

// Guards against the sum over all hosts in any second, with views that differ,
// groups that can't hear each other, hosts that restart and late requests.
TEST_CASE("a cold endpoint gets no more than its bound in any second")
{
  for (const auto rate : { 1.0, 6.9, 25.0 }) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      const auto arrivals = Simulate(rate, seed, Faults::Some);
      CHECK_FALSE(arrivals.empty());
      std::ptrdiff_t most = 0;
      for (auto from = arrivals.begin(); from != arrivals.end(); ++from) {
        const auto to =
          std::upper_bound(from, arrivals.end(), *from + seconds(1));
        most = std::max(most, to - from);
      }
      CHECK_MESSAGE(static_cast<double>(most) <= MostAllowed(rate),
                    "rate ",
                    rate,
                    " seed ",
                    seed,
                    " most ",
                    most);
    }
  }
}

// Guards against a bound that is kept because nothing is sent.
TEST_CASE("a cold endpoint gets a good part of its rate from a sound fleet")
{
  for (const auto rate : { 1.0, 6.9, 25.0 }) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      const auto arrivals = Simulate(rate, seed, Faults::None);
      CHECK_MESSAGE(static_cast<double>(arrivals.size()) > 20 * 0.4 * rate,
                    "rate ",
                    rate,
                    " seed ",
                    seed);
    }
  }
}

// Guards against a request that was chosen for a warm endpoint and is sent when
// it has turned cold, and against a burst at that moment.
TEST_CASE("an endpoint that turns cold gets nothing that was chosen before")
{
  EndpointLimit limit;
  CHECK(MayStillSend(limit, kStart, kStart + seconds(5)));
  SetWarmupRate(limit, 6.9, kStart + milliseconds(10));
  SetPart(limit, 2, kStart + milliseconds(10));
  CHECK_FALSE(MayStillSend(limit, kStart, kStart + milliseconds(11)));
  CHECK_FALSE(MaySend(limit, LimitedUse::Needed, kStart + milliseconds(509)));
  const auto next = kStart + milliseconds(510);
  CHECK(MaySend(limit, LimitedUse::Needed, next));
  RecordSent(limit, next);
  CHECK_FALSE(MaySend(limit, LimitedUse::Needed, next));
  CHECK(MayStillSend(limit, next, next + kMaxSendDelay));
  CHECK_FALSE(
    MayStillSend(limit, next, next + kMaxSendDelay + milliseconds(1)));
  // Idle time saves one request only.
  const auto late = next + seconds(10);
  RecordSent(limit, late);
  CHECK_FALSE(MaySend(limit, LimitedUse::Needed, late));
  // Warm again: no limit.
  SetWarmupRate(limit, std::nullopt, late);
  CHECK(MaySend(limit, LimitedUse::Spare, late));
  CHECK_FALSE(IsLimited(limit));
}

// Guards against an endpoint whose own limit is forgotten while it is cold, or
// whose warm-up rate is exceeded because its own limit is higher.
TEST_CASE("the lower of the limit and the warm-up rate binds")
{
  const std::vector<std::string> hosts{ "h" };
  const SenderView view{ "h", hosts, 1 };
  CHECK(PartOfWarmup("e", 6.9, 1.5, view) == 1.5);
  CHECK(PartOfWarmup("e", 6.9, 50, view) == ShareOfWarmup(6.9).mRate);
  EndpointLimit limit;
  ApplyStatement(limit, { 1.5, kStart }, kStart);
  SetWarmupRate(limit, 6.9, kStart);
  CHECK(AllowedRate(limit) == 1.5);
  ApplyStatement(
    limit, { std::nullopt, kStart + seconds(1) }, kStart + seconds(1));
  CHECK(IsLimited(limit));
  CHECK(AllowedRate(limit) == 6.9);
}

} // namespace
} // namespace mangovalve
