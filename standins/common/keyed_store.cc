// State of the platform's store.
#include "standins/common/keyed_store.h"

#include <algorithm>
#include <tuple>

namespace mangovalve::standin {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kAnswersKept = 5;

auto IsKeyed(const std::string& aTopic) -> bool
{
  return aTopic.starts_with("keyed.");
}

auto ApplyKeyed(StorePartition& aPartition,
                const std::string& aRecord,
                std::uint64_t aOffset) -> void
{
  const auto size = static_cast<unsigned char>(aRecord[0]);
  const auto key = aRecord.substr(1, size);
  const auto value = aRecord.substr(
    std::min<std::size_t>(aRecord.size(), static_cast<std::size_t>(size) + 1));
  if (value.empty()) {
    aPartition.mNewest.erase(key);
  } else {
    aPartition.mNewest[key] = { value, aOffset };
  }
}

// Checks a fenced append; a status other than 200 ends the call, and so does
// the answer to a repeated one.
auto CheckWriter(StorePartition& aPartition, const AppendCall& aCall)
  -> std::optional<AppendAnswer>
{
  auto& writer = aPartition.mWriters[aCall.mProducer];
  AppendAnswer answer;
  answer.mEnd = EndOf(aPartition);
  if (aCall.mEpoch < writer.mEpoch) {
    answer.mStatus = 409;
    answer.mWhy = "fenced";
    return answer;
  }
  if (aCall.mEpoch > writer.mEpoch) {
    writer = WriterState{ aCall.mEpoch, {}, {} };
  }
  if (aCall.mRecords.empty()) {
    return answer; // only sets the epoch
  }
  if (const auto known = writer.mAnswers.find(aCall.mSequence);
      known != writer.mAnswers.end()) {
    answer.mOffset = known->second.first;
    answer.mEnd = known->second.second;
    return answer;
  }
  if (writer.mLastSequence && aCall.mSequence != *writer.mLastSequence + 1) {
    answer.mStatus = 409;
    answer.mWhy = "seq";
    answer.mExpected = *writer.mLastSequence + 1;
    return answer;
  }
  return std::nullopt;
}

auto NoteWriter(StorePartition& aPartition,
                const AppendCall& aCall,
                const AppendAnswer& aAnswer) -> void
{
  auto& writer = aPartition.mWriters[aCall.mProducer];
  writer.mLastSequence = aCall.mSequence;
  writer.mAnswers[aCall.mSequence] = { aAnswer.mOffset, aAnswer.mEnd };
  while (writer.mAnswers.size() > kAnswersKept) {
    writer.mAnswers.erase(writer.mAnswers.begin());
  }
}

auto DropExpiredMembers(StoreGroup& aGroup, TimePoint aNow) -> void
{
  const auto count = aGroup.mMembers.size();
  std::erase_if(aGroup.mMembers, [&](const auto& aMember) {
    return aMember.second.mExpiresAt <= aNow;
  });
  if (aGroup.mMembers.size() != count) {
    Rebalance(aGroup);
  }
  for (auto& [part, share] : aGroup.mShares) {
    if (!aGroup.mMembers.contains(share.mReleasing)) {
      share.mReleasing.clear();
    }
  }
}

} // namespace

auto EndOf(const StorePartition& aPartition) -> std::uint64_t
{
  return aPartition.mFirst + aPartition.mRecords.size();
}

auto FindPartition(KeyedStore& aStore,
                   const std::string& aTopic,
                   std::uint32_t aPartition) -> StorePartition*
{
  auto& topic = aStore.mTopics[aTopic];
  if (topic.empty()) {
    const auto single = aTopic == "keyed.op" || aTopic == "keyed.servers" ||
                        aTopic == "keyed.status";
    topic.resize(single ? 1 : aStore.mLimits.mPartitions);
  }
  return aPartition < topic.size() ? &topic[aPartition] : nullptr;
}

auto Append(KeyedStore& aStore, const AppendCall& aCall, TimePoint aNow)
  -> AppendAnswer
{
  AppendAnswer answer;
  auto* partition = FindPartition(aStore, aCall.mTopic, aCall.mPartition);
  if (partition == nullptr) {
    answer.mStatus = 404;
    return answer;
  }
  answer.mEnd = EndOf(*partition);
  if (aCall.mAt && *aCall.mAt != answer.mEnd) {
    answer.mStatus = 412;
    return answer;
  }
  if (!aCall.mProducer.empty()) {
    if (auto decided = CheckWriter(*partition, aCall)) {
      return *decided;
    }
  }
  std::size_t bytes = 0;
  for (const auto& record : aCall.mRecords) {
    bytes += record.size();
    if (record.empty() || record.size() > aStore.mLimits.mRecordBytes) {
      answer.mStatus = 400;
      return answer;
    }
  }
  if (bytes > aStore.mLimits.mCallBytes) {
    answer.mStatus = 400;
    return answer;
  }
  if (aStore.mBytes + bytes > aStore.mLimits.mTotalBytes) {
    answer.mStatus = 507;
    return answer;
  }
  answer.mOffset = EndOf(*partition);
  for (const auto& record : aCall.mRecords) {
    if (IsKeyed(aCall.mTopic)) {
      ApplyKeyed(*partition, record, EndOf(*partition));
    }
    partition->mRecords.push_back({ record, aNow });
  }
  aStore.mBytes += bytes;
  answer.mEnd = EndOf(*partition);
  if (!aCall.mProducer.empty()) {
    NoteWriter(*partition, aCall, answer);
  }
  return answer;
}

auto ExpireRecords(KeyedStore& aStore, TimePoint aNow) -> void
{
  for (auto& [name, topic] : aStore.mTopics) {
    for (auto& partition : topic) {
      while (!partition.mRecords.empty() &&
             partition.mRecords.front().mAppendedAt +
                 aStore.mLimits.mRetention <=
               aNow) {
        aStore.mBytes -= partition.mRecords.front().mBytes.size();
        partition.mRecords.pop_front();
        ++partition.mFirst;
      }
    }
  }
}

auto ForgetHistory(KeyedStore& aStore) -> void
{
  for (auto& [name, topic] : aStore.mTopics) {
    for (auto& partition : topic) {
      partition.mFirst = EndOf(partition);
      partition.mRecords.clear();
    }
  }
  aStore.mBytes = 0;
}

auto Rebalance(StoreGroup& aGroup) -> void
{
  ++aGroup.mGeneration;
  if (aGroup.mMembers.empty()) {
    return;
  }
  std::size_t next = aGroup.mGeneration; // deals differently each time
  for (auto& [part, share] : aGroup.mShares) {
    auto member = aGroup.mMembers.begin();
    std::advance(member,
                 static_cast<std::ptrdiff_t>(next++ % aGroup.mMembers.size()));
    if (share.mOwner != member->first) {
      if (share.mReleasing.empty()) {
        share.mReleasing = share.mOwner;
      }
      share.mOwner = member->first;
    }
  }
}

auto Join(KeyedStore& aStore,
          const std::string& aGroup,
          const std::string& aMember,
          const std::vector<std::string>& aTopics,
          Duration aTimeToLive,
          std::uint64_t aGeneration,
          TimePoint aNow) -> JoinAnswer
{
  auto& group = aStore.mGroups[aGroup];
  for (const auto& topic : aTopics) {
    FindPartition(aStore, topic, 0);
    const auto count = aStore.mTopics[topic].size();
    for (std::uint32_t i = 0; i < count; ++i) {
      group.mShares.try_emplace({ topic, i });
    }
  }
  DropExpiredMembers(group, aNow);
  const auto added = !group.mMembers.contains(aMember);
  group.mMembers[aMember] = { aNow + aTimeToLive, aGeneration };
  if (added) {
    Rebalance(group);
  }
  JoinAnswer answer;
  answer.mGeneration = group.mGeneration;
  for (auto& [part, share] : group.mShares) {
    // A member that joins with the generation that took a partition from it
    // has given the partition up.
    if (share.mReleasing == aMember && aGeneration >= group.mGeneration) {
      share.mReleasing.clear();
    }
    if (share.mOwner == aMember &&
        (share.mReleasing.empty() || share.mReleasing == aMember)) {
      share.mReleasing.clear();
      answer.mParts.emplace_back(part.first, part.second, share.mCommitted);
    }
  }
  return answer;
}

auto Leave(KeyedStore& aStore,
           const std::string& aGroup,
           const std::string& aMember,
           TimePoint aNow) -> void
{
  auto& group = aStore.mGroups[aGroup];
  if (const auto member = group.mMembers.find(aMember);
      member != group.mMembers.end()) {
    member->second.mExpiresAt = aNow;
  }
  DropExpiredMembers(group, aNow);
}

auto SplitRecords(const std::string& aBody)
  -> std::optional<std::vector<std::string>>
{
  std::vector<std::string> records;
  std::size_t at = 0;
  while (at < aBody.size()) {
    if (aBody.size() - at < kLengthBytes) {
      return std::nullopt;
    }
    std::size_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
      length = (length << 8U) | static_cast<unsigned char>(aBody[at + i]);
    }
    at += kLengthBytes;
    if (length > aBody.size() - at) {
      return std::nullopt;
    }
    records.push_back(aBody.substr(at, length));
    at += length;
  }
  return records;
}

} // namespace mangovalve::standin
