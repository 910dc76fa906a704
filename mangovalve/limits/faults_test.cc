// Tests of the bound on rates under faults: in every window of length w, all
// hosts together admit at most rate * w + burst. The fleet is simulated in
// virtual time with fixed seeds, and the check covers all admissions exactly.
#include <doctest/doctest.h>

#include "mangovalve/limits/fake_fleet.h"

namespace mangovalve {
namespace {

using namespace std::chrono_literals;
using namespace mangovalve::fake;

const std::map<std::string, Share> kTeams{ { "one", { 40, 1 } },
                                           { "two", { 60, 2 } },
                                           { "five", { 80, 5 } },
                                           { "large", { 50, 60 } } };

auto MakeDocument(const std::map<std::string, Share>& aTeams, int aDomains)
  -> Document
{
  Document document;
  for (auto index = 0; index < aDomains; ++index) {
    document.mDomains["d" + std::to_string(index)];
  }
  for (const auto& [name, limit] : aTeams) {
    document.mTeams[name] = { name, limit.mRate, limit.mBurst };
  }
  return document;
}

auto FaultyNetworkOptions(std::uint64_t aSeed) -> FleetOptions
{
  FleetOptions options;
  options.mSeed = aSeed;
  options.mMaxClockDrift = 0.005;
  options.mLossProbability = 0.01;
  options.mDuplicateProbability = 0.03;
  options.mDelayProbability = 0.03;
  return options;
}

// A fleet that is offered three times its rate, at least 40% of it at one host.
struct Run
{
  explicit Run(FleetOptions aOptions,
               std::map<std::string, Share> aTeams = kTeams)
    : mFleet(aOptions)
    , mTeams(std::move(aTeams))
    , mSeed(aOptions.mSeed)
  {
    mFleet.Submit(MakeDocument(mTeams, aOptions.mDomains));
    mFleet.RunFor(2s);
  }

  auto Load(Duration aTime) -> void
  {
    std::vector<TeamLoad> loads;
    for (const auto& [name, limit] : mTeams) {
      loads.push_back({ name, 3 * limit.mRate, 0.4, 300ms });
    }
    OfferLoad(mFleet, loads, aTime, mSeed, mOffered);
  }

  // A live host that holds shares of the team's group; "h0" if there is none.
  auto HolderOf(const std::string& aTeam) -> std::string
  {
    for (const auto& [name, host] : mFleet.Hosts()) {
      if (host->mAlive &&
          Contains(HeldGroups(host->mNode.mHolder), GroupOf(aTeam))) {
        return name;
      }
    }
    return "h0";
  }
  auto OwnerOf(const std::string& aTeam, const std::string& aDomain)
    -> std::string
  {
    for (const auto& [name, host] : mFleet.Hosts()) {
      if (host->mAlive && host->mDomain == aDomain) {
        return host->mNode.mView.mShareOwners.at(aDomain).at(GroupOf(aTeam));
      }
    }
    return "h0";
  }

  auto CheckBound() -> void
  {
    const std::chrono::duration<double> lateness =
      LimitSettings().mMaxStartDelay * 1.02;
    for (const auto& entry : mTeams) {
      const auto& name = entry.first;
      const auto& limit = entry.second;
      CAPTURE(mSeed);
      CAPTURE(name);
      const auto deducted = AdmissionTimes(mFleet.Deductions(), name);
      const auto started = AdmissionTimes(mFleet.Admissions(), name);
      CHECK(started.size() > 50);
      CHECK(WindowExcess(deducted, limit.mRate, limit.mBurst) <= 1e-6);
      CHECK(WindowExcess(started,
                         limit.mRate,
                         limit.mBurst + limit.mRate * lateness.count()) <=
            1e-6);
    }
  }

  FakeFleet mFleet;
  std::map<std::string, Share> mTeams;
  std::uint64_t mSeed;
  std::vector<std::unique_ptr<OfferedRequest>> mOffered;
};

TEST_CASE("WindowExcess finds an excess in any window")
{
  const auto at = [](std::initializer_list<int> aMillis) {
    std::vector<TimePoint> times;
    for (const auto millis : aMillis) {
      times.emplace_back(std::chrono::milliseconds(millis));
    }
    return times;
  };
  CHECK(WindowExcess(at({ 0, 100, 200 }), 10, 1) <= 1e-9);
  CHECK(WindowExcess(at({ 0, 99, 200 }), 10, 1) > 0.009);
  CHECK(WindowExcess(at({ 0, 1000, 1001, 1002 }), 10, 2) > 0.9);
}

// Guards against a holder that uses expired leases after a pause, although the
// shares have been leased to another host.
TEST_CASE("the bound holds when a holder resumes after its leases expired")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Run run(FaultyNetworkOptions(seed));
    run.Load(12s);
    for (auto round = 0; round < 4; ++round) {
      run.mFleet.RunFor(1s);
      const auto holder = run.HolderOf(round % 2 == 0 ? "large" : "five");
      run.mFleet.Freeze(holder);
      run.mFleet.RunFor(std::chrono::milliseconds(250 + 400 * round));
      run.mFleet.Resume(holder);
    }
    run.mFleet.RunFor(8s);
    run.CheckBound();
  }
}

// Guards against an owner that leases its share after its role has been
// assigned to another host.
TEST_CASE("the bound holds when a share owner is frozen and resumes")
{
  for (std::uint64_t seed = 11; seed <= 13; ++seed) {
    Run run(FaultyNetworkOptions(seed));
    run.Load(14s);
    for (auto round = 0; round < 4; ++round) {
      run.mFleet.RunFor(1s);
      const auto owner = run.OwnerOf("large", "d" + std::to_string(round % 3));
      run.mFleet.Freeze(owner);
      run.mFleet.RunFor(std::chrono::milliseconds(200 + 500 * round));
      run.mFleet.Resume(owner);
    }
    run.mFleet.RunFor(8s);
    run.CheckBound();
  }
}

// Guards against two holders that use the same share during or after a network
// partition.
TEST_CASE("the bound holds while a partition between domains forms and heals")
{
  for (std::uint64_t seed = 21; seed <= 23; ++seed) {
    Run run(FaultyNetworkOptions(seed));
    run.Load(14s);
    for (auto round = 0; round < 4; ++round) {
      run.mFleet.RunFor(1s);
      run.mFleet.Partition("d" + std::to_string(round % 3),
                           "d" + std::to_string((round + 1) % 3));
      if (round >= 2) {
        run.mFleet.Partition("d" + std::to_string(round % 3), "log");
      }
      run.mFleet.RunFor(std::chrono::milliseconds(100 + 600 * round));
      run.mFleet.Heal();
    }
    run.mFleet.RunFor(8s);
    run.CheckBound();
  }
}

// Guards against grants that are used twice or long after their deduction.
TEST_CASE("the bound holds with dropped, duplicated and delayed messages")
{
  for (std::uint64_t seed = 31; seed <= 33; ++seed) {
    auto options = FaultyNetworkOptions(seed);
    options.mLossProbability = 0.1;
    options.mDuplicateProbability = 0.3;
    options.mDelayProbability = 0.3;
    Run run(options);
    run.Load(10s);
    run.mFleet.RunFor(12s);
    run.CheckBound();
  }
}

// Guards against two owners of one share after a partition within a domain,
// also if two hosts are partitioned off together.
TEST_CASE("the bound holds with a partition within a domain")
{
  for (std::uint64_t seed = 41; seed <= 44; ++seed) {
    Run run(FaultyNetworkOptions(seed));
    run.Load(14s);
    run.mFleet.RunFor(1s);
    // h0 and h1 still reach each other and the other domains.
    run.mFleet.Partition("h0", "h2");
    run.mFleet.Partition("h1", "h2");
    run.mFleet.Partition("h0", "log");
    run.mFleet.Partition("h1", "log");
    run.mFleet.RunFor(5s);
    run.mFleet.Heal();
    run.mFleet.RunFor(2s);
    run.mFleet.Partition("h3", "d1");
    run.mFleet.Partition("h3", "log");
    run.mFleet.RunFor(2s);
    run.mFleet.Heal();
    run.mFleet.RunFor(6s);
    run.CheckBound();
  }
}

// Guards against two hosts that use one share when a failed host cannot be
// fenced, and when its domain has one host left.
TEST_CASE("the bound holds when hosts fail while the log is unavailable")
{
  for (std::uint64_t seed = 51; seed <= 53; ++seed) {
    Run run(FaultyNetworkOptions(seed));
    run.Load(14s);
    run.mFleet.RunFor(1s);
    run.mFleet.SetLogDown(true);
    run.mFleet.RunFor(500ms);
    run.mFleet.Kill(run.OwnerOf("large", "d1"));
    run.mFleet.RunFor(3s);
    run.mFleet.SetLogDown(false);
    run.mFleet.RunFor(2s);
    run.mFleet.Kill(run.OwnerOf("large", "d1"));
    run.mFleet.RunFor(3s);
    for (const auto* host : { "h3", "h4", "h5" }) {
      if (!run.mFleet.Host(host).mAlive) {
        run.mFleet.Restart(host);
      }
    }
    run.mFleet.RunFor(6s);
    run.CheckBound();
  }
}

// Guards against roles that are used by two hosts when hosts join, fail and
// rejoin.
TEST_CASE("the bound holds when hosts join, fail and rejoin")
{
  for (std::uint64_t seed = 61; seed <= 63; ++seed) {
    Run run(FaultyNetworkOptions(seed));
    run.Load(14s);
    for (auto round = 0; round < 3; ++round) {
      run.mFleet.RunFor(1s);
      const auto failed = run.OwnerOf("large", "d" + std::to_string(round));
      run.mFleet.Kill(failed);
      run.mFleet.RunFor(std::chrono::milliseconds(300 + 700 * round));
      run.mFleet.AddHost("d" + std::to_string(round));
      run.mFleet.RunFor(1s);
      run.mFleet.Restart(failed);
    }
    run.mFleet.RunFor(8s);
    run.CheckBound();
  }
}

// Guards against a share that grows in one domain before it has shrunk in
// another. The changing burst moves whole tokens, and the rate with them,
// between domains, while the team's rate stays the same.
TEST_CASE(
  "the bound holds while the rate moves between domains, also partitioned")
{
  for (std::uint64_t seed = 71; seed <= 76; ++seed) {
    const std::map<std::string, Share> teams{ { "one", { 60, 3 } },
                                              { "two", { 60, 3 } },
                                              { "five", { 60, 3 } } };
    Run run(FaultyNetworkOptions(seed), teams);
    run.Load(16s);
    for (auto round = 0; round < 6; ++round) {
      run.mFleet.RunFor(700ms);
      if (round % 2 == 1) {
        run.mFleet.Partition("d0", "d1");
        run.mFleet.Partition("d0", "d2");
        run.mFleet.Partition("d0", "log");
      }
      auto changed = teams;
      for (auto& [name, limit] : changed) {
        limit.mBurst = 1 + (round + static_cast<int>(seed)) % 3;
      }
      run.mFleet.Submit(MakeDocument(changed, 3));
      run.mFleet.RunFor(1500ms);
      run.mFleet.Heal();
    }
    run.mFleet.RunFor(4s);
    run.CheckBound();
  }
}

// Guards against a lowered rate that is not applied once every host has
// replayed it, and against a partitioned domain that uses more than its
// previous share.
TEST_CASE("the bound holds when the rate is lowered during a partition")
{
  for (std::uint64_t seed = 81; seed <= 83; ++seed) {
    Run run(FaultyNetworkOptions(seed), { { "large", { 90, 30 } } });
    run.Load(20s);
    run.mFleet.RunFor(2s);
    run.mFleet.Partition("d0", "d1");
    run.mFleet.Partition("d0", "d2");
    run.mFleet.Partition("d0", "log");
    run.mFleet.Submit(MakeDocument({ { "large", { 30, 6 } } }, 3));
    run.mFleet.RunFor(4s);
    // 1 s covers the replay of the revision and the leases of the previous one.
    // Then two domains use 20/s, their shares of the new 30/s, and the third
    // uses 30/s, its share of the previous 90/s.
    const auto measuredFrom = run.mFleet.Now() - 3s;
    const auto healed = run.mFleet.Now();
    run.mFleet.Heal();
    run.mFleet.RunFor(12s);
    std::vector<TimePoint> during;
    std::vector<TimePoint> after;
    for (const auto at : AdmissionTimes(run.mFleet.Deductions(), "large")) {
      if (at >= measuredFrom && at < healed) {
        during.push_back(at);
      } else if (at >= healed + 1s) {
        after.push_back(at);
      }
    }
    CAPTURE(seed);
    CHECK(WindowExcess(during, 20 + 30, 4 + 10) <= 1e-6);
    CHECK(WindowExcess(after, 30, 6) <= 1e-6);
    CHECK(after.size() > 200);
    run.CheckBound();
  }
}

// Guards against failures that need a combination of faults: random faults of
// every kind in sequence.
TEST_CASE("the bound holds under random combinations of faults")
{
  for (std::uint64_t seed = 100; seed < 124; ++seed) {
    Run run(FaultyNetworkOptions(seed));
    run.Load(14s);
    Random random{ seed };
    for (auto round = 0; round < 10; ++round) {
      const auto host = "h" + std::to_string(UniformBelow(random, 9));
      const auto domain = "d" + std::to_string(UniformBelow(random, 3));
      const auto time =
        std::chrono::milliseconds(50 + UniformBelow(random, 1500));
      auto& fleet = run.mFleet;
      switch (UniformBelow(random, 7)) {
        case 0:
        case 1:
          if (fleet.Host(host).mAlive && !fleet.Host(host).mFrozen) {
            fleet.Freeze(host);
            fleet.At(time, [&fleet, host] {
              if (fleet.Host(host).mFrozen) {
                fleet.Resume(host);
              }
            });
          }
          break;
        case 2:
          if (!fleet.Host(host).mFrozen) {
            fleet.Kill(host);
            fleet.At(time, [&fleet, host] {
              if (!fleet.Host(host).mAlive) {
                fleet.Restart(host);
              }
            });
          }
          break;
        case 3:
          fleet.Partition(domain,
                          "d" + std::to_string(UniformBelow(random, 3)));
          break;
        case 4:
          fleet.Partition(host, "log");
          fleet.Partition(host, fleet.Host(host).mDomain);
          break;
        case 5:
          fleet.SetLogDown(true);
          fleet.At(time, [&fleet] { fleet.SetLogDown(false); });
          break;
        default:
          fleet.Heal();
          break;
      }
      fleet.RunFor(std::chrono::milliseconds(100 + UniformBelow(random, 900)));
    }
    run.mFleet.SetLogDown(false);
    run.mFleet.Heal();
    run.mFleet.RunFor(8s);
    run.CheckBound();
  }
}

} // namespace
} // namespace mangovalve
