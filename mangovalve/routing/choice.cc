// Chooses an endpoint by domain, prefix affinity and load.
#include "mangovalve/routing/choice.h"

#include <algorithm>
#include <limits>

#include "mangovalve/base/id.h"

namespace mangovalve {
namespace {

// Indices of the candidates with capacity, in the own and in other domains.
struct Pools
{
  std::vector<std::size_t> mOwn;
  std::vector<std::size_t> mOthers;
};

auto HasRoom(const Candidate& aCandidate) -> bool
{
  return Utilisation(aCandidate) < 1;
}

// Mean utilisation of the endpoints in the own or in other domains. With
// aReportedOnly, endpoints without a report are left out: only this host's
// requests at them are known, which says little about their load.
auto MeanUtilisation(std::span<const Candidate> aCandidates,
                     bool aOwn,
                     bool aReportedOnly) -> std::optional<double>
{
  auto sum = 0.0;
  auto count = 0;
  for (const auto& candidate : aCandidates) {
    if (candidate.mOwnDomain == aOwn &&
        (candidate.mReported >= 0 || !aReportedOnly)) {
      sum += Utilisation(candidate);
      ++count;
    }
  }
  return count == 0 ? std::nullopt : std::optional(sum / count);
}

// Updates the hysteresis from the mean utilisation of both groups.
auto UpdateSpill(std::span<const Candidate> aCandidates,
                 const ChoicePolicy& aPolicy,
                 SpillState& aSpill) -> void
{
  const auto own = MeanUtilisation(aCandidates, true, false);
  const auto others = MeanUtilisation(aCandidates, false, true);
  if (!own) {
    return;
  }
  const auto excess = *own - others.value_or(aPolicy.mAssumedUtilisation);
  if (aSpill.mSpilling ? excess < aPolicy.mSpillBelow
                       : excess > aPolicy.mSpillAbove) {
    aSpill.mSpilling = !aSpill.mSpilling;
  }
}

// The pool's endpoint that rendezvous hashing assigns to the prefix.
auto PreferredFor(std::uint64_t aPrefix,
                  std::span<const Candidate> aCandidates,
                  std::span<const std::size_t> aPool) -> std::size_t
{
  return *std::max_element(
    aPool.begin(), aPool.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return StableHash(aCandidates[aLeft].mAddress, aPrefix) <
             StableHash(aCandidates[aRight].mAddress, aPrefix);
    });
}

// Whether the load of the candidate aIndex is within the affinity bound.
auto WithinBound(std::size_t aIndex,
                 std::span<const Candidate> aCandidates,
                 std::span<const std::size_t> aPool,
                 double aBound) -> bool
{
  auto sum = 0.0;
  for (const auto index : aPool) {
    sum += EstimatedLoad(aCandidates[index]);
  }
  const auto mean = sum / static_cast<double>(aPool.size());
  return EstimatedLoad(aCandidates[aIndex]) <= mean * aBound + 1;
}

// The less utilised of two different random members of the pool.
auto BetterOfTwo(std::span<const Candidate> aCandidates,
                 std::span<const std::size_t> aPool,
                 Random& aRandom) -> std::size_t
{
  const auto first = UniformBelow(aRandom, aPool.size());
  if (aPool.size() == 1) {
    return aPool[first];
  }
  auto second = UniformBelow(aRandom, aPool.size() - 1);
  second += second >= first ? 1 : 0;
  return Utilisation(aCandidates[aPool[second]]) <
             Utilisation(aCandidates[aPool[first]])
           ? aPool[second]
           : aPool[first];
}

} // namespace

auto EstimatedLoad(const Candidate& aCandidate) -> double
{
  const auto own = static_cast<double>(aCandidate.mOwnInFlight);
  const auto others =
    aCandidate.mReported - static_cast<double>(aCandidate.mOwnAtReport);
  return own + std::max(0.0, others);
}

auto Utilisation(const Candidate& aCandidate) -> double
{
  const auto capacity = static_cast<double>(std::max(1U, aCandidate.mLimit)) *
                        std::clamp(aCandidate.mSlowStart, 0.01, 1.0);
  return EstimatedLoad(aCandidate) / std::max(1.0, capacity);
}

auto ChooseEndpoint(std::span<const Candidate> aCandidates,
                    std::uint64_t aPrefix,
                    const ChoicePolicy& aPolicy,
                    SpillState& aSpill,
                    Random& aRandom) -> std::optional<std::size_t>
{
  UpdateSpill(aCandidates, aPolicy, aSpill);
  Pools pools;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (HasRoom(aCandidates[i])) {
      (aCandidates[i].mOwnDomain ? pools.mOwn : pools.mOthers).push_back(i);
    }
  }
  auto pool = pools.mOwn;
  if (pool.empty() || aSpill.mSpilling) {
    pool.insert(pool.end(), pools.mOthers.begin(), pools.mOthers.end());
  }
  if (pool.empty()) {
    return std::nullopt;
  }
  if (aPrefix != 0) {
    const auto preferred = PreferredFor(aPrefix, aCandidates, pool);
    if (WithinBound(preferred, aCandidates, pool, aPolicy.mAffinityBound)) {
      return preferred;
    }
  }
  return BetterOfTwo(aCandidates, pool, aRandom);
}

} // namespace mangovalve
