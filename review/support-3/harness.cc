// A small deployment for the cases of the third review.
#include "review/support-3/harness.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "mangovalve/loop/http_client.h"
#include "platform/names.h"

namespace mangovalve::review {
namespace {

using std::chrono::milliseconds;

constexpr auto kRenewInterval = milliseconds(1200);
constexpr auto kSuperviseInterval = milliseconds(20);
constexpr auto kRestartDelay = milliseconds(500);
constexpr int kFirstServer = 100; // last byte of the addresses
constexpr int kStoreByte = 99;
constexpr int kPort = 18405;

auto ZoneOf(std::size_t aIndex) -> std::string
{
  constexpr std::size_t kZones = 3;
  return absl::StrCat("zone-", std::string(1, "abc"[aIndex % kZones]));
}

// A part of the loopback range in which this port is free.
auto FreePrefix() -> std::string
{
  constexpr int kRange = 250;
  asio::io_context loop;
  for (auto seed = static_cast<int>(getpid());; ++seed) {
    const auto prefix = absl::StrFormat(
      "127.%d.%d.", 1 + (seed / kRange) % kRange, 1 + seed % kRange);
    auto free = true;
    for (const auto byte : { 1, kStoreByte, kFirstServer }) {
      Tcp::acceptor acceptor(loop, Tcp::v4());
      ErrorCode error;
      acceptor.bind({ asio::ip::make_address(absl::StrCat(prefix, byte)),
                      static_cast<std::uint16_t>(kPort) },
                    error);
      free = free && !error;
    }
    if (free) {
      return prefix;
    }
  }
}

// Resident memory of a process; 0 if it does not run.
auto ResidentBytes(pid_t aPid) -> std::size_t
{
  std::ifstream file(absl::StrCat("/proc/", aPid, "/statm"));
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

auto ReadArguments(int aCount, char** aValues) -> std::optional<Arguments>
{
  if (aCount != 4) {
    std::cerr << "usage: PROGRAM DIRECTORY RECORD\n";
    return std::nullopt;
  }
  const auto* trouble = std::getenv("TROUBLE");
  return Arguments{ aValues[1],
                    aValues[2],
                    aValues[3],
                    trouble == nullptr || std::string(trouble) != "0" };
}

Deployment::Deployment(Arguments aArguments, Plan aPlan)
  : mStore(mLoop, standin::StoreLimits{})
  , mArguments(std::move(aArguments))
  , mPlan(std::move(aPlan))
  , mPrefix(FreePrefix())
  , mRecordFile(mArguments.mRecord)
{
  if (mPlan.mDocument.is_null()) {
    mPlan.mDocument = DefaultDocument();
  }
}

Deployment::~Deployment()
{
  EndProcesses();
}

auto Deployment::DefaultDocument() -> Json
{
  auto route = [](const char* aName, const char* aKind, const char* aService) {
    return Json{ { "name", aName },
                 { "host", "shop.example" },
                 { "pathPrefix", absl::StrCat("/", aName, "/") },
                 { "kind", aKind },
                 { "timeoutMs", 5000 },
                 { "sloMs", 300 },
                 { "priority", 0 },
                 { "service", aService },
                 { "maxAttempts", 2 },
                 { "public", false },
                 { "sticky", true },
                 { "resumable", false },
                 { "gapAimMs", 400 } };
  };
  auto stream = route("stream", "streaming", "lm");
  stream["resumable"] = true;
  auto once = route("once", "streaming", "lm");
  once["maxAttempts"] = 1;
  auto batch = route("batch", "batch", "lm");
  batch["sloMs"] = 400;
  batch["priority"] = 2;
  batch["dueMs"] = 18000;
  batch["maxAttempts"] = 3;
  batch["maxQueueS"] = 60;
  batch["maxQueuedTokens"] = 740000;
  auto document =
    Json{ { "version", 7 },
          { "routes",
            Json::array({ stream,
                          once,
                          route("plain", "idempotent", "app"),
                          route("pay", "non_idempotent", "app"),
                          batch }) },
          { "services",
            Json::array({ Json{ { "name", "lm" },
                                { "healthPath", "/healthz" },
                                { "maxConns", 230 },
                                { "protocol", "h1" },
                                { "tls", false },
                                { "engine",
                                  { { "capacity", 8 },
                                    { "kvCapacityTokens", 72000 } } } },
                          Json{ { "name", "app" },
                                { "healthPath", "/healthz" },
                                { "maxConns", 96 },
                                { "protocol", "h1" },
                                { "tls", false } } }) },
          { "limits",
            { { "maxHeaderBytes", 16384 },
              { "maxBodyBytes", 4194304 },
              { "headerTimeoutMs", 3000 },
              { "idleTimeoutMs", 15000 } } } };
  constexpr int kTeams = 8;
  document["tenants"] = Json::array();
  for (auto i = 0; i < kTeams; ++i) {
    document["tenants"].push_back(
      { { "name", absl::StrCat("t", i) },
        { "apiKeys", Json::array({ absl::StrCat("key-t", i) }) },
        { "priority", 1 },
        { "ratePerS", 0 },
        { "burst", 0 } });
  }
  return document;
}

auto Deployment::Note(const std::string& aLine) -> void
{
  const std::chrono::duration<double> at = Clock::now() - mStartedAt;
  mRecordFile << absl::StrFormat("%8.3f ", at.count()) << aLine << std::endl;
}

auto Deployment::PublishDocument() -> void
{
  mStore.Put(platform::kConfigurationTopic,
             platform::kConfigurationKey,
             mPlan.mDocument.dump());
}

auto Deployment::Register(const std::string& aService,
                          const std::string& aId,
                          std::uint32_t aSlots) -> std::string
{
  const auto index = mRegistrations.size();
  auto address = absl::StrCat(mPrefix, kFirstServer + index, ":", kPort);
  mRegistrations.emplace_back(aId,
                              Json{ { "service", aService },
                                    { "address", address },
                                    { "zone", ZoneOf(index) },
                                    { "version", "v1" },
                                    { "capacity", aSlots },
                                    { "state", "ready" },
                                    { "warmupLeftMs", 0 },
                                    { "sequence", 1 },
                                    { "born", 1 + index } });
  return address;
}

auto Deployment::AddServer(const std::string& aService,
                           standin::EndpointOptions aOptions) -> bool
{
  aOptions.mId = absl::StrCat("s", mRegistrations.size());
  const auto address = Register(aService, aOptions.mId, aOptions.mSlots);
  return !mServers.emplace_back(mLoop, aOptions).Listen(address);
}

auto Deployment::Run(std::function<auto()->Task<int>> aMain) -> int
{
  auto listening =
    !mStore.Listen(absl::StrCat(mPrefix, kStoreByte, ":", kPort));
  for (std::size_t i = 0; i < mPlan.mEngines; ++i) {
    listening = listening && AddServer("lm", mPlan.mEngine);
  }
  for (std::size_t i = 0; i < mPlan.mPlainServers; ++i) {
    listening = listening && AddServer("app", mPlan.mPlain);
  }
  if (!listening) {
    return kCouldNotRun;
  }
  PublishDocument();
  std::string seeds;
  for (std::size_t i = 0; i < mPlan.mHosts; ++i) {
    auto& host = mHosts.emplace_back();
    const auto ip = absl::StrCat(mPrefix, 1 + i);
    host.mName = absl::StrCat("front-", i);
    host.mZone = ZoneOf(i);
    host.mCallers = absl::StrCat(ip, ":", kPort);
    host.mReadiness = absl::StrCat(ip, ":", kPort + 1);
    host.mOperators = absl::StrCat(ip, ":", kPort + 2);
    host.mPeers = absl::StrCat(ip, ":", kPort + 3);
    host.mSettings = absl::StrCat(mArguments.mDirectory, "/", i, ".toml");
    host.mLog = absl::StrCat(mArguments.mDirectory, "/", i, ".log");
    if (i < 3) {
      absl::StrAppend(&seeds, i == 0 ? "\"" : ",\"", host.mOperators, "\"");
    }
  }
  for (auto& host : mHosts) {
    std::ofstream(host.mSettings)
      << "seeds = [" << seeds << "]\n\n[host]\nname = \"" << host.mName
      << "\"\nfailure_domain = \"" << host.mZone
      << "\"\n\n[listen]\ncallers = \"" << host.mCallers << "\"\nreadiness = \""
      << host.mReadiness << "\"\noperators = \"" << host.mOperators
      << "\"\npeers = \"" << host.mPeers << "\"\n\n[store]\naddress = \""
      << mPrefix << kStoreByte << ":" << kPort
      << "\"\njob_partitions = 8\nrecord_bytes = 262144\n"
         "call_bytes = 2097152\n\n[shutdown]\ngrace_seconds = 8\n\n"
         "[batch]\nkeep_results_seconds = 120\n"
      << mPlan.mMoreSettings;
    Start(host);
  }
  Spawn(mLoop, RenewServers());
  Spawn(mLoop, Supervise());
  Spawn(mLoop, Main(std::move(aMain)));
  mLoop.run();
  EndProcesses();
  return mResult;
}

auto Deployment::Main(std::function<auto()->Task<int>> aMain) -> Task<>
{
  const auto until = Clock::now() + std::chrono::seconds(10);
  for (auto& host : mHosts) {
    auto ready = co_await IsReady(host);
    while (!ready && Clock::now() < until) {
      co_await SleepUntil(Clock::now() + milliseconds(100));
      ready = co_await IsReady(host);
    }
    if (!ready) {
      Note(host.mName + " is not ready at the start");
      mLoop.stop();
      co_return;
    }
  }
  co_await SleepUntil(Clock::now() + std::chrono::seconds(3));
  Note("all daemons are ready");
  mResult = co_await aMain();
  for (const auto& host : mHosts) {
    Note(absl::StrCat(host.mName,
                      " starts=",
                      host.mStarts,
                      " killed_for_memory=",
                      host.mKilledForMemory,
                      " peak_bytes=",
                      host.mPeakBytes));
  }
  Note(absl::StrCat("result ", mResult));
  mLoop.stop();
}

auto Deployment::Start(Host& aHost) -> void
{
  ++aHost.mStarts;
  aHost.mStartedAt = Clock::now();
  const auto setting = "MANGOVALVE_CONFIG=" + aHost.mSettings;
  const auto log =
    open(aHost.mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  aHost.mPid = fork();
  if (aHost.mPid != 0) {
    close(log);
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  constexpr int kMostDescriptors = 4096;
  for (auto fd = STDERR_FILENO + 1; fd < kMostDescriptors; ++fd) {
    close(fd);
  }
  auto program = mArguments.mProgram;
  auto environment = setting;
  std::string path = "PATH=/usr/bin:/bin";
  char* arguments[] = { program.data(), nullptr };
  char* variables[] = { environment.data(), path.data(), nullptr };
  execve(program.c_str(), arguments, variables);
  _exit(127);
}

auto Deployment::Signal(Host& aHost, int aSignal) -> void
{
  if (aHost.mPid > 0) {
    Note(absl::StrCat("signal ", aSignal, " to ", aHost.mName));
    kill(aHost.mPid, aSignal);
  }
}

auto Deployment::Supervise() -> Task<>
{
  for (;;) {
    const auto now = Clock::now();
    for (auto& host : mHosts) {
      if (host.mPid > 0) {
        const auto bytes = ResidentBytes(host.mPid);
        host.mPeakBytes = std::max(host.mPeakBytes, bytes);
        if (bytes > mPlan.mMemoryBytes) {
          ++host.mKilledForMemory;
          Note(absl::StrCat(
            host.mName, " holds ", bytes, " bytes: killed for memory"));
          kill(host.mPid, SIGKILL);
        }
        int status = 0;
        if (waitpid(host.mPid, &status, WNOHANG) == host.mPid) {
          Note(absl::StrCat(host.mName, " ended, status ", status));
          host.mPid = -1;
          host.mStartAt = now + kRestartDelay;
        }
      } else if (!host.mDown && now >= host.mStartAt) {
        Start(host);
        Note(host.mName + " starts again");
      }
    }
    co_await SleepUntil(now + kSuperviseInterval);
  }
}

auto Deployment::RenewServers() -> Task<>
{
  for (;;) {
    for (auto& [id, entry] : mRegistrations) {
      entry["sequence"] = entry["sequence"].get<int>() + 1;
      mStore.Put(platform::kEndpointsTopic, id, entry.dump());
    }
    co_await SleepUntil(Clock::now() + kRenewInterval);
  }
}

auto Deployment::EndProcesses() -> void
{
  for (auto& host : mHosts) {
    if (host.mPid > 0) {
      kill(host.mPid, SIGKILL);
      waitpid(host.mPid, nullptr, 0);
      host.mPid = -1;
    }
  }
}

auto Deployment::RunningHost() -> Host&
{
  for (;;) {
    auto& host = mHosts[UniformBelow(mRandom, mHosts.size())];
    if (host.mPid > 0) {
      return host;
    }
  }
}

auto Deployment::IsReady(const Host& aHost) -> Task<bool>
{
  auto request = MakeRequest(http::verb::get, platform::kReadyPath, "", "");
  const auto answer = co_await Call(
    aHost.mReadiness, std::move(request), std::chrono::seconds(1));
  co_return answer.mStatus == 200;
}

auto Deployment::Call(std::string aAddress, Request aRequest, Duration aTimeout)
  -> Task<Answer>
{
  Answer answer;
  const auto endpoint = ParseAddress(aAddress);
  beast::tcp_stream stream(mLoop);
  stream.expires_at(Clock::now() + aTimeout);
  ErrorCode error;
  co_await stream.async_connect(*endpoint, CaptureError(error));
  if (error) {
    co_return answer;
  }
  stream.socket().set_option(Tcp::no_delay(true), error);
  co_await http::async_write(stream, aRequest, CaptureError(error));
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  constexpr std::uint64_t kMostBytes = 16UL << 20U;
  parser.body_limit(kMostBytes);
  co_await http::async_read(stream, buffer, parser, CaptureError(error));
  if (error) {
    co_return answer;
  }
  answer.mStatus = parser.get().result_int();
  for (const auto& field : parser.get()) {
    const auto name = field.name_string();
    answer.mHeaders[absl::AsciiStrToLower({ name.data(), name.size() })] =
      std::string(field.value());
  }
  answer.mBody = std::move(parser.get().body());
  co_return answer;
}

auto KeptCallers::Start(Host& aHost, std::size_t aCallers) -> void
{
  for (std::size_t i = 0; i < aCallers; ++i) {
    ++mOpen;
    Spawn(mDeployment.mLoop, RunOne(aHost, i));
  }
}

auto KeptCallers::Stop() -> Task<>
{
  mEnd = true;
  while (mOpen > 0) {
    co_await SleepUntil(Clock::now() + milliseconds(50));
  }
}

auto KeptCallers::Connect(beast::tcp_stream& aStream, const Host& aHost)
  -> Task<ErrorCode>
{
  aStream.expires_at(Clock::now() + std::chrono::seconds(1));
  ErrorCode error;
  co_await aStream.async_connect(*ParseAddress(aHost.mCallers),
                                 CaptureError(error));
  co_return error;
}

auto KeptCallers::RunOne(Host& aHost, std::size_t aNumber) -> Task<>
{
  // Out of step with the other callers.
  const auto step = milliseconds(6) * static_cast<int>(aNumber);
  auto sent = 0;
  while (!mEnd) {
    co_await SleepUntil(Clock::now() + step);
    beast::tcp_stream stream(mDeployment.mLoop);
    auto error = co_await Connect(stream, aHost);
    for (auto first = true; !error && !mEnd; first = false) {
      const auto id = absl::StrCat("c", aNumber, "-", sent++);
      auto request =
        MakeRequest(http::verb::post, "/plain/" + id, id, "key-t1");
      request.set(platform::kDeadline, "1500");
      request.prepare_payload();
      stream.expires_at(Clock::now() + std::chrono::seconds(3));
      co_await http::async_write(stream, request, CaptureError(error));
      beast::flat_buffer buffer;
      Response response;
      if (!error) {
        co_await http::async_read(
          stream, buffer, response, CaptureError(error));
      }
      if (!error) {
        ++mAnswered;
        continue;
      }
      std::size_t runs = 0;
      for (const auto& server : mDeployment.mServers) {
        runs += server.RunsOf(id);
      }
      mDeployment.Note(absl::StrCat("request ",
                                    id,
                                    " on a kept connection to ",
                                    aHost.mName,
                                    ": ",
                                    error.message(),
                                    ", runs ",
                                    runs));
      mUnanswered += !first && runs > 0 ? 1 : 0;
    }
    co_await SleepUntil(Clock::now() + milliseconds(200));
  }
  --mOpen;
}

auto MakeRequest(http::verb aVerb,
                 const std::string& aTarget,
                 const std::string& aId,
                 const std::string& aKey) -> Request
{
  Request request(aVerb, aTarget, 11);
  request.set(http::field::host, "shop.example");
  if (!aId.empty()) {
    request.set(platform::kRequestId, aId);
  }
  if (!aKey.empty()) {
    request.set(platform::kCallerKey, aKey);
  }
  return request;
}

auto MakeJob(const std::string& aId,
             std::size_t aItems,
             std::size_t aBodyBytes,
             std::uint64_t aTokens) -> Request
{
  auto items = Json::array();
  const auto body = absl::Base64Escape(std::string(aBodyBytes, 'x'));
  for (std::size_t i = 0; i < aItems; ++i) {
    items.push_back(
      { { "id", absl::StrCat(aId, "-", i) },
        { "path", absl::StrCat("/batch/", aId, "/", i) },
        { "headers",
          { { "Model", "m" },
            { "Token-Usage", absl::StrCat(aTokens / 2, ",", aTokens / 2) },
            { "Prompt-Prefix",
              absl::StrCat(
                "9c2e41:100,", i, aId.size(), ":", aTokens / 2) } } },
        { "body", body },
        { "tokens", aTokens } });
  }
  auto request = MakeRequest(http::verb::post, "/batch/" + aId, aId, "key-t0");
  request.set(http::field::content_type, "application/json");
  request.body() = Json{ { "items", std::move(items) } }.dump();
  request.prepare_payload();
  return request;
}

} // namespace mangovalve::review
