// Judges what a caller got for one request.
#include "standins/soak/checker.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "mangovalve/online/event_stream.h"
#include "standins/common/endpoint_server.h"

namespace mangovalve::standin {
namespace {

auto Millis(Duration aTime) -> std::string
{
  return absl::StrCat(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count(),
    " ms");
}

// Whether a host had no reason to end the connection.
auto MustServe(const Attempt& aAttempt) -> bool
{
  return aAttempt.mHostServed && aAttempt.mWithinLimits;
}

// Whether the time for the request was over when it ended.
auto IsPastDue(const Attempt& aAttempt) -> bool
{
  const auto timeout = aAttempt.mAllowance
                         ? aAttempt.mAllowance->mShortestTimeout
                         : Duration::max();
  return aAttempt.mEndedAt >= aAttempt.mExpiresAt ||
         aAttempt.mEndedAt - aAttempt.mLastWriteAt >= timeout;
}

auto JudgeStatus(const Attempt& aAttempt) -> std::optional<std::string>
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kNotFound = 404;
  constexpr unsigned kTimedOut = 504;
  const auto status = aAttempt.mStatus;
  if (!aAttempt.mAllowance || status == kOk || IsRefusal(status) ||
      (status == kTimedOut && IsPastDue(aAttempt)) ||
      (status == kNotFound && !aAttempt.mAllowance->mAlways)) {
    return std::nullopt;
  }
  return absl::StrCat("status ",
                      status,
                      " ",
                      Millis(aAttempt.mEndedAt - aAttempt.mLastWriteAt),
                      " after it was sent");
}

auto JudgeServices(const Attempt& aAttempt, const std::vector<RunSpan>& aRuns)
  -> std::optional<std::string>
{
  for (const auto& run : aRuns) {
    if (aAttempt.mAllowance &&
        !aAttempt.mAllowance->mServices.contains(run.mService)) {
      return absl::StrCat(
        "ran at ", run.mService, ", which no document in force allows");
    }
  }
  return std::nullopt;
}

auto JudgeReset(const Attempt& aAttempt,
                std::size_t aRuns,
                const JudgeRules& aRules) -> std::optional<std::string>
{
  const auto after = aAttempt.mEndedAt - aAttempt.mSentAt;
  if (MustServe(aAttempt)) {
    return absl::StrCat("reset ",
                        Millis(after),
                        " after it was sent by a host that serves, ran ",
                        aRuns,
                        " times");
  }
  if (aRuns > 0) {
    return absl::StrCat("reset ", Millis(after), " after it was sent, but ran");
  }
  if (aAttempt.mBegun) {
    return absl::StrCat("reset within its response, ", Millis(after));
  }
  if (aRules.mLateReset.count() > 0 &&
      after - aAttempt.mStalled > aRules.mLateReset) {
    return absl::StrCat("reset without a response ",
                        Millis(after),
                        " after it was sent (stalled ",
                        Millis(aAttempt.mStalled),
                        ")");
  }
  return std::nullopt;
}

} // namespace

auto LongestOverlap(const std::vector<RunSpan>& aRuns) -> Duration
{
  Duration longest{};
  for (std::size_t i = 0; i < aRuns.size(); ++i) {
    for (std::size_t k = 0; k < i; ++k) {
      const auto from = std::max(aRuns[i].mFrom, aRuns[k].mFrom);
      const auto until = std::min(aRuns[i].mUntil, aRuns[k].mUntil);
      if (aRuns[i].mEndpoint != aRuns[k].mEndpoint) {
        longest = std::max(longest, until - from);
      }
    }
  }
  return longest;
}

auto IsRefusal(unsigned aStatus) -> bool
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

auto ApplyDocuments(Attempt& aAttempt,
                    const std::vector<RunSpan>& aRuns,
                    const std::vector<SoakDocument>& aDocuments) -> void
{
  if (aAttempt.mRoute.empty() || aAttempt.mEnding == Ending::NoConnection) {
    return;
  }
  // A host may read the request after its caller has left.
  auto readBy = aAttempt.mEndedAt;
  for (const auto& run : aRuns) {
    readBy = std::max(readBy, run.mFrom);
  }
  aAttempt.mAllowance = AllowanceOf(
    InForce(aDocuments, aAttempt.mLastWriteAt, readBy), aAttempt.mRoute);
  const auto kept = InForce(aDocuments, aAttempt.mIdleSince, aAttempt.mEndedAt);
  aAttempt.mWithinLimits =
    aAttempt.mBegunAt - aAttempt.mIdleSince <= UsableIdle(kept) &&
    aAttempt.mSentAt - aAttempt.mBegunAt <= UsableSending(kept);
}

auto Judge(const Attempt& aAttempt,
           const std::vector<RunSpan>& aRuns,
           const JudgeRules& aRules) -> std::optional<std::string>
{
  const auto runs = aRuns.size();
  if (!aAttempt.mMayRepeat && runs > 1) {
    return absl::StrCat("ran ", runs, " times");
  }
  if (const auto overlap = LongestOverlap(aRuns); overlap > aRules.mOverlap) {
    return absl::StrCat("ran at two endpoints at once for ", Millis(overlap));
  }
  if (auto problem = JudgeServices(aAttempt, aRuns)) {
    return problem;
  }
  const auto pastDue = IsPastDue(aAttempt);
  switch (aAttempt.mEnding) {
    case Ending::NoConnection:
    case Ending::GaveUp:
      return std::nullopt;
    case Ending::Unsent:
      return MustServe(aAttempt)
               ? std::optional("cut before it was sent by a host that serves")
               : std::nullopt;
    case Ending::Answered:
      if (IsRefusal(aAttempt.mStatus) && runs > 0) {
        return absl::StrCat("refused with ", aAttempt.mStatus, ", but ran");
      }
      return aAttempt.mProblem.empty() ? JudgeStatus(aAttempt)
                                       : std::optional(aAttempt.mProblem);
    case Ending::Reset:
      return pastDue ? std::nullopt : JudgeReset(aAttempt, runs, aRules);
    case Ending::Closed:
      if (pastDue) {
        return std::nullopt;
      }
      return absl::StrCat("read and closed without a whole response, ran ",
                          runs,
                          " times, ",
                          Millis(aAttempt.mEndedAt - aAttempt.mSentAt),
                          " after it was sent");
    case Ending::Overdue:
      return absl::StrCat("no response, ran ", runs, " times");
  }
  return std::nullopt;
}

auto Describe(const Attempt& aAttempt, const std::vector<RunSpan>& aRuns)
  -> std::string
{
  const auto at = [&](TimePoint aTime) {
    return Millis(aTime - aAttempt.mLastWriteAt);
  };
  auto text = absl::StrCat("ended at ", at(aAttempt.mEndedAt));
  if (aAttempt.mExpiresAt != TimePoint::max()) {
    absl::StrAppend(&text, ", caller's time ", at(aAttempt.mExpiresAt));
  }
  if (aAttempt.mAllowance && aAttempt.mAllowance->mAlways) {
    absl::StrAppend(&text,
                    ", shortest timeout ",
                    Millis(aAttempt.mAllowance->mShortestTimeout));
  }
  for (const auto& run : aRuns) {
    absl::StrAppend(&text,
                    ", ran at e",
                    run.mEndpoint,
                    " ",
                    run.mService,
                    " from ",
                    at(run.mFrom),
                    " until ",
                    at(run.mUntil));
  }
  return text;
}

auto StreamProblem(const std::string& aId,
                   std::uint32_t aEvents,
                   const std::string& aBody) -> std::string
{
  EventSplitter splitter;
  std::uint64_t last = 0;
  for (const auto& event : SplitEvents(splitter, aBody)) {
    if (!IsProgress(event)) {
      continue;
    }
    ++last;
    if (event.mId != last || EventData(event) != EventText(aId, last)) {
      return absl::StrCat("wrong event at position ", last);
    }
  }
  return last == aEvents && splitter.mPartial.empty()
           ? ""
           : absl::StrCat("stream ended after ", last, " of ", aEvents);
}

} // namespace mangovalve::standin
