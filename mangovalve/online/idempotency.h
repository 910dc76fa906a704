// At-most-once execution of non-idempotent requests with an Idempotency-Key.
//
// An intent is committed and read back before the only dispatch. A request that
// finds another request's intent for its key returns the recorded outcome or an
// "outcome unknown" error, and is never dispatched.
#pragma once

#include "mangovalve/online/request.h"

namespace mangovalve {

// Next step of a request with a key, given the replayed intent for the key.
struct IdempotencyDecision
{
  enum class Step
  {
    CommitIntent, // there is no intent yet
    Dispatch,     // the intent is this request's own and has no outcome
    ReturnOutcome,
    Refuse,
  };
  Step mStep = Step::Refuse;
  Refusal mRefusal; // for Refuse
  Outcome mOutcome; // for ReturnOutcome
};

// aOwn is the position of the intent that this request has committed and read
// back with the verdict "accepted"; nullopt before that.
auto DecideIdempotency(const std::optional<Intent>& aFound,
                       const std::string& aDigest,
                       const std::optional<RecordContext>& aOwn)
  -> IdempotencyDecision;

// Digest of the method, target and body. A key may be used for one digest only.
auto RequestDigest(const AdmittedRequest& aAdmitted,
                   const OnlineRequest& aRequest) -> std::string;

// Takes one token of the team's rate limit; open routes need none.
auto TakeToken(const OnlinePorts& aPorts, const AdmittedRequest& aAdmitted)
  -> Result<void, Refusal>;

// Runs an admitted request that has an idempotency key.
auto RunWithIdempotencyKey(const OnlinePorts& aPorts,
                           Dispatcher& aDispatcher,
                           const AdmittedRequest& aAdmitted,
                           const OnlineRequest& aRequest,
                           Cancellation* aCancellation)
  -> Result<EndpointResponse, Refusal>;

} // namespace mangovalve
