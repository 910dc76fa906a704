// Limit of concurrent batch streams at an endpoint, computed by the endpoint's
// batch dispatcher from lagging load reports, measured first-token delays of
// online requests, and signals that online requests wait.
//
// Engines admit requests in order of arrival and have no priorities. Batch must
// therefore leave slots free for online requests in advance (headroom), and
// stop its own streams when these slots do not suffice (yield).
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "mangovalve/base/time.h"

namespace mangovalve {

struct StreamLimitSettings
{
  // Streams that the endpoint runs at once.
  std::uint32_t mCapacity = 16;
  double mMinHeadroom = 1;
  // Upper bound of the headroom as a share of the capacity.
  double mMaxHeadroomShare = 0.5;
  // A first-token delay above this multiple of the typical delay means that the
  // request waited for a slot, not that the engine's steps became longer.
  double mQueuedDelayFactor = 1.8;
  // Batch does not grow for this long after online requests have waited.
  Duration mGrowthPause = std::chrono::milliseconds(100);
  // Growth per interval as a share of the free slots, at least one stream.
  // Growth is gradual because each prefill delays the first tokens of online
  // requests.
  Duration mRampInterval = std::chrono::milliseconds(20);
  double mRampShare = 0.06;
  // Batch does not grow if the newest load report is older than this.
  Duration mReportMaxAge = std::chrono::seconds(2);
  // Allowed p99 first-token delay, relative to the estimate without batch. It
  // is below the target of 1.1 because the estimate misses part of the delay
  // that batch causes.
  double mMaxDelayRatio = 1.03;
  std::size_t mSamples = 1024;
  Duration mRefitInterval = std::chrono::seconds(2);
};

// Number of streams at a past time. Used to separate online from batch streams
// in a lagging report, and to relate a first-token delay to the load at the
// arrival of its request.
struct StreamCount
{
  TimePoint mTime{};
  std::uint32_t mBatch = 0;
  std::uint32_t mOnline = 0;
};

// First-token delay of one online request and the streams at its arrival.
struct DelaySample
{
  double mDelayMs = 0;
  double mBatch = 0;
  double mOnline = 0;
};

struct StreamLimitState
{
  std::uint32_t mLimit = 0;
  std::uint32_t mOnline = 0; // estimated streams of online requests
  double mHeadroom = 4;      // streams; initial value, then adjusted
  Duration mTypicalDelay{};  // median first-token delay without pressure
  TimePoint mReportTime{};   // when the newest report was measured
  TimePoint mNoGrowthUntil{};
  TimePoint mNextRamp{};
  TimePoint mLastPressure{};
  std::deque<StreamCount> mHistory; // of the last mReportMaxAge, oldest first
  std::deque<DelaySample> mDelays;  // the last mSamples
  // Total of batch and online streams up to which batch fills the endpoint; 0
  // before the first fit.
  std::uint32_t mFillTarget = 0;
  double mDelayPerStream = 0; // ms that one batch stream adds to a first token
  TimePoint mNextRefit{};
};

// The batch dispatcher of an endpoint, the only host that sends batch work to
// it: the first in rendezvous order among the registered, unfenced hosts of the
// endpoint's failure domain; empty if there are none.
auto BatchDispatcherOf(const std::string& aEndpoint,
                       const std::vector<std::string>& aDomainHosts)
  -> std::string;

// Handles a load report of aStreams running and queued streams at aMeasured.
auto OnLoadReport(StreamLimitState& aState,
                  const StreamLimitSettings& aSettings,
                  std::uint32_t aStreams,
                  TimePoint aMeasured) -> void;

// Handles the first token of an online request at this endpoint.
auto OnFirstToken(StreamLimitState& aState,
                  const StreamLimitSettings& aSettings,
                  Duration aDelay,
                  TimePoint aNow) -> void;

// Handles aWaiting online requests that wait for this endpoint: lowers the
// limit below the running batch streams at once. The caller stops the newest
// streams.
auto OnPressure(StreamLimitState& aState,
                const StreamLimitSettings& aSettings,
                std::uint32_t aWaiting,
                std::uint32_t aRunning,
                TimePoint aNow) -> void;

// Updates and returns the limit of batch streams; aRunning streams run now.
auto BatchLimit(StreamLimitState& aState,
                const StreamLimitSettings& aSettings,
                std::uint32_t aRunning,
                TimePoint aNow) -> std::uint32_t;

} // namespace mangovalve
