// The three roles of rates on one host: share owner, bucket holder and client.
// Takes messages and time, returns messages and decisions; no I/O, no clock.
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

// Replaces what the host knows of the fleet. Tokens accrue under the old view
// until aNow. Groups whose role a host just got are in aView.mOwnedGroups only
// once its former owner has stopped; see membership/contact.h.
auto SetView(LimitNode& aNode, LimitView aView, TimePoint aNow) -> void;

// A message of another host. Messages to this host itself are handled inside.
auto Deliver(LimitNode& aNode,
             const std::string& aFrom,
             const LimitMessage& aMessage,
             TimePoint aNow,
             ClientOutput& aOutput) -> void;

// A new request; see Acquire in client.h.
auto Acquire(LimitNode& aNode,
             const std::string& aTeam,
             double aCost,
             TimePoint aDeadline,
             TimePoint aNow,
             ClientOutput& aOutput) -> std::uint64_t;

// Work that is due: call at NextWake, and every 10 ms for the client's
// deadlines.
auto Step(LimitNode& aNode, TimePoint aNow, ClientOutput& aOutput) -> void;

// When Step next has something to do besides the client's deadlines.
auto NextWake(const LimitNode& aNode) -> TimePoint;

} // namespace mangovalve
