// Recognizes crashes of endpoints, and records the requests that may have
// caused them as evidence for CrashSuspects.
//
// A lost connection alone is no crash: networks reset connections, and answers
// get lost. An endpoint counts as crashed when it ends a connection and its
// address refuses the next one.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mangovalve/serving/state.h"

namespace mangovalve {

// A run of a request or an item whose connection was lost before the endpoint
// had begun to answer.
struct LostRun
{
  std::string mRequestId;
  TimePoint mSentAt{};
  TimePoint mLostAt{};
  std::vector<PartHash> mParts; // see CrashedRun
};

// Identifies a request of a team by all that its repetitions have in common:
// host, method, target and body.
auto WholeRequestHash(const RequestMetadata& aMetadata,
                      const Request& aRequest,
                      std::string_view aTeam) -> PartHash;

// Whether the other side ended the connection. False for timeouts, malformed
// data and connections that this side closed.
auto EndedByEndpoint(const ErrorCode& aError) -> bool;

// Connects to the endpoint that has lost a run, and records the run if the
// endpoint has crashed. Returns whether it has. An endpoint that is leaving
// ends connections too, so it never counts as crashed, and neither does one
// that can't be reached or of which this is not known by aDeadline.
auto RecordIfCrashed(ServingState& aState,
                     EndpointPtr aEndpoint,
                     LostRun aRun,
                     TimePoint aDeadline) -> Task<bool>;

// End of the quarantine of requests with these parts; empty if there is none.
auto QuarantinedUntil(const CrashSuspects& aSuspects,
                      std::span<const PartHash> aParts,
                      TimePoint aNow) -> std::optional<TimePoint>;

} // namespace mangovalve
