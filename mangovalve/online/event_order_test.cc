// Properties of event streams in which events are dropped, doubled, spoiled or
// reordered: no text that is complete and wrong.
#include "mangovalve/online/event_stream.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "mangovalve/base/property.h"

namespace mangovalve {
namespace {

// Bytes of an event before its content: changes of the content itself can't be
// told, since events have no checksum.
auto Head(std::size_t aNumber, bool aWithExtension) -> std::string
{
  return absl::StrCat(
    aWithExtension ? "weight-versions: 3\n" : "", "id: ", aNumber, "\ndata: ");
}

auto Content(std::size_t aNumber) -> std::string
{
  return absl::StrCat("word", aNumber);
}

struct SentStream
{
  std::vector<std::string> mEvents; // from the first event after aFrom
  std::string mText;                // of the whole stream
};

auto MakeStream(std::size_t aEvents, std::size_t aAfter) -> SentStream
{
  SentStream stream;
  for (std::size_t i = 1; i <= aEvents; ++i) {
    absl::StrAppend(&stream.mText, i == 1 ? "" : "\n", Content(i));
    if (i > aAfter) {
      stream.mEvents.push_back(Head(i, i % 3 == 0) + Content(i) + "\n\n");
    }
  }
  return stream;
}

enum class FaultKind
{
  Drop,
  Double,
  Reorder,
  SpoilByte,  // one byte that is not content
  SpoilEvent, // all bytes of an event but its end
};

struct Fault
{
  FaultKind mKind = FaultKind::Drop;
  std::size_t mEvent = 0; // index
  std::size_t mOther = 0; // Double, Reorder: index of the copy; SpoilByte: byte
  char mByte = '#';
};

// Indexes of the bytes of an event that are not content, as is the byte after
// "data:" if it is no space.
auto FramingBytes(const std::string& aEvent) -> std::vector<std::size_t>
{
  const auto content = aEvent.find("data:") + 5;
  std::vector<std::size_t> bytes;
  for (std::size_t i = 0; i < aEvent.size(); ++i) {
    if (i < content || i >= aEvent.size() - 2) {
      bytes.push_back(i);
    }
  }
  return bytes;
}

// The bytes of the stream with the fault. The last event is never dropped:
// nothing in a stream says how many events it has.
auto WithFault(std::vector<std::string> aEvents, const Fault& aFault)
  -> std::string
{
  const auto at = aFault.mEvent % aEvents.size();
  const auto offset = [](std::size_t aIndex) {
    return static_cast<std::ptrdiff_t>(aIndex);
  };
  auto& event = aEvents[at];
  switch (aFault.mKind) {
    case FaultKind::Drop:
      if (at + 1 < aEvents.size()) {
        aEvents.erase(aEvents.begin() + offset(at));
      }
      break;
    case FaultKind::Double: {
      const auto copy = event;
      aEvents.insert(
        aEvents.begin() + offset(aFault.mOther % (aEvents.size() + 1)), copy);
      break;
    }
    case FaultKind::Reorder:
      std::swap(event, aEvents[aFault.mOther % aEvents.size()]);
      break;
    case FaultKind::SpoilByte: {
      const auto bytes = FramingBytes(event);
      event[bytes[aFault.mOther % bytes.size()]] = aFault.mByte;
      break;
    }
    case FaultKind::SpoilEvent:
      // Colons make a comment and line feeds nothing, which is a drop.
      if (at + 1 < aEvents.size() ||
          (aFault.mByte != ':' && aFault.mByte != '\n')) {
        event = std::string(event.size() - 2, aFault.mByte) + "\n\n";
      }
      break;
  }
  std::string bytes;
  for (const auto& one : aEvents) {
    bytes += one;
  }
  return bytes;
}

// What a reader of numbered events has of an answer that may be resumed.
struct Reader
{
  std::string mText;
  std::optional<std::uint64_t> mLast;
  bool mFirst = true;

  // Reads one answer in pieces that end at aEnds; whether it counts as
  // complete.
  auto Read(const std::string& aBytes, const std::vector<std::size_t>& aEnds)
    -> bool
  {
    EventSplitter splitter;
    auto progress = false;
    auto received = false;
    std::size_t begin = 0;
    auto ends = aEnds;
    ends.push_back(aBytes.size());
    for (const auto end : ends) {
      auto events = SplitEvents(splitter, aBytes.substr(begin, end - begin));
      begin = end;
      progress =
        progress || std::any_of(events.begin(), events.end(), IsProgress);
      const auto selection = SelectNext(std::move(events), mLast, true);
      for (const auto& event : selection.mNext) {
        if (IsProgress(event)) {
          mText += (mFirst ? "" : "\n") + EventData(event);
          mFirst = false;
          received = true;
        }
      }
      if (selection.mGap) {
        return false;
      }
    }
    const auto endedEarly = !received && (progress || !mLast);
    return splitter.mPartial.empty() && !endedEarly;
  }
};

// Reads an answer with a fault and, unless it counts as complete, a sound
// resumption of it; whether the text is right.
auto IsRight(std::size_t aEvents,
             std::size_t aAfter,
             const Fault& aFault,
             const std::vector<std::size_t>& aEnds) -> bool
{
  const auto sent = MakeStream(aEvents, aAfter);
  Reader reader;
  if (aAfter > 0) {
    std::string before;
    for (const auto& event : MakeStream(aAfter, 0).mEvents) {
      before += event;
    }
    reader.Read(before, {});
  }
  if (!reader.Read(WithFault(sent.mEvents, aFault), aEnds)) {
    std::string rest;
    const auto last = reader.mLast.value_or(0);
    if (last < aEvents) {
      for (const auto& event : MakeStream(aEvents, last).mEvents) {
        rest += event;
      }
    }
    if (!reader.Read(rest, {})) {
      return false;
    }
  }
  return reader.mText == sent.mText;
}

auto AllFaults(std::size_t aEvents) -> std::vector<Fault>
{
  std::vector<Fault> faults;
  for (std::size_t at = 0; at < aEvents; ++at) {
    faults.push_back({ FaultKind::Drop, at, 0, '#' });
    for (std::size_t other = 0; other <= aEvents; ++other) {
      faults.push_back({ FaultKind::Double, at, other, '#' });
      faults.push_back({ FaultKind::Reorder, at, other, '#' });
    }
    for (const char byte : { '#', ':', ' ', '1', 'x', '\n', '\r', '\0' }) {
      faults.push_back({ FaultKind::SpoilEvent, at, 0, byte });
      const auto size = MakeStream(aEvents, 0).mEvents[at].size();
      for (std::size_t other = 0; other < size; ++other) {
        faults.push_back({ FaultKind::SpoilByte, at, other, byte });
      }
    }
  }
  return faults;
}

TEST_CASE("no single fault in a stream makes a text that is complete and wrong")
{
  // Exhaustive over positions and all ways to split the bytes into two reads.
  constexpr std::size_t kEvents = 4;
  for (const std::size_t after : { 0, 2 }) {
    const auto left = kEvents - after;
    for (const auto& fault : AllFaults(left)) {
      const auto size =
        WithFault(MakeStream(kEvents, after).mEvents, fault).size();
      for (std::size_t end = 0; end <= size; ++end) {
        const auto right = IsRight(kEvents, after, fault, { end });
        if (!right) {
          CAPTURE(static_cast<int>(fault.mKind));
          CAPTURE(fault.mEvent);
          CAPTURE(fault.mOther);
          CAPTURE(static_cast<int>(fault.mByte));
          CAPTURE(after);
          CHECK(right);
          break;
        }
      }
    }
  }
}

TEST_CASE("faults in streams of any length and reads of any size")
{
  CHECK(CheckSeeded(20261206, 20000, [] {
    const auto events = *rc::gen::inRange<std::size_t>(1, 130);
    const auto after = *rc::gen::inRange<std::size_t>(0, events);
    Fault fault;
    fault.mKind = *rc::gen::element(FaultKind::Drop,
                                    FaultKind::Double,
                                    FaultKind::Reorder,
                                    FaultKind::SpoilByte,
                                    FaultKind::SpoilEvent);
    fault.mEvent = *rc::gen::inRange<std::size_t>(0, events - after);
    fault.mOther = *rc::gen::inRange<std::size_t>(0, 1000);
    fault.mByte = *rc::gen::arbitrary<char>();
    const auto size =
      WithFault(MakeStream(events, after).mEvents, fault).size();
    auto ends = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, size + 1));
    std::sort(ends.begin(), ends.end());
    RC_ASSERT(IsRight(events, after, fault, ends));
  }));
}

} // namespace
} // namespace mangovalve
