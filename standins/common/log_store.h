// The platform's append-only log: offsets from 0, an append time per record,
// and retention by time and by count.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "mangovalve/base/id.h"
#include "mangovalve/base/time.h"

namespace mangovalve::standins {

struct LogRecord
{
  Offset mOffset = 0;
  LogTime mTime{};
  std::string mPayload; // base64, as received
};

struct LogStore
{
  std::chrono::milliseconds mRetainTime{ 0 }; // 0: no limit
  std::size_t mRetainCount = 0;               // 0: no limit
  Offset mNextOffset = 0; // replay expects the log to begin at 0
  LogTime mLastTime{};    // append times never go back
  std::deque<LogRecord> mRecords;
};

// Appends a record and drops what is no longer retained.
auto Append(LogStore& aLog, std::string aPayload, LogTime aNow) -> Offset;

// Drops the records that are past their retention at aNow.
auto Expire(LogStore& aLog, LogTime aNow) -> void;

// Oldest offset still retained; the next offset when the log is empty.
auto FirstOffset(const LogStore& aLog) -> Offset;

// Records from aFrom on, at most aLimit records and aMaxBytes of payload, but
// always one record if there is one.
auto Read(const LogStore& aLog,
          Offset aFrom,
          std::size_t aLimit,
          std::size_t aMaxBytes) -> std::vector<LogRecord>;

} // namespace mangovalve::standins
