// Tests of one partition of batch jobs against a store in memory, at which
// other owners write.
#include "mangovalve/batch/job_partition.h"

#include <doctest/doctest.h>

#include "standins/common/keyed_store.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kTopic = "keyed.jobs";
constexpr auto kTeam = "red";
constexpr std::uint64_t kGeneration = 5;

auto ToStored(const KeyedRecord& aRecord) -> std::string
{
  return std::string(1, static_cast<char>(aRecord.mKey.size())) + aRecord.mKey +
         aRecord.mValue;
}

// The store's calls, answered at once.
struct MemoryStore
{
  asio::io_context mLoop{ 1 };
  standin::KeyedStore mStore;
  TablePorts mPorts;
  std::size_t mPageRecords = 500;
  std::size_t mPagesRead = 0;
  // Called after each page has been read, with their number.
  std::function<void(std::size_t)> mOnPage = [](std::size_t) {};

  MemoryStore()
  {
    mPorts.mNewest = [this](Table /*aTable*/,
                            std::uint32_t aPartition,
                            std::string aAfterKey,
                            TimePoint /*aDeadline*/) {
      return Newest(aPartition, std::move(aAfterKey));
    };
    mPorts.mAppend = [this](Table /*aTable*/,
                            std::uint32_t aPartition,
                            std::vector<KeyedRecord> aRecords,
                            std::optional<WriterFence> aFence,
                            TimePoint /*aDeadline*/) {
      return Append(aPartition, std::move(aRecords), std::move(*aFence));
    };
  }

  auto Newest(std::uint32_t aPartition, std::string aAfterKey)
    -> Task<TableResult<TablePage>>
  {
    const auto* partition = standin::FindPartition(mStore, kTopic, aPartition);
    TablePage page;
    auto record = partition->mNewest.upper_bound(aAfterKey);
    for (; record != partition->mNewest.end() &&
           page.mRecords.size() < mPageRecords;
         ++record) {
      page.mRecords.push_back({ record->first, record->second.first, 0 });
    }
    page.mMore = record != partition->mNewest.end();
    page.mEnd = standin::EndOf(*partition);
    mOnPage(++mPagesRead);
    co_return page;
  }

  auto Append(std::uint32_t aPartition,
              std::vector<KeyedRecord> aRecords,
              WriterFence aFence) -> Task<TableResult<Offset>>
  {
    const auto answer = AppendAs(aPartition, aRecords, aFence);
    switch (answer.mStatus) {
      case 200:
        co_return answer.mEnd;
      case 409:
        co_return Err(
          answer.mWhy == "fenced"
            ? TableError{ TableErrorKind::Fenced, 0 }
            : TableError{ TableErrorKind::Sequence, answer.mExpected });
      case 412:
        co_return Err(TableError{ TableErrorKind::Moved, 0 });
      default:
        co_return Err(TableError{ TableErrorKind::Rejected, 0 });
    }
  }

  auto AppendAs(std::uint32_t aPartition,
                const std::vector<KeyedRecord>& aRecords,
                const WriterFence& aFence) -> standin::AppendAnswer
  {
    standin::AppendCall call;
    call.mTopic = kTopic;
    call.mPartition = aPartition;
    call.mProducer = aFence.mWriter;
    call.mEpoch = aFence.mToken;
    call.mSequence = aFence.mSequence;
    call.mAt = aFence.mEndsAt;
    for (const auto& record : aRecords) {
      call.mRecords.push_back(ToStored(record));
    }
    return standin::Append(mStore, call, Clock::now());
  }

  auto Open(std::uint64_t aGeneration, WallTime aOpenedAt) -> JobPartitionPtr
  {
    auto partition =
      std::make_shared<JobPartition>(mLoop, mPorts, 0, aGeneration, aOpenedAt);
    Spawn(mLoop, partition->Run());
    return partition;
  }

  auto RunUntil(const std::function<auto()->bool>& aDone) -> void
  {
    const auto deadline = Clock::now() + seconds(20);
    while (!aDone()) {
      REQUIRE(Clock::now() < deadline);
      mLoop.restart();
      mLoop.run_for(milliseconds(2));
    }
  }

  auto Submit(const JobPartitionPtr& aPartition, const std::string& aId)
    -> JobOutcome
  {
    std::optional<JobOutcome> outcome;
    Spawn(mLoop,
          [](JobPartitionPtr aTo,
             std::string aJob,
             std::optional<JobOutcome>& aInto) -> Task<> {
            aInto = co_await aTo->Submit(
              MakeJob(JobOf(aJob)), 0, 0, Clock::now() + seconds(5));
          }(aPartition, aId, outcome));
    RunUntil([&] { return outcome.has_value(); });
    return *outcome;
  }

  static auto JobOf(const std::string& aId) -> wire::JobT
  {
    wire::JobT job;
    job.team = kTeam;
    job.id = aId;
    job.host = "h.example";
    job.path = "/lex/job";
    job.submitted_ms = WallNow().time_since_epoch().count();
    job.items.push_back(std::make_unique<wire::JobItemT>());
    job.items.back()->id = aId + "x";
    job.items.back()->path = "/lex/1";
    job.items.back()->body = { 'a' };
    return job;
  }

  auto IsStored(const std::string& aId) -> bool
  {
    const auto& newest = standin::FindPartition(mStore, kTopic, 0)->mNewest;
    return std::any_of(newest.begin(), newest.end(), [&](const auto& aRecord) {
      return aRecord.first.starts_with("j/") &&
             aRecord.first.ends_with("/" + aId);
    });
  }
};

TEST_CASE("a partition that another owner changes while it is loaded is "
          "complete")
{
  // Guards against an accepted job that is not found: the owner confirms that
  // the partition ends where its last page said, while another owner has
  // accepted the job between two pages.
  MemoryStore store;
  const auto before = store.Open(kGeneration, WallNow());
  store.RunUntil([&] { return before->Active(); });
  for (const auto* id : { "a", "b", "c", "d" }) {
    REQUIRE(store.Submit(before, id) == JobOutcome::Done);
  }
  before->Stop();
  store.RunUntil([&] { return before.use_count() == 1; });

  store.mPageRecords = 2;
  store.mPagesRead = 0;
  JobPartitionPtr partition;
  store.mOnPage = [&](std::size_t aPages) {
    if (aPages != 4) {
      return;
    }
    // The page that would hold this job has been read.
    const auto job = MakeJob(MemoryStore::JobOf("A"));
    const auto records = JobRecords(*job, 256UL << 10U);
    const auto token = FenceToken(kGeneration + 2, WallNow());
    REQUIRE(store.AppendAs(0, records, { "job-owner", token, 1, {} }).mStatus ==
            200);
    partition->Reassign(kGeneration + 3);
  };
  partition = store.Open(kGeneration + 1, WallNow());
  store.RunUntil([&] {
    return partition->Stopped() ||
           (partition->Active() && partition->Confirmed());
  });
  REQUIRE(store.IsStored("A"));
  if (partition->Stopped()) { // it is opened again then
    partition = store.Open(kGeneration + 3, WallNow());
    store.RunUntil([&] { return partition->Active(); });
  }
  for (const auto* id : { "A", "a", "b", "c", "d" }) {
    CHECK(FindJob(partition->Jobs(), kTeam, id) != nullptr);
  }
}

TEST_CASE("an append that the store takes for a repetition is not confirmed")
{
  // Guards against an accepted job that is in no record, if two owners have the
  // same fencing token, for instance after a step of the clock.
  MemoryStore store;
  const auto openedAt = WallNow();
  const auto before = store.Open(kGeneration, openedAt);
  store.RunUntil([&] { return before->Active(); });
  for (const auto* id : { "a", "b", "c", "d" }) {
    REQUIRE(store.Submit(before, id) == JobOutcome::Done);
  }
  before->Stop();
  store.RunUntil([&] { return before.use_count() == 1; });
  const auto partition = store.Open(kGeneration, openedAt);
  store.RunUntil([&] { return partition->Active() || partition->Stopped(); });
  const auto outcome = store.Submit(partition, "e");
  CHECK((outcome != JobOutcome::Done || store.IsStored("e")));
}

} // namespace
} // namespace mangovalve
