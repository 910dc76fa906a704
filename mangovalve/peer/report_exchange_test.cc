// Tests of the comparison of load reports.
#include "mangovalve/peer/report_exchange.h"

#include <doctest/doctest.h>

#include "mangovalve/serving/state.h"

namespace mangovalve {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

TEST_CASE("a lasting quarantine gives a quiet host no news to report")
{
  // Guards against an idle fleet that reports at its shortest interval for the
  // hour of a quarantine, because the age in each report differs.
  constexpr TimePoint kNow{ hours(100) };
  asio::io_context loop;
  ServingState state(loop);
  const auto bytes = [&](TimePoint aNow) {
    NoteEvidence(state.mSuspectExchange, state.mSuspects, aNow);
    return ComparableBytes(OwnReport(state, aNow));
  };
  const auto without = bytes(kNow);
  REQUIRE(AdoptQuarantine(state.mSuspects,
                          { { 7 }, kNow, kNow + hours(1) },
                          state.mSuspectPolicy,
                          kNow));
  CHECK(bytes(kNow) == without);
  CHECK(bytes(kNow + milliseconds(5000)) == without);
  REQUIRE(OwnReport(state, kNow).evidence);

  // A crash is news, its age is not.
  const auto crashAt = kNow + milliseconds(6000);
  RecordCrash(
    state.mSuspects, { 1, crashAt, { 1, 2 } }, state.mSuspectPolicy, crashAt);
  const auto with = bytes(crashAt);
  CHECK(with != without);
  CHECK(bytes(crashAt + milliseconds(60)) == with);
  CHECK(bytes(crashAt + milliseconds(3000)) == without);
}

} // namespace
} // namespace mangovalve
