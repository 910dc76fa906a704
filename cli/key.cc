// mangovalve key new
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include "cli/commands.h"
#include "cli/flags.h"
#include "cli/http.h"
#include "mangovalve/keys/keys.h"

namespace mangovalve::cli {

auto RunKey(const std::vector<std::string>& aArgs) -> int
{
  if (aArgs.size() != 1 || aArgs[0] != "new") {
    PrintError("usage: mangovalve key new");
    return kExitUsage;
  }
  const auto key = NewKey();
  const auto digest = KeyDigest(key);
  if (FLAGS_json) {
    const nlohmann::json json{ { "key", key }, { "digest", digest } };
    absl::PrintF("%s\n", json.dump());
  } else {
    absl::PrintF("key    %s\ndigest %s\n", key, digest);
  }
  return kExitOk;
}

} // namespace mangovalve::cli
