// Health of an endpoint as one host sees it: refusals, ejection of outliers
// with a cap on the share ejected, slow start after a return.
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
  Failed,  // silence, a cut or crossed answer, status 5xx
  Refused, // no connection
  Leaving, // the endpoint says that it is leaving
  Ignored, // says nothing about the endpoint, e.g. cancelled by the caller
};

struct HealthPolicy
{
  std::uint32_t mFailuresToEject = 3; // in a row
  double mErrorShareToEject = 0.5;    // of recent exchanges, see mErrorDecay
  double mErrorDecay = 0.9;           // weight of the past per exchange
  // Never more than this share of a service's endpoints is ejected: when most
  // of them fail, the fault is more likely shared than theirs.
  double mMaxEjectedShare = 0.34;
  Duration mMinEjection = std::chrono::seconds(1);
  Duration mMaxEjection = std::chrono::seconds(30);
  Duration mMinRefusalBackoff = std::chrono::milliseconds(250);
  Duration mMaxRefusalBackoff = std::chrono::seconds(5);
  Duration mSlowStart = std::chrono::seconds(5);
  double mSlowStartInitialShare = 0.1; // share of work at the moment of return
  // An endpoint that said it is leaving stays out at least this long, unless
  // the host list shows a later registration.
  Duration mLeavingHold = std::chrono::seconds(10);
};

struct Health
{
  std::uint32_t mConsecutiveFailures = 0;
  double mErrorShare = 0; // decayed share of failed exchanges
  bool mOutlier = false;  // wants ejection
  bool mEjected = false;
  TimePoint mEjectedUntil{};
  std::uint32_t mConsecutiveEjections = 0; // in a row, for the backoff
  TimePoint mRefusedUntil{};
  std::uint32_t mConsecutiveRefusals = 0; // in a row, for the backoff
  TimePoint mLeavingUntil{};
  TimePoint mUsableSince{}; // start of the slow start; zero: long ago
};

// Notes the end of an exchange.
auto NoteResult(Health& aHealth,
                ExchangeResult aResult,
                const HealthPolicy& aPolicy,
                TimePoint aNow) -> void;

// Ejects outliers among the endpoints of one service, worst first, up to the
// cap, and lets ejected ones return when their time is over.
auto UpdateEjections(std::span<Health* const> aService,
                     const HealthPolicy& aPolicy,
                     TimePoint aNow) -> void;

// Whether the endpoint may get new work.
auto Usable(const Health& aHealth, TimePoint aNow) -> bool;

// Share of its work that a returning endpoint may get, in (0, 1].
auto SlowStartShare(const Health& aHealth,
                    const HealthPolicy& aPolicy,
                    TimePoint aNow) -> double;

} // namespace mangovalve
