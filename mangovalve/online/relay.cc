// Relays callers' requests to endpoints.
#include "mangovalve/online/relay.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

#include "mangovalve/base/decayed_mean.h"
#include "mangovalve/base/id.h"
#include "mangovalve/loop/conditional_timeout.h"
#include "mangovalve/online/event_stream.h"
#include "mangovalve/online/slot_queue.h"
#include "mangovalve/serving/endpoint_crash.h"
#include "mangovalve/serving/endpoint_statements.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

// Minimum remaining time that is sent to an endpoint. In less time the answer
// could not even be transferred over the network.
constexpr auto kMinRemaining = milliseconds(1);

// Retry delay given to a caller whose request was refused by endpoints: about
// half the time for which an online request holds a slot.
constexpr auto kRefusedRetryAfter = milliseconds(400);

// Retry delays given to a caller while there is no document. A daemon usually
// receives it within about 100 ms of its start, and other daemons most likely
// have it already. If it is still missing after kStartupTime, the store is
// unavailable, which lasts for seconds, so a caller that retries once should
// retry late.
constexpr auto kStartupRetryAfter = milliseconds(400);
constexpr auto kStartupTime = milliseconds(1000);
constexpr auto kNoDocumentRetryAfter = milliseconds(1500);

// Largest answer that is not a stream of events. It is kept until it is
// complete, so that a truncated answer never reaches the caller.
constexpr std::size_t kMaxAnswerBytes = 4UL << 20U;

auto Millis(Duration aDuration) -> std::string
{
  return absl::StrCat(
    std::chrono::duration_cast<milliseconds>(aDuration).count());
}

auto IsSuccess(http::status aStatus) -> bool
{
  return http::to_status_class(aStatus) == http::status_class::successful;
}

auto Scaled(Duration aDuration, double aFactor) -> Duration
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aDuration) * aFactor);
}

// State of one request of a caller across its attempts.
struct RequestContext
{
  CallerPtr mCaller;
  std::shared_ptr<Request> mRequest;
  RequestMetadata mMetadata;
  std::vector<PartHash> mParts; // by which it may be quarantined
  std::shared_ptr<const ServingDocument> mDocument; // keeps mRoute valid
  const ServingRoute* mRoute = nullptr;
  std::string mTeam;
  std::string mService;
  int mPriority = 0;
  TimePoint mDeadline;
  std::uint32_t mAttempts = 0;     // endpoints that may have run the request
  std::uint32_t mRefusals = 0;     // endpoints that did not run it
  std::vector<std::string> mTried; // ids of endpoints that failed or refused
  bool mHeadSent = false;          // the caller has been sent the head
  // Id of the last event that the caller has received.
  std::optional<std::uint64_t> mLastEvent;
  std::uint64_t mForwardedEvents = 0; // without comments
  TimePoint mAttemptAt{};             // start of the current attempt
  std::uint64_t mEventsBefore = 0;    // mForwardedEvents at that time
  bool mAnswerBegun = false;          // by the endpoint, in this attempt
  TimePoint mAnswerBegunAt{};
  AttemptSilence mSilence;  // of this attempt
  bool mFailing = false;    // recorded for the current silence
  bool mForwarding = false; // it is the caller that is awaited
  // When the endpoint ended the connection before it had begun to answer.
  std::optional<TimePoint> mLostAt;
  // For the log.
  std::string mEndpoint; // id of the last endpoint
  std::optional<TimePoint> mFirstSlotAt;
  std::optional<TimePoint> mFirstEventAt; // or the whole answer
  std::string mDomain;                    // of the last endpoint
  PlacementInputs mInputs;                // of the last placement
  // Of this attempt, for the measured times.
  bool mHadFreeSlot = false;                // at the endpoint, when it was sent
  std::optional<TimePoint> mAttemptFirstAt; // first event
};

// Size of the request as far as it matters for its placement.
auto SizeOf(const RequestContext& aContext) -> RequestSize
{
  const auto& metadata = aContext.mMetadata;
  RequestSize size;
  size.mPromptTokens = metadata.mPromptTokens;
  size.mMaxOutputTokens = metadata.mMaxOutputTokens;
  if (aContext.mRoute->mSticky) {
    size.mSharedParts = metadata.mSharedParts;
    size.mSharedPartTokens = metadata.mSharedPartTokens;
  }
  return size;
}

// Why the endpoint was preferred, as a label.
auto PlacementReason(const Endpoint& aEndpoint, const PlacementInputs& aInputs)
  -> std::string
{
  return !aEndpoint.mOwnDomain  ? "other_domain"
         : aInputs.mSavedMs > 0 ? "kept_prefix"
                                : "own_domain";
}

// When the caller or the route gives up on the request.
auto DeadlineOf(const RequestContext& aContext) -> TimePoint
{
  const auto& timeout = aContext.mRoute->mTimeout;
  return aContext.mCaller->mArrivedAt +
         std::min(aContext.mMetadata.mCallerTimeout.value_or(timeout), timeout);
}

enum class StepResult
{
  Done,    // the step succeeded, or the caller has disconnected
  NotRun,  // the endpoint did not run the request
  Failed,  // the endpoint may have run the request
  NoRetry, // no further attempt is allowed or useful
};

// Refuses a quarantined request, of which nothing has been sent. Its caller
// should return after the quarantine, and not while it could still have waited.
auto RefuseQuarantined(const Protocol& aProtocol,
                       const RequestContext& aContext,
                       TimePoint aUntil) -> Task<>
{
  LogEvent(Severity::Info,
           "request_refused",
           { { "id", aContext.mMetadata.mId },
             { "team", aContext.mTeam },
             { "reason", "quarantined" },
             { "parts", FormatHashes(aContext.mParts) } });
  const auto retryAfter = std::chrono::ceil<milliseconds>(
    std::max(aUntil, DeadlineOf(aContext)) - Clock::now());
  auto response = aProtocol.mRefuse(
    RefusalReason::Quarantined, aContext.mMetadata.mId, retryAfter);
  co_await aContext.mCaller->Reply(std::move(response));
}

// Relays one request. Holds the dependencies of its steps.
class RelayedRequest
{
public:
  RelayedRequest(ServingState& aState,
                 const Protocol& aProtocol,
                 const RelayPolicy& aPolicy,
                 RequestContext& aContext)
    : mState(aState)
    , mProtocol(aProtocol)
    , mPolicy(aPolicy)
    , mContext(aContext)
  {
  }

  auto Run() -> Task<>;

private:
  // Deadline for the wait for an endpoint.
  auto WaitDeadline(TimePoint aNow) const -> TimePoint;
  auto NewSlotRequest(TimePoint aNow) const -> SlotRequest;
  // Attempt, counted for the shares of the teams.
  auto CountedAttempt(EndpointPtr aEndpoint) -> Task<StepResult>;
  auto Attempt(EndpointPtr aEndpoint) -> Task<StepResult>;
  auto Send(Endpoint& aEndpoint, ClientConnection& aConnection)
    -> Task<StepResult>;
  auto ReadAnswerHead(Endpoint& aEndpoint,
                      ClientConnection& aConnection,
                      std::optional<ResponseParser>& aParser)
    -> Task<StepResult>;
  auto Deliver(Endpoint& aEndpoint,
               ClientConnection& aConnection,
               ResponseParser& aParser,
               const ResponseMetadata& aMetadata) -> Task<StepResult>;
  auto DeliverWhole(Endpoint& aEndpoint,
                    ClientConnection& aConnection,
                    ResponseParser& aParser) -> Task<StepResult>;
  auto DeliverStream(Endpoint& aEndpoint,
                     ClientConnection& aConnection,
                     ResponseParser& aParser) -> Task<StepResult>;
  // Sends the events that follow those sent before; Failed at a gap.
  auto ForwardEvents(std::vector<StreamEvent> aEvents,
                     const ResponseParser& aParser) -> Task<StepResult>;
  auto SendToCaller(std::string aBytes, const ResponseParser& aParser)
    -> Task<bool>;
  // Watches an endpoint that may be silent for aTimeout. If another endpoint
  // has a slot then, records that this one is failing, and later closes the
  // connection. While all slots are taken, the request is most likely queued at
  // its endpoint, and its work there would be lost for nothing. Null if the
  // request may not be sent to another endpoint.
  auto WatchSilence(Endpoint& aEndpoint,
                    ClientConnection& aConnection,
                    Duration aTimeout) -> std::unique_ptr<ConditionalTimeout>;
  // Time of the next check; none if the attempt is to be abandoned.
  auto CheckSilence(Endpoint& aEndpoint) -> std::optional<TimePoint>;
  // Starts the silence of the endpoint anew.
  auto NoteProgress(Duration aTimeout) -> void;
  // When the request must have been answered.
  auto Deadline() const -> TimePoint;
  // Whether the caller is connected and the deadline has not expired.
  auto MayContinue() const -> bool;
  // Whether this host is about to exit.
  auto Stopped() const -> bool;
  // Why the request ends now without an answer of an endpoint.
  auto Failure() const -> RefusalReason;
  // Whether another endpoint may get the request after one may have run it.
  auto MayRetryAfterRun() const -> bool;
  auto FirstByteTimeout() const -> Duration;
  auto GapTimeout() const -> Duration;
  // Silence of an endpoint for which the caller waits.
  auto Patience() const -> Duration;
  // Longest silence of an endpoint before another one gets the request.
  auto MaxSilence() const -> Duration;
  // When that silence ends, if it begins now. Equals the request's own deadline
  // if the request may not be sent to another endpoint.
  auto SilenceDeadline() const -> TimePoint;
  auto Finish(RefusalReason aRefusal, std::optional<milliseconds> aRetryAfter)
    -> Task<>;
  // Ends a request whose caller has disconnected. One that has only ended its
  // sending side learns whether the request may have run.
  auto EndForGoneCaller() -> Task<>;
  auto Log(std::string_view aOutcome) const -> void;
  auto MillisSinceArrival(std::optional<TimePoint> aAt) const -> std::string;
  auto NoteFailure(Endpoint& aEndpoint, std::string_view aReason) -> void;
  auto NoteAnswerBegun() -> void;
  auto NotePlacement(const Endpoint& aEndpoint) -> void;
  // Adds the times of this attempt, which is complete, to the measured ones.
  auto RecordTimes(const Endpoint& aEndpoint, ServiceTimes& aTimes) -> void;
  // Notes the error of a read or write, if the endpoint has caused it.
  auto NoteError(const ErrorCode& aError) -> void;
  // Examines whether the endpoint of the last attempt has crashed, and if so,
  // whether the request may be the cause.
  auto ExamineLoss(EndpointPtr aEndpoint) -> Task<StepResult>;
  // End of the quarantine of the request, if there is one.
  auto QuarantinedUntil() const -> std::optional<TimePoint>;
  // Returns the token of a request that has not run.
  auto RefundRate() -> void;

  ServingState& mState;
  const Protocol& mProtocol;
  const RelayPolicy& mPolicy;
  RequestContext& mContext;
};

auto RelayedRequest::Log(std::string_view aOutcome) const -> void
{
  FindCounter("mangovalve_requests_total",
              { { "outcome", std::string(aOutcome) } })
    .Add();
  const auto& inputs = mContext.mInputs;
  LogEvent(
    Severity::Info,
    "request",
    { { "id", mContext.mMetadata.mId },
      { "route", mContext.mRoute->mName },
      { "team", mContext.mTeam },
      { "document", absl::StrCat(mContext.mDocument->mVersion) },
      { "endpoint", mContext.mEndpoint },
      { "attempts", absl::StrCat(mContext.mAttempts) },
      { "refusals", absl::StrCat(mContext.mRefusals) },
      { "events", absl::StrCat(mContext.mForwardedEvents) },
      { "domain", mContext.mDomain },
      { "work_factor",
        inputs.mWorkFactor ? absl::StrCat(*inputs.mWorkFactor) : "none" },
      { "factor_age_ms", Millis(inputs.mFactorAge) },
      { "expected_first_ms", absl::StrCat(std::llround(inputs.mFirstEventMs)) },
      { "saved_ms", absl::StrCat(std::llround(inputs.mSavedMs)) },
      { "slot_ms", MillisSinceArrival(mContext.mFirstSlotAt) },
      { "first_ms", MillisSinceArrival(mContext.mFirstEventAt) },
      { "ms", Millis(Clock::now() - mContext.mCaller->mArrivedAt) },
      { "outcome", std::string(aOutcome) } });
}

auto RelayedRequest::MillisSinceArrival(std::optional<TimePoint> aAt) const
  -> std::string
{
  return aAt ? Millis(*aAt - mContext.mCaller->mArrivedAt) : "none";
}

auto RelayedRequest::NoteFailure(Endpoint& aEndpoint, std::string_view aReason)
  -> void
{
  LogEvent(
    Severity::Warn,
    "attempt_failed",
    { { "id", mContext.mMetadata.mId },
      { "endpoint", aEndpoint.mRegistration.mId },
      { "reason", std::string(aReason) },
      { "attempt_ms", Millis(Clock::now() - mContext.mAttemptAt) },
      { "attempt_events",
        absl::StrCat(mContext.mForwardedEvents - mContext.mEventsBefore) },
      { "parts", FormatHashes(mContext.mParts) },
      { "ms", Millis(Clock::now() - mContext.mCaller->mArrivedAt) } });
  RecordExchange(mState, aEndpoint, ExchangeResult::Failed);
}

auto RelayedRequest::NoteAnswerBegun() -> void
{
  mContext.mAnswerBegun = true;
  mContext.mAnswerBegunAt = Clock::now();
  mContext.mFirstEventAt =
    mContext.mFirstEventAt.value_or(mContext.mAnswerBegunAt);
  const std::chrono::duration<double> untilFirst =
    mContext.mAnswerBegunAt - mContext.mAttemptAt;
  RecordFirstEvent(mState.mPools[mContext.mService].mFirstEventSeconds,
                   untilFirst.count());
  mContext.mAttemptFirstAt = Clock::now();
  RecordStart(mState.mSuspects, mContext.mParts, Clock::now());
}

auto RelayedRequest::NotePlacement(const Endpoint& aEndpoint) -> void
{
  const auto now = Clock::now();
  mContext.mDomain = aEndpoint.mRegistration.mDomain;
  mContext.mInputs = InputsOf(mState, aEndpoint, SizeOf(mContext), now);
  mContext.mHadFreeSlot =
    HasRoom(CandidateOf(mState, aEndpoint, LimitedUse::Needed, now));
  FindCounter("mangovalve_placements_total",
              { { "reason", PlacementReason(aEndpoint, mContext.mInputs) } })
    .Add();
}

auto RelayedRequest::RecordTimes(const Endpoint& aEndpoint,
                                 ServiceTimes& aTimes) -> void
{
  if (!mContext.mAttemptFirstAt || mContext.mEventsBefore > 0) {
    return;
  }
  const auto now = Clock::now();
  const auto factor = CurrentWorkFactor(aEndpoint.mRecord.mWorkFactor, now);
  if (mContext.mHadFreeSlot) {
    const auto kept = mContext.mInputs.mKeptTokens;
    const auto prompt = mContext.mMetadata.mPromptTokens;
    RecordFirstEvent(aTimes,
                     prompt > kept ? prompt - kept : 0,
                     *mContext.mAttemptFirstAt - mContext.mAttemptAt,
                     factor);
  }
  if (mContext.mForwardedEvents > 1) {
    RecordOutput(aTimes,
                 mContext.mForwardedEvents - 1,
                 now - *mContext.mAttemptFirstAt,
                 factor);
  }
}

auto RelayedRequest::NoteError(const ErrorCode& aError) -> void
{
  if (!mContext.mAnswerBegun && EndedByEndpoint(aError)) {
    mContext.mLostAt = Clock::now();
  }
}

auto RelayedRequest::ExamineLoss(EndpointPtr aEndpoint) -> Task<StepResult>
{
  LostRun run{ mContext.mMetadata.mId,
               mContext.mAttemptAt,
               *mContext.mLostAt,
               mContext.mParts };
  const auto crashed = co_await RecordIfCrashed(
    mState, std::move(aEndpoint), std::move(run), Deadline());
  const auto suspected = crashed && IsSuspected(mState.mSuspects,
                                                mContext.mParts,
                                                mState.mSuspectPolicy,
                                                Clock::now());
  co_return suspected ? StepResult::NoRetry : StepResult::Failed;
}

auto RelayedRequest::QuarantinedUntil() const -> std::optional<TimePoint>
{
  return mangovalve::QuarantinedUntil(
    mState.mSuspects, mContext.mParts, Clock::now());
}

auto RelayedRequest::MayRetryAfterRun() const -> bool
{
  return MayRepeat(*mContext.mRoute) &&
         mContext.mAttempts < mContext.mRoute->mMaxAttempts;
}

auto RelayedRequest::Deadline() const -> TimePoint
{
  return std::min(mContext.mDeadline,
                  mState.mAnswerBy.value_or(TimePoint::max()));
}

auto RelayedRequest::MayContinue() const -> bool
{
  return !mContext.mCaller->Disconnected() && Clock::now() < Deadline();
}

auto RelayedRequest::Stopped() const -> bool
{
  return mState.mAnswerBy && Clock::now() >= *mState.mAnswerBy;
}

auto RelayedRequest::Failure() const -> RefusalReason
{
  if (mContext.mAttempts == 0) {
    return Stopped() ? RefusalReason::NotReady : RefusalReason::Overloaded;
  }
  return Clock::now() >= Deadline() ? RefusalReason::TimedOut
                                    : RefusalReason::EndpointFailed;
}

auto RelayedRequest::FirstByteTimeout() const -> Duration
{
  return std::max(
    mPolicy.mMinFirstByteTimeout,
    Scaled(mContext.mRoute->mLatencyObjective, mPolicy.mFirstByteObjectives));
}

auto RelayedRequest::GapTimeout() const -> Duration
{
  return std::max(
    mPolicy.mMinGapTimeout,
    Scaled(mContext.mRoute->mInterEventObjective, mPolicy.mGapObjectives));
}

auto RelayedRequest::Patience() const -> Duration
{
  const auto& route = *mContext.mRoute;
  const auto timeout =
    mContext.mMetadata.mCallerTimeout.value_or(route.mTimeout);
  return std::min(route.mCallerPatience, timeout);
}

auto RelayedRequest::MaxSilence() const -> Duration
{
  return std::min(mPolicy.mMaxSilence,
                  Scaled(Patience(), mPolicy.mMaxSilenceShare));
}

auto RelayedRequest::SilenceDeadline() const -> TimePoint
{
  return MayRetryAfterRun() ? std::min(Deadline(), Clock::now() + MaxSilence())
                            : Deadline();
}

auto RelayedRequest::WaitDeadline(TimePoint aNow) const -> TimePoint
{
  // The caller of a stream that has begun decides for itself how long it waits.
  if (mContext.mHeadSent) {
    return Deadline();
  }
  const auto& route = *mContext.mRoute;
  const auto first = mContext.mCaller->mArrivedAt +
                     Scaled(route.mLatencyObjective, mPolicy.mMaxWaitShare);
  // A request that was already sent once may have used up its wait. It may
  // still wait for half as long, since refusing it now would waste the work
  // done.
  const auto later =
    aNow + Scaled(route.mLatencyObjective, mPolicy.mMaxWaitShare / 2);
  const auto sent = mContext.mAttempts + mContext.mRefusals > 0;
  return std::min(Deadline(), sent ? std::max(first, later) : first);
}

auto RelayedRequest::NewSlotRequest(TimePoint aNow) const -> SlotRequest
{
  const auto& route = *mContext.mRoute;
  const auto arrivedAt = mContext.mCaller->mArrivedAt;
  SlotRequest request;
  request.mCaller = mContext.mCaller;
  request.mId = mContext.mMetadata.mId;
  request.mService = mContext.mService;
  request.mPriority = mContext.mPriority;
  request.mTried = mContext.mTried;
  request.mTypicalRunTime = route.mLatencyObjective;
  request.mWaitDeadline = WaitDeadline(aNow);
  request.mTeam = mContext.mTeam;
  request.mBegun = mContext.mHeadSent;
  // A refusal after work was done would waste it.
  if (!mContext.mHeadSent && mContext.mAttempts + mContext.mRefusals == 0) {
    request.mFirstEventDue = arrivedAt + route.mLatencyObjective;
    request.mReviewAt =
      arrivedAt + Scaled(route.mLatencyObjective, mPolicy.mReviewShare);
  }
  if (mContext.mMetadata.mCallerTimeout) {
    request.mReturnBy = mContext.mDeadline - route.mLatencyObjective;
  }
  return request;
}

auto RelayedRequest::CountedAttempt(EndpointPtr aEndpoint) -> Task<StepResult>
{
  const ScopedTeamRun run(
    mState, mContext.mService, mContext.mPriority, StableHash(mContext.mTeam));
  co_return co_await Attempt(std::move(aEndpoint));
}

auto RelayedRequest::Run() -> Task<>
{
  for (;;) {
    // A named object, because g++ 12 destroys a braced argument of an awaited
    // call twice.
    auto request = NewSlotRequest(Clock::now());
    request.mSize = SizeOf(mContext);
    auto slot = co_await AcquireSlot(mState, std::move(request));
    if (mContext.mCaller->Disconnected()) {
      co_await EndForGoneCaller();
      co_return;
    }
    if (mContext.mAttempts == 0 &&
        !EndsBeforeExit(mState, mContext.mDeadline)) {
      co_await Finish(RefusalReason::NotReady, std::nullopt);
      co_return;
    }
    if (!slot.mEndpoint || Stopped()) {
      co_await Finish(Failure(), slot.mRetryAfter);
      co_return;
    }
    mContext.mEndpoint = slot.mEndpoint->mRegistration.mId;
    mContext.mFirstSlotAt = mContext.mFirstSlotAt.value_or(Clock::now());
    NotePlacement(*slot.mEndpoint);
    auto step = co_await CountedAttempt(slot.mEndpoint);
    if (step == StepResult::Failed && mContext.mLostAt) {
      MarkCold(mState, *slot.mEndpoint, "connection_lost", Clock::now());
      step = co_await ExamineLoss(slot.mEndpoint);
    }
    if (step == StepResult::Done && mContext.mCaller->Disconnected()) {
      co_await EndForGoneCaller();
      co_return;
    }
    if (step == StepResult::Done) {
      Log("answered");
      co_return;
    }
    mContext.mTried.push_back(mContext.mEndpoint);
    const auto refused = step == StepResult::NotRun;
    if (refused && mContext.mHeadSent) {
      co_await SleepUntil(
        std::min(Deadline(), Clock::now() + mPolicy.mRefusedPause));
    }
    const auto retry =
      MayContinue() &&
      ((refused &&
        (mContext.mHeadSent || mContext.mRefusals < mPolicy.mMaxRefusals)) ||
       (step == StepResult::Failed && MayRetryAfterRun()));
    if (!retry) {
      const auto notRun = mContext.mAttempts == 0;
      const auto until = QuarantinedUntil();
      if (notRun && until) {
        RefundRate();
        Log("quarantined");
        co_await RefuseQuarantined(mProtocol, mContext, *until);
        co_return;
      }
      co_await Finish(Failure(), kRefusedRetryAfter);
      co_return;
    }
  }
}

auto RelayedRequest::RefundRate() -> void
{
  const auto rate = mState.mRates.find(mContext.mTeam);
  if (rate != mState.mRates.end()) {
    Refund(rate->second, Clock::now());
  }
}

auto RelayedRequest::Finish(RefusalReason aRefusal,
                            std::optional<milliseconds> aRetryAfter) -> Task<>
{
  const auto notRun = aRefusal == RefusalReason::Overloaded ||
                      aRefusal == RefusalReason::NotReady;
  if (notRun && mContext.mAttempts == 0) {
    RefundRate();
  }
  if (mContext.mCaller->Disconnected()) {
    co_await EndForGoneCaller();
    co_return;
  }
  Log(notRun ? "refused_not_run" : "failed");
  if (mContext.mHeadSent) {
    mContext.mCaller->Abort();
  } else {
    auto response = mProtocol.mRefuse(
      aRefusal,
      mContext.mMetadata.mId,
      aRefusal == RefusalReason::NotReady ? kStoppingRetryAfter : aRetryAfter);
    co_await mContext.mCaller->Reply(std::move(response));
  }
}

auto RelayedRequest::EndForGoneCaller() -> Task<>
{
  Log("caller_gone");
  if (mContext.mCaller->Answered() || !mContext.mCaller->MayStillRead()) {
    co_return;
  }
  auto response =
    mProtocol.mRefuse(mContext.mAttempts == 0 ? RefusalReason::Overloaded
                                              : RefusalReason::EndpointFailed,
                      mContext.mMetadata.mId,
                      std::nullopt);
  co_await mContext.mCaller->Reply(std::move(response));
}

auto RelayedRequest::Attempt(EndpointPtr aEndpoint) -> Task<StepResult>
{
  const ScopedInFlight use(
    mState, aEndpoint, Workload::Online, TokensOf(SizeOf(mContext)));
  const auto now = Clock::now();
  // Without an id, a duplicate answer to an earlier request on the connection
  // could not be recognized.
  const auto idleAfter = mContext.mMetadata.mId.empty() ? TimePoint::max()
                         : MayRetryAfterRun()           ? TimePoint::min()
                                              : now - mPolicy.mMaxIdleTime;
  auto connection = co_await mState.mPool.Acquire(
    aEndpoint->mRegistration.mAddress,
    idleAfter,
    std::min(Deadline(), now + mPolicy.mConnectTimeout),
    mContext.mMetadata.mId);
  if (mContext.mCaller->Disconnected()) {
    co_return StepResult::Done;
  }
  if (!connection) {
    ++mContext.mRefusals;
    LogEvent(Severity::Warn,
             "connect_failed",
             { { "id", mContext.mMetadata.mId },
               { "endpoint", aEndpoint->mRegistration.mId },
               { "reason", connection.error().message() } });
    RecordExchange(mState, *aEndpoint, ExchangeResult::Refused);
    if (connection.error() == asio::error::connection_refused) {
      MarkCold(mState, *aEndpoint, "connection_refused", Clock::now());
    }
    co_return StepResult::NotRun;
  }
  // The endpoint may have been evacuated or turned cold while the connection
  // was opened.
  const auto barred =
    aEndpoint->mEvacuated ||
    !MayStillSend(aEndpoint->mStatements->mLimit, now, Clock::now());
  if (barred || (QuarantinedUntil() &&
                 !TakeTrial(mState, mContext.mParts, Clock::now()))) {
    // A connection that was idle before stays in use.
    const auto usableUntil = (*connection)->mUsableUntil;
    mState.mPool.Release(std::move(*connection),
                         usableUntil,
                         IdleConnectionLimit(mState, *aEndpoint));
    mContext.mRefusals += barred ? 1 : 0;
    co_return barred ? StepResult::NotRun : StepResult::NoRetry;
  }
  auto& stream = (*connection)->mStream;
  mContext.mCaller->mInterrupt = [&stream] { stream.close(); };
  const auto startedAt = Clock::now();
  auto step = co_await Send(*aEndpoint, **connection);
  std::optional<ResponseParser> parser;
  if (step == StepResult::Done) {
    step = co_await ReadAnswerHead(*aEndpoint, **connection, parser);
  }
  if (step == StepResult::Done) {
    const auto metadata = mProtocol.mReadResponse(parser->get().base());
    step = co_await Deliver(*aEndpoint, **connection, *parser, metadata);
    if (step == StepResult::Done && !mContext.mCaller->Disconnected()) {
      auto& pool = mState.mPools[aEndpoint->mRegistration.mService];
      const std::chrono::duration<double> elapsed = Clock::now() - startedAt;
      UpdateDecayedMean(pool.mMeanSeconds, elapsed.count());
      // A stream waits for a slot of its endpoint before its first event.
      const std::chrono::duration<double> untilFirst =
        mContext.mAnswerBegunAt - startedAt;
      const auto queued =
        metadata.mIsEventStream && mContext.mAnswerBegun
          ? std::max(0.0, untilFirst.count() - pool.mFirstEventSeconds)
          : 0.0;
      UpdateDecayedMean(pool.mHoldSeconds,
                        std::max(0.0, elapsed.count() - queued));
      RecordTimes(*aEndpoint, pool.mTimes);
    }
  }
  mContext.mCaller->mInterrupt = nullptr;
  if (mContext.mCaller->Disconnected()) {
    co_return StepResult::Done;
  }
  if (step == StepResult::Done || step == StepResult::NotRun) {
    if (parser) {
      // Callers repeat no request after a success.
      if (step == StepResult::NotRun || !IsSuccess(parser->get().result())) {
        BarId(**connection, mContext.mMetadata.mId);
      }
      const auto usableUntil =
        ReusableUntil(**connection, *parser, Clock::now());
      mState.mPool.Release(std::move(*connection),
                           usableUntil,
                           IdleConnectionLimit(mState, *aEndpoint));
    }
  }
  co_return step;
}

auto RelayedRequest::Send(Endpoint& aEndpoint, ClientConnection& aConnection)
  -> Task<StepResult>
{
  const auto now = Clock::now();
  DispatchMetadata dispatch;
  dispatch.mEndpointId = aEndpoint.mRegistration.mId;
  dispatch.mTeam = mContext.mTeam;
  dispatch.mRemaining = std::max(
    kMinRemaining, std::chrono::duration_cast<milliseconds>(Deadline() - now));
  dispatch.mResumeAfter = mContext.mLastEvent;
  const auto request = mProtocol.mEndpointRequest(*mContext.mRequest, dispatch);
  ++mContext.mAttempts;
  mContext.mAttemptAt = now;
  mContext.mEventsBefore = mContext.mForwardedEvents;
  mContext.mAnswerBegun = false;
  mContext.mAttemptFirstAt.reset();
  mContext.mLostAt.reset();
  NoteSentTo(mState, aEndpoint, SizeOf(mContext), now);
  const auto error =
    co_await SendRequest(aConnection, request, SilenceDeadline());
  if (error && !mContext.mCaller->Disconnected()) {
    NoteError(error);
    NoteFailure(aEndpoint, absl::StrCat("send: ", error.message()));
    co_return StepResult::Failed;
  }
  co_return StepResult::Done;
}

auto RelayedRequest::NoteProgress(Duration aTimeout) -> void
{
  const auto now = Clock::now();
  auto& silence = mContext.mSilence;
  silence.mBegunAt = now;
  silence.mFailingAt = now + aTimeout;
  silence.mAbandonAt = now + std::max(aTimeout, MaxSilence());
  silence.mLastAbandonAt =
    std::max(silence.mAbandonAt,
             now + std::min(mPolicy.mMaxStall,
                            Scaled(Patience(), mPolicy.mMaxStallShare)));
  mContext.mFailing = false;
}

auto RelayedRequest::CheckSilence(Endpoint& aEndpoint)
  -> std::optional<TimePoint>
{
  const auto now = Clock::now();
  if (mContext.mForwarding) {
    NoteProgress(GapTimeout());
  }
  if (now < mContext.mSilence.mFailingAt) {
    return mContext.mSilence.mFailingAt;
  }
  auto tried = mContext.mTried;
  tried.push_back(aEndpoint.mRegistration.mId);
  if (!HasFreeSlot(mState, mContext.mService, tried, SizeOf(mContext))) {
    return now + mPolicy.mSilenceCheckInterval;
  }
  if (!mContext.mFailing) {
    mContext.mFailing = true;
    LogEvent(Severity::Info,
             "endpoint_silent",
             { { "id", mContext.mMetadata.mId },
               { "endpoint", aEndpoint.mRegistration.mId } });
    RecordExchange(mState, aEndpoint, ExchangeResult::Failed);
  }
  const auto& activity = aEndpoint.mActivity;
  const auto servesOthers = ServesOnlyOthers(
    activity, mContext.mSilence, now - mPolicy.mSilenceCheckInterval);
  const auto abandonAt = AbandonAt(activity, mContext.mSilence);
  if (!servesOthers && now < abandonAt) {
    return std::min(now + mPolicy.mSilenceCheckInterval, abandonAt);
  }
  LogEvent(Severity::Info,
           "attempt_abandoned",
           { { "id", mContext.mMetadata.mId },
             { "endpoint", aEndpoint.mRegistration.mId },
             { "serves_others", servesOthers ? "1" : "0" },
             { "silent_ms", Millis(now - mContext.mSilence.mBegunAt) },
             { "active_ms", Millis(activity.mLastAt - activity.mSince) },
             { "last_bytes_ms", Millis(now - activity.mLastAt) } });
  return std::nullopt;
}

auto RelayedRequest::WatchSilence(Endpoint& aEndpoint,
                                  ClientConnection& aConnection,
                                  Duration aTimeout)
  -> std::unique_ptr<ConditionalTimeout>
{
  if (!MayRetryAfterRun()) {
    return nullptr;
  }
  NoteProgress(aTimeout);
  return std::make_unique<ConditionalTimeout>(
    mState.mLoop,
    mContext.mSilence.mFailingAt,
    [this, &aEndpoint] { return CheckSilence(aEndpoint); },
    [&aConnection] { aConnection.mStream.close(); });
}

auto RelayedRequest::ReadAnswerHead(Endpoint& aEndpoint,
                                    ClientConnection& aConnection,
                                    std::optional<ResponseParser>& aParser)
  -> Task<StepResult>
{
  for (int discarded = 0; discarded <= kMaxDiscardedAnswers; ++discarded) {
    const auto watch = WatchSilence(aEndpoint, aConnection, FirstByteTimeout());
    const auto error = co_await ReadHead(aConnection, aParser, Deadline());
    if (mContext.mCaller->Disconnected()) {
      co_return StepResult::Done;
    }
    if (!error) {
      NoteBytes(aEndpoint.mActivity, Clock::now());
    } else {
      NoteError(error);
      // The endpoint may have closed a reused connection before it received the
      // request.
      if (aConnection.mReused && error == http::error::end_of_stream) {
        mState.mPool.CloseIdleConnections(aConnection.mAddress);
        co_return StepResult::Failed;
      }
      NoteFailure(aEndpoint, absl::StrCat("head: ", error.message()));
      co_return StepResult::Failed;
    }
    const auto metadata = mProtocol.mReadResponse(aParser->get().base());
    if (metadata.mId == mContext.mMetadata.mId ||
        (metadata.mId.empty() && !aConnection.mReused)) {
      co_return StepResult::Done;
    }
    // It may be a duplicate answer to an earlier request on this connection.
    if (metadata.mId.empty()) {
      NoteFailure(aEndpoint, "answer without an id on a reused connection");
      co_return StepResult::Failed;
    }
    // A duplicate answer to an earlier request on this connection.
    LogEvent(Severity::Warn,
             "stray_answer",
             { { "id", mContext.mMetadata.mId },
               { "answers", metadata.mId },
               { "connection", absl::StrCat(aConnection.mNumber) },
               { "endpoint", aEndpoint.mRegistration.mId } });
    const auto bodyError =
      co_await DiscardBody(aConnection, *aParser, SilenceDeadline());
    if (bodyError) {
      NoteError(bodyError);
      break;
    }
  }
  NoteFailure(aEndpoint, "answer to another request");
  co_return StepResult::Failed;
}

auto RelayedRequest::Deliver(Endpoint& aEndpoint,
                             ClientConnection& aConnection,
                             ResponseParser& aParser,
                             const ResponseMetadata& aMetadata)
  -> Task<StepResult>
{
  if (aMetadata.mLoad) {
    RecordReportedLoad(mState, aEndpoint, *aMetadata.mLoad);
  }
  RecordStatements(mState, aEndpoint, aMetadata, Clock::now());
  const auto status = aParser.get().result_int();
  if (aMetadata.mNotExecuted || aMetadata.mWrongEndpoint) {
    --mContext.mAttempts;
    ++mContext.mRefusals;
    LogEvent(Severity::Info,
             "endpoint_refused",
             { { "id", mContext.mMetadata.mId },
               { "endpoint", aEndpoint.mRegistration.mId },
               { "connection", absl::StrCat(aConnection.mNumber) },
               { "status", absl::StrCat(status) } });
    RecordExchange(mState,
                   aEndpoint,
                   aMetadata.mWrongEndpoint ? ExchangeResult::Leaving
                                            : ExchangeResult::Ignored);
    const auto bodyError =
      co_await DiscardBody(aConnection, aParser, SilenceDeadline());
    if (bodyError) {
      aConnection.mStream.close();
    }
    co_return StepResult::NotRun;
  }
  const auto success = IsSuccess(aParser.get().result());
  if (success && (!aMetadata.mSigned || aMetadata.mId.empty())) {
    NoteFailure(aEndpoint, "success without a signature or id");
    co_return StepResult::Failed;
  }
  // Nothing but the endpoint's statement says that the request has not run, so
  // the caller must not get a status that does.
  if (aMetadata.mStatusPromises || (status >= 500 && MayRetryAfterRun())) {
    NoteFailure(aEndpoint, absl::StrCat("status ", status));
    co_return StepResult::Failed;
  }
  if (mContext.mHeadSent && (!success || !aMetadata.mIsEventStream)) {
    NoteFailure(aEndpoint, absl::StrCat("resumption refused: ", status));
    co_return StepResult::Failed;
  }
  if (success && aMetadata.mIsEventStream) {
    co_return co_await DeliverStream(aEndpoint, aConnection, aParser);
  }
  co_return co_await DeliverWhole(aEndpoint, aConnection, aParser);
}

auto RelayedRequest::DeliverWhole(Endpoint& aEndpoint,
                                  ClientConnection& aConnection,
                                  ResponseParser& aParser) -> Task<StepResult>
{
  BudgetedBytes bytes(mState.mAnswerBytes);
  const auto watch = WatchSilence(aEndpoint, aConnection, GapTimeout());
  BodyLimits limits;
  limits.mMaxBytes = kMaxAnswerBytes;
  limits.mBudgeted = &bytes;
  limits.mOnProgress = [this, &aEndpoint] {
    NoteBytes(aEndpoint.mActivity, Clock::now());
    NoteProgress(GapTimeout());
  };
  const auto error =
    co_await ReadBody(aConnection, aParser, Deadline(), std::move(limits));
  if (mContext.mCaller->Disconnected()) {
    co_return StepResult::Done;
  }
  if (error) {
    NoteError(error);
    NoteFailure(aEndpoint, absl::StrCat("body: ", error.message()));
    co_return StepResult::Failed;
  }
  const auto failed = aParser.get().result_int() >= 500;
  if (IsSuccess(aParser.get().result())) {
    NoteAnswerBegun();
  }
  RecordExchange(
    mState, aEndpoint, failed ? ExchangeResult::Failed : ExchangeResult::Good);
  Response response;
  response.base() = mProtocol.mCallerHead(aParser.get().base());
  response.body() = std::move(aParser.get().body());
  bytes.PassOn();
  co_await mContext.mCaller->Reply(std::move(response));
  co_return StepResult::Done;
}

auto RelayedRequest::DeliverStream(Endpoint& aEndpoint,
                                   ClientConnection& aConnection,
                                   ResponseParser& aParser) -> Task<StepResult>
{
  EventSplitter splitter;
  const auto watch = WatchSilence(aEndpoint, aConnection, GapTimeout());
  while (!aParser.is_done()) {
    const auto bytes = co_await ReadSomeBody(aConnection, aParser, Deadline());
    if (mContext.mCaller->Disconnected()) {
      co_return StepResult::Done;
    }
    if (!bytes) {
      NoteError(bytes.error());
      NoteFailure(aEndpoint, absl::StrCat("stream: ", bytes.error().message()));
      co_return StepResult::Failed;
    }
    NoteBytes(aEndpoint.mActivity, Clock::now());
    auto events = SplitEvents(splitter, *bytes);
    if (!mContext.mAnswerBegun &&
        std::any_of(events.begin(), events.end(), IsProgress)) {
      NoteAnswerBegun();
    }
    const auto before = mContext.mForwardedEvents;
    mContext.mForwarding = true;
    const auto step = co_await ForwardEvents(std::move(events), aParser);
    mContext.mForwarding = false;
    // Single bytes and comments do not keep a stalled stream.
    if (mContext.mForwardedEvents > before) {
      NoteProgress(GapTimeout());
    }
    if (step == StepResult::Failed) {
      NoteFailure(aEndpoint, "stream: events are missing");
    }
    if (step != StepResult::Done || mContext.mCaller->Disconnected()) {
      co_return step;
    }
    if (IsOverlong(splitter)) {
      NoteFailure(aEndpoint, "stream: event exceeds the size limit");
      co_return StepResult::Failed;
    }
  }
  // Without a length and chunks, the end of a stream that has no event can't be
  // told from the end of its endpoint. A numbered stream has an event, and a
  // resumed one repeats none, unless the id of a later one is spoiled.
  const auto nothingNew = mContext.mForwardedEvents == mContext.mEventsBefore;
  const auto nothingAtAll = mContext.mRoute->mResumable && !mContext.mLastEvent;
  const auto endedEarly =
    nothingNew && (aParser.need_eof() || mContext.mAnswerBegun || nothingAtAll);
  if (endedEarly || !splitter.mPartial.empty()) {
    if (aParser.need_eof()) {
      NoteError(http::error::partial_message);
    }
    NoteFailure(aEndpoint,
                endedEarly ? "stream: ended before its first event"
                           : "stream: ended within an event");
    co_return StepResult::Failed;
  }
  RecordExchange(mState, aEndpoint, ExchangeResult::Good);
  if (!mContext.mHeadSent) {
    std::string noBytes;
    co_await SendToCaller(std::move(noBytes), aParser);
  }
  co_await mContext.mCaller->EndChunks();
  co_return StepResult::Done;
}

auto RelayedRequest::ForwardEvents(std::vector<StreamEvent> aEvents,
                                   const ResponseParser& aParser)
  -> Task<StepResult>
{
  // The events before a gap count as delivered, so they have to be sent.
  // Only a numbered stream can be resumed.
  const auto selection = SelectNext(
    std::move(aEvents), mContext.mLastEvent, mContext.mRoute->mResumable);
  std::string bytes;
  for (const auto& event : selection.mNext) {
    bytes += event.mText;
    mContext.mForwardedEvents += IsProgress(event) ? 1 : 0;
  }
  if (!bytes.empty()) {
    co_await SendToCaller(std::move(bytes), aParser);
  }
  co_return selection.mGap ? StepResult::Failed : StepResult::Done;
}

auto RelayedRequest::SendToCaller(std::string aBytes,
                                  const ResponseParser& aParser) -> Task<bool>
{
  if (mContext.mHeadSent) {
    co_return co_await mContext.mCaller->SendChunk(std::move(aBytes));
  }
  mContext.mHeadSent = true;
  auto head = mProtocol.mCallerHead(aParser.get().base());
  co_return co_await mContext.mCaller->BeginChunks(std::move(head),
                                                   std::move(aBytes));
}

} // namespace

auto CheckCall(std::shared_ptr<const ServingDocument> aDocument,
               const RequestMetadata& aMetadata) -> CallAdmission
{
  CallAdmission admission;
  const auto& document = *aDocument;
  admission.mDocument = std::move(aDocument);
  admission.mRoute = FindRoute(document, aMetadata.mHost, aMetadata.mPath);
  if (admission.mRoute == nullptr) {
    admission.mRefusal = RefusalReason::NoRoute;
    return admission;
  }
  // A batch job belongs to a team, by whose keys it is read later.
  const auto needsNoKey =
    admission.mRoute->mPublic && admission.mRoute->mKind != RouteKind::Batch;
  if (!document.mKeysRequired || needsNoKey) {
    return admission;
  }
  const auto team = document.mTeamOfKey.find(aMetadata.mKey);
  if (team == document.mTeamOfKey.end()) {
    admission.mRefusal = RefusalReason::UnknownKey;
  } else {
    admission.mTeam = team->second;
  }
  return admission;
}

auto Relay::RefuseNotReady(CallerPtr aCaller, RequestMetadata aMetadata)
  -> Task<>
{
  LogEvent(Severity::Info,
           "request_refused",
           { { "id", aMetadata.mId }, { "reason", "no_document" } });
  const auto starting = Clock::now() < mStartedAt + kStartupTime;
  co_await aCaller->Reply(
    mProtocol.mRefuse(RefusalReason::NotReady,
                      aMetadata.mId,
                      mState.mAnswerBy ? kStoppingRetryAfter
                      : starting       ? kStartupRetryAfter
                                       : kNoDocumentRetryAfter));
}

auto Relay::Serve(CallerPtr aCaller,
                  std::shared_ptr<Request> aRequest,
                  RequestMetadata aMetadata,
                  CallAdmission aAdmission) -> Task<>
{
  RequestContext context;
  context.mCaller = aCaller;
  context.mMetadata = std::move(aMetadata);
  context.mRequest = std::move(aRequest);
  context.mDocument = std::move(aAdmission.mDocument);
  const auto refuse = [&](RefusalReason aRefusal,
                          std::optional<milliseconds> aRetryAfter) {
    LogEvent(Severity::Info,
             "request_refused",
             { { "id", context.mMetadata.mId },
               { "host", context.mMetadata.mHost },
               { "path", context.mMetadata.mPath },
               { "team", context.mTeam },
               { "reason", absl::StrCat(static_cast<int>(aRefusal)) } });
    return context.mCaller->Reply(
      mProtocol.mRefuse(aRefusal, context.mMetadata.mId, aRetryAfter));
  };
  context.mTeam = std::move(aAdmission.mTeam);
  if (aAdmission.mRefusal) {
    co_await refuse(*aAdmission.mRefusal, std::nullopt);
    co_return;
  }
  context.mRoute = aAdmission.mRoute;
  context.mParts = context.mMetadata.mSharedParts;
  context.mParts.push_back(
    WholeRequestHash(context.mMetadata, *context.mRequest, context.mTeam));
  // Before the rate, so that the request takes no token.
  if (const auto until =
        QuarantinedUntil(mState.mSuspects, context.mParts, Clock::now());
      until && !MayTakeTrial(mState, context.mParts, Clock::now())) {
    co_await RefuseQuarantined(mProtocol, context, *until);
    co_return;
  }
  context.mService = PickService(*context.mRoute, Uniform(mState.mRandom));
  CountArrival(mState, context.mService, Clock::now());
  context.mDeadline = DeadlineOf(context);
  if (context.mDeadline <= Clock::now()) {
    co_await refuse(RefusalReason::Overloaded, kRefusedRetryAfter);
    co_return;
  }
  if (!EndsBeforeExit(mState, context.mDeadline)) {
    co_await refuse(RefusalReason::NotReady, kStoppingRetryAfter);
    co_return;
  }
  const auto rate = mState.mRates.find(context.mTeam);
  const auto now = Clock::now();
  if (rate != mState.mRates.end() && !Admit(rate->second, now)) {
    const auto hosts = ResponsivePeerCount(mState.mFleet) + 1;
    const auto wait = ScheduleRetry(rate->second, hosts, now) - now;
    LogEvent(Severity::Info,
             "over_rate",
             { { "id", context.mMetadata.mId },
               { "team", context.mTeam },
               { "tokens", absl::StrCat(rate->second.mTokens) },
               { "rate", absl::StrCat(rate->second.mRate) },
               { "burst", absl::StrCat(rate->second.mBurst) },
               { "share", absl::StrCat(rate->second.mShare) } });
    co_await refuse(RefusalReason::OverRate,
                    std::chrono::duration_cast<milliseconds>(wait));
    co_return;
  }
  const auto team = context.mDocument->mTeams.find(context.mTeam);
  context.mPriority =
    team != context.mDocument->mTeams.end() && team->second.mPriority
      ? *team->second.mPriority
      : context.mRoute->mPriority;
  context.mLastEvent = context.mMetadata.mResumeAfter;
  RelayedRequest relayed(mState, mProtocol, mPolicy, context);
  co_await relayed.Run();
}

} // namespace mangovalve
