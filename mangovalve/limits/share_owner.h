// The share owner lends its domain's share of each group to one holder at a
// time. It never admits by itself: a host without company lends to itself.
//
// Invariant: for each group at most one host has an unexpired lease. The owner
// counts a lease from when it grants it, with a margin for drift, and the
// holder from when it sent the request, so the holder stops first.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "mangovalve/limits/messages.h"

namespace mangovalve {

struct Lease
{
  TimePoint mExpiresAt{};
  std::uint64_t mRevision = 0;
};

struct OwnedGroup
{
  std::string mLessee;        // of the last lease
  std::vector<Lease> mLeases; // unexpired, all of mLessee
  std::map<std::string, TimePoint>
    mRequestedAt; // last request by host, recent ones
};

struct ShareOwner
{
  std::array<OwnedGroup, kGroups> mGroups;
};

// Answers a holder's request. A group is lent when this host owns it, no lease
// to another host runs, and no more preferred candidate asked lately.
auto OnLeaseRequest(ShareOwner& aOwner,
                    const LimitView& aView,
                    const LimitSettings& aSettings,
                    const std::string& aFrom,
                    const LeaseRequest& aRequest,
                    TimePoint aNow) -> LeaseGrant;

} // namespace mangovalve
