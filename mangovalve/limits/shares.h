// Division of a team's rate and burst over the failure domains.
//
// The division is a pure function of the document, so that messages between the
// owner and the holder of a share need not contain its size. Teams are hashed
// to groups; the share owner and the bucket holder are chosen per group, so
// that one renewal message between two hosts covers all teams of its groups.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "mangovalve/base/id.h"
#include "mangovalve/config/document.h"

namespace mangovalve {

// With 16 groups, lease renewals of 360 hosts in 16 domains take less than 3
// KB/s per host; docs/rates.md has the arithmetic. All hosts must use the same
// number, or they would assign the roles differently.
constexpr std::uint8_t kGroups = 16;

inline auto GroupOf(std::string_view aTeam) -> std::uint8_t
{
  return static_cast<std::uint8_t>(StableHash(aTeam) % kGroups);
}

struct Share
{
  double mRate = 0;  // tokens per second
  double mBurst = 0; // tokens

  auto operator==(const Share&) const -> bool = default;
};

// The inputs of the division, equal in one or more consecutive revisions.
struct ShareTable
{
  std::uint64_t mRevision = 0; // the first revision with this table
  std::map<std::string, Share> mTeams;
  std::vector<std::string> mDomains; // ordered by name

  auto operator==(const ShareTable&) const -> bool = default;
};

auto MakeShareTable(const Document& aDocument) -> ShareTable;

// The share of a team in a domain. The burst is divided into whole tokens,
// since a domain on its own cannot admit a request with less than one; a
// fraction goes to a single domain. A domain without burst has no rate. The
// shares of all domains sum to the team's rate and burst.
auto ShareOf(const ShareTable& aTable,
             const std::string& aTeam,
             const std::string& aDomain) -> Share;

// Tables by revision, oldest first. Consecutive revisions with equal inputs
// share one table.
struct ShareHistory
{
  std::vector<std::shared_ptr<const ShareTable>> mTables; // kMaxTables at most
  std::uint64_t mRevision = 0;                            // the newest one
};

// Limit of ShareHistory::mTables. A revision older than all of them uses the
// oldest one.
constexpr std::size_t kMaxTables = 256;

// Adds a newer revision; an older or equal one is ignored.
auto AddRevision(ShareHistory& aHistory, const Document& aDocument) -> void;

// The rate and burst that the holder of a domain's share may use.
//
// aOldest is the oldest revision that may still be in use in any domain and
// aNewest the newest one that the holder or the owner knows. If the share of
// any domain shrinks between them, the result is the smallest share over all
// those revisions: a share grows only after every domain whose share shrinks
// has confirmed the revision. Hence the shares in use never sum to more than
// the rate and burst of a single revision, whichever revisions the hosts use.
auto UsableShare(const ShareHistory& aHistory,
                 std::uint64_t aOldest,
                 std::uint64_t aNewest,
                 const std::string& aTeam,
                 const std::string& aDomain) -> Share;

} // namespace mangovalve
