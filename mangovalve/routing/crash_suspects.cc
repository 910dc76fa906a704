// Attribution of endpoint crashes to requests and parts of prompts.
//
// The quarantines are found from all retained evidence each time some of it
// arrives, so that they don't depend on its order. The part that occurs in the
// most crashes is taken first, and explains them; other requests that were at
// the same endpoints are then no evidence against their own parts.
#include "mangovalve/routing/crash_suspects.h"

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_set.h>

namespace mangovalve {
namespace {

// The time of a start that has not been seen.
constexpr auto kNever = TimePoint::min();

// Counts crashes of runs that are visited in the order of time.
struct CrashCount
{
  std::size_t mCrashes = 0;
  std::size_t mMoments = 0; // likewise, with those of one crash apart
  std::size_t mRuns = 0;
  TimePoint mCrashAt{};  // first run of the last crash; undefined if none
  TimePoint mMomentAt{}; // likewise
};

// What is counted: crashes of a part, or of a whole request.
enum class Counted
{
  Part,
  WholeRequest,
};

auto CountedAs(PartHash aPart) -> Counted
{
  return IsWholeRequest(aPart) ? Counted::WholeRequest : Counted::Part;
}

auto CountedAs(const PartSet& aParts) -> Counted
{
  // Whole requests are sorted behind the parts.
  return aParts.empty() ? Counted::Part : CountedAs(aParts.back());
}

auto CrashesToQuarantine(Counted aWhat, const SuspectPolicy& aPolicy)
  -> std::size_t
{
  return aWhat == Counted::WholeRequest ? aPolicy.mRequestCrashesToQuarantine
                                        : aPolicy.mCrashesToQuarantine;
}

auto Count(CrashCount& aCount,
           const CrashedRun& aRun,
           Counted aWhat,
           const SuspectPolicy& aPolicy) -> void
{
  const auto apart = aRun.mAt - aCount.mCrashAt > aPolicy.mSameCrash;
  const auto sentLater =
    aWhat == Counted::WholeRequest && aRun.mSentAt > aCount.mCrashAt;
  if (aCount.mCrashes == 0 || apart || sentLater) {
    ++aCount.mCrashes;
    aCount.mCrashAt = aRun.mAt;
  }
  if (aCount.mMoments == 0 || aRun.mAt - aCount.mMomentAt > aPolicy.mJitter) {
    ++aCount.mMoments;
    aCount.mMomentAt = aRun.mAt;
  }
  ++aCount.mRuns;
}

auto Normalize(PartSet& aParts) -> void
{
  std::sort(aParts.begin(), aParts.end());
  aParts.erase(std::unique(aParts.begin(), aParts.end()), aParts.end());
}

auto IsSubset(const PartSet& aSubset, const PartSet& aParts) -> bool
{
  return std::includes(
    aParts.begin(), aParts.end(), aSubset.begin(), aSubset.end());
}

// Like IsSubset, for parts in any order.
auto ContainsAll(std::span<const PartHash> aParts, const PartSet& aSubset)
  -> bool
{
  return std::all_of(aSubset.begin(), aSubset.end(), [&](PartHash aPart) {
    return std::find(aParts.begin(), aParts.end(), aPart) != aParts.end();
  });
}

// Whether any of the set's parts is among aParts, which are in any order.
auto ContainsAnyOf(std::span<const PartHash> aParts, const PartSet& aSet)
  -> bool
{
  return std::any_of(aParts.begin(), aParts.end(), [&](PartHash aPart) {
    return std::binary_search(aSet.begin(), aSet.end(), aPart);
  });
}

auto LastStart(const CrashSuspects& aSuspects, PartHash aPart) -> TimePoint
{
  const auto start = aSuspects.mStarts.find(aPart);
  return start == aSuspects.mStarts.end() ? kNever : start->second;
}

// For each run whether it is explained: whether it, or another run of the same
// crash, contains one of the quarantined sets.
using Explained = std::vector<bool>;

auto MarkExplained(const CrashSuspects& aSuspects,
                   const PartSet& aParts,
                   const SuspectPolicy& aPolicy,
                   Explained& aExplained) -> void
{
  const auto& runs = aSuspects.mRuns;
  std::size_t next = 0; // the runs before are marked or too old for what comes
  for (const auto& cause : runs) {
    if (!IsSubset(aParts, cause.mParts)) {
      continue;
    }
    while (next < runs.size() &&
           runs[next].mAt <= cause.mAt + aPolicy.mSameCrash) {
      if (runs[next].mAt >= cause.mAt - aPolicy.mSameCrash) {
        aExplained[next] = true;
      }
      ++next;
    }
  }
}

auto ExplainedBy(const CrashSuspects& aSuspects,
                 const std::vector<Quarantine>& aQuarantines,
                 const SuspectPolicy& aPolicy) -> Explained
{
  Explained explained(aSuspects.mRuns.size());
  for (const auto& quarantine : aQuarantines) {
    MarkExplained(aSuspects, quarantine.mParts, aPolicy, explained);
  }
  return explained;
}

// The runs that are evidence against the part, in the order of time.
auto EvidenceAgainst(const CrashSuspects& aSuspects,
                     PartHash aPart,
                     const Explained& aExplained)
  -> std::vector<const CrashedRun*>
{
  std::vector<const CrashedRun*> evidence;
  const auto start = LastStart(aSuspects, aPart);
  for (std::size_t i = 0; i < aSuspects.mRuns.size(); ++i) {
    const auto& run = aSuspects.mRuns[i];
    if (!aExplained[i] && run.mAt > start &&
        std::binary_search(run.mParts.begin(), run.mParts.end(), aPart)) {
      evidence.push_back(&run);
    }
  }
  return evidence;
}

// The parts that all of these runs have in common and that have not been
// cleared since the first of them. The evidence must not be empty.
auto JointParts(const CrashSuspects& aSuspects,
                const std::vector<const CrashedRun*>& aEvidence) -> PartSet
{
  auto parts = aEvidence.front()->mParts;
  std::erase_if(parts, [&](PartHash aPart) {
    return LastStart(aSuspects, aPart) >= aEvidence.front()->mAt ||
           !std::all_of(
             aEvidence.begin(), aEvidence.end(), [&](const CrashedRun* aRun) {
               return std::binary_search(
                 aRun->mParts.begin(), aRun->mParts.end(), aPart);
             });
  });
  return parts;
}

// The part with the most unexplained crashes, of those for which they suffice
// for a quarantine. Among several the one at the most moments, then in the
// fewest runs: a popular part is at most endpoints at any time.
auto LikeliestCause(const CrashSuspects& aSuspects,
                    const Explained& aExplained,
                    const SuspectPolicy& aPolicy) -> std::optional<PartHash>
{
  absl::flat_hash_map<PartHash, CrashCount> counts;
  for (std::size_t i = 0; i < aSuspects.mRuns.size(); ++i) {
    if (aExplained[i]) {
      continue;
    }
    const auto& run = aSuspects.mRuns[i];
    for (const auto part : run.mParts) {
      if (run.mAt > LastStart(aSuspects, part)) {
        Count(counts[part], run, CountedAs(part), aPolicy);
      }
    }
  }
  const auto likelier = [](const auto& aLeft, const auto& aRight) {
    const auto& [leftPart, left] = aLeft;
    const auto& [rightPart, right] = aRight;
    if (left.mCrashes != right.mCrashes) {
      return left.mCrashes > right.mCrashes;
    }
    if (left.mMoments != right.mMoments) {
      return left.mMoments > right.mMoments;
    }
    return std::pair(left.mRuns, leftPart) < std::pair(right.mRuns, rightPart);
  };
  absl::erase_if(counts, [&](const auto& aCounted) {
    const auto& [part, count] = aCounted;
    return count.mCrashes < CrashesToQuarantine(CountedAs(part), aPolicy);
  });
  const auto likeliest =
    std::min_element(counts.begin(), counts.end(), likelier);
  return likeliest == counts.end() ? std::nullopt
                                   : std::optional(likeliest->first);
}

// The quarantines that follow from the evidence, and the runs they explain.
struct Attribution
{
  std::vector<Quarantine> mQuarantines;
  Explained mExplained;
};

auto Attribute(const CrashSuspects& aSuspects, const SuspectPolicy& aPolicy)
  -> Attribution
{
  std::vector<Quarantine> quarantines;
  Explained explained(aSuspects.mRuns.size());
  while (quarantines.size() < aPolicy.mMaxQuarantines) {
    const auto part = LikeliestCause(aSuspects, explained, aPolicy);
    if (!part) {
      break;
    }
    const auto evidence = EvidenceAgainst(aSuspects, *part, explained);
    quarantines.push_back(
      { .mParts = JointParts(aSuspects, evidence),
        .mSince = evidence.front()->mAt,
        .mUntil = evidence.back()->mAt + aPolicy.mQuarantine });
    MarkExplained(aSuspects, quarantines.back().mParts, aPolicy, explained);
  }
  return { std::move(quarantines), std::move(explained) };
}

// Whether one of the quarantined sets is a subset of the parts.
auto ContainsAny(const PartSet& aParts,
                 const std::vector<Quarantine>& aQuarantines) -> bool
{
  return std::any_of(aQuarantines.begin(),
                     aQuarantines.end(),
                     [&](const Quarantine& aQuarantine) {
                       return IsSubset(aQuarantine.mParts, aParts);
                     });
}

// Whether all runs with the quarantined set contain one larger attributed set.
// The attribution can't tell the two apart; another host's evidence may.
auto IsPartOfCause(const CrashSuspects& aSuspects,
                   const Quarantine& aQuarantine,
                   const Attribution& aAttribution) -> bool
{
  const auto& causes = aAttribution.mQuarantines;
  return std::any_of(
    causes.begin(), causes.end(), [&](const Quarantine& aCause) {
      return IsSubset(aQuarantine.mParts, aCause.mParts) &&
             std::all_of(aSuspects.mRuns.begin(),
                         aSuspects.mRuns.end(),
                         [&](const CrashedRun& aRun) {
                           return !IsSubset(aQuarantine.mParts, aRun.mParts) ||
                                  IsSubset(aCause.mParts, aRun.mParts);
                         });
    });
}

// Whether the evidence for the quarantine is explained by the attributed ones,
// so that its parts were only present at the crashes.
auto IsRefuted(const CrashSuspects& aSuspects,
               const Quarantine& aQuarantine,
               const Attribution& aAttribution,
               const SuspectPolicy& aPolicy) -> bool
{
  const auto what = CountedAs(aQuarantine.mParts);
  const auto enough = CrashesToQuarantine(what, aPolicy);
  CrashCount all;
  CrashCount unexplained;
  for (std::size_t i = 0; i < aSuspects.mRuns.size(); ++i) {
    const auto& run = aSuspects.mRuns[i];
    if (!IsSubset(aQuarantine.mParts, run.mParts)) {
      continue;
    }
    Count(all, run, what, aPolicy);
    if (!aAttribution.mExplained[i]) {
      Count(unexplained, run, what, aPolicy);
    }
  }
  // Hosts may count crashes differently that are close to each other, so less
  // evidence suffices if all of it is explained.
  const auto explained =
    unexplained.mCrashes == 0
      ? all.mCrashes >= aPolicy.mCrashesToSuspect && all.mCrashes > 0
      : all.mCrashes >= enough && unexplained.mCrashes < enough;
  return explained && !IsPartOfCause(aSuspects, aQuarantine, aAttribution);
}

// Removes quarantines whose set has a subset among the others.
auto RemoveSupersets(std::vector<Quarantine>& aQuarantines) -> void
{
  std::stable_sort(aQuarantines.begin(),
                   aQuarantines.end(),
                   [](const Quarantine& aLeft, const Quarantine& aRight) {
                     return aLeft.mParts.size() < aRight.mParts.size();
                   });
  std::vector<Quarantine> minimal;
  for (auto& quarantine : aQuarantines) {
    if (!ContainsAny(quarantine.mParts, minimal)) {
      minimal.push_back(std::move(quarantine));
    }
  }
  aQuarantines = std::move(minimal);
}

// Prolongs a known quarantine of this set or of a subset. Returns whether there
// is one.
auto Prolong(CrashSuspects& aSuspects,
             const Quarantine& aQuarantine,
             const SuspectPolicy& aPolicy) -> bool
{
  for (auto& known : aSuspects.mQuarantines) {
    if (IsSubset(known.mParts, aQuarantine.mParts)) {
      // Copies differ a little in time. They must not prolong each other.
      if (aQuarantine.mUntil > known.mUntil + aPolicy.mSameCrash) {
        known.mUntil = aQuarantine.mUntil;
      }
      return true;
    }
  }
  return false;
}

// The deadlines of the quarantine's trials before and after a time.
struct TrialDeadlines
{
  TimePoint mLast = TimePoint::min(); // at aNow or before
  TimePoint mNext = TimePoint::max();
};

auto TrialDeadlinesAt(const Quarantine& aQuarantine,
                      const SuspectPolicy& aPolicy,
                      TimePoint aNow) -> TrialDeadlines
{
  TrialDeadlines deadlines;
  auto age = aPolicy.mFirstTrial;
  const auto trials = CountedAs(aQuarantine.mParts) == Counted::WholeRequest
                        ? aPolicy.mMaxRequestTrials
                        : aPolicy.mMaxTrials;
  for (std::size_t trial = 0; trial < trials; ++trial) {
    const auto deadline = aQuarantine.mSince + age;
    if (deadline > aNow) {
      deadlines.mNext = deadline;
      break;
    }
    deadlines.mLast = deadline;
    age *= aPolicy.mTrialFactor;
  }
  return deadlines;
}

// Whether a whole request has crashed so many endpoints since its quarantine
// that it is not tried again.
auto IsBeyondTrial(const CrashSuspects& aSuspects,
                   const Quarantine& aQuarantine,
                   const SuspectPolicy& aPolicy) -> bool
{
  if (CountedAs(aQuarantine.mParts) != Counted::WholeRequest) {
    return false;
  }
  CrashCount before;
  CrashCount repeats;
  for (const auto& run : aSuspects.mRuns) {
    if (!IsSubset(aQuarantine.mParts, run.mParts)) {
      continue;
    }
    if (before.mCrashes < aPolicy.mRequestCrashesToQuarantine) {
      Count(before, run, Counted::WholeRequest, aPolicy);
    } else if (run.mAt > before.mCrashAt + aPolicy.mSpreadTime) {
      Count(repeats, run, Counted::WholeRequest, aPolicy);
    }
  }
  return repeats.mMoments >= aPolicy.mMaxRequestRepeats;
}

// Whether the set's trial is due at this host. The trial of another host is
// known by its crash. When crashes since the deadline may have been forgotten,
// the trial has lapsed.
auto IsTrialDue(const CrashSuspects& aSuspects,
                const Quarantine& aQuarantine,
                const SuspectPolicy& aPolicy,
                TimePoint aNow) -> bool
{
  if (aNow < aQuarantine.mTrialAt ||
      IsBeyondTrial(aSuspects, aQuarantine, aPolicy)) {
    return false;
  }
  const auto last = TrialDeadlinesAt(aQuarantine, aPolicy, aNow).mLast;
  if (last == TimePoint::min() || aNow >= last + aPolicy.mRetention) {
    return false;
  }
  // The deadlines of hosts differ like their copies of mSince.
  return std::none_of(aSuspects.mRuns.begin(),
                      aSuspects.mRuns.end(),
                      [&](const CrashedRun& aRun) {
                        return aRun.mAt >= last - aPolicy.mSameCrash &&
                               IsSubset(aQuarantine.mParts, aRun.mParts);
                      });
}

// Returns whether the quarantine is new.
auto Insert(CrashSuspects& aSuspects,
            Quarantine aQuarantine,
            const SuspectPolicy& aPolicy,
            TimePoint aNow) -> bool
{
  if (Prolong(aSuspects, aQuarantine, aPolicy)) {
    return false;
  }
  aQuarantine.mTrialAt =
    TrialDeadlinesAt(aQuarantine, aPolicy, aNow + aPolicy.mTrialNotice).mNext;
  auto& quarantines = aSuspects.mQuarantines;
  for (const auto part : aQuarantine.mParts) {
    aSuspects.mStarts.try_emplace(part, kNever);
  }
  quarantines.push_back(std::move(aQuarantine));
  RemoveSupersets(quarantines);
  if (quarantines.size() > aPolicy.mMaxQuarantines) {
    quarantines.erase(
      std::min_element(quarantines.begin(),
                       quarantines.end(),
                       [](const Quarantine& aLeft, const Quarantine& aRight) {
                         return aLeft.mUntil < aRight.mUntil;
                       }));
  }
  return true;
}

auto ForgetQuarantines(CrashSuspects& aSuspects, TimePoint aNow) -> void
{
  std::erase_if(aSuspects.mQuarantines, [&](const Quarantine& aQuarantine) {
    return aQuarantine.mUntil <= aNow;
  });
}

// Forgets the starts of parts that are neither in evidence nor in quarantine,
// except for the last ones: late copies of a quarantine must not revive it.
auto ForgetStarts(CrashSuspects& aSuspects,
                  const SuspectPolicy& aPolicy,
                  TimePoint aNow) -> void
{
  absl::flat_hash_set<PartHash> watched;
  for (const auto& run : aSuspects.mRuns) {
    watched.insert(run.mParts.begin(), run.mParts.end());
  }
  for (const auto& quarantine : aSuspects.mQuarantines) {
    watched.insert(quarantine.mParts.begin(), quarantine.mParts.end());
  }
  std::vector<TimePoint> unwatched;
  for (const auto& [part, start] : aSuspects.mStarts) {
    if (!watched.contains(part)) {
      unwatched.push_back(start);
    }
  }
  auto oldest = aNow - aPolicy.mQuarantine;
  if (unwatched.size() > aPolicy.mMaxRuns) {
    const auto kept =
      unwatched.end() - static_cast<std::ptrdiff_t>(aPolicy.mMaxRuns);
    std::nth_element(unwatched.begin(), kept, unwatched.end());
    // Starts at the same time are forgotten together.
    oldest = std::max(oldest, *kept + Duration(1));
  }
  absl::erase_if(aSuspects.mStarts, [&](const auto& aStart) {
    return aStart.second < oldest && !watched.contains(aStart.first);
  });
}

// Whether the run is no evidence that is new here. Runs that are older than
// all others when there is no space have been forgotten already.
auto IsKnownOrForgotten(const CrashSuspects& aSuspects,
                        const CrashedRun& aRun,
                        const SuspectPolicy& aPolicy,
                        TimePoint aNow) -> bool
{
  const auto& runs = aSuspects.mRuns;
  return aNow - aRun.mAt >= aPolicy.mRetention || aPolicy.mMaxRuns == 0 ||
         (runs.size() >= aPolicy.mMaxRuns && aRun.mAt <= runs.front().mAt) ||
         std::any_of(runs.begin(), runs.end(), [&](const CrashedRun& aKnown) {
           return aKnown.mId == aRun.mId;
         });
}

// Inserts the run in the order of time.
auto InsertRun(CrashSuspects& aSuspects,
               CrashedRun aRun,
               const SuspectPolicy& aPolicy) -> void
{
  auto& runs = aSuspects.mRuns;
  if (runs.size() >= aPolicy.mMaxRuns) {
    runs.pop_front();
  }
  for (const auto part : aRun.mParts) {
    aSuspects.mStarts.try_emplace(part, kNever);
  }
  const auto later = std::upper_bound(
    runs.begin(),
    runs.end(),
    aRun.mAt,
    [](TimePoint aAt, const CrashedRun& aKnown) { return aAt < aKnown.mAt; });
  runs.insert(later, std::move(aRun));
}

} // namespace

auto RecordCrash(CrashSuspects& aSuspects,
                 CrashedRun aRun,
                 const SuspectPolicy& aPolicy,
                 TimePoint aNow) -> std::vector<Quarantine>
{
  aRun.mAt = std::min(aRun.mAt, aNow);
  if (aRun.mParts.empty() ||
      IsKnownOrForgotten(aSuspects, aRun, aPolicy, aNow)) {
    return {};
  }
  Normalize(aRun.mParts);
  aRun.mParts.resize(std::min(aRun.mParts.size(), kMaxParts));
  ForgetExpired(aSuspects, aPolicy, aNow);
  InsertRun(aSuspects, std::move(aRun), aPolicy);
  const auto attribution = Attribute(aSuspects, aPolicy);
  std::erase_if(aSuspects.mQuarantines, [&](const Quarantine& aKnown) {
    return IsRefuted(aSuspects, aKnown, attribution, aPolicy);
  });
  std::vector<Quarantine> added;
  for (const auto& quarantine : attribution.mQuarantines) {
    if (quarantine.mUntil > aNow &&
        Insert(aSuspects, quarantine, aPolicy, aNow)) {
      added.push_back(quarantine);
    }
  }
  return added;
}

auto RecordStart(CrashSuspects& aSuspects,
                 std::span<const PartHash> aParts,
                 TimePoint aAt) -> void
{
  if (aSuspects.mStarts.empty()) {
    return;
  }
  auto watched = false;
  for (const auto part : aParts) {
    const auto start = aSuspects.mStarts.find(part);
    if (start != aSuspects.mStarts.end()) {
      start->second = std::max(start->second, aAt);
      watched = true;
    }
  }
  if (!watched || aSuspects.mQuarantines.empty()) {
    return;
  }
  for (auto& quarantine : aSuspects.mQuarantines) {
    if (quarantine.mSince <= aAt) {
      std::erase_if(quarantine.mParts, [&](PartHash aPart) {
        return std::find(aParts.begin(), aParts.end(), aPart) != aParts.end();
      });
    }
  }
  std::erase_if(aSuspects.mQuarantines, [](const Quarantine& aQuarantine) {
    return aQuarantine.mParts.empty();
  });
  RemoveSupersets(aSuspects.mQuarantines);
}

auto AdoptQuarantine(CrashSuspects& aSuspects,
                     Quarantine aQuarantine,
                     const SuspectPolicy& aPolicy,
                     TimePoint aNow) -> bool
{
  Normalize(aQuarantine.mParts);
  aQuarantine.mSince = std::min(aQuarantine.mSince, aNow);
  aQuarantine.mUntil = std::min(aQuarantine.mUntil, aNow + aPolicy.mQuarantine);
  std::erase_if(aQuarantine.mParts, [&](PartHash aPart) {
    // The time of a copy is a little uncertain.
    return LastStart(aSuspects, aPart) >=
           aQuarantine.mSince - aPolicy.mSameCrash;
  });
  // A set with too many parts must not be cut: it would refuse more requests.
  if (aQuarantine.mParts.empty() || aQuarantine.mParts.size() > kMaxParts ||
      aQuarantine.mUntil <= aNow) {
    return false;
  }
  ForgetQuarantines(aSuspects, aNow);
  if (Prolong(aSuspects, aQuarantine, aPolicy) ||
      IsRefuted(
        aSuspects, aQuarantine, Attribute(aSuspects, aPolicy), aPolicy)) {
    return false;
  }
  return Insert(aSuspects, std::move(aQuarantine), aPolicy, aNow);
}

auto IsQuarantined(const CrashSuspects& aSuspects,
                   std::span<const PartHash> aParts,
                   TimePoint aNow) -> bool
{
  return std::any_of(aSuspects.mQuarantines.begin(),
                     aSuspects.mQuarantines.end(),
                     [&](const Quarantine& aQuarantine) {
                       return aQuarantine.mUntil > aNow &&
                              ContainsAll(aParts, aQuarantine.mParts);
                     });
}

auto IsSuspected(const CrashSuspects& aSuspects,
                 std::span<const PartHash> aParts,
                 const SuspectPolicy& aPolicy,
                 TimePoint aNow) -> bool
{
  if (IsQuarantined(aSuspects, aParts, aNow)) {
    return true;
  }
  if (aSuspects.mRuns.empty()) {
    return false;
  }
  const auto explained =
    ExplainedBy(aSuspects, aSuspects.mQuarantines, aPolicy);
  return std::any_of(aParts.begin(), aParts.end(), [&](PartHash aPart) {
    CrashCount count;
    const auto evidence = EvidenceAgainst(aSuspects, aPart, explained);
    for (const auto* const run : evidence) {
      Count(count, *run, CountedAs(aPart), aPolicy);
    }
    return count.mCrashes > 0 && count.mCrashes >= aPolicy.mCrashesToSuspect &&
           ContainsAll(aParts, JointParts(aSuspects, evidence));
  });
}

auto DueTrial(const CrashSuspects& aSuspects,
              std::span<const PartHash> aParts,
              const SuspectPolicy& aPolicy,
              TimePoint aNow) -> std::optional<PartSet>
{
  const Quarantine* found = nullptr;
  for (const auto& quarantine : aSuspects.mQuarantines) {
    if (quarantine.mUntil <= aNow ||
        !ContainsAnyOf(aParts, quarantine.mParts)) {
      continue;
    }
    if (found != nullptr || !ContainsAll(aParts, quarantine.mParts)) {
      return std::nullopt;
    }
    found = &quarantine;
  }
  return found != nullptr && IsTrialDue(aSuspects, *found, aPolicy, aNow)
           ? std::optional(found->mParts)
           : std::nullopt;
}

auto TakeTrial(CrashSuspects& aSuspects,
               std::span<const PartHash> aParts,
               const SuspectPolicy& aPolicy,
               bool aMayTry,
               TimePoint aNow) -> bool
{
  const auto due =
    aMayTry ? DueTrial(aSuspects, aParts, aPolicy, aNow) : std::nullopt;
  for (auto& quarantine : aSuspects.mQuarantines) {
    if (due && quarantine.mParts == *due) {
      quarantine.mTrialAt = TrialDeadlinesAt(quarantine, aPolicy, aNow).mNext;
    }
  }
  return due.has_value();
}

auto FindDueTrials(const CrashSuspects& aSuspects,
                   std::span<const PartHash> aParts,
                   const SuspectPolicy& aPolicy,
                   TimePoint aNow) -> std::optional<DueTrials>
{
  DueTrials trials{ TimePoint::min(), {} };
  for (const auto& quarantine : aSuspects.mQuarantines) {
    if (quarantine.mUntil <= aNow ||
        !ContainsAnyOf(aParts, quarantine.mParts)) {
      continue;
    }
    if (!IsTrialDue(aSuspects, quarantine, aPolicy, aNow)) {
      return std::nullopt;
    }
    const auto due = TrialDeadlinesAt(quarantine, aPolicy, aNow).mLast;
    trials.mSince = std::max(trials.mSince, due);
    trials.mParts.insert(
      trials.mParts.end(), quarantine.mParts.begin(), quarantine.mParts.end());
  }
  Normalize(trials.mParts);
  return trials.mParts.empty() ? std::nullopt : std::optional(trials);
}

auto TakeTrials(CrashSuspects& aSuspects,
                std::span<const PartHash> aParts,
                const SuspectPolicy& aPolicy,
                TimePoint aNow) -> void
{
  for (auto& quarantine : aSuspects.mQuarantines) {
    if (ContainsAnyOf(aParts, quarantine.mParts)) {
      quarantine.mTrialAt = TrialDeadlinesAt(quarantine, aPolicy, aNow).mNext;
    }
  }
}

auto ReturnTrials(CrashSuspects& aSuspects,
                  std::span<const PartHash> aParts,
                  const SuspectPolicy& aPolicy,
                  TimePoint aNow) -> void
{
  for (auto& quarantine : aSuspects.mQuarantines) {
    if (ContainsAnyOf(aParts, quarantine.mParts)) {
      quarantine.mTrialAt = TrialDeadlinesAt(quarantine, aPolicy, aNow).mLast;
    }
  }
}

auto ForgetExpired(CrashSuspects& aSuspects,
                   const SuspectPolicy& aPolicy,
                   TimePoint aNow) -> void
{
  auto& runs = aSuspects.mRuns;
  while (!runs.empty() && aNow - runs.front().mAt >= aPolicy.mRetention) {
    runs.pop_front();
  }
  ForgetQuarantines(aSuspects, aNow);
  ForgetStarts(aSuspects, aPolicy, aNow);
}

} // namespace mangovalve
