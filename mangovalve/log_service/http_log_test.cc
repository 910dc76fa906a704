// Tests of the log's HTTP client against a server of this process.
#include "mangovalve/log_service/http_log.h"

#include <array>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mangovalve/base/thread.h"
#include "mangovalve/log_service/host_list.h"

namespace mangovalve {
namespace {

using Kind = PlatformError::Kind;

auto Soon() -> TimePoint
{
  return Clock::now() + std::chrono::seconds(20);
}

// An HTTP server on a free loopback port.
struct TestServer
{
  httplib::Server mServer;
  std::string mAddress;
  Thread mThread;

  auto Start() -> void
  {
    const auto port = mServer.bind_to_any_port("127.0.0.1");
    mAddress = "127.0.0.1:" + std::to_string(port);
    mThread = Thread("server", [this] { mServer.listen_after_bind(); });
    while (!mServer.is_running()) {
      sched_yield();
    }
  }
  ~TestServer()
  {
    mServer.stop();
    mThread.Join();
  }
};

// A listening socket on a free loopback port.
auto Listen(std::string& aAddress) -> int
{
  const auto fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* const raw = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof(address);
  REQUIRE(bind(fd, raw, size) == 0);
  REQUIRE(listen(fd, 4) == 0);
  REQUIRE(getsockname(fd, raw, &size) == 0);
  aAddress = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  return fd;
}

TEST_CASE("an append and a read go through the protocol")
{
  TestServer test;
  std::string received;
  test.mServer.Post("/v1/log/records", [&](const auto& aIn, auto& aOut) {
    received = aIn.body;
    aOut.set_content(R"({"offset":7})", "application/json");
  });
  test.mServer.Get("/v1/log/records", [&](const auto& aIn, auto& aOut) {
    CHECK(aIn.get_param_value("from") == "3");
    CHECK(aIn.get_param_value("limit") == "9");
    aOut.set_content(R"({"first_offset":2,"next_offset":5,"records":[
      {"offset":3,"time_ms":99,"payload":"AAH/"}]})",
                     "application/json");
  });
  test.Start();
  const auto port = HttpLogPort(test.mAddress);
  CHECK(port.mAppend(std::string("\0\1\xff", 3), Soon()) == Offset{ 7 });
  CHECK(received == R"({"payload":"AAH/"})");
  const auto page = port.mRead(3, 9, Soon());
  REQUIRE(page);
  CHECK(page->mFirstOffset == 2);
  CHECK(page->mNextOffset == 5);
  REQUIRE(page->mEntries.size() == 1);
  CHECK(page->mEntries[0].mOffset == 3);
  CHECK(page->mEntries[0].mTime == LogTime(std::chrono::milliseconds(99)));
  CHECK(page->mEntries[0].mPayload == std::string("\0\1\xff", 3));
}

// Guards against "not accepted" for an append that may have taken effect, and
// against a needless "unknown".
TEST_CASE("statuses and damaged answers are classified")
{
  TestServer test;
  auto status = 200;
  std::string body;
  test.mServer.Post("/v1/log/records", [&](const auto&, auto& aOut) {
    aOut.status = status;
    aOut.set_content(body, "application/json");
  });
  test.Start();
  const auto port = HttpLogPort(test.mAddress);
  struct Case
  {
    int mStatus;
    const char* mBody;
    Kind mExpected;
  };
  for (const auto& each : {
         Case{ 429, "{}", Kind::Rejected },
         Case{ 503, "{}", Kind::Rejected },
         Case{ 500, "{}", Kind::OutcomeUnknown },
         Case{ 404, "{}", Kind::OutcomeUnknown },
         Case{ 200, "{}", Kind::Malformed },
         Case{ 200, "{\"offset\":", Kind::Malformed },
         Case{ 200, "{\"offset\":\"x\"}", Kind::Malformed },
       }) {
    status = each.mStatus;
    body = each.mBody;
    const auto result = port.mAppend("x", Soon());
    REQUIRE_FALSE(result);
    CHECK(result.error().mKind == each.mExpected);
  }
}

// Guards against NotSent for a connection that was made: the platform may have
// received the append although it closed without an answer.
TEST_CASE("only a connection that was never made is NotSent")
{
  std::string address;
  const auto fd = Listen(address);
  const Thread closer("closer", [fd] {
    const auto connection = accept(fd, nullptr, nullptr);
    std::array<char, 4096> buffer{};
    (void)recv(connection, buffer.data(), buffer.size(), 0);
    // The listener first: the second append follows the end of the connection.
    close(fd);
    close(connection);
  });
  const auto port = HttpLogPort(address);
  const auto cut = port.mAppend("x", Soon());
  REQUIRE_FALSE(cut);
  CHECK(cut.error().mKind == Kind::OutcomeUnknown);
  const auto refused = port.mAppend("x", Soon());
  REQUIRE_FALSE(refused);
  CHECK(refused.error().mKind == Kind::NotSent);
  const auto late = port.mAppend("x", Clock::now());
  REQUIRE_FALSE(late);
  CHECK(late.error().mKind == Kind::NotSent);
}

TEST_CASE("the host list is read")
{
  TestServer test;
  test.mServer.Get("/v1/hosts", [&](const auto&, auto& aOut) {
    aOut.set_content(R"({"hosts":[
      {"service":"a","address":"127.0.0.1:1","domain":"d","state":"live"},
      {"service":"a","address":"127.0.0.1:2","domain":"e","state":"leaving"}]})",
                     "application/json");
  });
  test.Start();
  const auto hosts = HttpHostListPort(test.mAddress).mFetchHosts(Soon());
  REQUIRE(hosts);
  CHECK(*hosts == std::vector<ListedHost>{ { "a", "127.0.0.1:1", "d", false },
                                           { "a", "127.0.0.1:2", "e", true } });
}

} // namespace
} // namespace mangovalve
