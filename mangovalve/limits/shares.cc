// Division of a team's rate and burst over the failure domains.
#include "mangovalve/limits/shares.h"

#include <algorithm>
#include <cmath>

namespace mangovalve {
namespace {

using Tables = std::vector<std::shared_ptr<const ShareTable>>;

// True if the team's share is smaller in aAfter for any domain of aBefore.
auto Shrinks(const ShareTable& aBefore,
             const ShareTable& aAfter,
             const std::string& aTeam) -> bool
{
  return std::any_of(
    aBefore.mDomains.begin(), aBefore.mDomains.end(), [&](const auto& aDomain) {
      const auto before = ShareOf(aBefore, aTeam, aDomain);
      const auto after = ShareOf(aAfter, aTeam, aDomain);
      return after.mRate < before.mRate || after.mBurst < before.mBurst;
    });
}

// Index of the table that is active at a revision; 0 for older revisions.
auto TableIndexAt(const Tables& aTables, std::uint64_t aRevision) -> std::size_t
{
  auto index = aTables.size() - 1;
  while (index > 0 && aTables[index]->mRevision > aRevision) {
    --index;
  }
  return index;
}

} // namespace

auto MakeShareTable(const Document& aDocument) -> ShareTable
{
  ShareTable table;
  table.mRevision = aDocument.mRevision;
  for (const auto& [name, team] : aDocument.mTeams) {
    table.mTeams[name] = { team.mRate, team.mBurst };
  }
  for (const auto& [name, domain] : aDocument.mDomains) {
    table.mDomains.push_back(name);
  }
  return table;
}

auto ShareOf(const ShareTable& aTable,
             const std::string& aTeam,
             const std::string& aDomain) -> Share
{
  const auto team = aTable.mTeams.find(aTeam);
  const auto& domains = aTable.mDomains;
  const auto found = std::find(domains.begin(), domains.end(), aDomain);
  if (team == aTable.mTeams.end() || found == domains.end()) {
    return {};
  }
  const auto count = domains.size();
  // The hash assigns the remainders of different teams to different domains.
  const auto rank =
    (static_cast<std::size_t>(found - domains.begin()) + StableHash(aTeam)) %
    count;
  const auto whole = static_cast<std::size_t>(team->second.mBurst);
  const auto fraction = team->second.mBurst - static_cast<double>(whole);
  const std::size_t tokens = whole / count + (rank < whole % count ? 1 : 0);
  auto burst = static_cast<double>(tokens);
  burst += rank == 0 ? fraction : 0;
  const auto sharing = std::max<std::size_t>(std::min(count, whole), 1);
  const auto rate =
    rank < sharing ? team->second.mRate / static_cast<double>(sharing) : 0;
  return { rate, burst };
}

auto AddRevision(ShareHistory& aHistory, const Document& aDocument) -> void
{
  if (aDocument.mRevision <= aHistory.mRevision) {
    return;
  }
  aHistory.mRevision = aDocument.mRevision;
  auto table = MakeShareTable(aDocument);
  auto& tables = aHistory.mTables;
  if (!tables.empty() && tables.back()->mTeams == table.mTeams &&
      tables.back()->mDomains == table.mDomains) {
    return;
  }
  tables.push_back(std::make_shared<const ShareTable>(std::move(table)));
  if (tables.size() > kMaxTables) {
    tables.erase(tables.begin());
  }
}

auto UsableShare(const ShareHistory& aHistory,
                 std::uint64_t aOldest,
                 std::uint64_t aNewest,
                 const std::string& aTeam,
                 const std::string& aDomain) -> Share
{
  const auto& tables = aHistory.mTables;
  if (tables.empty()) {
    return {};
  }
  const auto last = TableIndexAt(tables, aNewest);
  auto usable = ShareOf(*tables[last], aTeam, aDomain);
  auto least = usable;
  auto shrinks = false;
  for (auto index = TableIndexAt(tables, aOldest); index < last; ++index) {
    const auto share = ShareOf(*tables[index], aTeam, aDomain);
    least.mRate = std::min(least.mRate, share.mRate);
    least.mBurst = std::min(least.mBurst, share.mBurst);
    shrinks = shrinks || Shrinks(*tables[index], *tables[index + 1], aTeam);
  }
  return shrinks ? least : usable;
}

} // namespace mangovalve
