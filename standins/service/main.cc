// standin_service: a plain HTTP service.
//
//   GET  /load -> {"service","domain","running","max_running","leaving"}
//   GET  any other path -> {"id","path","value"}
//   POST any other path: a call that may not be repeated; each one that runs
//        is counted -> {"id","path","digest"}, the digest of its body
//   GET  /executions: see standins/common/executions.h
//   POST /faults, GET /received: see standins/common
#include <atomic>

#include <absl/time/clock.h>

#include "mangovalve/base/id.h"
#include "standins/common/executions.h"
#include "standins/common/flags.h"
#include "standins/common/server.h"

DEFINE_int64(latency_ms, 5, "time that a call takes");
DEFINE_uint64(max_running, 64, "calls at once; further ones get 503");

namespace mangovalve::standins {
namespace {

struct Service
{
  explicit Service(std::uint64_t aSeed)
    : mStandin(aSeed)
  {
  }

  Standin mStandin;
  Executions mExecutions;
  std::atomic<std::uint64_t> mRunning{ 0 };
};

auto Load(const Service& aService) -> Answer
{
  return JsonAnswer({ { "service", FLAGS_service },
                      { "domain", FLAGS_domain },
                      { "running", aService.mRunning.load() },
                      { "max_running", FLAGS_max_running },
                      { "leaving", aService.mStandin.mFaults.IsLeaving() } });
}

auto Call(Service& aService, const httplib::Request& aRequest) -> Answer
{
  if (aService.mStandin.mFaults.IsLeaving()) {
    return ErrorAnswer(503, "leaving", "takes no new work");
  }
  if (aService.mRunning.fetch_add(1) >= FLAGS_max_running) {
    aService.mRunning.fetch_sub(1);
    return ErrorAnswer(503, "busy", "too many calls at once");
  }
  const auto id = aRequest.get_header_value("X-Request-Id");
  aService.mExecutions.Count(
    id, aRequest.get_header_value("Idempotency-Key"), aRequest.body);
  absl::SleepFor(absl::Milliseconds(FLAGS_latency_ms));
  aService.mExecutions.CountCompleted(id);
  aService.mRunning.fetch_sub(1);
  if (aRequest.method == "POST") {
    return JsonAnswer({ { "id", id },
                        { "path", aRequest.path },
                        { "digest", ContentDigest(aRequest.body) } });
  }
  return JsonAnswer({ { "id", id },
                      { "path", aRequest.path },
                      { "value", ContentDigest(aRequest.target) } });
}

auto Main() -> int
{
  Service service(FLAGS_seed);
  auto& standin = service.mStandin;
  AddRoute(standin, "GET", "/load", [&service](const httplib::Request&) {
    return Load(service);
  });
  AddRoute(standin, "GET", "/executions", [&service](const httplib::Request&) {
    return JsonAnswer(service.mExecutions.Render());
  });
  const auto call = [&service](const httplib::Request& aRequest) {
    return Call(service, aRequest);
  };
  AddRoute(standin, "GET", "/.*", call);
  AddRoute(standin, "POST", "/.*", call);
  return RunStandin(standin, FLAGS_listen);
}

} // namespace
} // namespace mangovalve::standins

auto main(int aCount, char** aArguments) -> int
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return mangovalve::standins::Main();
}
