// Forecast of the demand for a service.
#include "mangovalve/routing/demand_cycle.h"

#include <algorithm>
#include <cmath>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Time constant of a host's rate of arrivals. Shorter ones make the sum over a
// fleet of some dozen hosts too noisy to tell phases apart.
constexpr double kRateSeconds = 0.3;

// Time constant of the mean rate, to which samples are compared. It spans a
// cycle of several seconds.
constexpr double kMeanSeconds = 6;

// A sample belongs to a phase of high or low rate beyond these multiples of the
// mean. In between it belongs to the present phase.
constexpr double kHighFactor = 1.15;
constexpr double kLowFactor = 0.87;

// Samples of the other kind must follow each other for this time, so that a
// short fluctuation does not count as a phase.
constexpr auto kConfirmTime = milliseconds(400);

// Samples further apart say nothing about the phases between them.
constexpr auto kMaxSampleGap = milliseconds(2000);

// Weight of the past in the means of a kind of phase.
constexpr double kPhaseDecay = 0.5;

// A phase that lasts this many times as long as expected has no forecast.
constexpr double kMaxOverrun = 1.5;

// Phases that a forecast goes through; a later time has none.
constexpr int kMaxForecastPhases = 32;

auto PhaseOf(DemandCycle& aCycle, bool aHigh) -> DemandPhase&
{
  return aHigh ? aCycle.mHighPhase : aCycle.mLowPhase;
}

auto PhaseOf(const DemandCycle& aCycle, bool aHigh) -> const DemandPhase&
{
  return aHigh ? aCycle.mHighPhase : aCycle.mLowPhase;
}

auto Blend(double aPast, double aNew) -> double
{
  return kPhaseDecay * aPast + (1 - kPhaseDecay) * aNew;
}

// Ends the present phase at aEnd and begins one of the other kind.
auto SwitchPhase(DemandCycle& aCycle, TimePoint aEnd) -> void
{
  const Seconds length = aEnd - aCycle.mPhaseBegan;
  if (aCycle.mBegun && length.count() > 0) {
    auto& phase = PhaseOf(aCycle, aCycle.mHigh);
    const auto rate = aCycle.mPhaseSum / length.count();
    const Seconds past = phase.mLength;
    const auto known = past.count() > 0;
    phase.mRate = known ? Blend(phase.mRate, rate) : rate;
    phase.mLength = std::chrono::duration_cast<Duration>(
      known ? Seconds(Blend(past.count(), length.count())) : length);
  }
  aCycle.mHigh = !aCycle.mHigh;
  aCycle.mBegun = true;
  aCycle.mPhaseBegan = aEnd;
  aCycle.mPhaseSum = 0;
  aCycle.mOtherSince.reset();
}

} // namespace

auto ArrivalsPerSecond(const ArrivalRate& aRate, TimePoint aNow) -> double
{
  const Seconds age = aNow - aRate.mUpdatedAt;
  return aRate.mPerSecond *
         std::exp(-std::max(0.0, age.count()) / kRateSeconds);
}

auto RecordArrival(ArrivalRate& aRate, TimePoint aNow) -> void
{
  aRate.mPerSecond = ArrivalsPerSecond(aRate, aNow) + 1 / kRateSeconds;
  aRate.mUpdatedAt = aNow;
}

auto RecordDemand(DemandCycle& aCycle, double aPerSecond, TimePoint aNow)
  -> void
{
  const auto gap = aNow - aCycle.mSampledAt;
  if (aCycle.mMeanRate <= 0 || gap > kMaxSampleGap) {
    aCycle = DemandCycle{};
    aCycle.mMeanRate = aPerSecond;
    aCycle.mSampledAt = aNow;
    aCycle.mPhaseBegan = aNow;
    return;
  }
  const Seconds step = gap;
  const auto weight = 1 - std::exp(-step.count() / kMeanSeconds);
  aCycle.mMeanRate += weight * (aPerSecond - aCycle.mMeanRate);
  aCycle.mPhaseSum += aPerSecond * step.count();
  aCycle.mSampledAt = aNow;
  const auto other = aCycle.mHigh ? aPerSecond < aCycle.mMeanRate * kLowFactor
                                  : aPerSecond > aCycle.mMeanRate * kHighFactor;
  if (!other) {
    aCycle.mOtherSince.reset();
    return;
  }
  aCycle.mOtherSince = aCycle.mOtherSince.value_or(aNow);
  if (aNow - *aCycle.mOtherSince >= kConfirmTime) {
    const auto began = *aCycle.mOtherSince;
    const Seconds confirmed = aNow - began;
    const auto sum = aPerSecond * confirmed.count();
    aCycle.mPhaseSum = std::max(0.0, aCycle.mPhaseSum - sum);
    SwitchPhase(aCycle, began);
    aCycle.mPhaseSum = sum;
  }
}

auto PhaseEnd(const DemandCycle& aCycle, TimePoint aNow)
  -> std::optional<TimePoint>
{
  const auto& phase = PhaseOf(aCycle, aCycle.mHigh);
  const auto& next = PhaseOf(aCycle, !aCycle.mHigh);
  if (!aCycle.mBegun || phase.mLength.count() <= 0 ||
      next.mLength.count() <= 0) {
    return std::nullopt;
  }
  const Seconds age = aNow - aCycle.mPhaseBegan;
  const Seconds length = phase.mLength;
  if (age.count() > kMaxOverrun * length.count()) {
    return std::nullopt;
  }
  return std::max(aNow, aCycle.mPhaseBegan + phase.mLength);
}

auto ForecastRate(const DemandCycle& aCycle, TimePoint aAt, TimePoint aNow)
  -> std::optional<double>
{
  auto end = PhaseEnd(aCycle, aNow);
  if (!end) {
    return std::nullopt;
  }
  auto high = aCycle.mHigh;
  for (auto i = 0; i < kMaxForecastPhases; ++i) {
    if (aAt < *end) {
      return PhaseOf(aCycle, high).mRate;
    }
    high = !high;
    *end += PhaseOf(aCycle, high).mLength;
  }
  return std::nullopt;
}

} // namespace mangovalve
