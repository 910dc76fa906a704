// Many batch jobs come at once for replicas that run two requests at a time.
#include <absl/strings/str_cat.h>

#include "review/support-2/deployment.h"

namespace mangovalve::review {
namespace {

constexpr auto kSlots = 2; // capacity of a replica
constexpr auto kItems = 10;
constexpr auto kTokensPerItem = 940;
// A burst of 6 times the usual for 3 s, and the usual of one tenant of eight.
constexpr auto kJobs = 12;
constexpr auto kUsualJobs = 1;
constexpr auto kReplicasPerZone = 4;
constexpr auto kTraffic = seconds(20);
constexpr auto kFinish = seconds(18); // finishS
constexpr auto kCalm = seconds(5);    // end of it

struct Job
{
  std::string mId;
  bool mAccepted = false;
  int mListed = 0;
};

auto HandIn(Deployment& aDeployment, Job& aJob, std::size_t aFirst) -> Task<>
{
  auto items = Json::array();
  for (auto i = 0; i < kItems; ++i) {
    items.push_back(
      { { "id", absl::StrCat(aJob.mId, "-", i) },
        { "path", "/lot/3/91c4" },
        { "headers", { { "Model", "m" }, { "Token-Usage", "540,400" } } },
        { "body", "q83vEjRWeJA=" },
        { "tokens", kTokensPerItem } });
  }
  for (std::size_t attempt = 0; attempt < 4 && !aJob.mAccepted; ++attempt) {
    auto& machines = aDeployment.mMachines;
    const auto& machine = machines[(aFirst + attempt) % machines.size()];
    auto request = BatchCall(http::verb::post, "/lot/" + aJob.mId, "key-red");
    request.set("Request-Id", aJob.mId);
    request.body() = Json({ { "items", items } }).dump();
    const auto answer = co_await aDeployment.Call(
      machine.mFront, std::move(request), Clock::now() + seconds(4));
    aDeployment.Record(absl::StrCat(
      "job ", aJob.mId, " at ", machine.mName, ": ", answer.mStatus));
    aJob.mAccepted = answer.mStatus == 202;
    co_await SleepUntil(Clock::now() + milliseconds(500));
  }
}

auto RunningAtReplicas(const Deployment& aDeployment) -> unsigned
{
  auto running = 0U;
  for (const auto& replica : aDeployment.mReplicas) {
    running += replica.mRunning;
  }
  return running;
}

auto RunsAtReplicas(const Deployment& aDeployment) -> std::size_t
{
  std::size_t runs = 0;
  for (const auto& replica : aDeployment.mReplicas) {
    runs += replica.mRuns.size();
  }
  return runs;
}

auto ReadAll(Deployment& aDeployment, std::vector<Job>& aJobs) -> int
{
  auto open = 0;
  for (auto& job : aJobs) {
    const auto answer = aDeployment.CallNow(
      aDeployment.mMachines.front().mFront,
      BatchCall(
        http::verb::get, "/api/lots/" + job.mId + "?after=0", "key-red"),
      seconds(3));
    const auto page = Json::parse(answer.mBody, nullptr, false);
    if (answer.mStatus == 200 && page.is_object()) {
      job.mListed = page["next"].get<int>();
    }
    aDeployment.Record(absl::StrCat("read of ",
                                    job.mId,
                                    ": ",
                                    answer.mStatus,
                                    ", results ",
                                    job.mListed,
                                    " of ",
                                    kItems));
    open += job.mAccepted ? kItems - job.mListed : 0;
  }
  return open;
}

auto Run() -> int
{
  Deployment deployment(0);
  deployment.mServices.push_back(
    { { "name", "lm" },
      { "maxConns", 230 },
      { "engine",
        { { "capacity", kSlots }, { "kvCapacityTokens", 72000 } } } });
  deployment.AddRoute(BatchRoute("/lot/", "lm"));
  deployment.AddTenant("red", "key-red");
  deployment.Publish();
  for (const auto* const zone : { "a", "b", "c" }) {
    for (auto i = 0; i < kReplicasPerZone; ++i) {
      EndpointOptions options;
      options.mId = absl::StrCat("replica-", zone, "-", i);
      options.mSlots = kSlots;
      options.mEvents = 172;
      options.mPerEvent = milliseconds(20);
      deployment.AddReplica("lm", options, zone);
    }
    deployment.AddMachine(zone);
  }
  if (!deployment.StartAll()) {
    return Finish(deployment, Verdict::NotRun, "the daemons are not ready");
  }
  deployment.RunFor(seconds(4));

  std::vector<Job> jobs;
  for (auto i = 0; i < (WithTrouble() ? kJobs : kUsualJobs); ++i) {
    jobs.push_back({ absl::StrCat("job", i) });
  }
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    Spawn(deployment.mLoop, HandIn(deployment, jobs[i], i));
  }
  deployment.RunFor(kTraffic);
  deployment.Record("traffic has ended");
  deployment.RunFor(kFinish - kCalm);
  // The last 5 s: no replica runs an item, none is finished.
  const auto runsBefore = RunsAtReplicas(deployment);
  auto most = 0U;
  const auto calmUntil = Clock::now() + kCalm;
  deployment.RunUntil(calmUntil, [&] {
    most = std::max(most, RunningAtReplicas(deployment));
    return false;
  });
  const auto runs = RunsAtReplicas(deployment) - runsBefore;
  const auto open = ReadAll(deployment, jobs);
  const auto accepted = std::count_if(
    jobs.begin(), jobs.end(), [](const Job& aJob) { return aJob.mAccepted; });
  const auto reason = absl::StrCat(accepted,
                                   " jobs accepted; after finishS ",
                                   open,
                                   " items are not listed; in the last 5 s ",
                                   runs,
                                   " runs began and at most ",
                                   most,
                                   " of ",
                                   3 * kReplicasPerZone * kSlots,
                                   " places were taken");
  if (accepted == 0) {
    return Finish(deployment, Verdict::NotRun, reason);
  }
  const auto broken = open > 0 && most == 0 && runs == 0;
  return Finish(deployment, broken ? Verdict::Broken : Verdict::Held, reason);
}

} // namespace
} // namespace mangovalve::review

auto main() -> int
{
  return mangovalve::review::Run();
}
