// Tests of role deadlines, fencing proposals and the reassignment of roles.
#include "mangovalve/membership/failure_detector.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{ 1h };
const FailureDetectorSettings kSettings;

// Hosts h0, h1, ... of one domain that joined at offsets 10, 11, ...
auto MakeMembers(int aHosts) -> MemberState
{
  MemberState members;
  for (auto index = 0; index < aHosts; ++index) {
    const auto name = "h" + std::to_string(index);
    auto& member = members.mMembers[name];
    member.mHost = name;
    member.mDomain = "d";
    member.mProcess = { 1, static_cast<std::uint64_t>(index) };
    member.mIncarnation = 10 + static_cast<Offset>(index);
    auto& change = members.mDomainChanges["d"];
    change = { member.mIncarnation, change.mLastChange };
  }
  return members;
}

auto Fence(MemberState& aMembers, const std::string& aHost, Offset aOffset)
  -> void
{
  aMembers.mMembers.at(aHost).mFence = aOffset;
  auto& change = aMembers.mDomainChanges["d"];
  change = { aOffset, change.mLastChange };
}

auto MakeDetector(const MemberState& aMembers, const std::string& aHost)
  -> FailureDetector
{
  FailureDetector detector;
  detector.mHost = aHost;
  detector.mDomain = "d";
  detector.mProcess = aMembers.mMembers.at(aHost).mProcess;
  detector.mSettled = aMembers.mDomainChanges.at("d").mLastChange;
  detector.mLogContactAt = kStart;
  return detector;
}

// Acknowledges a heartbeat sent at aNow by a peer without log contact.
auto AnswerHeartbeat(FailureDetector& aDetector,
                     const MemberState& aMembers,
                     const std::string& aPeer,
                     Offset aApplied,
                     TimePoint aNow) -> void
{
  const auto sequence = ++aDetector.mSequence;
  aDetector.mSent[sequence] = aNow;
  OnHeartbeatAck(aDetector,
                 aMembers,
                 aPeer,
                 { sequence, aApplied, Duration::max(), 0, false },
                 aNow + 1ms);
}

// Guards against a host that rejoins in a loop: peers that have not replayed
// its new join yet answer that the process is fenced or unknown.
TEST_CASE("a report of a fence counts only from a peer that replayed the join")
{
  const auto members = MakeMembers(3);
  for (Offset applied = 9; applied <= 12; ++applied) {
    auto detector = MakeDetector(members, "h1"); // joined at offset 11
    detector.mSent[1] = kStart;
    OnHeartbeatAck(detector,
                   members,
                   "h0",
                   { 1, applied, Duration::max(), 0, true },
                   kStart + 1ms);
    CHECK(detector.mReportedFenced == (applied > 11));
  }
}

// Guards against a process that uses its roles after a pause.
TEST_CASE("the role deadline is a fixed point in time after the newest read")
{
  const auto members = MakeMembers(3);
  auto detector = MakeDetector(members, "h0");
  CHECK(RoleDeadline(detector, members, kSettings) ==
        kStart + kSettings.mRoleLease);
  OnLogContact(detector, kStart + 5s);
  OnLogContact(detector, kStart + 1s); // a delayed answer
  CHECK(RoleDeadline(detector, members, kSettings) ==
        kStart + 5s + kSettings.mRoleLease);
}

// Guards against hosts that are partitioned off together and extend each
// other's deadlines while the rest of the domain fences them. Covers every set
// of reachable peers in domains of 2 to 6 hosts without log contact.
TEST_CASE("without log contact only a majority extends the role deadline")
{
  for (auto hosts = 2; hosts <= 6; ++hosts) {
    const auto members = MakeMembers(hosts);
    for (auto set = 0; set < 1 << (hosts - 1); ++set) {
      auto detector = MakeDetector(members, "h0");
      const auto now = kStart + 10s;
      auto reached = 1;
      for (auto peer = 1; peer < hosts; ++peer) {
        if ((set >> (peer - 1) & 1) != 0) {
          ++reached;
          AnswerHeartbeat(
            detector, members, "h" + std::to_string(peer), 1, now);
        }
      }
      CHECK((RoleDeadline(detector, members, kSettings) > now) ==
            (2 * reached > hosts));
    }
  }
}

// Guards against a partitioned majority that extends its deadlines beyond its
// removal by the other hosts.
TEST_CASE(
  "without log contact a majority extends the deadline for a bounded time")
{
  const auto members = MakeMembers(3);
  auto detector = MakeDetector(members, "h0");
  const auto now = kStart + kMaxWithoutLogContact + 1min;
  AnswerHeartbeat(detector, members, "h1", 1, now);
  CHECK(RoleDeadline(detector, members, kSettings) < now);
  AnswerHeartbeat(detector, members, "h2", 1, now);
  CHECK(RoleDeadline(detector, members, kSettings) > now);
  CHECK(kMaxWithoutLogContact < kRemovalDelay);
}

TEST_CASE("a host that is fenced or reported as fenced has no roles")
{
  auto members = MakeMembers(3);
  auto detector = MakeDetector(members, "h0");
  auto reported = detector;
  reported.mSent[1] = kStart;
  OnHeartbeatAck(reported, members, "h1", { 1, 20, 0ms, 0, true }, kStart);
  CHECK(RoleDeadline(reported, members, kSettings) == TimePoint());
  Fence(members, "h0", 20);
  CHECK(RoleDeadline(detector, members, kSettings) == TimePoint());
}

// Guards against a role that is reassigned while hosts that may not know of the
// fence could still form a majority, or before the takeover delay has passed.
TEST_CASE("a reassigned role waits for confirmations and the takeover delay")
{
  for (auto hosts = 2; hosts <= 6; ++hosts) {
    for (auto fenced = 1; fenced < hosts; ++fenced) {
      auto members = MakeMembers(hosts);
      auto detector = MakeDetector(members, "h0");
      for (auto index = hosts - fenced; index < hosts; ++index) {
        Fence(members,
              "h" + std::to_string(index),
              100 + static_cast<Offset>(index));
      }
      auto now = kStart;
      const auto change = members.mDomainChanges.at("d").mLastChange;
      for (auto peer = 1; peer < hosts - fenced; ++peer) {
        CHECK_FALSE(UpdateSettled(detector, members, kSettings, now + 1h));
        // A replica that has not applied the change does not confirm it.
        AnswerHeartbeat(
          detector, members, "h" + std::to_string(peer), change, now);
        CHECK_FALSE(UpdateSettled(detector, members, kSettings, now + 1h));
        AnswerHeartbeat(
          detector, members, "h" + std::to_string(peer), change + 1, now);
      }
      CHECK_FALSE(UpdateSettled(detector, members, kSettings, now));
      CHECK_FALSE(UpdateSettled(
        detector, members, kSettings, now + kSettings.mTakeoverDelay - 1ms));
      CHECK(UpdateSettled(
              detector, members, kSettings, now + kSettings.mTakeoverDelay) ==
            (2 * fenced <= hosts));
    }
  }
}

// Guards against a role that stays in use although another host had it
// meanwhile.
TEST_CASE("a role stays in use only if its host saw every change")
{
  RoleUse use;
  UpdateRoles(use, { "x" }, { 10, 0 }, true);
  CHECK(use.mUsed.at("x"));
  UpdateRoles(use, { "x" }, { 20, 10 }, false);
  CHECK(use.mUsed.at("x"));
  UpdateRoles(use, { "x" }, { 40, 30 }, false);
  CHECK_FALSE(use.mUsed.at("x"));
  UpdateRoles(use, { "x" }, { 40, 30 }, true);
  CHECK(use.mUsed.at("x"));
  UpdateRoles(use, {}, { 50, 40 }, true);
  UpdateRoles(use, { "x" }, { 60, 50 }, false);
  CHECK_FALSE(use.mUsed.at("x"));
}

// Guards against fences of healthy hosts, proposed by a host that was paused or
// partitioned off.
TEST_CASE("fences are proposed only for unresponsive peers")
{
  const auto members = MakeMembers(3);
  auto detector = MakeDetector(members, "h0");
  auto now = kStart;
  const auto run = [&](Duration aTime, bool aFirst, bool aSecond) {
    std::vector<FenceProposal> proposals;
    for (const auto end = now + aTime; now < end; now += 10ms) {
      if (aFirst) {
        AnswerHeartbeat(detector, members, "h1", 1, now);
      }
      if (aSecond) {
        AnswerHeartbeat(detector, members, "h2", 1, now);
      }
      for (auto& one : FenceProposals(detector, members, kSettings, now)) {
        proposals.push_back(one);
      }
    }
    return proposals;
  };
  CHECK(run(2s, true, true).empty());
  now += 1min; // paused
  CHECK(run(100ms, false, false).empty());
  CHECK(run(2s, true, true).empty());
  CHECK(run(kSettings.mDetectionTimeout * 5, false, false)
          .empty()); // partitioned off
  CHECK(run(1s, true, true).empty());
  const auto proposals = run(kSettings.mDetectionTimeout + 50ms, true, false);
  REQUIRE(proposals.size() == 1);
  CHECK(proposals[0].mHost == "h2");
  CHECK(proposals[0].mIncarnation == 12);
}

// Guards against heartbeat traffic per host that grows with the domain.
TEST_CASE("the number of heartbeats per host does not grow with the domain")
{
  for (const auto hosts : { 4, 22, 200 }) {
    const auto members = MakeMembers(hosts);
    auto detector = MakeDetector(members, "h1");
    CHECK(DueHeartbeats(detector, members, kSettings, kStart + 1ms).size() ==
          kSettings.mMonitoredPeers);
  }
}

} // namespace
} // namespace mangovalve
