// Tests of waiting for a slot and of immediate refusal.
#include "mangovalve/online/slot_queue.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

TEST_CASE("the expected wait grows with requests ahead and shrinks with slots")
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

// A pool of one engine with two slots, both held by online requests.
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
    request.mWaitDeadline = Clock::now() + aPatience;
    request.mTypicalRunTime = aUsualRun;
    Spawn(mLoop, [](FullPool& aPool, SlotRequest aAsk, Slot& aSlot) -> Task<> {
      aSlot = co_await AcquireSlot(aPool.mState, std::move(aAsk));
    }(*this, std::move(request), slot));
    mLoop.restart();
    mLoop.run_for(milliseconds(1));
    return slot;
  }
};

TEST_CASE("a request that can't be served in time is refused without waiting")
{
  FullPool pool(20);
  const auto slot = pool.Ask(milliseconds(200));
  CHECK_FALSE(slot.mEndpoint);
  CHECK(slot.mRetryAfter >= std::chrono::seconds(10)); // one of two slots
  CHECK(pool.mState.mPools["llm"].mQueue.empty());
}

TEST_CASE("a restarted daemon refuses requests that it can't serve in time")
{
  // Guards against an expected wait of zero before the first run is measured:
  // after a restart of all daemons, each kept the whole wave of retries waiting
  // for 210 ms before it refused them.
  FullPool pool(0);
  const auto slot = pool.Ask(milliseconds(200), std::chrono::seconds(1));
  CHECK_FALSE(slot.mEndpoint);
  CHECK(slot.mRetryAfter >= milliseconds(400));
}

TEST_CASE("a service without endpoints refuses at once with a retry delay")
{
  FullPool pool(0.1);
  pool.mState.mPools.clear();
  const auto slot = pool.Ask(milliseconds(200));
  CHECK_FALSE(slot.mEndpoint);
  CHECK(slot.mRetryAfter == milliseconds(1000));
}

TEST_CASE("a request that only a domain that is cut off could serve is refused")
{
  // Guards against requests that wait for connections into a domain which can't
  // be reached (inc-8f51 of further). The pattern of load is a service without
  // an endpoint in the domain that is cut off.
  FullPool pool(0.1);
  pool.mState.mDomain = "a";
  auto& endpoint = *pool.mState.mPools["llm"].mEndpoints[0];
  endpoint.mRegistration.mDomain = "b";
  endpoint.mOwnInFlight.mOnline = 0;
  // A silent domain or a silent store alone does not prove a cut.
  pool.mState.mFleet.mDomains["b"].mUnresponsive = true;
  CHECK(pool.Ask(milliseconds(200)).mEndpoint);
  pool.mState.mFleet.mDomains["b"].mUnresponsive = false;
  pool.mState.mDirectory.mStoreReachable = false;
  CHECK(pool.Ask(milliseconds(200)).mEndpoint);
  pool.mState.mFleet.mDomains["b"].mUnresponsive = true;
  const auto slot = pool.Ask(milliseconds(200));
  CHECK_FALSE(slot.mEndpoint);
  CHECK(slot.mRetryAfter == milliseconds(1000));
  endpoint.mOwnDomain = true;
  CHECK(pool.Ask(milliseconds(200)).mEndpoint);
}

TEST_CASE("a request that may get a slot in time waits in the queue")
{
  FullPool pool(0.1);
  const auto slot = pool.Ask(milliseconds(200));
  CHECK_FALSE(slot.mEndpoint);
  CHECK(slot.mRetryAfter == milliseconds(0)); // still waiting
  CHECK(pool.mState.mPools["llm"].mQueue.size() == 1);
  pool.mLoop.run_for(milliseconds(400)); // beyond the wait deadline
  CHECK(pool.mState.mPools["llm"].mQueue.empty());
}

} // namespace
} // namespace mangovalve
