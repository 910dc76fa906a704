// Threads and messages around the failure detector.
#include "mangovalve/membership/monitor.h"

#include <deque>
#include <set>

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "mangovalve/base/thread.h"
#include "mangovalve/membership/rendezvous.h"
#include "mangovalve/peer/frame.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(10);
constexpr auto kCommitTimeout = std::chrono::seconds(3);
constexpr auto kJoinRetryInterval = std::chrono::milliseconds(300);
constexpr std::size_t kMaxProposals = 64;

auto ToMillis(Duration aDuration) -> std::uint64_t
{
  return static_cast<std::uint64_t>(
    std::chrono::ceil<std::chrono::milliseconds>(aDuration).count());
}

// Limits durations to one day, which stands for any longer one and cannot
// overflow.
auto FromMillis(std::uint64_t aMillis) -> Duration
{
  return std::chrono::milliseconds(
    std::min<std::uint64_t>(aMillis, 24ULL * 3600 * 1000));
}

auto EncodeHeartbeat(const std::string& aFrom, const HeartbeatInfo& aHeartbeat)
  -> std::string
{
  flatbuffers::FlatBufferBuilder builder;
  const peer::ProcessId process(aHeartbeat.mProcess.mHigh,
                                aHeartbeat.mProcess.mLow);
  return peer::Encode(aFrom,
                      builder,
                      peer::CreateHeartbeat(builder,
                                            &process,
                                            aHeartbeat.mSequence,
                                            aHeartbeat.mApplied,
                                            ToMillis(aHeartbeat.mLogAge),
                                            aHeartbeat.mDraining,
                                            aHeartbeat.mSettled));
}

auto EncodeAck(const std::string& aFrom, const HeartbeatAckInfo& aAck)
  -> std::string
{
  flatbuffers::FlatBufferBuilder builder;
  return peer::Encode(aFrom,
                      builder,
                      peer::CreateHeartbeatAck(builder,
                                               aAck.mSequence,
                                               aAck.mApplied,
                                               ToMillis(aAck.mLogAge),
                                               aAck.mSettled,
                                               aAck.mFenced));
}

} // namespace

struct MembershipMonitor::Impl
{
  mutable absl::Mutex mMutex;

  Impl(MembershipMonitorOptions aOptions, MembershipMonitorPorts aPorts)
    : mOptions(std::move(aOptions))
    , mPorts(std::move(aPorts))
  {
    mFailureDetector.mHost = mOptions.mHost;
    mFailureDetector.mDomain = mOptions.mDomain;
    mFailureDetector.mProcess = NewId();
  }

  auto RunTicks() -> void;
  auto RunCommits() -> void;
  auto Tick(TimePoint aNow) -> std::vector<std::pair<std::string, std::string>>;
  auto NeedsJoin() -> bool ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  auto Join(const Id128& aProcess) -> void;
  auto Fence(const FenceProposal& aProposal, bool aIsRemoval) -> void;
  auto ProposeRemovals(TimePoint aNow)
    -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  auto UpdateRoleUse(TimePoint aNow)
    -> void ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);

  const MembershipMonitorOptions mOptions;
  const MembershipMonitorPorts mPorts;
  absl::CondVar mWorkAvailable;
  FailureDetector mFailureDetector ABSL_GUARDED_BY(mMutex);
  MemberState mMembers ABSL_GUARDED_BY(mMutex);
  RoleUse mRoleUse ABSL_GUARDED_BY(mMutex);
  std::set<std::string> mRegisteredRoles ABSL_GUARDED_BY(mMutex); // by MayUse
  // Proposals to append; the flag is true for removals.
  std::deque<std::pair<FenceProposal, bool>> mProposals ABSL_GUARDED_BY(mMutex);
  std::map<std::string, TimePoint> mFencedSince ABSL_GUARDED_BY(mMutex);
  bool mDraining ABSL_GUARDED_BY(mMutex) = false;
  bool mLeaving ABSL_GUARDED_BY(mMutex) = false;
  bool mStop ABSL_GUARDED_BY(mMutex) = false;
  Thread mHeartbeatThread;
  Thread mCommitThread;
};

auto MembershipMonitor::Impl::NeedsJoin() -> bool
{
  const auto* const self = FindMember(mMembers, mOptions.mHost);
  const auto mine =
    self != nullptr && self->mProcess == mFailureDetector.mProcess;
  if (mLeaving ||
      (mine && self->mFence == 0 && !mFailureDetector.mReportedFenced)) {
    return false;
  }
  if (mine) {
    // A fenced process rejoins with a new id, so that delayed messages and
    // records about the old one do not apply to it.
    mFailureDetector.mProcess = NewId();
    LogEvent(Severity::Warn, "fenced", { { "host", mOptions.mHost } });
  }
  // Peers do not know this process until they have replayed its join. It keeps
  // its id until then; otherwise each heartbeat during an outage of the log
  // would cause a new join.
  mFailureDetector.mReportedFenced = false;
  return true;
}

auto MembershipMonitor::Impl::Join(const Id128& aProcess) -> void
{
  RecordDraft draft;
  // The record id is the process id, so that a retried append is deduplicated.
  draft.mId = aProcess;
  draft.mType = record::RecordBody::HostJoined;
  draft.mBuild = [this, aProcess](flatbuffers::FlatBufferBuilder& aBuilder) {
    const record::RecordId process(aProcess.mHigh, aProcess.mLow);
    return record::CreateHostJoinedDirect(aBuilder,
                                          mOptions.mHost.c_str(),
                                          mOptions.mDomain.c_str(),
                                          mOptions.mRegion.c_str(),
                                          mOptions.mPeerAddress.c_str(),
                                          mOptions.mOperatorAddress.c_str(),
                                          &process)
      .Union();
  };
  const auto committed = mPorts.mJournal.mCommit(
    draft, CommitPriority::Claim, mPorts.mNow() + kCommitTimeout);
  if (committed) {
    LogEvent(Severity::Info,
             "joined",
             { { "host", mOptions.mHost },
               { "offset", std::to_string(committed->mContext.mOffset) },
               { "verdict", committed->mVerdict.mReason } });
  }
}

auto MembershipMonitor::Impl::Fence(const FenceProposal& aProposal,
                                    bool aIsRemoval) -> void
{
  RecordDraft draft;
  draft.mId = NewId();
  draft.mType = aIsRemoval ? record::RecordBody::HostRemoved
                           : record::RecordBody::HostFenced;
  draft.mBuild = [=, this](flatbuffers::FlatBufferBuilder& aBuilder) {
    return aIsRemoval ? record::CreateHostRemovedDirect(aBuilder,
                                                        aProposal.mHost.c_str(),
                                                        aProposal.mIncarnation,
                                                        mOptions.mHost.c_str())
                          .Union()
                      : record::CreateHostFencedDirect(aBuilder,
                                                       aProposal.mHost.c_str(),
                                                       aProposal.mIncarnation,
                                                       mOptions.mHost.c_str())
                          .Union();
  };
  LogEvent(Severity::Warn,
           aIsRemoval ? "propose_removal" : "propose_fence",
           { { "host", aProposal.mHost },
             { "incarnation", std::to_string(aProposal.mIncarnation) } });
  FindCounter("membership_proposals_total",
              { { "kind", aIsRemoval ? "remove" : "fence" } })
    .Add();
  // A proposal whose commit has not resolved is not retried here: further
  // missed heartbeats cause another one, and the incarnation makes a delayed
  // one void.
  static_cast<void>(mPorts.mJournal.mCommit(
    draft, CommitPriority::Claim, mPorts.mNow() + kCommitTimeout));
}

auto MembershipMonitor::Impl::ProposeRemovals(TimePoint aNow) -> void
{
  std::erase_if(mFencedSince, [&](const auto& aEntry) {
    const auto* const member = FindMember(mMembers, aEntry.first);
    return member == nullptr || member->mFence == 0;
  });
  for (const auto* member : DomainMembers(mMembers, mOptions.mDomain)) {
    if (member->mFence == 0) {
      continue;
    }
    const auto since = mFencedSince.try_emplace(member->mHost, aNow).first;
    if (aNow - since->second > kRemovalDelay &&
        mProposals.size() < kMaxProposals) {
      since->second = aNow;
      mProposals.push_back({ { member->mHost, member->mIncarnation }, true });
    }
  }
}

auto MembershipMonitor::Impl::UpdateRoleUse(TimePoint aNow) -> void
{
  const auto settled =
    UpdateSettled(mFailureDetector, mMembers, mOptions.mFailureDetector, aNow);
  const auto active = ActiveInDomain(mMembers, mOptions.mDomain);
  std::vector<std::string> own;
  for (const auto& role : mRegisteredRoles) {
    if (RendezvousOwner(role, active) == mOptions.mHost) {
      own.push_back(role);
    }
  }
  const auto change = mMembers.mDomainChanges.find(mOptions.mDomain);
  UpdateRoles(mRoleUse,
              own,
              change == mMembers.mDomainChanges.end() ? DomainChange()
                                                      : change->second,
              settled);
}

auto MembershipMonitor::Impl::Tick(TimePoint aNow)
  -> std::vector<std::pair<std::string, std::string>>
{
  absl::MutexLock lock(&mMutex);
  const auto proposals =
    FenceProposals(mFailureDetector, mMembers, mOptions.mFailureDetector, aNow);
  for (const auto& proposal : proposals) {
    if (mProposals.size() < kMaxProposals) {
      mProposals.emplace_back(proposal, false);
    }
  }
  ProposeRemovals(aNow);
  if (!mProposals.empty() || NeedsJoin()) {
    mWorkAvailable.SignalAll();
  }
  UpdateRoleUse(aNow);
  std::vector<std::pair<std::string, std::string>> frames;
  for (auto& [to, heartbeat] : DueHeartbeats(
         mFailureDetector, mMembers, mOptions.mFailureDetector, aNow)) {
    heartbeat.mDraining = mDraining;
    frames.emplace_back(to, EncodeHeartbeat(mOptions.mHost, heartbeat));
  }
  return frames;
}

auto MembershipMonitor::Impl::RunTicks() -> void
{
  while (true) {
    for (auto& [to, frame] : Tick(mPorts.mNow())) {
      mPorts.mSend(to, std::move(frame));
    }
    absl::MutexLock lock(&mMutex);
    if (!mStop) {
      absl::CondVar().WaitWithTimeout(&mMutex, absl::FromChrono(kTickInterval));
    }
    if (mStop) {
      return;
    }
  }
}

auto MembershipMonitor::Impl::RunCommits() -> void
{
  while (true) {
    std::optional<std::pair<FenceProposal, bool>> proposal;
    Id128 process;
    {
      absl::MutexLock lock(&mMutex);
      auto joins = false;
      while (!mStop && mProposals.empty() && !(joins = NeedsJoin())) {
        mWorkAvailable.Wait(&mMutex);
      }
      if (mStop) {
        return;
      }
      if (joins) {
        process = mFailureDetector.mProcess;
      } else {
        proposal = mProposals.front();
        mProposals.pop_front();
      }
    }
    if (proposal) {
      Fence(proposal->first, proposal->second);
    } else {
      Join(process);
      absl::MutexLock lock(&mMutex);
      if (!mStop && NeedsJoin()) {
        mWorkAvailable.WaitWithTimeout(&mMutex,
                                       absl::FromChrono(kJoinRetryInterval));
      }
    }
  }
}

MembershipMonitor::MembershipMonitor(MembershipMonitorOptions aOptions,
                                     MembershipMonitorPorts aPorts)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), std::move(aPorts)))
{
}

MembershipMonitor::~MembershipMonitor()
{
  Stop();
}

auto MembershipMonitor::Start() -> void
{
  mImpl->mHeartbeatThread = Thread("watch", [this] { mImpl->RunTicks(); });
  mImpl->mCommitThread =
    Thread("watch_commit", [this] { mImpl->RunCommits(); });
}

auto MembershipMonitor::Stop() -> void
{
  {
    absl::MutexLock lock(&mImpl->mMutex);
    mImpl->mStop = true;
    mImpl->mWorkAvailable.SignalAll();
  }
  mImpl->mHeartbeatThread.Join();
  mImpl->mCommitThread.Join();
}

auto MembershipMonitor::SetMembers(const MemberState& aMembers, Offset aApplied)
  -> void
{
  absl::MutexLock lock(&mImpl->mMutex);
  const auto changed = !(mImpl->mMembers == aMembers);
  if (changed) {
    mImpl->mMembers = aMembers;
  }
  // Update the roles before any heartbeat confirms the offset.
  mImpl->UpdateRoleUse(mImpl->mPorts.mNow());
  OnApplied(mImpl->mFailureDetector, mImpl->mMembers, aApplied);
}

auto MembershipMonitor::RecordLogContact(TimePoint aStartedAt) -> void
{
  absl::MutexLock lock(&mImpl->mMutex);
  OnLogContact(mImpl->mFailureDetector, aStartedAt);
}

auto MembershipMonitor::Handle(const peer::Frame& aFrame) -> void
{
  const auto from = aFrame.from()->str();
  std::string answer;
  {
    absl::MutexLock lock(&mImpl->mMutex);
    const auto now = mImpl->mPorts.mNow();
    if (const auto* heartbeat = aFrame.message_as_Heartbeat()) {
      HeartbeatInfo info;
      if (heartbeat->process() != nullptr) {
        info.mProcess = { heartbeat->process()->high(),
                          heartbeat->process()->low() };
      }
      info.mSequence = heartbeat->sequence();
      info.mApplied = heartbeat->applied();
      info.mLogAge = FromMillis(heartbeat->log_age_ms());
      info.mSettled = heartbeat->settled();
      info.mDraining = heartbeat->draining();
      answer = EncodeAck(
        mImpl->mOptions.mHost,
        OnHeartbeat(mImpl->mFailureDetector, mImpl->mMembers, from, info, now));
    } else if (const auto* ack = aFrame.message_as_HeartbeatAck()) {
      OnHeartbeatAck(mImpl->mFailureDetector,
                     mImpl->mMembers,
                     from,
                     { ack->sequence(),
                       ack->applied(),
                       FromMillis(ack->log_age_ms()),
                       ack->settled(),
                       ack->fenced() },
                     now);
    }
  }
  if (!answer.empty()) {
    mImpl->mPorts.mSend(from, std::move(answer));
  }
}

auto MembershipMonitor::SetDraining(bool aDraining) -> void
{
  absl::MutexLock lock(&mImpl->mMutex);
  mImpl->mDraining = aDraining;
}

auto MembershipMonitor::Leave() -> void
{
  absl::MutexLock lock(&mImpl->mMutex);
  const auto* const self = FindMember(mImpl->mMembers, mImpl->mOptions.mHost);
  mImpl->mLeaving = true;
  if (self != nullptr && self->mProcess == mImpl->mFailureDetector.mProcess) {
    mImpl->mProposals.push_back({ { self->mHost, self->mIncarnation }, false });
    mImpl->mWorkAvailable.SignalAll();
  }
}

auto MembershipMonitor::RolesValidUntil() const -> TimePoint
{
  absl::MutexLock lock(&mImpl->mMutex);
  return RoleDeadline(
    mImpl->mFailureDetector, mImpl->mMembers, mImpl->mOptions.mFailureDetector);
}

auto MembershipMonitor::MayUse(const std::string& aRole) -> bool
{
  absl::MutexLock lock(&mImpl->mMutex);
  const auto now = mImpl->mPorts.mNow();
  if (mImpl->mRegisteredRoles.insert(aRole).second) {
    mImpl->UpdateRoleUse(now);
  }
  const auto used = mImpl->mRoleUse.mUsed.find(aRole);
  return used != mImpl->mRoleUse.mUsed.end() && used->second &&
         now < RoleDeadline(mImpl->mFailureDetector,
                            mImpl->mMembers,
                            mImpl->mOptions.mFailureDetector);
}

auto MembershipMonitor::Incarnation() const -> Offset
{
  absl::MutexLock lock(&mImpl->mMutex);
  const auto* const self = FindMember(mImpl->mMembers, mImpl->mOptions.mHost);
  return self != nullptr && self->mFence == 0 &&
             self->mProcess == mImpl->mFailureDetector.mProcess
           ? self->mIncarnation
           : 0;
}

} // namespace mangovalve
