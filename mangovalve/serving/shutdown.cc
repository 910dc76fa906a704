// Ends the connections of a server at a planned stop.
#include "mangovalve/serving/shutdown.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace mangovalve {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(20);

// Waits until no connection needs a response, at the latest until aUntil. Input
// that the loop has read but not yet handed to its task shows up in no phase,
// so two looks in a row must agree.
auto WaitUntilAnswered(AsyncHttpServer& aServer, TimePoint aUntil) -> Task<>
{
  for (auto agreeing = 0; agreeing < 2 && Clock::now() < aUntil;) {
    aServer.CloseIdle();
    const auto counts = aServer.CountConnections();
    const auto open = counts.mOpened + counts.mReading + counts.mHandling;
    agreeing = open + counts.mUnread == 0 ? agreeing + 1 : 0;
    if (agreeing < 2) {
      co_await SleepUntil(Clock::now() + kPollInterval);
    }
  }
}

} // namespace

auto PlanStop(const StopPolicy& aPolicy,
              TimePoint aNow,
              std::chrono::milliseconds aGrace) -> StopSchedule
{
  StopSchedule schedule;
  schedule.mExitBy =
    aNow + std::max<Duration>(aGrace - aPolicy.mExitMargin, Duration::zero());
  schedule.mCloseBy = std::max(aNow, schedule.mExitBy - aPolicy.mLastRequests);
  schedule.mAcceptUntil =
    std::min(aNow + aPolicy.mBalancerDelay, schedule.mCloseBy);
  return schedule;
}

auto MayCloseListener(const StopPolicy& aPolicy,
                      const StopSchedule& aSchedule,
                      TimePoint aLastAccepted,
                      TimePoint aNow) -> bool
{
  return aNow >= aSchedule.mCloseBy ||
         (aNow >= aSchedule.mAcceptUntil &&
          aNow >= aLastAccepted + aPolicy.mQuietTime);
}

auto DrainConnections(AsyncHttpServer& aServer,
                      StopPolicy aPolicy,
                      StopSchedule aSchedule,
                      FinalCall aFinalCall) -> Task<>
{
  while (!MayCloseListener(
    aPolicy, aSchedule, aServer.LastAccepted(), Clock::now())) {
    co_await SleepUntil(Clock::now() + kPollInterval);
  }
  LogEvent(
    Severity::Info, "listener_closing", LogFields(aServer.CountConnections()));
  aServer.StopAccepting();
  co_await WaitUntilAnswered(aServer, aSchedule.mExitBy);
  co_await aFinalCall();
  co_await WaitUntilAnswered(aServer, aSchedule.mExitBy);
}

auto LogFields(const ConnectionCounts& aCounts) -> Fields
{
  return { { "opened", absl::StrCat(aCounts.mOpened) },
           { "idle", absl::StrCat(aCounts.mIdle) },
           { "reading", absl::StrCat(aCounts.mReading) },
           { "handling", absl::StrCat(aCounts.mHandling) },
           { "unread", absl::StrCat(aCounts.mUnread) } };
}

} // namespace mangovalve
