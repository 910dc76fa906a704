// Keeps quarantines in the store.
#include "mangovalve/serving/quarantine_store.h"

#include <array>

#include <absl/strings/str_cat.h>

#include "mangovalve/batch/flatbuffers_table.h"
#include "mangovalve/batch/item_runner.h"
#include "mangovalve/membership/rendezvous.h"
#include "mangovalve/serving/quarantine_record_generated.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

// Hosts of a domain that write the same change. A single one may be unable to
// reach the store.
constexpr std::size_t kWriters = 2;

// Delay of each further writer.
constexpr auto kWriterDelay = std::chrono::seconds(3);

constexpr auto kCheckInterval = milliseconds(300);
constexpr auto kCallTimeout = std::chrono::seconds(2);
constexpr auto kRetryDelay = std::chrono::seconds(1);

// A record is written again only if its quarantine has been prolonged by more
// than this.
constexpr auto kSameEnd = std::chrono::minutes(5);

// Number of responsive hosts of the own domain that write a key before this
// one.
auto WritersBefore(const ServingState& aState, const std::string& aKey)
  -> std::size_t
{
  const auto own = RendezvousScore(aKey, aState.mHost);
  std::size_t before = 0;
  for (const auto& [host, peer] : aState.mFleet.mPeers) {
    const auto preferred = RendezvousScore(aKey, host) > own;
    const auto responsive =
      peer.mDomain == aState.mDomain && !peer.mUnresponsive;
    before += preferred && responsive ? 1 : 0;
  }
  return before;
}

// Whether this host has to write a change that it first saw at aSince.
auto IsDue(const ServingState& aState,
           const std::string& aKey,
           TimePoint aSince,
           TimePoint aNow) -> bool
{
  const auto before = WritersBefore(aState, aKey);
  return before < kWriters &&
         aNow >= aSince + kWriterDelay * static_cast<int>(before);
}

auto UnixMs(WallTime aTime) -> std::int64_t
{
  return aTime.time_since_epoch().count();
}

// Returns whether the store answered.
auto ReadTable(StoredQuarantines& aStored,
               ServingState& aState,
               const TablePorts& aTables) -> Task<bool>
{
  std::string afterKey;
  for (auto more = true; more;) {
    const auto page = co_await aTables.mNewest(
      Table::Quarantines, 0, afterKey, Clock::now() + kCallTimeout);
    if (!page) {
      co_return false;
    }
    AdoptRecords(aStored, aState, page->mRecords, WallNow(), Clock::now());
    more = page->mMore && !page->mRecords.empty();
    afterKey = more ? page->mRecords.back().mKey : "";
  }
  co_return true;
}

// Returns whether nothing is left to be written now.
auto WriteChanges(StoredQuarantines& aStored,
                  const ServingState& aState,
                  const TablePorts& aTables) -> Task<bool>
{
  const auto now = Clock::now();
  const auto wallNow = WallNow();
  const auto records = RecordsToWrite(aStored, aState, wallNow, now);
  if (records.empty()) {
    co_return true;
  }
  const auto done = co_await aTables.mAppend(
    Table::Quarantines, 0, records, std::nullopt, now + kCallTimeout);
  LogEvent(done ? Severity::Info : Severity::Warn,
           done ? "quarantines_written" : "quarantines_not_written",
           { { "records", absl::StrCat(records.size()) } });
  if (done) {
    MarkWritten(aStored, records, wallNow, now);
  }
  co_return done.has_value();
}

} // namespace

auto QuarantineKey(const PartSet& aParts) -> std::string
{
  return FormatHashes(std::array{ StableHash(FormatHashes(aParts)) });
}

auto PackQuarantine(const Quarantine& aQuarantine,
                    WallTime aWallNow,
                    TimePoint aNow) -> std::string
{
  const auto wallTime = [&](TimePoint aTime) {
    return UnixMs(aWallNow +
                  std::chrono::duration_cast<milliseconds>(aTime - aNow));
  };
  wire::QuarantineRecordT record;
  record.parts = aQuarantine.mParts;
  record.since_ms = wallTime(aQuarantine.mSince);
  record.until_ms = wallTime(aQuarantine.mUntil);
  return PackTable<wire::QuarantineRecord>(record);
}

auto UnpackQuarantine(const std::string& aBytes,
                      WallTime aWallNow,
                      TimePoint aNow) -> std::optional<Quarantine>
{
  constexpr auto kLongest = std::chrono::hours(24 * 365);
  const auto record = UnpackTable<wire::QuarantineRecord>(aBytes);
  const auto earliest = UnixMs(aWallNow - kLongest);
  const auto latest = UnixMs(aWallNow + kLongest);
  if (!record || record->parts.empty() || record->since_ms < earliest ||
      record->until_ms > latest || record->since_ms > record->until_ms) {
    return std::nullopt;
  }
  const auto time = [&](std::int64_t aMs) {
    return aNow + milliseconds(aMs - UnixMs(aWallNow));
  };
  Quarantine quarantine;
  quarantine.mParts = record->parts;
  quarantine.mSince = time(record->since_ms);
  quarantine.mUntil = time(record->until_ms);
  return quarantine;
}

auto AdoptRecords(StoredQuarantines& aStored,
                  ServingState& aState,
                  const std::vector<KeyedRecord>& aRecords,
                  WallTime aWallNow,
                  TimePoint aNow) -> void
{
  for (const auto& record : aRecords) {
    auto quarantine = UnpackQuarantine(record.mValue, aWallNow, aNow);
    // An unreadable record counts as one that has ended, and is deleted.
    aStored.mStored[record.mKey] =
      quarantine ? quarantine->mUntil : TimePoint::min();
    if (!quarantine) {
      LogEvent(
        Severity::Warn, "quarantine_unreadable", { { "key", record.mKey } });
    } else if (AdoptQuarantine(
                 aState.mSuspects, *quarantine, aState.mSuspectPolicy, aNow)) {
      LogQuarantine(*quarantine, "store", aNow);
    }
  }
}

auto RecordsToWrite(StoredQuarantines& aStored,
                    const ServingState& aState,
                    WallTime aWallNow,
                    TimePoint aNow) -> std::vector<KeyedRecord>
{
  std::map<std::string, std::string> changes; // value by key; empty: delete
  for (const auto& [key, until] : aStored.mStored) {
    changes[key] = "";
  }
  for (const auto& quarantine : aState.mSuspects.mQuarantines) {
    const auto key = QuarantineKey(quarantine.mParts);
    const auto stored = aStored.mStored.find(key);
    if (quarantine.mUntil <= aNow) {
      continue;
    }
    if (stored != aStored.mStored.end() &&
        quarantine.mUntil <= stored->second + kSameEnd) {
      changes.erase(key);
    } else {
      changes[key] = PackQuarantine(quarantine, aWallNow, aNow);
    }
  }
  std::erase_if(aStored.mDifferentSince, [&](const auto& aDifference) {
    return !changes.contains(aDifference.first);
  });
  std::vector<KeyedRecord> records;
  for (auto& [key, value] : changes) {
    const auto since = aStored.mDifferentSince.try_emplace(key, aNow).first;
    if (IsDue(aState, key, since->second, aNow)) {
      records.push_back({ key, std::move(value), 0 });
    }
  }
  return records;
}

auto MarkWritten(StoredQuarantines& aStored,
                 const std::vector<KeyedRecord>& aRecords,
                 WallTime aWallNow,
                 TimePoint aNow) -> void
{
  for (const auto& record : aRecords) {
    const auto quarantine = UnpackQuarantine(record.mValue, aWallNow, aNow);
    if (quarantine) {
      aStored.mStored[record.mKey] = quarantine->mUntil;
    } else {
      aStored.mStored.erase(record.mKey);
    }
    aStored.mDifferentSince.erase(record.mKey);
  }
}

auto KeepQuarantines(ServingState& aState, const TablePorts& aTables) -> Task<>
{
  StoredQuarantines stored;
  auto read = false;
  for (;;) {
    auto done = false;
    if (read) {
      done = co_await WriteChanges(stored, aState, aTables);
    } else {
      done = read = co_await ReadTable(stored, aState, aTables);
    }
    co_await SleepUntil(Clock::now() +
                        (done ? Duration(kCheckInterval) : kRetryDelay));
  }
}

} // namespace mangovalve
