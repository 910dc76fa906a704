// Scenario batch_yield: harm of batch work to online first-token delay, and
// the share of the idle capacity that batch uses.
//
// A small fake of a continuous-batching engine in virtual time: it admits in
// order of arrival, a step's time grows with its streams and with the prompts
// that it admits, and load reports lag. Each policy runs over the same seeded
// online load, which has bursts above the engine's capacity.
#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include "bench/scenarios.h"
#include "mangovalve/base/random.h"
#include "mangovalve/batch/stream_limit.h"

namespace mangovalve::bench {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 32;
constexpr microseconds kStepBase{ 20000 };
constexpr microseconds kStepPerStream{ 250 };
constexpr microseconds kPrefillPerToken{ 30 };
constexpr seconds kRun{ 600 };
constexpr milliseconds kReportInterval{ 100 };
constexpr milliseconds kReportLag{ 100 };
// From a host that sees an online request wait to the feeder, and from the
// feeder's cancel to the engine.
constexpr milliseconds kSignalDelay{ 2 };
// How old the dispatching hosts' common view of the endpoint's load is.
constexpr milliseconds kViewLag{ 20 };

enum class Policy : std::uint8_t
{
  NoBatch,
  Oracle,       // batch takes exactly what online leaves, at no cost
  NoYielding,   // batch keeps every slot busy
  FixedReserve, // half of the slots are never given to batch
  Feeder,
};

struct Stream
{
  bool mBatch = false;
  TimePoint mArrival{};
  bool mInBurst = false;
  std::uint32_t mPrompt = 0; // tokens to prefill before the first token
  std::uint32_t mLeft = 0;   // tokens still to produce
  bool mStarted = false;
};

struct Arrival
{
  TimePoint mTime{};
  bool mInBurst = false;
  std::uint32_t mPrompt = 0;
  std::uint32_t mTokens = 0;
};

struct Figures
{
  std::vector<double> mCalmMs; // first-token delays
  std::vector<double> mBurstMs;
  double mBatchTokens = 0;
};

// Requests per second at the peak of a burst.
struct Bursts
{
  std::uint32_t mMinRate = 0;
  std::uint32_t mMaxRate = 0;
};

// Above what the engine can do, so that requests queue without batch too.
constexpr Bursts kOverload{ 20, 40 };
// Just below it: without batch every request finds a free slot.
constexpr Bursts kFitting{ 10, 18 };

// Online arrivals: a low rate, and every 12 to 22 s a burst of 3 s.
auto OnlineLoad(std::uint64_t aSeed, const Bursts& aBursts)
  -> std::vector<Arrival>
{
  Random random{ aSeed };
  std::vector<Arrival> arrivals;
  const auto end = TimePoint{} + kRun;
  auto burstAt = TimePoint{} + seconds(5 + UniformBelow(random, 10));
  auto burstRate = static_cast<double>(aBursts.mMaxRate);
  for (auto now = TimePoint{}; now < end; now += milliseconds(1)) {
    if (now >= burstAt + seconds(3)) {
      burstAt = now + milliseconds(12000 + UniformBelow(random, 10000));
      burstRate = static_cast<double>(
        aBursts.mMinRate +
        UniformBelow(random, aBursts.mMaxRate - aBursts.mMinRate));
    }
    const auto inBurst = now >= burstAt;
    if (Uniform(random) < (inBurst ? burstRate : 4.0) / 1000) {
      arrivals.push_back(
        { now,
          inBurst,
          static_cast<std::uint32_t>(100 + UniformBelow(random, 500)),
          static_cast<std::uint32_t>(20 + UniformBelow(random, 60)) });
    }
  }
  return arrivals;
}

// One engine with its feeder and its online load.
class Simulation
{
public:
  Simulation(Policy aPolicy,
             std::uint32_t aStreams,
             const Bursts& aBursts,
             std::uint64_t aSeed)
    : mPolicy(aPolicy)
    , mStreams(aStreams)
    , mRandom{ aSeed * 7919 + 1 }
    , mArrivals(OnlineLoad(aSeed, aBursts))
  {
    mSettings.mCapacity = kSlots;
  }

  auto Run() -> Figures
  {
    const auto end = TimePoint{} + kRun;
    auto stepEnd = mNow;
    for (; mNow < end; mNow += milliseconds(1)) {
      Arrive();
      DeliverSignals();
      Report();
      Feed();
      if (mNow >= stepEnd) {
        FinishStep();
        stepEnd = mNow + StartStep();
      }
    }
    return std::move(mFigures);
  }

private:
  auto Count(bool aBatch) const -> std::uint32_t
  {
    const auto count = [&](const auto& aStreams) {
      return std::count_if(
        aStreams.begin(), aStreams.end(), [&](const Stream& aStream) {
          return aStream.mBatch == aBatch;
        });
    };
    return static_cast<std::uint32_t>(count(mRunning) + count(mQueue));
  }

  auto Arrive() -> void
  {
    for (; mNext < mArrivals.size() && mArrivals[mNext].mTime <= mNow;
         ++mNext) {
      const auto& arrival = mArrivals[mNext];
      Stream stream{ false,           arrival.mTime,   arrival.mInBurst,
                     arrival.mPrompt, arrival.mTokens, false };
      // The oracle's engine has priorities: online goes before queued batch.
      mQueue.push_back(stream);
      // The dispatching host adds its own request to its view of the load.
      if (ViewedLoad() + 1 > kSlots) {
        ++mWaiting;
        mSignals.push_back(mNow + kSignalDelay);
      }
    }
    mViews.emplace_back(mNow, mRunning.size() + mQueue.size());
  }

  // Load of the endpoint as dispatching hosts know it.
  auto ViewedLoad() -> std::size_t
  {
    while (mViews.size() > 1 && mViews[1].first + kViewLag <= mNow) {
      mViews.pop_front();
    }
    return std::max(mViews.empty() ? 0 : mViews.front().second, OwnOnline());
  }

  // Requests that the dispatching hosts themselves have not seen end.
  auto OwnOnline() const -> std::size_t { return Count(false); }

  auto DeliverSignals() -> void
  {
    while (!mSignals.empty() && mSignals.front() <= mNow) {
      mSignals.pop_front();
      if (mPolicy == Policy::Feeder) {
        OnPressure(mFeeder, mSettings, mWaiting, Count(true), mNow);
      }
      mWaiting = 0;
    }
  }

  auto Report() -> void
  {
    if (mNow.time_since_epoch() % kReportInterval == Duration{}) {
      mReports.emplace_back(mNow, mRunning.size() + mQueue.size());
    }
    while (!mReports.empty() && mReports.front().first + kReportLag <= mNow) {
      OnLoadReport(mFeeder,
                   mSettings,
                   static_cast<std::uint32_t>(mReports.front().second),
                   mReports.front().first);
      mReports.pop_front();
    }
  }

  // Batch streams that the policy wants now.
  auto Wanted() -> std::uint32_t
  {
    switch (mPolicy) {
      case Policy::NoBatch:
        return 0;
      case Policy::Oracle: {
        const auto online = Count(false);
        return online < mStreams ? mStreams - online : 0;
      }
      case Policy::NoYielding:
        return kSlots;
      case Policy::FixedReserve:
        return mStreams;
      case Policy::Feeder:
        break;
    }
    return BatchLimit(mFeeder, mSettings, Count(true), mNow);
  }

  auto Feed() -> void
  {
    const auto wanted = Wanted();
    auto running = Count(true);
    if (mPolicy == Policy::Oracle || mPolicy == Policy::Feeder) {
      for (; running > wanted; --running) {
        CancelNewest();
      }
    }
    for (; running < wanted; ++running) {
      StartBatch();
    }
  }

  // A cancelled stream resumes later: it prefills its prompt and what it has
  // produced again, except with the oracle.
  auto CancelNewest() -> void
  {
    const auto cancel = [&](auto& aStreams) {
      const auto newest =
        std::find_if(aStreams.rbegin(), aStreams.rend(), [](const Stream& aS) {
          return aS.mBatch;
        });
      if (newest == aStreams.rend()) {
        return false;
      }
      mSuspended.push_back(*newest);
      aStreams.erase(std::next(newest).base());
      return true;
    };
    if (!cancel(mQueue)) {
      cancel(mRunning);
    }
  }

  auto StartBatch() -> void
  {
    Stream stream{ true,
                   mNow,
                   false,
                   static_cast<std::uint32_t>(100 + UniformBelow(mRandom, 400)),
                   static_cast<std::uint32_t>(50 + UniformBelow(mRandom, 100)),
                   false };
    if (!mSuspended.empty()) {
      stream = mSuspended.back();
      mSuspended.pop_back();
      stream.mStarted = mPolicy == Policy::Oracle && stream.mStarted;
    }
    mQueue.push_back(stream);
  }

  // Admits in order of arrival and returns the time of the next step.
  auto StartStep() -> Duration
  {
    if (mPolicy == Policy::Oracle) {
      std::stable_sort(
        mQueue.begin(), mQueue.end(), [](const Stream& aL, const Stream& aR) {
          return !aL.mBatch && aR.mBatch;
        });
    }
    microseconds time = kStepBase;
    while (mRunning.size() < kSlots && !mQueue.empty()) {
      auto stream = mQueue.front();
      mQueue.pop_front();
      if (!stream.mStarted) {
        time += kPrefillPerToken * stream.mPrompt;
      }
      mRunning.push_back(stream);
    }
    if (mRunning.empty()) {
      return milliseconds(1);
    }
    return time + kStepPerStream * mRunning.size();
  }

  auto FinishStep() -> void
  {
    for (auto& stream : mRunning) {
      --stream.mLeft;
      if (stream.mBatch) {
        mFigures.mBatchTokens += 1;
        ++stream.mPrompt; // a resumed stream prefills its answer too
      } else if (!stream.mStarted) {
        const auto delay = mNow - stream.mArrival;
        const auto ms =
          std::chrono::duration<double, std::milli>(delay).count();
        (stream.mInBurst ? mFigures.mBurstMs : mFigures.mCalmMs).push_back(ms);
        OnFirstToken(mFeeder, mSettings, delay, mNow);
      }
      stream.mStarted = true;
    }
    std::erase_if(mRunning,
                  [](const Stream& aStream) { return aStream.mLeft == 0; });
  }

  const Policy mPolicy;
  const std::uint32_t mStreams; // streams that batch may fill up to
  Random mRandom;
  const std::vector<Arrival> mArrivals;
  StreamLimitSettings mSettings;
  StreamLimitState mFeeder;
  TimePoint mNow{ TimePoint{} + milliseconds(1) };
  std::size_t mNext = 0;
  std::uint32_t mWaiting = 0;
  std::deque<Stream> mQueue;
  std::vector<Stream> mRunning;
  std::vector<Stream> mSuspended;
  std::deque<TimePoint> mSignals;
  std::deque<std::pair<TimePoint, std::size_t>> mViews;
  std::deque<std::pair<TimePoint, std::size_t>> mReports;
  Figures mFigures;
};

auto P99(std::vector<double> aValues) -> double
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.empty() ? 0 : aValues[aValues.size() * 99 / 100];
}

struct Summary
{
  double mAll = 0;
  double mBurst = 0;
  double mCalm = 0;
  double mTokensPerSecond = 0;
};

auto RunPolicy(Policy aPolicy, std::uint32_t aStreams, const Bursts& aBursts)
  -> Summary
{
  constexpr std::uint64_t kEngines = 6;
  Figures sum;
  for (std::uint64_t seed = 1; seed <= kEngines; ++seed) {
    const auto figures = Simulation(aPolicy, aStreams, aBursts, seed).Run();
    sum.mCalmMs.insert(
      sum.mCalmMs.end(), figures.mCalmMs.begin(), figures.mCalmMs.end());
    sum.mBurstMs.insert(
      sum.mBurstMs.end(), figures.mBurstMs.begin(), figures.mBurstMs.end());
    sum.mBatchTokens += figures.mBatchTokens;
  }
  auto all = sum.mCalmMs;
  all.insert(all.end(), sum.mBurstMs.begin(), sum.mBurstMs.end());
  return { P99(all),
           P99(sum.mBurstMs),
           P99(sum.mCalmMs),
           sum.mBatchTokens / kEngines / kRun.count() };
}

// Runs all policies on one load. The idle capacity is what the oracle gets with
// the largest fill that keeps its own p99 within the bound.
auto RunLoad(Report& aReport, const std::string& aLoad, const Bursts& aBursts)
  -> void
{
  constexpr auto kBound = 1.1;
  const auto none = RunPolicy(Policy::NoBatch, kSlots, aBursts);
  auto fill = kSlots;
  auto oracle = RunPolicy(Policy::Oracle, fill, aBursts);
  while (fill > 1 && (oracle.mAll > kBound * none.mAll ||
                      oracle.mBurst > kBound * none.mBurst)) {
    oracle = RunPolicy(Policy::Oracle, --fill, aBursts);
  }
  aReport.Figure(aLoad + "_no_batch_p99_ms", none.mAll);
  aReport.Figure(aLoad + "_no_batch_burst_p99_ms", none.mBurst);
  aReport.Figure(aLoad + "_no_batch_calm_p99_ms", none.mCalm);
  aReport.Figure(aLoad + "_idle_capacity_streams", fill);
  aReport.Figure(aLoad + "_idle_capacity_tokens_per_s",
                 oracle.mTokensPerSecond);
  const auto compare = [&](const std::string& aName, Policy aPolicy) {
    const auto result = RunPolicy(aPolicy, kSlots / 2, aBursts);
    const auto name = aLoad + "_" + aName;
    const auto share = result.mTokensPerSecond / oracle.mTokensPerSecond;
    const auto checked = aPolicy == Policy::Feeder;
    const auto put = [&](const std::string& aMeasure,
                         double aValue,
                         Bound aKind,
                         double aLimit) {
      checked ? aReport.Check(name + aMeasure, aValue, aKind, aLimit)
              : aReport.Figure(name + aMeasure, aValue);
    };
    aReport.Figure(name + "_calm_p99_ratio", result.mCalm / none.mCalm);
    put("_p99_ratio", result.mAll / none.mAll, Bound::AtMost, kBound);
    put("_burst_p99_ratio", result.mBurst / none.mBurst, Bound::AtMost, kBound);
    put("_throughput_share", share, Bound::AtLeast, 0.85);
  };
  compare("no_yielding", Policy::NoYielding);
  compare("fixed_reserve", Policy::FixedReserve);
  compare("feeder", Policy::Feeder);
}

auto BatchYield(Report& aReport) -> void
{
  RunLoad(aReport, "overload", kOverload);
  RunLoad(aReport, "fitting", kFitting);
}

const Registration kBatchYield("batch_yield", BatchYield);

} // namespace
} // namespace mangovalve::bench
