// Commands of the program mangovalve. Each takes the arguments after its own
// name, flags removed, and returns the program's exit code.
#pragma once

#include <string>
#include <vector>

namespace mangovalve::cli {

// Exit codes of the program.
constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;     // refused or conflict
constexpr int kExitUsage = 2;       // bad usage or bad input
constexpr int kExitUnreachable = 3; // no host accepted it; nothing took effect
constexpr int kExitUnknown = 4;     // outcome unknown: resend with the same id

auto RunConfig(const std::vector<std::string>& aArgs) -> int;
auto RunKey(const std::vector<std::string>& aArgs) -> int;
auto RunJob(const std::vector<std::string>& aArgs) -> int;

} // namespace mangovalve::cli
