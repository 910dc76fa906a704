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
  // The store may have processed the call at any time up to aNow. The
  // generation changes with every assignment, so an equal one proves that there
  // was none.
  const auto held = IsValid(aLease, aNow) || aGeneration == aLease.mGeneration;
  aLease.mGeneration = aGeneration;
  aLease.mValidUntil = aValidUntil;
  return held;
}

} // namespace mangovalve
