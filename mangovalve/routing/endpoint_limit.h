// Limits that endpoints set on their own request rate, and the part of such a
// limit that this host may use.
//
// An endpoint states in each response how many requests per second it accepts
// from all hosts together, or that it has no limit. The hosts exchange the
// latest statement. Only a few of them, the senders, send requests to a limited
// endpoint. Each sender may use an equal part of the rate, and may save
// kSavedRequests for a burst. There are at most rate + 1 senders, because one
// request of burst from each host of a large fleet would be many times a low
// rate. So they send at most rate * w + kSavedRequests * (rate + 1) requests in
// any time w.
//
// The hosts choose the senders from their own views of the fleet, without
// agreement. Where views differ, each additional sender adds its part of the
// rate and kSavedRequests. A host that has not heard of a limit learns of it
// from its first response.
//
// A cold endpoint is limited too, by its service's warm-up rate, for which
// stricter rules apply (warmup.h). EndpointLimit decides the rate for both: it
// is the lower of the two.
//
// The functions are pure; the current time is a parameter.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "mangovalve/base/time.h"

namespace mangovalve {

// Lowest rate that the senders of a limited endpoint use, in requests per
// second. Without any response the end of the limit would go unnoticed.
constexpr double kMinEndpointRate = 0.2;

// Requests that a sender has not used and may send at once later; one if the
// endpoint is cold.
constexpr int kSavedRequests = 2;

// What an endpoint stated in a response.
struct LimitStatement
{
  std::optional<double> mRate; // requests per second; empty: no limit
  TimePoint mAt{};             // when a host received the response
};

struct EndpointLimit
{
  LimitStatement mLatest;
  TimePoint mChangedAt{}; // when the rate of mLatest last changed here
  std::optional<double> mWarmupRate; // of the service, while it is cold
  TimePoint mColdSince{};            // when mWarmupRate was set
  // This host's part of the rate, in requests per second; 0 if it is not a
  // sender or there is no limit.
  double mPart = 0;
  // When this host may send its next request; never while mPart is 0. The
  // longer ago, the more requests are saved, up to kSavedRequests.
  TimePoint mNextAt = TimePoint::max();
};

// What a request may use of a limit.
enum class LimitedUse
{
  Needed,  // any request that is available
  Surplus, // only what could not be saved any longer
  Spare,   // only what nothing else has used, although it was surplus
};

// Adopts a statement unless it is older than the latest one. Returns whether
// the rate has changed.
auto ApplyStatement(EndpointLimit& aLimit,
                    LimitStatement aStatement,
                    TimePoint aNow) -> bool;

// Sets or ends the limit of a cold endpoint. Requests that were saved before
// are lost. The caller then sets this host's part.
auto SetWarmupRate(EndpointLimit& aLimit,
                   std::optional<double> aRate,
                   TimePoint aNow) -> void;

// Requests per second that all hosts together may send: the lower of the stated
// limit and the warm-up rate. Empty: no limit.
auto AllowedRate(const EndpointLimit& aLimit) -> std::optional<double>;

// Whether there is any limit, stated or of a cold endpoint.
auto IsLimited(const EndpointLimit& aLimit) -> bool;

// Number of senders of an endpoint with this limit among aHosts hosts.
auto SenderCount(double aRate, std::size_t aHosts) -> std::size_t;

// The hosts that could send to an endpoint, as seen by one of them.
struct SenderView
{
  std::string_view mSelf;
  // Hosts that are responsive, mSelf among them.
  std::span<const std::string> mResponsive;
  std::size_t mRegistered = 0; // these and the unresponsive ones
};

// Number of responsive hosts that precede mSelf in the choice of the senders.
auto RankAmongSenders(std::string_view aEndpoint, const SenderView& aView)
  -> std::size_t;

// The part of the limit of an endpoint that mSelf may use, in requests per
// second; 0 if it is not a sender. Hosts with equal views use the whole limit
// together. Unresponsive hosts may be senders on their side of a partition, so
// their number does not raise the part.
auto PartOfLimit(std::string_view aEndpoint,
                 double aRate,
                 const SenderView& aView) -> double;

// Sets this host's part from aNow on. A host that becomes a sender waits for
// its first request as long as for each one after it.
auto SetPart(EndpointLimit& aLimit, double aPart, TimePoint aNow) -> void;

// Whether this host may send a request now. Always true without a limit.
auto MaySend(const EndpointLimit& aLimit, LimitedUse aUse, TimePoint aNow)
  -> bool;

// Whether a request for which the endpoint was chosen at aChosenAt may be sent
// now. False if the endpoint has turned cold since, or if it is cold and the
// request is late.
auto MayStillSend(const EndpointLimit& aLimit,
                  TimePoint aChosenAt,
                  TimePoint aNow) -> bool;

// Records a request that is sent.
auto RecordSent(EndpointLimit& aLimit, TimePoint aNow) -> void;

} // namespace mangovalve
