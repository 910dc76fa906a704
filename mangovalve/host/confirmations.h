// Asks every registered host how far its replica has come, for `config
// status`. Asked on demand, so that no host has to tell all others all the
// time.
#pragma once

#include <string>
#include <vector>

#include "mangovalve/config/http_admin.h"
#include "mangovalve/membership/state.h"

namespace mangovalve {

// Path on a host's operators' address that answers {"next": OFFSET}.
constexpr const char* kPositionPath = "/v1/position";

// Asks all members at once and waits at most kConfirmationTimeout for each.
// aSelf is answered with aOwnNext without being asked.
auto QueryConfirmations(const MemberState& aMembers,
                        const std::string& aSelf,
                        Offset aOwnNext) -> std::vector<HostConfirmation>;

} // namespace mangovalve
