// Places online requests and batch items by free slots.
#include "mangovalve/routing/placement.h"

#include <algorithm>
#include <cmath>

namespace mangovalve {
namespace {

// Free slots; negative if requests wait at the endpoint.
auto FreeSlots(const PlacementCandidate& aCandidate) -> double
{
  return UsableSlots(aCandidate) - aCandidate.mOnline - aCandidate.mBatch -
         aCandidate.mUnseen;
}

auto IsExcluded(std::span<const std::size_t> aExcluded, std::size_t aIndex)
  -> bool
{
  return std::find(aExcluded.begin(), aExcluded.end(), aIndex) !=
         aExcluded.end();
}

// Input of a choice.
struct CandidateSet
{
  std::span<const PlacementCandidate> mCandidates;
  std::span<const std::size_t> mExcluded;
  const PlacementPolicy& mPolicy;
};

// A random candidate in the own or in other domains, weighted by the slots that
// aRoom returns; nullopt if none has more than aMargin.
template<typename RoomFunction>
auto ChooseWeightedByRoom(const CandidateSet& aChoice,
                          bool aOwnDomain,
                          const RoomFunction& aRoom,
                          double aMargin,
                          Random& aRandom) -> std::optional<std::size_t>
{
  const auto candidates = aChoice.mCandidates;
  std::vector<double> weights(candidates.size(), 0);
  auto total = 0.0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto room = aRoom(candidates[i]) - aMargin;
    if (candidates[i].mOwnDomain != aOwnDomain || !candidates[i].mUsable ||
        room <= 0 || IsExcluded(aChoice.mExcluded, i)) {
      continue;
    }
    weights[i] = std::pow(room, aChoice.mPolicy.mFreeSlotPower);
    total += weights[i];
  }
  if (total <= 0) {
    return std::nullopt;
  }
  auto remaining = Uniform(aRandom) * total;
  std::optional<std::size_t> last;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    if (weights[i] > 0) {
      last = i;
      remaining -= weights[i];
      if (remaining < 0) {
        break;
      }
    }
  }
  return last;
}

// Prefers the own domain; other domains must exceed a margin.
template<typename RoomFunction>
auto ChooseOwnDomainFirst(const CandidateSet& aChoice,
                          const RoomFunction& aRoom,
                          Random& aRandom) -> std::optional<std::size_t>
{
  const auto near = ChooseWeightedByRoom(aChoice, true, aRoom, 0, aRandom);
  return near ? near
              : ChooseWeightedByRoom(aChoice,
                                     false,
                                     aRoom,
                                     aChoice.mPolicy.mOtherDomainMargin,
                                     aRandom);
}

} // namespace

auto UsableSlots(const PlacementCandidate& aCandidate) -> double
{
  return std::max(1.0, std::floor(aCandidate.mSlots * aCandidate.mSlowStart));
}

auto ReclaimableSlots(const PlacementCandidate& aCandidate) -> double
{
  return UsableSlots(aCandidate) - aCandidate.mOnline - aCandidate.mUnseen;
}

auto PlaceOnline(std::span<const PlacementCandidate> aCandidates,
                 std::span<const std::size_t> aExcluded,
                 const PlacementPolicy& aPolicy,
                 Random& aRandom) -> std::optional<std::size_t>
{
  const CandidateSet choice{ aCandidates, aExcluded, aPolicy };
  if (const auto free = ChooseOwnDomainFirst(choice, FreeSlots, aRandom)) {
    return free;
  }
  if (const auto reclaimable =
        ChooseWeightedByRoom(choice, true, ReclaimableSlots, 0, aRandom)) {
    return reclaimable;
  }
  return ChooseWeightedByRoom(choice, false, ReclaimableSlots, 0, aRandom);
}

auto PlaceOnFreeSlot(std::span<const PlacementCandidate> aCandidates,
                     const PlacementPolicy& aPolicy,
                     Random& aRandom) -> std::optional<std::size_t>
{
  return ChooseWeightedByRoom(
    { aCandidates, {}, aPolicy }, true, FreeSlots, 0, aRandom);
}

auto PlaceBatch(std::span<const PlacementCandidate> aCandidates,
                BatchUrgency aUrgency,
                const PlacementPolicy& aPolicy,
                Random& aRandom) -> std::optional<std::size_t>
{
  const auto headroom =
    aPolicy.mBatchHeadroom +
    (aUrgency == BatchUrgency::Late ? aPolicy.mLateHeadroom : 0);
  const auto room = [headroom](const PlacementCandidate& aCandidate) {
    return FreeSlots(aCandidate) - headroom;
  };
  return ChooseOwnDomainFirst({ aCandidates, {}, aPolicy }, room, aRandom);
}

auto SpareSlotsForBatch(std::span<const PlacementCandidate> aCandidates,
                        const PlacementPolicy& aPolicy) -> double
{
  auto spare = 0.0;
  for (const auto& candidate : aCandidates) {
    if (candidate.mUsable) {
      spare += std::max(0.0, FreeSlots(candidate) - aPolicy.mBatchHeadroom);
    }
  }
  return spare;
}

} // namespace mangovalve
