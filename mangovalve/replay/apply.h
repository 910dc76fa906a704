// Applies log entries to the FleetState.
//
// Application is deterministic: a verdict depends only on the entry and the
// state before it. Entries are applied strictly in offset order, and offsets
// are contiguous.
#pragma once

#include <vector>

#include "mangovalve/log_service/log_port.h"
#include "mangovalve/replay/fleet_state.h"

namespace mangovalve {

// How long, in log time, a record id is kept for deduplication, and how long
// after its stamp a batch may still take effect. A writer whose batch was
// appended later than that sees its records as Expired in replay and appends
// them again under a new stamp.
constexpr std::chrono::milliseconds kDeduplicationWindow{ 60000 };

// One record of an applied entry.
struct AppliedRecord
{
  enum class Kind
  {
    First,     // mVerdict is the record's verdict
    Duplicate, // mContext and mVerdict are those of the first occurrence
    Expired,   // no effect; may be appended again under a new stamp
  };
  Kind mKind = Kind::First;
  Id128 mId;
  record::RecordBody mType = record::RecordBody::NONE;
  RecordContext mContext;
  Verdict mVerdict;
};

struct ApplyOutcome
{
  enum class Kind
  {
    Applied,
    Stale,     // offset below mNext: already applied, no effect
    Gap,       // offset above mNext: no effect, earlier entries are missing
    Malformed, // not a valid batch: every host skips it
  };
  Kind mKind = Kind::Applied;
  std::vector<AppliedRecord> mRecords;
};

// Returns the batch in a payload, or null when it is malformed. The pointer is
// valid as long as the payload.
auto VerifiedBatch(const std::string& aPayload) -> const record::RecordBatch*;

// Verifies and applies one entry.
auto ApplyEntry(FleetState& aState, const LogEntry& aEntry) -> ApplyOutcome;

} // namespace mangovalve
