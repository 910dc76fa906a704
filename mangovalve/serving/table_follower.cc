// Follows one table of the store.
#include "mangovalve/serving/table_follower.h"

#include <optional>

#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

// Pause after a failed read. Small against the bound for configurations, 2 s.
constexpr auto kRetryPause = std::chrono::milliseconds(200);

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
  }
  return "unknown";
}

// All keys of the table, and the offset from which changes may be missing.
auto LoadAll(const TablePorts& aPorts,
             Table aTable,
             Duration aAnswerTimeout,
             std::vector<KeyedRecord>& aRecords) -> Task<std::optional<Offset>>
{
  std::optional<Offset> from;
  std::string after;
  for (auto more = true; more;) {
    const auto deadline = Clock::now() + aAnswerTimeout;
    const auto page = co_await aPorts.mNewest(aTable, 0, after, deadline);
    if (!page) {
      co_return std::nullopt;
    }
    // Pages are no snapshot: changes since the first one are applied again.
    from = from ? from : page->mEnd;
    aRecords.insert(
      aRecords.end(), page->mRecords.begin(), page->mRecords.end());
    more = page->mMore && !page->mRecords.empty();
    after = page->mRecords.empty() ? after : page->mRecords.back().mKey;
  }
  co_return from;
}

struct Follower
{
  const TablePorts& mPorts;
  Table mTable;
  FollowPolicy mPolicy;
  FollowSinks mSinks;
  std::optional<Offset> mFrom; // nothing: the table must be loaded
  bool mAnswered = true;       // of the last read, for the log

  auto NoteAnswer(bool aAnswered) -> void
  {
    if (mAnswered != aAnswered) {
      LogEvent(aAnswered ? Severity::Info : Severity::Warn,
               aAnswered ? "table_read_recovered" : "table_read_failed",
               { { "table", TableName(mTable) } });
      mAnswered = aAnswered;
    }
    mSinks.mContact(aAnswered);
  }

  auto Load() -> Task<bool>
  {
    std::vector<KeyedRecord> records;
    mFrom = co_await LoadAll(mPorts, mTable, mPolicy.mAnswerTimeout, records);
    if (mFrom) {
      mSinks.mReplace(records);
    }
    co_return mFrom.has_value();
  }

  auto Read() -> Task<bool>
  {
    const auto now = Clock::now();
    const auto waitUntil = mPolicy.mLongPoll ? now + mPolicy.mInterval : now;
    auto changes = co_await mPorts.mChanges(
      mTable, 0, *mFrom, waitUntil, waitUntil + mPolicy.mAnswerTimeout);
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
  Follower follower{ aPorts, aTable, aPolicy, std::move(aSinks), {}, true };
  for (;;) {
    const auto started = Clock::now();
    auto answered = false;
    if (follower.mFrom) {
      answered = co_await follower.Read();
    } else {
      answered = co_await follower.Load();
    }
    follower.NoteAnswer(answered);
    if (!answered) {
      co_await SleepUntil(Clock::now() + kRetryPause);
    } else if (!aPolicy.mLongPoll) {
      co_await SleepUntil(started + aPolicy.mInterval);
    }
  }
}

} // namespace mangovalve
