// A small deployment for the cases of the third review: daemons in processes of
// their own, started as the deploy file says, with the project's stand-ins of
// the store and of the engines on loopback.
#pragma once

#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include "mangovalve/base/random.h"
#include "mangovalve/loop/asio.h"
#include "standins/common/endpoint_server.h"
#include "standins/common/store_server.h"

namespace mangovalve::review {

using Json = nlohmann::json;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

struct Arguments
{
  std::string mProgram;   // as the deploy file names it
  std::string mDirectory; // for settings and logs
  std::string mRecord;    // path of record.txt
  bool mTrouble = true;
};

// Of PROGRAM DIRECTORY RECORD; the environment variable TROUBLE.
auto ReadArguments(int aCount, char** aValues) -> std::optional<Arguments>;

// The machine and process of one daemon.
struct Host
{
  std::string mName;
  std::string mZone;
  std::string mCallers; // IP:PORT, like those below
  std::string mReadiness;
  std::string mOperators;
  std::string mPeers;
  std::string mSettings; // path
  std::string mLog;      // path
  pid_t mPid = -1;       // -1: does not run
  bool mDown = false;    // not started again while set
  TimePoint mStartAt{};  // of the next process
  TimePoint mStartedAt{};
  std::size_t mPeakBytes = 0; // resident, of all its processes
  std::uint32_t mStarts = 0;
  std::uint32_t mKilledForMemory = 0;
};

struct Plan
{
  std::size_t mHosts = 9; // in three zones
  std::size_t mEngines = 12;
  std::size_t mPlainServers = 3;
  // A process with more resident memory is killed, as on the machines of the
  // deployment.
  std::size_t mMemoryBytes = 130'000'000;
  standin::EndpointOptions mEngine;
  standin::EndpointOptions mPlain;
  Json mDocument; // Deployment::DefaultDocument() if null
  std::string mMoreSettings;
};

struct Answer
{
  unsigned mStatus = 0; // 0: no complete answer
  std::string mBody;
  std::map<std::string, std::string> mHeaders; // lower case names
};

class Deployment
{
public:
  Deployment(Arguments aArguments, Plan aPlan);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  auto operator=(const Deployment&) -> Deployment& = delete;

  // Routes /stream/ (resumable), /once/ (a stream that is not), /plain/
  // (idempotent), /pay/ (not idempotent) and /batch/; teams t0 to t7 with the
  // keys key-t0 to key-t7.
  static auto DefaultDocument() -> Json;

  // Starts everything, runs aMain on the loop when all daemons are ready, and
  // ends every process. Returns what aMain returns.
  auto Run(std::function<auto()->Task<int>> aMain) -> int;

  // Writes a line with the time since the start.
  auto Note(const std::string& aLine) -> void;

  // One exchange on a connection of its own.
  auto Call(std::string aAddress, Request aRequest, Duration aTimeout)
    -> Task<Answer>;

  // Registers a server that the case runs itself, and returns its address. Call
  // it before Run.
  auto Register(const std::string& aService,
                const std::string& aId,
                std::uint32_t aSlots) -> std::string;

  auto IsReady(const Host& aHost) -> Task<bool>;
  // Indices of hosts that run now.
  auto RunningHost() -> Host&;
  auto Signal(Host& aHost, int aSignal) -> void;
  auto PublishDocument() -> void;

  asio::io_context mLoop{ 1 };
  standin::StoreServer mStore;
  std::deque<standin::EndpointServer> mServers;
  std::vector<std::pair<std::string, Json>> mRegistrations; // by id
  std::deque<Host> mHosts;
  Arguments mArguments;
  Plan mPlan;
  Random mRandom{ 1 };

private:
  auto AddServer(const std::string& aService, standin::EndpointOptions aOptions)
    -> bool;
  auto Start(Host& aHost) -> void;
  auto Supervise() -> Task<>;
  auto RenewServers() -> Task<>;
  auto Main(std::function<auto()->Task<int>> aMain) -> Task<>;
  auto EndProcesses() -> void;

  std::string mPrefix; // of all addresses
  std::ofstream mRecordFile;
  TimePoint mStartedAt = Clock::now();
  int mResult = kCouldNotRun;
};

// Ordinary callers of one daemon that keep their connections and send one plain
// request after the other.
class KeptCallers
{
public:
  explicit KeptCallers(Deployment& aDeployment)
    : mDeployment(aDeployment)
  {
  }

  auto Start(Host& aHost, std::size_t aCallers) -> void;
  auto Stop() -> Task<>;

  std::size_t mAnswered = 0;
  // Requests on kept connections that a server ran and that got no answer.
  std::size_t mUnanswered = 0;

private:
  auto RunOne(Host& aHost, std::size_t aNumber) -> Task<>;
  auto Connect(beast::tcp_stream& aStream, const Host& aHost)
    -> Task<ErrorCode>;

  Deployment& mDeployment;
  std::size_t mOpen = 0;
  bool mEnd = false;
};

// A batch job of items with bodies of this size.
auto MakeJob(const std::string& aId,
             std::size_t aItems,
             std::size_t aBodyBytes,
             std::uint64_t aTokens) -> Request;

auto MakeRequest(http::verb aVerb,
                 const std::string& aTarget,
                 const std::string& aId,
                 const std::string& aKey) -> Request;

} // namespace mangovalve::review
