// Expected times of requests at the endpoints of a service.
#include "mangovalve/routing/endpoint_estimate.h"

#include <algorithm>
#include <cmath>

namespace mangovalve {
namespace {

// Time constant of the smoothing of statements, which change many times a
// second and describe single moments.
constexpr double kSmoothingSeconds = 0.3;

// Age at which a work factor begins to decay to 1, and how fast: a machine's
// slowness lasts for seconds.
constexpr double kFreshSeconds = 1;
constexpr double kHalfLifeSeconds = 2;

// Age at which nothing is left of a work factor.
constexpr auto kForgottenAfter = std::chrono::seconds(10);

// Range of work factors that are believed. A factor far outside of it would
// attract or repel every request.
constexpr double kMinFactor = 0.2;
constexpr double kMaxFactor = 50;

// Weight of the past per first event. The slope of the line needs hundreds of
// samples, because the times vary more than the sizes.
constexpr double kLineDecay = 0.995;

// Number of samples and relative deviation of the prompt sizes from which the
// slope is used.
constexpr double kMinLineSamples = 30;
constexpr double kMinPromptDeviation = 0.05;

// First events later than this multiple of the mean are taken for a wait at the
// endpoint and left out.
constexpr double kMaxFirstEventRatio = 4;

auto Millis(Duration aDuration) -> double
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

auto Seconds(Duration aDuration) -> double
{
  return std::chrono::duration<double>(aDuration).count();
}

auto Blend(double& aMean, double aValue) -> void
{
  constexpr double kDecay = 0.98;
  aMean = aMean == 0 ? aValue : kDecay * aMean + (1 - kDecay) * aValue;
}

// Milliseconds to the first event on a usual machine, for a prompt of which
// aKeptTokens need not be read.
auto UsualFirstEvent(const ServiceTimes& aTimes,
                     const RequestSize& aSize,
                     double aKeptTokens) -> double
{
  if (aTimes.mSamples <= 0) {
    return 0;
  }
  const auto meanPrompt = aTimes.mPrompt / aTimes.mSamples;
  const auto meanFirst = aTimes.mFirst / aTimes.mSamples;
  const auto prompt = aSize.mPromptTokens > 0
                        ? static_cast<double>(aSize.mPromptTokens)
                        : meanPrompt;
  const auto perToken = PromptTokenMillis(aTimes);
  const auto fixed = std::max(0.0, meanFirst - perToken * meanPrompt);
  return fixed + perToken * std::max(0.0, prompt - aKeptTokens);
}

auto UsualOutput(const ServiceTimes& aTimes, const RequestSize& aSize) -> double
{
  const auto events = aSize.mMaxOutputTokens > 0
                        ? std::min(aTimes.mOutputEvents,
                                   static_cast<double>(aSize.mMaxOutputTokens))
                        : aTimes.mOutputEvents;
  return aTimes.mOutputMs * events;
}

} // namespace

auto NoteWorkFactor(WorkFactor& aFactor, double aStated, TimePoint aAt) -> void
{
  if (!std::isfinite(aStated) || aStated <= 0 || aAt <= aFactor.mAt) {
    return;
  }
  const auto stated = std::clamp(aStated, kMinFactor, kMaxFactor);
  const auto first = aFactor.mAt == TimePoint{};
  const auto weight =
    first ? 1 : 1 - std::exp(-Seconds(aAt - aFactor.mAt) / kSmoothingSeconds);
  aFactor.mSmoothed += (stated - aFactor.mSmoothed) * weight;
  aFactor.mAt = aAt;
}

auto NoteOwnWorkFactor(WorkFactor& aFactor, double aStated, TimePoint aAt)
  -> void
{
  if (!std::isfinite(aStated) || aStated <= 0 || aAt <= aFactor.mOwnStatedAt) {
    return;
  }
  aFactor.mOwnStated = aStated;
  aFactor.mOwnStatedAt = aAt;
  NoteWorkFactor(aFactor, aStated, aAt);
}

auto CurrentWorkFactor(const WorkFactor& aFactor, TimePoint aNow) -> double
{
  if (!IsKnown(aFactor, aNow)) {
    return 1;
  }
  const auto old = Seconds(aNow - aFactor.mAt) - kFreshSeconds;
  return old <= 0
           ? aFactor.mSmoothed
           : std::pow(aFactor.mSmoothed, std::exp2(-old / kHalfLifeSeconds));
}

auto IsKnown(const WorkFactor& aFactor, TimePoint aNow) -> bool
{
  return aFactor.mAt != TimePoint{} && aNow < aFactor.mAt + kForgottenAfter;
}

auto TokensOf(const RequestSize& aSize) -> std::uint64_t
{
  return std::uint64_t{ aSize.mPromptTokens } + aSize.mMaxOutputTokens;
}

auto RecordFirstEvent(ServiceTimes& aTimes,
                      std::uint32_t aPromptTokens,
                      Duration aElapsed,
                      double aWorkFactor) -> void
{
  const auto first = Millis(aElapsed) / aWorkFactor;
  if (first < 0 ||
      (aTimes.mSamples > kMinLineSamples &&
       first > kMaxFirstEventRatio * aTimes.mFirst / aTimes.mSamples)) {
    return;
  }
  const auto prompt = static_cast<double>(aPromptTokens);
  const auto add = [](double& aSum, double aValue) {
    aSum = kLineDecay * aSum + aValue;
  };
  add(aTimes.mSamples, 1);
  add(aTimes.mPrompt, prompt);
  add(aTimes.mFirst, first);
  add(aTimes.mPromptSquare, prompt * prompt);
  add(aTimes.mPromptFirst, prompt * first);
}

auto RecordOutput(ServiceTimes& aTimes,
                  std::uint64_t aEvents,
                  Duration aElapsed,
                  double aWorkFactor) -> void
{
  if (aEvents == 0) {
    return;
  }
  const auto events = static_cast<double>(aEvents);
  Blend(aTimes.mOutputMs, Millis(aElapsed) / events / aWorkFactor);
  Blend(aTimes.mOutputEvents, events);
}

auto PromptTokenMillis(const ServiceTimes& aTimes) -> double
{
  if (aTimes.mSamples < kMinLineSamples || aTimes.mPrompt <= 0) {
    return 0;
  }
  const auto meanPrompt = aTimes.mPrompt / aTimes.mSamples;
  const auto meanFirst = aTimes.mFirst / aTimes.mSamples;
  const auto variance =
    aTimes.mPromptSquare / aTimes.mSamples - meanPrompt * meanPrompt;
  const auto deviation = kMinPromptDeviation * meanPrompt;
  if (variance < deviation * deviation) {
    return 0;
  }
  const auto covariance =
    aTimes.mPromptFirst / aTimes.mSamples - meanPrompt * meanFirst;
  return std::clamp(covariance / variance, 0.0, meanFirst / meanPrompt);
}

auto ExpectedFirstEvent(const ServiceTimes& aTimes,
                        const EndpointConditions& aConditions,
                        const RequestSize& aSize) -> double
{
  return UsualFirstEvent(aTimes, aSize, aConditions.mKeptTokens) *
         aConditions.mWorkFactor;
}

auto ExpectedEnd(const ServiceTimes& aTimes,
                 const EndpointConditions& aConditions,
                 const RequestSize& aSize) -> double
{
  return ExpectedFirstEvent(aTimes, aConditions, aSize) +
         UsualOutput(aTimes, aSize) * aConditions.mWorkFactor;
}

auto SavedMillis(const ServiceTimes& aTimes,
                 const EndpointConditions& aConditions) -> double
{
  return PromptTokenMillis(aTimes) * aConditions.mKeptTokens *
         aConditions.mWorkFactor;
}

auto RelativeTime(const ServiceTimes& aTimes,
                  const EndpointConditions& aConditions,
                  const RequestSize& aSize) -> double
{
  // A prompt that is kept whole still needs its fixed part.
  constexpr double kMinRatio = 0.05;
  const EndpointConditions usual;
  const auto first = ExpectedFirstEvent(aTimes, usual, aSize);
  const auto end = ExpectedEnd(aTimes, usual, aSize);
  if (first <= 0 || end <= 0) {
    return aConditions.mWorkFactor;
  }
  const auto ratio = (ExpectedFirstEvent(aTimes, aConditions, aSize) / first +
                      ExpectedEnd(aTimes, aConditions, aSize) / end) /
                     2;
  return std::max(kMinRatio, ratio);
}

auto FitsMemory(const EndpointRecord& aRecord,
                const ServiceTimes& aTimes,
                double aOthers,
                std::uint64_t aMemoryTokens,
                const RequestSize& aSize) -> bool
{
  const auto tokens = static_cast<double>(TokensOf(aSize));
  if (tokens <= 0 || aMemoryTokens == 0) {
    return true;
  }
  const auto unsized = std::max(0.0, aOthers - aRecord.mSized);
  const auto held =
    static_cast<double>(aRecord.mSizedTokens) + unsized * aTimes.mTokens;
  return held + tokens <= static_cast<double>(aMemoryTokens);
}

} // namespace mangovalve
