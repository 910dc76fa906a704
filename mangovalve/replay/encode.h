// Encodes records into the payload of one append.
#pragma once

#include <string>
#include <vector>

#include "mangovalve/base/time.h"
#include "mangovalve/replay/journal.h"

namespace mangovalve {

// Serializes a record::RecordBatch. aStamp is the newest log time that the
// writer has seen in replay when it appends the batch.
auto EncodeBatch(const std::string& aWriter,
                 LogTime aStamp,
                 const std::vector<const RecordDraft*>& aRecords)
  -> std::string;

} // namespace mangovalve
