// Dispatcher: fair waiting for an endpoint, one fair queue per service.
//
// A request waits in its team's queue until an endpoint has room and its team
// is next. It is refused as "not run" as soon as its deadline cannot be met.
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
  std::uint32_t mLimit = 16; // requests per endpoint
  std::string mTeam;
  double mWeight = 1;
  double mWork = 1;                  // estimated tokens
  std::uint64_t mPrefix = 0;         // hash of the prompt's beginning, 0: none
  std::vector<std::string> mExclude; // addresses already tried
  TimePoint mDeadline;
};

// Latest start of a request that shall end by its deadline: the mean time of an
// answer before it. At most half of the time that is left is reserved, because
// a request with a short deadline may also be a short one.
auto LatestStart(TimePoint aNow, TimePoint aDeadline, double aAnswerSeconds)
  -> TimePoint;

class Dispatcher
{
public:
  explicit Dispatcher(const OnlinePorts& aPorts, FairQueuePolicy aPolicy = {});

  // Waits for an endpoint; the caller must Finish what it gets.
  auto Acquire(const DispatchRequest& aRequest)
    -> Result<ChosenEndpoint, Refusal>;

  // Notes the end of an exchange and lets the next request start.
  // aAnswerTime is how long the whole answer took, or zero when none came.
  auto Finish(const ChosenEndpoint& aEndpoint,
              ExchangeResult aResult,
              Duration aAnswerTime) -> void;

  // Retry budget of a service: one request came; one retry is wanted.
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
    double mMeanAnswerSeconds = 0; // decayed mean of whole answers
    RetryBudget mRetries{ RetryBudgetPolicy{}.mReserve };
  };

  auto FindService(const std::string& aName) -> Service&;
  auto GrantTickets(Service& aService,
                    const DispatchRequest& aRequest,
                    TimePoint aNow) -> void;
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
