// Tests of the fleet-wide token bucket.
#include "mangovalve/limits/fleet_rate.h"

#include <deque>
#include <vector>

#include <doctest/doctest.h>

#include "mangovalve/base/random.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

auto Limited(double aRate, double aBurst) -> FleetRate
{
  FleetRate rate;
  SetLimits(rate, aRate, aBurst, kStart);
  return rate;
}

TEST_CASE("a team without a limit is always admitted")
{
  FleetRate rate;
  for (int i = 0; i < 1000; ++i) {
    CHECK(Admit(rate, kStart));
  }
}

TEST_CASE("one host admits the burst, then the rate")
{
  auto rate = Limited(10, 5);
  auto admitted = 0;
  for (int ms = 0; ms <= 1000; ++ms) {
    admitted += Admit(rate, kStart + milliseconds(ms)) ? 1 : 0;
  }
  CHECK(admitted == 15);
}

TEST_CASE("a retry at the scheduled time is admitted")
{
  auto rate = Limited(4, 1);
  CHECK(Admit(rate, kStart));
  CHECK_FALSE(Admit(rate, kStart));
  const auto due = ScheduleRetry(rate, 1, kStart);
  CHECK_FALSE(Admit(rate, due - milliseconds(2)));
  CHECK(Admit(rate, due + milliseconds(1)));
}

TEST_CASE(
  "retry wave: callers that are refused together are scheduled to retry "
  "one by one")
{
  // Guards against retry waves: if all refused callers are assigned the time of
  // the next token, they retry together and all but one are refused again. Seen
  // with a team at four times its rate.
  auto rate = Limited(10, 1);
  CHECK(Admit(rate, kStart));
  std::vector<TimePoint> retryTimes;
  for (int i = 0; i < 20; ++i) {
    CHECK_FALSE(Admit(rate, kStart));
    retryTimes.push_back(ScheduleRetry(rate, 1, kStart));
  }
  auto admitted = 0;
  for (const auto at : retryTimes) {
    admitted += Admit(rate, at + milliseconds(1)) ? 1 : 0;
  }
  CHECK(admitted == 20);
}

TEST_CASE("scheduled retry times are bounded and expire")
{
  auto rate = Limited(0.01, 1);
  CHECK(Admit(rate, kStart));
  for (int i = 0; i < 100; ++i) {
    const auto at = ScheduleRetry(rate, 50, kStart);
    CHECK(at <= kStart + std::chrono::seconds(60));
  }
  auto quick = Limited(10, 1);
  CHECK(Admit(quick, kStart));
  static_cast<void>(ScheduleRetry(quick, 10, kStart));
  const auto later = kStart + std::chrono::seconds(5);
  CHECK(Admit(quick, later));
  CHECK(ScheduleRetry(quick, 10, later) <= later + milliseconds(101));
}

TEST_CASE("a refund returns the token locally and at the peers")
{
  auto rate = Limited(1, 1);
  CHECK(Admit(rate, kStart));
  Refund(rate, kStart);
  CHECK(rate.mAdmitted == 0);
  CHECK(Admit(rate, kStart));

  auto peer = Limited(1, 2);
  CountPeerReport(peer, "a", 1, 2, true, kStart);
  CHECK_FALSE(Admit(peer, kStart));
  CountPeerReport(peer, "a", 1, 1, true, kStart);
  CHECK(Admit(peer, kStart));
}

TEST_CASE("a restarted peer counts from zero, a first report sets the baseline")
{
  auto rate = Limited(1, 100);
  CountPeerReport(rate, "a", 1, 1000, false, kStart);
  CHECK(rate.mTokens == doctest::Approx(100));
  CountPeerReport(rate, "a", 1, 1010, false, kStart);
  CHECK(rate.mTokens == doctest::Approx(90));
  CountPeerReport(rate, "a", 2, 3, true, kStart);
  CHECK(rate.mTokens == doctest::Approx(87));
}

TEST_CASE("admissions of an unreachable peer are not charged when it returns")
{
  // Guards against a team that is refused for seconds after a partition has
  // healed, because each side charges the other for admissions from that side's
  // own fraction of the rate.
  auto rate = Limited(10, 10);
  CountPeerReport(rate, "a", 1, 50, false, kStart);
  ResetPeerBaseline(rate, "a");
  // The same if the team's first report arrives some time after the peer has
  // become reachable again.
  CountPeerReport(rate, "a", 1, 500, true, kStart);
  CHECK(rate.mTokens == doctest::Approx(10));
  CountPeerReport(rate, "a", 1, 502, true, kStart);
  CHECK(rate.mTokens == doctest::Approx(8));
}

TEST_CASE("a lower burst reduces the tokens at once, a new limit starts full")
{
  auto rate = Limited(10, 50);
  SetLimits(rate, 10, 3, kStart);
  CHECK(rate.mTokens == doctest::Approx(3));
  SetLimits(rate, 10, 50, kStart);
  CHECK(rate.mTokens == doctest::Approx(3));
}

// A fleet whose hosts receive each other's reports with a delay.
struct Fleet
{
  std::vector<FleetRate> mHosts;
  struct Report
  {
    TimePoint mAt;
    std::size_t mFrom;
    std::uint64_t mAdmitted;
  };
  std::deque<Report> mReports;
  std::vector<bool> mSide; // side of the partition, by host
  bool mPartitioned = false;

  auto Deliver(TimePoint aNow) -> void
  {
    while (!mReports.empty() && mReports.front().mAt <= aNow) {
      const auto report = mReports.front();
      mReports.pop_front();
      for (std::size_t i = 0; i < mHosts.size(); ++i) {
        if (i != report.mFrom &&
            (!mPartitioned || mSide[i] == mSide[report.mFrom])) {
          CountPeerReport(mHosts[i],
                          std::to_string(report.mFrom),
                          1,
                          report.mAdmitted,
                          true,
                          aNow);
        }
      }
    }
  }

  auto SendReports(TimePoint aAt) -> void
  {
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      mReports.push_back({ aAt, i, mHosts[i].mAdmitted });
    }
  }
};

// Largest number of admissions in any window of five seconds.
auto MaxAdmissionsInWindow(const std::vector<TimePoint>& aTimes) -> std::size_t
{
  std::size_t worst = 0;
  std::size_t begin = 0;
  for (std::size_t end = 0; end < aTimes.size(); ++end) {
    while (aTimes[end] - aTimes[begin] >= std::chrono::seconds(5)) {
      ++begin;
    }
    worst = std::max(worst, end - begin + 1);
  }
  return worst;
}

auto SimulateOverload(std::uint64_t aSeed, bool aPartitioned)
  -> std::vector<TimePoint>
{
  constexpr std::size_t kHosts = 11;
  constexpr double kRate = 60;
  Random random{ aSeed };
  Fleet fleet;
  fleet.mHosts.assign(kHosts, Limited(kRate, kRate));
  for (std::size_t i = 0; i < kHosts; ++i) {
    fleet.mSide.push_back(i < 4);
  }
  std::vector<TimePoint> admitted;
  for (int ms = 0; ms < 15000; ++ms) {
    const auto now = kStart + milliseconds(ms);
    if (aPartitioned && ms == 5000) {
      fleet.mPartitioned = true;
    }
    // The partition is detected after 1.5 s.
    if (aPartitioned && ms == 6500) {
      for (std::size_t i = 0; i < kHosts; ++i) {
        SetShare(fleet.mHosts[i], fleet.mSide[i] ? 4.0 / 11 : 7.0 / 11, now);
      }
    }
    fleet.Deliver(now);
    if (ms % 60 == 0) {
      fleet.SendReports(now + milliseconds(2));
    }
    // Five times the rate, most of it at a few hosts.
    if (Uniform(random) < 5 * kRate / 1000) {
      const auto host = UniformBelow(random, 1 + UniformBelow(random, kHosts));
      if (Admit(fleet.mHosts[host], now)) {
        admitted.push_back(now);
      }
    }
  }
  return admitted;
}

TEST_CASE("a team offered five times its rate stays within the bound")
{
  // The platform's bound: (rate x window + burst) x 1.1 + 20.
  constexpr double kBound = (60 * 5 + 60) * 1.1 + 20;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto admitted = SimulateOverload(seed, false);
    CHECK(static_cast<double>(MaxAdmissionsInWindow(admitted)) <= kBound);
    // At least 97% of the rate must be admitted.
    CHECK(static_cast<double>(admitted.size()) >= 0.97 * (60 * 15));
  }
}

TEST_CASE("a partition into two sides does not double a team's rate")
{
  constexpr double kBound = (60 * 5 + 60) * 1.1 + 20;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CHECK(static_cast<double>(
            MaxAdmissionsInWindow(SimulateOverload(seed, true))) <= kBound);
  }
}

} // namespace
} // namespace mangovalve
