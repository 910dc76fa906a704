// The platform's list of live and leaving hosts.
#include "mangovalve/log_service/host_list.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "mangovalve/log_service/http_client.h"

namespace mangovalve {
namespace {

using Json = nlohmann::json;

auto ParseHosts(const std::string& aBody)
  -> Result<std::vector<ListedHost>, PlatformError>
{
  try {
    const auto json = Json::parse(aBody);
    std::vector<ListedHost> hosts;
    for (const auto& each : json.at("hosts")) {
      hosts.push_back({ each.at("service"),
                        each.at("address"),
                        each.at("domain"),
                        each.at("state") == "leaving" });
    }
    return hosts;
  } catch (const Json::exception& e) {
    return Err(PlatformError{ PlatformError::Kind::Malformed,
                              absl::StrCat("host list: ", e.what()) });
  }
}

} // namespace

auto HttpHostListPort(const std::string& aAddress) -> HostListPort
{
  const auto pool = std::make_shared<HttpClientPool>(aAddress);
  return { [pool](TimePoint aDeadline) {
    return pool->Fetch("/v1/hosts", aDeadline).and_then(ParseHosts);
  } };
}

} // namespace mangovalve
