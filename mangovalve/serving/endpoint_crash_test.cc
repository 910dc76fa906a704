// Tests of the recognition of crashed endpoints, with sockets on loopback.
#include "mangovalve/serving/endpoint_crash.h"

#include <doctest/doctest.h>

#include "standins/common/free_address.h"

namespace mangovalve {
namespace {

using standin::FreeAddress;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Ends a case that hangs; generous, since the machine may be busy.
constexpr auto kCaseDeadline = seconds(40);

constexpr auto kRanFor = milliseconds(50);

struct Setup
{
  asio::io_context mLoop{ 1 };
  ServingState mState{ mLoop };
  EndpointPtr mEndpoint = std::make_shared<Endpoint>();

  Setup()
  {
    mState.mDocument = std::make_shared<ServingDocument>();
    mEndpoint->mRegistration.mId = "e1";
    mEndpoint->mRegistration.mAddress = FreeAddress();
  }

  auto Listen(Tcp::acceptor& aAcceptor) -> void
  {
    const auto address = ParseAddress(mEndpoint->mRegistration.mAddress);
    REQUIRE(address);
    aAcceptor.open(address->protocol());
    aAcceptor.set_option(Tcp::acceptor::reuse_address(true));
    aAcceptor.bind(*address);
    aAcceptor.listen();
  }

  // Result of RecordIfCrashed for a run with these parts.
  auto Examine(std::vector<PartHash> aParts) -> bool
  {
    const auto now = Clock::now();
    LostRun run{ "r1", now - kRanFor, now, std::move(aParts) };
    std::optional<bool> crashed;
    Spawn(
      mLoop,
      [](Setup& aSetup, LostRun aRun, std::optional<bool>& aInto) -> Task<> {
        aInto = co_await RecordIfCrashed(
          aSetup.mState, aSetup.mEndpoint, std::move(aRun), TimePoint::max());
      }(*this, std::move(run), crashed));
    const auto deadline = Clock::now() + kCaseDeadline;
    while (!crashed) {
      REQUIRE(Clock::now() < deadline);
      mLoop.run_for(milliseconds(5));
    }
    return *crashed;
  }
};

// Guards against crashes that leave no evidence.
TEST_CASE("an endpoint that refuses connections has crashed")
{
  Setup setup;
  CHECK(setup.Examine({ 7, 3, 7 }));
  REQUIRE(setup.mState.mSuspects.mRuns.size() == 1);
  const auto& run = setup.mState.mSuspects.mRuns[0];
  CHECK(run.mParts == PartSet{ 3, 7 });
  CHECK(run.mAt - run.mSentAt == kRanFor);
  CHECK(setup.mEndpoint->mHealth.mConsecutiveRefusals == 1);
}

// Guards against a request that is not recognized when it comes again, and
// against others that are taken for it.
TEST_CASE("a request is identified by its team, method, target and body")
{
  RequestMetadata metadata;
  metadata.mHost = "h";
  Request request(http::verb::post, "/p?q=1", 11);
  request.body() = "body";
  const auto hash = WholeRequestHash(metadata, request, "red");
  CHECK(IsWholeRequest(hash));
  auto repeated = request;
  repeated.set("Request-Id", "another");
  metadata.mId = "another";
  CHECK(WholeRequestHash(metadata, repeated, "red") == hash);
  CHECK(WholeRequestHash(metadata, request, "blue") != hash);
  auto other = request;
  other.body() = "other";
  CHECK(WholeRequestHash(metadata, other, "red") != hash);
  other = request;
  other.target("/p?q=2");
  CHECK(WholeRequestHash(metadata, other, "red") != hash);
  other = request;
  other.method(http::verb::put);
  CHECK(WholeRequestHash(metadata, other, "red") != hash);
  metadata.mHost = "i";
  CHECK(WholeRequestHash(metadata, request, "red") != hash);
}

// Guards against evidence of requests that share nothing with others.
TEST_CASE("a run without shared parts is no evidence")
{
  Setup setup;
  CHECK_FALSE(setup.Examine({}));
  CHECK(setup.mState.mSuspects.mRuns.empty());
}

// Guards against requests that are accused after a reset of their connection.
TEST_CASE("an endpoint that accepts connections has not crashed")
{
  Setup setup;
  Tcp::acceptor acceptor(setup.mLoop);
  setup.Listen(acceptor);
  CHECK_FALSE(setup.Examine({ 3 }));
  CHECK(setup.mState.mSuspects.mRuns.empty());
  CHECK(setup.mEndpoint->mHealth.mConsecutiveRefusals == 0);
}

// Guards against a crash that is missed because the process closes its
// connections before its listener.
TEST_CASE("an endpoint whose listener outlives its connections has crashed")
{
  Setup setup;
  Tcp::acceptor acceptor(setup.mLoop);
  setup.Listen(acceptor);
  Spawn(setup.mLoop, [](Tcp::acceptor& aAcceptor) -> Task<> {
    auto socket = co_await aAcceptor.async_accept(asio::use_awaitable);
    aAcceptor.close();
    socket.close();
  }(acceptor));
  CHECK(setup.Examine({ 3 }));
  CHECK(setup.mState.mSuspects.mRuns.size() == 1);
}

// Guards against requests that are accused when an endpoint stops as planned.
TEST_CASE("an endpoint that is leaving or removed has not crashed")
{
  for (const auto reason : { 0, 1, 2 }) {
    Setup setup;
    setup.mEndpoint->mRemoved = reason == 0;
    setup.mEndpoint->mRegistration.mLeaving = reason == 1;
    if (reason == 2) {
      setup.mEndpoint->mHealth.mLeavingUntil = Clock::now() + seconds(60);
    }
    CHECK_FALSE(setup.Examine({ 3 }));
    CHECK(setup.mState.mSuspects.mRuns.empty());
  }
}

// Guards against accusations after time-outs and connections closed here.
TEST_CASE("only errors that the endpoint causes are a lost connection")
{
  CHECK(EndedByEndpoint(http::error::end_of_stream));
  CHECK(EndedByEndpoint(http::error::partial_message));
  CHECK(EndedByEndpoint(asio::error::connection_reset));
  CHECK(EndedByEndpoint(asio::error::broken_pipe));
  CHECK_FALSE(EndedByEndpoint(ErrorCode()));
  CHECK_FALSE(EndedByEndpoint(beast::error::timeout));
  CHECK_FALSE(EndedByEndpoint(asio::error::timed_out));
  CHECK_FALSE(EndedByEndpoint(asio::error::operation_aborted));
  CHECK_FALSE(EndedByEndpoint(http::error::bad_chunk));
}

// Guards against a Retry-After before the end of the quarantine.
TEST_CASE("the quarantine of a request ends with the last one that applies")
{
  const TimePoint now{ seconds(100) };
  CrashSuspects suspects;
  suspects.mQuarantines = { { { 1, 2 }, now, now + seconds(20) },
                            { { 3 }, now, now + seconds(10) },
                            { { 4 }, now, now + seconds(30) } };
  const std::vector<PartHash> both{ 3, 2, 1 };
  const std::vector<PartHash> some{ 2, 5 };
  CHECK(QuarantinedUntil(suspects, both, now) == now + seconds(20));
  CHECK_FALSE(QuarantinedUntil(suspects, some, now));
  CHECK_FALSE(QuarantinedUntil(suspects, both, now + seconds(20)));
}

} // namespace
} // namespace mangovalve
