// Tests of the attribution of crashes to parts of prompts.
#include "mangovalve/routing/crash_suspects.h"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <iterator>
#include <string>

#include <doctest/doctest.h>

#include "mangovalve/base/property.h"
#include "mangovalve/base/random.h"
#include "mangovalve/membership/rendezvous.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = TimePoint(std::chrono::hours(1));
constexpr PartHash kDeadly = 7;
constexpr PartHash kFirst = 11; // of several popular first parts
constexpr PartHash kOtherFirst = 12;
constexpr PartHash kSession = 101;
constexpr std::uint64_t kOwnParts = 1000000; // parts of one request only

const SuspectPolicy kPolicy;

// The suspects of a host, and the identifiers it gives.
struct Host
{
  CrashSuspects mSuspects;
  std::uint64_t mNext = kOwnParts;
};

// Records a crashed run with these parts and with one of its own.
auto Crash(Host& aHost, TimePoint aAt, PartSet aParts)
  -> std::vector<Quarantine>
{
  const auto id = aHost.mNext++;
  aParts.push_back(id);
  return RecordCrash(aHost.mSuspects,
                     { .mId = id, .mAt = aAt, .mParts = std::move(aParts) },
                     kPolicy,
                     aAt);
}

auto Start(Host& aHost, TimePoint aAt, std::initializer_list<PartHash> aParts)
  -> void
{
  RecordStart(aHost.mSuspects, std::vector(aParts), aAt);
}

auto Refuses(const Host& aHost,
             TimePoint aAt,
             std::initializer_list<PartHash> aParts) -> bool
{
  return IsQuarantined(aHost.mSuspects, std::vector(aParts), aAt);
}

auto Suspects(const Host& aHost,
              TimePoint aAt,
              std::initializer_list<PartHash> aParts) -> bool
{
  return IsSuspected(aHost.mSuspects, std::vector(aParts), kPolicy, aAt);
}

// The quarantined sets, sorted.
auto Sets(const CrashSuspects& aSuspects) -> std::vector<PartSet>
{
  std::vector<PartSet> sets;
  for (const auto& quarantine : aSuspects.mQuarantines) {
    sets.push_back(quarantine.mParts);
  }
  std::sort(sets.begin(), sets.end());
  return sets;
}

using PartSets = std::vector<PartSet>;

// Crashes of requests with the parts, one second apart, from aFrom on.
auto CrashTimes(Host& aHost,
                std::size_t aTimes,
                TimePoint aFrom,
                const PartSet& aParts) -> TimePoint
{
  for (std::size_t i = 0; i < aTimes; ++i) {
    Crash(aHost, aFrom, aParts);
    aFrom += seconds(1);
  }
  return aFrom;
}

// Guards against a deadly part that keeps crashing endpoints, and against
// popular parts that are refused in its place.
TEST_CASE("only the deadly part of a prompt is quarantined, after 4 crashes")
{
  Host host;
  auto now = kStart;
  for (PartHash crash = 0; crash < 4; ++crash) {
    CHECK(Sets(host.mSuspects).empty());
    // Bystanders with the most popular first part are at each endpoint.
    Crash(host, now, { kFirst, kSession + crash });
    Crash(host, now, { kFirst, kSession + 10 + crash });
    const auto added = Crash(host, now, { kFirst + crash % 2, kDeadly });
    CHECK(added.size() == (crash == 3 ? 1 : 0));
    now += seconds(1);
  }
  CHECK(Sets(host.mSuspects) == PartSets{ { kDeadly } });
  CHECK(Refuses(host, now, { 5, kDeadly, 6 }));
  CHECK_FALSE(Refuses(host, now, { kFirst, kSession }));
  CHECK_FALSE(Suspects(host, now, { kFirst, kSession }));
}

// Guards against the refusal of all requests with a sound first part, and
// against a deadly part that passes with another first part.
TEST_CASE("a first part that always came with the deadly one can be cleared")
{
  Host host;
  const auto now = CrashTimes(host, 4, kStart, { kFirst, kDeadly });
  CHECK(Sets(host.mSuspects) == PartSets{ { kDeadly, kFirst } });
  CHECK_FALSE(Refuses(host, now, { kFirst, kSession }));
  CHECK_FALSE(Refuses(host, now, { kOtherFirst, kDeadly }));
  CHECK(Refuses(host, now, { kFirst, kSession, kDeadly }));
  Start(host, now, { kFirst, kSession });
  CHECK(Sets(host.mSuspects) == PartSets{ { kDeadly } });
  CHECK(Refuses(host, now, { kOtherFirst, kDeadly }));
}

// Guards against as many crashes for each first part the deadly one comes with.
TEST_CASE("one crash with another first part tells the deadly part apart")
{
  Host host;
  const auto now = CrashTimes(host, 4, kStart, { kFirst, kDeadly });
  const auto added = Crash(host, now, { kOtherFirst, kDeadly });
  CHECK(added.size() == 1);
  CHECK(Sets(host.mSuspects) == PartSets{ { kDeadly } });
}

// Guards against a request that is repeated by its caller and hides the part
// that crashes others: the request's own part is in the first crashes too.
TEST_CASE("crashes of one repeated request and of another one are combined")
{
  Host host;
  auto now = CrashTimes(host, 1, kStart, { kSession, kDeadly });
  for (std::uint64_t run = 0; run < 3; ++run) {
    RecordCrash(
      host.mSuspects,
      { .mId = run, .mAt = now, .mParts = { kSession, kDeadly, kOwnParts } },
      kPolicy,
      now);
    now += seconds(1);
  }
  CHECK(Sets(host.mSuspects) == PartSets{ { kDeadly, kSession, kOwnParts } });
  Crash(host, now, { kFirst, kDeadly });
  CHECK(Sets(host.mSuspects) == PartSets{ { kDeadly } });
}

// Guards against the loss of a session that has deadly and sound requests.
TEST_CASE("a session with sound requests too is not quarantined")
{
  Host host;
  auto now = kStart;
  for (auto i = 0; i < 8; ++i) {
    Crash(host, now, { kFirst, kSession, kDeadly });
    Start(host, now + milliseconds(300), { kFirst, kSession });
    now += seconds(1);
  }
  CHECK(Sets(host.mSuspects) == PartSets{ { kDeadly } });
  CHECK_FALSE(Suspects(host, now, { kFirst, kSession }));
}

// Guards against the conviction of what was in progress when a failure domain
// was lost.
TEST_CASE("endpoints that are lost at the same time convict nobody")
{
  std::array<Host, 12> hosts;
  Host merged;
  for (std::uint64_t number = 0; number < hosts.size(); ++number) {
    auto& host = hosts[number];
    host.mNext += number * 1000;
    for (std::uint64_t endpoint = 0; endpoint < 12; ++endpoint) {
      const auto at = kStart + milliseconds((number * 12 + endpoint) % 90);
      CHECK(Crash(host, at, { kFirst, kSession }).empty());
      CHECK(Crash(host, at, { kFirst, kDeadly }).empty());
    }
  }
  for (const auto& host : hosts) {
    CHECK(Sets(host.mSuspects).empty());
    CHECK_FALSE(Suspects(host, kStart, { kFirst, kSession }));
    for (const auto& run : host.mSuspects.mRuns) {
      CHECK(RecordCrash(merged.mSuspects, run, kPolicy, kStart + seconds(1))
              .empty());
    }
  }
  CHECK_FALSE(Suspects(merged, kStart + seconds(1), { kFirst, kSession }));
}

// Guards against the conviction of popular parts when endpoints are lost one
// after the other for another reason, as at the end of their machines.
TEST_CASE("endpoints that are lost in turn under steady traffic convict nobody")
{
  Host host;
  auto now = kStart;
  for (PartHash endpoint = 0; endpoint < 12; ++endpoint) {
    for (PartHash run = 0; run < 6; ++run) {
      Crash(host, now, { kFirst + run % 2, kSession + (endpoint + run) % 8 });
    }
    for (PartHash session = 0; session < 8; ++session) {
      Start(host,
            now + milliseconds(200 + 50 * session),
            { kFirst + session % 2, kSession + session });
    }
    now += seconds(1);
    CHECK(Sets(host.mSuspects).empty());
  }
  CHECK_FALSE(Suspects(host, now, { kFirst, kSession }));
}

// Guards against the conviction of a rare sound part, which has no answer that
// could clear it, for crashes that another part explains.
TEST_CASE("a rare part that was a bystander is neither refused nor suspected")
{
  Host host;
  auto now = kStart;
  for (PartHash crash = 0; crash < 6; ++crash) {
    Crash(host, now, { kFirst + crash % 3, kDeadly });
    if (crash != 2) {
      Crash(host, now + milliseconds(2), { kFirst + crash % 3, kSession });
    }
    now += seconds(1);
  }
  CHECK(Sets(host.mSuspects) == PartSets{ { kDeadly } });
  CHECK_FALSE(Suspects(host, now, { kFirst, kSession }));
}

// Guards against a host that refuses a sound part since another host's evidence
// against the deadly one came late.
TEST_CASE("late evidence refutes the quarantine of a bystander, also a copy")
{
  Host own;
  Host other;
  other.mNext += 1000;
  auto now = kStart;
  for (PartHash crash = 0; crash < 5; ++crash) {
    if (crash > 0) {
      Crash(own, now, { kSession, kFirst + crash % 2 });
    }
    Crash(other, now, { kDeadly, kFirst + crash % 2 });
    now += seconds(1);
  }
  REQUIRE(Sets(own.mSuspects) == PartSets{ { kSession } });
  const auto wrong = own.mSuspects.mQuarantines.front();
  REQUIRE(AdoptQuarantine(other.mSuspects, wrong, kPolicy, now));
  const auto ownRuns = own.mSuspects.mRuns;
  for (const auto& run : other.mSuspects.mRuns) {
    RecordCrash(own.mSuspects, run, kPolicy, now);
  }
  for (const auto& run : ownRuns) {
    RecordCrash(other.mSuspects, run, kPolicy, now);
  }
  CHECK(Sets(own.mSuspects) == PartSets{ { kDeadly } });
  CHECK(Sets(other.mSuspects) == PartSets{ { kDeadly } });
  CHECK_FALSE(AdoptQuarantine(other.mSuspects, wrong, kPolicy, now));
}

// Guards against a sound part that stays refused though it is answered.
TEST_CASE("a wrong quarantine ends when an answer begins, and stays ended")
{
  Host host;
  const auto now = CrashTimes(host, 5, kStart, { kSession });
  REQUIRE(Refuses(host, now, { kSession }));
  auto copy = host.mSuspects.mQuarantines.front();
  Start(host, kStart - milliseconds(1), { kSession });
  CHECK(Refuses(host, now, { kSession })); // it began before the first crash
  Start(host, now, { kSession });
  CHECK_FALSE(Refuses(host, now, { kSession }));
  CHECK_FALSE(Suspects(host, now, { kSession }));
  for (const auto jitter : { -5, 0, 5 }) {
    copy.mSince += milliseconds(jitter);
    CHECK_FALSE(AdoptQuarantine(host.mSuspects, copy, kPolicy, now));
  }
  Crash(host, now + seconds(1), { kSession });
  CHECK(Sets(host.mSuspects).empty());
}

// Guards against a copy that revives an ended quarantine of a host that has no
// evidence of its own.
TEST_CASE("an adopted quarantine that was cleared is not revived by a copy")
{
  Host host;
  const Quarantine copy{ .mParts = { kSession },
                         .mSince = kStart,
                         .mUntil = kStart + kPolicy.mQuarantine };
  REQUIRE(AdoptQuarantine(host.mSuspects, copy, kPolicy, kStart));
  Start(host, kStart + milliseconds(20), { kSession });
  ForgetExpired(host.mSuspects, kPolicy, kStart + seconds(1));
  auto later = copy;
  later.mSince += milliseconds(40); // the times of copies are uncertain
  CHECK_FALSE(
    AdoptQuarantine(host.mSuspects, later, kPolicy, kStart + seconds(1)));
  CHECK(Sets(host.mSuspects).empty());
}

// Guards against sets that are refused twice, or that refuse too little.
TEST_CASE("adopted sets are minimal and their copies have no effect")
{
  Host host;
  const auto adopt = [&](PartSet aParts, TimePoint aUntil) {
    return AdoptQuarantine(
      host.mSuspects,
      { .mParts = std::move(aParts), .mSince = kStart, .mUntil = aUntil },
      kPolicy,
      kStart);
  };
  const auto until = kStart + seconds(60);
  CHECK_FALSE(adopt({}, until));
  CHECK_FALSE(adopt({ kDeadly }, kStart));
  CHECK(adopt({ kFirst, kDeadly }, until));
  CHECK_FALSE(adopt({ kDeadly, kFirst }, until));
  CHECK(adopt({ kDeadly }, until));
  CHECK_FALSE(adopt({ kDeadly, kSession }, until + milliseconds(50)));
  REQUIRE(Sets(host.mSuspects) == PartSets{ { kDeadly } });
  CHECK(host.mSuspects.mQuarantines.front().mUntil == until);
  CHECK_FALSE(adopt({ kDeadly, kSession }, until + seconds(60)));
  CHECK(host.mSuspects.mQuarantines.front().mUntil == until + seconds(60));
}

// Guards against retries of a request that has crashed two endpoints, and
// against the loss of those that share a part with it.
TEST_CASE("a request with the parts of two crashes is suspected")
{
  Host host;
  CrashTimes(host, 1, kStart, { kFirst, kDeadly });
  const auto now = kStart + seconds(1);
  CHECK_FALSE(Suspects(host, now, { kFirst, kDeadly }));
  Crash(host, now, { kFirst, kDeadly });
  CHECK(Suspects(host, now, { kDeadly, kSession, kFirst }));
  CHECK_FALSE(Suspects(host, now, { kFirst, kSession }));
  Start(host, now + milliseconds(1), { kFirst });
  CHECK(Suspects(host, now, { kDeadly }));
  CHECK_FALSE(Refuses(host, now, { kDeadly, kFirst }));
}

// Guards against memory that grows with the number of different parts.
TEST_CASE("memory is bounded when every request brings new parts")
{
  Host host;
  const auto maxStarts = kPolicy.mMaxRuns * 33 + kPolicy.mMaxQuarantines * 32;
  auto now = kStart;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    PartSet parts;
    for (std::uint64_t part = 0; part < 50; ++part) {
      parts.push_back(i * 100 + part);
    }
    Crash(host, now, parts);
    RecordStart(host.mSuspects, parts, now + milliseconds(1));
    AdoptQuarantine(host.mSuspects,
                    { .mParts = { i * 100 + 70 },
                      .mSince = now,
                      .mUntil = now + seconds(30) },
                    kPolicy,
                    now);
    now += milliseconds(10);
    REQUIRE(host.mSuspects.mRuns.size() <= kPolicy.mMaxRuns);
    REQUIRE(host.mSuspects.mQuarantines.size() <= kPolicy.mMaxQuarantines);
    REQUIRE(host.mSuspects.mStarts.size() <= maxStarts);
  }
  ForgetExpired(host.mSuspects, kPolicy, now + std::chrono::hours(2));
  CHECK(host.mSuspects.mRuns.empty());
  CHECK(host.mSuspects.mQuarantines.empty());
  CHECK(host.mSuspects.mStarts.empty());
}

// Guards against requests that are refused forever.
TEST_CASE("evidence and quarantines expire")
{
  Host host;
  const auto now = CrashTimes(host, 3, kStart, { kDeadly });
  const auto later = now + kPolicy.mRetention;
  Crash(host, later, { kDeadly });
  CHECK(Sets(host.mSuspects).empty());
  const auto last = CrashTimes(host, 3, later + seconds(1), { kDeadly });
  const auto until = last - seconds(1) + kPolicy.mQuarantine;
  CHECK(Refuses(host, until - milliseconds(1), { kDeadly }));
  CHECK_FALSE(Refuses(host, until, { kDeadly }));
  CHECK_FALSE(Suspects(host, until, { kDeadly + 1 }));
}

auto Tries(Host& aHost, TimePoint aAt, std::initializer_list<PartHash> aParts)
  -> bool
{
  return TakeTrial(aHost.mSuspects, std::vector(aParts), kPolicy, true, aAt);
}

constexpr PartHash kDeadlyRequest = kWholeRequest | 21;
constexpr PartHash kSoundRequest = kWholeRequest | 22;

// Records a run of a whole request that was sent aRan before the crash.
auto CrashRequest(Host& aHost, TimePoint aAt, PartSet aParts, Duration aRan)
  -> std::vector<Quarantine>
{
  CrashedRun run;
  run.mId = aHost.mNext++;
  run.mAt = aAt;
  run.mSentAt = aAt - aRan;
  run.mParts = std::move(aParts);
  return RecordCrash(aHost.mSuspects, std::move(run), kPolicy, aAt);
}

// Guards against a request without parts that crashes endpoint after endpoint
// when it comes again, and against crashes that are counted as one because they
// follow each other closely.
TEST_CASE("a repeated request is quarantined after 3 crashes, however close")
{
  Host host;
  auto now = kStart;
  for (auto crash = 0; crash < 3; ++crash) {
    CHECK(Sets(host.mSuspects).empty());
    CrashRequest(host, now, { kDeadlyRequest }, milliseconds(30));
    now += milliseconds(50);
    CHECK(Suspects(host, now, { kDeadlyRequest }) == (crash > 0));
  }
  CHECK(Sets(host.mSuspects) == PartSets{ { kDeadlyRequest } });
  CHECK(Refuses(host, now, { kFirst, kDeadlyRequest }));
  CHECK_FALSE(Refuses(host, now, { kSoundRequest }));
}

// Guards against the refusal of a sound request that many callers repeat, when
// endpoints with it are lost for a common cause.
TEST_CASE("endpoints that are lost at the same time convict no request")
{
  Host host;
  for (auto endpoint = 0; endpoint < 12; ++endpoint) {
    CrashRequest(host,
                 kStart + milliseconds(8 * endpoint),
                 { kSoundRequest },
                 milliseconds(120));
  }
  CHECK(Sets(host.mSuspects).empty());
  // Copies without the time of sending tell nothing of the order.
  Crash(host, kStart + milliseconds(97), { kSoundRequest });
  CHECK(Sets(host.mSuspects).empty());
}

// Guards against the refusal of a sound request that is answered in between.
TEST_CASE("an answer clears a repeated request")
{
  Host host;
  auto now = kStart;
  for (auto crash = 0; crash < 9; ++crash) {
    CrashRequest(host, now, { kSoundRequest }, milliseconds(30));
    now += seconds(1);
    if (crash % 2 == 1) {
      Start(host, now - milliseconds(1), { kSoundRequest });
    }
    CHECK(Sets(host.mSuspects).empty());
  }
}

// Guards against a deadly part that is refused in one request only, because
// that request has crashed most endpoints.
TEST_CASE("a deadly part is found though its first request was repeated")
{
  Host host;
  auto now = kStart;
  for (auto crash = 0; crash < 3; ++crash) {
    CrashRequest(
      host, now, { kDeadly, kSession, kDeadlyRequest }, milliseconds(30));
    now += seconds(1);
  }
  CHECK(Refuses(host, now, { kDeadly, kSession, kDeadlyRequest }));
  CHECK_FALSE(Refuses(host, now, { kDeadly, kSession, kSoundRequest }));
  CrashRequest(host, now, { kDeadly, kWholeRequest | 23 }, milliseconds(30));
  CHECK(Sets(host.mSuspects) == PartSets{ { kDeadly } });
}

// Guards against more than three sends of a deadly request after its third
// crash, trials and late crashes together.
TEST_CASE("a quarantined request is tried twice at most")
{
  Host host;
  auto now = kStart;
  for (auto crash = 0; crash < 3; ++crash) {
    CrashRequest(host, now, { kDeadlyRequest }, milliseconds(30));
    now += milliseconds(50);
  }
  auto late = host;
  for (const auto at : { seconds(20), seconds(80) }) {
    CHECK(Tries(host, kStart + at, { kDeadlyRequest }));
    CrashRequest(host, kStart + at, { kDeadlyRequest }, milliseconds(30));
  }
  CHECK_FALSE(Tries(host, kStart + seconds(320), { kDeadlyRequest }));

  // Sent by hosts that did not know of the quarantine.
  for (const auto at : { seconds(5), seconds(6) }) {
    CrashRequest(late, kStart + at, { kDeadlyRequest }, milliseconds(30));
  }
  CHECK_FALSE(Tries(late, kStart + seconds(20), { kDeadlyRequest }));
  CHECK_FALSE(Tries(late, kStart + seconds(80), { kDeadlyRequest }));
}

// Guards against several requests with a deadly part that are sent as the same
// trial, and against hosts that try a set which another host tries.
TEST_CASE("a trial is used up once, and only by the host that tries the set")
{
  Host host;
  CrashTimes(host, 4, kStart, { kDeadly });
  const auto deadline = kStart + kPolicy.mFirstTrial;
  const PartSet parts{ kDeadly };
  CHECK_FALSE(Tries(host, deadline - milliseconds(1), { kDeadly }));
  CHECK_FALSE(TakeTrial(host.mSuspects, parts, kPolicy, false, deadline));
  CHECK(DueTrial(host.mSuspects, parts, kPolicy, deadline) == parts);
  CHECK(Tries(host, deadline, { kFirst, kDeadly }));
  CHECK_FALSE(DueTrial(host.mSuspects, parts, kPolicy, deadline));
  CHECK_FALSE(Tries(host, deadline + seconds(59), { kDeadly }));
  CHECK(Refuses(host, deadline, { kDeadly }));
  CHECK(Tries(host, kStart + seconds(80), { kDeadly }));
  CHECK(Tries(host, kStart + seconds(320), { kDeadly }));
  CHECK_FALSE(Tries(host, kStart + seconds(1280), { kDeadly }));
}

// Guards against requests that are sent as trials though nothing is quarantined
// that they contain.
TEST_CASE("a request that is not quarantined takes no trial")
{
  Host host;
  CrashTimes(host, 4, kStart, { kFirst, kDeadly });
  const auto deadline = kStart + kPolicy.mFirstTrial;
  CHECK_FALSE(Tries(host, deadline, { kOtherFirst }));
  CHECK_FALSE(Tries(host, deadline, { kFirst }));
  CHECK(Tries(host, deadline, { kFirst, kDeadly }));
}

// Guards against a host that tries a deadly part again when the host that has
// tried it stops.
TEST_CASE("a host that takes over does not repeat a trial that has crashed")
{
  Host first;
  Host second;
  CrashTimes(first, 4, kStart, { kDeadly });
  CrashTimes(second, 4, kStart, { kDeadly });
  const auto at = kStart + seconds(20);
  REQUIRE(Tries(first, at, { kDeadly }));
  // The times of hosts differ a little.
  Crash(second, at - milliseconds(20), { kDeadly });
  CHECK_FALSE(Tries(second, at + seconds(10), { kDeadly }));
  REQUIRE(Tries(second, kStart + seconds(100), { kDeadly }));
  CHECK_FALSE(Tries(second, kStart + seconds(101), { kDeadly }));
}

// Guards against a part that is never tried again when the host that tries it
// stops, and against one trial for each deadline that this host has missed.
TEST_CASE("a host that takes over makes up for one trial, not for all")
{
  Host host;
  CrashTimes(host, 4, kStart, { kDeadly });
  const auto at = kStart + seconds(100);
  CHECK(Tries(host, at, { kDeadly }));
  CHECK_FALSE(Tries(host, at, { kDeadly }));
  CHECK_FALSE(Tries(host, kStart + seconds(319), { kDeadly }));
  CHECK(Tries(host, kStart + seconds(320), { kDeadly }));
}

// Guards against a trial of each host of a fleet that starts with a quarantine
// from the store, when none of them knows the others and their trials.
TEST_CASE("a host that has just learned of a quarantine does not try it")
{
  Host host;
  const auto adopt = [&](TimePoint aAt) {
    host.mSuspects = {};
    return AdoptQuarantine(host.mSuspects,
                           { .mParts = { kDeadly },
                             .mSince = kStart,
                             .mUntil = kStart + kPolicy.mQuarantine },
                           kPolicy,
                           aAt);
  };
  REQUIRE(adopt(kStart + seconds(60)));
  CHECK_FALSE(Tries(host, kStart + seconds(79), { kDeadly }));
  CHECK(Tries(host, kStart + seconds(80), { kDeadly }));
  REQUIRE(adopt(kStart + seconds(78)));
  CHECK_FALSE(Tries(host, kStart + seconds(319), { kDeadly }));
  CHECK(Tries(host, kStart + seconds(320), { kDeadly }));
  REQUIRE(adopt(kStart + seconds(319)));
  CHECK_FALSE(Tries(host, kStart + seconds(330), { kDeadly }));
}

// Guards against trials by hosts that have forgotten earlier ones.
TEST_CASE("a trial lapses when its crash at another host may be forgotten")
{
  Host host;
  CrashTimes(host, 4, kStart, { kDeadly });
  const auto lapsed = kStart + seconds(320) + kPolicy.mRetention;
  const PartSet parts{ kDeadly };
  CHECK(DueTrial(host.mSuspects, parts, kPolicy, lapsed - seconds(1)));
  CHECK_FALSE(DueTrial(host.mSuspects, parts, kPolicy, lapsed));
}

// Guards against a trial that crashes by another quarantined part, which gets
// more requests than its own trials.
TEST_CASE("a request with parts of two quarantines is not tried")
{
  Host host;
  const auto now = CrashTimes(host, 4, kStart, { kDeadly });
  CrashTimes(host, 4, now, { kFirst, kSession });
  REQUIRE(Sets(host.mSuspects) ==
          PartSets{ { kDeadly }, { kFirst, kSession } });
  const auto at = kStart + seconds(30);
  CHECK_FALSE(Tries(host, at, { kDeadly, kFirst, kSession }));
  CHECK_FALSE(Tries(host, at, { kDeadly, kFirst }));
  CHECK(Tries(host, at, { kDeadly }));
  CHECK(Tries(host, at, { kFirst, kSession }));
}

// Guards against an item with parts of several quarantines that is never tried,
// and against a trial of one of them that is no trial of the others.
TEST_CASE("an item takes the trials of all quarantines that it has parts of")
{
  Host host;
  const auto second = CrashTimes(host, 4, kStart, { kDeadly });
  CrashTimes(host, 4, second, { kFirst, kSession });
  const PartSet parts{ kDeadly, kFirst, kSession };
  const auto due = [&](TimePoint aAt) {
    return FindDueTrials(host.mSuspects, parts, kPolicy, aAt);
  };
  const auto deadline = second + kPolicy.mFirstTrial;
  CHECK_FALSE(due(deadline - milliseconds(1)));
  REQUIRE(due(deadline));
  CHECK(due(deadline)->mSince == deadline);
  CHECK(due(deadline)->mParts == parts);
  TakeTrials(host.mSuspects, parts, kPolicy, deadline);
  CHECK_FALSE(due(deadline));
  CHECK_FALSE(Tries(host, deadline, { kDeadly }));
  CHECK_FALSE(Tries(host, deadline, { kFirst, kSession }));
  // An endpoint has refused the item without running it.
  ReturnTrials(host.mSuspects, parts, kPolicy, deadline);
  CHECK(due(deadline));
  Crash(host, deadline, parts);
  CHECK_FALSE(due(deadline + seconds(10)));
}

// Sends a request with the deadly part to each host each 100 ms. The hosts have
// equal views; evidence of a trial's crash reaches them aDelay later. Returns
// the number of trials within aLength of the first crash.
auto CountTrials(std::size_t aHosts, Duration aDelay, Duration aLength)
  -> std::size_t
{
  std::vector<Host> hosts(aHosts);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < aHosts; ++i) {
    names.push_back("10.0.0." + std::to_string(i) + ":7000");
    CrashTimes(hosts[i], 5, kStart + milliseconds(i % 10), { kDeadly });
  }
  const auto owner = RendezvousOwner(std::to_string(kDeadly), names);
  std::size_t trials = 0;
  auto crash = TimePoint::max(); // of a trial; not yet known to the hosts
  for (auto now = kStart + seconds(6); now < kStart + aLength;
       now += milliseconds(100)) {
    if (crash != TimePoint::max() && now >= crash + aDelay) {
      for (auto& host : hosts) {
        Crash(host, crash, { kDeadly });
      }
      crash = TimePoint::max();
    }
    for (std::size_t i = 0; i < aHosts; ++i) {
      if (TakeTrial(hosts[i].mSuspects,
                    PartSet{ kDeadly },
                    kPolicy,
                    names[i] == owner,
                    now)) {
        ++trials;
        crash = now + milliseconds(200);
      }
    }
  }
  return trials;
}

// Guards against trials that add up to more deadly requests than are allowed,
// also in large fleets.
TEST_CASE("a deadly part gets few trials from 3 to 95 hosts")
{
  for (const std::size_t hosts : { 3U, 12U, 30U, 95U }) {
    CAPTURE(hosts);
    CHECK(CountTrials(hosts, seconds(2), seconds(60)) == 1);
    CHECK(CountTrials(hosts, seconds(2), std::chrono::minutes(10)) == 3);
    CHECK(CountTrials(hosts, seconds(2), std::chrono::minutes(25)) == 3);
  }
}

// Some crashes one second apart, with several runs each.
auto RandomEvidence(Random& aRandom) -> std::vector<CrashedRun>
{
  std::vector<CrashedRun> evidence;
  for (std::uint64_t crash = 0; crash < 12; ++crash) {
    const auto runs = 1 + UniformBelow(aRandom, 4);
    for (std::uint64_t run = 0; run < runs; ++run) {
      evidence.push_back({ .mId = evidence.size(),
                           .mAt = kStart + seconds(crash) + milliseconds(run),
                           .mParts = { kFirst + UniformBelow(aRandom, 3),
                                       kSession + UniformBelow(aRandom, 8),
                                       kDeadly - UniformBelow(aRandom, 3),
                                       kOwnParts + evidence.size() } });
    }
  }
  return evidence;
}

// Gives a host the evidence in random order, with copies that differ in time.
// In between it exchanges quarantines with a host that knows other evidence.
auto RecordShuffled(const std::vector<CrashedRun>& aEvidence, Random& aRandom)
  -> CrashSuspects
{
  const auto now = kStart + seconds(60);
  auto copies = aEvidence;
  copies.insert(copies.end(), aEvidence.begin(), aEvidence.end());
  Shuffle(copies, aRandom);
  CrashSuspects suspects;
  CrashSuspects other;
  for (auto& copy : copies) {
    copy.mAt += milliseconds(UniformBelow(aRandom, 10));
    RecordCrash(
      UniformBelow(aRandom, 2) == 0 ? other : suspects, copy, kPolicy, now);
    for (const auto& quarantine : other.mQuarantines) {
      AdoptQuarantine(suspects, quarantine, kPolicy, now);
    }
  }
  Shuffle(copies, aRandom);
  for (const auto& copy : copies) {
    RecordCrash(suspects, copy, kPolicy, now);
  }
  return suspects;
}

// Guards against hosts that disagree since their evidence came in another
// order.
TEST_CASE("order, copies and late arrival of evidence make no difference")
{
  std::size_t convicted = 0;
  CHECK(CheckSeeded(20261205, 300, [&](std::uint64_t aSeed) {
    Random random{ aSeed };
    const auto evidence = RandomEvidence(random);
    CrashSuspects inOrder;
    for (const auto& run : evidence) {
      RecordCrash(inOrder, run, kPolicy, kStart + seconds(60));
    }
    convicted += inOrder.mQuarantines.empty() ? 0 : 1;
    for (auto i = 0; i < 4; ++i) {
      RC_ASSERT(Sets(RecordShuffled(evidence, random)) == Sets(inOrder));
    }
  }));
  CHECK(convicted > 100);
}

// A request of the simulation.
struct SimRequest
{
  std::size_t mHost = 0;
  std::uint64_t mRun = 0;
  PartSet mParts;
  bool mDeadly = false;
  int mAttempts = 0;
  TimePoint mStartAt{}; // of the answer, or of the crash
};

struct SimEndpoint
{
  TimePoint mUpAt{};
  std::vector<SimRequest> mRunning; // without an answer
};

struct SimDay
{
  double mDeadlyShare = 0;
  bool mDeadlySession = false; // instead of a part that is added
  std::uint64_t mFirsts = 8;
  std::uint64_t mSessions = 60;
  double mArrivalsPerMs = 0.05;
  Duration mCrashLoop{}; // each answer crashes its endpoint until this time
  Duration mLength = seconds(40);
};

struct SimResult
{
  std::vector<TimePoint> mCrashes;
  std::vector<TimePoint> mDeadlySends;
  std::vector<TimePoint> mSoundRefusals;
  std::size_t mSoundStarts = 0;
  std::vector<TimePoint> mTrials;
};

// Three hosts and twelve endpoints in virtual time.
struct Simulation
{
  SimDay mDay;
  Random mRandom;
  std::array<CrashSuspects, 3> mHosts;
  std::array<CrashSuspects, 3> mReports; // not yet received
  std::array<SimEndpoint, 12> mEndpoints;
  std::uint64_t mNext = kOwnParts;
  SimResult mResult;
};

auto NewRequest(Simulation& aSimulation) -> SimRequest
{
  auto& random = aSimulation.mRandom;
  SimRequest request;
  request.mHost = UniformBelow(random, 3);
  request.mDeadly = Uniform(random) < aSimulation.mDay.mDeadlyShare;
  request.mParts = { kFirst + UniformBelow(random, aSimulation.mDay.mFirsts),
                     aSimulation.mNext++ };
  if (request.mDeadly) {
    request.mParts.push_back(kDeadly);
  }
  if (!request.mDeadly || !aSimulation.mDay.mDeadlySession) {
    request.mParts.push_back(kSession +
                             UniformBelow(random, aSimulation.mDay.mSessions));
  }
  return request;
}

auto TakeTrial(Simulation& aSimulation,
               const SimRequest& aRequest,
               TimePoint aNow) -> bool
{
  auto& suspects = aSimulation.mHosts[aRequest.mHost];
  const auto due = DueTrial(suspects, aRequest.mParts, kPolicy, aNow);
  if (!due) {
    return false;
  }
  const auto owner =
    RendezvousOwner(std::to_string(due->front()), { "0", "1", "2" });
  const auto taken = TakeTrial(suspects,
                               aRequest.mParts,
                               kPolicy,
                               owner == std::to_string(aRequest.mHost),
                               aNow);
  if (taken) {
    aSimulation.mResult.mTrials.push_back(aNow);
  }
  return taken;
}

// Sends the request to an endpoint that is up, unless it is refused.
auto Send(Simulation& aSimulation, SimRequest aRequest, TimePoint aNow) -> void
{
  if (IsQuarantined(
        aSimulation.mHosts[aRequest.mHost], aRequest.mParts, aNow) &&
      !TakeTrial(aSimulation, aRequest, aNow)) {
    if (!aRequest.mDeadly) {
      aSimulation.mResult.mSoundRefusals.push_back(aNow);
    }
    return;
  }
  std::vector<SimEndpoint*> up;
  for (auto& endpoint : aSimulation.mEndpoints) {
    if (endpoint.mUpAt <= aNow) {
      up.push_back(&endpoint);
    }
  }
  if (up.empty()) {
    return;
  }
  auto& random = aSimulation.mRandom;
  ++aRequest.mAttempts;
  aRequest.mRun = aSimulation.mNext++;
  aRequest.mStartAt = aNow + milliseconds(100 + UniformBelow(random, 300));
  if (aRequest.mDeadly) {
    aSimulation.mResult.mDeadlySends.push_back(aNow);
  }
  up[UniformBelow(random, up.size())]->mRunning.push_back(std::move(aRequest));
}

// All requests without an answer are evidence; they are retried.
auto CrashEndpoint(Simulation& aSimulation,
                   SimEndpoint& aEndpoint,
                   TimePoint aNow) -> void
{
  aSimulation.mResult.mCrashes.push_back(aNow);
  aEndpoint.mUpAt = aNow + seconds(3);
  const auto lost = std::exchange(aEndpoint.mRunning, {});
  for (const auto& request : lost) {
    RecordCrash(aSimulation.mHosts[request.mHost],
                { .mId = request.mRun, .mAt = aNow, .mParts = request.mParts },
                kPolicy,
                aNow);
  }
  for (const auto& request : lost) {
    if (request.mAttempts < 3 &&
        !IsSuspected(
          aSimulation.mHosts[request.mHost], request.mParts, kPolicy, aNow)) {
      Send(aSimulation, request, aNow);
    }
  }
}

auto RunEndpoint(Simulation& aSimulation,
                 SimEndpoint& aEndpoint,
                 TimePoint aNow) -> void
{
  auto& running = aEndpoint.mRunning;
  const auto begins = std::stable_partition(
    running.begin(), running.end(), [&](const SimRequest& aRequest) {
      return aRequest.mStartAt > aNow;
    });
  const std::vector<SimRequest> started(begins, running.end());
  const auto loop = aNow < kStart + aSimulation.mDay.mCrashLoop;
  if (std::any_of(started.begin(), started.end(), [&](const auto& aRequest) {
        return aRequest.mDeadly || loop;
      })) {
    CrashEndpoint(aSimulation, aEndpoint, aNow);
    return;
  }
  running.erase(begins, running.end());
  for (const auto& request : started) {
    RecordStart(aSimulation.mHosts[request.mHost], request.mParts, aNow);
    ++aSimulation.mResult.mSoundStarts;
  }
}

// Receives the reports that were sent before, and sends the next ones.
auto ExchangeReports(Simulation& aSimulation, TimePoint aNow) -> void
{
  auto& random = aSimulation.mRandom;
  for (auto& host : aSimulation.mHosts) {
    for (const auto& report : aSimulation.mReports) {
      for (const auto& [part, start] : report.mStarts) {
        if (start != TimePoint::min()) {
          RecordStart(host, std::array{ part }, start);
        }
      }
      for (auto run : report.mRuns) {
        run.mAt += milliseconds(UniformBelow(random, 10));
        RecordCrash(host, std::move(run), kPolicy, aNow);
      }
      for (auto quarantine : report.mQuarantines) {
        quarantine.mSince += milliseconds(UniformBelow(random, 10));
        AdoptQuarantine(host, std::move(quarantine), kPolicy, aNow);
      }
    }
  }
  aSimulation.mReports = aSimulation.mHosts;
}

auto Simulate(const SimDay& aDay, std::uint64_t aSeed) -> SimResult
{
  Simulation simulation;
  simulation.mDay = aDay;
  simulation.mRandom = { aSeed };
  for (auto now = kStart; now < kStart + aDay.mLength; now += milliseconds(1)) {
    if ((now - kStart) % milliseconds(250) == Duration(0)) {
      ExchangeReports(simulation, now);
    }
    for (auto& endpoint : simulation.mEndpoints) {
      RunEndpoint(simulation, endpoint, now);
    }
    if (Uniform(simulation.mRandom) < aDay.mArrivalsPerMs) {
      Send(simulation, NewRequest(simulation), now);
    }
  }
  return simulation.mResult;
}

auto CountSince(const std::vector<TimePoint>& aTimes, TimePoint aFrom)
  -> std::ptrdiff_t
{
  return std::count_if(aTimes.begin(), aTimes.end(), [&](TimePoint aTime) {
    return aTime >= aFrom;
  });
}

// Guards against deadly requests that still reach endpoints some seconds after
// the fifth crash, and against sound requests that are refused in their place.
TEST_CASE("three hosts stop a deadly part and serve all others")
{
  constexpr auto kContact = seconds(3);
  for (const auto& day :
       { SimDay{ .mDeadlyShare = 0.05 },
         SimDay{ .mDeadlyShare = 0.05, .mDeadlySession = true },
         SimDay{ .mDeadlyShare = 0.01 },
         SimDay{ .mDeadlyShare = 0.05, .mFirsts = 1, .mSessions = 3 },
         SimDay{ .mDeadlyShare = 0.3 } }) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      CAPTURE(day.mDeadlyShare);
      CAPTURE(day.mDeadlySession);
      CAPTURE(seed);
      const auto result = Simulate(day, seed);
      REQUIRE(result.mCrashes.size() >= 4);
      CHECK(result.mSoundStarts > 1000);
      const auto fifth =
        result.mCrashes[std::min<std::size_t>(4, result.mCrashes.size() - 1)];
      CHECK(CountSince(result.mDeadlySends, fifth + kContact) <= 3);
      CHECK(CountSince(result.mSoundRefusals, fifth + 2 * kContact) == 0);
    }
  }
}

// Guards against trials that come on top of deadly requests of which too many
// were sent before.
TEST_CASE("three hosts stop a deadly part for ten minutes, with all trials")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const SimDay day{ .mDeadlyShare = 0.05,
                      .mLength = std::chrono::minutes(10) };
    const auto result = Simulate(day, seed);
    REQUIRE(result.mCrashes.size() >= 5);
    CHECK(result.mTrials.size() <= kPolicy.mMaxTrials);
    CHECK(CountSince(result.mDeadlySends, result.mCrashes[4] + seconds(3)) <=
          3);
  }
}

// Guards against sound requests that are refused for an hour after endpoints
// crashed for a reason that was no request.
TEST_CASE("a first part of all requests is served again after a crash loop")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    const SimDay day{ .mFirsts = 1,
                      .mCrashLoop = seconds(30),
                      .mLength = seconds(100) };
    const auto result = Simulate(day, seed);
    const auto refusedAt60 =
      std::count_if(result.mSoundRefusals.begin(),
                    result.mSoundRefusals.end(),
                    [](TimePoint aAt) { return aAt >= kStart + seconds(60); });
    CHECK(refusedAt60 > 100);            // the loop has quarantined the part
    REQUIRE(result.mTrials.size() == 2); // the first one is within the loop
    CHECK(CountSince(result.mSoundRefusals,
                     result.mTrials.back() + seconds(1)) == 0);
    CHECK(result.mSoundStarts > 500);
  }
}

} // namespace
} // namespace mangovalve
