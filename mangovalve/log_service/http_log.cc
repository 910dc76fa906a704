// LogPort over HTTP, by the platform's published protocol.
#include "mangovalve/log_service/http_log.h"

#include <algorithm>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "mangovalve/log_service/http_client.h"

namespace mangovalve {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Share of the deadline kept for the answer's way back from a long poll.
constexpr milliseconds kPollMargin{ 500 };

auto Malformed(const char* aWhat) -> PlatformError
{
  return { PlatformError::Kind::Malformed,
           absl::StrCat("platform's answer: ", aWhat) };
}

auto ParseAppend(const std::string& aBody) -> Result<Offset, PlatformError>
{
  try {
    return Json::parse(aBody).at("offset").get<Offset>();
  } catch (const Json::exception& e) {
    return Err(Malformed(e.what()));
  }
}

auto ParsePage(const std::string& aBody) -> Result<LogPage, PlatformError>
{
  try {
    const auto json = Json::parse(aBody);
    LogPage page;
    page.mFirstOffset = json.at("first_offset");
    page.mNextOffset = json.at("next_offset");
    for (const auto& each : json.at("records")) {
      LogEntry entry;
      entry.mOffset = each.at("offset");
      entry.mTime =
        LogTime(milliseconds(each.at("time_ms").get<std::int64_t>()));
      if (!absl::Base64Unescape(
            each.at("payload").get_ref<const std::string&>(),
            &entry.mPayload)) {
        return Err(Malformed("payload is not base64"));
      }
      page.mEntries.push_back(std::move(entry));
    }
    return page;
  } catch (const Json::exception& e) {
    return Err(Malformed(e.what()));
  }
}

// The log holds a read without entries for at most this long. A host counts its
// contact with the log from when a read was sent, so the hold must be well
// below the contact period of 300 ms.
constexpr milliseconds kMaxHold{ 100 };

auto WaitMs(TimePoint aDeadline) -> std::int64_t
{
  const auto wait =
    std::min<Duration>(aDeadline - Clock::now() - kPollMargin, kMaxHold);
  return std::max<std::int64_t>(
    0, std::chrono::duration_cast<milliseconds>(wait).count());
}

} // namespace

auto HttpLogPort(const std::string& aAddress) -> LogPort
{
  const auto pool = std::make_shared<HttpClientPool>(aAddress);
  LogPort port;
  port.mAppend = [pool](const std::string& aPayload,
                        TimePoint aDeadline) -> Result<Offset, PlatformError> {
    const auto body =
      Json{ { "payload", absl::Base64Escape(aPayload) } }.dump();
    return pool->Post("/v1/log/records", body, aDeadline).and_then(ParseAppend);
  };
  port.mRead = [pool](Offset aFrom,
                      std::size_t aLimit,
                      TimePoint aDeadline) -> Result<LogPage, PlatformError> {
    const auto target = absl::StrCat("/v1/log/records?from=",
                                     aFrom,
                                     "&limit=",
                                     aLimit,
                                     "&wait_ms=",
                                     WaitMs(aDeadline));
    return pool->Fetch(target, aDeadline).and_then(ParsePage);
  };
  return port;
}

} // namespace mangovalve
