// How a team's rate and burst are divided over the failure domains.
//
// The division is a pure function of the document, so that owner and holder of
// a share need not send its size. Teams are gathered in groups; the share
// owner and the bucket holder are chosen per group, so that one renewal message
// between two hosts stands for every team of the groups in it.
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

// 16 groups keep the renewals of 360 hosts in 16 domains under 3 KB/s a host;
// docs/rates.md has the arithmetic. Hosts with another number would disagree
// about the roles.
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

// The inputs of the division in one or more consecutive revisions.
struct ShareTable
{
  std::uint64_t mRevision = 0; // the first revision with this table
  std::map<std::string, Share> mTeams;
  std::vector<std::string> mDomains; // ordered by name

  auto operator==(const ShareTable&) const -> bool = default;
};

auto MakeShareTable(const Document& aDocument) -> ShareTable;

// The share of a team in a domain. The burst is divided in whole tokens, since
// a domain on its own cannot admit with less than one; a fraction stays in one
// piece. A domain without burst gets no rate. The shares of all domains sum to
// the team's rate and burst.
auto ShareOf(const ShareTable& aTable,
             const std::string& aTeam,
             const std::string& aDomain) -> Share;

// Tables by revision, oldest first. Revisions that divide equally share one
// entry.
struct ShareHistory
{
  std::vector<std::shared_ptr<const ShareTable>> mTables; // kMaxTables at most
  std::uint64_t mRevision = 0;                            // the newest one
};

// A revision older than all of the kept ones counts as the oldest of them.
constexpr std::size_t kMaxTables = 256;

// Adds a newer revision; an older or equal one is ignored.
auto AddRevision(ShareHistory& aHistory, const Document& aDocument) -> void;

// What the holder of a domain's share may use.
//
// aOldest is the oldest revision that may still be in use in any domain and
// aNewest the newest one that the holder or the owner knows. When some domain
// shrinks in between, the result is the least share over all those revisions:
// a share grows only after every domain that shrinks has confirmed. Hence the
// shares in use sum at most to the rate and burst of one revision, whatever the
// revisions that hosts are at.
auto UsableShare(const ShareHistory& aHistory,
                 std::uint64_t aOldest,
                 std::uint64_t aNewest,
                 const std::string& aTeam,
                 const std::string& aDomain) -> Share;

} // namespace mangovalve
