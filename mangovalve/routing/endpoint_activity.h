// Whether an endpoint sends nothing at all or only nothing for one request, as
// seen by one host.
//
// A sound endpoint may be silent for about a second. In that time it does not
// notice that a connection is closed, and then it goes on with the request, so
// an attempt there must not be abandoned. One that serves other requests
// notices the end of this one. That it has just sent bytes does not show this:
// it may have fallen silent since, or it has just woken up and is about to go
// on with all of its requests.
//
// The functions are pure; the current time is a parameter.
#pragma once

#include "mangovalve/base/time.h"

namespace mangovalve {

// Longest time between two parts of what an endpoint sends to one host that
// does not count as a silence.
constexpr auto kMaxActivePause = std::chrono::milliseconds(300);

// When an endpoint has sent bytes to this host, in any exchange.
struct EndpointActivity
{
  TimePoint mSince{};  // first bytes after its last silence; at most mLastAt
  TimePoint mLastAt{}; // last bytes; zero: none yet
};

// What one attempt awaits from an endpoint that sends nothing for it.
struct AttemptSilence
{
  TimePoint mBegunAt{};   // last progress of the attempt
  TimePoint mFailingAt{}; // when progress is overdue; at least mBegunAt
  // When the attempt is abandoned if the endpoint has sent no bytes to other
  // requests since mBegunAt, and if it has; at least mFailingAt.
  TimePoint mAbandonAt{};
  TimePoint mLastAbandonAt{}; // at least mAbandonAt
};

// Notes that the endpoint has sent bytes.
auto NoteBytes(EndpointActivity& aActivity, TimePoint aNow) -> void;

// Whether the endpoint serves other requests but not this one: it has sent
// bytes for as long as the attempt may be silent, without a silence of its own,
// and again since progress was overdue. Bytes before aRecent don't count as the
// latter, since the endpoint may have fallen silent after them.
auto ServesOnlyOthers(const EndpointActivity& aActivity,
                      const AttemptSilence& aSilence,
                      TimePoint aRecent) -> bool;

// When the attempt is abandoned if the endpoint sends nothing more to any
// request. Each silence of the endpoint counts by itself, until mLastAbandonAt.
auto AbandonAt(const EndpointActivity& aActivity,
               const AttemptSilence& aSilence) -> TimePoint;

} // namespace mangovalve
