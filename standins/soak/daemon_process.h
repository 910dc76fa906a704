// A serving daemon in a process of its own.
#pragma once

#include <string>

#include <sys/types.h>

#include "mangovalve/base/time.h"

namespace mangovalve::standin {

struct DaemonProcess
{
  std::string mName;
  std::string mCallers; // IP:PORT
  std::string mReadiness;
  std::string mPeers;
  std::string mSettingsPath;
  std::string mLogPath; // standard output and error, appended
  pid_t mPid = -1;      // -1: not running
  TimePoint mStartedAt{};
  TimePoint mTermAt{};      // the first SIGTERM; zero: none was sent
  std::size_t mLogSize = 0; // at the start of the process
};

// Starts the process; false if it can't be started.
auto StartProcess(DaemonProcess& aDaemon, const std::string& aBinary) -> bool;

// Sends a signal if the process runs.
auto SignalProcess(DaemonProcess& aDaemon, int aSignal) -> void;

// Whether the process has ended; then aStatus is what waitpid gave.
auto HasEnded(DaemonProcess& aDaemon, int& aStatus) -> bool;

// Whether the process has logged anything since its start.
auto HasLogged(const DaemonProcess& aDaemon) -> bool;

} // namespace mangovalve::standin
