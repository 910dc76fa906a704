// Callers of a soak.
#include <algorithm>
#include <set>

#include <absl/strings/str_cat.h>

#include "platform/names.h"
#include "standins/soak/soak.h"

namespace mangovalve::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Json = nlohmann::json;

constexpr auto kConnectTimeout = seconds(1);
constexpr auto kResponseTimeout = seconds(20);
constexpr auto kUsualTime = milliseconds(5000); // stated by callers
constexpr auto kMostIdle = milliseconds(3000);
constexpr auto kJobsDeadline = seconds(60); // for the results at the end
constexpr std::uint32_t kItemEvents = 8;

auto MakeRequest(http::verb aVerb,
                 const std::string& aPath,
                 const std::string& aId,
                 milliseconds aTime = kUsualTime) -> Request
{
  Request request(aVerb, aPath, 11);
  request.set(http::field::host, "h.example");
  request.set(platform::kCallerKey, "red-key");
  request.set(platform::kDeadline, absl::StrCat(aTime.count()));
  if (!aId.empty()) {
    request.set(platform::kRequestId, aId);
  }
  return request;
}

auto Header(const Response& aResponse, const char* aName) -> std::string
{
  const auto value = aResponse[aName];
  return { value.data(), value.size() };
}

// A success must be the endpoint's.
auto ResponseProblem(const SoakRoute& aRoute,
                     const std::string& aId,
                     const Response& aResponse) -> std::string
{
  if (aResponse.result() != http::status::ok) {
    return "";
  }
  if (Header(aResponse, platform::kRequestId) != aId ||
      !Header(aResponse, platform::kSignature).starts_with("by-")) {
    return "wrong id or signature";
  }
  if (aRoute.mEvents > 0) {
    return StreamProblem(aId, aRoute.mEvents, aResponse.body());
  }
  return aResponse.body() == "answer to " + aId ? "" : "wrong body";
}

auto IdleTime(Random& aRandom) -> Duration
{
  constexpr milliseconds kMost[] = { milliseconds(0),
                                     milliseconds(20),
                                     milliseconds(20),
                                     milliseconds(400),
                                     kMostIdle };
  return RandomTime(aRandom, kMost[UniformBelow(aRandom, std::size(kMost))]);
}

// The time that a caller states for a request.
auto StatedTime(Random& aRandom) -> milliseconds
{
  constexpr std::uint64_t kUsual = 50; // percent
  constexpr std::uint64_t kShortestMs = 400;
  constexpr std::uint64_t kRangeMs = 5600;
  return Chance(aRandom, kUsual)
           ? kUsualTime
           : milliseconds(kShortestMs + UniformBelow(aRandom, kRangeMs));
}

auto RandomPlan(Random& aRandom) -> SendPlan
{
  constexpr std::uint64_t kInPieces = 25; // percent
  constexpr std::uint64_t kMostPieces = 5;
  constexpr auto kMostPause = milliseconds(250);
  SendPlan plan;
  if (Chance(aRandom, kInPieces)) {
    plan.mPieces = 2 + UniformBelow(aRandom, kMostPieces - 1);
    plan.mPause = RandomTime(aRandom, kMostPause);
  }
  return plan;
}

} // namespace

auto Soak::ChooseHost(Random& aRandom) -> std::size_t
{
  std::vector<std::size_t> inRotation;
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    if (mHosts[i].mMisses < 2) {
      inRotation.push_back(i);
    }
  }
  return 2 * inRotation.size() < mHosts.size()
           ? UniformBelow(aRandom, mHosts.size())
           : inRotation[UniformBelow(aRandom, inRotation.size())];
}

auto Soak::NextId(const char* aPrefix) -> std::string
{
  return absl::StrCat(aPrefix, mNextId++);
}

auto Soak::RunCaller(SoakCaller& aCaller) -> Task<>
{
  constexpr std::uint64_t kUnchecked = 15; // percent
  constexpr std::uint64_t kNewConnection = 10;
  ++mActive;
  while (!mCallersEnd) {
    const auto blind = Chance(aCaller.mRandom, kUnchecked);
    if (aCaller.mConnection && !blind && !IsOpen(*aCaller.mConnection)) {
      aCaller.mConnection = nullptr;
    }
    if (!aCaller.mConnection) {
      const auto connected = co_await Reconnect(aCaller);
      if (!connected) {
        continue;
      }
    }
    if (Clock::now() - aCaller.mConnection->mIdleSince > LongestIdle()) {
      aCaller.mConnection = nullptr;
      continue;
    }
    co_await Ask(aCaller);
    if (Chance(aCaller.mRandom, kNewConnection)) {
      aCaller.mConnection = nullptr;
    }
    co_await Idle(aCaller, IdleTime(aCaller.mRandom));
  }
  --mActive;
}

// A caller of one request, on a new connection to the host.
auto Soak::AskOnce(std::size_t aHost, Duration aDelay, std::uint64_t aSeed)
  -> Task<>
{
  SoakCaller caller(mLoop, aSeed);
  caller.mHost = aHost;
  ++mActive;
  co_await SleepUntil(Clock::now() + aDelay);
  const auto& process = mHosts[aHost].mProcess;
  caller.mPid = process.mPid;
  caller.mConnection =
    co_await Connect(mLoop, process.mCallers, Clock::now() + kConnectTimeout);
  if (caller.mConnection) {
    co_await Ask(caller);
  }
  --mActive;
}

// For which the newest document lets a connection be idle.
auto Soak::LongestIdle() const -> Duration
{
  return UsableIdle({ &mDocuments.back(), 1 });
}

auto Soak::Idle(SoakCaller& aCaller, Duration aTime) -> Task<>
{
  aCaller.mIdleUntil = Clock::now() + std::min(aTime, LongestIdle());
  // Planned work may set another time.
  while (Clock::now() < aCaller.mIdleUntil && !mCallersEnd) {
    aCaller.mWake.expires_at(aCaller.mIdleUntil);
    ErrorCode ignored; // the time is checked again
    co_await aCaller.mWake.async_wait(CaptureError(ignored));
  }
}

// Half of the new connections are idle for a while before their first request.
auto Soak::Reconnect(SoakCaller& aCaller) -> Task<bool>
{
  constexpr auto kMostRetryDelay = milliseconds(100);
  aCaller.mHost = ChooseHost(aCaller.mRandom);
  const auto& process = mHosts[aCaller.mHost].mProcess;
  aCaller.mPid = process.mPid;
  aCaller.mConnection =
    co_await Connect(mLoop, process.mCallers, Clock::now() + kConnectTimeout);
  if (!aCaller.mConnection) {
    Attempt attempt;
    attempt.mHost = process.mName;
    mAttempts.push_back(attempt);
    co_await SleepUntil(Clock::now() +
                        RandomTime(aCaller.mRandom, kMostRetryDelay));
    co_return false;
  }
  if (Chance(aCaller.mRandom, 50)) {
    co_await Idle(aCaller, IdleTime(aCaller.mRandom));
  }
  co_return true;
}

// Mostly one that every document has, otherwise one of a recent document.
auto Soak::ChooseRoute(Random& aRandom) const -> SoakRoute
{
  constexpr std::uint64_t kExtra = 8; // percent
  constexpr std::size_t kRecent = 8;
  if (mOptions.mMoves && Chance(aRandom, kExtra)) {
    const auto recent = std::min(mDocuments.size(), kRecent);
    const auto& document =
      mDocuments[mDocuments.size() - 1 - UniformBelow(aRandom, recent)];
    std::vector<std::string> extra;
    for (const auto& [name, terms] : document.mRoutes) {
      if (name.starts_with(kExtraRoute)) {
        extra.push_back(name);
      }
    }
    if (!extra.empty()) {
      return ExtraRoute(extra[UniformBelow(aRandom, extra.size())]);
    }
  }
  return SoakRoutes()[UniformBelow(aRandom, SoakRoutes().size())];
}

auto Soak::Ask(SoakCaller& aCaller) -> Task<>
{
  const auto route = ChooseRoute(aCaller.mRandom);
  const auto& process = mHosts[aCaller.mHost].mProcess;
  const auto time = mOptions.mMoves ? StatedTime(aCaller.mRandom) : kUsualTime;
  Attempt attempt;
  attempt.mId = NextId("r");
  attempt.mHost = process.mName;
  attempt.mRoute = route.mName;
  attempt.mMayRepeat = route.mKind == "idempotent" || route.mResumable;
  auto request = MakeRequest(
    http::verb::post, absl::StrCat("/", route.mName, "/1"), attempt.mId, time);
  request.body() = "body of " + attempt.mId;
  auto plan = RandomPlan(aCaller.mRandom);
  if (mOptions.mMoves && Chance(aCaller.mRandom, 50)) {
    plan.mPatience = time;
  }
  Response response;
  co_await Exchange(*aCaller.mConnection,
                    request,
                    plan,
                    Clock::now() + kResponseTimeout,
                    attempt,
                    response);
  attempt.mExpiresAt = attempt.mLastWriteAt + time;
  attempt.mHostServed =
    process.mPid == aCaller.mPid &&
    (process.mTermAt == TimePoint{} || process.mTermAt > attempt.mEndedAt);
  if (attempt.mEnding == Ending::Answered) {
    attempt.mProblem = ResponseProblem(route, attempt.mId, response);
  }
  if (attempt.mEnding != Ending::Answered || !response.keep_alive()) {
    aCaller.mConnection = nullptr;
  }
  mAttempts.push_back(attempt);
}

// Each call about a job comes on a new connection. A response of status 0 means
// that there was none.
auto Soak::CallAboutJob(Request aRequest, std::string aId, Random& aRandom)
  -> Task<Response>
{
  const auto& process = mHosts[ChooseHost(aRandom)].mProcess;
  Attempt attempt;
  attempt.mId = std::move(aId);
  attempt.mHost = process.mName;
  Response response;
  response.result(0U);
  auto connection =
    co_await Connect(mLoop, process.mCallers, Clock::now() + kConnectTimeout);
  if (connection) {
    const auto plan = RandomPlan(aRandom);
    co_await Exchange(*connection,
                      aRequest,
                      plan,
                      Clock::now() + kResponseTimeout,
                      attempt,
                      response);
  }
  mAttempts.push_back(attempt);
  co_return response;
}

auto Soak::SubmitJob(std::string aId, Random& aRandom) -> Task<bool>
{
  constexpr std::uint64_t kMostItems = 6;
  auto& job = mJobs[aId];
  job.mItems = 1 + UniformBelow(aRandom, kMostItems);
  auto items = Json::array();
  for (std::size_t i = 0; i < job.mItems; ++i) {
    items.push_back({ { "id", absl::StrCat(aId, "x", i) },
                      { "path", "/lex/1" },
                      { "headers", { { "Model", "m" } } },
                      { "body", "YWJj" },
                      { "tokens", 10 } });
  }
  auto request = MakeRequest(http::verb::post, "/lex/job", aId);
  request.body() = Json({ { "items", items } }).dump();
  while (!job.mAccepted && !mCallersEnd) {
    const auto response = co_await CallAboutJob(request, aId, aRandom);
    job.mAccepted = response.result_int() == 202;
    constexpr auto kMostRetryDelay = milliseconds(300);
    co_await SleepUntil(Clock::now() + RandomTime(aRandom, kMostRetryDelay));
  }
  co_return job.mAccepted;
}

auto Soak::ReadJob(std::string aId, Random& aRandom) -> Task<Json>
{
  auto request = MakeRequest(
    http::verb::get, absl::StrCat(platform::kJobPath, aId, "?after=0"), "");
  if (Chance(aRandom, 50)) {
    request.set(platform::kWait, "1000");
  }
  const auto response = co_await CallAboutJob(request, aId, aRandom);
  if (response.result_int() == 404) {
    Violate(absl::StrCat("job ", aId, " was accepted and is not found"),
            Clock::now());
  }
  co_return response.result_int() == 200
    ? Json::parse(response.body(), nullptr, false)
    : Json();
}

auto Soak::EndJob(std::string aId, Random& aRandom) -> Task<>
{
  const auto request =
    MakeRequest(http::verb::delete_, absl::StrCat(platform::kJobPath, aId), "");
  mJobs[aId].mEnded = true;
  for (auto ended = false; !ended && !mCallersEnd;) {
    const auto response = co_await CallAboutJob(request, aId, aRandom);
    ended = response.result_int() == 200;
    if (response.result_int() == 404) {
      Violate(absl::StrCat("job ", aId, " was accepted and can't be ended"),
              Clock::now());
      ended = true;
    }
    constexpr auto kRetryDelay = milliseconds(200);
    co_await SleepUntil(Clock::now() + kRetryDelay);
  }
}

auto Soak::RunJobs(std::uint64_t aSeed) -> Task<>
{
  Random random{ aSeed };
  constexpr std::uint64_t kEnded = 15; // percent
  constexpr std::uint64_t kMostReads = 4;
  constexpr auto kMostPause = milliseconds(600);
  ++mActive;
  while (!mCallersEnd) {
    const auto id = NextId("job");
    const auto accepted = co_await SubmitJob(id, random);
    if (accepted && Chance(random, kEnded)) {
      co_await EndJob(id, random);
    }
    const auto reads = accepted ? UniformBelow(random, kMostReads) : 0;
    for (std::uint64_t i = 0; i < reads && !mCallersEnd; ++i) {
      co_await ReadJob(id, random);
      co_await SleepUntil(Clock::now() + RandomTime(random, kMostPause));
    }
  }
  --mActive;
}

auto Soak::JobProblem(const std::string& aId, const Json& aPage) const
  -> std::string
{
  const auto count = mJobs.at(aId).mItems;
  const auto results =
    aPage.is_object() ? aPage.value("results", Json::array()) : Json::array();
  std::set<std::string> seen;
  for (const auto& result : results) {
    const auto id = result.value("id", "");
    if (!seen.insert(id).second) {
      return "lists " + id + " twice";
    }
    if (result.value("state", "") != platform::kCompleted ||
        result.value("output", "") != WholeOutput(id, kItemEvents)) {
      return absl::StrCat("has a wrong result: ", result.dump());
    }
  }
  return seen.size() == count
           ? ""
           : absl::StrCat("lists ", seen.size(), " of ", count, " results");
}

// Every job that was accepted and not ended must be whole.
auto Soak::CheckJobs() -> Task<>
{
  const auto deadline = Clock::now() + kJobsDeadline;
  for (const auto& [id, job] : mJobs) {
    if (!job.mAccepted || job.mEnded) {
      continue;
    }
    ++mCounts["jobs"];
    std::string problem = "was not read";
    while (!problem.empty()) {
      const auto page = co_await ReadJob(id, mRandom);
      problem = JobProblem(id, page);
      if (!problem.empty() && Clock::now() > deadline) {
        Violate(absl::StrCat("job ", id, " ", problem), Clock::now());
        break;
      }
    }
  }
}

} // namespace mangovalve::standin
