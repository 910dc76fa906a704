// A wakeup that one task waits for and others give.
#pragma once

#include "mangovalve/loop/asio.h"

namespace mangovalve {

// For one waiting task at a time. A wakeup given while nobody waits is kept
// for the next wait.
class Wakeup
{
public:
  explicit Wakeup(asio::io_context& aLoop)
    : mTimer(aLoop)
  {
  }

  auto Notify() -> void
  {
    mGiven = true;
    mTimer.cancel();
  }

  // Returns at the next wakeup, or at aUntil.
  auto WaitUntil(TimePoint aUntil) -> Task<>
  {
    if (!mGiven) {
      mTimer.expires_at(aUntil);
      ErrorCode error;
      co_await mTimer.async_wait(CaptureError(error));
    }
    mGiven = false;
  }

private:
  asio::steady_timer mTimer;
  bool mGiven = false;
};

} // namespace mangovalve
