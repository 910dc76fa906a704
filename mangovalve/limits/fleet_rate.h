// Fleet-wide rate of a team. Each daemon has its own token bucket, which counts
// the admissions of all daemons.
//
// A daemon takes a token for each request that it admits and for each admission
// that a peer reports. An admission is unknown to the other daemons until it is
// reported, so a bucket can be overdrawn by what the fleet admits during one
// report interval; no daemon admits more until the debt has been paid off.
// While peers are unreachable, each side of the partition uses the fraction of
// the rate that its hosts are of the registered ones, so that all sides
// together stay within the rate.
#pragma once

#include <cstdint>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "mangovalve/base/time.h"

namespace mangovalve {

struct PeerAdmissions
{
  std::uint64_t mIncarnation = 0;
  std::uint64_t mAdmitted = 0; // as last reported
  bool mResetBaseline = false; // the next report only sets the baseline
};

struct FleetRate
{
  double mRate = 0;   // requests per second; 0: no limit
  double mBurst = 0;  // requests
  double mTokens = 0; // at most mBurst; negative after an overdraft
  double mShare = 1;  // fraction for this side of a partition, in (0, 1]
  TimePoint mAccruedAt{};
  TimePoint mRetriesScheduledUntil{}; // tokens until then are taken by retries
  std::uint64_t mAdmitted = 0; // by this daemon since its start, less refunds
  TimePoint mChangedAt{};      // when mAdmitted last changed
  // Admissions of the hosts of the own failure domain since this daemon's
  // start, as counted here; includes mAdmitted.
  std::int64_t mDomainAdmitted = 0;
  TimePoint mDomainChangedAt{}; // when mDomainAdmitted last changed
  absl::flat_hash_map<std::string, PeerAdmissions> mPeers; // by host
};

// Sets the limits. A bucket that had no limit starts full; a lower burst
// reduces the tokens at once.
auto SetLimits(FleetRate& aRate,
               double aPerSecond,
               double aBurst,
               TimePoint aNow) -> void;

// Sets the fraction of the rate that this side of a partition may use from aNow
// on.
auto SetShare(FleetRate& aRate, double aShare, TimePoint aNow) -> void;

// Takes one token. False if the team is over its rate.
auto Admit(FleetRate& aRate, TimePoint aNow) -> bool;

// Returns the token of an admitted request that was not run.
auto Refund(FleetRate& aRate, TimePoint aNow) -> void;

// Returns the time at which the caller of a refused request should retry, and
// reserves it. Each caller is assigned the time of a different token: if all of
// them retried for the next token, all but one would be refused again. aHosts
// is the number of daemons that refuse requests in the same way.
auto ScheduleRetry(FleetRate& aRate, std::size_t aHosts, TimePoint aNow)
  -> TimePoint;

// Counts the admissions that a peer reports; aAdmitted is its total since its
// start. The first report of a peer only sets the baseline, unless the peer
// started after this daemon. Returns the number of admissions counted, which is
// negative after refunds.
auto CountPeerReport(FleetRate& aRate,
                     const std::string& aHost,
                     std::uint64_t aIncarnation,
                     std::uint64_t aAdmitted,
                     bool aStartedLater,
                     TimePoint aNow) -> std::int64_t;

// Adds admissions of a peer of the own failure domain to mDomainAdmitted.
auto CountDomainAdmissions(FleetRate& aRate,
                           std::int64_t aAdmissions,
                           TimePoint aNow) -> void;

// Resets the baseline of a peer that has become unreachable. What it admits
// until its next report counts against its own side's fraction of the rate.
auto ResetPeerBaseline(FleetRate& aRate, const std::string& aHost) -> void;

// Lowers the tokens to aLevel if they exceed it. A daemon that has just started
// does not know earlier admissions, so it adopts a peer's lower level.
auto LowerTokens(FleetRate& aRate, double aLevel) -> void;

} // namespace mangovalve
