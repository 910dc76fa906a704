// Tests of the preemption of batch items and of their start under a forecast.
#include "mangovalve/routing/batch_yield.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <vector>

#include <doctest/doctest.h>

#include "mangovalve/base/random.h"
#include "mangovalve/routing/placement.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

constexpr TimePoint kStart{ seconds(1000) };
constexpr double kSlots = 8;
constexpr auto kLook = milliseconds(40);

auto Load(double aOnline, double aBatch, double aUnseen = 0) -> YieldLoad
{
  YieldLoad load;
  load.mSlots = kSlots;
  load.mOnline = aOnline;
  load.mBatch = aBatch;
  load.mUnseen = aUnseen;
  return load;
}

// The items to preempt by the first look at a load.
auto FirstLook(const YieldLoad& aLoad) -> double
{
  YieldMemory memory;
  return ItemsToYield(memory, aLoad, kStart).mItems;
}

TEST_CASE("batch items are preempted only beyond an endpoint's slots")
{
  CHECK(FirstLook(Load(4, 4)) == 0);
  CHECK(FirstLook(Load(5, 4)) == 1);
  CHECK(FirstLook(Load(20, 3)) == 3);
  CHECK(FirstLook(Load(20, 0)) == 0);
}

TEST_CASE("a stale statement of an endpoint preempts nothing")
{
  // Guards against preemption without an online request that needs the slot: an
  // endpoint stated three requests that the reports did not have yet, and they
  // ended before the next look.
  YieldMemory memory;
  CHECK(ItemsToYield(memory, Load(4, 4, 3), kStart).mItems == 0);
  CHECK(ItemsToYield(memory, Load(4, 4, 0), kStart + kLook).mItems == 0);
  CHECK(ItemsToYield(memory, Load(4, 4, 3), kStart + 2 * kLook).mItems == 0);
}

TEST_CASE("unseen requests count at the second look or while others wait")
{
  // Guards against online requests of hosts that can't be heard waiting for
  // batch items until these end.
  YieldMemory memory;
  CHECK(ItemsToYield(memory, Load(4, 4, 3), kStart).mItems == 0);
  const auto second = ItemsToYield(memory, Load(4, 4, 2), kStart + kLook);
  CHECK(second.mItems == 2);
  CHECK(second.mReason == YieldReason::Unseen);
  auto waiting = Load(4, 4, 3);
  waiting.mWaiting = 1;
  CHECK(FirstLook(waiting) == 3);
}

TEST_CASE("an excess is answered once until reports show the effect")
{
  // Guards against further preemptions at each look by owners that don't know
  // yet what the others have preempted: five owners with one item each
  // preempted up to four of them for one online request.
  YieldMemory memory;
  auto now = kStart;
  CHECK(ItemsToYield(memory, Load(5, 4), now).mItems == 1);
  for (auto look = 0; look < 2; ++look) {
    now += kLook;
    CHECK(ItemsToYield(memory, Load(5, 4), now).mItems == 0);
  }
  // One more online request is one more excess at once.
  CHECK(ItemsToYield(memory, Load(6, 4), now).mItems == 1);
  // Reports must show the effect by now, so nobody has preempted enough.
  CHECK(ItemsToYield(memory, Load(6, 4), kStart + milliseconds(120)).mItems ==
        2);
  CHECK(memory.mRepeated);
  // In another domain, reports take longer.
  YieldMemory far;
  auto load = Load(5, 4);
  load.mOwnDomain = false;
  CHECK(ItemsToYield(far, load, kStart).mItems == 1);
  CHECK(ItemsToYield(far, load, kStart + milliseconds(390)).mItems == 0);
  CHECK(ItemsToYield(far, load, kStart + milliseconds(400)).mItems == 1);
}

TEST_CASE("hosts with the same reports preempt exactly as many as needed")
{
  // Guards against rounding by each host: with one item at each of five hosts,
  // no host preempted for one online request in a third of the cases, and two
  // or more in a quarter.
  Random random{ 1 };
  for (auto run = 0; run < 2000; ++run) {
    std::array<double, 5> own{};
    for (auto& items : own) {
      items = static_cast<double>(UniformBelow(random, 4));
    }
    const auto all = std::accumulate(own.begin(), own.end(), 0.0);
    const auto needed = static_cast<double>(
      UniformBelow(random, static_cast<std::uint64_t>(all) + 1));
    const auto offset = Uniform(random);
    auto before = 0.0;
    auto preempted = 0U;
    for (const auto items : own) {
      const auto part = OwnPart(needed, { before, items, all }, offset);
      CHECK(part <= items);
      preempted += part;
      before += items;
    }
    CHECK(preempted == needed);
  }
}

TEST_CASE("almost done items are preempted last, late ones first")
{
  // Guards against a preemption just before the item would have ended anyway.
  const YieldingItem late{ true, seconds(4), 30 };
  const YieldingItem young{ false, seconds(4), 30 };
  const YieldingItem old{ false, seconds(1), 100 };
  const YieldingItem lateAlmostDone{ true, milliseconds(250), 125 };
  std::vector items{ lateAlmostDone, old, young, late };
  std::sort(items.begin(), items.end(), YieldsBefore);
  CHECK((items[0].mLate && items[0].mReceived == 30));
  CHECK((!items[1].mLate && items[1].mReceived == 30));
  CHECK(items[2].mReceived == 100);
  CHECK(items[3].mReceived == 125);
  // Without an estimate, the fewest events decide.
  CHECK(YieldsBefore({ false, {}, 1 }, { false, {}, 2 }));
}

TEST_CASE(
  "square wave: batch fills idle slots and is preempted by a step of online "
  "load")
{
  // A square wave of 15 online requests in the trough and 75 at the peak, on 12
  // engines with 8 slots. Four hosts place batch items independently at random.
  // Batch must fill the trough except for the headroom, and after one pass of
  // preemption at the peak no endpoint may exceed its slots, nor lose more
  // items than that needs.
  Random random{ 7 };
  constexpr std::size_t kEngines = 12;
  constexpr std::uint32_t kHosts = 4;
  PlacementCandidate engine;
  engine.mSlots = kSlots;
  engine.mOnline = 1.25;
  std::vector<PlacementCandidate> engines(kEngines, engine);
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
  for (std::size_t i = 0; i < kEngines; ++i) {
    const auto batch = engines[i].mBatch;
    const auto needed = FirstLook(Load(6.25, batch));
    const auto offset = Uniform(random);
    auto before = 0.0;
    auto stopped = 0U;
    for (const auto& host : own) {
      const auto items = static_cast<double>(host[i]);
      stopped += OwnPart(needed, { before, items, batch }, offset);
      before += items;
    }
    CHECK(6.25 + batch - stopped < kSlots + 1);
    CHECK(stopped < needed + 1);
  }
}

// A cycle of 3.4 s at 127 arrivals per second and 2.4 s at 623, as on the day
// scarce-slots, in its low phase at kStart.
constexpr auto kLow = milliseconds(3400);
constexpr auto kHigh = milliseconds(2400);

auto Cycle(TimePoint aPhaseBegan, bool aHigh) -> DemandCycle
{
  DemandCycle cycle;
  cycle.mMeanRate = 333;
  cycle.mHigh = aHigh;
  cycle.mBegun = true;
  cycle.mPhaseBegan = aPhaseBegan;
  cycle.mHighPhase = { kHigh, 623 };
  cycle.mLowPhase = { kLow, 127 };
  return cycle;
}

constexpr double kMeanSeconds = 0.8;

TEST_CASE("the outlook is the next phase of high demand")
{
  CHECK_FALSE(OutlookOf({}, kMeanSeconds, kStart).has_value());
  CHECK_FALSE(OutlookOf(Cycle(kStart, false), 0, kStart).has_value());
  const auto low =
    OutlookOf(Cycle(kStart, false), kMeanSeconds, kStart + seconds(1));
  REQUIRE(low.has_value());
  CHECK(low->mRiseAt == kStart + kLow);
  CHECK(low->mFallAt == kStart + kLow + kHigh);
  CHECK(low->mOnlineThen == doctest::Approx(498.4));
  const auto high =
    OutlookOf(Cycle(kStart, true), kMeanSeconds, kStart + seconds(1));
  REQUIRE(high.has_value());
  CHECK(high->mRiseAt == kStart + seconds(1));
  CHECK(high->mFallAt == kStart + kHigh);
  // Guards against slots that stay empty until the fall of the demand has been
  // confirmed, 400 ms later.
  const auto end = OutlookOf(Cycle(kStart, true), kMeanSeconds, kStart + kHigh);
  REQUIRE(end.has_value());
  CHECK(end->mRiseAt == kStart + kHigh + kLow);
}

TEST_CASE("items that keep their slots in the rise are bounded by the forecast")
{
  RiseOutlook outlook;
  outlook.mOnlineThen = 500;
  CHECK(RoomThroughRise(outlook, 712, 100, 89) == 23);
  CHECK(RoomThroughRise(outlook, 712, 200, 89) == 0);
  outlook.mOnlineThen = 900;
  CHECK(RoomThroughRise(outlook, 712, 0, 89) == 0);
}

TEST_CASE("items start where they end or make progress before the rise")
{
  const auto outlook = *OutlookOf(Cycle(kStart, false), kMeanSeconds, kStart);
  const auto ruleAt = [&](milliseconds aAfter,
                          Duration aRemaining,
                          Duration aDueIn,
                          bool aLate = false) {
    const auto now = kStart + aAfter;
    return StartRuleOf(
      outlook,
      { aRemaining, seconds(5), now + aDueIn - aRemaining, aLate },
      now);
  };
  // Early in the low phase a whole item gets most of its events.
  CHECK(ruleAt(milliseconds(0), seconds(5), seconds(17)) ==
        StartRule::BeforeRise);
  CHECK(ruleAt(milliseconds(1900), seconds(5), seconds(17)) ==
        StartRule::BeforeRise);
  // Guards against a start just before the rise, which is preempted at once.
  CHECK(ruleAt(milliseconds(2000), seconds(5), seconds(17)) ==
        StartRule::ThroughRise);
  CHECK(ruleAt(milliseconds(2000), seconds(1), seconds(17)) ==
        StartRule::BeforeRise);
  CHECK(ruleAt(milliseconds(3300), seconds(1), seconds(17)) ==
        StartRule::ThroughRise);
  // Guards against items that wait for the fall of the demand and are then
  // late.
  CHECK(ruleAt(milliseconds(3300), seconds(5), seconds(7)) ==
        StartRule::MustStart);
  CHECK(ruleAt(milliseconds(3300), seconds(5), seconds(8)) ==
        StartRule::ThroughRise);
  // A late item can't meet its due time by starting now.
  CHECK(ruleAt(milliseconds(3300), seconds(5), seconds(4), true) ==
        StartRule::ThroughRise);
}

} // namespace
} // namespace mangovalve
