// Spans: one per hop (caller, queue, peer, endpoint, log), joined by the W3C
// traceparent header. A finished span is one line in the event log; a ring of
// recent spans serves the operators' address.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mangovalve/base/id.h"
#include "mangovalve/base/time.h"

namespace mangovalve {

// Position of a span in its trace.
struct TraceContext
{
  Id128 mTraceId;
  std::uint64_t mSpanId = 0;
};

// Parses a traceparent header of version 00; nothing when it is malformed.
auto ParseTraceparent(std::string_view aHeader) -> std::optional<TraceContext>;

// Formats the traceparent header of this context, always marked sampled.
auto FormatTraceparent(const TraceContext& aContext) -> std::string;

// A span in progress. Attributes must not hold keys, headers or bodies.
struct Span
{
  TraceContext mContext;
  std::uint64_t mParentSpanId = 0; // 0 for the root of a trace
  std::string mHop;
  TimePoint mStart;
  std::vector<std::pair<std::string, std::string>> mAttributes;
};

// Starts a span under aParent, or a new trace without one.
auto StartSpan(std::string aHop,
               const std::optional<TraceContext>& aParent,
               TimePoint aNow) -> Span;

// Ends the span and records it.
auto FinishSpan(const Span& aSpan, TimePoint aNow) -> void;

// A span that ends with its scope.
class ScopedSpan
{
public:
  ScopedSpan(std::string aHop, const TraceContext& aParent)
    : mSpan(StartSpan(std::move(aHop), aParent, Clock::now()))
  {
  }
  ~ScopedSpan() { FinishSpan(mSpan, Clock::now()); }
  ScopedSpan(const ScopedSpan&) = delete;
  auto operator=(const ScopedSpan&) -> ScopedSpan& = delete;

  auto Context() const -> const TraceContext& { return mSpan.mContext; }
  auto Add(std::string aKey, std::string aValue) -> void
  {
    mSpan.mAttributes.emplace_back(std::move(aKey), std::move(aValue));
  }

private:
  Span mSpan;
};

// The last finished spans, oldest first, as rendered lines; at most 1,024.
auto RecentSpans() -> std::vector<std::string>;

} // namespace mangovalve
