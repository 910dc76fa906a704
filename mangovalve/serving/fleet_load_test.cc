// Tests of the load reports of peers.
#include "mangovalve/serving/fleet_load.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "mangovalve/base/random.h"
#include "mangovalve/membership/rendezvous.h"

namespace mangovalve {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{ std::chrono::hours(1) };

auto Report(const std::string& aHost,
            std::uint64_t aIncarnation,
            std::uint64_t aSequence,
            std::uint32_t aOnline,
            std::uint32_t aWaiting) -> wire::LoadReportT
{
  wire::LoadReportT report;
  report.host = aHost;
  report.incarnation = aIncarnation;
  report.sequence = aSequence;
  report.endpoints.emplace_back(7, aOnline, 0);
  report.queues.emplace_back(9, aWaiting);
  return report;
}

TEST_CASE("delayed, duplicate and older reports are ignored")
{
  FleetLoad fleet;
  CHECK(ApplyReport(fleet, Report("a", 1, 2, 3, 1), kNow));
  CHECK_FALSE(ApplyReport(fleet, Report("a", 1, 2, 9, 9), kNow));
  CHECK_FALSE(ApplyReport(fleet, Report("a", 1, 1, 9, 9), kNow));
  CHECK(ApplyReport(fleet, Report("a", 2, 1, 4, 0), kNow));
  CHECK_FALSE(ApplyReport(fleet, Report("a", 1, 50, 9, 9), kNow));
  CHECK(PeerInFlight(fleet, 7).mOnline == 4);
  CHECK(PeerWaiting(fleet, 9) == 0);
}

TEST_CASE(
  "sums equal the last reports of responsive peers in any order of events")
{
  Random random{ 11 };
  FleetLoad fleet;
  std::map<std::string, std::uint32_t> expected;
  for (std::uint64_t i = 1; i < 2000; ++i) {
    const auto host = std::to_string(UniformBelow(random, 6));
    const auto now = kNow + std::chrono::milliseconds(i);
    if (UniformBelow(random, 20) == 0) {
      RemovePeer(fleet, host);
      expected.erase(host);
    } else if (UniformBelow(random, 20) == 0) {
      MarkUnresponsive(fleet, now + seconds(1));
      expected.clear();
    } else {
      const auto online = static_cast<std::uint32_t>(UniformBelow(random, 5));
      ApplyReport(fleet, Report(host, 1, i, online, online), now);
      expected[host] = online;
    }
    std::uint32_t sum = 0;
    for (const auto& [name, online] : expected) {
      sum += online;
    }
    REQUIRE(PeerInFlight(fleet, 7).mOnline == sum);
    REQUIRE(PeerWaiting(fleet, 9) == sum);
    REQUIRE(ResponsivePeerCount(fleet) == expected.size());
  }
}

TEST_CASE("the loads of teams are summed and leave with their host")
{
  // A sum that kept the requests of a silent host would let its teams yield
  // for ever.
  FleetLoad fleet;
  const auto report = [](const std::string& aHost, std::uint32_t aWaiting) {
    auto result = Report(aHost, 1, 1, 0, 0);
    result.team_uses.emplace_back(5, 1, aWaiting, 3);
    result.team_uses.emplace_back(6, 1, 1, 1);
    return result;
  };
  CHECK(PeerTeams(fleet, 5) == nullptr);
  ApplyReport(fleet, report("a", 2), kNow);
  ApplyReport(fleet, report("b", 4), kNow);
  REQUIRE(PeerTeams(fleet, 5) != nullptr);
  CHECK(PeerTeams(fleet, 5)->at(1).mWaiting == 6);
  CHECK(PeerTeams(fleet, 5)->at(1).mRunning == 6);
  RemovePeer(fleet, "a");
  CHECK(PeerTeams(fleet, 5)->at(1).mWaiting == 4);
  MarkUnresponsive(fleet, kNow + seconds(1));
  CHECK(PeerTeams(fleet, 5) == nullptr);
  CHECK(fleet.mTeams.empty());
}

TEST_CASE("a report has only the largest teams of a service and priority")
{
  TeamLoads teams;
  for (std::uint32_t team = 1; team <= 100; ++team) {
    teams[team] = TeamLoad{ team, 0 };
  }
  std::vector<wire::TeamServiceUse> uses;
  AddTeamUses(uses, 9, teams);
  REQUIRE(uses.size() == kMaxReportedTeams);
  for (const auto& use : uses) {
    CHECK(use.service() == 9);
    CHECK(use.team() > 100 - kMaxReportedTeams);
  }
  CHECK(TeamUseKey("llm", 0) != TeamUseKey("llm", 1));
}

TEST_CASE("the claim with the highest generation determines the owner")
{
  // Guards against sending requests to a former owner that has not yet noticed
  // that the partition was reassigned.
  FleetLoad fleet;
  const auto claim = [&](const std::string& aHost, std::uint64_t aGeneration) {
    auto report = Report(aHost, 1, 1, 0, 0);
    report.partitions.emplace_back(aGeneration, 3);
    ApplyReport(fleet, std::move(report), kNow);
  };
  CHECK_FALSE(OwnerOf(fleet, 3).has_value());
  claim("new", 8);
  claim("old", 7);
  CHECK(OwnerOf(fleet, 3)->mHost == "new");
  MarkUnresponsive(fleet, kNow + seconds(1));
  CHECK_FALSE(OwnerOf(fleet, 3).has_value());
}

TEST_CASE("a registered host counts as responsive only after its first report")
{
  FleetLoad fleet;
  AddPeer(fleet, "a", "d", kNow);
  CHECK(fleet.mPeers.size() == 1);
  CHECK(ResponsivePeerCount(fleet) == 0);
  CHECK(ApplyReport(fleet, Report("a", 1, 1, 2, 0), kNow));
  AddPeer(fleet, "a", "d", kNow);
  CHECK(ResponsivePeerCount(fleet) == 1);
}

constexpr std::uint64_t kSettledBefore = 1000;

// A host of a fleet in virtual time, with its own view of the others.
struct Member
{
  DomainMember mSelf;
  FleetLoad mFleet;
  wire::LoadReportT mReport; // its own, latest
  bool mRunning = true;
};

// Hosts of several domains that exchange reports inside their domains and
// summaries between them. Every datagram arrives at once unless mLost drops it.
struct SummaryFleet
{
  std::vector<Member> mMembers;
  std::uint64_t mSequence = 0;
  std::size_t mSummaries = 0; // datagrams sent between domains
  std::function<auto()->bool> mLost = [] { return false; };

  SummaryFleet(std::size_t aDomains, std::size_t aHostsPerDomain)
  {
    for (std::size_t i = 0; i < aDomains * aHostsPerDomain; ++i) {
      Member member;
      member.mSelf = { "h" + std::to_string(i),
                       "d" + std::to_string(i % aDomains),
                       1 };
      member.mReport.host = member.mSelf.mHost;
      member.mReport.domain = member.mSelf.mDomain;
      member.mReport.incarnation = 1;
      mMembers.push_back(std::move(member));
    }
  }

  auto ReportAll(TimePoint aNow) -> void
  {
    for (auto& from : mMembers) {
      from.mReport.sequence = ++mSequence;
      for (auto& to : mMembers) {
        if (from.mRunning && &to != &from &&
            to.mSelf.mDomain == from.mSelf.mDomain && !mLost()) {
          ApplyReport(to.mFleet, from.mReport, aNow);
        }
      }
    }
  }

  auto SummarizeAll(TimePoint aNow) -> void
  {
    for (auto& from : mMembers) {
      if (!from.mRunning) {
        continue;
      }
      auto summary = SummarizeDomain(from.mFleet, from.mReport, aNow);
      summary.incarnation = 1;
      summary.sequence = ++mSequence;
      for (auto& to : mMembers) {
        const auto& domain = to.mSelf.mDomain;
        if (domain != from.mSelf.mDomain &&
            IsGateway(from.mFleet, from.mSelf, domain, kSettledBefore, aNow)) {
          ++mSummaries;
          if (!mLost()) {
            ApplySummary(to.mFleet, summary, domain, aNow);
          }
        }
      }
    }
  }

  // Requests in flight at an endpoint according to the hosts themselves,
  // without those of aExcept.
  auto TrueOnline(std::uint64_t aEndpoint, const Member& aExcept) const
    -> std::uint32_t
  {
    std::uint32_t sum = 0;
    for (const auto& member : mMembers) {
      for (const auto& use : member.mReport.endpoints) {
        if (&member != &aExcept && member.mRunning &&
            use.endpoint() == aEndpoint) {
          sum += use.online();
        }
      }
    }
    return sum;
  }
};

TEST_CASE("summaries of domains add up to the load of every host")
{
  // Guards against load that is counted twice or not at all when hosts of other
  // domains are known by summaries only. The pattern of load is requests of all
  // hosts at endpoints of all domains.
  constexpr std::uint64_t kEndpoints = 12;
  Random random{ 5 };
  SummaryFleet fleet(3, 5);
  for (auto round = 1; round <= 20; ++round) {
    const auto now = kNow + std::chrono::milliseconds(100 * round);
    for (std::size_t i = 0; i < fleet.mMembers.size(); ++i) {
      auto& report = fleet.mMembers[i].mReport;
      report.endpoints.clear();
      for (std::uint64_t endpoint = 1; endpoint <= kEndpoints; ++endpoint) {
        const auto online = static_cast<std::uint32_t>(UniformBelow(random, 3));
        if (online > 0) {
          report.endpoints.emplace_back(endpoint, online, 0);
        }
      }
      report.partitions = { wire::PartitionOwner(
        static_cast<std::uint64_t>(round), static_cast<std::uint32_t>(i)) };
    }
    fleet.ReportAll(now);
    fleet.SummarizeAll(now);
    for (const auto& member : fleet.mMembers) {
      REQUIRE(ResponsivePeerCount(member.mFleet) == 14);
      for (std::uint64_t endpoint = 1; endpoint <= kEndpoints; ++endpoint) {
        REQUIRE(PeerInFlight(member.mFleet, endpoint).mOnline ==
                fleet.TrueOnline(endpoint, member));
      }
      for (std::uint32_t i = 0; i < fleet.mMembers.size(); ++i) {
        if (fleet.mMembers[i].mSelf.mHost != member.mSelf.mHost) {
          REQUIRE(OwnerOf(member.mFleet, i)->mHost ==
                  fleet.mMembers[i].mSelf.mHost);
        }
      }
    }
  }
}

TEST_CASE("traffic between domains grows with the hosts, not with their square")
{
  // Guards against reports from every host to every host of other domains.
  for (const std::size_t hosts : { 2U, 10U, 60U }) {
    SummaryFleet fleet(5, hosts);
    fleet.ReportAll(kNow);
    fleet.SummarizeAll(kNow);
    // Every host hears each of the four other domains once.
    CHECK(fleet.mSummaries == 4 * fleet.mMembers.size());
  }
}

TEST_CASE(
  "a domain stays responsive while its gateways die one after the other")
{
  // Guards against a domain that counts as lost because one of its hosts is.
  // The pattern of load is a series of kills that always hits the gateways,
  // while a fifth of the datagrams are lost.
  Random random{ 17 };
  SummaryFleet fleet(2, 10);
  fleet.mLost = [&random] { return UniformBelow(random, 5) == 0; };
  auto& observer = fleet.mMembers[1];
  REQUIRE(observer.mSelf.mDomain == "d1");
  auto now = kNow;
  for (auto killed = 0; killed < 8; ++killed) {
    for (auto step = 0; step < 40; ++step) {
      now += std::chrono::milliseconds(60);
      fleet.ReportAll(now);
      if (step % 3 == 0) {
        fleet.SummarizeAll(now);
      }
      MarkUnresponsive(observer.mFleet, now - std::chrono::milliseconds(1500));
      if (killed + step > 0) {
        REQUIRE_FALSE(observer.mFleet.mDomains["d0"].mUnresponsive);
      }
    }
    const auto sender = observer.mFleet.mDomains["d0"].mLast.host;
    for (auto& member : fleet.mMembers) {
      member.mRunning = member.mRunning && member.mSelf.mHost != sender;
    }
  }
}

TEST_CASE("one sender of a domain's summaries is used at a time")
{
  // Guards against a domain that is counted twice while two of its hosts
  // consider themselves the gateway.
  const auto summary = [](const std::string& aHost, std::uint64_t aSequence) {
    wire::DomainSummaryT result;
    result.host = aHost;
    result.domain = "d0";
    result.incarnation = 1;
    result.sequence = aSequence;
    result.hosts = { "x", "y" };
    result.endpoints.emplace_back(7, 3, 0);
    return result;
  };
  FleetLoad fleet;
  const auto apply =
    [&](const std::string& aHost, std::uint64_t aSequence, int aMilliseconds) {
      return ApplySummary(fleet,
                          summary(aHost, aSequence),
                          "d1",
                          kNow + std::chrono::milliseconds(aMilliseconds));
    };
  const auto best = RendezvousOwner("d1", { "x", "y" });
  const auto other = best == "x" ? "y" : "x";
  CHECK(apply(other, 5, 0) == SummaryResult::NewSender);
  CHECK(apply(other, 5, 1) == SummaryResult::Ignored);
  CHECK(apply(best, 1, 100) == SummaryResult::NewSender);
  CHECK(apply(other, 6, 200) == SummaryResult::Ignored);
  CHECK(apply(best, 2, 300) == SummaryResult::Applied);
  CHECK(PeerInFlight(fleet, 7).mOnline == 3);
  // The preferred sender has been silent for longer than a second.
  CHECK(apply(other, 7, 1400) == SummaryResult::NewSender);
  CHECK(PeerInFlight(fleet, 7).mOnline == 3);
  CHECK(ResponsivePeerCount(fleet) == 2);
  MarkUnresponsive(fleet, kNow + seconds(3));
  CHECK(PeerInFlight(fleet, 7).mOnline == 0);
  CHECK(apply(other, 8, 3500) == SummaryResult::NewSender);
}

TEST_CASE("a host that has just started is not the gateway of its domain")
{
  // Guards against a summary by a host that does not know its domain yet, which
  // would make all endpoints of the domain look idle.
  SummaryFleet fleet(2, 4);
  fleet.ReportAll(kNow);
  auto& first = fleet.mMembers[0];
  std::vector<std::string> hosts;
  for (const auto& member : fleet.mMembers) {
    if (member.mSelf.mDomain == "d0") {
      hosts.push_back(member.mSelf.mHost);
    }
  }
  const auto isGateway = [&](Member& aMember) {
    return IsGateway(aMember.mFleet, aMember.mSelf, "d1", kSettledBefore, kNow);
  };
  for (auto& member : fleet.mMembers) {
    if (member.mSelf.mDomain == "d0") {
      CHECK(isGateway(member) ==
            (member.mSelf.mHost == RendezvousOwner("d1", hosts)));
    }
  }
  for (auto& member : fleet.mMembers) {
    member.mSelf.mIncarnation = kSettledBefore + 1;
    member.mReport.incarnation = kSettledBefore + 1;
  }
  // All hosts of a fleet start at once: the choice does not change.
  fleet.ReportAll(kNow);
  CHECK(isGateway(first) ==
        (first.mSelf.mHost == RendezvousOwner("d1", hosts)));
  // One host has been running for long.
  auto& settled = fleet.mMembers[2];
  settled.mSelf.mIncarnation = kSettledBefore;
  settled.mReport.incarnation = kSettledBefore;
  for (auto& member : fleet.mMembers) {
    member.mFleet = {};
  }
  fleet.ReportAll(kNow);
  for (auto& member : fleet.mMembers) {
    if (member.mSelf.mDomain == "d0") {
      CHECK(isGateway(member) == (&member == &settled));
    }
  }
}

TEST_CASE("the demand of a service is summed over the fleet")
{
  // A host that saw only its own arrivals could not tell phases apart.
  constexpr std::uint64_t kService = 5;
  const auto now = TimePoint(std::chrono::hours(1));
  FleetLoad fleet;
  wire::LoadReportT peer;
  peer.host = "b:1";
  peer.domain = "a";
  peer.incarnation = 1;
  peer.sequence = 1;
  peer.demands.emplace_back(kService, 7.0F);
  REQUIRE(ApplyReport(fleet, peer, now));
  wire::LoadReportT own;
  own.host = "a:1";
  own.domain = "a";
  own.demands.emplace_back(kService, 2.0F);
  const auto summary = SummarizeDomain(fleet, own, now);
  REQUIRE(summary.demands.size() == 1);
  CHECK(summary.demands[0].arrivals_per_s() == 9.0F);
  auto other = summary;
  other.host = "c:1";
  other.domain = "z";
  other.hosts = { "c:1" };
  other.partitions.clear();
  other.incarnation = 1;
  other.sequence = 1;
  REQUIRE(ApplySummary(fleet, other, "a", now) != SummaryResult::Ignored);
  CHECK(PeerArrivals(fleet, kService) == 16.0);
  CHECK(PeerArrivals(fleet, kService + 1) == 0);
  // An unresponsive peer's last rate says nothing about the present.
  MarkUnresponsive(fleet, now + std::chrono::seconds(1));
  CHECK(PeerArrivals(fleet, kService) == 0);
}

TEST_CASE("the hosts of all domains put their batch items in one order")
{
  // Guards against two hosts that preempt for the same online request, or none:
  // the items before each host must be those of the hosts before it.
  constexpr std::uint64_t kEndpoint = 7;
  const std::map<std::string, std::vector<std::string>> domains = {
    { "a", { "1", "4" } }, { "b", { "2" } }, { "c", { "3", "5" } }
  };
  const auto batchOf = [](const std::string& aHost) {
    return static_cast<std::uint32_t>(std::stoul(aHost));
  };
  std::uint32_t expected = 0;
  for (const auto& [own, hosts] : domains) {
    for (const auto& self : hosts) {
      FleetLoad fleet;
      for (const auto& [domain, others] : domains) {
        wire::DomainSummaryT summary;
        summary.host = others.front();
        summary.domain = domain;
        summary.incarnation = 1;
        auto sum = 0U;
        for (const auto& host : others) {
          sum += batchOf(host);
          if (domain == own && host != self) {
            wire::LoadReportT report;
            report.host = host;
            report.domain = own;
            report.incarnation = 1;
            report.endpoints.emplace_back(kEndpoint, 0, batchOf(host));
            CHECK(ApplyReport(fleet, std::move(report), kNow));
          }
        }
        summary.endpoints.emplace_back(kEndpoint, 0, sum);
        if (domain != own) {
          CHECK(ApplySummary(fleet, std::move(summary), own, kNow) ==
                SummaryResult::NewSender);
        }
      }
      CHECK(BatchBefore(fleet, self, own, kEndpoint) == expected);
      expected += batchOf(self);
    }
  }
}

} // namespace
} // namespace mangovalve
