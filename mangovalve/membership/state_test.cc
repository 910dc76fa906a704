// Tests of replayed membership and of rendezvous hashing.
#include "mangovalve/membership/state.h"

#include <doctest/doctest.h>

#include "mangovalve/membership/rendezvous.h"

namespace mangovalve {
namespace {

struct Log
{
  MemberState mState;
  Offset mNext = 10;
  LogTime mTime{ std::chrono::milliseconds(1000) };

  auto Join(const std::string& aHost,
            const std::string& aDomain,
            std::uint64_t aProcess) -> Verdict
  {
    flatbuffers::FlatBufferBuilder builder;
    const record::RecordId process(0, aProcess);
    builder.Finish(record::CreateHostJoinedDirect(
      builder, aHost.c_str(), aDomain.c_str(), "r", "", "", &process));
    return Apply(
      mState,
      { mNext++, 0, mTime },
      *flatbuffers::GetRoot<record::HostJoined>(builder.GetBufferPointer()));
  }
  auto Fence(const std::string& aHost, Offset aIncarnation) -> Verdict
  {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(record::CreateHostFencedDirect(
      builder, aHost.c_str(), aIncarnation, "p"));
    return Apply(
      mState,
      { mNext++, 0, mTime },
      *flatbuffers::GetRoot<record::HostFenced>(builder.GetBufferPointer()));
  }
  auto Remove(const std::string& aHost, Offset aIncarnation) -> Verdict
  {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(record::CreateHostRemovedDirect(
      builder, aHost.c_str(), aIncarnation, "p"));
    return Apply(
      mState,
      { mNext++, 0, mTime },
      *flatbuffers::GetRoot<record::HostRemoved>(builder.GetBufferPointer()));
  }
};

// Guards against hosts that divide the append budget only by the hosts of their
// own failure domain, so that all domains together exceed it.
TEST_CASE("the append budget is shared by the hosts of all domains")
{
  Log log;
  log.Join("a1", "a", 1);
  log.Join("a2", "a", 2);
  log.Join("b1", "b", 3);
  log.Fence("b1", 12);
  CHECK(RegisteredCount(log.mState) == 3);
}

// Guards against a delayed fence that applies to the host's next incarnation.
TEST_CASE("fencing and removal are void unless the incarnation matches")
{
  Log log;
  CHECK(log.Join("a", "x", 1).mAccepted);
  CHECK(log.Join("b", "x", 2).mAccepted);
  const auto first = FindMember(log.mState, "a")->mIncarnation;
  CHECK_FALSE(log.Join("a", "x", 1).mAccepted);
  CHECK(log.Fence("a", first).mAccepted);
  CHECK(log.Fence("a", first).mReason == "already_fenced");
  CHECK(ActiveInDomain(log.mState, "x") == std::vector<std::string>{ "b" });
  CHECK(DomainMembers(log.mState, "x").size() == 2);
  CHECK(log.Join("a", "x", 1).mAccepted);
  CHECK(log.Fence("a", first).mReason == "stale_incarnation");
  CHECK(ActiveInRegion(log.mState, "r").size() == 2);
}

TEST_CASE("a host is removed only after it was fenced for the removal delay")
{
  Log log;
  CHECK(log.Join("a", "x", 1).mAccepted);
  const auto incarnation = FindMember(log.mState, "a")->mIncarnation;
  CHECK_FALSE(log.Remove("a", incarnation).mAccepted);
  CHECK(log.Fence("a", incarnation).mAccepted);
  CHECK_FALSE(log.Remove("a", incarnation).mAccepted);
  log.mTime += kRemovalDelay;
  CHECK(log.Remove("a", incarnation).mAccepted);
  CHECK(FindMember(log.mState, "a") == nullptr);
}

TEST_CASE("a saved state is restored equal, a truncated one is rejected")
{
  Log log;
  CHECK(log.Join("a", "x", 1).mAccepted);
  CHECK(log.Join("b", "y", 2).mAccepted);
  CHECK(log.Fence("a", FindMember(log.mState, "a")->mIncarnation).mAccepted);
  MemberState loaded;
  REQUIRE(Load(Save(log.mState), loaded));
  CHECK(loaded == log.mState);
  const auto saved = Save(log.mState);
  CHECK_FALSE(Load(saved.substr(0, saved.size() / 2), loaded));
  CHECK(loaded == log.mState);
}

// Guards against roles that are reassigned although their host is still active.
TEST_CASE("the failure of a host reassigns only its own roles")
{
  std::vector<std::string> hosts;
  for (auto index = 0; index < 9; ++index) {
    hosts.push_back("host-" + std::to_string(index));
  }
  auto fewer = hosts;
  fewer.erase(fewer.begin() + 4);
  for (auto role = 0; role < 500; ++role) {
    const auto name = "role-" + std::to_string(role);
    const auto order = RendezvousOrder(name, hosts);
    CHECK(order.front() == RendezvousOwner(name, hosts));
    CHECK(RendezvousOwner(name, fewer) ==
          (order[0] == "host-4" ? order[1] : order[0]));
  }
}

} // namespace
} // namespace mangovalve
