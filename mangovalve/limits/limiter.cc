// Lock, timer thread and message dispatch around LimitNode.
#include "mangovalve/limits/limiter.h"

#include <map>

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "mangovalve/base/thread.h"
#include "mangovalve/limits/node.h"
#include "mangovalve/limits/view.h"
#include "mangovalve/limits/wire.h"
#include "mangovalve/telemetry/counters.h"

namespace mangovalve {
namespace {

// Interval at which the client's deadlines and timeouts are checked.
constexpr auto kTickInterval = std::chrono::milliseconds(10);

struct WaitingRequest
{
  bool mDecided = false;
  Decision mDecision;
  absl::CondVar mDone;
};

} // namespace

struct Limiter::Impl
{
  absl::Mutex mMutex;

  Impl(LimiterOptions aOptions, LimiterPorts aPorts)
    : mOptions(std::move(aOptions))
    , mPorts(std::move(aPorts))
    , mGranted(
        FindCounter("limits_requests_total", { { "outcome", "granted" } }))
    , mRefused(
        FindCounter("limits_requests_total", { { "outcome", "refused" } }))
    , mLateGrants(FindCounter("limits_grants_late_total"))
  {
    mNode.mSettings = mOptions.mSettings;
    // Random start, so that answers to an earlier process of this host match no
    // id of this one.
    mNode.mClient.mNextId = NewId().mLow >> 1U;
    mNode.mHolder.mSequence = NewId().mLow >> 1U;
    mNode.mView.mHost = mOptions.mHost;
  }

  auto Run() -> void;
  auto RebuildView() -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  auto RefreshRoles() -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  auto DispatchOutput(ClientOutput& aOutput)
    -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  auto Wait(const std::string& aTeam, double aCost, TimePoint aDeadline)
    -> Decision;

  const LimiterOptions mOptions;
  const LimiterPorts mPorts;
  absl::CondVar mWakeTimer;
  LimitNode mNode ABSL_GUARDED_BY(mMutex);
  MemberState mMembers ABSL_GUARDED_BY(mMutex);
  ShareHistory mHistory ABSL_GUARDED_BY(mMutex);
  std::map<std::uint64_t, WaitingRequest*> mWaiting ABSL_GUARDED_BY(mMutex);
  TimePoint mNextWakeAt ABSL_GUARDED_BY(mMutex){};
  bool mStop ABSL_GUARDED_BY(mMutex) = false;
  Counter& mGranted;
  Counter& mRefused;
  Counter& mLateGrants;
  Thread mThread;
};

// Checks the right to lease shares at each use: no lease may be granted after
// this host has confirmed that its role was reassigned.
auto Limiter::Impl::RefreshRoles() -> void
{
  const auto roles = OwnerRoles(mMembers, mOptions.mHost, mOptions.mDomain);
  RoleUse use;
  for (const auto& role : roles) {
    use.mUsed[role] = !mPorts.mMayUse || mPorts.mMayUse(role);
  }
  mNode.mView.mOwnedGroups = OwnedGroups(use);
  mNode.mView.mRoleDeadline =
    mPorts.mRolesValidUntil ? mPorts.mRolesValidUntil() : TimePoint::max();
}

auto Limiter::Impl::RebuildView() -> void
{
  auto view = BuildView(
    mOptions.mHost, mOptions.mDomain, mOptions.mRegion, mMembers, mHistory);
  view.mDraining = mNode.mView.mDraining;
  view.mAccrualFactor = mNode.mView.mAccrualFactor;
  SetView(mNode, std::move(view), mPorts.mNow());
  RefreshRoles();
}

// Wakes the threads of decided requests and sends the messages.
auto Limiter::Impl::DispatchOutput(ClientOutput& aOutput) -> void
{
  for (const auto& decision : aOutput.mDecisions) {
    const auto found = mWaiting.find(decision.mWaiter);
    if (found != mWaiting.end()) {
      found->second->mDecision = decision;
      found->second->mDecided = true;
      found->second->mDone.Signal();
    }
  }
  for (const auto& message : aOutput.mMessages) {
    if (mPorts.mSend) {
      mPorts.mSend(message.mTo,
                   EncodeLimitMessage(mOptions.mHost, message.mMessage));
    }
  }
  if (NextWake(mNode) < mNextWakeAt) {
    mWakeTimer.Signal();
  }
}

auto Limiter::Impl::Run() -> void
{
  absl::MutexLock lock(&mMutex);
  while (!mStop) {
    const auto now = mPorts.mNow();
    RefreshRoles();
    ClientOutput output;
    Step(mNode, now, output);
    DispatchOutput(output);
    mNextWakeAt = std::min<TimePoint>(NextWake(mNode), now + kTickInterval);
    if (mNextWakeAt > now) {
      mWakeTimer.WaitWithTimeout(&mMutex, absl::FromChrono(mNextWakeAt - now));
    }
  }
  for (auto& [id, waiting] : mWaiting) {
    waiting->mDecided = true;
    waiting->mDone.Signal();
  }
}

auto Limiter::Impl::Wait(const std::string& aTeam,
                         double aCost,
                         TimePoint aDeadline) -> Decision
{
  absl::MutexLock lock(&mMutex);
  if (mStop || mHistory.mTables.empty() ||
      !mHistory.mTables.back()->mTeams.contains(aTeam)) {
    return { 0, false, {}, std::chrono::seconds(1) };
  }
  WaitingRequest waiting;
  ClientOutput output;
  const auto id =
    mangovalve::Acquire(mNode, aTeam, aCost, aDeadline, mPorts.mNow(), output);
  mWaiting[id] = &waiting;
  DispatchOutput(output);
  while (!waiting.mDecided) {
    waiting.mDone.Wait(&mMutex);
  }
  mWaiting.erase(id);
  return waiting.mDecision;
}

Limiter::Limiter(LimiterOptions aOptions, LimiterPorts aPorts)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), std::move(aPorts)))
{
}

Limiter::~Limiter()
{
  Stop();
}

auto Limiter::Start() -> void
{
  mImpl->mThread = Thread("limits", [this] { mImpl->Run(); });
}

auto Limiter::Stop() -> void
{
  {
    absl::MutexLock lock(&mImpl->mMutex);
    mImpl->mStop = true;
    mImpl->mWakeTimer.Signal();
  }
  mImpl->mThread.Join();
}

auto Limiter::SetDocument(std::shared_ptr<const Document> aDocument) -> void
{
  absl::MutexLock lock(&mImpl->mMutex);
  const auto tables = mImpl->mHistory.mTables;
  AddRevision(mImpl->mHistory, *aDocument);
  if (tables == mImpl->mHistory.mTables) {
    // Only the revision has changed, and the shares have not.
    mImpl->mNode.mView.mHistory.mRevision = mImpl->mHistory.mRevision;
    return;
  }
  mImpl->RebuildView();
}

auto Limiter::SetMembers(const MemberState& aMembers) -> void
{
  absl::MutexLock lock(&mImpl->mMutex);
  if (!(mImpl->mMembers == aMembers)) {
    mImpl->mMembers = aMembers;
    mImpl->RebuildView();
  }
}

auto Limiter::SetDraining(bool aDraining) -> void
{
  absl::MutexLock lock(&mImpl->mMutex);
  mImpl->mNode.mView.mDraining = aDraining;
}

auto Limiter::SetAccrualFactor(double aAccrualFactor) -> void
{
  absl::MutexLock lock(&mImpl->mMutex);
  UpdateBuckets(mImpl->mNode.mHolder, mImpl->mNode.mView, mImpl->mPorts.mNow());
  mImpl->mNode.mView.mAccrualFactor = aAccrualFactor;
}

auto Limiter::Handle(const peer::Frame& aFrame) -> void
{
  const auto message = DecodeLimitMessage(aFrame);
  if (!message) {
    return;
  }
  absl::MutexLock lock(&mImpl->mMutex);
  if (std::holds_alternative<LeaseRequest>(*message)) {
    mImpl->RefreshRoles();
  }
  ClientOutput output;
  Deliver(
    mImpl->mNode, aFrame.from()->str(), *message, mImpl->mPorts.mNow(), output);
  mImpl->DispatchOutput(output);
}

auto Limiter::Acquire(const std::string& aTeam,
                      double aCost,
                      TimePoint aDeadline) -> Admission
{
  while (true) {
    const auto decision = mImpl->Wait(aTeam, aCost, aDeadline);
    if (!decision.mGranted) {
      mImpl->mRefused.Add();
      return Refused{ decision.mRetryAfter };
    }
    // The thread was delayed past the grant's validity. The token is discarded
    // and a new one requested.
    if (mImpl->mPorts.mNow() <= decision.mStartBy) {
      mImpl->mGranted.Add();
      return Granted{};
    }
    mImpl->mLateGrants.Add();
  }
}

} // namespace mangovalve
