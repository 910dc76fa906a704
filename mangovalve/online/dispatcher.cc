// Dispatcher: assigns endpoints to online requests in fair order.
#include "mangovalve/online/dispatcher.h"

#include <algorithm>

namespace mangovalve {
namespace {

// Capacity can also become available without a Finish() on this host (by a load
// report or the end of a slow start), so waiting requests check at this
// interval.
constexpr auto kGrantInterval = std::chrono::milliseconds(5);

auto NotRun(int aStatus,
            const char* aReason,
            const char* aMessage,
            std::chrono::milliseconds aRetryAfter) -> tl::unexpected<Refusal>
{
  return Err(
    Refusal{ aStatus, aReason, aMessage, ExecutionState::NotRun, aRetryAfter });
}

} // namespace

auto LatestStart(TimePoint aNow, TimePoint aDeadline, double aAnswerSeconds)
  -> TimePoint
{
  const auto mean = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aAnswerSeconds));
  return aDeadline - std::min<Duration>(mean, (aDeadline - aNow) / 2);
}

Dispatcher::Dispatcher(const OnlinePorts& aPorts, FairQueuePolicy aPolicy)
  : mPorts(aPorts)
  , mPolicy(aPolicy)
{
}

auto Dispatcher::FindService(const std::string& aName) -> Service&
{
  const absl::MutexLock lock(&mMutex);
  auto& slot = mServices[aName];
  if (!slot) {
    slot = std::make_unique<Service>();
  }
  return *slot;
}

auto Dispatcher::TryGrant(Service& aService,
                          const Ticket& aTicket,
                          Waiter& aWaiter,
                          TimePoint aNow) -> bool
{
  const auto& request = *aWaiter.mRequest;
  const auto chosen = mPorts.mEndpoints->Choose(
    request.mService, request.mLimit, request.mPrefix, request.mExclude, aNow);
  if (chosen) {
    aWaiter.mEndpoint = *chosen;
    aWaiter.mStage = Stage::Granted;
    return true;
  }
  if (!request.mExclude.empty() ||
      mPorts.mEndpoints->UsableCount(request.mService, aNow) == 0) {
    // A retry does not wait: every endpoint with capacity has been tried.
    aWaiter.mStage = Stage::NoEndpoint;
    return true;
  }
  Requeue(aService.mQueue, request.mTeam, request.mWeight, aTicket);
  return false;
}

auto Dispatcher::GrantTickets(Service& aService,
                              const DispatchRequest& aRequest,
                              TimePoint aNow) -> void
{
  aService.mLastGrantPass = aNow;
  auto changed = false;
  while (
    aService.mQueue.mTicketCount > 0 &&
    (mPorts.mEndpoints->HasRoom(aRequest.mService, aRequest.mLimit, aNow) ||
     mPorts.mEndpoints->UsableCount(aRequest.mService, aNow) == 0)) {
    std::vector<Ticket> expired;
    const auto ticket = Dequeue(aService.mQueue, mPolicy, aNow, expired);
    for (const auto& expiredTicket : expired) {
      aService.mWaiters.at(expiredTicket.mId)->mStage = Stage::Expired;
      changed = true;
    }
    if (!ticket ||
        !TryGrant(
          aService, *ticket, *aService.mWaiters.at(ticket->mId), aNow)) {
      break;
    }
    changed = true;
  }
  if (changed) {
    aService.mChanged.SignalAll();
  }
}

auto Dispatcher::ReportWaiting(const std::string& aName, Service& aService)
  -> void
{
  if (mPorts.mOnWaiting) {
    mPorts.mOnWaiting(aName,
                      static_cast<std::uint32_t>(aService.mQueue.mTicketCount));
  }
}

auto Dispatcher::Acquire(const DispatchRequest& aRequest)
  -> Result<ChosenEndpoint, Refusal>
{
  auto& service = FindService(aRequest.mService);
  const absl::MutexLock lock(&service.mMutex);
  const auto now = mPorts.mNow();
  Ticket ticket;
  ticket.mId = service.mNextTicket++;
  ticket.mWork = std::clamp(aRequest.mWork, 1.0, 32768.0);
  ticket.mDeadline = aRequest.mDeadline;
  ticket.mLatestStart =
    LatestStart(now, aRequest.mDeadline, service.mMeanAnswerSeconds);
  const auto verdict = Enqueue(
    service.mQueue, aRequest.mTeam, aRequest.mWeight, ticket, mPolicy, now);
  if (verdict == QueueVerdict::TeamQueueFull) {
    return NotRun(503,
                  "queue_full",
                  "the team has too many waiting requests",
                  std::chrono::milliseconds(1000));
  }
  if (verdict == QueueVerdict::DeadlineUnmet) {
    return NotRun(503,
                  "deadline_unmet",
                  "the request cannot be served within its deadline",
                  std::chrono::milliseconds(1000));
  }
  Waiter waiter;
  waiter.mRequest = &aRequest;
  service.mWaiters[ticket.mId] = &waiter;
  GrantTickets(service, aRequest, now);
  if (waiter.mStage == Stage::Waiting) {
    ReportWaiting(aRequest.mService, service);
    while (waiter.mStage == Stage::Waiting) {
      service.mChanged.WaitWithTimeout(&service.mMutex,
                                       absl::FromChrono(kGrantInterval));
      const auto later = mPorts.mNow();
      if (waiter.mStage == Stage::Waiting && later > ticket.mLatestStart) {
        Remove(service.mQueue, aRequest.mTeam, ticket.mId);
        waiter.mStage = Stage::Expired;
      } else if (later - service.mLastGrantPass >= kGrantInterval) {
        GrantTickets(service, aRequest, later);
      }
    }
    ReportWaiting(aRequest.mService, service);
  }
  service.mWaiters.erase(ticket.mId);
  if (waiter.mStage == Stage::Granted) {
    return waiter.mEndpoint;
  }
  if (waiter.mStage == Stage::Expired) {
    return NotRun(504,
                  "deadline_in_queue",
                  "the deadline expired before an endpoint had capacity",
                  std::chrono::milliseconds(1000));
  }
  return NotRun(503,
                "no_endpoint",
                "no endpoint of the service accepts requests",
                std::chrono::milliseconds(1000));
}

auto Dispatcher::Finish(const ChosenEndpoint& aEndpoint,
                        ExchangeResult aResult,
                        Duration aAnswerTime) -> void
{
  const auto now = mPorts.mNow();
  mPorts.mEndpoints->Finish(aEndpoint, aResult, now);
  auto& service = FindService(aEndpoint.mService);
  const absl::MutexLock lock(&service.mMutex);
  if (aAnswerTime > Duration::zero()) {
    const std::chrono::duration<double> seconds = aAnswerTime;
    service.mMeanAnswerSeconds +=
      (seconds.count() - service.mMeanAnswerSeconds) * 0.05;
  }
  if (!service.mWaiters.empty()) {
    // All waiting requests of a service have the same limit.
    GrantTickets(service, *service.mWaiters.begin()->second->mRequest, now);
  }
}

auto Dispatcher::NoteRequest(const std::string& aService) -> void
{
  auto& service = FindService(aService);
  const absl::MutexLock lock(&service.mMutex);
  mangovalve::NoteRequest(service.mRetries, RetryBudgetPolicy{});
}

auto Dispatcher::TakeRetry(const std::string& aService) -> bool
{
  auto& service = FindService(aService);
  const absl::MutexLock lock(&service.mMutex);
  return mangovalve::TakeRetry(service.mRetries);
}

} // namespace mangovalve
