// The fleet of a soak, its load balancer and the verdict.
#include "standins/soak/soak.h"

#include <algorithm>
#include <csignal>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <sys/wait.h>
#include <unistd.h>

#include "platform/names.h"

namespace mangovalve::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Ports below the ones that the system gives to outgoing connections.
constexpr int kCallersPort = 21001;
constexpr int kReadinessPort = 21002;
constexpr int kPeersPort = 21003;
constexpr int kStandinPort = 21010;

constexpr auto kGrace = seconds(8); // from SIGTERM to SIGKILL
constexpr auto kProcessPoll = milliseconds(5);
constexpr auto kReadyPoll = milliseconds(50);
constexpr auto kReadyDeadline = seconds(30);
constexpr auto kCheckInterval = seconds(1);
constexpr auto kRenewInterval = seconds(1);
constexpr auto kCallerEndDeadline = seconds(30);

// An address on loopback of its own for each process of this program, so that
// soaks can run side by side.
auto LoopbackIp(std::size_t aHost) -> std::string
{
  constexpr int kRange = 250;
  const auto pid = static_cast<int>(getpid());
  return absl::StrFormat("127.%d.%d.%d",
                         1 + (pid / kRange) % kRange,
                         1 + pid % kRange,
                         1 + static_cast<int>(aHost));
}

auto WallTime(TimePoint aAt) -> std::string
{
  const auto wall = std::chrono::system_clock::now() - (Clock::now() - aAt);
  const auto millis =
    std::chrono::duration_cast<milliseconds>(wall.time_since_epoch()).count();
  const std::time_t second = millis / 1000;
  std::tm parts{};
  gmtime_r(&second, &parts);
  return absl::StrFormat("%02d:%02d:%02d.%03d",
                         parts.tm_hour,
                         parts.tm_min,
                         parts.tm_sec,
                         millis % 1000);
}

} // namespace

auto RandomTime(Random& aRandom, milliseconds aMost) -> Duration
{
  return milliseconds(
    UniformBelow(aRandom, static_cast<std::uint64_t>(aMost.count()) + 1));
}

auto Chance(Random& aRandom, std::uint64_t aPercent) -> bool
{
  constexpr std::uint64_t kAll = 100;
  return UniformBelow(aRandom, kAll) < aPercent;
}

Soak::Soak(asio::io_context& aLoop, SoakOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mRandom{ mOptions.mSeed }
  , mStore(aLoop, {})
{
}

auto Soak::Address(std::size_t aHost, int aPort) const -> std::string
{
  return absl::StrCat(LoopbackIp(aHost), ":", aPort);
}

auto Soak::AddEndpoint(const std::string& aService, EndpointOptions aOptions)
  -> bool
{
  const auto address =
    Address(mOptions.mDaemons + 1 + mEndpoints.size(), kStandinPort);
  mRegistrations.push_back({ { "service", aService },
                             { "address", address },
                             { "zone", "a" },
                             { "capacity", mOptions.mSlots },
                             { "state", "ready" },
                             { "sequence", 1 },
                             { "born", mEndpoints.size() + 1 } });
  aOptions.mId = absl::StrCat("e", mEndpoints.size());
  aOptions.mSlots = mOptions.mSlots;
  return !mEndpoints.emplace_back(mLoop, aOptions).Listen(address);
}

auto Soak::StartStandins() -> bool
{
  if (mStore.Listen(Address(mOptions.mDaemons, kStandinPort))) {
    return false;
  }
  EndpointOptions quick;
  quick.mPerEvent = milliseconds(15);
  EndpointOptions slow;
  slow.mEvents = 30;
  slow.mPerEvent = milliseconds(50);
  EndpointOptions plain;
  plain.mStreams = false;
  auto work = plain;
  work.mWork = milliseconds(600);
  auto started = true;
  const std::pair<std::string, EndpointOptions> services[] = {
    { "quick", quick }, { "slow", slow }, { "app", plain }, { "work", work }
  };
  for (int i = 0; i < 3; ++i) {
    for (const auto& [service, options] : services) {
      started = started && AddEndpoint(service, options) &&
                (!mOptions.mMoves || AddEndpoint(TwinOf(service), options));
    }
  }
  return started;
}

auto Soak::AddHosts() -> void
{
  for (std::size_t i = 0; i < mOptions.mDaemons; ++i) {
    auto& process = mHosts.emplace_back().mProcess;
    process.mName = absl::StrCat("host-", i);
    process.mCallers = Address(i, kCallersPort);
    process.mReadiness = Address(i, kReadinessPort);
    process.mPeers = Address(i, kPeersPort);
    const auto path = absl::StrCat(mOptions.mDirectory, "/", process.mName);
    process.mSettingsPath = path + ".toml";
    process.mLogPath = path + ".log";
  }
  constexpr int kKeepResults = 120;
  for (const auto& host : mHosts) {
    WriteSettings(host, kKeepResults);
  }
}

auto Soak::Run() -> std::vector<std::string>
{
  if (!StartStandins()) {
    return { "a stand-in could not listen" };
  }
  AddHosts();
  Publish();
  Spawn(mLoop, RenewEndpoints());
  Spawn(mLoop, MeasureStalls());
  Spawn(mLoop, Main());
  mLoop.run();
  JudgeAttempts();
  return mViolations;
}

auto Soak::Main() -> Task<>
{
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    Spawn(mLoop, Supervise(i));
    Spawn(mLoop, CheckReadiness(mHosts[i]));
  }
  for (auto& host : mHosts) {
    const auto ready = co_await AwaitReady(host);
    if (!ready) {
      Violate(host.mProcess.mName + " is not ready at the start", Clock::now());
    }
  }
  if (mOptions.mSilences) {
    Spawn(mLoop, SilenceEndpoints());
  }
  for (std::size_t i = 0; i < mOptions.mCallers; ++i) {
    Spawn(mLoop, RunCaller(mCallers.emplace_back(mLoop, Next(mRandom))));
  }
  for (std::size_t i = 0; i < std::max<std::size_t>(mOptions.mCallers / 12, 1);
       ++i) {
    Spawn(mLoop, RunJobs(Next(mRandom)));
  }
  co_await DoPlannedWork();
  mCallersEnd = true;
  const auto deadline = Clock::now() + kCallerEndDeadline;
  while (mActive > 0 && Clock::now() < deadline) {
    co_await SleepUntil(Clock::now() + kReadyPoll);
  }
  if (mActive > 0) {
    Violate("callers wait for responses", Clock::now());
  }
  co_await CheckJobs();
  co_await EndDaemons();
  mLoop.stop();
}

auto Soak::RenewEndpoints() -> Task<>
{
  for (;;) {
    for (std::size_t i = 0; i < mEndpoints.size(); ++i) {
      auto& entry = mRegistrations[i];
      entry["sequence"] = entry["sequence"].get<int>() + 1;
      mStore.Put(
        platform::kEndpointsTopic, mEndpoints[i].mOptions.mId, entry.dump());
    }
    co_await SleepUntil(Clock::now() + kRenewInterval);
  }
}

auto Soak::MeasureStalls() -> Task<>
{
  constexpr auto kStep = milliseconds(5);
  for (;;) {
    const auto due = Clock::now() + kStep;
    co_await SleepUntil(due);
    const auto now = Clock::now();
    if (now - due > kStep) {
      mStalls.push_back({ due, now });
    }
  }
}

auto Soak::Supervise(std::size_t aHost) -> Task<>
{
  auto& host = mHosts[aHost];
  auto& process = host.mProcess;
  while (!mDaemonsEnd) {
    if (!StartProcess(process, mOptions.mBinary)) {
      Violate(process.mName + " could not be started", Clock::now());
      co_return;
    }
    ++mCounts["starts"];
    if (host.mStopAfterStart != StopAfterStart::None) {
      Spawn(mLoop, StopAgain(aHost));
    }
    co_await WatchProcess(host);
  }
}

auto Soak::WatchProcess(SoakHost& aHost) -> Task<>
{
  auto& process = aHost.mProcess;
  int status = 0;
  auto killed = false;
  while (!HasEnded(process, status)) {
    if (!killed && process.mTermAt != TimePoint{} &&
        Clock::now() > process.mTermAt + kGrace) {
      killed = true;
      SignalProcess(process, SIGKILL);
    }
    co_await SleepUntil(Clock::now() + kProcessPoll);
  }
  JudgeEnd(aHost, status, killed);
}

auto Soak::JudgeEnd(SoakHost& aHost, int aStatus, bool aKilled) -> void
{
  const auto& process = aHost.mProcess;
  if (WIFEXITED(aStatus) && WEXITSTATUS(aStatus) == 0 &&
      process.mTermAt != TimePoint{}) {
    ++mCounts["stops"];
    return;
  }
  // Before a program has set its handlers, SIGTERM ends it.
  if (WIFSIGNALED(aStatus) && WTERMSIG(aStatus) == SIGTERM &&
      !HasLogged(process)) {
    ++mCounts["ended_before_start"];
    return;
  }
  Violate(absl::StrFormat("%s ended with status %#x%s",
                          process.mName,
                          aStatus,
                          aKilled ? ", killed after the grace period" : ""),
          Clock::now());
}

auto Soak::IsReady(SoakHost& aHost, TimePoint aDeadline) -> Task<bool>
{
  auto connection =
    co_await Connect(mLoop, aHost.mProcess.mReadiness, aDeadline);
  if (!connection) {
    co_return false;
  }
  Request request(http::verb::get, platform::kReadyPath, 11);
  request.set(http::field::host, aHost.mProcess.mReadiness);
  const SendPlan plan;
  Attempt attempt;
  Response response;
  co_await Exchange(*connection, request, plan, aDeadline, attempt, response);
  co_return attempt.mStatus == 200;
}

auto Soak::CheckReadiness(SoakHost& aHost) -> Task<>
{
  for (;;) {
    const auto next = Clock::now() + kCheckInterval;
    const auto ready = co_await IsReady(aHost, next);
    aHost.mMisses = ready ? 0 : aHost.mMisses + 1;
    co_await SleepUntil(next);
  }
}

auto Soak::AwaitReady(SoakHost& aHost) -> Task<bool>
{
  const auto deadline = Clock::now() + kReadyDeadline;
  while (Clock::now() < deadline) {
    const auto ready = co_await IsReady(aHost, Clock::now() + kCheckInterval);
    if (ready) {
      co_return true;
    }
    co_await SleepUntil(Clock::now() + kReadyPoll);
  }
  co_return false;
}

auto Soak::EndDaemons() -> Task<>
{
  mDaemonsEnd = true;
  for (auto& host : mHosts) {
    SignalProcess(host.mProcess, SIGTERM);
  }
  for (auto& host : mHosts) {
    while (host.mProcess.mPid >= 0) {
      co_await SleepUntil(Clock::now() + kProcessPoll);
    }
  }
}

auto Soak::StalledWithin(TimePoint aFrom, TimePoint aUntil) const -> Duration
{
  Duration total{};
  for (const auto& stall : mStalls) {
    const auto from = std::max(stall.mFrom, aFrom);
    const auto until = std::min(stall.mUntil, aUntil);
    total += std::max(until - from, Duration{});
  }
  return total;
}

auto Soak::JudgeAttempts() -> void
{
  std::map<std::string, std::vector<RunSpan>> runs;
  for (std::size_t i = 0; i < mEndpoints.size(); ++i) {
    for (const auto& run : mEndpoints[i].mRuns) {
      const auto ended = run.mEndedAt != TimePoint{};
      runs[run.mId].push_back({ i,
                                run.mAt,
                                ended ? run.mEndedAt : Clock::now(),
                                mRegistrations[i]["service"] });
    }
  }
  for (auto& attempt : mAttempts) {
    attempt.mStalled = StalledWithin(attempt.mSentAt, attempt.mEndedAt);
    ApplyDocuments(attempt, runs[attempt.mId], mDocuments);
    const auto problem = Judge(attempt, runs[attempt.mId], mOptions.mRules);
    if (problem) {
      Violate(absl::StrCat(attempt.mHost,
                           " request ",
                           attempt.mId,
                           " ",
                           attempt.mRoute,
                           attempt.mFirst ? " (first)" : "",
                           ": ",
                           *problem,
                           " [",
                           Describe(attempt, runs[attempt.mId]),
                           "]"),
              attempt.mEndedAt);
    }
    ++mCounts["requests"];
    const auto refused = IsRefusal(attempt.mStatus);
    const auto timedOut = attempt.mStatus == 504 && !problem;
    mCounts["answered"] +=
      attempt.mEnding == Ending::Answered && !refused && !timedOut ? 1 : 0;
    mCounts["timed_out"] += timedOut ? 1 : 0;
    mCounts["unknown_route"] += attempt.mStatus == 404 && !problem ? 1 : 0;
    mCounts["gave_up"] += attempt.mEnding == Ending::GaveUp ? 1 : 0;
    mCounts["refused"] += refused ? 1 : 0;
    mCounts["no_connection"] += attempt.mEnding == Ending::NoConnection ? 1 : 0;
    mCounts["unsent"] += attempt.mEnding == Ending::Unsent ? 1 : 0;
    const auto crossed = attempt.mEnding == Ending::Reset && !problem;
    mCounts["crossed"] += crossed && !attempt.mFirst ? 1 : 0;
    mCounts["crossed_first"] += crossed && attempt.mFirst ? 1 : 0;
  }
}

auto Soak::Unanswered() const -> std::string
{
  std::string text;
  for (const auto& attempt : mAttempts) {
    if (attempt.mEnding == Ending::Answered ||
        attempt.mEnding == Ending::NoConnection) {
      continue;
    }
    absl::StrAppendFormat(&text,
                          "%s %s %s %s ending=%d first=%d after_us=%d\n",
                          WallTime(attempt.mEndedAt),
                          attempt.mHost,
                          attempt.mId,
                          attempt.mRoute,
                          static_cast<int>(attempt.mEnding),
                          static_cast<int>(attempt.mFirst),
                          std::chrono::duration_cast<std::chrono::microseconds>(
                            attempt.mEndedAt - attempt.mSentAt)
                            .count());
  }
  return text;
}

auto Soak::Violate(const std::string& aText, TimePoint aAt) -> void
{
  mViolations.push_back(absl::StrCat(WallTime(aAt), " ", aText));
}

auto Soak::Summary() const -> std::string
{
  std::string text;
  for (const auto& [name, count] : mCounts) {
    absl::StrAppend(&text, name, "=", count, " ");
  }
  Duration stalled{};
  for (const auto& stall : mStalls) {
    stalled = std::max(stalled, stall.mUntil - stall.mFrom);
  }
  return absl::StrCat(
    text,
    "longest_stall_ms=",
    std::chrono::duration_cast<milliseconds>(stalled).count());
}

} // namespace mangovalve::standin
