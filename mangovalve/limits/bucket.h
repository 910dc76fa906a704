// A token bucket as pure functions over a plain struct.
#pragma once

#include <algorithm>

#include "mangovalve/base/time.h"

namespace mangovalve {

struct Bucket
{
  double mTokens = 0; // between 0 and the cap of the last Accrue
  TimePoint mAt{};    // tokens have accrued up to this time
};

// Accrues aRate tokens per second until aNow and limits the tokens to aCap. An
// aNow before the previous call accrues nothing.
inline auto Accrue(Bucket& aBucket, double aRate, double aCap, TimePoint aNow)
  -> void
{
  if (aNow > aBucket.mAt) {
    const std::chrono::duration<double> elapsed = aNow - aBucket.mAt;
    aBucket.mTokens += elapsed.count() * aRate;
    aBucket.mAt = aNow;
  }
  aBucket.mTokens = std::min(aBucket.mTokens, aCap);
}

// Tolerance for the rounding errors of many additions. Take never lowers the
// tokens below zero, so a full bucket gains nothing from it.
constexpr double kTokenEpsilon = 1e-9;

// Takes aCost tokens. Returns false and changes nothing if there are fewer.
inline auto Take(Bucket& aBucket, double aCost) -> bool
{
  if (aBucket.mTokens + kTokenEpsilon < aCost) {
    return false;
  }
  aBucket.mTokens = std::max(0.0, aBucket.mTokens - aCost);
  return true;
}

// Time until aCost tokens have accrued at aRate tokens per second; the largest
// duration if that takes more than 1e6 s.
inline auto TimeUntil(const Bucket& aBucket, double aRate, double aCost)
  -> Duration
{
  if (aBucket.mTokens + kTokenEpsilon >= aCost) {
    return Duration::zero();
  }
  const auto seconds = (aCost - aBucket.mTokens) / std::max(aRate, 1e-9);
  return seconds > 1e6 ? Duration::max()
                       : std::chrono::ceil<Duration>(
                           std::chrono::duration<double>(seconds));
}

} // namespace mangovalve
