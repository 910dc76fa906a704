// Health of an endpoint as observed by one host: backoff after refused
// connections, ejection of outliers up to a maximum share, and slow start after
// recovery.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "mangovalve/base/time.h"

namespace mangovalve {

// How one exchange with an endpoint ended.
enum class ExchangeResult
{
  Good,
  Failed,  // timeout, truncated answer, answer to another request, status 5xx
  Refused, // the connection could not be established
  Leaving, // the endpoint has announced that it is leaving
  Ignored, // no evidence about the endpoint, e.g. cancelled by the caller
};

struct HealthPolicy
{
  std::uint32_t mFailuresToEject = 3; // consecutive failures
  double mErrorShareToEject = 0.5;    // of recent exchanges, see mErrorDecay
  double mErrorDecay = 0.9; // weight of the previous share, per exchange
  // Maximum share of a service's endpoints that is ejected. When more of them
  // fail, the cause is more likely a common one than the endpoints themselves.
  double mMaxEjectedShare = 0.34;
  Duration mMinEjection = std::chrono::seconds(1);
  Duration mMaxEjection = std::chrono::seconds(30);
  Duration mMinRefusalBackoff = std::chrono::milliseconds(250);
  Duration mMaxRefusalBackoff = std::chrono::seconds(5);
  Duration mSlowStart = std::chrono::seconds(5);
  double mSlowStartInitialShare = 0.1; // share of capacity on recovery
  // An endpoint that has announced that it is leaving gets no requests for this
  // time, unless the host list contains a later registration.
  Duration mLeavingHold = std::chrono::seconds(10);
};

struct Health
{
  std::uint32_t mConsecutiveFailures = 0;
  double mErrorShare = 0; // decayed share of failed exchanges
  bool mOutlier = false;  // to be ejected if the maximum share permits
  bool mEjected = false;
  TimePoint mEjectedUntil{};
  std::uint32_t mConsecutiveEjections = 0; // for the backoff
  TimePoint mRefusedUntil{};
  std::uint32_t mConsecutiveRefusals = 0; // for the backoff
  TimePoint mLeavingUntil{};
  TimePoint mUsableSince{}; // start of the slow start; zero: none
};

// Updates the health with the result of an exchange.
auto NoteResult(Health& aHealth,
                ExchangeResult aResult,
                const HealthPolicy& aPolicy,
                TimePoint aNow) -> void;

// Ejects outliers among the endpoints of one service, worst first, up to the
// maximum share, and readmits ejected ones when their ejection has expired.
auto UpdateEjections(std::span<Health* const> aService,
                     const HealthPolicy& aPolicy,
                     TimePoint aNow) -> void;

// Whether the endpoint may receive new requests.
auto Usable(const Health& aHealth, TimePoint aNow) -> bool;

// Share of its capacity that may be used during a slow start, in (0, 1].
auto SlowStartShare(const Health& aHealth,
                    const HealthPolicy& aPolicy,
                    TimePoint aNow) -> double;

} // namespace mangovalve
