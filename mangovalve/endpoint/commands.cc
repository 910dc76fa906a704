// Orders to endpoints.
#include "mangovalve/endpoint/commands.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "mangovalve/base/id.h"

namespace mangovalve {
namespace {

using record::OrderAction;

// How long the record of an order's end is tried. Without it the order stays
// open until its deadline and margin.
constexpr auto kEndedWait = std::chrono::seconds(10);

// Splits "MODEL@VERSION[+ADAPTER]".
auto ToUnload(const std::string& aLoaded) -> DesiredCommand
{
  DesiredCommand order;
  const auto at = aLoaded.find('@');
  const auto plus = aLoaded.find('+', at);
  order.mModel = aLoaded.substr(0, at);
  order.mVersion =
    aLoaded.substr(at + 1, plus == std::string::npos ? plus : plus - at - 1);
  order.mAction = OrderAction::UnloadModel;
  if (plus != std::string::npos) {
    order.mAdapter = aLoaded.substr(plus + 1);
    order.mAction = OrderAction::UnloadAdapter;
  }
  return order;
}

// The first missing load of a model, in the order in which loads depend on
// each other.
auto MissingLoad(const Model& aModel, const CommandedEndpoint& aEndpoint)
  -> std::optional<DesiredCommand>
{
  if (!aEndpoint.mLoaded.contains(
        LoadedName(aModel.mName, aModel.mVersion, ""))) {
    return DesiredCommand{
      OrderAction::LoadModel, aModel.mName, aModel.mVersion, "", ""
    };
  }
  for (const auto& adapter : aModel.mAdapters) {
    if (!aEndpoint.mLoaded.contains(
          LoadedName(aModel.mName, aModel.mVersion, adapter))) {
      return DesiredCommand{
        OrderAction::LoadAdapter, aModel.mName, aModel.mVersion, adapter, ""
      };
    }
  }
  return std::nullopt;
}

// Whether the model's present version has been loaded, with its adapters, for
// as long as the former one is retained.
auto HasHeld(const Model& aModel,
             const CommandedEndpoint& aEndpoint,
             LogTime aNow) -> bool
{
  auto names = std::vector{ LoadedName(aModel.mName, aModel.mVersion, "") };
  for (const auto& adapter : aModel.mAdapters) {
    names.push_back(LoadedName(aModel.mName, aModel.mVersion, adapter));
  }
  return std::all_of(names.begin(), names.end(), [&](const auto& aName) {
    const auto found = aEndpoint.mLoaded.find(aName);
    return found != aEndpoint.mLoaded.end() &&
           aNow - found->second >= aModel.mRetainFormer;
  });
}

auto IsWanted(const Document& aDocument,
              const std::string& aService,
              const DesiredCommand& aLoaded) -> bool
{
  const auto found = aDocument.mModels.find(aLoaded.mModel);
  if (found == aDocument.mModels.end() || found->second.mService != aService ||
      found->second.mVersion != aLoaded.mVersion) {
    return false;
  }
  const auto& adapters = found->second.mAdapters;
  return aLoaded.mAdapter.empty() ||
         std::find(adapters.begin(), adapters.end(), aLoaded.mAdapter) !=
           adapters.end();
}

auto ActionName(OrderAction aAction) -> const char*
{
  switch (aAction) {
    case OrderAction::LoadModel:
      return "load_model";
    case OrderAction::UnloadModel:
      return "unload_model";
    case OrderAction::LoadAdapter:
      return "load_adapter";
    case OrderAction::UnloadAdapter:
      return "unload_adapter";
    case OrderAction::SetRole:
      return "set_role";
  }
  return "unknown";
}

auto IssuedDraft(const CommandPorts& aPorts,
                 const std::string& aAddress,
                 const DesiredCommand& aOrder) -> RecordDraft
{
  RecordDraft draft;
  draft.mId = NewId();
  draft.mType = record::RecordBody::OrderIssued;
  draft.mBuild = [host = aPorts.mHost, aAddress, aOrder](
                   flatbuffers::FlatBufferBuilder& aBuilder) {
    return record::CreateOrderIssuedDirect(aBuilder,
                                           aAddress.c_str(),
                                           aOrder.mAction,
                                           aOrder.mModel.c_str(),
                                           aOrder.mVersion.c_str(),
                                           aOrder.mAdapter.c_str(),
                                           aOrder.mRole.c_str(),
                                           host.c_str())
      .Union();
  };
  return draft;
}

auto EndedDraft(const std::string& aAddress, Offset aFence, bool aSucceeded)
  -> RecordDraft
{
  RecordDraft draft;
  draft.mId = NewId();
  draft.mType = record::RecordBody::OrderEnded;
  draft.mBuild =
    [aAddress, aFence, aSucceeded](flatbuffers::FlatBufferBuilder& aBuilder) {
      return record::CreateOrderEndedDirect(
               aBuilder, aAddress.c_str(), aFence, aSucceeded)
        .Union();
    };
  return draft;
}

auto ToRequest(const std::string& aAddress,
               const DesiredCommand& aOrder,
               Offset aFence,
               TimePoint aDeadline) -> EndpointRequest
{
  EndpointRequest request;
  request.mAddress = aAddress;
  request.mTarget = "/orders";
  request.mBody = nlohmann::json{
    { "fence", aFence },
    { "action", ActionName(aOrder.mAction) },
    { "model", aOrder.mModel },
    { "version", aOrder.mVersion },
    { "adapter", aOrder.mAdapter },
    { "role", aOrder.mRole }
  }.dump();
  request.mRequestId = ToHex(NewId());
  request.mFirstByteDeadline = aDeadline;
  request.mDeadline = aDeadline;
  request.mSendBy = aDeadline;
  request.mNewConnection = true;
  return request;
}

} // namespace

auto NextCommand(const Document& aDocument,
                 const std::string& aService,
                 const CommandedEndpoint& aEndpoint,
                 LogTime aNow) -> std::optional<DesiredCommand>
{
  if (aEndpoint.mOpen &&
      aNow - aEndpoint.mOpen->mIssued <= kCommandTimeout + kCommandMargin) {
    return std::nullopt;
  }
  auto allHeld = true;
  for (const auto& [name, model] : aDocument.mModels) {
    if (model.mService != aService) {
      continue;
    }
    if (auto load = MissingLoad(model, aEndpoint)) {
      return load;
    }
    allHeld = allHeld && HasHeld(model, aEndpoint, aNow);
  }
  for (const auto& [name, time] : aEndpoint.mLoaded) {
    const auto loaded = ToUnload(name);
    if (IsWanted(aDocument, aService, loaded)) {
      continue;
    }
    const auto model = aDocument.mModels.find(loaded.mModel);
    const auto held = model == aDocument.mModels.end()
                        ? allHeld
                        : HasHeld(model->second, aEndpoint, aNow);
    if (held) {
      return loaded;
    }
  }
  return std::nullopt;
}

auto RunCommand(const CommandPorts& aPorts,
                const std::string& aAddress,
                const DesiredCommand& aOrder) -> CommandResult
{
  // Stored before the record is appended, so that it lies before the order's
  // deadline in log time.
  const auto deadline = aPorts.mNow() + kCommandTimeout;
  if (!aPorts.mMayIssue(aAddress)) {
    return CommandResult::NotIssuer;
  }
  const auto isLoad = aOrder.mAction == OrderAction::LoadModel ||
                      aOrder.mAction == OrderAction::LoadAdapter;
  if (isLoad &&
      !aPorts.mFetchWeights(aOrder.mModel, aOrder.mVersion, deadline)) {
    return CommandResult::NoWeights;
  }
  const auto issued =
    aPorts.mJournal.mCommit(IssuedDraft(aPorts, aAddress, aOrder),
                            CommitPriority::Configuration,
                            deadline);
  if (!issued || !issued->mVerdict.mAccepted) {
    return CommandResult::NotRecorded;
  }
  if (!aPorts.mMayIssue(aAddress)) {
    return CommandResult::NotIssuer;
  }
  const auto fence = issued->mContext.mOffset;
  const auto answer =
    aPorts.mClient->Exchange(ToRequest(aAddress, aOrder, fence, deadline));
  if (!answer && answer.error().mSent == Sent::Sent) {
    return CommandResult::Unanswered;
  }
  const auto succeeded = answer && answer->mHead.mStatus == 200;
  static_cast<void>(
    aPorts.mJournal.mCommit(EndedDraft(aAddress, fence, succeeded),
                            CommitPriority::Result,
                            aPorts.mNow() + kEndedWait));
  if (!answer) {
    return answer.error().mKind == EndpointError::Kind::Deadline
             ? CommandResult::TooLate
             : CommandResult::Failed;
  }
  return succeeded ? CommandResult::Done : CommandResult::Failed;
}

} // namespace mangovalve
