// mangovalve_demo: callers of one deployment, and the check that nothing was
// lost or duplicated.
//
// --mode traffic: every team of --teams (lines "TEAM KEY RATE") sends model
//   requests, streamed and not, plain reads and plain writes that may run only
//   once, to all daemons in turn. A request without an outcome is sent again to
//   another daemon, a write under the same Idempotency-Key. Prints one line per
//   team and "progress=half" once half of the requests have been sent.
// --mode jobs: compares the items and results of batch jobs (--jobs, lines
//   "TEAM JOB model|plain ITEMS_FILE RESULTS_FILE") with what ran.
//
// Both ask every endpoint of --endpoints for its executions. Exit code 1 when
// an answer or item was lost, duplicated or belongs to another request.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <gflags/gflags.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "mangovalve/base/random.h"
#include "mangovalve/base/thread.h"
#include "mangovalve/base/time.h"
#include "standins/common/batching.h"
#include "standins/common/executions.h"

DEFINE_string(mode, "traffic", "traffic or jobs");
DEFINE_string(deployment, "", "name printed with every line");
DEFINE_string(callers, "", "callers' addresses of all daemons, by commas");
DEFINE_string(endpoints, "", "addresses of all endpoints, by commas");
DEFINE_string(teams, "", "file of the teams");
DEFINE_string(jobs, "", "file of the jobs");
DEFINE_string(model, "", "model that the requests name");
DEFINE_string(read_path, "/profile", "path of plain reads");
DEFINE_string(write_path, "/profile/update", "path of plain writes");
DEFINE_double(seconds, 10, "how long each team sends");
DEFINE_uint64(seed, 1, "seed of the choice of daemons");

namespace mangovalve::standins {
namespace {

using Json = nlohmann::json;

constexpr int kWorkersPerTeam = 12;
constexpr int kMaxAttempts = 30;
constexpr auto kResendDelay = absl::Milliseconds(200);
constexpr std::uint32_t kTokens = 8;

struct Team
{
  std::string mName;
  std::string mKey;
  double mRate = 1; // requests per second
};

enum class Kind
{
  Whole,
  Stream,
  Read,
  Write,
};

enum class Outcome
{
  Answered,
  Refused, // by the team's rate
  Unknown, // a write whose outcome the system says is unknown
  Lost,    // no outcome after all attempts
};

struct Call
{
  Kind mKind = Kind::Whole;
  std::string mMarker; // unique; the prompt of models, the body of writes
  Outcome mOutcome = Outcome::Lost;
  int mResent = 0;
  bool mWrong = false; // an answer that is not the one to this request
  std::string mLastError;
};

auto ReadLines(const std::string& aFile) -> std::vector<std::string>
{
  std::ifstream file(aFile);
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) {
    if (!line.empty()) {
      lines.push_back(line);
    }
  }
  return lines;
}

auto Split(const std::string& aText, char aSeparator)
  -> std::vector<std::string>
{
  return absl::StrSplit(aText, aSeparator, absl::SkipEmpty());
}

// Text of the whole answer to a prompt.
auto ExpectedText(const std::string& aPrompt, std::uint32_t aTokens)
  -> std::string
{
  std::string text;
  for (std::uint32_t i = 0; i < aTokens; ++i) {
    text += TokenText(aPrompt, i);
  }
  return text;
}

auto ChoiceText(const Json& aAnswer) -> std::string
{
  const auto choices = aAnswer.value("choices", Json::array());
  return choices.empty() ? "" : choices[0].value("text", std::string());
}

// Text of a streamed answer; nothing unless it ends with [DONE].
auto StreamText(const std::string& aBody) -> std::optional<std::string>
{
  std::string text;
  auto done = false;
  for (const auto& line : Split(aBody, '\n')) {
    if (line == "data: [DONE]") {
      done = true;
    } else if (absl::StartsWith(line, "data: ")) {
      const auto event = Json::parse(line.substr(6), nullptr, false);
      text += event.is_object() ? ChoiceText(event) : "";
    }
  }
  return done ? std::optional(text) : std::nullopt;
}

auto IsRight(const Call& aCall, const std::string& aBody) -> bool
{
  if (aCall.mKind == Kind::Stream) {
    return StreamText(aBody) == ExpectedText(aCall.mMarker, kTokens);
  }
  const auto answer = Json::parse(aBody, nullptr, false);
  if (!answer.is_object()) {
    return false;
  }
  switch (aCall.mKind) {
    case Kind::Whole:
      return ChoiceText(answer) == ExpectedText(aCall.mMarker, kTokens);
    case Kind::Write:
      return answer.value("digest", "") == ContentDigest(aCall.mMarker);
    default:
      return answer.value("value", "") ==
             ContentDigest(
               absl::StrCat(FLAGS_read_path, "?item=", aCall.mMarker));
  }
}

auto Send(httplib::Client& aClient, const Team& aTeam, const Call& aCall)
  -> httplib::Result
{
  httplib::Headers headers{ { "Authorization",
                              absl::StrCat("Bearer ", aTeam.mKey) } };
  switch (aCall.mKind) {
    case Kind::Read:
      return aClient.Get(absl::StrCat(FLAGS_read_path, "?item=", aCall.mMarker),
                         headers);
    case Kind::Write:
      headers.emplace("Idempotency-Key", aCall.mMarker);
      return aClient.Post(
        FLAGS_write_path, headers, aCall.mMarker, "text/plain");
    default: {
      const Json body{ { "model", FLAGS_model },
                       { "prompt", aCall.mMarker },
                       { "max_tokens", kTokens },
                       { "stream", aCall.mKind == Kind::Stream } };
      return aClient.Post(
        "/v1/completions", headers, body.dump(), "application/json");
    }
  }
}

// Notes an answer; false when the request is to be sent again.
auto Take(const httplib::Result& aResult, Call& aCall) -> bool
{
  if (!aResult) {
    aCall.mLastError = httplib::to_string(aResult.error());
    return false;
  }
  if (aResult->status == 200) {
    aCall.mOutcome = Outcome::Answered;
    aCall.mWrong = !IsRight(aCall, aResult->body);
    if (aCall.mWrong) {
      aCall.mLastError = aResult->body;
    }
    return true;
  }
  aCall.mLastError = absl::StrCat(aResult->status, " ", aResult->body);
  if (aResult->status == 429) {
    aCall.mOutcome = Outcome::Refused;
    return true;
  }
  const auto body = Json::parse(aResult->body, nullptr, false);
  const auto error = body.is_object() ? body.value("error", Json()) : Json();
  const auto run = error.is_object() ? error.value("run", "") : "";
  // A write that may have run stays so: sending it again finds its intent.
  aCall.mOutcome = aCall.mKind == Kind::Write && run != "not_run"
                     ? Outcome::Unknown
                     : Outcome::Lost;
  return false;
}

// Traffic of one team.
struct TeamTraffic
{
  Team mTeam;
  std::size_t mCount = 0;
  std::atomic<std::size_t> mNext{ 0 };
  std::vector<Call> mCalls; // each worker writes the entries that it took
};

struct Progress
{
  std::size_t mTotal = 0;
  std::atomic<std::size_t> mSent{ 0 };
};

auto NoteSent(Progress& aProgress) -> void
{
  if (++aProgress.mSent == (aProgress.mTotal + 1) / 2) {
    std::printf("progress=half\n");
    std::fflush(stdout);
  }
}

auto RunCall(const std::vector<std::string>& aCallers,
             std::map<std::string, std::unique_ptr<httplib::Client>>& aClients,
             const Team& aTeam,
             Random& aRandom,
             Call& aCall) -> void
{
  auto at = UniformBelow(aRandom, aCallers.size());
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto& client = aClients[aCallers[at]];
    if (!client) {
      client = std::make_unique<httplib::Client>("http://" + aCallers[at]);
      client->set_keep_alive(true);
      client->set_tcp_nodelay(true);
      client->set_connection_timeout(2);
      client->set_read_timeout(40);
    }
    if (Take(Send(*client, aTeam, aCall), aCall)) {
      return;
    }
    ++aCall.mResent;
    at = (at + 1) % aCallers.size();
    absl::SleepFor(kResendDelay);
  }
}

auto RunWorker(const std::vector<std::string>& aCallers,
               TeamTraffic& aTraffic,
               Progress& aProgress,
               absl::Time aStart,
               std::uint64_t aSeed) -> void
{
  std::map<std::string, std::unique_ptr<httplib::Client>> clients;
  Random random{ aSeed };
  for (;;) {
    const auto index = aTraffic.mNext++;
    if (index >= aTraffic.mCount) {
      return;
    }
    absl::SleepFor(
      aStart +
      absl::Seconds(static_cast<double>(index) / aTraffic.mTeam.mRate) -
      absl::Now());
    NoteSent(aProgress);
    RunCall(aCallers, clients, aTraffic.mTeam, random, aTraffic.mCalls[index]);
  }
}

// Executions by content digest, over all endpoints; nothing when one of them
// cannot be asked.
auto FetchExecutions() -> std::optional<std::map<std::string, std::uint64_t>>
{
  std::map<std::string, std::uint64_t> counts;
  for (const auto& address : Split(FLAGS_endpoints, ',')) {
    httplib::Client client("http://" + address);
    const auto answer = client.Get("/executions");
    const auto json =
      answer ? Json::parse(answer->body, nullptr, false) : Json();
    if (!json.is_object()) {
      std::fprintf(stderr, "%s: executions cannot be read\n", address.c_str());
      return std::nullopt;
    }
    for (const auto& [digest, count] : json["by_content"].items()) {
      counts[digest] += count.get<std::uint64_t>();
    }
  }
  return counts;
}

auto CountOf(const std::map<std::string, std::uint64_t>& aExecutions,
             const std::string& aContent) -> std::uint64_t
{
  const auto found = aExecutions.find(ContentDigest(aContent));
  return found == aExecutions.end() ? 0 : found->second;
}

struct Totals
{
  std::size_t mAsked = 0;
  std::size_t mAnswered = 0;
  std::size_t mRefused = 0;
  std::size_t mUnknown = 0;
  std::size_t mResent = 0;
  std::size_t mLost = 0;
  std::size_t mDuplicated = 0;
  std::size_t mWrong = 0;
};

auto Add(Totals& aTotals, const Call& aCall, std::uint64_t aExecutions) -> void
{
  ++aTotals.mAsked;
  aTotals.mAnswered += aCall.mOutcome == Outcome::Answered ? 1 : 0;
  aTotals.mRefused += aCall.mOutcome == Outcome::Refused ? 1 : 0;
  aTotals.mUnknown += aCall.mOutcome == Outcome::Unknown ? 1 : 0;
  aTotals.mResent += static_cast<std::size_t>(aCall.mResent);
  const auto answeredWithoutRun = aCall.mOutcome == Outcome::Answered &&
                                  aCall.mKind != Kind::Read && aExecutions == 0;
  const auto isLost = aCall.mOutcome == Outcome::Lost || answeredWithoutRun;
  const auto isDuplicated = aCall.mKind == Kind::Write && aExecutions > 1;
  // A refusal says that the request did not run.
  const auto isFalse = aCall.mOutcome == Outcome::Refused && aExecutions > 0;
  aTotals.mLost += isLost ? 1 : 0;
  aTotals.mDuplicated += isDuplicated ? 1 : 0;
  aTotals.mWrong += aCall.mWrong || isFalse ? 1 : 0;
  if (isLost || isDuplicated || aCall.mWrong || isFalse) {
    std::fprintf(stderr,
                 "request %s: executions=%llu resent=%d lost=%d duplicated=%d "
                 "wrong=%d last: %.200s\n",
                 aCall.mMarker.c_str(),
                 static_cast<unsigned long long>(aExecutions),
                 aCall.mResent,
                 isLost,
                 isDuplicated,
                 aCall.mWrong || isFalse,
                 aCall.mLastError.c_str());
  }
}

auto PrintTotals(const std::string& aTeam, const Totals& aTotals) -> void
{
  absl::PrintF("deployment=%s team=%s asked=%d answered=%d refused=%d "
               "unknown=%d resent=%d lost=%d duplicated=%d wrong=%d\n",
               FLAGS_deployment,
               aTeam,
               aTotals.mAsked,
               aTotals.mAnswered,
               aTotals.mRefused,
               aTotals.mUnknown,
               aTotals.mResent,
               aTotals.mLost,
               aTotals.mDuplicated,
               aTotals.mWrong);
}

auto MakeTraffic() -> std::vector<std::unique_ptr<TeamTraffic>>
{
  std::vector<std::unique_ptr<TeamTraffic>> all;
  for (const auto& line : ReadLines(FLAGS_teams)) {
    const auto fields = Split(line, ' ');
    if (fields.size() != 3) {
      continue;
    }
    auto traffic = std::make_unique<TeamTraffic>();
    traffic->mTeam = { fields[0], fields[1], std::stod(fields[2]) };
    traffic->mCount =
      static_cast<std::size_t>(traffic->mTeam.mRate * FLAGS_seconds);
    traffic->mCalls.resize(traffic->mCount);
    for (std::size_t i = 0; i < traffic->mCount; ++i) {
      traffic->mCalls[i].mKind = static_cast<Kind>(i % 4);
      traffic->mCalls[i].mMarker =
        absl::StrCat(FLAGS_deployment, "-", fields[0], "-", i);
    }
    all.push_back(std::move(traffic));
  }
  return all;
}

auto RunTraffic() -> int
{
  const auto callers = Split(FLAGS_callers, ',');
  auto all = MakeTraffic();
  if (callers.empty() || all.empty()) {
    std::fprintf(stderr, "--callers and --teams are required\n");
    return 2;
  }
  Progress progress;
  for (const auto& traffic : all) {
    progress.mTotal += traffic->mCount;
  }
  {
    std::vector<Thread> workers;
    const auto start = absl::Now();
    auto seed = FLAGS_seed;
    for (const auto& traffic : all) {
      for (int i = 0; i < kWorkersPerTeam; ++i) {
        workers.emplace_back(
          "caller", [&callers, &traffic, &progress, start, seed = ++seed] {
            RunWorker(callers, *traffic, progress, start, seed);
          });
      }
    }
  }
  const auto executions = FetchExecutions();
  if (!executions) {
    return 1;
  }
  auto failed = false;
  for (const auto& traffic : all) {
    Totals totals;
    for (const auto& call : traffic->mCalls) {
      Add(totals, call, CountOf(*executions, call.mMarker));
    }
    PrintTotals(traffic->mTeam.mName, totals);
    failed = failed || totals.mLost + totals.mDuplicated + totals.mWrong > 0;
  }
  return failed ? 1 : 0;
}

struct JobFiles
{
  std::string mTeam;
  std::string mJob;
  bool mPlain = false;
  std::vector<Json> mItems;
  std::vector<Json> mResults;
};

auto ParseLines(const std::string& aFile) -> std::vector<Json>
{
  std::vector<Json> values;
  for (const auto& line : ReadLines(aFile)) {
    values.push_back(Json::parse(line, nullptr, false));
  }
  return values;
}

// What the endpoint counts an item by: the prompt or the body.
auto ContentOf(const JobFiles& aJob, const Json& aItem) -> std::string
{
  const auto& body = aItem.at("body");
  return aJob.mPlain ? body.dump() : body.at("prompt").get<std::string>();
}

auto IsItemRight(const JobFiles& aJob, const Json& aItem, const Json& aResult)
  -> bool
{
  const auto body = aResult.value("body", Json());
  if (!body.is_object()) {
    return false;
  }
  const auto content = ContentOf(aJob, aItem);
  if (aJob.mPlain) {
    return body.value("digest", "") == ContentDigest(content);
  }
  return ChoiceText(body) ==
         ExpectedText(content,
                      aItem.at("body").at("max_tokens").get<std::uint32_t>());
}

auto CheckJob(const JobFiles& aJob,
              const std::map<std::string, std::uint64_t>& aExecutions) -> bool
{
  std::map<std::string, std::vector<const Json*>> byId;
  for (const auto& result : aJob.mResults) {
    if (result.is_object()) {
      byId[result.value("custom_id", "")].push_back(&result);
    }
  }
  std::size_t completed = 0;
  std::size_t unknown = 0;
  std::size_t lost = 0;
  std::size_t duplicated = 0;
  std::size_t wrong = 0;
  for (const auto& item : aJob.mItems) {
    const auto& results = byId[item.value("custom_id", "")];
    const auto executions = CountOf(aExecutions, ContentOf(aJob, item));
    const auto status =
      results.empty() ? "" : results[0]->value("status", std::string());
    const auto isDone = status == "done";
    const auto isUnknown = status == "outcome_unknown" && aJob.mPlain;
    const auto isWrong = isDone && !IsItemRight(aJob, item, *results[0]);
    const auto isLost = (!isDone && !isUnknown) || (isDone && executions == 0);
    const auto isDuplicated =
      results.size() > 1 || (aJob.mPlain && executions > 1);
    completed += isDone ? 1 : 0;
    unknown += isUnknown ? 1 : 0;
    lost += isLost ? 1 : 0;
    duplicated += isDuplicated ? 1 : 0;
    wrong += isWrong ? 1 : 0;
    if (isLost || isDuplicated || isWrong) {
      std::fprintf(stderr,
                   "item %s: executions=%llu results=%zu %.300s\n",
                   item.dump().c_str(),
                   static_cast<unsigned long long>(executions),
                   results.size(),
                   results.empty() ? "" : results[0]->dump().c_str());
    }
  }
  absl::PrintF("deployment=%s team=%s job=%s items=%d completed=%d unknown=%d "
               "lost=%d duplicated=%d wrong=%d\n",
               FLAGS_deployment,
               aJob.mTeam,
               aJob.mJob,
               aJob.mItems.size(),
               completed,
               unknown,
               lost,
               duplicated,
               wrong);
  return lost + duplicated + wrong == 0;
}

auto CheckJobs() -> int
{
  const auto executions = FetchExecutions();
  if (!executions) {
    return 1;
  }
  auto failed = false;
  for (const auto& line : ReadLines(FLAGS_jobs)) {
    const auto fields = Split(line, ' ');
    if (fields.size() != 5) {
      std::fprintf(stderr, "malformed line in %s\n", FLAGS_jobs.c_str());
      return 2;
    }
    const JobFiles job{ fields[0],
                        fields[1],
                        fields[2] == "plain",
                        ParseLines(fields[3]),
                        ParseLines(fields[4]) };
    failed = !CheckJob(job, *executions) || failed;
  }
  return failed ? 1 : 0;
}

} // namespace
} // namespace mangovalve::standins

auto main(int aCount, char** aArguments) -> int
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return FLAGS_mode == "jobs" ? mangovalve::standins::CheckJobs()
                              : mangovalve::standins::RunTraffic();
}
