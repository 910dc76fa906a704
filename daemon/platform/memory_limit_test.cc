// Tests of the memory and the descriptors of the real process under load from
// uncontrolled clients.
//
// Each case opens a crowd of connections and checks only that the process is
// alive, that its resident memory and its open descriptors stayed under fixed
// bounds, and that an ordinary request is answered while the crowd is open.
// Deadlines end a hang and judge nothing. ctest runs one of these cases at a
// time.
#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "mangovalve/loop/http_client.h"
#include "mangovalve/loop/http_server.h"
#include "standins/common/free_address.h"
#include "standins/common/store_server.h"

namespace mangovalve {
namespace {

using Json = nlohmann::json;
using standin::FreeAddress;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kCaseDeadline = seconds(120);
constexpr auto kPoll = milliseconds(10);
constexpr auto kSettled = milliseconds(1500);

// The smallest host has 120 MB; the rest is left to its system.
constexpr std::int64_t kMaxResidentKiloBytes = 100'000;
constexpr std::size_t kMaxDescriptors = 600;

// Set for the daemon.
constexpr std::size_t kHeldBytes = 32UL << 20U;
constexpr std::size_t kConnections = 400;

constexpr std::size_t kHeaderBytes = 16'384;
constexpr std::size_t kBodyBytes = 4'194'304;
constexpr std::size_t kPieceBytes = 16'384;

// Clients of each kind of load. Together, the bodies are several times as large
// as the memory of the host.
constexpr std::size_t kHeaderLineClients = 380;
constexpr std::size_t kUnendingHeadClients = 800;
constexpr std::size_t kBodyClients = 64;
constexpr std::size_t kAnswerClients = 64;

// The daemon, with its log in a file.
class Daemon
{
public:
  explicit Daemon(const std::string& aStore)
  {
    std::string folder = "/tmp/mangovalve-memory-XXXXXX";
    REQUIRE(mkdtemp(folder.data()) != nullptr);
    mFolder = folder;
    const auto settings = (mFolder / "settings.toml").string();
    std::ofstream(settings)
      << "host = { name = \"h\", failure_domain = \"a\" }\n"
      << "[listen]\ncallers = \"" << mCallers << "\"\nreadiness = \""
      << mReadiness << "\"\npeers = \"" << FreeAddress()
      << "\"\n[store]\naddress = \"" << aStore
      << "\"\n[memory]\nheld_bytes = " << kHeldBytes
      << "\nconnections = " << kConnections << "\n";
    Spawn(settings);
  }
  ~Daemon()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
    }
    std::error_code ignored; // a leftover file harms no other case
    std::filesystem::remove_all(mFolder, ignored);
  }
  Daemon(const Daemon&) = delete;
  auto operator=(const Daemon&) -> Daemon& = delete;

  // Also reaps the process once it has ended.
  auto Alive() -> bool
  {
    if (mPid > 0 && waitpid(mPid, nullptr, WNOHANG) == mPid) {
      mPid = 0;
    }
    return mPid > 0;
  }

  // VmHWM, in kB.
  auto MaxResident() const -> std::int64_t
  {
    std::ifstream status(absl::StrCat("/proc/", mPid, "/status"));
    std::string line;
    while (std::getline(status, line)) {
      if (absl::StartsWith(line, "VmHWM:")) {
        return std::atoll(line.substr(6).c_str());
      }
    }
    return -1;
  }

  auto Descriptors() const -> std::size_t
  {
    std::error_code error;
    std::filesystem::directory_iterator files(
      absl::StrCat("/proc/", mPid, "/fd"), error);
    return error ? 0
                 : static_cast<std::size_t>(std::distance(
                     files, std::filesystem::directory_iterator()));
  }

  std::string mCallers = FreeAddress();
  std::string mReadiness = FreeAddress();

private:
  auto Spawn(const std::string& aSettings) -> void
  {
    posix_spawn_file_actions_t actions{};
    REQUIRE(posix_spawn_file_actions_init(&actions) == 0);
    const auto log = (mFolder / "log").string();
    REQUIRE(posix_spawn_file_actions_addopen(&actions,
                                             STDOUT_FILENO,
                                             log.c_str(),
                                             O_WRONLY | O_CREAT | O_TRUNC,
                                             S_IRUSR | S_IWUSR) == 0);
    std::string program = MANGOVALVED_PLATFORM;
    auto settings = "--settings=" + aSettings;
    std::array<char*, 3> arguments{ program.data(), settings.data(), nullptr };
    REQUIRE(
      posix_spawn(
        &mPid, program.c_str(), &actions, nullptr, arguments.data(), environ) ==
      0);
    posix_spawn_file_actions_destroy(&actions);
  }

  std::filesystem::path mFolder;
  pid_t mPid = 0;
};

// What a client sends: mBegin once, then mPiece mPieces times, then mEnd.
struct Upload
{
  std::string mBegin;
  std::string mPiece;
  std::size_t mPieces = 0;
  std::string mEnd;
};

struct Client
{
  explicit Client(asio::io_context& aLoop)
    : mSocket(aLoop)
  {
  }

  Tcp::socket mSocket;
  bool mSettled = false; // all was sent, or the daemon closed the connection
};

using ClientPtr = std::shared_ptr<Client>;

auto Send(ClientPtr aClient,
          std::string aAddress,
          std::shared_ptr<const Upload> aUpload) -> Task<>
{
  ErrorCode error;
  co_await aClient->mSocket.async_connect(*ParseAddress(aAddress),
                                          CaptureError(error));
  if (!error) {
    co_await asio::async_write(
      aClient->mSocket, asio::buffer(aUpload->mBegin), CaptureError(error));
  }
  for (std::size_t i = 0; i < aUpload->mPieces && !error; ++i) {
    co_await asio::async_write(
      aClient->mSocket, asio::buffer(aUpload->mPiece), CaptureError(error));
  }
  if (!error) {
    co_await asio::async_write(
      aClient->mSocket, asio::buffer(aUpload->mEnd), CaptureError(error));
  }
  aClient->mSettled = true;
}

// A daemon with a store, one plain endpoint and a crowd of clients.
struct Scene
{
  asio::io_context mLoop{ 1 };
  standin::StoreServer mStore{ mLoop, {} };
  std::string mStoreAddress = FreeAddress();
  std::string mEndpointAddress = FreeAddress();
  AsyncHttpServer mEndpoint{
    mLoop,
    [](CallerPtr aCaller, std::shared_ptr<Request> aRequest) {
      return Answer(std::move(aCaller), std::move(aRequest));
    },
    [] { return CallerLimits{}; }
  };
  ConnectionPool mPool{ mLoop };
  std::unique_ptr<Daemon> mDaemon;
  std::vector<ClientPtr> mCrowd;
  std::int64_t mMaxResident = 0;
  std::size_t mMaxDescriptors = 0;

  Scene()
  {
    REQUIRE_FALSE(mStore.Listen(mStoreAddress));
    REQUIRE_FALSE(mEndpoint.Listen(mEndpointAddress));
    mStore.Put("keyed.op", "config", Document());
    mStore.Put("keyed.servers",
               "e",
               Json{ { "service", "app" },
                     { "address", mEndpointAddress },
                     { "zone", "a" },
                     { "capacity", 64 },
                     { "state", "ready" },
                     { "sequence", 1 },
                     { "born", 1 } }
                 .dump());
    mDaemon = std::make_unique<Daemon>(mStoreAddress);
    WaitFor(mDaemon->mReadiness, Request(http::verb::get, "/api/readyz", 11));
  }

  static auto Document() -> std::string
  {
    return Json{
      { "version", 1 },
      { "limits",
        { { "maxHeaderBytes", kHeaderBytes },
          { "maxBodyBytes", kBodyBytes },
          { "headerTimeoutMs", 30'000 },
          { "idleTimeoutMs", 60'000 } } },
      { "services",
        Json::array({ { { "name", "app" }, { "maxConns", 200 } } }) },
      { "routes",
        Json::array({ { { "name", "app" },
                        { "host", "h.example" },
                        { "pathPrefix", "/app/" },
                        { "kind", "idempotent" },
                        { "timeoutMs", 5'000 },
                        { "sloMs", 1'000 },
                        { "service", "app" },
                        { "maxAttempts", 2 } } }) }
    }.dump();
  }

  // Answers the path /app/large with a body of the largest legal size.
  static auto Answer(CallerPtr aCaller, std::shared_ptr<Request> aRequest)
    -> Task<>
  {
    Response response(http::status::ok, 11);
    response.set("Request-Id", (*aRequest)["Request-Id"]);
    response.set("Response-Signature", "by-e");
    response.body() = aRequest->target() == "/app/large"
                        ? std::string(kBodyBytes, 'a')
                        : "answer";
    co_await aCaller->Reply(std::move(response));
  }

  auto Measure() -> void
  {
    REQUIRE(mDaemon->Alive());
    mMaxResident = std::max(mMaxResident, mDaemon->MaxResident());
    mMaxDescriptors = std::max(mMaxDescriptors, mDaemon->Descriptors());
  }

  template<typename Done>
  auto RunUntil(const Done& aDone) -> void
  {
    const auto deadline = Clock::now() + kCaseDeadline;
    while (!aDone()) {
      REQUIRE(Clock::now() < deadline);
      mLoop.run_for(kPoll);
      Measure();
    }
  }

  // Repeats the request until it is answered with 200.
  auto WaitFor(const std::string& aAddress, const Request& aRequest) -> void
  {
    std::optional<Result<Response, CallError>> result;
    auto begun = false;
    RunUntil([&] {
      if (result && *result && (*result)->result() == http::status::ok) {
        return true;
      }
      if (!begun || result) {
        begun = true;
        result.reset();
        mangovalve::Spawn(mLoop, Ask(aAddress, aRequest, result));
      }
      return false;
    });
  }

  auto Ask(std::string aAddress,
           Request aRequest,
           std::optional<Result<Response, CallError>>& aInto) -> Task<>
  {
    co_await SleepUntil(Clock::now() + kPoll);
    aInto = co_await CallOnce(
      mPool, aAddress, std::move(aRequest), Clock::now() + seconds(10));
  }

  auto OrdinaryRequest() const -> Request
  {
    Request request(http::verb::post, "/app/1", 11);
    request.set(http::field::host, "h.example");
    request.set("Request-Id", "ordinary");
    request.body() = "body";
    return request;
  }

  // Opens aCount connections, which stay open, and sends on each what aUpload
  // returns for its number; then measures.
  template<typename MakeUpload>
  auto Crowd(std::size_t aCount, const MakeUpload& aUpload) -> void
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      auto& client = mCrowd.emplace_back(std::make_shared<Client>(mLoop));
      mangovalve::Spawn(mLoop,
                        Send(client,
                             mDaemon->mCallers,
                             std::make_shared<const Upload>(aUpload(i))));
    }
    RunUntil([&] {
      return std::all_of(mCrowd.begin(), mCrowd.end(), [](const auto& aClient) {
        return aClient->mSettled;
      });
    });
  }

  // Waits until the daemon has read what the system holds for it: what it
  // holds has not changed in kSettled.
  auto Settle() -> void
  {
    auto held = std::make_pair(mMaxResident, mDaemon->Descriptors());
    auto since = Clock::now();
    RunUntil([&] {
      const auto now = std::make_pair(mMaxResident, mDaemon->Descriptors());
      since = now == held ? since : Clock::now();
      held = now;
      return Clock::now() - since > kSettled;
    });
  }

  auto Check() -> void
  {
    Settle();
    WaitFor(mDaemon->mCallers, OrdinaryRequest());
    Measure();
    MESSAGE("VmHWM kB: ", mMaxResident, ", descriptors: ", mMaxDescriptors);
    CHECK(mMaxResident < kMaxResidentKiloBytes);
    CHECK(mMaxDescriptors < kMaxDescriptors);
    CHECK(mDaemon->Alive());
  }
};

auto Head(const std::string& aFields) -> std::string
{
  return absl::StrCat(
    "POST /app/1 HTTP/1.1\r\nHost: h.example\r\n", aFields, "\r\n");
}

// Header lines of one byte or with unusual names, up to the legal size.
auto ManyLines(std::size_t aNumber) -> std::string
{
  constexpr std::array<const char*, 4> kLines{
    "a:\r\n", "!#$%&'*+.^_`|~:\r\n", "Z: \t\r\n", "x:\"\x80\"\r\n"
  };
  const std::string line = kLines.at(aNumber % 8 < 4 ? 0 : aNumber % 4);
  std::string fields;
  constexpr std::size_t kOtherBytes = 100;
  while (fields.size() + line.size() + kOtherBytes < kHeaderBytes) {
    fields += line;
  }
  return fields;
}

auto Repeated(const std::string& aText, std::size_t aTimes) -> std::string
{
  std::string text;
  for (std::size_t i = 0; i < aTimes; ++i) {
    text += aText;
  }
  return text;
}

TEST_CASE("memory limit: requests with very many header lines")
{
  // Guards against the cost of header lines in memory, which is many times
  // their size, by heads of legal size whose bodies never end.
  Scene scene;
  scene.Crowd(kHeaderLineClients, [](std::size_t aNumber) {
    return Upload{ Head(absl::StrCat("Content-Length: 10\r\n",
                                     ManyLines(aNumber))),
                   {},
                   0,
                   "body" };
  });
  scene.Check();
}

TEST_CASE("memory limit: heads that are too large or never end")
{
  // Guards against connections that are held by heads over the limit, heads
  // without an end and endless empty lines before a request.
  Scene scene;
  scene.Crowd(kUnendingHeadClients, [](std::size_t aNumber) {
    const std::string begin = "GET /app/1 HTTP/1.1\r\nHost: h.example\r\n";
    constexpr std::size_t kEndless = 40;
    if (aNumber % kEndless == 0) { // short lines, far over the limit
      return Upload{ begin, Repeated("a:\r\n", 1000), 100, "" };
    }
    switch (aNumber % 4) {
      case 0: // over the limit
        return Upload{ begin, Repeated("Name: value\r\n", 100), 40, "\r\n" };
      case 1: // one line without an end, just within the limit
        return Upload{ begin + "Name: ", std::string(1000, 'v'), 16, "" };
      case 2:
        return Upload{ "", Repeated("\r\n", 1000), 100, "" };
      default: // many lines without an end, just within the limit
        return Upload{ begin + Repeated("a:\r\n", 4000), "", 0, "" };
    }
  });
  scene.Check();
}

// Most bodies stop one byte short of their end.
auto ShortOf(std::size_t aNumber, std::string aEnd) -> std::string
{
  constexpr std::size_t kWhole = 8;
  if (aNumber % kWhole != 0) {
    aEnd.pop_back();
  }
  return aEnd;
}

TEST_CASE("memory limit: large bodies with a length")
{
  // Guards against bodies of legal size that together exceed the memory.
  Scene scene;
  scene.Crowd(kBodyClients, [](std::size_t aNumber) {
    return Upload{
      Head(absl::StrCat(
        "Request-Id: c", aNumber, "\r\nContent-Length: ", kBodyBytes, "\r\n")),
      std::string(kPieceBytes, 'b'),
      kBodyBytes / kPieceBytes - 1,
      ShortOf(aNumber, std::string(kPieceBytes, 'b'))
    };
  });
  scene.Check();
}

TEST_CASE("memory limit: large bodies in chunks")
{
  // Guards against the same with bodies whose length is not announced.
  Scene scene;
  scene.Crowd(kBodyClients, [](std::size_t aNumber) {
    const auto chunk =
      absl::StrCat("4000\r\n", std::string(kPieceBytes, 'b'), "\r\n");
    return Upload{ Head(absl::StrCat("Request-Id: c",
                                     aNumber,
                                     "\r\nTransfer-Encoding: chunked\r\n")),
                   chunk,
                   kBodyBytes / kPieceBytes,
                   ShortOf(aNumber, "0\r\n\r\n") };
  });
  scene.Check();
}

TEST_CASE("memory limit: large answers that are not read")
{
  // Guards against answers that wait in memory for clients that read none.
  Scene scene;
  scene.Crowd(kAnswerClients, [](std::size_t aNumber) {
    return Upload{ absl::StrCat("GET /app/large HTTP/1.1\r\nHost: h.example"
                                "\r\nRequest-Id: c",
                                aNumber,
                                "\r\n\r\n"),
                   {},
                   0,
                   {} };
  });
  scene.Check();
}

} // namespace
} // namespace mangovalve
