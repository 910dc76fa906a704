// Runs the event loop of a daemon.
#pragma once

#include <exception>

#include "mangovalve/loop/asio.h"

namespace mangovalve {

// Logs and counts an exception, which is a defect of the code that let it
// escape.
auto ReportEscaped(const std::exception& aException) -> void;

// Runs the loop until it stops. An exception that escapes from a task or
// handler is a defect: it is logged and ends its task, but not the requests of
// all other callers.
auto RunLoop(asio::io_context& aLoop) -> void;

} // namespace mangovalve
