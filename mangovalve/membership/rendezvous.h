// Rendezvous hashing: assigns roles to hosts so that the failure of one host
// reassigns only that host's roles.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "mangovalve/base/id.h"

namespace mangovalve {

inline auto RendezvousScore(std::string_view aRole, std::string_view aHost)
  -> std::uint64_t
{
  return StableHash(aHost, StableHash(aRole));
}

// The hosts, most preferred first. All hosts have the same weight.
inline auto RendezvousOrder(std::string_view aRole,
                            std::vector<std::string> aHosts)
  -> std::vector<std::string>
{
  std::sort(
    aHosts.begin(), aHosts.end(), [&](const auto& aLeft, const auto& aRight) {
      const auto left = RendezvousScore(aRole, aLeft);
      const auto right = RendezvousScore(aRole, aRight);
      return left != right ? left > right : aLeft < aRight;
    });
  return aHosts;
}

// The most preferred host, or an empty string without hosts.
inline auto RendezvousOwner(std::string_view aRole,
                            const std::vector<std::string>& aHosts)
  -> std::string
{
  const auto best = std::max_element(
    aHosts.begin(), aHosts.end(), [&](const auto& aLeft, const auto& aRight) {
      const auto left = RendezvousScore(aRole, aLeft);
      const auto right = RendezvousScore(aRole, aRight);
      return left != right ? left < right : aLeft > aRight;
    });
  return best == aHosts.end() ? std::string() : *best;
}

} // namespace mangovalve
