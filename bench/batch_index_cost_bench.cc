// Scenario batch_index_cost: memory and time per item of the batch index at
// several job sizes, and what 120 million items a day would take.
//
// Items are reported 32 to a result record, as when a chunk's holder writes a
// record every two seconds. Bytes are those of the heap, by malloc's count.
#include <chrono>
#include <string>
#include <vector>

#include <malloc.h>

#include "bench/scenarios.h"
#include "mangovalve/batch/records.h"
#include "mangovalve/batch/state.h"

namespace mangovalve::bench {
namespace {

constexpr std::uint32_t kItemsPerRecord = 32;
constexpr std::uint32_t kItemsPerUpload = 256;
constexpr double kItemsPerDay = 120e6;
constexpr double kJobsPerDay = 3900;

auto HeapBytes() -> double
{
  return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd);
}

// Applies records one by one at consecutive offsets and adds up the time.
struct Applier
{
  BatchState mState;
  Offset mOffset = 0;
  std::chrono::nanoseconds mTime{};

  auto Apply(const RecordDraft& aDraft) -> Verdict
  {
    flatbuffers::FlatBufferBuilder builder;
    const auto body = aDraft.mBuild(builder);
    const record::RecordId id(aDraft.mId.mHigh, aDraft.mId.mLow);
    builder.Finish(record::CreateRecord(builder, &id, aDraft.mType, body));
    const auto* const found =
      flatbuffers::GetRoot<record::Record>(builder.GetBufferPointer());
    const RecordContext context{ ++mOffset, 0, {} };
    const auto begin = std::chrono::steady_clock::now();
    const auto verdict = Dispatch(context, *found);
    mTime += std::chrono::steady_clock::now() - begin;
    return verdict;
  }

  auto Dispatch(const RecordContext& aContext, const record::Record& aRecord)
    -> Verdict
  {
    using mangovalve::Apply;
    switch (aRecord.body_type()) {
      case record::RecordBody::JobOpened:
        return Apply(mState, aContext, *aRecord.body_as_JobOpened());
      case record::RecordBody::JobItems:
        return Apply(mState, aContext, *aRecord.body_as_JobItems());
      case record::RecordBody::JobSealed:
        return Apply(mState, aContext, *aRecord.body_as_JobSealed());
      case record::RecordBody::ChunkClaimed:
        return Apply(mState, aContext, *aRecord.body_as_ChunkClaimed());
      default:
        return Apply(mState, aContext, *aRecord.body_as_ItemResults());
    }
  }
};

auto SealJob(Applier& aApplier, const JobKey& aKey, std::uint32_t aItems)
  -> void
{
  const auto upload = aApplier.Apply(DraftJobOpened(aKey, {})).mDetail;
  for (std::uint32_t first = 0; first < aItems; first += kItemsPerUpload) {
    std::vector<ItemBody> items(std::min(kItemsPerUpload, aItems - first));
    items[0].mIndex = first;
    aApplier.Apply(DraftJobItems(aKey, upload, items));
  }
  aApplier.Apply(DraftJobSealed(aKey, upload, aItems, std::string(64, 'd')));
}

// Claims every chunk and reports its items, the first aItems of the job.
auto Finish(Applier& aApplier, const JobKey& aKey, std::uint32_t aItems) -> void
{
  const auto size = JobOptions{}.mChunkSize;
  for (std::uint32_t first = 0; first < aItems; first += kItemsPerRecord) {
    if (first % size == 0) {
      aApplier.Apply(DraftChunkClaimed(aKey, first / size, "host-1@1", 0));
    }
    std::vector<ItemOutcome> outcomes(
      std::min(kItemsPerRecord, aItems - first));
    for (std::uint32_t i = 0; i < outcomes.size(); ++i) {
      outcomes[i].mIndex = first + i;
    }
    aApplier.Apply(DraftItemResults(aKey, first / size, 0, 0, outcomes));
  }
}

struct Cost
{
  double mOpenBytes = 0; // sealed, nothing finished
  double mDoneBytes = 0; // all finished, results readable
  double mNanoseconds = 0;
};

auto Measure(std::uint32_t aItems) -> Cost
{
  const auto before = HeapBytes();
  Applier applier;
  const JobKey key{ "team", "job-of-the-night" };
  SealJob(applier, key, aItems);
  Cost cost;
  cost.mOpenBytes = HeapBytes() - before;
  Finish(applier, key, aItems);
  cost.mDoneBytes = HeapBytes() - before;
  cost.mNanoseconds = static_cast<double>(applier.mTime.count());
  return cost;
}

// Least-squares slope of y over x.
auto Slope(const std::vector<double>& aX, const std::vector<double>& aY)
  -> double
{
  double x = 0;
  double y = 0;
  for (std::size_t i = 0; i < aX.size(); ++i) {
    x += aX[i] / static_cast<double>(aX.size());
    y += aY[i] / static_cast<double>(aX.size());
  }
  double xy = 0;
  double xx = 0;
  for (std::size_t i = 0; i < aX.size(); ++i) {
    xy += (aX[i] - x) * (aY[i] - y);
    xx += (aX[i] - x) * (aX[i] - x);
  }
  return xy / xx;
}

auto BatchIndexCost(Report& aReport) -> void
{
  Measure(1000); // allocates what libraries keep for the process
  std::vector<double> items;
  std::vector<double> open;
  std::vector<double> done;
  std::vector<double> time;
  for (const std::uint32_t size : { 1000U, 10000U, 30000U, 100000U, 470000U }) {
    const auto cost = Measure(size);
    items.push_back(size);
    open.push_back(cost.mOpenBytes);
    done.push_back(cost.mDoneBytes);
    time.push_back(cost.mNanoseconds);
    const auto name = "items_" + std::to_string(size);
    aReport.Figure(name + "_open_bytes_per_item", cost.mOpenBytes / size);
    aReport.Figure(name + "_done_bytes_per_item", cost.mDoneBytes / size);
    aReport.Figure(name + "_ns_per_item", cost.mNanoseconds / size);
  }
  aReport.Figure("slope_open_bytes_per_item", Slope(items, open));
  aReport.Figure("slope_done_bytes_per_item", Slope(items, done));
  aReport.Figure("slope_ns_per_item", Slope(items, time));
  const auto days =
    std::chrono::duration<double, std::ratio<86400>>(kResultRetention).count();
  const auto perJob = done[0] - Slope(items, done) * items[0];
  const auto perDay =
    kItemsPerDay * Slope(items, done) + kJobsPerDay * std::max(0.0, perJob);
  aReport.Figure("projected_mb_for_readable_results", perDay * days / 1e6);
  aReport.Figure("projected_share_of_a_core",
                 kItemsPerDay * Slope(items, time) / 86400e9);
}

const Registration kBatchIndexCost("batch_index_cost", BatchIndexCost);

} // namespace
} // namespace mangovalve::bench
