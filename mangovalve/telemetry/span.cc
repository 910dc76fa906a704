// Spans, the traceparent header and the ring of recent spans.
#include "mangovalve/telemetry/span.h"

#include <deque>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/synchronization/mutex.h>

#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

constexpr std::size_t kMaxRecentSpans = 1024;

struct SpanRing
{
  absl::Mutex mMutex;
  std::deque<std::string> mLines;
};

auto ProcessRing() -> SpanRing&
{
  static auto* const sRing = new SpanRing;
  return *sRing;
}

auto IsLowerHex(std::string_view aText) -> bool
{
  return aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

auto HexToInteger(std::string_view aText) -> std::uint64_t
{
  std::uint64_t value = 0;
  static_cast<void>(
    absl::SimpleHexAtoi(absl::string_view(aText.data(), aText.size()), &value));
  return value;
}

} // namespace

auto ParseTraceparent(std::string_view aHeader) -> std::optional<TraceContext>
{
  // "00-" + 32 digits + "-" + 16 digits + "-" + 2 digits.
  if (aHeader.size() != 55 || aHeader.substr(0, 3) != "00-" ||
      aHeader[35] != '-' || aHeader[52] != '-' ||
      !IsLowerHex(aHeader.substr(3, 32)) ||
      !IsLowerHex(aHeader.substr(36, 16)) || !IsLowerHex(aHeader.substr(53))) {
    return std::nullopt;
  }
  TraceContext context;
  context.mTraceId = { HexToInteger(aHeader.substr(3, 16)),
                       HexToInteger(aHeader.substr(19, 16)) };
  context.mSpanId = HexToInteger(aHeader.substr(36, 16));
  if (context.mTraceId == Id128{} || context.mSpanId == 0) {
    return std::nullopt;
  }
  return context;
}

auto FormatTraceparent(const TraceContext& aContext) -> std::string
{
  return absl::StrFormat(
    "00-%s-%016x-01", ToHex(aContext.mTraceId), aContext.mSpanId);
}

auto StartSpan(std::string aHop,
               const std::optional<TraceContext>& aParent,
               TimePoint aNow) -> Span
{
  Span span;
  span.mHop = std::move(aHop);
  span.mStart = aNow;
  span.mContext.mTraceId = aParent ? aParent->mTraceId : NewId();
  span.mContext.mSpanId = NewId().mLow;
  span.mParentSpanId = aParent ? aParent->mSpanId : 0;
  return span;
}

auto FinishSpan(const Span& aSpan, TimePoint aNow) -> void
{
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::microseconds>(aNow - aSpan.mStart);
  Fields fields{
    { "trace", ToHex(aSpan.mContext.mTraceId) },
    { "span", absl::StrFormat("%016x", aSpan.mContext.mSpanId) },
    { "parent", absl::StrFormat("%016x", aSpan.mParentSpanId) },
    { "hop", aSpan.mHop },
    { "duration_us", absl::StrCat(elapsed.count()) },
  };
  for (const auto& [key, value] : aSpan.mAttributes) {
    fields.emplace_back(key, value);
  }
  LogEvent(Severity::Debug, "span", fields);
  auto& ring = ProcessRing();
  const absl::MutexLock lock(&ring.mMutex);
  ring.mLines.push_back(FormatEvent("span", fields));
  if (ring.mLines.size() > kMaxRecentSpans) {
    ring.mLines.pop_front();
  }
}

auto RecentSpans() -> std::vector<std::string>
{
  auto& ring = ProcessRing();
  const absl::MutexLock lock(&ring.mMutex);
  return { ring.mLines.begin(), ring.mLines.end() };
}

} // namespace mangovalve
