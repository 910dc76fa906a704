// Activity of an endpoint against the silence of one attempt.
#include "mangovalve/routing/endpoint_activity.h"

#include <algorithm>

namespace mangovalve {

auto NoteBytes(EndpointActivity& aActivity, TimePoint aNow) -> void
{
  if (aActivity.mLastAt == TimePoint{} ||
      aNow - aActivity.mLastAt > kMaxActivePause) {
    aActivity.mSince = aNow;
  }
  aActivity.mLastAt = aNow;
}

auto ServesOnlyOthers(const EndpointActivity& aActivity,
                      const AttemptSilence& aSilence,
                      TimePoint aRecent) -> bool
{
  return aActivity.mLastAt >= std::max(aSilence.mFailingAt, aRecent) &&
         aActivity.mLastAt - aActivity.mSince >=
           aSilence.mFailingAt - aSilence.mBegunAt;
}

auto AbandonAt(const EndpointActivity& aActivity,
               const AttemptSilence& aSilence) -> TimePoint
{
  const auto silentSince = std::max(aActivity.mLastAt, aSilence.mBegunAt);
  return std::min(aSilence.mAbandonAt + (silentSince - aSilence.mBegunAt),
                  aSilence.mLastAbandonAt);
}

} // namespace mangovalve
