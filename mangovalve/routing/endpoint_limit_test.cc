// Tests of endpoints' rate limits, in virtual time.
#include "mangovalve/routing/endpoint_limit.h"

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "mangovalve/base/random.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr auto kWindow = seconds(4);

// Most requests that an endpoint with this limit may get in a window.
auto MostAllowed(double aRate) -> double
{
  return 1.5 * aRate * 4 + 5;
}

auto Hosts(std::size_t aCount) -> std::vector<std::string>
{
  std::vector<std::string> hosts;
  for (std::size_t i = 0; i < aCount; ++i) {
    hosts.push_back(absl::StrCat("10.0.0.", i, ":7000"));
  }
  return hosts;
}

// Guards against hosts that use more of a limit together than it allows, and
// against a part of it that no host uses.
TEST_CASE("equal views share exactly the limit among its senders")
{
  for (const std::size_t count : { 1U, 3U, 4U, 25U, 95U }) {
    const auto hosts = Hosts(count);
    for (const auto rate : { 0.0, 0.1, 0.5, 1.0, 2.3, 7.9, 40.0, 1e300 }) {
      auto total = 0.0;
      std::size_t senders = 0;
      for (const auto& host : hosts) {
        const auto part = PartOfLimit("e", rate, { host, hosts, count });
        total += part;
        senders += part > 0 ? 1 : 0;
      }
      CHECK(total == doctest::Approx(std::max(rate, kMinEndpointRate)));
      CHECK(senders == SenderCount(rate, count));
      CHECK(static_cast<double>(senders) <= rate + 1);
    }
  }
}

// Guards against endpoints that all have the same few hosts as senders.
TEST_CASE("the senders of different endpoints differ")
{
  const auto hosts = Hosts(10);
  std::size_t without = 0;
  for (const auto& host : hosts) {
    auto part = 0.0;
    for (int i = 0; i < 40; ++i) {
      part += PartOfLimit(absl::StrCat("e", i), 1, { host, hosts, 10 });
    }
    without += part == 0 ? 1 : 0;
  }
  CHECK(without == 0);
}

TEST_CASE("an older statement does not replace a newer one")
{
  // Guards against a limit that comes back from an outdated report.
  EndpointLimit limit;
  CHECK(ApplyStatement(limit, { 2.5, kStart }, kStart));
  CHECK(IsLimited(limit));
  CHECK_FALSE(ApplyStatement(limit, { 2.5, kStart + seconds(1) }, kStart));
  CHECK(ApplyStatement(limit, { std::nullopt, kStart + seconds(2) }, kStart));
  CHECK_FALSE(ApplyStatement(
    limit, { 2.5, kStart + milliseconds(1900) }, kStart + seconds(9)));
  CHECK_FALSE(IsLimited(limit));
  CHECK(MaySend(limit, LimitedUse::Spare, kStart));
}

TEST_CASE("a sender keeps its part, and saves a few requests")
{
  EndpointLimit limit;
  ApplyStatement(limit, { 1.0, kStart }, kStart);
  CHECK_FALSE(MaySend(limit, LimitedUse::Needed, kStart + seconds(60)));
  SetPart(limit, 0.5, kStart);
  CHECK_FALSE(MaySend(limit, LimitedUse::Needed, kStart + milliseconds(1999)));
  const auto late = kStart + seconds(20);
  for (int i = 0; i < kSavedRequests; ++i) {
    CHECK(MaySend(limit, LimitedUse::Needed, late));
    RecordSent(limit, late);
  }
  CHECK_FALSE(MaySend(limit, LimitedUse::Needed, late + milliseconds(1999)));
  CHECK(MaySend(limit, LimitedUse::Needed, late + seconds(2)));
  // Nothing is surplus until all are saved, nor spare until one is lost.
  CHECK_FALSE(MaySend(limit, LimitedUse::Surplus, late + milliseconds(3999)));
  CHECK(MaySend(limit, LimitedUse::Surplus, late + seconds(4)));
  CHECK_FALSE(MaySend(limit, LimitedUse::Spare, late + milliseconds(5999)));
  CHECK(MaySend(limit, LimitedUse::Spare, late + seconds(6)));
}

TEST_CASE("a change of the part keeps the progress towards the next request")
{
  EndpointLimit limit;
  ApplyStatement(limit, { 1.0, kStart }, kStart);
  SetPart(limit, 1, kStart);
  // Half of the wait is left, which takes twice as long at half of the rate.
  SetPart(limit, 0.5, kStart + milliseconds(500));
  CHECK_FALSE(MaySend(limit, LimitedUse::Needed, kStart + milliseconds(1490)));
  CHECK(MaySend(limit, LimitedUse::Needed, kStart + milliseconds(1510)));
  // A host that is a sender again has no request saved.
  SetPart(limit, 0, kStart + seconds(9));
  CHECK_FALSE(MaySend(limit, LimitedUse::Needed, kStart + seconds(9)));
  SetPart(limit, 0.5, kStart + seconds(9));
  CHECK_FALSE(MaySend(limit, LimitedUse::Needed, kStart + milliseconds(10900)));
}

// A fleet of hosts that have bursts of requests, whose views of each other lag,
// differ, and at times are wrong.
class LaggingFleet
{
public:
  LaggingFleet(std::uint64_t aSeed, std::size_t aHosts, double aRate)
    : mRandom{ aSeed }
    , mHosts(Hosts(aHosts))
    , mRunning(aHosts, true)
    , mLimits(aHosts)
    , mViews(aHosts, std::vector<bool>(aHosts, true))
    , mRate(aRate)
  {
    for (auto& limit : mLimits) {
      ApplyStatement(limit, { aRate, kStart }, kStart);
    }
  }

  // Runs for aTime; returns the most requests in a window.
  auto Run(Duration aTime) -> std::size_t
  {
    for (auto now = kStart; now < kStart + aTime; now += kStep) {
      if (UniformBelow(mRandom, 1000) < 3) {
        StopOrStart(now);
      }
      if (UniformBelow(mRandom, 1000) < 5) {
        mBurst = !mBurst;
      }
      Refresh();
      for (std::size_t i = 0; i < mHosts.size(); ++i) {
        Send(i, now);
      }
    }
    return mMost;
  }

private:
  static constexpr auto kStep = milliseconds(10);
  static constexpr auto kSettling = milliseconds(1500);

  auto StopOrStart(TimePoint aNow) -> void
  {
    const auto host = UniformBelow(mRandom, mHosts.size());
    mRunning[host] = !mRunning[host];
    // A new process hears the limit at once and has all hosts in its view.
    mLimits[host] = EndpointLimit{};
    ApplyStatement(mLimits[host], { mRate, aNow }, aNow);
    mSettledAt[host] = aNow + kSettling;
  }

  // Each entry of a view becomes right about every 1.5 s.
  auto Refresh() -> void
  {
    for (auto& view : mViews) {
      const auto peer = UniformBelow(mRandom, mHosts.size());
      if (UniformBelow(mRandom, 150) < mHosts.size()) {
        view[peer] = mRunning[peer];
      }
    }
  }

  auto Send(std::size_t aHost, TimePoint aNow) -> void
  {
    if (!mRunning[aHost]) {
      return;
    }
    std::vector<std::string> responsive{ mHosts[aHost] };
    for (std::size_t peer = 0; peer < mHosts.size(); ++peer) {
      if (peer != aHost && mViews[aHost][peer]) {
        responsive.push_back(mHosts[peer]);
      }
    }
    const auto settled = aNow >= mSettledAt[aHost];
    auto& limit = mLimits[aHost];
    SetPart(
      limit,
      settled
        ? PartOfLimit("e", mRate, { mHosts[aHost], responsive, mHosts.size() })
        : 0,
      aNow);
    const auto use = mBurst ? LimitedUse::Needed : LimitedUse::Surplus;
    while (MaySend(limit, use, aNow)) {
      RecordSent(limit, aNow);
      mSent.push_back(aNow);
      while (mSent.front() <= aNow - kWindow) {
        mSent.pop_front();
      }
      mMost = std::max(mMost, mSent.size());
    }
  }

  Random mRandom;
  std::vector<std::string> mHosts;
  std::vector<bool> mRunning;
  std::map<std::size_t, TimePoint> mSettledAt;
  std::vector<EndpointLimit> mLimits;
  std::vector<std::vector<bool>> mViews; // which hosts seem to run
  double mRate;
  bool mBurst = false;
  std::deque<TimePoint> mSent;
  std::size_t mMost = 0;
};

// Guards against views that differ while hosts stop and start: the hosts must
// keep to the limit together all the same.
TEST_CASE("hosts with different views of the fleet keep to the limit together")
{
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    for (const std::size_t hosts : { 3U, 4U, 19U }) {
      for (const auto rate : { 0.0, 0.3, 1.0, 2.6, 9.5 }) {
        LaggingFleet fleet(seed, hosts, rate);
        CAPTURE(seed);
        CAPTURE(hosts);
        CAPTURE(rate);
        CHECK(static_cast<double>(fleet.Run(seconds(40))) <= MostAllowed(rate));
      }
    }
  }
}

} // namespace
} // namespace mangovalve
