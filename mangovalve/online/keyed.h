// Non-idempotent requests with an Idempotency-Key: at most one run.
//
// An intent is committed and read back before the one dispatch. Whoever finds
// an intent of another request for the same key returns its recorded outcome,
// or says that the outcome is unknown, and never dispatches.
#pragma once

#include "mangovalve/online/request.h"

namespace mangovalve {

// What a request with a key may do, given the replayed intent for that key.
struct KeyedDecision
{
  enum class Step
  {
    CommitIntent, // no intent yet
    Dispatch,     // the intent is this request's own and has no outcome
    ReturnOutcome,
    Refuse,
  };
  Step mStep = Step::Refuse;
  Refusal mRefusal; // for Refuse
  Outcome mOutcome; // for ReturnOutcome
};

// aOwn is the position of the intent that this very request committed and read
// back with the verdict "accepted"; nothing before that.
auto DecideKeyed(const std::optional<Intent>& aFound,
                 const std::string& aDigest,
                 const std::optional<RecordContext>& aOwn) -> KeyedDecision;

// Digest of what a request asks for; a key may not be used for another.
auto RequestDigest(const AdmittedRequest& aAdmitted,
                   const OnlineRequest& aRequest) -> std::string;

// Takes one token of the team's rate; open routes need none.
auto TakeToken(const OnlinePorts& aPorts, const AdmittedRequest& aAdmitted)
  -> Result<void, Refusal>;

auto RunKeyed(const OnlinePorts& aPorts,
              Dispatcher& aDispatcher,
              const AdmittedRequest& aAdmitted,
              const OnlineRequest& aRequest,
              Cancellation* aCancellation) -> Result<EndpointResponse, Refusal>;

} // namespace mangovalve
