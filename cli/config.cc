// mangovalve config check|submit|status|history|show|diff|rollback
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <gflags/gflags.h>

#include "cli/commands.h"
#include "cli/flags.h"
#include "cli/http.h"
#include "mangovalve/base/id.h"
#include "mangovalve/config/toml.h"

DEFINE_uint64(base, 0, "revision that a submitted document replaces");
DEFINE_string(submitter, "", "name of the operator, kept in the history");
DEFINE_string(comment, "", "text kept in the history");
DEFINE_string(id, "", "id of a submission or job; a resend keeps it");
DEFINE_uint64(limit, 20, "number of revisions that history shows");

namespace mangovalve::cli {
namespace {

using Json = nlohmann::json;
using Args = std::vector<std::string>;

auto Usage(const char* aText) -> int
{
  PrintError(std::string("usage: mangovalve config ") + aText);
  return kExitUsage;
}

// Reads a file, or standard input for "-".
auto ReadInput(const std::string& aPath) -> std::optional<std::string>
{
  using Chars = std::istreambuf_iterator<char>;
  if (aPath == "-") {
    return std::string(Chars(std::cin), Chars());
  }
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    PrintError("cannot read " + aPath);
    return std::nullopt;
  }
  return std::string(Chars(file), Chars());
}

auto ReadRevision(const std::string& aText) -> std::optional<std::uint64_t>
{
  std::uint64_t revision = 0;
  if (!absl::SimpleAtoi(aText, &revision)) {
    PrintError("not a revision: " + aText);
    return std::nullopt;
  }
  return revision;
}

auto PrintProblems(std::FILE* aFile, const char* aKind, const Json& aProblems)
  -> void
{
  for (const auto& each : aProblems) {
    absl::FPrintF(aFile,
                  "%s line %d: %s: %s\n",
                  aKind,
                  each.value("line", 0),
                  each.value("path", ""),
                  each.value("message", ""));
  }
}

// Prints a failed answer to standard error.
auto PrintFailure(const HttpAnswer& aAnswer) -> void
{
  const auto json = ParseBody(aAnswer);
  PrintError(aAnswer.mStatus == 0
               ? aAnswer.mError
               : absl::StrFormat("%s: %s",
                                 json.value("error", "error"),
                                 json.value("message", aAnswer.mBody)));
  if (json.contains("errors")) {
    PrintProblems(stderr, "error", json["errors"]);
  }
}

// Prints the answer: as JSON if asked for, else by aPrint.
template<typename F>
auto Finish(const HttpAnswer& aAnswer, F&& aPrint) -> int
{
  const auto code = ExitCodeOf(aAnswer);
  if (FLAGS_json && aAnswer.mStatus != 0) {
    absl::PrintF("%s", aAnswer.mBody);
  } else if (code != kExitOk) {
    PrintFailure(aAnswer);
  } else {
    aPrint(ParseBody(aAnswer));
  }
  return code;
}

// Checks on this machine, by the same code as a daemon.
auto CheckFile(const Args& aArgs) -> int
{
  if (aArgs.size() != 2) {
    return Usage("check FILE");
  }
  const auto text = ReadInput(aArgs[1]);
  if (!text) {
    return kExitUsage;
  }
  const auto parsed = ParseConfig(*text);
  const auto toJson = [](const std::vector<ConfigProblem>& aProblems) {
    auto json = Json::array();
    for (const auto& each : aProblems) {
      json.push_back({ { "path", each.mPath },
                       { "message", each.mMessage },
                       { "line", each.mLine } });
    }
    return json;
  };
  const Json report{ { "ok", parsed.mErrors.empty() },
                     { "errors", toJson(parsed.mErrors) },
                     { "warnings", toJson(parsed.mWarnings) } };
  if (FLAGS_json) {
    absl::PrintF("%s\n", report.dump());
  } else {
    PrintProblems(stderr, "error", report["errors"]);
    PrintProblems(stderr, "warning", report["warnings"]);
  }
  return parsed.mErrors.empty() ? kExitOk : kExitUsage;
}

// The query of a submission. Prints the id when the outcome may be unknown.
auto SubmissionQuery() -> std::vector<std::pair<std::string, std::string>>
{
  if (FLAGS_id.empty()) {
    FLAGS_id = ToHex(NewId());
  }
  return { { "id", FLAGS_id },
           { "submitter", FLAGS_submitter },
           { "comment", FLAGS_comment } };
}

auto FinishSubmission(const HttpAnswer& aAnswer) -> int
{
  const auto code = Finish(aAnswer, [](const Json& aJson) {
    absl::PrintF("revision %d%s\n",
                 aJson.value("revision", std::uint64_t{ 0 }),
                 aJson.value("unchanged", false) ? " (unchanged)" : "");
  });
  if (code == kExitUnknown) {
    PrintError("outcome unknown; resend with --id " + FLAGS_id);
  }
  return code;
}

auto Submit(const Args& aArgs) -> int
{
  if (aArgs.size() != 2) {
    return Usage("submit FILE --base REVISION");
  }
  auto text = ReadInput(aArgs[1]);
  if (!text) {
    return kExitUsage;
  }
  HttpCall call{ true, "/v1/config/submit", SubmissionQuery(), {}, {} };
  call.mQuery.emplace_back("base", std::to_string(FLAGS_base));
  call.mBody = std::move(*text);
  call.mContentType = "application/toml";
  return FinishSubmission(Call(call));
}

auto Rollback(const Args& aArgs) -> int
{
  const auto to = aArgs.size() == 2 ? ReadRevision(aArgs[1]) : std::nullopt;
  if (!to) {
    return Usage("rollback REVISION");
  }
  HttpCall call{ true, "/v1/config/rollback", SubmissionQuery(), {}, {} };
  call.mQuery.emplace_back("to", std::to_string(*to));
  return FinishSubmission(Call(call));
}

auto Status(const Args& aArgs) -> int
{
  if (aArgs.size() != 1) {
    return Usage("status");
  }
  return Finish(Call({ false, "/v1/config/status" }), [](const Json& aJson) {
    absl::PrintF("revision %d\n", aJson.value("revision", std::uint64_t{ 0 }));
    for (const auto& each : aJson.value("hosts", Json::array())) {
      absl::PrintF("%s %s revision %s %s\n",
                   each.value("host", ""),
                   each.value("domain", ""),
                   each["revision"].is_null() ? "?" : each["revision"].dump(),
                   each.value("confirmed", false) ? "confirmed"
                                                  : "UNCONFIRMED");
    }
  });
}

auto History(const Args& aArgs) -> int
{
  if (aArgs.size() != 1) {
    return Usage("history [--limit N]");
  }
  const HttpCall call{ false,
                       "/v1/config/history",
                       { { "limit", std::to_string(FLAGS_limit) } } };
  return Finish(Call(call), [](const Json& aJson) {
    for (const auto& each : aJson.value("revisions", Json::array())) {
      const auto rollback = each.value("rollback_of", std::uint64_t{ 0 });
      absl::PrintF("%d time_ms=%d submitter=%s%s %s\n",
                   each.value("revision", std::uint64_t{ 0 }),
                   each.value("time_ms", std::int64_t{ 0 }),
                   each.value("submitter", ""),
                   rollback == 0 ? ""
                                 : absl::StrFormat(" rollback_of=%d", rollback),
                   each.value("comment", ""));
    }
  });
}

auto Show(const Args& aArgs) -> int
{
  HttpCall call{ false, "/v1/config/show" };
  if (aArgs.size() == 2) {
    const auto revision = ReadRevision(aArgs[1]);
    if (!revision) {
      return kExitUsage;
    }
    call.mQuery.emplace_back("revision", std::to_string(*revision));
  } else if (aArgs.size() != 1) {
    return Usage("show [REVISION]");
  }
  const auto answer = Call(call);
  return Finish(answer, [&](const Json&) { absl::PrintF("%s", answer.mBody); });
}

auto Diff(const Args& aArgs) -> int
{
  if (aArgs.size() < 2 || aArgs.size() > 3) {
    return Usage("diff FROM [TO]");
  }
  HttpCall call{ false, "/v1/config/diff" };
  for (std::size_t i = 1; i < aArgs.size(); ++i) {
    const auto revision = ReadRevision(aArgs[i]);
    if (!revision) {
      return kExitUsage;
    }
    call.mQuery.emplace_back(i == 1 ? "from" : "to", std::to_string(*revision));
  }
  return Finish(Call(call), [](const Json& aJson) {
    for (const auto& each : aJson.value("changes", Json::array())) {
      const auto path = each.value("path", "");
      if (!each["from"].is_null()) {
        absl::PrintF("- %s %s\n", path, each.value("from", ""));
      }
      if (!each["to"].is_null()) {
        absl::PrintF("+ %s %s\n", path, each.value("to", ""));
      }
    }
  });
}

} // namespace

auto RunConfig(const std::vector<std::string>& aArgs) -> int
{
  const auto command = aArgs.empty() ? std::string() : aArgs[0];
  if (command == "check") {
    return CheckFile(aArgs);
  }
  if (command == "submit") {
    return Submit(aArgs);
  }
  if (command == "status") {
    return Status(aArgs);
  }
  if (command == "history") {
    return History(aArgs);
  }
  if (command == "show") {
    return Show(aArgs);
  }
  if (command == "diff") {
    return Diff(aArgs);
  }
  if (command == "rollback") {
    return Rollback(aArgs);
  }
  return Usage("check|submit|status|history|show|diff|rollback");
}

} // namespace mangovalve::cli
