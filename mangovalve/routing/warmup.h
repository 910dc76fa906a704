// Cold endpoints: how long they are cold, and how many requests they may get
// meanwhile.
//
// An endpoint that has just started takes few requests and crashes if it gets
// far more. All hosts together may send it at most 1.5 * rate + 5 requests in
// any span of one second, where rate is the service's warm-up rate. The hosts
// choose a few senders from their own views of the fleet, as for other limits
// (endpoint_limit.h), but with these differences:
//
// - A sender saves no requests for a burst.
// - A host that hears less than half of the hosts among which the senders are
//   chosen is no sender. So at most two groups of hosts that can't hear each
//   other have senders.
// - Each group uses half of the allowed requests. The rate is lowered by
//   kSendSpread, since requests that were sent at a regular interval may arrive
//   closer together.
//
// The functions are pure; the current time is a parameter.
#pragma once

#include <cstddef>

#include "mangovalve/base/time.h"
#include "mangovalve/routing/endpoint_limit.h"

namespace mangovalve {

// A request that is not sent within this time of its choice is not sent to a
// cold endpoint any more: late ones would arrive together with others.
constexpr auto kMaxSendDelay = std::chrono::milliseconds(250);

// How much longer an endpoint is cold, as it or a sign of a restart stated.
struct ColdStatement
{
  TimePoint mUntil{}; // not after mAt: warm
  TimePoint mAt{};    // when it was stated
};

// Adopts a statement unless it is older than the latest one. Returns whether
// this changes the end of the cold time by more than aTolerance.
auto ApplyColdStatement(ColdStatement& aLatest,
                        ColdStatement aStatement,
                        Duration aTolerance) -> bool;

auto IsCold(const ColdStatement& aLatest, TimePoint aNow) -> bool;

// What the hosts of one group may send to a cold endpoint.
struct WarmupShare
{
  double mRate = 0; // requests per second, of all senders together
  std::size_t mSenders = 1;
};

auto ShareOfWarmup(double aWarmupRate) -> WarmupShare;

// The part of the rate that mSelf may use, in requests per second; 0 if it is
// no sender. aLimit is the endpoint's own limit, which binds too.
auto PartOfWarmup(std::string_view aEndpoint,
                  double aWarmupRate,
                  std::optional<double> aLimit,
                  const SenderView& aView) -> double;

} // namespace mangovalve
