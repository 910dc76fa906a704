// The client side of rates on every host: requests that wait for a token, where
// they asked for it, and which hosts do not answer.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "mangovalve/limits/messages.h"

namespace mangovalve {

struct Waiter
{
  std::string mTeam;
  double mCost = 1;
  TimePoint mDeadline{};
  std::vector<std::uint64_t> mPendingDemands; // open ones, the newest last
};

// One demand sent to one host. A grant counts from mSentAt; a second grant for
// the same ask, e.g. a duplicated message, finds the ask gone and is dropped.
struct PendingDemand
{
  std::uint64_t mWaiter = 0;
  std::string mTeam;
  double mCost = 1;
  std::string mHost;
  TimePoint mSentAt{};
  bool mQueued = false; // the host answered that the demand waits
};

struct HolderStatus
{
  TimePoint mHeardAt{};
  TimePoint mAwaitingSince = TimePoint::max(); // first unanswered request
  TimePoint mProbedAt{};
  bool mUnreachable = false;
  GroupSet mHolding = 0; // as of the last answer
};

// Outcome of a waiting request.
struct Decision
{
  std::uint64_t mWaiter = 0;
  bool mGranted = false;
  TimePoint mStartBy{}; // a granted request must start until then
  Duration mRetryAfter{};
};

struct ClientTeam
{
  std::deque<std::uint64_t> mWaiting; // waiters in order of arrival
  // Tokens fetched ahead, each with the time until which it may be used.
  std::deque<std::pair<double, TimePoint>> mPrefetched;
  double mRequestRate = 0; // recent requests per second
  TimePoint mRequestRateAt{};
};

struct TokenClient
{
  std::uint64_t mNextId = 1;
  std::map<std::uint64_t, Waiter> mWaiters;
  std::map<std::uint64_t, PendingDemand> mPendingDemands;
  std::map<std::string, ClientTeam> mTeams;
  std::map<std::string, HolderStatus> mPeers;
  std::array<TimePoint, kGroups> mLastRequestAt{}; // last request by group
  TimePoint mTickedAt{};
};

struct ClientOutput
{
  std::vector<Outgoing> mMessages;
  std::vector<Decision> mDecisions;
};

// Requests waiting on one host; further ones are refused.
constexpr std::size_t kMaxWaiters = 16384;

// A new request. Decided at once from prefetched tokens, otherwise a demand is
// sent. Returns the waiter's id; the decision follows, maybe in aOutput.
auto Acquire(TokenClient& aClient,
             const LimitView& aView,
             const LimitSettings& aSettings,
             const std::string& aTeam,
             double aCost,
             TimePoint aDeadline,
             TimePoint aNow,
             ClientOutput& aOutput) -> std::uint64_t;

auto OnTokenGrant(TokenClient& aClient,
                  const std::string& aFrom,
                  const TokenGrant& aGrant,
                  TimePoint aNow,
                  ClientOutput& aOutput) -> void;

// Refuses requests past their deadline, notices hosts that do not answer, asks
// again elsewhere, and probes.
auto Tick(TokenClient& aClient,
          const LimitView& aView,
          const LimitSettings& aSettings,
          TimePoint aNow,
          ClientOutput& aOutput) -> void;

// Hosts that did not answer in time.
auto UnreachableHosts(const TokenClient& aClient) -> std::vector<std::string>;

// The host to ask for the group's tokens: the most preferred one that answers
// and holds a share, else the most preferred one that answers.
auto SelectHolder(const TokenClient& aClient,
                  const LimitView& aView,
                  std::uint8_t aGroup) -> std::string;

} // namespace mangovalve
