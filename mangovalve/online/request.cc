// Runs one online request: rate token, queue, dispatch with retries, answer.
#include "mangovalve/online/request.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "mangovalve/online/idempotency.h"
#include "mangovalve/telemetry/counters.h"

namespace mangovalve {
namespace {

using Kind = EndpointError::Kind;

// The reason in the JSON body of an endpoint's 503; empty if there is none.
auto UnavailableReason(const EndpointResponse& aAnswer) -> std::string
{
  const auto body = nlohmann::json::parse(aAnswer.mBody, nullptr, false);
  if (aAnswer.mHead.mStatus != 503 || !body.is_object() ||
      !body.contains("error") || !body["error"].is_object()) {
    return {};
  }
  const auto reason = body["error"].value("reason", nlohmann::json());
  return reason.is_string() ? reason.get<std::string>() : std::string();
}

// What an answer means for the endpoint's health.
auto ToExchangeResult(const EndpointResponse& aAnswer) -> ExchangeResult
{
  if (aAnswer.mHead.mStatus < 500) {
    return ExchangeResult::Good;
  }
  const auto reason = UnavailableReason(aAnswer);
  return reason == "leaving" ? ExchangeResult::Leaving
         : reason == "busy"  ? ExchangeResult::Ignored
                             : ExchangeResult::Failed;
}

auto ToExchangeResult(const EndpointError& aError) -> ExchangeResult
{
  switch (aError.mKind) {
    case Kind::Refused:
      return ExchangeResult::Refused;
    case Kind::Cancelled:
    case Kind::TooLarge:
    case Kind::Deadline: // the caller's may be too short for any answer
      return ExchangeResult::Ignored;
    default:
      return ExchangeResult::Failed;
  }
}

auto ToRefusal(const EndpointError& aError) -> Refusal
{
  Refusal refusal;
  refusal.mExecution = aError.mSent == Sent::NotSent ? ExecutionState::NotRun
                                                     : ExecutionState::Unknown;
  refusal.mReason = KindName(aError.mKind);
  refusal.mMessage =
    absl::StrCat("the endpoint's answer failed: ", KindName(aError.mKind));
  const auto timedOut = aError.mKind == Kind::NoFirstByte ||
                        aError.mKind == Kind::Stalled ||
                        aError.mKind == Kind::Deadline;
  refusal.mStatus = timedOut ? 504 : aError.mSent == Sent::NotSent ? 503 : 502;
  if (aError.mSent == Sent::NotSent) {
    refusal.mRetryAfter = std::chrono::milliseconds(250);
  }
  return refusal;
}

auto IsRetryableStatus(int aStatus) -> bool
{
  return aStatus == 500 || aStatus == 502 || aStatus == 503 || aStatus == 504;
}

auto ToDispatch(const AdmittedRequest& aAdmitted) -> DispatchRequest
{
  DispatchRequest request;
  request.mService = aAdmitted.mService.mName;
  request.mLimit = aAdmitted.mService.mMaxInFlight;
  request.mTeam = aAdmitted.mTeam;
  request.mWeight = aAdmitted.mWeight;
  request.mWork = aAdmitted.mWork;
  request.mPrefix = aAdmitted.mPrefix;
  request.mDeadline = aAdmitted.mDeadline;
  return request;
}

auto ToEndpointRequest(const AdmittedRequest& aAdmitted,
                       const OnlineRequest& aRequest,
                       const std::string& aAddress,
                       const TraceContext& aTrace,
                       TimePoint aNow) -> EndpointRequest
{
  EndpointRequest request;
  request.mAddress = aAddress;
  request.mMethod = aRequest.mMethod;
  request.mTarget = aAdmitted.mTarget;
  request.mHeaders = aAdmitted.mHeaders;
  request.mHeaders.emplace_back("traceparent", FormatTraceparent(aTrace));
  const auto contentType = HeaderValue(aRequest.mHeaders, "Content-Type");
  if (!contentType.empty()) {
    request.mContentType = contentType;
  }
  request.mBody = aRequest.mBody;
  request.mRequestId = aAdmitted.mRequestId;
  request.mFirstByteDeadline = aNow + aAdmitted.mRoute.mFirstByteTimeout;
  request.mDeadline = aAdmitted.mDeadline;
  return request;
}

// Waits for an endpoint, within a trace span.
auto AcquireEndpoint(Dispatcher& aDispatcher,
                     const AdmittedRequest& aAdmitted,
                     const DispatchRequest& aWanted)
  -> Result<ChosenEndpoint, Refusal>
{
  ScopedSpan span("queue", aAdmitted.mTrace);
  auto endpoint = aDispatcher.Acquire(aWanted);
  span.Add("endpoint", endpoint ? endpoint->mAddress : "none");
  return endpoint;
}

// Performs one exchange with an endpoint, within a trace span.
auto ExchangeOnce(const OnlinePorts& aPorts,
                  const AdmittedRequest& aAdmitted,
                  const OnlineRequest& aRequest,
                  const std::string& aAddress,
                  const ResponseSink& aSink,
                  Cancellation* aCancellation)
  -> Result<EndpointResponse, EndpointError>
{
  ScopedSpan span("endpoint", aAdmitted.mTrace);
  span.Add("endpoint", aAddress);
  auto answer = aPorts.mClient->Exchange(
    ToEndpointRequest(
      aAdmitted, aRequest, aAddress, span.Context(), aPorts.mNow()),
    aSink,
    aCancellation);
  span.Add("result", answer ? "answer" : KindName(answer.error().mKind));
  return answer;
}

// Whether a failed attempt may be retried: no part of the answer has been
// passed on to the caller, and either nothing reached an endpoint or the route
// is idempotent.
auto MayRetry(const AdmittedRequest& aAdmitted,
              const Result<EndpointResponse, EndpointError>& aResult,
              bool aHeadPassedOn) -> bool
{
  if (aHeadPassedOn) {
    return false;
  }
  if (aResult) {
    return aAdmitted.mRoute.mIdempotent &&
           IsRetryableStatus(aResult->mHead.mStatus);
  }
  const auto& error = aResult.error();
  if (error.mKind == Kind::Cancelled || error.mKind == Kind::Deadline ||
      error.mKind == Kind::TooLarge) {
    return false;
  }
  return error.mSent == Sent::NotSent || aAdmitted.mRoute.mIdempotent;
}

} // namespace

auto Dispatch(const OnlinePorts& aPorts,
              Dispatcher& aDispatcher,
              const AdmittedRequest& aAdmitted,
              const OnlineRequest& aRequest,
              const ResponseSink& aSink,
              Cancellation* aCancellation,
              const std::function<Result<void, Refusal>()>& aBeforeSend)
  -> Result<EndpointResponse, Refusal>
{
  auto wanted = ToDispatch(aAdmitted);
  const auto& service = aAdmitted.mService.mName;
  aDispatcher.NoteRequest(service);
  auto headPassedOn = false;
  auto anySent = false;
  auto sink = aSink;
  if (sink.mOnHead) {
    sink.mOnHead = [&](const EndpointResponseHead& aHead) {
      headPassedOn = aSink.mOnHead(aHead);
      return headPassedOn;
    };
  }
  auto last =
    Result<EndpointResponse, EndpointError>(tl::unexpect, EndpointError{});
  for (auto attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    auto endpoint = AcquireEndpoint(aDispatcher, aAdmitted, wanted);
    if (!endpoint && !wanted.mExclude.empty()) {
      // A new connection to an endpoint that was already tried may work if the
      // previous one was half-open.
      wanted.mExclude.clear();
      endpoint = AcquireEndpoint(aDispatcher, aAdmitted, wanted);
    }
    if (!endpoint) {
      if (attempt > 1) { // return the earlier attempt's failure
        break;
      }
      return Err(endpoint.error());
    }
    if (attempt == 1 && aBeforeSend) {
      if (auto ready = aBeforeSend(); !ready) {
        aDispatcher.Finish(
          *endpoint, ExchangeResult::Ignored, Duration::zero());
        return Err(std::move(ready.error()));
      }
    }
    const auto start = aPorts.mNow();
    last = ExchangeOnce(
      aPorts, aAdmitted, aRequest, endpoint->mAddress, sink, aCancellation);
    anySent = anySent || last || last.error().mSent == Sent::Sent;
    aDispatcher.Finish(*endpoint,
                       last ? ToExchangeResult(*last)
                            : ToExchangeResult(last.error()),
                       last ? aPorts.mNow() - start : Duration::zero());
    if (last && aPorts.mOnFirstByte) {
      aPorts.mOnFirstByte(endpoint->mAddress, last->mFirstByte - start);
    }
    FindCounter(
      "mangovalve_endpoint_attempts_total",
      { { "service", service },
        { "result", last ? "answer" : KindName(last.error().mKind) } })
      .Add();
    if (!MayRetry(aAdmitted, last, headPassedOn) ||
        aPorts.mNow() >= aAdmitted.mDeadline || attempt == kMaxAttempts ||
        !aDispatcher.TakeRetry(service)) {
      break;
    }
    wanted.mExclude.push_back(endpoint->mAddress);
  }
  if (last) {
    return std::move(*last);
  }
  auto refusal = ToRefusal(last.error());
  if (anySent && refusal.mExecution == ExecutionState::NotRun) {
    // An earlier attempt may have been executed although the last one reached
    // no endpoint.
    refusal.mExecution = ExecutionState::Unknown;
    refusal.mStatus = 502;
  }
  return Err(std::move(refusal));
}

auto RunOnline(const OnlinePorts& aPorts,
               Dispatcher& aDispatcher,
               const AdmittedRequest& aAdmitted,
               const OnlineRequest& aRequest,
               const ResponseSink& aSink,
               Cancellation* aCancellation) -> Result<EndpointResponse, Refusal>
{
  if (!aAdmitted.mIdempotencyKey.empty()) {
    return RunWithIdempotencyKey(
      aPorts, aDispatcher, aAdmitted, aRequest, aCancellation);
  }
  if (auto token = TakeToken(aPorts, aAdmitted); !token) {
    return Err(std::move(token.error()));
  }
  return Dispatch(
    aPorts, aDispatcher, aAdmitted, aRequest, aSink, aCancellation, nullptr);
}

} // namespace mangovalve
