// Token buckets and lease requests of the bucket holder.
#include "mangovalve/limits/bucket_holder.h"

#include <algorithm>
#include <cmath>

namespace mangovalve {
namespace {

// A host stays a candidate for this long after a client's demand.
constexpr auto kCandidateRetention = std::chrono::milliseconds(500);

// Oldest revision that may still be in use in any domain.
auto OldestRevisionInUse(const HeldGroup& aGroup, const LimitView& aView)
  -> std::uint64_t
{
  auto oldest = aView.mHistory.mRevision;
  for (const auto& domain : aView.mConfirmingDomains) {
    const auto confirmed = aGroup.mConfirmed.find(domain);
    oldest = std::min(
      oldest, confirmed == aGroup.mConfirmed.end() ? 0 : confirmed->second);
  }
  return oldest;
}

// Sum of the team's rate and burst over the leased shares.
auto HeldLimit(const HeldGroup& aGroup,
               const LimitView& aView,
               const std::string& aTeam) -> Share
{
  Share limit;
  if (aGroup.mShares.empty()) {
    return limit;
  }
  const auto oldest = OldestRevisionInUse(aGroup, aView);
  for (const auto& [domain, share] : aGroup.mShares) {
    const auto usable =
      UsableShare(aView.mHistory,
                  std::min(oldest, share.mRevision),
                  std::max(share.mRevision, aView.mHistory.mRevision),
                  aTeam,
                  domain);
    limit.mRate += usable.mRate;
    limit.mBurst += usable.mBurst;
  }
  return limit;
}

// Accrues tokens until aNow and applies the cap; returns the team's limit.
auto UpdateBucket(TeamBucket& aTeam,
                  const HeldGroup& aGroup,
                  const LimitView& aView,
                  const std::string& aName,
                  TimePoint aNow) -> Share
{
  if (aTeam.mLimitVersion != aGroup.mVersion) {
    aTeam.mLimit = HeldLimit(aGroup, aView, aName);
    aTeam.mLimitVersion = aGroup.mVersion;
  }
  const auto limit = aTeam.mLimit;
  std::erase_if(aTeam.mPrefetched, [&](const PrefetchedTokens& aTokens) {
    return aTokens.mUntil <= aNow;
  });
  auto outstanding = 0.0;
  for (const auto& tokens : aTeam.mPrefetched) {
    outstanding += tokens.mTokens;
  }
  Accrue(aTeam.mBucket,
         limit.mRate * aView.mAccrualFactor,
         std::max(0.0, limit.mBurst - outstanding),
         aNow);
  return limit;
}

auto UpdateGroupBuckets(HeldGroup& aGroup,
                        const LimitView& aView,
                        TimePoint aNow) -> void
{
  for (auto& [name, team] : aGroup.mTeams) {
    UpdateBucket(team, aGroup, aView, name, aNow);
  }
}

// Expires leases in the order of their expiry times: tokens accrue from a share
// exactly until its lease expires, also if the process was paused meanwhile.
auto ExpireLeases(HeldGroup& aGroup, const LimitView& aView, TimePoint aNow)
  -> void
{
  while (!aGroup.mShares.empty()) {
    const auto first = std::min_element(
      aGroup.mShares.begin(),
      aGroup.mShares.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.mExpiresAt < aRight.second.mExpiresAt;
      });
    if (first->second.mExpiresAt > aNow) {
      return;
    }
    const auto ends = first->second.mExpiresAt;
    UpdateGroupBuckets(aGroup, aView, ends);
    aGroup.mShares.erase(first);
    ++aGroup.mVersion;
    UpdateGroupBuckets(aGroup, aView, ends);
  }
}

// The bucket of a team, created empty: leases add no tokens.
auto FindBucket(HeldGroup& aGroup, const std::string& aTeam, TimePoint aNow)
  -> TeamBucket&
{
  const auto [entry, added] = aGroup.mTeams.try_emplace(aTeam);
  if (added) {
    entry->second.mBucket.mAt = aNow;
  }
  return entry->second;
}

// Creates a bucket for every team of the group and erases those of teams that
// are no longer in the document. Their clients time out waiting demands.
auto UpdateTeams(HeldGroup& aGroup,
                 std::uint8_t aIndex,
                 const LimitView& aView,
                 TimePoint aNow) -> void
{
  if (aView.mHistory.mTables.empty()) {
    return;
  }
  const auto& teams = aView.mHistory.mTables.back()->mTeams;
  std::erase_if(aGroup.mTeams, [&](const auto& aTeam) {
    return !teams.contains(aTeam.first);
  });
  for (const auto& [name, limit] : teams) {
    if (GroupOf(name) == aIndex) {
      FindBucket(aGroup, name, aNow);
    }
  }
}

// Validity of a grant, measured by the client from when it sent the request:
// the time that the demand waited here plus the allowed start delay.
auto Validity(const LimitSettings& aSettings, Duration aWaited) -> Duration
{
  return SubtractDriftMargin(aSettings, aWaited) + aSettings.mMaxStartDelay;
}

// Grants additional tokens if no demand waits and the bucket is more than half
// full. They expire before the first lease does.
auto Prefetch(TeamBucket& aTeam,
              const HeldGroup& aGroup,
              const LimitSettings& aSettings,
              const Share& aLimit,
              double aWanted,
              TimePoint aNow,
              TokenEntry& aEntry) -> void
{
  auto valid = aSettings.mPrefetchValid;
  for (const auto& [domain, share] : aGroup.mShares) {
    valid =
      std::min(valid, SubtractDriftMargin(aSettings, share.mExpiresAt - aNow));
  }
  const auto spare = aTeam.mBucket.mTokens - aLimit.mBurst / 2;
  const auto tokens = std::floor(std::min(aWanted, spare / 2));
  if (!aTeam.mQueue.empty() || tokens < 1 ||
      valid < aSettings.mPrefetchValid / 2 || !Take(aTeam.mBucket, tokens)) {
    return;
  }
  aTeam.mPrefetched.push_back(
    { tokens, aNow + AddDriftMargin(aSettings, valid) });
  aEntry.mPrefetch = tokens;
  aEntry.mPrefetchValid = valid;
}

auto AnswerDemand(HeldGroup& aGroup,
                  const LimitView& aView,
                  const LimitSettings& aSettings,
                  const std::string& aFrom,
                  const TokenDemand& aDemand,
                  TimePoint aNow) -> TokenEntry
{
  TokenEntry entry;
  entry.mId = aDemand.mId;
  if (aView.mHistory.mTables.empty() ||
      !aView.mHistory.mTables.back()->mTeams.contains(aDemand.mTeam)) {
    entry.mStatus = TokenStatus::Refused;
    entry.mRetryAfter = std::chrono::seconds(1);
    return entry;
  }
  auto& team = FindBucket(aGroup, aDemand.mTeam, aNow);
  const auto limit = UpdateBucket(team, aGroup, aView, aDemand.mTeam, aNow);
  if (team.mQueue.empty() && Take(team.mBucket, aDemand.mCost)) {
    entry.mValid = Validity(aSettings, Duration::zero());
    Prefetch(team, aGroup, aSettings, limit, aDemand.mPrefetch, aNow, entry);
    return entry;
  }
  const auto full = aView.mHistory.mTables.back()->mTeams.at(aDemand.mTeam);
  // A missing share may be leased soon, e.g. after another holder has failed.
  const auto complete = aGroup.mShares.size() >= aView.mShareOwners.size();
  const auto rate = (complete ? limit : full).mRate * aView.mAccrualFactor;
  const auto wait =
    TimeUntil(team.mBucket, rate, team.mQueuedCost + aDemand.mCost);
  if (wait > aDemand.mWait || aDemand.mCost > full.mBurst ||
      team.mQueue.size() >= kMaxQueuedDemands) {
    entry.mStatus = TokenStatus::Refused;
    entry.mRetryAfter = std::min<Duration>(wait, std::chrono::seconds(60));
    return entry;
  }
  entry.mStatus = TokenStatus::Queued;
  team.mQueue.push_back({ aFrom, aDemand, aNow, aNow + aDemand.mWait });
  team.mQueuedCost += aDemand.mCost;
  return entry;
}

// Discards expired demands and grants tokens to the others in order.
auto GrantWaitingDemands(TeamBucket& aTeam,
                         const LimitSettings& aSettings,
                         GroupSet aHolding,
                         TimePoint aNow,
                         std::map<std::string, TokenGrant>& aGrants) -> void
{
  while (!aTeam.mQueue.empty()) {
    const auto& first = aTeam.mQueue.front();
    if (first.mExpires >= aNow) {
      if (!Take(aTeam.mBucket, first.mDemand.mCost)) {
        break;
      }
      auto& grant = aGrants[first.mClient];
      grant.mHolding = aHolding;
      grant.mEntries.push_back({ first.mDemand.mId,
                                 TokenStatus::Granted,
                                 Validity(aSettings, aNow - first.mSince),
                                 {},
                                 0,
                                 {} });
    }
    aTeam.mQueuedCost -= first.mDemand.mCost;
    aTeam.mQueue.pop_front();
  }
  if (aTeam.mQueue.empty()) {
    aTeam.mQueuedCost = 0;
  }
}

// True if a client sent a demand within kCandidateRetention.
auto RecentlyRequested(const HeldGroup& aGroup, TimePoint aNow) -> bool
{
  return aGroup.mLastRequestAt != TimePoint() &&
         aNow - aGroup.mLastRequestAt < kCandidateRetention;
}

auto IsUnreachable(const std::vector<std::string>& aHosts,
                   const std::string& aHost) -> bool
{
  return std::find(aHosts.begin(), aHosts.end(), aHost) != aHosts.end();
}

} // namespace

auto IsCandidate(const BucketHolder& aHolder,
                 const LimitView& aView,
                 std::uint8_t aGroup,
                 const std::vector<std::string>& aUnreachable,
                 TimePoint aNow) -> bool
{
  const auto& order = aView.mHolderCandidates.at(aGroup);
  if (aView.mDraining ||
      std::find(order.begin(), order.end(), aView.mHost) == order.end()) {
    return false;
  }
  const auto& group = aHolder.mGroups.at(aGroup);
  if (RecentlyRequested(group, aNow)) {
    return true;
  }
  for (const auto& host : order) {
    if (host == aView.mHost) {
      return true;
    }
    if (!IsUnreachable(aUnreachable, host)) {
      return false;
    }
  }
  return false;
}

auto HeldGroups(const BucketHolder& aHolder) -> GroupSet
{
  GroupSet holding = 0;
  for (std::uint8_t index = 0; index < kGroups; ++index) {
    if (!aHolder.mGroups.at(index).mShares.empty()) {
      holding = WithGroup(holding, index);
    }
  }
  return holding;
}

auto DueLeaseRequests(BucketHolder& aHolder,
                      const LimitView& aView,
                      const LimitSettings& aSettings,
                      const std::vector<std::string>& aUnreachable,
                      TimePoint aNow) -> std::vector<Outgoing>
{
  std::map<std::pair<std::string, std::string>, GroupSet> due;
  for (std::uint8_t index = 0; index < kGroups; ++index) {
    auto& group = aHolder.mGroups.at(index);
    if (aNow < group.mNextLeaseRequestAt) {
      continue;
    }
    // Missing shares are requested more often: a new owner may lease them soon.
    const auto complete = group.mShares.size() >= aView.mShareOwners.size();
    group.mNextLeaseRequestAt =
      aNow + aSettings.mRenewalInterval / (complete ? 1 : 4);
    if (!IsCandidate(aHolder, aView, index, aUnreachable, aNow)) {
      continue;
    }
    for (const auto& [domain, owners] : aView.mShareOwners) {
      if (!owners.at(index).empty()) {
        auto& groups = due[{ domain, owners.at(index) }];
        groups = WithGroup(groups, index);
      }
    }
  }
  std::vector<Outgoing> requests;
  std::erase_if(aHolder.mRequests, [&](const auto& aRequest) {
    return aNow - aRequest.second.mAt > aSettings.mLease;
  });
  for (const auto& [to, groups] : due) {
    const auto sequence = ++aHolder.mSequence;
    aHolder.mRequests[sequence] = { to.first, aNow };
    requests.push_back({ to.second, LeaseRequest{ sequence, groups } });
  }
  return requests;
}

auto OnLeaseGrant(BucketHolder& aHolder,
                  const LimitView& aView,
                  const LeaseGrant& aGrant,
                  TimePoint aNow) -> void
{
  const auto request = aHolder.mRequests.find(aGrant.mSequence);
  if (request == aHolder.mRequests.end()) {
    return;
  }
  const auto ends = request->second.mAt + aGrant.mLease;
  const auto domain = request->second.mDomain;
  for (std::uint8_t index = 0; index < kGroups; ++index) {
    auto& group = aHolder.mGroups.at(index);
    if (aGrant.mRetry > Duration::zero() && !Contains(aGrant.mGroups, index)) {
      group.mNextLeaseRequestAt =
        std::min(group.mNextLeaseRequestAt, aNow + aGrant.mRetry);
    }
    // This host cannot compute the share of a revision that it has not
    // replayed.
    if (!Contains(aGrant.mGroups, index) || ends <= aNow ||
        aGrant.mRevision > aView.mHistory.mRevision) {
      continue;
    }
    ExpireLeases(group, aView, aNow);
    UpdateGroupBuckets(group, aView, aNow);
    auto& share = group.mShares[domain];
    if (ends > share.mExpiresAt) {
      share = { ends, aGrant.mRevision };
    }
    auto& confirmed = group.mConfirmed[domain];
    confirmed = std::max(confirmed, aGrant.mConfirmed);
    ++group.mVersion;
    UpdateTeams(group, index, aView, aNow);
    UpdateGroupBuckets(group, aView, aNow);
  }
}

auto OnTokenRequest(BucketHolder& aHolder,
                    const LimitView& aView,
                    const LimitSettings& aSettings,
                    const std::string& aFrom,
                    const TokenRequest& aRequest,
                    TimePoint aNow) -> Outgoing
{
  TokenGrant grant;
  for (const auto& demand : aRequest.mDemands) {
    auto& group = aHolder.mGroups.at(GroupOf(demand.mTeam));
    ExpireLeases(group, aView, aNow);
    if (aView.mDraining && group.mShares.empty()) {
      grant.mEntries.push_back(
        { demand.mId, TokenStatus::Moved, {}, {}, 0, {} });
      continue;
    }
    if (!RecentlyRequested(group, aNow)) {
      group.mNextLeaseRequestAt = std::min(group.mNextLeaseRequestAt, aNow);
    }
    group.mLastRequestAt = aNow;
    grant.mEntries.push_back(
      AnswerDemand(group, aView, aSettings, aFrom, demand, aNow));
  }
  grant.mHolding = HeldGroups(aHolder);
  return { aFrom, std::move(grant) };
}

auto Advance(BucketHolder& aHolder,
             const LimitView& aView,
             const LimitSettings& aSettings,
             TimePoint aNow) -> std::vector<Outgoing>
{
  std::map<std::string, TokenGrant> grants;
  for (auto& group : aHolder.mGroups) {
    ExpireLeases(group, aView, aNow);
  }
  const auto holding = HeldGroups(aHolder);
  for (auto& group : aHolder.mGroups) {
    for (auto& [name, team] : group.mTeams) {
      if (!team.mQueue.empty()) {
        UpdateBucket(team, group, aView, name, aNow);
        GrantWaitingDemands(team, aSettings, holding, aNow, grants);
      }
    }
  }
  std::vector<Outgoing> outgoing;
  for (auto& [client, grant] : grants) {
    outgoing.push_back({ client, std::move(grant) });
  }
  return outgoing;
}

auto UpdateBuckets(BucketHolder& aHolder,
                   const LimitView& aView,
                   TimePoint aNow) -> void
{
  for (auto& group : aHolder.mGroups) {
    ExpireLeases(group, aView, aNow);
    UpdateGroupBuckets(group, aView, aNow);
  }
}

auto ApplyView(BucketHolder& aHolder, const LimitView& aView, TimePoint aNow)
  -> void
{
  for (std::uint8_t index = 0; index < kGroups; ++index) {
    auto& group = aHolder.mGroups.at(index);
    ++group.mVersion;
    UpdateTeams(group, index, aView, aNow);
    UpdateGroupBuckets(group, aView, aNow);
  }
}

auto NextWake(const BucketHolder& aHolder, const LimitView& aView) -> TimePoint
{
  auto wake = TimePoint::max();
  for (const auto& group : aHolder.mGroups) {
    wake = std::min(wake, group.mNextLeaseRequestAt);
    for (const auto& [name, team] : group.mTeams) {
      if (team.mQueue.empty()) {
        continue;
      }
      const auto rate = team.mLimit.mRate * aView.mAccrualFactor;
      const auto wait =
        TimeUntil(team.mBucket, rate, team.mQueue.front().mDemand.mCost);
      if (wait < Duration::max()) {
        wake = std::min(wake, team.mBucket.mAt + wait);
      }
    }
  }
  return wake;
}

} // namespace mangovalve
