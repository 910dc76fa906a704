// Cold endpoints.
#include "mangovalve/routing/warmup.h"

#include <algorithm>
#include <cmath>

namespace mangovalve {
namespace {

// Requests that a cold endpoint may get in one second: kRateFactor * rate +
// kExtraRequests.
constexpr double kRateFactor = 1.5;
constexpr double kExtraRequests = 5;

// Groups of hosts with different views that may have senders at the same time.
constexpr double kGroups = 2;

// A second at the endpoint contains the requests of at most this many seconds
// at a sender: one, and kMaxSendDelay.
constexpr double kSendSpread =
  1 + std::chrono::duration<double>(kMaxSendDelay).count();

// Requests that a group may send in one second, for each of its senders. With
// fewer senders, most hosts could not use a cold endpoint; each one more costs
// a request.
constexpr double kRequestsPerSender = 3;

} // namespace

auto ApplyColdStatement(ColdStatement& aLatest,
                        ColdStatement aStatement,
                        Duration aTolerance) -> bool
{
  if (aStatement.mAt <= aLatest.mAt) {
    return false;
  }
  const auto wasCold = aLatest.mUntil > aStatement.mAt;
  const auto isCold = aStatement.mUntil > aStatement.mAt;
  const auto difference = aStatement.mUntil > aLatest.mUntil
                            ? aStatement.mUntil - aLatest.mUntil
                            : aLatest.mUntil - aStatement.mUntil;
  aLatest = aStatement;
  return wasCold != isCold || (isCold && difference > aTolerance);
}

auto IsCold(const ColdStatement& aLatest, TimePoint aNow) -> bool
{
  return aNow < aLatest.mUntil;
}

auto ShareOfWarmup(double aWarmupRate) -> WarmupShare
{
  const auto requests = (kRateFactor * aWarmupRate + kExtraRequests) / kGroups;
  const auto senders = std::max(1.0, std::floor(requests / kRequestsPerSender));
  WarmupShare share;
  // A sender that has been idle sends one request at once.
  share.mRate = std::min(aWarmupRate, (requests - senders) / kSendSpread);
  share.mSenders = static_cast<std::size_t>(senders);
  return share;
}

auto PartOfWarmup(std::string_view aEndpoint,
                  double aWarmupRate,
                  std::optional<double> aLimit,
                  const SenderView& aView) -> double
{
  if (2 * aView.mResponsive.size() < aView.mRegistered) {
    return 0;
  }
  const auto share = ShareOfWarmup(aWarmupRate);
  const auto rate = std::min(share.mRate, aLimit.value_or(share.mRate));
  const auto senders =
    std::min(share.mSenders, std::max<std::size_t>(1, aView.mRegistered));
  return RankAmongSenders(aEndpoint, aView) < senders
           ? std::max(rate, kMinEndpointRate) / static_cast<double>(senders)
           : 0;
}

} // namespace mangovalve
