// Refusals and errors as they are returned to callers, as JSON:
// {"error":{"reason","message","run","retry_after_ms"}}.
#pragma once

#include <chrono>
#include <string>

namespace mangovalve {

// Whether the request was executed at an endpoint.
enum class ExecutionState
{
  NotRun,  // no byte of it reached an endpoint, and none will
  Unknown, // it may have run, or may still run
  Ran,     // it ran, but its answer cannot be returned
};

struct Refusal
{
  int mStatus = 500;
  std::string mReason; // stable identifier, see docs/API.md
  std::string mMessage;
  ExecutionState mExecution = ExecutionState::NotRun;
  std::chrono::milliseconds mRetryAfter{ 0 }; // 0: none given
};

// Value of the field "run".
auto ExecutionStateName(ExecutionState aRun) -> const char*;

// The refusal's JSON body.
auto ToJson(const Refusal& aRefusal) -> std::string;

} // namespace mangovalve
