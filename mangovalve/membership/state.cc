// Replayed membership: joins, fences and removals of hosts.
#include "mangovalve/membership/state.h"

#include <nlohmann/json.hpp>

namespace mangovalve {
namespace {

auto ToString(const flatbuffers::String* aText) -> std::string
{
  return aText == nullptr ? std::string() : aText->str();
}

// The member with this name, or nullptr unless aIncarnation is its current one.
auto FindIncarnation(MemberState& aState,
                     const std::string& aHost,
                     Offset aIncarnation) -> Member*
{
  const auto found = aState.mMembers.find(aHost);
  return found != aState.mMembers.end() &&
             found->second.mIncarnation == aIncarnation
           ? &found->second
           : nullptr;
}

template<typename Condition>
auto ActiveNames(const MemberState& aState, Condition aCondition)
  -> std::vector<std::string>
{
  std::vector<std::string> names;
  for (const auto& [name, member] : aState.mMembers) {
    if (member.mFence == 0 && aCondition(member)) {
      names.push_back(name);
    }
  }
  return names;
}

auto RecordDomainChange(MemberState& aState,
                        const std::string& aDomain,
                        Offset aOffset) -> void
{
  auto& change = aState.mDomainChanges[aDomain];
  change = { aOffset, change.mLastChange };
}

auto ToJson(const Member& aMember) -> nlohmann::json
{
  return { { "host", aMember.mHost },
           { "domain", aMember.mDomain },
           { "region", aMember.mRegion },
           { "peer", aMember.mPeerAddress },
           { "operator", aMember.mOperatorAddress },
           { "process_high", aMember.mProcess.mHigh },
           { "process_low", aMember.mProcess.mLow },
           { "incarnation", aMember.mIncarnation },
           { "joined_ms", aMember.mJoinedAt.time_since_epoch().count() },
           { "fence", aMember.mFence },
           { "fenced_ms", aMember.mFencedAt.time_since_epoch().count() } };
}

auto FromJson(const nlohmann::json& aJson) -> Member
{
  Member member;
  aJson.at("host").get_to(member.mHost);
  aJson.at("domain").get_to(member.mDomain);
  aJson.at("region").get_to(member.mRegion);
  aJson.at("peer").get_to(member.mPeerAddress);
  aJson.at("operator").get_to(member.mOperatorAddress);
  aJson.at("process_high").get_to(member.mProcess.mHigh);
  aJson.at("process_low").get_to(member.mProcess.mLow);
  aJson.at("incarnation").get_to(member.mIncarnation);
  aJson.at("fence").get_to(member.mFence);
  const auto time = [&](const char* aName) {
    return LogTime(
      std::chrono::milliseconds(aJson.at(aName).get<std::int64_t>()));
  };
  member.mJoinedAt = time("joined_ms");
  member.mFencedAt = time("fenced_ms");
  return member;
}

} // namespace

auto Apply(MemberState& aState,
           const RecordContext& aContext,
           const record::HostJoined& aRecord) -> Verdict
{
  Member member;
  member.mHost = ToString(aRecord.host());
  member.mDomain = ToString(aRecord.domain());
  if (member.mHost.empty() || member.mDomain.empty()) {
    return Rejected("malformed");
  }
  member.mRegion = ToString(aRecord.region());
  member.mPeerAddress = ToString(aRecord.peer_address());
  member.mOperatorAddress = ToString(aRecord.operator_address());
  if (aRecord.process() != nullptr) {
    member.mProcess = { aRecord.process()->high(), aRecord.process()->low() };
  }
  member.mIncarnation = aContext.mOffset;
  member.mJoinedAt = aContext.mTime;
  const auto* const known = FindMember(aState, member.mHost);
  if (known != nullptr) {
    if (known->mProcess == member.mProcess && known->mFence == 0) {
      return Rejected("already_joined", known->mIncarnation);
    }
    if (known->mDomain != member.mDomain) {
      RecordDomainChange(aState, known->mDomain, aContext.mOffset);
    }
  }
  RecordDomainChange(aState, member.mDomain, aContext.mOffset);
  aState.mMembers[member.mHost] = member;
  return Accepted(member.mIncarnation);
}

auto Apply(MemberState& aState,
           const RecordContext& aContext,
           const record::HostFenced& aRecord) -> Verdict
{
  auto* const member =
    FindIncarnation(aState, ToString(aRecord.host()), aRecord.incarnation());
  if (member == nullptr) {
    return Rejected("stale_incarnation");
  }
  if (member->mFence != 0) {
    return Rejected("already_fenced", member->mFence);
  }
  const auto* const proposer = FindMember(aState, ToString(aRecord.proposer()));
  if (proposer != nullptr && proposer->mFence != 0) {
    return Rejected("proposer_fenced", proposer->mFence);
  }
  member->mFence = aContext.mOffset;
  member->mFencedAt = aContext.mTime;
  RecordDomainChange(aState, member->mDomain, aContext.mOffset);
  return Accepted(member->mIncarnation);
}

auto Apply(MemberState& aState,
           const RecordContext& aContext,
           const record::HostRemoved& aRecord) -> Verdict
{
  auto* const member =
    FindIncarnation(aState, ToString(aRecord.host()), aRecord.incarnation());
  if (member == nullptr) {
    return Rejected("stale_incarnation");
  }
  if (member->mFence == 0 ||
      aContext.mTime - member->mFencedAt < kRemovalDelay) {
    return Rejected("not_fenced_long_enough");
  }
  RecordDomainChange(aState, member->mDomain, aContext.mOffset);
  aState.mMembers.erase(member->mHost);
  return Accepted(aRecord.incarnation());
}

auto FindMember(const MemberState& aState, const std::string& aHost)
  -> const Member*
{
  const auto found = aState.mMembers.find(aHost);
  return found == aState.mMembers.end() ? nullptr : &found->second;
}

auto DomainMembers(const MemberState& aState, std::string_view aDomain)
  -> std::vector<const Member*>
{
  std::vector<const Member*> members;
  for (const auto& [name, member] : aState.mMembers) {
    if (member.mDomain == aDomain) {
      members.push_back(&member);
    }
  }
  return members;
}

auto RegisteredCount(const MemberState& aState) -> std::size_t
{
  return aState.mMembers.size();
}

auto ActiveInDomain(const MemberState& aState, std::string_view aDomain)
  -> std::vector<std::string>
{
  return ActiveNames(
    aState, [&](const Member& aMember) { return aMember.mDomain == aDomain; });
}

auto ActiveInRegion(const MemberState& aState, std::string_view aRegion)
  -> std::vector<std::string>
{
  return ActiveNames(
    aState, [&](const Member& aMember) { return aMember.mRegion == aRegion; });
}

auto Save(const MemberState& aState) -> std::string
{
  auto members = nlohmann::json::array();
  for (const auto& [name, member] : aState.mMembers) {
    members.push_back(ToJson(member));
  }
  auto changes = nlohmann::json::object();
  for (const auto& [domain, change] : aState.mDomainChanges) {
    changes[domain] = { change.mLastChange, change.mPreviousChange };
  }
  return nlohmann::json{
    { "members", members }, { "changes", changes }
  }.dump();
}

auto Load(std::string_view aData, MemberState& aState)
  -> Result<void, std::string>
{
  MemberState loaded;
  if (!aData.empty()) {
    try {
      const auto json = nlohmann::json::parse(aData);
      for (const auto& entry : json.at("members")) {
        auto member = FromJson(entry);
        auto name = member.mHost;
        loaded.mMembers.emplace(std::move(name), std::move(member));
      }
      for (const auto& [domain, change] : json.at("changes").items()) {
        loaded.mDomainChanges[domain] = { change.at(0).get<Offset>(),
                                          change.at(1).get<Offset>() };
      }
    } catch (const nlohmann::json::exception& error) {
      return Err(std::string("members: ") + error.what());
    }
  }
  aState = std::move(loaded);
  return {};
}

} // namespace mangovalve
