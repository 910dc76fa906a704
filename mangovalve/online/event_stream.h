// Splits a server-sent event stream into complete events and compares their
// ids, so that a stream can be resumed at another endpoint without missing,
// repeated or truncated events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mangovalve {

struct StreamEvent
{
  std::string mText; // the whole event, including the final blank line
  std::optional<std::uint64_t> mId;
};

struct EventSplitter
{
  std::string mPartial; // start of an incomplete event
};

// Appends the next bytes and returns the events that they complete.
auto SplitEvents(EventSplitter& aSplitter, std::string_view aBytes)
  -> std::vector<StreamEvent>;

// The event's data lines, joined by line feeds.
auto EventData(const StreamEvent& aEvent) -> std::string;

enum class EventOrder
{
  Next,     // deliver it
  Repeated, // the caller has it already
  Gap,      // events before it are missing
};

// Compares the event's id with aLast, the id of the last delivered event. An
// event without an id counts as the next one.
auto OrderOf(const StreamEvent& aEvent, std::optional<std::uint64_t> aLast)
  -> EventOrder;

} // namespace mangovalve
