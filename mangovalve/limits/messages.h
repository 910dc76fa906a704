// Messages between share owners, bucket holders and their clients, and what
// they all know of the fleet, as plain structs.
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

// Set of groups, one bit each.
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

// Holder to share owner: lend or renew the shares of these groups.
struct LeaseRequest
{
  std::uint64_t mSequence = 0;
  GroupSet mGroups = 0;
};

// Share owner to holder. The lease counts from when the request was sent.
struct LeaseGrant
{
  std::uint64_t mSequence = 0;  // of the request
  GroupSet mGroups = 0;         // lent
  std::uint64_t mRevision = 0;  // the size of the shares
  std::uint64_t mConfirmed = 0; // no older size of these shares is in use
  Duration mLease{};
  Duration mRetry{}; // when to ask again for a group not lent; 0: as usual
};

struct TokenDemand
{
  std::uint64_t mId = 0; // of this request for a token, unique at the client
  std::string mTeam;
  double mCost = 1;
  Duration mWait{};     // how long the holder may wait for the token
  double mPrefetch = 0; // further tokens that the client could use soon
};

// Client to holder; without demands it asks only for an answer.
struct TokenRequest
{
  std::vector<TokenDemand> mDemands;
};

enum class TokenStatus : std::uint8_t
{
  Granted,
  Queued,  // the answer follows, or the wait ends
  Refused, // no token can come within the wait
  Moved,   // this host does not hold the group; ask another
};

struct TokenEntry
{
  std::uint64_t mId = 0;
  TokenStatus mStatus = TokenStatus::Granted;
  Duration mValid{}; // of the grant, from when the request was sent
  Duration mRetryAfter{};
  double mPrefetch = 0; // further tokens, valid for mPrefetchValid
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

// Measured with membership_loss; docs/rates.md has the figures. Equal on all
// hosts.
struct LimitSettings
{
  Duration mLease = std::chrono::milliseconds(200);
  Duration mRenewalInterval = std::chrono::milliseconds(65);
  // Silence of a host that was asked, after which it counts as unreachable.
  Duration mAnswerTimeout = std::chrono::milliseconds(50);
  Duration mProbeInterval = std::chrono::milliseconds(100);
  // How much later than the holder's deduction a granted request may start.
  Duration mMaxStartDelay = std::chrono::milliseconds(20);
  Duration mPrefetchValid = std::chrono::milliseconds(150);
  // Bound of the clocks' drift. Every deadline of the side that must wait is
  // longer by twice this.
  double mMaxClockDrift = 0.005;
};

// What a host knows of the fleet; rebuilt when it changes.
struct LimitView
{
  std::string mHost;
  std::string mDomain;
  // Owner of each group's share, by domain of this host's region.
  std::map<std::string, std::array<std::string, kGroups>> mShareOwners;
  // Candidates for the holder of each group, most preferred first.
  std::array<std::vector<std::string>, kGroups> mHolderCandidates;
  ShareHistory mHistory;
  // Domains whose confirmation a growing share waits for.
  std::vector<std::string> mConfirmingDomains;
  // This host may use the owner's role for these groups ...
  GroupSet mOwnedGroups = 0;
  // ... until then.
  TimePoint mRoleDeadline{};
  bool mDraining = false;
  // Tokens accrue at this part of the rate: 1 over the bound of the clock's
  // speed. See ClockSpeed.
  double mAccrualFactor = 0.995;
};

// The view's duration plus the margin for two drifting clocks.
inline auto AddDriftMargin(const LimitSettings& aSettings, Duration aDuration)
  -> Duration
{
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(aDuration) *
                                     (1 + 2.1 * aSettings.mMaxClockDrift));
}

// The duration less the margin for two drifting clocks.
inline auto SubtractDriftMargin(const LimitSettings& aSettings,
                                Duration aDuration) -> Duration
{
  return std::chrono::floor<Duration>(std::chrono::duration<double>(aDuration) *
                                      (1 - 2.1 * aSettings.mMaxClockDrift));
}

} // namespace mangovalve
