// A team's rate over the whole fleet, kept by every daemon in a bucket of its
// own that counts what all daemons admit.
//
// Each daemon takes a token for a request that it admits, and for each request
// that a peer reports. Between an admission and its report the others do not
// know of it, so a bucket can be overdrawn by what the fleet admits during one
// report interval; the debt is then paid off before anyone admits more. While
// peers are silent, each side uses the part of the rate that its hosts are of
// the registered ones, so that the sides of a cut together stay within it.
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
  bool mResetBaseline = false; // the next report only sets the base
};

struct FleetRate
{
  double mRate = 0;   // requests per second; 0: no limit
  double mBurst = 0;  // requests
  double mTokens = 0; // at most mBurst; negative after an overdraft
  double mShare = 1;  // part of the rate for this side of a cut, in (0, 1]
  TimePoint mAccruedAt{};
  TimePoint
    mRetriesScheduledUntil{};  // tokens up to then are promised to callers
  std::uint64_t mAdmitted = 0; // by this daemon since its start, less refunds
  TimePoint mChangedAt{};      // when mAdmitted last changed
  absl::flat_hash_map<std::string, PeerAdmissions> mPeers; // by host
};

// Sets the limits. A bucket that had none starts full; a lower burst cuts the
// tokens at once.
auto SetLimits(FleetRate& aRate,
               double aPerSecond,
               double aBurst,
               TimePoint aNow) -> void;

// Sets the part of the rate that this side of the fleet may use from now on.
auto SetShare(FleetRate& aRate, double aShare, TimePoint aNow) -> void;

// Takes one token; false when the team is over its rate.
auto Admit(FleetRate& aRate, TimePoint aNow) -> bool;

// Gives the token of an admitted request back that was not run after all.
auto Refund(FleetRate& aRate, TimePoint aNow) -> void;

// When the caller of a request that was not admitted had best come back. Each
// gets a token's time of its own: callers that all come back for the next token
// would be refused again but for one. aHosts: daemons that refuse alike.
auto ScheduleRetry(FleetRate& aRate, std::size_t aHosts, TimePoint aNow)
  -> TimePoint;

// Counts what a peer reports. The first report of a peer only sets the base,
// unless the peer started after this daemon did.
auto CountPeerReport(FleetRate& aRate,
                     const std::string& aHost,
                     std::uint64_t aIncarnation,
                     std::uint64_t aAdmitted,
                     bool aStartedLater,
                     TimePoint aNow) -> void;

// Drops the base of a peer that has fallen silent. What it admits until it is
// heard again comes out of its own side's share.
auto ResetPeerBaseline(FleetRate& aRate, const std::string& aHost) -> void;

// A daemon that has just started does not know what was admitted before, so it
// takes over a peer's lower level.
auto LowerTokens(FleetRate& aRate, double aLevel) -> void;

} // namespace mangovalve
