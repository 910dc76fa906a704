// Tests of the exchange of evidence on crashes between hosts.
#include "mangovalve/serving/suspect_exchange.h"

#include <doctest/doctest.h>

#include "mangovalve/batch/flatbuffers_table.h"
#include "mangovalve/serving/state.h"

namespace mangovalve {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{ hours(100) };
constexpr PartHash kDeadly = 7;

// A run whose second part is its own.
auto DeadlyRun(std::uint64_t aId, TimePoint aAt) -> CrashedRun
{
  return { aId, aAt, { kDeadly, 1000 + aId } };
}

// The evidence as a receiver reads it from a datagram; null if none is sent.
auto Transmit(SuspectExchange& aExchange,
              const CrashSuspects& aSuspects,
              TimePoint aNow) -> std::unique_ptr<wire::CrashEvidenceT>
{
  NoteEvidence(aExchange, aSuspects, aNow);
  const auto evidence = EvidenceToSend(aExchange, aSuspects, aNow);
  if (!evidence) {
    return nullptr;
  }
  const auto bytes = PackTable<wire::CrashEvidence>(*evidence);
  return std::make_unique<wire::CrashEvidenceT>(
    *UnpackTable<wire::CrashEvidence>(bytes));
}

TEST_CASE("evidence arrives as it was recorded, with times of the receiver")
{
  // Guards against fields that are lost or mixed up, and against times of the
  // sender's clock.
  const SuspectPolicy policy;
  CrashSuspects sender;
  const auto at = kNow - milliseconds(700);
  RecordCrash(
    sender, { 5, at, { 1, 2, 3 }, at - milliseconds(40) }, policy, at);
  const std::array started{ PartHash{ 2 } };
  RecordStart(sender, started, at + milliseconds(300));
  REQUIRE(AdoptQuarantine(sender,
                          { { 8, 9 }, kNow - seconds(60), kNow + seconds(90) },
                          policy,
                          kNow));
  SuspectExchange exchange;
  const auto evidence = Transmit(exchange, sender, kNow);
  REQUIRE(evidence);
  CrashSuspects receiver;
  const auto theirNow = kNow - hours(30);
  ApplyEvidence(receiver, policy, *evidence, "h", theirNow);
  REQUIRE(receiver.mRuns.size() == 1);
  CHECK(receiver.mRuns[0].mId == 5);
  CHECK(receiver.mRuns[0].mAt == theirNow - milliseconds(700));
  CHECK(receiver.mRuns[0].mParts == PartSet{ 1, 2, 3 });
  CHECK(receiver.mRuns[0].mSentAt == theirNow - milliseconds(740));
  CHECK(receiver.mStarts.at(2) == theirNow - milliseconds(400));
  REQUIRE(receiver.mQuarantines.size() == 1);
  CHECK(receiver.mQuarantines[0].mParts == PartSet{ 8, 9 });
  CHECK(receiver.mQuarantines[0].mSince == theirNow - seconds(60));
  CHECK(receiver.mQuarantines[0].mUntil == theirNow + seconds(90));
}

TEST_CASE(
  "runs and starts are sent for two seconds, quarantines until they end")
{
  // Guards against reports that grow with the age of the fleet, and against a
  // quarantine that a host that starts late never learns.
  const SuspectPolicy policy;
  CrashSuspects suspects;
  SuspectExchange exchange;
  CHECK_FALSE(Transmit(exchange, suspects, kNow));
  RecordCrash(suspects, DeadlyRun(1, kNow), policy, kNow);
  AdoptQuarantine(suspects, { { 9 }, kNow, kNow + hours(1) }, policy, kNow);
  NoteEvidence(exchange, suspects, kNow);
  CHECK(AnyNewCrash(exchange, kNow));
  CHECK(Transmit(exchange, suspects, kNow + milliseconds(1900))->runs.size() ==
        1);
  const auto later = Transmit(exchange, suspects, kNow + milliseconds(2100));
  CHECK(later->runs.empty());
  CHECK(later->quarantines.size() == 1);
  CHECK_FALSE(AnyNewCrash(exchange, kNow + milliseconds(2100)));
  CHECK(Transmit(exchange, suspects, kNow + milliseconds(3500000)));
  CHECK_FALSE(Transmit(exchange, suspects, kNow + milliseconds(3599000)));
}

TEST_CASE("starts of popular parts are announced only when they clear a part")
{
  // Guards against reports that change with each answer: popular parts start
  // many times a second.
  const SuspectPolicy policy;
  CrashSuspects suspects;
  SuspectExchange exchange;
  RecordCrash(suspects, { 1, kNow, { 3, 4 } }, policy, kNow);
  const std::array popular{ PartHash{ 3 } };
  auto announced = 0;
  TimePoint last{};
  for (auto ms = 10; ms < 4000; ms += 10) {
    const auto now = kNow + milliseconds(ms);
    RecordStart(suspects, popular, now);
    if (ms == 2000) {
      RecordCrash(suspects, { 2, now, { 3, 5 } }, policy, now);
    }
    NoteEvidence(exchange, suspects, now);
    const auto& start = exchange.mStarts.at(3);
    announced += start.mStartedAt != last ? 1 : 0;
    last = start.mStartedAt;
  }
  CHECK(announced == 2);
  CHECK(last >= kNow + milliseconds(2000));
}

TEST_CASE("a report stays small under as much evidence as can be kept")
{
  // Guards against datagrams that the network or the socket refuses.
  constexpr std::size_t kBound = 40UL << 10U;
  const SuspectPolicy policy;
  CrashSuspects suspects;
  for (std::uint64_t i = 1; i <= 1000; ++i) {
    PartSet parts;
    for (std::uint64_t part = 0; part < 32; ++part) {
      parts.push_back(i * 100 + part);
    }
    const auto at = kNow + milliseconds(i);
    RecordCrash(suspects, { i, at, parts }, policy, at);
    AdoptQuarantine(
      suspects, { parts, at + seconds(1), at + hours(1) }, policy, at);
    RecordStart(suspects, std::span(parts).first(1), at);
  }
  SuspectExchange exchange;
  const auto now = kNow + milliseconds(1000);
  NoteEvidence(exchange, suspects, now);
  const auto evidence = EvidenceToSend(exchange, suspects, now);
  REQUIRE(evidence);
  CHECK(evidence->runs.size() == kMaxRunsSent);
  CHECK(evidence->runs[0]->id == 1000);
  CHECK(evidence->starts.size() <= kMaxStartsSent);
  CHECK(evidence->quarantines.size() == kMaxQuarantinesSent);
  CHECK(PackTable<wire::CrashEvidence>(*evidence).size() < kBound);
  CHECK(exchange.mRuns.size() <= policy.mMaxRuns);
  CHECK(exchange.mStarts.size() <= suspects.mStarts.size());
}

TEST_CASE("malformed evidence neither quarantines nor fills the memory")
{
  // Guards against a host of another version, or a damaged datagram, that makes
  // this one refuse everything.
  const SuspectPolicy policy;
  wire::CrashEvidenceT evidence;
  constexpr auto kAbsurd = std::numeric_limits<std::uint32_t>::max();
  const auto addRun = [&](std::uint64_t aId,
                          std::uint32_t aAge,
                          std::vector<std::uint64_t> aParts) {
    auto& run =
      evidence.runs.emplace_back(std::make_unique<wire::CrashedRunCopyT>());
    run->id = aId;
    run->age_ms = aAge;
    run->parts = std::move(aParts);
  };
  const auto addQuarantine = [&](std::vector<std::uint64_t> aParts,
                                 std::uint32_t aAge,
                                 std::uint32_t aRemaining) {
    auto& quarantine = evidence.quarantines.emplace_back(
      std::make_unique<wire::QuarantineCopyT>());
    quarantine->parts = std::move(aParts);
    quarantine->age_ms = aAge;
    quarantine->remaining_ms = aRemaining;
  };
  addRun(1, 5, {});
  addRun(2, kAbsurd, { 1 });
  addRun(3, 5, std::vector<std::uint64_t>(5000, 1));
  addRun(4, 5, { 9, 2, 9 });
  addQuarantine({}, 5, 100000);
  addQuarantine(std::vector<std::uint64_t>(5000, 1), 5, 100000);
  addQuarantine({ 5 }, kAbsurd, 0);
  addQuarantine({ 8, 6, 8 }, kAbsurd, kAbsurd);
  evidence.starts.emplace_back(77, kAbsurd);
  CrashSuspects suspects;
  ApplyEvidence(suspects, policy, evidence, "h", kNow);
  REQUIRE(suspects.mRuns.size() == 1);
  CHECK(suspects.mRuns[0].mParts == PartSet{ 2, 9 });
  REQUIRE(suspects.mQuarantines.size() == 1);
  CHECK(suspects.mQuarantines[0].mParts == PartSet{ 6, 8 });
  CHECK(suspects.mQuarantines[0].mUntil <= kNow + policy.mQuarantine);
  CHECK_FALSE(IsQuarantined(suspects, std::array{ PartHash{ 1 } }, kNow));

  for (std::uint64_t i = 0; i < 10000; ++i) {
    addRun(100 + i, 1, { i });
    addQuarantine({ i }, 1, 100000);
    evidence.starts.emplace_back(i, 1);
  }
  ApplyEvidence(suspects, policy, evidence, "h", kNow);
  CHECK(suspects.mRuns.size() <= 1 + kMaxRunsSent);
  CHECK(suspects.mQuarantines.size() <= kMaxQuarantinesSent);
}

// Hosts h0 and h1 in domain a, h2 in domain b; reports every 60 ms, summaries
// every 200 ms, in virtual time.
class SmallFleet
{
public:
  static constexpr std::size_t kHosts = 3;

  SmallFleet()
  {
    for (std::size_t i = 0; i < kHosts; ++i) {
      Restart(i);
    }
  }

  // Starts a host anew, without any knowledge.
  auto Restart(std::size_t aHost) -> void
  {
    auto state = std::make_unique<ServingState>(mLoop);
    state->mHost = "h" + std::to_string(aHost);
    state->mDomain = aHost < 2 ? "a" : "b";
    mStates[aHost] = std::move(state);
    mIncarnations[aHost] = ++mSequence;
  }

  auto At(std::size_t aHost) -> ServingState& { return *mStates[aHost]; }

  auto Now() const -> TimePoint { return mNow; }

  auto Crash(std::size_t aHost, std::uint64_t aId) -> void
  {
    auto& state = At(aHost);
    RecordCrash(
      state.mSuspects, DeadlyRun(aId, mNow), state.mSuspectPolicy, mNow);
  }

  auto Refuses(std::size_t aHost) -> bool
  {
    return IsQuarantined(
      At(aHost).mSuspects, std::array{ kDeadly, PartHash{ 3 } }, mNow);
  }

  auto Run(milliseconds aTime) -> void
  {
    for (const auto end = mNow + aTime; mNow < end; mNow += milliseconds(1)) {
      const auto ms =
        std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch())
          .count();
      for (std::size_t i = 0; i < kHosts; ++i) {
        if (ms % 60 == 0) {
          SendReport(i);
        }
        if (ms % 200 == 0) {
          SendSummary(i);
          UpdatePeerLiveness(At(i), mNow);
        }
      }
    }
  }

  bool mCut = false;          // between the domains
  int mLoseAllBut = 1;        // only every n-th datagram arrives
  int mCopies = 1;            // of each datagram that arrives
  std::size_t mDown = kHosts; // a host that neither sends nor receives

private:
  auto Arrives() -> bool { return ++mSent % mLoseAllBut == 0; }

  auto SendReport(std::size_t aFrom) -> void
  {
    auto& from = At(aFrom);
    NoteEvidence(from.mSuspectExchange, from.mSuspects, mNow);
    auto report = OwnReport(from, mNow);
    report.incarnation = mIncarnations[aFrom];
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (i == aFrom || i == mDown || aFrom == mDown || !Arrives()) {
        continue;
      }
      for (auto copy = 0; copy < mCopies; ++copy) {
        report.sequence = ++mSequence;
        ApplyPeerReport(At(i), report, mIncarnations[i], mNow);
      }
    }
  }

  // From both hosts of domain a, as while the gateway changes.
  auto SendSummary(std::size_t aFrom) -> void
  {
    auto& from = At(aFrom);
    NoteEvidence(from.mSuspectExchange, from.mSuspects, mNow);
    auto summary = OwnSummary(from, OwnReport(from, mNow), mNow);
    summary.incarnation = mIncarnations[aFrom];
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (At(i).mDomain == from.mDomain || mCut || i == mDown ||
          aFrom == mDown || !Arrives()) {
        continue;
      }
      for (auto copy = 0; copy < mCopies; ++copy) {
        summary.sequence = ++mSequence;
        ApplyPeerSummary(At(i), summary, mNow);
      }
    }
  }

  asio::io_context mLoop;
  TimePoint mNow = kNow;
  std::array<std::unique_ptr<ServingState>, kHosts> mStates;
  std::array<std::uint64_t, kHosts> mIncarnations{};
  std::uint64_t mSequence = 0;
  int mSent = 0;
};

TEST_CASE("crashes seen by one host quarantine the part at every host")
{
  // Guards against hosts that each need crashes of their own, also in another
  // domain, and while most datagrams are lost or arrive twice.
  for (const auto loseAllBut : { 1, 5 }) {
    for (const auto copies : { 1, 2 }) {
      CAPTURE(loseAllBut);
      CAPTURE(copies);
      SmallFleet fleet;
      fleet.mLoseAllBut = loseAllBut;
      fleet.mCopies = copies;
      fleet.Run(seconds(1));
      for (std::uint64_t i = 1; i <= 4; ++i) {
        fleet.Crash(0, i);
        fleet.Run(milliseconds(300));
      }
      fleet.Run(seconds(2));
      CHECK(fleet.Refuses(0));
      CHECK(fleet.Refuses(1));
      CHECK(fleet.Refuses(2));
    }
  }
}

TEST_CASE("crashes at different hosts add up")
{
  // Guards against a part that crashes each host's endpoints too rarely for any
  // single host.
  SmallFleet fleet;
  fleet.Run(seconds(1));
  for (std::uint64_t i = 0; i < 4; ++i) {
    fleet.Crash(i % 3, 1 + i);
    fleet.Run(milliseconds(500));
  }
  fleet.Run(seconds(1));
  for (std::size_t host = 0; host < SmallFleet::kHosts; ++host) {
    CHECK(fleet.Refuses(host));
  }
}

TEST_CASE("a host that starts again learns the quarantines from its peers")
{
  // Guards against a restarted host that sends the deadly part once more, long
  // after the runs were sent.
  SmallFleet fleet;
  fleet.Run(seconds(1));
  for (std::uint64_t i = 1; i <= 4; ++i) {
    fleet.Crash(0, i);
    fleet.Run(milliseconds(300));
  }
  fleet.Run(seconds(30));
  fleet.Restart(1);
  fleet.Run(milliseconds(61));
  CHECK(fleet.Refuses(1));
  // The host that saw the crashes is lost; the other domain still learns.
  fleet.mDown = 0;
  fleet.Restart(2);
  fleet.Run(milliseconds(400));
  CHECK(fleet.Refuses(2));
}

TEST_CASE("domains that were cut off combine their evidence after the cut")
{
  // Guards against evidence that was sent during the cut only: two crashes on
  // each side do not suffice on their own.
  SmallFleet fleet;
  fleet.Run(seconds(1));
  fleet.mCut = true;
  for (std::uint64_t i = 0; i < 4; ++i) {
    fleet.Crash(2 * (i % 2), 1 + i);
    fleet.Run(seconds(2));
  }
  fleet.Run(seconds(10));
  CHECK_FALSE(fleet.Refuses(0));
  CHECK_FALSE(fleet.Refuses(2));
  fleet.mCut = false;
  fleet.Run(seconds(1));
  for (std::size_t host = 0; host < SmallFleet::kHosts; ++host) {
    CHECK(fleet.Refuses(host));
  }
}

TEST_CASE("an answer at one host ends a wrong quarantine at every host")
{
  // Guards against a quarantine that peers give back to the host that cleared
  // it.
  SmallFleet fleet;
  fleet.Run(seconds(1));
  for (std::uint64_t i = 1; i <= 4; ++i) {
    fleet.Crash(0, i);
    fleet.Run(milliseconds(300));
  }
  fleet.Run(seconds(10));
  REQUIRE(fleet.Refuses(2));
  RecordStart(fleet.At(2).mSuspects, std::array{ kDeadly }, fleet.Now());
  for (auto i = 0; i < 50; ++i) {
    fleet.Run(milliseconds(100));
    CHECK_FALSE(fleet.Refuses(2));
  }
  CHECK_FALSE(fleet.Refuses(0));
  CHECK_FALSE(fleet.Refuses(1));
}

TEST_CASE("a quarantine ends at every host about when it was to end")
{
  // Guards against copies that prolong each other.
  SmallFleet fleet;
  for (std::size_t host = 0; host < SmallFleet::kHosts; ++host) {
    fleet.At(host).mSuspectPolicy.mQuarantine = seconds(20);
  }
  fleet.Run(seconds(1));
  for (std::uint64_t i = 1; i <= 4; ++i) {
    fleet.Crash(0, i);
    fleet.Run(milliseconds(300));
  }
  fleet.Run(seconds(15));
  CHECK(fleet.Refuses(2));
  fleet.Run(seconds(5));
  for (std::size_t host = 0; host < SmallFleet::kHosts; ++host) {
    CHECK_FALSE(fleet.Refuses(host));
  }
}

} // namespace
} // namespace mangovalve
