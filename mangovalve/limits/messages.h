// Messages of the distributed rate limiter, exchanged by share owners, bucket
// holders and token clients, and the fleet view and settings that the three
// roles share. Plain structs without I/O.
#pragma once

#include <array>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mangovalve/base/time.h"
#include "mangovalve/limits/shares.h"

namespace mangovalve {

// Set of team groups, one bit per group.
using GroupSet = std::uint16_t;
static_assert(kGroups <= 16);

inline auto Contains(GroupSet aSet, std::uint8_t aGroup) -> bool
{
  return (aSet >> aGroup & 1U) != 0;
}

inline auto WithGroup(GroupSet aSet, std::uint8_t aGroup) -> GroupSet
{
  return static_cast<GroupSet>(aSet | 1U << aGroup);
}

// Holder to share owner: requests new or renewed leases of the shares of these
// groups.
struct LeaseRequest
{
  std::uint64_t mSequence = 0;
  GroupSet mGroups = 0;
};

// Share owner to holder. The holder measures the lease from when it sent the
// request.
struct LeaseGrant
{
  std::uint64_t mSequence = 0;  // of the request
  GroupSet mGroups = 0;         // groups whose shares are leased
  std::uint64_t mRevision = 0;  // document revision that sizes the shares
  std::uint64_t mConfirmed = 0; // no older revision of these shares is in use
  Duration mLease{};
  // Delay before the next request for a group that was not leased; 0: the usual
  // renewal interval.
  Duration mRetry{};
};

struct TokenDemand
{
  std::uint64_t mId = 0; // of this demand, unique at the client
  std::string mTeam;
  double mCost = 1;
  Duration mWait{};     // longest time in the holder's queue
  double mPrefetch = 0; // additional tokens that the client expects to use
};

// Client to holder. A request without demands is a liveness probe.
struct TokenRequest
{
  std::vector<TokenDemand> mDemands;
};

enum class TokenStatus : std::uint8_t
{
  Granted,
  Queued,  // a grant follows if a token accrues within the wait
  Refused, // no token can accrue within the wait
  Moved,   // this host does not hold the group; retry at another host
};

struct TokenEntry
{
  std::uint64_t mId = 0;
  TokenStatus mStatus = TokenStatus::Granted;
  Duration mValid{}; // of the grant, measured from sending the request
  Duration mRetryAfter{};
  double mPrefetch = 0; // additional tokens, valid for mPrefetchValid
  Duration mPrefetchValid{};
};

struct TokenGrant
{
  GroupSet mHolding = 0; // groups of which the sender holds a share
  std::vector<TokenEntry> mEntries;
};

using LimitMessage =
  std::variant<LeaseRequest, LeaseGrant, TokenRequest, TokenGrant>;

struct Outgoing
{
  std::string mTo;
  LimitMessage mMessage;
};

// Timing of the rate limiter. All hosts must use the same values.
// docs/rates.md has the figures of the membership_loss benchmark behind them.
struct LimitSettings
{
  Duration mLease = std::chrono::milliseconds(200);
  Duration mRenewalInterval = std::chrono::milliseconds(65);
  // A host that leaves a request unanswered for this long is unreachable.
  Duration mAnswerTimeout = std::chrono::milliseconds(50);
  Duration mProbeInterval = std::chrono::milliseconds(100);
  // Longest delay between the holder's deduction of a token and the start of
  // the granted request.
  Duration mMaxStartDelay = std::chrono::milliseconds(20);
  Duration mPrefetchValid = std::chrono::milliseconds(150);
  // Largest relative drift of a host's clock against true time. Of two hosts
  // that time the same deadline, the one that must wait for the other adds
  // twice this.
  double mMaxClockDrift = 0.005;
};

// A host's view of the fleet; rebuilt after each change of the members or of
// the document.
struct LimitView
{
  std::string mHost;
  std::string mDomain;
  // Share owner of each group, by failure domain of this host's region.
  std::map<std::string, std::array<std::string, kGroups>> mShareOwners;
  // Candidates for the bucket holder of each group, most preferred first.
  std::array<std::vector<std::string>, kGroups> mHolderCandidates;
  ShareHistory mHistory;
  // Domains that must confirm a revision before a share may grow.
  std::vector<std::string> mConfirmingDomains;
  // Groups of which this host may act as share owner, ...
  GroupSet mOwnedGroups = 0;
  // ... until this time.
  TimePoint mRoleDeadline{};
  bool mDraining = false;
  // Tokens accrue at this fraction of the rate: the reciprocal of the upper
  // bound of the clock's speed. See ClockSpeed.
  double mAccrualFactor = 0.995;
};

// The duration plus the margin for the drift of two clocks.
inline auto AddDriftMargin(const LimitSettings& aSettings, Duration aDuration)
  -> Duration
{
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(aDuration) *
                                     (1 + 2.1 * aSettings.mMaxClockDrift));
}

// The duration minus the margin for the drift of two clocks.
inline auto SubtractDriftMargin(const LimitSettings& aSettings,
                                Duration aDuration) -> Duration
{
  return std::chrono::floor<Duration>(std::chrono::duration<double>(aDuration) *
                                      (1 - 2.1 * aSettings.mMaxClockDrift));
}

} // namespace mangovalve
