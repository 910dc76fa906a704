// State of the platform's store as PROTOCOL describes it: partitioned logs with
// offsets, conditional and fenced appends, keyed topics, and groups that share
// out partitions. Without network and with the time passed in, so that tests
// bring about expiry, rewinds and rebalances exactly.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangovalve/base/time.h"

namespace mangovalve::standin {

struct StoreLimits
{
  std::uint32_t mPartitions = 8; // of a new topic
  std::size_t mRecordBytes = 256UL << 10U;
  std::size_t mCallBytes = 2UL << 20U;
  std::size_t mTotalBytes = 400UL << 20U;
  Duration mRetention = std::chrono::seconds(300);
};

struct StoredRecord
{
  std::string mBytes;
  TimePoint mAppendedAt;
};

struct WriterState
{
  std::uint64_t mEpoch = 0;
  std::optional<std::uint64_t> mLastSequence;
  // First offset and end of the last appends, by sequence number.
  std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> mAnswers;
};

struct StorePartition
{
  std::uint64_t mFirst = 0; // offset of the oldest record kept
  std::deque<StoredRecord> mRecords;
  std::map<std::string, WriterState> mWriters;
  // Newest record of each key with its offset; keyed topics only.
  std::map<std::string, std::pair<std::string, std::uint64_t>> mNewest;
};

struct GroupMemberState
{
  TimePoint mExpiresAt;
  std::uint64_t mKnownGeneration = 0;
};

struct StoreGroup
{
  std::uint64_t mGeneration = 0;
  std::map<std::string, GroupMemberState> mMembers;
  // By topic and partition: the member it belongs to, and who still has to
  // give it up.
  struct Share
  {
    std::string mOwner;
    std::string mReleasing; // may still hold it; empty: nobody
    std::uint64_t mCommitted = 0;
  };
  std::map<std::pair<std::string, std::uint32_t>, Share> mShares;
};

struct KeyedStore
{
  StoreLimits mLimits;
  std::map<std::string, std::vector<StorePartition>> mTopics;
  std::map<std::string, StoreGroup> mGroups;
  std::size_t mBytes = 0;
};

struct AppendCall
{
  std::string mTopic;
  std::uint32_t mPartition = 0;
  std::optional<std::uint64_t> mAt;
  std::string mProducer; // empty: not fenced
  std::uint64_t mEpoch = 0;
  std::uint64_t mSequence = 0;
  std::vector<std::string> mRecords;
};

struct AppendAnswer
{
  unsigned mStatus = 200;
  std::string mWhy; // of a conflict
  std::uint64_t mOffset = 0;
  std::uint64_t mEnd = 0;
  std::uint64_t mExpected = 0; // sequence number
};

auto Append(KeyedStore& aStore, const AppendCall& aCall, TimePoint aNow)
  -> AppendAnswer;

// The partition, created with its topic; null when there is none.
auto FindPartition(KeyedStore& aStore,
                   const std::string& aTopic,
                   std::uint32_t aPartition) -> StorePartition*;

auto EndOf(const StorePartition& aPartition) -> std::uint64_t;

// Drops records older than the limit.
auto ExpireRecords(KeyedStore& aStore, TimePoint aNow) -> void;

// Forgets all records; keyed topics keep the newest of each key.
auto ForgetHistory(KeyedStore& aStore) -> void;

struct JoinAnswer
{
  std::uint64_t mGeneration = 0;
  std::vector<std::tuple<std::string, std::uint32_t, std::uint64_t>> mParts;
};

auto Join(KeyedStore& aStore,
          const std::string& aGroup,
          const std::string& aMember,
          const std::vector<std::string>& aTopics,
          Duration aTimeToLive,
          std::uint64_t aGeneration,
          TimePoint aNow) -> JoinAnswer;

auto Leave(KeyedStore& aStore,
           const std::string& aGroup,
           const std::string& aMember,
           TimePoint aNow) -> void;

// Deals all partitions of a group anew without anybody having asked.
auto Rebalance(StoreGroup& aGroup) -> void;

// Splits a body of length-prefixed records; nothing when it is malformed.
auto SplitRecords(const std::string& aBody)
  -> std::optional<std::vector<std::string>>;

} // namespace mangovalve::standin
