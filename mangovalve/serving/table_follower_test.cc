// Tests of the copy of a store's table that a daemon keeps.
#include "mangovalve/serving/table_follower.h"

#include <map>
#include <vector>

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a table of many pages is loaded although pages are refused")
{
  // Guards against a fleet that starts at once and never completes its tables:
  // the store refuses every third page, and each refusal started the load anew.
  // The pattern of load is a table of thousands of endpoints, read by hundreds
  // of hosts in the same instant.
  constexpr int kPages = 8;
  constexpr Offset kFirstEnd = 100;
  asio::io_context loop;
  std::map<std::string, int> reads; // by the key after which a page starts
  auto calls = 0;
  TablePorts ports;
  ports.mNewest = [&](Table,
                      std::uint32_t,
                      std::string aAfterKey,
                      TimePoint) -> Task<TableResult<TablePage>> {
    if (++calls % 3 == 0) {
      co_return Err(TableError{ TableErrorKind::NotApplied, 0 });
    }
    ++reads[aAfterKey];
    const auto page = aAfterKey.empty() ? 0 : aAfterKey.back() - 'a' + 1;
    TablePage result;
    result.mRecords = {
      { std::string(1, static_cast<char>('a' + page)), "value", 0 }
    };
    result.mMore = page + 1 < kPages;
    result.mEnd = kFirstEnd + static_cast<Offset>(page);
    co_return result;
  };
  std::optional<Offset> changesFrom;
  ports.mChanges = [&](Table, std::uint32_t, Offset aFrom, TimePoint, TimePoint)
    -> Task<TableResult<TableChanges>> {
    changesFrom = aFrom;
    loop.stop();
    co_return TableChanges{ {}, aFrom };
  };
  std::size_t records = 0;
  std::size_t paged = 0;
  Offset knownAsOf = 0;
  auto replaced = 0;
  const FollowPolicy policy{ milliseconds(1), false, milliseconds(100) };
  Spawn(loop,
        FollowTable(ports,
                    Table::Endpoints,
                    policy,
                    { [&](const auto& aRecords, Offset aAsOf) {
                       records = aRecords.size();
                       knownAsOf = aAsOf;
                       ++replaced;
                     },
                      [](const auto&) {},
                      [](bool) {},
                      [&](const auto& aPage) {
                        CHECK(replaced == 0);
                        paged += aPage.size();
                      } }));
  loop.run_for(std::chrono::seconds(20));
  CHECK(records == kPages);
  CHECK(replaced == 1);
  CHECK(paged == kPages); // each page is usable before the table is complete
  CHECK(reads.size() == kPages);
  for (const auto& read : reads) {
    CHECK_MESSAGE(read.second == 1, "page after ", read.first);
  }
  // Changes since the first page are applied again.
  REQUIRE(changesFrom);
  CHECK(*changesFrom == kFirstEnd);
  CHECK(knownAsOf == kFirstEnd);
}

// Guards against a host that starts behind a network partition and notices its
// end only after seconds: it went on using an endpoint that had left meanwhile.
TEST_CASE("reads that can't be sent are repeated after the same time")
{
  for (const auto kind :
       { TableErrorKind::NotApplied, TableErrorKind::Unknown }) {
    asio::io_context loop;
    std::vector<Duration> timeouts;
    TablePorts ports;
    ports.mNewest = [&](Table,
                        std::uint32_t,
                        std::string,
                        TimePoint aDeadline) -> Task<TableResult<TablePage>> {
      timeouts.push_back(aDeadline - Clock::now());
      if (timeouts.size() == 4) {
        loop.stop();
      }
      co_return Err(TableError{ kind, 0 });
    };
    const FollowPolicy policy{ milliseconds(1), false, milliseconds(100) };
    Spawn(loop,
          FollowTable(
            ports,
            Table::Endpoints,
            policy,
            { [](const auto&, Offset) {}, [](const auto&) {}, [](bool) {} }));
    loop.run_for(std::chrono::seconds(20));
    REQUIRE(timeouts.size() == 4);
    if (kind == TableErrorKind::NotApplied) {
      CHECK(timeouts[3] <= policy.mResponseTimeout);
    } else {
      CHECK(timeouts[3] > 4 * policy.mResponseTimeout);
    }
  }
}

} // namespace
} // namespace mangovalve
