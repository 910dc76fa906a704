// Tests of the admission of requests when slots are short.
#include "mangovalve/routing/admission.h"

#include <algorithm>
#include <functional>
#include <queue>

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

const auto kNow = TimePoint(std::chrono::hours(1));

// A host with a 60th of 712 slots that become free once in 0.9 s each.
auto BusyHost(std::size_t aAhead) -> SlotOutlook
{
  SlotOutlook outlook;
  outlook.mSlots = 712;
  outlook.mHoldSeconds = 0.9;
  outlook.mShare = 1.0 / 60;
  outlook.mAhead = aAhead;
  return outlook;
}

TEST_CASE("the expected wait grows with requests ahead and shrinks with slots")
{
  const auto wait = [](std::size_t aAhead, double aSlots, double aSeconds) {
    SlotOutlook outlook;
    outlook.mSlots = aSlots;
    outlook.mHoldSeconds = aSeconds;
    outlook.mAhead = aAhead;
    return ExpectedWait(outlook);
  };
  CHECK(wait(3, 0, 1) == Duration::zero());
  CHECK(wait(0, 4, 0) == Duration::zero());
  CHECK(wait(0, 8, 0.8) == milliseconds(100));
  CHECK(wait(7, 8, 0.8) == milliseconds(800));
  for (std::size_t ahead = 0; ahead < 50; ++ahead) {
    CHECK(wait(ahead + 1, 8, 0.5) > wait(ahead, 8, 0.5));
    CHECK(wait(ahead, 16, 0.5) < wait(ahead, 8, 0.5));
  }
}

TEST_CASE("the chance of a slot accounts for the spread of waits")
{
  // With 62 hosts, requests were queued behind an expected wait of 108 to
  // 182 ms, and four in ten refusals came only after the whole 210 ms.
  CHECK(SlotChance(BusyHost(0), milliseconds(240)) > 0.9);
  CHECK(SlotChance(BusyHost(2), milliseconds(240)) < 0.65);
  CHECK(SlotChance(BusyHost(3), milliseconds(240)) < 0.5);
  for (std::size_t ahead = 0; ahead < 300; ++ahead) {
    for (const auto within : { 10, 100, 1000, 10000, 100000 }) {
      const auto chance = SlotChance(BusyHost(ahead), milliseconds(within));
      REQUIRE(chance >= 0);
      REQUIRE(chance <= 1);
      // 0.02: the two distributions differ slightly where they meet.
      REQUIRE(SlotChance(BusyHost(ahead + 1), milliseconds(within)) <=
              chance + 0.02);
    }
  }
}

TEST_CASE("requests in the endpoints' queues come first")
{
  // 1,000 requests were in flight for 712 slots, which the estimate ignored.
  auto outlook = BusyHost(0);
  const auto before = SlotChance(outlook, milliseconds(240));
  outlook.mExcess = 288;
  CHECK(SlotChance(outlook, milliseconds(240)) < 0.1);
  CHECK(before > 0.9);
}

TEST_CASE("a kind of more urgent requests that grows lets others be refused")
{
  // Load: one kind of request grows to 4 times its usual rate. Less urgent
  // requests must not wait in vain for the slots that it takes.
  auto outlook = BusyHost(0);
  outlook.mUrgentPerSecond = 2;
  const auto start = kNow + milliseconds(240);
  const auto review = kNow + milliseconds(66);
  CHECK(IsWorthWaiting(outlook, start, review, kNow));
  outlook.mUrgentPerSecond = 8 * 1.3;
  CHECK_FALSE(IsWorthWaiting(outlook, start, review, kNow));
}

TEST_CASE("a wait is given up while the refusal is still early")
{
  const auto start = kNow + milliseconds(240);
  const auto review = kNow + milliseconds(66);
  CHECK(IsWorthWaiting(BusyHost(2), start, review, kNow));
  CHECK_FALSE(IsWorthWaiting(BusyHost(2), start, review, review));
  CHECK(IsWorthWaiting(BusyHost(0), start, review, review));
  CHECK_FALSE(IsWorthWaiting(BusyHost(0), start, review, start));
}

TEST_CASE("the time to the first event is the one without a queue")
{
  // Guards against a burst whose queues at the endpoints would make all later
  // requests look late.
  Random random{ 3 };
  double quartile = 0;
  for (auto i = 0; i < 2000; ++i) {
    const auto queued = Uniform(random) < 0.5;
    RecordFirstEvent(quartile, queued ? 0.46 : 0.03 + 0.03 * Uniform(random));
  }
  CHECK(quartile > 0.03);
  CHECK(quartile < 0.07);
}

TEST_CASE("a team that sends 8 times its usual load yields to the others")
{
  // Load: four teams of equal share, one of which sends 8 times as much.
  const TeamDemand teams[] = {
    { 1, 1, 300, 500 }, { 2, 1, 30, 70 }, { 3, 1, 30, 70 }, { 4, 1, 30, 72 }
  };
  const auto shares = ComputeShares(teams, 0);
  CHECK(shares.mOver == std::vector<std::uint64_t>{ 1 });
  CHECK(shares.mOwed == doctest::Approx(90));
  CHECK(Yields(shares, 1, 20));
  CHECK_FALSE(Yields(shares, 2, 20));
  // More slots are free than the others need.
  CHECK_FALSE(Yields(shares, 1, 91));
}

TEST_CASE("an unused share goes to the others at once")
{
  const TeamDemand idle[] = { { 1, 1, 300, 700 }, { 2, 1, 0, 12 } };
  const auto shares = ComputeShares(idle, 0);
  CHECK(shares.mOwed == 0);
  CHECK_FALSE(Yields(shares, 1, 0));
  const TeamDemand alone[] = { { 1, 1, 300, 700 } };
  CHECK(ComputeShares(alone, 0).mOver.empty());
  CHECK(ComputeShares({}, 5).mOver.empty());
}

TEST_CASE("shares follow the weights")
{
  const TeamDemand teams[] = { { 1, 3, 50, 60 }, { 2, 1, 50, 40 } };
  const auto shares = ComputeShares(teams, 0);
  CHECK(shares.mOver == std::vector<std::uint64_t>{ 2 });
  CHECK(shares.mOwed == doctest::Approx(15));
}

TEST_CASE("requests that can meet their objective are served before late ones")
{
  CHECK(IsServedBefore({ false, false, 9 }, { false, true, 1 }));
  CHECK(IsServedBefore({ false, true, 9 }, { true, false, 1 }));
  CHECK(IsServedBefore({ false, false, 1 }, { false, false, 9 }));
  CHECK_FALSE(IsServedBefore({ true, false, 1 }, { false, true, 9 }));
}

// Fleet of hosts with equal views and one service whose requests hold a slot
// for kHold each, and whose demand alternates.
struct Fleet
{
  static constexpr auto kStep = milliseconds(10);
  static constexpr auto kHold = milliseconds(900);
  static constexpr auto kLow = milliseconds(3400);
  static constexpr auto kHigh = milliseconds(2400);
  static constexpr std::size_t kSlots = 712;

  struct Counts
  {
    int mArrived = 0;
    int mRefused = 0;
    int mReturned = 0;
    int mReturnsServed = 0;
  };

  using Schedule = std::function<TimePoint(std::size_t aHost, TimePoint)>;

  // Mean of the rates in units of what the slots serve.
  auto RateAt(TimePoint aAt) const -> double
  {
    const auto capacity = static_cast<double>(kSlots) / 0.9;
    return ((aAt - kNow) % (kLow + kHigh) < kLow ? 0.36 : 1.75) * capacity;
  }

  // Host of a new request: some hosts get aSkew times as many as others.
  auto PickHost() -> std::size_t
  {
    const auto few = mPlans.size() / 2;
    const auto many = Uniform(mRandom) < mSkew / (1 + mSkew);
    return (many ? 0 : few) + UniformBelow(mRandom, few);
  }

  auto Ask(TimePoint aNow, bool aReturned, const Schedule& aSchedule) -> void
  {
    ++mSinceSample;
    const auto count = aNow >= kNow + 3 * (kLow + kHigh);
    (aReturned ? mCounts.mReturned : mCounts.mArrived) += count ? 1 : 0;
    if (mEnds.size() < kSlots) {
      mEnds.push(aNow + kHold);
      mCounts.mReturnsServed += count && aReturned ? 1 : 0;
      return;
    }
    mCounts.mRefused += count ? 1 : 0;
    if (!aReturned) {
      mReturns.push(aSchedule(PickHost(), aNow));
    }
  }

  auto Sample(TimePoint aNow) -> void
  {
    const auto high = mDemand.mHigh;
    const auto began = mDemand.mPhaseBegan;
    RecordDemand(mDemand, mSinceSample / 0.2, aNow);
    mSinceSample = 0;
    if (mDemand.mHigh != high) {
      for (auto& plan : mPlans) {
        RecordPhase(plan, high, began, mDemand.mPhaseBegan);
      }
    }
  }

  auto Run(const Schedule& aSchedule) -> Counts
  {
    const auto end = kNow + 10 * (kLow + kHigh);
    auto due = 0.0;
    for (auto now = kNow; now < end; now += kStep) {
      while (!mEnds.empty() && mEnds.top() <= now) {
        mEnds.pop();
      }
      while (!mReturns.empty() && mReturns.top() <= now) {
        mReturns.pop();
        Ask(now, true, aSchedule);
      }
      due += RateAt(now) * 0.01;
      for (; due >= 1; due -= 1) {
        Ask(now, false, aSchedule);
      }
      if ((now - kNow) % milliseconds(200) == Duration::zero()) {
        Sample(now);
      }
    }
    return mCounts;
  }

  auto Plan(std::size_t aHost, TimePoint aNow) -> TimePoint
  {
    ReturnOutlook outlook;
    outlook.mPerSecond = kSlots / 0.9;
    outlook.mShare = 1 / static_cast<double>(mPlans.size());
    outlook.mEarliest = aNow + milliseconds(200);
    outlook.mLatest = aNow + milliseconds(4000);
    return PlanReturn(mPlans[aHost], mDemand, outlook, aNow, mRandom).mAt;
  }

  Random mRandom{ 17 };
  std::vector<ReturnPlan> mPlans = std::vector<ReturnPlan>(62);
  double mSkew = 1;
  DemandCycle mDemand;
  Counts mCounts;
  int mSinceSample = 0;
  template<typename T>
  using Earliest = std::priority_queue<T, std::vector<T>, std::greater<>>;
  Earliest<TimePoint> mEnds;
  Earliest<TimePoint> mReturns;
};

auto ServedShare(const Fleet::Counts& aCounts) -> double
{
  return static_cast<double>(aCounts.mReturnsServed) /
         std::max(1, aCounts.mReturned);
}

TEST_CASE("callers refused in a burst return when there is room")
{
  // Load: demand alternates between 0.36 and 1.75 of the capacity. Callers
  // returned after 400 to 530 ms, into the same burst, and were refused again.
  Fleet early;
  const auto before = early.Run(
    [](std::size_t, TimePoint aNow) { return aNow + milliseconds(450); });
  CHECK(ServedShare(before) < 0.7);
  Fleet fleet;
  const auto counts = fleet.Run(
    [&](std::size_t aHost, TimePoint aNow) { return fleet.Plan(aHost, aNow); });
  MESSAGE("served returns: " << ServedShare(before) << " before, "
                             << ServedShare(counts) << " planned");
  CHECK(counts.mReturned > 1000);
  CHECK(ServedShare(counts) > 0.9);
}

TEST_CASE("uneven domains leave room for the returns of both")
{
  // Load: half of the hosts refuse three times as many requests as the others.
  Fleet fleet;
  fleet.mSkew = 3;
  const auto counts = fleet.Run(
    [&](std::size_t aHost, TimePoint aNow) { return fleet.Plan(aHost, aNow); });
  MESSAGE("served returns: " << ServedShare(counts));
  CHECK(ServedShare(counts) > 0.85);
}

TEST_CASE("without a forecast returns are spread over the spare slots")
{
  // Guards against a wave of returns after a restart of the fleet.
  ReturnPlan plan;
  Random random{ 5 };
  DemandCycle demand;
  demand.mMeanRate = 90;
  ReturnOutlook outlook;
  outlook.mPerSecond = 100;
  outlook.mEarliest = kNow + milliseconds(400);
  outlook.mLatest = kNow + milliseconds(4000);
  std::vector<TimePoint> times;
  for (auto i = 0; i < 30; ++i) {
    const auto planned = PlanReturn(plan, demand, outlook, kNow, random);
    CHECK_FALSE(planned.mForecast);
    CHECK(planned.mHasRoom);
    times.push_back(planned.mAt);
  }
  CHECK(std::is_sorted(times.begin(), times.end()));
  // Ten requests per second are spare, so 30 callers take three seconds.
  CHECK(times.front() >= outlook.mEarliest);
  CHECK(times.back() >= kNow + milliseconds(3000));
  CHECK(times.back() <= kNow + milliseconds(3700));
}

TEST_CASE("a return is never too late for the caller nor before the queue ends")
{
  ReturnPlan plan;
  Random random{ 5 };
  ReturnOutlook outlook;
  outlook.mPerSecond = 1;
  outlook.mBacklog = 1000;
  outlook.mEarliest = kNow + milliseconds(400);
  outlook.mLatest = kNow + milliseconds(1500);
  for (auto i = 0; i < 200; ++i) {
    const auto planned = PlanReturn(plan, {}, outlook, kNow, random);
    CHECK_FALSE(planned.mHasRoom);
    CHECK(planned.mAt >= outlook.mEarliest);
    CHECK(planned.mAt <= outlook.mLatest);
  }
  // The queue lasts longer than the caller waits.
  outlook.mEarliest = kNow + std::chrono::seconds(10);
  // Callers must not all return at the same moment then.
  const auto first = PlanReturn(plan, {}, outlook, kNow, random).mAt;
  const auto second = PlanReturn(plan, {}, outlook, kNow, random).mAt;
  CHECK(first != second);
  for (const auto at : { first, second }) {
    CHECK(at >= outlook.mEarliest);
    CHECK(at <= outlook.mEarliest + kReturnInterval);
  }
}

TEST_CASE("an old plan does not fill the present")
{
  ReturnPlan plan;
  Random random{ 5 };
  ReturnOutlook outlook;
  outlook.mPerSecond = 20;
  outlook.mEarliest = kNow;
  outlook.mLatest = kNow + milliseconds(4000);
  for (auto i = 0; i < 60; ++i) {
    PlanReturn(plan, {}, outlook, kNow, random);
  }
  const auto later = kNow + 128 * kReturnInterval;
  outlook.mEarliest = later;
  outlook.mLatest = later + milliseconds(4000);
  CHECK(PlanReturn(plan, {}, outlook, later, random).mAt <
        later + milliseconds(200));
}

} // namespace
} // namespace mangovalve
