// Runs the event loop of a daemon.
#include "mangovalve/loop/run_loop.h"

#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {

auto ReportEscaped(const std::exception& aException) -> void
{
  FindCounter("mangovalve_escaped_exceptions_total").Add();
  LogEvent(
    Severity::Error, "exception_escaped", { { "reason", aException.what() } });
}

auto RunLoop(asio::io_context& aLoop) -> void
{
  for (;;) {
    try {
      aLoop.run();
      return;
    } catch (const std::exception& exception) {
      ReportEscaped(exception);
    }
  }
}

} // namespace mangovalve
