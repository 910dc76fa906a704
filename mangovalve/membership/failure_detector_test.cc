// Tests of contact deadlines, fencing proposals and the passing on of roles.
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

// Lets a peer without log contact answer a heartbeat sent at aNow.
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

// Guards against a host that joins again and again: right after its join, peers
// that have not replayed it yet answer that they do not know the process.
TEST_CASE("only a peer that knows the join can tell that it was fenced")
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

// Guards against a paused process that goes on with its roles.
TEST_CASE("the role's deadline is a point in time, passed after a pause")
{
  const auto members = MakeMembers(3);
  auto detector = MakeDetector(members, "h0");
  CHECK(RoleDeadline(detector, members, kSettings) ==
        kStart + kSettings.mRoleLease);
  OnLogContact(detector, kStart + 5s);
  OnLogContact(detector, kStart + 1s); // an answer that was late
  CHECK(RoleDeadline(detector, members, kSettings) ==
        kStart + 5s + kSettings.mRoleLease);
}

// Guards against hosts that are cut off together and keep each other's roles
// alive while the rest of the domain fences them: every set of peers that
// answer, in domains of 2 to 6 hosts, without the log.
TEST_CASE("only a majority is contact without the log")
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

// Guards against contact through a majority that outlives the removal of the
// hosts of a cut-off majority.
TEST_CASE("a majority is contact for a bounded time without the log")
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

TEST_CASE("a fenced host, or one that was told so, has no roles")
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

// Guards against a role that passes on while hosts that may not know of the
// fence could still make a majority, or before the contact period is over.
TEST_CASE("a moved role waits for confirmations and the contact period")
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
        // A replica that is one record short does not confirm.
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

// Guards against a role kept in use although another host had it in between.
TEST_CASE("a role is kept only through changes that were all seen")
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

// Guards against fences of healthy hosts by one that was paused or cut off.
TEST_CASE("fences are proposed for silent peers only")
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
  CHECK(run(kSettings.mDetectionTimeout * 5, false, false).empty()); // cut off
  CHECK(run(1s, true, true).empty());
  const auto proposals = run(kSettings.mDetectionTimeout + 50ms, true, false);
  REQUIRE(proposals.size() == 1);
  CHECK(proposals[0].mHost == "h2");
  CHECK(proposals[0].mIncarnation == 12);
}

// Guards against a load on the watched hosts that grows with the domain.
TEST_CASE("heartbeats do not grow with the domain")
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
