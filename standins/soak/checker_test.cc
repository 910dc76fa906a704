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

TEST_CASE("a request that outlasts its caller's patience is given up")
{
  // Guards against reports of callers that leave by their own decision, and
  // against a soak that waits for ever.
  asio::io_context loop(1);
  const auto address = FreeAddress();
  RawServer server(loop,
                   [](RawServer&, Tcp::socket&, const Request&) -> Task<> {
                     co_await SleepUntil(Clock::now() + seconds(5));
                   });
  REQUIRE_FALSE(server.Listen(address));
  SendPlan plan;
  plan.mPatience = milliseconds(50);
  const auto attempt = AskOnce(loop, address, plan);
  CHECK(attempt.mEnding == Ending::GaveUp);
  CHECK(attempt.mEndedAt - attempt.mSentAt < seconds(4));
  CHECK_FALSE(Judge(attempt, Runs(1), {}));
}

// A document that has the route of Asked() at the service.
auto Document(std::uint64_t aVersion,
              TimePoint aPublishedAt,
              const std::string& aService,
              milliseconds aTimeout = seconds(6)) -> SoakDocument
{
  SoakDocument document;
  document.mVersion = aVersion;
  document.mPublishedAt = aPublishedAt;
  document.mRoutes["plain"] = { { aService }, aTimeout };
  return document;
}

constexpr TimePoint kAskedAt{ seconds(100) };

// A request whose response has the status, aAfter later, from a host that has
// no reason to end its connection.
auto Asked(unsigned aStatus, Duration aAfter = milliseconds(10)) -> Attempt
{
  Attempt attempt;
  attempt.mRoute = "plain";
  attempt.mEnding = Ending::Answered;
  attempt.mStatus = aStatus;
  attempt.mIdleSince = attempt.mBegunAt = kAskedAt;
  attempt.mLastWriteAt = attempt.mSentAt = kAskedAt;
  attempt.mEndedAt = kAskedAt + aAfter;
  attempt.mHostServed = true;
  return attempt;
}

auto RunAt(const std::string& aService) -> std::vector<RunSpan>
{
  return { { 0, kAskedAt, kAskedAt + milliseconds(5), aService } };
}

// What the judge says of the attempt beside the documents.
auto JudgeBeside(Attempt aAttempt,
                 const std::vector<RunSpan>& aRuns,
                 const std::vector<SoakDocument>& aDocuments)
  -> std::optional<std::string>
{
  ApplyDocuments(aAttempt, aRuns, aDocuments);
  return Judge(aAttempt, aRuns, {});
}

TEST_CASE("a run at a service that no document in force allows is reported")
{
  // Guards against hosts that go on with an old document, and against reports
  // while they may still do so.
  const auto movedBefore = [](Duration aTime) {
    return std::vector{ Document(1, TimePoint{}, "app"),
                        Document(2, kAskedAt - aTime, "twin") };
  };
  const auto recent = movedBefore(kApplyBound - milliseconds(1));
  CHECK_FALSE(JudgeBeside(Asked(200), RunAt("app"), recent));
  CHECK_FALSE(JudgeBeside(Asked(200), RunAt("twin"), recent));
  CHECK(JudgeBeside(Asked(200), RunAt("work"), recent));
  const auto old = movedBefore(kApplyBound + milliseconds(1));
  CHECK(JudgeBeside(Asked(200), RunAt("app"), old));
  CHECK_FALSE(JudgeBeside(Asked(200), RunAt("twin"), old));
  // Published after the response.
  const auto later = movedBefore(-seconds(1));
  CHECK_FALSE(JudgeBeside(Asked(200), RunAt("app"), later));
  CHECK(JudgeBeside(Asked(200), RunAt("twin"), later));
}

TEST_CASE("denials of what every document in force allows are reported")
{
  // Guards against hosts that lose a route or a key while they take a document.
  const std::vector both{ Document(1, TimePoint{}, "app"),
                          Document(2, kAskedAt, "app") };
  for (const auto status : { 401, 403, 404, 502, 504 }) {
    CHECK(JudgeBeside(Asked(status), {}, both));
  }
  CHECK_FALSE(JudgeBeside(Asked(503), {}, both));
  auto added = both;
  added.front().mRoutes.clear();
  CHECK_FALSE(JudgeBeside(Asked(404), {}, added));
  CHECK(JudgeBeside(Asked(401), {}, added));
  CHECK(JudgeBeside(Asked(403), {}, added));
}

TEST_CASE("timeouts before the time of the caller and the route are reported")
{
  // Guards against a soak that excuses each timeout.
  const std::vector documents{ Document(1, TimePoint{}, "app", seconds(3)) };
  const auto runs = RunAt("app");
  for (const auto ending :
       { Ending::Answered, Ending::Reset, Ending::Closed }) {
    const auto ended = [&](Duration aAfter) {
      auto attempt = Asked(504, aAfter);
      attempt.mEnding = ending;
      attempt.mBegun = true;
      attempt.mExpiresAt = kAskedAt + seconds(2);
      return attempt;
    };
    CHECK(JudgeBeside(ended(milliseconds(1999)), runs, documents));
    CHECK_FALSE(JudgeBeside(ended(milliseconds(2000)), runs, documents));
    auto patient = ended(milliseconds(2999));
    patient.mExpiresAt = kAskedAt + seconds(20);
    CHECK(JudgeBeside(patient, runs, documents));
    patient.mEndedAt = kAskedAt + milliseconds(3000);
    CHECK_FALSE(JudgeBeside(patient, runs, documents));
  }
  // Neither makes a refusal true nor a wrong status right.
  CHECK(JudgeBeside(Asked(503, seconds(4)), runs, documents));
  CHECK(JudgeBeside(Asked(502, seconds(4)), runs, documents));
  CHECK(JudgeBeside(Asked(404, seconds(4)), runs, documents));
}

TEST_CASE("a connection that a serving host ends is reported")
{
  // Guards against hosts that end connections when they take a document.
  const std::vector documents{ Document(1, TimePoint{}, "app"),
                               Document(2, kAskedAt, "app") };
  for (const auto ending : { Ending::Reset, Ending::Closed, Ending::Unsent }) {
    auto attempt = Asked(0);
    attempt.mEnding = ending;
    CHECK(JudgeBeside(attempt, {}, documents));
  }
  auto crossed = Asked(0);
  crossed.mEnding = Ending::Reset;
  crossed.mHostServed = false;
  CHECK_FALSE(JudgeBeside(crossed, {}, documents));
  // The limits of all documents since the connection was idle count.
  auto idle = Asked(0);
  idle.mEnding = Ending::Reset;
  idle.mIdleSince = kAskedAt - milliseconds(1201);
  auto limited = documents;
  limited.back().mIdleLimit = milliseconds(1500);
  CHECK_FALSE(JudgeBeside(idle, {}, limited));
  idle.mIdleSince = kAskedAt - milliseconds(1200);
  CHECK(JudgeBeside(idle, {}, limited));
  limited.back().mHeaderLimit = milliseconds(1000);
  idle.mSentAt = idle.mBegunAt + milliseconds(801);
  idle.mEndedAt = idle.mSentAt;
  CHECK_FALSE(JudgeBeside(idle, {}, limited));
}

} // namespace
} // namespace mangovalve::standin
