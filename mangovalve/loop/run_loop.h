// Runs the event loop of a daemon.
#pragma once

#include "mangovalve/loop/asio.h"

namespace mangovalve {

// Runs the loop until it stops. An exception that escapes from a task or
// handler is a defect: it is logged and ends its task, but not the requests of
// all other callers.
auto RunLoop(asio::io_context& aLoop) -> void;

} // namespace mangovalve
