// Keeps a copy of one table of the store up to date.
#include "mangovalve/serving/table_follower.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

// Delay after a failed read. Small compared with the 2 s within which a new
// configuration must be active.
constexpr auto kRetryDelay = std::chrono::milliseconds(200);

// The timeout of a page doubles up to this value with each page that does not
// arrive. When many hosts load a table at once, the store needs seconds for
// their pages, and a repeated read would only add to its work. A read that
// could not be sent is no work for the store: it is repeated soon, so that the
// end of a network partition is noticed.
constexpr Duration kMaxPageTimeout = std::chrono::seconds(4);

auto TableName(Table aTable) -> std::string
{
  switch (aTable) {
    case Table::Configuration:
      return "configuration";
    case Table::Endpoints:
      return "endpoints";
    case Table::Hosts:
      return "hosts";
    case Table::Jobs:
      return "jobs";
    case Table::Quarantines:
      return "quarantines";
  }
  return "unknown";
}

// The pages of a table that have been loaded so far.
struct PartialTable
{
  std::vector<KeyedRecord> mRecords;
  std::string mAfterKey;       // last key loaded
  std::optional<Offset> mFrom; // changes may be missing from here on
  Duration mPageTimeout{ 0 };  // of the next page, if above the policy's
};

struct Follower
{
  const TablePorts& mPorts;
  Table mTable;
  FollowPolicy mPolicy;
  FollowSinks mSinks;
  std::optional<Offset> mFrom; // empty: the table must be loaded
  bool mAnswered = true;       // result of the last read, for the log
  PartialTable mLoading;

  auto ReportContact(bool aAnswered) -> void
  {
    if (mAnswered != aAnswered) {
      LogEvent(aAnswered ? Severity::Info : Severity::Warn,
               aAnswered ? "table_read_recovered" : "table_read_failed",
               { { "table", TableName(mTable) } });
      mAnswered = aAnswered;
    }
    mSinks.mContact(aAnswered);
  }

  // Loads the remaining pages of the table. After a failure, the next call
  // continues with the page that failed: a store that serves many hosts at once
  // would otherwise never complete a table of several pages.
  auto Load() -> Task<bool>
  {
    for (auto more = true; more;) {
      const auto timeout =
        std::max(mLoading.mPageTimeout, mPolicy.mResponseTimeout);
      const auto page = co_await mPorts.mNewest(
        mTable, 0, mLoading.mAfterKey, Clock::now() + timeout);
      if (!page) {
        mLoading.mPageTimeout = page.error().mKind == TableErrorKind::NotApplied
                                  ? Duration::zero()
                                  : std::min(2 * timeout, kMaxPageTimeout);
        co_return false;
      }
      // The pages are not a consistent snapshot, so all changes since the first
      // page are applied again.
      mLoading.mFrom = mLoading.mFrom ? mLoading.mFrom : page->mEnd;
      auto& records = mLoading.mRecords;
      records.insert(
        records.end(), page->mRecords.begin(), page->mRecords.end());
      if (mSinks.mPage) {
        mSinks.mPage(page->mRecords);
      }
      more = page->mMore && !page->mRecords.empty();
      mLoading.mAfterKey = records.empty() ? "" : records.back().mKey;
    }
    mFrom = mLoading.mFrom;
    const auto loaded = std::exchange(mLoading, {});
    mSinks.mReplace(loaded.mRecords, mFrom.value_or(0));
    co_return true;
  }

  auto Read() -> Task<bool>
  {
    const auto now = Clock::now();
    const auto waitUntil = mPolicy.mLongPoll ? now + mPolicy.mInterval : now;
    auto changes = co_await mPorts.mChanges(
      mTable, 0, *mFrom, waitUntil, waitUntil + mPolicy.mResponseTimeout);
    if (!changes) {
      if (changes.error().mKind == TableErrorKind::Expired) {
        mFrom.reset();
        co_return co_await Load();
      }
      co_return false;
    }
    mFrom = changes->mNext;
    for (const auto& record : changes->mRecords) {
      mSinks.mApply(record);
    }
    co_return true;
  }
};

} // namespace

auto FollowTable(const TablePorts& aPorts,
                 Table aTable,
                 FollowPolicy aPolicy,
                 FollowSinks aSinks) -> Task<>
{
  Follower follower{ aPorts, aTable, aPolicy, std::move(aSinks), {}, true, {} };
  for (;;) {
    const auto started = Clock::now();
    auto answered = false;
    if (follower.mFrom) {
      answered = co_await follower.Read();
    } else {
      answered = co_await follower.Load();
    }
    follower.ReportContact(answered);
    if (!answered) {
      co_await SleepUntil(Clock::now() + kRetryDelay);
    } else if (!aPolicy.mLongPoll) {
      co_await SleepUntil(started + aPolicy.mInterval);
    }
  }
}

} // namespace mangovalve
