// Settings of a serving daemon, in TOML. Unknown settings are passed over with
// a warning: the platform that fills the file in may name more than this
// version knows.
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
  std::string mReadiness; // IP:PORT for the balancer's question
  std::string mPeers;     // IP:PORT for other daemons, TCP and UDP
  std::string mOperators; // IP:PORT for operators and metrics; may be empty
  std::string mStore;     // IP:PORT of the platform's store
  std::vector<std::string> mSeeds; // daemons to ask when the store is away
  std::uint32_t mJobPartitions = 8;
  std::size_t mMaxRecordBytes = 256UL << 10U;
  std::size_t mMaxCallBytes = 2UL << 20U;
  // From a termination signal until the process is killed.
  std::chrono::milliseconds mTerminationGrace{ 8000 };
  // How long results stay readable after a job's submission.
  std::chrono::milliseconds mResultRetention{ 120000 };
  std::string mLogLevel = "info";
};

// Reads the file; an error names the file, the setting and what is wrong.
auto ReadServingSettings(const std::string& aPath)
  -> Result<ServingSettings, std::string>;

} // namespace mangovalve
