// Choice of an endpoint: own domain first with spill-over under hysteresis,
// prefix affinity with bounded load, otherwise the better of two random
// candidates.
//
// Load reports lag and every host sees the same ones. Two random candidates
// keep hosts that choose independently from piling onto the one endpoint that
// the last report showed as idle, and each host adds its own dispatches since
// the report.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "mangovalve/base/random.h"

namespace mangovalve {

// An endpoint that may get work now.
struct Candidate
{
  std::string mAddress;
  bool mOwnDomain = true;
  std::uint32_t mOwnInFlight = 0; // requests of this host, now
  // Requests of this host when the report was taken; part of mReported.
  std::uint32_t mOwnAtReport = 0;
  double mReported = -1;    // requests of all hosts, lagged; below 0: none
  std::uint32_t mLimit = 1; // requests that it serves at once without queueing
  double mSlowStart = 1;    // share of its work that it may get, in (0, 1]
};

struct ChoicePolicy
{
  // Spill over to other domains when the mean utilisation of the own domain
  // exceeds that of the others by mSpillAbove; return when the difference is
  // below mSpillBelow. The gap keeps a domain from flapping.
  double mSpillAbove = 0.15;
  double mSpillBelow = 0.05;
  // Assumed of other domains without a load report.
  double mAssumedUtilisation = 0.8;
  // A prefix's preferred endpoint is used while its load is at most this
  // multiple of the mean, plus one request.
  double mAffinityBound = 1.25;
};

// Soft state of one host and service between choices.
struct SpillState
{
  bool mSpilling = false;
};

// Requests on the endpoint as far as this host can know: the others' part of
// the report plus the own ones now.
auto EstimatedLoad(const Candidate& aCandidate) -> double;

// Share of an endpoint's capacity in use, counting a slow-starting endpoint's
// capacity as its reduced share. May exceed 1.
auto Utilisation(const Candidate& aCandidate) -> double;

// Index of the chosen candidate; nothing when all are full. aPrefix is a hash
// of the prompt's beginning, or 0 for none.
auto ChooseEndpoint(std::span<const Candidate> aCandidates,
                    std::uint64_t aPrefix,
                    const ChoicePolicy& aPolicy,
                    SpillState& aSpill,
                    Random& aRandom) -> std::optional<std::size_t>;

} // namespace mangovalve
