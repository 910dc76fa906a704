// Leases of the share owner.
#include "mangovalve/limits/share_owner.h"

#include <algorithm>

namespace mangovalve {
namespace {

// A shorter lease would expire before its grant arrives.
constexpr auto kMinLease = std::chrono::milliseconds(20);

// True if a candidate preferred over aFrom sent a request since aSince, or if
// aFrom is no candidate.
auto PreferredCandidateRequested(const OwnedGroup& aGroup,
                                 const std::vector<std::string>& aOrder,
                                 const std::string& aFrom,
                                 TimePoint aSince) -> bool
{
  for (const auto& host : aOrder) {
    if (host == aFrom) {
      return false;
    }
    const auto requested = aGroup.mRequestedAt.find(host);
    if (requested != aGroup.mRequestedAt.end() && requested->second >= aSince) {
      return true;
    }
  }
  // aFrom is no candidate in this owner's view.
  return true;
}

// Latest expiry of the leases of a host other than aFrom; aNow if there are
// none.
auto LeasedToOtherUntil(const OwnedGroup& aGroup,
                        const std::string& aFrom,
                        TimePoint aNow) -> TimePoint
{
  auto until = aNow;
  if (aGroup.mLessee != aFrom) {
    for (const auto& lease : aGroup.mLeases) {
      until = std::max(until, lease.mExpiresAt);
    }
  }
  return until;
}

} // namespace

auto OnLeaseRequest(ShareOwner& aOwner,
                    const LimitView& aView,
                    const LimitSettings& aSettings,
                    const std::string& aFrom,
                    const LeaseRequest& aRequest,
                    TimePoint aNow) -> LeaseGrant
{
  LeaseGrant grant;
  grant.mSequence = aRequest.mSequence;
  grant.mRevision = aView.mHistory.mRevision;
  grant.mConfirmed = aView.mHistory.mRevision;
  // No lease outlasts this host's right to the role, so that a successor only
  // has to wait for the role deadline.
  grant.mLease = std::min(aSettings.mLease, aView.mRoleDeadline - aNow);
  const auto usable = grant.mLease >= kMinLease;
  for (std::uint8_t index = 0; index < kGroups; ++index) {
    if (!Contains(aRequest.mGroups, index)) {
      continue;
    }
    auto& group = aOwner.mGroups.at(index);
    std::erase_if(group.mLeases, [&](const Lease& aLease) {
      return aLease.mExpiresAt <= aNow;
    });
    std::erase_if(group.mRequestedAt, [&](const auto& aRequested) {
      return aNow - aRequested.second > aSettings.mLease;
    });
    group.mRequestedAt[aFrom] = aNow;
    if (!usable || !Contains(aView.mOwnedGroups, index)) {
      continue;
    }
    const auto leasedUntil = LeasedToOtherUntil(group, aFrom, aNow);
    if (leasedUntil > aNow) {
      const auto wait = leasedUntil - aNow;
      grant.mRetry =
        grant.mRetry == Duration::zero() ? wait : std::min(grant.mRetry, wait);
      continue;
    }
    if (PreferredCandidateRequested(group,
                                    aView.mHolderCandidates.at(index),
                                    aFrom,
                                    aNow -
                                      aSettings.mRenewalInterval * 5 / 2)) {
      continue;
    }
    group.mLessee = aFrom;
    group.mLeases.push_back(
      { aNow + AddDriftMargin(aSettings, grant.mLease), grant.mRevision });
    for (const auto& lease : group.mLeases) {
      grant.mConfirmed = std::min(grant.mConfirmed, lease.mRevision);
    }
    grant.mGroups = WithGroup(grant.mGroups, index);
  }
  return grant;
}

} // namespace mangovalve
