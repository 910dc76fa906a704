// Queries of all hosts' positions over HTTP at their operator addresses.
#include "mangovalve/host/confirmations.h"

#include <atomic>
#include <memory>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "mangovalve/base/thread.h"
#include "mangovalve/host/settings.h"

namespace mangovalve {
namespace {

constexpr std::chrono::milliseconds kConfirmationTimeout{ 500 };
constexpr std::size_t kQueryThreads = 16;

auto QueryPosition(const std::string& aAddress) -> std::optional<Offset>
{
  const auto address = ParseAddress(aAddress);
  if (!address) {
    return std::nullopt;
  }
  httplib::Client client(address->mIp, address->mPort);
  client.set_connection_timeout(kConfirmationTimeout);
  client.set_read_timeout(kConfirmationTimeout);
  const auto answer = client.Get(kPositionPath);
  if (!answer || answer->status != 200) {
    return std::nullopt;
  }
  const auto json = nlohmann::json::parse(answer->body, nullptr, false);
  if (!json.is_object() || !json.contains("next") ||
      !json["next"].is_number_unsigned()) {
    return std::nullopt;
  }
  return json["next"].get<Offset>();
}

} // namespace

auto QueryConfirmations(const MemberState& aMembers,
                        const std::string& aSelf,
                        Offset aOwnNext) -> std::vector<HostConfirmation>
{
  std::vector<HostConfirmation> confirmations;
  std::vector<std::string> addresses;
  for (const auto& [name, member] : aMembers.mMembers) {
    confirmations.push_back({ name, member.mDomain, std::nullopt, {} });
    addresses.push_back(member.mOperatorAddress);
  }
  // Each thread takes the next host that has not been queried yet.
  std::atomic<std::size_t> next{ 0 };
  std::vector<Thread> threads;
  const auto count = std::min(kQueryThreads, confirmations.size());
  for (std::size_t i = 0; i < count; ++i) {
    threads.emplace_back("confirmations", [&] {
      for (auto at = next++; at < confirmations.size(); at = next++) {
        auto& each = confirmations[at];
        each.mApplied =
          each.mHost == aSelf ? aOwnNext : QueryPosition(addresses[at]);
      }
    });
  }
  threads.clear(); // joins
  return confirmations;
}

} // namespace mangovalve
