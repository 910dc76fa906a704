// Settings of a serving daemon, in TOML. Unknown settings are ignored, because
// the platform that writes the file may support more settings than this
// version.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "mangovalve/base/result.h"

namespace mangovalve {

struct ServingSettings
{
  std::string mName; // of the host
  std::string mFailureDomain;
  std::string mCallers;   // IP:PORT for callers
  std::string mReadiness; // IP:PORT for the load balancer's readiness check
  std::string mPeers;     // IP:PORT for other daemons, TCP and UDP
  std::string mOperators; // IP:PORT for operators and metrics; may be empty
  std::string mStore;     // IP:PORT of the platform's store
  std::vector<std::string> mSeeds; // IP:PORT of daemons to contact if the store
                                   // is unavailable at startup
  std::uint32_t mJobPartitions = 8;
  std::size_t mMaxRecordBytes = 256UL << 10U;
  std::size_t mMaxCallBytes = 2UL << 20U;
  // Time between the termination signal and the kill of the process.
  std::chrono::milliseconds mTerminationGrace{ 8000 };
  // How long results can be read, counted from the job's submission.
  std::chrono::milliseconds mKeepResults{ 120000 };
  // Bytes held for callers, peers and operators, their connections, and the
  // header lines of one message. 0: derived from the machine, which also bounds
  // the first two from above; see memory_account.h.
  std::size_t mHeldBytes = 0;
  std::size_t mConnections = 0;
  std::uint32_t mHeaderLines = 0;
  std::string mLogLevel = "info";
};

// Settings after a change of the file while the daemon runs.
struct SettingsUpdate
{
  ServingSettings mSettings; // in force from now on
  // Names of changed settings that are in force only after a restart, because
  // they say where the daemon listens and what it is.
  std::vector<std::string> mNeedRestart;
};

auto UpdateSettings(const ServingSettings& aCurrent,
                    const ServingSettings& aChanged) -> SettingsUpdate;

// Reads the file. The error names the file, the setting and the problem.
auto ReadServingSettings(const std::string& aPath)
  -> Result<ServingSettings, std::string>;

} // namespace mangovalve
