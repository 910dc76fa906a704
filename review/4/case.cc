// Replicas spoil three in a hundred of their answers: within a stream, the
// bytes of one event are wrong. Resumable streams then go on at other replicas.
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include "platform/names.h"
#include "review/common/fleet.h"

namespace mangovalve::review {
namespace {

constexpr std::size_t kStreams = 384;
constexpr std::size_t kClients = 24;
constexpr std::uint64_t kEvents = 28; // as of the users' phrase-hint-long
constexpr auto kPerEvent = milliseconds(20);
constexpr std::size_t kReplicas = 6;
constexpr std::size_t kFaulty = 3;     // replicas that spoil answers
constexpr std::uint64_t kOneIn = 34;   // of all answers is spoiled
constexpr std::uint64_t kSpoiled = 12; // event whose bytes are wrong
constexpr auto kPatience = seconds(5); // Deadline-Ms
constexpr auto kSettling = seconds(2);
// The time in which answers are spoiled, from the first request on.
constexpr auto kTroubleFrom = seconds(2);
constexpr auto kTroubleFor = seconds(5);

struct Counts
{
  TimePoint mFrom{};          // begin of the time in which answers are spoiled
  std::uint64_t mAnswers = 0; // begun in that time, by all replicas
  std::uint64_t mDue = 0;     // answers to be spoiled
  std::uint64_t mSpoiled = 0;
  std::size_t mClients = 0; // that have not ended
};

auto HeaderText(const Request& aRequest, const char* aName) -> std::string
{
  const auto value = aRequest[aName];
  return { value.data(), value.size() };
}

auto EventOf(const std::string& aId, std::uint64_t aNumber) -> std::string
{
  return absl::StrCat("id: ", aNumber, "\ndata: ", aId, "-", aNumber, "\n\n");
}

// A replica that streams, resumes, and spoils some of its answers.
class Replica
{
public:
  Replica(asio::io_context& aLoop,
          std::string aId,
          Counts& aCounts,
          bool aFaulty)
    : mId(std::move(aId))
    , mCounts(aCounts)
    , mFaulty(aFaulty)
    , mServer(
        aLoop,
        [this](CallerPtr aCaller, std::shared_ptr<Request> aRequest) {
          return Answer(std::move(aCaller), std::move(aRequest));
        },
        [] { return CallerLimits{}; })
  {
  }

  auto Listen(const std::string& aAddress) -> ErrorCode
  {
    return mServer.Listen(aAddress);
  }

private:
  auto Answer(CallerPtr aCaller, std::shared_ptr<Request> aRequest) -> Task<>
  {
    const auto id = HeaderText(*aRequest, platform::kRequestId);
    ResponseHead head;
    head.result(200U);
    head.set(platform::kRequestId, id);
    head.set(platform::kSignature, "by-" + mId);
    head.set(http::field::content_type, "text/event-stream");
    std::uint64_t last = 0;
    // Without the header, the stream begins at its first event.
    static_cast<void>(
      absl::SimpleAtoi(HeaderText(*aRequest, platform::kLastEventId), &last));
    const auto now = Clock::now();
    const auto trouble =
      now >= mCounts.mFrom && now < mCounts.mFrom + kTroubleFor;
    if (trouble) {
      ++mCounts.mAnswers;
      mCounts.mDue += mCounts.mAnswers % kOneIn == 0 ? 1 : 0;
    }
    const auto spoil =
      Fleet::Trouble() && trouble && mFaulty && mCounts.mDue > 0;
    if (spoil) {
      --mCounts.mDue;
      ++mCounts.mSpoiled;
    }
    std::string nothing;
    co_await aCaller->BeginChunks(head, std::move(nothing));
    for (auto number = last + 1; number <= kEvents; ++number) {
      co_await SleepUntil(Clock::now() + kPerEvent);
      if (aCaller->Disconnected()) {
        co_return;
      }
      auto bytes = EventOf(id, number);
      // One step of the engine gives two events, of which the second has wrong
      // bytes.
      if (spoil && number + 1 == kSpoiled) {
        auto wrong = EventOf(id, ++number);
        wrong.replace(0, 3, "#?!");
        bytes += wrong;
      }
      co_await aCaller->SendChunk(std::move(bytes));
    }
    co_await aCaller->EndChunks();
  }

  std::string mId;
  Counts& mCounts;
  bool mFaulty;
  AsyncHttpServer mServer;
};

// The numbers of the events in the stream, in their order.
auto EventNumbers(const std::string& aBody) -> std::vector<std::uint64_t>
{
  std::vector<std::uint64_t> numbers;
  for (auto line : absl::StrSplit(aBody, '\n')) {
    std::uint64_t number = 0;
    if (absl::ConsumePrefix(&line, "id: ") && absl::SimpleAtoi(line, &number)) {
      numbers.push_back(number);
    }
  }
  return numbers;
}

// What is wrong with a stream that ended as complete; empty: nothing.
auto Problem(const std::string& aId, const std::string& aBody) -> std::string
{
  std::string whole;
  for (std::uint64_t number = 1; number <= kEvents; ++number) {
    whole += EventOf(aId, number);
  }
  return aBody == whole ? ""
                        : absl::StrCat("its events are ",
                                       absl::StrJoin(EventNumbers(aBody), " "));
}

auto AskStream(Fleet& aFleet, std::string aId, const Daemon& aDaemon) -> Task<>
{
  Request request(http::verb::post, "/hint/2f", 11);
  request.set(http::field::host, "hints.example");
  request.set(platform::kCallerKey, "key-amber");
  request.set(platform::kRequestId, aId);
  request.set("Model", "m");
  request.set("Token-Usage", "450,28");
  request.set(platform::kPromptParts,
              absl::StrCat("5c1e07a2:200,", aId, ":250"));
  request.set(platform::kDeadline, "5000");
  request.body() = "prompt of " + aId;
  const auto reply =
    co_await aFleet.Call(aDaemon, std::move(request), kPatience);
  const auto problem =
    reply.mStatus == 200 ? Problem(aId, reply.mBody) : std::string();
  aFleet.Record(absl::StrCat("stream ",
                             aId,
                             " at ",
                             aDaemon.mName,
                             " -> ",
                             reply.mStatus,
                             " ",
                             reply.mError));
  if (!problem.empty()) {
    aFleet.Break(
      absl::StrCat("ORDER: stream ", aId, " ended as complete, but ", problem));
  }
}

auto RunClient(Fleet& aFleet, std::size_t aClient, Counts& aCounts) -> Task<>
{
  for (std::size_t i = 0; i < kStreams / kClients; ++i) {
    auto id = absl::StrCat("c", aClient, "a", i);
    const auto& daemon =
      aFleet.mDaemons[(aClient + i) % aFleet.mDaemons.size()];
    co_await AskStream(aFleet, std::move(id), daemon);
  }
  --aCounts.mClients;
}

auto RunIt(Fleet& aFleet) -> Task<int>
{
  static Counts counts;
  static std::deque<Replica> replicas;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    const auto id = absl::StrCat("i-", i);
    const auto address = FreeAddress();
    auto& replica =
      replicas.emplace_back(aFleet.mLoop, id, counts, i < kFaulty);
    if (replica.Listen(address)) {
      co_return kCouldNotRun;
    }
    aFleet.RegisterReplica("hint-llm", id, address, 8);
  }
  const auto started = co_await aFleet.Start();
  if (!started) {
    co_return kCouldNotRun;
  }
  co_await SleepUntil(Clock::now() + kSettling);
  counts.mFrom = Clock::now() + kTroubleFrom;
  counts.mClients = kClients;
  for (std::size_t i = 0; i < kClients; ++i) {
    Spawn(aFleet.mLoop, RunClient(aFleet, i, counts));
  }
  while (counts.mClients > 0) {
    co_await SleepUntil(Clock::now() + milliseconds(50));
  }
  aFleet.Record(absl::StrCat(counts.mAnswers,
                             " answers begun within ",
                             kTroubleFor.count(),
                             " s, spoiled: ",
                             counts.mSpoiled));
  co_return aFleet.Verdict();
}

} // namespace
} // namespace mangovalve::review

auto main() -> int
{
  return mangovalve::review::RunCase({}, mangovalve::review::RunIt);
}
