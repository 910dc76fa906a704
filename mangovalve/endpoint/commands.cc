// Commands to endpoints.
#include "mangovalve/endpoint/commands.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "mangovalve/base/id.h"

namespace mangovalve {
namespace {

using record::OrderAction;

// Time limit for appending the record of a command's end. Without that record
// the command stays open until its deadline and margin have passed.
constexpr auto kEndRecordTimeout = std::chrono::seconds(10);

// Command that unloads "MODEL@VERSION[+ADAPTER]".
auto UnloadCommand(const std::string& aLoaded) -> DesiredCommand
{
  DesiredCommand command;
  const auto at = aLoaded.find('@');
  const auto plus = aLoaded.find('+', at);
  command.mModel = aLoaded.substr(0, at);
  command.mVersion =
    aLoaded.substr(at + 1, plus == std::string::npos ? plus : plus - at - 1);
  command.mAction = OrderAction::UnloadModel;
  if (plus != std::string::npos) {
    command.mAdapter = aLoaded.substr(plus + 1);
    command.mAction = OrderAction::UnloadAdapter;
  }
  return command;
}

// Returns the first load that a model lacks. A model is loaded before its
// adapters.
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

// Whether the model's current version and its adapters have been loaded for the
// time that the former version must be retained.
auto RetentionPassed(const Model& aModel,
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
                 const DesiredCommand& aCommand) -> RecordDraft
{
  RecordDraft draft;
  draft.mId = NewId();
  draft.mType = record::RecordBody::OrderIssued;
  draft.mBuild = [host = aPorts.mHost, aAddress, aCommand](
                   flatbuffers::FlatBufferBuilder& aBuilder) {
    return record::CreateOrderIssuedDirect(aBuilder,
                                           aAddress.c_str(),
                                           aCommand.mAction,
                                           aCommand.mModel.c_str(),
                                           aCommand.mVersion.c_str(),
                                           aCommand.mAdapter.c_str(),
                                           aCommand.mRole.c_str(),
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
               const DesiredCommand& aCommand,
               Offset aFence,
               TimePoint aDeadline) -> EndpointRequest
{
  EndpointRequest request;
  request.mAddress = aAddress;
  request.mTarget = "/orders";
  request.mBody = nlohmann::json{
    { "fence", aFence },
    { "action", ActionName(aCommand.mAction) },
    { "model", aCommand.mModel },
    { "version", aCommand.mVersion },
    { "adapter", aCommand.mAdapter },
    { "role", aCommand.mRole }
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
  auto allRetentionsPassed = true;
  for (const auto& [name, model] : aDocument.mModels) {
    if (model.mService != aService) {
      continue;
    }
    if (auto load = MissingLoad(model, aEndpoint)) {
      return load;
    }
    allRetentionsPassed =
      allRetentionsPassed && RetentionPassed(model, aEndpoint, aNow);
  }
  for (const auto& [name, time] : aEndpoint.mLoaded) {
    const auto loaded = UnloadCommand(name);
    if (IsWanted(aDocument, aService, loaded)) {
      continue;
    }
    const auto model = aDocument.mModels.find(loaded.mModel);
    const auto retentionPassed =
      model == aDocument.mModels.end()
        ? allRetentionsPassed
        : RetentionPassed(model->second, aEndpoint, aNow);
    if (retentionPassed) {
      return loaded;
    }
  }
  return std::nullopt;
}

auto RunCommand(const CommandPorts& aPorts,
                const std::string& aAddress,
                const DesiredCommand& aCommand) -> CommandResult
{
  // Computed before the record is appended, so that it is earlier than the
  // command's deadline in log time.
  const auto deadline = aPorts.mNow() + kCommandTimeout;
  if (!aPorts.mMayIssue(aAddress)) {
    return CommandResult::NotIssuer;
  }
  const auto isLoad = aCommand.mAction == OrderAction::LoadModel ||
                      aCommand.mAction == OrderAction::LoadAdapter;
  if (isLoad &&
      !aPorts.mFetchWeights(aCommand.mModel, aCommand.mVersion, deadline)) {
    return CommandResult::NoWeights;
  }
  const auto issued =
    aPorts.mJournal.mCommit(IssuedDraft(aPorts, aAddress, aCommand),
                            CommitPriority::Configuration,
                            deadline);
  if (!issued || !issued->mVerdict.mAccepted) {
    return CommandResult::NotRecorded;
  }
  if (!aPorts.mMayIssue(aAddress)) {
    return CommandResult::NotIssuer;
  }
  const auto fence = issued->mContext.mOffset;
  const auto response =
    aPorts.mClient->Exchange(ToRequest(aAddress, aCommand, fence, deadline));
  if (!response && response.error().mSent == Sent::Sent) {
    return CommandResult::Unanswered;
  }
  const auto succeeded = response && response->mHead.mStatus == 200;
  static_cast<void>(
    aPorts.mJournal.mCommit(EndedDraft(aAddress, fence, succeeded),
                            CommitPriority::Result,
                            aPorts.mNow() + kEndRecordTimeout));
  if (!response) {
    return response.error().mKind == EndpointError::Kind::Deadline
             ? CommandResult::TooLate
             : CommandResult::Failed;
  }
  return succeeded ? CommandResult::Done : CommandResult::Failed;
}

} // namespace mangovalve
