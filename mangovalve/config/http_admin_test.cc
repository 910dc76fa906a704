// Tests of the operators' HTTP API on an in-memory log.
#include "mangovalve/config/http_admin.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "mangovalve/replay/encode.h"
#include "mangovalve/replay/fake_log.h"

namespace mangovalve {
namespace {

using Json = nlohmann::json;

// One host behind a real HTTP server. Commits are applied immediately.
struct AdminHost
{
  FakeLog mLog;
  Replica mReplica{ mLog.Port() };
  std::vector<HostConfirmation> mConfirmations;
  std::function<auto()->void> mBeforeCommit;
  std::optional<JournalError> mFailure;
  httplib::Server mServer;
  int mPort = 0;
  Thread mThread;

  AdminHost()
  {
    mReplica.Step({});
    mReplica.Step({});
    ConfigAdmin admin;
    admin.mReplica = &mReplica;
    admin.mJournal.mCommit = [this](RecordDraft aDraft,
                                    CommitPriority,
                                    TimePoint) { return Commit(aDraft); };
    admin.mConfirmations = [this] { return mConfirmations; };
    RegisterConfigAdmin(mServer, admin);
    mPort = mServer.bind_to_any_port("127.0.0.1");
    mThread = Thread("admin", [this] { mServer.listen_after_bind(); });
    while (!mServer.is_running()) {
      sched_yield();
    }
  }
  ~AdminHost()
  {
    mServer.stop();
    mThread.Join();
  }

  auto Commit(const RecordDraft& aDraft) -> Result<Committed, JournalError>
  {
    if (mBeforeCommit) {
      std::exchange(mBeforeCommit, {})();
    }
    const auto offset = *mLog.Append(EncodeBatch("test", {}, { &aDraft }));
    if (mFailure) {
      return Err(*mFailure);
    }
    mReplica.Step({});
    return mReplica.Read([&](const FleetState& aState) {
      const auto& seen = aState.mSeen.mById.at(aDraft.mId);
      CHECK(seen.mContext.mOffset <= offset);
      return Committed{ seen.mContext, seen.mVerdict };
    });
  }
  auto Post(const std::string& aTarget, const std::string& aBody = {})
    -> std::pair<int, Json>
  {
    httplib::Client client("127.0.0.1", mPort);
    const auto result = client.Post(aTarget, aBody, "application/toml");
    REQUIRE(result);
    return { result->status, Json::parse(result->body) };
  }
  auto Get(const std::string& aTarget) -> std::pair<int, std::string>
  {
    httplib::Client client("127.0.0.1", mPort);
    const auto result = client.Get(aTarget);
    REQUIRE(result);
    return { result->status, result->body };
  }
};

auto ConfigText(int aRate) -> std::string
{
  return "[domains.d1]\n[teams.alpha]\nrate = " + std::to_string(aRate) +
         "\nburst = 5\n";
}

TEST_CASE("submit, history, show, diff and rollback")
{
  AdminHost host;
  CHECK(host.Post("/v1/config/submit?base=0&submitter=eva", ConfigText(1))
          .second.at("revision") == 1);
  CHECK(host.Post("/v1/config/submit?base=1", ConfigText(2))
          .second.at("revision") == 2);
  CHECK(host.Post("/v1/config/submit?base=2", ConfigText(2))
          .second.at("unchanged") == true);
  const auto history = Json::parse(host.Get("/v1/config/history").second);
  REQUIRE(history.at("revisions").size() == 2);
  CHECK(history["revisions"][1].at("submitter") == "eva");
  const auto diff = Json::parse(host.Get("/v1/config/diff?from=1&to=2").second);
  REQUIRE(diff.at("changes").size() == 1);
  CHECK(diff["changes"][0].at("path") == "teams/alpha");
  CHECK(host.Get("/v1/config/show?revision=1").second.find("rate = 1.0") !=
        std::string::npos);
  CHECK(host.Get("/v1/config/show?revision=9").first == 404);
  CHECK(host.Get("/v1/config/diff?from=x").first == 400);
  CHECK(host.Post("/v1/config/rollback?to=1").second.at("revision") == 3);
  CHECK(host.mReplica.CurrentDocument()->mTeams.at("alpha").mRate == 1);
  CHECK(host.Post("/v1/config/rollback?to=9").first == 404);
}

// Guards against a submission that overwrites another operator's change, either
// because its base revision is old, or because the other submission is
// committed first.
TEST_CASE("of two concurrent submissions one is accepted and one conflicts")
{
  AdminHost host;
  REQUIRE(host.Post("/v1/config/submit?base=0", ConfigText(1)).first == 200);
  host.mBeforeCommit = [&] {
    CHECK(host.Post("/v1/config/submit?base=1", ConfigText(2)).first == 200);
  };
  const auto overtaken = host.Post("/v1/config/submit?base=1", ConfigText(3));
  CHECK(overtaken.first == 409);
  CHECK(overtaken.second.at("error") == "conflict");
  CHECK(overtaken.second.at("current_revision") == 2);
  const auto old = host.Post("/v1/config/submit?base=1", ConfigText(4));
  CHECK(old.first == 409);
  CHECK(old.second.at("current_revision") == 2);
  CHECK(host.mReplica.CurrentDocument()->mTeams.at("alpha").mRate == 2);
}

// Guards against status 503 for a submission that takes effect later, and
// against a resend that conflicts with its own first copy.
TEST_CASE("a submission of unknown outcome can be resent with the same id")
{
  AdminHost host;
  host.mFailure = JournalError{ JournalError::Kind::OutcomeUnknown, "lost" };
  const auto target = "/v1/config/submit?base=0&id=one";
  const auto unresolved = host.Post(target, ConfigText(1));
  CHECK(unresolved.first == 504);
  CHECK(unresolved.second.at("id") == "one");
  host.mFailure.reset();
  CHECK(host.Post(target, ConfigText(1)).second.at("revision") == 1);
  CHECK(host.Post(target, ConfigText(1)).second.at("revision") == 1);
  CHECK(host.mReplica.CurrentDocument()->mRevision == 1);
  host.mFailure = JournalError{ JournalError::Kind::NotAppended, "down" };
  CHECK(host.Post("/v1/config/submit?base=1", ConfigText(2)).first == 503);
}

TEST_CASE("an invalid document is rejected with its errors")
{
  AdminHost host;
  const auto check = host.Post("/v1/config/check", "[teams.a]\n");
  CHECK(check.first == 422);
  CHECK(check.second.at("errors").size() == 2);
  const auto submit = host.Post("/v1/config/submit?base=0", "[teams.a]\n");
  CHECK(submit.first == 422);
  CHECK(submit.second.at("error") == "invalid");
  CHECK(host.Post("/v1/config/submit?base=-1", ConfigText(1)).first == 400);
}

// Guards against a status that reports a host as confirmed although it is
// behind or has sent no recent report.
TEST_CASE("status lists the hosts that are not confirmed")
{
  AdminHost host;
  REQUIRE(host.Post("/v1/config/submit?base=0", ConfigText(1)).first == 200);
  REQUIRE(host.Post("/v1/config/submit?base=1", ConfigText(2)).first == 200);
  host.mConfirmations = {
    { "current", "d1", Offset{ 2 }, {} },
    { "behind", "d1", Offset{ 1 }, {} },
    { "silent", "d2", Offset{ 2 }, kConfirmationMaxAge + Duration(1) },
    { "unheard", "d2", std::nullopt, {} }
  };
  const auto json = Json::parse(host.Get("/v1/config/status").second);
  CHECK(json.at("revision") == 2);
  CHECK(json.at("unconfirmed") == Json{ "behind", "silent", "unheard" });
  CHECK(json["hosts"][0].at("revision") == 2);
  CHECK(json["hosts"][1].at("revision") == 1);
  CHECK(json["hosts"][3].at("revision").is_null());
}

} // namespace
} // namespace mangovalve
