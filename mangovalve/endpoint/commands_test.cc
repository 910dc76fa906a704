// Tests of commands to endpoints: a single issuer at a time, loads before
// unloads, no late commands.
#include "mangovalve/endpoint/commands.h"

#include <vector>

#include <doctest/doctest.h>

#include "mangovalve/endpoint/fake_endpoint_test.h"

namespace mangovalve {
namespace {

using record::OrderAction;
using testing::FakeEndpoint;
using testing::FakeRequest;
using testing::WholeResponse;

// An in-memory log with a simulated clock.
struct FakeCommandLog
{
  auto Commit(const RecordDraft& aDraft) -> Result<Committed, JournalError>
  {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(aDraft.mBuild(builder));
    const RecordContext context{ mNext++, 0, mTime };
    const auto* const bytes = builder.GetBufferPointer();
    const auto verdict =
      aDraft.mType == record::RecordBody::OrderIssued
        ? Apply(
            mState, context, *flatbuffers::GetRoot<record::OrderIssued>(bytes))
        : Apply(
            mState, context, *flatbuffers::GetRoot<record::OrderEnded>(bytes));
    if (mAfterCommit) {
      mAfterCommit();
    }
    return Committed{ context, verdict };
  }

  CommandState mState;
  Offset mNext = 5;
  LogTime mTime{ std::chrono::seconds(100) };
  std::function<void()> mAfterCommit;
};

struct Fixture
{
  explicit Fixture(FakeEndpoint::Script aScript)
    : mEndpoint(std::move(aScript))
  {
    mPorts.mHost = "h1";
    mPorts.mJournal.mCommit = [this](const RecordDraft& aDraft,
                                     CommitPriority,
                                     TimePoint) { return mLog.Commit(aDraft); };
    mPorts.mClient = &mClient;
    mPorts.mFetchWeights = [this](const std::string&,
                                  const std::string&,
                                  TimePoint) { return mWeights; };
    mPorts.mMayIssue = [this](const std::string&) { return mMayIssue; };
    mPorts.mNow = [this] { return mNow; };
  }

  auto Run(const DesiredCommand& aCommand) -> CommandResult
  {
    return RunCommand(mPorts, mEndpoint.Address(), aCommand);
  }

  FakeCommandLog mLog;
  EndpointClient mClient;
  bool mWeights = true;
  bool mMayIssue = true;
  TimePoint mNow = Clock::now();
  CommandPorts mPorts;
  FakeEndpoint mEndpoint;
};

auto Acknowledge(FakeEndpoint::Connection& aConnection,
                 const FakeRequest& aRequest) -> void
{
  aConnection.Send(WholeResponse(aRequest.Id(), "{}"));
}

const DesiredCommand kLoad{ OrderAction::LoadModel, "m", "1", "", "" };

TEST_CASE("a command contains its fencing token and changes the replayed state")
{
  std::string body;
  Fixture fixture(
    [&](FakeEndpoint::Connection& aConnection, const FakeRequest& aRequest) {
      body = aRequest.mBody;
      Acknowledge(aConnection, aRequest);
    });
  CHECK(fixture.Run(kLoad) == CommandResult::Done);
  CHECK(body.find("\"fence\":5") != std::string::npos);
  const auto& endpoint =
    fixture.mLog.mState.mEndpoints.at(fixture.mEndpoint.Address());
  CHECK(endpoint.mLoaded.contains("m@1"));
  CHECK_FALSE(endpoint.mOpen);
}

// Guards against two hosts that send commands to one endpoint concurrently.
TEST_CASE("the next issuer waits for the open command's deadline and margin")
{
  Fixture fixture(
    [](FakeEndpoint::Connection& aConnection, const FakeRequest&) {
      aConnection.mClose = true; // no response
    });
  CHECK(fixture.Run(kLoad) == CommandResult::Unanswered);
  fixture.mPorts.mHost = "h2";
  CHECK(fixture.Run(kLoad) == CommandResult::NotRecorded);
  fixture.mLog.mTime += kCommandTimeout + kCommandMargin;
  CHECK(fixture.Run(kLoad) == CommandResult::NotRecorded);
  fixture.mLog.mTime += std::chrono::milliseconds(1);
  CHECK(fixture.Run(kLoad) == CommandResult::Unanswered);
  CHECK(fixture.mEndpoint.Requests() == 2);
}

// Guards against a former issuer that sends its command after a pause, when the
// next issuer has sent one, to an endpoint that ignores the fencing token.
TEST_CASE("a host sends no expired command after a pause")
{
  Fixture fixture(Acknowledge);
  // The host is paused right after its command was recorded, for longer than
  // the deadline and the margin.
  fixture.mNow -= kCommandTimeout + kCommandMargin + std::chrono::seconds(1);
  CHECK(fixture.Run(kLoad) == CommandResult::TooLate);
  CHECK(fixture.mEndpoint.Requests() == 0);
}

// Guards against a command from a host that ceased to be the issuer while its
// record was being appended, or that got no budget from the weight store.
TEST_CASE("nothing is sent by a host that is not the issuer or without weights")
{
  Fixture fixture(Acknowledge);
  fixture.mWeights = false;
  CHECK(fixture.Run(kLoad) == CommandResult::NoWeights);
  CHECK(fixture.mLog.mNext == 5);
  fixture.mWeights = true;
  fixture.mLog.mAfterCommit = [&] { fixture.mMayIssue = false; };
  CHECK(fixture.Run(kLoad) == CommandResult::NotIssuer);
  CHECK(fixture.Run(kLoad) == CommandResult::NotIssuer);
  CHECK(fixture.mEndpoint.Requests() == 0);
}

auto OneModel(const std::string& aVersion) -> Document
{
  Document document;
  auto& model = document.mModels["m"];
  model.mName = "m";
  model.mService = "s";
  model.mVersion = aVersion;
  model.mAdapters = { "a" };
  model.mRetainFormer = std::chrono::seconds(60);
  return document;
}

// Guards against a version change that unloads the former version before the
// new one has been loaded for the retention time.
TEST_CASE("a version change loads first and unloads after the retention time")
{
  FakeCommandLog log;
  CommandedEndpoint endpoint;
  std::vector<std::string> done;
  const auto step = [&](const Document& aDocument) {
    const auto next = NextCommand(aDocument, "s", endpoint, log.mTime);
    if (!next) {
      return false;
    }
    const auto name = LoadedName(next->mModel, next->mVersion, next->mAdapter);
    const auto unload = next->mAction == OrderAction::UnloadModel ||
                        next->mAction == OrderAction::UnloadAdapter;
    done.push_back((unload ? "-" : "+") + name);
    if (unload) {
      endpoint.mLoaded.erase(name);
    } else {
      endpoint.mLoaded[name] = log.mTime;
    }
    return true;
  };
  while (step(OneModel("1"))) {
  }
  CHECK(done == std::vector<std::string>{ "+m@1", "+m@1+a" });
  done.clear();
  while (step(OneModel("2"))) {
  }
  CHECK(done == std::vector<std::string>{ "+m@2", "+m@2+a" });
  log.mTime += std::chrono::seconds(59);
  CHECK_FALSE(step(OneModel("2")));
  log.mTime += std::chrono::seconds(1);
  done.clear();
  while (step(OneModel("2"))) {
  }
  CHECK(done == std::vector<std::string>{ "-m@1", "-m@1+a" });
  CHECK(endpoint.mLoaded.size() == 2);
}

TEST_CASE(
  "a saved command state loads unchanged, and truncated ones are refused")
{
  Fixture fixture(Acknowledge);
  CHECK(fixture.Run(kLoad) == CommandResult::Done);
  CHECK(fixture.Run({ OrderAction::SetRole, "", "", "", "prefill" }) ==
        CommandResult::Done);
  auto& state = fixture.mLog.mState;
  state.mEndpoints["x"].mOpen = EndpointCommand{
    7, fixture.mLog.mTime, OrderAction::LoadModel, "m", "1", "", "", ""
  };
  const auto saved = Save(state);
  CommandState loaded;
  REQUIRE(Load(saved, loaded));
  CHECK(loaded.mEndpoints == state.mEndpoints);
  CHECK(Save(loaded) == saved);
  for (std::size_t size = 1; size < saved.size(); ++size) {
    CHECK_FALSE(Load(std::string_view(saved).substr(0, size), loaded));
  }
}

} // namespace
} // namespace mangovalve
