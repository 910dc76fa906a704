// Re-appends records that are still needed before the log's retention drops
// them: bodies of unfinished items, and results until kResultRetention after
// their job has finished.
//
// Records are re-appended at half of the retention, which leaves the other half
// for outages of the log. One host is responsible for each job. Two hosts that
// re-append the same record do no harm, because a copy replaces only the
// current position of the record that it repeats.
#pragma once

#include <string>
#include <vector>

#include "mangovalve/batch/ports.h"

namespace mangovalve {

struct ReappendItem
{
  JobKey mKey;
  Position mPosition = 0;
  bool mResults = false;    // result record, otherwise bodies
  std::uint32_t mChunk = 0; // results only
};

// Whether aSelf re-appends the records of this job: it is the first holder in
// rendezvous order.
auto ReappendsFor(const Holders& aHolders,
                  const std::string& aSelf,
                  const JobKey& aKey) -> bool;

// At most aLimit needed records before the offset aBefore, oldest first, of
// jobs for which aSelf is responsible.
auto RecordsToReappend(const BatchState& aState,
                       const Holders& aHolders,
                       const std::string& aSelf,
                       Offset aBefore,
                       std::size_t aLimit) -> std::vector<ReappendItem>;

// Re-appends up to aLimit records and returns how many copies were accepted.
auto ReappendRound(const BatchPorts& aPorts,
                   const std::string& aSelf,
                   std::size_t aLimit,
                   TimePoint aDeadline) -> std::size_t;

} // namespace mangovalve
