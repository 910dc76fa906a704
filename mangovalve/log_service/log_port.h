// Access to the platform's append-only log, as a struct of functions, so that
// tests pass fakes. An append is attempted at least once when mAppend returns
// OutcomeUnknown; it may still take effect later.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "mangovalve/base/id.h"
#include "mangovalve/base/result.h"
#include "mangovalve/base/time.h"

namespace mangovalve {

struct PlatformError
{
  enum class Kind
  {
    NotSent,        // no byte reached the platform; nothing took effect
    Rejected,       // answered 429 or 503: nothing took effect
    OutcomeUnknown, // sent, no usable answer
    Malformed,      // the answer cannot be parsed
  };
  Kind mKind = Kind::NotSent;
  std::string mMessage;
};

struct LogEntry
{
  Offset mOffset = 0;
  LogTime mTime{};
  std::string mPayload; // serialized record::RecordBatch
};

struct LogPage
{
  Offset mFirstOffset = 0; // oldest offset still retained
  Offset mNextOffset = 0;  // offset of the next append
  std::vector<LogEntry> mEntries;
};

struct LogPort
{
  std::function<auto(const std::string& aPayload, TimePoint aDeadline)
                  ->Result<Offset, PlatformError>>
    mAppend;
  // Entries from aFrom on, at most aLimit; waits until aDeadline for the first.
  std::function<auto(Offset aFrom, std::size_t aLimit, TimePoint aDeadline)
                  ->Result<LogPage, PlatformError>>
    mRead;
};

} // namespace mangovalve
