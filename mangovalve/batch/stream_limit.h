// How many batch streams the feeder of an endpoint lets run, decided from
// lagging load reports, measured first-token delays of online requests, and
// signals that an online request waits.
//
// Engines admit in order of arrival and have no notion of priority, so batch
// must leave slots free before online requests come (headroom), and must stop
// its own streams when these slots do not suffice (yielding).
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
  // Headroom at most, as a share of the capacity.
  double mMaxHeadroomShare = 0.5;
  // A first-token delay above this multiple of the typical one is a wait for a
  // slot, not a longer step.
  double mQueuedDelayFactor = 1.8;
  // After a signal, batch does not grow for this long.
  Duration mGrowthPause = std::chrono::milliseconds(100);
  // Growth: a share of the free slots per interval, at least one stream. Not
  // all at once, because the prefill of each delays online first tokens.
  Duration mRampInterval = std::chrono::milliseconds(20);
  double mRampShare = 0.06;
  // A load report older than this does not allow growth.
  Duration mReportMaxAge = std::chrono::seconds(2);
  // Allowed p99 first-token delay relative to the one estimated without batch.
  // Below the target of 1.1, because the estimate misses part of the harm.
  double mMaxDelayRatio = 1.03;
  std::size_t mSamples = 1024;
  Duration mRefitInterval = std::chrono::seconds(2);
};

// Streams at a past time, to tell online ones apart in a lagging report and to
// relate a first-token delay to the streams at its request's arrival.
struct StreamCount
{
  TimePoint mTime{};
  std::uint32_t mBatch = 0;
  std::uint32_t mOnline = 0;
};

// First-token delay of one online request and the streams at its arrival.
struct DelaySample
{
  double mMs = 0;
  double mBatch = 0;
  double mOnline = 0;
};

struct StreamLimitState
{
  std::uint32_t mLimit = 0;
  std::uint32_t mOnline = 0; // estimated streams of online requests
  double mHeadroom = 4;      // streams; falls or rises from here
  Duration mTypicalDelay{};  // median first-token delay without pressure
  TimePoint mReportTime{};   // when the newest report was measured
  TimePoint mNoGrowthUntil{};
  TimePoint mNextRamp{};
  TimePoint mLastPressure{};
  std::deque<StreamCount> mHistory; // of the last mReportMaxAge, oldest first
  std::deque<DelaySample> mDelays;  // the last mSamples
  // Streams of both kinds up to which batch fills the endpoint; 0: not fitted.
  std::uint32_t mFillTarget = 0;
  double mDelayPerStream = 0; // ms that one batch stream adds
  TimePoint mNextRefit{};
};

// The host that feeds an endpoint: the first in rendezvous order of the
// unfenced registered hosts of its domain; empty without hosts.
auto BatchDispatcherOf(const std::string& aEndpoint,
                       const std::vector<std::string>& aDomainHosts)
  -> std::string;

// A load report: streams running and queued at the endpoint at aMeasured.
auto OnLoadReport(StreamLimitState& aState,
                  const StreamLimitSettings& aSettings,
                  std::uint32_t aStreams,
                  TimePoint aMeasured) -> void;

// First-token delay of an online request of this endpoint.
auto OnFirstToken(StreamLimitState& aState,
                  const StreamLimitSettings& aSettings,
                  Duration aDelay,
                  TimePoint aNow) -> void;

// Online requests wait for this endpoint: the limit falls at once below the
// running batch streams. The caller stops the newest ones.
auto OnPressure(StreamLimitState& aState,
                const StreamLimitSettings& aSettings,
                std::uint32_t aWaiting,
                std::uint32_t aRunning,
                TimePoint aNow) -> void;

// The limit of batch streams now; aRunning run.
auto BatchLimit(StreamLimitState& aState,
                const StreamLimitSettings& aSettings,
                std::uint32_t aRunning,
                TimePoint aNow) -> std::uint32_t;

} // namespace mangovalve
