// Interface to the platform's keyed tables: reads of the newest record of each
// key, reads of the changes since an offset, and appends fenced to the current
// writer of a partition.
//
// The platform adapter supplies the functions; tests supply fakes. Every call
// has a deadline.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mangovalve/base/id.h"
#include "mangovalve/base/result.h"
#include "mangovalve/base/time.h"
#include "mangovalve/loop/asio.h"

namespace mangovalve {

enum class Table
{
  Configuration, // written by operators
  Endpoints,     // written by the endpoints themselves
  Hosts,         // one record for each daemon
  Jobs,          // batch jobs and results; partitioned by team
  Quarantines,   // parts of prompts that crash endpoints
};

enum class TableErrorKind
{
  NotApplied, // the call was refused for now, or never sent
  Rejected,   // the append is invalid and will be refused again
  Unknown,    // no response: the call may have been or may yet be executed
  Fenced,     // a writer with a higher token has written
  Sequence,   // not the next sequence number, which is mExpected
  Moved,      // the partition does not end at the offset that was named
  Expired,    // the requested records have been deleted
  Full,       // the store accepts no more bytes
};

struct TableError
{
  TableErrorKind mKind = TableErrorKind::Unknown;
  std::uint64_t mExpected = 0;
};

template<typename T>
using TableResult = Result<T, TableError>;

struct KeyedRecord
{
  std::string mKey;
  std::string mValue; // empty: the key is deleted
  Offset mOffset = 0; // set on records that were read
};

struct TablePage
{
  std::vector<KeyedRecord> mRecords;
  bool mMore = false; // further pages follow after the last key
  Offset mEnd = 0;
};

struct TableChanges
{
  std::vector<KeyedRecord> mRecords;
  Offset mNext = 0; // offset of the next read
};

// Identifies a writer of one partition. The store refuses a token lower than
// the highest that it has seen, and answers a repeated sequence number with the
// original response.
struct WriterFence
{
  std::string mWriter;
  std::uint64_t mToken = 0;
  std::uint64_t mSequence = 0;
  // If set, the append is refused unless the partition ends here.
  std::optional<Offset> mEndsAt;
};

struct GroupAssignment
{
  std::uint64_t mGeneration = 0;
  // Partitions of Table::Jobs that are assigned to this member.
  std::vector<std::uint32_t> mPartitions;
};

struct TablePorts
{
  std::function<auto(Table,
                     std::uint32_t aPartition,
                     std::string aAfterKey,
                     TimePoint aDeadline)
                  ->Task<TableResult<TablePage>>>
    mNewest;
  // Long poll: returns at aWaitUntil at the latest, also without a record.
  std::function<auto(Table,
                     std::uint32_t aPartition,
                     Offset aFrom,
                     TimePoint aWaitUntil,
                     TimePoint aDeadline)
                  ->Task<TableResult<TableChanges>>>
    mChanges;
  // Appends all records or none, and returns the offset at which the partition
  // ends. Without records, it only sets the fence token.
  std::function<auto(Table,
                     std::uint32_t aPartition,
                     std::vector<KeyedRecord>,
                     std::optional<WriterFence>,
                     TimePoint aDeadline)
                  ->Task<TableResult<Offset>>>
    mAppend;
  // Joins the consumer group that assigns the job partitions, or renews the
  // membership.
  std::function<auto(std::string aMember,
                     Duration aTimeToLive,
                     std::uint64_t aGeneration,
                     TimePoint aDeadline)
                  ->Task<TableResult<GroupAssignment>>>
    mJoin;
  std::function<
    auto(std::string aMember, TimePoint aDeadline)->Task<TableResult<void>>>
    mLeave;

  std::uint32_t mJobPartitions = 1;
  std::size_t mMaxRecordBytes = 256UL << 10U;
  std::size_t mMaxCallBytes = 2UL << 20U;
};

} // namespace mangovalve
