// Renewal of the membership in the group that assigns the job partitions.
#include "mangovalve/batch/job_lease.h"

namespace mangovalve {

auto IsValid(const JobLease& aLease, BootTime aNow) -> bool
{
  return aNow < aLease.mValidUntil;
}

auto RenewLease(JobLease& aLease,
                std::uint64_t aGeneration,
                BootTime aValidUntil,
                BootTime aNow) -> bool
{
  // The generation increases with every assignment. A partition that is listed
  // before and after a single assignment was held throughout, unless the
  // membership may have lapsed. The store may have processed the call at any
  // time up to aNow.
  const auto unchanged = aGeneration == aLease.mGeneration;
  const auto single = aGeneration == aLease.mGeneration + 1;
  const auto held = unchanged || (single && IsValid(aLease, aNow));
  aLease.mGeneration = aGeneration;
  aLease.mValidUntil = aValidUntil;
  return held;
}

} // namespace mangovalve
