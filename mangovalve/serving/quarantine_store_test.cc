// Tests of the quarantines in the store.
#include "mangovalve/serving/quarantine_store.h"

#include <array>
#include <memory>

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{ hours(100) };
constexpr WallTime kWallNow{ hours(500000) };

struct Host
{
  asio::io_context mLoop;
  ServingState mState{ mLoop };
  StoredQuarantines mStored;

  explicit Host(const std::string& aName)
  {
    mState.mHost = aName;
    mState.mDomain = "a";
  }

  auto AddQuarantine(const PartSet& aParts) -> void
  {
    REQUIRE(AdoptQuarantine(mState.mSuspects,
                            { aParts, kNow - seconds(5), kNow + hours(1) },
                            mState.mSuspectPolicy,
                            kNow));
  }

  // What the host writes, successfully, at aNow.
  auto Write(TimePoint aNow) -> std::vector<KeyedRecord>
  {
    auto records = RecordsToWrite(mStored, mState, kWallNow, aNow);
    MarkWritten(mStored, records, kWallNow, aNow);
    return records;
  }
};

TEST_CASE("a quarantine from the store lasts as long as it was to last")
{
  // Guards against a fleet that sends deadly requests again after a restart of
  // all hosts, and against a steady clock of a machine that was started later.
  Host before("h0");
  before.AddQuarantine({ 3, 5 });
  const auto records = before.Write(kNow);
  REQUIRE(records.size() == 1);
  Host after("h1");
  const TimePoint started{ seconds(30) };
  AdoptRecords(
    after.mStored, after.mState, records, kWallNow + seconds(60), started);
  REQUIRE(after.mState.mSuspects.mQuarantines.size() == 1);
  const auto& quarantine = after.mState.mSuspects.mQuarantines[0];
  CHECK(quarantine.mParts == PartSet{ 3, 5 });
  CHECK(quarantine.mSince == started - seconds(65));
  CHECK(quarantine.mUntil == started + hours(1) - seconds(60));
  // Nothing is written that the store has.
  CHECK(
    RecordsToWrite(after.mStored, after.mState, kWallNow + seconds(60), started)
      .empty());
}

TEST_CASE("a quarantine is written once and deleted when it ends")
{
  // Guards against writes at each check, which the platform charges for, and
  // against records that outlive their quarantine.
  Host host("h0");
  host.AddQuarantine({ 3, 5 });
  REQUIRE(host.Write(kNow).size() == 1);
  CHECK(host.Write(kNow + seconds(10)).empty());
  // An answer clears a part: the record is replaced.
  RecordStart(
    host.mState.mSuspects, std::array{ PartHash{ 3 } }, kNow + seconds(11));
  const auto changed = host.Write(kNow + seconds(12));
  REQUIRE(changed.size() == 2);
  CHECK(changed[0].mValue.empty() != changed[1].mValue.empty());
  CHECK(host.Write(kNow + seconds(13)).empty());
  RecordStart(
    host.mState.mSuspects, std::array{ PartHash{ 5 } }, kNow + seconds(14));
  const auto ended = host.Write(kNow + seconds(15));
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].mValue.empty());
  CHECK(host.mStored.mStored.empty());
  CHECK(host.mStored.mDifferentSince.empty());
}

TEST_CASE("a write that fails is due again")
{
  // Guards against a quarantine that is lost because the store was away when it
  // began.
  Host host("h0");
  host.AddQuarantine({ 3 });
  CHECK(RecordsToWrite(host.mStored, host.mState, kWallNow, kNow).size() == 1);
  CHECK(host.Write(kNow + seconds(1)).size() == 1);
}

TEST_CASE("few hosts of a domain write, others if those are lost")
{
  // Guards against a write by each of hundreds of hosts, and against none
  // because the writer was killed first.
  constexpr auto kHosts = 20;
  const auto name = [](int aNumber) { return "h" + std::to_string(aNumber); };
  std::vector<std::unique_ptr<Host>> hosts;
  for (auto i = 0; i < kHosts; ++i) {
    auto& host = hosts.emplace_back(std::make_unique<Host>(name(i)));
    host->AddQuarantine({ 3 });
    for (auto j = 0; j < kHosts; ++j) {
      if (i != j) {
        wire::LoadReportT report;
        report.host = name(j);
        report.domain = "a";
        report.incarnation = 1;
        ApplyReport(host->mState.mFleet, std::move(report), kNow);
      }
    }
  }
  const auto writers = [&](TimePoint aNow) {
    std::vector<int> indexes;
    for (auto i = 0; i < kHosts; ++i) {
      if (!hosts[static_cast<std::size_t>(i)]->Write(aNow).empty()) {
        indexes.push_back(i);
      }
    }
    return indexes;
  };
  const auto first = writers(kNow);
  REQUIRE(first.size() == 1);
  const auto second = writers(kNow + seconds(4));
  REQUIRE(second.size() == 1);
  CHECK(writers(kNow + seconds(60)).empty());
  for (auto& host : hosts) {
    RemovePeer(host->mState.mFleet, name(first[0]));
    RemovePeer(host->mState.mFleet, name(second[0]));
  }
  CHECK(writers(kNow + seconds(70)).size() == 2);
}

TEST_CASE("records that are damaged or have ended are passed over and deleted")
{
  Host host("h0");
  const Quarantine ended{ { 4 }, kNow - hours(2), kNow - hours(1) };
  const Quarantine absurd{ { 4 }, kNow, kNow + hours(24 * 3650) };
  const Quarantine empty{ {}, kNow, kNow + hours(1) };
  std::vector<KeyedRecord> records;
  for (const auto& quarantine : { ended, absurd, empty }) {
    records.push_back({ std::to_string(records.size()),
                        PackQuarantine(quarantine, kWallNow, kNow),
                        0 });
  }
  records.push_back({ "junk", "\xff\xfe junk", 0 });
  AdoptRecords(host.mStored, host.mState, records, kWallNow, kNow);
  CHECK(host.mState.mSuspects.mQuarantines.empty());
  const auto written = host.Write(kNow);
  CHECK(written.size() == records.size());
  for (const auto& record : written) {
    CHECK(record.mValue.empty());
  }
}

} // namespace
} // namespace mangovalve
