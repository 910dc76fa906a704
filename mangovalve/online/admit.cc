// Admission of a request: checks limits, route, key, team, input and deadline.
#include <algorithm>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include "mangovalve/base/id.h"
#include "mangovalve/keys/keys.h"
#include "mangovalve/online/request.h"

namespace mangovalve {
namespace {

using nlohmann::json;

// Prompts with the same leading bytes, up to this number, share a prefix.
constexpr std::size_t kPrefixBytes = 512;
constexpr double kDefaultOutputTokens = 256;
constexpr double kBytesPerToken = 4;
constexpr double kPlainRequestTokens = 64; // estimated work

auto NotRun(int aStatus, const char* aReason, std::string aMessage)
  -> tl::unexpected<Refusal>
{
  return Err(Refusal{
    aStatus, aReason, std::move(aMessage), ExecutionState::NotRun, {} });
}

auto IsPrefixOf(const std::string& aPrefix, const std::string& aPath) -> bool
{
  return absl::StartsWith(aPath, aPrefix) &&
         (aPath.size() == aPrefix.size() || aPrefix.empty() ||
          aPrefix.back() == '/' || aPath[aPrefix.size()] == '/');
}

auto HasDotSegment(const std::string& aPath) -> bool
{
  const std::vector<std::string> segments = absl::StrSplit(aPath, '/');
  return std::any_of(
    segments.begin(), segments.end(), [](const std::string& aSegment) {
      return aSegment == "." || aSegment == "..";
    });
}

// Fields of a model request's body; defaults for plain requests.
struct ModelBody
{
  std::string mModel;
  bool mStream = false;
  std::string mPrompt; // serialized; used for its length and prefix
  double mOutputTokens = kDefaultOutputTokens;
};

auto PromptText(const json& aBody) -> std::string
{
  if (aBody.contains("messages")) {
    return aBody["messages"].dump(
      -1, ' ', false, json::error_handler_t::replace);
  }
  return aBody["prompt"].dump(-1, ' ', false, json::error_handler_t::replace);
}

auto ParseModelBody(const OnlineRequest& aRequest) -> Result<ModelBody, Refusal>
{
  const auto body = json::parse(aRequest.mBody, nullptr, false);
  if (!body.is_object()) {
    return NotRun(400, "bad_body", "the body is not a JSON object");
  }
  ModelBody parsed;
  if (!body.contains("model") || !body["model"].is_string()) {
    return NotRun(400, "bad_body", "\"model\" is missing or not a string");
  }
  parsed.mModel = body["model"].get<std::string>();
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return NotRun(400, "bad_body", "\"stream\" is not true or false");
  }
  parsed.mStream = body.value("stream", false);
  const auto chat = absl::EndsWith(aRequest.mPath, "/chat/completions");
  const auto* const input = chat ? "messages" : "prompt";
  if (!body.contains(input)) {
    return NotRun(400, "bad_body", absl::StrCat("\"", input, "\" is missing"));
  }
  if (chat && !body["messages"].is_array()) {
    return NotRun(400, "bad_body", "\"messages\" is not an array");
  }
  if (body.contains("max_tokens")) {
    if (!body["max_tokens"].is_number_unsigned() ||
        body["max_tokens"].get<std::uint64_t>() < 1) {
      return NotRun(
        400, "bad_body", "\"max_tokens\" is not a positive integer");
    }
    parsed.mOutputTokens = body["max_tokens"].get<double>();
  }
  parsed.mPrompt = PromptText(body);
  return parsed;
}

auto IsModelPath(const std::string& aPath) -> bool
{
  return absl::EndsWith(aPath, "/v1/completions") ||
         absl::EndsWith(aPath, "/v1/chat/completions");
}

auto CheckForm(const OnlineRequest& aRequest) -> Result<void, Refusal>
{
  std::size_t bytes = 0;
  for (const auto& [name, value] : aRequest.mHeaders) {
    bytes += name.size() + value.size();
  }
  if (aRequest.mHeaders.size() > kMaxHeaders || bytes > kMaxHeaderBytes) {
    return NotRun(431,
                  "headers_too_large",
                  absl::StrCat("at most ",
                               kMaxHeaders,
                               " headers and ",
                               kMaxHeaderBytes,
                               " bytes of headers are accepted"));
  }
  if (HasDotSegment(aRequest.mPath)) {
    return NotRun(400, "bad_path", "the path has a \".\" or \"..\" segment");
  }
  if (absl::StartsWithIgnoreCase(HeaderValue(aRequest.mHeaders, "Content-Type"),
                                 "multipart/")) {
    return NotRun(415, "bad_content_type", "multipart bodies are not accepted");
  }
  return {};
}

// The deadline from the route's timeout, or the caller's if that is shorter.
auto Deadline(const OnlineRequest& aRequest, const Route& aRoute)
  -> Result<TimePoint, Refusal>
{
  const auto header = HeaderValue(aRequest.mHeaders, "X-Request-Timeout-Ms");
  auto timeout = aRoute.mTimeout;
  if (!header.empty()) {
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(header, &milliseconds) || milliseconds < 1) {
      return NotRun(
        400, "bad_timeout", "X-Request-Timeout-Ms is not a positive integer");
    }
    timeout = std::min(timeout, std::chrono::milliseconds(milliseconds));
  }
  return aRequest.mArrival + timeout;
}

auto IdempotencyKey(const OnlineRequest& aRequest, const Route& aRoute)
  -> Result<std::string, Refusal>
{
  auto key = HeaderValue(aRequest.mHeaders, "Idempotency-Key");
  if (aRoute.mIdempotent || key.empty()) {
    return std::string();
  }
  const auto printable = std::all_of(key.begin(), key.end(), [](char aChar) {
    return aChar > ' ' && aChar < 0x7f;
  });
  if (key.size() > kMaxIdempotencyKeyBytes || !printable) {
    return NotRun(400,
                  "bad_idempotency_key",
                  absl::StrCat("Idempotency-Key must be 1 to ",
                               kMaxIdempotencyKeyBytes,
                               " printable characters without spaces"));
  }
  return key;
}

// The caller's headers to forward, without those that the endpoint client sets.
auto EndpointHeaders(const Document& aDocument,
                     const OnlineRequest& aRequest,
                     const std::string& aKey) -> HeaderList
{
  auto headers = ForwardHeaders(aRequest.mHeaders, aKey, aDocument);
  std::erase_if(headers, [](const auto& aHeader) {
    // httplib has already decoded the body.
    return absl::EqualsIgnoreCase(aHeader.first, "Content-Type") ||
           absl::EqualsIgnoreCase(aHeader.first, "Content-Encoding");
  });
  return headers;
}

// Sets the team and its weight. Refuses a missing or unknown key and a team
// without access to the route.
auto CheckTeam(const OnlinePorts& aPorts,
               const std::string& aKey,
               AdmittedRequest& aAdmitted) -> Result<void, Refusal>
{
  if (aAdmitted.mRoute.mOpen) {
    return {};
  }
  if (aKey.empty()) {
    return NotRun(401, "no_key", "the route needs a key");
  }
  const auto team = aPorts.mTeamOfKey(*aAdmitted.mDocument, aKey);
  if (!team) {
    return NotRun(401, "bad_key", "the key is not valid");
  }
  const auto& allowed = aAdmitted.mRoute.mTeams;
  if (!allowed.empty() &&
      std::find(allowed.begin(), allowed.end(), *team) == allowed.end()) {
    return NotRun(403, "team_not_allowed", "the team may not use this route");
  }
  aAdmitted.mTeam = *team;
  const auto found = aAdmitted.mDocument->mTeams.find(*team);
  if (found != aAdmitted.mDocument->mTeams.end()) {
    aAdmitted.mWeight = found->second.mWeight;
  }
  return {};
}

} // namespace

auto FindRoute(const Document& aDocument,
               const std::string& aPath,
               const std::string& aModel,
               bool& aModelUnknown) -> const Route*
{
  const Route* best = nullptr;
  aModelUnknown = false;
  for (const auto& [name, route] : aDocument.mRoutes) {
    if (!IsPrefixOf(route.mPath, aPath)) {
      continue;
    }
    if (!route.mModel.empty() && route.mModel != aModel) {
      aModelUnknown = true;
      continue;
    }
    const auto rank = [](const Route& aRoute) {
      return std::pair(aRoute.mPath.size(), !aRoute.mModel.empty());
    };
    if (best == nullptr || rank(route) > rank(*best)) {
      best = &route;
    }
  }
  return best;
}

auto Admit(const OnlinePorts& aPorts, const OnlineRequest& aRequest)
  -> Result<AdmittedRequest, Refusal>
{
  AdmittedRequest admitted;
  admitted.mDocument = aPorts.mDocument();
  const auto& document = *admitted.mDocument;
  if (document.mRevision == 0) {
    return NotRun(503, "no_configuration", "no configuration is active yet");
  }
  if (const auto form = CheckForm(aRequest); !form) {
    return Err(form.error());
  }
  const auto key = ExtractKey(aRequest.mHeaders, aRequest.mTarget);
  ModelBody body;
  const auto modelPath = IsModelPath(aRequest.mPath);
  auto modelError = std::optional<Refusal>();
  if (modelPath) {
    auto parsed = ParseModelBody(aRequest);
    if (parsed) {
      body = std::move(*parsed);
    } else {
      modelError = parsed.error();
    }
  }
  auto modelUnknown = false;
  const auto* const route =
    FindRoute(document, aRequest.mPath, body.mModel, modelUnknown);
  if (route == nullptr && modelUnknown && modelError) {
    return Err(*modelError);
  }
  if (route == nullptr) {
    return modelUnknown ? NotRun(404, "no_model", "no route serves this model")
                        : NotRun(404, "no_route", "no route has this path");
  }
  admitted.mRoute = *route;
  if (const auto team = CheckTeam(aPorts, key, admitted); !team) {
    return Err(team.error());
  }
  const auto service = document.mServices.find(route->mService);
  if (service == document.mServices.end()) {
    return NotRun(503, "no_service", "the route's service does not exist");
  }
  admitted.mService = service->second;
  admitted.mWork = kPlainRequestTokens;
  if (service->second.mKind == ServiceKind::Model) {
    if (modelError) {
      return Err(*modelError);
    }
    admitted.mStream = body.mStream;
    admitted.mWork = static_cast<double>(body.mPrompt.size()) / kBytesPerToken +
                     body.mOutputTokens;
    admitted.mPrefix =
      body.mPrompt.empty()
        ? 0
        : StableHash(std::string_view(body.mPrompt).substr(0, kPrefixBytes));
  }
  admitted.mTarget = ForwardTarget(aRequest.mTarget, key, document);
  if (admitted.mTarget.empty()) {
    return NotRun(400, "key_in_path", "a key must not be part of the path");
  }
  const auto deadline = Deadline(aRequest, *route);
  if (!deadline) {
    return Err(deadline.error());
  }
  admitted.mDeadline = *deadline;
  auto idempotencyKey = IdempotencyKey(aRequest, *route);
  if (!idempotencyKey) {
    return Err(idempotencyKey.error());
  }
  admitted.mIdempotencyKey = std::move(*idempotencyKey);
  admitted.mHeaders = EndpointHeaders(document, aRequest, key);
  admitted.mRequestId = ToHex(NewId());
  return admitted;
}

} // namespace mangovalve
