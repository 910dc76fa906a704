// Tests of the relay of entries and of state transfer between hosts.
#include "mangovalve/replay/peer_sync.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = SyncRequest::Kind;

constexpr TimePoint kNow{ seconds(1000) };

TEST_CASE("entries and pieces survive conversion to messages and back")
{
  RecentEntries entries;
  entries.mFirstAvailable = 3;
  entries.mEntries = { { 5, LogTime(milliseconds(9)), std::string("\0a", 2) },
                       { 6, LogTime(milliseconds(10)), "" } };
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(BuildRelay(builder, entries));
  const auto* const relay =
    flatbuffers::GetRoot<peer::RecordRelay>(builder.GetBufferPointer());
  CHECK(relay->first_available() == 3);
  const auto read = EntriesOf(*relay);
  REQUIRE(read.size() == 2);
  CHECK(read[0].mOffset == 5);
  CHECK(read[0].mTime == LogTime(milliseconds(9)));
  CHECK(read[0].mPayload == std::string("\0a", 2));
  const auto piece = SplitState({ 42, "abcdef" }, 4)[1];
  flatbuffers::FlatBufferBuilder second;
  second.Finish(BuildStatePart(second, piece));
  const auto part =
    PieceOf(*flatbuffers::GetRoot<peer::StatePart>(second.GetBufferPointer()));
  CHECK(part.mAsOf == 42);
  CHECK(part.mPart == 1);
  CHECK(part.mParts == 2);
  CHECK(part.mDigest == piece.mDigest);
  CHECK(part.mData == "ef");
}

// Guards against a host that cannot reach the log and requests no entries from
// its peers, and against relay traffic while the log is available.
TEST_CASE("entries are requested from a peer only without log contact")
{
  const std::vector<PeerPosition> peers{ { "a", 10, 0, kNow } };
  SyncState state;
  const OwnPosition contact{ 8, true, kNow - milliseconds(299) };
  CHECK_FALSE(PlanSync(state, {}, contact, peers, kNow));
  const OwnPosition withoutContact{ 8, true, kNow - milliseconds(300) };
  const auto request = PlanSync(state, {}, withoutContact, peers, kNow);
  REQUIRE(request);
  CHECK(request->mKind == Kind::Relay);
  CHECK(request->mHost == "a");
  CHECK(request->mFrom == 8);
  const OwnPosition upToDate{ 10, true, std::nullopt };
  SyncState other;
  CHECK_FALSE(PlanSync(other, {}, upToDate, peers, kNow));
}

// Guards against a host that requests entries which the peer no longer buffers,
// or that requests entries while it has no state to apply them to.
TEST_CASE("the whole state is requested when entries do not suffice")
{
  SyncState state;
  const OwnPosition behind{ 8, true, std::nullopt };
  const auto gap = PlanSync(state, {}, behind, { { "a", 30, 20, kNow } }, kNow);
  REQUIRE(gap);
  CHECK(gap->mKind == Kind::State);
  SyncState fresh;
  const OwnPosition withoutState{ 0, false, kNow };
  const auto start = PlanSync(
    fresh, {}, withoutState, { { "a", 30, std::nullopt, kNow } }, kNow);
  REQUIRE(start);
  CHECK(start->mKind == Kind::State);
}

// Guards against a host that waits forever for a failed peer.
TEST_CASE("after a timeout the request goes to the next peer")
{
  const std::vector<PeerPosition> peers{ { "a", 10, 0, kNow },
                                         { "old", 10, 0, kNow - seconds(3) },
                                         { "b", 10, 0, kNow } };
  const OwnPosition own{ 8, true, std::nullopt };
  SyncState state;
  CHECK(PlanSync(state, {}, own, peers, kNow)->mHost == "a");
  CHECK_FALSE(PlanSync(state, {}, own, peers, kNow + milliseconds(999)));
  CHECK(PlanSync(state, {}, own, peers, kNow + seconds(1))->mHost == "b");
  ClearOutstanding(state);
  CHECK(PlanSync(state, {}, own, peers, kNow + seconds(1))->mHost == "a");
}

} // namespace
} // namespace mangovalve
