// Ends a wait for an endpoint that brings nothing, on a condition.
//
// A fixed timeout gives up an endpoint that merely has the request in its
// queue. The watch asks at intervals whether giving up would help.
#pragma once

#include <functional>
#include <memory>

#include "mangovalve/base/time.h"
#include "mangovalve/loop/asio.h"

namespace mangovalve {

class ConditionalTimeout
{
public:
  // From aFirst on, and then every aInterval, calls aGiveUp once aMayGiveUp
  // says so. Both are called on the loop while the watch lives.
  ConditionalTimeout(asio::io_context& aLoop,
                     TimePoint aFirst,
                     Duration aInterval,
                     std::function<bool()> aMayGiveUp,
                     std::function<void()> aGiveUp)
    : mState(std::make_shared<State>(State{ asio::steady_timer(aLoop),
                                            aInterval,
                                            std::move(aMayGiveUp),
                                            std::move(aGiveUp) }))
  {
    Arm(mState, aFirst);
  }
  ~ConditionalTimeout()
  {
    mState->mEnded = true;
    mState->mTimer.cancel();
  }
  ConditionalTimeout(const ConditionalTimeout&) = delete;
  auto operator=(const ConditionalTimeout&) -> ConditionalTimeout& = delete;

private:
  // Outlives the watch until the timer's last handler has run.
  struct State
  {
    asio::steady_timer mTimer;
    Duration mInterval;
    std::function<bool()> mMayGiveUp;
    std::function<void()> mGiveUp;
    bool mEnded = false;
  };

  static auto Arm(std::shared_ptr<State> aState, TimePoint aAt) -> void
  {
    auto& timer = aState->mTimer;
    timer.expires_at(aAt);
    timer.async_wait([state = std::move(aState)](ErrorCode aError) {
      if (aError || state->mEnded) {
        return;
      }
      if (state->mMayGiveUp()) {
        state->mGiveUp();
      } else {
        Arm(state, Clock::now() + state->mInterval);
      }
    });
  }

  std::shared_ptr<State> mState;
};

} // namespace mangovalve
