// The complete online path for tests: OnlineFrontend on a loopback port,
// scripted endpoints, a rate limit that tests can exceed, and a journal over a
// replayed IntentState.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "mangovalve/endpoint/fake_endpoint_test.h"
#include "mangovalve/keys/keys.h"
#include "mangovalve/online/frontend.h"

namespace mangovalve::testing {

// Applies intents and outcomes to an IntentState, as replay does.
struct FakeJournal
{
  enum class CommitBehavior
  {
    Applied,
    NotAppended,
    UnknownNotApplied, // outcome unknown, the record is not applied
    UnknownApplied,    // outcome unknown, the record is applied
  };

  auto Commit(const RecordDraft& aDraft) -> Result<Committed, JournalError>
  {
    const absl::MutexLock lock(&mMutex);
    if (mCommitBehavior == CommitBehavior::NotAppended) {
      return Err(JournalError{ JournalError::Kind::NotAppended, "down" });
    }
    if (mCommitBehavior == CommitBehavior::UnknownNotApplied) {
      return Err(JournalError{ JournalError::Kind::OutcomeUnknown, "lost" });
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(aDraft.mBuild(builder));
    const RecordContext context{ mNext++, 0, mTime };
    const auto* const bytes = builder.GetBufferPointer();
    const auto verdict =
      aDraft.mType == record::RecordBody::RequestIntent
        ? Apply(mState,
                context,
                *flatbuffers::GetRoot<record::RequestIntent>(bytes))
        : Apply(mState,
                context,
                *flatbuffers::GetRoot<record::RequestOutcome>(bytes));
    if (mCommitBehavior == CommitBehavior::UnknownApplied) {
      return Err(JournalError{ JournalError::Kind::OutcomeUnknown, "lost" });
    }
    return Committed{ context, verdict };
  }

  auto Find(const std::string& aTeam, const std::string& aKey)
    -> std::optional<Intent>
  {
    const absl::MutexLock lock(&mMutex);
    return FindIntent(mState, aTeam, aKey);
  }

  absl::Mutex mMutex;
  IntentState mState;
  Offset mNext = 10;
  LogTime mTime{ std::chrono::milliseconds(1000) };
  CommitBehavior mCommitBehavior = CommitBehavior::Applied;
};

inline auto TestDocument() -> Document
{
  Document document;
  document.mRevision = 1;
  document.mTeams["reader"].mName = "reader";
  document.mTeams["clerk"].mName = "clerk";
  document.mKeys[KeyDigest("key-reader")] = { KeyDigest("key-reader"),
                                              "reader" };
  document.mKeys[KeyDigest("key-clerk")] = { KeyDigest("key-clerk"), "clerk" };
  document.mServices["engine"] = { "engine", ServiceKind::Model, false, 16 };
  document.mServices["app"] = { "app", ServiceKind::Plain, false, 16 };
  const auto add = [&](const std::string& aName,
                       const std::string& aPath,
                       const std::string& aService) -> Route& {
    auto& route = document.mRoutes[aName];
    route.mName = aName;
    route.mPath = aPath;
    route.mService = aService;
    return route;
  };
  add("hints", "/v1", "engine").mModel = "hint-llm";
  add("profile", "/profile", "app");
  add("orders", "/orders", "app").mIdempotent = false;
  add("status", "/status", "app").mOpen = true;
  add("private", "/private", "app").mTeams = { "clerk" };
  return document;
}

class Harness
{
public:
  explicit Harness(std::vector<FakeEndpoint::Script> aScripts,
                   OnlineFrontendOptions aOptions = SmallFrontend())
    : mSet("a", SeededOptions())
  {
    std::vector<EndpointHint> hints;
    for (auto& script : aScripts) {
      mEndpoints.push_back(std::make_unique<FakeEndpoint>(std::move(script)));
      for (const auto* const service : { "engine", "app" }) {
        hints.push_back({ service, mEndpoints.back()->Address(), "a", false });
      }
    }
    mSet.ApplyHostList(hints);
    mPorts.mHost = "host-1";
    mPorts.mDocument = [this] {
      return std::make_shared<const Document>(mDocument);
    };
    mPorts.mTeamOfKey = [](const Document& aDocument, const std::string& aKey) {
      const auto* const key = FindKey(aDocument, aKey);
      return key == nullptr ? std::nullopt : std::optional(key->mTeam);
    };
    mPorts.mAcquireToken = [this](const std::string&,
                                  TimePoint) -> Result<void, RateRefusal> {
      if (mOverRate) {
        return Err(RateRefusal{ RateRefusal::Kind::OverRate,
                                std::chrono::milliseconds(40) });
      }
      return {};
    };
    mPorts.mFindIntent = [this](const std::string& aTeam,
                                const std::string& aKey) {
      return mJournal.Find(aTeam, aKey);
    };
    mPorts.mJournal.mCommit =
      [this](const RecordDraft& aDraft, CommitPriority, TimePoint) {
        return mJournal.Commit(aDraft);
      };
    mPorts.mEndpoints = &mSet;
    mPorts.mClient = &mClient;
    mFrontend = std::make_unique<OnlineFrontend>(mPorts, aOptions);
    ConfigureServer(mServer, aOptions);
    mFrontend->Register(mServer);
    mPort = BindServer(mServer, "127.0.0.1", 0);
    REQUIRE(mPort > 0);
    mThread = Thread("server", [this] { mServer.listen_after_bind(); });
    while (!mServer.is_running()) {
      absl::SleepFor(absl::Milliseconds(1));
    }
  }
  ~Harness()
  {
    mEndpoints.clear();
    mServer.stop();
  }
  Harness(const Harness&) = delete;
  auto operator=(const Harness&) -> Harness& = delete;

  static auto SeededOptions() -> EndpointSetOptions
  {
    EndpointSetOptions options;
    options.mSeed = 7;
    return options;
  }

  static auto SmallFrontend() -> OnlineFrontendOptions
  {
    OnlineFrontendOptions options;
    options.mWorkers = 24;
    options.mMaxBodyBytes = 64 << 10;
    options.mKeepAlive = std::chrono::seconds(1);
    return options;
  }

  auto Client() const -> httplib::Client
  {
    httplib::Client client("127.0.0.1", mPort);
    client.set_read_timeout(30);
    return client;
  }

  auto Post(const std::string& aPath,
            const std::string& aBody,
            httplib::Headers aHeaders = {}) const -> httplib::Result
  {
    if (!aHeaders.contains("Authorization")) {
      aHeaders.emplace("Authorization", "Bearer key-reader");
    }
    return Client().Post(aPath, aHeaders, aBody, "application/json");
  }

  // Number of requests received by all endpoints.
  auto RequestsReceived() const -> int
  {
    auto sum = 0;
    for (const auto& endpoint : mEndpoints) {
      sum += endpoint->Requests();
    }
    return sum;
  }

  Document mDocument = TestDocument();
  std::atomic<bool> mOverRate{ false };
  FakeJournal mJournal;
  EndpointSet mSet;
  EndpointClient mClient;
  OnlinePorts mPorts;
  std::vector<std::unique_ptr<FakeEndpoint>> mEndpoints;
  std::unique_ptr<OnlineFrontend> mFrontend;
  httplib::Server mServer;
  int mPort = 0;
  Thread mThread; // joined first; the server has stopped by then
};

// A member of the error object in a refusal's body, as text.
inline auto ErrorField(const httplib::Result& aResult, const char* aName)
  -> std::string
{
  REQUIRE(aResult);
  const auto body = nlohmann::json::parse(aResult->body, nullptr, false);
  if (!body.is_object() || !body.contains("error")) {
    return "no error object: " + aResult->body;
  }
  const auto& field = body["error"][aName];
  return field.is_string() ? field.get<std::string>() : field.dump();
}

} // namespace mangovalve::testing
