// Calls to a daemon's HTTP address.
#include "cli/http.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <httplib.h>

#include "cli/commands.h"
#include "cli/flags.h"
#include "mangovalve/base/time.h"

namespace mangovalve::cli {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{ 200 };
constexpr std::chrono::seconds kConnectTimeout{ 2 };

auto Target(const HttpCall& aCall) -> std::string
{
  auto target = aCall.mPath;
  auto separator = '?';
  for (const auto& [name, value] : aCall.mQuery) {
    absl::StrAppend(&target,
                    std::string(1, separator),
                    name,
                    "=",
                    httplib::detail::encode_query_param(value));
    separator = '&';
  }
  return target;
}

auto CallOnce(const HttpCall& aCall,
              const std::string& aAddress,
              TimePoint aDeadline) -> HttpAnswer
{
  const std::pair<std::string, std::string> parts =
    absl::StrSplit(aAddress, absl::MaxSplits(':', 1));
  httplib::Client client(parts.first, std::atoi(parts.second.c_str()));
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(
    std::chrono::ceil<std::chrono::milliseconds>(aDeadline - Clock::now()));
  httplib::Headers headers(aCall.mHeaders.begin(), aCall.mHeaders.end());
  const auto* const token = std::getenv("MANGOVALVE_OPERATOR_TOKEN");
  if (token != nullptr && headers.empty()) {
    headers.emplace("Authorization", absl::StrCat("Bearer ", token));
  }
  const auto target = Target(aCall);
  const auto result =
    aCall.mPost
      ? client.Post(target, headers, aCall.mBody, aCall.mContentType.c_str())
      : client.Get(target, headers);
  HttpAnswer answer;
  if (result) {
    answer.mStatus = result->status;
    answer.mBody = result->body;
    answer.mSent = true;
  } else {
    answer.mSent = result.error() != httplib::Error::Connection &&
                   result.error() != httplib::Error::ConnectionTimeout;
    answer.mError =
      absl::StrCat(aAddress, ": ", httplib::to_string(result.error()));
  }
  return answer;
}

auto IsFinal(const HttpCall& aCall, const HttpAnswer& aAnswer) -> bool
{
  if (aAnswer.mStatus == 0) {
    return aAnswer.mSent && !aCall.mResendable;
  }
  return aAnswer.mStatus != 503 &&
         (aAnswer.mStatus != 504 || !aCall.mResendable);
}

} // namespace

auto PrintError(std::string_view aMessage) -> void
{
  absl::FPrintF(stderr,
                "mangovalve: %s\n",
                absl::string_view(aMessage.data(), aMessage.size()));
}

auto Call(const HttpCall& aCall) -> HttpAnswer
{
  const std::vector<std::string> addresses =
    absl::StrSplit(FLAGS_address, ',', absl::SkipEmpty());
  const auto deadline = Clock::now() + std::chrono::seconds(FLAGS_timeout_s);
  HttpAnswer last;
  last.mError = "no address";
  auto mayHaveTakenEffect = false;
  for (std::size_t i = 0; !addresses.empty(); ++i) {
    last = CallOnce(aCall, addresses[i % addresses.size()], deadline);
    if (IsFinal(aCall, last)) {
      break;
    }
    mayHaveTakenEffect = mayHaveTakenEffect || last.mStatus == 504 ||
                         (last.mStatus == 0 && last.mSent);
    if (Clock::now() + kRetryDelay >= deadline) {
      if (mayHaveTakenEffect && last.mStatus == 503) {
        last.mStatus = 504; // this host refused, an earlier one may not have
      }
      last.mSent = last.mSent || mayHaveTakenEffect;
      break;
    }
    absl::FPrintF(stderr,
                  "mangovalve: %s; trying again\n",
                  last.mStatus == 0 ? last.mError
                                    : absl::StrCat("answer ", last.mStatus));
    absl::SleepFor(absl::FromChrono(kRetryDelay));
  }
  return last;
}

auto ExitCodeOf(const HttpAnswer& aAnswer) -> int
{
  switch (aAnswer.mStatus) {
    case 200:
    case 201:
    case 202:
      return kExitOk;
    case 0:
      return aAnswer.mSent ? kExitUnknown : kExitUnreachable;
    case 400:
    case 413:
    case 422:
      return kExitUsage;
    case 503:
      return kExitUnreachable;
    case 504:
      return kExitUnknown;
    default:
      return kExitRefused;
  }
}

auto ParseBody(const HttpAnswer& aAnswer) -> nlohmann::json
{
  auto json = nlohmann::json::parse(aAnswer.mBody, nullptr, false);
  return json.is_object() ? json : nlohmann::json::object();
}

} // namespace mangovalve::cli
