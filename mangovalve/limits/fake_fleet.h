// Simulated fleet in virtual time for tests and benchmarks of the rate limiter
// and of membership. Every host runs the real decision functions. The simulated
// network delays, drops and duplicates messages, the log can be unavailable,
// and clocks drift. Callers and endpoints are not simulated.
#pragma once

#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mangovalve/base/random.h"
#include "mangovalve/limits/node.h"
#include "mangovalve/limits/view.h"
#include "mangovalve/membership/failure_detector.h"

namespace mangovalve::fake {

using namespace std::chrono_literals;

struct FleetOptions
{
  std::uint64_t mSeed = 1;
  int mDomains = 3;
  int mHostsPerDomain = 3;
  Duration mIntraDomainDelay = 100us;  // one-way, within a failure domain
  Duration mInterDomainDelay = 1500us; // one-way, between failure domains
  double mJitter = 0.2;                // relative to the delay, uniform
  double mLossProbability = 0;         // per message
  double mDuplicateProbability = 0;
  double mDelayProbability = 0;   // adds up to mMaxExtraDelay
  Duration mMaxExtraDelay = 1s;   // reorders messages as well
  double mMaxClockDrift = 0;      // largest drift of a clock, uniform
  double mAccrualFactor = 0.9998; // see LimitView
  Duration mAppendLatency = 20ms; // from an append to its visibility
  Duration mReadLatency = 10ms;   // of a log read
  LimitSettings mLimits;
  FailureDetectorSettings mFailureDetector;
};

struct Event
{
  TimePoint mAt{};
  std::uint64_t mOrder = 0;
  std::function<void()> mRun;
};

struct RunsLater
{
  auto operator()(const Event& aLeft, const Event& aRight) const -> bool
  {
    return std::tie(aLeft.mAt, aLeft.mOrder) >
           std::tie(aRight.mAt, aRight.mOrder);
  }
};

struct FakeHost
{
  std::string mName;
  std::string mDomain;
  bool mAlive = true;
  bool mFrozen = false;
  double mSpeed = 1; // of its clock; 1 is true time
  Duration mOffset{};
  MemberState mMembers;
  ShareHistory mHistory;
  std::size_t mAppliedEntries = 0; // log entries applied
  std::size_t mViewEntries = 0;    // log entries that the view is based on
  FailureDetector mFailureDetector;
  RoleUse mRoles;
  LimitNode mNode;
  std::vector<std::function<void()>> mDeferred; // actions deferred while frozen
  std::uint64_t mGeneration = 0;                // counts starts and kills
  TimePoint mWakeAt{};                          // of the next scheduled step
};

struct LogRecord
{
  TimePoint mVisible{};
  std::function<void(FakeHost&, const RecordContext&)> mApply;
};

// An admission that counts for the bound on rates.
struct Deduction
{
  std::string mTeam;
  TimePoint mAt{};
};

class FakeFleet
{
public:
  explicit FakeFleet(FleetOptions aOptions)
    : mOptions(aOptions)
    , mRandom{ aOptions.mSeed }
  {
    mNow = TimePoint(100s);
    for (auto domain = 0; domain < aOptions.mDomains; ++domain) {
      for (auto index = 0; index < aOptions.mHostsPerDomain; ++index) {
        AddHost("d" + std::to_string(domain));
      }
    }
  }

  auto AddHost(const std::string& aDomain) -> std::string
  {
    const auto name = "h" + std::to_string(mHosts.size());
    auto host = std::make_unique<FakeHost>();
    host->mName = name;
    host->mDomain = aDomain;
    host->mSpeed = 1 + mOptions.mMaxClockDrift * (2 * Uniform(mRandom) - 1);
    host->mOffset = std::chrono::milliseconds(UniformBelow(mRandom, 100000));
    mHosts[name] = std::move(host);
    Start(*mHosts[name]);
    return name;
  }

  // Submits a revision of the document.
  auto Submit(Document aDocument) -> void
  {
    aDocument.mRevision = ++mRevision;
    auto document = std::make_shared<const Document>(std::move(aDocument));
    Append([document](FakeHost& aHost, const RecordContext&) {
      AddRevision(aHost.mHistory, *document);
    });
  }

  auto Kill(const std::string& aHost) -> void
  {
    mHosts.at(aHost)->mAlive = false;
    ++mHosts.at(aHost)->mGeneration;
  }
  auto Restart(const std::string& aHost) -> void { Start(*mHosts.at(aHost)); }
  auto Freeze(const std::string& aHost) -> void
  {
    mHosts.at(aHost)->mFrozen = true;
  }
  auto Resume(const std::string& aHost) -> void
  {
    auto& host = *mHosts.at(aHost);
    host.mFrozen = false;
    auto held = std::move(host.mDeferred);
    host.mDeferred.clear();
    for (const auto& run : held) {
      run();
    }
  }
  // Drops all messages between two hosts or domains, or the log reads of a host
  // if aOther is "log".
  auto Partition(const std::string& aOne, const std::string& aOther) -> void
  {
    mPartitions.insert({ aOne, aOther });
    mPartitions.insert({ aOther, aOne });
  }
  auto Heal() -> void { mPartitions.clear(); }
  auto SetLogDown(bool aDown) -> void { mLogDown = aDown; }

  // Runs the events of the next aTime of virtual time.
  auto RunFor(Duration aTime) -> void
  {
    const auto end = mNow + aTime;
    while (!mEvents.empty() && mEvents.top().mAt <= end) {
      auto event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mRun();
    }
    mNow = end;
  }
  auto At(Duration aDelay, std::function<void()> aRun) -> void
  {
    mEvents.push({ mNow + aDelay, ++mOrder, std::move(aRun) });
  }

  // Offers a request now. aDone receives the decision unless the host is killed
  // before it.
  auto Request(const std::string& aHost,
               const std::string& aTeam,
               Duration aWait,
               std::function<void(const Decision&)> aDone) -> void
  {
    auto& host = *mHosts.at(aHost);
    if (!host.mAlive) {
      return;
    }
    const auto run =
      [this, &host, aTeam, aWait, aDone, generation = host.mGeneration] {
        if (host.mGeneration != generation) {
          return;
        }
        ClientOutput output;
        const auto now = LocalTime(host);
        const auto id = Acquire(host.mNode, aTeam, 1, now + aWait, now, output);
        mWaiting[{ host.mName, id }] = { aTeam, aDone };
        Dispatch(host, output, false);
        ScheduleStep(host);
      };
    if (host.mFrozen) {
      host.mDeferred.push_back(run);
    } else {
      run();
    }
  }

  auto Now() const -> TimePoint { return mNow; }
  auto Host(const std::string& aName) -> FakeHost& { return *mHosts.at(aName); }
  auto Hosts() const -> const std::map<std::string, std::unique_ptr<FakeHost>>&
  {
    return mHosts;
  }
  // Every deduction by a holder, whether or not the grant arrives, and every
  // use of a prefetched token.
  auto Deductions() const -> const std::vector<Deduction>&
  {
    return mDeductions;
  }
  // Every admission, at the time when its host starts the request.
  auto Admissions() const -> const std::vector<Deduction>&
  {
    return mAdmissions;
  }
  auto Messages() const -> std::uint64_t { return mMessages; }

  std::function<void(const FakeHost& aFrom, const Outgoing& aMessage)> mOnSend;

private:
  struct Waiting
  {
    std::string mTeam;
    std::function<void(const Decision&)> mDone;
  };

  auto LocalTime(const FakeHost& aHost) const -> TimePoint
  {
    return TimePoint(std::chrono::duration_cast<Duration>(
             std::chrono::duration<double, Duration::period>(
               mNow.time_since_epoch()) *
             aHost.mSpeed)) +
           aHost.mOffset;
  }

  auto IsPartitioned(const FakeHost& aOne, const std::string& aOther) const
    -> bool
  {
    const auto other = mHosts.find(aOther);
    const auto domain = other == mHosts.end() ? aOther : other->second->mDomain;
    for (const auto& one : { aOne.mName, aOne.mDomain }) {
      if (mPartitions.contains({ one, aOther }) ||
          mPartitions.contains({ one, domain })) {
        return true;
      }
    }
    return false;
  }

  auto Start(FakeHost& aHost) -> void
  {
    const auto generation = aHost.mGeneration + 1;
    FakeHost fresh;
    fresh.mName = aHost.mName;
    fresh.mDomain = aHost.mDomain;
    fresh.mSpeed = aHost.mSpeed;
    fresh.mOffset = aHost.mOffset;
    aHost = std::move(fresh);
    aHost.mGeneration = generation;
    aHost.mFailureDetector.mHost = aHost.mName;
    aHost.mFailureDetector.mDomain = aHost.mDomain;
    aHost.mNode.mSettings = mOptions.mLimits;
    // Answers to an earlier process must not match an id of this one.
    aHost.mNode.mClient.mNextId = generation << 40U;
    aHost.mNode.mHolder.mSequence = generation << 40U;
    Join(aHost);
    ScheduleTick(aHost, generation);
    ScheduleRead(aHost, generation);
  }

  auto Join(FakeHost& aHost) -> void
  {
    aHost.mFailureDetector.mProcess = { 1, ++mProcess };
    const auto process = mProcess;
    const auto name = aHost.mName;
    const auto domain = aHost.mDomain;
    Append([=](FakeHost& aReader, const RecordContext& aContext) {
      flatbuffers::FlatBufferBuilder builder;
      const record::RecordId id(1, process);
      builder.Finish(record::CreateHostJoinedDirect(
        builder, name.c_str(), domain.c_str(), "r", "", "", &id));
      Apply(
        aReader.mMembers,
        aContext,
        *flatbuffers::GetRoot<record::HostJoined>(builder.GetBufferPointer()));
    });
  }

  auto Append(std::function<void(FakeHost&, const RecordContext&)> aApply)
    -> void
  {
    // The writer retries the append while the log is unavailable.
    if (mLogDown) {
      At(50ms, [this, aApply] { Append(aApply); });
      return;
    }
    mLog.push_back({ mNow + mOptions.mAppendLatency, std::move(aApply) });
  }

  auto ScheduleTick(FakeHost& aHost, std::uint64_t aGeneration) -> void
  {
    At(10ms, [this, &aHost, aGeneration] {
      if (aHost.mGeneration != aGeneration) {
        return;
      }
      if (!aHost.mFrozen) {
        TickHost(aHost);
      }
      ScheduleTick(aHost, aGeneration);
    });
  }

  auto ScheduleRead(FakeHost& aHost, std::uint64_t aGeneration) -> void
  {
    At(25ms, [this, &aHost, aGeneration] {
      if (aHost.mGeneration != aGeneration) {
        return;
      }
      if (!aHost.mFrozen && !mLogDown && !IsPartitioned(aHost, "log")) {
        const auto started = LocalTime(aHost);
        const auto end = VisibleEnd();
        At(mOptions.mReadLatency, [this, &aHost, aGeneration, started, end] {
          const auto run = [this, &aHost, aGeneration, started, end] {
            if (aHost.mGeneration == aGeneration) {
              OnRead(aHost, started, end);
            }
          };
          aHost.mFrozen ? aHost.mDeferred.push_back(run) : run();
        });
      }
      ScheduleRead(aHost, aGeneration);
    });
  }

  auto VisibleEnd() const -> std::size_t
  {
    auto end = mLog.size();
    while (end > 0 && mLog[end - 1].mVisible > mNow) {
      --end;
    }
    return end;
  }

  auto OnRead(FakeHost& aHost, TimePoint aStarted, std::size_t aEnd) -> void
  {
    for (; aHost.mAppliedEntries < aEnd; ++aHost.mAppliedEntries) {
      const RecordContext context{
        aHost.mAppliedEntries + 1,
        0,
        LogTime(std::chrono::duration_cast<std::chrono::milliseconds>(
          mLog[aHost.mAppliedEntries].mVisible.time_since_epoch()))
      };
      mLog[aHost.mAppliedEntries].mApply(aHost, context);
    }
    OnApplied(
      aHost.mFailureDetector, aHost.mMembers, aHost.mAppliedEntries + 1);
    OnLogContact(aHost.mFailureDetector, aStarted);
    // The shares change only with a new record.
    if (aHost.mAppliedEntries != aHost.mViewEntries) {
      aHost.mViewEntries = aHost.mAppliedEntries;
      UpdateView(aHost);
    }
  }

  auto UpdateView(FakeHost& aHost) -> void
  {
    const auto now = LocalTime(aHost);
    const auto settled = UpdateSettled(
      aHost.mFailureDetector, aHost.mMembers, mOptions.mFailureDetector, now);
    auto view = BuildView(
      aHost.mName, aHost.mDomain, "r", aHost.mMembers, aHost.mHistory);
    UpdateRoles(aHost.mRoles,
                OwnerRoles(aHost.mMembers, aHost.mName, aHost.mDomain),
                aHost.mMembers.mDomainChanges[aHost.mDomain],
                settled);
    view.mOwnedGroups = OwnedGroups(aHost.mRoles);
    view.mRoleDeadline = RoleDeadline(
      aHost.mFailureDetector, aHost.mMembers, mOptions.mFailureDetector);
    // A host knows the speed of its clock within the error of its calibration.
    view.mAccrualFactor = mOptions.mAccrualFactor / std::max(1.0, aHost.mSpeed);
    SetView(aHost.mNode, std::move(view), now);
  }

  auto TickHost(FakeHost& aHost) -> void
  {
    const auto now = LocalTime(aHost);
    const auto reachesLog = !mLogDown && !IsPartitioned(aHost, "log");
    for (const auto& proposal : FenceProposals(aHost.mFailureDetector,
                                               aHost.mMembers,
                                               mOptions.mFailureDetector,
                                               now)) {
      if (reachesLog) {
        Propose(aHost.mName, proposal);
      }
    }
    const auto* const self = FindMember(aHost.mMembers, aHost.mName);
    if (reachesLog && self != nullptr &&
        self->mProcess == aHost.mFailureDetector.mProcess &&
        (self->mFence != 0 || aHost.mFailureDetector.mReportedFenced)) {
      aHost.mFailureDetector.mReportedFenced = false;
      Join(aHost);
    }
    for (const auto& [to, heartbeat] : DueHeartbeats(aHost.mFailureDetector,
                                                     aHost.mMembers,
                                                     mOptions.mFailureDetector,
                                                     now)) {
      SendHeartbeat(aHost, to, heartbeat);
    }
    RefreshRoles(aHost, now);
    StepHost(aHost);
  }

  // Updates the fields of the view that change without a new record.
  auto RefreshRoles(FakeHost& aHost, TimePoint aNow) -> void
  {
    const auto change = aHost.mMembers.mDomainChanges[aHost.mDomain];
    UpdateRoles(aHost.mRoles,
                OwnerRoles(aHost.mMembers, aHost.mName, aHost.mDomain),
                change,
                UpdateSettled(aHost.mFailureDetector,
                              aHost.mMembers,
                              mOptions.mFailureDetector,
                              aNow));
    aHost.mNode.mView.mOwnedGroups = OwnedGroups(aHost.mRoles);
    aHost.mNode.mView.mRoleDeadline = RoleDeadline(
      aHost.mFailureDetector, aHost.mMembers, mOptions.mFailureDetector);
  }

  auto Propose(const std::string& aProposer, const FenceProposal& aProposal)
    -> void
  {
    Append([=](FakeHost& aReader, const RecordContext& aContext) {
      flatbuffers::FlatBufferBuilder builder;
      builder.Finish(record::CreateHostFencedDirect(builder,
                                                    aProposal.mHost.c_str(),
                                                    aProposal.mIncarnation,
                                                    aProposer.c_str()));
      Apply(
        aReader.mMembers,
        aContext,
        *flatbuffers::GetRoot<record::HostFenced>(builder.GetBufferPointer()));
    });
  }

  auto SendHeartbeat(FakeHost& aFrom,
                     const std::string& aTo,
                     const HeartbeatInfo& aHeartbeat) -> void
  {
    Transmit(aFrom, aTo, [this, &aFrom, aHeartbeat](FakeHost& aReceiver) {
      const auto ack = OnHeartbeat(aReceiver.mFailureDetector,
                                   aReceiver.mMembers,
                                   aFrom.mName,
                                   aHeartbeat,
                                   LocalTime(aReceiver));
      const auto receiver = aReceiver.mName;
      Transmit(aReceiver, aFrom.mName, [this, receiver, ack](FakeHost& aHost) {
        OnHeartbeatAck(aHost.mFailureDetector,
                       aHost.mMembers,
                       receiver,
                       ack,
                       LocalTime(aHost));
      });
    });
  }

  auto StepHost(FakeHost& aHost) -> void
  {
    ClientOutput output;
    Step(aHost.mNode, LocalTime(aHost), output);
    Dispatch(aHost, output, false);
    ScheduleStep(aHost);
  }

  // Schedules a step if the host has work before its next tick.
  auto ScheduleStep(FakeHost& aHost) -> void
  {
    const auto wake = NextWake(aHost.mNode);
    const auto now = LocalTime(aHost);
    const auto pending = aHost.mWakeAt > now && aHost.mWakeAt <= wake;
    if (wake > now && wake - now < 10ms && !pending) {
      aHost.mWakeAt = wake;
      const auto wait = std::chrono::ceil<Duration>(
        std::chrono::duration<double>(wake - now) / aHost.mSpeed);
      At(wait + 1us, [this, &aHost, generation = aHost.mGeneration] {
        if (aHost.mGeneration == generation && !aHost.mFrozen && aHost.mAlive) {
          StepHost(aHost);
        }
      });
    }
  }

  auto Dispatch(FakeHost& aHost, ClientOutput& aOutput, bool aRemoteGrant)
    -> void
  {
    for (const auto& decision : aOutput.mDecisions) {
      const auto found = mWaiting.find({ aHost.mName, decision.mWaiter });
      if (found != mWaiting.end()) {
        Finish(found, decision, aRemoteGrant);
      }
    }
    for (const auto& message : aOutput.mMessages) {
      CountMessage(aHost, message);
      Transmit(
        aHost,
        message.mTo,
        [this, from = aHost.mName, body = message.mMessage](
          FakeHost& aReceiver) {
          ClientOutput output;
          Deliver(aReceiver.mNode, from, body, LocalTime(aReceiver), output);
          Dispatch(aReceiver, output, std::holds_alternative<TokenGrant>(body));
          ScheduleStep(aReceiver);
        });
    }
  }

  template<typename Found>
  auto Finish(Found aFound, const Decision& aDecision, bool aRemoteGrant)
    -> void
  {
    const auto waiting = std::move(aFound->second);
    mWaiting.erase(aFound);
    if (aDecision.mGranted) {
      mAdmissions.push_back({ waiting.mTeam, mNow });
      if (!aRemoteGrant) {
        mDeductions.push_back({ waiting.mTeam, mNow });
      }
    }
    if (waiting.mDone) {
      waiting.mDone(aDecision);
    }
  }

  auto CountMessage(FakeHost& aHost, const Outgoing& aMessage) -> void
  {
    ++mMessages;
    if (mOnSend) {
      mOnSend(aHost, aMessage);
    }
    if (const auto* tokenRequest =
          std::get_if<TokenRequest>(&aMessage.mMessage)) {
      for (const auto& demand : tokenRequest->mDemands) {
        mDemandTeams[{ aHost.mName, demand.mId }] = demand.mTeam;
      }
    } else if (const auto* grant =
                 std::get_if<TokenGrant>(&aMessage.mMessage)) {
      for (const auto& entry : grant->mEntries) {
        if (entry.mStatus == TokenStatus::Granted) {
          mDeductions.push_back(
            { mDemandTeams.at({ aMessage.mTo, entry.mId }), mNow });
        }
      }
    }
  }

  auto Transmit(FakeHost& aFrom,
                const std::string& aTo,
                std::function<void(FakeHost&)> aArrive) -> void
  {
    const auto found = mHosts.find(aTo);
    if (found == mHosts.end() || Uniform(mRandom) < mOptions.mLossProbability) {
      return;
    }
    auto& to = *found->second;
    const auto copies =
      Uniform(mRandom) < mOptions.mDuplicateProbability ? 2 : 1;
    for (auto copy = 0; copy < copies; ++copy) {
      const auto base = to.mDomain == aFrom.mDomain
                          ? mOptions.mIntraDomainDelay
                          : mOptions.mInterDomainDelay;
      auto delay = std::chrono::duration_cast<Duration>(
        base * (1 + mOptions.mJitter * Uniform(mRandom)));
      if (Uniform(mRandom) < mOptions.mDelayProbability) {
        delay += std::chrono::duration_cast<Duration>(mOptions.mMaxExtraDelay *
                                                      Uniform(mRandom));
      }
      At(delay, [this, &aFrom, &to, aArrive, generation = to.mGeneration] {
        if (!to.mAlive || to.mGeneration != generation ||
            IsPartitioned(aFrom, to.mName)) {
          return;
        }
        const auto run = [&to, aArrive, generation] {
          if (to.mAlive && to.mGeneration == generation) {
            aArrive(to);
          }
        };
        to.mFrozen ? to.mDeferred.push_back(run) : run();
      });
    }
  }

  FleetOptions mOptions;
  Random mRandom;
  TimePoint mNow{};
  std::uint64_t mOrder = 0;
  std::uint64_t mProcess = 0;
  std::uint64_t mRevision = 0;
  std::uint64_t mMessages = 0;
  bool mLogDown = false;
  std::priority_queue<Event, std::vector<Event>, RunsLater> mEvents;
  std::map<std::string, std::unique_ptr<FakeHost>> mHosts;
  std::set<std::pair<std::string, std::string>> mPartitions;
  std::vector<LogRecord> mLog;
  std::map<std::pair<std::string, std::uint64_t>, Waiting> mWaiting;
  std::map<std::pair<std::string, std::uint64_t>, std::string> mDemandTeams;
  std::vector<Deduction> mDeductions;
  std::vector<Deduction> mAdmissions;
};

// Largest excess of the admissions over aRate * w + aBurst in any window of any
// length w, which is 0 or less if the bound holds. aTimes must be sorted.
inline auto WindowExcess(const std::vector<TimePoint>& aTimes,
                         double aRate,
                         double aBurst) -> double
{
  // With f(i) = i - rate * t(i), the excess of the window from i to j is
  // f(j) - f(i) + 1 - burst.
  auto least = std::numeric_limits<double>::infinity();
  auto worst = -aBurst;
  for (std::size_t index = 0; index < aTimes.size(); ++index) {
    const std::chrono::duration<double> since = aTimes[index] - aTimes.front();
    const auto value = static_cast<double>(index) - aRate * since.count();
    least = std::min(least, value);
    worst = std::max(worst, value - least + 1 - aBurst);
  }
  return worst;
}

// Times of one team's admissions.
inline auto AdmissionTimes(const std::vector<Deduction>& aAll,
                           const std::string& aTeam) -> std::vector<TimePoint>
{
  std::vector<TimePoint> times;
  for (const auto& one : aAll) {
    if (one.mTeam == aTeam) {
      times.push_back(one.mAt);
    }
  }
  return times;
}

// A request offered to the fleet.
struct OfferedRequest
{
  std::string mTeam;
  std::string mHost;
  TimePoint mAt{};
  bool mDecided = false;
  bool mGranted = false;
  Duration mDecisionTime{};
};

struct TeamLoad
{
  std::string mTeam;
  double mPerSecond = 0;
  double mSkew = 0; // fraction of the requests sent to the first host
  Duration mWait = 300ms;
};

// Offers Poisson arrivals of aLoads for the next aTime. Killed and frozen hosts
// receive none.
inline auto OfferLoad(FakeFleet& aFleet,
                      const std::vector<TeamLoad>& aLoads,
                      Duration aTime,
                      std::uint64_t aSeed,
                      std::vector<std::unique_ptr<OfferedRequest>>& aOffered)
  -> void
{
  struct Source
  {
    TeamLoad mLoad;
    Random mRandom;
    TimePoint mEnd{};
    std::function<void()> mNext;
  };
  for (std::size_t index = 0; index < aLoads.size(); ++index) {
    auto source = std::make_shared<Source>();
    source->mLoad = aLoads[index];
    source->mRandom = { aSeed * 1000 + index };
    source->mEnd = aFleet.Now() + aTime;
    const auto gap = [source] {
      return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        -std::log(1 - Uniform(source->mRandom)) / source->mLoad.mPerSecond));
    };
    source->mNext = [&aFleet, &aOffered, gap, raw = source.get()] {
      if (aFleet.Now() >= raw->mEnd) {
        return;
      }
      std::vector<std::string> hosts;
      for (const auto& [name, host] : aFleet.Hosts()) {
        if (host->mAlive && !host->mFrozen) {
          hosts.push_back(name);
        }
      }
      if (!hosts.empty()) {
        const auto skewed = Uniform(raw->mRandom) < raw->mLoad.mSkew;
        const auto& host = skewed
                             ? hosts.front()
                             : hosts[UniformBelow(raw->mRandom, hosts.size())];
        aOffered.push_back(std::make_unique<OfferedRequest>(OfferedRequest{
          raw->mLoad.mTeam, host, aFleet.Now(), false, false, {} }));
        auto* const request = aOffered.back().get();
        aFleet.Request(host,
                       raw->mLoad.mTeam,
                       raw->mLoad.mWait,
                       [request, &aFleet](const Decision& aDecision) {
                         request->mDecided = true;
                         request->mGranted = aDecision.mGranted;
                         request->mDecisionTime = aFleet.Now() - request->mAt;
                       });
      }
      aFleet.At(gap(), raw->mNext);
    };
    aFleet.At(gap(), [source] { source->mNext(); });
    // This event keeps the source alive until the load ends.
    aFleet.At(aTime + 1s, [source] {});
  }
}

// Outcome of a team's offered requests, compared with a single exact bucket
// that has the same arrivals and waits: it admits a request if its token
// accrues within the wait, in the order of arrival.
struct Comparison
{
  double mOffered = 0;
  double mAdmitted = 0;
  double mExact = 0;
  // Refusals that the exact bucket would not make: the largest lead, at any
  // time, of its admissions over those of the fleet.
  double mWrongfulRefusals = 0;
  // Requests refused although an exact bucket without waiting admits them.
  double mRefusedAdmissible = 0;
};

inline auto Compare(
  const std::vector<std::unique_ptr<OfferedRequest>>& aOffered,
  const std::string& aTeam,
  const Share& aLimit,
  Duration aWait) -> Comparison
{
  Comparison result;
  Bucket waiting;
  Bucket plain;
  waiting.mTokens = aLimit.mBurst;
  plain.mTokens = aLimit.mBurst;
  const std::chrono::duration<double> wait = aWait;
  for (const auto& request : aOffered) {
    if (request->mTeam != aTeam) {
      continue;
    }
    if (waiting.mAt == TimePoint()) {
      waiting.mAt = request->mAt;
      plain.mAt = request->mAt;
    }
    result.mOffered += 1;
    Accrue(waiting, aLimit.mRate, aLimit.mBurst, request->mAt);
    Accrue(plain, aLimit.mRate, aLimit.mBurst, request->mAt);
    if (waiting.mTokens - 1 >= -aLimit.mRate * wait.count()) {
      waiting.mTokens -= 1;
      result.mExact += 1;
    }
    const auto admits = Take(plain, 1);
    result.mAdmitted += request->mGranted ? 1 : 0;
    result.mRefusedAdmissible += admits && !request->mGranted ? 1 : 0;
    result.mWrongfulRefusals =
      std::max(result.mWrongfulRefusals, result.mExact - result.mAdmitted);
  }
  return result;
}

} // namespace mangovalve::fake
