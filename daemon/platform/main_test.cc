// Tests of the signals of the real process, up to its exit code.
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "mangovalve/loop/http_client.h"
#include "standins/common/free_address.h"

namespace mangovalve {
namespace {

using standin::FreeAddress;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Ends a case that hangs; generous, since the machine may be busy.
constexpr auto kCaseDeadline = seconds(40);

// A daemon without a store. Its standard output is a pipe that is full, so that
// it blocks at its first log line, which comes after its servers listen and
// before it handles signals.
class BlockedDaemon
{
public:
  BlockedDaemon()
  {
    REQUIRE(pipe2(mPipe.data(), O_CLOEXEC) == 0);
    FillPipe();
    std::string folder = "/tmp/mangovalve-main-XXXXXX";
    REQUIRE(mkdtemp(folder.data()) != nullptr);
    mFolder = folder;
    const auto path = (mFolder / "settings.toml").string();
    std::ofstream(path) << "host = { name = \"h\", failure_domain = \"a\" }\n"
                        << "[listen]\ncallers = \"" << FreeAddress()
                        << "\"\nreadiness = \"" << mReadiness
                        << "\"\npeers = \"" << FreeAddress()
                        << "\"\n[store]\naddress = \"" << FreeAddress()
                        << "\"\n";
    Spawn(path);
  }
  ~BlockedDaemon()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
    }
    close(mPipe[0]);
    std::error_code ignored; // a leftover file harms no other case
    std::filesystem::remove_all(mFolder, ignored);
  }
  BlockedDaemon(const BlockedDaemon&) = delete;
  auto operator=(const BlockedDaemon&) -> BlockedDaemon& = delete;

  auto Send(int aSignal) const -> void { REQUIRE(kill(mPid, aSignal) == 0); }

  // Waits until the readiness server listens.
  auto WaitListening() const -> void
  {
    const auto address = ParseAddress(mReadiness);
    REQUIRE(address);
    asio::io_context loop;
    const auto deadline = Clock::now() + kCaseDeadline;
    ErrorCode error = asio::error::connection_refused;
    while (error) {
      REQUIRE(Clock::now() < deadline);
      Tcp::socket socket(loop);
      socket.connect(*address, error);
    }
  }

  // Reads the output until it contains aText; false if it ends before.
  auto ReadUntil(const std::string& aText) -> bool
  {
    constexpr std::size_t kReadBytes = 4096;
    const auto deadline = Clock::now() + kCaseDeadline;
    while (mOutput.find(aText) == std::string::npos) {
      REQUIRE(Clock::now() < deadline);
      pollfd output{ mPipe[0], POLLIN, 0 };
      if (poll(&output, 1, 100) <= 0) {
        continue;
      }
      std::array<char, kReadBytes> bytes{};
      const auto count = read(mPipe[0], bytes.data(), bytes.size());
      if (count <= 0) {
        return false;
      }
      mOutput.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return true;
  }

  // Reads the output to its end and returns the status of waitpid.
  auto WaitExit() -> int
  {
    CHECK_FALSE(ReadUntil(std::string(1, '\0')));
    auto status = 0;
    REQUIRE(waitpid(mPid, &status, 0) == mPid);
    mPid = 0;
    return status;
  }

private:
  auto FillPipe() const -> void
  {
    const std::string filler(1024, '\n');
    REQUIRE(fcntl(mPipe[1], F_SETFL, O_NONBLOCK) == 0);
    while (write(mPipe[1], filler.data(), filler.size()) > 0) {
    }
    REQUIRE(errno == EAGAIN);
    REQUIRE(fcntl(mPipe[1], F_SETFL, 0) == 0);
  }

  auto Spawn(const std::string& aSettings) -> void
  {
    posix_spawn_file_actions_t actions{};
    REQUIRE(posix_spawn_file_actions_init(&actions) == 0);
    REQUIRE(
      posix_spawn_file_actions_adddup2(&actions, mPipe[1], STDOUT_FILENO) == 0);
    std::string program = MANGOVALVED_PLATFORM;
    auto settings = "--settings=" + aSettings;
    std::array<char*, 3> arguments{ program.data(), settings.data(), nullptr };
    REQUIRE(
      posix_spawn(
        &mPid, program.c_str(), &actions, nullptr, arguments.data(), environ) ==
      0);
    posix_spawn_file_actions_destroy(&actions);
    close(mPipe[1]);
  }

  std::array<int, 2> mPipe{};
  std::filesystem::path mFolder;
  std::string mReadiness = FreeAddress();
  std::string mOutput;
  pid_t mPid = 0;
};

TEST_CASE("a signal to reload that comes during the start does not end it")
{
  // Guards against SIGHUP ending a daemon that does not handle it yet, together
  // with the connections that its servers have accepted.
  BlockedDaemon daemon;
  daemon.WaitListening();
  daemon.Send(SIGHUP);
  REQUIRE(daemon.ReadUntil("event=settings_reloaded"));
  daemon.Send(SIGTERM);
  const auto status = daemon.WaitExit();
  CHECK(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == EXIT_SUCCESS);
}

TEST_CASE("a signal to stop that comes during the start drains the daemon")
{
  // Guards against SIGTERM ending a daemon that does not handle it yet without
  // an answer to requests on connections that its servers have accepted.
  BlockedDaemon daemon;
  daemon.WaitListening();
  daemon.Send(SIGTERM);
  CHECK(daemon.ReadUntil("event=stopped"));
  const auto status = daemon.WaitExit();
  CHECK(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == EXIT_SUCCESS);
}

} // namespace
} // namespace mangovalve
