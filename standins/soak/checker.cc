// Judges what a caller got for one request.
#include "standins/soak/checker.h"

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

auto IsRefusal(unsigned aStatus) -> bool
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

auto Judge(const Attempt& aAttempt, std::size_t aRuns, const JudgeRules& aRules)
  -> std::optional<std::string>
{
  if (!aAttempt.mMayRepeat && aRuns > 1) {
    return absl::StrCat("ran ", aRuns, " times");
  }
  switch (aAttempt.mEnding) {
    case Ending::NoConnection:
    case Ending::Unsent:
      return std::nullopt;
    case Ending::Answered:
      if (IsRefusal(aAttempt.mStatus) && aRuns > 0) {
        return absl::StrCat("refused with ", aAttempt.mStatus, ", but ran");
      }
      return aAttempt.mProblem.empty() ? std::nullopt
                                       : std::optional(aAttempt.mProblem);
    case Ending::Reset:
      return JudgeReset(aAttempt, aRuns, aRules);
    case Ending::Closed:
      return absl::StrCat("read and closed without a whole response, ran ",
                          aRuns,
                          " times, ",
                          Millis(aAttempt.mEndedAt - aAttempt.mSentAt),
                          " after it was sent");
    case Ending::Overdue:
      return absl::StrCat("no response, ran ", aRuns, " times");
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
