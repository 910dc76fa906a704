// The share owner leases its domain's share of each group to one bucket holder
// at a time. It grants no tokens itself: a host that is alone leases the shares
// to its own holder.
//
// Invariant: for each group at most one host has an unexpired lease. The owner
// measures a lease from when it grants it and adds a margin for clock drift;
// the holder measures it from when it sent the request. The holder's lease
// therefore expires first.
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
  std::string mLessee;                           // host with the newest lease
  std::vector<Lease> mLeases;                    // unexpired, all of mLessee
  std::map<std::string, TimePoint> mRequestedAt; // newest request, by host
};

struct ShareOwner
{
  std::array<OwnedGroup, kGroups> mGroups;
};

// Answers a holder's request. A group is leased if this host owns it, no other
// host has an unexpired lease of it, and no more preferred candidate sent a
// request recently.
auto OnLeaseRequest(ShareOwner& aOwner,
                    const LimitView& aView,
                    const LimitSettings& aSettings,
                    const std::string& aFrom,
                    const LeaseRequest& aRequest,
                    TimePoint aNow) -> LeaseGrant;

} // namespace mangovalve
