// Builds the rate limiter's view of the fleet from the replayed members and the
// revisions of the document.
#pragma once

#include <string>
#include <vector>

#include "mangovalve/limits/messages.h"
#include "mangovalve/membership/failure_detector.h"
#include "mangovalve/membership/state.h"

namespace mangovalve {

// Names of the share owner roles that are assigned to this host.
auto OwnerRoles(const MemberState& aMembers,
                const std::string& aHost,
                const std::string& aDomain) -> std::vector<std::string>;

// Groups whose share owner role is in use.
auto OwnedGroups(const RoleUse& aUse) -> GroupSet;

// The view without the fields that change over time: mOwnedGroups,
// mRoleDeadline, mDraining and mAccrualFactor keep their defaults.
auto BuildView(const std::string& aHost,
               const std::string& aDomain,
               const std::string& aRegion,
               const MemberState& aMembers,
               const ShareHistory& aHistory) -> LimitView;

} // namespace mangovalve
