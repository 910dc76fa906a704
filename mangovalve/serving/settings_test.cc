// Tests of the settings of a serving daemon.
#include "mangovalve/serving/settings.h"

#include <filesystem>
#include <fstream>

#include <doctest/doctest.h>
#include <unistd.h>

namespace mangovalve {
namespace {

constexpr auto kValid = R"(
seeds = ["10.0.0.2:7"]
[host]
name = "h"
failure_domain = "a"
[listen]
callers = "10.0.0.1:1"
readiness = "10.0.0.1:2"
peers = "10.0.0.1:3"
[store]
address = "10.0.0.9:1"
[shutdown]
grace_seconds = 8
)";

// A settings file that is removed at the end of the case.
class SettingsFile
{
public:
  explicit SettingsFile(const std::string& aText)
    : mPath(std::filesystem::temp_directory_path() /
            ("mangovalve-settings-" + std::to_string(getpid()) + ".toml"))
  {
    std::ofstream(mPath) << aText;
  }
  ~SettingsFile() { std::filesystem::remove(mPath); }
  SettingsFile(const SettingsFile&) = delete;
  auto operator=(const SettingsFile&) -> SettingsFile& = delete;

  auto Read() const { return ReadServingSettings(mPath.string()); }

private:
  std::filesystem::path mPath;
};

TEST_CASE("an error in the settings names the setting")
{
  CHECK(SettingsFile(kValid).Read());
  const auto error = [](const std::string& aFrom, const std::string& aTo) {
    std::string text = kValid;
    text.replace(text.find(aFrom), aFrom.size(), aTo);
    const auto read = SettingsFile(text).Read();
    REQUIRE_FALSE(read);
    return read.error();
  };
  CHECK(error("10.0.0.1:3", "nowhere").find("listen.peers") !=
        std::string::npos);
  CHECK(error("name = \"h\"", "").find("host.name") != std::string::npos);
  CHECK(error("grace_seconds = 8", "grace_seconds = -1")
          .find("shutdown.grace_seconds") != std::string::npos);
  CHECK(
    error("grace_seconds = 8", "grace_seconds = 8\n[memory]\nheld_bytes = 1000")
      .find("memory.held_bytes") != std::string::npos);
  CHECK_FALSE(SettingsFile("[host").Read());
  CHECK_FALSE(ReadServingSettings("/nonexistent"));
}

TEST_CASE("a changed file is in force at once but for what needs a restart")
{
  // Guards against a reload that is ignored, and against one that half moves a
  // daemon to other addresses.
  const auto current = *SettingsFile(kValid).Read();
  auto changed = current;
  changed.mSeeds = { "10.0.0.3:7" };
  changed.mTerminationGrace = std::chrono::milliseconds(3000);
  changed.mKeepResults = std::chrono::milliseconds(5000);
  changed.mLogLevel = "warn";
  changed.mMaxCallBytes = 10000;
  changed.mHeldBytes = 32UL << 20U;
  const auto update = UpdateSettings(current, changed);
  CHECK(update.mNeedRestart.empty());
  CHECK(update.mSettings.mSeeds == changed.mSeeds);
  CHECK(update.mSettings.mTerminationGrace == changed.mTerminationGrace);
  CHECK(update.mSettings.mKeepResults == changed.mKeepResults);
  CHECK(update.mSettings.mLogLevel == "warn");
  CHECK(update.mSettings.mMaxCallBytes == 10000);
  CHECK(update.mSettings.mHeldBytes == 32UL << 20U);

  changed.mCallers = "10.0.0.1:9";
  changed.mFailureDomain = "b";
  changed.mJobPartitions = 3;
  const auto moved = UpdateSettings(current, changed);
  CHECK(moved.mNeedRestart ==
        std::vector<std::string>{
          "host.failure_domain", "listen.callers", "store.job_partitions" });
  CHECK(moved.mSettings.mCallers == current.mCallers);
  CHECK(moved.mSettings.mFailureDomain == "a");
  CHECK(moved.mSettings.mSeeds == changed.mSeeds);
}

} // namespace
} // namespace mangovalve
