// Limits that endpoints set on their own request rate.
#include "mangovalve/routing/endpoint_limit.h"

#include <algorithm>
#include <cmath>

#include "mangovalve/membership/rendezvous.h"
#include "mangovalve/routing/warmup.h"

namespace mangovalve {
namespace {

// Time in which a part of a limit allows aRequests requests.
auto TimeFor(double aRequests, double aPart) -> Duration
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aRequests / aPart));
}

auto SavedRequests(const EndpointLimit& aLimit) -> int
{
  return aLimit.mWarmupRate ? 1 : kSavedRequests;
}

} // namespace

auto ApplyStatement(EndpointLimit& aLimit,
                    LimitStatement aStatement,
                    TimePoint aNow) -> bool
{
  if (aStatement.mAt <= aLimit.mLatest.mAt) {
    return false;
  }
  const auto changed = aStatement.mRate != aLimit.mLatest.mRate;
  aLimit.mLatest = aStatement;
  if (changed) {
    aLimit.mChangedAt = aNow;
  }
  if (!IsLimited(aLimit)) {
    SetPart(aLimit, 0, aNow);
  }
  return changed;
}

auto SetWarmupRate(EndpointLimit& aLimit,
                   std::optional<double> aRate,
                   TimePoint aNow) -> void
{
  if (aRate && !aLimit.mWarmupRate) {
    aLimit.mColdSince = aNow;
    SetPart(aLimit, 0, aNow);
  }
  aLimit.mWarmupRate = aRate;
  if (!IsLimited(aLimit)) {
    SetPart(aLimit, 0, aNow);
  }
}

auto AllowedRate(const EndpointLimit& aLimit) -> std::optional<double>
{
  const auto& stated = aLimit.mLatest.mRate;
  const auto& warmup = aLimit.mWarmupRate;
  return stated && warmup ? std::min(*stated, *warmup)
                          : (stated ? stated : warmup);
}

auto IsLimited(const EndpointLimit& aLimit) -> bool
{
  return AllowedRate(aLimit).has_value();
}

auto SenderCount(double aRate, std::size_t aHosts) -> std::size_t
{
  const auto hosts = static_cast<double>(std::max<std::size_t>(1, aHosts));
  return static_cast<std::size_t>(
    std::clamp(1 + std::floor(aRate), 1.0, hosts));
}

auto RankAmongSenders(std::string_view aEndpoint, const SenderView& aView)
  -> std::size_t
{
  const auto self = RendezvousScore(aEndpoint, aView.mSelf);
  const auto before =
    std::count_if(aView.mResponsive.begin(),
                  aView.mResponsive.end(),
                  [&](const std::string& aHost) {
                    const auto score = RendezvousScore(aEndpoint, aHost);
                    return score != self ? score > self : aHost < aView.mSelf;
                  });
  return static_cast<std::size_t>(before);
}

auto PartOfLimit(std::string_view aEndpoint,
                 double aRate,
                 const SenderView& aView) -> double
{
  const auto rate = std::max(aRate, kMinEndpointRate);
  const auto senders = SenderCount(rate, aView.mRegistered);
  return RankAmongSenders(aEndpoint, aView) < senders
           ? rate / static_cast<double>(senders)
           : 0;
}

auto SetPart(EndpointLimit& aLimit, double aPart, TimePoint aNow) -> void
{
  if (aPart == aLimit.mPart) {
    return;
  }
  if (aPart <= 0) {
    aLimit.mNextAt = TimePoint::max();
  } else if (aLimit.mPart <= 0) {
    aLimit.mNextAt = aNow + TimeFor(1, aPart);
  } else if (aLimit.mNextAt > aNow) {
    // What is left of the wait shrinks or grows with the rate.
    const std::chrono::duration<double> left = aLimit.mNextAt - aNow;
    aLimit.mNextAt = aNow + TimeFor(left.count() * aLimit.mPart, aPart);
  }
  aLimit.mPart = aPart;
}

auto MaySend(const EndpointLimit& aLimit, LimitedUse aUse, TimePoint aNow)
  -> bool
{
  if (!IsLimited(aLimit)) {
    return true;
  }
  if (aLimit.mPart <= 0 || aNow < aLimit.mNextAt) {
    return false;
  }
  const auto available = aNow - aLimit.mNextAt;
  switch (aUse) {
    case LimitedUse::Needed:
      return true;
    case LimitedUse::Surplus:
      return available >= TimeFor(SavedRequests(aLimit) - 1, aLimit.mPart);
    case LimitedUse::Spare:
      return available >= TimeFor(SavedRequests(aLimit), aLimit.mPart);
  }
  return false;
}

auto MayStillSend(const EndpointLimit& aLimit,
                  TimePoint aChosenAt,
                  TimePoint aNow) -> bool
{
  return !aLimit.mWarmupRate ||
         (aChosenAt >= aLimit.mColdSince && aNow <= aChosenAt + kMaxSendDelay);
}

auto RecordSent(EndpointLimit& aLimit, TimePoint aNow) -> void
{
  if (!IsLimited(aLimit) || aLimit.mPart <= 0) {
    return;
  }
  const auto earliest = aNow - TimeFor(SavedRequests(aLimit) - 1, aLimit.mPart);
  aLimit.mNextAt =
    std::max(earliest, aLimit.mNextAt) + TimeFor(1, aLimit.mPart);
}

} // namespace mangovalve
