// Follows one table of the store: loads the newest record of each key, then
// applies changes, and loads again when the changes have expired.
//
// While the store does not answer, what was learned last stays in force.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "mangovalve/serving/tables.h"

namespace mangovalve {

struct FollowPolicy
{
  // Start of a read to the start of the next; also how long a held read waits.
  Duration mInterval = std::chrono::milliseconds(500);
  bool mLongPoll = false; // the store holds the read until there is a record
  // A read that is not held takes some milliseconds; a store that is slower
  // than this counts as away, and a silent connection is noticed.
  Duration mAnswerTimeout = std::chrono::milliseconds(700);
};

struct FollowSinks
{
  // The whole table; keys that are missing are gone.
  std::function<void(const std::vector<KeyedRecord>&)> mReplace;
  // One change, in order.
  std::function<void(const KeyedRecord&)> mApply;
  // Whether the store answered; called after each read.
  std::function<void(bool aAnswered)> mContact;
};

// Runs until the loop stops.
auto FollowTable(const TablePorts& aPorts,
                 Table aTable,
                 FollowPolicy aPolicy,
                 FollowSinks aSinks) -> Task<>;

} // namespace mangovalve
