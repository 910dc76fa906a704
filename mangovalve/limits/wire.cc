// Encodes and decodes the rate limiter's messages as peer frames.
#include "mangovalve/limits/wire.h"

#include <algorithm>
#include <cmath>

#include "mangovalve/peer/frame.h"

namespace mangovalve {
namespace {

// Durations are limited to one hour, as received values could overflow.
constexpr std::uint64_t kMaxMicros = 3600ULL * 1000 * 1000;

auto ToMicros(Duration aDuration) -> std::uint64_t
{
  const auto micros =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  return std::min(
    kMaxMicros, static_cast<std::uint64_t>(std::max<std::int64_t>(micros, 0)));
}

auto FromMicros(std::uint64_t aMicros) -> Duration
{
  return std::chrono::microseconds(std::min(aMicros, kMaxMicros));
}

auto IsAmount(double aValue) -> bool
{
  return std::isfinite(aValue) && aValue >= 0;
}

struct Encoder
{
  const std::string& mFrom;
  flatbuffers::FlatBufferBuilder mBuilder{};

  auto operator()(const LeaseRequest& aMessage) -> std::string
  {
    return peer::Encode(
      mFrom,
      mBuilder,
      peer::CreateLeaseRequest(mBuilder, aMessage.mSequence, aMessage.mGroups));
  }
  auto operator()(const LeaseGrant& aMessage) -> std::string
  {
    return peer::Encode(mFrom,
                        mBuilder,
                        peer::CreateLeaseGrant(mBuilder,
                                               aMessage.mSequence,
                                               aMessage.mGroups,
                                               aMessage.mRevision,
                                               aMessage.mConfirmed,
                                               ToMicros(aMessage.mLease),
                                               ToMicros(aMessage.mRetry)));
  }
  auto operator()(const TokenRequest& aMessage) -> std::string
  {
    std::vector<flatbuffers::Offset<peer::TokenDemand>> demands;
    for (const auto& demand : aMessage.mDemands) {
      demands.push_back(
        peer::CreateTokenDemand(mBuilder,
                                demand.mId,
                                mBuilder.CreateString(demand.mTeam),
                                demand.mCost,
                                ToMicros(demand.mWait),
                                demand.mPrefetch));
    }
    return peer::Encode(
      mFrom,
      mBuilder,
      peer::CreateTokenRequest(mBuilder, mBuilder.CreateVector(demands)));
  }
  auto operator()(const TokenGrant& aMessage) -> std::string
  {
    std::vector<flatbuffers::Offset<peer::TokenGrantEntry>> entries;
    for (const auto& entry : aMessage.mEntries) {
      entries.push_back(peer::CreateTokenGrantEntry(
        mBuilder,
        entry.mId,
        static_cast<peer::TokenStatus>(entry.mStatus),
        ToMicros(entry.mValid),
        ToMicros(entry.mRetryAfter),
        entry.mPrefetch,
        ToMicros(entry.mPrefetchValid)));
    }
    return peer::Encode(mFrom,
                        mBuilder,
                        peer::CreateTokenGrant(mBuilder,
                                               aMessage.mHolding,
                                               mBuilder.CreateVector(entries)));
  }
};

auto Decode(const peer::TokenRequest& aMessage) -> std::optional<LimitMessage>
{
  TokenRequest request;
  if (aMessage.demands() != nullptr) {
    for (const auto* demand : *aMessage.demands()) {
      if (!IsAmount(demand->cost()) || !IsAmount(demand->prefetch())) {
        return std::nullopt;
      }
      request.mDemands.push_back({ demand->id(),
                                   demand->team()->str(),
                                   demand->cost(),
                                   FromMicros(demand->wait_us()),
                                   demand->prefetch() });
    }
  }
  return request;
}

auto Decode(const peer::TokenGrant& aMessage) -> std::optional<LimitMessage>
{
  TokenGrant grant;
  grant.mHolding = aMessage.holding();
  if (aMessage.entries() != nullptr) {
    for (const auto* entry : *aMessage.entries()) {
      if (entry->status() > peer::TokenStatus::MAX ||
          !IsAmount(entry->prefetch())) {
        return std::nullopt;
      }
      grant.mEntries.push_back({ entry->id(),
                                 static_cast<TokenStatus>(entry->status()),
                                 FromMicros(entry->valid_us()),
                                 FromMicros(entry->retry_after_us()),
                                 entry->prefetch(),
                                 FromMicros(entry->prefetch_valid_us()) });
    }
  }
  return grant;
}

} // namespace

auto EncodeLimitMessage(const std::string& aFrom, const LimitMessage& aMessage)
  -> std::string
{
  return std::visit(Encoder{ aFrom }, aMessage);
}

auto DecodeLimitMessage(const peer::Frame& aFrame)
  -> std::optional<LimitMessage>
{
  if (const auto* leaseRequest = aFrame.message_as_LeaseRequest()) {
    return LeaseRequest{ leaseRequest->sequence(), leaseRequest->groups() };
  }
  if (const auto* lease = aFrame.message_as_LeaseGrant()) {
    return LeaseGrant{ lease->sequence(),
                       lease->groups(),
                       lease->revision(),
                       lease->confirmed(),
                       FromMicros(lease->lease_us()),
                       FromMicros(lease->retry_us()) };
  }
  if (const auto* request = aFrame.message_as_TokenRequest()) {
    return Decode(*request);
  }
  if (const auto* grant = aFrame.message_as_TokenGrant()) {
    return Decode(*grant);
  }
  return std::nullopt;
}

} // namespace mangovalve
