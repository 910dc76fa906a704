// Tests of the planned stop with real connections: whatever has reached the
// host when the process may exit has been answered.
#include "mangovalve/serving/shutdown.h"

#include <doctest/doctest.h>

#include "mangovalve/loop/http_client.h"
#include "standins/common/free_address.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr auto kPoll = milliseconds(5);
constexpr auto kCaseDeadline = seconds(20);

// Answers after the time that an endpoint would need.
constexpr auto kHandlerTime = milliseconds(200);

// The last call to the store.
constexpr auto kFinalCallTime = milliseconds(20);

struct StoppingServer
{
  asio::io_context mLoop{ 1 };
  std::string mAddress = standin::FreeAddress();
  AsyncHttpServer mServer{ mLoop,
                           [](CallerPtr aCaller,
                              std::shared_ptr<Request>) -> Task<> {
                             co_await SleepUntil(Clock::now() + kHandlerTime);
                             Response response(http::status::ok, 11);
                             response.body() = "answer";
                             co_await aCaller->Reply(std::move(response));
                           },
                           [] { return CallerLimits{}; } };
  bool mMayExit = false;

  StoppingServer() { REQUIRE_FALSE(mServer.Listen(mAddress)); }

  auto Connect() -> Tcp::socket
  {
    Tcp::socket socket(mLoop);
    socket.connect(*ParseAddress(mAddress));
    return socket;
  }

  // Starts a stop whose listener may close at aAcceptUntil.
  auto Stop(TimePoint aAcceptUntil, Duration aExitAfter = seconds(8)) -> void
  {
    mServer.CloseAfterResponses();
    StopSchedule schedule;
    schedule.mAcceptUntil = aAcceptUntil;
    schedule.mCloseBy = Clock::now() + aExitAfter;
    schedule.mExitBy = schedule.mCloseBy;
    Spawn(mLoop, RunStop(schedule));
  }

  // Runs the server; nothing runs once the process may exit.
  auto RunFor(Duration aTime) -> void
  {
    const auto until = Clock::now() + aTime;
    while (!mMayExit && Clock::now() < until) {
      mLoop.run_for(kPoll);
    }
  }

  // Runs the server until the process may exit; nothing runs after that.
  auto RunUntilExit() -> void
  {
    const auto deadline = Clock::now() + kCaseDeadline;
    while (!mMayExit) {
      REQUIRE(Clock::now() < deadline);
      mLoop.run_one_for(kPoll);
    }
  }

  // What has been sent to the caller up to now.
  static auto Received(Tcp::socket& aSocket) -> std::string
  {
    std::string text;
    ErrorCode error;
    aSocket.non_blocking(true, error);
    while (!error) {
      std::array<char, 1024> bytes{};
      const auto count = aSocket.read_some(asio::buffer(bytes), error);
      text.append(bytes.data(), count);
    }
    return text;
  }

private:
  auto RunStop(StopSchedule aSchedule) -> Task<>
  {
    StopPolicy policy;
    policy.mQuietTime = Duration::zero();
    FinalCall finalCall = []() -> Task<> {
      co_await SleepUntil(Clock::now() + kFinalCallTime);
    };
    co_await DrainConnections(mServer, policy, aSchedule, std::move(finalCall));
    mMayExit = true;
    mLoop.stop();
  }
};

auto Send(Tcp::socket& aSocket) -> void
{
  asio::write(aSocket, asio::buffer(std::string(kRequest)));
}

auto IsAnswered(const std::string& aText) -> bool
{
  return aText.starts_with("HTTP/1.1 200") && aText.ends_with("answer");
}

// Guards against an exit while a request is handled that was in the backlog
// when the listener was closed.
TEST_CASE("a stop waits for a request from the backlog")
{
  StoppingServer server;
  auto socket = server.Connect();
  Send(socket);
  server.Stop(Clock::now());
  server.RunUntilExit();
  CHECK(IsAnswered(StoppingServer::Received(socket)));
}

// Guards against an exit while a request is handled that had arrived unread on
// an idle connection when idle connections were closed.
TEST_CASE("a stop waits for a request that was unread on an idle connection")
{
  StoppingServer server;
  auto socket = server.Connect();
  server.RunFor(milliseconds(20));
  server.Stop(Clock::now());
  Send(socket);
  server.RunUntilExit();
  CHECK(IsAnswered(StoppingServer::Received(socket)));
}

// Guards against the close of a connection whose first request is on its way.
TEST_CASE("a stop waits for the first request of a new connection")
{
  StoppingServer server;
  auto socket = server.Connect();
  server.RunFor(milliseconds(20));
  server.Stop(Clock::now());
  server.RunFor(milliseconds(30)); // a round trip between failure domains
  ErrorCode error;
  asio::write(socket, asio::buffer(std::string(kRequest)), error);
  CHECK_FALSE(error);
  server.RunUntilExit();
  CHECK(IsAnswered(StoppingServer::Received(socket)));
}

// Guards against connections that are refused because a balancer with too few
// ready hosts goes on using a host that is stopping.
TEST_CASE("the listener closes once no connections come any more")
{
  const StopPolicy policy;
  const auto now = Clock::now();
  const auto schedule = PlanStop(policy, now, seconds(8));
  CHECK(schedule.mAcceptUntil == now + policy.mBalancerDelay);
  const auto later = schedule.mAcceptUntil + milliseconds(100);
  CHECK_FALSE(MayCloseListener(policy, schedule, now, now + seconds(1)));
  CHECK(MayCloseListener(policy, schedule, now, later));
  CHECK_FALSE(MayCloseListener(policy, schedule, later, later));
  CHECK(MayCloseListener(policy, schedule, later, later + policy.mQuietTime));
  CHECK(
    MayCloseListener(policy, schedule, schedule.mCloseBy, schedule.mCloseBy));
}

// Guards against a schedule that outlasts the grace period of the platform.
TEST_CASE("a stop is over within any grace period")
{
  const StopPolicy policy;
  const auto now = Clock::now();
  for (const auto grace : { 0, 100, 700, 1000, 2000, 8000, 60000 }) {
    const auto schedule = PlanStop(policy, now, milliseconds(grace));
    CHECK(schedule.mAcceptUntil <= schedule.mCloseBy);
    CHECK(schedule.mCloseBy <= schedule.mExitBy);
    CHECK(schedule.mExitBy <= now + milliseconds(grace));
    CHECK(schedule.mAcceptUntil >= now);
  }
}

// Guards against a caller that keeps a host from stopping.
TEST_CASE("a stop ends in time although a request never arrives whole")
{
  StoppingServer server;
  auto socket = server.Connect();
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n")));
  const auto started = Clock::now();
  server.Stop(started, milliseconds(400));
  server.RunUntilExit();
  CHECK(Clock::now() >= started + milliseconds(400));
}

} // namespace
} // namespace mangovalve
