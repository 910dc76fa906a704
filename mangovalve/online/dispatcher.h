// Dispatcher: assigns endpoints to online requests, through one fair queue for
// each service.
//
// A request waits in its team's queue until an endpoint has capacity and the
// team is next. It is refused as "not run" as soon as its deadline can no
// longer be met.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "mangovalve/base/result.h"
#include "mangovalve/endpoint/endpoint_set.h"
#include "mangovalve/online/ports.h"
#include "mangovalve/online/refusal.h"
#include "mangovalve/routing/fair_queue.h"
#include "mangovalve/routing/retry_budget.h"

namespace mangovalve {

struct DispatchRequest
{
  std::string mService;
  std::uint32_t mLimit = 16; // concurrent requests per endpoint
  std::string mTeam;
  double mWeight = 1;
  double mWork = 1;                  // estimated tokens
  std::uint64_t mPrefix = 0;         // hash of the prompt prefix; 0: none
  std::vector<std::string> mExclude; // addresses already tried
  TimePoint mDeadline;
};

// Latest time at which a request can start and finish by its deadline, given
// the mean duration of an answer. At most half of the remaining time is
// reserved for the answer, because a request with a short deadline may also
// take less time than the mean.
auto LatestStart(TimePoint aNow, TimePoint aDeadline, double aAnswerSeconds)
  -> TimePoint;

class Dispatcher
{
public:
  explicit Dispatcher(const OnlinePorts& aPorts, FairQueuePolicy aPolicy = {});

  // Waits for an endpoint. A returned endpoint must be passed to Finish().
  auto Acquire(const DispatchRequest& aRequest)
    -> Result<ChosenEndpoint, Refusal>;

  // Records the end of an exchange and grants the freed capacity to waiting
  // requests. aAnswerTime is the duration of the whole answer, or zero if no
  // answer was received.
  auto Finish(const ChosenEndpoint& aEndpoint,
              ExchangeResult aResult,
              Duration aAnswerTime) -> void;

  // Retry budget of a service: NoteRequest counts a caller's request; TakeRetry
  // takes one retry and returns false if the budget is used up.
  auto NoteRequest(const std::string& aService) -> void;
  auto TakeRetry(const std::string& aService) -> bool;

private:
  enum class Stage
  {
    Waiting,
    Granted,
    Expired,
    NoEndpoint,
  };
  struct Waiter
  {
    const DispatchRequest* mRequest = nullptr;
    Stage mStage = Stage::Waiting;
    ChosenEndpoint mEndpoint;
  };
  struct Service
  {
    absl::Mutex mMutex;
    absl::CondVar mChanged;
    FairQueue mQueue;
    std::map<std::uint64_t, Waiter*> mWaiters; // by ticket
    std::uint64_t mNextTicket = 1;
    TimePoint mLastGrantPass{};
    double mMeanAnswerSeconds = 0; // decayed mean of whole answers; 0: unknown
    RetryBudget mRetries{ RetryBudgetPolicy{}.mReserve };
  };

  auto FindService(const std::string& aName) -> Service&;
  // Grants tickets in fair order while an endpoint has capacity, and ends the
  // wait of tickets past their latest start. The service's mutex is held.
  auto GrantTickets(Service& aService,
                    const DispatchRequest& aRequest,
                    TimePoint aNow) -> void;
  // Ends the wait of a dequeued ticket. Returns false, with the ticket
  // requeued, if no endpoint had capacity after all.
  auto TryGrant(Service& aService,
                const Ticket& aTicket,
                Waiter& aWaiter,
                TimePoint aNow) -> bool;
  auto ReportWaiting(const std::string& aName, Service& aService) -> void;

  const OnlinePorts& mPorts;
  const FairQueuePolicy mPolicy;
  absl::Mutex mMutex;
  std::map<std::string, std::unique_ptr<Service>> mServices;
};

} // namespace mangovalve
