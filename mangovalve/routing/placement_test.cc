// Tests of the placement of online requests and batch items.
#include "mangovalve/routing/placement.h"

#include <array>
#include <cmath>
#include <numeric>

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

auto Engine(double aOnline, double aBatch) -> PlacementCandidate
{
  PlacementCandidate candidate;
  candidate.mSlots = 8;
  candidate.mOnline = aOnline;
  candidate.mBatch = aBatch;
  return candidate;
}

TEST_CASE("an online request prefers a free slot to one held by batch")
{
  // Guards against requests that wait for a batch item to stop while another
  // endpoint is idle.
  Random random{ 1 };
  const std::array candidates = { Engine(2, 6), Engine(7, 0) };
  for (int i = 0; i < 100; ++i) {
    CHECK(PlaceOnline(candidates, {}, {}, random) == 1);
  }
}

TEST_CASE("a slot held by batch is available to an online request")
{
  Random random{ 2 };
  const std::array candidates = { Engine(3, 5), Engine(8, 0) };
  CHECK(PlaceOnline(candidates, {}, {}, random) == 0);
}

TEST_CASE("online requests are not queued at an endpoint")
{
  // Engines admit in order of arrival, so waiting requests must be queued by
  // the daemon.
  Random random{ 3 };
  const std::array candidates = { Engine(8, 0), Engine(9, 0) };
  CHECK_FALSE(PlaceOnline(candidates, {}, {}, random).has_value());
}

TEST_CASE("unusable and excluded endpoints are not chosen, for every pair")
{
  Random random{ 4 };
  for (std::size_t unusable = 0; unusable < 3; ++unusable) {
    for (std::size_t excluded = 0; excluded < 3; ++excluded) {
      std::array candidates = { Engine(0, 0), Engine(0, 0), Engine(0, 0) };
      candidates[unusable].mUsable = false;
      const std::array tried = { excluded };
      for (int i = 0; i < 20; ++i) {
        const auto place = PlaceOnline(candidates, tried, {}, random);
        REQUIRE(place.has_value());
        CHECK(*place != unusable);
        CHECK(*place != excluded);
      }
    }
  }
}

TEST_CASE("hosts with the same load reports spread over the endpoints")
{
  // Guards against a thundering herd: eleven hosts that all choose the endpoint
  // with most free slots would overload it within one report interval.
  Random random{ 5 };
  const std::array candidates = {
    Engine(0, 0), Engine(1, 0), Engine(1, 0), Engine(1, 0)
  };
  std::array<int, 4> counts{};
  constexpr int kChoices = 1000;
  for (int i = 0; i < kChoices; ++i) {
    ++counts[*PlaceOnline(candidates, {}, {}, random)];
  }
  CHECK(counts[0] < kChoices / 2);
  CHECK(counts[0] > counts[1]);
}

TEST_CASE("batch items leave the headroom and take no slot from online")
{
  Random random{ 6 };
  for (int online = 0; online <= 8; ++online) {
    for (int batch = 0; batch <= 8; ++batch) {
      const std::array candidates = { Engine(online, batch) };
      const auto place =
        PlaceBatch(candidates, BatchUrgency::OnTime, {}, random);
      CHECK(place.has_value() == (online + batch < 7));
      // Late items leave one more slot free for items that are on time.
      const auto late = PlaceBatch(candidates, BatchUrgency::Late, {}, random);
      CHECK(late.has_value() == (online + batch < 6));
    }
  }
}

TEST_CASE("an idle endpoint runs batch items however few slots it has")
{
  // Guards against items that never run because the slots to be left free are
  // all that an endpoint has.
  Random random{ 17 };
  for (const auto slots : { 1, 2, 3, 4, 8 }) {
    for (const auto urgency : { BatchUrgency::OnTime, BatchUrgency::Late }) {
      for (const auto ownDomain : { true, false }) {
        CAPTURE(slots);
        CAPTURE(ownDomain);
        std::array candidates = { Engine(0, 0) };
        candidates[0].mSlots = slots;
        candidates[0].mOwnDomain = ownDomain;
        CHECK(SpareSlotsForBatch(candidates, {}) == std::max(1, slots - 1));
        CHECK(PlaceBatch(candidates, urgency, {}, random) == 0);
        // What an online request holds is left to it.
        candidates[0].mOnline = slots;
        CHECK_FALSE(PlaceBatch(candidates, urgency, {}, random).has_value());
      }
    }
  }
}

TEST_CASE("endpoints with many slots keep the whole headroom")
{
  // Guards against a limit for small endpoints that takes free slots from the
  // online requests of large ones.
  const PlacementPolicy policy;
  auto candidate = Engine(0, 0);
  const auto most =
    policy.mBatchHeadroom + policy.mLateHeadroom + policy.mOtherDomainMargin;
  candidate.mSlots = most + 1;
  CHECK(BatchHeadroom(candidate, most) == most);
  candidate.mSlots = 2;
  CHECK(BatchHeadroom(candidate, most) == 1);
}

TEST_CASE("other domains are used only when the own one has no free slot")
{
  // Traffic between domains has a price, and load reports from other domains
  // are older.
  Random random{ 10 };
  auto near = Engine(7, 0);
  auto far = Engine(0, 0);
  far.mOwnDomain = false;
  const std::array spacious = { near, far };
  CHECK(PlaceOnline(spacious, {}, {}, random) == 0);
  near.mBatch = 1;
  const std::array full = { near, far };
  CHECK(PlaceOnline(full, {}, {}, random) == 1);
  far.mOnline = 7;
  const std::array nearlyFull = { near, far };
  CHECK(PlaceOnline(nearlyFull, {}, {}, random) == 0);
}

TEST_CASE("a slow start reduces the slots to no less than one")
{
  Random random{ 9 };
  auto candidate = Engine(0, 0);
  candidate.mSlowStart = 0.01;
  const std::array one = { candidate };
  CHECK(PlaceOnline(one, {}, {}, random) == 0);
  candidate.mOnline = 1;
  const std::array busy = { candidate };
  CHECK_FALSE(PlaceOnline(busy, {}, {}, random).has_value());
}

auto Timed(double aOnline, double aRelativeTime) -> PlacementCandidate
{
  auto candidate = Engine(aOnline, 0);
  candidate.mRelativeTime = aRelativeTime;
  return candidate;
}

TEST_CASE("without stated speeds, the choice is the same for any other figure")
{
  // Guards against a change of placement at deployments whose endpoints do not
  // state their speed: weights are the squares of the free slots, and the same
  // random numbers give the same choices.
  constexpr int kChoices = 2000;
  Random random{ 11 };
  Random reference{ 11 };
  PlacementPolicy policy;
  policy.mUnseenPlacements = 50;
  policy.mOtherDomainTimeRatio = 1;
  for (int i = 0; i < kChoices; ++i) {
    std::vector<PlacementCandidate> candidates;
    auto total = 0.0;
    for (int j = 0; j < 9; ++j) {
      candidates.push_back(Engine((i + 3 * j) % 9, 0));
      total += std::pow(8 - candidates.back().mOnline, 2);
    }
    auto remaining = Uniform(reference) * total;
    std::size_t expected = 0;
    for (std::size_t j = 0; j < candidates.size(); ++j) {
      const auto weight = std::pow(8 - candidates[j].mOnline, 2);
      remaining -= weight;
      if (weight > 0 && remaining < 0) {
        expected = j;
        break;
      }
    }
    CHECK(PlaceOnline(candidates, {}, policy, random) == expected);
    CHECK_FALSE(MeanTimeOnFreeSlot(candidates, policy).has_value());
  }
}

TEST_CASE("few expected placements go to the endpoints with most free slots")
{
  // Guards against requests at nearly full endpoints while others are nearly
  // empty: weights by free slots gave a fifth of a burst's requests to the many
  // endpoints with one free slot.
  Random random{ 12 };
  std::vector<PlacementCandidate> candidates(20, Timed(7, 1));
  candidates.push_back(Timed(2, 1));
  candidates.push_back(Timed(2, 1));
  PlacementPolicy policy;
  policy.mUnseenPlacements = 8;
  for (int i = 0; i < 200; ++i) {
    CHECK(*PlaceOnline(candidates, {}, policy, random) >= 20);
  }
}

// Hosts that place requests on the endpoints of domains and see each other's
// requests only by reports.
struct Fleet
{
  static constexpr std::size_t kHosts = 15; // per domain
  static constexpr std::size_t kEndpoints = 22;
  static constexpr double kStep = 0.004; // seconds
  static constexpr int kReportSteps = 20;
  static constexpr double kRunSeconds = 0.8; // at a usual endpoint

  struct Run
  {
    double mEnd = 0;
    std::size_t mHost = 0;
    std::size_t mEndpoint = 0;
  };
  struct Outcome
  {
    int mPlaced = 0;
    int mWithoutSlot = 0; // sent to an endpoint whose slots were all taken
    int mRefused = 0;
    int mSlow = 0; // sent to an endpoint slower than usual
    double mRunSeconds = 0;
    int mOtherDomain = 0;
  };

  bool mStateSpeeds = true;
  std::vector<double> mFactors; // by endpoint; kEndpoints per domain
  std::vector<double> mRates;   // arrivals per second, by domain
  Random mRandom{ 13 };         // of the choices
  Random mArrivals{ 16 };       // the same for each policy

  auto Simulate(double aSeconds) -> Outcome;

private:
  auto Candidates(std::size_t aHost) const -> std::vector<PlacementCandidate>;
  auto Arrive(std::size_t aHost, double aNow, Outcome& aOutcome) -> void;

  std::vector<std::vector<double>> mOwn; // in flight, by host and endpoint
  std::vector<std::vector<double>> mReported;
  std::vector<Run> mRuns;
};

auto Fleet::Candidates(std::size_t aHost) const
  -> std::vector<PlacementCandidate>
{
  std::vector<PlacementCandidate> candidates(mFactors.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    auto& candidate = candidates[i];
    candidate.mSlots = 8;
    candidate.mOwnDomain = i / kEndpoints == aHost / kHosts;
    candidate.mOnline = mOwn[aHost][i];
    for (std::size_t peer = 0; peer < mOwn.size(); ++peer) {
      candidate.mOnline += peer == aHost ? 0 : mReported[peer][i];
    }
    candidate.mRelativeTime = mStateSpeeds ? mFactors[i] : 0;
  }
  return candidates;
}

auto Fleet::Arrive(std::size_t aHost, double aNow, Outcome& aOutcome) -> void
{
  const auto candidates = Candidates(aHost);
  PlacementPolicy policy;
  policy.mUnseenPlacements = 0.05 * mRates[aHost / kHosts];
  std::optional<std::size_t> place;
  if (const auto ownTime = MeanTimeOnFreeSlot(candidates, policy);
      ownTime && MayLeaveDomainEarly(*ownTime, policy)) {
    place = PlaceEarlyInOtherDomain(candidates, {}, *ownTime, policy, mRandom);
  }
  if (!place) {
    place = PlaceOnline(candidates, {}, policy, mRandom);
  }
  if (!place) {
    ++aOutcome.mRefused;
    return;
  }
  auto held = 0.0;
  for (const auto& own : mOwn) {
    held += own[*place];
  }
  const auto run = kRunSeconds * mFactors[*place];
  ++aOutcome.mPlaced;
  aOutcome.mWithoutSlot += held >= 8 ? 1 : 0;
  aOutcome.mSlow += mFactors[*place] > 1 ? 1 : 0;
  aOutcome.mOtherDomain += candidates[*place].mOwnDomain ? 0 : 1;
  aOutcome.mRunSeconds += run;
  mOwn[aHost][*place] += 1;
  mRuns.push_back({ aNow + run, aHost, *place });
}

auto Fleet::Simulate(double aSeconds) -> Outcome
{
  Outcome outcome;
  mOwn.assign(kHosts * mRates.size(), std::vector<double>(mFactors.size(), 0));
  mReported = mOwn;
  for (int step = 0; step * kStep < aSeconds; ++step) {
    const auto now = step * kStep;
    std::erase_if(mRuns, [&](const Run& aRun) {
      const auto ended = aRun.mEnd <= now;
      mOwn[aRun.mHost][aRun.mEndpoint] -= ended ? 1 : 0;
      return ended;
    });
    for (std::size_t host = 0; host < mOwn.size(); ++host) {
      if ((step + static_cast<int>(host)) % kReportSteps == 0) {
        mReported[host] = mOwn[host];
      }
      if (Uniform(mArrivals) < mRates[host / kHosts] * kStep / kHosts) {
        Arrive(host, now, outcome);
      }
    }
  }
  return outcome;
}

TEST_CASE("a machine four times slower gets fewer requests")
{
  // The load is that of the uneven day: one machine of a domain works four
  // times slower, and no host knew. Requests there hold their slots longer, so
  // it is chosen in proportion to its speed or less often.
  Fleet fleet;
  fleet.mFactors.assign(Fleet::kEndpoints, 1);
  fleet.mFactors[0] = 4;
  fleet.mRates = { 120 };
  auto without = fleet;
  without.mStateSpeeds = false;
  const auto known = fleet.Simulate(60);
  const auto unknown = without.Simulate(60);
  INFO("slow: ",
       known.mSlow,
       " of ",
       known.mPlaced,
       ", before ",
       unknown.mSlow,
       " of ",
       unknown.mPlaced);
  CHECK(known.mSlow * 4 * 22 < known.mPlaced * 1.2);
  CHECK(known.mSlow < unknown.mSlow);
  CHECK(known.mRefused == 0);
}

TEST_CASE("requests spread over a domain in a burst")
{
  // The load is a burst that takes nine tenths of a domain's slots, on machines
  // of which some are slower by 1.3: chosen endpoints had 7 requests in the
  // median and up to 12, with 8 slots, while others had 2.
  Fleet fleet;
  fleet.mFactors.assign(Fleet::kEndpoints, 1);
  for (std::size_t i = 0; i < Fleet::kEndpoints; i += 3) {
    fleet.mFactors[i] = 1.3;
  }
  fleet.mRates = { 178 };
  auto known = 0;
  auto unknown = 0;
  for (unsigned seed = 20; seed < 24; ++seed) {
    fleet.mArrivals = Random{ seed };
    auto without = fleet;
    without.mStateSpeeds = false;
    auto with = fleet;
    const auto outcome = with.Simulate(60);
    known += outcome.mWithoutSlot;
    unknown += without.Simulate(60).mWithoutSlot;
    CHECK(outcome.mRefused == 0);
    INFO("sent without a slot: ", known, ", by free slots alone ", unknown);
  }
  CHECK(known < unknown);
}

TEST_CASE("two fifths of the machines are slow while one domain's callers grow")
{
  // Guards against a domain that fills its slow machines while faster ones of
  // another domain are free, and against one that sends everything away.
  Fleet fleet;
  fleet.mFactors.assign(2 * Fleet::kEndpoints, 1);
  for (std::size_t i = 0; i < Fleet::kEndpoints; ++i) {
    fleet.mFactors[i] = i % 5 < 4 ? 2.5 : 1;
  }
  fleet.mRates = { 110, 40 };
  auto without = fleet;
  without.mStateSpeeds = false;
  const auto known = fleet.Simulate(60);
  const auto unknown = without.Simulate(60);
  INFO("mean run: ",
       known.mRunSeconds / known.mPlaced,
       " s, before ",
       unknown.mRunSeconds / unknown.mPlaced,
       " s; without a slot ",
       known.mWithoutSlot,
       ", before ",
       unknown.mWithoutSlot,
       "; other domain ",
       known.mOtherDomain,
       ", before ",
       unknown.mOtherDomain,
       ", refused ",
       known.mRefused,
       ", before ",
       unknown.mRefused);
  CHECK(known.mRunSeconds / known.mPlaced <
        0.8 * unknown.mRunSeconds / unknown.mPlaced);
  CHECK(known.mWithoutSlot <= unknown.mWithoutSlot);
  CHECK(known.mOtherDomain < known.mPlaced * 3 / 4);
}

TEST_CASE("machines that are little slower keep their domain's requests")
{
  // Bytes between domains are dear, and load from there is older.
  Random random{ 14 };
  auto far = Timed(0, 1);
  far.mOwnDomain = false;
  const std::array candidates = { Timed(2, 1.4), far };
  CHECK_FALSE(
    PlaceEarlyInOtherDomain(candidates, {}, 1.4, {}, random).has_value());
  CHECK(PlaceEarlyInOtherDomain(candidates, {}, 1.6, {}, random) == 1);
  const std::array excluded = { std::size_t{ 1 } };
  CHECK_FALSE(
    PlaceEarlyInOtherDomain(candidates, excluded, 4, {}, random).has_value());
}

TEST_CASE("batch items prefer faster machines")
{
  // An item holds its slot four times as long on a machine four times slower.
  Random random{ 15 };
  const std::array candidates = { Timed(0, 1), Timed(0, 4) };
  std::array<int, 2> counts{};
  for (int i = 0; i < 1000; ++i) {
    ++counts[*PlaceBatch(candidates, BatchUrgency::OnTime, {}, random)];
  }
  CHECK(counts[1] * 3 < counts[0]);
}

} // namespace
} // namespace mangovalve
