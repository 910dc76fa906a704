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
  // It has an id, but not the form of an event in a numbered stream: one id, at
  // least one line of data, and no unknown line after them.
  bool mMalformed = false;
  // Its id does not follow that of the event before it in the same response,
  // and it is no copy of that event.
  bool mOutOfOrder = false;
};

// Largest event. An endpoint that sends a longer one, or one without end, has
// failed.
constexpr std::size_t kMaxEventBytes = 256UL << 10U;

// State of one response.
struct EventSplitter
{
  std::string mPartial; // start of an incomplete event
  // Of the last event with an id.
  std::optional<std::uint64_t> mLastId;
  std::uint64_t mLastHash = 0;
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

// Id of the first event of a stream that numbers its events.
constexpr std::uint64_t kFirstEventId = 1;

// Compares the event's id with aLast, the id of the last delivered event; none
// before the first one. Data without an id has no place in a numbered stream;
// it may be an error message or a spoiled event. aNumbered: all streams of this
// kind are numbered, so that lines without an id that are neither a comment nor
// a known field are spoiled too; otherwise data without an id counts as the
// next event until there is one with an id. An event out of order leaves a gap,
// as does a malformed one in a numbered stream.
auto OrderOf(const StreamEvent& aEvent,
             std::optional<std::uint64_t> aLast,
             bool aNumbered) -> EventOrder;

struct EventSelection
{
  std::vector<StreamEvent> mNext; // to be delivered, in order
  bool mGap = false;              // events are missing after them
};

// Selects the events that follow aLast, up to the first gap, and sets aLast to
// the id of the last one of them.
auto SelectNext(std::vector<StreamEvent> aEvents,
                std::optional<std::uint64_t>& aLast,
                bool aNumbered) -> EventSelection;

} // namespace mangovalve
