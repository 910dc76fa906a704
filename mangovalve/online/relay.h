// The online path of a serving daemon: from a caller's request to the whole
// answer of one endpoint, or a refusal that is true.
//
// The steps are: route, key, rate, slot, endpoint, answer. A request is sent to
// another endpoint only if none can have run it, or if it may be repeated; a
// stream that may be resumed goes on after the last event that the caller got.
#pragma once

#include <memory>

#include "mangovalve/loop/http_server.h"
#include "mangovalve/serving/state.h"

namespace mangovalve {

// Who a request comes from, or why it is refused.
struct Admission
{
  std::shared_ptr<const ServingDocument> mDocument; // keeps mRoute valid
  const ServingRoute* mRoute = nullptr;
  std::string mTeam;
  std::optional<RefusalReason> mRefusal;
};

// Route and key of a call; decides nothing about rates.
auto CheckCall(std::shared_ptr<const ServingDocument> aDocument,
               const RequestMetadata& aFacts) -> Admission;

struct RelayPolicy
{
  // Part of the latency objective that a request may wait for an endpoint; the
  // rest is the time to its first event. One that would wait longer is refused
  // at once, so that the caller can come back while it still helps.
  double mWaitShare = 0.7;
  // An endpoint that has not begun to answer after this many objectives is
  // given up, if the request may be repeated and another endpoint has a slot.
  double mSilenceObjectives = 2;
  Duration mMinSilence = std::chrono::milliseconds(600);
  // Pause between looks for another endpoint after that.
  Duration mSilenceCheck = std::chrono::milliseconds(100);
  // A stream that has paused for this many gap objectives is resumed
  // elsewhere, if it may be.
  double mGapObjectives = 2;
  Duration mMinGap = std::chrono::milliseconds(800);
  Duration mConnectTimeout = std::chrono::milliseconds(400);
  // Idle connections older than this are not used for requests that must not
  // run twice: the endpoint may be about to close them, and a reset would leave
  // open whether the request ran.
  Duration mFreshIdle = std::chrono::milliseconds(500);
  // Endpoints that may refuse a request before its caller gets the refusal.
  std::uint32_t mMaxRefusals = 4;
};

class Relay
{
public:
  Relay(ServingState& aState, const Protocol& aProtocol)
    : mState(aState)
    , mProtocol(aProtocol)
  {
  }

  // Handles one request of a caller to its end, or refuses it.
  auto Serve(CallerPtr aCaller,
             std::shared_ptr<Request> aRequest,
             RequestMetadata aFacts,
             Admission aAdmission) -> Task<>;

  // Refuses a request while there is no document.
  auto RefuseNotReady(CallerPtr aCaller, RequestMetadata aFacts) -> Task<>;

  RelayPolicy mPolicy;

private:
  ServingState& mState;
  const Protocol& mProtocol;
  TimePoint mStartedAt = Clock::now();
};

} // namespace mangovalve
