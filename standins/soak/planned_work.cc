// Planned work of a soak: stops and changed settings.
#include <csignal>
#include <fstream>

#include <absl/strings/str_cat.h>

#include "standins/soak/soak.h"

namespace mangovalve::standin {
namespace {

using std::chrono::milliseconds;

} // namespace

// The file is replaced at once, as a platform does it.
auto Soak::WriteSettings(const SoakHost& aHost, int aKeepResults) -> void
{
  const auto& process = aHost.mProcess;
  const auto temporary = process.mSettingsPath + ".new";
  {
    std::ofstream file(temporary);
    file << "[host]\nname = \"" << process.mName
         << "\"\nfailure_domain = \"a\"\n[listen]\ncallers = \""
         << process.mCallers << "\"\nreadiness = \"" << process.mReadiness
         << "\"\npeers = \"" << process.mPeers << "\"\n[store]\naddress = \""
         << Address(mOptions.mDaemons, 21010)
         << "\"\n[shutdown]\ngrace_seconds = 8\n[batch]\n"
         << "keep_results_seconds = " << aKeepResults << "\n";
  }
  std::rename(temporary.c_str(), process.mSettingsPath.c_str());
}

auto Soak::DoPlannedWork() -> Task<>
{
  const auto until = Clock::now() + mOptions.mPlannedWork;
  constexpr auto kMostPause = milliseconds(1200);
  constexpr std::uint64_t kStops = 50; // percent
  constexpr std::uint64_t kReloads = 50;
  if (mOptions.mSlowStore) {
    Spawn(mLoop, DisturbStore());
  }
  while (Clock::now() < until) {
    if (Chance(mRandom, kStops)) {
      StopSome();
    } else if (Chance(mRandom, kReloads)) {
      co_await ReloadSome();
    } else {
      co_await PublishSeries();
    }
    co_await SleepUntil(Clock::now() + RandomTime(mRandom, kMostPause));
  }
  for (auto& host : mHosts) {
    host.mStopAfterStart = StopAfterStart::None;
  }
  mStore.mFaults = {};
}

// Some callers that are idle on the host's connections send right then, others
// when the host is about to close them.
auto Soak::Terminate(std::size_t aHost) -> void
{
  constexpr auto kSoon = milliseconds(30);
  constexpr auto kClosing = milliseconds(2200);
  constexpr auto kClosingRange = milliseconds(300);
  for (auto& caller : mCallers) {
    if (caller.mHost != aHost || Chance(mRandom, 30)) {
      continue;
    }
    const auto delay = Chance(mRandom, 50)
                         ? RandomTime(mRandom, kSoon)
                         : kClosing + RandomTime(mRandom, kClosingRange);
    caller.mIdleUntil = Clock::now() + delay;
    caller.mWake.cancel();
  }
  SignalProcess(mHosts[aHost].mProcess, SIGTERM);
}

auto Soak::StopSome() -> void
{
  constexpr std::uint64_t kAllAtOnce = 5; // percent
  constexpr std::uint64_t kSecondSignal = 25;
  constexpr std::uint64_t kAgain = 35;
  constexpr auto kMostDelay = milliseconds(1500);
  constexpr auto kMostSecond = milliseconds(3000);
  const auto count = Chance(mRandom, kAllAtOnce)
                       ? mHosts.size()
                       : 1 + UniformBelow(mRandom, mHosts.size());
  const auto together = Chance(mRandom, 50);
  for (std::size_t i = 0; i < count; ++i) {
    const auto host = UniformBelow(mRandom, mHosts.size());
    if (Chance(mRandom, kAgain)) {
      mHosts[host].mStopAfterStart = Chance(mRandom, 70)
                                       ? StopAfterStart::WhenReady
                                       : StopAfterStart::AtOnce;
    }
    const auto delay = together ? Duration{} : RandomTime(mRandom, kMostDelay);
    const auto second = Chance(mRandom, kSecondSignal)
                          ? RandomTime(mRandom, kMostSecond)
                          : Duration{};
    Spawn(mLoop, Stop(host, delay, second));
  }
}

// A positive aSecond is the time until a second signal to the same process.
auto Soak::Stop(std::size_t aHost, Duration aDelay, Duration aSecond) -> Task<>
{
  auto& process = mHosts[aHost].mProcess;
  const auto pid = process.mPid;
  co_await SleepUntil(Clock::now() + aDelay);
  if (pid < 0 || process.mPid != pid || mDaemonsEnd) {
    co_return;
  }
  Terminate(aHost);
  if (mOptions.mPauses) {
    Spawn(mLoop, Pause(aHost));
  }
  if (aSecond > Duration{}) {
    co_await SleepUntil(Clock::now() + aSecond);
    if (process.mPid == pid) {
      ++mCounts["second_signals"];
      SignalProcess(process, SIGTERM);
    }
  }
}

// Holds the process while a stop is in progress, as a busy machine does, mostly
// when it is about to close its connections. Meanwhile new callers connect.
auto Soak::Pause(std::size_t aHost) -> Task<>
{
  constexpr auto kClosing = milliseconds(2200);
  constexpr auto kClosingRange = milliseconds(150);
  constexpr auto kMostDelay = milliseconds(5000);
  constexpr auto kMostPause = milliseconds(250);
  constexpr std::uint64_t kMostCallers = 3;
  auto& process = mHosts[aHost].mProcess;
  const auto pid = process.mPid;
  const auto delay = Chance(mRandom, 70)
                       ? kClosing + RandomTime(mRandom, kClosingRange)
                       : RandomTime(mRandom, kMostDelay);
  co_await SleepUntil(Clock::now() + delay);
  if (process.mPid != pid) {
    co_return;
  }
  const auto from = Clock::now();
  const auto until = from + RandomTime(mRandom, kMostPause);
  SignalProcess(process, SIGSTOP);
  for (auto left = UniformBelow(mRandom, kMostCallers + 1); left > 0; --left) {
    Spawn(mLoop,
          AskOnce(aHost, RandomTime(mRandom, kMostPause), Next(mRandom)));
  }
  co_await SleepUntil(until);
  SignalProcess(process, SIGCONT);
  mStalls.push_back({ from, Clock::now() });
  ++mCounts["pauses"];
}

auto Soak::StopAgain(std::size_t aHost) -> Task<>
{
  auto& host = mHosts[aHost];
  constexpr auto kMostDelay = milliseconds(300);
  const auto pid = host.mProcess.mPid;
  const auto when = std::exchange(host.mStopAfterStart, StopAfterStart::None);
  if (when == StopAfterStart::WhenReady) {
    co_await AwaitReady(host);
  }
  if (host.mProcess.mPid == pid) {
    ++mCounts["stops_after_start"];
    co_await Stop(aHost, RandomTime(mRandom, kMostDelay), Duration{});
  }
}

auto Soak::ReloadSome() -> Task<>
{
  constexpr std::uint64_t kMostSignals = 10;
  constexpr auto kMostPause = milliseconds(100);
  constexpr std::uint64_t kKeepResults = 120;
  constexpr std::uint64_t kKeepRange = 60;
  const auto hosts = 1 + UniformBelow(mRandom, mHosts.size());
  const auto first = UniformBelow(mRandom, mHosts.size());
  const auto signals = 1 + UniformBelow(mRandom, kMostSignals);
  for (std::size_t i = 0; i < signals; ++i) {
    for (std::size_t k = 0; k < hosts; ++k) {
      auto& host = mHosts[(first + k) % mHosts.size()];
      if (Chance(mRandom, 50)) {
        WriteSettings(
          host,
          static_cast<int>(kKeepResults + UniformBelow(mRandom, kKeepRange)));
      }
      // Before a program has set its handlers, SIGHUP ends it.
      if (HasLogged(host.mProcess)) {
        ++mCounts["reloads"];
        SignalProcess(host.mProcess, SIGHUP);
      }
    }
    co_await SleepUntil(Clock::now() + RandomTime(mRandom, kMostPause));
  }
}

auto Soak::DisturbStore() -> Task<>
{
  constexpr auto kMostDelay = milliseconds(400);
  constexpr auto kMostPhase = milliseconds(3000);
  while (!mCallersEnd) {
    mStore.mFaults.mDelay =
      Chance(mRandom, 50) ? RandomTime(mRandom, kMostDelay) : Duration{};
    co_await SleepUntil(Clock::now() + RandomTime(mRandom, kMostPhase));
  }
  mStore.mFaults = {};
}

// Silences a random part of the endpoints, or all of them at once, for up to a
// second and a half.
auto Soak::SilenceEndpoints() -> Task<>
{
  constexpr auto kMostSilence = milliseconds(1500);
  constexpr auto kMostPause = milliseconds(3000);
  constexpr std::uint64_t kAllAtOnce = 25; // percent
  while (!mCallersEnd) {
    const auto all = Chance(mRandom, kAllAtOnce);
    const auto silence = RandomTime(mRandom, kMostSilence);
    for (auto& endpoint : mEndpoints) {
      if (all || Chance(mRandom, 30)) {
        endpoint.mSilentUntil = Clock::now() + silence;
        ++mCounts["silences"];
      }
    }
    co_await SleepUntil(Clock::now() + silence +
                        RandomTime(mRandom, kMostPause));
  }
}

} // namespace mangovalve::standin
