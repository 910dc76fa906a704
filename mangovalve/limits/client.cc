// Demands, grants and reachability of holders at the token client.
#include "mangovalve/limits/client.h"

#include <algorithm>
#include <cmath>

namespace mangovalve {
namespace {

// A longer time between ticks indicates that this process was paused, so that
// missing answers do not mean that their senders are unreachable.
constexpr auto kPauseThreshold = std::chrono::milliseconds(40);
// A holder's wait ends this long before the request's deadline, so that a grant
// arrives in time.
constexpr auto kDeadlineMargin = std::chrono::milliseconds(4);
constexpr auto kRequestRateWindow = std::chrono::milliseconds(500);

auto AddDemand(TokenClient& aClient,
               const LimitView& aView,
               const LimitSettings& aSettings,
               std::uint64_t aId,
               const std::string& aHost,
               TimePoint aNow,
               std::map<std::string, TokenRequest>& aRequests) -> void
{
  auto& waiter = aClient.mWaiters.at(aId);
  const auto wait = waiter.mDeadline - aNow - kDeadlineMargin;
  const auto demand = aClient.mNextId++;
  aClient.mPendingDemands[demand] = { aId,   waiter.mTeam, waiter.mCost,
                                      aHost, aNow,         false };
  waiter.mPendingDemands.push_back(demand);
  auto& team = aClient.mTeams[waiter.mTeam];
  auto prefetch = 0.0;
  if (aHost != aView.mHost) {
    const std::chrono::duration<double> valid = aSettings.mPrefetchValid;
    // A quarter of the tokens that this client would use during their validity.
    // With half of them, expired tokens caused 0.11% wrongful refusals at load
    // 1 and burst 100.
    prefetch = std::floor(team.mRequestRate * valid.count() / 4);
  }
  aRequests[aHost].mDemands.push_back({ demand,
                                        waiter.mTeam,
                                        waiter.mCost,
                                        std::max<Duration>(wait, {}),
                                        prefetch });
}

auto SendRequests(TokenClient& aClient,
                  std::map<std::string, TokenRequest>& aRequests,
                  TimePoint aNow,
                  ClientOutput& aOutput) -> void
{
  for (auto& [host, request] : aRequests) {
    auto& peer = aClient.mPeers[host];
    peer.mAwaitingSince = std::min(peer.mAwaitingSince, aNow);
    aOutput.mMessages.push_back({ host, std::move(request) });
  }
}

auto EraseWaiter(TokenClient& aClient, std::uint64_t aId) -> void
{
  const auto waiter = aClient.mWaiters.find(aId);
  if (waiter == aClient.mWaiters.end()) {
    return;
  }
  std::erase(aClient.mTeams[waiter->second.mTeam].mWaiting, aId);
  aClient.mWaiters.erase(waiter);
}

auto Decide(TokenClient& aClient, Decision aDecision, ClientOutput& aOutput)
  -> void
{
  EraseWaiter(aClient, aDecision.mWaiter);
  aOutput.mDecisions.push_back(aDecision);
}

// Takes aCost tokens from the oldest batch of prefetched tokens and sets
// aStartBy to its expiry; false if the batch has too few.
auto UsePrefetched(ClientTeam& aTeam,
                   double aCost,
                   TimePoint aNow,
                   TimePoint& aStartBy) -> bool
{
  while (!aTeam.mPrefetched.empty() &&
         (aTeam.mPrefetched.front().second <= aNow ||
          aTeam.mPrefetched.front().first <= 0)) {
    aTeam.mPrefetched.pop_front();
  }
  if (aTeam.mPrefetched.empty() || aTeam.mPrefetched.front().first < aCost) {
    return false;
  }
  aTeam.mPrefetched.front().first -= aCost;
  aStartBy = aTeam.mPrefetched.front().second;
  return true;
}

auto UpdateRequestRate(ClientTeam& aTeam, TimePoint aNow) -> void
{
  const std::chrono::duration<double> window = kRequestRateWindow;
  const std::chrono::duration<double> elapsed = aNow - aTeam.mRequestRateAt;
  aTeam.mRequestRate =
    aTeam.mRequestRate * std::exp(-elapsed.count() / window.count()) +
    1 / window.count();
  aTeam.mRequestRateAt = aNow;
}

// Assigns a grant to the waiter of the demand or, if that has been decided, to
// the first waiter of the team unless its cost is higher.
auto Grant(TokenClient& aClient,
           const PendingDemand& aDemand,
           TimePoint aStartBy,
           ClientOutput& aOutput) -> void
{
  auto id = aDemand.mWaiter;
  if (!aClient.mWaiters.contains(id)) {
    const auto& waiting = aClient.mTeams[aDemand.mTeam].mWaiting;
    if (waiting.empty() ||
        aClient.mWaiters.at(waiting.front()).mCost > aDemand.mCost) {
      return;
    }
    id = waiting.front();
  }
  Decide(aClient, { id, true, aStartBy, {} }, aOutput);
}

// Removes a refused demand; the waiter is refused if it was its last one.
auto Refuse(TokenClient& aClient,
            std::uint64_t aDemandId,
            const PendingDemand& aDemand,
            Duration aRetryAfter,
            ClientOutput& aOutput) -> void
{
  const auto waiter = aClient.mWaiters.find(aDemand.mWaiter);
  if (waiter == aClient.mWaiters.end()) {
    return;
  }
  std::erase(waiter->second.mPendingDemands, aDemandId);
  if (waiter->second.mPendingDemands.empty()) {
    Decide(aClient, { aDemand.mWaiter, false, {}, aRetryAfter }, aOutput);
  }
}

auto OnTokenEntry(TokenClient& aClient,
                  const TokenEntry& aEntry,
                  TimePoint aNow,
                  ClientOutput& aOutput) -> void
{
  const auto found = aClient.mPendingDemands.find(aEntry.mId);
  if (found == aClient.mPendingDemands.end()) {
    return;
  }
  if (aEntry.mStatus == TokenStatus::Queued) {
    found->second.mQueued = true;
    return;
  }
  const auto demand = found->second;
  aClient.mPendingDemands.erase(found);
  switch (aEntry.mStatus) {
    case TokenStatus::Refused:
      Refuse(aClient, aEntry.mId, demand, aEntry.mRetryAfter, aOutput);
      return;
    case TokenStatus::Moved: {
      // Tick sends a demand to the new holder.
      const auto waiter = aClient.mWaiters.find(demand.mWaiter);
      if (waiter != aClient.mWaiters.end()) {
        std::erase(waiter->second.mPendingDemands, aEntry.mId);
      }
      return;
    }
    default:
      break;
  }
  const auto until = demand.mSentAt + aEntry.mPrefetchValid;
  if (aEntry.mPrefetch > 0 && aNow < until) {
    aClient.mTeams[demand.mTeam].mPrefetched.emplace_back(aEntry.mPrefetch,
                                                          until);
  }
  const auto startBy = demand.mSentAt + aEntry.mValid;
  if (aNow <= startBy) {
    Grant(aClient, demand, startBy, aOutput);
    return;
  }
  // The grant has expired; Tick sends a new demand.
  const auto waiter = aClient.mWaiters.find(demand.mWaiter);
  if (waiter != aClient.mWaiters.end()) {
    std::erase(waiter->second.mPendingDemands, aEntry.mId);
  }
}

// Hosts that may need a probe: candidates preferred over the selected holder of
// each recently used group, which may become its holder, and hosts with pending
// demands.
auto ProbeCandidates(const TokenClient& aClient,
                     const LimitView& aView,
                     TimePoint aNow) -> std::map<std::string, bool>
{
  std::map<std::string, bool> hosts; // true: probe at every interval
  for (std::uint8_t group = 0; group < kGroups; ++group) {
    const auto& order = aView.mHolderCandidates.at(group);
    if (order.empty() || aClient.mLastRequestAt.at(group) == TimePoint() ||
        aNow - aClient.mLastRequestAt.at(group) > std::chrono::seconds(5)) {
      continue;
    }
    const auto target = SelectHolder(aClient, aView, group);
    for (const auto& host : order) {
      if (host == target) {
        break;
      }
      hosts[host] = true;
    }
  }
  for (const auto& [id, demand] : aClient.mPendingDemands) {
    hosts.try_emplace(demand.mHost, false);
  }
  return hosts;
}

auto Probe(TokenClient& aClient,
           const LimitView& aView,
           const LimitSettings& aSettings,
           TimePoint aNow,
           ClientOutput& aOutput) -> void
{
  std::map<std::string, TokenRequest> requests;
  for (const auto& [host, always] : ProbeCandidates(aClient, aView, aNow)) {
    auto& peer = aClient.mPeers[host];
    const auto silent = aNow - peer.mHeardAt >= aSettings.mAnswerTimeout &&
                        peer.mAwaitingSince == TimePoint::max();
    if ((silent || always) &&
        aNow - peer.mProbedAt >= aSettings.mProbeInterval) {
      peer.mProbedAt = aNow;
      requests.try_emplace(host);
    }
  }
  SendRequests(aClient, requests, aNow, aOutput);
}

auto DetectUnreachableHosts(TokenClient& aClient,
                            const LimitView& aView,
                            const LimitSettings& aSettings,
                            TimePoint aNow) -> void
{
  const auto paused = aClient.mTickedAt != TimePoint() &&
                      aNow - aClient.mTickedAt > kPauseThreshold;
  aClient.mTickedAt = aNow;
  for (auto& [host, peer] : aClient.mPeers) {
    if (peer.mAwaitingSince == TimePoint::max() || host == aView.mHost) {
      continue;
    }
    if (paused) {
      peer.mAwaitingSince = aNow;
    } else if (aNow - peer.mAwaitingSince >= aSettings.mAnswerTimeout) {
      peer.mUnreachable = true;
      peer.mHolding = 0;
    }
  }
}

} // namespace

auto UnreachableHosts(const TokenClient& aClient) -> std::vector<std::string>
{
  std::vector<std::string> hosts;
  for (const auto& [host, peer] : aClient.mPeers) {
    if (peer.mUnreachable) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

auto SelectHolder(const TokenClient& aClient,
                  const LimitView& aView,
                  std::uint8_t aGroup) -> std::string
{
  const auto& order = aView.mHolderCandidates.at(aGroup);
  const std::string* fallback = nullptr;
  for (const auto& host : order) {
    const auto peer = aClient.mPeers.find(host);
    const auto known = peer != aClient.mPeers.end();
    if (known && peer->second.mUnreachable) {
      continue;
    }
    if (known && Contains(peer->second.mHolding, aGroup)) {
      return host;
    }
    fallback = fallback == nullptr ? &host : fallback;
  }
  return fallback != nullptr ? *fallback
         : order.empty()     ? std::string()
                             : order.front();
}

auto Acquire(TokenClient& aClient,
             const LimitView& aView,
             const LimitSettings& aSettings,
             const std::string& aTeam,
             double aCost,
             TimePoint aDeadline,
             TimePoint aNow,
             ClientOutput& aOutput) -> std::uint64_t
{
  const auto id = aClient.mNextId++;
  const auto group = GroupOf(aTeam);
  const auto target = SelectHolder(aClient, aView, group);
  if (target.empty() || aClient.mWaiters.size() >= kMaxWaiters) {
    aOutput.mDecisions.push_back({ id, false, {}, std::chrono::seconds(1) });
    return id;
  }
  aClient.mLastRequestAt.at(group) = aNow;
  auto& team = aClient.mTeams[aTeam];
  UpdateRequestRate(team, aNow);
  TimePoint startBy{};
  if (team.mWaiting.empty() && UsePrefetched(team, aCost, aNow, startBy)) {
    aOutput.mDecisions.push_back({ id, true, startBy, {} });
    return id;
  }
  aClient.mWaiters[id] = { aTeam, aCost, aDeadline, {} };
  team.mWaiting.push_back(id);
  std::map<std::string, TokenRequest> requests;
  AddDemand(aClient, aView, aSettings, id, target, aNow, requests);
  SendRequests(aClient, requests, aNow, aOutput);
  return id;
}

auto OnTokenGrant(TokenClient& aClient,
                  const std::string& aFrom,
                  const TokenGrant& aGrant,
                  TimePoint aNow,
                  ClientOutput& aOutput) -> void
{
  auto& peer = aClient.mPeers[aFrom];
  peer.mHeardAt = aNow;
  peer.mAwaitingSince = TimePoint::max();
  peer.mUnreachable = false;
  peer.mHolding = aGrant.mHolding;
  for (const auto& entry : aGrant.mEntries) {
    OnTokenEntry(aClient, entry, aNow, aOutput);
  }
}

auto Tick(TokenClient& aClient,
          const LimitView& aView,
          const LimitSettings& aSettings,
          TimePoint aNow,
          ClientOutput& aOutput) -> void
{
  std::vector<std::uint64_t> expired;
  for (const auto& [id, waiter] : aClient.mWaiters) {
    if (waiter.mDeadline <= aNow) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    Decide(aClient, { id, false, {}, aSettings.mRenewalInterval }, aOutput);
  }
  // A demand without a waiter is erased after 2 s: its holder's wait has ended
  // and no answer is expected.
  std::erase_if(aClient.mPendingDemands, [&](const auto& aDemand) {
    return !aClient.mWaiters.contains(aDemand.second.mWaiter) &&
           aNow - aDemand.second.mSentAt > std::chrono::seconds(2);
  });
  DetectUnreachableHosts(aClient, aView, aSettings, aNow);
  std::map<std::string, TokenRequest> requests;
  for (auto& [id, waiter] : aClient.mWaiters) {
    const auto target = SelectHolder(aClient, aView, GroupOf(waiter.mTeam));
    const auto pending = std::any_of(
      waiter.mPendingDemands.begin(),
      waiter.mPendingDemands.end(),
      [&](const auto aDemand) {
        const auto demand = aClient.mPendingDemands.find(aDemand);
        return demand != aClient.mPendingDemands.end() &&
               demand->second.mHost == target &&
               (demand->second.mQueued ||
                aNow - demand->second.mSentAt < aSettings.mAnswerTimeout);
      });
    if (!pending && !target.empty()) {
      AddDemand(aClient, aView, aSettings, id, target, aNow, requests);
    }
  }
  SendRequests(aClient, requests, aNow, aOutput);
  Probe(aClient, aView, aSettings, aNow, aOutput);
}

} // namespace mangovalve
