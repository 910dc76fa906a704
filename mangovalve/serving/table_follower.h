// Keeps a copy of one table of the store up to date: loads the newest record of
// each key, then applies changes, and reloads when the changes have expired.
//
// While the store is unavailable, the last known records stay valid.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "mangovalve/serving/tables.h"

namespace mangovalve {

struct FollowPolicy
{
  // Time between the starts of two reads; also the duration of a long poll.
  Duration mInterval = std::chrono::milliseconds(500);
  bool mLongPoll = false; // reads wait at the store until a record arrives
  // A read that does not wait takes a few milliseconds. After this time the
  // store counts as unavailable, which also detects an unresponsive connection.
  Duration mResponseTimeout = std::chrono::milliseconds(700);
};

struct FollowSinks
{
  // Receives the whole table; missing keys have been deleted. All changes below
  // aAsOf are included, and later ones may be.
  std::function<void(const std::vector<KeyedRecord>&, Offset aAsOf)> mReplace;
  // Receives one change; changes arrive in order. The table is then known as of
  // the offset after that of the record.
  std::function<void(const KeyedRecord&)> mApply;
  // Called after each read; tells whether the store answered.
  std::function<void(bool aAnswered)> mContact;
  // Receives each page while the table is being loaded, before mReplace; may be
  // empty. So a daemon can start to serve with a part of a large table.
  std::function<void(const std::vector<KeyedRecord>&)> mPage = {};
};

// Keeps the sinks up to date until the loop stops.
auto FollowTable(const TablePorts& aPorts,
                 Table aTable,
                 FollowPolicy aPolicy,
                 FollowSinks aSinks) -> Task<>;

} // namespace mangovalve
