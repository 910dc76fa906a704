// The arguments of every module's Apply function other than the record: the
// record's position and log time. A verdict may depend only on these, the
// record and the state before it; otherwise hosts would diverge.
#pragma once

#include <cstdint>
#include <string>

#include "mangovalve/base/id.h"
#include "mangovalve/base/time.h"

namespace mangovalve {

// Position of a record, i.e. the offset of its log entry and its index within
// the batch, and the log time of the entry.
struct RecordContext
{
  Offset mOffset = 0;
  std::uint32_t mIndex = 0;
  LogTime mTime{};
};

// Outcome of a record, the same on every host.
struct Verdict
{
  bool mAccepted = false;
  std::string mReason;       // stable error code; empty when accepted
  std::uint64_t mDetail = 0; // e.g. the current revision of a conflict
};

inline auto Accepted(std::uint64_t aDetail = 0) -> Verdict
{
  return { true, {}, aDetail };
}

inline auto Rejected(std::string aReason, std::uint64_t aDetail = 0) -> Verdict
{
  return { false, std::move(aReason), aDetail };
}

} // namespace mangovalve
