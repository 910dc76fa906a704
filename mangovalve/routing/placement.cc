// Placement of online requests and batch items.
#include "mangovalve/routing/placement.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace mangovalve {
namespace {

auto Slots(const PlacementCandidate& aCandidate) -> double
{
  return std::max(1.0, std::floor(aCandidate.mSlots * aCandidate.mSlowStart));
}

// Slots that nobody holds; negative when requests wait at the endpoint.
auto FreeSlots(const PlacementCandidate& aCandidate) -> double
{
  return Slots(aCandidate) - aCandidate.mOnline - aCandidate.mBatch -
         aCandidate.mUnseen;
}

// Slots that an online request can have once batch has given way.
auto ReclaimableSlots(const PlacementCandidate& aCandidate) -> double
{
  return Slots(aCandidate) - aCandidate.mOnline - aCandidate.mUnseen;
}

auto IsExcluded(std::span<const std::size_t> aExcluded, std::size_t aIndex)
  -> bool
{
  return std::find(aExcluded.begin(), aExcluded.end(), aIndex) !=
         aExcluded.end();
}

using RoomOf = std::function<auto(const PlacementCandidate&)->double>;

// A random candidate, weighted by its room; nothing if none has room.
auto DrawByRoom(std::span<const PlacementCandidate> aCandidates,
                std::span<const std::size_t> aExcluded,
                const RoomOf& aRoom,
                const PlacementPolicy& aPolicy,
                Random& aRandom) -> std::optional<std::size_t>
{
  std::vector<double> weights(aCandidates.size(), 0);
  auto total = 0.0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto room = aRoom(aCandidates[i]);
    if (!aCandidates[i].mUsable || room <= 0 || IsExcluded(aExcluded, i)) {
      continue;
    }
    weights[i] = std::pow(room, aPolicy.mFreeSlotPower) *
                 (aCandidates[i].mOwnDomain ? 1 : aPolicy.mOtherDomainWeight);
    total += weights[i];
  }
  if (total <= 0) {
    return std::nullopt;
  }
  auto left = Uniform(aRandom) * total;
  std::optional<std::size_t> last;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    if (weights[i] > 0) {
      last = i;
      left -= weights[i];
      if (left < 0) {
        break;
      }
    }
  }
  return last;
}

} // namespace

auto PlaceOnline(std::span<const PlacementCandidate> aCandidates,
                 std::span<const std::size_t> aExcluded,
                 const PlacementPolicy& aPolicy,
                 Random& aRandom) -> std::optional<std::size_t>
{
  const auto free =
    DrawByRoom(aCandidates, aExcluded, FreeSlots, aPolicy, aRandom);
  return free ? free
              : DrawByRoom(
                  aCandidates, aExcluded, ReclaimableSlots, aPolicy, aRandom);
}

auto PlaceBatch(std::span<const PlacementCandidate> aCandidates,
                const PlacementPolicy& aPolicy,
                Random& aRandom) -> std::optional<std::size_t>
{
  const auto room = [&](const PlacementCandidate& aCandidate) {
    return FreeSlots(aCandidate) - aPolicy.mBatchHeadroom;
  };
  return DrawByRoom(aCandidates, {}, room, aPolicy, aRandom);
}

auto SpareForBatch(std::span<const PlacementCandidate> aCandidates,
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

auto BatchToStop(const PlacementCandidate& aCandidate,
                 std::uint32_t aOwnBatch,
                 Random& aRandom) -> std::uint32_t
{
  const auto excess = std::min(-FreeSlots(aCandidate), aCandidate.mBatch);
  if (excess <= 0 || aOwnBatch == 0) {
    return 0;
  }
  const auto own = static_cast<double>(aOwnBatch);
  const auto share = excess * own / std::max(own, aCandidate.mBatch);
  const auto whole = std::floor(share);
  const auto extra = Uniform(aRandom) < share - whole ? 1 : 0;
  return std::min(aOwnBatch, static_cast<std::uint32_t>(whole) + extra);
}

} // namespace mangovalve
