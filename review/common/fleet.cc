// A small deployment on loopback for the review's cases.
#include "review/common/fleet.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <set>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <toml++/toml.h>
#include <unistd.h>

#include "platform/names.h"

namespace mangovalve::review {
namespace {

constexpr auto kRenewInterval = milliseconds(1200); // as the users' heartbeatMs
constexpr auto kReadyDeadline = seconds(20);
constexpr auto kReadyPoll = milliseconds(50);
constexpr auto kRetryDelay = milliseconds(500);
constexpr auto kCallPatience = seconds(6);
constexpr auto kCaseLimit = seconds(110);
constexpr auto kDeployFile = "deploy/system.toml";
constexpr int kExecFailed = 127;

auto ReadFile(const std::string& aPath) -> std::string
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

auto BatchRoute() -> Json
{
  return { { "name", "r-lexicon" },
           { "host", "hints.example" },
           { "pathPrefix", "/lexicon/" },
           { "kind", "batch" },
           { "timeoutMs", 15000 },
           { "sloMs", 500 },
           { "priority", 2 },
           { "service", "hint-llm" },
           { "maxAttempts", 3 },
           { "public", false },
           { "sticky", true },
           { "resumable", false },
           { "dueMs", 18000 },
           { "maxQueueS", 60 },
           { "maxQueuedTokens", 900000 } };
}

auto StreamRoute() -> Json
{
  return { { "name", "r-hint" },       { "host", "hints.example" },
           { "pathPrefix", "/hint/" }, { "kind", "streaming" },
           { "timeoutMs", 5000 },      { "sloMs", 300 },
           { "priority", 0 },          { "service", "hint-llm" },
           { "maxAttempts", 2 },       { "public", false },
           { "sticky", true },         { "resumable", true },
           { "gapAimMs", 400 } };
}

auto MakeConfiguration() -> Json
{
  auto tenants = Json::array();
  for (const auto& name : Tenants()) {
    tenants.push_back({ { "name", name },
                        { "apiKeys", Json::array({ "key-" + name }) },
                        { "ratePerS", 0 },
                        { "burst", 0 } });
  }
  return { { "version", 1 },
           { "routes", Json::array({ BatchRoute(), StreamRoute() }) },
           { "services",
             Json::array({ { { "name", "hint-llm" },
                             { "healthPath", "/healthz" },
                             { "maxConns", 240 },
                             { "protocol", "h1" },
                             { "tls", false },
                             { "engine", { { "capacity", 8 } } } } }) },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 4194304 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } },
           { "tenants", tenants } };
}

// The words of the command of the deploy file's only role.
auto DeployCommand() -> std::vector<std::string>
{
  const auto table = toml::parse_file(kDeployFile);
  const auto run = table.at_path("roles.server.run").value_or(std::string());
  return absl::StrSplit(run, ' ');
}

auto CallerRequest(http::verb aVerb,
                   const std::string& aTarget,
                   const std::string& aTenant) -> Request
{
  Request request(aVerb, aTarget, 11);
  request.set(http::field::host, "hints.example");
  request.set(platform::kCallerKey, "key-" + aTenant);
  return request;
}

} // namespace

auto Tenants() -> const std::vector<std::string>&
{
  static const std::vector<std::string> names = { "amber", "birch", "cedar",
                                                  "dune",  "ember", "fjord",
                                                  "grove", "heath" };
  return names;
}

// Each process of a case has a loopback address of its own, so that cases can
// run side by side.
auto FreeAddress() -> std::string
{
  constexpr int kRange = 250;
  const auto pid = static_cast<int>(getpid());
  const auto ip = absl::StrFormat(
    "127.%d.%d.1", 1 + (pid / kRange) % kRange, 1 + pid % kRange);
  const auto address = asio::ip::make_address(ip);
  static std::set<std::uint16_t> taken;
  asio::io_context loop;
  for (;;) {
    const Tcp::acceptor tcp(loop, { address, std::uint16_t{} });
    const auto port = tcp.local_endpoint().port();
    Udp::socket udp(loop, Udp::v4());
    ErrorCode error;
    udp.bind({ address, port }, error);
    if (!error && taken.insert(port).second) {
      return absl::StrCat(ip, ":", port);
    }
  }
}

auto MakeItems(const std::string& aJob, std::size_t aCount) -> Json
{
  auto items = Json::array();
  for (std::size_t i = 0; i < aCount; ++i) {
    items.push_back({ { "id", absl::StrCat(aJob, "-", i) },
                      { "path", absl::StrCat("/lexicon/", i, "/91c4") },
                      { "headers",
                        { { "Model", "m" },
                          { "Token-Usage", "350,194" },
                          { "Prompt-Prefix", "9c2e41:100,5d07b8:250" } } },
                      { "body", absl::Base64Escape(aJob) },
                      { "tokens", 544 } });
  }
  return items;
}

Fleet::Fleet(asio::io_context& aLoop, FleetOptions aOptions)
  : mLoop(aLoop)
  , mOptions(aOptions)
  , mStore(aLoop, {})
  , mConfiguration(MakeConfiguration())
  , mRecord("record.txt")
{
  auto pattern =
    (std::filesystem::temp_directory_path() / "mangovalve-review.XXXXXX")
      .string();
  const auto* path = mkdtemp(pattern.data());
  mDirectory = path == nullptr ? "" : path;
  const auto* root = std::getenv("REVIEW_ROOT");
  if (root != nullptr) {
    std::filesystem::current_path(root);
  }
}

auto Fleet::End() -> void
{
  for (auto& daemon : mDaemons) {
    Kill(daemon);
  }
  if (std::getenv("REVIEW_KEEP_LOGS") != nullptr) {
    std::cerr << "logs: " << mDirectory << "\n";
  } else if (!mDirectory.empty()) {
    std::filesystem::remove_all(mDirectory);
  }
}

auto Fleet::Trouble() -> bool
{
  const auto* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

auto Fleet::Record(const std::string& aLine) -> void
{
  const std::chrono::duration<double> at = Clock::now() - mStartedAt;
  mRecord << absl::StrFormat("%8.3f %s\n", at.count(), aLine) << std::flush;
}

auto Fleet::Break(const std::string& aLine) -> void
{
  mBroken = true;
  Record("BROKEN " + aLine);
}

auto Fleet::RegisterReplica(const std::string& aService,
                            const std::string& aId,
                            const std::string& aAddress,
                            std::uint32_t aSlots) -> void
{
  const auto zone = mRegistrations.size() % mOptions.mZones;
  mRegistrations.emplace_back(
    aId,
    Json{ { "service", aService },
          { "address", aAddress },
          { "zone", absl::StrCat("zone-", zone) },
          { "version", "v1" },
          { "capacity", aSlots },
          { "state", "ready" },
          { "warmupLeftMs", 0 },
          { "sequence", 1 },
          { "born",
            std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count() } });
}

auto Fleet::AddReplica(const std::string& aService,
                       standin::EndpointOptions aOptions) -> void
{
  const auto address = FreeAddress();
  RegisterReplica(aService, aOptions.mId, address, aOptions.mSlots);
  auto& replica = mReplicas.emplace_back(mLoop, std::move(aOptions));
  if (const auto error = replica.Listen(address)) {
    Record("a replica can't listen: " + error.message());
  }
}

auto Fleet::RenewReplicas() -> Task<>
{
  for (;;) {
    for (auto& [id, entry] : mRegistrations) {
      entry["sequence"] = entry["sequence"].get<int>() + 1;
      mStore.Put(platform::kEndpointsTopic, id, entry.dump());
    }
    co_await SleepUntil(Clock::now() + kRenewInterval);
  }
}

// Fills in the template of the deploy file as the platform does.
auto Fleet::WriteSettings(const Daemon& aDaemon) -> void
{
  auto text = ReadFile("deploy/settings.toml");
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < mDaemons.size() && i < 3; ++i) {
    seeds.push_back("\"" + mDaemons[i].mOperators + "\"");
  }
  const auto& peers = aDaemon.mPeers;
  const auto colon = peers.rfind(':');
  absl::StrReplaceAll(
    { { "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", absl::StrJoin(seeds, ",") },
      { "{{nodeName}}", aDaemon.mName },
      { "{{zone}}", aDaemon.mZone },
      { "{{listen.front}}", aDaemon.mCallers },
      { "{{listen.ready}}", aDaemon.mReadiness },
      { "{{listen.control}}", aDaemon.mOperators },
      { "{{ip}}", peers.substr(0, colon) },
      { "{{internalPorts.0}}", peers.substr(colon + 1) },
      { "{{platform.address}}", aDaemon.mStoreAddress },
      { "{{platform.parts}}", "8" },
      { "{{platform.recordBytes}}", "262144" },
      { "{{platform.callBytes}}", "2097152" },
      { "{{bounds.graceS}}", "8" },
      { "{{bounds.statusS}}", "120" } },
    &text);
  std::ofstream(aDaemon.mSettingsPath) << text;
}

auto Fleet::Start() -> Task<bool>
{
  const auto store = FreeAddress();
  if (mDirectory.empty() || mStore.Listen(store)) {
    co_return false;
  }
  mStore.Put(platform::kConfigurationTopic,
             platform::kConfigurationKey,
             mConfiguration.dump());
  Spawn(mLoop, RenewReplicas());
  for (std::size_t i = 0; i < mOptions.mDaemons; ++i) {
    auto& daemon = mDaemons.emplace_back();
    daemon.mName = absl::StrCat("front-", i);
    daemon.mZone = absl::StrCat("zone-", i % mOptions.mZones);
    daemon.mCallers = FreeAddress();
    daemon.mReadiness = FreeAddress();
    daemon.mOperators = FreeAddress();
    daemon.mPeers = FreeAddress();
    const auto path = absl::StrCat(mDirectory, "/", daemon.mName);
    daemon.mSettingsPath = path + ".toml";
    daemon.mLogPath = path + ".log";
    daemon.mStore = std::make_unique<Proxy>(mLoop, store);
    daemon.mStoreAddress = FreeAddress();
    if (daemon.mStore->Listen(daemon.mStoreAddress)) {
      co_return false;
    }
  }
  for (auto& daemon : mDaemons) {
    WriteSettings(daemon);
    if (!StartDaemon(daemon)) {
      co_return false;
    }
  }
  const auto deadline = Clock::now() + kReadyDeadline;
  for (const auto& daemon : mDaemons) {
    for (auto ready = false; !ready;) {
      ready = co_await IsReady(daemon);
      if (!ready && Clock::now() > deadline) {
        Record(daemon.mName + " is not ready");
        co_return false;
      }
      co_await SleepUntil(Clock::now() + kReadyPoll);
    }
  }
  Record(absl::StrCat(mDaemons.size(), " daemons are ready"));
  co_return true;
}

auto Fleet::StartDaemon(Daemon& aDaemon) -> bool
{
  auto words = DeployCommand();
  std::vector<char*> arguments;
  for (auto& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  auto settings = "MANGOVALVE_CONFIG=" + aDaemon.mSettingsPath;
  const auto* path = std::getenv("PATH");
  auto paths = absl::StrCat("PATH=", path == nullptr ? "" : path);
  char* environment[] = { settings.data(), paths.data(), nullptr };
  const auto pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); // no daemon outlives the case
    const auto log =
      open(aDaemon.mLogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execve(arguments[0], arguments.data(), environment);
    _exit(kExecFailed);
  }
  aDaemon.mPid = pid;
  Record(absl::StrCat(aDaemon.mName, " started"));
  return pid > 0;
}

auto Fleet::Signal(const Daemon& aDaemon, int aSignal) -> void
{
  if (aDaemon.mPid > 0) {
    kill(aDaemon.mPid, aSignal);
  }
}

auto Fleet::Kill(Daemon& aDaemon) -> void
{
  if (aDaemon.mPid > 0) {
    kill(aDaemon.mPid, SIGKILL);
    waitpid(aDaemon.mPid, nullptr, 0);
    aDaemon.mPid = -1;
  }
}

auto Fleet::IsReady(const Daemon& aDaemon) -> Task<bool>
{
  Daemon target;
  target.mCallers = aDaemon.mReadiness;
  Request request(http::verb::get, platform::kReadyPath, 11);
  request.set(http::field::host, aDaemon.mReadiness);
  const auto reply = co_await Call(target, std::move(request), seconds(1));
  co_return reply.mStatus == 200;
}

auto Fleet::Call(const Daemon& aDaemon, Request aRequest, Duration aPatience)
  -> Task<Reply>
{
  Reply reply;
  const auto colon = aDaemon.mCallers.rfind(':');
  const Tcp::endpoint address(
    asio::ip::make_address(aDaemon.mCallers.substr(0, colon)),
    static_cast<std::uint16_t>(std::stoi(aDaemon.mCallers.substr(colon + 1))));
  beast::tcp_stream stream(mLoop);
  stream.expires_at(Clock::now() + aPatience);
  ErrorCode error;
  co_await stream.async_connect(address, CaptureError(error));
  if (!error) {
    aRequest.set(http::field::connection, "close");
    aRequest.prepare_payload();
    co_await http::async_write(stream, aRequest, CaptureError(error));
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(64UL << 20U);
  beast::flat_buffer buffer;
  if (!error) {
    co_await http::async_read(stream, buffer, parser, CaptureError(error));
  }
  if (error) {
    reply.mError = error.message();
  }
  if (parser.is_header_done()) {
    reply.mStatus = error ? 0 : parser.get().result_int();
    reply.mBody = parser.get().body();
  }
  co_return reply;
}

auto Fleet::Submit(const Daemon& aDaemon,
                   const std::string& aTenant,
                   const std::string& aJob,
                   const Json& aItems) -> Task<Reply>
{
  auto request = CallerRequest(http::verb::post, "/lexicon/" + aJob, aTenant);
  request.set(platform::kRequestId, aJob);
  request.set(http::field::content_type, "application/json");
  request.body() = Json({ { "items", aItems } }).dump();
  const auto bytes = request.body().size();
  auto reply = co_await Call(aDaemon, std::move(request), kCallPatience);
  Record(absl::StrCat("submit ",
                      aJob,
                      " of ",
                      aTenant,
                      " (",
                      aItems.size(),
                      " items, ",
                      bytes,
                      " bytes) to ",
                      aDaemon.mName,
                      " -> ",
                      reply.mStatus,
                      " ",
                      reply.mError));
  co_return reply;
}

auto Fleet::SubmitUntilAccepted(const std::string& aTenant,
                                const std::string& aJob,
                                const Json& aItems,
                                TimePoint aUntil) -> Task<bool>
{
  for (std::size_t i = 0; Clock::now() < aUntil; ++i) {
    const auto& daemon = mDaemons[i % mDaemons.size()];
    const auto reply = co_await Submit(daemon, aTenant, aJob, aItems);
    if (reply.mStatus == 202) {
      co_return true;
    }
    co_await SleepUntil(Clock::now() + kRetryDelay);
  }
  co_return false;
}

auto Fleet::ReadResults(const Daemon& aDaemon,
                        const std::string& aTenant,
                        const std::string& aJob,
                        std::size_t aAfter) -> Task<Reply>
{
  const auto target = absl::StrCat(platform::kJobPath, aJob, "?after=", aAfter);
  auto request = CallerRequest(http::verb::get, target, aTenant);
  auto reply = co_await Call(aDaemon, std::move(request), kCallPatience);
  const auto page = Json::parse(reply.mBody, nullptr, false);
  const auto results =
    page.is_object() && page.contains("results") ? page["results"].size() : 0;
  Record(absl::StrCat("read ",
                      aJob,
                      " of ",
                      aTenant,
                      " after ",
                      aAfter,
                      " at ",
                      aDaemon.mName,
                      " -> ",
                      reply.mStatus,
                      " ",
                      reply.mError,
                      ", results: ",
                      results));
  co_return reply;
}

auto Fleet::EndJob(const Daemon& aDaemon,
                   const std::string& aTenant,
                   const std::string& aJob) -> Task<Reply>
{
  auto request =
    CallerRequest(http::verb::delete_, platform::kJobPath + aJob, aTenant);
  auto reply = co_await Call(aDaemon, std::move(request), kCallPatience);
  Record(absl::StrCat("end ",
                      aJob,
                      " of ",
                      aTenant,
                      " at ",
                      aDaemon.mName,
                      " -> ",
                      reply.mStatus,
                      " ",
                      reply.mError));
  co_return reply;
}

auto RunCase(const FleetOptions& aOptions,
             const std::function<Task<int>(Fleet&)>& aCase) -> int
{
  // Tasks refer to these until the process ends, which it does below.
  static asio::io_context loop(1);
  static Fleet fleet(loop, aOptions);
  static auto verdict = kCouldNotRun;
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([](const ErrorCode&, int) { loop.stop(); });
  asio::steady_timer limit(loop, Clock::now() + kCaseLimit);
  limit.async_wait([](const ErrorCode&) {
    fleet.Record("the case took too long");
    loop.stop();
  });
  static const auto run = [&aCase]() -> Task<> {
    verdict = co_await aCase(fleet);
    loop.stop();
  };
  Spawn(loop, run());
  loop.run();
  fleet.Record(absl::StrCat("exit code ", verdict));
  fleet.End();
  std::_Exit(verdict);
}

} // namespace mangovalve::review
