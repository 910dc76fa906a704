// A small deployment on loopback for the review's cases: the project's daemons
// as processes, started with the command of the deploy file, and stand-ins of
// the store, the replicas, the clients and the operator on one event loop.
#pragma once

#include <chrono>
#include <deque>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include "mangovalve/loop/asio.h"
#include "review/common/proxy.h"
#include "standins/common/endpoint_server.h"
#include "standins/common/store_server.h"

namespace mangovalve::review {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// A daemon; its store is behind a proxy of its own.
struct Daemon
{
  std::string mName;
  std::string mZone;
  std::string mCallers; // IP:PORT
  std::string mReadiness;
  std::string mOperators;
  std::string mPeers;
  std::string mSettingsPath;
  std::string mLogPath;
  std::string mStoreAddress; // of mStore
  std::unique_ptr<Proxy> mStore;
  pid_t mPid = -1; // -1: not running
};

// What a client got. Status 0: no response.
struct Reply
{
  unsigned mStatus = 0;
  std::string mBody;
  std::string mError; // why the response is not complete
};

struct FleetOptions
{
  std::size_t mDaemons = 9;
  std::size_t mZones = 3;
};

// The tenants of the configuration; the key of NAME is "key-NAME".
auto Tenants() -> const std::vector<std::string>&;

class Fleet
{
public:
  Fleet(asio::io_context& aLoop, FleetOptions aOptions);
  // Kills the daemons and removes their files. With REVIEW_KEEP_LOGS in the
  // environment, the files stay.
  auto End() -> void;

  // Adds a replica of the service to the stand-ins. Its fields may be changed
  // before Start().
  auto AddReplica(const std::string& aService,
                  standin::EndpointOptions aOptions) -> void;
  // Registers a replica that the case itself runs at aAddress.
  auto RegisterReplica(const std::string& aService,
                       const std::string& aId,
                       const std::string& aAddress,
                       std::uint32_t aSlots) -> void;

  // Writes the configuration, starts everything and waits until all daemons
  // are ready. False if that fails.
  auto Start() -> Task<bool>;
  auto StartDaemon(Daemon& aDaemon) -> bool;
  auto IsReady(const Daemon& aDaemon) -> Task<bool>;
  static auto Signal(const Daemon& aDaemon, int aSignal) -> void;
  // Kills the daemon and waits for its end.
  static auto Kill(Daemon& aDaemon) -> void;

  // The client's calls, each on a new connection.
  auto Call(const Daemon& aDaemon, Request aRequest, Duration aPatience)
    -> Task<Reply>;
  auto Submit(const Daemon& aDaemon,
              const std::string& aTenant,
              const std::string& aJob,
              const Json& aItems) -> Task<Reply>;
  // Submits the job to one daemon after the other, as clients do after a
  // refusal, until it is accepted or aUntil. True if it was accepted.
  auto SubmitUntilAccepted(const std::string& aTenant,
                           const std::string& aJob,
                           const Json& aItems,
                           TimePoint aUntil) -> Task<bool>;
  auto ReadResults(const Daemon& aDaemon,
                   const std::string& aTenant,
                   const std::string& aJob,
                   std::size_t aAfter = 0) -> Task<Reply>;
  auto EndJob(const Daemon& aDaemon,
              const std::string& aTenant,
              const std::string& aJob) -> Task<Reply>;

  // Adds a line to record.txt.
  auto Record(const std::string& aLine) -> void;
  // The first line that tells that the rule was broken decides the verdict.
  auto Break(const std::string& aLine) -> void;
  auto Verdict() const -> int { return mBroken ? kBroken : kHeld; }

  // Without the disruption (TROUBLE=0 in the environment).
  static auto Trouble() -> bool;

  asio::io_context& mLoop;
  const FleetOptions mOptions;
  standin::StoreServer mStore;
  std::deque<standin::EndpointServer> mReplicas;
  std::deque<Daemon> mDaemons;
  Json mConfiguration; // may be changed before Start()

private:
  auto WriteSettings(const Daemon& aDaemon) -> void;
  auto RenewReplicas() -> Task<>;

  std::string mDirectory; // of settings and logs
  std::vector<std::pair<std::string, Json>> mRegistrations;
  std::ofstream mRecord;
  TimePoint mStartedAt = Clock::now();
  bool mBroken = false;
};

// "IP:PORT" on loopback with a port that was free a moment ago, for TCP and
// UDP.
auto FreeAddress() -> std::string;

// The items of a job; their ids begin with the job's.
auto MakeItems(const std::string& aJob, std::size_t aCount) -> Json;

// Runs aCase on a fleet and exits with its verdict, at the latest after 110 s.
auto RunCase(const FleetOptions& aOptions,
             const std::function<Task<int>(Fleet&)>& aCase) -> int;

} // namespace mangovalve::review
