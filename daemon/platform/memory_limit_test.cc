// Tests of the memory and the descriptors of the real process under load from
// uncontrolled clients.
//
// Each case opens a crowd of connections and checks only that the process is
// alive, that its memory and its open descriptors stayed under fixed bounds,
// and that an ordinary request is answered while the crowd is open. Its memory
// is what is resident and what the system has received for it and it has not
// read. Deadlines end a hang and judge nothing. ctest runs one of these cases
// at a time.
#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
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
constexpr auto kStuck = milliseconds(3000);

// What is set for the daemon, and the bound of its memory.
struct Limits
{
  std::size_t mHeldBytes;
  std::size_t mConnections;
  std::int64_t mMaxKiloBytes;
  std::size_t mMaxDescriptors;
};

// The smallest host has 120 MB; the rest is left to its system.
constexpr Limits kSmallestHost{ 32UL << 20U, 400, 100'000, 600 };

// The least bytes that may be held are a quarter of half as much memory.
constexpr Limits kLeastLimits{ 16UL << 20U, 400, 50'000, 600 };

// The same with more connections, which are half of the descriptors.
constexpr Limits kManyConnections{ 16UL << 20U, 700, 50'000, 1400 };

// Of the endpoints; the one that waits takes all requests of a crowd.
constexpr std::size_t kSlots = 64;
constexpr std::size_t kWaitingSlots = 700;

constexpr std::size_t kHeaderBytes = 16'384;
constexpr std::size_t kBodyBytes = 4'194'304;
constexpr std::size_t kPieceBytes = 16'384;

// Clients of each kind of load. Together, the bodies are several times as large
// as the memory of the host.
constexpr std::size_t kHeaderLineClients = 380;
constexpr std::size_t kUnendingHeadClients = 800;
constexpr std::size_t kBodyClients = 64;
constexpr std::size_t kAnswerClients = 64;
constexpr std::size_t kManyBodyClients = 256;
constexpr std::size_t kSmallChunkBodyBytes = 262'144;
constexpr std::size_t kGrownClients = 300;
constexpr std::size_t kManyClients = 600;
constexpr std::size_t kMediumBodyClients = 380;

// The daemon, with its log in a file.
class Daemon
{
public:
  Daemon(const std::string& aStore, const Limits& aLimits)
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
      << "\"\n[memory]\nheld_bytes = " << aLimits.mHeldBytes
      << "\nconnections = " << aLimits.mConnections << "\n";
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

  // VmRSS and VmHWM, in kB.
  auto Resident() const -> std::int64_t { return Status("VmRSS:"); }
  auto MaxResident() const -> std::int64_t { return Status("VmHWM:"); }

  // Bytes that the system has received for the daemon's clients and the daemon
  // has not read, in kB.
  auto Unread() const -> std::int64_t
  {
    const std::set<std::string> own{ PortOf(mCallers), PortOf(mReadiness) };
    std::ifstream sockets("/proc/net/tcp");
    std::string line;
    std::getline(sockets, line);
    std::int64_t unread = 0;
    while (std::getline(sockets, line)) {
      std::istringstream columns(line);
      std::string number;
      std::string local;
      std::string remote;
      std::string state;
      std::string queues;
      columns >> number >> local >> remote >> state >> queues;
      const std::string listening = "0A"; // its queue counts connections
      if (state != listening &&
          own.contains(local.substr(local.find(':') + 1))) {
        unread += std::stoll(queues.substr(queues.find(':') + 1), nullptr, 16);
      }
    }
    return unread / 1024;
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
  // As /proc/net/tcp has it.
  static auto PortOf(const std::string& aAddress) -> std::string
  {
    return absl::StrFormat("%04X", ParseAddress(aAddress)->port());
  }

  auto Status(const std::string& aName) const -> std::int64_t
  {
    std::ifstream status(absl::StrCat("/proc/", mPid, "/status"));
    std::string line;
    while (std::getline(status, line)) {
      if (absl::StartsWith(line, aName)) {
        return std::atoll(line.substr(aName.size()).c_str());
      }
    }
    return -1;
  }

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
  milliseconds mPause{ 0 }; // after each piece
};

struct Client
{
  explicit Client(asio::io_context& aLoop)
    : mSocket(aLoop)
  {
  }

  Tcp::socket mSocket;
  bool mSettled = false; // all was sent, or the daemon closed the connection
  std::size_t mSent = 0; // pieces
};

using ClientPtr = std::shared_ptr<Client>;
using UploadPtr = std::shared_ptr<const Upload>;

auto Shared(Upload aUpload) -> std::vector<UploadPtr>
{
  return { std::make_shared<const Upload>(std::move(aUpload)) };
}

auto Shared(std::vector<UploadPtr> aUploads) -> std::vector<UploadPtr>
{
  return aUploads;
}

auto Send(ClientPtr aClient,
          std::string aAddress,
          std::vector<UploadPtr> aUploads) -> Task<>
{
  ErrorCode error;
  co_await aClient->mSocket.async_connect(*ParseAddress(aAddress),
                                          CaptureError(error));
  for (const auto& upload : aUploads) {
    if (!error) {
      co_await asio::async_write(
        aClient->mSocket, asio::buffer(upload->mBegin), CaptureError(error));
    }
    for (std::size_t i = 0; i < upload->mPieces && !error; ++i) {
      co_await asio::async_write(
        aClient->mSocket, asio::buffer(upload->mPiece), CaptureError(error));
      ++aClient->mSent;
      if (upload->mPause > milliseconds::zero()) {
        co_await SleepUntil(Clock::now() + upload->mPause);
      }
    }
    if (!error) {
      co_await asio::async_write(
        aClient->mSocket, asio::buffer(upload->mEnd), CaptureError(error));
    }
  }
  aClient->mSettled = true;
}

// A daemon with a store, a plain endpoint, one that does not answer and a crowd
// of clients.
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
  std::string mWaitingAddress = FreeAddress();
  AsyncHttpServer mWaiting{ mLoop,
                            [](CallerPtr aCaller, std::shared_ptr<Request>) {
                              return Wait(std::move(aCaller));
                            },
                            [] { return CallerLimits{}; } };
  ConnectionPool mPool{ mLoop };
  Limits mLimits;
  bool mMayStall = false; // the daemon need not read all of the crowd
  std::unique_ptr<Daemon> mDaemon;
  std::vector<ClientPtr> mCrowd;
  std::int64_t mMaxResident = 0;
  std::int64_t mMaxMemory = 0; // with what is not read
  std::int64_t mMaxUnread = 0;
  std::size_t mMaxDescriptors = 0;

  explicit Scene(const Limits& aLimits = kSmallestHost)
    : mLimits(aLimits)
  {
    REQUIRE_FALSE(mStore.Listen(mStoreAddress));
    REQUIRE_FALSE(mEndpoint.Listen(mEndpointAddress));
    REQUIRE_FALSE(mWaiting.Listen(mWaitingAddress));
    mStore.Put("keyed.op", "config", Document());
    AddEndpoint("e", "app", mEndpointAddress, kSlots);
    AddEndpoint("w", "waiting", mWaitingAddress, kWaitingSlots);
    mDaemon = std::make_unique<Daemon>(mStoreAddress, aLimits);
    WaitFor(mDaemon->mReadiness, Request(http::verb::get, "/api/readyz", 11));
  }

  auto AddEndpoint(const std::string& aId,
                   const std::string& aService,
                   const std::string& aAddress,
                   std::size_t aCapacity) -> void
  {
    mStore.Put("keyed.servers",
               aId,
               Json{ { "service", aService },
                     { "address", aAddress },
                     { "zone", "a" },
                     { "capacity", aCapacity },
                     { "state", "ready" },
                     { "sequence", 1 },
                     { "born", 1 } }
                 .dump());
  }

  static auto Route(const std::string& aName, milliseconds aTimeout) -> Json
  {
    return { { "name", aName },
             { "host", "h.example" },
             { "pathPrefix", "/" + aName + "/" },
             { "kind", "idempotent" },
             { "timeoutMs", aTimeout.count() },
             { "sloMs", 1'000 },
             { "service", aName },
             { "maxAttempts", 2 } };
  }

  static auto BatchRoute() -> Json
  {
    auto route = Route("batch", seconds(5));
    route["kind"] = "batch";
    route["service"] = "app";
    route["dueMs"] = 18'000;
    route["maxQueueS"] = 60;
    route["maxQueuedTokens"] = 1'000;
    return route;
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
        Json::array(
          { { { "name", "app" }, { "maxConns", 200 } },
            { { "name", "waiting" }, { "maxConns", kWaitingSlots } } }) },
      { "routes",
        Json::array({ Route("app", seconds(5)),
                      Route("waiting", kCaseDeadline),
                      BatchRoute() }) }
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

  static auto Wait(CallerPtr aCaller) -> Task<>
  {
    co_await SleepUntil(Clock::now() + kCaseDeadline);
    co_await aCaller->Reply(Response(http::status::ok, 11));
  }

  auto Measure() -> void
  {
    REQUIRE(mDaemon->Alive());
    mMaxResident = std::max(mMaxResident, mDaemon->MaxResident());
    const auto unread = mDaemon->Unread();
    mMaxUnread = std::max(mMaxUnread, unread);
    mMaxMemory = std::max(mMaxMemory, mDaemon->Resident() + unread);
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

  // Opens aCount connections, which stay open, and sends on each the uploads
  // that aUploads returns for its number. Ends once all was sent or, since the
  // daemon need not read it, no more is.
  template<typename MakeUploads>
  auto Crowd(std::size_t aCount, const MakeUploads& aUploads) -> void
  {
    CrowdAt(mDaemon->mCallers, aCount, aUploads);
  }

  template<typename MakeUploads>
  auto CrowdAt(const std::string& aAddress,
               std::size_t aCount,
               const MakeUploads& aUploads) -> void
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      auto& client = mCrowd.emplace_back(std::make_shared<Client>(mLoop));
      mangovalve::Spawn(mLoop, Send(client, aAddress, Shared(aUploads(i))));
    }
    auto sent = SentPieces();
    auto since = Clock::now();
    RunUntil([&] {
      const auto now = SentPieces();
      since = now == sent ? since : Clock::now();
      sent = now;
      return (mMayStall && Clock::now() - since > kStuck) ||
             std::all_of(mCrowd.begin(), mCrowd.end(), [](const auto& aClient) {
               return aClient->mSettled;
             });
    });
  }

  auto SentPieces() const -> std::size_t
  {
    std::size_t sent = 0;
    for (const auto& client : mCrowd) {
      sent += client->mSent + (client->mSettled ? 1 : 0);
    }
    return sent;
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
    MESSAGE("VmHWM kB: ",
            mMaxResident,
            ", unread kB: ",
            mMaxUnread,
            ", VmRSS and unread kB: ",
            mMaxMemory,
            ", descriptors: ",
            mMaxDescriptors);
    CHECK(mMaxResident < mLimits.mMaxKiloBytes);
    CHECK(mMaxMemory < mLimits.mMaxKiloBytes);
    CHECK(mMaxDescriptors < mLimits.mMaxDescriptors);
    CHECK(mDaemon->Alive());
  }
};

auto Head(const std::string& aFields, const std::string& aPath = "/app/1")
  -> std::string
{
  return absl::StrCat(
    "POST ", aPath, " HTTP/1.1\r\nHost: h.example\r\n", aFields, "\r\n");
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

// Heads with aFields and aBody behind them; most stop one byte short of its
// end. The clients share the body, which would take too much memory otherwise.
auto MostlyShort(std::string aBody, const std::string& aFields)
{
  const auto whole = std::make_shared<const Upload>(Upload{ aBody, "", 0, "" });
  aBody.pop_back();
  const auto most =
    std::make_shared<const Upload>(Upload{ std::move(aBody), "", 0, "" });
  return [=](std::size_t aNumber) {
    constexpr std::size_t kWhole = 8;
    const auto head =
      Head(absl::StrCat("Request-Id: c", aNumber, "\r\n", aFields));
    return std::vector<UploadPtr>{ std::make_shared<const Upload>(
                                     Upload{ head, "", 0, "" }),
                                   aNumber % kWhole == 0 ? whole : most };
  };
}

auto LengthOf(std::size_t aBytes) -> std::string
{
  return absl::StrCat("Content-Length: ", aBytes, "\r\n");
}

constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n";

TEST_CASE("memory limit: large bodies sent whole")
{
  // Guards against bodies that arrive faster than they are read: what the
  // system holds of all connections together exceeds the memory.
  Scene scene(kManyConnections);
  scene.Crowd(kManyClients,
              MostlyShort(std::string(kBodyBytes, 'b'), LengthOf(kBodyBytes)));
  scene.Check();
}

TEST_CASE("memory limit: large bodies in one chunk")
{
  // Guards against the same with chunks of legal size.
  Scene scene(kManyConnections);
  scene.Crowd(kManyClients,
              MostlyShort(absl::StrCat(absl::StrFormat("%x\r\n", kBodyBytes),
                                       std::string(kBodyBytes, 'b'),
                                       "\r\n0\r\n\r\n"),
                          kChunked));
  scene.Check();
}

TEST_CASE("memory limit: large bodies sent piece by piece")
{
  // Guards against bodies of very many connections that all make progress.
  Scene scene(kManyConnections);
  scene.Crowd(kManyClients, [](std::size_t aNumber) {
    const auto piece = std::string(kPieceBytes, 'b');
    const auto chunked = aNumber % 2 == 0;
    return Upload{
      Head(absl::StrCat("Request-Id: c",
                        aNumber,
                        "\r\n",
                        chunked ? kChunked : LengthOf(kBodyBytes))),
      chunked ? absl::StrCat("4000\r\n", piece, "\r\n") : piece,
      kBodyBytes / kPieceBytes - 1,
      ShortOf(aNumber / 2,
              chunked ? "4000\r\n" + piece + "\r\n0\r\n\r\n" : piece)
    };
  });
  scene.Check();
}

TEST_CASE("memory limit: large bodies in very small chunks")
{
  // Guards against chunks whose framing is many times their data and takes the
  // daemon longer to read than to receive.
  Scene scene(kManyConnections);
  scene.Crowd(
    kManyClients,
    MostlyShort(Repeated("1\r\nb\r\n", kSmallChunkBodyBytes) + "0\r\n\r\n",
                kChunked));
  scene.Check();
}

TEST_CASE("memory limit: large bodies to the readiness port")
{
  // Guards against bodies to a port that has no use for them.
  Scene scene(kManyConnections);
  scene.CrowdAt(
    scene.mDaemon->mReadiness,
    kManyClients,
    MostlyShort(std::string(kBodyBytes, 'b'), LengthOf(kBodyBytes)));
  scene.Check();
}

TEST_CASE("memory limit: submissions with very many values")
{
  // Guards against the cost of JSON values in memory, which is many times their
  // size.
  Scene scene(kManyConnections);
  const auto body = "[" + Repeated("1,", 100'000) + "1]";
  const auto upload = std::make_shared<const Upload>(
    Upload{ Head(LengthOf(body.size()), "/batch/1"), body, 1, "" });
  scene.Crowd(kManyClients,
              [&](std::size_t) { return std::vector<UploadPtr>{ upload }; });
  scene.Check();
}

TEST_CASE("memory limit: trailers without an end")
{
  // Guards against the lines behind a chunked body, of which the limits of the
  // head say nothing.
  Scene scene(kManyConnections);
  scene.Crowd(kManyClients, [](std::size_t aNumber) {
    auto begin = Head(absl::StrCat(
      "Request-Id: c", aNumber, "\r\nTransfer-Encoding: chunked\r\n"));
    begin += "4\r\nbody\r\n0\r\n";
    switch (aNumber % 3) {
      case 0: // short lines
        return Upload{ begin, Repeated("a:\r\n", 4096), 256, "" };
      case 1: // one line
        return Upload{
          begin + "Name: ", std::string(kPieceBytes, 'v'), 256, ""
        };
      default: // lines that stop before the end
        return Upload{ begin, Repeated("Name: value\r\n", 1000), 18, "\r" };
    }
  });
  scene.Check();
}

// Small requests to an endpoint that does not answer, each with large bodies of
// further requests behind it, in chunks if aInChunks.
auto BehindWaiting(std::size_t aNumber, bool aInChunks) -> Upload
{
  const auto piece = std::string(kPieceBytes, 'b');
  return Upload{
    absl::StrCat(
      Head(absl::StrCat("Request-Id: c", aNumber, "\r\nContent-Length: 4\r\n"),
           "/waiting/1"),
      "body",
      Head(aInChunks ? "Transfer-Encoding: chunked\r\n"
                     : absl::StrCat("Content-Length: ", kBodyBytes, "\r\n"))),
    aInChunks ? absl::StrCat("4000\r\n", piece, "\r\n") : piece,
    kBodyBytes / kPieceBytes - 1,
    ""
  };
}

TEST_CASE("memory limit: large bodies behind requests that wait")
{
  // Guards against bodies that the system receives for connections from which
  // the daemon does not read, since it handles a request of theirs.
  Scene scene(kManyConnections);
  scene.mMayStall = true;
  scene.Crowd(kManyClients, [](std::size_t aNumber) {
    return BehindWaiting(aNumber, aNumber % 2 == 0);
  });
  scene.Check();
}

TEST_CASE("memory limit: large bodies behind bodies that were read")
{
  // Guards against the same on connections whose receive buffers have grown
  // before, since the daemon read large bodies from them fast.
  Scene scene(kManyConnections);
  scene.mMayStall = true;
  const auto body =
    Head("Content-Length: 16384\r\n", "/unknown/1") + std::string(16'384, 'b');
  const auto slow = std::make_shared<const Upload>(
    Upload{ "", body, 20, "", milliseconds(50) });
  const auto fast = std::make_shared<const Upload>(Upload{ "", body, 120, "" });
  scene.Crowd(kGrownClients, [&](std::size_t aNumber) {
    return std::vector<UploadPtr>{ slow,
                                   fast,
                                   std::make_shared<const Upload>(BehindWaiting(
                                     aNumber, aNumber % 2 == 0)) };
  });
  scene.Check();
}

TEST_CASE("memory limit: bodies of less than 128 KiB")
{
  // Guards against bodies whose memory the allocator keeps once they are freed.
  Scene scene(kLeastLimits);
  scene.Crowd(kMediumBodyClients, [](std::size_t aNumber) {
    const auto size = 60'000 + aNumber * 7919 % 60'000;
    return Upload{
      Head(absl::StrCat(
        "Request-Id: c", aNumber, "\r\nContent-Length: ", size, "\r\n")),
      "",
      0,
      ShortOf(aNumber, std::string(size, 'b'))
    };
  });
  scene.Check();
}

TEST_CASE("memory limit: whole bodies to an endpoint that waits")
{
  // Guards against the copies of whole bodies that are sent to an endpoint.
  Scene scene(kLeastLimits);
  scene.Crowd(kMediumBodyClients, [](std::size_t aNumber) {
    constexpr std::size_t kBytes = 40'000;
    return Upload{
      Head(absl::StrCat(
             "Request-Id: c", aNumber, "\r\nContent-Length: ", kBytes, "\r\n"),
           "/waiting/1"),
      "",
      0,
      std::string(kBytes, 'b')
    };
  });
  scene.Check();
}

TEST_CASE("memory limit: one large body in calm")
{
  // Guards against limits that refuse a single request of the largest legal
  // size.
  Scene scene(kLeastLimits);
  for (const auto chunked : { false, true }) {
    auto request = scene.OrdinaryRequest();
    request.body() = std::string(kBodyBytes, 'b');
    if (chunked) {
      request.chunked(true);
    }
    std::optional<Result<Response, CallError>> result;
    mangovalve::Spawn(
      scene.mLoop,
      scene.Ask(scene.mDaemon->mCallers, std::move(request), result));
    scene.RunUntil([&] { return result.has_value(); });
    REQUIRE(*result);
    CHECK((*result)->result() == http::status::ok);
  }
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
