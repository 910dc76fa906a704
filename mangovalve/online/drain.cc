// Computes the drain phase from the stored times.
#include "mangovalve/online/drain.h"

namespace mangovalve {

auto StartDrain(DrainSchedule& aState,
                const DrainPolicy& aPolicy,
                TimePoint aNow) -> void
{
  if (aState.mStarted) {
    return;
  }
  aState.mStarted = true;
  aState.mAcceptUntil = aNow + aPolicy.mAcceptFor;
  aState.mFinishBy = aNow + aPolicy.mFinishWithin;
}

auto Phase(const DrainSchedule& aState, std::size_t aUnanswered, TimePoint aNow)
  -> DrainPhase
{
  if (!aState.mStarted) {
    return DrainPhase::Serving;
  }
  if (aNow < aState.mAcceptUntil) {
    return DrainPhase::NotReady;
  }
  if (aUnanswered > 0 && aNow < aState.mFinishBy) {
    return DrainPhase::Refusing;
  }
  return DrainPhase::Done;
}

} // namespace mangovalve
