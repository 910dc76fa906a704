// Choice of an endpoint: own failure domain first, with spill-over under
// hysteresis; prefix affinity with bounded load; otherwise the less utilised of
// two random candidates.
//
// Load reports lag, and all hosts receive the same ones. Choosing between two
// random candidates keeps independent hosts from all selecting the endpoint
// that the last report showed as idle. Each host also adds its own dispatches
// since the report.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "mangovalve/base/random.h"

namespace mangovalve {

// An endpoint that may receive requests now.
struct Candidate
{
  std::string mAddress;
  bool mOwnDomain = true;
  std::uint32_t mOwnInFlight = 0; // current requests of this host
  // Requests of this host when the report was taken; part of mReported.
  std::uint32_t mOwnAtReport = 0;
  double mReported = -1;    // requests of all hosts, lagging; negative: unknown
  std::uint32_t mLimit = 1; // concurrent requests without queueing
  double mSlowStart = 1;    // usable share of its capacity, in (0, 1]
};

struct ChoicePolicy
{
  // Requests spill over to other domains when the mean utilisation of the own
  // domain exceeds that of the others by mSpillAbove, until the difference
  // falls below mSpillBelow. The gap between the two prevents oscillation.
  double mSpillAbove = 0.15;
  double mSpillBelow = 0.05;
  // Mean utilisation that is assumed of other domains without load reports.
  double mAssumedUtilisation = 0.8;
  // A prefix's preferred endpoint is used while its load is at most this
  // multiple of the mean load plus one request.
  double mAffinityBound = 1.25;
};

// State of one host and service that is kept between choices.
struct SpillState
{
  bool mSpilling = false;
};

// Estimated requests at the endpoint: the other hosts' part of the report plus
// this host's current requests.
auto EstimatedLoad(const Candidate& aCandidate) -> double;

// Used share of the endpoint's capacity, which is reduced during a slow start.
// May exceed 1.
auto Utilisation(const Candidate& aCandidate) -> double;

// Index of the chosen candidate; nullopt if all are full. aPrefix is a hash of
// the prompt prefix, or 0 for none.
auto ChooseEndpoint(std::span<const Candidate> aCandidates,
                    std::uint64_t aPrefix,
                    const ChoicePolicy& aPolicy,
                    SpillState& aSpill,
                    Random& aRandom) -> std::optional<std::size_t>;

} // namespace mangovalve
