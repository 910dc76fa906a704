// Fair queue: deficit round robin between teams.
#include "mangovalve/routing/fair_queue.h"

#include <algorithm>

namespace mangovalve {
namespace {

using Seconds = std::chrono::duration<double>;

// Ends the turn of the team at the front.
auto EndTurn(FairQueue& aQueue) -> void
{
  auto team = std::move(aQueue.mRound.front());
  aQueue.mRound.pop_front();
  aQueue.mFrontTeamCredited = false;
  const auto found = aQueue.mTeams.find(team);
  if (found->second.mTickets.empty()) {
    // A team without tickets loses its deficit, so that none accumulates while
    // the team is idle.
    aQueue.mTeams.erase(found);
  } else {
    aQueue.mRound.push_back(std::move(team));
  }
}

auto NoteDispatch(FairQueue& aQueue,
                  double aWork,
                  const FairQueuePolicy& aPolicy,
                  TimePoint aNow) -> void
{
  const auto elapsed = Seconds(aNow - aQueue.mLastDispatch).count();
  // Gaps without waiting tickets reflect the arrival rate, not the service
  // rate.
  if (aQueue.mBacklogged) {
    // Time and work are averaged separately, because the mean of their ratios
    // would be dominated by dispatches in quick succession.
    const auto decay = aPolicy.mServiceRateDecay;
    aQueue.mMeanWork = aQueue.mMeanWork * decay + aWork * (1 - decay);
    aQueue.mMeanGap =
      aQueue.mMeanGap * decay + std::max(elapsed, 1e-6) * (1 - decay);
  }
  aQueue.mLastDispatch = aNow;
  aQueue.mBacklogged = aQueue.mTicketCount > 0;
}

// Removes the team's first ticket.
auto PopFrontTicket(FairQueue& aQueue, TeamQueue& aTeam) -> void
{
  aTeam.mQueuedWork -= aTeam.mTickets.front().mWork;
  aTeam.mTickets.pop_front();
  --aQueue.mTicketCount;
}

} // namespace

auto ExpectedWait(const FairQueue& aQueue,
                  const std::string& aTeam,
                  double aWeight) -> Duration
{
  if (aQueue.mMeanGap <= 0 || aQueue.mTeams.empty()) {
    return Duration::zero();
  }
  const auto rate = aQueue.mMeanWork / aQueue.mMeanGap;
  const auto own = aQueue.mTeams.find(aTeam);
  const auto ahead = own == aQueue.mTeams.end() ? 0 : own->second.mQueuedWork;
  const auto rounds = ahead / std::max(aWeight, 1e-9);
  // While the team's own work is served, every other team gets its share of
  // each round, but no more than its queued work.
  auto work = ahead;
  for (const auto& [name, team] : aQueue.mTeams) {
    if (name != aTeam) {
      work += std::min(team.mQueuedWork, rounds * team.mWeight);
    }
  }
  return std::chrono::duration_cast<Duration>(Seconds(work / rate));
}

auto Enqueue(FairQueue& aQueue,
             const std::string& aTeam,
             double aWeight,
             const Ticket& aTicket,
             const FairQueuePolicy& aPolicy,
             TimePoint aNow) -> QueueVerdict
{
  const auto found = aQueue.mTeams.find(aTeam);
  if (found != aQueue.mTeams.end() &&
      found->second.mTickets.size() >= aPolicy.mMaxPerTeam) {
    return QueueVerdict::TeamQueueFull;
  }
  if (aNow + ExpectedWait(aQueue, aTeam, aWeight) > aTicket.mLatestStart) {
    return QueueVerdict::DeadlineUnmet;
  }
  if (found == aQueue.mTeams.end()) {
    aQueue.mRound.push_back(aTeam);
  }
  auto& team = aQueue.mTeams[aTeam];
  team.mWeight = std::max(aWeight, 1e-9);
  team.mTickets.push_back(aTicket);
  team.mQueuedWork += aTicket.mWork;
  ++aQueue.mTicketCount;
  return QueueVerdict::Queued;
}

auto Dequeue(FairQueue& aQueue,
             const FairQueuePolicy& aPolicy,
             TimePoint aNow,
             std::vector<Ticket>& aExpired) -> std::optional<Ticket>
{
  while (!aQueue.mRound.empty()) {
    auto& team = aQueue.mTeams[aQueue.mRound.front()];
    if (team.mTickets.empty()) {
      EndTurn(aQueue);
      continue;
    }
    const auto ticket = team.mTickets.front();
    if (ticket.mLatestStart < aNow) {
      aExpired.push_back(ticket);
      PopFrontTicket(aQueue, team);
      continue;
    }
    if (!aQueue.mFrontTeamCredited) {
      team.mDeficit += aPolicy.mQuantum * team.mWeight;
      aQueue.mFrontTeamCredited = true;
    }
    if (team.mDeficit < ticket.mWork) {
      EndTurn(aQueue);
      continue;
    }
    team.mDeficit -= ticket.mWork;
    PopFrontTicket(aQueue, team);
    NoteDispatch(aQueue, ticket.mWork, aPolicy, aNow);
    if (team.mTickets.empty()) {
      EndTurn(aQueue);
    }
    return ticket;
  }
  return std::nullopt;
}

auto Requeue(FairQueue& aQueue,
             const std::string& aTeam,
             double aWeight,
             const Ticket& aTicket) -> void
{
  const auto [found, added] = aQueue.mTeams.try_emplace(aTeam);
  auto& team = found->second;
  if (added) {
    aQueue.mRound.push_front(aTeam);
    aQueue.mFrontTeamCredited = true;
    team.mWeight = std::max(aWeight, 1e-9);
  }
  team.mTickets.push_front(aTicket);
  team.mQueuedWork += aTicket.mWork;
  team.mDeficit += aTicket.mWork;
  ++aQueue.mTicketCount;
}

auto Remove(FairQueue& aQueue, const std::string& aTeam, std::uint64_t aId)
  -> bool
{
  const auto found = aQueue.mTeams.find(aTeam);
  if (found == aQueue.mTeams.end()) {
    return false;
  }
  auto& tickets = found->second.mTickets;
  const auto ticket =
    std::find_if(tickets.begin(), tickets.end(), [&](const Ticket& aTicket) {
      return aTicket.mId == aId;
    });
  if (ticket == tickets.end()) {
    return false;
  }
  found->second.mQueuedWork -= ticket->mWork;
  tickets.erase(ticket);
  --aQueue.mTicketCount;
  return true;
}

} // namespace mangovalve
