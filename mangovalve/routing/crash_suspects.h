// Finds the requests and parts of prompts that crash endpoints, and quarantines
// them. A whole request counts as one more part, which it shares with its own
// repetitions only.
//
// The evidence is the requests that an endpoint had not begun to answer when it
// crashed. Several requests are in progress at a crash, and at most one of them
// is its cause, so one crash proves nothing. A part is quarantined after
// several crashes at different times, each with a request that contains the
// part, unless an endpoint has begun to answer a request with the part since
// the first of them. Such an answer clears the part. Parts that occur in the
// same crashed requests can't be told apart, so they are quarantined as a set:
// only requests with all of them are refused, and a request with some of them
// clears those when its answer begins.
//
// A wrong quarantine can't be cleared by requests that it refuses, so single
// requests are tried at growing intervals. The deadlines of the trials follow
// from the first crash, and are the same on all hosts.
//
// The hosts exchange their evidence and their quarantines. The functions are
// pure; the current time is a parameter. Memory is bounded by SuspectPolicy.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovalve/base/time.h"

namespace mangovalve {

// Of a part of a prompt, or of a whole request.
using PartHash = std::uint64_t;

constexpr PartHash kWholeRequest = 1ULL << 63U; // set in the latter only

constexpr auto IsWholeRequest(PartHash aPart) -> bool
{
  return (aPart & kWholeRequest) != 0;
}

// A set of parts, sorted and without repetition.
using PartSet = std::vector<PartHash>;

// Parts of one run or quarantine: those of a prompt, and the whole request.
constexpr std::size_t kMaxParts = 33;

// A request that an endpoint had not begun to answer when it crashed.
struct CrashedRun
{
  std::uint64_t mId = 0; // of this run of the request, the same on all hosts
  TimePoint mAt{};
  PartSet mParts;
  // When the request was sent to the endpoint; TimePoint::min() if not known.
  TimePoint mSentAt = TimePoint::min();
};

// Requests that contain all of these parts are refused.
struct Quarantine
{
  PartSet mParts; // never empty
  // The first crash. An answer that began later clears its parts.
  TimePoint mSince{};
  TimePoint mUntil{};
  // This host tries no request before. Set when the quarantine becomes known
  // here; not exchanged.
  TimePoint mTrialAt = TimePoint::max();
};

struct SuspectPolicy
{
  std::size_t mCrashesToQuarantine = 4;
  // The same for a whole request.
  std::size_t mRequestCrashesToQuarantine = 3;
  // A request is not retried after a crash if one of its parts has as many.
  std::size_t mCrashesToSuspect = 2;
  // Crashes within this time count as one: many endpoints that are lost at once
  // have a common cause, which is not a request. A whole request counts again,
  // however soon, if it was sent after the crash before.
  Duration mSameCrash = std::chrono::milliseconds(100);
  // The times of a crash differ by less between requests and hosts.
  Duration mJitter = std::chrono::milliseconds(15);
  // Evidence is forgotten after this time.
  Duration mRetention = std::chrono::minutes(10);
  Duration mQuarantine = std::chrono::hours(1);
  // A quarantined set is tried mFirstTrial after its first crash, then at
  // mTrialFactor times the age of the trial before.
  Duration mFirstTrial = std::chrono::seconds(20);
  int mTrialFactor = 4;
  std::size_t mMaxTrials = 3;
  // The same for a whole request. It is not tried again after the repeats
  // below, which are crashes later than mSpreadTime after its quarantine.
  std::size_t mMaxRequestTrials = 2;
  std::size_t mMaxRequestRepeats = 2;
  // Time within which evidence reaches all hosts that can be reached.
  Duration mSpreadTime = std::chrono::seconds(3);
  // Deadlines that are closer when the quarantine becomes known are left to
  // other hosts: a host that starts doesn't know yet which one has to try.
  Duration mTrialNotice = std::chrono::seconds(5);
  std::size_t mMaxRuns = 256; // the oldest ones are forgotten first
  std::size_t mMaxQuarantines = 64;
};

struct CrashSuspects
{
  std::deque<CrashedRun> mRuns; // ordered by mAt; mId is unique
  // When an endpoint last began to answer a request with the part, or
  // TimePoint::min(). Has all parts in mRuns and mQuarantines, and at most
  // SuspectPolicy::mMaxRuns others that were there before.
  absl::flat_hash_map<PartHash, TimePoint> mStarts;
  std::vector<Quarantine> mQuarantines; // no set is a subset of another one
};

// Records a crashed run of this or another host, quarantines parts with enough
// evidence, and ends quarantines that the evidence refutes. Returns the new
// quarantines. A known run has no effect.
auto RecordCrash(CrashSuspects& aSuspects,
                 CrashedRun aRun,
                 const SuspectPolicy& aPolicy,
                 TimePoint aNow) -> std::vector<Quarantine>;

// Records that an endpoint began at aAt to answer a request with these parts.
// Cheap while there is neither evidence nor a quarantine.
auto RecordStart(CrashSuspects& aSuspects,
                 std::span<const PartHash> aParts,
                 TimePoint aAt) -> void;

// Adopts a quarantine of another host, without the parts that have been cleared
// since, unless the evidence refutes it. The other host's evidence should be
// recorded before. Returns whether the quarantine is new here.
auto AdoptQuarantine(CrashSuspects& aSuspects,
                     Quarantine aQuarantine,
                     const SuspectPolicy& aPolicy,
                     TimePoint aNow) -> bool;

// Whether a request with these parts must be refused. aParts in any order.
auto IsQuarantined(const CrashSuspects& aSuspects,
                   std::span<const PartHash> aParts,
                   TimePoint aNow) -> bool;

// Whether a request with these parts may have caused crashes, so that it must
// not be retried after another one. True for quarantined requests too.
auto IsSuspected(const CrashSuspects& aSuspects,
                 std::span<const PartHash> aParts,
                 const SuspectPolicy& aPolicy,
                 TimePoint aNow) -> bool;

// The quarantined set that is due for a trial and of which a request with these
// parts may be the trial. Empty if none is due, if another host's trial has
// crashed since the last deadline, or if the request has parts of several
// quarantines.
auto DueTrial(const CrashSuspects& aSuspects,
              std::span<const PartHash> aParts,
              const SuspectPolicy& aPolicy,
              TimePoint aNow) -> std::optional<PartSet>;

// Whether the request may be sent once although it is quarantined. The trial of
// its set is then used up. Only the host that tries the set passes aMayTry.
auto TakeTrial(CrashSuspects& aSuspects,
               std::span<const PartHash> aParts,
               const SuspectPolicy& aPolicy,
               bool aMayTry,
               TimePoint aNow) -> bool;

// Trials of all quarantines that have parts in common with one request.
struct DueTrials
{
  TimePoint mSince; // when the last of them was due
  PartSet mParts;   // of all these quarantines
};

// The trials for which a request with these parts may be sent although it must
// run in the end and is never the cause of crashes by itself. nullopt if one of
// them is not due, or if there are none.
auto FindDueTrials(const CrashSuspects& aSuspects,
                   std::span<const PartHash> aParts,
                   const SuspectPolicy& aPolicy,
                   TimePoint aNow) -> std::optional<DueTrials>;

// Uses up the trials of all quarantines that have one of these parts.
auto TakeTrials(CrashSuspects& aSuspects,
                std::span<const PartHash> aParts,
                const SuspectPolicy& aPolicy,
                TimePoint aNow) -> void;

// Makes trials that were taken due again, because no endpoint has run the
// request.
auto ReturnTrials(CrashSuspects& aSuspects,
                  std::span<const PartHash> aParts,
                  const SuspectPolicy& aPolicy,
                  TimePoint aNow) -> void;

// Forgets expired evidence and quarantines.
auto ForgetExpired(CrashSuspects& aSuspects,
                   const SuspectPolicy& aPolicy,
                   TimePoint aNow) -> void;

} // namespace mangovalve
