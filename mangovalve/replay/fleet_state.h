// FleetState: the replicated state of the fleet, rebuilt by replaying the log.
//
// Only ApplyEntry modifies it. Hosts that have applied the same offsets hold
// equal states, regardless of the order in which, and how often, they received
// the entries.
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
  CommandState mCommands;
};

// Serializes the whole state, for snapshots and for transfer to a peer. Equal
// states have equal serializations.
auto Save(const FleetState& aState) -> std::string;

// Restores a saved state. On failure aState is unchanged and the error says
// what is malformed.
auto Load(std::string_view aData, FleetState& aState)
  -> Result<void, std::string>;

} // namespace mangovalve
