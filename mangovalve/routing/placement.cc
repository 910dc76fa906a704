// Places online requests and batch items by free slots and speed.
#include "mangovalve/routing/placement.h"

#include <algorithm>
#include <cmath>
#include <functional>

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

// Weights of the candidates; the choice is random in proportion to them.
struct Weights
{
  std::vector<double> mWeights;
  double mTotal = 0;
};

auto HasSpeeds(std::span<const PlacementCandidate> aCandidates) -> bool
{
  return std::any_of(
    aCandidates.begin(), aCandidates.end(), [](const auto& aCandidate) {
      return aCandidate.mRelativeTime > 0;
    });
}

auto TimeOf(const PlacementCandidate& aCandidate) -> double
{
  return aCandidate.mRelativeTime > 0 ? aCandidate.mRelativeTime : 1;
}

// Level down to which aAmount fills up the highest of the rooms; not below 0.
auto FillLevel(std::vector<double> aRooms, double aAmount) -> double
{
  std::sort(aRooms.begin(), aRooms.end(), std::greater<>());
  auto sum = 0.0;
  for (std::size_t i = 0; i < aRooms.size() && aRooms[i] > 0; ++i) {
    sum += aRooms[i];
    const auto level = (sum - aAmount) / static_cast<double>(i + 1);
    const auto next = i + 1 < aRooms.size() ? std::max(0.0, aRooms[i + 1]) : 0;
    if (level >= next) {
      return level;
    }
  }
  return 0;
}

// Turns rooms into what each gets of aAmount requests.
auto FillUp(Weights& aRooms, double aAmount) -> void
{
  const auto level = FillLevel(aRooms.mWeights, aAmount);
  aRooms.mTotal = 0;
  for (auto& room : aRooms.mWeights) {
    room = std::max(0.0, room - level);
    aRooms.mTotal += room;
  }
}

// Weights by the slots that aRoom returns, in the own or in other domains; none
// for candidates that have no more than aMargin.
template<typename RoomFunction>
auto WeighByRoom(const CandidateSet& aChoice,
                 bool aOwnDomain,
                 const RoomFunction& aRoom,
                 double aMargin) -> Weights
{
  const auto candidates = aChoice.mCandidates;
  const auto& policy = aChoice.mPolicy;
  const auto speeds = HasSpeeds(candidates);
  Weights result{ std::vector<double>(candidates.size(), 0) };
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto room = aRoom(candidates[i]) - aMargin;
    if (candidates[i].mOwnDomain != aOwnDomain || !candidates[i].mUsable ||
        room <= 0 || IsExcluded(aChoice.mExcluded, i)) {
      continue;
    }
    result.mWeights[i] = speeds ? room / TimeOf(candidates[i])
                                : std::pow(room, policy.mFreeSlotPower);
    result.mTotal += result.mWeights[i];
  }
  if (speeds && result.mTotal > 0) {
    FillUp(result, policy.mUnseenPlacements);
  }
  return result;
}

auto Choose(const Weights& aWeights, Random& aRandom)
  -> std::optional<std::size_t>
{
  if (aWeights.mTotal <= 0) {
    return std::nullopt;
  }
  auto remaining = Uniform(aRandom) * aWeights.mTotal;
  std::optional<std::size_t> last;
  for (std::size_t i = 0; i < aWeights.mWeights.size(); ++i) {
    if (aWeights.mWeights[i] > 0) {
      last = i;
      remaining -= aWeights.mWeights[i];
      if (remaining < 0) {
        break;
      }
    }
  }
  return last;
}

// Mean relative time of the choice.
auto MeanTime(std::span<const PlacementCandidate> aCandidates,
              const Weights& aWeights) -> double
{
  auto sum = 0.0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    sum += aWeights.mWeights[i] * TimeOf(aCandidates[i]);
  }
  return sum / aWeights.mTotal;
}

// A random candidate in the own or in other domains; nullopt if none has more
// than aMargin.
template<typename RoomFunction>
auto ChooseWeightedByRoom(const CandidateSet& aChoice,
                          bool aOwnDomain,
                          const RoomFunction& aRoom,
                          double aMargin,
                          Random& aRandom) -> std::optional<std::size_t>
{
  return Choose(WeighByRoom(aChoice, aOwnDomain, aRoom, aMargin), aRandom);
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

auto HasRoom(const PlacementCandidate& aCandidate) -> bool
{
  return FreeSlots(aCandidate) > 0;
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

auto MayLeaveDomainEarly(double aOwnTime, const PlacementPolicy& aPolicy)
  -> bool
{
  // Few machines are faster than usual, and those by little.
  constexpr double kFastest = 0.9;
  return aOwnTime > aPolicy.mOtherDomainTimeRatio * kFastest;
}

auto MeanTimeOnFreeSlot(std::span<const PlacementCandidate> aCandidates,
                        const PlacementPolicy& aPolicy) -> std::optional<double>
{
  if (!HasSpeeds(aCandidates)) {
    return std::nullopt;
  }
  const auto weights =
    WeighByRoom({ aCandidates, {}, aPolicy }, true, FreeSlots, 0);
  return weights.mTotal > 0 ? std::optional(MeanTime(aCandidates, weights))
                            : std::nullopt;
}

auto PlaceEarlyInOtherDomain(std::span<const PlacementCandidate> aCandidates,
                             std::span<const std::size_t> aExcluded,
                             double aOwnTime,
                             const PlacementPolicy& aPolicy,
                             Random& aRandom) -> std::optional<std::size_t>
{
  const auto weights = WeighByRoom({ aCandidates, aExcluded, aPolicy },
                                   false,
                                   FreeSlots,
                                   aPolicy.mEarlyOtherDomainMargin);
  const auto faster =
    weights.mTotal > 0 &&
    aOwnTime > aPolicy.mOtherDomainTimeRatio * MeanTime(aCandidates, weights);
  return faster ? Choose(weights, aRandom) : std::nullopt;
}

auto PlaceBatch(std::span<const PlacementCandidate> aCandidates,
                BatchUrgency aUrgency,
                const PlacementPolicy& aPolicy,
                Random& aRandom) -> std::optional<std::size_t>
{
  const auto headroom =
    aPolicy.mBatchHeadroom +
    (aUrgency == BatchUrgency::Late ? aPolicy.mLateHeadroom : 0);
  const auto roomBeyond = [](double aSlots) {
    return [aSlots](const PlacementCandidate& aCandidate) {
      return FreeSlots(aCandidate) - BatchHeadroom(aCandidate, aSlots);
    };
  };
  // The owners of batch jobs start items at the same moment and together take
  // about all spare slots.
  auto policy = aPolicy;
  policy.mUnseenPlacements = SpareSlotsForBatch(aCandidates, aPolicy);
  const CandidateSet choice{ aCandidates, {}, policy };
  const auto near =
    ChooseWeightedByRoom(choice, true, roomBeyond(headroom), 0, aRandom);
  return near ? near
              : ChooseWeightedByRoom(
                  choice,
                  false,
                  roomBeyond(headroom + aPolicy.mOtherDomainMargin),
                  0,
                  aRandom);
}

auto BatchHeadroom(const PlacementCandidate& aCandidate, double aSlots)
  -> double
{
  return std::min(aSlots, std::max(0.0, aCandidate.mSlots - 1));
}

auto SpareSlotsForBatch(std::span<const PlacementCandidate> aCandidates,
                        const PlacementPolicy& aPolicy) -> double
{
  auto spare = 0.0;
  for (const auto& candidate : aCandidates) {
    if (candidate.mUsable) {
      const auto headroom = BatchHeadroom(candidate, aPolicy.mBatchHeadroom);
      spare += std::max(0.0, FreeSlots(candidate) - headroom);
    }
  }
  return spare;
}

} // namespace mangovalve
