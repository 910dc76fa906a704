// Placement of online requests and batch items on the endpoints of a service,
// by the load from this host and its peers and, where endpoints state it, by
// the speed of their machines.
//
// Engines run a fixed number of requests at once, admit in order of arrival and
// have no priorities. So online requests may take any slot that is not held by
// another online request, batch items only spare slots. Where an endpoint has
// more requests than slots, batch items yield; see batch_yield.h.
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
  bool mUsable = true;   // may receive new requests now
  double mSlots = 1;     // number of requests that it runs at once
  double mOnline = 0;    // online requests of all hosts
  double mBatch = 0;     // batch items of all hosts
  double mUnseen = 0;    // reported requests beyond these two
  double mSlowStart = 1; // usable share of its slots, in (0, 1]
  // Expected time of the request there, relative to a usual endpoint; 0: the
  // endpoint has not stated its speed. If no candidate has, free slots alone
  // decide; otherwise, those without count as usual.
  double mRelativeTime = 0;
};

struct PlacementPolicy
{
  // Slots that batch items leave free on each endpoint, so that the first
  // requests of a burst need not wait for a batch item to stop. Endpoints with
  // few slots leave fewer free; see BatchHeadroom().
  double mBatchHeadroom = 1;
  // Additional slots that late items leave free, for items of other hosts that
  // can still be completed in time.
  double mLateHeadroom = 1;
  // An endpoint of another domain must have more free slots than this to be
  // chosen when the own domain has none, because load reports from there are
  // older.
  double mOtherDomainMargin = 1;
  // An endpoint is chosen with a probability proportional to this power of its
  // free slots. One endpoint with four free slots is better than four endpoints
  // with one each, but hosts that decide on the same load reports must not all
  // choose the same endpoint.
  double mFreeSlotPower = 2;
  // The remaining members apply where endpoints state their speed.
  //
  // Online requests that other hosts are expected to place in the own domain
  // before this host learns of them.
  double mUnseenPlacements = 2;
  // An endpoint of another domain is used before the own domain is full if the
  // request takes this many times as long in the own one, and it has more free
  // slots than the margin. Work factors and load from there are older, and
  // bytes between domains cost more.
  double mOtherDomainTimeRatio = 1.5;
  double mEarlyOtherDomainMargin = 2;
};

// Slots of the endpoint, reduced by a slow start; at least 1.
auto UsableSlots(const PlacementCandidate& aCandidate) -> double;

// Slots that online requests can use once batch items are preempted; negative
// if online requests wait at the endpoint.
auto ReclaimableSlots(const PlacementCandidate& aCandidate) -> double;

// Whether the endpoint has a slot that neither an online request nor a batch
// item holds.
auto HasRoom(const PlacementCandidate& aCandidate) -> bool;

// Index of the endpoint for an online request; nullopt if online requests hold
// all slots. aExcluded has the candidates at which the request has failed.
// Where endpoints state their speed, the free slots of each are divided by its
// relative time, and the expected placements of all hosts fill up the highest
// of these numbers first: the choice is random in proportion to what each
// endpoint gets of them.
auto PlaceOnline(std::span<const PlacementCandidate> aCandidates,
                 std::span<const std::size_t> aExcluded,
                 const PlacementPolicy& aPolicy,
                 Random& aRandom) -> std::optional<std::size_t>;

// The same among the endpoints of the own domain with a free slot, which
// PlaceOnline prefers to all others; nullopt if there is none.
auto PlaceOnFreeSlot(std::span<const PlacementCandidate> aCandidates,
                     const PlacementPolicy& aPolicy,
                     Random& aRandom) -> std::optional<std::size_t>;

// Whether an endpoint of another domain should be preferred to the free slots
// of the own one, given the mean relative time of the choice there.
auto MayLeaveDomainEarly(double aOwnTime, const PlacementPolicy& aPolicy)
  -> bool;

// Mean relative time of PlaceOnFreeSlot's choice; nullopt if there is none or
// no endpoint states its speed.
auto MeanTimeOnFreeSlot(std::span<const PlacementCandidate> aCandidates,
                        const PlacementPolicy& aPolicy)
  -> std::optional<double>;

// An endpoint of another domain that is clearly faster than aOwnTime, the mean
// relative time of a choice in the own domain; nullopt if there is none.
auto PlaceEarlyInOtherDomain(std::span<const PlacementCandidate> aCandidates,
                             std::span<const std::size_t> aExcluded,
                             double aOwnTime,
                             const PlacementPolicy& aPolicy,
                             Random& aRandom) -> std::optional<std::size_t>;

enum class BatchUrgency
{
  OnTime,
  Late, // the item can no longer be completed in time
};

// Index of the endpoint for a batch item; nullopt if there is no spare slot.
auto PlaceBatch(std::span<const PlacementCandidate> aCandidates,
                BatchUrgency aUrgency,
                const PlacementPolicy& aPolicy,
                Random& aRandom) -> std::optional<std::size_t>;

// Slots that a batch item leaves free on the endpoint: aSlots, or all but one
// if the endpoint has no more than that. An idle endpoint has room for an item.
auto BatchHeadroom(const PlacementCandidate& aCandidate, double aSlots)
  -> double;

// Number of slots at all endpoints that batch items may still take.
auto SpareSlotsForBatch(std::span<const PlacementCandidate> aCandidates,
                        const PlacementPolicy& aPolicy) -> double;

} // namespace mangovalve
