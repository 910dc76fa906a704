// Tests of job uploads, the HTTP frontend, the worker's threads and re-append.
#include "mangovalve/batch/frontend.h"

#include <thread>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "mangovalve/base/thread.h"
#include "mangovalve/batch/fake_log_test.h"
#include "mangovalve/batch/reappend.h"
#include "mangovalve/batch/worker.h"

namespace mangovalve {
namespace {

using namespace batch_fake;

const JobKey kKey{ "team-a", "night" };

// Fault of a host's appends, from commit number mFaultAt on.
enum class Fault : std::uint8_t
{
  None,
  NotAppended,       // refused without an attempt
  Unanswered,        // attempted, not applied, no response
  AppliedUnanswered, // the first is applied, no response
  AppliedLate,       // the first is applied late, no response
  // The first is applied late without a response, the others are refused.
  AppliedLateThenRefused,
};

// A host with its own replica of a shared log.
struct TestHost
{
  explicit TestHost(FakeLog& aLog)
    : mLog(aLog)
  {
    mPorts.mJournal.mCommit = [this](const RecordDraft& aDraft,
                                     CommitPriority,
                                     TimePoint) { return Commit(aDraft); };
    mPorts.mJournal.mFetch = [this](Offset aOffset, TimePoint) {
      const absl::MutexLock lock(&mMutex);
      return Fetch(mLog, aOffset);
    };
    mPorts.mRead = [this](const auto& aBody) {
      const absl::MutexLock lock(&mMutex);
      ReplayAll(mReplica, mLog);
      aBody(mReplica.mState, mHolders);
    };
    mPorts.mNow = [this] {
      return TimePoint{} + std::chrono::seconds(mCommits * 10);
    };
    mPorts.mLogTime = [this] { return mLog.mTime; };
    mPorts.mTeam = [](const httplib::Request& aRequest) {
      const auto key = aRequest.get_header_value("Authorization");
      return key.empty() ? std::nullopt : std::optional<std::string>(key);
    };
    auto document = std::make_shared<Document>();
    document->mTeams["team-a"].mMaxJobs = 1;
    document->mRoutes["hints"].mService = "service";
    document->mRoutes["orders"].mIdempotent = false;
    document->mRoutes["private"].mTeams = { "team-z" };
    mPorts.mDocument = [document] { return document; };
  }

  auto Commit(const RecordDraft& aDraft) -> Result<Committed, JournalError>
  {
    using Kind = JournalError::Kind;
    const absl::MutexLock lock(&mMutex);
    const auto number = mCommits++;
    if (mFault == Fault::None || number < mFaultAt) {
      return Committed{ {}, CommitNow(mLog, mReplica, aDraft) };
    }
    if (number == mFaultAt && mFault == Fault::AppliedUnanswered) {
      Append(mLog, { aDraft });
    }
    if (number == mFaultAt && (mFault == Fault::AppliedLate ||
                               mFault == Fault::AppliedLateThenRefused)) {
      mLate.push_back(aDraft);
    }
    const auto refused =
      mFault == Fault::NotAppended ||
      (mFault == Fault::AppliedLateThenRefused && number > mFaultAt);
    return Err(JournalError{ refused ? Kind::NotAppended : Kind::OutcomeUnknown,
                             "no contact" });
  }

  FakeLog& mLog;
  absl::Mutex mMutex;
  Replica mReplica;
  Holders mHolders{ "a@1" };
  BatchPorts mPorts;
  Fault mFault = Fault::None;
  std::atomic<int> mFaultAt{ 0 };
  std::atomic<int> mCommits{ 0 };
  std::vector<RecordDraft> mLate;
};

auto Line(const std::string& aId, const std::string& aBody) -> std::string
{
  return R"({"custom_id":")" + aId + R"(","body":{"x":")" + aBody + "\"}}\n";
}

// Three items of one record each, which makes five commits.
auto LargeJob() -> std::string
{
  const std::string large(200000, 'x');
  return Line("a", large) + Line("b", large) + Line("c", large);
}

auto Submit(TestHost& aHost, const std::string& aBody) -> JobReply
{
  JobOptions options;
  options.mRoute = "hints";
  JobUpload upload(aHost.mPorts, kKey, options);
  for (std::size_t i = 0; i < aBody.size(); i += 70001) {
    upload.Add(std::string_view(aBody).substr(i, 70001));
  }
  return upload.Finish();
}

auto Reason(const JobReply& aReply) -> std::string
{
  const auto json = nlohmann::json::parse(aReply.mBody);
  return json.contains("error") ? json["error"]["reason"].get<std::string>()
                                : std::string{};
}

// Guards against a job that is acknowledged but not stored, refused as not run
// but stored, or accepted twice, when the host or its contact to the log fails
// at any append.
TEST_CASE("a fault at any append leaves no wrong acknowledgement or refusal")
{
  for (const auto fault : { Fault::NotAppended,
                            Fault::Unanswered,
                            Fault::AppliedUnanswered,
                            Fault::AppliedLate,
                            Fault::AppliedLateThenRefused }) {
    for (auto at = 0; at <= 5; ++at) {
      CAPTURE(static_cast<int>(fault));
      CAPTURE(at);
      FakeLog log;
      TestHost first(log);
      TestHost second(log);
      first.mFault = fault;
      first.mFaultAt = at;
      const auto reply = Submit(first, LargeJob());
      const auto sealed = Submit(second, Line("never", "sent")).mStatus == 409;
      if (at == 5) {
        CHECK(reply.mStatus == 200);
        CHECK(sealed);
        continue;
      }
      CHECK(reply.mStatus == (fault == Fault::NotAppended ? 503 : 202));
      CHECK(sealed == (at == 4 && fault == Fault::AppliedUnanswered));
    }
  }
}

// Guards against a second job, or one that mixes two uploads, after a resend.
TEST_CASE("late appends of a previous upload do not change the job")
{
  for (const auto fault : { Fault::Unanswered, Fault::AppliedLate }) {
    for (auto at = 0; at < 5; ++at) {
      CAPTURE(at);
      FakeLog log;
      TestHost first(log);
      TestHost second(log);
      first.mFault = fault;
      first.mFaultAt = at;
      CHECK(Submit(first, LargeJob()).mStatus == 202);
      CHECK(Submit(second, LargeJob()).mStatus == 200);
      const auto before = second.mReplica.mState.mJobs.at(kKey).mOpened;
      Append(log, first.mLate);
      CHECK(Submit(first, LargeJob()).mStatus == 200);
      CHECK(Submit(second, LargeJob() + Line("d", "more")).mStatus == 409);
      CHECK(first.mReplica.mState.mJobs.at(kKey).mOpened == before);
      CHECK(first.mReplica.mState.mJobs.at(kKey).mItemCount == 3);
      CHECK(first.mReplica.mState.mJobs.size() == 1);
    }
  }
}

// Guards against accepting items that cannot be run, and against unbounded
// input.
TEST_CASE("malformed bodies are refused with the line number")
{
  FakeLog log;
  TestHost host(log);
  const auto good = Line("a", "1");
  CHECK(Reason(Submit(host, "")) == "no_items");
  CHECK(Reason(Submit(host, good + "nonsense\n")) == "bad_item");
  CHECK(Reason(Submit(host, good + "{\"custom_id\":7,\"body\":{}}")) ==
        "bad_item");
  CHECK(Reason(Submit(host, good + Line("", "1"))) == "bad_item");
  CHECK(Reason(Submit(host, good + good)) == "duplicate_custom_id");
  CHECK(Reason(Submit(host, Line("b", std::string(kMaxItemBytes, 'x')))) ==
        "item_too_large");
  CHECK(Reason(Submit(host, std::string(3 * kMaxItemBytes, 'x'))) ==
        "item_too_large");
  const auto reply = Submit(host, good + "\n" + good.substr(0, 9));
  CHECK(reply.mBody.find("line 2") != std::string::npos);
  CHECK(host.mCommits == 0);
  std::string many;
  for (std::uint32_t i = 0; i <= kMaxJobItems; ++i) {
    many += Line(std::to_string(i), "");
  }
  CHECK(Reason(Submit(host, many)) == "too_many_items");
  CHECK(host.mReplica.mState.mJobs.empty());
}

TEST_CASE("job options are validated against the document")
{
  FakeLog log;
  TestHost host(log);
  const auto parse = [&](httplib::Params aQuery) {
    return ParseJobOptions(*host.mPorts.mDocument(), "team-a", aQuery);
  };
  CHECK(parse({ { "route", "nowhere" } }).error().mStatus == 404);
  CHECK(parse({ { "route", "private" } }).error().mStatus == 403);
  CHECK(parse({ { "route", "hints" }, { "model", "m" } }).error().mStatus ==
        404);
  CHECK(
    parse({ { "route", "hints" }, { "chunk_size", "0" } }).error().mStatus ==
    400);
  CHECK(parse({ { "route", "hints" } })->mRepeatable);
  CHECK_FALSE(
    parse({ { "route", "hints" }, { "repeatable", "false" } })->mRepeatable);
  CHECK_FALSE(
    parse({ { "route", "orders" }, { "repeatable", "true" } })->mRepeatable);
}

// Guards against responses that look complete although results could not be
// read, and against access to the jobs of another team.
TEST_CASE("jobs are submitted, read and cancelled over HTTP")
{
  FakeLog log;
  TestHost host(log);
  httplib::Server server;
  AddJobRoutes(server, host.mPorts);
  const auto port = server.bind_to_any_port("127.0.0.1");
  Thread thread("http-test", [&] { server.listen_after_bind(); });
  httplib::Client client("127.0.0.1", port);
  const httplib::Headers key{ { "Authorization", "team-a" } };
  const auto body = Line("a", "1") + Line("b", "2") + Line("c", "3");
  const std::string submit = "/v1/jobs/night?route=hints&chunk_size=2";

  CHECK(client.Post(submit, body, "application/jsonl")->status == 401);
  CHECK(client.Post(submit, key, body, "application/jsonl")->status == 200);
  CHECK(client.Post(submit, key, body, "application/jsonl")->status == 200);
  CHECK(
    client.Post("/v1/jobs/other?route=hints", key, body, "application/jsonl")
      ->status == 429);
  CHECK(
    client.Get("/v1/jobs/night", { { "Authorization", "team-b" } })->status ==
    404);

  CommitNow(log,
            host.mReplica,
            DraftItemResults(
              kKey,
              1,
              0,
              0,
              { { 2, record::ItemStatus::Done, 1, 200, "c", R"({"y":3})" } }));
  CommitNow(log,
            host.mReplica,
            DraftItemResults(
              kKey,
              0,
              0,
              0,
              { { 1, record::ItemStatus::Failed, 3, 500, "b", "no\xff" } }));
  const auto status =
    nlohmann::json::parse(client.Get("/v1/jobs/night", key)->body);
  CHECK(status["pending"] == 1);
  CHECK(status["done"] == 1);
  const auto results = client.Get("/v1/jobs/night/results", key);
  REQUIRE(results);
  CHECK(std::count(results->body.begin(), results->body.end(), '\n') == 2);
  CHECK(results->body.find("\"b\"") < results->body.find("\"c\""));
  const auto rest = client.Get("/v1/jobs/night/results?from=2", key);
  CHECK(nlohmann::json::parse(rest->body)["body"]["y"] == 3);

  log.mFirst = log.mEntries.size();
  CHECK_FALSE(client.Get("/v1/jobs/night/results?from=2", key));
  CHECK(client.Post("/v1/jobs/night/cancel", key, "", "")->status == 200);
  CHECK(nlohmann::json::parse(
          client.Get("/v1/jobs/night", key)->body)["state"] == "cancelled");
  CHECK(client.Post("/v1/jobs/none/cancel", key, "", "")->status == 404);
  server.stop();
}

// Guards against worker threads that drop an action or its result.
TEST_CASE("the worker's threads finish a job and drain")
{
  FakeLog log;
  TestHost host(log);
  CHECK(Submit(host, Line("a", "1") + Line("b", "2")).mStatus == 200);
  host.mPorts.mStreamLimits = [] {
    return std::vector<StreamLimit>{ { "endpoint", "service", "", 2 } };
  };
  host.mPorts.mMayUseRoles = [] { return true; };
  host.mPorts.mDispatch = [](const BatchDispatch& aDispatch, const StopFlag&) {
    return DispatchOutcome{
      DispatchOutcome::Kind::Answered, 200, aDispatch.mBody, {}
    };
  };
  WorkerSettings settings;
  settings.mHolder = "a@1";
  Worker worker(host.mPorts, settings);
  while (JobStatus(host.mPorts, kKey).mBody.find("finished") ==
         std::string::npos) {
    std::this_thread::yield();
  }
  CHECK(worker.Drain(host.mPorts.mNow() + std::chrono::hours(1)));
  const auto lines = ChunkResults(host.mPorts, kKey, 0, 0);
  REQUIRE(lines);
  CHECK(lines->find(R"("body":{"x":"1"})") != std::string::npos);
  CHECK(lines->find(R"("body":{"x":"2"})") != std::string::npos);
}

// Guards against bodies and results that retention drops while they are needed.
TEST_CASE("needed records are re-appended before retention drops them")
{
  FakeLog log;
  TestHost host(log);
  const JobKey open{ "team-b", "open" };
  const auto begin = LogTime(std::chrono::hours(1));
  log.mTime = begin;
  JobOptions options;
  options.mRoute = "hints";
  options.mChunkSize = 4;
  SealJob(log, host.mReplica, kKey, options, 4);
  SealJob(log, host.mReplica, open, options, 4);
  std::vector<ItemOutcome> outcomes;
  for (const auto& item : TestItems(4)) {
    outcomes.push_back(
      { item.mIndex, record::ItemStatus::Done, 1, 200, "c", item.mBody });
  }
  // The second record repeats items of the first, which must remain the first.
  const std::vector<ItemOutcome> early(outcomes.begin(), outcomes.begin() + 2);
  CommitNow(log, host.mReplica, DraftItemResults(kKey, 0, 0, 0, early));
  CommitNow(log, host.mReplica, DraftItemResults(kKey, 0, 0, 0, outcomes));
  CommitNow(log, host.mReplica, DraftItemResults(open, 0, 0, 0, early));
  // The log retains 24 h; the host re-appends once an hour for three days.
  std::vector<Offset> hourly;
  for (auto hour = 0; hour < 71; ++hour) {
    log.mTime += std::chrono::hours(1);
    hourly.push_back(log.mEntries.size() + 1);
    CommitNow(log, host.mReplica, DraftJobCancelled({ "none", "none" }));
    if (hour >= 24) {
      log.mFirst = hourly[static_cast<std::size_t>(hour) - 24];
    }
    ReappendRound(host.mPorts, "a@1", 100, host.mPorts.mNow());
  }
  const auto& job = host.mReplica.mState.mJobs.at(kKey);
  CHECK(ReadableResults(log, job).size() == 4);
  const auto& unfinished = host.mReplica.mState.mJobs.at(open);
  CHECK(ReadableResults(log, unfinished).size() == 2);
  REQUIRE(unfinished.mBodies.size() == 1);
  const auto batch = Fetch(log, OffsetOf(unfinished.mBodies[0].mPosition));
  REQUIRE(batch);
  CHECK(ReadItems(*batch, unfinished.mBodies[0].mPosition)->at(3).mCustomId ==
        "c3");
  // Each of the four records is copied every 12 h, not more often.
  CHECK(log.mEntries.size() < 9 + 71 + 4 * 6 + 1);
}

// Guards against an outdated copy that replaces a newer one, and against two
// hosts that re-append the records of the same job.
TEST_CASE("a re-appended copy replaces only the current record")
{
  FakeLog log;
  Replica replica;
  JobOptions options;
  options.mRoute = "hints";
  SealJob(log, replica, kKey, options, 2);
  const std::vector<ItemOutcome> done{
    { 0, record::ItemStatus::Done, 1, 200, "c", "first" }
  };
  CommitNow(log, replica, DraftItemResults(kKey, 0, 0, 0, done));
  const auto& job = replica.mState.mJobs.at(kKey);
  const auto source = ResultPositions(job, 0)[0];
  const auto copy = DraftItemResults(kKey, 0, 0, source, done);
  CHECK(CommitNow(log, replica, copy).mAccepted);
  const auto current = ResultPositions(job, 0);
  CHECK(current.size() == 1);
  CHECK(CommitNow(log, replica, DraftItemResults(kKey, 0, 0, source, done))
          .mReason == "not_current");
  CHECK(ResultPositions(job, 0) == current);
  CHECK(job.mDone == 1);
  const Holders holders{ "a@1", "b@2", "c@3" };
  auto owners = 0;
  for (const auto& holder : holders) {
    owners += ReappendsFor(holders, holder, kKey) ? 1 : 0;
  }
  CHECK(owners == 1);
  CHECK_FALSE(ReappendsFor(holders, "fenced@1", kKey));
}

} // namespace
} // namespace mangovalve
