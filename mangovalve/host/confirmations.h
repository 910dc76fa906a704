// Queries the applied log position of every registered host's replica for
// `config status`. Positions are queried on demand, so that hosts need not
// broadcast them to the whole fleet.
#pragma once

#include <string>
#include <vector>

#include "mangovalve/config/http_admin.h"
#include "mangovalve/membership/state.h"

namespace mangovalve {

// Path on a host's operator address that returns {"next": OFFSET}, the offset
// of the next log entry to apply.
constexpr const char* kPositionPath = "/v1/position";

// Queries the members in parallel, each with a timeout of 500 ms to connect and
// to read. The entry of aSelf, this host, is aOwnNext without a query. A member
// without a valid response has no position.
auto QueryConfirmations(const MemberState& aMembers,
                        const std::string& aSelf,
                        Offset aOwnNext) -> std::vector<HostConfirmation>;

} // namespace mangovalve
