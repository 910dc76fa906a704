// ServingDaemon: the process that serves callers. It connects one ServingState
// with the HTTP servers, the readers of the store's tables and the exchange of
// load reports, all on one event loop.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "mangovalve/batch/job_service.h"
#include "mangovalve/online/relay.h"
#include "mangovalve/peer/report_exchange.h"
#include "mangovalve/peer/state_copy_generated.h"
#include "mangovalve/serving/settings.h"
#include "mangovalve/serving/state.h"
#include "mangovalve/serving/tables.h"

namespace mangovalve {

// Parsers of the store's records, supplied by the platform adapter.
struct RecordReaders
{
  std::string mDocumentKey; // of the document in Table::Configuration
  // In the same table, of the keys of orders to evacuate a failure domain; the
  // domain's name follows. Empty: there are no such orders.
  std::string mEvacuationPrefix;
  std::function<auto(const std::string&)->Result<ServingDocument, std::string>>
    mReadDocument;
  std::function<auto(const std::string& aId, const std::string& aBytes)
                  ->std::optional<Registration>>
    mReadRegistration;
  // Whether two records of one endpoint contain the same registration.
  // Endpoints renew unchanged registrations about once a second, so this must
  // be cheap.
  std::function<auto(const std::string& aOld, const std::string& aNew)->bool>
    mSameRegistration;
};

class ServingDaemon
{
public:
  // aTables creates the ports to the store over the daemon's connection pool.
  ServingDaemon(
    asio::io_context& aLoop,
    ServingSettings aSettings,
    Protocol aProtocol,
    RecordReaders aReaders,
    const std::function<auto(ConnectionPool&)->TablePorts>& aTables);

  // Binds all addresses and starts all tasks. The error names the address that
  // could not be bound.
  auto Start() -> Result<void, std::string>;

  // Reads the settings again, on SIGHUP. If empty, SIGHUP is only logged.
  std::function<auto()->Result<ServingSettings, std::string>> mReadSettings;

  // Puts changed settings in force; those that need a restart are logged. After
  // an error, the current settings stay in force.
  auto ReloadSettings() -> void;

  auto Settings() const -> const ServingSettings& { return mSettings; }

private:
  auto HandleCaller(CallerPtr aCaller, std::shared_ptr<Request> aRequest)
    -> Task<>;
  // Refuses a request that has not run, because it did not fit into the memory.
  auto RefuseForMemory(const RequestMetadata& aMetadata) -> Response;
  auto HandleJobCall(CallerPtr aCaller,
                     const JobCall& aCall,
                     const RequestMetadata& aMetadata) -> Task<>;
  auto HandleReadiness(CallerPtr aCaller, std::shared_ptr<Request> aRequest)
    -> Task<>;
  auto HandlePeer(CallerPtr aCaller, std::shared_ptr<Request> aRequest)
    -> Task<>;
  auto Ready() const -> bool;

  auto MakeReportPorts() -> ReportPorts;
  // Known hosts of a failure domain, except this one.
  auto HostsOf(const std::string& aDomain) const -> std::vector<std::string>;
  // Hosts of each domain to which this host sends the summary of its own.
  auto SummaryTargets() const -> std::vector<std::vector<std::string>>;

  auto StartTableFollowers() -> void;
  auto ApplyDocument(const std::string& aBytes, std::string_view aSource)
    -> void;
  auto ApplyConfigurationRecord(const KeyedRecord& aRecord) -> void;
  auto ReplaceConfiguration(const std::vector<KeyedRecord>& aRecords,
                            Offset aAsOf) -> void;
  // Logs an order whose key can't be read, once.
  auto CheckEvacuationKey(const KeyedRecord& aRecord) -> void;
  auto ApplyEndpointRecord(const KeyedRecord& aRecord) -> void;
  auto ApplyEndpointPage(const std::vector<KeyedRecord>& aRecords) -> void;
  auto ReplaceEndpoints(const std::vector<KeyedRecord>& aRecords) -> void;

  auto CopyDocument() const -> wire::StateCopyT;
  auto CopyState() const -> wire::StateCopyT;
  auto CopyStateFrom(std::string aPeer, bool aWhole) -> Task<>;
  auto LoadStateFromPeers() -> Task<>;
  // Writes this daemon's record in Table::Hosts, or deletes it.
  auto WriteHostRecord(bool aPresent, TimePoint aDeadline) -> Task<bool>;
  auto RegisterHost() -> Task<>;
  auto UnregisterHost(TimePoint aDeadline) -> Task<>;
  auto RunMaintenance() -> Task<>;
  auto FetchNewerDocument(TimePoint aNow) -> void;
  auto UseSettings() -> void;
  auto WaitForSignals() -> Task<>;
  auto Drain() -> Task<>;
  // Answers at aAt all online requests that are still in progress.
  auto EndRequests(TimePoint aAt) -> Task<>;

  asio::io_context& mLoop;
  ServingSettings mSettings;
  Protocol mProtocol;
  RecordReaders mReaders;
  ServingState mState;
  TablePorts mTables;
  Relay mRelay;
  JobService mJobs;
  AsyncHttpServer mCallers;
  AsyncHttpServer mReadiness;
  AsyncHttpServer mPeers;
  AsyncHttpServer mOperators;
  std::uint64_t mIncarnation;
  ReportExchange mReports;
  // Its handlers are installed by the constructor, before any server listens.
  asio::signal_set mSignals;
  // Records as read from the store, copied to other daemons on request.
  std::string mDocumentBytes;
  std::map<std::string, std::string> mEndpointBytes; // by endpoint id
  // Keys of orders that were logged as unreadable.
  std::set<std::string> mUnreadableKeys;
  bool mEndpointsLoaded = false; // at least the first page of them
  int mStateCopiesInProgress = 0;
  bool mDraining = false;
  bool mFetching = false; // a newer document is being fetched from a peer
};

} // namespace mangovalve
