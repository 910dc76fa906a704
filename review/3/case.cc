// The owner of a partition of batch jobs is frozen for four seconds, and the
// answer to its first call to the store's group after that is lost.
#include <csignal>

#include <absl/strings/str_cat.h>

#include "mangovalve/batch/job_table.h"
#include "platform/names.h"
#include "review/common/fleet.h"

namespace mangovalve::review {
namespace {

constexpr std::uint32_t kPartitions = 8;
constexpr std::size_t kItems = 10; // the users' jobs have about 10
constexpr auto kFreeze = seconds(4);
constexpr auto kUntilTaken = milliseconds(2600); // ttlMs of the members is 2 s
constexpr auto kContact = seconds(3);            // contactMs
constexpr auto kSettle = seconds(1);             // settleMs
constexpr auto kFinish = seconds(18);            // finishS
constexpr auto kPause = milliseconds(500);
constexpr auto kLimit = seconds(15); // for each wait of the preparation

using Shares = std::map<std::pair<std::string, std::uint32_t>, std::string>;

auto Group(Fleet& aFleet) -> standin::StoreGroup&
{
  return aFleet.mStore.mStore.mGroups[platform::kJobsGroup];
}

// Who holds which partition; empty while partitions change hands.
auto Deal(Fleet& aFleet) -> Shares
{
  Shares deal;
  for (const auto& [part, share] : Group(aFleet).mShares) {
    if (!share.mReleasing.empty()) {
      return {};
    }
    deal[part] = share.mOwner;
  }
  return deal;
}

// The store deals the partitions as it did to the same members before. Those
// that held them meanwhile have to give them up first.
auto DealAgain(Fleet& aFleet, const Shares& aDeal) -> void
{
  for (auto& [part, share] : Group(aFleet).mShares) {
    if (share.mReleasing.empty()) {
      share.mReleasing = share.mOwner;
    }
    share.mOwner = aDeal.at(part);
    if (share.mReleasing == share.mOwner) {
      share.mReleasing.clear();
    }
  }
}

// Waits until all daemons are members and hold their partitions for a while.
auto AwaitDeal(Fleet& aFleet) -> Task<Shares>
{
  const auto until = Clock::now() + kLimit;
  Shares last;
  auto since = Clock::now();
  while (Clock::now() < until) {
    const auto deal = Deal(aFleet);
    if (deal != last ||
        Group(aFleet).mMembers.size() < aFleet.mDaemons.size()) {
      since = Clock::now();
      last = deal;
    }
    if (!last.empty() && Clock::now() - since > seconds(2)) {
      co_return last;
    }
    co_await SleepUntil(Clock::now() + milliseconds(50));
  }
  co_return Shares();
}

auto FindMember(Fleet& aFleet, const std::string& aPeers) -> Daemon*
{
  for (auto& daemon : aFleet.mDaemons) {
    if (daemon.mPeers == aPeers) {
      return &daemon;
    }
  }
  return nullptr;
}

// Freezes the owner, lets the job be accepted meanwhile, wakes the owner and
// loses the answer to its first join. True if the job was accepted.
auto FreezeOwner(Fleet& aFleet,
                 Daemon& aOwner,
                 const Shares& aDeal,
                 const std::string& aTenant,
                 const std::string& aJob) -> Task<bool>
{
  const auto frozenAt = Clock::now();
  Fleet::Signal(aOwner, SIGSTOP);
  aFleet.Record(aOwner.mName + " is frozen");
  co_await SleepUntil(frozenAt + kUntilTaken);
  const auto items = MakeItems(aJob, kItems);
  auto accepted = false;
  for (std::size_t i = 0; !accepted && i < aFleet.mDaemons.size(); ++i) {
    const auto& daemon = aFleet.mDaemons[i];
    if (&daemon != &aOwner) {
      const auto reply = co_await aFleet.Submit(daemon, aTenant, aJob, items);
      accepted = reply.mStatus == 202;
    }
  }
  co_await SleepUntil(frozenAt + kFreeze);
  auto& proxy = *aOwner.mStore;
  proxy.mLoseAnswersOf = platform::kJoinPath;
  Fleet::Signal(aOwner, SIGCONT);
  aFleet.Record(aOwner.mName + " runs again");
  const auto until = Clock::now() + kLimit;
  while (proxy.mLost == 0 && Clock::now() < until) {
    co_await SleepUntil(Clock::now() + milliseconds(1));
  }
  proxy.mLoseAnswersOf.clear();
  while (!Group(aFleet).mMembers.contains(aOwner.mPeers) &&
         Clock::now() < until) {
    co_await SleepUntil(Clock::now() + milliseconds(1));
  }
  DealAgain(aFleet, aDeal);
  aFleet.Record(absl::StrCat("the store has done the join of ",
                             aOwner.mName,
                             ", its answer is lost (",
                             proxy.mLost,
                             " answers)"));
  co_return accepted;
}

// Reads the job at all daemons. All of them are in touch, and settleMs has
// passed. Returns the most results that were read.
auto ReadEverywhere(Fleet& aFleet,
                    const std::string& aTenant,
                    const std::string& aJob) -> Task<std::size_t>
{
  std::size_t results = 0;
  for (const auto& daemon : aFleet.mDaemons) {
    const auto reply = co_await aFleet.ReadResults(daemon, aTenant, aJob);
    if (reply.mStatus == 404 || reply.mStatus == 410) {
      aFleet.Break(absl::StrCat("LOST: ",
                                daemon.mName,
                                " answers ",
                                reply.mStatus,
                                " for the accepted job ",
                                aJob));
    }
    const auto page = Json::parse(reply.mBody, nullptr, false);
    if (reply.mStatus == 200 && page.is_object()) {
      results = std::max(results, page["results"].size());
    }
  }
  co_return results;
}

auto RunIt(Fleet& aFleet) -> Task<int>
{
  standin::EndpointOptions options;
  options.mEvents = 194; // as of the users' lexicon-batch, 20 ms each
  options.mPerEvent = milliseconds(20);
  for (int i = 0; i < 6; ++i) {
    options.mId = absl::StrCat("i-", i);
    aFleet.AddReplica("hint-llm", options);
  }
  const auto started = co_await aFleet.Start();
  if (!started) {
    co_return kCouldNotRun;
  }
  const auto deal = co_await AwaitDeal(aFleet);
  const auto tenant = Tenants().front();
  const auto part = std::pair(std::string(platform::kJobsTopic),
                              PartitionOf(tenant, kPartitions));
  auto* owner =
    deal.contains(part) ? FindMember(aFleet, deal.at(part)) : nullptr;
  if (owner == nullptr) {
    co_return kCouldNotRun;
  }
  aFleet.Record(absl::StrCat(
    "partition ", part.second, " of ", tenant, " belongs to ", owner->mName));
  const std::string job = "job-1";
  const auto items = MakeItems(job, kItems);
  const auto accepted =
    Fleet::Trouble() ? co_await FreezeOwner(aFleet, *owner, deal, tenant, job)
                     : co_await aFleet.SubmitUntilAccepted(
                         tenant, job, items, Clock::now() + kLimit);
  if (!accepted) {
    co_return kCouldNotRun;
  }
  // Until all daemons are in touch and have settled. The second join of the
  // owner follows its first one by 2.1 s at most.
  co_await SleepUntil(Clock::now() + seconds(3) + kContact + kSettle);
  const auto until = Clock::now() + kFinish;
  std::size_t results = 0;
  while (Clock::now() < until && results < kItems) {
    results = co_await ReadEverywhere(aFleet, tenant, job);
    co_await SleepUntil(Clock::now() + kPause);
  }
  if (results < kItems) {
    aFleet.Break(absl::StrCat(
      "LOST: of ", kItems, " accepted items, ", results, " are listed"));
  }
  co_return aFleet.Verdict();
}

} // namespace
} // namespace mangovalve::review

auto main() -> int
{
  return mangovalve::review::RunCase({}, mangovalve::review::RunIt);
}
