// A mean and a maximum that forget the past with each new value.
#pragma once

namespace mangovalve {

// Blends a value into a mean that is 0 while nothing is known.
inline auto UpdateDecayedMean(double& aMean, double aValue) -> void
{
  constexpr double kDecay = 0.9; // weight of the past per value
  aMean = aMean == 0 ? aValue : kDecay * aMean + (1 - kDecay) * aValue;
}

// Raises a maximum to a value, or lowers it by a fixed share.
inline auto UpdateDecayedMaximum(double& aMaximum, double aValue) -> void
{
  constexpr double kDecay = 0.998; // per value
  aMaximum = aValue > kDecay * aMaximum ? aValue : kDecay * aMaximum;
}

} // namespace mangovalve
