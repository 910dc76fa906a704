// Soak of planned stops: real daemons behind a small load balancer, with
// stand-ins of the store and the endpoints, callers, and planned work in series
// that overlap. Everything but the daemons runs on one loop.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangovalve/base/random.h"
#include "standins/common/endpoint_server.h"
#include "standins/common/store_server.h"
#include "standins/soak/daemon_process.h"
#include "standins/soak/exchange.h"

namespace mangovalve::standin {

struct SoakOptions
{
  std::uint64_t mSeed = 1;
  std::chrono::seconds mPlannedWork{ 20 };
  std::size_t mDaemons = 6;
  std::size_t mCallers = 48;
  std::string mDirectory; // settings and logs; exists
  std::string mBinary;    // the daemon
  JudgeRules mRules;
  bool mSlowStore = false;
  bool mPauses = false;      // processes do not run for a while during stops
  bool mSilences = false;    // sound endpoints are silent for a while
  bool mMoves = false;       // documents change all that they may change
  std::uint32_t mSlots = 64; // of each endpoint
};

// When the next process of a daemon is told to stop, apart from the schedule.
enum class StopAfterStart
{
  None,
  AtOnce,
  WhenReady,
};

// A daemon as the load balancer sees it.
struct SoakHost
{
  DaemonProcess mProcess;
  int mMisses = 2; // failed checks in a row; in rotation below two
  StopAfterStart mStopAfterStart = StopAfterStart::None;
};

struct SoakCaller
{
  SoakCaller(asio::io_context& aLoop, std::uint64_t aSeed)
    : mRandom{ aSeed }
    , mWake(aLoop)
  {
  }

  Random mRandom;
  asio::steady_timer mWake;
  TimePoint mIdleUntil{};
  CallerConnectionPtr mConnection;
  std::size_t mHost = 0;
  pid_t mPid = -1; // of the host when it connected
};

struct SoakJob
{
  std::size_t mItems = 0;
  bool mAccepted = false;
  bool mEnded = false; // its caller has ended it
};

struct Stall
{
  TimePoint mFrom;
  TimePoint mUntil;
};

class Soak
{
public:
  Soak(asio::io_context& aLoop, SoakOptions aOptions);

  // Runs until all daemons have ended. Returns the violations.
  auto Run() -> std::vector<std::string>;

  // Counts of the run as "name=number ...".
  auto Summary() const -> std::string;

  // Requests that ended without a response, whether allowed or not, one a line.
  auto Unanswered() const -> std::string;

private:
  // soak.cc
  auto StartStandins() -> bool;
  auto AddEndpoint(const std::string& aService, EndpointOptions aOptions)
    -> bool;
  auto Address(std::size_t aHost, int aPort) const -> std::string;
  auto AddHosts() -> void;
  auto Main() -> Task<>;
  auto RenewEndpoints() -> Task<>;
  auto MeasureStalls() -> Task<>;
  auto Supervise(std::size_t aHost) -> Task<>;
  auto WatchProcess(SoakHost& aHost) -> Task<>;
  auto JudgeEnd(SoakHost& aHost, int aStatus, bool aKilled) -> void;
  auto CheckReadiness(SoakHost& aHost) -> Task<>;
  auto IsReady(SoakHost& aHost, TimePoint aDeadline) -> Task<bool>;
  auto AwaitReady(SoakHost& aHost) -> Task<bool>;
  auto EndDaemons() -> Task<>;
  auto JudgeAttempts() -> void;
  auto StalledWithin(TimePoint aFrom, TimePoint aUntil) const -> Duration;
  auto Violate(const std::string& aText, TimePoint aAt) -> void;

  // planned_work.cc
  auto WriteSettings(const SoakHost& aHost, int aKeepResults) -> void;
  auto DoPlannedWork() -> Task<>;
  auto Terminate(std::size_t aHost) -> void;
  auto StopSome() -> void;
  auto Stop(std::size_t aHost, Duration aDelay, Duration aSecond) -> Task<>;
  auto Pause(std::size_t aHost) -> Task<>;
  auto StopAgain(std::size_t aHost) -> Task<>;
  auto ReloadSome() -> Task<>;
  auto DisturbStore() -> Task<>;
  auto SilenceEndpoints() -> Task<>;

  // publishing.cc
  auto ChooseTerms(const SoakRoute& aRoute) -> SoakTerms;
  auto Publish() -> void;
  auto PublishSeries() -> Task<>;
  auto WakeAtOldLimit() -> void;

  // callers.cc
  auto ChooseHost(Random& aRandom) -> std::size_t;
  auto NextId(const char* aPrefix) -> std::string;
  auto ChooseRoute(Random& aRandom) const -> SoakRoute;
  auto RunCaller(SoakCaller& aCaller) -> Task<>;
  auto AskOnce(std::size_t aHost, Duration aDelay, std::uint64_t aSeed)
    -> Task<>;
  auto LongestIdle() const -> Duration;
  auto Idle(SoakCaller& aCaller, Duration aTime) -> Task<>;
  auto Reconnect(SoakCaller& aCaller) -> Task<bool>;
  auto Ask(SoakCaller& aCaller) -> Task<>;
  auto RunJobs(std::uint64_t aSeed) -> Task<>;
  auto SubmitJob(std::string aId, Random& aRandom) -> Task<bool>;
  auto EndJob(std::string aId, Random& aRandom) -> Task<>;
  auto CallAboutJob(Request aRequest, std::string aId, Random& aRandom)
    -> Task<Response>;
  auto ReadJob(std::string aId, Random& aRandom) -> Task<nlohmann::json>;
  auto CheckJobs() -> Task<>;
  auto JobProblem(const std::string& aId, const nlohmann::json& aPage) const
    -> std::string;

  asio::io_context& mLoop;
  const SoakOptions mOptions;
  Random mRandom; // of the planned work
  StoreServer mStore;
  std::deque<EndpointServer> mEndpoints;
  std::vector<nlohmann::json> mRegistrations; // of mEndpoints, same order
  std::deque<SoakHost> mHosts;
  std::deque<SoakCaller> mCallers;
  std::vector<SoakDocument> mDocuments; // in the order of publication
  std::vector<std::string> mExtraRoutes;
  std::uint64_t mNextId = 1;
  std::size_t mActive = 0; // tasks of callers that have not ended
  bool mCallersEnd = false;
  bool mDaemonsEnd = false; // ended daemons are not started again
  std::vector<Attempt> mAttempts;
  std::map<std::string, SoakJob> mJobs;
  std::vector<Stall> mStalls;
  std::vector<std::string> mViolations;
  std::map<std::string, std::uint64_t> mCounts;
};

// Prefix of the names of routes that come and go.
constexpr auto kExtraRoute = "x";

auto ExtraRoute(const std::string& aName) -> SoakRoute;

// The service that may serve the routes of another one.
auto TwinOf(const std::string& aService) -> std::string;

// A time between 0 and aMost.
auto RandomTime(Random& aRandom, std::chrono::milliseconds aMost) -> Duration;

// Whether an event of aPercent percent happens.
auto Chance(Random& aRandom, std::uint64_t aPercent) -> bool;

} // namespace mangovalve::standin
