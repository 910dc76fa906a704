// Limiter: the online path's access to the teams' rates.
//
// Acquire takes a token for a request. It returns at once when a token is at
// hand or when none can come in time, and otherwise waits until the request's
// deadline at most. All decisions are in the pure functions of this folder;
// the limiter adds the lock, the timer thread and the messages.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "mangovalve/base/time.h"
#include "mangovalve/config/document.h"
#include "mangovalve/limits/messages.h"
#include "mangovalve/membership/state.h"
#include "mangovalve/peer/messages_generated.h"

namespace mangovalve {

struct Granted
{};

struct Refused
{
  Duration mRetryAfter{}; // when a token may be available
};

using Admission = std::variant<Granted, Refused>;

struct LimiterPorts
{
  std::function<auto()->TimePoint> mNow = [] { return Clock::now(); };
  // Queues an encoded frame for a peer; may drop it.
  std::function<auto(const std::string& aHost, std::string aFrame)->void> mSend;
  // MembershipMonitor::MayUse and MembershipMonitor::RolesValidUntil: the right
  // to lend shares.
  std::function<auto(const std::string& aRole)->bool> mMayUse;
  std::function<auto()->TimePoint> mRolesValidUntil;
};

struct LimiterOptions
{
  std::string mHost;
  std::string mDomain;
  std::string mRegion;
  LimitSettings mSettings;
};

class Limiter
{
public:
  Limiter(LimiterOptions aOptions, LimiterPorts aPorts);
  ~Limiter();
  Limiter(const Limiter&) = delete;
  auto operator=(const Limiter&) -> Limiter& = delete;

  // Starts the timer thread.
  auto Start() -> void;
  // Refuses every waiting request and joins the thread.
  auto Stop() -> void;

  // Publishes a revision, in order. At start, publish the former revisions
  // that are kept as well, so that a share does not grow before hosts that are
  // still at one of them confirm. Any thread.
  auto SetDocument(std::shared_ptr<const Document> aDocument) -> void;
  // Publishes the replayed members after each change. Any thread.
  auto SetMembers(const MemberState& aMembers) -> void;

  // Holds no more buckets, so that clients turn to other hosts. Shares are
  // still lent until this host leaves (MembershipMonitor::Leave).
  auto SetDraining(bool aDraining) -> void;
  // Part of the rate at which tokens accrue; see ClockSpeed.
  auto SetAccrualFactor(double aAccrualFactor) -> void;

  // LeaseRequest, LeaseGrant, TokenRequest and TokenGrant; from the transport's
  // thread.
  auto Handle(const peer::Frame& aFrame) -> void;

  // Takes aCost tokens of the team. Any thread. A team that the document does
  // not name is refused.
  auto Acquire(const std::string& aTeam, double aCost, TimePoint aDeadline)
    -> Admission;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mangovalve
