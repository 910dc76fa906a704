// Tests of this host's share of the free slots of a failure domain.
#include "mangovalve/routing/slot_share.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

const auto kNow = TimePoint(std::chrono::hours(1));

TEST_CASE("hosts with equal reports together take the slots that are free")
{
  // In a burst, all hosts saw the same free slots and each one took all of
  // them, so twice as many requests as slots waited at the endpoints.
  constexpr int kHosts = 60;
  constexpr int kRounds = 400;
  constexpr double kFree = 25;
  constexpr double kArrivals = 25; // per second and host
  Random random;
  random.mState = 7;
  auto taken = 0;
  for (auto round = 0; round < kRounds; ++round) {
    for (auto host = 0; host < kHosts; ++host) {
      SlotShare share;
      RenewShare(share,
                 kFree,
                 { kArrivals, (kHosts - 1) * kArrivals, milliseconds(300) },
                 kNow,
                 random);
      for (auto request = 0; request < 10 && MayTakeSlot(share); ++request) {
        TakeSlot(share);
        ++taken;
      }
    }
  }
  const auto mean = static_cast<double>(taken) / kRounds;
  CHECK(mean > 0.9 * kFree);
  CHECK(mean < 1.1 * kFree);
}

TEST_CASE("a host takes any number while there are plenty of slots")
{
  // A small share must not send requests to other domains on a calm day.
  Random random;
  SlotShare share;
  RenewShare(share, 150, { 2, 60, milliseconds(80) }, kNow, random);
  CHECK(share.mSlots == 150);
  RenewShare(share, 150, { 2, 6000, milliseconds(80) }, kNow, random);
  CHECK(share.mSlots < 2);
}

TEST_CASE("a slot that this host frees is its own")
{
  Random random;
  SlotShare share;
  RenewShare(share, 0, { 10, 10, milliseconds(80) }, kNow, random);
  CHECK_FALSE(MayTakeSlot(share));
  ReturnSlot(share);
  CHECK(MayTakeSlot(share));
  TakeSlot(share);
  CHECK_FALSE(MayTakeSlot(share));
}

} // namespace
} // namespace mangovalve
