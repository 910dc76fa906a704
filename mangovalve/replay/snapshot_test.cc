// Tests of snapshots: splitting, reassembly and schedule.
#include "mangovalve/replay/snapshot.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "mangovalve/replay/encode.h"
#include "mangovalve/replay/snapshotter.h"

namespace mangovalve {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

auto Assemble(const std::vector<StatePiece>& aPieces) -> std::vector<SavedState>
{
  StateAssembler assembler;
  std::vector<SavedState> states;
  for (const auto& piece : aPieces) {
    if (auto state = AddPiece(assembler, piece)) {
      states.push_back(std::move(*state));
    }
  }
  return states;
}

TEST_CASE("pieces are reassembled in any order")
{
  const SavedState state{ 42, "abcdefghij" };
  auto pieces = SplitState(state, 3);
  REQUIRE(pieces.size() == 4);
  const auto byIndex = [](const StatePiece& aLeft, const StatePiece& aRight) {
    return aLeft.mPart < aRight.mPart;
  };
  do {
    const auto states = Assemble(pieces);
    REQUIRE(states.size() == 1);
    CHECK(states[0].mAsOf == 42);
    CHECK(states[0].mData == "abcdefghij");
  } while (std::next_permutation(pieces.begin(), pieces.end(), byIndex));
  CHECK(SplitState({ 1, "" }).size() == 1);
}

// Guards against a start from an incomplete snapshot, whichever piece is
// missing.
TEST_CASE("an incomplete snapshot is ignored")
{
  const auto pieces = SplitState({ 42, "abcdefghij" }, 3);
  for (std::size_t missing = 0; missing < pieces.size(); ++missing) {
    auto rest = pieces;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(missing));
    rest.insert(
      rest.end(), rest.begin(), rest.end()); // duplicates do not complete it
    CHECK(Assemble(rest).empty());
  }
}

// Guards against a state assembled from pieces of different snapshots, or with
// a corrupt piece.
TEST_CASE("pieces of different or corrupt snapshots are not combined")
{
  const auto one = SplitState({ 42, "abcdefghij" }, 3);
  const auto two = SplitState({ 42, "ABCDEFGHIJ" }, 3);
  CHECK(Assemble({ one[0], one[1], two[2], two[3] }).empty());
  auto corrupt = one;
  corrupt[2].mData = "xxx";
  CHECK(Assemble(corrupt).empty());
  auto miscounted = one;
  miscounted[3].mParts = 5;
  CHECK(Assemble(miscounted).empty());
  auto outside = one;
  outside[3].mPart = 4;
  CHECK(Assemble(outside).empty());
}

// Guards against memory use that grows with incomplete snapshots.
TEST_CASE("only the newest snapshots are assembled")
{
  StateAssembler assembler;
  for (Offset i = 0; i < 100; ++i) {
    AddPiece(assembler, SplitState({ i, "abcdef" }, 3)[0]);
  }
  CHECK(assembler.mAssemblies.size() == kMaxAssemblies);
  CHECK(assembler.mAssemblies.begin()->first.first == 96);
}

TEST_CASE("a piece survives conversion to a record and back")
{
  const auto pieces = SplitState({ 42, std::string(1000, 'x') }, 400);
  const auto draft = DraftPiece(pieces[1]);
  const LogEntry entry{ 50, {}, EncodeBatch("test", {}, { &draft }) };
  const auto read = PiecesOf(entry);
  REQUIRE(read.size() == 1);
  CHECK(read[0].mAsOf == 42);
  CHECK(read[0].mPart == 1);
  CHECK(read[0].mParts == 3);
  CHECK(read[0].mDigest == pieces[1].mDigest);
  CHECK(read[0].mData == pieces[1].mData);
  // The same piece from another host has the same record id.
  CHECK(DraftPiece(pieces[1]).mId == draft.mId);
  CHECK_FALSE(DraftPiece(pieces[0]).mId == draft.mId);
}

// Guards against hosts that cannot start because the first entries of the log
// expired before a snapshot was written.
TEST_CASE("a snapshot is due by age, by entries and by retention")
{
  const SnapshotPolicy policy{ minutes(10), 1000 };
  SnapshotSchedule schedule;
  schedule.mAsOf = 5000;
  schedule.mTime = LogTime(hours(1));
  const LogTime now(hours(1));
  CHECK_FALSE(SnapshotDue(policy, schedule, 0, 5500, now));
  CHECK(SnapshotDue(policy, schedule, 0, 5500, now + minutes(10)));
  CHECK(SnapshotDue(policy, schedule, 0, 6000, now));
  // Due once more than half of the retained entries are newer than the
  // snapshot.
  CHECK_FALSE(SnapshotDue(policy, schedule, 4700, 5300, now));
  CHECK(SnapshotDue(policy, schedule, 4701, 5300, now));
  CHECK(SnapshotDue(policy, schedule, 5100, 5300, now));
  // Not due without new entries since the last snapshot.
  CHECK_FALSE(SnapshotDue(policy, schedule, 0, 5000, now + hours(9)));
}

// Guards against a host that writes a snapshot right after each start, and
// against an older snapshot in the log that delays the next one.
TEST_CASE("snapshots seen in the log set the schedule")
{
  const SnapshotPolicy policy{ minutes(10), 1000 };
  SnapshotSchedule schedule;
  const auto entry = [](Offset aOffset, LogTime aTime, Offset aAsOf) {
    const auto draft = DraftPiece(SplitState({ aAsOf, "abc" })[0]);
    return LogEntry{ aOffset, aTime, EncodeBatch("test", {}, { &draft }) };
  };
  ObserveEntry(schedule, { 0, LogTime(hours(5)), "" });
  CHECK_FALSE(SnapshotDue(policy, schedule, 0, 10, LogTime(hours(5))));
  CHECK(SnapshotDue(policy, schedule, 0, 10, LogTime(hours(5) + minutes(10))));
  ObserveEntry(schedule, entry(10, LogTime(hours(6)), 9));
  CHECK(schedule.mAsOf == 9);
  ObserveEntry(schedule, entry(20, LogTime(hours(7)), 5));
  CHECK(schedule.mAsOf == 9);
  CHECK(schedule.mTime == LogTime(hours(6)));
}

// Guards against wrong ages of entries, because of which needed results would
// expire. The offset may be too low, but never too high.
TEST_CASE("the age index finds the entries older than a time")
{
  AgeIndex index;
  for (Offset i = 0; i < 1000; ++i) {
    AddAgeSample(index, LogTime(minutes(i)), i, minutes(10));
  }
  CHECK(index.mSamples.size() == 100);
  CHECK(OffsetOlderThan(index, LogTime(minutes(-1))) == 0);
  CHECK(OffsetOlderThan(index, LogTime(minutes(505))) == 500);
  CHECK(OffsetOlderThan(index, LogTime(hours(100))) == 990);
  CHECK(index.mSamples.size() == 1);
}

} // namespace
} // namespace mangovalve
