// A serving daemon in a process of its own.
#include "standins/soak/daemon_process.h"

#include <csignal>
#include <filesystem>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace mangovalve::standin {
namespace {

auto LogSize(const DaemonProcess& aDaemon) -> std::size_t
{
  std::error_code error;
  const auto size = std::filesystem::file_size(aDaemon.mLogPath, error);
  return error ? 0 : size;
}

} // namespace

auto StartProcess(DaemonProcess& aDaemon, const std::string& aBinary) -> bool
{
  aDaemon.mLogSize = LogSize(aDaemon);
  aDaemon.mTermAt = {};
  aDaemon.mStartedAt = Clock::now();
  posix_spawn_file_actions_t actions{};
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aDaemon.mLogPath.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A socket of a caller in a daemon would keep its connection open.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  auto binary = aBinary;
  std::string flag = "--settings=" + aDaemon.mSettingsPath;
  char* arguments[] = { binary.data(), flag.data(), nullptr };
  const auto error = posix_spawn(
    &aDaemon.mPid, binary.c_str(), &actions, nullptr, arguments, environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    aDaemon.mPid = -1;
  }
  return error == 0;
}

auto SignalProcess(DaemonProcess& aDaemon, int aSignal) -> void
{
  if (aDaemon.mPid < 0) {
    return;
  }
  if (aSignal == SIGTERM && aDaemon.mTermAt == TimePoint{}) {
    aDaemon.mTermAt = Clock::now();
  }
  kill(aDaemon.mPid, aSignal);
}

auto HasEnded(DaemonProcess& aDaemon, int& aStatus) -> bool
{
  if (aDaemon.mPid < 0 || waitpid(aDaemon.mPid, &aStatus, WNOHANG) == 0) {
    return false;
  }
  aDaemon.mPid = -1;
  return true;
}

auto HasLogged(const DaemonProcess& aDaemon) -> bool
{
  return LogSize(aDaemon) > aDaemon.mLogSize;
}

} // namespace mangovalve::standin
