// mangovalved: the daemon of one entry host.
//
// Exit codes: 0 after a drain, 1 if it could not start, 2 for bad usage or bad
// settings. SIGTERM and SIGINT drain; a second one ends at once.
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <absl/strings/str_format.h>
#include <gflags/gflags.h>

#include "mangovalve/host/host.h"
#include "mangovalve/host/settings.h"
#include "mangovalve/telemetry/event_log.h"

DEFINE_string(settings, "", "settings file (TOML), required");
DEFINE_bool(check_settings, false, "check the settings and exit");

namespace mangovalve {
namespace {

constexpr int kBadUsage = 2;

// Signals that start a drain; blocked in every thread and taken by sigwait.
auto DrainSignals() -> sigset_t
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

auto Serve(const HostSettings& aSettings) -> int
{
  const auto signals = DrainSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
  Host host(aSettings);
  const auto started = host.Start();
  if (!started) {
    LogEvent(
      Severity::Error, "start_failed", { { "reason", started.error() } });
    return EXIT_FAILURE;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  // The default action of a second signal ends the process at once.
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
  host.Drain();
  host.Stop();
  return EXIT_SUCCESS;
}

auto Run() -> int
{
  if (FLAGS_settings.empty()) {
    absl::FPrintF(stderr, "mangovalved: --settings FILE is required\n");
    return kBadUsage;
  }
  const auto settings = ReadSettings(FLAGS_settings);
  if (!settings) {
    absl::FPrintF(stderr, "%s\n", FormatError(settings.error()));
    return kBadUsage;
  }
  if (FLAGS_check_settings) {
    absl::PrintF("%s: settings are valid\n", FLAGS_settings);
    return EXIT_SUCCESS;
  }
  StartEventLog(settings->mLogLevel);
  return Serve(*settings);
}

} // namespace
} // namespace mangovalve

auto main(int argc, char** argv) -> int
{
  gflags::SetUsageMessage("mangovalved --settings FILE [--check_settings]");
  gflags::SetVersionString(MANGOVALVE_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return mangovalve::Run();
}
