// A small deployment on loopback for the review's scripts: the project's
// daemons as separate processes, started as deploy/system.toml says, and
// stand-ins of the store and of the replicas on one event loop. The clients of
// a case run on the same loop.
#pragma once

#include <csignal>
#include <deque>
#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include "mangovalve/loop/http_client.h"
#include "standins/common/endpoint_server.h"
#include "standins/common/store_server.h"

namespace mangovalve::review {

using Json = nlohmann::json;
using standin::EndpointOptions;
using standin::EndpointServer;
using standin::StoreServer;
using std::chrono::milliseconds;
using std::chrono::seconds;

// How a case ends; its exit code.
enum class Verdict
{
  Held = 0,
  Broken = 1,
  NotRun = 2,
};

// One machine of the system with its daemon.
struct Machine
{
  std::string mName;
  std::string mZone;
  std::string mIp;
  std::string mFront;
  std::string mReady;
  std::string mControl;
  std::string mPeers;
  std::string mFolder; // of its settings file and log
  pid_t mPid = 0;      // 0: not running
  int mStarts = 0;
  int mOwnEnds = 0;     // ends that the case did not bring about
  int mMemoryKills = 0; // of those: memory over the limit
  long mPeakKb = 0;     // resident memory, of all its processes
  TimePoint mRestartAt{};
  bool mExpectedEnd = false;
};

// Answer of a client's call. Status 0: none.
struct Answer
{
  unsigned mStatus = 0;
  std::string mBody;
  std::string mRetryAfter;
};

class Deployment
{
public:
  // aMemoryKb: limit of a machine's memory, above which the platform kills the
  // daemon; 0: no limit.
  explicit Deployment(long aMemoryKb);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  auto operator=(const Deployment&) -> Deployment& = delete;

  auto AddRoute(Json aRoute) -> void { mRoutes.push_back(std::move(aRoute)); }
  auto AddTenant(const std::string& aName, const std::string& aKey) -> void;
  // Writes the next version of the config.
  auto Publish() -> void;
  auto AddReplica(const std::string& aService,
                  EndpointOptions aOptions,
                  const std::string& aZone) -> EndpointServer&;
  auto AddMachine(const std::string& aZone) -> Machine&;
  // Starts all daemons, one after the other, and waits until they are ready.
  auto StartAll(Duration aApart = milliseconds(0)) -> bool;
  // Sends a signal to the daemon. A kill or a termination is then no end of its
  // own.
  auto Signal(Machine& aMachine, int aSignal) -> void;
  auto IsReady(const Machine& aMachine) -> bool;

  // Runs the loop until aDone or until aUntil; whether aDone held.
  auto RunUntil(TimePoint aUntil, const std::function<auto()->bool>& aDone)
    -> bool;
  auto RunFor(Duration aTime) -> void;

  // One call on a connection of its own.
  auto Call(std::string aAddress, Request aRequest, TimePoint aDeadline)
    -> Task<Answer>;
  // The same, while the loop runs here.
  auto CallNow(const std::string& aAddress, Request aRequest, Duration aTime)
    -> Answer;

  // Adds a line to record.txt, with the time since the start.
  auto Record(const std::string& aLine) -> void;
  auto Seconds() const -> double;
  // Records the runs at the replicas, if they are few.
  auto RecordRuns() -> void;

  auto OwnEnds() const -> int;
  auto MemoryKills() const -> int;

  asio::io_context mLoop{ 1 };
  ConnectionPool mPool{ mLoop };
  StoreServer mStore{ mLoop, {} };
  std::string mStoreAddress;
  std::deque<EndpointServer> mReplicas;
  std::deque<Machine> mMachines;
  Json mServices = Json::array();
  // After this, ends of daemons count no more, and none is restarted.
  bool mOver = false;

private:
  auto WriteSettings(const Machine& aMachine) -> void;
  auto Start(Machine& aMachine) -> bool;
  auto Watch() -> Task<>;
  // Ends the script with exit code 2.
  [[noreturn]] auto GiveUp(const std::string& aReason) -> void;
  auto EndAll() -> void;
  auto Look(Machine& aMachine, TimePoint aNow) -> void;

  asio::signal_set mSignals{ mLoop, SIGTERM, SIGINT };
  long mMemoryKb;
  std::string mFolder;
  std::ofstream mRecord;
  TimePoint mStartedAt = Clock::now();
  std::uint64_t mVersion = 0;
  Json mRoutes = Json::array();
  Json mTenants = Json::array();
};

// Whether the case brings about its disruption; not with TROUBLE=0.
auto WithTrouble() -> bool;

// Prints and records the verdict; returns the exit code.
auto Finish(Deployment& aDeployment,
            Verdict aVerdict,
            const std::string& aReason) -> int;

// A call of a batch client with the key.
auto BatchCall(http::verb aVerb,
               const std::string& aTarget,
               const std::string& aKey) -> Request;

// A batch route as the sheet of kpc-chime has it.
auto BatchRoute(const std::string& aPrefix, const std::string& aService)
  -> Json;

} // namespace mangovalve::review
