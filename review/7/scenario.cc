// The platform deals all partitions anew, twice within half a second.
#include <absl/strings/str_cat.h>

#include "review/support-2/deployment.h"

namespace mangovalve::review {
namespace {

constexpr auto kBetween = milliseconds(450); // of the two assignments
constexpr auto kHandInAfter = milliseconds(330);
// All machines start within 0.3 s of each other.
constexpr auto kStartsApart = milliseconds(300);
constexpr auto kContact = seconds(3); // contactMs
constexpr auto kSettle = seconds(1);  // settleMs
constexpr auto kWatch = seconds(3);
constexpr auto kFinish = seconds(18); // finishS

// All partitions of the jobs are reassigned at once, without any request.
auto Reassign(Deployment& aDeployment) -> void
{
  for (auto& [name, group] : aDeployment.mStore.mStore.mGroups) {
    standin::Rebalance(group);
    for (auto& [part, share] : group.mShares) {
      share.mReleasing.clear();
    }
  }
  aDeployment.Record("all partitions are reassigned");
}

struct Job
{
  std::string mTenant;
  std::string mId;
  bool mAccepted = false;
  TimePoint mAcceptedAt{};
};

auto KeyOf(const Job& aJob) -> std::string
{
  return "key-" + aJob.mTenant;
}

auto HandIn(Deployment& aDeployment, Job& aJob) -> Task<>
{
  auto items = Json::array();
  for (auto i = 0; i < 3; ++i) {
    items.push_back({ { "id", absl::StrCat(aJob.mId, "-", i) },
                      { "path", "/lot/3/91c4" },
                      { "headers", { { "Model", "m" } } },
                      { "body", "q83vEjRWeJA=" },
                      { "tokens", 940 } });
  }
  for (std::size_t attempt = 0; attempt < 20 && !aJob.mAccepted; ++attempt) {
    auto& machines = aDeployment.mMachines;
    const auto& machine = machines[attempt % machines.size()];
    auto request = BatchCall(http::verb::post, "/lot/" + aJob.mId, KeyOf(aJob));
    request.set("Request-Id", aJob.mId);
    request.body() = Json({ { "items", items } }).dump();
    const auto answer = co_await aDeployment.Call(
      machine.mFront, std::move(request), Clock::now() + seconds(4));
    aDeployment.Record(absl::StrCat(
      "job ", aJob.mId, " at ", machine.mName, ": ", answer.mStatus));
    aJob.mAccepted = answer.mStatus == 202;
    aJob.mAcceptedAt = Clock::now();
    co_await SleepUntil(Clock::now() + milliseconds(50));
  }
}

struct Reading
{
  int mNotFound = 0;
  int mListed = 0; // most results in an answer
};

// Reads the job at all machines for a while.
auto ReadFor(Deployment& aDeployment, const Job& aJob, Duration aTime)
  -> Reading
{
  Reading reading;
  const auto until = Clock::now() + aTime;
  while (Clock::now() < until) {
    for (const auto& machine : aDeployment.mMachines) {
      const auto answer = aDeployment.CallNow(
        machine.mFront,
        BatchCall(
          http::verb::get, "/api/lots/" + aJob.mId + "?after=0", KeyOf(aJob)),
        milliseconds(2500));
      const auto page = Json::parse(answer.mBody, nullptr, false);
      const auto listed =
        answer.mStatus == 200 && page.is_object() ? page["next"].get<int>() : 0;
      aDeployment.Record(absl::StrCat("read of ",
                                      aJob.mId,
                                      " at ",
                                      machine.mName,
                                      ": ",
                                      answer.mStatus,
                                      ", results ",
                                      listed));
      reading.mNotFound += answer.mStatus == 404 ? 1 : 0;
      reading.mListed = std::max(reading.mListed, listed);
    }
    aDeployment.RunFor(milliseconds(500));
  }
  return reading;
}

auto Run() -> int
{
  Deployment deployment(0);
  deployment.mServices.push_back(
    { { "name", "lm" },
      { "maxConns", 230 },
      { "engine", { { "capacity", 8 }, { "kvCapacityTokens", 72000 } } } });
  deployment.AddRoute(BatchRoute("/lot/", "lm"));
  std::vector<Job> jobs;
  // One tenant for each partition.
  for (const auto* const tenant : { "team-20",
                                    "team-3",
                                    "team-1",
                                    "team-0",
                                    "team-18",
                                    "team-2",
                                    "team-4",
                                    "team-8" }) {
    deployment.AddTenant(tenant, absl::StrCat("key-", tenant));
    jobs.push_back({ tenant, absl::StrCat("job-of-", tenant) });
  }
  deployment.Publish();
  for (const auto* const zone : { "a", "b" }) {
    EndpointOptions options;
    options.mId = absl::StrCat("replica-", zone);
    options.mEvents = 172;
    options.mPerEvent = milliseconds(5);
    deployment.AddReplica("lm", options, zone);
    deployment.AddMachine(zone);
  }
  if (!deployment.StartAll(kStartsApart)) {
    return Finish(deployment, Verdict::NotRun, "the daemons are not ready");
  }
  deployment.RunFor(seconds(4));

  auto lost = 0;
  auto accepted = 0;
  for (auto& job : jobs) {
    if (WithTrouble()) {
      Reassign(deployment);
    }
    deployment.RunFor(kHandInAfter);
    Spawn(deployment.mLoop, HandIn(deployment, job));
    deployment.RunFor(kBetween - kHandInAfter);
    if (WithTrouble()) {
      Reassign(deployment);
    }
    // From here on, the platform is calm. The rule holds once all machines are
    // in touch.
    deployment.RunFor(std::max<Duration>(kContact, kSettle) +
                      milliseconds(200));
    if (!job.mAccepted) {
      continue;
    }
    ++accepted;
    auto reading = ReadFor(deployment, job, kWatch);
    if (reading.mNotFound > 0) {
      // Nor does it come back or run by itself.
      reading = ReadFor(deployment, job, kFinish);
      ++lost;
      break;
    }
  }
  const auto reason =
    absl::StrCat(accepted,
                 " jobs accepted; answered 404 after contactMs "
                 "of calm: ",
                 lost);
  if (accepted == 0) {
    return Finish(deployment, Verdict::NotRun, reason);
  }
  return Finish(deployment, lost > 0 ? Verdict::Broken : Verdict::Held, reason);
}

} // namespace
} // namespace mangovalve::review

auto main() -> int
{
  return mangovalve::review::Run();
}
