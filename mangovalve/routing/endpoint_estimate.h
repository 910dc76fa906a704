// What this host knows of an endpoint's speed and memory, and the times that it
// expects a request to take there.
//
// Endpoints state how long work takes on their machine, relative to its usual
// time: the work factor. The hosts of a failure domain tell each other what
// they were told, since each of them hears from an endpoint only a few times a
// minute. Durations are measured for the service as a whole, divided by the
// work factor, so that all its endpoints contribute to them.
//
// The functions are pure; the current time is a parameter.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "mangovalve/base/time.h"

namespace mangovalve {

// Work factor of an endpoint, smoothed over about 300 ms of statements.
struct WorkFactor
{
  double mSmoothed = 1;     // as of mAt
  TimePoint mAt{};          // of the latest statement; TimePoint{}: none
  double mOwnStated = 1;    // the latest one that this host received itself
  TimePoint mOwnStatedAt{}; // TimePoint{}: none
};

// Records a statement made at aAt; ignores one that is not newer than the
// latest, or not positive and finite.
auto NoteWorkFactor(WorkFactor& aFactor, double aStated, TimePoint aAt) -> void;

// The same for a statement in a response to this host.
auto NoteOwnWorkFactor(WorkFactor& aFactor, double aStated, TimePoint aAt)
  -> void;

// The work factor now; it decays to 1 once the latest statement is old.
auto CurrentWorkFactor(const WorkFactor& aFactor, TimePoint aNow) -> double;

// Whether there was a statement in the last seconds.
auto IsKnown(const WorkFactor& aFactor, TimePoint aNow) -> bool;

// A figure that an endpoint stated, with its time.
struct StatedFigure
{
  std::uint32_t mValue = 0;
  TimePoint mAt{};
};

// Figures of one endpoint beyond the requests in flight.
struct EndpointRecord
{
  WorkFactor mWorkFactor;
  std::optional<StatedFigure> mRunning;
  std::optional<StatedFigure> mWaiting;
  std::optional<StatedFigure> mSlots;
  // Requests in flight from this host whose size is known, and their tokens.
  std::uint32_t mSized = 0;
  std::uint64_t mSizedTokens = 0;
};

// Size of a request, as far as it is stated. The spans refer to the caller's
// data.
struct RequestSize
{
  std::uint32_t mPromptTokens = 0;    // 0: not stated
  std::uint32_t mMaxOutputTokens = 0; // 0: not stated
  // Leading parts of the prompt that other requests share and the tokens of
  // each; empty if they do not matter.
  std::span<const std::uint64_t> mSharedParts;
  std::span<const std::uint32_t> mSharedPartTokens;
};

// Tokens that the request may hold at an endpoint; 0: not stated.
auto TokensOf(const RequestSize& aSize) -> std::uint64_t;

// Measured durations of requests at the endpoints of a service, divided by the
// work factor: decayed means and, for the line from prompt tokens to the time
// of the first event, decayed sums.
struct ServiceTimes
{
  double mSamples = 0; // decayed number of first events
  double mPrompt = 0;  // decayed sums over them: prompt tokens,
  double mFirst = 0;   // milliseconds to the first event,
  double mPromptSquare = 0;
  double mPromptFirst = 0;
  double mOutputMs = 0;     // per event after the first; 0: unknown
  double mOutputEvents = 0; // of a request; 0: unknown
  double mTokens = 0;       // that a request holds; 0: unknown
};

// Records the first event of a request that did not wait for a slot at its
// endpoint.
auto RecordFirstEvent(ServiceTimes& aTimes,
                      std::uint32_t aPromptTokens,
                      Duration aElapsed,
                      double aWorkFactor) -> void;

// Records a complete stream: aEvents after the first one within aElapsed.
auto RecordOutput(ServiceTimes& aTimes,
                  std::uint64_t aEvents,
                  Duration aElapsed,
                  double aWorkFactor) -> void;

// Milliseconds for which an endpoint of usual speed reads a prompt token; 0 if
// unknown. The estimate is the slope of the line, bounded by the case that
// reading takes all the time to the first event.
auto PromptTokenMillis(const ServiceTimes& aTimes) -> double;

// An endpoint as far as it determines the times of a request.
struct EndpointConditions
{
  double mWorkFactor = 1;
  std::uint32_t mKeptTokens = 0; // of the prompt, which need not be read again
};

// Expected milliseconds from sending a request to an endpoint with a free slot
// to its first event and to its end; 0 if nothing was measured.
auto ExpectedFirstEvent(const ServiceTimes& aTimes,
                        const EndpointConditions& aConditions,
                        const RequestSize& aSize) -> double;
auto ExpectedEnd(const ServiceTimes& aTimes,
                 const EndpointConditions& aConditions,
                 const RequestSize& aSize) -> double;

// Expected milliseconds saved because the endpoint has read the leading parts.
auto SavedMillis(const ServiceTimes& aTimes,
                 const EndpointConditions& aConditions) -> double;

// Expected time of the request at the endpoint relative to a usual endpoint
// that keeps no part of it: the mean of the ratios for the first event and for
// the end. Equals the work factor while nothing was measured.
auto RelativeTime(const ServiceTimes& aTimes,
                  const EndpointConditions& aConditions,
                  const RequestSize& aSize) -> double;

// Whether the request fits in the memory that the others leave free. aOthers is
// the number of requests at the endpoint; those whose size is unknown here
// count with the service's mean. A request of unknown size, or an endpoint of
// undeclared memory, always fits.
auto FitsMemory(const EndpointRecord& aRecord,
                const ServiceTimes& aTimes,
                double aOthers,
                std::uint64_t aMemoryTokens,
                const RequestSize& aSize) -> bool;

} // namespace mangovalve
