// The platform's lagging host list.
#include "standins/common/host_list.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace mangovalve::standins {

auto ChangeHost(HostList& aList, ListedHost aHost, TimePoint aNow) -> void
{
  aList.mPending.push_back({ aNow + aList.mLag, std::move(aHost) });
}

auto VisibleHosts(HostList& aList, TimePoint aNow) -> std::vector<ListedHost>
{
  while (!aList.mPending.empty() && aList.mPending.front().mVisibleAt <= aNow) {
    auto& host = aList.mPending.front().mHost;
    if (host.mState == "gone") {
      aList.mVisible.erase(host.mAddress);
    } else {
      aList.mVisible[host.mAddress] = host;
    }
    aList.mPending.pop_front();
  }
  std::vector<ListedHost> hosts;
  for (const auto& [address, host] : aList.mVisible) {
    hosts.push_back(host);
  }
  return hosts;
}

auto ParseHosts(const std::string& aJson)
  -> Result<std::vector<ListedHost>, std::string>
{
  const auto json = nlohmann::json::parse(aJson, nullptr, false);
  if (!json.is_object()) {
    return Err(std::string("not a JSON object"));
  }
  const auto one = nlohmann::json::array({ json });
  const auto& entries = json.contains("hosts") ? json["hosts"] : one;
  std::vector<ListedHost> hosts;
  try {
    for (const auto& entry : entries) {
      ListedHost host;
      host.mService = entry.at("service").get<std::string>();
      host.mAddress = entry.at("address").get<std::string>();
      host.mDomain = entry.at("domain").get<std::string>();
      host.mState = entry.value("state", "live");
      if (host.mState != "live" && host.mState != "leaving" &&
          host.mState != "gone") {
        return Err("state: unknown value \"" + host.mState + "\"");
      }
      hosts.push_back(std::move(host));
    }
  } catch (const nlohmann::json::exception& error) {
    return Err(std::string(error.what()));
  }
  return hosts;
}

auto RenderHosts(const std::vector<ListedHost>& aHosts) -> std::string
{
  auto entries = nlohmann::json::array();
  for (const auto& host : aHosts) {
    entries.push_back({ { "service", host.mService },
                        { "address", host.mAddress },
                        { "domain", host.mDomain },
                        { "state", host.mState } });
  }
  return nlohmann::json{ { "hosts", entries } }.dump();
}

} // namespace mangovalve::standins
