// Keeps quarantines in the store, so that a fleet whose hosts are all killed at
// once still refuses the requests that crash endpoints.
//
// Each host reads the table once when it starts; afterwards its peers tell it
// of new quarantines. The two most preferred responsive hosts of each failure
// domain write a quarantine, the second one somewhat later. Another host takes
// their place when they stop responding. A record that is written twice does no
// harm.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangovalve/batch/item_run_time.h"
#include "mangovalve/serving/state.h"
#include "mangovalve/serving/tables.h"

namespace mangovalve {

// Key of the record of a quarantine; the same on every host.
auto QuarantineKey(const PartSet& aParts) -> std::string;

// aWallNow is the wall-clock time at aNow.
auto PackQuarantine(const Quarantine& aQuarantine,
                    WallTime aWallNow,
                    TimePoint aNow) -> std::string;

// Nullopt if the bytes are no record.
auto UnpackQuarantine(const std::string& aBytes,
                      WallTime aWallNow,
                      TimePoint aNow) -> std::optional<Quarantine>;

// What this host knows of the table.
struct StoredQuarantines
{
  std::map<std::string, TimePoint> mStored; // until when; by key
  // When a difference between the table and CrashSuspects was first seen.
  std::map<std::string, TimePoint> mDifferentSince;
};

// Adopts the records of the table.
auto AdoptRecords(StoredQuarantines& aStored,
                  ServingState& aState,
                  const std::vector<KeyedRecord>& aRecords,
                  WallTime aWallNow,
                  TimePoint aNow) -> void;

// Records that this host has to write now: new and prolonged quarantines, and
// deletions of those that have ended. At most one call's worth.
auto RecordsToWrite(StoredQuarantines& aStored,
                    const ServingState& aState,
                    WallTime aWallNow,
                    TimePoint aNow) -> std::vector<KeyedRecord>;

// Takes note that the records have been written.
auto MarkWritten(StoredQuarantines& aStored,
                 const std::vector<KeyedRecord>& aRecords,
                 WallTime aWallNow,
                 TimePoint aNow) -> void;

// Reads the table, retrying until the store answers, then writes changes until
// the loop stops. Both must outlive the task.
auto KeepQuarantines(ServingState& aState, const TablePorts& aTables) -> Task<>;

} // namespace mangovalve
