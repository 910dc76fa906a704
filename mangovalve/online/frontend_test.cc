// Tests of the online HTTP frontend: answers, refusals, retries and draining.
#include "mangovalve/online/frontend.h"

#include "mangovalve/online/harness_test.h"

namespace mangovalve {
namespace {

using testing::Chunk;
using testing::Echo;
using testing::ErrorField;
using testing::FakeEndpoint;
using testing::FakeRequest;
using testing::Harness;
using testing::StreamHead;
using testing::WholeResponse;
using Connection = FakeEndpoint::Connection;

constexpr auto kPrompt = R"({"model":"hint-llm","prompt":"abc"})";
constexpr auto kStreamPrompt =
  R"({"model":"hint-llm","prompt":"abc","stream":true})";

// Closes the connection without an answer.
auto Drop(Connection& aConnection, const FakeRequest&) -> void
{
  aConnection.mClose = true;
}

auto FailWith(const std::string& aStatus) -> FakeEndpoint::Script
{
  return [=](Connection& aConnection, const FakeRequest& aRequest) {
    aConnection.Send("HTTP/1.1 " + aStatus + "\r\nX-Request-Id: " +
                     aRequest.Id() + "\r\nContent-Length: 2\r\n\r\n{}");
  };
}

// Address of an endpoint that refuses connections.
auto RefusingAddress() -> std::string
{
  const FakeEndpoint stopped(Echo);
  return stopped.Address();
}

TEST_CASE("plain and model requests are answered")
{
  const Harness harness({ Echo });
  const auto plain = harness.Post("/profile/7", R"({"a":1})");
  REQUIRE(plain);
  CHECK(plain->status == 200);
  CHECK(plain->body == R"({"a":1})");
  const auto model = harness.Post("/v1/completions", kPrompt);
  REQUIRE(model);
  CHECK(model->body == kPrompt);
  CHECK(model->get_header_value("X-Request-Id").size() == 32);
  const auto open = harness.Client().Get("/status");
  REQUIRE(open);
  CHECK(open->status == 200);
}

TEST_CASE("a streamed answer is delivered completely")
{
  const Harness harness({ [](Connection& aConnection,
                             const FakeRequest& aRequest) {
    aConnection.Send(StreamHead(aRequest.Id()) + Chunk("data: {\"t\":1}\n\n"));
    aConnection.Send(Chunk("data: [DONE]\n\n") + "0\r\n\r\n");
  } });
  const auto result = harness.Post("/v1/chat/completions",
                                   R"({"model":"hint-llm","stream":true,)"
                                   R"("messages":[]})");
  REQUIRE(result);
  CHECK(result->status == 200);
  CHECK(result->get_header_value("Content-Type") == "text/event-stream");
  CHECK(result->body == "data: {\"t\":1}\n\ndata: [DONE]\n\n");
}

// Guards against a caller that mistakes a truncated stream for a complete one.
TEST_CASE("a truncated stream ends with an error and without its last chunk")
{
  const Harness harness({ [](Connection& aConnection,
                             const FakeRequest& aRequest) {
    aConnection.Send(StreamHead(aRequest.Id()) + Chunk("data: {\"t\":1}\n\n"));
    aConnection.mClose = true;
  } });
  const auto result = harness.Client().Post(
    "/v1/completions",
    httplib::Headers{ { "Authorization", "Bearer key-reader" } },
    kStreamPrompt,
    "application/json");
  CHECK_FALSE(result);
  CHECK(harness.RequestsReceived() == 1);
}

// Guards against a hop that is missing from a trace, and against a retry that
// is not part of it.
TEST_CASE("every hop of a request is a span of the caller's trace")
{
  constexpr auto kTrace = "5bd66ef5095369c7b0d1f8f4bd33716a";
  const Harness harness({ FailWith("500 Error"), Echo });
  auto client = harness.Client();
  const auto result = client.Post(
    "/profile",
    httplib::Headers{
      { "Authorization", "Bearer key-reader" },
      { "traceparent", std::string("00-") + kTrace + "-c532cb4098ac3dd2-01" } },
    "{}",
    "application/json");
  REQUIRE(result);
  std::map<std::string, int> hops;
  for (const auto& line : RecentSpans()) {
    for (const auto* const hop : { "limits", "queue", "endpoint" }) {
      if (line.find(kTrace) != std::string::npos &&
          line.find(std::string(" hop=") + hop) != std::string::npos) {
        ++hops[hop];
      }
    }
  }
  CHECK(hops["limits"] == 1);
  CHECK(hops["queue"] >= 1);
  CHECK(hops["queue"] == hops["endpoint"]);
}

// Guards against a key that is forwarded to an endpoint in a header or the
// target.
TEST_CASE("keys are not forwarded to endpoints")
{
  absl::Mutex mutex;
  std::string seen;
  const Harness harness(
    { [&](Connection& aConnection, const FakeRequest& aRequest) {
      const absl::MutexLock lock(&mutex);
      seen += aRequest.mLine;
      for (const auto& [name, value] : aRequest.mHeaders) {
        seen += name + ":" + value + "\n";
      }
      Echo(aConnection, aRequest);
    } });
  for (const auto* const path : { "/profile?q=1&api_key=key-reader",
                                  "/profile?x=key-reader",
                                  "/profile?x=key%2Dreader" }) {
    const auto result = harness.Post(path,
                                     "{}",
                                     { { "Cookie", "api_key=key-reader" },
                                       { "X-Api-Key", "key-reader" },
                                       { "Accept", "key-reader" } });
    REQUIRE(result);
    CHECK(result->status == 200);
  }
  const absl::MutexLock lock(&mutex);
  CHECK(seen.find("key-reader") == std::string::npos);
  CHECK(seen.find("key%2Dreader") == std::string::npos);
  CHECK(seen.find("q=1") != std::string::npos);
}

// Guards against invalid input that is forwarded to an endpoint or is refused
// without a reason.
TEST_CASE("refusals give a reason and are not run")
{
  Harness harness({ Echo });
  struct Case
  {
    std::string mPath;
    std::string mBody;
    httplib::Headers mHeaders;
    int mStatus;
    std::string mReason;
  };
  const std::vector<Case> cases = {
    { "/nowhere", "{}", {}, 404, "no_route" },
    { "/profilex", "{}", {}, 404, "no_route" },
    { "/profile/../private", "{}", {}, 400, "bad_path" },
    { "/profile/%2e%2e/private", "{}", {}, 400, "bad_path" },
    { "/profile", "{}", { { "Authorization", "Bearer x" } }, 401, "bad_key" },
    { "/profile", "{}", { { "Authorization", "" } }, 401, "no_key" },
    { "/private", "{}", {}, 403, "team_not_allowed" },
    { "/v1/completions", "{", {}, 400, "bad_body" },
    { "/v1/completions", "{}", {}, 400, "bad_body" },
    { "/v1/completions", R"({"model":"hint-llm"})", {}, 400, "bad_body" },
    { "/v1/completions", R"({"model":"x","prompt":""})", {}, 404, "no_model" },
    { "/v1/completions",
      R"({"model":"hint-llm","prompt":"","max_tokens":-1})",
      {},
      400,
      "bad_body" },
    { "/v1/completions",
      R"({"model":"hint-llm","prompt":"","stream":"yes"})",
      {},
      400,
      "bad_body" },
    { "/profile",
      "{}",
      { { "X-Request-Timeout-Ms", "0" } },
      400,
      "bad_timeout" },
    { "/profile",
      "{}",
      { { "X-Big", std::string(6000, 'x') },
        { "X-Big", std::string(6000, 'x') },
        { "X-Big", std::string(6000, 'x') },
        { "X-Big", std::string(6000, 'x') },
        { "X-Big", std::string(6000, 'x') },
        { "X-Big", std::string(6000, 'x') } },
      431,
      "headers_too_large" },
    { "/profile", std::string(65 << 10, 'x'), {}, 413, "body_too_large" },
    { "/orders",
      "{}",
      { { "Idempotency-Key", std::string(129, 'k') } },
      400,
      "bad_idempotency_key" },
  };
  for (const auto& each : cases) {
    CAPTURE(each.mPath);
    CAPTURE(each.mReason);
    const auto result = harness.Post(each.mPath, each.mBody, each.mHeaders);
    REQUIRE(result);
    CHECK(result->status == each.mStatus);
    CHECK(ErrorField(result, "reason") == each.mReason);
    CHECK(ErrorField(result, "run") == "not_run");
  }
  harness.mOverRate = true;
  const auto limited = harness.Post("/profile", "{}");
  CHECK(limited->status == 429);
  CHECK(ErrorField(limited, "reason") == "over_rate");
  CHECK(ErrorField(limited, "retry_after_ms") == "40");
  CHECK(limited->get_header_value("Retry-After") == "1");
  CHECK(harness.RequestsReceived() == 0);
}

TEST_CASE("an idempotent request is retried at another endpoint")
{
  const Harness harness({ Drop, FailWith("500 Error"), Echo });
  for (auto i = 0; i < 4; ++i) {
    const auto result = harness.Post("/profile", "{}");
    REQUIRE(result);
    CHECK(result->status == 200);
  }
}

// Guards against errors for callers when all existing connections are half-open
// while new ones work.
TEST_CASE("idempotent requests succeed although old connections are half-open")
{
  std::atomic<bool> oldSilent{ false };
  Harness harness({ [&](Connection& aConnection, const FakeRequest& aRequest) {
    if (oldSilent && aRequest.mConnection == 1) {
      aConnection.StopResponding();
    }
    Echo(aConnection, aRequest);
  } });
  REQUIRE(harness.Post("/profile", "{}")->status == 200);
  oldSilent = true;
  harness.mDocument.mRoutes["profile"].mFirstByteTimeout =
    std::chrono::milliseconds(300);
  for (auto i = 0; i < 5; ++i) {
    const auto result = harness.Post("/profile", "{}");
    REQUIRE(result);
    CHECK(result->status == 200);
  }
  CHECK(harness.mEndpoints[0]->Connections() == 2);
}

// Guards against a second run of a request that may not be repeated.
TEST_CASE("a non-idempotent request is not retried after it was sent")
{
  const Harness harness({ Drop, Drop, Drop });
  const auto result = harness.Post("/orders", "{}");
  REQUIRE(result);
  CHECK(result->status == 502);
  CHECK(ErrorField(result, "reason") == "answer_cut");
  CHECK(ErrorField(result, "run") == "unknown");
  CHECK(harness.RequestsReceived() == 1);
}

TEST_CASE("a non-idempotent request is retried after refused connections")
{
  Harness harness({ Echo });
  std::vector<EndpointHint> hints{
    { "app", harness.mEndpoints[0]->Address(), "a", false }
  };
  for (auto i = 0; i < 2; ++i) {
    hints.push_back({ "app", RefusingAddress(), "a", false });
  }
  harness.mSet.ApplyHostList(hints);
  for (auto i = 0; i < 10; ++i) {
    const auto result = harness.Post("/orders", "{}");
    REQUIRE(result);
    CHECK(result->status == 200);
  }
  CHECK(harness.RequestsReceived() == 10);
}

// Guards against "not run" for a request whose first attempt may have run, when
// the connection of the last attempt was refused.
TEST_CASE("a refusal after a sent attempt is not reported as not run")
{
  Harness harness({ Drop });
  // Covers both orders of the random choice: the endpoint that closes the
  // connection comes first or second.
  for (auto i = 0; i < 20; ++i) {
    harness.mSet.ApplyHostList(
      { { "app", harness.mEndpoints[0]->Address(), "a", true } });
    harness.mSet.ApplyHostList(
      { { "app", harness.mEndpoints[0]->Address(), "a", false },
        { "app", RefusingAddress(), "a", false } });
    const auto before = harness.RequestsReceived();
    const auto result = harness.Post("/profile", "{}");
    REQUIRE(result);
    const auto sent = harness.RequestsReceived() > before;
    CHECK(ErrorField(result, "run") == (sent ? "unknown" : "not_run"));
  }
}

// Guards against requests to an endpoint that has announced its departure while
// the host list still contains it as live.
TEST_CASE("an endpoint that answers that it is leaving gets no new requests")
{
  const auto leaving = [](Connection& aConnection,
                          const FakeRequest& aRequest) {
    const std::string body = R"({"error":{"reason":"leaving"}})";
    aConnection.Send(
      "HTTP/1.1 503 Unavailable\r\nX-Request-Id: " + aRequest.Id() +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  };
  const Harness harness({ leaving, Echo });
  for (auto i = 0; i < 20; ++i) {
    const auto result = harness.Post("/profile", "{}");
    REQUIRE(result);
    CHECK(result->status == 200);
  }
  CHECK(harness.mEndpoints[0]->Requests() <= 1);
}

// Guards against an answer that is returned to another request's caller.
TEST_CASE("an answer to another request is an error")
{
  const auto crossed = [](Connection& aConnection, const FakeRequest&) {
    aConnection.Send(WholeResponse("someone-else", "{\"secret\":1}"));
  };
  const Harness harness({ crossed, crossed });
  const auto result = harness.Post("/orders", "{}");
  REQUIRE(result);
  CHECK(result->status == 502);
  CHECK(ErrorField(result, "reason") == "answer_of_another_request");
}

// Guards against running requests that are aborted, and new ones that are
// accepted, when a host shuts down.
TEST_CASE("a drain lets running requests finish and refuses new ones")
{
  absl::Notification reached;
  absl::Notification proceed;
  auto options = Harness::SmallFrontend();
  options.mDrain.mAcceptFor = Duration::zero();
  Harness harness({ [&](Connection& aConnection, const FakeRequest& aRequest) {
                    if (aRequest.mNumber == 1) {
                      reached.Notify();
                      proceed.WaitForNotification();
                    }
                    Echo(aConnection, aRequest);
                  } },
                  options);
  auto status = 0;
  Thread running("caller", [&] {
    const auto result = harness.Post("/profile", "{}");
    status = result ? result->status : -1;
  });
  reached.WaitForNotification();
  CHECK(harness.mFrontend->CurrentDrainPhase() == DrainPhase::Serving);
  harness.mFrontend->Drain();
  CHECK(harness.mFrontend->CurrentDrainPhase() == DrainPhase::Refusing);
  const auto refused = harness.Post("/profile", "{}");
  CHECK(refused->status == 503);
  CHECK(ErrorField(refused, "reason") == "draining");
  CHECK(ErrorField(refused, "run") == "not_run");
  proceed.Notify();
  running.Join();
  CHECK(status == 200);
  CHECK(harness.mFrontend->CurrentDrainPhase() == DrainPhase::Done);
}

// Guards against a stream that is aborted because the server stops.
TEST_CASE("a drain is not complete while a stream runs")
{
  absl::Notification proceed;
  auto options = Harness::SmallFrontend();
  options.mDrain.mAcceptFor = Duration::zero();
  Harness harness({ [&](Connection& aConnection, const FakeRequest& aRequest) {
                    aConnection.Send(StreamHead(aRequest.Id()) +
                                     Chunk("data: {}\n\n"));
                    proceed.WaitForNotification();
                    aConnection.Send(Chunk("data: [DONE]\n\n") + "0\r\n\r\n");
                  } },
                  options);
  absl::Notification began;
  std::string body;
  Thread caller("caller", [&] {
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = { { "Authorization", "Bearer key-reader" },
                        { "Content-Type", "application/json" } };
    request.body = kStreamPrompt;
    request.content_receiver =
      [&](const char* aData, std::size_t aSize, std::uint64_t, std::uint64_t) {
        body.append(aData, aSize);
        if (!began.HasBeenNotified()) {
          began.Notify();
        }
        return true;
      };
    static_cast<void>(harness.Client().send(request));
  });
  began.WaitForNotification();
  harness.mFrontend->Drain();
  CHECK(harness.mFrontend->CurrentDrainPhase() == DrainPhase::Refusing);
  proceed.Notify();
  caller.Join();
  CHECK(body == "data: {}\n\ndata: [DONE]\n\n");
}

// Guards against a connection that waits for a worker and is closed by the stop
// of the server, although its request has been sent.
TEST_CASE("a drain is not complete while a connection waits for a worker")
{
  auto options = Harness::SmallFrontend();
  options.mWorkers = 1;
  options.mDrain.mAcceptFor = Duration::zero();
  Harness harness({ Echo }, options);
  // The only worker stays with this connection until its keep-alive timeout.
  auto idle = harness.Client();
  idle.set_keep_alive(true);
  REQUIRE(idle.Get("/status"));
  CHECK(harness.mFrontend->UnansweredConnections() == 0);
  std::optional<httplib::Result> result;
  Thread waiting("caller",
                 [&] { result.emplace(harness.Post("/profile", "{}")); });
  while (harness.mFrontend->UnansweredConnections() == 0) {
    absl::SleepFor(absl::Milliseconds(1));
  }
  harness.mFrontend->Drain();
  while (harness.mFrontend->CurrentDrainPhase() != DrainPhase::Done) {
    absl::SleepFor(absl::Milliseconds(1));
  }
  harness.mServer.stop();
  waiting.Join();
  REQUIRE(*result);
  CHECK((*result)->status == 503);
  CHECK(ErrorField(*result, "reason") == "draining");
  CHECK(ErrorField(*result, "run") == "not_run");
  CHECK(harness.mFrontend->UnansweredConnections() == 0);
}

} // namespace
} // namespace mangovalve
