// Tests of the application of log entries: order, deduplication and malformed
// entries.
#include "mangovalve/replay/apply.h"

#include <doctest/doctest.h>

#include "mangovalve/config/submission.h"
#include "mangovalve/replay/encode.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

// Drafts a submission that sets the rate of team alpha.
auto DraftRate(const FleetState& aState, double aRate) -> RecordDraft
{
  Document document = *aState.mConfig.mDocument;
  document.mTeams["alpha"] = { "alpha", aRate, 10, 1, 100 };
  auto submission =
    PlanSubmission(aState.mConfig, aState.mConfig.mRevision, document);
  REQUIRE(submission);
  auto draft = DraftSubmission(*submission);
  draft.mId = { 1, static_cast<std::uint64_t>(aRate) };
  return draft;
}

auto EntryOf(Offset aOffset,
             LogTime aTime,
             const RecordDraft& aDraft,
             LogTime aStamp = {}) -> LogEntry
{
  return { aOffset, aTime, EncodeBatch("test", aStamp, { &aDraft }) };
}

// Guards against a record that takes effect twice. A writer appends a record
// again when it gets no response, although the first append may have taken
// effect. Later records with the same id must have no effect and must get the
// verdict of the first.
TEST_CASE("a duplicate record gets the verdict of its first occurrence")
{
  FleetState state;
  const auto draft = DraftRate(state, 5);
  const auto first = ApplyEntry(state, EntryOf(0, {}, draft));
  REQUIRE(first.mRecords.size() == 1);
  CHECK(first.mRecords[0].mVerdict.mAccepted);
  const auto again = ApplyEntry(state, EntryOf(1, {}, draft));
  REQUIRE(again.mRecords.size() == 1);
  CHECK(again.mRecords[0].mKind == AppliedRecord::Kind::Duplicate);
  CHECK(again.mRecords[0].mVerdict.mAccepted);
  CHECK(again.mRecords[0].mContext.mOffset == 0);
  CHECK(state.mConfig.mRevision == 1);
}

// Guards against a duplicate that is appended after its id was dropped from the
// deduplication window. It must have no effect, although the first occurrence
// is no longer known.
TEST_CASE("a batch whose stamp is older than the window has no effect")
{
  FleetState state;
  const auto draft = DraftRate(state, 5);
  const auto late = LogTime(kDeduplicationWindow + milliseconds(1));
  ApplyEntry(state, EntryOf(0, {}, draft));
  const auto other = DraftRate(state, 6);
  ApplyEntry(state, EntryOf(1, late, other, late));
  CHECK_FALSE(state.mSeen.mById.contains(draft.mId));
  const auto again = ApplyEntry(state, EntryOf(2, late, draft));
  REQUIRE(again.mRecords.size() == 1);
  CHECK(again.mRecords[0].mKind == AppliedRecord::Kind::Expired);
  // At exactly the end of the window the id is still known.
  FleetState endOfWindow;
  ApplyEntry(endOfWindow, EntryOf(0, {}, draft));
  const auto atEnd =
    ApplyEntry(endOfWindow, EntryOf(1, LogTime(kDeduplicationWindow), draft));
  CHECK(atEnd.mRecords[0].mKind == AppliedRecord::Kind::Duplicate);
}

// Guards against memory use that grows with the age of the log.
TEST_CASE("ids are dropped after the deduplication window of log time")
{
  FleetState state;
  for (auto i = 0; i < 1000; ++i) {
    const LogTime now(milliseconds(i * 1000));
    const auto draft = DraftRate(state, i + 1);
    ApplyEntry(state, EntryOf(static_cast<Offset>(i), now, draft, now));
  }
  CHECK(state.mConfig.mRevision == 1000);
  CHECK(state.mSeen.mById.size() == 61);
  CHECK(state.mSeen.mInOrder.size() == 61);
}

// Guards against a host that applies entries out of order or twice.
TEST_CASE("only the next offset is applied")
{
  FleetState state;
  const auto draft = DraftRate(state, 5);
  CHECK(ApplyEntry(state, EntryOf(1, {}, draft)).mKind ==
        ApplyOutcome::Kind::Gap);
  CHECK(state.mNext == 0);
  CHECK(ApplyEntry(state, EntryOf(0, {}, draft)).mKind ==
        ApplyOutcome::Kind::Applied);
  CHECK(ApplyEntry(state, EntryOf(0, {}, draft)).mKind ==
        ApplyOutcome::Kind::Stale);
  CHECK(state.mNext == 1);
}

// Guards against a crash or a stop of replay on a corrupt entry. A payload that
// is truncated or has a corrupt byte at any position must be skipped or applied
// without reading out of bounds, and replay must continue at the next offset.
TEST_CASE("a corrupt payload does not stop replay")
{
  FleetState sample;
  const auto draft = DraftRate(sample, 5);
  const auto entry = EntryOf(0, {}, draft);
  for (std::size_t i = 0; i < entry.mPayload.size(); ++i) {
    auto truncated = entry;
    truncated.mPayload.resize(i);
    auto flipped = entry;
    flipped.mPayload[i] = static_cast<char>(flipped.mPayload[i] ^ 0x55);
    for (const auto& corrupt : { truncated, flipped }) {
      FleetState state;
      ApplyEntry(state, corrupt);
      CHECK(state.mNext == 1);
    }
  }
}

// Guards against a state that changes when it is saved and loaded.
TEST_CASE("a saved state loads unchanged, and no prefix of it loads")
{
  FleetState state;
  ApplyEntry(state, EntryOf(0, LogTime(milliseconds(7)), DraftRate(state, 5)));
  ApplyEntry(state, EntryOf(1, LogTime(milliseconds(9)), DraftRate(state, 6)));
  const auto saved = Save(state);
  FleetState loaded;
  REQUIRE(Load(saved, loaded));
  CHECK(Save(loaded) == saved);
  CHECK(loaded.mConfig.mDocument->mTeams.at("alpha").mRate == 6);
  for (std::size_t i = 0; i < saved.size(); ++i) {
    CHECK_FALSE(Load(saved.substr(0, i), loaded));
  }
}

} // namespace
} // namespace mangovalve
