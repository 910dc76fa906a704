// LogPort over HTTP, by the platform's published protocol.
#pragma once

#include <string>

#include "mangovalve/log_service/log_port.h"

namespace mangovalve {

// Port of the log at aAddress ("IP:port"). Callable from any thread; calls do
// not wait for each other. Errors are classified by what can have taken effect:
// NotSent only if no connection was made, Rejected on 429 and 503, and
// OutcomeUnknown for everything else without a usable answer.
auto HttpLogPort(const std::string& aAddress) -> LogPort;

} // namespace mangovalve
