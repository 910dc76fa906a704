// mangovalve job submit|status|results|cancel
//
// Jobs are addressed by team and the caller's id, so that a submission can be
// sent again to any daemon until its outcome is known.
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>
#include <gflags/gflags.h>

#include "cli/commands.h"
#include "cli/flags.h"
#include "cli/http.h"
#include "mangovalve/base/time.h"

DEFINE_string(key_file, "", "file with the team's key; else MANGOVALVE_KEY");
DEFINE_string(route, "", "route that runs the job's items");
DEFINE_string(model, "", "model, when the route names none");
DEFINE_int32(chunk_size, 0, "items per chunk; 0: the daemon's default");
DEFINE_int32(max_attempts, 0, "attempts per item; 0: the daemon's default");
DEFINE_bool(repeatable, true, "whether an item may run more than once");
DEFINE_bool(wait, false, "wait until the job has ended, up to --timeout_s");
DEFINE_int64(from, 0, "index of the first result");

namespace mangovalve::cli {
namespace {

constexpr auto kPollInterval = absl::Milliseconds(200);
constexpr int kAccepted = 202; // outcome unknown: resend with the same id

constexpr const char* kJobUsage =
  R"(usage: mangovalve job COMMAND ID [--address IP:port,...] [--key_file FILE]
  job submit ID FILE --route NAME [--model NAME] [--chunk_size N]
      [--max_attempts N] [--repeatable=false] [--wait]    (FILE "-": standard input)
  job status ID [--wait]
  job results ID [--from INDEX]
  job cancel ID
The addresses are those for callers. The key comes from --key_file or from the
environment variable MANGOVALVE_KEY.)";

auto Usage(const std::string& aProblem) -> int
{
  PrintError(aProblem);
  absl::FPrintF(stderr, "%s\n", kJobUsage);
  return kExitUsage;
}

auto ReadAll(const std::string& aFile) -> std::optional<std::string>
{
  std::stringstream text;
  if (aFile == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream file(aFile);
  if (!file) {
    PrintError(absl::StrCat(aFile, ": cannot be read"));
    return std::nullopt;
  }
  text << file.rdbuf();
  return text.str();
}

// The key never appears in messages or in the arguments of the process.
auto ReadKey() -> std::optional<std::string>
{
  std::string key;
  if (!FLAGS_key_file.empty()) {
    auto text = ReadAll(FLAGS_key_file);
    if (!text) {
      return std::nullopt;
    }
    key = *std::move(text);
  } else if (const auto* const variable = std::getenv("MANGOVALVE_KEY")) {
    key = variable;
  }
  absl::StripAsciiWhitespace(&key);
  if (key.empty()) {
    PrintError("no key: use --key_file or MANGOVALVE_KEY");
    return std::nullopt;
  }
  return key;
}

auto JobCall(const std::string& aId, const std::string& aKey, bool aPost)
  -> HttpCall
{
  HttpCall call;
  call.mPost = aPost;
  call.mPath = absl::StrCat("/v1/jobs/", aId);
  call.mHeaders = { { "Authorization", absl::StrCat("Bearer ", aKey) } };
  return call;
}

// Ids stand in the path as they are.
auto IsJobId(const std::string& aId) -> bool
{
  if (aId.empty()) {
    return false;
  }
  for (const auto each : aId) {
    if (!absl::ascii_isalnum(static_cast<unsigned char>(each)) && each != '-' &&
        each != '_' && each != '.') {
      return false;
    }
  }
  return true;
}

// Calls again until the outcome is known or --timeout_s has passed. A daemon
// that could not resolve an append answers 202, a resend finds the job.
auto CallUntilKnown(const HttpCall& aCall) -> HttpAnswer
{
  const auto deadline = Clock::now() + std::chrono::seconds(FLAGS_timeout_s);
  auto answer = Call(aCall);
  while (answer.mStatus == kAccepted && Clock::now() < deadline) {
    PrintError("outcome unknown; sending it again with the same id");
    absl::SleepFor(kPollInterval);
    answer = Call(aCall);
  }
  return answer;
}

auto CodeOf(const HttpAnswer& aAnswer) -> int
{
  return aAnswer.mStatus == kAccepted ? kExitUnknown : ExitCodeOf(aAnswer);
}

auto PrintFailure(const HttpAnswer& aAnswer) -> void
{
  const auto body = ParseBody(aAnswer);
  const auto error = body.value("error", nlohmann::json::object());
  if (aAnswer.mStatus == 0 || !error.is_object()) {
    PrintError(aAnswer.mStatus == 0 ? aAnswer.mError
                                    : absl::StrCat("answer ", aAnswer.mStatus));
    return;
  }
  PrintError(absl::StrCat(aAnswer.mStatus,
                          " ",
                          error.value("reason", std::string("unknown")),
                          ": ",
                          error.value("message", std::string())));
}

auto StateOf(const nlohmann::json& aJob) -> std::string
{
  return aJob.value("state", std::string("unknown"));
}

auto PrintStatus(const nlohmann::json& aJob) -> void
{
  if (FLAGS_json) {
    absl::PrintF("%s\n", aJob.dump());
    return;
  }
  absl::PrintF("job=%s state=%s items=%d done=%d failed=%d "
               "outcome_unknown=%d pending=%d\n",
               aJob.value("id", std::string()),
               StateOf(aJob),
               aJob.value("items", 0),
               aJob.value("done", 0),
               aJob.value("failed", 0),
               aJob.value("outcome_unknown", 0),
               aJob.value("pending", 0));
}

auto ShowProgress(const nlohmann::json& aJob) -> void
{
  if (isatty(STDERR_FILENO) != 0) {
    const auto items = aJob.value("items", 0);
    absl::FPrintF(stderr,
                  "\r%s: %d of %d items ended ",
                  StateOf(aJob),
                  items - aJob.value("pending", 0),
                  items);
  }
}

// Polls the job until it has ended; the last answer.
auto WaitForEnd(const HttpCall& aStatus) -> HttpAnswer
{
  const auto deadline = Clock::now() + std::chrono::seconds(FLAGS_timeout_s);
  for (;;) {
    auto answer = Call(aStatus);
    const auto job = ParseBody(answer);
    if (answer.mStatus != 200 || StateOf(job) != "running" ||
        Clock::now() >= deadline) {
      if (isatty(STDERR_FILENO) != 0) {
        absl::FPrintF(stderr, "\n");
      }
      return answer;
    }
    ShowProgress(job);
    absl::SleepFor(kPollInterval);
  }
}

auto Finish(const HttpAnswer& aAnswer) -> int
{
  if (aAnswer.mStatus != 200) {
    PrintFailure(aAnswer);
    return CodeOf(aAnswer);
  }
  PrintStatus(ParseBody(aAnswer));
  return kExitOk;
}

auto Submit(const std::string& aId,
            const std::string& aFile,
            const std::string& aKey) -> int
{
  if (FLAGS_route.empty()) {
    return Usage("job submit needs --route");
  }
  auto body = ReadAll(aFile);
  if (!body) {
    return kExitUsage;
  }
  auto call = JobCall(aId, aKey, true);
  call.mBody = *std::move(body);
  call.mContentType = "application/x-ndjson";
  call.mQuery = { { "route", FLAGS_route } };
  if (!FLAGS_model.empty()) {
    call.mQuery.emplace_back("model", FLAGS_model);
  }
  if (FLAGS_chunk_size > 0) {
    call.mQuery.emplace_back("chunk_size", absl::StrCat(FLAGS_chunk_size));
  }
  if (FLAGS_max_attempts > 0) {
    call.mQuery.emplace_back("max_attempts", absl::StrCat(FLAGS_max_attempts));
  }
  if (!FLAGS_repeatable) {
    call.mQuery.emplace_back("repeatable", "false");
  }
  const auto answer = CallUntilKnown(call);
  if (answer.mStatus != 200 || !FLAGS_wait) {
    return Finish(answer);
  }
  return Finish(WaitForEnd(JobCall(aId, aKey, false)));
}

auto Status(const std::string& aId, const std::string& aKey) -> int
{
  const auto call = JobCall(aId, aKey, false);
  return Finish(FLAGS_wait ? WaitForEnd(call) : Call(call));
}

auto Results(const std::string& aId, const std::string& aKey) -> int
{
  auto call = JobCall(aId, aKey, false);
  call.mPath += "/results";
  call.mQuery = { { "from", absl::StrCat(FLAGS_from) } };
  const auto answer = Call(call);
  if (answer.mStatus != 200) {
    PrintFailure(answer);
    return CodeOf(answer);
  }
  absl::PrintF("%s", answer.mBody);
  return kExitOk;
}

auto Cancel(const std::string& aId, const std::string& aKey) -> int
{
  auto call = JobCall(aId, aKey, true);
  call.mPath += "/cancel";
  return Finish(CallUntilKnown(call));
}

} // namespace

auto RunJob(const std::vector<std::string>& aArgs) -> int
{
  const auto command = aArgs.empty() ? std::string() : aArgs[0];
  const std::size_t count = command == "submit" ? 3 : 2;
  if (command != "submit" && command != "status" && command != "results" &&
      command != "cancel") {
    return Usage(absl::StrCat("unknown job command \"", command, "\""));
  }
  if (aArgs.size() != count) {
    return Usage(absl::StrCat("job ", command, " takes ", count - 1, " names"));
  }
  if (!IsJobId(aArgs[1])) {
    return Usage("a job id has the characters A-Z, a-z, 0-9, '-', '_' and '.'");
  }
  const auto key = ReadKey();
  if (!key) {
    return kExitUsage;
  }
  if (command == "submit") {
    return Submit(aArgs[1], aArgs[2], *key);
  }
  if (command == "status") {
    return Status(aArgs[1], *key);
  }
  return command == "results" ? Results(aArgs[1], *key)
                              : Cancel(aArgs[1], *key);
}

} // namespace mangovalve::cli
