// Tests of the division into shares and of the holder's prefetched tokens.
#include "mangovalve/limits/bucket_holder.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using namespace std::chrono_literals;

auto MakeDocument(int aDomains, Share aLimit) -> Document
{
  Document document;
  document.mRevision = 1;
  for (auto index = 0; index < aDomains; ++index) {
    document.mDomains["d" + std::to_string(index)];
  }
  document.mTeams["team"] = { "team", aLimit.mRate, aLimit.mBurst };
  return document;
}

// Guards against shares that sum to more or less than the team's limits, and
// against a domain that has a rate but less than one token of burst, which
// could never admit a request.
TEST_CASE("shares sum to the rate and burst and have whole tokens")
{
  for (auto domains = 1; domains <= 16; ++domains) {
    for (auto burst = 1; burst <= 40; ++burst) {
      const auto table = MakeShareTable(
        MakeDocument(domains, { 12.0, static_cast<double>(burst) }));
      Share sum;
      for (const auto& domain : table.mDomains) {
        const auto share = ShareOf(table, "team", domain);
        CHECK(share.mBurst == static_cast<int>(share.mBurst));
        CHECK((share.mRate > 0) == (share.mBurst >= 1));
        sum.mRate += share.mRate;
        sum.mBurst += share.mBurst;
      }
      CHECK(sum.mBurst == burst);
      CHECK(sum.mRate == doctest::Approx(12));
    }
  }
}

// Guards against hosts at different revisions whose shares sum to more than any
// single revision allows. Covers every history of three revisions with three
// bursts and two rates, and every combination of revisions in three domains.
TEST_CASE("usable shares sum to at most the limits of one revision")
{
  for (auto code = 0; code < 6 * 6 * 6; ++code) {
    ShareHistory history;
    std::vector<Share> limits;
    for (std::uint64_t revision = 1; revision <= 3; ++revision) {
      const auto digit = code /
                         (revision == 1   ? 1
                          : revision == 2 ? 6
                                          : 36) %
                         6;
      const auto burst = 1 + digit / 2;
      limits.push_back(
        { digit % 2 == 0 ? 30.0 : 60.0, static_cast<double>(burst) });
      auto document = MakeDocument(3, limits.back());
      document.mRevision = revision;
      AddRevision(history, document);
    }
    for (auto at = 0; at < 27; ++at) {
      const std::uint64_t newest[] = { 1 + at % 3U,
                                       1 + at / 3 % 3U,
                                       1 + at / 9U };
      const auto floor = std::min({ newest[0], newest[1], newest[2] });
      Share sum;
      for (auto domain = 0; domain < 3; ++domain) {
        const auto share = UsableShare(
          history, floor, newest[domain], "team", "d" + std::to_string(domain));
        sum.mRate += share.mRate;
        sum.mBurst += share.mBurst;
      }
      auto fits = false;
      for (const auto& limit : limits) {
        fits = fits || (sum.mRate <= limit.mRate + 1e-9 &&
                        sum.mBurst <= limit.mBurst + 1e-9);
      }
      CAPTURE(code);
      CAPTURE(at);
      CHECK(fits);
    }
  }
}

// Guards against a bucket that refills to its full burst while clients still
// hold prefetched tokens.
TEST_CASE("prefetched tokens lower the cap until they expire")
{
  const LimitSettings settings;
  LimitView view;
  view.mHost = "h";
  view.mAccrualFactor = 1;
  AddRevision(view.mHistory, MakeDocument(1, { 100, 20 }));
  view.mShareOwners["d0"];
  BucketHolder holder;
  auto now = TimePoint(1h);
  const auto grantLease = [&] {
    holder.mRequests[++holder.mSequence] = { "d0", now };
    OnLeaseGrant(holder,
                 view,
                 { holder.mSequence, 0xffff, 1, 1, settings.mLease, {} },
                 now);
  };
  const auto group = GroupOf("team");
  const auto tokens = [&] {
    UpdateBuckets(holder, view, now);
    return holder.mGroups.at(group).mTeams.at("team").mBucket.mTokens;
  };
  for (auto round = 0; round < 10; ++round) {
    grantLease();
    now += 50ms;
  }
  CHECK(tokens() == doctest::Approx(20));
  const auto answer = OnTokenRequest(
    holder, view, settings, "c", { { { 1, "team", 1, 300ms, 4 } } }, now);
  const auto& entry = std::get<TokenGrant>(answer.mMessage).mEntries.at(0);
  REQUIRE(entry.mPrefetch == 4);
  const auto until = now + entry.mPrefetchValid;
  while (now + 10ms < until) {
    grantLease();
    now += 10ms;
    CHECK(tokens() <= 16 + 1e-9);
  }
  now = until + 20ms;
  grantLease();
  now += 100ms;
  CHECK(tokens() == doctest::Approx(20));
}

} // namespace
} // namespace mangovalve
