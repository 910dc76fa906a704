// mangovalved_platform: the serving daemon of one host on the platform that
// platform/ adapts to.
//
// The settings file is named by --settings, or by the environment variable
// MANGOVALVE_CONFIG. Exit codes: 0 after a drain, 1 if it could not start, 2
// for bad usage or bad settings. SIGTERM drains. SIGHUP reads the settings file
// again; a file with errors changes nothing. Signals that arrive during the
// start are handled after it.
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <malloc.h>

#include <absl/strings/str_format.h>
#include <gflags/gflags.h>

#include "mangovalve/loop/run_loop.h"
#include "mangovalve/serving/daemon.h"
#include "mangovalve/telemetry/event_log.h"
#include "platform/document.h"
#include "platform/messages.h"
#include "platform/names.h"
#include "platform/store.h"

DEFINE_string(settings, "", "settings file (TOML)");
DEFINE_bool(check_settings, false, "check the settings and exit");

namespace mangovalve {
namespace {

constexpr int kBadUsage = 2;

auto SettingsPath() -> std::string
{
  if (!FLAGS_settings.empty()) {
    return FLAGS_settings;
  }
  const auto* path = std::getenv("MANGOVALVE_CONFIG");
  return path == nullptr ? "" : path;
}

// Blocks or unblocks the signals that ServingDaemon handles. While blocked,
// they stay pending, so that none takes its default action before it is
// handled.
auto MaskHandledSignals(int aHow) -> void
{
  sigset_t signals;
  sigemptyset(&signals);
  for (const auto signal : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(aHow, &signals, nullptr);
}

auto Serve(const std::string& aPath, const ServingSettings& aSettings) -> int
{
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
  asio::io_context loop(1);
  ServingDaemon daemon(loop,
                       aSettings,
                       platform::MakeProtocol(),
                       { platform::kConfigurationKey,
                         platform::kEvacuationPrefix,
                         platform::ReadDocument,
                         platform::ReadRegistration,
                         platform::SameRegistration },
                       [&aSettings](ConnectionPool& aPool) {
                         return platform::MakeTables(aPool, aSettings.mStore);
                       });
  daemon.mReadSettings = [&aPath] { return ReadServingSettings(aPath); };
  const auto started = daemon.Start();
  if (!started) {
    LogEvent(
      Severity::Error, "start_failed", { { "reason", started.error() } });
    return EXIT_FAILURE;
  }
  // Runs after the tasks of Start(), one of which installs the handlers.
  asio::post(loop, [] { MaskHandledSignals(SIG_UNBLOCK); });
  RunLoop(loop);
  // Connections and tasks end with the process; nothing of them must be kept.
  std::fflush(stdout);
  std::_Exit(EXIT_SUCCESS);
}

// Returns the memory of large bodies to the system as soon as they are freed.
// By default, the allocator keeps ever larger blocks in its heap after the
// first ones were freed, and a heap with small blocks between them does not
// shrink.
auto LimitHeap() -> void
{
  constexpr int kLargeBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kLargeBytes);
}

auto Run() -> int
{
  LimitHeap();
  const auto path = SettingsPath();
  if (path.empty()) {
    absl::FPrintF(stderr,
                  "mangovalved_platform: --settings FILE is required\n");
    return kBadUsage;
  }
  const auto settings = ReadServingSettings(path);
  if (!settings) {
    absl::FPrintF(stderr, "%s\n", settings.error());
    return kBadUsage;
  }
  if (FLAGS_check_settings) {
    absl::PrintF("%s: settings are valid\n", path);
    return EXIT_SUCCESS;
  }
  StartEventLog(settings->mLogLevel, LogTarget::StandardOutput);
  return Serve(path, *settings);
}

} // namespace
} // namespace mangovalve

auto main(int argc, char** argv) -> int
{
  mangovalve::MaskHandledSignals(SIG_BLOCK);
  gflags::SetUsageMessage(
    "mangovalved_platform --settings FILE [--check_settings]");
  gflags::SetVersionString(MANGOVALVE_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return mangovalve::Run();
}
