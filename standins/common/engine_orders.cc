// Orders to an engine.
#include "standins/common/engine_orders.h"

#include <absl/strings/str_cat.h>

#include "standins/common/server.h"

namespace mangovalve::standins {
namespace {

auto BadOrder(const std::string& aMessage) -> tl::unexpected<OrderRefusal>
{
  return Err(OrderRefusal{ 400, "bad_order", aMessage });
}

} // namespace

auto ParseOrder(const std::string& aBody) -> Result<EngineOrder, OrderRefusal>
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return BadOrder("the body is not a JSON object");
  }
  EngineOrder order;
  if (json.contains("fence")) {
    if (!json["fence"].is_number_unsigned()) {
      return BadOrder("fence: not an unsigned number");
    }
    order.mFence = json["fence"].get<std::uint64_t>();
  }
  order.mAction = TextMember(json, "action");
  order.mModel = TextMember(json, "model");
  order.mVersion = TextMember(json, "version");
  order.mAdapter = TextMember(json, "adapter");
  order.mRole = TextMember(json, "role");
  static const std::set<std::string> kActions{
    "load_model", "unload_model", "load_adapter", "unload_adapter", "set_role"
  };
  if (kActions.count(order.mAction) == 0) {
    return BadOrder(
      absl::StrCat("action: unknown value \"", order.mAction, "\""));
  }
  if (order.mAction != "set_role" && order.mModel.empty()) {
    return BadOrder("model: missing");
  }
  return order;
}

auto CheckFence(EngineState& aState, const EngineOrder& aOrder)
  -> Result<void, OrderRefusal>
{
  if (aState.mChecksFencing && aOrder.mFence < aState.mHighestFence) {
    return Err(OrderRefusal{
      409,
      "old_fence",
      absl::StrCat(
        "fence ", aOrder.mFence, " is older than ", aState.mHighestFence) });
  }
  aState.mHighestFence = std::max(aState.mHighestFence, aOrder.mFence);
  return {};
}

auto NeedsLoad(const EngineState& aState, const EngineOrder& aOrder) -> bool
{
  const auto found = aState.mModels.find({ aOrder.mModel, aOrder.mVersion });
  if (aOrder.mAction == "load_model") {
    return found == aState.mModels.end();
  }
  return aOrder.mAction == "load_adapter" && found != aState.mModels.end() &&
         found->second.count(aOrder.mAdapter) == 0;
}

auto ApplyOrder(EngineState& aState, const EngineOrder& aOrder)
  -> Result<void, OrderRefusal>
{
  const std::pair key{ aOrder.mModel, aOrder.mVersion };
  if (aOrder.mAction == "set_role") {
    aState.mRole = aOrder.mRole;
  } else if (aOrder.mAction == "load_model") {
    aState.mModels.try_emplace(key);
  } else if (aOrder.mAction == "unload_model") {
    aState.mModels.erase(key);
  } else {
    const auto found = aState.mModels.find(key);
    if (found == aState.mModels.end()) {
      return Err(
        OrderRefusal{ 409, "model_not_loaded", "load the model first" });
    }
    if (aOrder.mAction == "load_adapter") {
      found->second.insert(aOrder.mAdapter);
    } else {
      found->second.erase(aOrder.mAdapter);
    }
  }
  return {};
}

auto ServesModel(const EngineState& aState,
                 const std::string& aModel,
                 const std::string& aVersion) -> bool
{
  if (!aVersion.empty()) {
    return aState.mModels.count({ aModel, aVersion }) > 0;
  }
  const auto found = aState.mModels.lower_bound({ aModel, "" });
  return found != aState.mModels.end() && found->first.first == aModel;
}

auto RenderModels(const EngineState& aState) -> nlohmann::json
{
  auto models = nlohmann::json::array();
  for (const auto& [key, adapters] : aState.mModels) {
    models.push_back({ { "model", key.first },
                       { "version", key.second },
                       { "adapters", adapters } });
  }
  return models;
}

} // namespace mangovalve::standins
