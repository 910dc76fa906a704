// Membership of this daemon in the group that assigns the job partitions, as
// far as the daemon can tell from the store's answers.
//
// The store assigns the partitions of a member anew once it has heard nothing
// of it for its time to live, and at times without any request. A daemon does
// not see each assignment: it may get a partition back without having learned
// that another member held it in between.
#pragma once

#include <cstdint>

#include "mangovalve/base/time.h"

namespace mangovalve {

struct JobLease
{
  std::uint64_t mGeneration = 0; // of the last answer
  // The store keeps the membership at least until then. On a clock that also
  // counts the time for which the host is suspended.
  BootTime mValidUntil{};
};

auto IsValid(const JobLease& aLease, BootTime aNow) -> bool;

// Renews the lease with an answer that was received at aNow. Returns whether
// the partitions that both this answer and the last one list were held all the
// time in between; if not, another member may have held and changed them. A
// valid lease does not rule that out.
auto RenewLease(JobLease& aLease,
                std::uint64_t aGeneration,
                BootTime aValidUntil,
                BootTime aNow) -> bool;

} // namespace mangovalve
