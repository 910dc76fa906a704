// Tests of the memory account: what is evicted, in which order, and what fits.
#include "mangovalve/loop/memory_account.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMegaByte = 1UL << 20U;

auto Candidate(std::size_t aHeld, std::uint64_t aReceived, Duration aStalled)
  -> EvictionCandidate
{
  return { aHeld, aReceived, TimePoint{} + seconds(100) - aStalled, false };
}

const auto kNow = TimePoint{} + seconds(100);

TEST_CASE("the upload that has been stalled longest is evicted first")
{
  // Guards against evicting an upload that goes on, for the sake of one that
  // stopped just short of its end.
  const std::vector<EvictionCandidate> candidates = {
    Candidate(kMegaByte, 10, milliseconds(10)),
    Candidate(kMegaByte, 4 * kMegaByte, seconds(5)),
    Candidate(kMegaByte, 10, seconds(3)),
  };
  CHECK(ChooseEviction(candidates, Shortage::HeldBytes, kNow) == 1);
}

TEST_CASE("among equally stalled uploads the least progressed is evicted")
{
  // Guards against losing the work of uploads that are almost complete.
  const std::vector<EvictionCandidate> candidates = {
    Candidate(kMegaByte, 900, milliseconds(300)),
    Candidate(kMegaByte, 100, milliseconds(200)),
    Candidate(kMegaByte, 500, milliseconds(900)),
  };
  CHECK(ChooseEviction(candidates, Shortage::HeldBytes, kNow) == 1);
  CHECK_FALSE(ChooseEviction({}, Shortage::HeldBytes, kNow));
}

TEST_CASE("small requests are evicted last when bytes are short")
{
  // Guards against refusing ordinary requests, which have received least, while
  // large uploads hold the memory.
  const std::vector<EvictionCandidate> candidates = {
    Candidate(500, 100, seconds(2)),
    Candidate(kMegaByte, kMegaByte, milliseconds(1)),
  };
  CHECK(ChooseEviction(candidates, Shortage::HeldBytes, kNow) == 1);
}

TEST_CASE("connections that have served a request are closed last")
{
  // Guards against closing the idle connections of peers and balancers, while
  // others have not even sent a request.
  std::vector<EvictionCandidate> candidates = {
    Candidate(0, 0, seconds(9)),
    Candidate(0, 0, seconds(1)),
  };
  candidates[0].mServed = true;
  CHECK(ChooseEviction(candidates, Shortage::Connections, kNow) == 1);
}

TEST_CASE("a request that is being handled is never evicted")
{
  // Guards against ending a request that an endpoint may be running.
  const auto account = std::make_shared<MemoryAccount>();
  account->mLimits.mHeldBytes = 4 * kMegaByte;
  auto evicted = 0;
  MemoryHolder running(account);
  running.BeConnection([&] { ++evicted; });
  REQUIRE(running.Set(HeldKind::Bodies, 2 * kMegaByte));
  running.SetEvictable(false);
  MemoryHolder next(account);
  next.BeConnection([&] { ++evicted; });
  CHECK_FALSE(next.Set(HeldKind::Bodies, 2 * kMegaByte));
  CHECK(evicted == 0);
  CHECK(account->Held() == 2 * kMegaByte);
  CHECK(account->Connections() == 2);
}

TEST_CASE("bodies leave room for heads, and an eviction frees its bytes")
{
  // Guards against bodies that shut out ordinary requests, and against counting
  // the bytes of an evicted connection twice or for ever.
  const auto account = std::make_shared<MemoryAccount>();
  account->mLimits.mHeldBytes = 4 * kMegaByte;
  auto evicted = 0;
  MemoryHolder stalled(account);
  stalled.BeConnection([&] { ++evicted; });
  stalled.mProgress.mProgressAt = Clock::now() - seconds(5);
  REQUIRE(stalled.Set(HeldKind::Bodies, 3 * kMegaByte));
  MemoryHolder next(account);
  next.BeConnection([] {});
  next.mProgress.mProgressAt = Clock::now();
  CHECK(next.Set(HeldKind::Heads, 1000));
  CHECK(evicted == 0);
  CHECK(next.Set(HeldKind::Bodies, kMegaByte));
  CHECK(evicted == 1);
  CHECK(stalled.Evicted());
  CHECK_FALSE(stalled.Set(HeldKind::Heads, 1));
  CHECK(account->Held() == kMegaByte + 1000);
  CHECK(account->HeldOf(HeldKind::Bodies) == kMegaByte);
  CHECK(account->Connections() == 1);
}

TEST_CASE("new connections replace those that wait, up to the limit")
{
  // Guards against running out of descriptors, and against counting closed
  // connections.
  const auto account = std::make_shared<MemoryAccount>();
  account->mLimits.mConnections = 2;
  auto evicted = 0;
  MemoryHolder running(account);
  running.BeConnection([] {});
  running.SetEvictable(false);
  {
    MemoryHolder waiting(account);
    waiting.BeConnection([&] { ++evicted; });
    CHECK(account->Connections() == 2);
    CHECK(account->MakeRoomForConnection());
    CHECK(evicted == 1);
  }
  CHECK(account->Connections() == 1);
  MemoryHolder other(account);
  other.BeConnection([] {});
  other.SetEvictable(false);
  CHECK_FALSE(account->MakeRoomForConnection());
}

TEST_CASE("answers are counted even if they don't fit")
{
  // Guards against losing what an endpoint has already run.
  const auto account = std::make_shared<MemoryAccount>();
  account->mLimits.mHeldBytes = kMegaByte;
  {
    MemoryHolder answer(account);
    answer.Force(HeldKind::Answers, 2 * kMegaByte);
    CHECK(account->HeldOf(HeldKind::Answers) == 2 * kMegaByte);
  }
  CHECK(account->Held() == 0);
}

TEST_CASE("the limits follow the machine")
{
  // Guards against a limit that the smallest host does not have, and against
  // one that a single request of legal size does not fit into.
  CHECK(ParseMemoryTotal("MemTotal:         117188 kB\nMemFree: 1 kB\n") ==
        117'188ULL * 1024);
  CHECK_FALSE(ParseMemoryTotal("MemTotal: many kB"));
  CHECK_FALSE(ParseMemoryTotal(""));
  CHECK(LimitsFor(120'000'000, 4100).mHeldBytes == 30'000'000);
  CHECK(LimitsFor(120'000'000, 4100).mConnections == 2050);
  CHECK(LimitsFor(1'000'000, 10).mHeldBytes == 16 * kMegaByte);
  CHECK(LimitsFor(1'000'000, 10).mConnections == 64);
}

TEST_CASE("the values of a JSON text are counted")
{
  // Guards against submissions whose parsed values take many times their size.
  CHECK(ParsedJsonBytes("[{},{},{}]") >= 6 * 64);
  CHECK(ParsedJsonBytes("\"text\"") == 0);
}

} // namespace
} // namespace mangovalve
