// Replayed membership: joins, fences and removals of hosts.
//
// A host is registered from its join until its removal. A fenced host stays in
// the member list, so that a short absence does not change the set of
// registered hosts.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mangovalve/base/result.h"
#include "mangovalve/replay/record_context.h"
#include "mangovalve/replay/records_generated.h"

namespace mangovalve {

struct Member
{
  std::string mHost;
  std::string mDomain;
  std::string mRegion;
  std::string mPeerAddress;     // IP:port
  std::string mOperatorAddress; // IP:port
  Id128 mProcess;               // random id of the process that joined
  Offset mIncarnation = 0;      // offset of the join
  LogTime mJoinedAt{};
  Offset mFence = 0; // offset of the fence; 0: not fenced
  LogTime mFencedAt{};

  auto operator==(const Member&) const -> bool = default;
};

// Offsets of the last two accepted records that changed a domain's members.
// With the previous one a host detects whether it has seen every change.
struct DomainChange
{
  Offset mLastChange = 0;
  Offset mPreviousChange = 0;

  auto operator==(const DomainChange&) const -> bool = default;
};

struct MemberState
{
  std::map<std::string, Member> mMembers; // by host name
  std::map<std::string, DomainChange> mDomainChanges;

  auto operator==(const MemberState&) const -> bool = default;
};

// A fenced host rejoins with another join record. A second join of a process
// that is not fenced is void.
auto Apply(MemberState& aState,
           const RecordContext& aContext,
           const record::HostJoined& aRecord) -> Verdict;
// Void if the incarnation is not the host's current one, if it is already
// fenced, or if the proposer is fenced.
auto Apply(MemberState& aState,
           const RecordContext& aContext,
           const record::HostFenced& aRecord) -> Verdict;
// Void unless the incarnation is the host's current one and has been fenced for
// kRemovalDelay of log time.
auto Apply(MemberState& aState,
           const RecordContext& aContext,
           const record::HostRemoved& aRecord) -> Verdict;

// Time after its fence when a host may be removed. Longer than
// kMaxWithoutLogContact of membership/failure_detector.h, after which a host
// without log contact has certainly stopped using its roles.
constexpr std::chrono::milliseconds kRemovalDelay{ 3600000 };

// The member with this name, or nullptr.
auto FindMember(const MemberState& aState, const std::string& aHost)
  -> const Member*;

// Registered hosts of a domain, fenced ones included, ordered by name.
auto DomainMembers(const MemberState& aState, std::string_view aDomain)
  -> std::vector<const Member*>;

// Registered hosts of all domains, fenced ones included. They share the
// platform's append budget.
auto RegisteredCount(const MemberState& aState) -> std::size_t;

// Registered and unfenced hosts, ordered by name.
auto ActiveInDomain(const MemberState& aState, std::string_view aDomain)
  -> std::vector<std::string>;
auto ActiveInRegion(const MemberState& aState, std::string_view aRegion)
  -> std::vector<std::string>;

// Serializes the state for a snapshot.
auto Save(const MemberState& aState) -> std::string;

// Restores a saved state; the error names what is malformed.
auto Load(std::string_view aData, MemberState& aState)
  -> Result<void, std::string>;

} // namespace mangovalve
