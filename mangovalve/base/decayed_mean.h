// A mean that forgets the past with each new value.
#pragma once

namespace mangovalve {

// Blends a value into a mean that is 0 while nothing is known.
inline auto UpdateDecayedMean(double& aMean, double aValue) -> void
{
  constexpr double kDecay = 0.9; // weight of the past per value
  aMean = aMean == 0 ? aValue : kDecay * aMean + (1 - kDecay) * aValue;
}

} // namespace mangovalve
