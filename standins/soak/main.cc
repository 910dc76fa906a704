// mangovalve_soak: planned stops, settings and documents in series that
// overlap, with daemons in processes of their own and callers that check every
// response.
//
// Prints each violation and one line with the counts of the run. Exit codes: 0
// without violations, 1 with them, 2 for bad usage.
#include <filesystem>
#include <fstream>

#include <absl/strings/str_format.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include "mangovalve/telemetry/event_log.h"
#include "standins/soak/soak.h"

DEFINE_uint64(seed, 1, "seed of the schedule and the callers");
DEFINE_int32(seconds, 20, "time of planned work");
DEFINE_uint32(daemons, 6, "number of daemons, at most 200");
DEFINE_uint32(clients, 48, "number of callers that keep connections");
DEFINE_string(directory,
              "",
              "for settings and logs, which are kept there; "
              "empty: a temporary one, kept after a violation");
DEFINE_string(binary, "", "the daemon; empty: the one beside this program");
DEFINE_int32(late_reset_ms, 200, "judge later resets as violations; 0: none");
DEFINE_bool(pauses, false, "processes do not run for a while during stops");
DEFINE_bool(slow_store, false, "the store is slow at times");
DEFINE_bool(silences, false, "sound endpoints are silent for up to 1.5 s");
DEFINE_bool(moves,
            false,
            "documents move and split routes and change limits and keys; "
            "callers state times of their own");
DEFINE_uint32(slots, 64, "slots of each endpoint");

namespace mangovalve::standin {
namespace {

constexpr int kBadUsage = 2;
constexpr std::uint32_t kMostDaemons = 200;

auto MakeDirectory() -> std::string
{
  if (!FLAGS_directory.empty()) {
    std::filesystem::create_directories(FLAGS_directory);
    return FLAGS_directory;
  }
  auto pattern =
    (std::filesystem::temp_directory_path() / "mangovalve_soak.XXXXXX")
      .string();
  const auto* path = mkdtemp(pattern.data());
  return path == nullptr ? "" : path;
}

auto ReadOptions() -> SoakOptions
{
  SoakOptions options;
  options.mSeed = FLAGS_seed;
  options.mPlannedWork = std::chrono::seconds(FLAGS_seconds);
  options.mDaemons = FLAGS_daemons;
  options.mCallers = FLAGS_clients;
  options.mDirectory = MakeDirectory();
  options.mBinary = FLAGS_binary;
  if (options.mBinary.empty()) {
    options.mBinary = std::filesystem::read_symlink("/proc/self/exe")
                        .replace_filename("mangovalved_platform")
                        .string();
  }
  options.mRules.mLateReset = std::chrono::milliseconds(FLAGS_late_reset_ms);
  options.mSlowStore = FLAGS_slow_store;
  options.mPauses = FLAGS_pauses;
  options.mSilences = FLAGS_silences;
  options.mMoves = FLAGS_moves;
  options.mSlots = FLAGS_slots;
  return options;
}

auto Main() -> int
{
  if (FLAGS_daemons == 0 || FLAGS_daemons > kMostDaemons) {
    absl::FPrintF(stderr, "--daemons must be between 1 and 200\n");
    return kBadUsage;
  }
  const auto options = ReadOptions();
  if (options.mDirectory.empty()) {
    absl::FPrintF(stderr, "no directory for the logs\n");
    return kBadUsage;
  }
  StartEventLog("warn", LogTarget::StandardOutput);
  asio::io_context loop(1);
  Soak soak(loop, options);
  const auto violations = soak.Run();
  std::ofstream(options.mDirectory + "/unanswered.log") << soak.Unanswered();
  std::ofstream log(options.mDirectory + "/violations.log");
  for (const auto& violation : violations) {
    absl::PrintF("violation: %s\n", violation);
    log << violation << "\n";
  }
  absl::PrintF("seed=%d daemons=%d %s violations=%d %s\n",
               FLAGS_seed,
               FLAGS_daemons,
               soak.Summary(),
               violations.size(),
               violations.empty() ? "ok" : options.mDirectory);
  if (FLAGS_directory.empty() && violations.empty()) {
    std::filesystem::remove_all(options.mDirectory);
  }
  std::fflush(stdout);
  // Tasks of the loop end with the process.
  log.close();
  std::_Exit(violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE);
}

} // namespace
} // namespace mangovalve::standin

auto main(int argc, char** argv) -> int
{
  gflags::SetUsageMessage("mangovalve_soak --seed=N [--seconds=N]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return mangovalve::standin::Main();
}
