// The distributed rate limiter of one host: its share owner, bucket holder and
// token client. Functions take messages and the time, and return messages and
// decisions; they do no I/O and read no clock.
#pragma once

#include "mangovalve/limits/bucket_holder.h"
#include "mangovalve/limits/client.h"
#include "mangovalve/limits/share_owner.h"

namespace mangovalve {

struct LimitNode
{
  LimitSettings mSettings;
  LimitView mView;
  ShareOwner mOwner;
  BucketHolder mHolder;
  TokenClient mClient;
};

// Replaces the host's view of the fleet. Tokens accrue under the old view until
// aNow. A newly assigned group may be in aView.mOwnedGroups only after its
// previous owner has stopped; see membership/failure_detector.h.
auto SetView(LimitNode& aNode, LimitView aView, TimePoint aNow) -> void;

// Handles a message of another host. Messages that a host sends to itself are
// handled internally and never appear in aOutput.
auto Deliver(LimitNode& aNode,
             const std::string& aFrom,
             const LimitMessage& aMessage,
             TimePoint aNow,
             ClientOutput& aOutput) -> void;

// Requests tokens for a new request; see Acquire in client.h.
auto Acquire(LimitNode& aNode,
             const std::string& aTeam,
             double aCost,
             TimePoint aDeadline,
             TimePoint aNow,
             ClientOutput& aOutput) -> std::uint64_t;

// Does the work that is due. Call at NextWake, and at least every 10 ms for the
// client's deadlines.
auto Step(LimitNode& aNode, TimePoint aNow, ClientOutput& aOutput) -> void;

// The next time at which Step has work apart from the client's deadlines.
auto NextWake(const LimitNode& aNode) -> TimePoint;

} // namespace mangovalve
