// The online path of a serving daemon: relays a caller's request to an endpoint
// and returns the whole answer, or a refusal that states correctly whether the
// request may have run.
//
// The steps are: route, key, rate limit, slot, endpoint, answer. A request is
// sent to another endpoint only if no endpoint can have run it or if it may be
// repeated. A stream that may be resumed continues after the last event that
// the caller has received.
#pragma once

#include <memory>

#include "mangovalve/loop/http_server.h"
#include "mangovalve/serving/state.h"

namespace mangovalve {

// Retry delay given to a caller by a host that is stopping: other hosts serve.
constexpr auto kStoppingRetryAfter = std::chrono::milliseconds(0);

// Route and team of a call, or the reason for its refusal.
struct CallAdmission
{
  std::shared_ptr<const ServingDocument> mDocument; // keeps mRoute valid
  const ServingRoute* mRoute = nullptr;
  std::string mTeam;
  std::optional<RefusalReason> mRefusal;
};

// Finds the route and checks the key of a call. Does not check rate limits.
auto CheckCall(std::shared_ptr<const ServingDocument> aDocument,
               const RequestMetadata& aMetadata) -> CallAdmission;

struct RelayPolicy
{
  // Share of the latency objective for which a request may wait for an
  // endpoint; the rest is left for the time to its first event. A request that
  // would wait longer is refused at once, so that the caller can still retry in
  // time.
  double mMaxWaitShare = 0.7;
  // Share of the latency objective after which a wait is reviewed. Refusals
  // after a quarter of the objective cost more; a host needs some time to send
  // them.
  double mReviewShare = 0.22;
  // Silence after which an endpoint counts as failing if another one has a
  // slot, before the first byte of an answer and between its parts, as
  // multiples of the latency and the gap objective but at least the minimum.
  // The attempt goes on.
  double mFirstByteObjectives = 2;
  Duration mMinFirstByteTimeout = std::chrono::milliseconds(600);
  double mGapObjectives = 2;
  Duration mMinGapTimeout = std::chrono::milliseconds(800);
  // Silence of the whole endpoint after which the attempt is abandoned if the
  // request may be repeated or resumed and another endpoint has a slot, as a
  // share of the time for which the caller waits. A sound endpoint may be
  // silent for about a second, does not notice in that time that its connection
  // is closed, and then goes on.
  double mMaxSilenceShare = 0.625;
  Duration mMaxSilence = std::chrono::milliseconds(1400);
  // The same for the silence of the attempt, while the endpoint sends bytes to
  // other requests now and then.
  double mMaxStallShare = 0.8;
  Duration mMaxStall = std::chrono::milliseconds(2800);
  // Interval between checks of the endpoint, and for a slot at another one,
  // once it is failing.
  Duration mSilenceCheckInterval = std::chrono::milliseconds(100);
  Duration mConnectTimeout = std::chrono::milliseconds(400);
  // Connections that have been idle for longer are not used for requests that
  // must not run twice: the endpoint may be about to close them, and after a
  // reset it would be unknown whether the request ran.
  Duration mMaxIdleTime = std::chrono::milliseconds(500);
  // Number of endpoints that may refuse a request before the caller is refused.
  // Does not apply to a stream that has begun.
  std::uint32_t mMaxRefusals = 4;
  // Pause of a stream that has begun after an endpoint has refused it.
  Duration mRefusedPause = std::chrono::milliseconds(100);
};

class Relay
{
public:
  Relay(ServingState& aState, const Protocol& aProtocol)
    : mState(aState)
    , mProtocol(aProtocol)
  {
  }

  // Handles a caller's request until it is answered or refused.
  auto Serve(CallerPtr aCaller,
             std::shared_ptr<Request> aRequest,
             RequestMetadata aMetadata,
             CallAdmission aAdmission) -> Task<>;

  // Refuses a request while the daemon has no document.
  auto RefuseNotReady(CallerPtr aCaller, RequestMetadata aMetadata) -> Task<>;

  RelayPolicy mPolicy;

private:
  ServingState& mState;
  const Protocol& mProtocol;
  TimePoint mStartedAt = Clock::now();
};

} // namespace mangovalve
