// The bucket holder of a group grants tokens to the whole region from the
// shares that their owners have leased to it.
//
// Invariant: a team's tokens plus its prefetched tokens that clients may still
// hold never exceed the burst of the leased shares, and grow at most at their
// rate. A new lease adds no tokens; when a lease expires, the tokens are
// reduced to the burst of the remaining shares.
//
// For the bound on rates, a request counts as admitted when the holder deducts
// its token. The client must start the request within
// LimitSettings::mMaxStartDelay of that or discard the grant.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "mangovalve/limits/bucket.h"
#include "mangovalve/limits/messages.h"

namespace mangovalve {

struct HeldShare
{
  TimePoint mExpiresAt{};
  std::uint64_t mRevision = 0; // the owner's revision, which sizes the share
};

struct WaitingDemand
{
  std::string mClient;
  TokenDemand mDemand;
  TimePoint mSince{};
  TimePoint mExpires{};
};

struct PrefetchedTokens
{
  double mTokens = 0;
  TimePoint mUntil{};
};

struct TeamBucket
{
  Bucket mBucket;
  std::deque<WaitingDemand> mQueue; // kMaxQueuedDemands at most
  double mQueuedCost = 0;
  std::vector<PrefetchedTokens> mPrefetched; // that clients may still use
  Share mLimit; // sum of the leased shares, as of mLimitVersion
  std::uint64_t mLimitVersion = 0; // HeldGroup::mVersion; 0: not computed
};

struct HeldGroup
{
  std::map<std::string, HeldShare> mShares; // by domain
  // Oldest revision that may still be in use, by domain.
  std::map<std::string, std::uint64_t> mConfirmed;
  std::map<std::string, TeamBucket> mTeams;
  TimePoint mLastRequestAt{};      // newest demand of a client
  TimePoint mNextLeaseRequestAt{}; // when lease requests are due
  std::uint64_t mVersion = 1;      // counts changes of the shares or the view
};

struct SentLeaseRequest
{
  std::string mDomain;
  TimePoint mAt{};
};

struct BucketHolder
{
  std::array<HeldGroup, kGroups> mGroups;
  std::uint64_t mSequence = 0;
  // Requests sent within the last lease duration, by sequence number.
  std::map<std::uint64_t, SentLeaseRequest> mRequests;
};

// Limit of queued demands per team. The holder refuses further ones.
constexpr std::size_t kMaxQueuedDemands = 4096;

// True if this host requests the leases of the group: it is the most preferred
// candidate, all more preferred ones are unreachable for it, or clients sent it
// demands recently.
auto IsCandidate(const BucketHolder& aHolder,
                 const LimitView& aView,
                 std::uint8_t aGroup,
                 const std::vector<std::string>& aUnreachable,
                 TimePoint aNow) -> bool;

// Groups with at least one leased share.
auto HeldGroups(const BucketHolder& aHolder) -> GroupSet;

// Lease requests that are due, one for each domain and owner.
auto DueLeaseRequests(BucketHolder& aHolder,
                      const LimitView& aView,
                      const LimitSettings& aSettings,
                      const std::vector<std::string>& aUnreachable,
                      TimePoint aNow) -> std::vector<Outgoing>;

auto OnLeaseGrant(BucketHolder& aHolder,
                  const LimitView& aView,
                  const LeaseGrant& aGrant,
                  TimePoint aNow) -> void;

// Answers at once; the status of a demand that must wait is Queued.
auto OnTokenRequest(BucketHolder& aHolder,
                    const LimitView& aView,
                    const LimitSettings& aSettings,
                    const std::string& aFrom,
                    const TokenRequest& aRequest,
                    TimePoint aNow) -> Outgoing;

// Expires leases and grants accrued tokens to waiting demands.
auto Advance(BucketHolder& aHolder,
             const LimitView& aView,
             const LimitSettings& aSettings,
             TimePoint aNow) -> std::vector<Outgoing>;

// Accrues tokens and applies the caps under aView until aNow. Call before the
// view changes.
auto UpdateBuckets(BucketHolder& aHolder,
                   const LimitView& aView,
                   TimePoint aNow) -> void;

// Applies the caps of a new view; teams that are new in it start to accrue.
auto ApplyView(BucketHolder& aHolder, const LimitView& aView, TimePoint aNow)
  -> void;

// The next time at which Advance or DueLeaseRequests has work.
auto NextWake(const BucketHolder& aHolder, const LimitView& aView) -> TimePoint;

} // namespace mangovalve
