// A small deployment on loopback for the review's scripts.
#include "review/support-2/deployment.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <sstream>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "standins/common/free_address.h"

namespace mangovalve::review {
namespace {

constexpr auto kWatchInterval = milliseconds(10);
constexpr auto kRestartDelay = milliseconds(500);
constexpr auto kReadyTime = seconds(10);
constexpr auto kMostTime = seconds(115); // of a script
constexpr auto kPartitions = 8;

auto EnvironmentText(const char* aName, const char* aDefault) -> std::string
{
  const auto* const text = std::getenv(aName);
  return text == nullptr ? aDefault : text;
}

auto HostOf(const std::string& aAddress) -> std::string
{
  return aAddress.substr(0, aAddress.find(':'));
}

auto PortOf(const std::string& aAddress) -> std::string
{
  return aAddress.substr(aAddress.find(':') + 1);
}

// Resident memory of the process in kB; 0 if it is not known.
auto ResidentKb(pid_t aPid) -> long
{
  std::ifstream text(absl::StrCat("/proc/", aPid, "/statm"));
  long total = 0;
  long resident = 0;
  text >> total >> resident;
  constexpr long kBytesPerKb = 1024;
  return resident * (sysconf(_SC_PAGESIZE) / kBytesPerKb);
}

} // namespace

Deployment::Deployment(long aMemoryKb)
  : mStoreAddress(standin::FreeAddress())
  , mMemoryKb(aMemoryKb)
{
  std::string folder = "/tmp/mangovalve-review-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr || mStore.Listen(mStoreAddress)) {
    std::exit(static_cast<int>(Verdict::NotRun));
  }
  mFolder = folder;
  mRecord.open(EnvironmentText("RECORD", "record.txt"));
  Spawn(mLoop, Watch());
  mSignals.async_wait([this](ErrorCode aError, int /*aSignal*/) {
    if (!aError) {
      GiveUp("stopped by a signal");
    }
  });
}

Deployment::~Deployment()
{
  EndAll();
}

auto Deployment::GiveUp(const std::string& aReason) -> void
{
  Record("NOT RUN: " + aReason);
  absl::PrintF("NOT RUN: %s\n", aReason);
  std::fflush(stdout);
  EndAll();
  std::_Exit(static_cast<int>(Verdict::NotRun));
}

auto Deployment::EndAll() -> void
{
  for (auto& machine : mMachines) {
    if (machine.mPid > 0) {
      kill(machine.mPid, SIGCONT);
      kill(machine.mPid, SIGKILL);
      waitpid(machine.mPid, nullptr, 0);
      machine.mPid = 0;
    }
  }
  std::error_code ignored; // a leftover file harms no other case
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(mFolder, ignored);
  } else {
    absl::PrintF("logs: %s\n", mFolder);
  }
}

auto Deployment::AddTenant(const std::string& aName, const std::string& aKey)
  -> void
{
  mTenants.push_back({ { "name", aName },
                       { "apiKeys", { aKey } },
                       { "ratePerS", 0 },
                       { "burst", 0 } });
}

auto Deployment::Publish() -> void
{
  mVersion += 3;
  const Json config = { { "version", mVersion },
                        { "routes", mRoutes },
                        { "services", mServices },
                        { "tenants", mTenants },
                        { "limits",
                          { { "maxHeaderBytes", 16384 },
                            { "maxBodyBytes", 4194304 },
                            { "headerTimeoutMs", 3000 },
                            { "idleTimeoutMs", 15000 } } } };
  mStore.Put("keyed.op", "config", config.dump());
}

auto Deployment::AddReplica(const std::string& aService,
                            EndpointOptions aOptions,
                            const std::string& aZone) -> EndpointServer&
{
  const auto address = standin::FreeAddress();
  auto& replica = mReplicas.emplace_back(mLoop, aOptions);
  if (replica.Listen(address)) {
    std::exit(static_cast<int>(Verdict::NotRun));
  }
  const Json entry = { { "service", aService },
                       { "address", address },
                       { "zone", aZone },
                       { "version", "v1" },
                       { "capacity", aOptions.mSlots },
                       { "state", "ready" },
                       { "warmupLeftMs", 0 },
                       { "sequence", 1 },
                       { "born", 1000 + mReplicas.size() } };
  mStore.Put("keyed.servers", aOptions.mId, entry.dump());
  return replica;
}

auto Deployment::AddMachine(const std::string& aZone) -> Machine&
{
  auto& machine = mMachines.emplace_back();
  machine.mName = absl::StrCat("front-", aZone, "-", mMachines.size());
  machine.mZone = aZone;
  machine.mFront = standin::FreeAddress();
  machine.mReady = standin::FreeAddress();
  machine.mControl = standin::FreeAddress();
  machine.mPeers = standin::FreeAddress();
  machine.mIp = HostOf(machine.mPeers);
  machine.mFolder = absl::StrCat(mFolder, "/", machine.mName);
  std::filesystem::create_directories(machine.mFolder);
  return machine;
}

// Fills in the template of the deploy file.
auto Deployment::WriteSettings(const Machine& aMachine) -> void
{
  std::ostringstream text;
  text << std::ifstream("deploy/settings.toml").rdbuf();
  auto settings = text.str();
  std::string seeds;
  for (std::size_t i = 0; i < mMachines.size() && i < 3; ++i) {
    absl::StrAppend(
      &seeds, i == 0 ? "" : ",", "\"", mMachines[i].mControl, "\"");
  }
  const std::string sectionEnd = "{{/seeds}}";
  const auto begin = settings.find("{{#seeds}}");
  const auto end = settings.find(sectionEnd);
  if (begin != std::string::npos && end != std::string::npos) {
    settings.replace(begin, end + sectionEnd.size() - begin, seeds);
  }
  const std::vector<std::pair<std::string, std::string>> values = {
    { "{{nodeName}}", aMachine.mName },
    { "{{zone}}", aMachine.mZone },
    { "{{listen.front}}", aMachine.mFront },
    { "{{listen.ready}}", aMachine.mReady },
    { "{{listen.control}}", aMachine.mControl },
    { "{{ip}}", aMachine.mIp },
    { "{{internalPorts.0}}", PortOf(aMachine.mPeers) },
    { "{{platform.address}}", mStoreAddress },
    { "{{platform.parts}}", absl::StrCat(kPartitions) },
    { "{{platform.recordBytes}}", "262144" },
    { "{{platform.callBytes}}", "2097152" },
    { "{{bounds.graceS}}", "8" },
    { "{{bounds.statusS}}", "120" }
  };
  settings = absl::StrReplaceAll(settings, values);
  if (mMemoryKb > 0) {
    // What the daemon takes from /proc/meminfo on a machine of this size: a
    // quarter of the memory.
    constexpr long kBytesPerKb = 1024;
    constexpr long kPart = 4;
    absl::StrAppend(&settings,
                    "\n[memory]\nheld_bytes = ",
                    mMemoryKb * kBytesPerKb / kPart,
                    "\n");
  }
  std::ofstream(aMachine.mFolder + "/boot.conf") << settings;
}

auto Deployment::Start(Machine& aMachine) -> bool
{
  WriteSettings(aMachine);
  const auto log = aMachine.mFolder + "/log";
  posix_spawn_file_actions_t actions{};
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   S_IRUSR | S_IWUSR);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::string program = "target/mangovalved_platform";
  auto path = "PATH=" + EnvironmentText("PATH", "/usr/bin:/bin");
  auto settings = "MANGOVALVE_CONFIG=" + aMachine.mFolder + "/boot.conf";
  std::array<char*, 2> arguments{ program.data(), nullptr };
  std::array<char*, 3> environment{ path.data(), settings.data(), nullptr };
  const auto error = posix_spawn(&aMachine.mPid,
                                 program.c_str(),
                                 &actions,
                                 nullptr,
                                 arguments.data(),
                                 environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    aMachine.mPid = 0;
    return false;
  }
  ++aMachine.mStarts;
  Record(
    absl::StrCat("start ", aMachine.mName, " (start ", aMachine.mStarts, ")"));
  return true;
}

auto Deployment::StartAll(Duration aApart) -> bool
{
  for (auto& machine : mMachines) {
    if (!Start(machine)) {
      Record("a daemon can't be started: build the deploy file first");
      return false;
    }
    RunFor(aApart);
  }
  return RunUntil(Clock::now() + kReadyTime, [this] {
    for (auto& machine : mMachines) {
      if (!IsReady(machine)) {
        return false;
      }
    }
    return true;
  });
}

auto Deployment::Signal(Machine& aMachine, int aSignal) -> void
{
  if (aMachine.mPid <= 0) {
    return;
  }
  aMachine.mExpectedEnd =
    aMachine.mExpectedEnd || aSignal == SIGKILL || aSignal == SIGTERM;
  Record(absl::StrCat("signal ", aSignal, " to ", aMachine.mName));
  kill(aMachine.mPid, aSignal);
}

auto Deployment::IsReady(const Machine& aMachine) -> bool
{
  Request request(http::verb::get, "/api/readyz", 11);
  request.set(http::field::host, aMachine.mReady);
  return CallNow(aMachine.mReady, std::move(request), milliseconds(500))
           .mStatus == 200;
}

auto Deployment::Look(Machine& aMachine, TimePoint aNow) -> void
{
  if (aMachine.mPid == 0) {
    if (!mOver && aMachine.mStarts > 0 && aNow >= aMachine.mRestartAt) {
      Start(aMachine);
    }
    return;
  }
  int status = 0;
  if (waitpid(aMachine.mPid, &status, WNOHANG) == aMachine.mPid) {
    aMachine.mPid = 0;
    aMachine.mRestartAt = aNow + kRestartDelay;
    const auto own = !aMachine.mExpectedEnd && !mOver;
    aMachine.mOwnEnds += own ? 1 : 0;
    aMachine.mExpectedEnd = false;
    Record(absl::StrCat("end of ",
                        aMachine.mName,
                        own ? " by itself" : "",
                        ", wait status ",
                        status,
                        ", peak ",
                        aMachine.mPeakKb,
                        " kB"));
    return;
  }
  const auto resident = ResidentKb(aMachine.mPid);
  aMachine.mPeakKb = std::max(aMachine.mPeakKb, resident);
  if (mMemoryKb > 0 && resident > mMemoryKb && !aMachine.mExpectedEnd) {
    Record(absl::StrCat(
      aMachine.mName, " exceeds its memory: ", resident, " kB; killed"));
    ++aMachine.mMemoryKills;
    kill(aMachine.mPid, SIGKILL);
  }
}

auto Deployment::Watch() -> Task<>
{
  for (;;) {
    if (Clock::now() >= mStartedAt + kMostTime) {
      GiveUp("it takes too long");
    }
    for (auto& machine : mMachines) {
      Look(machine, Clock::now());
    }
    co_await SleepUntil(Clock::now() + kWatchInterval);
  }
}

auto Deployment::RunUntil(TimePoint aUntil,
                          const std::function<auto()->bool>& aDone) -> bool
{
  while (!aDone()) {
    if (Clock::now() >= aUntil) {
      return false;
    }
    mLoop.run_for(milliseconds(5));
  }
  return true;
}

auto Deployment::RunFor(Duration aTime) -> void
{
  RunUntil(Clock::now() + aTime, [] { return false; });
}

auto Deployment::Call(std::string aAddress,
                      Request aRequest,
                      TimePoint aDeadline) -> Task<Answer>
{
  Answer answer;
  aRequest.prepare_payload();
  auto connection =
    co_await mPool.Acquire(aAddress, TimePoint::max(), aDeadline);
  if (!connection) {
    co_return answer;
  }
  std::optional<ResponseParser> parser;
  auto error = co_await SendRequest(**connection, aRequest, aDeadline);
  if (!error) {
    error = co_await ReadHead(**connection, parser, aDeadline);
  }
  if (!error) {
    BodyLimits limits;
    error =
      co_await ReadBody(**connection, *parser, aDeadline, std::move(limits));
  }
  if (!error) {
    answer.mStatus = parser->get().result_int();
    const auto retryAfter = parser->get()["Retry-After"];
    answer.mRetryAfter.assign(retryAfter.data(), retryAfter.size());
    answer.mBody = std::move(parser->get().body());
  }
  co_return answer;
}

auto Deployment::CallNow(const std::string& aAddress,
                         Request aRequest,
                         Duration aTime) -> Answer
{
  const auto result = std::make_shared<std::optional<Answer>>();
  Spawn(mLoop,
        [](Deployment& aDeployment,
           std::string aTo,
           Request aCall,
           TimePoint aDeadline,
           std::shared_ptr<std::optional<Answer>> aInto) -> Task<> {
          *aInto = co_await aDeployment.Call(
            std::move(aTo), std::move(aCall), aDeadline);
        }(*this, aAddress, std::move(aRequest), Clock::now() + aTime, result));
  RunUntil(Clock::now() + aTime + seconds(1),
           [&] { return result->has_value(); });
  return result->value_or(Answer{});
}

auto Deployment::Seconds() const -> double
{
  const std::chrono::duration<double> elapsed = Clock::now() - mStartedAt;
  return elapsed.count();
}

auto Deployment::Record(const std::string& aLine) -> void
{
  mRecord << absl::StrFormat("%8.3f ", Seconds()) << aLine << std::endl;
}

auto Deployment::RecordRuns() -> void
{
  constexpr std::size_t kMostRuns = 200;
  std::size_t runs = 0;
  for (const auto& replica : mReplicas) {
    runs += replica.mRuns.size();
  }
  if (runs > kMostRuns) {
    return;
  }
  const auto since = [this](TimePoint aAt) {
    const std::chrono::duration<double> elapsed = aAt - mStartedAt;
    return absl::StrFormat("%.3f", elapsed.count());
  };
  for (const auto& replica : mReplicas) {
    for (const auto& run : replica.mRuns) {
      Record(absl::StrCat("run of ",
                          run.mId,
                          " at ",
                          replica.mOptions.mId,
                          " after event ",
                          run.mFrom,
                          " from ",
                          since(run.mAt),
                          run.mEndedAt == TimePoint{}
                            ? ", not ended"
                            : absl::StrCat(" to ", since(run.mEndedAt))));
    }
  }
}

auto Deployment::OwnEnds() const -> int
{
  auto ends = 0;
  for (const auto& machine : mMachines) {
    ends += machine.mOwnEnds;
  }
  return ends;
}

auto Deployment::MemoryKills() const -> int
{
  auto kills = 0;
  for (const auto& machine : mMachines) {
    kills += machine.mMemoryKills;
  }
  return kills;
}

auto WithTrouble() -> bool
{
  return EnvironmentText("TROUBLE", "1") != "0";
}

auto Finish(Deployment& aDeployment,
            Verdict aVerdict,
            const std::string& aReason) -> int
{
  aDeployment.mOver = true;
  for (const auto& machine : aDeployment.mMachines) {
    aDeployment.Record(absl::StrCat(machine.mName,
                                    ": ",
                                    machine.mStarts,
                                    " starts, ",
                                    machine.mOwnEnds,
                                    " ends by itself, peak ",
                                    machine.mPeakKb,
                                    " kB"));
  }
  for (const auto& replica : aDeployment.mReplicas) {
    const auto ended = std::count_if(
      replica.mRuns.begin(), replica.mRuns.end(), [](const auto& aRun) {
        return aRun.mEndedAt != TimePoint{};
      });
    aDeployment.Record(absl::StrCat(replica.mOptions.mId,
                                    ": ",
                                    replica.mRuns.size(),
                                    " runs, ",
                                    ended,
                                    " ended, ",
                                    replica.mCancelled,
                                    " of them cut by the sender"));
  }
  aDeployment.RecordRuns();
  const auto* const name = aVerdict == Verdict::Held     ? "HELD"
                           : aVerdict == Verdict::Broken ? "BROKEN"
                                                         : "NOT RUN";
  aDeployment.Record(absl::StrCat(name, ": ", aReason));
  absl::PrintF("%s: %s\n", name, aReason);
  return static_cast<int>(aVerdict);
}

auto BatchCall(http::verb aVerb,
               const std::string& aTarget,
               const std::string& aKey) -> Request
{
  Request request(aVerb, aTarget, 11);
  request.set(http::field::host, "h.example");
  request.set("Credential", aKey);
  return request;
}

auto BatchRoute(const std::string& aPrefix, const std::string& aService) -> Json
{
  return { { "name", "r" + aPrefix }, { "host", "h.example" },
           { "pathPrefix", aPrefix }, { "kind", "batch" },
           { "timeoutMs", 15000 },    { "sloMs", 400 },
           { "priority", 2 },         { "service", aService },
           { "maxAttempts", 3 },      { "dueMs", 18000 },
           { "maxQueueS", 60 },       { "maxQueuedTokens", 740000 },
           { "public", false },       { "sticky", true },
           { "resumable", true },     { "gapAimMs", 400 } };
}

} // namespace mangovalve::review
