// Assembly of one daemon. Each component receives its dependencies as a struct
// of functions, its ports. This file fills in the ports and owns the threads
// that poll the platform's host list, sync the replica and start the batch
// worker.
#include "mangovalve/host/host.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "mangovalve/batch/frontend.h"
#include "mangovalve/batch/worker.h"
#include "mangovalve/config/http_admin.h"
#include "mangovalve/endpoint/client.h"
#include "mangovalve/endpoint/endpoint_set.h"
#include "mangovalve/endpoint/load_poller.h"
#include "mangovalve/host/batch_dispatch.h"
#include "mangovalve/host/confirmations.h"
#include "mangovalve/host/http_server.h"
#include "mangovalve/host/replica_sync.h"
#include "mangovalve/host/stream_limiter.h"
#include "mangovalve/keys/keys.h"
#include "mangovalve/limits/limiter.h"
#include "mangovalve/log_service/host_list.h"
#include "mangovalve/log_service/http_log.h"
#include "mangovalve/membership/monitor.h"
#include "mangovalve/membership/rendezvous.h"
#include "mangovalve/online/frontend.h"
#include "mangovalve/peer/frame.h"
#include "mangovalve/peer/transport.h"
#include "mangovalve/replay/log_writer.h"
#include "mangovalve/replay/replica.h"
#include "mangovalve/replay/snapshotter.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"
#include "mangovalve/telemetry/span.h"

namespace mangovalve {
namespace {

constexpr std::chrono::milliseconds kWorkerStartInterval{ 100 };
constexpr std::chrono::milliseconds kSyncInterval{ 100 };
constexpr std::chrono::milliseconds kHostListInterval{ 500 };
constexpr std::chrono::milliseconds kHostListTimeout{ 500 };
constexpr std::size_t kOperatorThreads = 16;

auto ToCommitOptions(const HostSettings& aSettings) -> CommitOptions
{
  CommitOptions options;
  options.mWriter = aSettings.mHost;
  options.mFleetAppendsPerSecond = aSettings.mAppendBudget;
  return options;
}

auto ToTransportOptions(const HostSettings& aSettings) -> peer::TransportOptions
{
  peer::TransportOptions options;
  options.mHost = aSettings.mHost;
  options.mListenAddress = FormatAddress(aSettings.mPeers);
  return options;
}

auto FormatAddresses(const std::vector<Address>& aAddresses)
  -> std::vector<std::string>
{
  std::vector<std::string> texts;
  for (const auto& address : aAddresses) {
    texts.push_back(FormatAddress(address));
  }
  return texts;
}

auto ToMonitorOptions(const HostSettings& aSettings) -> MembershipMonitorOptions
{
  MembershipMonitorOptions options;
  options.mHost = aSettings.mHost;
  options.mDomain = aSettings.mDomain;
  options.mRegion = aSettings.mRegion;
  options.mPeerAddress = FormatAddress(aSettings.mPeers);
  options.mOperatorAddress = FormatAddress(aSettings.mOperators);
  return options;
}

auto ToSnapshotterOptions(const HostSettings& aSettings) -> SnapshotterOptions
{
  SnapshotterOptions options;
  options.mRetention = aSettings.mRetention;
  options.mPolicy.mInterval = StaggeredInterval(
    std::min(options.mPolicy.mInterval, aSettings.mRetention / 4),
    aSettings.mHost);
  return options;
}

auto ToFrontendOptions(const HostSettings& aSettings) -> OnlineFrontendOptions
{
  OnlineFrontendOptions options;
  options.mWorkers = aSettings.mCallersThreads;
  options.mMaxBodyBytes = kMaxUploadBytes; // see LimitBodies
  options.mDrain.mAcceptFor = aSettings.mDrainAccept;
  options.mDrain.mFinishWithin = aSettings.mDrainTimeout;
  return options;
}

auto ToOperatorOptions() -> OnlineFrontendOptions
{
  OnlineFrontendOptions options;
  options.mWorkers = kOperatorThreads;
  return options;
}

// A thread that calls a function at a fixed interval until it is destroyed.
class PeriodicThread
{
public:
  PeriodicThread(const std::string& aName,
                 std::chrono::milliseconds aInterval,
                 std::function<void()> aBody)
    : mThread(aName, [this, aInterval, body = std::move(aBody)] {
      const absl::MutexLock lock(&mMutex);
      while (!mStopping) {
        mMutex.Unlock();
        body();
        mMutex.Lock();
        mMutex.AwaitWithTimeout(absl::Condition(&mStopping),
                                absl::FromChrono(aInterval));
      }
    })
  {
  }

  ~PeriodicThread()
  {
    {
      const absl::MutexLock lock(&mMutex);
      mStopping = true;
    }
    mThread.Join();
  }

  PeriodicThread(const PeriodicThread&) = delete;
  auto operator=(const PeriodicThread&) -> PeriodicThread& = delete;

private:
  absl::Mutex mMutex;
  bool mStopping = false;
  Thread mThread;
};

} // namespace

struct Host::Impl
{
  explicit Impl(const HostSettings& aSettings);

  auto FillOnlinePorts() -> void;
  auto FillBatchPorts() -> void;
  auto AddOperatorRoutes() -> void;
  auto ToMonitorPorts() -> MembershipMonitorPorts;
  auto ToLimiterPorts() -> LimiterPorts;
  auto MakeSender()
    -> std::function<auto(const std::string&, std::string)->void>;
  auto SetMessageHandlers() -> void;
  auto WakeWorker() -> void;
  auto PublishState(bool aMembersChanged) -> void;
  auto StartWorker() -> void;
  auto PollHostList() -> void;
  auto FetchEndpointsFromPeer()
    -> Result<std::vector<ListedHost>, PlatformError>;
  auto EndpointsAsJson() -> std::string;
  auto TeamOf(const httplib::Request& aRequest) -> std::optional<std::string>;
  auto ToStreamLimiterPorts() -> StreamLimiterPorts;
  auto ActiveHosts() -> std::vector<std::string>;
  auto AcceptsKeys(const Document& aDocument) -> bool;
  auto TeamOfKey(const Document& aDocument, const std::string& aKey)
    -> std::optional<std::string>;

  HostSettings mSettings;
  const TimePoint mStartedAt = Clock::now();
  LogPort mLog;
  HostListPort mHostList;
  Replica mReplica;
  LogWriter mWriter;
  peer::Transport mTransport;
  ReplicaSync mSync;
  MembershipMonitor mMonitor;
  Snapshotter mSnapshotter;
  Limiter mLimiter;
  EndpointSet mEndpoints;
  EndpointClient mClient;
  StopWatcher mStopWatcher;
  StreamLimiter mStreamLimiter;

  OnlinePorts mOnline;
  BatchPorts mBatch;
  std::unique_ptr<OnlineFrontend> mFrontend;
  std::unique_ptr<HttpServer> mCallers;
  std::unique_ptr<HttpServer> mOperators;
  std::unique_ptr<LoadPoller> mLoadPoller;
  std::vector<std::unique_ptr<PeriodicThread>> mPeriodicThreads;
  // Index of the peer that FetchEndpointsFromPeer queries next. Only used on
  // the host list's thread.
  std::size_t mNextPeer = 0;

  absl::Mutex mMutex;
  bool mDraining ABSL_GUARDED_BY(mMutex) = false;
  // Created at most once, and not after mDraining has been set.
  std::unique_ptr<Worker> mWorker;
  // Only used in the replica's hooks, which run one at a time.
  std::uint64_t mPublishedRevision = 0; // of the document
  MemberState mMembers;
};

Host::Impl::Impl(const HostSettings& aSettings)
  : mSettings(aSettings)
  , mLog(HttpLogPort(FormatAddress(aSettings.mPlatform)))
  , mHostList(HttpHostListPort(FormatAddress(aSettings.mPlatform)))
  , mReplica(mLog)
  , mWriter(mLog,
            mReplica,
            ToCommitOptions(aSettings),
            [this] {
              return mReplica.Read([](const FleetState& aState) {
                return RegisteredCount(aState.mMembers);
              });
            })
  , mTransport(ToTransportOptions(aSettings))
  , mSync(aSettings.mHost,
          FormatAddress(aSettings.mPeers),
          FormatAddresses(aSettings.mSeeds),
          mReplica,
          mTransport)
  , mMonitor(ToMonitorOptions(aSettings), ToMonitorPorts())
  , mSnapshotter(mReplica, mWriter.Port(), ToSnapshotterOptions(aSettings))
  , mLimiter({ aSettings.mHost, aSettings.mDomain, aSettings.mRegion, {} },
             ToLimiterPorts())
  , mEndpoints(aSettings.mDomain)
  , mStreamLimiter(ToStreamLimiterPorts())
{
  mReplica.OnApplied([this](const AppliedEntry& aApplied) {
    const auto changesMembers = [](const AppliedRecord& aRecord) {
      return aRecord.mType == record::RecordBody::HostJoined ||
             aRecord.mType == record::RecordBody::HostFenced ||
             aRecord.mType == record::RecordBody::HostRemoved;
    };
    PublishState(std::any_of(
      aApplied.mRecords.begin(), aApplied.mRecords.end(), changesMembers));
  });
  mReplica.OnSkipped([this] { PublishState(true); });
  mReplica.OnCurrent(
    [this](TimePoint aSentAt) { mMonitor.RecordLogContact(aSentAt); });
  SetMessageHandlers();
  FillOnlinePorts();
  FillBatchPorts();
}

auto Host::Impl::ToMonitorPorts() -> MembershipMonitorPorts
{
  MembershipMonitorPorts ports;
  ports.mSend = MakeSender();
  ports.mJournal = mWriter.Port();
  return ports;
}

auto Host::Impl::ToLimiterPorts() -> LimiterPorts
{
  LimiterPorts ports;
  ports.mSend = MakeSender();
  ports.mMayUse = [this](const std::string& aRole) {
    return mMonitor.MayUse(aRole);
  };
  ports.mRolesValidUntil = [this] { return mMonitor.RolesValidUntil(); };
  return ports;
}

auto Host::Impl::ToStreamLimiterPorts() -> StreamLimiterPorts
{
  StreamLimiterPorts ports;
  ports.mHost = mSettings.mHost;
  ports.mDomain = mSettings.mDomain;
  ports.mDocument = [this] { return mReplica.CurrentDocument(); };
  ports.mEndpoints = [this] { return mEndpoints.List(Clock::now()); };
  ports.mDomainHosts = [this] { return ActiveHosts(); };
  ports.mMayUse = [this](const std::string& aRole) {
    return mMonitor.MayUse(aRole);
  };
  ports.mSendPressure = [this](const std::string& aHost,
                               const std::string& aEndpoint,
                               std::uint32_t aWaiting) {
    flatbuffers::FlatBufferBuilder builder;
    const auto pressure =
      peer::CreateOnlinePressureDirect(builder, aEndpoint.c_str(), aWaiting);
    mTransport.Send(aHost, peer::Encode(mSettings.mHost, builder, pressure));
  };
  ports.mWakeWorker = [this] { WakeWorker(); };
  return ports;
}

auto Host::Impl::WakeWorker() -> void
{
  const absl::MutexLock lock(&mMutex);
  if (mWorker) {
    mWorker->Wake();
  }
}

auto Host::Impl::MakeSender()
  -> std::function<auto(const std::string&, std::string)->void>
{
  return [this](const std::string& aHost, std::string aFrame) {
    mTransport.Send(aHost, std::move(aFrame));
  };
}

// Sets one handler for each message type. Heartbeats and their acknowledgements
// also carry the applied position of the sender's replica.
auto Host::Impl::SetMessageHandlers() -> void
{
  using peer::Message;
  mTransport.SetHandler(Message::Heartbeat, [this](const peer::Frame& aFrame) {
    mSync.RecordPosition(aFrame.from()->str(),
                         aFrame.message_as_Heartbeat()->applied());
    mMonitor.Handle(aFrame);
  });
  mTransport.SetHandler(
    Message::HeartbeatAck, [this](const peer::Frame& aFrame) {
      mSync.RecordPosition(aFrame.from()->str(),
                           aFrame.message_as_HeartbeatAck()->applied());
      mMonitor.Handle(aFrame);
    });
  mTransport.SetHandler(
    Message::OnlinePressure, [this](const peer::Frame& aFrame) {
      const auto& pressure = *aFrame.message_as_OnlinePressure();
      mStreamLimiter.RecordPressure(pressure.endpoint()->str(),
                                    pressure.waiting());
    });
  for (const auto type : { Message::LeaseRequest,
                           Message::LeaseGrant,
                           Message::TokenRequest,
                           Message::TokenGrant }) {
    mTransport.SetHandler(
      type, [this](const peer::Frame& aFrame) { mLimiter.Handle(aFrame); });
  }
}

// Passes the replayed state to the components that keep a copy of a part of it.
auto Host::Impl::PublishState(bool aMembersChanged) -> void
{
  const auto [members, next] = mReplica.Read([&](const FleetState& aState) {
    return std::pair(aMembersChanged ? aState.mMembers : mMembers,
                     aState.mNext);
  });
  mMembers = members;
  if (aMembersChanged) {
    mSync.SetMembers(mMembers);
    mLimiter.SetMembers(mMembers);
  }
  const auto document = mReplica.CurrentDocument();
  if (document->mRevision != mPublishedRevision) {
    mPublishedRevision = document->mRevision;
    FindCounter("config_revision")
      .Set(static_cast<std::int64_t>(mPublishedRevision));
    mLimiter.SetDocument(document);
  }
  // Must be last, because an offset that is confirmed to peers means that this
  // host has applied it in every component.
  mMonitor.SetMembers(mMembers, next);
  WakeWorker();
}

auto Host::Impl::ActiveHosts() -> std::vector<std::string>
{
  return mReplica.Read([this](const FleetState& aState) {
    return ActiveInDomain(aState.mMembers, mSettings.mDomain);
  });
}

auto Host::Impl::AcceptsKeys(const Document& aDocument) -> bool
{
  const auto contact =
    std::max({ mStartedAt,
               mReplica.LastLogContact().value_or(mStartedAt),
               mSync.LastPeerContact() });
  return AreKeysAccepted(aDocument.mSettings, contact, Clock::now());
}

auto Host::Impl::TeamOfKey(const Document& aDocument, const std::string& aKey)
  -> std::optional<std::string>
{
  const auto* const key = FindKey(aDocument, aKey);
  if (key == nullptr || !AcceptsKeys(aDocument)) {
    return std::nullopt;
  }
  return key->mTeam;
}

auto Host::Impl::TeamOf(const httplib::Request& aRequest)
  -> std::optional<std::string>
{
  HeaderList headers(aRequest.headers.begin(), aRequest.headers.end());
  return TeamOfKey(*mReplica.CurrentDocument(),
                   ExtractKey(headers, aRequest.target));
}

auto Host::Impl::FillOnlinePorts() -> void
{
  mOnline.mHost = mSettings.mHost;
  mOnline.mDocument = [this] { return mReplica.CurrentDocument(); };
  mOnline.mTeamOfKey = [this](const Document& aDocument,
                              const std::string& aKey) {
    return TeamOfKey(aDocument, aKey);
  };
  mOnline.mAcquireToken =
    [this](const std::string& aTeam,
           TimePoint aDeadline) -> Result<void, RateRefusal> {
    const auto admission = mLimiter.Acquire(aTeam, 1, aDeadline);
    if (std::holds_alternative<Granted>(admission)) {
      return {};
    }
    return Err(RateRefusal{ RateRefusal::Kind::OverRate,
                            std::chrono::ceil<std::chrono::milliseconds>(
                              std::get<Refused>(admission).mRetryAfter) });
  };
  mOnline.mFindIntent = [this](const std::string& aTeam,
                               const std::string& aKey) {
    return mReplica.Read([&](const FleetState& aState) {
      return FindIntent(aState.mIntents, aTeam, aKey);
    });
  };
  mOnline.mJournal = mWriter.Port();
  mOnline.mEndpoints = &mEndpoints;
  mOnline.mClient = &mClient;
  mOnline.mOnWaiting = [this](const std::string& aService,
                              std::uint32_t aWaiting) {
    mStreamLimiter.RecordWaiting(aService, aWaiting);
  };
  mOnline.mOnFirstByte = [this](const std::string& aEndpoint, Duration aDelay) {
    mStreamLimiter.RecordFirstByte(aEndpoint, aDelay);
  };
}

auto Host::Impl::FillBatchPorts() -> void
{
  mBatch.mJournal = mWriter.Port();
  mBatch.mRead =
    [this](
      const std::function<void(const BatchState&, const Holders&)>& aRead) {
      mReplica.Read([&aRead](const FleetState& aState) {
        Holders holders;
        for (const auto& [name, member] : aState.mMembers.mMembers) {
          if (member.mFence == 0) {
            holders.insert(absl::StrCat(name, "@", member.mIncarnation));
          }
        }
        aRead(aState.mBatch, holders);
      });
    };
  mBatch.mDocument = [this] { return mReplica.CurrentDocument(); };
  mBatch.mTeam = [this](const httplib::Request& aRequest) {
    return TeamOf(aRequest);
  };
  mBatch.mDispatch = [this](const BatchDispatch& aDispatch,
                            const StopFlag& aStop) {
    return RunBatchItem(
      mClient, mStopWatcher, *mReplica.CurrentDocument(), aDispatch, aStop);
  };
  mBatch.mStreamLimits = [this] { return mStreamLimiter.CurrentLimits(); };
  mBatch.mMayUseRoles = [this] {
    return Clock::now() <= mMonitor.RolesValidUntil();
  };
  mBatch.mNow = [] { return Clock::now(); };
  mBatch.mLogTime = [this] {
    return mReplica.Read(
      [](const FleetState& aState) { return aState.mLogTime; });
  };
  mBatch.mLogRetention = mSettings.mRetention;
}

// Starts the batch worker once this host is a member. The worker's claims
// contain the incarnation, so that a restarted host does not treat the claims
// of its previous incarnation as its own.
auto Host::Impl::StartWorker() -> void
{
  const auto incarnation = mMonitor.Incarnation();
  const absl::MutexLock lock(&mMutex);
  if (!mWorker && !mDraining && mReplica.CaughtUp() && incarnation != 0) {
    WorkerSettings settings;
    settings.mHolder = absl::StrCat(mSettings.mHost, "@", incarnation);
    mWorker = std::make_unique<Worker>(mBatch, settings);
  }
}

auto Host::Impl::PollHostList() -> void
{
  auto hosts = mHostList.mFetchHosts(Clock::now() + kHostListTimeout);
  if (!hosts) {
    FindCounter("host_list_errors_total").Add();
    if (!mEndpoints.List(Clock::now()).empty()) {
      return; // the known endpoints are preferred to a peer's list
    }
    hosts = FetchEndpointsFromPeer();
  }
  if (!hosts) {
    return;
  }
  std::vector<EndpointHint> hints;
  for (const auto& host : *hosts) {
    hints.push_back(
      { host.mService, host.mAddress, host.mDomain, host.mLeaving });
  }
  mEndpoints.ApplyHostList(hints);
}

// Fetches the endpoints from a peer, which returns them in the platform's
// format. Without this, a host that starts while the platform is unavailable
// would know no endpoint and could not serve. Queries one peer per call, in
// rotation.
auto Host::Impl::FetchEndpointsFromPeer()
  -> Result<std::vector<ListedHost>, PlatformError>
{
  std::vector<std::string> addresses;
  mReplica.Read([&](const FleetState& aState) {
    for (const auto& [name, member] : aState.mMembers.mMembers) {
      if (name != mSettings.mHost) {
        addresses.push_back(member.mOperatorAddress);
      }
    }
  });
  if (addresses.empty()) {
    return Err(
      PlatformError{ PlatformError::Kind::NotSent, "no peer is known" });
  }
  const auto& address = addresses[mNextPeer++ % addresses.size()];
  return HttpHostListPort(address).mFetchHosts(Clock::now() + kHostListTimeout);
}

auto Host::Impl::EndpointsAsJson() -> std::string
{
  auto hosts = nlohmann::json::array();
  for (const auto& endpoint : mEndpoints.List(Clock::now())) {
    const auto leaving = endpoint.mState == EndpointState::Leaving;
    hosts.push_back({ { "service", endpoint.mHint.mService },
                      { "address", endpoint.mHint.mAddress },
                      { "domain", endpoint.mHint.mDomain },
                      { "state", leaving ? "leaving" : "live" } });
  }
  return nlohmann::json{ { "hosts", hosts } }.dump();
}

auto Host::Impl::AddOperatorRoutes() -> void
{
  auto& routes = mOperators->Routes();
  if (!mSettings.mOperatorTokenDigest.empty()) {
    RequireToken(routes, mSettings.mOperatorTokenDigest);
  }
  routes.Get("/healthz",
             [](const httplib::Request&, httplib::Response& aReply) {
               aReply.set_content("ok\n", "text/plain");
             });
  routes.Get(
    "/readyz", [this](const httplib::Request&, httplib::Response& aReply) {
      const auto serving =
        mFrontend->CurrentDrainPhase() == DrainPhase::Serving;
      const auto ready = mReplica.Ready() && serving;
      aReply.status = ready ? 200 : 503;
      aReply.set_content(ready
                           ? "ready\n"
                           : absl::StrCat(serving ? "starting " : "draining ",
                                          mReplica.CatchUpError(),
                                          "\n"),
                         "text/plain");
    });
  routes.Get("/metrics",
             [](const httplib::Request&, httplib::Response& aReply) {
               aReply.set_content(RenderCounters(), "text/plain");
             });
  routes.Get("/spans", [](const httplib::Request&, httplib::Response& aReply) {
    aReply.set_content(absl::StrCat(absl::StrJoin(RecentSpans(), "\n"), "\n"),
                       "text/plain");
  });
  routes.Get("/v1/hosts",
             [this](const httplib::Request&, httplib::Response& aReply) {
               aReply.set_content(EndpointsAsJson(), "application/json");
             });
  routes.Get(
    kPositionPath, [this](const httplib::Request&, httplib::Response& aReply) {
      aReply.set_content(nlohmann::json{ { "next", mReplica.Next() } }.dump(),
                         "application/json");
    });
  ConfigAdmin admin;
  admin.mReplica = &mReplica;
  admin.mJournal = mWriter.Port();
  admin.mConfirmations = [this] {
    const auto members =
      mReplica.Read([](const FleetState& aState) { return aState.mMembers; });
    return QueryConfirmations(members, mSettings.mHost, mReplica.Next());
  };
  RegisterConfigAdmin(routes, admin);
}

Host::Host(const HostSettings& aSettings)
  : mImpl(std::make_unique<Impl>(aSettings))
{
}

Host::~Host()
{
  Stop();
}

auto Host::Start() -> Result<void, std::string>
{
  auto& host = *mImpl;
  host.mFrontend = std::make_unique<OnlineFrontend>(
    host.mOnline, ToFrontendOptions(host.mSettings));
  host.mCallers =
    std::make_unique<HttpServer>("callers", ToFrontendOptions(host.mSettings));
  host.mOperators =
    std::make_unique<HttpServer>("operators", ToOperatorOptions());
  LimitBodies(host.mCallers->Routes(), host.mSettings.mMaxBodyBytes);
  AddJobRoutes(host.mCallers->Routes(), host.mBatch);
  host.mFrontend->Register(host.mCallers->Routes());
  host.AddOperatorRoutes();
  if (const auto started = host.mTransport.Start(); !started) {
    return Err(started.error());
  }
  if (const auto started = host.mOperators->Start(host.mSettings.mOperators);
      !started) {
    return Err(started.error());
  }
  if (const auto started = host.mCallers->Start(host.mSettings.mCallers);
      !started) {
    return Err(started.error());
  }
  host.mWriter.Start();
  host.mReplica.Start();
  host.mMonitor.Start();
  host.mSnapshotter.Start();
  host.mLimiter.Start();
  const auto startPeriodic = [&host](const char* aName,
                                     std::chrono::milliseconds aInterval,
                                     std::function<void()> aBody) {
    host.mPeriodicThreads.push_back(
      std::make_unique<PeriodicThread>(aName, aInterval, std::move(aBody)));
  };
  startPeriodic(
    "worker-start", kWorkerStartInterval, [&host] { host.StartWorker(); });
  startPeriodic("replica-sync", kSyncInterval, [&host] { host.mSync.Tick(); });
  startPeriodic(
    "host-list", kHostListInterval, [&host] { host.PollHostList(); });
  host.mLoadPoller =
    std::make_unique<LoadPoller>(host.mClient, host.mEndpoints);
  LogEvent(Severity::Info,
           "started",
           { { "host", host.mSettings.mHost },
             { "domain", host.mSettings.mDomain },
             { "callers", FormatAddress(host.mSettings.mCallers) },
             { "operators", FormatAddress(host.mSettings.mOperators) },
             { "peers", FormatAddress(host.mSettings.mPeers) } });
  return {};
}

auto Host::Drain() -> void
{
  auto& host = *mImpl;
  LogEvent(
    Severity::Info, "drain_started", { { "host", host.mSettings.mHost } });
  host.mFrontend->Drain();
  host.mLimiter.SetDraining(true);
  host.mMonitor.SetDraining(true);
  {
    const absl::MutexLock lock(&host.mMutex);
    host.mDraining = true;
  }
  if (host.mWorker) {
    host.mWorker->Drain(Clock::now() + host.mSettings.mDrainAccept);
  }
  while (host.mFrontend->CurrentDrainPhase() != DrainPhase::Done) {
    absl::SleepFor(absl::Milliseconds(10));
  }
  host.mMonitor.Leave();
  LogEvent(Severity::Info, "drain_ended", { { "host", host.mSettings.mHost } });
}

auto Host::Stop() -> void
{
  auto& host = *mImpl;
  if (!host.mCallers) {
    return;
  }
  host.mCallers->Stop();
  host.mPeriodicThreads.clear();
  host.mLoadPoller.reset();
  host.mWorker.reset();
  host.mOperators->Stop();
  host.mLimiter.Stop();
  host.mSnapshotter.Stop();
  host.mMonitor.Stop();
  host.mTransport.Stop();
  host.mWriter.Stop();
  host.mReplica.Stop();
  host.mCallers.reset();
}

} // namespace mangovalve
