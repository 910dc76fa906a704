// Tests of the replicated configuration: concurrent submissions, history and
// rollback.
#include "mangovalve/config/state.h"

#include <doctest/doctest.h>

#include "mangovalve/config/submission.h"
#include "mangovalve/replay/encode.h"

namespace mangovalve {
namespace {

auto WithRate(const ConfigState& aState, double aRate) -> Document
{
  auto document = *aState.mDocument;
  document.mTeams["alpha"] = { "alpha", aRate, 10, 1, 100 };
  return document;
}

// Applies a submission in the same way as replay.
auto Submit(ConfigState& aState, const Submission& aSubmission) -> Verdict
{
  flatbuffers::FlatBufferBuilder builder;
  const auto draft = DraftSubmission(aSubmission);
  const auto offset = draft.mBuild(builder);
  builder.Finish(flatbuffers::Offset<record::ConfigSubmission>(offset.o));
  const auto* const submission =
    flatbuffers::GetRoot<record::ConfigSubmission>(builder.GetBufferPointer());
  return Apply(aState, { aState.mRevision, 0, {} }, *submission);
}

auto SubmitRate(ConfigState& aState, double aRate) -> Verdict
{
  return Submit(
    aState, *PlanSubmission(aState, aState.mRevision, WithRate(aState, aRate)));
}

// Guards against concurrent submissions that overwrite each other. The second
// one must be rejected, and its verdict must contain the current revision.
TEST_CASE("of two submissions with the same base only the first is accepted")
{
  ConfigState state;
  REQUIRE(SubmitRate(state, 1).mAccepted);
  const auto first = PlanSubmission(state, 1, WithRate(state, 2));
  const auto second = PlanSubmission(state, 1, WithRate(state, 3));
  CHECK(Submit(state, *first).mDetail == 2);
  const auto rejected = Submit(state, *second);
  CHECK_FALSE(rejected.mAccepted);
  CHECK(rejected.mReason == "conflict");
  CHECK(rejected.mDetail == 2);
  CHECK(state.mDocument->mTeams.at("alpha").mRate == 2);
}

// Guards against a resend after an unknown outcome that gets "conflict"
// although its first copy was accepted.
TEST_CASE("a resent submission gets the revision of its first copy")
{
  ConfigState state;
  auto submission = *PlanSubmission(state, 0, WithRate(state, 2));
  submission.mId = "operator-1";
  REQUIRE(Submit(state, submission).mDetail == 1);
  REQUIRE(SubmitRate(state, 3).mDetail == 2);
  const auto again = Submit(state, submission);
  CHECK(again.mAccepted);
  CHECK(again.mDetail == 1);
  CHECK(state.mRevision == 2);
}

// Guards against a host that applies a submission to a different result than
// the one that the submitter validated.
TEST_CASE("a submission with a wrong digest is rejected")
{
  ConfigState state;
  auto submission = *PlanSubmission(state, 0, WithRate(state, 2));
  submission.mChanges["teams/beta"] = "{}";
  CHECK(Submit(state, submission).mReason == "digest_mismatch");
  submission.mChanges["nonsense"] = "{}";
  CHECK(Submit(state, submission).mReason == "malformed");
  CHECK(state.mRevision == 0);
  CHECK(state.mEntries.empty());
}

// Guards against a rollback that decreases the revision number, and against a
// revision of the history that cannot be reconstructed.
TEST_CASE("the last 1,000 revisions can be read and restored")
{
  ConfigState state;
  for (auto i = 1; i <= 1100; ++i) {
    REQUIRE(SubmitRate(state, i).mAccepted);
  }
  CHECK(FindRevision(state, 100) == nullptr);
  CHECK_FALSE(EntriesAt(state, 100));
  CHECK_FALSE(EntriesAt(state, 1101));
  for (std::uint64_t revision = 101; revision <= 1100; ++revision) {
    const auto entries = EntriesAt(state, revision);
    REQUIRE(entries);
    CHECK(EntriesDigest(*entries) == FindRevision(state, revision)->mDigest);
  }
  const auto rollback = PlanRollback(state, 101);
  REQUIRE(rollback);
  CHECK(Submit(state, *rollback).mDetail == 1101);
  CHECK(state.mDocument->mTeams.at("alpha").mRate == 101);
  CHECK(state.mHistory.back().mRollbackOf == 101);
  CHECK(state.mHistory.size() == kMaxRevisions);
  CHECK(PlanRollback(state, 100).error() == "unknown_revision");
}

// Guards against a snapshot that omits the history.
TEST_CASE("history and document survive a save and a load")
{
  ConfigState state;
  for (auto i = 1; i <= 5; ++i) {
    REQUIRE(SubmitRate(state, i).mAccepted);
  }
  ConfigState loaded;
  REQUIRE(Load(Save(state), loaded));
  CHECK(Save(loaded) == Save(state));
  CHECK(EntriesAt(loaded, 2) == EntriesAt(state, 2));
  CHECK(loaded.mDocument->mRevision == 5);
}

} // namespace
} // namespace mangovalve
