// A serving daemon: the servers, followers and exchanges around one
// ServingState, on one event loop.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "mangovalve/batch/job_service.h"
#include "mangovalve/online/relay.h"
#include "mangovalve/peer/report_exchange.h"
#include "mangovalve/peer/state_copy_generated.h"
#include "mangovalve/serving/settings.h"
#include "mangovalve/serving/state.h"
#include "mangovalve/serving/tables.h"

namespace mangovalve {

// How records of the store are read; the adapter fills it.
struct RecordReaders
{
  std::string mDocumentKey; // key of the document in its table
  std::function<auto(const std::string&)->Result<ServingDocument, std::string>>
    mReadDocument;
  std::function<auto(const std::string& aId, const std::string& aBytes)
                  ->std::optional<Registration>>
    mReadRegistration;
};

class ServingDaemon
{
public:
  // aTables makes the store's ports over the daemon's connections.
  ServingDaemon(
    asio::io_context& aLoop,
    ServingSettings aSettings,
    Protocol aProtocol,
    RecordReaders aReaders,
    const std::function<auto(ConnectionPool&)->TablePorts>& aTables);

  // Binds all addresses and starts all tasks; an error says what failed.
  auto Start() -> Result<void, std::string>;

private:
  auto HandleCaller(CallerPtr aCaller, std::shared_ptr<Request> aRequest)
    -> Task<>;
  auto HandleJobCall(CallerPtr aCaller,
                     const JobCall& aCall,
                     const RequestMetadata& aFacts) -> Task<>;
  auto HandleReadiness(CallerPtr aCaller, std::shared_ptr<Request> aRequest)
    -> Task<>;
  auto HandlePeer(CallerPtr aCaller, std::shared_ptr<Request> aRequest)
    -> Task<>;
  auto Ready() const -> bool;

  auto FollowTables() -> void;
  auto ApplyDocument(const std::string& aBytes, std::string_view aSource)
    -> void;
  auto ApplyEndpointRecord(const KeyedRecord& aRecord) -> void;
  auto ReplaceEndpoints(const std::vector<KeyedRecord>& aRecords) -> void;

  auto CopyState() const -> wire::StateCopyT;
  auto FetchState(std::string aPeer, bool aWhole) -> Task<>;
  auto BootstrapFromPeers() -> Task<>;
  // Writes or drops the record of this daemon.
  auto WriteHostRecord(bool aPresent) -> Task<bool>;
  auto RegisterHost() -> Task<>;
  auto UnregisterHost() -> Task<>;
  auto RunMaintenance() -> Task<>;
  auto FetchNewerDocument(TimePoint aNow) -> void;
  auto WaitForSignals() -> Task<>;
  auto Drain() -> Task<>;

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
  std::string mDocumentBytes; // as the store had them, for other daemons
  std::map<std::string, std::string> mEndpointBytes;
  bool mEndpointsLoaded = false;
  bool mDraining = false;
  bool mFetching = false; // a newer document, from a peer
};

} // namespace mangovalve
