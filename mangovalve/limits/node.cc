// Message dispatch between the share owner, bucket holder and token client.
#include "mangovalve/limits/node.h"

#include <deque>

namespace mangovalve {
namespace {

// Handles one message and appends the answers to aOutput.
auto Handle(LimitNode& aNode,
            const std::string& aFrom,
            const LimitMessage& aMessage,
            TimePoint aNow,
            ClientOutput& aOutput) -> void
{
  const auto& view = aNode.mView;
  const auto& settings = aNode.mSettings;
  if (const auto* leaseRequest = std::get_if<LeaseRequest>(&aMessage)) {
    aOutput.mMessages.push_back(
      { aFrom,
        OnLeaseRequest(
          aNode.mOwner, view, settings, aFrom, *leaseRequest, aNow) });
  } else if (const auto* lease = std::get_if<LeaseGrant>(&aMessage)) {
    OnLeaseGrant(aNode.mHolder, view, *lease, aNow);
  } else if (const auto* demand = std::get_if<TokenRequest>(&aMessage)) {
    aOutput.mMessages.push_back(
      OnTokenRequest(aNode.mHolder, view, settings, aFrom, *demand, aNow));
  } else if (const auto* tokens = std::get_if<TokenGrant>(&aMessage)) {
    OnTokenGrant(aNode.mClient, aFrom, *tokens, aNow, aOutput);
  }
}

// Handles the messages in aOutput that are addressed to this host, until their
// answers contain no more of them.
auto HandleOwn(LimitNode& aNode, TimePoint aNow, ClientOutput& aOutput) -> void
{
  for (auto again = true; again;) {
    again = false;
    std::vector<Outgoing> messages;
    messages.swap(aOutput.mMessages);
    for (auto& message : messages) {
      if (message.mTo == aNode.mView.mHost) {
        again = true;
        Handle(aNode, message.mTo, message.mMessage, aNow, aOutput);
      } else {
        aOutput.mMessages.push_back(std::move(message));
      }
    }
  }
}

} // namespace

auto SetView(LimitNode& aNode, LimitView aView, TimePoint aNow) -> void
{
  UpdateBuckets(aNode.mHolder, aNode.mView, aNow);
  aNode.mView = std::move(aView);
  ApplyView(aNode.mHolder, aNode.mView, aNow);
}

auto Deliver(LimitNode& aNode,
             const std::string& aFrom,
             const LimitMessage& aMessage,
             TimePoint aNow,
             ClientOutput& aOutput) -> void
{
  Handle(aNode, aFrom, aMessage, aNow, aOutput);
  HandleOwn(aNode, aNow, aOutput);
}

auto Acquire(LimitNode& aNode,
             const std::string& aTeam,
             double aCost,
             TimePoint aDeadline,
             TimePoint aNow,
             ClientOutput& aOutput) -> std::uint64_t
{
  const auto id = Acquire(aNode.mClient,
                          aNode.mView,
                          aNode.mSettings,
                          aTeam,
                          aCost,
                          aDeadline,
                          aNow,
                          aOutput);
  HandleOwn(aNode, aNow, aOutput);
  return id;
}

auto Step(LimitNode& aNode, TimePoint aNow, ClientOutput& aOutput) -> void
{
  const auto before = UnreachableHosts(aNode.mClient);
  Tick(aNode.mClient, aNode.mView, aNode.mSettings, aNow, aOutput);
  const auto unreachable = UnreachableHosts(aNode.mClient);
  if (unreachable != before) {
    for (auto& group : aNode.mHolder.mGroups) {
      group.mNextLeaseRequestAt = std::min(group.mNextLeaseRequestAt, aNow);
    }
  }
  for (auto& request : DueLeaseRequests(
         aNode.mHolder, aNode.mView, aNode.mSettings, unreachable, aNow)) {
    aOutput.mMessages.push_back(std::move(request));
  }
  HandleOwn(aNode, aNow, aOutput);
  for (auto& grant :
       Advance(aNode.mHolder, aNode.mView, aNode.mSettings, aNow)) {
    aOutput.mMessages.push_back(std::move(grant));
  }
  HandleOwn(aNode, aNow, aOutput);
}

auto NextWake(const LimitNode& aNode) -> TimePoint
{
  return NextWake(aNode.mHolder, aNode.mView);
}

} // namespace mangovalve
