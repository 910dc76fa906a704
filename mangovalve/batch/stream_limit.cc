// Fits the delay model of an endpoint and limits its batch streams.
#include "mangovalve/batch/stream_limit.h"

#include <algorithm>
#include <cmath>

#include "mangovalve/membership/rendezvous.h"

namespace mangovalve {
namespace {

// Step of the running median estimate, as a share of its value.
constexpr double kMedianStep = 0.02;

// Delays count as typical of an endpoint with a free slot if no online request
// has waited for this long.
constexpr std::chrono::seconds kPressureMemory{ 1 };

// Streams above the fill target that are not stopped, because the reported
// online load fluctuates by a few streams.
constexpr std::uint32_t kFillTolerance = 2;

auto MaxHeadroom(const StreamLimitSettings& aSettings) -> double
{
  return std::max(aSettings.mMinHeadroom,
                  aSettings.mMaxHeadroomShare * aSettings.mCapacity);
}

// Streams at a past time; 0 before the start of the history.
auto StreamsAt(const StreamLimitState& aState, TimePoint aTime) -> StreamCount
{
  StreamCount streams;
  for (const auto& count : aState.mHistory) {
    if (count.mTime > aTime) {
      break;
    }
    streams = count;
  }
  return streams;
}

auto RecordStreams(StreamLimitState& aState,
                   const StreamLimitSettings& aSettings,
                   std::uint32_t aRunning,
                   TimePoint aNow) -> void
{
  if (aState.mHistory.empty() || aState.mHistory.back().mBatch != aRunning ||
      aState.mHistory.back().mOnline != aState.mOnline) {
    aState.mHistory.push_back({ aNow, aRunning, aState.mOnline });
  }
  // The newest entry before the window is kept: it holds the count at its
  // start.
  while (aState.mHistory.size() > 1 &&
         aState.mHistory[1].mTime + aSettings.mReportMaxAge < aNow) {
    aState.mHistory.pop_front();
  }
}

// Delay in ms that one batch stream adds: regularized least squares of the
// delay over batch and online streams. aPrior dominates while there are few
// samples or the number of streams varies little. Requests that waited in the
// queue are excluded, because their delay does not depend on the step time.
auto FitDelayPerStream(const std::deque<DelaySample>& aSamples,
                       double aTypicalMs,
                       double aPrior) -> double
{
  constexpr auto kPriorWeight = 500.0;
  double count = 0;
  double batch = 0;
  double online = 0;
  double delay = 0;
  const auto isIncluded = [&](const DelaySample& aSample) {
    return aSample.mDelayMs < 3 * aTypicalMs;
  };
  for (const auto& sample : aSamples) {
    if (isIncluded(sample)) {
      count += 1;
      batch += sample.mBatch;
      online += sample.mOnline;
      delay += sample.mDelayMs;
    }
  }
  if (count == 0) {
    return aPrior;
  }
  double bb = kPriorWeight;
  double oo = kPriorWeight;
  double bo = 0;
  double bd = kPriorWeight * aPrior;
  double od = kPriorWeight * aPrior;
  for (const auto& sample : aSamples) {
    if (isIncluded(sample)) {
      const auto b = sample.mBatch - batch / count;
      const auto o = sample.mOnline - online / count;
      const auto d = sample.mDelayMs - delay / count;
      bb += b * b;
      oo += o * o;
      bo += b * o;
      bd += b * d;
      od += o * d;
    }
  }
  return std::max(0.0, (bd * oo - od * bo) / (bb * oo - bo * bo));
}

auto P99(std::vector<double>& aValues) -> double
{
  const auto at =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() * 99 / 100);
  std::nth_element(aValues.begin(), at, aValues.end());
  return *at;
}

// Estimated delays without batch. A request that waited although the online
// requests alone would have left a slot free is taken to have waited for batch.
auto DelaysWithoutBatch(const StreamLimitState& aState,
                        const StreamLimitSettings& aSettings,
                        double aTypicalMs) -> std::vector<double>
{
  std::vector<double> delays;
  delays.reserve(aState.mDelays.size());
  for (const auto& sample : aState.mDelays) {
    const auto waited =
      sample.mDelayMs > aSettings.mQueuedDelayFactor * aTypicalMs &&
      sample.mBatch > 0 && sample.mOnline + 1 < aSettings.mCapacity;
    delays.push_back(waited ? aTypicalMs
                            : sample.mDelayMs -
                                aState.mDelayPerStream * sample.mBatch);
  }
  return delays;
}

// Raises the headroom while requests that wait for batch raise the p99 delay
// too much, and lowers it slowly otherwise.
auto AdjustHeadroom(StreamLimitState& aState,
                    const StreamLimitSettings& aSettings,
                    double aTypicalMs) -> void
{
  auto without = DelaysWithoutBatch(aState, aSettings, aTypicalMs);
  std::vector<double> measured;
  measured.reserve(aState.mDelays.size());
  for (const auto& sample : aState.mDelays) {
    measured.push_back(sample.mDelayMs);
  }
  const auto delayRatio = P99(measured) / P99(without);
  aState.mHeadroom = std::clamp(
    aState.mHeadroom + (delayRatio > aSettings.mMaxDelayRatio ? 1.0 : -0.05),
    aSettings.mMinHeadroom,
    MaxHeadroom(aSettings));
}

// The largest fill target whose predicted p99 delay is at most mMaxDelayRatio
// times the p99 delay without batch.
auto FitFillTarget(const StreamLimitState& aState,
                   const StreamLimitSettings& aSettings,
                   double aTypicalMs) -> std::uint32_t
{
  const auto without = DelaysWithoutBatch(aState, aSettings, aTypicalMs);
  const auto p99 = [&](std::uint32_t aFill) {
    auto delays = without;
    for (std::size_t i = 0; i < delays.size(); ++i) {
      delays[i] += aState.mDelayPerStream *
                   std::max(0.0, aFill - aState.mDelays[i].mOnline);
    }
    return P99(delays);
  };
  const auto bound = aSettings.mMaxDelayRatio * p99(0);
  std::uint32_t low = 1;
  auto high = aSettings.mCapacity;
  while (low < high) {
    const auto middle = (low + high + 1) / 2;
    if (p99(middle) <= bound) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return low;
}

auto RefitModel(StreamLimitState& aState,
                const StreamLimitSettings& aSettings,
                TimePoint aNow) -> void
{
  if (aNow < aState.mNextRefit) {
    return;
  }
  aState.mNextRefit = aNow + aSettings.mRefitInterval;
  // Half of the capacity until enough delays are measured.
  if (aState.mDelays.size() < 100) {
    aState.mFillTarget = std::max(1U, aSettings.mCapacity / 2);
    return;
  }
  const auto typical =
    std::chrono::duration<double, std::milli>(aState.mTypicalDelay).count();
  aState.mDelayPerStream =
    FitDelayPerStream(aState.mDelays, typical, 0.01 * typical);
  aState.mFillTarget = FitFillTarget(aState, aSettings, typical);
  AdjustHeadroom(aState, aSettings, typical);
}

} // namespace

auto BatchDispatcherOf(const std::string& aEndpoint,
                       const std::vector<std::string>& aDomainHosts)
  -> std::string
{
  return RendezvousOwner("feeder/" + aEndpoint, aDomainHosts);
}

auto OnLoadReport(StreamLimitState& aState,
                  const StreamLimitSettings&,
                  std::uint32_t aStreams,
                  TimePoint aMeasured) -> void
{
  if (aMeasured <= aState.mReportTime) {
    return;
  }
  aState.mReportTime = aMeasured;
  const auto batch = StreamsAt(aState, aMeasured).mBatch;
  aState.mOnline = aStreams > batch ? aStreams - batch : 0;
}

auto OnFirstToken(StreamLimitState& aState,
                  const StreamLimitSettings& aSettings,
                  Duration aDelay,
                  TimePoint aNow) -> void
{
  const auto streams = StreamsAt(aState, aNow - aDelay);
  aState.mDelays.push_back(
    { std::chrono::duration<double, std::milli>(aDelay).count(),
      static_cast<double>(streams.mBatch),
      static_cast<double>(streams.mOnline) });
  if (aState.mDelays.size() > aSettings.mSamples) {
    aState.mDelays.pop_front();
  }
  auto& typical = aState.mTypicalDelay;
  if (typical == Duration{}) {
    typical = aDelay;
    return;
  }
  if (aNow > aState.mLastPressure + kPressureMemory) {
    const auto step =
      std::chrono::duration_cast<Duration>(typical * kMedianStep);
    typical += aDelay > typical ? step : -step;
  }
}

auto OnPressure(StreamLimitState& aState,
                const StreamLimitSettings& aSettings,
                std::uint32_t aWaiting,
                std::uint32_t aRunning,
                TimePoint aNow) -> void
{
  // At least an eighth of the streams, because more requests of a burst usually
  // follow. In the batch_yield bench, stopping half of the streams cost a tenth
  // of the batch throughput and did not reduce delays.
  const auto needed = std::max(
    aWaiting + static_cast<std::uint32_t>(aState.mHeadroom), aRunning / 8);
  aState.mLimit =
    std::min(aState.mLimit, aRunning > needed ? aRunning - needed : 0);
  aState.mNoGrowthUntil = aNow + aSettings.mGrowthPause;
  aState.mLastPressure = aNow;
}

auto BatchLimit(StreamLimitState& aState,
                const StreamLimitSettings& aSettings,
                std::uint32_t aRunning,
                TimePoint aNow) -> std::uint32_t
{
  RecordStreams(aState, aSettings, aRunning, aNow);
  RefitModel(aState, aSettings, aNow);
  const auto free = aSettings.mCapacity > aState.mOnline
                      ? aSettings.mCapacity - aState.mOnline
                      : 0;
  const auto headroom = static_cast<std::uint32_t>(std::ceil(aState.mHeadroom));
  const auto fill = aState.mFillTarget > aState.mOnline
                      ? aState.mFillTarget - aState.mOnline
                      : 0;
  const auto target = std::min(fill, free > headroom ? free - headroom : 0);
  if (aRunning >= target) {
    // Streams within the headroom are left to finish, because stopping one
    // wastes its prefill. Streams above the fill target slow down online
    // requests and are stopped.
    aState.mLimit =
      std::min({ aState.mLimit, aRunning, free, fill + kFillTolerance });
  } else if (aNow >= aState.mNoGrowthUntil && aNow >= aState.mNextRamp &&
             aNow <= aState.mReportTime + aSettings.mReportMaxAge) {
    aState.mNextRamp = aNow + aSettings.mRampInterval;
    const auto step = std::max<std::uint32_t>(
      1,
      static_cast<std::uint32_t>(aSettings.mRampShare * (target - aRunning)));
    aState.mLimit = std::min(target, aRunning + step);
  }
  return aState.mLimit;
}

} // namespace mangovalve
