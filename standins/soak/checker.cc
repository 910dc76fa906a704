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

auto JudgeReset(const Attempt& aAttempt,
                std::size_t aRuns,
                const JudgeRules& aRules) -> std::optional<std::string>
{
  const auto after = aAttempt.mEndedAt - aAttempt.mSentAt;
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
  switch (aAttempt.mEnding) {
    case Ending::NoConnection:
    case Ending::Unsent:
      return std::nullopt;
    case Ending::Answered:
      if (IsRefusal(aAttempt.mStatus) && runs > 0) {
        return absl::StrCat("refused with ", aAttempt.mStatus, ", but ran");
      }
      return aAttempt.mProblem.empty() ? std::nullopt
                                       : std::optional(aAttempt.mProblem);
    case Ending::Reset:
      return JudgeReset(aAttempt, runs, aRules);
    case Ending::Closed:
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
