// Tests of the membership in the group that assigns the job partitions.
#include "mangovalve/batch/job_lease.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootTime kStart{ std::chrono::hours(1) };
constexpr auto kTimeToLive = seconds(2);

// A lease from an answer received at kStart.
auto Lease() -> JobLease
{
  JobLease lease;
  RenewLease(lease, 7, kStart + kTimeToLive, kStart);
  return lease;
}

TEST_CASE("a partition that comes back after a lapse was not held throughout")
{
  // Guards against an owner that keeps the state of a partition to which
  // another member has added jobs while this one was suspended.
  auto lease = Lease();
  const auto later = kStart + seconds(4);
  CHECK_FALSE(IsValid(lease, later));
  CHECK_FALSE(RenewLease(lease, 9, later + kTimeToLive, later));
  CHECK(IsValid(lease, later));
}

TEST_CASE("a call that is processed after the lapse does not prove a hold")
{
  // Guards against the time of sending being taken for the time at which the
  // store renewed the membership.
  auto lease = Lease();
  const auto sentAt = kStart + milliseconds(1900);
  const auto received = kStart + milliseconds(2500);
  CHECK_FALSE(RenewLease(lease, 9, sentAt + kTimeToLive, received));
}

TEST_CASE("partitions are held while the lease is renewed in time")
{
  // Guards against partitions that are confirmed again whenever another member
  // comes or goes.
  auto lease = Lease();
  const auto later = kStart + milliseconds(1900);
  CHECK(RenewLease(lease, 8, later + kTimeToLive, later));
}

TEST_CASE("a valid lease does not prove a hold across several assignments")
{
  // Guards against an owner that keeps the state of a partition which another
  // member got and lost again between two renewals.
  auto lease = Lease();
  const auto later = kStart + milliseconds(600);
  CHECK_FALSE(RenewLease(lease, 9, later + kTimeToLive, later));
  CHECK(RenewLease(lease, 9, later + kTimeToLive, later));
}

TEST_CASE("partitions are held if nothing was assigned since the lapse")
{
  // Guards against partitions that are loaded again after every outage of the
  // store.
  auto lease = Lease();
  const auto later = kStart + seconds(30);
  CHECK(RenewLease(lease, 7, later + kTimeToLive, later));
}

} // namespace
} // namespace mangovalve
