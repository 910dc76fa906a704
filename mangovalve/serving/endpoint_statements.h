// What endpoints state about themselves in their responses: a limit on their
// request rate, that they are leaving, or that they are cold. The hosts
// exchange the limits in load reports and domain summaries, so that hosts that
// send nothing to an endpoint also learn of a limit, and of its end.
//
// Load reports contain only what the sender has received from the endpoint
// itself, and summaries only what hosts of the sender's domain have. So a
// statement is passed on at most twice, and the error of its age, which is sent
// instead of its time, is bounded. The newest statement counts.
//
// That an endpoint is cold is exchanged in the same way. It follows also from
// its registration, and from signs of a restart: a new incarnation, a return to
// the table, a refused connection, or one that was reset without a response.
//
// That an endpoint is leaving is not exchanged: each host notices it, or reads
// it in the store.
#pragma once

#include <span>
#include <vector>

#include "mangovalve/peer/load_report_generated.h"
#include "mangovalve/serving/protocol.h"
#include "mangovalve/serving/state.h"

namespace mangovalve {

// Limits in one datagram.
constexpr std::size_t kMaxLimitsSent = 128;

// Records what a response of the endpoint to one of this host's requests
// states.
auto RecordStatements(ServingState& aState,
                      const Endpoint& aEndpoint,
                      const ResponseMetadata& aMetadata,
                      TimePoint aNow) -> void;

// The statements of the endpoint's start that the registration names; those of
// an earlier registration of the same start are kept.
auto StatementsOf(ServingState& aState,
                  const Registration& aRegistration,
                  TimePoint aNow) -> EndpointStatementsPtr;

// Forgets statements of endpoints that are no longer registered, except those
// that still bind this host if the endpoint is registered again.
auto ForgetStatements(ServingState& aState, TimePoint aNow) -> void;

// Limits and recent ends of limits for a load report, or for a summary of this
// host's domain.
auto LimitsForReport(const ServingState& aState, TimePoint aNow)
  -> std::vector<wire::EndpointLimit>;
auto LimitsForSummary(const ServingState& aState, TimePoint aNow)
  -> std::vector<wire::EndpointLimit>;

// Applies limits from a report of aDomain. Nothing about them is trusted: those
// of unknown endpoints are ignored.
auto ApplyLimits(ServingState& aState,
                 std::span<const wire::EndpointLimit> aLimits,
                 const std::string& aDomain,
                 TimePoint aNow) -> void;

// Sends all limits and their ends again, because another host is heard that may
// have missed them.
auto RepeatLimits(ServingState& aState, TimePoint aNow) -> void;

// Records what the endpoint's registration, which was just read and is new or
// changed, states about its cold time. A new incarnation is cold unless it is
// among those of the first table.
auto RecordRegistration(ServingState& aState,
                        const Endpoint& aEndpoint,
                        bool aIsNew,
                        TimePoint aNow) -> void;

// Records that the registration of the id was renewed unchanged.
auto RecordRenewal(ServingState& aState, const std::string& aId, TimePoint aNow)
  -> void;

// Records a sign that the endpoint may have restarted: it is cold for the
// warm-up time of its service from now on. aSign is for the log.
auto MarkCold(ServingState& aState,
              const Endpoint& aEndpoint,
              std::string_view aSign,
              TimePoint aNow) -> void;

// Cold endpoints, and those that lately became warm, for a load report or a
// summary, and their application, as for limits.
auto ColdForReport(const ServingState& aState, TimePoint aNow)
  -> std::vector<wire::ColdEndpoint>;
auto ColdForSummary(const ServingState& aState, TimePoint aNow)
  -> std::vector<wire::ColdEndpoint>;
auto ApplyColdEndpoints(ServingState& aState,
                        std::span<const wire::ColdEndpoint> aCold,
                        const std::string& aDomain,
                        TimePoint aNow) -> void;

// Whether an endpoint has turned cold so lately that other hosts may not know.
auto AnyNewCold(const ServingState& aState, TimePoint aNow) -> bool;

// Updates the limits of cold endpoints, and this host's part of each limit from
// its view of the fleet. A stated limit
// that has not been confirmed for long may be tried by all hosts, at
// kMinEndpointRate together.
auto UpdateLimitParts(ServingState& aState, TimePoint aNow) -> void;

// What the limits of a service allow, as seen by this host.
struct LimitedService
{
  std::size_t mEndpoints = 0; // with a limit
  double mRate = 0;           // of these together, in requests per second
  double mPart = 0;           // of it, that this host may use
  // When this host may send its next request; never if it has no part.
  TimePoint mNextAt = TimePoint::max();
};

auto LimitsOf(const ServingState& aState,
              const ServicePool& aPool,
              TimePoint aNow) -> LimitedService;

} // namespace mangovalve
