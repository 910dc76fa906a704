// Ends the connections of a server at a planned stop.
#include "mangovalve/serving/shutdown.h"

#include <absl/strings/str_cat.h>

namespace mangovalve {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(50);

} // namespace

auto LogFields(const ConnectionCounts& aCounts) -> Fields
{
  return { { "opened", absl::StrCat(aCounts.mOpened) },
           { "idle", absl::StrCat(aCounts.mIdle) },
           { "reading", absl::StrCat(aCounts.mReading) },
           { "handling", absl::StrCat(aCounts.mHandling) },
           { "unread", absl::StrCat(aCounts.mUnread) } };
}

auto DrainConnections(AsyncHttpServer& aServer,
                      const StopSchedule& aSchedule,
                      const FinalCall& aFinalCall) -> Task<>
{
  co_await SleepUntil(aSchedule.mAcceptUntil);
  LogEvent(
    Severity::Info, "listener_closing", LogFields(aServer.CountConnections()));
  aServer.StopAccepting();
  aServer.CloseIdle();
  while (aServer.ActiveRequests() > 0 && Clock::now() < aSchedule.mExitBy) {
    co_await SleepUntil(Clock::now() + kPollInterval);
  }
  co_await aFinalCall();
}

} // namespace mangovalve
