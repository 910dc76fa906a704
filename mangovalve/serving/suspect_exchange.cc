// Exchange of evidence on crashes of endpoints between hosts.
#include "mangovalve/serving/suspect_exchange.h"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <set>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include "mangovalve/base/id.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

// Crashed runs and starts are sent for this time after they became known, so
// that dropped datagrams only delay them.
constexpr auto kRepeatTime = std::chrono::seconds(2);

// Starts of a part are announced again after this time although no run requires
// it: a quarantine may be known here without its runs.
constexpr auto kStartInterval = std::chrono::seconds(5);

// Quarantines that end sooner are not sent. Copies end late by their delay, so
// hosts would otherwise take ended quarantines from each other again and again.
constexpr auto kMinRemaining = std::chrono::seconds(2);

// Copies of one start differ in time by their delays.
constexpr auto kSameStart = milliseconds(50);

auto ToWire(Duration aTime) -> std::uint32_t
{
  const auto count = std::chrono::duration_cast<milliseconds>(aTime).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
    count, 0, std::numeric_limits<std::uint32_t>::max()));
}

auto StartOf(const CrashSuspects& aSuspects, PartHash aPart)
  -> std::optional<TimePoint>
{
  const auto found = aSuspects.mStarts.find(aPart);
  return found == aSuspects.mStarts.end() || found->second == TimePoint::min()
           ? std::nullopt
           : std::optional(found->second);
}

// Whether the start of a part must be announced on its own account.
auto IsDue(const SuspectExchange& aExchange,
           PartHash aPart,
           TimePoint aStartedAt) -> bool
{
  const auto announced = aExchange.mStarts.find(aPart);
  return announced == aExchange.mStarts.end() ||
         aStartedAt >= announced->second.mStartedAt + kStartInterval;
}

// Whether the start of a part clears it of this run and none that was announced
// does.
auto ClearsOf(const SuspectExchange& aExchange,
              const CrashedRun& aRun,
              PartHash aPart,
              TimePoint aStartedAt) -> bool
{
  const auto announced = aExchange.mStarts.find(aPart);
  return aStartedAt >= aRun.mAt && (announced == aExchange.mStarts.end() ||
                                    announced->second.mStartedAt < aRun.mAt);
}

auto SortedParts(std::vector<PartHash> aParts) -> PartSet
{
  std::sort(aParts.begin(), aParts.end());
  aParts.erase(std::unique(aParts.begin(), aParts.end()), aParts.end());
  return aParts;
}

// The first aLimit of aEvents in the order of aBefore.
template<typename Event, typename Before>
auto KeepFirst(std::vector<Event>& aEvents, std::size_t aLimit, Before aBefore)
  -> void
{
  if (aEvents.size() > aLimit) {
    const auto end = aEvents.begin() + static_cast<std::ptrdiff_t>(aLimit);
    std::nth_element(aEvents.begin(), end, aEvents.end(), aBefore);
    aEvents.resize(aLimit);
  }
}

auto RunsToSend(const SuspectExchange& aExchange,
                const CrashSuspects& aSuspects,
                TimePoint aNow)
  -> std::vector<std::unique_ptr<wire::CrashedRunCopyT>>
{
  std::vector<std::unique_ptr<wire::CrashedRunCopyT>> copies;
  const auto& runs = aSuspects.mRuns;
  for (auto run = runs.rbegin();
       run != runs.rend() && copies.size() < kMaxRunsSent;
       ++run) {
    const auto known = aExchange.mRuns.find(run->mId);
    if (known == aExchange.mRuns.end() || known->second + kRepeatTime <= aNow ||
        run->mParts.size() > kMaxPartsSent) {
      continue;
    }
    auto copy = std::make_unique<wire::CrashedRunCopyT>();
    copy->id = run->mId;
    copy->age_ms = ToWire(aNow - run->mAt);
    copy->parts = run->mParts;
    copy->ran_ms =
      run->mSentAt == TimePoint::min() ? 0 : ToWire(run->mAt - run->mSentAt);
    copies.push_back(std::move(copy));
  }
  return copies;
}

auto StartsToSend(const SuspectExchange& aExchange, TimePoint aNow)
  -> std::vector<wire::PartStart>
{
  std::vector<wire::PartStart> starts;
  for (const auto& [part, announced] : aExchange.mStarts) {
    if (announced.mKnownAt + kRepeatTime > aNow) {
      starts.emplace_back(part, ToWire(aNow - announced.mStartedAt));
    }
  }
  KeepFirst(starts,
            kMaxStartsSent,
            [](const wire::PartStart& aLeft, const wire::PartStart& aRight) {
              return aLeft.age_ms() < aRight.age_ms();
            });
  // Equal evidence gives equal bytes.
  std::sort(
    starts.begin(), starts.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.part() < aRight.part();
    });
  return starts;
}

auto QuarantinesToSend(const CrashSuspects& aSuspects, TimePoint aNow)
  -> std::vector<std::unique_ptr<wire::QuarantineCopyT>>
{
  std::vector<const Quarantine*> newest;
  for (const auto& quarantine : aSuspects.mQuarantines) {
    if (quarantine.mUntil >= aNow + kMinRemaining &&
        quarantine.mParts.size() <= kMaxPartsSent) {
      newest.push_back(&quarantine);
    }
  }
  KeepFirst(newest,
            kMaxQuarantinesSent,
            [](const Quarantine* aLeft, const Quarantine* aRight) {
              return aLeft->mSince > aRight->mSince;
            });
  std::vector<std::unique_ptr<wire::QuarantineCopyT>> copies;
  for (const auto* const quarantine : newest) {
    auto copy = std::make_unique<wire::QuarantineCopyT>();
    copy->parts = quarantine->mParts;
    copy->age_ms = ToWire(aNow - quarantine->mSince);
    copy->remaining_ms = ToWire(quarantine->mUntil - aNow);
    copies.push_back(std::move(copy));
  }
  return copies;
}

auto ApplyStarts(CrashSuspects& aSuspects,
                 const wire::CrashEvidenceT& aEvidence,
                 TimePoint aNow) -> void
{
  const auto count = std::min(aEvidence.starts.size(), kMaxStartsSent);
  for (std::size_t i = 0; i < count; ++i) {
    const auto& copy = aEvidence.starts[i];
    const auto startedAt = aNow - milliseconds(copy.age_ms());
    const auto known = StartOf(aSuspects, copy.part());
    if (!known || startedAt > *known + kSameStart) {
      const std::array parts{ copy.part() };
      RecordStart(aSuspects, parts, startedAt);
    }
  }
}

auto FromWire(const wire::CrashedRunCopyT& aCopy, TimePoint aNow) -> CrashedRun
{
  CrashedRun run;
  run.mId = aCopy.id;
  run.mAt = aNow - milliseconds(aCopy.age_ms);
  run.mParts = SortedParts(aCopy.parts);
  if (aCopy.ran_ms > 0) {
    run.mSentAt = run.mAt - milliseconds(aCopy.ran_ms);
  }
  return run;
}

// The oldest runs first, as they happened.
auto ApplyRuns(CrashSuspects& aSuspects,
               const SuspectPolicy& aPolicy,
               const wire::CrashEvidenceT& aEvidence,
               TimePoint aNow) -> void
{
  absl::flat_hash_set<std::uint64_t> known;
  for (const auto& run : aSuspects.mRuns) {
    known.insert(run.mId);
  }
  std::vector<CrashedRun> runs;
  const auto count = std::min(aEvidence.runs.size(), kMaxRunsSent);
  for (std::size_t i = 0; i < count; ++i) {
    const auto& run = *aEvidence.runs[i];
    if (known.insert(run.id).second && !run.parts.empty() &&
        run.parts.size() <= kMaxPartsSent) {
      runs.push_back(FromWire(run, aNow));
    }
  }
  std::sort(
    runs.begin(), runs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mAt < aRight.mAt;
    });
  for (auto& run : runs) {
    static_cast<void>(RecordCrash(aSuspects, std::move(run), aPolicy, aNow));
  }
}

auto ApplyQuarantines(CrashSuspects& aSuspects,
                      const SuspectPolicy& aPolicy,
                      const wire::CrashEvidenceT& aEvidence,
                      TimePoint aNow) -> void
{
  const auto count =
    std::min(aEvidence.quarantines.size(), kMaxQuarantinesSent);
  for (std::size_t i = 0; i < count; ++i) {
    const auto& copy = *aEvidence.quarantines[i];
    if (copy.parts.empty() || copy.parts.size() > kMaxPartsSent) {
      continue;
    }
    const auto remaining =
      std::min<Duration>(milliseconds(copy.remaining_ms), aPolicy.mQuarantine);
    static_cast<void>(AdoptQuarantine(aSuspects,
                                      { SortedParts(copy.parts),
                                        aNow - milliseconds(copy.age_ms),
                                        aNow + remaining },
                                      aPolicy,
                                      aNow));
  }
}

} // namespace

auto NoteEvidence(SuspectExchange& aExchange,
                  const CrashSuspects& aSuspects,
                  TimePoint aNow) -> void
{
  if (aSuspects.mRuns.empty() && aSuspects.mStarts.empty()) {
    aExchange = {};
    return;
  }
  absl::flat_hash_map<std::uint64_t, TimePoint> runs;
  absl::flat_hash_map<PartHash, AnnouncedStart> starts;
  for (const auto& run : aSuspects.mRuns) {
    const auto known = aExchange.mRuns.find(run.mId);
    runs[run.mId] = known == aExchange.mRuns.end() ? aNow : known->second;
    for (const auto part : run.mParts) {
      const auto started = StartOf(aSuspects, part);
      if (started && ClearsOf(aExchange, run, part, *started)) {
        starts[part] = { *started, aNow };
      }
    }
  }
  for (const auto& [part, ignored] : aSuspects.mStarts) {
    const auto started = StartOf(aSuspects, part);
    if (started && !starts.contains(part)) {
      starts[part] = IsDue(aExchange, part, *started)
                       ? AnnouncedStart{ *started, aNow }
                       : aExchange.mStarts[part];
    }
  }
  aExchange = { std::move(runs), std::move(starts) };
}

auto RepeatEvidence(SuspectExchange& aExchange, TimePoint aNow) -> void
{
  for (auto& [id, known] : aExchange.mRuns) {
    known = aNow;
  }
  for (auto& [part, announced] : aExchange.mStarts) {
    announced.mKnownAt = aNow;
  }
}

auto AnyNewCrash(const SuspectExchange& aExchange, TimePoint aNow) -> bool
{
  return std::any_of(
    aExchange.mRuns.begin(), aExchange.mRuns.end(), [&](const auto& aRun) {
      return aRun.second + kRepeatTime > aNow;
    });
}

auto EvidenceToSend(const SuspectExchange& aExchange,
                    const CrashSuspects& aSuspects,
                    TimePoint aNow) -> std::unique_ptr<wire::CrashEvidenceT>
{
  auto evidence = std::make_unique<wire::CrashEvidenceT>();
  evidence->runs = RunsToSend(aExchange, aSuspects, aNow);
  evidence->starts = StartsToSend(aExchange, aNow);
  evidence->quarantines = QuarantinesToSend(aSuspects, aNow);
  const auto empty = evidence->runs.empty() && evidence->starts.empty() &&
                     evidence->quarantines.empty();
  return empty ? nullptr : std::move(evidence);
}

auto ApplyEvidence(CrashSuspects& aSuspects,
                   const SuspectPolicy& aPolicy,
                   const wire::CrashEvidenceT& aEvidence,
                   std::string_view aSource,
                   TimePoint aNow) -> void
{
  std::set<PartSet> before;
  for (const auto& quarantine : aSuspects.mQuarantines) {
    before.insert(quarantine.mParts);
  }
  // Starts are kept for parts in evidence only, so those of parts in new runs
  // are recorded after the runs. The others come first: they clear parts that
  // the runs would otherwise quarantine.
  ApplyStarts(aSuspects, aEvidence, aNow);
  ApplyRuns(aSuspects, aPolicy, aEvidence, aNow);
  ApplyStarts(aSuspects, aEvidence, aNow);
  ApplyQuarantines(aSuspects, aPolicy, aEvidence, aNow);
  for (const auto& quarantine : aSuspects.mQuarantines) {
    if (!before.contains(quarantine.mParts)) {
      LogQuarantine(quarantine, aSource, aNow);
    }
  }
}

auto LogQuarantine(const Quarantine& aQuarantine,
                   std::string_view aSource,
                   TimePoint aNow) -> void
{
  const auto age =
    std::chrono::duration_cast<milliseconds>(aNow - aQuarantine.mSince);
  const auto remaining =
    std::chrono::duration_cast<std::chrono::seconds>(aQuarantine.mUntil - aNow);
  LogEvent(Severity::Warn,
           "quarantine",
           { { "parts", FormatHashes(aQuarantine.mParts) },
             { "source", std::string(aSource) },
             { "since_ms", absl::StrCat(age.count()) },
             { "remaining_s", absl::StrCat(remaining.count()) } });
}

} // namespace mangovalve
