// Applies batch records to the replayed index.
#include "mangovalve/batch/state.h"

#include <algorithm>
#include <utility>

namespace mangovalve {
namespace {

constexpr std::chrono::minutes kExpiryInterval{ 1 };

auto Text(const flatbuffers::String* aText) -> std::string
{
  return aText == nullptr ? std::string{} : aText->str();
}

template<typename R>
auto KeyOf(const R& aRecord) -> JobKey
{
  return { Text(aRecord.team()), Text(aRecord.job()) };
}

// Drops expired results, job ids and uploads, at most once a minute of log
// time. Depends only on log time, so that every host drops them at the same
// record.
auto Expire(BatchState& aState, const RecordContext& aContext) -> void
{
  if (aContext.mTime < aState.mNextExpiry) {
    return;
  }
  aState.mNextExpiry = aContext.mTime + kExpiryInterval;
  aState.mMarks.push_back({ aContext.mTime, aContext.mOffset });
  const auto oldest = aContext.mTime - kResultRetention;
  std::erase_if(aState.mMarks,
                [&](const TimeMark& aMark) { return aMark.mTime < oldest; });
  absl::erase_if(aState.mUploads, [&](const auto& aEntry) {
    return aEntry.second.mOpened + kMaxUploadDuration < aContext.mTime;
  });
  absl::erase_if(aState.mJobs, [&](const auto& aEntry) {
    const auto& finished = aEntry.second.mFinished;
    return finished && *finished + kJobIdRetention < aContext.mTime;
  });
  for (auto& [key, job] : aState.mJobs) {
    if (!job.mExpired && job.mFinished && *job.mFinished < oldest) {
      job.mExpired = true;
      job.mPacked = {};
      job.mPackedEnds = {};
      job.mBodies = {};
    }
  }
}

auto Find(BatchState& aState, const JobKey& aKey) -> BatchJob*
{
  const auto found = aState.mJobs.find(aKey);
  return found == aState.mJobs.end() ? nullptr : &found->second;
}

auto BitIsSet(const std::vector<std::uint64_t>& aBits, std::uint32_t aBit)
  -> bool
{
  return !aBits.empty() && (aBits[aBit / 64] >> (aBit % 64) & 1) != 0;
}

// Sets the bit; false if it was already set.
auto SetBit(std::vector<std::uint64_t>& aBits,
            std::uint32_t aSize,
            std::uint32_t aBit) -> bool
{
  if (BitIsSet(aBits, aBit)) {
    return false;
  }
  if (aBits.empty()) {
    aBits.resize((aSize + 63) / 64);
  }
  aBits[aBit / 64] |= std::uint64_t{ 1 } << (aBit % 64);
  return true;
}

// Adds a run of bodies unless it overlaps an existing one. A run with the same
// items is a resend and changes nothing.
auto AddRun(std::vector<BodyRun>& aRuns, const BodyRun& aRun) -> Verdict
{
  const auto next =
    std::lower_bound(aRuns.begin(),
                     aRuns.end(),
                     aRun.mFirst,
                     [](const BodyRun& aLeft, std::uint32_t aFirst) {
                       return aLeft.mFirst < aFirst;
                     });
  if (next != aRuns.end() && next->mFirst == aRun.mFirst &&
      next->mCount == aRun.mCount) {
    return Accepted();
  }
  if ((next != aRuns.end() && next->mFirst < aRun.mFirst + aRun.mCount) ||
      (next != aRuns.begin() &&
       std::prev(next)->mFirst + std::prev(next)->mCount > aRun.mFirst)) {
    return Rejected("overlap");
  }
  aRuns.insert(next, aRun);
  return Accepted();
}

auto CoversAllItems(const std::vector<BodyRun>& aRuns, std::uint32_t aCount)
  -> bool
{
  std::uint32_t next = 0;
  for (const auto& run : aRuns) {
    if (run.mFirst != next) {
      return false;
    }
    next += run.mCount;
  }
  return next == aCount;
}

// Moves a run of bodies to the position of its re-appended copy.
auto ReplaceBodies(BatchState& aState,
                   const RecordContext& aContext,
                   const record::JobItems& aRecord) -> Verdict
{
  auto* const job = Find(aState, KeyOf(aRecord));
  if (job == nullptr || job->mExpired) {
    return Rejected("unknown_job");
  }
  for (auto& run : job->mBodies) {
    if (run.mFirst == aRecord.first_index() &&
        run.mCount == aRecord.items()->size()) {
      run.mPosition = PositionOf(aContext);
      return Accepted();
    }
  }
  return Rejected("not_current");
}

// Appends a number as a varint: groups of 7 bits, the lowest first.
auto AppendVarint(std::string& aText, std::uint64_t aValue) -> void
{
  for (; aValue >= 0x80; aValue >>= 7) {
    aText.push_back(static_cast<char>(aValue | 0x80));
  }
  aText.push_back(static_cast<char>(aValue));
}

// Encodes positions as zigzag varints of their differences, the first from
// aBase. Differences can be negative, because a re-appended copy keeps its
// place in the list but has a later position than the records after it.
auto Pack(const std::vector<Position>& aPositions, Position aBase)
  -> std::string
{
  std::string packed;
  for (const auto position : aPositions) {
    const auto difference = static_cast<std::int64_t>(position - aBase);
    AppendVarint(packed,
                 static_cast<std::uint64_t>(difference) << 1 ^
                   static_cast<std::uint64_t>(difference >> 63));
    aBase = position;
  }
  return packed;
}

auto Unpack(std::string_view aPacked, Position aBase) -> std::vector<Position>
{
  std::vector<Position> positions;
  std::uint64_t value = 0;
  auto shift = 0;
  for (const auto byte : aPacked) {
    value |= (static_cast<std::uint64_t>(byte) & 0x7f) << shift;
    shift += 7;
    if ((byte & 0x80) == 0) {
      aBase += value >> 1 ^ (0 - (value & 1));
      positions.push_back(aBase);
      value = 0;
      shift = 0;
    }
  }
  return positions;
}

auto PackedBegin(const BatchJob& aJob, std::uint32_t aChunk) -> std::uint32_t
{
  return aChunk == 0 ? 0 : aJob.mPackedEnds[aChunk - 1];
}

// Replaces the packed positions of one chunk.
auto Repack(BatchJob& aJob,
            std::uint32_t aChunk,
            const std::vector<Position>& aPositions) -> void
{
  const auto begin = PackedBegin(aJob, aChunk);
  const auto size = aJob.mPackedEnds[aChunk] - begin;
  const auto packed = Pack(aPositions, aJob.mOpened);
  aJob.mPacked.replace(begin, size, packed);
  for (auto chunk = aChunk; chunk < aJob.mPackedEnds.size(); ++chunk) {
    aJob.mPackedEnds[chunk] += static_cast<std::uint32_t>(packed.size()) - size;
  }
}

// Moves a result record to the position of its re-appended copy. Its place in
// the list stays the same, so that the first result of an item remains the
// first.
auto ReplaceResults(BatchJob& aJob,
                    const RecordContext& aContext,
                    const record::ItemResults& aRecord) -> Verdict
{
  auto positions = ResultPositions(aJob, aRecord.chunk());
  const auto found =
    std::find(positions.begin(), positions.end(), aRecord.source());
  if (found == positions.end()) {
    return Rejected("not_current");
  }
  *found = PositionOf(aContext);
  if (aJob.mFinished) {
    Repack(aJob, aRecord.chunk(), positions);
  } else {
    aJob.mResults[aRecord.chunk()] = std::move(positions);
  }
  return Accepted();
}

auto Count(BatchJob& aJob, record::ItemStatus aStatus) -> void
{
  switch (aStatus) {
    case record::ItemStatus::Done:
      ++aJob.mDone;
      break;
    case record::ItemStatus::Failed:
      ++aJob.mFailed;
      break;
    case record::ItemStatus::OutcomeUnknown:
      ++aJob.mUnknown;
      break;
  }
}

auto KnownStatus(record::ItemStatus aStatus) -> bool
{
  return aStatus >= record::ItemStatus::MIN &&
         aStatus <= record::ItemStatus::MAX;
}

// Finishes a job: closes all chunks and drops the positions of its bodies.
auto Finish(BatchJob& aJob, LogTime aTime) -> void
{
  aJob.mFinished = aTime;
  aJob.mOpen.clear();
  aJob.mUnclaimed.clear();
  aJob.mBodies = {};
  PackResults(aJob);
}

} // namespace

auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::JobOpened& aRecord) -> Verdict
{
  Expire(aState, aContext);
  if (aRecord.chunk_size() == 0 || aRecord.chunk_size() > kMaxChunkSize ||
      aRecord.max_attempts() == 0) {
    return Rejected("bad_options");
  }
  BatchUpload upload;
  upload.mKey = KeyOf(aRecord);
  upload.mOptions = { Text(aRecord.route()),
                      Text(aRecord.model()),
                      aRecord.chunk_size(),
                      aRecord.max_attempts(),
                      aRecord.repeatable() };
  upload.mOpened = aContext.mTime;
  aState.mUploads[PositionOf(aContext)] = std::move(upload);
  return Accepted(PositionOf(aContext));
}

auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::JobItems& aRecord) -> Verdict
{
  Expire(aState, aContext);
  if (aRecord.items() == nullptr || aRecord.items()->size() == 0 ||
      aRecord.first_index() >= kMaxJobItems ||
      aRecord.items()->size() > kMaxJobItems - aRecord.first_index()) {
    return Rejected("bad_items");
  }
  if (aRecord.carried()) {
    return ReplaceBodies(aState, aContext, aRecord);
  }
  const auto upload = aState.mUploads.find(aRecord.upload());
  if (upload == aState.mUploads.end() ||
      upload->second.mKey != KeyOf(aRecord)) {
    return Rejected("unknown_upload");
  }
  return AddRun(upload->second.mBodies,
                { PositionOf(aContext),
                  aRecord.first_index(),
                  static_cast<std::uint32_t>(aRecord.items()->size()) });
}

auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::JobSealed& aRecord) -> Verdict
{
  Expire(aState, aContext);
  const auto key = KeyOf(aRecord);
  const auto digest = Text(aRecord.content_digest());
  if (const auto* const job = Find(aState, key); job != nullptr) {
    aState.mUploads.erase(aRecord.upload());
    return job->mDigest == digest ? Accepted(job->mItemCount)
                                  : Rejected("different_content");
  }
  const auto upload = aState.mUploads.find(aRecord.upload());
  if (upload == aState.mUploads.end() || upload->second.mKey != key) {
    return Rejected("unknown_upload");
  }
  if (aRecord.item_count() == 0 ||
      !CoversAllItems(upload->second.mBodies, aRecord.item_count())) {
    return Rejected("items_missing");
  }
  BatchJob job;
  job.mOptions = std::move(upload->second.mOptions);
  job.mDigest = digest;
  job.mOpened = upload->first;
  job.mItemCount = aRecord.item_count();
  job.mBodies = std::move(upload->second.mBodies);
  job.mBodies.shrink_to_fit();
  job.mResults.resize(ChunkCount(job));
  for (std::uint32_t chunk = 0; chunk < ChunkCount(job); ++chunk) {
    job.mOpen[chunk].mRemaining = ItemsInChunk(job, chunk);
    job.mUnclaimed.insert(chunk);
  }
  aState.mUploads.erase(upload);
  aState.mJobs.emplace(key, std::move(job));
  return Accepted(aRecord.item_count());
}

auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::JobCancelled& aRecord) -> Verdict
{
  Expire(aState, aContext);
  auto* const job = Find(aState, KeyOf(aRecord));
  if (job == nullptr) {
    return Rejected("unknown_job");
  }
  if (job->mCancelled) {
    return Accepted();
  }
  if (job->mFinished) {
    return Rejected("finished");
  }
  job->mCancelled = true;
  Finish(*job, aContext.mTime);
  return Accepted();
}

auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::ChunkClaimed& aRecord) -> Verdict
{
  Expire(aState, aContext);
  auto* const job = Find(aState, KeyOf(aRecord));
  if (job == nullptr) {
    return Rejected("unknown_job");
  }
  const auto open = job->mOpen.find(aRecord.chunk());
  if (open == job->mOpen.end()) {
    return Rejected("not_open");
  }
  auto& chunk = open->second;
  if (chunk.mClaim != aRecord.ends_claim()) {
    return Rejected("not_current", chunk.mClaim);
  }
  if (chunk.mClaim != 0) {
    ++chunk.mTakeovers;
  }
  chunk.mClaim = aContext.mOffset;
  chunk.mHolder = Text(aRecord.host());
  job->mUnclaimed.erase(aRecord.chunk());
  return Accepted(chunk.mClaim);
}

auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::ChunkReleased& aRecord) -> Verdict
{
  Expire(aState, aContext);
  auto* const job = Find(aState, KeyOf(aRecord));
  if (job == nullptr) {
    return Rejected("unknown_job");
  }
  const auto open = job->mOpen.find(aRecord.chunk());
  if (open == job->mOpen.end() || aRecord.claim() == 0 ||
      open->second.mClaim != aRecord.claim()) {
    return Rejected("not_current");
  }
  open->second.mClaim = 0;
  open->second.mHolder.clear();
  job->mUnclaimed.insert(aRecord.chunk());
  return Accepted();
}

auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::ItemIntent& aRecord) -> Verdict
{
  Expire(aState, aContext);
  auto* const job = Find(aState, KeyOf(aRecord));
  if (job == nullptr || aRecord.index() >= job->mItemCount) {
    return Rejected("unknown_job");
  }
  const auto number = aRecord.index() / job->mOptions.mChunkSize;
  const auto open = job->mOpen.find(number);
  if (open == job->mOpen.end() || aRecord.claim() == 0 ||
      open->second.mClaim != aRecord.claim()) {
    return Rejected("not_current");
  }
  auto& chunk = open->second;
  const auto bit = aRecord.index() % job->mOptions.mChunkSize;
  if (BitIsSet(chunk.mDone, bit)) {
    return Rejected("finished");
  }
  if (chunk.mIntents.empty()) {
    chunk.mIntents.resize(ItemsInChunk(*job, number));
  }
  // An item that must not be repeated is never dispatched a second time.
  if (!job->mOptions.mRepeatable && chunk.mIntents[bit] != 0) {
    return Rejected("intent_exists");
  }
  if (chunk.mIntents[bit] < 255) {
    ++chunk.mIntents[bit];
  }
  return Accepted(chunk.mIntents[bit]);
}

auto Apply(BatchState& aState,
           const RecordContext& aContext,
           const record::ItemResults& aRecord) -> Verdict
{
  Expire(aState, aContext);
  auto* const job = Find(aState, KeyOf(aRecord));
  if (job == nullptr || job->mExpired || aRecord.chunk() >= ChunkCount(*job)) {
    return Rejected("unknown_job");
  }
  if (aRecord.carried()) {
    return ReplaceResults(*job, aContext, aRecord);
  }
  if (job->mCancelled) {
    return Rejected("cancelled");
  }
  const auto open = job->mOpen.find(aRecord.chunk());
  if (open == job->mOpen.end() || aRecord.results() == nullptr) {
    return Rejected("duplicate");
  }
  const auto first = aRecord.chunk() * job->mOptions.mChunkSize;
  const auto size = ItemsInChunk(*job, aRecord.chunk());
  for (const auto* const result : *aRecord.results()) {
    if (result->index() < first || result->index() - first >= size ||
        !KnownStatus(result->status())) {
      return Rejected("bad_results");
    }
  }
  // The first result of an item counts, under whichever claim it was made.
  auto& chunk = open->second;
  std::uint32_t added = 0;
  for (const auto* const result : *aRecord.results()) {
    if (SetBit(chunk.mDone, size, result->index() - first)) {
      Count(*job, result->status());
      ++added;
    }
  }
  if (added == 0) {
    return Rejected("duplicate");
  }
  job->mResults[aRecord.chunk()].push_back(PositionOf(aContext));
  chunk.mRemaining -= added;
  if (chunk.mRemaining == 0) {
    job->mUnclaimed.erase(aRecord.chunk());
    job->mOpen.erase(open);
  }
  if (job->mOpen.empty()) {
    Finish(*job, aContext.mTime);
  }
  return Accepted(added);
}

auto FindJob(const BatchState& aState, const JobKey& aKey) -> const BatchJob*
{
  const auto found = aState.mJobs.find(aKey);
  return found == aState.mJobs.end() ? nullptr : &found->second;
}

auto ChunkCount(const BatchJob& aJob) -> std::uint32_t
{
  return (aJob.mItemCount + aJob.mOptions.mChunkSize - 1) /
         aJob.mOptions.mChunkSize;
}

auto ItemsInChunk(const BatchJob& aJob, std::uint32_t aChunk) -> std::uint32_t
{
  const auto first = aChunk * aJob.mOptions.mChunkSize;
  return std::min(aJob.mOptions.mChunkSize, aJob.mItemCount - first);
}

auto ResultPositions(const BatchJob& aJob, std::uint32_t aChunk)
  -> std::vector<Position>
{
  if (aChunk < aJob.mResults.size()) {
    return aJob.mResults[aChunk];
  }
  if (aChunk >= aJob.mPackedEnds.size()) {
    return {};
  }
  const auto begin = PackedBegin(aJob, aChunk);
  return Unpack(std::string_view(aJob.mPacked)
                  .substr(begin, aJob.mPackedEnds[aChunk] - begin),
                aJob.mOpened);
}

auto PackResults(BatchJob& aJob) -> void
{
  aJob.mPacked.clear();
  aJob.mPackedEnds.clear();
  aJob.mPackedEnds.reserve(aJob.mResults.size());
  for (const auto& positions : aJob.mResults) {
    aJob.mPacked += Pack(positions, aJob.mOpened);
    aJob.mPackedEnds.push_back(static_cast<std::uint32_t>(aJob.mPacked.size()));
  }
  aJob.mPacked.shrink_to_fit();
  aJob.mResults = {};
}

auto IsFinished(const BatchJob& aJob, std::uint32_t aItem) -> bool
{
  const auto open = aJob.mOpen.find(aItem / aJob.mOptions.mChunkSize);
  return open == aJob.mOpen.end()
           ? !aJob.mCancelled
           : BitIsSet(open->second.mDone, aItem % aJob.mOptions.mChunkSize);
}

auto IntentCount(const BatchJob& aJob, std::uint32_t aItem) -> std::uint32_t
{
  const auto open = aJob.mOpen.find(aItem / aJob.mOptions.mChunkSize);
  return open == aJob.mOpen.end() || open->second.mIntents.empty()
           ? 0
           : open->second.mIntents[aItem % aJob.mOptions.mChunkSize];
}

auto OffsetAt(const BatchState& aState, LogTime aTime) -> Offset
{
  Offset offset = 0;
  for (const auto& mark : aState.mMarks) {
    if (mark.mTime > aTime) {
      break;
    }
    offset = mark.mOffset;
  }
  return offset;
}

} // namespace mangovalve
