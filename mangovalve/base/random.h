// Seeded pseudo-random numbers. Decision functions take a Random by reference,
// so that tests and benchmarks repeat a run exactly from its seed.
#pragma once

#include <cstdint>
#include <utility>

namespace mangovalve {

// SplitMix64. The same seed gives the same sequence on every platform, unlike
// the distributions of <random>.
struct Random
{
  std::uint64_t mState = 0;
};

// Next 64 random bits.
inline auto Next(Random& aRandom) -> std::uint64_t
{
  aRandom.mState += 0x9e3779b97f4a7c15ULL;
  auto z = aRandom.mState;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

// Uniform integer in [0, aBound); aBound must be positive. The modulo bias is
// below 2^-32 for bounds under 2^32.
inline auto UniformBelow(Random& aRandom, std::uint64_t aBound) -> std::uint64_t
{
  return Next(aRandom) % aBound;
}

// Uniform double in [0, 1).
inline auto Uniform(Random& aRandom) -> double
{
  return static_cast<double>(Next(aRandom) >> 11) * 0x1.0p-53;
}

// Puts the elements of a container into a random order.
template<typename Container>
auto Shuffle(Container& aElements, Random& aRandom) -> void
{
  for (auto left = aElements.size(); left > 1; --left) {
    std::swap(aElements[left - 1], aElements[UniformBelow(aRandom, left)]);
  }
}

} // namespace mangovalve
