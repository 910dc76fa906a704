// mangovalve: the operators' and callers' command line.
#include <algorithm>
#include <cstdio>
#include <optional>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/strip.h>
#include <gflags/gflags.h>

#include "cli/commands.h"
#include "cli/flags.h"
#include "cli/http.h"

DEFINE_string(address,
              "127.0.0.1:7002",
              "addresses of daemons, IP:port, separated by commas");
DEFINE_bool(json, false, "print JSON");
DEFINE_int32(timeout_s, 30, "time in which a command must end, in seconds");

namespace mangovalve::cli {
namespace {

constexpr const char* kUsage =
  R"(usage: mangovalve COMMAND [--address IP:port,...] [--json] [--timeout_s N]
  config check FILE
  config submit FILE --base REVISION [--submitter NAME] [--comment TEXT] [--id ID]
  config status
  config history [--limit N]
  config show [REVISION]
  config diff FROM [TO]
  config rollback REVISION [--submitter NAME] [--comment TEXT] [--id ID]
  key new
  job submit|status|results|cancel
exit codes: 0 ok, 1 refused or conflict, 2 bad usage or bad input,
  3 unreachable, 4 outcome unknown
)";

// Sets the flag at aArgs[aAt] and returns the number of arguments it takes;
// nothing when it is malformed. gflags' own parser would exit with code 1.
auto SetFlag(const std::vector<std::string>& aArgs, std::size_t aAt)
  -> std::optional<std::size_t>
{
  auto name = aArgs[aAt].substr(aArgs[aAt].find_first_not_of('-'));
  std::optional<std::string> value;
  if (const auto equals = name.find('='); equals != std::string::npos) {
    value = name.substr(equals + 1);
    name.resize(equals);
  }
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
    PrintError(absl::StrCat("unknown flag --", name));
    return std::nullopt;
  }
  std::size_t taken = 1;
  if (!value && info.type == "bool") {
    value = "true";
  } else if (!value && aAt + 1 < aArgs.size()) {
    value = aArgs[aAt + 1];
    taken = 2;
  }
  if (!value ||
      gflags::SetCommandLineOption(name.c_str(), value->c_str()).empty()) {
    PrintError(
      absl::StrCat("flag --", name, " needs a value of type ", info.type));
    return std::nullopt;
  }
  return taken;
}

// The arguments without flags; nothing when a flag is malformed.
auto TakeFlags(const std::vector<std::string>& aArgs)
  -> std::optional<std::vector<std::string>>
{
  std::vector<std::string> plain;
  for (std::size_t i = 0; i < aArgs.size();) {
    if (aArgs[i].size() > 2 && aArgs[i].substr(0, 2) == "--") {
      const auto taken = SetFlag(aArgs, i);
      if (!taken) {
        return std::nullopt;
      }
      i += *taken;
    } else {
      plain.push_back(aArgs[i++]);
    }
  }
  return plain;
}

auto Run(const std::vector<std::string>& aArgs) -> int
{
  auto args = TakeFlags(aArgs);
  if (!args) {
    return kExitUsage;
  }
  if (args->empty()) {
    std::fputs(kUsage, stderr);
    return kExitUsage;
  }
  const auto command = args->front();
  args->erase(args->begin());
  if (command == "config") {
    return RunConfig(*args);
  }
  if (command == "key") {
    return RunKey(*args);
  }
  if (command == "job") {
    return RunJob(*args);
  }
  if (command == "help") {
    std::fputs(kUsage, stdout);
    return kExitOk;
  }
  PrintError(absl::StrCat("unknown command \"", command, "\""));
  std::fputs(kUsage, stderr);
  return kExitUsage;
}

} // namespace
} // namespace mangovalve::cli

auto main(int argc, char** argv) -> int
{
  return mangovalve::cli::Run({ argv + 1, argv + argc });
}
