// Tests of the batch worker: random interleavings of several hosts with one
// fake log, with unanswered, late and repeated appends, host crashes and log
// outages.
#include "mangovalve/batch/worker_state.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "mangovalve/base/random.h"
#include "mangovalve/batch/fake_log_test.h"
#include "mangovalve/batch/reappend.h"

namespace mangovalve {
namespace {

using namespace batch_fake;

using std::chrono::milliseconds;
using std::chrono::seconds;

const JobKey kRepeatable{ "team-a", "bundle" };
const JobKey kOnce{ "team-b", "replacements" };

// Index of the item that fails every run or crashes its host, see Poison.
constexpr std::uint32_t kPoisonItem = 5;

enum class Poison : std::uint8_t
{
  None,
  Fails,       // every attempt gets status 500
  CrashesHost, // the host that runs it crashes
};

struct Faults
{
  bool mOn = true; // unanswered and late appends, host crashes, log outages
  Poison mPoison = Poison::None;
};

// A host: its replica of the log, its worker, and its pending operations.
struct Host
{
  std::string mName;
  std::uint32_t mIncarnation = 0;
  Replica mReplica;
  WorkerState mWorker;
  WorkerSettings mSettings;
  std::vector<WorkerAction> mOps; // without a result so far
  std::optional<TimePoint> mDrainDeadline;
};

struct Fleet
{
  Random mRandom;
  Faults mFaults;
  FakeLog mLog;
  std::vector<Host> mHosts;
  std::vector<RecordDraft> mLate; // appends that may be applied later
  TimePoint mNow{};
  bool mOutage = false;
  std::uint32_t mLimit = 3;
  std::uint32_t mCrashes = 0;
  // Dispatches that may have run, by job and item.
  std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> mRuns;
  // Dispatches started by a host that had seen its job cancelled.
  std::uint32_t mRunsAfterCancel = 0;
};

auto HolderName(const Host& aHost) -> std::string
{
  return aHost.mName + "@" + std::to_string(aHost.mIncarnation);
}

auto StartHost(Host& aHost) -> void
{
  ++aHost.mIncarnation;
  aHost.mWorker = {};
  aHost.mOps.clear();
  aHost.mDrainDeadline.reset();
  aHost.mSettings = {};
  aHost.mSettings.mHolder = HolderName(aHost);
  aHost.mSettings.mFlushItems = 3;
}

auto NewFleet(std::uint64_t aSeed, const Faults& aFaults, std::uint32_t aHosts)
  -> Fleet
{
  Fleet fleet;
  fleet.mRandom = { aSeed };
  fleet.mFaults = aFaults;
  fleet.mNow = TimePoint{} + std::chrono::hours(1);
  for (std::uint32_t i = 0; i < aHosts; ++i) {
    fleet.mHosts.emplace_back().mName = "h" + std::to_string(i);
    StartHost(fleet.mHosts.back());
  }
  return fleet;
}

auto AddJob(Fleet& aFleet,
            const JobKey& aKey,
            bool aRepeatable,
            std::uint32_t aItems,
            std::uint32_t aChunkSize = 4) -> void
{
  Replica replica;
  ReplayAll(replica, aFleet.mLog);
  JobOptions options;
  options.mRoute = "route";
  options.mChunkSize = aChunkSize;
  options.mRepeatable = aRepeatable;
  SealJob(aFleet.mLog, replica, aKey, options, aItems);
}

auto HoldersOf(const Fleet& aFleet) -> Holders
{
  Holders holders;
  for (const auto& host : aFleet.mHosts) {
    holders.insert(HolderName(host));
  }
  return holders;
}

// Crashes and restarts the host; its appends in flight may be applied later.
auto CrashHost(Fleet& aFleet, Host& aHost) -> void
{
  ++aFleet.mCrashes;
  for (const auto& op : aHost.mOps) {
    if (op.mKind == WorkerAction::Kind::Commit &&
        UniformBelow(aFleet.mRandom, 2) == 0) {
      aFleet.mLate.push_back(op.mDraft);
    }
  }
  StartHost(aHost);
}

auto StepHost(Fleet& aFleet, Host& aHost) -> void
{
  const auto holders = HoldersOf(aFleet);
  const std::function<auto(const std::string&)->std::string> serviceOf =
    [](const std::string&) { return std::string("service"); };
  auto actions =
    Step(aHost.mWorker,
         aHost.mSettings,
         { aHost.mReplica.mState,
           aFleet.mNow,
           { { "endpoint-" + aHost.mName, "service", "", aFleet.mLimit } },
           true,
           aHost.mDrainDeadline,
           holders,
           serviceOf });
  for (auto& action : actions) {
    if (action.mKind == WorkerAction::Kind::Stop) {
      continue;
    }
    if (action.mKind == WorkerAction::Kind::Dispatch) {
      const auto& key = action.mDispatch.mKey;
      const auto* const job = FindJob(aHost.mReplica.mState, key);
      aFleet.mRunsAfterCancel += job->mCancelled ? 1 : 0;
    }
    aHost.mOps.push_back(std::move(action));
  }
}

auto FinishCommit(Fleet& aFleet, Host& aHost, const WorkerAction& aOp) -> void
{
  using Kind = JournalError::Kind;
  const auto respond = [&](const Result<Verdict, JournalError>& aResult) {
    OnCommitted(
      aHost.mWorker, aHost.mSettings, aOp.mDraft.mId, aResult, aFleet.mNow);
  };
  if (aFleet.mOutage) {
    return respond(Err(JournalError{ Kind::NotAppended, "outage" }));
  }
  const auto fault = aFleet.mFaults.mOn ? UniformBelow(aFleet.mRandom, 10) : 9;
  if (fault == 0) {
    return respond(Err(JournalError{ Kind::NotAppended, "busy" }));
  }
  if (fault == 1) {
    aFleet.mLate.push_back(aOp.mDraft);
    return respond(Err(JournalError{ Kind::OutcomeUnknown, "timeout" }));
  }
  Append(aFleet.mLog, { aOp.mDraft });
  if (fault == 2) {
    return respond(Err(JournalError{ Kind::OutcomeUnknown, "no response" }));
  }
  if (fault == 3) {
    aFleet.mLate.push_back(aOp.mDraft);
  }
  ReplayAll(aHost.mReplica, aFleet.mLog);
  respond(aHost.mReplica.mVerdicts.at(ToHex(aOp.mDraft.mId)));
}

auto FinishLoad(Fleet& aFleet, Host& aHost, const WorkerAction& aOp) -> void
{
  Result<std::vector<ItemBody>, std::string> bodies = std::vector<ItemBody>{};
  for (const auto position : aOp.mPositions) {
    const auto batch = Fetch(aFleet.mLog, OffsetOf(position));
    if (aFleet.mOutage || !batch) {
      bodies = Err(std::string("not readable"));
      break;
    }
    const auto items = ReadItems(*batch, position);
    bodies->insert(bodies->end(), items->begin(), items->end());
  }
  OnLoaded(aHost.mWorker, aHost.mSettings, aOp.mHeld, bodies, aFleet.mNow);
}

// False if the item crashed its host.
auto FinishDispatch(Fleet& aFleet, Host& aHost, const WorkerAction& aOp) -> bool
{
  using Kind = DispatchOutcome::Kind;
  DispatchOutcome outcome{ Kind::Answered, 200, aOp.mDispatch.mBody, {} };
  const auto& dispatch = aOp.mDispatch;
  const auto poison =
    dispatch.mKey == kRepeatable && dispatch.mIndex == kPoisonItem
      ? aFleet.mFaults.mPoison
      : Poison::None;
  const auto fault = aFleet.mFaults.mOn ? UniformBelow(aFleet.mRandom, 12) : 11;
  if (poison == Poison::CrashesHost) {
    CrashHost(aFleet, aHost);
    return false;
  }
  if (poison == Poison::Fails) {
    outcome.mHttpStatus = 500;
  } else if (fault == 0) {
    outcome.mKind = Kind::NotRun;
  } else if (fault == 1 && dispatch.mRepeatable) {
    outcome.mKind = Kind::Yielded;
    outcome.mResume = ResumePoint{ dispatch.mEndpoint, "s", 3, "par" };
  } else if (fault == 2 && !dispatch.mRepeatable) {
    outcome.mKind = Kind::Unknown;
  }
  if (outcome.mKind != Kind::NotRun) {
    ++aFleet.mRuns[{ dispatch.mKey.mJob, dispatch.mIndex }];
  }
  OnDispatched(
    aHost.mWorker, aHost.mSettings, aOp.mToken, outcome, aFleet.mNow);
  return true;
}

auto FinishOp(Fleet& aFleet, Host& aHost, std::size_t aIndex) -> void
{
  const auto op = std::move(aHost.mOps[aIndex]);
  aHost.mOps.erase(aHost.mOps.begin() + static_cast<std::ptrdiff_t>(aIndex));
  switch (op.mKind) {
    case WorkerAction::Kind::Commit:
      FinishCommit(aFleet, aHost, op);
      break;
    case WorkerAction::Kind::Load:
      FinishLoad(aFleet, aHost, op);
      break;
    case WorkerAction::Kind::Dispatch:
      FinishDispatch(aFleet, aHost, op);
      break;
    case WorkerAction::Kind::Stop:
      break;
  }
}

// Executes one random event.
auto RandomEvent(Fleet& aFleet) -> void
{
  auto& random = aFleet.mRandom;
  auto& host = aFleet.mHosts[UniformBelow(random, aFleet.mHosts.size())];
  const auto event = UniformBelow(random, 100);
  if (event < 35) {
    StepHost(aFleet, host);
  } else if (event < 75) {
    if (!host.mOps.empty()) {
      FinishOp(aFleet, host, UniformBelow(random, host.mOps.size()));
    }
  } else if (event < 85) {
    const auto behind = aFleet.mLog.mEntries.size() + 1 - host.mReplica.mNext;
    Replay(host.mReplica,
           aFleet.mLog,
           host.mReplica.mNext + UniformBelow(random, behind + 1));
  } else if (event < 92) {
    aFleet.mNow += milliseconds(UniformBelow(random, 3000));
  } else if (event < 95) {
    if (!aFleet.mLate.empty()) {
      const auto late = UniformBelow(random, aFleet.mLate.size());
      Append(aFleet.mLog, { aFleet.mLate[late] });
    }
  } else if (event < 97) {
    CrashHost(aFleet, host);
  } else if (event < 98) {
    aFleet.mOutage = !aFleet.mOutage;
  } else if (event < 99) {
    host.mDrainDeadline = aFleet.mNow + seconds(UniformBelow(random, 3));
  } else {
    aFleet.mLimit = static_cast<std::uint32_t>(UniformBelow(random, 4));
  }
}

// Runs without further faults until every job is finished; false if that takes
// more rounds than a correct run can need.
auto Settle(Fleet& aFleet) -> bool
{
  aFleet.mFaults.mOn = false;
  aFleet.mOutage = false;
  aFleet.mLimit = 3;
  for (auto& host : aFleet.mHosts) {
    if (host.mDrainDeadline) {
      StartHost(host);
    }
  }
  for (auto round = 0; round < 400; ++round) {
    aFleet.mNow += seconds(5);
    auto finished = true;
    for (auto& host : aFleet.mHosts) {
      ReplayAll(host.mReplica, aFleet.mLog);
      StepHost(aFleet, host);
      while (!host.mOps.empty()) {
        FinishOp(aFleet, host, 0);
      }
      for (const auto& [key, job] : host.mReplica.mState.mJobs) {
        finished = finished && job.mFinished.has_value();
      }
    }
    if (finished) {
      return true;
    }
  }
  return false;
}

// Expected results from the raw log: the first one of each item, none after a
// cancellation.
auto ResultsOfLog(const FakeLog& aLog, const JobKey& aKey)
  -> std::map<std::uint32_t, std::string>
{
  std::map<std::uint32_t, std::string> results;
  for (const auto& entry : aLog.mEntries) {
    const auto* const batch = record::GetRecordBatch(entry.mPayload.data());
    for (const auto* const found : *batch->records()) {
      const auto* const cancel = found->body_as_JobCancelled();
      if (cancel != nullptr && cancel->job()->str() == aKey.mJob) {
        return results;
      }
      const auto* const body = found->body_as_ItemResults();
      if (body == nullptr || body->carried() ||
          body->job()->str() != aKey.mJob) {
        continue;
      }
      for (const auto* const result : *body->results()) {
        results.try_emplace(result->index(), result->body()->str());
      }
    }
  }
  return results;
}

// Checks that a job has exactly one result per item, the first one in the log.
auto CheckJob(const Fleet& aFleet, const JobKey& aKey) -> void
{
  Replica replica;
  ReplayAll(replica, aFleet.mLog);
  const auto* const job = FindJob(replica.mState, aKey);
  RC_ASSERT(job != nullptr);
  const auto readable = ReadableResults(aFleet.mLog, *job);
  const auto expected = ResultsOfLog(aFleet.mLog, aKey);
  RC_ASSERT(readable.size() == expected.size());
  RC_ASSERT(readable.size() == job->FinishedCount());
  RC_ASSERT(job->mCancelled || readable.size() == job->mItemCount);
  const auto items = TestItems(job->mItemCount);
  for (const auto& [index, outcome] : readable) {
    RC_ASSERT(outcome.mBody == expected.at(index));
    RC_ASSERT(outcome.mCustomId == items[index].mCustomId);
    if (outcome.mStatus == record::ItemStatus::Done) {
      RC_ASSERT(outcome.mBody == items[index].mBody);
    }
  }
  for (const auto& host : aFleet.mHosts) {
    RC_ASSERT(Save(host.mReplica.mState) == Save(replica.mState));
  }
}

auto Check(const std::string& aName,
           int aRuns,
           const std::function<void(std::uint64_t)>& aBody) -> void
{
  rc::detail::TestParams params;
  params.seed = 20240817;
  params.maxSuccess = aRuns;
  rc::detail::TestMetadata metadata;
  metadata.id = aName;
  const auto result = rc::detail::checkTestable(
    [&](std::uint64_t aSeed) { aBody(aSeed); }, metadata, params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  INFO(message.str());
  CHECK(result.template is<rc::detail::SuccessResult>());
}

// Guards against items with no result or two results, and against a second run
// of a non-repeatable item, under any combination of host and log faults.
TEST_CASE("every accepted item gets exactly one result")
{
  Check("one result", 300, [](std::uint64_t aSeed) {
    auto fleet = NewFleet(aSeed, {}, 3);
    AddJob(fleet, kRepeatable, true, 14);
    AddJob(fleet, kOnce, false, 9);
    for (auto event = 0; event < 600; ++event) {
      RandomEvent(fleet);
    }
    RC_ASSERT(Settle(fleet));
    CheckJob(fleet, kRepeatable);
    CheckJob(fleet, kOnce);
    for (const auto& [item, runs] : fleet.mRuns) {
      RC_ASSERT(item.first != kOnce.mJob || runs <= 1U);
    }
  });
}

// Guards against a cancelled job that continues to run.
TEST_CASE("a cancelled job gets no results and starts no items")
{
  Check("cancel", 200, [](std::uint64_t aSeed) {
    auto fleet = NewFleet(aSeed, {}, 3);
    AddJob(fleet, kRepeatable, true, 40);
    for (auto event = 0; event < 150; ++event) {
      RandomEvent(fleet);
    }
    Append(fleet.mLog, { DraftJobCancelled(kRepeatable) });
    for (auto event = 0; event < 200; ++event) {
      RandomEvent(fleet);
    }
    RC_ASSERT(Settle(fleet));
    CheckJob(fleet, kRepeatable);
    RC_ASSERT(fleet.mRunsAfterCancel == 0U);
  });
}

// Runs one host until it crashes at its operation number aCrashAt, whose effect
// is applied before the crash if aEffect is set. False if the host has fewer
// operations.
auto RunUntilCrash(Fleet& aFleet, std::size_t aCrashAt, bool aEffect) -> bool
{
  auto& host = aFleet.mHosts[0];
  std::size_t number = 0;
  for (auto round = 0; round < 40; ++round) {
    aFleet.mNow += seconds(1);
    ReplayAll(host.mReplica, aFleet.mLog);
    StepHost(aFleet, host);
    while (!host.mOps.empty()) {
      if (number++ != aCrashAt) {
        FinishOp(aFleet, host, 0);
        continue;
      }
      if (aEffect) {
        FinishOp(aFleet, host, 0);
      } else if (host.mOps[0].mKind == WorkerAction::Kind::Dispatch) {
        // The request was sent, and the host crashed before the response.
        const auto& dispatch = host.mOps[0].mDispatch;
        ++aFleet.mRuns[{ dispatch.mKey.mJob, dispatch.mIndex }];
      }
      host.mOps.clear();
      StartHost(host);
      return true;
    }
  }
  return false;
}

// Guards against an item without a result, with two results or with two runs
// when its host crashes at any step between claim, intent, dispatch and result.
TEST_CASE("a host crash at any step leaves one result per item")
{
  for (const auto repeatable : { true, false }) {
    for (const auto effect : { true, false }) {
      auto crashed = true;
      std::size_t at = 0;
      for (; crashed; ++at) {
        auto fleet = NewFleet(1, { false, Poison::None }, 2);
        AddJob(fleet, kOnce, repeatable, 9);
        crashed = RunUntilCrash(fleet, at, effect);
        CAPTURE(at);
        REQUIRE(Settle(fleet));
        CheckJob(fleet, kOnce);
        for (const auto& [item, runs] : fleet.mRuns) {
          CHECK((repeatable || runs <= 1U));
        }
      }
      CHECK(at > 15);
    }
  }
}

// Guards against a permanently failing item that delays or fails other items.
TEST_CASE("a failing item is reported as failed and the other items finish")
{
  auto fleet = NewFleet(1, { false, Poison::Fails }, 2);
  AddJob(fleet, kRepeatable, true, 12, 12);
  auto& host = fleet.mHosts[0];
  host.mSettings.mFlushItems = 64;
  for (auto round = 0; round < 15; ++round) {
    fleet.mNow += milliseconds(300);
    ReplayAll(host.mReplica, fleet.mLog);
    StepHost(fleet, host);
    while (!host.mOps.empty()) {
      FinishOp(fleet, host, 0);
    }
  }
  const auto* job = FindJob(host.mReplica.mState, kRepeatable);
  CHECK_FALSE(IsFinished(*job, kPoisonItem));
  CHECK(IsFinished(*job, kPoisonItem - 1));
  CHECK(IsFinished(*job, kPoisonItem + 1));
  REQUIRE(Settle(fleet));
  CheckJob(fleet, kRepeatable);
  job = FindJob(host.mReplica.mState, kRepeatable);
  CHECK(job->mDone == 11);
  const auto failed = ReadableResults(fleet.mLog, *job).at(kPoisonItem);
  CHECK(failed.mStatus == record::ItemStatus::Failed);
  CHECK(failed.mAttempts == 3);
  CHECK(failed.mHttpStatus == 500);
}

// Guards against an item that crashes one host after another without a bound.
TEST_CASE("an item that crashes its hosts is reported as failed")
{
  auto fleet = NewFleet(1, { false, Poison::CrashesHost }, 3);
  AddJob(fleet, kRepeatable, true, 12);
  REQUIRE(Settle(fleet));
  CheckJob(fleet, kRepeatable);
  const auto* const job = FindJob(fleet.mHosts[0].mReplica.mState, kRepeatable);
  CHECK(job->mDone == 11);
  CHECK(ReadableResults(fleet.mLog, *job).at(kPoisonItem).mStatus ==
        record::ItemStatus::Failed);
  const WorkerSettings settings;
  CHECK(fleet.mCrashes ==
        settings.mSuspectTakeovers + job->mOptions.mMaxAttempts);
}

// Guards against results that are dropped or exhaust the memory during a long
// outage of the log.
TEST_CASE("buffered results are bounded and kept during a long log outage")
{
  auto fleet = NewFleet(1, { false, Poison::None }, 1);
  AddJob(fleet, kRepeatable, true, 40, 40);
  auto& host = fleet.mHosts[0];
  host.mSettings.mMaxBufferedBytes = 200;
  for (auto round = 0; round < 200; ++round) {
    fleet.mOutage = round >= 8;
    fleet.mNow += seconds(1);
    ReplayAll(host.mReplica, fleet.mLog);
    StepHost(fleet, host);
    for (auto ops = host.mOps.size(); ops > 0; --ops) {
      FinishOp(fleet, host, 0);
    }
    // Items that were running when the bound was reached still add results.
    CHECK(host.mWorker.mBufferedBytes < 200 + fleet.mLimit * 100);
  }
  CHECK(host.mWorker.mBufferedBytes >= 200);
  CHECK(fleet.mRuns.size() < 40);
  REQUIRE(Settle(fleet));
  CheckJob(fleet, kRepeatable);
  CHECK(fleet.mRuns.size() == 40);
  for (const auto& [item, runs] : fleet.mRuns) {
    CHECK(runs == 1);
  }
}

// Guards against yielding too late, yielding too many streams, and yielding
// items that must not be repeated.
TEST_CASE("a lower limit stops only the newest streams")
{
  for (const auto repeatable : { true, false }) {
    auto fleet = NewFleet(1, { false, Poison::None }, 1);
    AddJob(fleet, kRepeatable, repeatable, 8);
    auto& host = fleet.mHosts[0];
    for (auto round = 0; round < 20 && host.mWorker.mRunning.size() < 3;
         ++round) {
      fleet.mNow += seconds(1);
      ReplayAll(host.mReplica, fleet.mLog);
      StepHost(fleet, host);
      for (std::size_t i = 0; i < host.mOps.size();) {
        host.mOps[i].mKind == WorkerAction::Kind::Dispatch
          ? static_cast<void>(++i)
          : FinishOp(fleet, host, i);
      }
    }
    REQUIRE(host.mWorker.mRunning.size() == 3);
    fleet.mLimit = 1;
    StepHost(fleet, host);
    std::vector<StopReason> stops;
    for (const auto& [token, running] : host.mWorker.mRunning) {
      stops.push_back(running.mStop);
    }
    const auto stop = repeatable ? StopReason::Yield : StopReason::None;
    CHECK(stops == std::vector{ StopReason::None, stop, stop });
  }
}

// Guards against a drained host that keeps claims or drops results.
TEST_CASE("draining writes results and releases every claim")
{
  auto fleet = NewFleet(1, { false, Poison::None }, 1);
  AddJob(fleet, kRepeatable, true, 40);
  auto& host = fleet.mHosts[0];
  for (auto round = 0; round < 12; ++round) {
    fleet.mNow += seconds(1);
    if (round == 6) {
      host.mDrainDeadline = fleet.mNow + seconds(3);
    }
    ReplayAll(host.mReplica, fleet.mLog);
    StepHost(fleet, host);
    while (!host.mOps.empty()) {
      FinishOp(fleet, host, 0);
    }
  }
  CHECK(IsIdle(host.mWorker));
  const auto* const job = FindJob(host.mReplica.mState, kRepeatable);
  CHECK(job->mUnclaimed.size() == job->mOpen.size());
  CHECK(job->mDone == fleet.mRuns.size());
  CHECK(job->mDone > 0);
}

} // namespace
} // namespace mangovalve
