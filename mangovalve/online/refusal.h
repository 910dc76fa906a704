// Refusals and errors that callers get, as JSON:
// {"error":{"reason","message","run","retry_after_ms"}}.
#pragma once

#include <chrono>
#include <string>

namespace mangovalve {

// Whether the request has run at an endpoint.
enum class ExecutionState
{
  NotRun,  // no byte of it reached an endpoint, and none will
  Unknown, // it may have run, or may still run
  Ran,     // it ran, but its answer could not be passed on
};

struct Refusal
{
  int mStatus = 500;
  std::string mReason; // stable word, see docs/API.md
  std::string mMessage;
  ExecutionState mExecution = ExecutionState::NotRun;
  std::chrono::milliseconds mRetryAfter{ 0 }; // 0: no advice
};

auto ExecutionStateName(ExecutionState aRun) -> const char*;

// The refusal's JSON body.
auto ToJson(const Refusal& aRefusal) -> std::string;

} // namespace mangovalve
