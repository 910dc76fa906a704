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

// Largest event. An endpoint that sends a longer one, or one without end, has
// failed.
constexpr std::size_t kMaxEventBytes = 256UL << 10U;

struct EventSplitter
{
  std::string mPartial; // start of an incomplete event
};

// Whether the incomplete event exceeds kMaxEventBytes.
auto IsOverlong(const EventSplitter& aSplitter) -> bool;

// Whether the event advances its stream. Comments, which servers send to keep a
// connection open, do not.
auto IsProgress(const StreamEvent& aEvent) -> bool;

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

// Compares the event's id with aLast, the id of the last delivered event. Data
// without an id has no place after numbered events; it may be an error message.
// Without such events, and without data, it counts as the next event.
auto OrderOf(const StreamEvent& aEvent, std::optional<std::uint64_t> aLast)
  -> EventOrder;

struct EventSelection
{
  std::vector<StreamEvent> mNext; // to be delivered, in order
  bool mGap = false;              // events are missing after them
};

// Selects the events that follow aLast, up to the first gap, and sets aLast to
// the id of the last one of them.
auto SelectNext(std::vector<StreamEvent> aEvents,
                std::optional<std::uint64_t>& aLast) -> EventSelection;

} // namespace mangovalve
