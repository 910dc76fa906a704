// Submissions of documents.
#include "mangovalve/config/submission.h"

#include <memory>
#include <vector>

#include "mangovalve/base/id.h"

namespace mangovalve {
namespace {

// Fixed overhead of a submission record, for its size hint.
constexpr std::size_t kRecordOverheadBytes = 512;

auto Plan(const ConfigState& aState, const ConfigEntries& aTarget)
  -> Result<Submission, std::string>
{
  Submission submission;
  submission.mBaseRevision = aState.mRevision;
  submission.mChanges = DiffEntries(aState.mEntries, aTarget);
  submission.mDigest = EntriesDigest(aTarget);
  if (submission.mChanges.empty()) {
    return Err(std::string("unchanged"));
  }
  return submission;
}

auto Build(const Submission& aSubmission,
           flatbuffers::FlatBufferBuilder& aBuilder)
  -> flatbuffers::Offset<record::ConfigSubmission>
{
  std::vector<flatbuffers::Offset<record::ConfigChange>> changes;
  for (const auto& [path, json] : aSubmission.mChanges) {
    changes.push_back(record::CreateConfigChangeDirect(
      aBuilder, path.c_str(), json ? json->c_str() : nullptr));
  }
  return record::CreateConfigSubmissionDirect(aBuilder,
                                              aSubmission.mBaseRevision,
                                              &changes,
                                              aSubmission.mDigest.c_str(),
                                              aSubmission.mSubmitter.c_str(),
                                              aSubmission.mComment.c_str(),
                                              aSubmission.mRollbackOf,
                                              aSubmission.mId.c_str());
}

} // namespace

auto PlanSubmission(const ConfigState& aState,
                    std::uint64_t aBase,
                    const Document& aDocument)
  -> Result<Submission, std::string>
{
  if (aBase != aState.mRevision) {
    return Err(std::string("conflict"));
  }
  return Plan(aState, ToEntries(aDocument));
}

auto PlanRollback(const ConfigState& aState, std::uint64_t aRevision)
  -> Result<Submission, std::string>
{
  const auto entries = EntriesAt(aState, aRevision);
  if (!entries) {
    return Err(std::string("unknown_revision"));
  }
  auto submission = Plan(aState, *entries);
  if (submission) {
    submission->mRollbackOf = aRevision;
  }
  return submission;
}

auto DraftSubmission(Submission aSubmission) -> RecordDraft
{
  RecordDraft draft;
  draft.mId = aSubmission.mId.empty() ? NewId()
                                      : Id128{ StableHash(aSubmission.mId, 1),
                                               StableHash(aSubmission.mId, 2) };
  draft.mType = record::RecordBody::ConfigSubmission;
  draft.mSizeHint = kRecordOverheadBytes;
  for (const auto& [path, json] : aSubmission.mChanges) {
    draft.mSizeHint += path.size() + (json ? json->size() : 0) + 32;
  }
  const auto shared = std::make_shared<Submission>(std::move(aSubmission));
  draft.mBuild = [shared](flatbuffers::FlatBufferBuilder& aBuilder) {
    return Build(*shared, aBuilder).Union();
  };
  return draft;
}

} // namespace mangovalve
