// Tests of the HTTP server during a planned stop: a request that has reached
// the host before its connection closes is answered.
#include "mangovalve/loop/http_server.h"

#include <array>
#include <future>
#include <stdexcept>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "mangovalve/loop/http_client.h"
#include "mangovalve/telemetry/counters.h"
#include "standins/common/free_address.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

auto Answer(CallerPtr aCaller, std::shared_ptr<Request> /*aRequest*/) -> Task<>
{
  Response response(http::status::ok, 11);
  response.body() = "answer";
  co_await aCaller->Reply(std::move(response));
}

struct ServerUnderTest
{
  asio::io_context mLoop{ 1 };
  std::string mAddress = standin::FreeAddress();
  RequestHandler mHandler = Answer;
  std::function<auto()->CallerLimits> mReadLimits = [this] { return mLimits; };
  AsyncHttpServer mServer{
    mLoop,
    [this](CallerPtr aCaller, std::shared_ptr<Request> aRequest) {
      return mHandler(std::move(aCaller), std::move(aRequest));
    },
    [this] { return mReadLimits(); }
  };
  CallerLimits mLimits;

  ServerUnderTest() { REQUIRE_FALSE(mServer.Listen(mAddress)); }

  // Connects without running the server.
  auto Connect() -> Tcp::socket
  {
    Tcp::socket socket(mLoop);
    socket.connect(*ParseAddress(mAddress));
    return socket;
  }

  // The steps of a planned stop.
  auto Stop() -> void
  {
    mServer.CloseAfterResponses();
    mServer.StopAccepting();
    mServer.CloseIdle();
  }

  // Runs the server and reads until the connection ends.
  auto ReadAll(Tcp::socket& aSocket) -> std::string
  {
    std::string text;
    auto reading =
      asio::co_spawn(mLoop, ReadInto(aSocket, text), asio::use_future);
    const auto deadline = Clock::now() + seconds(20);
    while (reading.wait_for(seconds(0)) != std::future_status::ready) {
      REQUIRE(Clock::now() < deadline);
      mLoop.run_for(milliseconds(5));
    }
    return text;
  }

private:
  static auto ReadInto(Tcp::socket& aSocket, std::string& aText) -> Task<>
  {
    ErrorCode error; // how the connection ends does not matter
    co_await asio::async_read(
      aSocket, asio::dynamic_buffer(aText), CaptureError(error));
  }
};

auto IsAnswered(const std::string& aText) -> bool
{
  return aText.starts_with("HTTP/1.1 200") && aText.ends_with("answer") &&
         aText.find("Connection: close") != std::string::npos;
}

// Sends a request on a connection of its own and returns what comes back.
auto Exchange(ServerUnderTest& aServer, const std::string& aRequest)
  -> std::string
{
  auto socket = aServer.Connect();
  ErrorCode error; // a server that has read enough may close first
  asio::write(socket, asio::buffer(aRequest), error);
  socket.shutdown(Tcp::socket::shutdown_send, error);
  return aServer.ReadAll(socket);
}

TEST_CASE("a request with a field that the parser can't hold is refused")
{
  // Guards against a caller that ends the process, and with it the requests of
  // all others: the parser throws for such a field, and nothing on the loop
  // catches that.
  const std::string field(70000, 'x');
  const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "2\r\nok\r\n0\r\n";
  ServerUnderTest server;
  server.mLimits.mMaxHeaderBytes = 1U << 20U;
  const std::vector<std::string> requests = {
    "GET / HTTP/1.1\r\nHost: h\r\nX: " + field + "\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: h\r\n" + field + ": x\r\n\r\n",
    chunked + "X: " + field + "\r\n\r\n",
    chunked + field + ": x\r\n\r\n",
    chunked + field + "\r\n\r\n",
  };
  for (const auto& request : requests) {
    CAPTURE(request.substr(0, 100));
    Exchange(server, request);
    CHECK(Exchange(server, kRequest).starts_with("HTTP/1.1 200"));
  }
}

TEST_CASE("a trailer without end is refused")
{
  // Guards against a caller that fills the memory of the host.
  ServerUnderTest server;
  constexpr std::size_t kSent = 8UL << 20U;
  auto socket = server.Connect();
  std::size_t sent = 0;
  asio::co_spawn(
    server.mLoop,
    [](Tcp::socket& aSocket, std::size_t& aSent) -> Task<> {
      std::string begin = "POST / HTTP/1.1\r\nHost: h\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ";
      const std::string part(64UL << 10U, 'x');
      ErrorCode error;
      co_await asio::async_write(
        aSocket, asio::buffer(begin), CaptureError(error));
      while (!error && aSent < kSent) {
        aSent += co_await asio::async_write(
          aSocket, asio::buffer(part), CaptureError(error));
      }
    }(socket, sent),
    asio::detached);
  const auto deadline = Clock::now() + seconds(5);
  while (sent < kSent && Clock::now() < deadline) {
    server.mLoop.run_for(milliseconds(5));
  }
  CHECK(sent < kSent);
}

TEST_CASE("a stop answers a request whose connection is not accepted yet")
{
  ServerUnderTest server;
  auto socket = server.Connect();
  asio::write(socket, asio::buffer(std::string(kRequest)));
  server.Stop();
  CHECK(IsAnswered(server.ReadAll(socket)));
}

TEST_CASE("a stop answers a request that arrives on a kept connection")
{
  ServerUnderTest server;
  auto socket = server.Connect();
  server.mLoop.run_for(milliseconds(20));
  // The connection is accepted and idle; its request has not been read.
  asio::write(socket, asio::buffer(std::string(kRequest)));
  server.Stop();
  CHECK(IsAnswered(server.ReadAll(socket)));
}

// Stops a server after each number of bytes that it may have read.
auto CheckStopWhileReading(const std::string& aRequest) -> void
{
  for (std::size_t read = 1; read < aRequest.size(); ++read) {
    ServerUnderTest server;
    auto socket = server.Connect();
    asio::write(socket, asio::buffer(aRequest.substr(0, read)));
    const auto deadline = Clock::now() + seconds(20);
    while (server.mServer.ActiveRequests() == 0) {
      REQUIRE(Clock::now() < deadline);
      server.mLoop.run_for(milliseconds(2));
    }
    server.Stop();
    CHECK(server.mServer.ActiveRequests() == 1);
    asio::write(socket, asio::buffer(aRequest.substr(read)));
    CHECK(IsAnswered(server.ReadAll(socket)));
    CHECK(server.mServer.ActiveRequests() == 0);
  }
}

TEST_CASE("a stop answers a request that is read at any byte")
{
  const std::vector<std::string> requests = {
    kRequest,
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4\r\nbody\r\n0\r\n\r\n"
  };
  for (const auto& request : requests) {
    CheckStopWhileReading(request);
  }
}

// Reads one answer from a connection that stays open.
auto ReadOne(ServerUnderTest& aServer, Tcp::socket& aSocket) -> std::string
{
  std::string text;
  const auto deadline = Clock::now() + seconds(20);
  while (!text.ends_with("answer")) {
    REQUIRE(Clock::now() < deadline);
    aServer.mLoop.run_for(milliseconds(2));
    std::array<char, 1024> bytes{};
    ErrorCode error; // would_block until the answer arrives
    aSocket.non_blocking(true, error);
    const auto count = aSocket.read_some(asio::buffer(bytes), error);
    text.append(bytes.data(), count);
  }
  return text;
}

TEST_CASE("a stop closes idle connections and refuses new ones")
{
  ServerUnderTest server;
  auto idle = server.Connect();
  asio::write(idle, asio::buffer(std::string(kRequest)));
  CHECK(ReadOne(server, idle).find("Connection: close") == std::string::npos);
  idle.non_blocking(false);
  server.Stop();
  CHECK(server.ReadAll(idle).empty());
  Tcp::socket late(server.mLoop);
  ErrorCode error;
  late.connect(*ParseAddress(server.mAddress), error);
  CHECK(error);
}

// Guards against the close of a connection whose first request is on its way,
// and against one without a request that keeps the process alive.
TEST_CASE("a stop keeps a new connection for its first request only")
{
  ServerUnderTest server;
  auto sending = server.Connect();
  auto silent = server.Connect();
  server.mLoop.run_for(milliseconds(20));
  server.Stop();
  server.mLoop.run_for(milliseconds(20));
  asio::write(sending, asio::buffer(std::string(kRequest)));
  CHECK(IsAnswered(server.ReadAll(sending)));
  const auto deadline = Clock::now() + seconds(20);
  while (server.mServer.HasConnections()) {
    REQUIRE(Clock::now() < deadline);
    server.mServer.CloseIdle();
    server.mLoop.run_for(milliseconds(20));
  }
  server.mLoop.restart(); // it ran out of work
  CHECK(server.ReadAll(silent).empty());
}

auto CountOf(std::string_view aText, std::string_view aPart) -> std::size_t
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string_view::npos;
       at = aText.find(aPart, at + aPart.size())) {
    ++count;
  }
  return count;
}

TEST_CASE("a stop answers every request that has arrived on a connection")
{
  // Guards against pipelined requests that were read, or lay unread in the
  // socket, when the answer to the first ended their connection.
  const std::string second =
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
  const auto requests = kRequest + second + kRequest;
  const auto ends = std::string(kRequest).size();
  for (std::size_t read = 0; read < requests.size(); ++read) {
    if (read == ends || read == ends + second.size()) {
      continue; // the connection is idle then
    }
    CAPTURE(read);
    ServerUnderTest server;
    auto socket = server.Connect();
    asio::write(socket, asio::buffer(requests.substr(0, read)));
    server.mLoop.run_for(milliseconds(5));
    server.Stop();
    asio::write(socket, asio::buffer(requests.substr(read)));
    const auto text = server.ReadAll(socket);
    CHECK(CountOf(text, "HTTP/1.1 200") == 3);
    CHECK(CountOf(text, "Connection: close") == 1);
    CHECK(IsAnswered(text.substr(text.rfind("HTTP/1.1"))));
  }
}

TEST_CASE("a stop answers a request that arrives while another is handled")
{
  // Guards against the same for a request that arrives late.
  ServerUnderTest server;
  auto handled = 0;
  server.mHandler = [&](CallerPtr aCaller,
                        std::shared_ptr<Request> aRequest) -> Task<> {
    ++handled;
    co_await SleepUntil(Clock::now() + milliseconds(50));
    co_await Answer(std::move(aCaller), std::move(aRequest));
  };
  auto socket = server.Connect();
  asio::write(socket, asio::buffer(std::string(kRequest)));
  while (handled == 0) {
    server.mLoop.run_for(milliseconds(2));
  }
  server.Stop();
  asio::write(socket, asio::buffer(std::string(kRequest)));
  CHECK(CountOf(server.ReadAll(socket), "HTTP/1.1 200") == 2);
}

TEST_CASE("a stop ends no connection whose last answer did not announce it")
{
  // Guards against a stream of before the stop after which the connection ends,
  // so that the next request gets no answer though it was allowed.
  ServerUnderTest server;
  auto stopped = false;
  server.mHandler = [&](CallerPtr aCaller,
                        std::shared_ptr<Request> aRequest) -> Task<> {
    if (stopped) {
      co_await Answer(std::move(aCaller), std::move(aRequest));
      co_return;
    }
    ResponseHead head;
    head.result(http::status::ok);
    co_await aCaller->BeginChunks(std::move(head), "first");
    server.Stop();
    stopped = true;
    co_await aCaller->SendChunk("last");
    co_await aCaller->EndChunks();
  };
  auto socket = server.Connect();
  asio::write(socket, asio::buffer(std::string(kRequest)));
  while (!stopped) {
    server.mLoop.run_for(milliseconds(2));
  }
  server.mLoop.run_for(milliseconds(20)); // the stream has ended
  ErrorCode error;
  asio::write(socket, asio::buffer(std::string(kRequest)), error);
  CHECK_FALSE(error);
  const auto text = server.ReadAll(socket);
  CHECK(text.find("last\r\n0\r\n\r\n") != std::string::npos);
  CHECK(IsAnswered(text.substr(text.rfind("HTTP/1.1"))));
}

TEST_CASE("a stop ends a connection whose caller announced the end")
{
  // Guards against an answer to bytes that belong to no request.
  ServerUnderTest server;
  auto socket = server.Connect();
  const std::string last =
    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  asio::write(socket, asio::buffer(last + kRequest));
  server.Stop();
  CHECK(CountOf(server.ReadAll(socket), "HTTP/1.1 200") == 1);
}

auto Escaped() -> std::int64_t
{
  return FindCounter("mangovalve_escaped_exceptions_total").Value();
}

// Runs the server until all its connections have ended.
auto RunUntilEmpty(ServerUnderTest& aServer) -> void
{
  const auto deadline = Clock::now() + seconds(20);
  while (aServer.mServer.HasConnections()) {
    REQUIRE(Clock::now() < deadline);
    aServer.mLoop.run_for(milliseconds(5));
  }
}

TEST_CASE("an exception of a handler ends only its connection")
{
  // Guards against a caller that waits for an answer on a connection that
  // nothing serves any more, and against a stop that waits for it.
  ServerUnderTest server;
  auto other = server.Connect();
  server.mLoop.run_for(milliseconds(5));
  server.mHandler = [](CallerPtr, std::shared_ptr<Request>) -> Task<> {
    throw std::length_error("of a handler");
    co_return;
  };
  const auto before = Escaped();
  auto socket = server.Connect();
  asio::write(socket, asio::buffer(std::string(kRequest)));
  const auto text = server.ReadAll(socket);
  CHECK(text.starts_with("HTTP/1.1 500"));
  CHECK(text.find("Connection: close") != std::string::npos);
  CHECK(Escaped() == before + 1);
  CHECK(server.mServer.ActiveRequests() == 0);
  server.mHandler = Answer;
  asio::write(other, asio::buffer(std::string(kRequest)));
  CHECK(ReadOne(server, other).starts_with("HTTP/1.1 200"));
}

TEST_CASE("an exception during a stream resets its connection")
{
  // Guards against a partial stream that its caller takes for a complete one.
  ServerUnderTest server;
  server.mHandler = [](CallerPtr aCaller, std::shared_ptr<Request>) -> Task<> {
    ResponseHead head;
    head.result(http::status::ok);
    co_await aCaller->BeginChunks(std::move(head), "first");
    throw std::length_error("of a stream");
  };
  const auto before = Escaped();
  auto socket = server.Connect();
  asio::write(socket, asio::buffer(std::string(kRequest)));
  CHECK(server.ReadAll(socket).find("0\r\n\r\n") == std::string::npos);
  CHECK(Escaped() == before + 1);
  CHECK_FALSE(server.mServer.HasConnections());
}

TEST_CASE("an exception outside the handler ends only its connection")
{
  // Guards against the same for whatever a connection does between requests.
  ServerUnderTest server;
  server.mReadLimits = []() -> CallerLimits {
    throw std::length_error("of a connection");
  };
  const auto before = Escaped();
  auto socket = server.Connect();
  CHECK(server.ReadAll(socket).empty());
  CHECK(Escaped() == before + 1);
  RunUntilEmpty(server);
  server.mReadLimits = [&server] { return server.mLimits; };
  CHECK(Exchange(server, kRequest).starts_with("HTTP/1.1 200"));
}

TEST_CASE("an exception of an interrupt ends only its connection")
{
  // Guards against handlers that are not interrupted at a stop because the
  // interrupt of another throws, and against the same at a disconnect.
  ServerUnderTest server;
  auto interrupted = 0;
  server.mHandler = [&](CallerPtr aCaller, std::shared_ptr<Request>) -> Task<> {
    aCaller->mInterrupt = [&interrupted] {
      ++interrupted;
      throw std::length_error("of an interrupt");
    };
    co_await SleepUntil(Clock::now() + milliseconds(100));
    aCaller->Abort();
  };
  const auto before = Escaped();
  auto first = server.Connect();
  auto second = server.Connect();
  asio::write(first, asio::buffer(std::string(kRequest)));
  asio::write(second, asio::buffer(std::string(kRequest)));
  while (server.mServer.ActiveRequests() < 2) {
    server.mLoop.run_for(milliseconds(2));
  }
  server.mServer.InterruptHandlers();
  CHECK(interrupted == 2);
  first.close();
  RunUntilEmpty(server);
  CHECK(interrupted == 3);
  CHECK(Escaped() == before + 3);
}

TEST_CASE("a body that arrives slowly but steadily is served")
{
  // Guards against a time limit for the whole body, which a slow sender within
  // all limits would exceed.
  ServerUnderTest server;
  server.mLimits.mIdleTimeout = seconds(2);
  constexpr std::size_t kBytes = 9;
  auto socket = server.Connect();
  asio::write(socket,
              asio::buffer(absl::StrCat(
                "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                "Content-Length: ",
                kBytes,
                "\r\n\r\n")));
  for (std::size_t i = 0; i < kBytes; ++i) {
    server.mLoop.run_for(milliseconds(300));
    ErrorCode error;
    asio::write(socket, asio::buffer("b", 1), error);
    REQUIRE_FALSE(error);
  }
  CHECK(IsAnswered(server.ReadAll(socket)));
}

TEST_CASE("a body without progress is closed")
{
  // Guards against connections that are held by chunk extensions without a byte
  // of a body.
  ServerUnderTest server;
  server.mLimits.mIdleTimeout = milliseconds(300);
  auto socket = server.Connect();
  asio::co_spawn(
    server.mLoop,
    [](Tcp::socket& aSocket) -> Task<> {
      std::string begin = "POST / HTTP/1.1\r\nHost: h\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n1;";
      ErrorCode error;
      co_await asio::async_write(
        aSocket, asio::buffer(begin), CaptureError(error));
      while (!error) {
        co_await asio::async_write(
          aSocket, asio::buffer("x", 1), CaptureError(error));
        co_await SleepUntil(Clock::now() + milliseconds(20));
      }
    }(socket),
    asio::detached);
  CHECK(server.ReadAll(socket).empty());
}

TEST_CASE("a head with too many lines or too many bytes of lines is refused")
{
  // Guards against lines that cost many times their size, and against a limit
  // that applies only to the part of a head that has not been parsed.
  const auto head = [](std::size_t aLines) {
    std::string text = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n";
    for (std::size_t i = 0; i < aLines; ++i) {
      text += "a:\r\n";
    }
    return text + "\r\n";
  };
  const auto account = std::make_shared<MemoryAccount>();
  ServerUnderTest server;
  server.mServer.UseAccount(account);
  CHECK(IsAnswered(Exchange(server, head(4000))));
  CHECK(Exchange(server, head(5000)).starts_with("HTTP/1.1 431"));
  account->mLimits.mHeaderLines = 100;
  CHECK(Exchange(server, head(200)).starts_with("HTTP/1.1 431"));
  CHECK(IsAnswered(Exchange(server, head(90))));
}

TEST_CASE("a request that does not fit into the memory is answered as not run")
{
  // Guards against bodies that exceed the memory, against bytes that stay
  // counted, and against a handler that runs what is refused.
  const auto account = std::make_shared<MemoryAccount>();
  account->mLimits.mHeldBytes = 100'000;
  ServerUnderTest server;
  server.mServer.UseAccount(account);
  const auto post = [](std::size_t aBytes) {
    return absl::StrCat("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                        "Content-Length: ",
                        aBytes,
                        "\r\n\r\n",
                        std::string(aBytes, 'b'));
  };
  CHECK(Exchange(server, post(90'000)).starts_with("HTTP/1.1 503"));
  CHECK(IsAnswered(Exchange(server, post(20'000))));
  CHECK(account->Held() == 0);
  CHECK(account->Connections() == 0);
}

TEST_CASE("a stalled upload makes room for another one")
{
  // Guards against uploads that stop short of their end and shut out others.
  const auto account = std::make_shared<MemoryAccount>();
  account->mLimits.mHeldBytes = 600'000;
  ServerUnderTest server;
  server.mServer.UseAccount(account);
  const std::string begin = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close"
                            "\r\nContent-Length: 100000\r\n\r\n";
  std::vector<Tcp::socket> stalled;
  for (auto i = 0; i < 4; ++i) {
    stalled.push_back(server.Connect());
    asio::write(stalled.back(), asio::buffer(begin + std::string(99'999, 'b')));
  }
  const auto deadline = Clock::now() + seconds(20);
  while (account->HeldOf(HeldKind::Bodies) < 200'000) {
    REQUIRE(Clock::now() < deadline);
    server.mLoop.run_for(milliseconds(5));
  }
  // Enough for the next upload to be the one that stalled least.
  server.mLoop.run_for(milliseconds(1100));
  CHECK(IsAnswered(Exchange(server, begin + std::string(100'000, 'b'))));
  CHECK(account->Held() <= account->mLimits.mHeldBytes);
  for (auto& socket : stalled) {
    ErrorCode ignored; // the server may have closed it
    socket.close(ignored);
  }
  RunUntilEmpty(server);
  CHECK(account->Held() == 0);
}

} // namespace
} // namespace mangovalve
