// The platform's keyed tables as the serving path needs them: the newest
// record of each key, the changes since an offset, and appends that only the
// current writer of a partition can make.
//
// The adapter fills the ports; tests pass fakes. A deadline bounds every call.
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
  Jobs,          // batch jobs and results, partitioned by team
};

enum class TableErrorKind
{
  NotApplied, // the call was refused or never sent
  Unknown,    // no answer: it may have been executed, or may be later
  Fenced,     // a writer with a higher token has written
  Sequence,   // not the next sequence number; mExpected is
  Expired,    // the records asked for are gone
  Full,       // the store takes no more bytes
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
  std::string mValue; // empty: the key is dropped
  Offset mOffset = 0; // set on records read
};

struct TablePage
{
  std::vector<KeyedRecord> mRecords;
  bool mMore = false; // go on after the last key
  Offset mEnd = 0;
};

struct TableChanges
{
  std::vector<KeyedRecord> mRecords;
  Offset mNext = 0; // where the next read goes on
};

// Identifies a writer of one partition. The store refuses a token lower than
// one that it has seen, and answers a repeated sequence number as it did the
// first time.
struct WriterFence
{
  std::string mWriter;
  std::uint64_t mToken = 0;
  std::uint64_t mSequence = 0;
};

struct GroupAssignment
{
  std::uint64_t mGeneration = 0;
  std::vector<std::uint32_t> mPartitions; // of Table::Jobs, held by this member
};

struct TablePorts
{
  std::function<auto(Table,
                     std::uint32_t aPartition,
                     std::string aAfterKey,
                     TimePoint aDeadline)
                  ->Task<TableResult<TablePage>>>
    mNewest;
  // Waits for a record until aWaitUntil.
  std::function<auto(Table,
                     std::uint32_t aPartition,
                     Offset aFrom,
                     TimePoint aWaitUntil,
                     TimePoint aDeadline)
                  ->Task<TableResult<TableChanges>>>
    mChanges;
  // All records or none. No records: only sets the fence's token.
  std::function<auto(Table,
                     std::uint32_t aPartition,
                     std::vector<KeyedRecord>,
                     std::optional<WriterFence>,
                     TimePoint aDeadline)
                  ->Task<TableResult<void>>>
    mAppend;
  // Joins the group that shares out the job partitions, or stays in it.
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
