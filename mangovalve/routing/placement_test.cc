// Tests of placement.
#include "mangovalve/routing/placement.h"

#include <array>
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

TEST_CASE("an online request goes to a free slot before one that batch holds")
{
  // Guards against requests that wait for a batch item to stop while another
  // endpoint is idle.
  Random random{ 1 };
  const std::array candidates = { Engine(2, 6), Engine(7, 0) };
  for (int i = 0; i < 100; ++i) {
    CHECK(PlaceOnline(candidates, {}, {}, random) == 1);
  }
}

TEST_CASE("batch never keeps an online request from an endpoint")
{
  Random random{ 2 };
  const std::array candidates = { Engine(3, 5), Engine(8, 0) };
  CHECK(PlaceOnline(candidates, {}, {}, random) == 0);
}

TEST_CASE("online requests are not queued at an endpoint behind each other")
{
  // Engines admit in order of arrival, so what waits must wait here.
  Random random{ 3 };
  const std::array candidates = { Engine(8, 0), Engine(9, 0) };
  CHECK_FALSE(PlaceOnline(candidates, {}, {}, random).has_value());
}

TEST_CASE("unusable and excluded endpoints get nothing, for every pair")
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

TEST_CASE("hosts that decide on the same news spread over the endpoints")
{
  // Guards against a herd: eleven hosts that all choose the emptiest endpoint
  // would overload it within one report interval.
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

TEST_CASE("batch leaves the headroom and takes nothing from online")
{
  Random random{ 6 };
  for (int online = 0; online <= 8; ++online) {
    for (int batch = 0; batch <= 8; ++batch) {
      const std::array candidates = { Engine(online, batch) };
      const auto place =
        PlaceBatch(candidates, BatchUrgency::OnTime, {}, random);
      CHECK(place.has_value() == (online + batch < 7));
      // Items that are late leave one more slot to those that are not.
      const auto late = PlaceBatch(candidates, BatchUrgency::Late, {}, random);
      CHECK(late.has_value() == (online + batch < 6));
    }
  }
}

TEST_CASE("the own domain goes first, others take what it has no slot for")
{
  // Bytes between domains are priced, and news from there is older.
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

TEST_CASE("square wave: batch fills the trough and gives way at the edge")
{
  // The load of both sites: 15 online requests in the trough and 75 at the
  // peak, on 12 engines of 8 slots. Four hosts run batch, each by its own
  // draw. Batch must fill the trough but for the headroom, and one look after
  // the edge no endpoint may hold more requests than slots plus rounding.
  Random random{ 7 };
  constexpr std::size_t kEngines = 12;
  constexpr std::uint32_t kHosts = 4;
  std::vector<PlacementCandidate> engines(kEngines, Engine(1.25, 0));
  std::array<std::array<std::uint32_t, kEngines>, kHosts> own{};
  for (int tick = 0; tick < 50; ++tick) {
    for (auto& host : own) {
      if (const auto place =
            PlaceBatch(engines, BatchUrgency::OnTime, {}, random)) {
        engines[*place].mBatch += 1;
        ++host[*place];
      }
    }
  }
  const auto filled = std::accumulate(
    engines.begin(), engines.end(), 0.0, [](double aSum, const auto& aEngine) {
      return aSum + aEngine.mBatch;
    });
  CHECK(filled >= kEngines * 5);
  for (auto& engine : engines) {
    engine.mOnline = 6.25;
  }
  auto excess = 0.0;
  for (std::size_t i = 0; i < kEngines; ++i) {
    auto stopped = 0U;
    for (auto& host : own) {
      stopped += BatchItemsToPreempt(engines[i], host[i], random);
    }
    engines[i].mBatch -= stopped;
    excess += std::max(0.0, engines[i].mOnline + engines[i].mBatch - 8);
  }
  CHECK(excess <= kEngines);
}

TEST_CASE("batch stops only where requests are more than slots")
{
  Random random{ 8 };
  CHECK(BatchItemsToPreempt(Engine(4, 4), 4, random) == 0);
  CHECK(BatchItemsToPreempt(Engine(5, 4), 4, random) == 1);
  CHECK(BatchItemsToPreempt(Engine(20, 3), 3, random) == 3);
  CHECK(BatchItemsToPreempt(Engine(20, 0), 0, random) == 0);
}

TEST_CASE("a slow start shrinks the slots but never to none")
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

} // namespace
} // namespace mangovalve
