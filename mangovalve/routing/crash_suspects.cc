// Attribution of endpoint crashes to parts of prompts.
#include "mangovalve/routing/crash_suspects.h"

namespace mangovalve {

auto RecordCrash(CrashSuspects& /*aSuspects*/,
                 CrashedRun /*aRun*/,
                 const SuspectPolicy& /*aPolicy*/,
                 TimePoint /*aNow*/) -> std::vector<Quarantine>
{
  return {};
}

auto RecordStart(CrashSuspects& /*aSuspects*/,
                 std::span<const PartHash> /*aParts*/,
                 TimePoint /*aAt*/) -> void
{
}

auto AdoptQuarantine(CrashSuspects& /*aSuspects*/,
                     Quarantine /*aQuarantine*/,
                     const SuspectPolicy& /*aPolicy*/,
                     TimePoint /*aNow*/) -> bool
{
  return false;
}

auto IsQuarantined(const CrashSuspects& /*aSuspects*/,
                   std::span<const PartHash> /*aParts*/,
                   TimePoint /*aNow*/) -> bool
{
  return false;
}

auto IsSuspected(const CrashSuspects& /*aSuspects*/,
                 std::span<const PartHash> /*aParts*/,
                 const SuspectPolicy& /*aPolicy*/,
                 TimePoint /*aNow*/) -> bool
{
  return false;
}

auto ForgetExpired(CrashSuspects& /*aSuspects*/,
                   const SuspectPolicy& /*aPolicy*/,
                   TimePoint /*aNow*/) -> void
{
}

} // namespace mangovalve
