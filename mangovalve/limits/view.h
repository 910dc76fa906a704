// Builds what a host knows of the fleet for rates from the replayed members and
// the revisions of the document.
#pragma once

#include <string>
#include <vector>

#include "mangovalve/limits/messages.h"
#include "mangovalve/membership/failure_detector.h"
#include "mangovalve/membership/state.h"

namespace mangovalve {

// Names of the share owner's roles that the members give this host.
auto OwnerRoles(const MemberState& aMembers,
                const std::string& aHost,
                const std::string& aDomain) -> std::vector<std::string>;

// Groups whose owner's role is in use.
auto OwnedGroups(const RoleUse& aUse) -> GroupSet;

// The view without the fields that change with time: mOwnedGroups,
// mRoleDeadline, mDraining and mAccrualFactor are left at their defaults.
auto BuildView(const std::string& aHost,
               const std::string& aDomain,
               const std::string& aRegion,
               const MemberState& aMembers,
               const ShareHistory& aHistory) -> LimitView;

} // namespace mangovalve
