// standin_platform: the platform's log, host list and weight store.
//
//   POST /v1/log/records {"payload":base64} -> {"offset":n}
//   GET  /v1/log/records?from=N&limit=M&wait_ms=W ->
//        {"first_offset","next_offset","records":[{"offset","time_ms",
//        "payload"}]}
//   GET  /v1/hosts -> {"hosts":[{"service","address","domain","state"}]}
//   POST /v1/hosts: one host object or {"hosts":[...]}; state "live",
//        "leaving" or "gone"; listed after --host_lag_ms
//   POST /v1/weights/fetch -> 200, or 429 over the budget
//   POST /faults, GET /received: see standins/common
//
// The log lives in memory: the log of a stopped stand-in is gone.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "standins/common/budget.h"
#include "standins/common/flags.h"
#include "standins/common/host_list.h"
#include "standins/common/log_store.h"
#include "standins/common/server.h"

DEFINE_string(hosts, "", "file with the initial host list");
DEFINE_double(append_rate, 300, "appends per second");
DEFINE_double(append_burst, 100, "appends at once");
DEFINE_int64(retain_ms, 0, "how long records are kept; 0: no limit");
DEFINE_uint64(retain_records, 0, "how many records are kept; 0: no limit");
DEFINE_int64(host_lag_ms, 2000, "delay until a host change is listed");
DEFINE_double(weights_rate, 2, "weight fetches per second");
DEFINE_double(weights_burst, 4, "weight fetches at once");
DEFINE_uint64(max_payload, 4U << 20U, "largest payload, bytes of base64");

namespace mangovalve::standins {
namespace {

constexpr std::size_t kMaxPageRecords = 1000;
constexpr std::size_t kMaxPageBytes = 8U << 20U;
constexpr std::int64_t kMaxWaitMs = 60000;

struct Platform
{
  absl::Mutex mMutex;
  absl::CondVar mAppended;
  LogStore mLog;
  Budget mAppends;
  Budget mWeights;
  HostList mHosts;
};

auto WallTime() -> LogTime
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

auto NumberParameter(const httplib::Request& aRequest,
                     const char* aName,
                     std::int64_t aDefault) -> std::int64_t
{
  std::int64_t value = 0;
  return aRequest.has_param(aName) &&
             absl::SimpleAtoi(aRequest.get_param_value(aName), &value)
           ? value
           : aDefault;
}

auto AppendRecord(Platform& aPlatform, const httplib::Request& aRequest)
  -> Answer
{
  const auto json = nlohmann::json::parse(aRequest.body, nullptr, false);
  auto payload = json.is_object() ? TextMember(json, "payload") : "";
  std::string decoded;
  if (payload.empty() || !absl::Base64Unescape(payload, &decoded)) {
    return ErrorAnswer(400, "bad_payload", "payload is not base64 text");
  }
  if (payload.size() > FLAGS_max_payload) {
    return ErrorAnswer(413, "too_large", "payload exceeds the limit");
  }
  const absl::MutexLock lock(&aPlatform.mMutex);
  if (!TakeToken(aPlatform.mAppends, Clock::now())) {
    return ErrorAnswer(429, "over_budget", "append budget exceeded");
  }
  const auto offset = Append(aPlatform.mLog, std::move(payload), WallTime());
  aPlatform.mAppended.SignalAll();
  return JsonAnswer({ { "offset", offset } });
}

auto ReadRecords(Platform& aPlatform, const httplib::Request& aRequest)
  -> Answer
{
  const auto from = static_cast<Offset>(
    std::max<std::int64_t>(0, NumberParameter(aRequest, "from", 0)));
  const auto limit = std::clamp<std::int64_t>(
    NumberParameter(aRequest, "limit", kMaxPageRecords), 0, kMaxPageRecords);
  const auto wait = std::clamp<std::int64_t>(
    NumberParameter(aRequest, "wait_ms", 0), 0, kMaxWaitMs);
  const auto deadline = absl::Now() + absl::Milliseconds(wait);
  const absl::MutexLock lock(&aPlatform.mMutex);
  auto& log = aPlatform.mLog;
  while (log.mNextOffset <= from &&
         !aPlatform.mAppended.WaitWithDeadline(&aPlatform.mMutex, deadline)) {
  }
  Expire(log, WallTime());
  auto records = nlohmann::json::array();
  for (auto& record :
       Read(log, from, static_cast<std::size_t>(limit), kMaxPageBytes)) {
    records.push_back({ { "offset", record.mOffset },
                        { "time_ms", record.mTime.time_since_epoch().count() },
                        { "payload", std::move(record.mPayload) } });
  }
  return JsonAnswer({ { "first_offset", FirstOffset(log) },
                      { "next_offset", log.mNextOffset },
                      { "records", std::move(records) } });
}

auto RegisterHosts(Platform& aPlatform, const httplib::Request& aRequest)
  -> Answer
{
  auto hosts = ParseHosts(aRequest.body);
  if (!hosts) {
    return ErrorAnswer(400, "bad_hosts", hosts.error());
  }
  const absl::MutexLock lock(&aPlatform.mMutex);
  for (auto& host : *hosts) {
    ChangeHost(aPlatform.mHosts, std::move(host), Clock::now());
  }
  return JsonAnswer({ { "ok", true } });
}

auto ListHosts(Platform& aPlatform) -> Answer
{
  const absl::MutexLock lock(&aPlatform.mMutex);
  Answer answer;
  answer.mBody = RenderHosts(VisibleHosts(aPlatform.mHosts, Clock::now()));
  return answer;
}

auto FetchWeights(Platform& aPlatform) -> Answer
{
  const absl::MutexLock lock(&aPlatform.mMutex);
  return TakeToken(aPlatform.mWeights, Clock::now())
           ? JsonAnswer({ { "ok", true } })
           : ErrorAnswer(429, "over_budget", "weight budget exceeded");
}

// Hosts of the --hosts file are listed at once.
auto LoadHosts(Platform& aPlatform) -> bool
{
  if (FLAGS_hosts.empty()) {
    return true;
  }
  std::ifstream file(FLAGS_hosts);
  std::stringstream text;
  text << file.rdbuf();
  auto hosts = ParseHosts(text.str());
  if (!file || !hosts) {
    std::fprintf(stderr,
                 "%s: %s\n",
                 FLAGS_hosts.c_str(),
                 file ? hosts.error().c_str() : "cannot be read");
    return false;
  }
  const absl::MutexLock lock(&aPlatform.mMutex);
  for (auto& host : *hosts) {
    ChangeHost(
      aPlatform.mHosts, std::move(host), Clock::now() - aPlatform.mHosts.mLag);
  }
  return true;
}

auto Main() -> int
{
  Platform platform;
  platform.mLog.mRetainTime = std::chrono::milliseconds(FLAGS_retain_ms);
  platform.mLog.mRetainCount = FLAGS_retain_records;
  platform.mAppends =
    MakeBudget(FLAGS_append_rate, FLAGS_append_burst, Clock::now());
  platform.mWeights =
    MakeBudget(FLAGS_weights_rate, FLAGS_weights_burst, Clock::now());
  platform.mHosts.mLag = std::chrono::milliseconds(FLAGS_host_lag_ms);
  if (!LoadHosts(platform)) {
    return 2;
  }
  Standin standin(FLAGS_seed);
  const auto request = [&platform](auto aFunction) {
    return [&platform, aFunction](const httplib::Request& aRequest) {
      return aFunction(platform, aRequest);
    };
  };
  const auto plain = [&platform](auto aFunction) {
    return [&platform, aFunction](const httplib::Request&) {
      return aFunction(platform);
    };
  };
  AddRoute(standin, "POST", "/v1/log/records", request(AppendRecord));
  AddRoute(standin, "GET", "/v1/log/records", request(ReadRecords));
  AddRoute(standin, "POST", "/v1/hosts", request(RegisterHosts));
  AddRoute(standin, "GET", "/v1/hosts", plain(ListHosts));
  AddRoute(standin, "POST", "/v1/weights/fetch", plain(FetchWeights));
  return RunStandin(standin, FLAGS_listen);
}

} // namespace
} // namespace mangovalve::standins

auto main(int aCount, char** aArguments) -> int
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return mangovalve::standins::Main();
}
