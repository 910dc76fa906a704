// Check of a request before it is written.
//
// The library writes whatever strings a request holds. A line break in one of
// them would end the head early, and what follows would be read as fields or as
// another request that nobody sent. A request that passes parses back to
// itself, apart from whitespace around the values of its fields.
#pragma once

#include "mangovalve/loop/asio.h"

namespace mangovalve {

// Returns why the request must not be written; no error if it may be. Takes one
// pass over the head.
auto CheckRequest(const Request& aRequest) -> ErrorCode;

} // namespace mangovalve
