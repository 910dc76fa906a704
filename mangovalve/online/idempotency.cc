// Executes non-idempotent requests with an Idempotency-Key at most once.
#include "mangovalve/online/idempotency.h"

#include <absl/strings/str_cat.h>

#include "mangovalve/telemetry/counters.h"

namespace mangovalve {
namespace {

// How long an answer is delayed for its outcome to be recorded. Without the
// record, a resend only receives the error "outcome_unknown".
constexpr auto kOutcomeCommitTimeout = std::chrono::seconds(2);
// Retry delay given to callers while the outcome is unknown.
constexpr auto kUnknownRetryAfter = std::chrono::milliseconds(500);

auto NotRun(int aStatus, const char* aReason, std::string aMessage) -> Refusal
{
  return { aStatus,
           aReason,
           std::move(aMessage),
           ExecutionState::NotRun,
           std::chrono::milliseconds(1000) };
}

auto UnknownOutcome() -> Refusal
{
  return { 409,
           "outcome_unknown",
           "a request with this Idempotency-Key was started and its outcome is "
           "not known; it will not be run again",
           ExecutionState::Unknown,
           kUnknownRetryAfter };
}

auto IntentDraft(const OnlinePorts& aPorts,
                 const AdmittedRequest& aAdmitted,
                 const std::string& aDigest) -> RecordDraft
{
  RecordDraft draft;
  draft.mId = NewId();
  draft.mType = record::RecordBody::RequestIntent;
  draft.mBuild = [team = aAdmitted.mTeam,
                  key = aAdmitted.mIdempotencyKey,
                  route = aAdmitted.mRoute.mName,
                  host = aPorts.mHost,
                  digest = aDigest](flatbuffers::FlatBufferBuilder& aBuilder) {
    return record::CreateRequestIntentDirect(aBuilder,
                                             team.c_str(),
                                             key.c_str(),
                                             route.c_str(),
                                             host.c_str(),
                                             digest.c_str())
      .Union();
  };
  return draft;
}

auto OutcomeDraft(const AdmittedRequest& aAdmitted,
                  Offset aIntent,
                  const Outcome& aOutcome) -> RecordDraft
{
  RecordDraft draft;
  draft.mId = NewId();
  draft.mType = record::RecordBody::RequestOutcome;
  draft.mSizeHint = aOutcome.mBody.size() + 512;
  draft.mBuild = [team = aAdmitted.mTeam,
                  key = aAdmitted.mIdempotencyKey,
                  aIntent,
                  aOutcome](flatbuffers::FlatBufferBuilder& aBuilder) {
    const auto teamText = aBuilder.CreateString(team);
    const auto keyText = aBuilder.CreateString(key);
    const auto type = aBuilder.CreateString(aOutcome.mContentType);
    const auto body = aBuilder.CreateString(aOutcome.mBody);
    return record::CreateRequestOutcome(
             aBuilder,
             teamText,
             keyText,
             aIntent,
             static_cast<std::uint32_t>(aOutcome.mStatus),
             type,
             body)
      .Union();
  };
  return draft;
}

// The outcome that is returned to resends; status 0 if it is unknown.
auto ToOutcome(const Result<EndpointResponse, Refusal>& aResult) -> Outcome
{
  if (aResult) {
    return { aResult->mHead.mStatus,
             HeaderValue(aResult->mHead.mHeaders, "Content-Type"),
             aResult->mBody };
  }
  if (aResult.error().mExecution == ExecutionState::NotRun) {
    return { aResult.error().mStatus,
             "application/json",
             ToJson(aResult.error()) };
  }
  return {};
}

auto RecordOutcome(const OnlinePorts& aPorts,
                   const AdmittedRequest& aAdmitted,
                   Offset aIntent,
                   const Result<EndpointResponse, Refusal>& aResult) -> void
{
  auto outcome = ToOutcome(aResult);
  if (outcome.mBody.size() > kMaxOutcomeBodyBytes) {
    // One byte over the bound is enough for replay to keep the status and mark
    // the body as dropped; the rest need not be written to the log.
    outcome.mBody.resize(kMaxOutcomeBodyBytes + 1);
  }
  const ScopedSpan span("log", aAdmitted.mTrace);
  const auto committed =
    aPorts.mJournal.mCommit(OutcomeDraft(aAdmitted, aIntent, outcome),
                            CommitPriority::Result,
                            aPorts.mNow() + kOutcomeCommitTimeout);
  if (!committed) {
    FindCounter("mangovalve_online_outcomes_unrecorded_total").Add();
  }
}

auto ToAnswer(const Outcome& aOutcome, TimePoint aNow)
  -> Result<EndpointResponse, Refusal>
{
  if (aOutcome.mStatus == 0) {
    return Err(UnknownOutcome());
  }
  if (!aOutcome.mBodyKept) {
    return Err(Refusal{ 409,
                        "outcome_not_kept",
                        absl::StrCat("the request ran with status ",
                                     aOutcome.mStatus,
                                     "; its answer was too large to keep"),
                        ExecutionState::Ran,
                        {} });
  }
  EndpointResponse answer;
  answer.mHead.mStatus = aOutcome.mStatus;
  answer.mHead.mHeaders = { { "Content-Type", aOutcome.mContentType },
                            { "Idempotency-Replayed", "true" } };
  answer.mBody = aOutcome.mBody;
  answer.mFirstByte = aNow;
  return answer;
}

// Commits the intent. Returns its position if this request may dispatch.
auto CommitIntent(const OnlinePorts& aPorts,
                  const AdmittedRequest& aAdmitted,
                  const std::string& aDigest) -> Result<RecordContext, Refusal>
{
  const ScopedSpan span("log", aAdmitted.mTrace);
  const auto committed =
    aPorts.mJournal.mCommit(IntentDraft(aPorts, aAdmitted, aDigest),
                            CommitPriority::Claim,
                            aAdmitted.mDeadline);
  if (!committed) {
    // The request is never dispatched, even if the intent is applied later.
    return Err(
      NotRun(503,
             "journal_unavailable",
             "the request could not be recorded, so it was not run; send it "
             "again with a new Idempotency-Key"));
  }
  if (!committed->mVerdict.mAccepted) {
    if (committed->mVerdict.mReason == "intent_exists") {
      return Err(UnknownOutcome());
    }
    return Err(NotRun(503, "journal_full", "too many open intents"));
  }
  return committed->mContext;
}

} // namespace

auto DecideIdempotency(const std::optional<Intent>& aFound,
                       const std::string& aDigest,
                       const std::optional<RecordContext>& aOwn)
  -> IdempotencyDecision
{
  IdempotencyDecision decision;
  if (!aFound) {
    if (!aOwn) {
      decision.mStep = IdempotencyDecision::Step::CommitIntent;
    } else {
      // This request's own intent has already expired: it must not run.
      decision.mRefusal = UnknownOutcome();
    }
    return decision;
  }
  if (aFound->mDigest != aDigest) {
    decision.mRefusal =
      NotRun(422,
             "idempotency_key_reused",
             "this Idempotency-Key was used for a different request");
    return decision;
  }
  if (aFound->mOutcome) {
    decision.mStep = IdempotencyDecision::Step::ReturnOutcome;
    decision.mOutcome = *aFound->mOutcome;
    return decision;
  }
  if (aOwn && aOwn->mOffset == aFound->mOffset &&
      aOwn->mIndex == aFound->mIndex) {
    decision.mStep = IdempotencyDecision::Step::Dispatch;
    return decision;
  }
  decision.mRefusal = UnknownOutcome();
  return decision;
}

auto RequestDigest(const AdmittedRequest& aAdmitted,
                   const OnlineRequest& aRequest) -> std::string
{
  return Sha256Hex(absl::StrCat(
    aRequest.mMethod, "\n", aAdmitted.mTarget, "\n", aRequest.mBody));
}

auto TakeToken(const OnlinePorts& aPorts, const AdmittedRequest& aAdmitted)
  -> Result<void, Refusal>
{
  if (aAdmitted.mRoute.mOpen) {
    return {};
  }
  const ScopedSpan span("limits", aAdmitted.mTrace);
  const auto token = aPorts.mAcquireToken(aAdmitted.mTeam, aAdmitted.mDeadline);
  if (token) {
    return {};
  }
  const auto overRate = token.error().mKind == RateRefusal::Kind::OverRate;
  return Err(Refusal{ overRate ? 429 : 503,
                      overRate ? "over_rate" : "rate_unavailable",
                      overRate ? "the team is over its rate"
                               : "no rate token could be obtained",
                      ExecutionState::NotRun,
                      token.error().mRetryAfter });
}

auto RunWithIdempotencyKey(const OnlinePorts& aPorts,
                           Dispatcher& aDispatcher,
                           const AdmittedRequest& aAdmitted,
                           const OnlineRequest& aRequest,
                           Cancellation* aCancellation)
  -> Result<EndpointResponse, Refusal>
{
  const auto digest = RequestDigest(aAdmitted, aRequest);
  const auto find = [&] {
    return aPorts.mFindIntent(aAdmitted.mTeam, aAdmitted.mIdempotencyKey);
  };
  const auto toResult = [&](const IdempotencyDecision& aDecision)
    -> Result<EndpointResponse, Refusal> {
    return aDecision.mStep == IdempotencyDecision::Step::ReturnOutcome
             ? ToAnswer(aDecision.mOutcome, aPorts.mNow())
             : Result<EndpointResponse, Refusal>(Err(aDecision.mRefusal));
  };
  const auto first = DecideIdempotency(find(), digest, std::nullopt);
  if (first.mStep != IdempotencyDecision::Step::CommitIntent) {
    return toResult(first);
  }
  if (auto token = TakeToken(aPorts, aAdmitted); !token) {
    return Err(std::move(token.error()));
  }
  std::optional<RecordContext> own;
  const auto commit = [&]() -> Result<void, Refusal> {
    auto committed = CommitIntent(aPorts, aAdmitted, digest);
    if (!committed) {
      return Err(std::move(committed.error()));
    }
    if (DecideIdempotency(find(), digest, *committed).mStep !=
        IdempotencyDecision::Step::Dispatch) {
      return Err(UnknownOutcome());
    }
    own = *committed;
    return {};
  };
  auto result = Dispatch(
    aPorts, aDispatcher, aAdmitted, aRequest, {}, aCancellation, commit);
  if (own) {
    RecordOutcome(aPorts, aAdmitted, own->mOffset, result);
    return result;
  }
  // Nothing was dispatched. If another request with the same key was first, its
  // outcome may be known by now.
  const auto second = DecideIdempotency(find(), digest, std::nullopt);
  if (second.mStep == IdempotencyDecision::Step::ReturnOutcome ||
      (second.mStep == IdempotencyDecision::Step::Refuse &&
       result.error().mReason == "outcome_unknown")) {
    return toResult(second);
  }
  return result;
}

} // namespace mangovalve
