// ServingDaemon: servers, table readers and background tasks.
#include "mangovalve/serving/daemon.h"

#include <csignal>
#include <set>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "mangovalve/batch/flatbuffers_table.h"
#include "mangovalve/serving/endpoint_statements.h"
#include "mangovalve/serving/quarantine_store.h"
#include "mangovalve/serving/shutdown.h"
#include "mangovalve/serving/table_follower.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

constexpr auto kStatePath = "/state";
constexpr auto kDocumentPath = "/document";
constexpr auto kMetricsPath = "/metrics";

// A long poll, so that a change arrives immediately. Its timeout is short, so
// that an unresponsive connection is detected well within the platform's bound
// for activating a configuration.
constexpr FollowPolicy kDocumentPolicy{ std::chrono::seconds(1), true };

// A read that starts just before the end of an outage without connection errors
// delays the next read until its timeout. The platform requires a configuration
// to be active within 2 s of its acknowledgement.
static_assert(kDocumentPolicy.mInterval + kDocumentPolicy.mResponseTimeout <
              std::chrono::milliseconds(1800));

// Endpoints write so often that a long poll would always return immediately. An
// interval of 0.5 s leaves most of the 2 s after which a leaving endpoint must
// get no more work.
constexpr FollowPolicy kEndpointsPolicy{ milliseconds(500), false };

// A long interval suffices, because new hosts also become known through their
// load reports.
constexpr FollowPolicy kHostsPolicy{ std::chrono::seconds(4), false };

constexpr auto kMaintenanceInterval = milliseconds(200);
constexpr auto kPeerTimeout = milliseconds(800);
constexpr auto kRegisterRetryDelay = milliseconds(500);

// Copies of the whole state that are sent at the same time. A copy is about a
// megabyte in a large fleet, and all hosts may ask for one at once.
constexpr int kMaxStateCopies = 4;

// A host that started less than this time ago has not heard all peers of its
// domain yet.
constexpr auto kSettlingTime = milliseconds(1500);

// Part of the grace period for making recorded results durable. A write takes
// about 10 ms, and several times that when the store is slow.
constexpr auto kResultFlushTime = milliseconds(800);

// Time after the end of all requests for the last call to the store; less than
// StopPolicy::mExitMargin.
constexpr auto kFinalCallTime = milliseconds(400);

// Requests that still run this much before the exit are answered with a
// failure, so that they do not end without an answer.
constexpr auto kAnswerBeforeExit = milliseconds(100);

// Retry delay given to a caller whose request did not fit into the memory. What
// fills it is evicted within a second or ends with its timeout.
constexpr auto kMemoryRetryAfter = milliseconds(1000);

// Strings of a submission in memory: as parsed, as items, and as the record for
// the store.
constexpr std::size_t kSubmissionCopies = 3;

auto PeerLimits() -> CallerLimits
{
  CallerLimits limits;
  limits.mMaxBodyBytes = 64UL << 20U;
  limits.mIdleTimeout = milliseconds(30000);
  return limits;
}

} // namespace

ServingDaemon::ServingDaemon(
  asio::io_context& aLoop,
  ServingSettings aSettings,
  Protocol aProtocol,
  RecordReaders aReaders,
  const std::function<auto(ConnectionPool&)->TablePorts>& aTables)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mProtocol(std::move(aProtocol))
  , mReaders(std::move(aReaders))
  , mState(aLoop)
  , mTables(aTables(mState.mPool))
  , mRelay(mState, mProtocol)
  , mJobs(mState, mProtocol, mTables)
  , mCallers(
      aLoop,
      [this](CallerPtr aCaller, std::shared_ptr<Request> aRequest) {
        return HandleCaller(std::move(aCaller), std::move(aRequest));
      },
      [this] {
        return mState.mDocument ? mState.mDocument->mLimits : CallerLimits{};
      })
  , mReadiness(
      aLoop,
      [this](CallerPtr aCaller, std::shared_ptr<Request> aRequest) {
        return HandleReadiness(std::move(aCaller), std::move(aRequest));
      },
      PeerLimits)
  , mPeers(
      aLoop,
      [this](CallerPtr aCaller, std::shared_ptr<Request> aRequest) {
        return HandlePeer(std::move(aCaller), std::move(aRequest));
      },
      PeerLimits)
  , mOperators(
      aLoop,
      [this](CallerPtr aCaller, std::shared_ptr<Request> aRequest) {
        return HandlePeer(std::move(aCaller), std::move(aRequest));
      },
      PeerLimits)
  , mIncarnation(
      static_cast<std::uint64_t>(WallNow().time_since_epoch().count()))
  , mReports(aLoop, MakeReportPorts(), mIncarnation)
  , mSignals(aLoop, SIGTERM, SIGINT, SIGHUP)
{
  mState.mHost = mSettings.mPeers;
  mState.mDomain = mSettings.mFailureDomain;
  mState.mRandom.mState = mIncarnation ^ StableHash(mSettings.mName);
  UseSettings();
  for (auto* server : { &mCallers, &mReadiness, &mPeers, &mOperators }) {
    server->UseAccount(mState.mMemory);
  }
  mCallers.mRefuse = [this](const RequestHead& aHead) {
    return RefuseForMemory(mProtocol.mReadRequest(aHead));
  };
}

auto ServingDaemon::MakeReportPorts() -> ReportPorts
{
  ReportPorts ports;
  ports.mOwnReport = [this] {
    const auto now = Clock::now();
    NoteEvidence(mState.mSuspectExchange, mState.mSuspects, now);
    auto report = OwnReport(mState, now);
    mJobs.AddOwnedPartitions(report);
    return report;
  };
  ports.mDomainPeers = [this] { return HostsOf(mState.mDomain); };
  ports.mOwnSummary = [this, own = ports.mOwnReport] {
    return OwnSummary(mState, own(), Clock::now());
  };
  ports.mSummaryTargets = [this] { return SummaryTargets(); };
  ports.mUrgent = [this] {
    return AnyTeamNearRateLimit(mState) ||
           AnyNewCrash(mState.mSuspectExchange, Clock::now()) ||
           AnyNewCold(mState, Clock::now());
  };
  ports.mOnReport = [this](wire::LoadReportT aReport) {
    if (aReport.host != mState.mHost) {
      ApplyPeerReport(mState, std::move(aReport), mIncarnation, Clock::now());
    }
  };
  ports.mOnSummary = [this](wire::DomainSummaryT aSummary) {
    ApplyPeerSummary(mState, std::move(aSummary), Clock::now());
  };
  return ports;
}

auto ServingDaemon::HostsOf(const std::string& aDomain) const
  -> std::vector<std::string>
{
  std::vector<std::string> hosts;
  for (const auto& [host, peer] : mState.mFleet.mPeers) {
    if (peer.mDomain == aDomain) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

auto ServingDaemon::SummaryTargets() const
  -> std::vector<std::vector<std::string>>
{
  std::set<std::string> domains;
  for (const auto& [host, peer] : mState.mFleet.mPeers) {
    domains.insert(peer.mDomain);
  }
  domains.erase(mState.mDomain);
  const DomainMember self{ mState.mHost, mState.mDomain, mIncarnation };
  const auto settledBefore = WallNow() - kSettlingTime;
  std::vector<std::vector<std::string>> targets;
  for (const auto& domain : domains) {
    if (IsGateway(
          mState.mFleet,
          self,
          domain,
          static_cast<std::uint64_t>(settledBefore.time_since_epoch().count()),
          Clock::now())) {
      targets.push_back(HostsOf(domain));
    }
  }
  return targets;
}

auto ServingDaemon::Start() -> Result<void, std::string>
{
  const auto bind = [](AsyncHttpServer& aServer, const std::string& aAddress) {
    const auto error =
      aAddress.empty() ? ErrorCode{} : aServer.Listen(aAddress);
    return error ? absl::StrCat(
                     "cannot listen on ", aAddress, ": ", error.message())
                 : std::string();
  };
  for (const auto& failure : { bind(mCallers, mSettings.mCallers),
                               bind(mReadiness, mSettings.mReadiness),
                               bind(mPeers, mSettings.mPeers),
                               bind(mOperators, mSettings.mOperators) }) {
    if (!failure.empty()) {
      return Err(failure);
    }
  }
  if (const auto error = mReports.Start(mSettings.mPeers)) {
    return Err(absl::StrCat(
      "cannot bind datagrams to ", mSettings.mPeers, ": ", error.message()));
  }
  StartTableFollowers();
  mJobs.Start();
  Spawn(mLoop, RegisterHost());
  Spawn(mLoop, LoadStateFromPeers());
  Spawn(mLoop, KeepQuarantines(mState, mTables));
  Spawn(mLoop, RunMaintenance());
  Spawn(mLoop, WaitForSignals());
  LogEvent(Severity::Info,
           "started",
           { { "host", mSettings.mName },
             { "domain", mSettings.mFailureDomain },
             { "callers", mSettings.mCallers },
             { "peers", mSettings.mPeers },
             { "store", mSettings.mStore },
             { "version", MANGOVALVE_VERSION } });
  return {};
}

auto ServingDaemon::Ready() const -> bool
{
  return !mDraining && mState.mDocument && mEndpointsLoaded &&
         mState.mEvacuations.mAsOf;
}

auto ServingDaemon::HandleReadiness(CallerPtr aCaller,
                                    std::shared_ptr<Request> /*aRequest*/)
  -> Task<>
{
  co_await aCaller->Reply(Response(
    Ready() ? http::status::ok : http::status::service_unavailable, 11));
}

auto ServingDaemon::RefuseForMemory(const RequestMetadata& aMetadata)
  -> Response
{
  if (mState.mMemory->MayLog(Clock::now())) {
    LogEvent(Severity::Info,
             "request_refused",
             { { "id", aMetadata.mId }, { "reason", "memory" } });
  }
  return mProtocol.mRefuse(
    RefusalReason::NotReady, aMetadata.mId, kMemoryRetryAfter);
}

auto ServingDaemon::HandleCaller(CallerPtr aCaller,
                                 std::shared_ptr<Request> aRequest) -> Task<>
{
  auto metadata = mProtocol.mReadRequest(aRequest->base());
  if (!mState.mDocument) {
    co_await mRelay.RefuseNotReady(aCaller, std::move(metadata));
    co_return;
  }
  const auto call = mProtocol.mReadJobCall(aRequest->base());
  auto admission = CheckCall(mState.mDocument, metadata);
  const auto submission =
    !admission.mRefusal && admission.mRoute->mKind == RouteKind::Batch;
  if ((call || submission) && mState.mAnswerBy &&
      Clock::now() + mJobs.LongestCall() > *mState.mAnswerBy) {
    LogEvent(Severity::Info,
             "request_refused",
             { { "id", metadata.mId }, { "reason", "stopping" } });
    co_await aCaller->Reply(mProtocol.mRefuse(
      RefusalReason::NotReady, metadata.mId, kStoppingRetryAfter));
    co_return;
  }
  if (call) {
    co_await HandleJobCall(aCaller, *call, metadata);
    co_return;
  }
  const auto& body = aRequest->body();
  if (submission &&
      !aCaller->Hold(HeldKind::Jobs,
                     kSubmissionCopies * body.size() + ParsedJsonBytes(body))) {
    co_await aCaller->Reply(RefuseForMemory(metadata));
    co_return;
  }
  if (submission) {
    co_await mJobs.ServeSubmission(
      aCaller, aRequest, admission.mTeam, std::move(metadata));
    co_return;
  }
  co_await mRelay.Serve(
    aCaller, aRequest, std::move(metadata), std::move(admission));
}

auto ServingDaemon::HandleJobCall(CallerPtr aCaller,
                                  const JobCall& aCall,
                                  const RequestMetadata& aMetadata) -> Task<>
{
  const auto& document = *mState.mDocument;
  const auto team = document.mTeamOfKey.find(aMetadata.mKey);
  if (document.mKeysRequired && team == document.mTeamOfKey.end()) {
    co_await aCaller->Reply(mProtocol.mRefuse(
      RefusalReason::UnknownKey, aMetadata.mId, std::nullopt));
    co_return;
  }
  const auto name = document.mKeysRequired ? team->second : std::string();
  co_await mJobs.ServeCall(aCaller, name, aCall, aMetadata.mId);
}

auto ServingDaemon::HandlePeer(CallerPtr aCaller,
                               std::shared_ptr<Request> aRequest) -> Task<>
{
  const auto handled = co_await mJobs.ServePeer(aCaller, aRequest);
  if (handled) {
    co_return;
  }
  Response response(http::status::ok, 11);
  const auto copiesState =
    aRequest->target() == kStatePath || aRequest->target() == kDocumentPath;
  // A copy without the evacuations would be taken for one of an earlier
  // version, which knows none.
  if ((copiesState && !mState.mEvacuations.mAsOf) ||
      (aRequest->target() == kStatePath &&
       mStateCopiesInProgress >= kMaxStateCopies)) {
    response.result(http::status::service_unavailable);
  } else if (aRequest->target() == kStatePath) {
    response.body() = PackTable<wire::StateCopy>(CopyState());
    ++mStateCopiesInProgress;
    co_await aCaller->Reply(std::move(response));
    --mStateCopiesInProgress;
    co_return;
  } else if (aRequest->target() == kDocumentPath) {
    response.body() = PackTable<wire::StateCopy>(CopyDocument());
  } else if (aRequest->target() == kMetricsPath) {
    response.set(http::field::content_type, "text/plain");
    response.body() = RenderCounters();
  } else {
    response.result(http::status::not_found);
  }
  co_await aCaller->Reply(std::move(response));
}

auto ServingDaemon::ApplyDocument(const std::string& aBytes,
                                  std::string_view aSource) -> void
{
  auto document = mReaders.mReadDocument(aBytes);
  if (!document) {
    LogEvent(
      Severity::Error,
      "document_unreadable",
      { { "source", std::string(aSource) }, { "reason", document.error() } });
    return;
  }
  if (ActivateDocument(mState, std::make_shared<ServingDocument>(*document))) {
    mDocumentBytes = aBytes;
  }
}

auto ServingDaemon::CheckEvacuationKey(const KeyedRecord& aRecord) -> void
{
  const auto& prefix = mReaders.mEvacuationPrefix;
  if (!IsEvacuationKey(aRecord.mKey, prefix) ||
      EvacuatedDomain(aRecord.mKey, prefix)) {
    return;
  }
  if (aRecord.mValue.empty()) {
    mUnreadableKeys.erase(aRecord.mKey);
  } else if (mUnreadableKeys.size() < kMaxEvacuations &&
             mUnreadableKeys.insert(aRecord.mKey).second) {
    LogEvent(Severity::Warn,
             "evacuation_unreadable",
             { { "key", aRecord.mKey.substr(0, kMaxDomainBytes) } });
  }
}

auto ServingDaemon::ApplyConfigurationRecord(const KeyedRecord& aRecord) -> void
{
  CheckEvacuationKey(aRecord);
  ApplyEvacuations(
    mState,
    WithRecord(mState.mEvacuations, aRecord, mReaders.mEvacuationPrefix),
    "store");
  if (aRecord.mKey == mReaders.mDocumentKey && !aRecord.mValue.empty()) {
    ApplyDocument(aRecord.mValue, "store");
  }
}

auto ServingDaemon::ReplaceConfiguration(
  const std::vector<KeyedRecord>& aRecords,
  Offset aAsOf) -> void
{
  // Before the document, with which this host begins to serve.
  ApplyEvacuations(mState,
                   ReadEvacuations(aRecords, mReaders.mEvacuationPrefix, aAsOf),
                   "store");
  for (const auto& record : aRecords) {
    CheckEvacuationKey(record);
    if (record.mKey == mReaders.mDocumentKey && !record.mValue.empty()) {
      ApplyDocument(record.mValue, "store");
    }
  }
}

auto ServingDaemon::ApplyEndpointRecord(const KeyedRecord& aRecord) -> void
{
  const auto known = mEndpointBytes.find(aRecord.mKey);
  if (known != mEndpointBytes.end() &&
      mReaders.mSameRegistration(known->second, aRecord.mValue)) {
    Renew(mState.mDirectory, aRecord.mKey);
    RecordRenewal(mState, aRecord.mKey, Clock::now());
    return;
  }
  auto registration = mReaders.mReadRegistration(aRecord.mKey, aRecord.mValue);
  if (registration) {
    mEndpointBytes[aRecord.mKey] = aRecord.mValue;
    Register(mState.mDirectory, std::move(*registration));
    return;
  }
  if (!aRecord.mValue.empty()) {
    LogEvent(
      Severity::Warn, "registration_unreadable", { { "key", aRecord.mKey } });
  }
  mEndpointBytes.erase(aRecord.mKey);
  Unregister(mState.mDirectory, aRecord.mKey, Clock::now());
}

// With the first page, this daemon knows enough endpoints to serve. A fleet of
// hundreds of hosts that starts at once needs seconds for the whole table.
auto ServingDaemon::ApplyEndpointPage(const std::vector<KeyedRecord>& aRecords)
  -> void
{
  for (const auto& record : aRecords) {
    ApplyEndpointRecord(record);
  }
  SyncPools(mState, Clock::now());
  mEndpointsLoaded = mEndpointsLoaded || !mEndpointBytes.empty();
}

auto ServingDaemon::ReplaceEndpoints(const std::vector<KeyedRecord>& aRecords)
  -> void
{
  std::vector<Registration> registrations;
  mEndpointBytes.clear();
  for (const auto& record : aRecords) {
    auto registration = mReaders.mReadRegistration(record.mKey, record.mValue);
    if (registration) {
      mEndpointBytes[record.mKey] = record.mValue;
      registrations.push_back(std::move(*registration));
    }
  }
  ReplaceAll(mState.mDirectory, std::move(registrations), Clock::now());
  SyncPools(mState, Clock::now());
  mEndpointsLoaded = true;
}

auto ServingDaemon::StartTableFollowers() -> void
{
  const auto applyHost = [this](const KeyedRecord& aRecord) {
    if (aRecord.mKey == mState.mHost) {
      return;
    }
    if (aRecord.mValue.empty()) {
      RemovePeer(mState.mFleet, aRecord.mKey);
    } else if (ParseAddress(aRecord.mKey)) {
      AddPeer(mState.mFleet, aRecord.mKey, aRecord.mValue, Clock::now());
    }
  };
  const auto replaceHosts =
    [applyHost](const std::vector<KeyedRecord>& aRecords, Offset /*aAsOf*/) {
      for (const auto& record : aRecords) {
        applyHost(record);
      }
    };
  const auto ignoreContact = [](bool) {};
  Spawn(mLoop,
        FollowTable(
          mTables,
          Table::Configuration,
          kDocumentPolicy,
          { [this](const std::vector<KeyedRecord>& aRecords, Offset aAsOf) {
             ReplaceConfiguration(aRecords, aAsOf);
           },
            [this](const KeyedRecord& aRecord) {
              ApplyConfigurationRecord(aRecord);
            },
            ignoreContact }));
  Spawn(mLoop,
        FollowTable(mTables,
                    Table::Hosts,
                    kHostsPolicy,
                    { replaceHosts, applyHost, ignoreContact }));
  const auto recordContact = [this](bool aAnswered) {
    const auto now = Clock::now();
    RecordStoreContact(mState.mDirectory, aAnswered, now);
    SyncPools(mState, now);
  };
  Spawn(mLoop,
        FollowTable(mTables,
                    Table::Endpoints,
                    kEndpointsPolicy,
                    { [this](const std::vector<KeyedRecord>& aRecords,
                             Offset /*aAsOf*/) { ReplaceEndpoints(aRecords); },
                      [this](const KeyedRecord& aRecord) {
                        ApplyEndpointRecord(aRecord);
                      },
                      recordContact,
                      [this](const std::vector<KeyedRecord>& aRecords) {
                        ApplyEndpointPage(aRecords);
                      } }));
}

auto ServingDaemon::CopyDocument() const -> wire::StateCopyT
{
  wire::StateCopyT copy;
  copy.document_version = mState.mDocument ? mState.mDocument->mVersion : 0;
  copy.document.assign(mDocumentBytes.begin(), mDocumentBytes.end());
  copy.evacuations = ToWire(mState.mEvacuations);
  return copy;
}

auto ServingDaemon::CopyState() const -> wire::StateCopyT
{
  auto copy = CopyDocument();
  for (const auto& [id, bytes] : mEndpointBytes) {
    auto record = std::make_unique<wire::RecordCopyT>();
    record->key = id;
    record->value.assign(bytes.begin(), bytes.end());
    copy.endpoints.push_back(std::move(record));
  }
  const auto addHost = [&](const std::string& aHost,
                           const std::string& aDomain) {
    auto record = std::make_unique<wire::RecordCopyT>();
    record->key = aHost;
    record->value.assign(aDomain.begin(), aDomain.end());
    copy.hosts.push_back(std::move(record));
  };
  for (const auto& [host, peer] : mState.mFleet.mPeers) {
    addHost(host, peer.mDomain);
  }
  addHost(mState.mHost, mState.mDomain);
  copy.evidence =
    EvidenceToSend(mState.mSuspectExchange, mState.mSuspects, Clock::now());
  return copy;
}

// Copies the document from a peer; with aWhole also the endpoints and hosts.
auto ServingDaemon::CopyStateFrom(std::string aPeer, bool aWhole) -> Task<>
{
  Request request(http::verb::get, aWhole ? kStatePath : kDocumentPath, 11);
  request.set(http::field::host, aPeer);
  const auto response = co_await CallOnce(
    mState.mPool, aPeer, std::move(request), Clock::now() + kPeerTimeout);
  if (!response || response->result() != http::status::ok) {
    co_return;
  }
  const auto copy = UnpackTable<wire::StateCopy>(response->body());
  if (!copy) {
    co_return;
  }
  // Before the document, with which this host begins to serve. A peer of an
  // earlier version knows no evacuations; any peer that knows some has a higher
  // offset.
  ApplyEvacuations(mState,
                   copy->evacuations ? FromWire(*copy->evacuations)
                                     : EvacuationSet{ 0, {} },
                   aPeer);
  if (!copy->document.empty()) {
    ApplyDocument(std::string(copy->document.begin(), copy->document.end()),
                  aPeer);
  }
  if (!aWhole) {
    co_return;
  }
  for (const auto& host : copy->hosts) {
    if (host->key != mState.mHost && ParseAddress(host->key)) {
      AddPeer(mState.mFleet,
              host->key,
              std::string(host->value.begin(), host->value.end()),
              Clock::now());
    }
  }
  if (copy->evidence) {
    ApplyEvidence(mState.mSuspects,
                  mState.mSuspectPolicy,
                  *copy->evidence,
                  aPeer,
                  Clock::now());
  }
  if (mEndpointsLoaded || copy->endpoints.empty()) {
    co_return;
  }
  std::vector<KeyedRecord> records;
  for (const auto& record : copy->endpoints) {
    records.push_back({ record->key,
                        std::string(record->value.begin(), record->value.end()),
                        0 });
  }
  ReplaceEndpoints(records);
  LogEvent(Severity::Info, "state_from_peer", { { "peer", aPeer } });
}

// Loads the state from peers if the store is unavailable at startup.
auto ServingDaemon::LoadStateFromPeers() -> Task<>
{
  constexpr auto kStoreHeadStart = milliseconds(600);
  constexpr auto kRetryInterval = milliseconds(500);
  co_await SleepUntil(Clock::now() + kStoreHeadStart);
  const auto complete = [this] {
    return mState.mDocument && mEndpointsLoaded && mState.mEvacuations.mAsOf;
  };
  while (!complete()) {
    auto peers = mSettings.mSeeds;
    for (const auto& [host, peer] : mState.mFleet.mPeers) {
      peers.push_back(host);
    }
    Shuffle(peers, mState.mRandom);
    for (const auto& peer : peers) {
      if (complete()) {
        break;
      }
      if (peer != mSettings.mOperators && peer != mState.mHost) {
        co_await CopyStateFrom(peer, true);
      }
    }
    co_await SleepUntil(Clock::now() + kRetryInterval);
  }
}

auto ServingDaemon::WriteHostRecord(bool aPresent, TimePoint aDeadline)
  -> Task<bool>
{
  std::vector<KeyedRecord> records;
  records.push_back(
    { mState.mHost, aPresent ? mSettings.mFailureDomain : "", 0 });
  const auto done = co_await mTables.mAppend(
    Table::Hosts, 0, std::move(records), std::nullopt, aDeadline);
  co_return done.has_value();
}

auto ServingDaemon::RegisterHost() -> Task<>
{
  while (!mDraining) {
    const auto done =
      co_await WriteHostRecord(true, Clock::now() + kPeerTimeout);
    if (done) {
      co_return;
    }
    co_await SleepUntil(Clock::now() + kRegisterRetryDelay);
  }
}

auto ServingDaemon::UnregisterHost(TimePoint aDeadline) -> Task<>
{
  const auto done = co_await WriteHostRecord(false, aDeadline);
  if (!done) {
    LogEvent(Severity::Warn, "unregister_failed");
  }
}

// Fetches a newer document from a peer, since the store may be unreachable from
// this host only.
auto ServingDaemon::FetchNewerDocument(TimePoint aNow) -> void
{
  const auto own = mState.mDocument ? mState.mDocument->mVersion : 0;
  for (const auto& [host, peer] : mState.mFleet.mPeers) {
    if (!mFetching && !peer.mUnresponsive && peer.mLast.document > own &&
        aNow < peer.mLastReportAt + kPeerTimeout) {
      mFetching = true;
      Spawn(mLoop, [](ServingDaemon& aDaemon, std::string aPeer) -> Task<> {
        co_await aDaemon.CopyStateFrom(std::move(aPeer), false);
        aDaemon.mFetching = false;
      }(*this, host));
    }
  }
}

auto ServingDaemon::RunMaintenance() -> Task<>
{
  for (;;) {
    const auto now = Clock::now();
    SyncPools(mState, now);
    UpdatePeerLiveness(mState, now);
    SampleDemand(mState, now);
    mState.mPool.CloseExpired(now);
    mState.mMemory->Publish();
    FetchNewerDocument(now);
    if (mEndpointsLoaded && now >= mState.mStartedAt + kSettlingTime) {
      CheckEvacuations(mState);
    }
    WakeFirstWaiterOfEachPool(mState);
    co_await SleepUntil(now + kMaintenanceInterval);
  }
}

auto ServingDaemon::WaitForSignals() -> Task<>
{
  for (;;) {
    ErrorCode error;
    const auto signal = co_await mSignals.async_wait(CaptureError(error));
    if (error) {
      co_return;
    }
    LogEvent(Severity::Info, "signal", { { "number", absl::StrCat(signal) } });
    if (signal == SIGHUP) {
      ReloadSettings();
    } else if (!mDraining) {
      Spawn(mLoop, Drain());
    }
  }
}

auto ServingDaemon::ReloadSettings() -> void
{
  if (!mReadSettings) {
    return;
  }
  const auto changed = mReadSettings();
  if (!changed) {
    LogEvent(Severity::Error,
             "settings_unreadable",
             { { "reason", changed.error() } });
    return;
  }
  auto update = UpdateSettings(mSettings, *changed);
  mSettings = std::move(update.mSettings);
  UseSettings();
  SetLogLevel(mSettings.mLogLevel);
  LogEvent(update.mNeedRestart.empty() ? Severity::Info : Severity::Warn,
           "settings_reloaded",
           { { "need_restart", absl::StrJoin(update.mNeedRestart, ",") } });
}

auto ServingDaemon::UseSettings() -> void
{
  mTables.mJobPartitions = mSettings.mJobPartitions;
  mTables.mMaxRecordBytes = mSettings.mMaxRecordBytes;
  mTables.mMaxCallBytes = mSettings.mMaxCallBytes;
  mJobs.mPolicy.mKeepResults = mSettings.mKeepResults;
  auto& limits = mState.mMemory->mLimits;
  limits = LimitsOfThisMachine();
  const auto lower = [](std::size_t& aLimit, std::size_t aSetting) {
    aLimit = aSetting == 0 ? aLimit : std::min(aLimit, aSetting);
  };
  lower(limits.mHeldBytes, mSettings.mHeldBytes);
  lower(limits.mConnections, mSettings.mConnections);
  BoundReceiveBuffers(limits);
  if (mSettings.mHeaderLines != 0) {
    limits.mHeaderLines = mSettings.mHeaderLines;
  }
  mState.mAnswerBytes.mLimit =
    std::min(kMaxAnswerBytesInMemory, limits.mHeldBytes / 2);
}

auto ServingDaemon::EndRequests(TimePoint aAt) -> Task<>
{
  co_await SleepUntil(aAt);
  mCallers.InterruptHandlers();
}

auto ServingDaemon::Drain() -> Task<>
{
  const auto started = Clock::now();
  const StopPolicy policy;
  const auto schedule = PlanStop(policy, started, mSettings.mTerminationGrace);
  mDraining = true;
  mState.mAnswerBy = schedule.mExitBy - kAnswerBeforeExit;
  LogEvent(Severity::Info,
           "draining",
           { { "active", absl::StrCat(mCallers.ActiveRequests()) } });
  mCallers.CloseAfterResponses();
  Spawn(mLoop, EndRequests(*mState.mAnswerBy));
  co_await mJobs.Drain(
    std::min<TimePoint>(started + kResultFlushTime, schedule.mCloseBy),
    schedule.mCloseBy);
  // A named object, because g++ 12 destroys a braced argument of an awaited
  // call twice.
  FinalCall unregister = [this, by = schedule.mExitBy + kFinalCallTime] {
    return UnregisterHost(by);
  };
  co_await DrainConnections(mCallers, policy, schedule, std::move(unregister));
  const auto left = mCallers.CountConnections();
  auto fields = LogFields(left);
  fields.emplace_back(
    "cut", absl::StrCat(left.mReading + left.mHandling + left.mUnread));
  LogEvent(Severity::Info, "stopped", fields);
  mLoop.stop();
}

} // namespace mangovalve
