// routing_tail: 9 hosts in three failure domains choose independently among 12
// engine replicas, by load reports that lag. p99 first-token delay at 80% load,
// against a chooser that knows the exact load, random choice, and the least
// loaded endpoint of the lagged report.
#include <array>
#include <memory>

#include <absl/strings/str_cat.h>

#include "bench/engine_model.h"
#include "bench/scenarios.h"
#include "mangovalve/endpoint/endpoint_set.h"

namespace mangovalve::bench {
namespace {

constexpr std::size_t kDomains = 3;
constexpr std::size_t kHosts = 9;
constexpr std::size_t kReplicas = 12;
constexpr double kLoad = 0.8;
constexpr double kReportEvery = 0.1; // seconds
constexpr double kReportLag = 0.1;   // age of a report when it arrives
constexpr double kFarDelay = 0.0015; // one way, between domains
constexpr double kWarmUp = 20;
constexpr double kEnd = 320;

enum class Chooser
{
  Exact,
  Random,
  LeastReported, // the least loaded of the lagged report, without more
  Ours,
};

struct Host
{
  std::size_t mDomain = 0;
  std::unique_ptr<EndpointSet> mSet;
  std::deque<std::function<bool()>> mWaiting; // true: dispatched
  std::vector<double> mReported = std::vector<double>(kReplicas, 0.0);
};

// One run; the samples of first-token delay.
class Run
{
public:
  Run(Chooser aChooser,
      const std::array<double, kDomains>& aDemand,
      std::uint64_t aSeed)
    : mChooser(aChooser)
    , mDemand(aDemand)
    , mRandom{ aSeed }
  {
    std::vector<EndpointHint> hints;
    for (std::size_t i = 0; i < kReplicas; ++i) {
      mEngines.emplace_back(mSimulation);
      hints.push_back({ "llm", Address(i), DomainName(i % kDomains), false });
    }
    for (std::size_t i = 0; i < kHosts; ++i) {
      EndpointSetOptions options;
      options.mSeed = aSeed * 100 + i + 1;
      Host host{ i % kDomains,
                 std::make_unique<EndpointSet>(DomainName(i % kDomains),
                                               options),
                 {},
                 std::vector<double>(kReplicas, 0.0) };
      host.mSet->ApplyHostList(hints);
      mHosts.push_back(std::move(host));
    }
  }

  auto Samples() -> std::vector<double>
  {
    for (std::size_t i = 0; i < kHosts; ++i) {
      ScheduleArrival(i);
      // Hosts poll at different moments.
      mSimulation.After(kReportEvery * static_cast<double>(i) / kHosts,
                        [this, i] { Poll(i); });
    }
    mSimulation.Run(kEnd);
    return std::move(mSamples);
  }

private:
  static auto Address(std::size_t aEngine) -> std::string
  {
    return absl::StrCat("10.0.0.", aEngine, ":80");
  }
  static auto DomainName(std::size_t aDomain) -> std::string
  {
    return absl::StrCat("d", aDomain);
  }

  auto ScheduleArrival(std::size_t aHost) -> void
  {
    const auto share = mDemand[mHosts[aHost].mDomain] * kDomains / kHosts;
    const auto rate = kLoad * kReplicas * Engine::Capacity() * share;
    mSimulation.After(Exponential(mRandom, 1 / rate), [this, aHost] {
      Arrive(aHost);
      ScheduleArrival(aHost);
    });
  }

  auto Arrive(std::size_t aHost) -> void
  {
    const auto arrival = mSimulation.Now();
    const auto request = DrawRequest(mRandom);
    auto attempt = [this, aHost, arrival, request] {
      return Dispatch(aHost, arrival, request);
    };
    if (!mHosts[aHost].mWaiting.empty() || !attempt()) {
      mHosts[aHost].mWaiting.push_back(attempt);
    }
  }

  auto Dispatch(std::size_t aHost, double aArrival, EngineRequest aRequest)
    -> bool
  {
    auto& host = mHosts[aHost];
    std::optional<ChosenEndpoint> chosen;
    std::size_t index = 0;
    if (mChooser == Chooser::Ours) {
      chosen =
        host.mSet->Choose("llm", Engine::kSlots, 0, {}, mSimulation.Time());
      if (!chosen) {
        return false;
      }
      while (Address(index) != chosen->mAddress) {
        ++index;
      }
    } else {
      index = mChooser == Chooser::Random  ? UniformBelow(mRandom, kReplicas)
              : mChooser == Chooser::Exact ? LeastLoaded()
                                           : LeastReported(host);
    }
    const auto delay = index % kDomains == host.mDomain ? 0 : kFarDelay;
    aRequest.mOnFirstToken = [this, aArrival, delay](double aTime) {
      if (aArrival > kWarmUp) {
        mSamples.push_back(aTime + delay - aArrival);
      }
    };
    aRequest.mOnEnd = [this, aHost, chosen] {
      if (chosen) {
        mHosts[aHost].mSet->Finish(
          *chosen, ExchangeResult::Good, mSimulation.Time());
        Pump(aHost);
      }
    };
    mSimulation.After(delay, [this, index, request = std::move(aRequest)] {
      mEngines[index].Submit(request);
    });
    return true;
  }

  // The engine with the least work in flight, at this very moment.
  auto LeastLoaded() -> std::size_t
  {
    auto best = UniformBelow(mRandom, kReplicas);
    for (std::size_t i = 0; i < kReplicas; ++i) {
      if (mEngines[i].InFlight() < mEngines[best].InFlight()) {
        best = i;
      }
    }
    return best;
  }

  static auto LeastReported(const Host& aHost) -> std::size_t
  {
    return static_cast<std::size_t>(
      std::min_element(aHost.mReported.begin(), aHost.mReported.end()) -
      aHost.mReported.begin());
  }

  auto Pump(std::size_t aHost) -> void
  {
    auto& waiting = mHosts[aHost].mWaiting;
    while (!waiting.empty() && waiting.front()()) {
      waiting.pop_front();
    }
  }

  // Asks every engine for its load; the answers show the load of now and come
  // kReportLag later.
  auto Poll(std::size_t aHost) -> void
  {
    std::vector<LoadReport> reports;
    for (const auto& engine : mEngines) {
      LoadReport report;
      report.mRunning = static_cast<double>(engine.Running());
      report.mWaiting = static_cast<double>(engine.Waiting());
      report.mRequestedAt = mSimulation.Time();
      reports.push_back(report);
    }
    mSimulation.After(kReportLag, [this, aHost, reports] {
      for (std::size_t i = 0; i < kReplicas; ++i) {
        mHosts[aHost].mReported[i] = reports[i].mRunning + reports[i].mWaiting;
        mHosts[aHost].mSet->RecordLoad(
          Address(i), reports[i], mSimulation.Time());
      }
      Pump(aHost);
    });
    mSimulation.After(kReportEvery, [this, aHost] { Poll(aHost); });
  }

  Chooser mChooser;
  std::array<double, kDomains> mDemand;
  Random mRandom;
  Simulation mSimulation;
  std::deque<Engine> mEngines;
  std::vector<Host> mHosts;
  std::vector<double> mSamples;
};

auto P99(Chooser aChooser, const std::array<double, kDomains>& aDemand)
  -> double
{
  std::vector<double> samples;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const auto more = Run(aChooser, aDemand, seed).Samples();
    samples.insert(samples.end(), more.begin(), more.end());
  }
  return Quantile(std::move(samples), 0.99);
}

auto RoutingTail(Report& aReport) -> void
{
  struct Demand
  {
    const char* mName;
    std::array<double, kDomains> mShares;
  };
  for (const auto& [name, shares] :
       { Demand{ "even", { 1.0 / 3, 1.0 / 3, 1.0 / 3 } },
         Demand{ "skewed", { 0.5, 0.3, 0.2 } } }) {
    const auto exact = P99(Chooser::Exact, shares);
    const auto random = P99(Chooser::Random, shares);
    const auto herd = P99(Chooser::LeastReported, shares);
    const auto ours = P99(Chooser::Ours, shares);
    aReport.Figure(absl::StrCat(name, "_exact_p99_s"), exact);
    aReport.Figure(absl::StrCat(name, "_random_p99_s"), random);
    aReport.Figure(absl::StrCat(name, "_least_reported_p99_s"), herd);
    aReport.Figure(absl::StrCat(name, "_p99_s"), ours);
    aReport.Check(
      absl::StrCat(name, "_p99_to_exact"), ours / exact, Bound::AtMost, 1.3);
    aReport.Check(
      absl::StrCat(name, "_p99_to_random"), ours / random, Bound::AtMost, 0.5);
  }
}

const Registration kRegistration("routing_tail", RoutingTail);

} // namespace
} // namespace mangovalve::bench
