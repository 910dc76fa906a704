// ConditionalTimeout: a timeout that fires only if a condition holds.
//
// It bounds the wait for an endpoint's response. A fixed timeout would also
// abandon an endpoint that only has the request in its queue, so the caller
// decides at intervals whether abandoning it is useful.
#pragma once

#include <functional>
#include <memory>

#include "mangovalve/base/time.h"
#include "mangovalve/loop/asio.h"

namespace mangovalve {

class ConditionalTimeout
{
public:
  // Evaluates aCondition at aFirst and then at every aInterval. The first time
  // that it holds, calls aOnTimeout and stops. Both functions are called on the
  // loop, during the lifetime of this object only.
  ConditionalTimeout(asio::io_context& aLoop,
                     TimePoint aFirst,
                     Duration aInterval,
                     std::function<bool()> aCondition,
                     std::function<void()> aOnTimeout)
    : mState(std::make_shared<State>(State{ asio::steady_timer(aLoop),
                                            aInterval,
                                            std::move(aCondition),
                                            std::move(aOnTimeout) }))
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
  // Outlives the timeout until the timer's last handler has run.
  struct State
  {
    asio::steady_timer mTimer;
    Duration mInterval;
    std::function<bool()> mCondition;
    std::function<void()> mOnTimeout;
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
      if (state->mCondition()) {
        state->mOnTimeout();
      } else {
        Arm(state, Clock::now() + state->mInterval);
      }
    });
  }

  std::shared_ptr<State> mState;
};

} // namespace mangovalve
