// An endpoint of the users' platform on loopback.
#include "standins/common/endpoint_server.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace mangovalve::standin {
namespace {

constexpr auto kSilence = std::chrono::seconds(60);

auto HeaderText(const Request& aRequest, const char* aName) -> std::string
{
  const auto value = aRequest[aName];
  return { value.data(), value.size() };
}

auto Refusal(unsigned aStatus, const std::string& aId) -> Response
{
  Response response;
  response.result(aStatus);
  response.set("Not-Run", "1");
  response.set("Request-Id", aId);
  return response;
}

// Whether the prompt of the request has the part.
auto HasPart(const Request& aRequest, const std::string& aPart) -> bool
{
  for (const auto part :
       absl::StrSplit(HeaderText(aRequest, "Prompt-Prefix"), ',')) {
    const auto id = absl::StripAsciiWhitespace(part);
    if (id.substr(0, id.find(':')) == aPart) {
      return true;
    }
  }
  return false;
}

} // namespace

auto EventText(const std::string& aId, std::uint64_t aNumber) -> std::string
{
  return absl::StrCat(aId, "-", aNumber);
}

auto WholeOutput(const std::string& aId, std::uint32_t aEvents) -> std::string
{
  std::string output;
  for (std::uint32_t i = 1; i <= aEvents; ++i) {
    absl::StrAppend(&output, i == 1 ? "" : "\n", EventText(aId, i));
  }
  return output;
}

EndpointServer::EndpointServer(asio::io_context& aLoop,
                               EndpointOptions aOptions)
  : mOptions(std::move(aOptions))
  , mLoop(aLoop)
  , mServer(
      aLoop,
      [this](CallerPtr aCaller, std::shared_ptr<Request> aRequest) {
        return Handle(std::move(aCaller), std::move(aRequest));
      },
      [] { return CallerLimits{}; })
{
}

auto EndpointServer::Listen(const std::string& aAddress) -> ErrorCode
{
  mAddress = aAddress;
  return mServer.Listen(aAddress);
}

auto EndpointServer::Crash(TimePoint aUntil) -> void
{
  if (mDown) {
    return;
  }
  mDown = true;
  ++mCrashes;
  mServer.StopAccepting();
  ResetConnections();
  mServer.CloseIdle();
  Spawn(mLoop, Recover(aUntil));
}

auto EndpointServer::ResetConnections() -> void
{
  for (const auto& caller : mCallers) {
    caller->Abort();
  }
}

auto EndpointServer::Recover(TimePoint aAt) -> Task<>
{
  co_await SleepUntil(aAt);
  mDown = false;
  // The address was bound before, so only the system can refuse it.
  static_cast<void>(mServer.Listen(mAddress));
}

auto EndpointServer::RunsOf(const std::string& aId) const -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(mRuns.begin(), mRuns.end(), [&](const EndpointRun& aRun) {
      return aRun.mId == aId;
    }));
}

auto EndpointServer::Head(const Request& aRequest, unsigned aStatus) const
  -> ResponseHead
{
  ResponseHead head;
  head.result(aStatus);
  head.set("Request-Id", HeaderText(aRequest, "Request-Id"));
  head.set("Server-Load", absl::StrCat(mRunning, ",0,", mOptions.mSlots));
  if (!mFaults.mUnsigned) {
    head.set("Response-Signature", absl::StrCat("by-", mOptions.mId));
  }
  AddStatements(head);
  return head;
}

auto EndpointServer::AddStatements(ResponseHead& aHead) const -> void
{
  for (const auto& limit : mFaults.mLimits) {
    aHead.insert("Server-Limit", limit);
  }
  if (mFaults.mLeaving) {
    aHead.set("Server-Leaving", "1");
  }
}

auto EndpointServer::Handle(CallerPtr aCaller,
                            std::shared_ptr<Request> aRequest) -> Task<>
{
  if (mDown) {
    aCaller->Abort();
    co_return;
  }
  mArrivals.push_back(Clock::now());
  co_await RepeatRefusal(aCaller);
  const auto id = HeaderText(*aRequest, "Request-Id");
  const auto expected = HeaderText(*aRequest, "Expect-Instance");
  if (!expected.empty() && expected != mOptions.mId) {
    co_await Refuse(aCaller, 421, id);
    co_return;
  }
  if (mRunning >= mOptions.mSlots + mOptions.mQueue) {
    co_await Refuse(aCaller, 503, id);
    co_return;
  }
  if (mFaults.mRefuse ||
      (mFaults.mRefuseFirst && mRefusedOnce.insert(id).second)) {
    co_await Refuse(aCaller, mFaults.mRefusalStatus, id);
    co_return;
  }
  if (mFaults.mHopeless.contains(id)) {
    Response response;
    response.base() = Head(*aRequest, 422);
    co_await aCaller->Reply(std::move(response));
    co_return;
  }
  ++mRunning;
  mMostRunning = std::max(mMostRunning, mRunning);
  mCallers.insert(aCaller);
  co_await Run(aCaller, *aRequest);
  mCallers.erase(aCaller);
  --mRunning;
  mCancelled += aCaller->Disconnected() ? 1 : 0;
}

auto EndpointServer::Refuse(CallerPtr aCaller,
                            unsigned aStatus,
                            const std::string& aId) -> Task<>
{
  auto refusal = Refusal(aStatus, aId);
  AddStatements(refusal.base());
  if (mFaults.mCopyRefusals) {
    mCopies[aCaller] = refusal;
  }
  co_await aCaller->Reply(std::move(refusal));
}

auto EndpointServer::RepeatRefusal(CallerPtr aCaller) -> Task<>
{
  auto found = mCopies.extract(aCaller);
  if (!found.empty()) {
    ++mCopiesSent;
    co_await aCaller->Reply(std::move(found.mapped()));
  }
}

auto EndpointServer::Run(CallerPtr aCaller, const Request& aRequest) -> Task<>
{
  EndpointRun run;
  run.mId = HeaderText(aRequest, "Request-Id");
  run.mTeam = HeaderText(aRequest, "Tenant");
  run.mKeySeen = aRequest.find("Credential") != aRequest.end();
  run.mAt = Clock::now();
  std::uint64_t last = 0;
  if (absl::SimpleAtoi(HeaderText(aRequest, "Last-Event-Id"), &last)) {
    run.mFrom = last;
  }
  const auto index = mRuns.size();
  mRuns.push_back(run);
  co_await Answer(aCaller, aRequest);
  mRuns[index].mEndedAt = Clock::now();
}

auto EndpointServer::Work(Duration aTime) -> Task<>
{
  co_await SleepUntil(Clock::now() + aTime);
  while (Clock::now() < mSilentUntil) {
    co_await SleepUntil(mSilentUntil);
  }
}

auto EndpointServer::Answer(CallerPtr aCaller, const Request& aRequest)
  -> Task<>
{
  if (mFaults.mSilent) {
    co_await SleepUntil(Clock::now() + kSilence);
    aCaller->Abort();
    co_return;
  }
  if (mFaults.mStatus == 0 && mOptions.mStreams) {
    co_await Stream(aCaller, aRequest);
    co_return;
  }
  co_await Work(mOptions.mWork);
  if (!mFaults.mDeadlyBody.empty() && aRequest.body() == mFaults.mDeadlyBody) {
    Crash(Clock::now() + mOptions.mRecovery);
    co_return;
  }
  Response response;
  response.base() =
    Head(aRequest, mFaults.mStatus == 0 ? 200 : mFaults.mStatus);
  response.body() =
    absl::StrCat("answer to ", HeaderText(aRequest, "Request-Id"));
  if (mFaults.mStrayAnswers > 0) {
    --mFaults.mStrayAnswers;
    auto second = response;
    co_await aCaller->Reply(std::move(second));
  }
  co_await aCaller->Reply(std::move(response));
}

auto EndpointServer::Stream(CallerPtr aCaller, const Request& aRequest)
  -> Task<>
{
  const auto id = HeaderText(aRequest, "Request-Id");
  std::uint64_t last = 0;
  // Without the header, the stream begins at its first event.
  static_cast<void>(
    absl::SimpleAtoi(HeaderText(aRequest, "Last-Event-Id"), &last));
  auto head = Head(aRequest, 200);
  head.set(http::field::content_type, "text/event-stream");
  auto begun = mOptions.mHeadFirst;
  if (begun) {
    std::string nothing;
    co_await aCaller->BeginChunks(head, std::move(nothing));
  }
  const auto deadly =
    !mFaults.mDeadlyPart.empty() && HasPart(aRequest, mFaults.mDeadlyPart);
  std::uint32_t sent = 0;
  for (auto number = last + 1; number <= mOptions.mEvents; ++number) {
    co_await Work(mOptions.mPerEvent);
    if (aCaller->Disconnected()) {
      co_return;
    }
    if (deadly) {
      Crash(Clock::now() + mOptions.mRecovery);
      co_return;
    }
    auto event =
      absl::StrCat("id: ", number, "\ndata: ", EventText(id, number), "\n\n");
    const auto cut = mFaults.mCutAfter > 0 && sent >= mFaults.mCutAfter;
    if (cut && !mFaults.mCutWithinEvent) {
      aCaller->Abort();
      co_return;
    }
    if (cut) {
      event.resize(event.size() / 2);
    }
    if (begun) {
      co_await aCaller->SendChunk(std::move(event));
    } else {
      co_await aCaller->BeginChunks(head, std::move(event));
    }
    begun = true;
    ++sent;
    if (cut) {
      aCaller->Abort();
      co_return;
    }
  }
  if (!begun) {
    std::string nothing;
    co_await aCaller->BeginChunks(head, std::move(nothing));
  }
  co_await aCaller->EndChunks();
}

} // namespace mangovalve::standin
