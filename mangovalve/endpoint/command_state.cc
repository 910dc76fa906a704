// Replayed orders to endpoints.
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

// Changes what is known to be loaded after a successful order.
auto TakeEffect(CommandedEndpoint& aEndpoint,
                const EndpointCommand& aOrder,
                LogTime aNow) -> void
{
  const auto isAdapter = aOrder.mAction == OrderAction::LoadAdapter ||
                         aOrder.mAction == OrderAction::UnloadAdapter;
  const auto name = LoadedName(
    aOrder.mModel, aOrder.mVersion, isAdapter ? aOrder.mAdapter : "");
  switch (aOrder.mAction) {
    case OrderAction::LoadModel:
    case OrderAction::LoadAdapter:
      aEndpoint.mLoaded.try_emplace(name, aNow);
      break;
    case OrderAction::UnloadAdapter:
      aEndpoint.mLoaded.erase(name);
      break;
    case OrderAction::UnloadModel:
      // Its adapters go with it.
      std::erase_if(aEndpoint.mLoaded, [&](const auto& aLoaded) {
        return aLoaded.first == name ||
               aLoaded.first.compare(0, name.size() + 1, name + "+") == 0;
      });
      break;
    case OrderAction::SetRole:
      aEndpoint.mRole = aOrder.mRole;
      break;
  }
}

auto ToJson(const EndpointCommand& aOrder) -> json
{
  return { aOrder.mFence,
           aOrder.mIssued.time_since_epoch().count(),
           static_cast<int>(aOrder.mAction),
           aOrder.mModel,
           aOrder.mVersion,
           aOrder.mAdapter,
           aOrder.mRole,
           aOrder.mHost };
}

auto ToLogTime(const json& aValue) -> LogTime
{
  return LogTime(std::chrono::milliseconds(aValue.get<std::int64_t>()));
}

auto OrderFrom(const json& aEntry) -> EndpointCommand
{
  EndpointCommand order;
  aEntry.at(0).get_to(order.mFence);
  order.mIssued = ToLogTime(aEntry.at(1));
  order.mAction = static_cast<OrderAction>(aEntry.at(2).get<int>());
  aEntry.at(3).get_to(order.mModel);
  aEntry.at(4).get_to(order.mVersion);
  aEntry.at(5).get_to(order.mAdapter);
  aEntry.at(6).get_to(order.mRole);
  aEntry.at(7).get_to(order.mHost);
  return order;
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
  // Records of one batch share an offset, and a token must be unique.
  if (endpoint.mLastFence == aContext.mOffset && endpoint.mLastFence != 0) {
    return Rejected("order_open", endpoint.mLastFence);
  }
  if (endpoint.mOpen && aContext.mTime - endpoint.mOpen->mIssued <=
                          kCommandTimeout + kCommandMargin) {
    return Rejected("order_open", endpoint.mOpen->mFence);
  }
  EndpointCommand order;
  order.mFence = aContext.mOffset;
  order.mIssued = aContext.mTime;
  order.mAction = aRecord.action();
  order.mModel = Text(aRecord.model());
  order.mVersion = Text(aRecord.version());
  order.mAdapter = Text(aRecord.adapter());
  order.mRole = Text(aRecord.role());
  order.mHost = Text(aRecord.host());
  endpoint.mOpen = std::move(order);
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
    TakeEffect(found->second, *found->second.mOpen, aContext.mTime);
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
        endpoint.mOpen = OrderFrom(entry.at(1));
      }
      entry.at(2).get_to(endpoint.mLastFence);
      for (const auto& item : entry.at(3)) {
        endpoint.mLoaded[item.at(0).get<std::string>()] = ToLogTime(item.at(1));
      }
      entry.at(4).get_to(endpoint.mRole);
    }
    aState = std::move(loaded);
  } catch (const std::exception& error) {
    return Err(std::string("orders: ") + error.what());
  }
  return {};
}

} // namespace mangovalve
