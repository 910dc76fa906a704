// Tests of the replayed batch index.
#include "mangovalve/batch/state.h"

#include <doctest/doctest.h>

#include "mangovalve/batch/fake_log_test.h"

namespace mangovalve {
namespace {

using namespace batch_fake;

const JobKey kKey{ "team-a", "night" };

auto Options(bool aRepeatable = true) -> JobOptions
{
  JobOptions options;
  options.mRoute = "hints";
  options.mChunkSize = 4;
  options.mRepeatable = aRepeatable;
  return options;
}

struct World
{
  FakeLog mLog;
  Replica mReplica;

  auto Commit(const RecordDraft& aDraft) -> Verdict
  {
    return CommitNow(mLog, mReplica, aDraft);
  }
  auto Job() -> const BatchJob& { return *FindJob(mReplica.mState, kKey); }
  auto Claim(std::uint32_t aChunk, const std::string& aHost, Offset aEnds)
    -> Verdict
  {
    return Commit(DraftChunkClaimed(kKey, aChunk, aHost, aEnds));
  }
  auto Report(std::uint32_t aIndex,
              Offset aClaim,
              record::ItemStatus aStatus = record::ItemStatus::Done) -> Verdict
  {
    return Commit(
      DraftItemResults(kKey,
                       aIndex / 4,
                       aClaim,
                       0,
                       { { aIndex,
                           aStatus,
                           1,
                           200,
                           "c",
                           "by claim " + std::to_string(aClaim) } }));
  }
};

// Guards against an acknowledged job with missing items.
TEST_CASE("a seal is rejected until the bodies of all items are in the log")
{
  World world;
  const auto upload = world.Commit(DraftJobOpened(kKey, Options())).mDetail;
  auto items = TestItems(10);
  const std::vector<ItemBody> tail(items.begin() + 6, items.end());
  CHECK(world.Commit(DraftJobItems(kKey, upload, tail)).mAccepted);
  CHECK(world.Commit(DraftJobSealed(kKey, upload, 10, "d")).mReason ==
        "items_missing");
  items.resize(6);
  CHECK(world.Commit(DraftJobItems(kKey, upload, items)).mAccepted);
  CHECK(world.Commit(DraftJobItems(kKey, upload, items)).mAccepted);
  items.resize(5);
  CHECK(world.Commit(DraftJobItems(kKey, upload, items)).mReason == "overlap");
  CHECK(world.Commit(DraftJobSealed(kKey, upload, 11, "d")).mReason ==
        "items_missing");
  CHECK(world.Commit(DraftJobSealed(kKey, upload, 10, "d")).mAccepted);
  CHECK(ChunkCount(world.Job()) == 3);
  CHECK(ItemsInChunk(world.Job(), 2) == 2);
}

// Guards against a resend that creates a second job or replaces the first one.
TEST_CASE("the first seal of a job determines its content")
{
  World world;
  const auto first = world.Commit(DraftJobOpened(kKey, Options())).mDetail;
  const auto second = world.Commit(DraftJobOpened(kKey, Options())).mDetail;
  const auto third = world.Commit(DraftJobOpened(kKey, Options())).mDetail;
  for (const auto upload : { first, second, third }) {
    world.Commit(DraftJobItems(kKey, upload, TestItems(3)));
  }
  CHECK(world.Commit(DraftJobSealed(kKey, second, 3, "same")).mAccepted);
  const auto opened = world.Job().mOpened;
  CHECK(world.Commit(DraftJobSealed(kKey, first, 3, "same")).mAccepted);
  CHECK(world.Commit(DraftJobSealed(kKey, third, 3, "other")).mReason ==
        "different_content");
  CHECK(world.Job().mOpened == opened);
  CHECK(world.Job().mOpened == second);
  CHECK(world.mReplica.mState.mUploads.empty());
  CHECK(world.Commit(DraftJobItems(kKey, first, TestItems(3))).mReason ==
        "unknown_upload");
}

// Guards against two hosts that hold the same chunk.
TEST_CASE("a claim is accepted only if it names the current claim")
{
  World world;
  SealJob(world.mLog, world.mReplica, kKey, Options(), 8);
  const auto first = world.Claim(0, "a", 0).mDetail;
  const auto refused = world.Claim(0, "b", 0);
  CHECK(refused.mReason == "not_current");
  CHECK(refused.mDetail == first);
  const auto second = world.Claim(0, "b", first);
  CHECK(second.mAccepted);
  CHECK(world.Claim(0, "c", first).mReason == "not_current");
  CHECK(world.Job().mOpen.at(0).mHolder == "b");
  CHECK(world.Job().mOpen.at(0).mTakeovers == 1);
  CHECK(world.Commit(DraftChunkReleased(kKey, 0, first)).mReason ==
        "not_current");
  CHECK(world.Commit(DraftChunkReleased(kKey, 0, second.mDetail)).mAccepted);
  CHECK(world.Job().mUnclaimed.contains(0));
  CHECK(world.Claim(7, "a", 0).mReason == "not_open");
}

// Guards against a second result of an item, and against a result that is
// rejected because the claim of its host was superseded.
TEST_CASE("the first result of an item counts under any claim")
{
  World world;
  SealJob(world.mLog, world.mReplica, kKey, Options(), 5);
  const auto first = world.Claim(0, "a", 0).mDetail;
  const auto second = world.Claim(0, "b", first).mDetail;
  CHECK(world.Report(1, first).mAccepted);
  CHECK(world.Report(1, second).mReason == "duplicate");
  CHECK(world.Report(0, second).mAccepted);
  CHECK(world.Report(2, second, record::ItemStatus::Failed).mAccepted);
  CHECK(world.Report(3, second, record::ItemStatus::OutcomeUnknown).mAccepted);
  CHECK(world.Claim(0, "c", second).mReason == "not_open");
  CHECK(world.Report(0, second).mReason == "duplicate");
  CHECK_FALSE(world.Job().mFinished);
  CHECK(world.Report(4, 0).mAccepted);
  CHECK(world.Job().mFinished);
  CHECK(world.Job().mDone == 3);
  CHECK(world.Job().mFailed == 1);
  CHECK(world.Job().mUnknown == 1);
  CHECK(ReadableResults(world.mLog, world.Job()).at(1).mBody ==
        "by claim " + std::to_string(first));
  CHECK(world.Report(9, 0).mReason == "unknown_job");
}

// Guards against results and claims that are recorded for a cancelled job.
TEST_CASE("results and claims of a cancelled job are rejected")
{
  World world;
  SealJob(world.mLog, world.mReplica, kKey, Options(), 8);
  const auto claim = world.Claim(0, "a", 0).mDetail;
  world.Report(1, claim);
  CHECK(world.Commit(DraftJobCancelled(kKey)).mAccepted);
  CHECK(world.Commit(DraftJobCancelled(kKey)).mAccepted);
  CHECK(world.Report(2, claim).mReason == "cancelled");
  CHECK(world.Claim(1, "a", 0).mReason == "not_open");
  CHECK(world.Job().mDone == 1);
  CHECK(ReadableResults(world.mLog, world.Job()).size() == 1);
  CHECK(world.Commit(DraftJobCancelled({ "team-b", "night" })).mReason ==
        "unknown_job");
}

// Guards against a second run of a non-repeatable item.
TEST_CASE("an intent is accepted once and only under the current claim")
{
  World world;
  SealJob(world.mLog, world.mReplica, kKey, Options(false), 4);
  const auto first = world.Claim(0, "a", 0).mDetail;
  CHECK(world.Commit(DraftItemIntent(kKey, 1, first)).mAccepted);
  CHECK(world.Commit(DraftItemIntent(kKey, 1, first)).mReason ==
        "intent_exists");
  const auto second = world.Claim(0, "b", first).mDetail;
  CHECK(world.Commit(DraftItemIntent(kKey, 2, first)).mReason == "not_current");
  CHECK(world.Commit(DraftItemIntent(kKey, 1, second)).mReason ==
        "intent_exists");
  CHECK(IntentCount(world.Job(), 1) == 1);
  CHECK(IntentCount(world.Job(), 2) == 0);
}

// Guards against wrong positions after the index of a finished job was packed,
// or after a re-appended copy far ahead of its neighbours replaced one of them.
TEST_CASE("packing preserves the result positions of every chunk")
{
  World world;
  SealJob(world.mLog, world.mReplica, kKey, Options(), 10);
  std::vector<Position> expected(10);
  for (const auto index : { 9U, 0U, 5U, 1U, 4U, 2U, 3U, 8U, 6U, 7U }) {
    world.Report(index, 0);
    expected[index] = world.mLog.mEntries.size() << kPositionIndexBits;
  }
  REQUIRE(world.Job().mFinished);
  CHECK(ResultPositions(world.Job(), 0) ==
        std::vector(expected.begin(), expected.begin() + 4));
  CHECK(ResultPositions(world.Job(), 2) ==
        std::vector{ expected[9], expected[8] });
  CHECK(ResultPositions(world.Job(), 3).empty());
  const auto middle = ResultPositions(world.Job(), 1);
  const auto last = ResultPositions(world.Job(), 2);
  world.mLog.mEntries.resize(100000, world.mLog.mEntries[0]);
  const auto copy =
    DraftItemResults(kKey, 1, 0, middle[1], { { 4, {}, 1, 200, "c", "x" } });
  CHECK(world.Commit(copy).mAccepted);
  CHECK(ResultPositions(world.Job(), 1) ==
        std::vector{ middle[0],
                     Position{ 100001 } << kPositionIndexBits,
                     middle[2],
                     middle[3] });
  CHECK(ResultPositions(world.Job(), 2) == last);
}

// Guards against results that are dropped early, and against an index that
// grows without bound or drops a job id while a resend is still possible.
TEST_CASE("results are dropped after 72 h and job ids after 30 days")
{
  World world;
  SealJob(world.mLog, world.mReplica, kKey, Options(), 1);
  world.Report(0, 0);
  const JobKey other{ "team-b", "tick" };
  const auto at = [&](std::chrono::milliseconds aTime) {
    world.mLog.mTime = LogTime(aTime);
    world.Commit(DraftJobOpened(other, Options()));
  };
  at(kResultRetention);
  CHECK_FALSE(world.Job().mExpired);
  CHECK(ReadableResults(world.mLog, world.Job()).size() == 1);
  at(kResultRetention + std::chrono::minutes(2));
  CHECK(world.Job().mExpired);
  CHECK(world.mReplica.mState.mUploads.size() == 2);
  at(kJobIdRetention);
  CHECK(world.mReplica.mState.mUploads.size() == 1);
  CHECK(FindJob(world.mReplica.mState, kKey) != nullptr);
  at(kJobIdRetention + std::chrono::minutes(2));
  CHECK(FindJob(world.mReplica.mState, kKey) == nullptr);
}

// Guards against hosts that start from a snapshot and give other verdicts on
// later records than hosts that replayed the whole log.
TEST_CASE("a loaded snapshot gives the same verdicts and state")
{
  World world;
  SealJob(world.mLog, world.mReplica, kKey, Options(false), 10);
  const auto claim = world.Claim(1, "a", 0).mDetail;
  world.Claim(2, "b", world.Claim(2, "a", 0).mDetail);
  world.Commit(DraftItemIntent(kKey, 5, claim));
  world.Report(6, claim);
  const JobKey other{ "team-b", "x" };
  const auto upload = world.Commit(DraftJobOpened(other, Options())).mDetail;
  world.Commit(DraftJobItems(other, upload, TestItems(2)));

  Replica loaded = world.mReplica;
  REQUIRE(Load(Save(world.mReplica.mState), loaded.mState).has_value());
  CHECK(Save(loaded.mState) == Save(world.mReplica.mState));
  Append(world.mLog,
         { DraftItemIntent(kKey, 5, claim),
           DraftItemIntent(kKey, 7, claim),
           DraftChunkClaimed(kKey, 0, "c", 0),
           DraftChunkClaimed(kKey, 2, "c", 0),
           DraftJobSealed(other, upload, 2, "d"),
           DraftJobCancelled(kKey) });
  ReplayAll(world.mReplica, world.mLog);
  ReplayAll(loaded, world.mLog);
  CHECK(Save(loaded.mState) == Save(world.mReplica.mState));
  for (const auto& [id, verdict] : world.mReplica.mVerdicts) {
    CHECK(loaded.mVerdicts.at(id).mReason == verdict.mReason);
  }
}

// Guards against a corrupt snapshot that crashes the host or is loaded
// partially.
TEST_CASE("a corrupt snapshot is rejected")
{
  World world;
  SealJob(world.mLog, world.mReplica, kKey, Options(), 10);
  world.Report(6, 0);
  const auto saved = Save(world.mReplica.mState);
  BatchState state;
  for (std::size_t size = 1; size < saved.size(); size += 7) {
    if (!Load(saved.substr(0, size), state)) {
      CHECK(state.mJobs.empty());
    }
  }
  CHECK_FALSE(Load("damaged snapshot, no table", state).has_value());
  CHECK(Load("", state).has_value());
}

} // namespace
} // namespace mangovalve
