// Fair queue between teams by estimated work: deficit round robin over tokens,
// so that a team with many or long requests cannot delay the others by more
// than its share.
//
// The queue holds tickets, not requests. A ticket whose deadline cannot be met
// is rejected on arrival or removed before it is dispatched, so its request is
// guaranteed not to have run.
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
  // Latest time of dispatch that can still meet the deadline.
  TimePoint mLatestStart;
};

struct TeamQueue
{
  double mWeight = 1;
  double mDeficit = 0; // work that the team may dispatch in its turn
  std::deque<Ticket> mTickets;
  double mQueuedWork = 0; // total work of mTickets
};

struct FairQueuePolicy
{
  double mQuantum = 256;           // tokens per round and unit of weight
  std::size_t mMaxPerTeam = 2000;  // tickets
  double mServiceRateDecay = 0.98; // weight of the previous means, per dispatch
};

struct FairQueue
{
  std::map<std::string, TeamQueue> mTeams; // only teams with tickets
  std::deque<std::string> mRound;          // teams in order of their turns
  bool mFrontTeamCredited = false;         // mRound.front() has its quantum
  std::size_t mTicketCount = 0;            // of all teams
  // Decayed means of the work per dispatch and of the seconds between
  // dispatches while tickets waited. Their ratio is the service rate. 0:
  // unknown.
  double mMeanWork = 0;
  double mMeanGap = 0;
  TimePoint mLastDispatch{};
  bool mBacklogged = false; // tickets have waited since the last dispatch
};

enum class QueueVerdict
{
  Queued,
  TeamQueueFull, // the team has mMaxPerTeam tickets
  DeadlineUnmet  // the expected dispatch is later than the latest start
};

// Expected wait of a new ticket of a team: the work that is served before it
// under fair sharing, at the recent service rate. Zero if the rate is unknown.
auto ExpectedWait(const FairQueue& aQueue,
                  const std::string& aTeam,
                  double aWeight) -> Duration;

// Adds a ticket unless its team's queue is full or its latest start is too
// early.
auto Enqueue(FairQueue& aQueue,
             const std::string& aTeam,
             double aWeight,
             const Ticket& aTicket,
             const FairQueuePolicy& aPolicy,
             TimePoint aNow) -> QueueVerdict;

// Removes and returns the next ticket in fair order. Tickets past their latest
// start are moved to aExpired instead.
auto Dequeue(FairQueue& aQueue,
             const FairQueuePolicy& aPolicy,
             TimePoint aNow,
             std::vector<Ticket>& aExpired) -> std::optional<Ticket>;

// Returns a dequeued ticket to the front of its team's queue when no endpoint
// was available for it after all.
auto Requeue(FairQueue& aQueue,
             const std::string& aTeam,
             double aWeight,
             const Ticket& aTicket) -> void;

// Removes a ticket, e.g. when its latest start has passed. Returns false if it
// is not queued.
auto Remove(FairQueue& aQueue, const std::string& aTeam, std::uint64_t aId)
  -> bool;

} // namespace mangovalve
