// Cache events as the engine publishes them: late, and with gaps in their
// sequence numbers.
#pragma once

#include <cstdint>
#include <deque>

#include <nlohmann/json.hpp>

#include "mangovalve/base/random.h"
#include "mangovalve/base/time.h"
#include "standins/common/prefix_cache.h"

namespace mangovalve::standins {

struct CacheFeed
{
  Duration mDelay{ 0 };
  double mLossShare = 0; // share of events never published
  Random mRandom;
  std::uint64_t mNextSequence = 1;
  struct Event
  {
    std::uint64_t mSequence = 0;
    TimePoint mVisibleAt;
    CacheChange mChange;
  };
  std::deque<Event> mEvents; // bounded; the oldest are dropped
};

// Publishes a change; it takes a sequence number even when it is lost.
auto Publish(CacheFeed& aFeed, const CacheChange& aChange, TimePoint aNow)
  -> void;

// {"next","events":[{"seq","kind":"stored|removed","block"}]} of the events
// after aAfter that are visible; "next" is the last sequence number seen.
auto RenderEvents(const CacheFeed& aFeed, std::uint64_t aAfter, TimePoint aNow)
  -> nlohmann::json;

} // namespace mangovalve::standins
