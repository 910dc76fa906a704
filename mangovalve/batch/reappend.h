// Carrying: records that are still needed are appended again before the log's
// retention drops them: bodies of unfinished items until they are finished, and
// results for kResultRetention after their job has finished.
//
// Records are carried at half of the retention, which leaves the other half for
// outages of the log. One host per job carries; a second carrier does no harm,
// because a copy replaces only the record that is current.
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

// Whether aSelf carries for this job: the first holder in rendezvous order.
auto ReappendsFor(const Holders& aHolders,
                  const std::string& aSelf,
                  const JobKey& aKey) -> bool;

// Needed records below aBefore, at most aLimit, of jobs that aSelf carries for.
// The oldest come first.
auto RecordsToReappend(const BatchState& aState,
                       const Holders& aHolders,
                       const std::string& aSelf,
                       Offset aBefore,
                       std::size_t aLimit) -> std::vector<ReappendItem>;

// Carries up to aLimit records; returns how many were written.
auto ReappendRound(const BatchPorts& aPorts,
                   const std::string& aSelf,
                   std::size_t aLimit,
                   TimePoint aDeadline) -> std::size_t;

} // namespace mangovalve
