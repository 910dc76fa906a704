// Serializes refusals as JSON.
#include "mangovalve/online/refusal.h"

#include <nlohmann/json.hpp>

namespace mangovalve {

auto ExecutionStateName(ExecutionState aRun) -> const char*
{
  switch (aRun) {
    case ExecutionState::NotRun:
      return "not_run";
    case ExecutionState::Unknown:
      return "unknown";
    case ExecutionState::Ran:
      return "run";
  }
  return "unknown";
}

auto ToJson(const Refusal& aRefusal) -> std::string
{
  const nlohmann::json body{
    { "error",
      { { "reason", aRefusal.mReason },
        { "message", aRefusal.mMessage },
        { "run", ExecutionStateName(aRefusal.mExecution) },
        { "retry_after_ms", aRefusal.mRetryAfter.count() } } }
  };
  // Replaces bytes that are not UTF-8; by default they make dump() throw.
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace mangovalve
