// Builds the rate limiter's view of the fleet.
#include "mangovalve/limits/view.h"

#include <set>

#include "mangovalve/membership/rendezvous.h"

namespace mangovalve {
namespace {

auto OwnerRole(std::uint8_t aGroup) -> std::string
{
  return "share/" + std::to_string(aGroup);
}

auto HolderRole(std::uint8_t aGroup) -> std::string
{
  return "holder/" + std::to_string(aGroup);
}

} // namespace

auto OwnerRoles(const MemberState& aMembers,
                const std::string& aHost,
                const std::string& aDomain) -> std::vector<std::string>
{
  const auto hosts = ActiveInDomain(aMembers, aDomain);
  std::vector<std::string> roles;
  for (std::uint8_t group = 0; group < kGroups; ++group) {
    if (RendezvousOwner(OwnerRole(group), hosts) == aHost) {
      roles.push_back(OwnerRole(group));
    }
  }
  return roles;
}

auto OwnedGroups(const RoleUse& aUse) -> GroupSet
{
  GroupSet owned = 0;
  for (std::uint8_t group = 0; group < kGroups; ++group) {
    const auto used = aUse.mUsed.find(OwnerRole(group));
    if (used != aUse.mUsed.end() && used->second) {
      owned = WithGroup(owned, group);
    }
  }
  return owned;
}

auto BuildView(const std::string& aHost,
               const std::string& aDomain,
               const std::string& aRegion,
               const MemberState& aMembers,
               const ShareHistory& aHistory) -> LimitView
{
  LimitView view;
  view.mHost = aHost;
  view.mDomain = aDomain;
  view.mHistory = aHistory;
  std::set<std::string> registered;
  std::set<std::string> regional;
  for (const auto& [name, member] : aMembers.mMembers) {
    registered.insert(member.mDomain);
    if (member.mRegion == aRegion) {
      regional.insert(member.mDomain);
    }
  }
  if (!aHistory.mTables.empty()) {
    for (const auto& domain : aHistory.mTables.back()->mDomains) {
      // The share of a domain without registered hosts is not in use.
      if (registered.contains(domain)) {
        view.mConfirmingDomains.push_back(domain);
      }
    }
  }
  const auto candidates = ActiveInRegion(aMembers, aRegion);
  for (std::uint8_t group = 0; group < kGroups; ++group) {
    view.mHolderCandidates.at(group) =
      RendezvousOrder(HolderRole(group), candidates);
    for (const auto& domain : regional) {
      view.mShareOwners[domain].at(group) =
        RendezvousOwner(OwnerRole(group), ActiveInDomain(aMembers, domain));
    }
  }
  return view;
}

} // namespace mangovalve
