// Wakeup: a notification between tasks of one event loop.
#pragma once

#include "mangovalve/loop/asio.h"

namespace mangovalve {

// Supports one waiting task at a time. A notification without a waiting task is
// kept for the next wait. Not thread-safe.
class Wakeup
{
public:
  explicit Wakeup(asio::io_context& aLoop)
    : mTimer(aLoop)
  {
  }

  auto Notify() -> void
  {
    mNotified = true;
    mTimer.cancel();
  }

  // Returns after the next notification, or at aUntil.
  auto WaitUntil(TimePoint aUntil) -> Task<>
  {
    if (!mNotified) {
      mTimer.expires_at(aUntil);
      ErrorCode error;
      co_await mTimer.async_wait(CaptureError(error));
    }
    mNotified = false;
  }

private:
  asio::steady_timer mTimer;
  bool mNotified = false;
};

} // namespace mangovalve
