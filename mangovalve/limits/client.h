// Token client of the distributed rate limiter, on every host. Tracks requests
// that wait for a token, the demands sent for them, and which holders are
// unreachable.
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
  std::vector<std::uint64_t> mPendingDemands; // ids, newest last
};

// One demand sent to one host. The validity of its grant is measured from
// mSentAt. The first grant removes the demand, so that a duplicated grant is
// discarded.
struct PendingDemand
{
  std::uint64_t mWaiter = 0;
  std::string mTeam;
  double mCost = 1;
  std::string mHost;
  TimePoint mSentAt{};
  bool mQueued = false; // the host answered TokenStatus::Queued
};

struct HolderStatus
{
  TimePoint mHeardAt{};
  TimePoint mAwaitingSince = TimePoint::max(); // oldest unanswered request
  TimePoint mProbedAt{};
  bool mUnreachable = false;
  GroupSet mHolding = 0; // groups held, as of the last answer
};

// Outcome of a request.
struct Decision
{
  std::uint64_t mWaiter = 0;
  bool mGranted = false;
  TimePoint mStartBy{}; // latest start of a granted request
  Duration mRetryAfter{};
};

struct ClientTeam
{
  std::deque<std::uint64_t> mWaiting; // waiters in order of arrival
  // Prefetched tokens with their expiry times.
  std::deque<std::pair<double, TimePoint>> mPrefetched;
  double mRequestRate = 0; // requests per second, decaying average
  TimePoint mRequestRateAt{};
};

struct TokenClient
{
  std::uint64_t mNextId = 1;
  std::map<std::uint64_t, Waiter> mWaiters;
  std::map<std::uint64_t, PendingDemand> mPendingDemands;
  std::map<std::string, ClientTeam> mTeams;
  std::map<std::string, HolderStatus> mPeers;
  std::array<TimePoint, kGroups> mLastRequestAt{}; // by group
  TimePoint mTickedAt{};
};

struct ClientOutput
{
  std::vector<Outgoing> mMessages;
  std::vector<Decision> mDecisions;
};

// Limit of waiting requests per host. Acquire refuses further ones.
constexpr std::size_t kMaxWaiters = 16384;

// Requests aCost tokens for a new request. Decides at once if prefetched tokens
// suffice, and sends a demand otherwise. Returns the waiter's id; its decision
// is in aOutput of this or of a later call.
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

// Refuses requests whose deadline has expired, marks unresponsive hosts as
// unreachable, resends demands to other hosts, and sends probes.
auto Tick(TokenClient& aClient,
          const LimitView& aView,
          const LimitSettings& aSettings,
          TimePoint aNow,
          ClientOutput& aOutput) -> void;

// Hosts that left a request unanswered for LimitSettings::mAnswerTimeout.
auto UnreachableHosts(const TokenClient& aClient) -> std::vector<std::string>;

// The host that demands for the group are sent to: the most preferred reachable
// candidate that holds a share, otherwise the most preferred reachable one. The
// first candidate if none is reachable; empty without candidates.
auto SelectHolder(const TokenClient& aClient,
                  const LimitView& aView,
                  std::uint8_t aGroup) -> std::string;

} // namespace mangovalve
