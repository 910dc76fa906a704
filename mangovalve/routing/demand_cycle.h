// Forecast of the demand for a service whose arrivals alternate between phases
// of high and of low rate.
//
// A request that finds no slot should return when there is room, and a batch
// item should not start shortly before online requests need its slot. Both need
// the rate of arrivals of the next seconds. The forecast repeats the last
// phases: their durations and their mean rates. Without two complete phases, or
// once a phase lasts much longer than the one before of its kind, there is no
// forecast.
//
// The functions are pure; the current time is a parameter.
#pragma once

#include <optional>

#include "mangovalve/base/time.h"

namespace mangovalve {

// Arrivals at one host, with exponentially decaying weights.
struct ArrivalRate
{
  double mPerSecond = 0; // as of mUpdatedAt
  TimePoint mUpdatedAt{};
};

auto RecordArrival(ArrivalRate& aRate, TimePoint aNow) -> void;
auto ArrivalsPerSecond(const ArrivalRate& aRate, TimePoint aNow) -> double;

// What is known of the phases of one kind.
struct DemandPhase
{
  Duration mLength{ 0 }; // decayed mean; 0: none has ended yet
  double mRate = 0;      // decayed mean, in arrivals per second
};

struct DemandCycle
{
  double mMeanRate = 0; // over several phases; 0: no sample yet
  bool mHigh = false;   // the present phase
  bool mBegun = false;  // the beginning of the present phase was seen
  TimePoint mPhaseBegan{};
  double mPhaseSum = 0; // of rate x seconds, in the present phase
  DemandPhase mHighPhase;
  DemandPhase mLowPhase;
  // Since when the samples have belonged to the other kind of phase.
  std::optional<TimePoint> mOtherSince;
  TimePoint mSampledAt{};
};

// Records the fleet's rate of arrivals. Call it several times per second.
auto RecordDemand(DemandCycle& aCycle, double aPerSecond, TimePoint aNow)
  -> void;

// Expected arrivals per second at aAt, which is aNow or later; nullopt if there
// is no forecast.
auto ForecastRate(const DemandCycle& aCycle, TimePoint aAt, TimePoint aNow)
  -> std::optional<double>;

// Expected end of the present phase; nullopt if there is no forecast.
auto PhaseEnd(const DemandCycle& aCycle, TimePoint aNow)
  -> std::optional<TimePoint>;

} // namespace mangovalve
