// Placement of online requests and batch items on the endpoints of a service,
// by the load that this host and its peers put on them.
//
// Engines run a fixed number of requests at once, admit in order of arrival
// and know no priorities. So online requests may take any slot that no other
// online request holds, batch items only slots that are left over, and batch
// gives way where an endpoint has more requests than slots.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "mangovalve/base/random.h"

namespace mangovalve {

struct PlacementCandidate
{
  bool mOwnDomain = true;
  bool mUsable = true;   // may get new work now
  double mSlots = 1;     // requests that it runs at once
  double mOnline = 0;    // online requests of all hosts
  double mBatch = 0;     // batch items of all hosts
  double mUnseen = 0;    // requests that it reported beyond those
  double mSlowStart = 1; // share of its work that it may get, in (0, 1]
};

struct PlacementPolicy
{
  // Slots that batch leaves free on each endpoint, so that the first requests
  // of a burst need not wait for a batch item to stop.
  double mBatchHeadroom = 1;
  // Further slots that items leave free which are late already, so that items
  // of other hosts that can still be done in time find room.
  double mLateHeadroom = 1;
  // Free slots that an endpoint of another domain must have to be chosen while
  // the own domain has none: news from there is older.
  double mOtherDomainMargin = 1;
  // Free slots are raised to this power: one endpoint with four free slots is
  // better than four with one, but hosts that decide on the same news must not
  // all choose the same endpoint.
  double mFreeSlotPower = 2;
};

// The endpoint for an online request; nothing when online requests hold all
// slots. aExcluded are candidates that this request has failed at.
auto PlaceOnline(std::span<const PlacementCandidate> aCandidates,
                 std::span<const std::size_t> aExcluded,
                 const PlacementPolicy& aPolicy,
                 Random& aRandom) -> std::optional<std::size_t>;

enum class BatchUrgency
{
  OnTime,
  Late, // the item cannot be done in time any more
};

// The endpoint for a batch item; nothing when no slot is left over.
auto PlaceBatch(std::span<const PlacementCandidate> aCandidates,
                BatchUrgency aUrgency,
                const PlacementPolicy& aPolicy,
                Random& aRandom) -> std::optional<std::size_t>;

// Slots over all endpoints that batch may still take.
auto SpareSlotsForBatch(std::span<const PlacementCandidate> aCandidates,
                        const PlacementPolicy& aPolicy) -> double;

// How many of this host's aOwnBatch items on the endpoint must stop so that
// online requests get their slots. Hosts stop in proportion to what they have
// there; a fraction is rounded by chance, so that together they stop about as
// many as needed.
auto BatchItemsToPreempt(const PlacementCandidate& aCandidate,
                         std::uint32_t aOwnBatch,
                         Random& aRandom) -> std::uint32_t;

} // namespace mangovalve
