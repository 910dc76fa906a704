// Fair queue between teams by estimated work: deficit round robin over tokens,
// so that a team with many or long requests cannot delay the others by more
// than its share.
//
// The queue holds tickets, not requests. A ticket whose deadline cannot be met
// is refused when it arrives or taken out before it is dispatched; its request
// is then truly not run.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangovalve/base/time.h"

namespace mangovalve {

struct Ticket
{
  std::uint64_t mId = 0;
  double mWork = 1; // estimated tokens, at least 1
  TimePoint mDeadline;
  // Latest start that can still meet the deadline.
  TimePoint mLatestStart;
};

struct TeamQueue
{
  double mWeight = 1;
  double mDeficit = 0; // work that the team may dispatch now
  std::deque<Ticket> mTickets;
  double mQueuedWork = 0; // sum over mTickets
};

struct FairQueuePolicy
{
  double mQuantum = 256;           // work per round and unit of weight
  std::size_t mMaxPerTeam = 2000;  // tickets
  double mServiceRateDecay = 0.98; // weight of the past in the means
};

struct FairQueue
{
  std::map<std::string, TeamQueue> mTeams; // only teams with tickets
  std::deque<std::string> mRound;          // teams in turn, front is next
  bool mFrontTeamCredited = false;         // front got its quantum this turn
  std::size_t mTickets = 0;                // over all teams
  // Decayed means of work per dispatch and of seconds between dispatches while
  // tickets waited; their ratio is the rate at which work leaves. 0: unknown.
  double mMeanWork = 0;
  double mMeanGap = 0;
  TimePoint mLastDispatch{};
  bool mBacklogged = false; // tickets have waited since the last dispatch
};

enum class QueueVerdict
{
  Queued,
  TeamQueueFull, // the team's queue is full
  DeadlineUnmet  // the expected wait exceeds the latest start
};

// Expected wait of new work of a team: what the fair share has to serve before
// it, at the rate at which work left the queue lately. Zero when unknown.
auto ExpectedWait(const FairQueue& aQueue,
                  const std::string& aTeam,
                  double aWeight) -> Duration;

auto Enqueue(FairQueue& aQueue,
             const std::string& aTeam,
             double aWeight,
             const Ticket& aTicket,
             const FairQueuePolicy& aPolicy,
             TimePoint aNow) -> QueueVerdict;

// Takes the next ticket in fair order. Tickets past their latest start are
// moved to aExpired instead.
auto Dequeue(FairQueue& aQueue,
             const FairQueuePolicy& aPolicy,
             TimePoint aNow,
             std::vector<Ticket>& aExpired) -> std::optional<Ticket>;

// Puts a ticket that Dequeue returned back to the front of its team, when no
// endpoint could be found for it after all.
auto Requeue(FairQueue& aQueue,
             const std::string& aTeam,
             double aWeight,
             const Ticket& aTicket) -> void;

// Takes a ticket out, e.g. when its caller is gone; false when not queued.
auto Remove(FairQueue& aQueue, const std::string& aTeam, std::uint64_t aId)
  -> bool;

} // namespace mangovalve
