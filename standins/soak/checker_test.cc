// Tests that the soak's checker reports what it is there to find.
#include <doctest/doctest.h>

#include "platform/names.h"
#include "standins/common/endpoint_server.h"
#include "standins/common/free_address.h"
#include "standins/common/raw_server.h"
#include "standins/soak/exchange.h"

namespace mangovalve::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kCaseDeadline = seconds(30);

// Sends one request to the address.
auto AskOnce(asio::io_context& aLoop,
             const std::string& aAddress,
             SendPlan aPlan = {}) -> Attempt
{
  Attempt attempt;
  attempt.mId = "r1";
  std::optional<bool> done;
  Spawn(aLoop,
        [](asio::io_context& aOn,
           std::string aTo,
           SendPlan aSendPlan,
           Attempt& aInto,
           std::optional<bool>& aDone) -> Task<> {
          const auto deadline = Clock::now() + kCaseDeadline;
          auto connection = co_await Connect(aOn, aTo, deadline);
          if (connection) {
            Request request(http::verb::post, "/a/1", 11);
            request.set(platform::kRequestId, aInto.mId);
            request.body() = "body";
            Response response;
            co_await Exchange(
              *connection, request, aSendPlan, deadline, aInto, response);
          }
          aDone = true;
        }(aLoop, aAddress, aPlan, attempt, done));
  const auto deadline = Clock::now() + 2 * kCaseDeadline;
  while (!done.has_value()) {
    REQUIRE(Clock::now() < deadline);
    aLoop.run_for(milliseconds(10));
  }
  return attempt;
}

// Runs at one endpoint, one after the other.
auto Runs(std::size_t aCount) -> std::vector<RunSpan>
{
  std::vector<RunSpan> runs;
  for (std::size_t i = 0; i < aCount; ++i) {
    const TimePoint from{ seconds(i) };
    runs.push_back({ 0, from, from + milliseconds(100) });
  }
  return runs;
}

// A server that reads each request and then does aBehavior.
auto AskServer(RawServer::Behavior aBehavior) -> Attempt
{
  asio::io_context loop(1);
  const auto address = FreeAddress();
  RawServer server(loop, std::move(aBehavior));
  REQUIRE_FALSE(server.Listen(address));
  return AskOnce(loop, address);
}

TEST_CASE("a request that a host reads and drops is reported as lost")
{
  // Guards against a soak that takes a lost request for one that crossed the
  // end of its connection.
  const auto attempt =
    AskServer([](RawServer&, Tcp::socket& aSocket, const Request&) -> Task<> {
      aSocket.close();
      co_return;
    });
  CHECK(attempt.mEnding == Ending::Closed);
  CHECK(Judge(attempt, Runs(0), {}));
}

TEST_CASE("a response that breaks off is reported")
{
  // Guards against a soak that is content with half of a stream.
  for (const auto reset : { false, true }) {
    const auto attempt = AskServer([reset](RawServer& aServer,
                                           Tcp::socket& aSocket,
                                           const Request&) -> Task<> {
      std::string half = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "5\r\nid: 1\r\n";
      co_await aServer.Send(aSocket, half);
      aSocket.set_option(asio::socket_base::linger(reset, 0));
      aSocket.close();
    });
    CHECK(attempt.mEnding != Ending::Answered);
    CHECK(Judge(attempt, Runs(0), {}));
  }
}

TEST_CASE("a request on a connection closed before it is not reported")
{
  // Guards against reports of requests that no host has read.
  asio::io_context loop(1);
  Tcp::acceptor acceptor(loop,
                         Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  acceptor.async_accept(
    [](ErrorCode, Tcp::socket aSocket) { aSocket.close(); });
  // The second half is written when the server has closed.
  SendPlan plan;
  plan.mPieces = 2;
  plan.mPause = milliseconds(50);
  const auto attempt =
    AskOnce(loop,
            "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
            plan);
  CHECK(
    (attempt.mEnding == Ending::Reset || attempt.mEnding == Ending::Unsent));
  CHECK_FALSE(Judge(attempt, Runs(0), { milliseconds(0) }));
  // An endpoint that has run it makes a reset a loss.
  auto ran = attempt;
  ran.mEnding = Ending::Reset;
  CHECK(Judge(ran, Runs(1), {}));
}

TEST_CASE("a reset long after the request was sent is reported")
{
  // Guards against hosts that take a request and reset its connection later.
  Attempt attempt;
  attempt.mEnding = Ending::Reset;
  attempt.mSentAt = TimePoint(seconds(10));
  attempt.mEndedAt = attempt.mSentAt + milliseconds(900);
  CHECK(Judge(attempt, Runs(0), { milliseconds(200) }));
  CHECK_FALSE(Judge(attempt, Runs(0), { milliseconds(0) }));
  // Time in which the caller was not running doesn't count.
  attempt.mStalled = milliseconds(800);
  CHECK_FALSE(Judge(attempt, Runs(0), { milliseconds(200) }));
}

TEST_CASE("false refusals, second runs and wrong responses are reported")
{
  // Guards against refusals whose promise is not checked.
  Attempt attempt;
  attempt.mEnding = Ending::Answered;
  attempt.mStatus = 503;
  CHECK_FALSE(Judge(attempt, Runs(0), {}));
  CHECK(Judge(attempt, Runs(1), {}));
  attempt.mStatus = 200;
  CHECK_FALSE(Judge(attempt, Runs(2), {}));
  attempt.mMayRepeat = false;
  CHECK_FALSE(Judge(attempt, Runs(1), {}));
  CHECK(Judge(attempt, Runs(2), {}));
  attempt.mProblem = "wrong body";
  CHECK(Judge(attempt, Runs(1), {}));
  attempt.mEnding = Ending::Overdue;
  CHECK(Judge(attempt, Runs(0), {}));
}

TEST_CASE("a stream with a missing, repeated or foreign event is reported")
{
  const auto event = [](const std::string& aId, int aNumber) {
    return "id: " + std::to_string(aNumber) +
           "\ndata: " + EventText(aId, aNumber) + "\n\n";
  };
  const auto one = event("r1", 1);
  const auto two = event("r1", 2);
  CHECK(StreamProblem("r1", 2, one + two).empty());
  CHECK_FALSE(StreamProblem("r1", 2, one).empty());
  CHECK_FALSE(StreamProblem("r1", 2, one + one + two).empty());
  CHECK_FALSE(StreamProblem("r1", 2, one + event("r2", 2)).empty());
  CHECK_FALSE(StreamProblem("r1", 2, one + two + "id: 3").empty());
}

TEST_CASE("runs at two endpoints at once are reported")
{
  // Guards against a request that goes on elsewhere while its endpoint is only
  // silent.
  Attempt attempt;
  attempt.mEnding = Ending::Answered;
  attempt.mStatus = 200;
  const TimePoint from{ seconds(1) };
  const auto run = [from](std::size_t aEndpoint, int aBegin, int aEnd) {
    return RunSpan{ aEndpoint,
                    from + milliseconds(aBegin),
                    from + milliseconds(aEnd) };
  };
  CHECK_FALSE(Judge(attempt, { run(0, 0, 1000) }, {}));
  CHECK_FALSE(Judge(attempt, { run(0, 0, 1000), run(1, 1000, 2000) }, {}));
  CHECK_FALSE(Judge(attempt, { run(0, 0, 1000), run(1, 700, 2000) }, {}));
  CHECK(Judge(attempt, { run(0, 0, 1000), run(1, 500, 2000) }, {}));
  CHECK(Judge(attempt, { run(1, 500, 2000), run(0, 0, 1000) }, {}));
}

} // namespace
} // namespace mangovalve::standin
