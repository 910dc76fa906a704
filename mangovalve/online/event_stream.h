// Splits a server-sent event stream into whole events and keeps track of their
// ids, so that a stream can be resumed at another endpoint without a missing,
// doubled or half event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mangovalve {

struct StreamEvent
{
  std::string mText; // all of the event, with the blank line that ends it
  std::optional<std::uint64_t> mId;
};

struct EventSplitter
{
  std::string mPartial; // begun but not ended
};

// Takes the next bytes; returns the events that they complete.
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

// Whether the event follows aLast, the id of the last delivered one. Events
// without ids are taken in order as they come.
auto OrderOf(const StreamEvent& aEvent, std::optional<std::uint64_t> aLast)
  -> EventOrder;

} // namespace mangovalve
