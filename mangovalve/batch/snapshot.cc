// Saves and loads the batch index as a FlatBuffers snapshot.
#include <algorithm>
#include <utility>

#include "mangovalve/batch/snapshot_generated.h"
#include "mangovalve/batch/state.h"

namespace mangovalve {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;

auto Text(const flatbuffers::String* aText) -> std::string
{
  return aText == nullptr ? std::string{} : aText->str();
}

auto Milliseconds(LogTime aTime) -> std::int64_t
{
  return aTime.time_since_epoch().count();
}

auto Time(std::int64_t aMilliseconds) -> LogTime
{
  return LogTime(std::chrono::milliseconds(aMilliseconds));
}

auto SaveRuns(Builder& aBuilder, const std::vector<BodyRun>& aRuns)
  -> flatbuffers::Offset<flatbuffers::Vector<const snapshot::BodyRun*>>
{
  std::vector<snapshot::BodyRun> runs;
  runs.reserve(aRuns.size());
  for (const auto& run : aRuns) {
    runs.emplace_back(run.mPosition, run.mFirst, run.mCount);
  }
  return aBuilder.CreateVectorOfStructs(runs);
}

auto LoadRuns(const flatbuffers::Vector<const snapshot::BodyRun*>* aRuns)
  -> std::vector<BodyRun>
{
  std::vector<BodyRun> runs;
  if (aRuns != nullptr) {
    runs.reserve(aRuns->size());
    for (const auto* const run : *aRuns) {
      runs.push_back({ run->position(), run->first(), run->count() });
    }
  }
  return runs;
}

auto SaveUpload(Builder& aBuilder,
                Position aPosition,
                const BatchUpload& aUpload)
  -> flatbuffers::Offset<snapshot::Upload>
{
  return snapshot::CreateUpload(aBuilder,
                                aPosition,
                                aBuilder.CreateString(aUpload.mKey.mTeam),
                                aBuilder.CreateString(aUpload.mKey.mJob),
                                aBuilder.CreateString(aUpload.mOptions.mRoute),
                                aBuilder.CreateString(aUpload.mOptions.mModel),
                                aUpload.mOptions.mChunkSize,
                                aUpload.mOptions.mMaxAttempts,
                                aUpload.mOptions.mRepeatable,
                                Milliseconds(aUpload.mOpened),
                                SaveRuns(aBuilder, aUpload.mBodies));
}

auto SaveChunk(Builder& aBuilder, std::uint32_t aNumber, const OpenChunk& aOpen)
  -> flatbuffers::Offset<snapshot::OpenChunk>
{
  return snapshot::CreateOpenChunk(aBuilder,
                                   aNumber,
                                   aOpen.mClaim,
                                   aBuilder.CreateString(aOpen.mHolder),
                                   aOpen.mTakeovers,
                                   aOpen.mRemaining,
                                   aBuilder.CreateVector(aOpen.mDone),
                                   aBuilder.CreateVector(aOpen.mIntents));
}

auto SaveJob(Builder& aBuilder, const JobKey& aKey, const BatchJob& aJob)
  -> flatbuffers::Offset<snapshot::Job>
{
  std::vector<flatbuffers::Offset<snapshot::OpenChunk>> open;
  for (const auto& [number, chunk] : aJob.mOpen) {
    open.push_back(SaveChunk(aBuilder, number, chunk));
  }
  std::vector<std::uint32_t> counts;
  std::vector<Position> results;
  const auto chunks = aJob.mExpired ? 0 : ChunkCount(aJob);
  for (std::uint32_t chunk = 0; chunk < chunks; ++chunk) {
    const auto positions = ResultPositions(aJob, chunk);
    counts.push_back(static_cast<std::uint32_t>(positions.size()));
    results.insert(results.end(), positions.begin(), positions.end());
  }
  return snapshot::CreateJob(aBuilder,
                             aBuilder.CreateString(aKey.mTeam),
                             aBuilder.CreateString(aKey.mJob),
                             aBuilder.CreateString(aJob.mOptions.mRoute),
                             aBuilder.CreateString(aJob.mOptions.mModel),
                             aBuilder.CreateString(aJob.mDigest),
                             aJob.mOptions.mChunkSize,
                             aJob.mOptions.mMaxAttempts,
                             aJob.mOptions.mRepeatable,
                             aJob.mItemCount,
                             aJob.mOpened,
                             aJob.mFinished ? Milliseconds(*aJob.mFinished) : 0,
                             aJob.mFinished.has_value(),
                             aJob.mCancelled,
                             aJob.mExpired,
                             aJob.mDone,
                             aJob.mFailed,
                             aJob.mUnknown,
                             SaveRuns(aBuilder, aJob.mBodies),
                             aBuilder.CreateVector(open),
                             aBuilder.CreateVector(counts),
                             aBuilder.CreateVector(results));
}

auto LoadUpload(const snapshot::Upload& aSaved) -> BatchUpload
{
  BatchUpload upload;
  upload.mKey = { Text(aSaved.team()), Text(aSaved.job()) };
  upload.mOptions = { Text(aSaved.route()),
                      Text(aSaved.model()),
                      aSaved.chunk_size(),
                      aSaved.max_attempts(),
                      aSaved.repeatable() };
  upload.mOpened = Time(aSaved.opened_ms());
  upload.mBodies = LoadRuns(aSaved.bodies());
  return upload;
}

// Loads the chunks with unfinished items; false if one is inconsistent with the
// job.
auto LoadOpen(const snapshot::Job& aSaved, BatchJob& aJob) -> bool
{
  if (aSaved.open() == nullptr) {
    return true;
  }
  for (const auto* const saved : *aSaved.open()) {
    if (saved->chunk() >= ChunkCount(aJob)) {
      return false;
    }
    const auto size = ItemsInChunk(aJob, saved->chunk());
    OpenChunk chunk;
    chunk.mClaim = saved->claim();
    chunk.mHolder = Text(saved->holder());
    chunk.mTakeovers = saved->takeovers();
    chunk.mRemaining = saved->remaining();
    if (saved->done() != nullptr) {
      chunk.mDone.assign(saved->done()->begin(), saved->done()->end());
    }
    if (saved->intents() != nullptr) {
      chunk.mIntents.assign(saved->intents()->begin(), saved->intents()->end());
    }
    if ((!chunk.mDone.empty() && chunk.mDone.size() != (size + 63) / 64) ||
        (!chunk.mIntents.empty() && chunk.mIntents.size() != size)) {
      return false;
    }
    if (chunk.mClaim == 0) {
      aJob.mUnclaimed.insert(saved->chunk());
    }
    aJob.mOpen[saved->chunk()] = std::move(chunk);
  }
  return true;
}

// Loads the positions of results; false if the counts per chunk do not match.
auto LoadResults(const snapshot::Job& aSaved, BatchJob& aJob) -> bool
{
  const auto* const counts = aSaved.result_counts();
  const auto* const results = aSaved.results();
  const auto chunks = aJob.mExpired ? 0 : ChunkCount(aJob);
  if (counts == nullptr || results == nullptr || counts->size() != chunks) {
    return false;
  }
  aJob.mResults.resize(chunks);
  std::uint64_t next = 0;
  for (std::uint32_t chunk = 0; chunk < chunks; ++chunk) {
    if (counts->Get(chunk) > results->size() - next) {
      return false;
    }
    auto& positions = aJob.mResults[chunk];
    positions.reserve(counts->Get(chunk));
    for (std::uint32_t i = 0; i < counts->Get(chunk); ++i) {
      positions.push_back(
        results->Get(static_cast<flatbuffers::uoffset_t>(next++)));
    }
  }
  if (aJob.mFinished) {
    PackResults(aJob);
  }
  return next == results->size();
}

auto LoadJob(const snapshot::Job& aSaved, BatchJob& aJob) -> bool
{
  if (aSaved.chunk_size() == 0 || aSaved.chunk_size() > kMaxChunkSize ||
      aSaved.item_count() > kMaxJobItems) {
    return false;
  }
  aJob.mOptions = { Text(aSaved.route()),
                    Text(aSaved.model()),
                    aSaved.chunk_size(),
                    aSaved.max_attempts(),
                    aSaved.repeatable() };
  aJob.mDigest = Text(aSaved.digest());
  aJob.mOpened = aSaved.opened();
  aJob.mItemCount = aSaved.item_count();
  aJob.mDone = aSaved.done();
  aJob.mFailed = aSaved.failed();
  aJob.mUnknown = aSaved.unknown();
  aJob.mCancelled = aSaved.cancelled();
  aJob.mExpired = aSaved.expired();
  if (aSaved.finished()) {
    aJob.mFinished = Time(aSaved.finished_ms());
  }
  aJob.mBodies = LoadRuns(aSaved.bodies());
  return LoadOpen(aSaved, aJob) && LoadResults(aSaved, aJob);
}

} // namespace

auto Save(const BatchState& aState) -> std::string
{
  Builder builder;
  std::vector<flatbuffers::Offset<snapshot::Job>> jobs;
  for (const auto& [key, job] : aState.mJobs) {
    jobs.push_back(SaveJob(builder, key, job));
  }
  std::vector<flatbuffers::Offset<snapshot::Upload>> uploads;
  for (const auto& [position, upload] : aState.mUploads) {
    uploads.push_back(SaveUpload(builder, position, upload));
  }
  std::vector<snapshot::TimeMark> marks;
  for (const auto& mark : aState.mMarks) {
    marks.emplace_back(Milliseconds(mark.mTime), mark.mOffset);
  }
  builder.Finish(snapshot::CreateBatch(builder,
                                       builder.CreateVector(jobs),
                                       builder.CreateVector(uploads),
                                       builder.CreateVectorOfStructs(marks),
                                       Milliseconds(aState.mNextExpiry)));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

auto Load(std::string_view aData, BatchState& aState)
  -> Result<void, std::string>
{
  aState = {};
  if (aData.empty()) {
    return {};
  }
  // Copied, because FlatBuffers needs an aligned buffer. The verifier's limit
  // of tables allows for one table per chunk of every job.
  const std::vector<std::uint64_t> aligned = [&] {
    std::vector<std::uint64_t> copy((aData.size() + 7) / 8);
    std::copy(aData.begin(), aData.end(), reinterpret_cast<char*>(copy.data()));
    return copy;
  }();
  flatbuffers::Verifier verifier(
    reinterpret_cast<const std::uint8_t*>(aligned.data()),
    aData.size(),
    16,
    1U << 30);
  if (!snapshot::VerifyBatchBuffer(verifier)) {
    return Err(std::string("batch snapshot is malformed"));
  }
  const auto* const saved = snapshot::GetBatch(aligned.data());
  if (saved->jobs() != nullptr) {
    for (const auto* const job : *saved->jobs()) {
      if (!LoadJob(*job,
                   aState.mJobs[{ Text(job->team()), Text(job->job()) }])) {
        aState = {};
        return Err("batch snapshot: job " + Text(job->job()) +
                   " is inconsistent");
      }
    }
  }
  if (saved->uploads() != nullptr) {
    for (const auto* const upload : *saved->uploads()) {
      aState.mUploads[upload->position()] = LoadUpload(*upload);
    }
  }
  if (saved->marks() != nullptr) {
    for (const auto* const mark : *saved->marks()) {
      aState.mMarks.push_back({ Time(mark->time_ms()), mark->offset() });
    }
  }
  aState.mNextExpiry = Time(saved->next_expiry_ms());
  return {};
}

} // namespace mangovalve
