// Tests of the event loop of a daemon.
#include "mangovalve/loop/run_loop.h"

#include <stdexcept>

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

TEST_CASE("an exception that escapes from a task ends no other task")
{
  // Guards against one request that ends the process, and with it all others.
  asio::io_context loop;
  auto finished = 0;
  const auto wait = [](TimePoint aUntil, int& aFinished) -> Task<> {
    co_await SleepUntil(aUntil);
    ++aFinished;
  };
  const auto now = Clock::now();
  Spawn(loop, wait(now + std::chrono::milliseconds(20), finished));
  Spawn(loop, []() -> Task<> {
    throw std::length_error("of a task");
    co_return;
  }());
  asio::post(loop, [] { throw std::length_error("of a handler"); });
  Spawn(loop, wait(now + std::chrono::milliseconds(10), finished));
  RunLoop(loop);
  CHECK(finished == 2);
}

} // namespace
} // namespace mangovalve
