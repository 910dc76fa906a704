// HTTP API for operators to manage the configuration.
#include "mangovalve/config/http_admin.h"

#include <algorithm>
#include <memory>

#include <absl/strings/numbers.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "mangovalve/config/state.h"
#include "mangovalve/config/submission.h"
#include "mangovalve/config/toml.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using Json = nlohmann::json;
using httplib::Request;
using httplib::Response;

// Longer submitters, comments and submission ids are truncated to this.
constexpr std::size_t kMaxTextBytes = 1000;
constexpr std::uint64_t kDefaultHistoryLimit = 20;

auto SendJson(Response& aResponse, int aStatus, const Json& aJson) -> void
{
  aResponse.status = aStatus;
  aResponse.set_content(
    aJson.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n",
    "application/json");
}

auto SendError(Response& aResponse,
               int aStatus,
               const std::string& aReason,
               const std::string& aMessage,
               Json aDetails = Json::object()) -> void
{
  aDetails["error"] = aReason;
  aDetails["message"] = aMessage;
  SendJson(aResponse, aStatus, aDetails);
}

auto ToJson(const std::vector<ConfigProblem>& aProblems) -> Json
{
  auto json = Json::array();
  for (const auto& each : aProblems) {
    json.push_back({ { "path", each.mPath },
                     { "message", each.mMessage },
                     { "line", each.mLine } });
  }
  return json;
}

// Returns an integer from the query, or aDefault if it is absent. If it is
// malformed, sends status 400 and returns nothing.
auto NumberParam(const Request& aRequest,
                 Response& aResponse,
                 const char* aName,
                 std::uint64_t aDefault) -> std::optional<std::uint64_t>
{
  if (!aRequest.has_param(aName)) {
    return aDefault;
  }
  std::uint64_t value = 0;
  if (!absl::SimpleAtoi(aRequest.get_param_value(aName), &value)) {
    SendError(aResponse,
              400,
              "bad_parameter",
              std::string(aName) + " must be a non-negative integer");
    return std::nullopt;
  }
  return value;
}

auto TextParam(const Request& aRequest, const char* aName) -> std::string
{
  auto text = aRequest.get_param_value(aName);
  text.resize(std::min(text.size(), kMaxTextBytes));
  return text;
}

template<typename F>
auto ReadConfig(const ConfigAdmin& aAdmin, F&& aRead) -> decltype(auto)
{
  return aAdmin.mReplica->Read(
    [&](const FleetState& aState) { return aRead(aState.mConfig); });
}

auto SendJournalError(Response& aResponse,
                      const JournalError& aError,
                      const std::string& aId) -> void
{
  const Json id{ { "id", aId } };
  switch (aError.mKind) {
    case JournalError::Kind::OutcomeUnknown:
      SendError(aResponse, 504, "outcome_unknown", aError.mMessage, id);
      return;
    case JournalError::Kind::TooLarge:
      SendError(aResponse, 413, "too_large", aError.mMessage, id);
      return;
    case JournalError::Kind::NotAppended:
    case JournalError::Kind::QueueFull:
      SendError(aResponse, 503, "not_accepted", aError.mMessage, id);
      return;
  }
}

auto SendConflict(Response& aResponse, std::uint64_t aCurrent) -> void
{
  SendError(aResponse,
            409,
            "conflict",
            "the current revision is " + std::to_string(aCurrent),
            { { "current_revision", aCurrent } });
}

// Commits a planned submission and sends its verdict.
auto Commit(const ConfigAdmin& aAdmin,
            const Request& aRequest,
            Response& aResponse,
            Submission aSubmission) -> void
{
  aSubmission.mId = TextParam(aRequest, "id");
  if (aSubmission.mId.empty()) {
    aSubmission.mId = ToHex(NewId());
  }
  aSubmission.mSubmitter = TextParam(aRequest, "submitter");
  aSubmission.mComment = TextParam(aRequest, "comment");
  const auto id = aSubmission.mId;
  const auto base = aSubmission.mBaseRevision;
  const auto committed =
    aAdmin.mJournal.mCommit(DraftSubmission(std::move(aSubmission)),
                            CommitPriority::Configuration,
                            Clock::now() + aAdmin.mCommitTimeout);
  if (!committed) {
    SendJournalError(aResponse, committed.error(), id);
    return;
  }
  const auto& verdict = committed->mVerdict;
  LogEvent(Severity::Info,
           "config_submission",
           { { "base", std::to_string(base) },
             { "accepted", verdict.mAccepted ? "true" : "false" },
             { "reason", verdict.mReason },
             { "revision", std::to_string(verdict.mDetail) } });
  if (verdict.mAccepted) {
    SendJson(aResponse, 200, { { "revision", verdict.mDetail }, { "id", id } });
  } else if (verdict.mReason == "conflict") {
    SendConflict(aResponse, verdict.mDetail);
  } else {
    SendError(aResponse, 409, verdict.mReason, "the submission was rejected");
  }
}

// If the submission has already been accepted, sends its revision and returns
// true.
auto HandleResend(const ConfigAdmin& aAdmin,
                  const Request& aRequest,
                  Response& aResponse) -> bool
{
  const auto id = TextParam(aRequest, "id");
  const auto accepted = ReadConfig(aAdmin, [&](const ConfigState& aState) {
    const auto* const found = FindSubmission(aState, id);
    return found == nullptr ? 0 : found->mNumber;
  });
  if (accepted != 0) {
    SendJson(aResponse, 200, { { "revision", accepted }, { "id", id } });
  }
  return accepted != 0;
}

// Calls aPlan with the current ConfigState and commits the submission that it
// returns.
template<typename F>
auto PlanAndCommit(const ConfigAdmin& aAdmin,
                   const Request& aRequest,
                   Response& aResponse,
                   F&& aPlan) -> void
{
  if (!aAdmin.mReplica->CaughtUp()) {
    SendError(aResponse,
              503,
              "not_accepted",
              "this host has not caught up with the log yet");
    return;
  }
  if (HandleResend(aAdmin, aRequest, aResponse)) {
    return;
  }
  std::uint64_t current = 0;
  auto plan = ReadConfig(aAdmin, [&](const ConfigState& aState) {
    current = aState.mRevision;
    return aPlan(aState);
  });
  if (plan) {
    Commit(aAdmin, aRequest, aResponse, std::move(*plan));
  } else if (plan.error() == "conflict") {
    SendConflict(aResponse, current);
  } else if (plan.error() == "unchanged") {
    SendJson(
      aResponse, 200, { { "revision", current }, { "unchanged", true } });
  } else {
    SendError(
      aResponse, 404, plan.error(), "the revision is not in the history");
  }
}

auto Check(const Request& aRequest, Response& aResponse) -> void
{
  const auto parsed = ParseConfig(aRequest.body);
  const auto valid = parsed.mErrors.empty();
  SendJson(aResponse,
           valid ? 200 : 422,
           { { "ok", valid },
             { "errors", ToJson(parsed.mErrors) },
             { "warnings", ToJson(parsed.mWarnings) } });
}

auto Submit(const ConfigAdmin& aAdmin,
            const Request& aRequest,
            Response& aResponse) -> void
{
  const auto base = NumberParam(aRequest, aResponse, "base", 0);
  if (!base) {
    return;
  }
  const auto parsed = ParseConfig(aRequest.body);
  if (!parsed.mErrors.empty()) {
    SendError(aResponse,
              422,
              "invalid",
              "the document has errors",
              { { "errors", ToJson(parsed.mErrors) } });
    return;
  }
  PlanAndCommit(aAdmin, aRequest, aResponse, [&](const ConfigState& aState) {
    return PlanSubmission(aState, *base, parsed.mDocument);
  });
}

auto Rollback(const ConfigAdmin& aAdmin,
              const Request& aRequest,
              Response& aResponse) -> void
{
  const auto to = NumberParam(aRequest, aResponse, "to", 0);
  if (to) {
    PlanAndCommit(aAdmin, aRequest, aResponse, [&](const ConfigState& aState) {
      return PlanRollback(aState, *to);
    });
  }
}

// Adds one host to the response of "status".
auto AddHost(const ConfigState& aState,
             const HostConfirmation& aHost,
             Json& aJson) -> void
{
  Json revision;
  auto confirmed = false;
  if (aHost.mApplied) {
    if (const auto known = RevisionBefore(aState, *aHost.mApplied)) {
      revision = *known;
      confirmed =
        *known == aState.mRevision && aHost.mAge <= kConfirmationMaxAge;
    }
  }
  aJson["hosts"].push_back(
    { { "host", aHost.mHost },
      { "domain", aHost.mDomain },
      { "revision", revision },
      { "report_age_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(aHost.mAge)
          .count() },
      { "confirmed", confirmed } });
  if (!confirmed) {
    aJson["unconfirmed"].push_back(aHost.mHost);
  }
}

auto Status(const ConfigAdmin& aAdmin, Response& aResponse) -> void
{
  const auto confirmations = aAdmin.mConfirmations();
  Json json{ { "hosts", Json::array() }, { "unconfirmed", Json::array() } };
  ReadConfig(aAdmin, [&](const ConfigState& aState) {
    json["revision"] = aState.mRevision;
    json["digest"] =
      aState.mHistory.empty() ? "" : aState.mHistory.back().mDigest;
    for (const auto& each : confirmations) {
      AddHost(aState, each, json);
    }
  });
  const auto contact = aAdmin.mReplica->LastLogContact();
  json["log_contact_age_ms"] =
    contact ? Json(std::chrono::duration_cast<std::chrono::milliseconds>(
                     Clock::now() - *contact)
                     .count())
            : Json(nullptr);
  SendJson(aResponse, 200, json);
}

auto History(const ConfigAdmin& aAdmin,
             const Request& aRequest,
             Response& aResponse) -> void
{
  const auto limit =
    NumberParam(aRequest, aResponse, "limit", kDefaultHistoryLimit);
  if (!limit) {
    return;
  }
  auto revisions = Json::array();
  ReadConfig(aAdmin, [&](const ConfigState& aState) {
    for (auto each = aState.mHistory.rbegin();
         each != aState.mHistory.rend() && revisions.size() < *limit;
         ++each) {
      revisions.push_back(
        { { "revision", each->mNumber },
          { "time_ms", each->mContext.mTime.time_since_epoch().count() },
          { "submitter", each->mSubmitter },
          { "comment", each->mComment },
          { "rollback_of", each->mRollbackOf },
          { "changed_entries", each->mUndo.size() },
          { "digest", each->mDigest } });
    }
  });
  SendJson(aResponse, 200, { { "revisions", revisions } });
}

// Returns the entries of the revision in the query parameter aName, by default
// the current one. On an error, sends status 400 or 404 and returns nothing.
// Revision 0 is the empty document.
auto EntriesOfParam(const ConfigAdmin& aAdmin,
                    const Request& aRequest,
                    Response& aResponse,
                    const char* aName) -> std::optional<ConfigEntries>
{
  const auto current = ReadConfig(
    aAdmin, [](const ConfigState& aState) { return aState.mRevision; });
  const auto revision = NumberParam(aRequest, aResponse, aName, current);
  if (!revision) {
    return std::nullopt;
  }
  auto entries = ReadConfig(aAdmin, [&](const ConfigState& aState) {
    return *revision == 0 ? std::optional<ConfigEntries>(ConfigEntries())
                          : EntriesAt(aState, *revision);
  });
  if (!entries) {
    SendError(aResponse,
              404,
              "unknown_revision",
              "revision " + std::to_string(*revision) +
                " is not in the history");
  }
  return entries;
}

auto Show(const ConfigAdmin& aAdmin,
          const Request& aRequest,
          Response& aResponse) -> void
{
  const auto entries = EntriesOfParam(aAdmin, aRequest, aResponse, "revision");
  if (!entries) {
    return;
  }
  Document document;
  for (const auto& [path, json] : *entries) {
    if (const auto set = SetEntry(document, path, json); !set) {
      SendError(aResponse, 500, "malformed", set.error());
      return;
    }
  }
  aResponse.set_content(FormatConfig(document), "application/toml");
}

auto Diff(const ConfigAdmin& aAdmin,
          const Request& aRequest,
          Response& aResponse) -> void
{
  const auto from = EntriesOfParam(aAdmin, aRequest, aResponse, "from");
  const auto to =
    from ? EntriesOfParam(aAdmin, aRequest, aResponse, "to") : std::nullopt;
  if (!to) {
    return;
  }
  const auto text = [](const ConfigEntries& aEntries,
                       const std::string& aPath) {
    const auto found = aEntries.find(aPath);
    return found == aEntries.end() ? Json(nullptr) : Json(found->second);
  };
  auto changes = Json::array();
  for (const auto& [path, json] : DiffEntries(*from, *to)) {
    changes.push_back({ { "path", path },
                        { "from", text(*from, path) },
                        { "to", text(*to, path) } });
  }
  SendJson(aResponse, 200, { { "changes", changes } });
}

} // namespace

auto RegisterConfigAdmin(httplib::Server& aServer, ConfigAdmin aAdmin) -> void
{
  const auto admin = std::make_shared<const ConfigAdmin>(std::move(aAdmin));
  const auto with = [admin](auto aHandler) {
    return [admin, aHandler](const Request& aRequest, Response& aResponse) {
      aHandler(*admin, aRequest, aResponse);
    };
  };
  aServer.Post("/v1/config/check", Check);
  aServer.Post("/v1/config/submit", with(Submit));
  aServer.Post("/v1/config/rollback", with(Rollback));
  aServer.Get("/v1/config/status",
              [admin](const Request&, Response& aResponse) {
                Status(*admin, aResponse);
              });
  aServer.Get("/v1/config/history", with(History));
  aServer.Get("/v1/config/show", with(Show));
  aServer.Get("/v1/config/diff", with(Diff));
}

} // namespace mangovalve
