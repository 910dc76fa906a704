// Tests of the event splitter.
#include "mangovalve/online/event_stream.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

TEST_CASE("comments and bytes without an event are no progress")
{
  // Guards against a stalled stream that is kept by keep-alive comments.
  EventSplitter splitter;
  auto events = SplitEvents(splitter, ": ping\n\n\n\ndata: a\n\nid: 4\n\n");
  REQUIRE(events.size() == 4);
  CHECK_FALSE(IsProgress(events[0]));
  CHECK_FALSE(IsProgress(events[1]));
  CHECK(IsProgress(events[2]));
  CHECK(IsProgress(events[3]));
  events = SplitEvents(splitter, ":data: a\nevent: x\n\n");
  REQUIRE(events.size() == 1);
  CHECK_FALSE(IsProgress(events[0]));
}

TEST_CASE("an event without end is recognized")
{
  EventSplitter splitter;
  const std::string part(kMaxEventBytes / 4, 'x');
  for (auto i = 0; i < 4; ++i) {
    CHECK(SplitEvents(splitter, part).empty());
    CHECK_FALSE(IsOverlong(splitter));
  }
  CHECK(SplitEvents(splitter, "x").empty());
  CHECK(IsOverlong(splitter));
}

TEST_CASE("events do not depend on how the bytes are split")
{
  // Covers all ways to split the stream into three parts.
  const std::string text =
    "id: 1\ndata: a\n\nid:2\r\ndata:b\r\n\r\ndata: c\n\n";
  for (std::size_t i = 0; i <= text.size(); ++i) {
    for (auto j = i; j <= text.size(); ++j) {
      EventSplitter splitter;
      std::vector<StreamEvent> events;
      for (const auto& part :
           { text.substr(0, i), text.substr(i, j - i), text.substr(j) }) {
        for (auto& event : SplitEvents(splitter, part)) {
          events.push_back(std::move(event));
        }
      }
      REQUIRE(events.size() == 3);
      CHECK(events[0].mId == 1);
      CHECK(events[1].mId == 2);
      CHECK_FALSE(events[2].mId.has_value());
      CHECK(EventData(events[1]) == "b");
      CHECK(events[0].mText + events[1].mText + events[2].mText == text);
      CHECK(splitter.mPartial.empty());
    }
  }
}

TEST_CASE("an incomplete event is not returned")
{
  // Guards against an event that is delivered partly, and again completely
  // after a resumption.
  EventSplitter splitter;
  CHECK(SplitEvents(splitter, "id: 4\ndata: ha").empty());
  CHECK_FALSE(splitter.mPartial.empty());
}

TEST_CASE("data lines are joined and other lines are ignored")
{
  EventSplitter splitter;
  const auto events =
    SplitEvents(splitter, "weight-versions: 3\nid: 1\ndata: x\ndata: y\n\n");
  REQUIRE(events.size() == 1);
  CHECK(EventData(events[0]) == "x\ny");
  CHECK(events[0].mId == 1);
}

TEST_CASE("an event id is the next one, a repeated one or leaves a gap")
{
  const StreamEvent third{ "", 3 };
  for (const auto numbered : { false, true }) {
    CHECK(OrderOf(third, 2, numbered) == EventOrder::Next);
    CHECK(OrderOf(third, 3, numbered) == EventOrder::Repeated);
    CHECK(OrderOf(third, 7, numbered) == EventOrder::Repeated);
    CHECK(OrderOf(third, 1, numbered) == EventOrder::Gap);
    CHECK(OrderOf(StreamEvent{}, 5, numbered) == EventOrder::Next);
    CHECK(OrderOf({ ": comment\n\n", std::nullopt }, 5, numbered) ==
          EventOrder::Next);
    CHECK(OrderOf({ ": comment\n\n", std::nullopt }, {}, numbered) ==
          EventOrder::Next);
  }
  // Guards against an error message that becomes part of a numbered stream.
  const StreamEvent unnumbered{ "event: error\ndata: full\n\n", std::nullopt };
  CHECK(OrderOf(unnumbered, 5, false) == EventOrder::Gap);
  CHECK(OrderOf(unnumbered, 5, true) == EventOrder::Gap);
  CHECK(OrderOf(unnumbered, std::nullopt, true) == EventOrder::Gap);
  CHECK(OrderOf(unnumbered, std::nullopt, false) == EventOrder::Next);
  // Guards against a last event that is spoiled as a whole and not missed.
  const StreamEvent spoiled{ "#!: 9\n#!#!: x\n\n", std::nullopt };
  CHECK(OrderOf(spoiled, 8, true) == EventOrder::Gap);
  const StreamEvent ping{ "event: ping\r\nretry: 9\r\n\r\n", std::nullopt };
  CHECK(OrderOf(ping, 8, true) == EventOrder::Next);
}

TEST_CASE("a stream begins with its first event")
{
  // Guards against an answer without its first event, whose bytes were spoiled,
  // that is taken for whole.
  for (const auto numbered : { false, true }) {
    CHECK(OrderOf({ "", 1 }, std::nullopt, numbered) == EventOrder::Next);
    CHECK(OrderOf({ "", 2 }, std::nullopt, numbered) == EventOrder::Gap);
    CHECK(OrderOf({ "", 3 }, std::nullopt, numbered) == EventOrder::Gap);
  }
}

TEST_CASE("the events before a gap are selected, those after it are not")
{
  // Guards against events that are dropped because they were read together with
  // a spoiled one, although the stream is resumed after them.
  std::optional<std::uint64_t> last = 2;
  const StreamEvent spoiled{ "#!: 5\ndata: e\n\n", std::nullopt };
  const auto selection = SelectNext({ { "b", 2 },
                                      { "c", 3 },
                                      { ": comment\n\n", std::nullopt },
                                      { "d", 4 },
                                      spoiled,
                                      { "f", 6 } },
                                    last,
                                    true);
  CHECK(selection.mGap);
  CHECK(last == 4);
  REQUIRE(selection.mNext.size() == 3);
  CHECK(selection.mNext.front().mText == "c");
  CHECK(selection.mNext.back().mText == "d");
  const auto rest = SelectNext({ { "e", 5 }, { "f", 6 } }, last, true);
  CHECK_FALSE(rest.mGap);
  CHECK(rest.mNext.size() == 2);
  CHECK(last == 6);
}

} // namespace
} // namespace mangovalve
