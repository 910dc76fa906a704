// Replayed orders to endpoints; an order's offset is its fencing token.
//
// At most one order per endpoint is open at a time. A host may issue the next
// one when the open order has ended, or when its deadline and a margin have
// passed in log time: by then the host that issued it no longer sends it, see
// orders.h. So hosts take turns even at endpoints that ignore the token.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "mangovalve/base/result.h"
#include "mangovalve/replay/record_context.h"
#include "mangovalve/replay/records_generated.h"

namespace mangovalve {

// Time that an order has from its append until the endpoint's answer.
constexpr auto kCommandTimeout = std::chrono::seconds(60);
// Added before another host may order: clock drift, and the time after which
// an endpoint closes a connection on which no request arrives.
constexpr auto kCommandMargin = std::chrono::seconds(15);
// Bound of memory: further endpoints get no orders.
constexpr std::size_t kMaxCommandedEndpoints = 50'000;

struct EndpointCommand
{
  Offset mFence = 0;
  LogTime mIssued{};
  record::OrderAction mAction = record::OrderAction::LoadModel;
  std::string mModel;
  std::string mVersion;
  std::string mAdapter;
  std::string mRole;
  std::string mHost; // that issued it

  auto operator==(const EndpointCommand&) const -> bool = default;
};

// What an endpoint has loaded as far as ended orders tell.
struct CommandedEndpoint
{
  std::optional<EndpointCommand> mOpen;
  Offset mLastFence = 0; // of the newest order
  // "MODEL@VERSION" or "MODEL@VERSION+ADAPTER" -> log time of the load.
  std::map<std::string, LogTime> mLoaded;
  std::string mRole;

  auto operator==(const CommandedEndpoint&) const -> bool = default;
};

struct CommandState
{
  std::map<std::string, CommandedEndpoint> mEndpoints; // by address
};

// Key in mLoaded; without an adapter when that is empty.
auto LoadedName(const std::string& aModel,
                const std::string& aVersion,
                const std::string& aAdapter) -> std::string;

// Accepted with the fencing token as detail. Rejected "order_open" (detail: the
// open order) or "too_many_endpoints".
auto Apply(CommandState& aState,
           const RecordContext& aContext,
           const record::OrderIssued& aRecord) -> Verdict;

// Rejected "order_closed" when the order is not the open one.
auto Apply(CommandState& aState,
           const RecordContext& aContext,
           const record::OrderEnded& aRecord) -> Verdict;

// Serializes the state for a snapshot.
auto Save(const CommandState& aState) -> std::string;

// Restores a saved state; the error names what is malformed.
auto Load(std::string_view aData, CommandState& aState)
  -> Result<void, std::string>;

} // namespace mangovalve
