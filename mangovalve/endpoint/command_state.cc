// Replicated state of the commands to endpoints.
#include "mangovalve/endpoint/command_state.h"

#include <nlohmann/json.hpp>

namespace mangovalve {
namespace {

using nlohmann::json;
using record::OrderAction;

auto Text(const flatbuffers::String* aText) -> std::string
{
  return aText == nullptr ? std::string() : aText->str();
}

// Updates an endpoint's state after a successful command.
auto ApplyCommand(CommandedEndpoint& aEndpoint,
                  const EndpointCommand& aCommand,
                  LogTime aNow) -> void
{
  const auto isAdapter = aCommand.mAction == OrderAction::LoadAdapter ||
                         aCommand.mAction == OrderAction::UnloadAdapter;
  const auto name = LoadedName(
    aCommand.mModel, aCommand.mVersion, isAdapter ? aCommand.mAdapter : "");
  switch (aCommand.mAction) {
    case OrderAction::LoadModel:
    case OrderAction::LoadAdapter:
      aEndpoint.mLoaded.try_emplace(name, aNow);
      break;
    case OrderAction::UnloadAdapter:
      aEndpoint.mLoaded.erase(name);
      break;
    case OrderAction::UnloadModel:
      // Unloading a model also unloads its adapters.
      std::erase_if(aEndpoint.mLoaded, [&](const auto& aLoaded) {
        return aLoaded.first == name ||
               aLoaded.first.compare(0, name.size() + 1, name + "+") == 0;
      });
      break;
    case OrderAction::SetRole:
      aEndpoint.mRole = aCommand.mRole;
      break;
  }
}

auto ToJson(const EndpointCommand& aCommand) -> json
{
  return { aCommand.mFence,
           aCommand.mIssued.time_since_epoch().count(),
           static_cast<int>(aCommand.mAction),
           aCommand.mModel,
           aCommand.mVersion,
           aCommand.mAdapter,
           aCommand.mRole,
           aCommand.mHost };
}

auto ToLogTime(const json& aValue) -> LogTime
{
  return LogTime(std::chrono::milliseconds(aValue.get<std::int64_t>()));
}

auto CommandFromJson(const json& aEntry) -> EndpointCommand
{
  EndpointCommand command;
  aEntry.at(0).get_to(command.mFence);
  command.mIssued = ToLogTime(aEntry.at(1));
  command.mAction = static_cast<OrderAction>(aEntry.at(2).get<int>());
  aEntry.at(3).get_to(command.mModel);
  aEntry.at(4).get_to(command.mVersion);
  aEntry.at(5).get_to(command.mAdapter);
  aEntry.at(6).get_to(command.mRole);
  aEntry.at(7).get_to(command.mHost);
  return command;
}

} // namespace

auto LoadedName(const std::string& aModel,
                const std::string& aVersion,
                const std::string& aAdapter) -> std::string
{
  auto name = aModel + "@" + aVersion;
  return aAdapter.empty() ? name : name + "+" + aAdapter;
}

auto Apply(CommandState& aState,
           const RecordContext& aContext,
           const record::OrderIssued& aRecord) -> Verdict
{
  const auto address = Text(aRecord.endpoint());
  if (aState.mEndpoints.size() >= kMaxCommandedEndpoints &&
      !aState.mEndpoints.contains(address)) {
    return Rejected("too_many_endpoints");
  }
  auto& endpoint = aState.mEndpoints[address];
  // Records of one batch share an offset, but a fencing token must be unique.
  if (endpoint.mLastFence == aContext.mOffset && endpoint.mLastFence != 0) {
    return Rejected("order_open", endpoint.mLastFence);
  }
  if (endpoint.mOpen && aContext.mTime - endpoint.mOpen->mIssued <=
                          kCommandTimeout + kCommandMargin) {
    return Rejected("order_open", endpoint.mOpen->mFence);
  }
  EndpointCommand command;
  command.mFence = aContext.mOffset;
  command.mIssued = aContext.mTime;
  command.mAction = aRecord.action();
  command.mModel = Text(aRecord.model());
  command.mVersion = Text(aRecord.version());
  command.mAdapter = Text(aRecord.adapter());
  command.mRole = Text(aRecord.role());
  command.mHost = Text(aRecord.host());
  endpoint.mOpen = std::move(command);
  endpoint.mLastFence = aContext.mOffset;
  return Accepted(aContext.mOffset);
}

auto Apply(CommandState& aState,
           const RecordContext& aContext,
           const record::OrderEnded& aRecord) -> Verdict
{
  const auto found = aState.mEndpoints.find(Text(aRecord.endpoint()));
  if (found == aState.mEndpoints.end() || !found->second.mOpen ||
      found->second.mOpen->mFence != aRecord.order()) {
    return Rejected("order_closed");
  }
  if (aRecord.succeeded()) {
    ApplyCommand(found->second, *found->second.mOpen, aContext.mTime);
  }
  found->second.mOpen.reset();
  return Accepted();
}

auto Save(const CommandState& aState) -> std::string
{
  auto endpoints = json::array();
  for (const auto& [address, endpoint] : aState.mEndpoints) {
    auto loaded = json::array();
    for (const auto& [name, time] : endpoint.mLoaded) {
      loaded.push_back({ name, time.time_since_epoch().count() });
    }
    endpoints.push_back(
      { address,
        endpoint.mOpen ? ToJson(*endpoint.mOpen) : json(nullptr),
        endpoint.mLastFence,
        loaded,
        endpoint.mRole });
  }
  const auto bytes = json::to_cbor(endpoints);
  return { bytes.begin(), bytes.end() };
}

auto Load(std::string_view aData, CommandState& aState)
  -> Result<void, std::string>
{
  aState = {};
  if (aData.empty()) {
    return {};
  }
  try {
    CommandState loaded;
    for (const auto& entry : json::from_cbor(aData.begin(), aData.end())) {
      auto& endpoint = loaded.mEndpoints[entry.at(0).get<std::string>()];
      if (!entry.at(1).is_null()) {
        endpoint.mOpen = CommandFromJson(entry.at(1));
      }
      entry.at(2).get_to(endpoint.mLastFence);
      for (const auto& item : entry.at(3)) {
        endpoint.mLoaded[item.at(0).get<std::string>()] = ToLogTime(item.at(1));
      }
      entry.at(4).get_to(endpoint.mRole);
    }
    aState = std::move(loaded);
  } catch (const std::exception& error) {
    return Err(std::string("command state: ") + error.what());
  }
  return {};
}

} // namespace mangovalve
