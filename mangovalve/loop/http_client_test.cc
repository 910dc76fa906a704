// Tests of the HTTP client against servers that send bytes outside the
// protocol, or without end.
#include "mangovalve/loop/http_client.h"

#include <array>
#include <set>

#include <doctest/doctest.h>

#include "standins/common/free_address.h"
#include "standins/common/raw_server.h"

namespace mangovalve {
namespace {

using standin::FreeAddress;
using standin::RawServer;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kCallTimeout = milliseconds(400);

// Ends a case that hangs; generous, since the machine may be busy.
constexpr auto kCaseDeadline = seconds(40);

auto Call(asio::io_context& aLoop,
          ConnectionPool& aPool,
          const std::string& aAddress,
          Duration aTimeout) -> Result<Response, CallError>
{
  std::optional<Result<Response, CallError>> result;
  Spawn(aLoop,
        [](ConnectionPool& aFrom,
           std::string aTo,
           Duration aLimit,
           std::optional<Result<Response, CallError>>& aInto) -> Task<> {
          aInto = co_await CallOnce(aFrom,
                                    aTo,
                                    Request(http::verb::get, "/", 11),
                                    Clock::now() + aLimit);
        }(aPool, aAddress, aTimeout, result));
  const auto deadline = Clock::now() + kCaseDeadline;
  while (!result) {
    REQUIRE(Clock::now() < deadline);
    aLoop.run_for(milliseconds(5));
  }
  return *result;
}

// Acquires a connection for the request aId; it must succeed.
auto Acquire(asio::io_context& aLoop,
             ConnectionPool& aPool,
             const std::string& aAddress,
             std::string_view aId) -> ClientConnectionPtr
{
  std::optional<Result<ClientConnectionPtr, ErrorCode>> result;
  Spawn(
    aLoop,
    [](ConnectionPool& aFrom,
       std::string aTo,
       std::string_view aFor,
       std::optional<Result<ClientConnectionPtr, ErrorCode>>& aInto) -> Task<> {
      aInto = co_await aFrom.Acquire(
        aTo, TimePoint::min(), Clock::now() + kCaseDeadline, aFor);
    }(aPool, aAddress, aId, result));
  const auto deadline = Clock::now() + kCaseDeadline;
  while (!result) {
    REQUIRE(Clock::now() < deadline);
    aLoop.run_for(milliseconds(5));
  }
  REQUIRE(*result);
  return std::move(**result);
}

// Guards against the late copy of an answer that is taken for the answer to a
// later exchange of the same request.
TEST_CASE("a request does not get a connection from which its id is barred")
{
  asio::io_context loop;
  RawServer server(
    loop,
    [](RawServer&, Tcp::socket&, const Request&) -> Task<> { co_return; });
  const auto address = FreeAddress();
  REQUIRE_FALSE(server.Listen(address));
  ConnectionPool pool(loop);
  const auto release = [&](ClientConnectionPtr aConnection) {
    pool.Release(std::move(aConnection), Clock::now() + kCaseDeadline);
  };
  auto connection = Acquire(loop, pool, address, "first");
  const auto number = connection->mNumber;
  BarId(*connection, "first");
  release(std::move(connection));
  auto other = Acquire(loop, pool, address, "first");
  CHECK(other->mNumber != number);
  release(std::move(other));
  other = Acquire(loop, pool, address, "second");
  CHECK(other->mNumber != number);
  connection = Acquire(loop, pool, address, "second");
  CHECK(connection->mNumber == number);
  CHECK(connection->mReused);
  // It stays in use until it has barred too many ids.
  while (connection->mBarredIds.size() + 1 < kMaxBarredIds) {
    BarId(*connection, std::to_string(connection->mBarredIds.size()));
  }
  release(std::move(connection));
  connection = Acquire(loop, pool, address, "third");
  REQUIRE(connection->mNumber == number);
  BarId(*connection, "third");
  release(std::move(connection));
  CHECK(Acquire(loop, pool, address, "fourth")->mNumber != number);
}

TEST_CASE("interim responses are not taken for the answer")
{
  asio::io_context loop;
  RawServer server(
    loop,
    [](RawServer& aServer, Tcp::socket& aSocket, const Request&) -> Task<> {
      co_await aServer.Send(aSocket,
                            "HTTP/1.1 100 Continue\r\n\r\n"
                            "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
  const auto address = FreeAddress();
  REQUIRE_FALSE(server.Listen(address));
  ConnectionPool pool(loop);
  for (auto i = 0; i < 3; ++i) {
    const auto response = Call(loop, pool, address, seconds(20));
    REQUIRE(response);
    CHECK(response->result() == http::status::ok);
    CHECK(response->body() == "ok");
  }
}

TEST_CASE("a status below 100 is no response")
{
  // Guards against a head with the status 000 that counts as an interim one:
  // the client waited for another head, or took what followed for the answer.
  for (const auto* status : { "000", "001", "099" }) {
    CAPTURE(status);
    asio::io_context loop;
    RawServer server(
      loop,
      [status](
        RawServer& aServer, Tcp::socket& aSocket, const Request&) -> Task<> {
        co_await aServer.Send(aSocket,
                              "HTTP/1.1 " + std::string(status) +
                                " None\r\n\r\n"
                                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
                                "ok");
      });
    const auto address = FreeAddress();
    REQUIRE_FALSE(server.Listen(address));
    ConnectionPool pool(loop);
    const auto response = Call(loop, pool, address, seconds(20));
    REQUIRE_FALSE(response);
    CHECK(response.error() == CallError::NoResponse);
  }
}

TEST_CASE("a long line after the last chunk does not end the process")
{
  // Guards against a trailer that the parser can't hold: it throws, and nothing
  // on the loop catches that.
  for (const auto* line : { "X-Trailer: ", "X-Trailer", ":", "" }) {
    CAPTURE(line);
    asio::io_context loop;
    RawServer server(
      loop,
      [line](
        RawServer& aServer, Tcp::socket& aSocket, const Request&) -> Task<> {
        co_await aServer.Send(aSocket,
                              "HTTP/1.1 200 OK\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "2\r\nok\r\n0\r\n" +
                                std::string(line) + std::string(70000, 'x') +
                                "\r\n\r\n");
      });
    const auto address = FreeAddress();
    REQUIRE_FALSE(server.Listen(address));
    ConnectionPool pool(loop);
    const auto response = Call(loop, pool, address, seconds(20));
    if (response) {
      CHECK(response->body() == "ok");
    }
  }
}

TEST_CASE("fields after the last chunk are not taken for headers")
{
  // Guards against an answer that changes its signature or status of execution
  // after the head has been examined.
  asio::io_context loop;
  RawServer server(
    loop,
    [](RawServer& aServer, Tcp::socket& aSocket, const Request&) -> Task<> {
      co_await aServer.Send(aSocket,
                            "HTTP/1.1 200 OK\r\nX-Signature: a\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "2\r\nok\r\n0\r\nX-Signature: b\r\n"
                            "X-Other: c\r\n\r\n");
    });
  const auto address = FreeAddress();
  REQUIRE_FALSE(server.Listen(address));
  ConnectionPool pool(loop);
  const auto response = Call(loop, pool, address, seconds(20));
  REQUIRE(response);
  CHECK(response->body() == "ok");
  CHECK(response->count("X-Signature") == 1);
  CHECK((*response)["X-Signature"] == "a");
  CHECK(response->count("X-Other") == 0);
}

// Bytes of a response: a beginning, then a part that is repeated without end.
struct Flood
{
  const char* mName;
  std::string mBegin;
  std::string mRepeat;
};

auto Floods() -> std::vector<Flood>
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string filler(4096, 'x');
  return {
    { "status line", "HTTP/1.1 200 ", filler },
    { "header field", ok + "X: ", filler },
    { "header fields", ok, "X: " + filler.substr(0, 90) + "\r\n" },
    { "interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
    { "chunk size", chunked, std::string(4096, '0') },
    { "chunk extension", chunked + "5;", filler },
    { "trailers", chunked + "0\r\n", "X: " + filler.substr(0, 90) + "\r\n" },
    { "chunks", chunked, "1000\r\n" + filler + "\r\n" },
    { "body with a length",
      ok + "Content-Length: 100000000000\r\n\r\n",
      filler },
    { "body without a length", ok + "\r\n", filler },
    { "no protocol", "", filler },
  };
}

TEST_CASE("a response without end is given up within bounds of bytes and time")
{
  // Guards against a server that fills the memory of a host or holds its
  // connection: fast, each flood must exceed a bound of bytes; slow, the
  // deadline of the call.
  for (const auto pause : { Duration(0), Duration(milliseconds(5)) }) {
    for (const auto& flood : Floods()) {
      CAPTURE(flood.mName);
      asio::io_context loop;
      RawServer server(
        loop,
        [&](
          RawServer& aServer, Tcp::socket& aSocket, const Request&) -> Task<> {
          auto begin = flood.mBegin;
          co_await aServer.Send(aSocket, std::move(begin));
          co_await aServer.SendForever(aSocket, flood.mRepeat, pause);
        });
      const auto address = FreeAddress();
      REQUIRE_FALSE(server.Listen(address));
      ConnectionPool pool(loop);
      const auto response = Call(loop, pool, address, kCallTimeout);
      REQUIRE_FALSE(response);
      CHECK(response.error() == CallError::NoResponse);
      // The client has closed the connection, so the server stops.
      const auto deadline = Clock::now() + kCaseDeadline;
      while (server.mOpen > 0) {
        REQUIRE(Clock::now() < deadline);
        loop.run_for(milliseconds(5));
      }
      // Sockets of both ends buffer some megabytes besides.
      CHECK(server.mBytesSent < kMaxBodyBytes + (16UL << 20U));
    }
  }
}

TEST_CASE("bytes after a response end the reuse of its connection")
{
  // Guards against an answer that is taken for that of the next call, with the
  // stray bytes arriving together with the first response or just after it.
  for (const auto delay : { milliseconds(0), milliseconds(20) }) {
    asio::io_context loop;
    auto connections = 0;
    RawServer server(
      loop,
      [&](RawServer& aServer, Tcp::socket& aSocket, const Request&) -> Task<> {
        const auto number = std::to_string(++connections);
        const auto answer =
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + number;
        if (delay.count() == 0) {
          co_await aServer.Send(aSocket, answer + answer);
          co_return;
        }
        auto first = answer;
        co_await aServer.Send(aSocket, std::move(first));
        co_await SleepUntil(Clock::now() + delay);
        auto second = answer;
        co_await aServer.Send(aSocket, std::move(second));
      });
    const auto address = FreeAddress();
    REQUIRE_FALSE(server.Listen(address));
    ConnectionPool pool(loop);
    for (auto i = 1; i <= 4; ++i) {
      const auto response = Call(loop, pool, address, seconds(20));
      REQUIRE(response);
      CHECK(response->body() == std::to_string(i));
      loop.run_for(4 * delay + milliseconds(5));
    }
  }
}

TEST_CASE("a response that breaks off is an error at every byte")
{
  // Guards against a truncated response that looks complete, with a length, in
  // chunks, and without a length when the connection is reset.
  const std::vector<std::string> responses = {
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"
  };
  for (std::size_t kind = 0; kind < responses.size(); ++kind) {
    const auto reset = kind == 2;
    for (std::size_t length = 0; length < responses[kind].size(); ++length) {
      asio::io_context loop;
      RawServer server(
        loop,
        [&](
          RawServer& aServer, Tcp::socket& aSocket, const Request&) -> Task<> {
          auto part = responses[kind].substr(0, length);
          co_await aServer.Send(aSocket, std::move(part));
          ErrorCode ignored;
          if (reset) {
            aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
          }
          aSocket.close(ignored);
        });
      const auto address = FreeAddress();
      REQUIRE_FALSE(server.Listen(address));
      ConnectionPool pool(loop);
      REQUIRE_FALSE(Call(loop, pool, address, seconds(20)));
    }
  }
}

// How a server ends its side of a connection.
enum class Ending
{
  Shutdown, // end of the data; the server goes on reading
  Close,
  Reset,
};

auto EndConnection(Tcp::socket& aSocket, Ending aEnding) -> void
{
  ErrorCode ignored; // the client may have closed the connection
  if (aEnding == Ending::Shutdown) {
    aSocket.shutdown(Tcp::socket::shutdown_send, ignored);
    return;
  }
  if (aEnding == Ending::Reset) {
    aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  aSocket.close(ignored);
}

// Performs aCalls calls to a server that answers each request with aAnswer and
// then ends the connection. Returns the results; every request must arrive on a
// connection of its own.
auto CallUnframed(const std::string& aAnswer, Ending aEnding, int aCalls)
  -> std::vector<Result<Response, CallError>>
{
  asio::io_context loop;
  std::set<std::uint16_t> ports;
  RawServer server(
    loop,
    [&](RawServer& aServer, Tcp::socket& aSocket, const Request&) -> Task<> {
      CHECK(ports.insert(aSocket.remote_endpoint().port()).second);
      auto bytes = aAnswer;
      co_await aServer.Send(aSocket, std::move(bytes));
      EndConnection(aSocket, aEnding);
    });
  const auto address = FreeAddress();
  REQUIRE_FALSE(server.Listen(address));
  ConnectionPool pool(loop);
  std::vector<Result<Response, CallError>> results;
  for (auto i = 0; i < aCalls; ++i) {
    results.push_back(Call(loop, pool, address, seconds(20)));
  }
  CHECK(server.mRequests == static_cast<std::size_t>(aCalls));
  return results;
}

// Heads of responses whose body ends with the connection, whatever else they
// say about it.
auto UnframedHeads() -> std::vector<std::string>
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string kept = ok + "Connection: keep-alive\r\n";
  return {
    ok + "\r\n",
    ok + "Connection: close\r\n\r\n",
    kept + "Keep-Alive: timeout=60\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
    "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n",
  };
}

TEST_CASE(
  "a body that ends with its connection is whole, the connection used up")
{
  // Guards against a body without a length or chunks that is taken for broken
  // off or empty, and against the next request on its connection.
  for (const auto& head : UnframedHeads()) {
    for (const auto ending : { Ending::Shutdown, Ending::Close }) {
      CAPTURE(head);
      CAPTURE(static_cast<int>(ending));
      for (const auto& body : { std::string("hello"), std::string() }) {
        for (const auto& result : CallUnframed(head + body, ending, 3)) {
          REQUIRE(result);
          CHECK(result->body() == body);
        }
      }
    }
  }
}

TEST_CASE("a body without a length is an error if its connection is reset")
{
  // Guards against a reset after the last byte that was sent, which would make
  // a body look whole.
  for (const auto& head : UnframedHeads()) {
    CAPTURE(head);
    for (const auto& result : CallUnframed(head + "hello", Ending::Reset, 3)) {
      REQUIRE_FALSE(result);
      CHECK(result.error() == CallError::NoResponse);
    }
  }
}

TEST_CASE("a connection that ends inside a head is an error")
{
  // Guards against a head that is cut off before its last line break and passes
  // for a response without a body.
  for (const auto& head : UnframedHeads()) {
    CAPTURE(head);
    for (std::size_t length = 0; length < head.size(); ++length) {
      for (const auto ending : { Ending::Shutdown, Ending::Close }) {
        const auto results = CallUnframed(head.substr(0, length), ending, 1);
        REQUIRE_FALSE(results[0]);
        CHECK(results[0].error() == CallError::NoResponse);
      }
    }
  }
}

// Performs one exchange with a server that counts what it receives.
struct CountedCall
{
  Result<Response, CallError> mResult;
  std::size_t mReceived;
};

auto CallCounted(Request aRequest) -> CountedCall
{
  asio::io_context loop;
  Tcp::acceptor acceptor(loop, *ParseAddress(FreeAddress()));
  std::size_t received = 0;
  asio::co_spawn(
    loop,
    [](Tcp::acceptor& aAcceptor, std::size_t& aReceived) -> Task<> {
      auto socket = co_await aAcceptor.async_accept(asio::use_awaitable);
      std::array<char, 4096> bytes{};
      ErrorCode error;
      while (!error) {
        aReceived += co_await socket.async_read_some(asio::buffer(bytes),
                                                     CaptureError(error));
        if (aReceived > 0 && !error) {
          const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
          co_await asio::async_write(
            socket, asio::buffer(answer), CaptureError(error));
        }
      }
    }(acceptor, received),
    asio::detached);
  const auto local = acceptor.local_endpoint();
  const auto address =
    local.address().to_string() + ":" + std::to_string(local.port());
  ConnectionPool pool(loop);
  std::optional<Result<Response, CallError>> result;
  Spawn(loop,
        [](ConnectionPool& aPool,
           std::string aAddress,
           Request aSent,
           std::optional<Result<Response, CallError>>& aInto) -> Task<> {
          aInto = co_await CallOnce(
            aPool, aAddress, std::move(aSent), Clock::now() + kCallTimeout);
        }(pool, address, std::move(aRequest), result));
  const auto deadline = Clock::now() + kCaseDeadline;
  while (!result) {
    REQUIRE(Clock::now() < deadline);
    loop.run_for(milliseconds(5));
  }
  loop.run_for(milliseconds(10)); // what was sent has arrived
  return { std::move(*result), received };
}

TEST_CASE("a request that would not parse back to itself is not written")
{
  // Guards against a head that ends early or holds fields that nobody set, and
  // so against a second request inside the first, whoever built it.
  const auto sound = [] {
    Request request(http::verb::post, "/a?b=%20", 11);
    request.set("X-Text", " caf\xc3\xa9\t; a=\"b\" ");
    request.set("Empty", "");
    request.body() = "body";
    return request;
  };
  const auto sent = CallCounted(sound());
  CHECK(sent.mResult);
  CHECK(sent.mReceived > 0);
  std::vector<Request> requests;
  for (const auto* target :
       { "", "/a b", "/ HTTP/1.1\r\nX: y\r\n\r\n", "/a\nb", "/\x7f" }) {
    requests.push_back(sound());
    requests.back().target(target);
  }
  for (const auto* value : { "a\r\nX: y", "a\nb", "a\rb", "a\x01", "\x7f" }) {
    requests.push_back(sound());
    requests.back().set("X-Text", value);
  }
  for (const auto* name : { "", "X Y", "X:", "X\r\nY", "X\xe9" }) {
    requests.push_back(sound());
    requests.back().set(name, "value");
  }
  for (const auto* method : { "", "GET /x HTTP/1.1\r\n", "G T" }) {
    requests.push_back(sound());
    requests.back().method_string(method);
  }
  for (const auto& request : requests) {
    CAPTURE(request);
    const auto refused = CallCounted(request);
    CHECK_FALSE(refused.mResult);
    CHECK(refused.mReceived == 0);
  }
}

TEST_CASE("an exception in the client is an error of its exchange")
{
  // Guards against a request whose task ends without an answer because the
  // library throws, here for a body that the method does not allow.
  Request request(http::verb::trace, "/", 11);
  request.body() = "body";
  CHECK_FALSE(CallCounted(request).mResult);
}

} // namespace
} // namespace mangovalve
