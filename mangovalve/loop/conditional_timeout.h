// ConditionalTimeout: a timeout that fires only if a condition holds.
//
// It bounds the wait for an endpoint's response. A fixed timeout would also
// abandon an endpoint that only has the request in its queue or that is silent
// for a moment, so the caller decides at times of its choice whether abandoning
// it is useful.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "mangovalve/base/time.h"
#include "mangovalve/loop/asio.h"

namespace mangovalve {

class ConditionalTimeout
{
public:
  // Calls aCheck at aFirst and then at each time that it returns. If it returns
  // none, calls aOnTimeout and stops. Both functions are called on the loop,
  // during the lifetime of this object only.
  ConditionalTimeout(asio::io_context& aLoop,
                     TimePoint aFirst,
                     std::function<auto()->std::optional<TimePoint>> aCheck,
                     std::function<void()> aOnTimeout)
    : mState(std::make_shared<State>(State{ asio::steady_timer(aLoop),
                                            std::move(aCheck),
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
    std::function<auto()->std::optional<TimePoint>> mCheck;
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
      if (const auto next = state->mCheck()) {
        Arm(state, *next);
      } else {
        state->mOnTimeout();
      }
    });
  }

  std::shared_ptr<State> mState;
};

} // namespace mangovalve
