// The platform's append-only log.
#include "standins/common/log_store.h"

#include <algorithm>
#include <utility>

namespace mangovalve::standins {

auto Append(LogStore& aLog, std::string aPayload, LogTime aNow) -> Offset
{
  aLog.mLastTime = std::max(aLog.mLastTime, aNow);
  const auto offset = aLog.mNextOffset++;
  aLog.mRecords.push_back({ offset, aLog.mLastTime, std::move(aPayload) });
  Expire(aLog, aNow);
  return offset;
}

auto Expire(LogStore& aLog, LogTime aNow) -> void
{
  auto& records = aLog.mRecords;
  while (!records.empty() &&
         ((aLog.mRetainCount > 0 && records.size() > aLog.mRetainCount) ||
          (aLog.mRetainTime.count() > 0 &&
           records.front().mTime + aLog.mRetainTime < aNow))) {
    records.pop_front();
  }
}

auto FirstOffset(const LogStore& aLog) -> Offset
{
  return aLog.mRecords.empty() ? aLog.mNextOffset
                               : aLog.mRecords.front().mOffset;
}

auto Read(const LogStore& aLog,
          Offset aFrom,
          std::size_t aLimit,
          std::size_t aMaxBytes) -> std::vector<LogRecord>
{
  std::vector<LogRecord> page;
  const auto first = FirstOffset(aLog);
  std::size_t bytes = 0;
  for (auto i = aFrom > first ? aFrom - first : 0;
       i < aLog.mRecords.size() && page.size() < aLimit;
       ++i) {
    const auto& record = aLog.mRecords[i];
    bytes += record.mPayload.size();
    if (!page.empty() && bytes > aMaxBytes) {
      break;
    }
    page.push_back(record);
  }
  return page;
}

} // namespace mangovalve::standins
