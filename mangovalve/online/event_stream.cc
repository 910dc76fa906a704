// Parses a server-sent event stream.
#include "mangovalve/online/event_stream.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include "mangovalve/base/id.h"

namespace mangovalve {
namespace {

auto Lines(const StreamEvent& aEvent) -> std::vector<absl::string_view>
{
  return absl::StrSplit(
    absl::string_view(aEvent.mText.data(), aEvent.mText.size()), '\n');
}

// Value of a line "NAME: value" or "NAME:value"; nullopt for other lines.
auto FieldValue(absl::string_view aLine, absl::string_view aName)
  -> std::optional<absl::string_view>
{
  aLine = absl::StripSuffix(aLine, "\r");
  if (!absl::ConsumePrefix(&aLine, aName) ||
      !absl::ConsumePrefix(&aLine, ":")) {
    return std::nullopt;
  }
  return absl::StripPrefix(aLine, " ");
}

// Whether the line is empty or of a field without data.
auto IsPlainLine(absl::string_view aLine) -> bool
{
  return aLine.empty() || aLine == "\r" || FieldValue(aLine, "event") ||
         FieldValue(aLine, "retry");
}

// Whether the line belongs to a comment or to a field that has a meaning in an
// event without an id.
auto IsKnownLine(absl::string_view aLine) -> bool
{
  return IsPlainLine(aLine) || aLine[0] == ':';
}

// Reads the id and the form of the event. Lines before the id may be anything:
// endpoints send some of their own there.
auto ReadForm(StreamEvent& aEvent) -> void
{
  auto ids = 0;
  auto hasData = false;
  auto hasUnknown = false;
  for (const auto line : Lines(aEvent)) {
    if (const auto id = FieldValue(line, "id")) {
      std::uint64_t value = 0;
      aEvent.mId = absl::SimpleAtoi(*id, &value) ? value : aEvent.mId;
      ++ids;
    } else if (FieldValue(line, "data")) {
      hasData = true;
    } else if ((ids > 0 || hasData) && !IsPlainLine(line)) {
      hasUnknown = true;
    }
  }
  aEvent.mMalformed =
    aEvent.mId.has_value() && (ids != 1 || !hasData || hasUnknown);
}

// Compares the event with the one before it in the response.
auto ReadOrder(StreamEvent& aEvent, EventSplitter& aSplitter) -> void
{
  if (!aEvent.mId) {
    return;
  }
  const auto hash = StableHash(aEvent.mText);
  const auto last = aSplitter.mLastId;
  const auto copy = aEvent.mId == last && hash == aSplitter.mLastHash;
  aEvent.mOutOfOrder = last && *aEvent.mId != *last + 1 && !copy;
  aSplitter.mLastId = aEvent.mId;
  aSplitter.mLastHash = hash;
}

// Length of the blank line that ends the event at aAt; 0 if there is none.
auto EndLength(std::string_view aText, std::size_t aAt) -> std::size_t
{
  if (aText.substr(aAt, 2) == "\n\n") {
    return 2;
  }
  return aText.substr(aAt, 3) == "\n\r\n" ? 3 : 0;
}

} // namespace

auto SplitEvents(EventSplitter& aSplitter, std::string_view aBytes)
  -> std::vector<StreamEvent>
{
  // The final blank line may have begun in the bytes appended earlier.
  constexpr std::size_t kLongestEnd = 3;
  auto& text = aSplitter.mPartial;
  auto at = text.size() < kLongestEnd ? 0 : text.size() - kLongestEnd;
  text.append(aBytes);
  std::vector<StreamEvent> events;
  std::size_t begin = 0;
  while ((at = text.find('\n', at)) != std::string::npos) {
    const auto length = EndLength(text, at);
    if (length == 0) {
      ++at;
      continue;
    }
    at += length;
    StreamEvent event{ text.substr(begin, at - begin), std::nullopt };
    ReadForm(event);
    ReadOrder(event, aSplitter);
    events.push_back(std::move(event));
    begin = at;
  }
  text.erase(0, begin);
  return events;
}

auto IsOverlong(const EventSplitter& aSplitter) -> bool
{
  return aSplitter.mPartial.size() > kMaxEventBytes;
}

auto IsProgress(const StreamEvent& aEvent) -> bool
{
  const auto lines = Lines(aEvent);
  return aEvent.mId.has_value() ||
         std::any_of(lines.begin(), lines.end(), [](absl::string_view aLine) {
           return FieldValue(aLine, "data").has_value();
         });
}

auto EventData(const StreamEvent& aEvent) -> std::string
{
  std::string data;
  auto first = true;
  for (const auto line : Lines(aEvent)) {
    if (const auto value = FieldValue(line, "data")) {
      data.append(first ? "" : "\n").append(value->data(), value->size());
      first = false;
    }
  }
  return data;
}

auto OrderOf(const StreamEvent& aEvent,
             std::optional<std::uint64_t> aLast,
             bool aNumbered) -> EventOrder
{
  if (aEvent.mOutOfOrder || (aNumbered && aEvent.mMalformed)) {
    return EventOrder::Gap;
  }
  if (!aEvent.mId) {
    const auto lines = Lines(aEvent);
    const auto spoiled =
      aNumbered && !std::all_of(lines.begin(), lines.end(), IsKnownLine);
    return spoiled || (aLast && IsProgress(aEvent)) ? EventOrder::Gap
                                                    : EventOrder::Next;
  }
  const auto next = aLast ? *aLast + 1 : kFirstEventId;
  if (*aEvent.mId == next) {
    return EventOrder::Next;
  }
  return *aEvent.mId < next ? EventOrder::Repeated : EventOrder::Gap;
}

auto SelectNext(std::vector<StreamEvent> aEvents,
                std::optional<std::uint64_t>& aLast,
                bool aNumbered) -> EventSelection
{
  EventSelection selection;
  for (auto& event : aEvents) {
    const auto order = OrderOf(event, aLast, aNumbered);
    if (order == EventOrder::Gap) {
      selection.mGap = true;
      break;
    }
    if (order == EventOrder::Next) {
      aLast = event.mId ? event.mId : aLast;
      selection.mNext.push_back(std::move(event));
    }
  }
  return selection;
}

} // namespace mangovalve
