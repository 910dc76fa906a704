// Late cache events with gaps.
#include "standins/common/cache_feed.h"

#include <absl/strings/str_format.h>

namespace mangovalve::standins {
namespace {

constexpr std::size_t kMaxEvents = 10000;
constexpr std::size_t kMaxPage = 1000;

} // namespace

auto Publish(CacheFeed& aFeed, const CacheChange& aChange, TimePoint aNow)
  -> void
{
  const auto sequence = aFeed.mNextSequence++;
  if (aFeed.mLossShare > 0 && Uniform(aFeed.mRandom) < aFeed.mLossShare) {
    return;
  }
  aFeed.mEvents.push_back({ sequence, aNow + aFeed.mDelay, aChange });
  if (aFeed.mEvents.size() > kMaxEvents) {
    aFeed.mEvents.pop_front();
  }
}

auto RenderEvents(const CacheFeed& aFeed, std::uint64_t aAfter, TimePoint aNow)
  -> nlohmann::json
{
  auto events = nlohmann::json::array();
  auto next = aAfter;
  for (const auto& event : aFeed.mEvents) {
    if (event.mVisibleAt > aNow || events.size() == kMaxPage) {
      break;
    }
    if (event.mSequence > aAfter) {
      next = event.mSequence;
      events.push_back(
        { { "seq", event.mSequence },
          { "kind", event.mChange.mStored ? "stored" : "removed" },
          { "block", absl::StrFormat("%016x", event.mChange.mBlock) } });
    }
  }
  return { { "next", next }, { "events", events } };
}

} // namespace mangovalve::standins
