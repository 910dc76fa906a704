// Orders to an engine: which models, versions and adapters are loaded, and its
// role. Orders set a state, so that repeats end in the same state.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangovalve/base/result.h"

namespace mangovalve::standins {

struct EngineOrder
{
  std::uint64_t mFence = 0;
  // "load_model", "unload_model", "load_adapter", "unload_adapter", "set_role"
  std::string mAction;
  std::string mModel;
  std::string mVersion;
  std::string mAdapter;
  std::string mRole;
};

struct EngineState
{
  bool mChecksFencing = true;
  std::uint64_t mHighestFence = 0;
  std::string mRole = "serving";
  // Adapters by model and version.
  std::map<std::pair<std::string, std::string>, std::set<std::string>> mModels;
};

struct OrderRefusal
{
  int mStatus = 400;
  std::string mReason;
  std::string mMessage;
};

// Parses the body of POST /orders.
auto ParseOrder(const std::string& aBody) -> Result<EngineOrder, OrderRefusal>;

// Refuses an order whose fence is older than the newest one seen, when the
// engine checks fencing; otherwise notes its fence.
auto CheckFence(EngineState& aState, const EngineOrder& aOrder)
  -> Result<void, OrderRefusal>;

// Whether the order needs weights that are not loaded yet.
auto NeedsLoad(const EngineState& aState, const EngineOrder& aOrder) -> bool;

// Puts the ordered state into force.
auto ApplyOrder(EngineState& aState, const EngineOrder& aOrder)
  -> Result<void, OrderRefusal>;

// Whether a request for the model can run; an empty version means any.
auto ServesModel(const EngineState& aState,
                 const std::string& aModel,
                 const std::string& aVersion) -> bool;

// [{"model","version","adapters":[...]}]
auto RenderModels(const EngineState& aState) -> nlohmann::json;

} // namespace mangovalve::standins
