// FleetState: everything that all hosts agree on, as replayed from the log.
//
// ApplyEntry is the only writer. Hosts that applied the same offsets hold equal
// states, whatever the order or number of times in which entries reached them.
#pragma once

#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "mangovalve/base/id.h"
#include "mangovalve/base/result.h"
#include "mangovalve/batch/state.h"
#include "mangovalve/config/state.h"
#include "mangovalve/endpoint/command_state.h"
#include "mangovalve/membership/state.h"
#include "mangovalve/online/intent_state.h"

namespace mangovalve {

// First occurrence of a record id.
struct SeenRecord
{
  RecordContext mContext;
  Verdict mVerdict;
};

// Ids of the records applied within the deduplication window of log time.
struct SeenRecords
{
  absl::flat_hash_map<Id128, SeenRecord> mById;
  // Ids of mById in log order; their log times never decrease.
  std::deque<Id128> mInOrder;
};

struct FleetState
{
  Offset mNext = 0;   // offset of the next entry to apply
  LogTime mLogTime{}; // newest log time applied; never decreases
  SeenRecords mSeen;
  ConfigState mConfig;
  MemberState mMembers;
  BatchState mBatch;
  IntentState mIntents;
  CommandState mOrders;
};

// Serializes the whole state, for snapshots and for transfer to a peer. Equal
// states give equal bytes.
auto Save(const FleetState& aState) -> std::string;

// Restores a saved state; the error names what is malformed.
auto Load(std::string_view aData, FleetState& aState)
  -> Result<void, std::string>;

} // namespace mangovalve
