// Tests of who waits for an endpoint and who is refused at once.
#include "mangovalve/online/slot_line.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

TEST_CASE("the expected wait grows with who is ahead and shrinks with slots")
{
  CHECK(ExpectedWait(3, 0, 1) == Duration::zero());
  CHECK(ExpectedWait(0, 4, 0) == Duration::zero());
  CHECK(ExpectedWait(0, 8, 0.8) == milliseconds(100));
  CHECK(ExpectedWait(7, 8, 0.8) == milliseconds(800));
  for (std::size_t ahead = 0; ahead < 50; ++ahead) {
    CHECK(ExpectedWait(ahead + 1, 8, 0.5) > ExpectedWait(ahead, 8, 0.5));
    CHECK(ExpectedWait(ahead, 16, 0.5) < ExpectedWait(ahead, 8, 0.5));
  }
}

// A pool of one engine of two slots, all of which online requests hold.
struct FullPool
{
  asio::io_context mLoop;
  ServingState mState{ mLoop };

  explicit FullPool(double aMeanSeconds)
  {
    auto endpoint = std::make_shared<Endpoint>();
    endpoint->mRegistration.mId = "e";
    endpoint->mRegistration.mService = "llm";
    endpoint->mRegistration.mSlots = 2;
    endpoint->mOwnInFlight.mOnline = 2;
    auto& pool = mState.mPools["llm"];
    pool.mEndpoints = { endpoint };
    pool.mMeanSeconds = aMeanSeconds;
  }

  auto Ask(milliseconds aPatience, milliseconds aUsualRun = milliseconds(1))
    -> Slot
  {
    Slot slot;
    SlotRequest request;
    request.mCaller = std::make_shared<Caller>(Tcp::socket(mLoop));
    request.mCaller->mArrivedAt = Clock::now();
    request.mService = "llm";
    request.mGiveUpAt = Clock::now() + aPatience;
    request.mUsualRun = aUsualRun;
    Spawn(mLoop, [](FullPool& aPool, SlotRequest aAsk, Slot& aSlot) -> Task<> {
      aSlot = co_await TakeSlot(aPool.mState, std::move(aAsk));
    }(*this, std::move(request), slot));
    mLoop.run_for(milliseconds(1));
    return slot;
  }
};

TEST_CASE("what can't be served in time is refused at once, never held")
{
  FullPool pool(20);
  const auto slot = pool.Ask(milliseconds(200));
  CHECK_FALSE(slot.mEndpoint);
  CHECK(slot.mRetryAfter >= std::chrono::seconds(10)); // one of two slots
  CHECK(pool.mState.mPools["llm"].mQueue.empty());
}

TEST_CASE("a daemon that has just started holds no more than it can serve")
{
  // Without a measured run the expected wait was zero, so after a kill of all
  // daemons each held the whole retry wave for 210 ms before it refused
  // (kpc-chime trouble-1, second 45).
  FullPool pool(0);
  const auto slot = pool.Ask(milliseconds(200), std::chrono::seconds(1));
  CHECK_FALSE(slot.mEndpoint);
  CHECK(slot.mRetryAfter >= milliseconds(400));
}

TEST_CASE("a service without endpoints refuses at once and says when to return")
{
  FullPool pool(0.1);
  pool.mState.mPools.clear();
  const auto slot = pool.Ask(milliseconds(200));
  CHECK_FALSE(slot.mEndpoint);
  CHECK(slot.mRetryAfter == milliseconds(1000));
}

TEST_CASE("a request that may get a slot in time waits in line")
{
  FullPool pool(0.1);
  const auto slot = pool.Ask(milliseconds(200));
  CHECK_FALSE(slot.mEndpoint);
  CHECK(slot.mRetryAfter == milliseconds(0)); // still waiting
  CHECK(pool.mState.mPools["llm"].mQueue.size() == 1);
  pool.mLoop.run_for(milliseconds(400)); // until it gives up
  CHECK(pool.mState.mPools["llm"].mQueue.empty());
}

} // namespace
} // namespace mangovalve
