// Thread-safe access of the online path to the distributed rate limiter.
//
// Acquire takes tokens for a request. It returns at once if tokens are
// available or if none can accrue in time, and otherwise blocks until the
// request's deadline at most. All decisions are made by the pure functions of
// this folder; Limiter adds the lock, the timer thread and the transport.
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
  Duration mRetryAfter{}; // delay after which a token may be available
};

using Admission = std::variant<Granted, Refused>;

struct LimiterPorts
{
  std::function<auto()->TimePoint> mNow = [] { return Clock::now(); };
  // Queues an encoded frame for a peer. Frames may be dropped.
  std::function<auto(const std::string& aHost, std::string aFrame)->void> mSend;
  // MembershipMonitor::MayUse and MembershipMonitor::RolesValidUntil: the right
  // to lease shares to holders.
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
  // Refuses all waiting requests and joins the thread.
  auto Stop() -> void;

  // Publishes a revision of the document. Call in the order of revisions. At
  // start, publish the retained earlier revisions as well, so that no share
  // grows before hosts that still use one of them have confirmed. Any thread.
  auto SetDocument(std::shared_ptr<const Document> aDocument) -> void;
  // Publishes the replayed members. Call after each change. Any thread.
  auto SetMembers(const MemberState& aMembers) -> void;

  // While draining, this host requests no leases, so that clients change to
  // other holders. It still leases its shares until it leaves the membership
  // (MembershipMonitor::Leave).
  auto SetDraining(bool aDraining) -> void;
  // Fraction of the rate at which tokens accrue; see ClockSpeed.
  auto SetAccrualFactor(double aAccrualFactor) -> void;

  // Handles LeaseRequest, LeaseGrant, TokenRequest and TokenGrant frames.
  // Called by the transport's thread.
  auto Handle(const peer::Frame& aFrame) -> void;

  // Takes aCost tokens of the team, blocking until aDeadline at most. Refuses
  // teams that are not in the document. Any thread.
  auto Acquire(const std::string& aTeam, double aCost, TimePoint aDeadline)
    -> Admission;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mangovalve
