// The bucket holder of a group admits for the whole region with the shares that
// the owners have lent to it.
//
// Invariant: a team's tokens plus its prefetched tokens that clients may still
// hold never exceed the burst of the shares held, and grow at most by their
// rate. A share that arrives brings no tokens; when one ends, tokens are cut to
// what remains.
//
// A request is admitted, for the bound on rates, at the moment when the holder
// deducts its token. The client must start it within
// LimitSettings::mMaxStartDelay of that or drop the grant.
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
  std::uint64_t mRevision = 0; // size of the share as its owner knows it
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
  Share mLimit;                    // over the shares held, as of mLimitVersion
  std::uint64_t mLimitVersion = 0; // HeldGroup::mVersion; 0: not computed
};

struct HeldGroup
{
  std::map<std::string, HeldShare> mShares; // by domain
  // Oldest revision that may be in use, by domain.
  std::map<std::string, std::uint64_t> mConfirmed;
  std::map<std::string, TeamBucket> mTeams;
  TimePoint mLastRequestAt{};      // last request of a client
  TimePoint mNextLeaseRequestAt{}; // next lease requests
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
  std::map<std::uint64_t, SentLeaseRequest> mRequests; // sent within a lease
};

// Demands waiting for one team at a holder.
constexpr std::size_t kMaxQueuedDemands = 4096;

// True when this host asks for the leases of the group: it is the most
// preferred candidate, the better ones are unreachable for it, or clients
// turned to it.
auto IsCandidate(const BucketHolder& aHolder,
                 const LimitView& aView,
                 std::uint8_t aGroup,
                 const std::vector<std::string>& aUnreachable,
                 TimePoint aNow) -> bool;

// Groups with at least one share.
auto HeldGroups(const BucketHolder& aHolder) -> GroupSet;

// Lease requests that are due, one per owner.
auto DueLeaseRequests(BucketHolder& aHolder,
                      const LimitView& aView,
                      const LimitSettings& aSettings,
                      const std::vector<std::string>& aUnreachable,
                      TimePoint aNow) -> std::vector<Outgoing>;

auto OnLeaseGrant(BucketHolder& aHolder,
                  const LimitView& aView,
                  const LeaseGrant& aGrant,
                  TimePoint aNow) -> void;

// Answers at once, with Queued for a demand that waits.
auto OnTokenRequest(BucketHolder& aHolder,
                    const LimitView& aView,
                    const LimitSettings& aSettings,
                    const std::string& aFrom,
                    const TokenRequest& aRequest,
                    TimePoint aNow) -> Outgoing;

// Ends leases, and grants tokens that have accrued to waiting demands.
auto Advance(BucketHolder& aHolder,
             const LimitView& aView,
             const LimitSettings& aSettings,
             TimePoint aNow) -> std::vector<Outgoing>;

// Accrues and cuts under the view until now, then prepares for another one.
auto UpdateBuckets(BucketHolder& aHolder,
                   const LimitView& aView,
                   TimePoint aNow) -> void;

// Cuts the buckets to a new view; teams that are new to it start to accrue.
auto ApplyView(BucketHolder& aHolder, const LimitView& aView, TimePoint aNow)
  -> void;

// When Advance or DueLeaseRequests next has something to do.
auto NextWake(const BucketHolder& aHolder, const LimitView& aView) -> TimePoint;

} // namespace mangovalve
