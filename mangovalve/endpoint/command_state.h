// Replicated state of the commands to endpoints, replayed from the log. The
// offset of a command's record is its fencing token.
//
// At most one command per endpoint is open. A host may issue the next command
// when the open one has ended, or when the open one's deadline and a margin
// have passed in log time. By then its issuer no longer sends it, see
// commands.h. Commands of different hosts therefore never overlap, even at
// endpoints that ignore the fencing token.
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

// Time limit of a command, from the append of its record to the endpoint's
// response.
constexpr auto kCommandTimeout = std::chrono::seconds(60);
// Additional time before another host may issue a command. It covers clock
// drift and the time after which an endpoint closes a connection on which it
// receives no request.
constexpr auto kCommandMargin = std::chrono::seconds(15);
// Bounds memory: further endpoints get no commands.
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
  std::string mHost; // the issuer

  auto operator==(const EndpointCommand&) const -> bool = default;
};

// The open command of an endpoint and the state that results from the commands
// that have succeeded.
struct CommandedEndpoint
{
  std::optional<EndpointCommand> mOpen;
  Offset mLastFence = 0; // of the latest command
  // Log time of each load by "MODEL@VERSION" or "MODEL@VERSION+ADAPTER".
  std::map<std::string, LogTime> mLoaded;
  std::string mRole;

  auto operator==(const CommandedEndpoint&) const -> bool = default;
};

struct CommandState
{
  std::map<std::string, CommandedEndpoint> mEndpoints; // by address
};

// Key in CommandedEndpoint::mLoaded; aAdapter may be empty.
auto LoadedName(const std::string& aModel,
                const std::string& aVersion,
                const std::string& aAdapter) -> std::string;

// Opens a command. Accepted with the fencing token as detail; rejected with
// "order_open" (detail: fencing token of the open command) or
// "too_many_endpoints".
auto Apply(CommandState& aState,
           const RecordContext& aContext,
           const record::OrderIssued& aRecord) -> Verdict;

// Ends a command. Rejected with "order_closed" if it is not the open one.
auto Apply(CommandState& aState,
           const RecordContext& aContext,
           const record::OrderEnded& aRecord) -> Verdict;

// Serializes the state for a snapshot.
auto Save(const CommandState& aState) -> std::string;

// Restores a saved state; the error says what is malformed.
auto Load(std::string_view aData, CommandState& aState)
  -> Result<void, std::string>;

} // namespace mangovalve
