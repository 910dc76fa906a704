// Orders to endpoints: which order an endpoint needs next, and the sending of
// one order.
//
// The document states which models, versions and adapters a service's
// endpoints have loaded. Each order sets a state ("this version is loaded"), so
// that repeats and reordering end in the same state. The host that is first in
// rendezvous order for an endpoint issues its orders; order_state.h keeps hosts
// from ordering at the same time.
//
// A host that was paused must not send an order late. The order's deadline is
// stored before its record is appended, and is checked on an open connection
// right before the first byte. A process that is paused after that check holds
// an idle connection, which endpoints close within kCommandMargin.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "mangovalve/base/time.h"
#include "mangovalve/config/document.h"
#include "mangovalve/endpoint/client.h"
#include "mangovalve/endpoint/command_state.h"
#include "mangovalve/replay/journal.h"

namespace mangovalve {

struct DesiredCommand
{
  record::OrderAction mAction = record::OrderAction::LoadModel;
  std::string mModel;
  std::string mVersion;
  std::string mAdapter;
  std::string mRole;
};

// The next order that brings the endpoint of a service to the document's state;
// nothing when there is none or one is open. Loads come first. A former version
// is unloaded only when the model's present version and all of its adapters
// have been loaded for the model's mRetainFormer.
auto NextCommand(const Document& aDocument,
                 const std::string& aService,
                 const CommandedEndpoint& aEndpoint,
                 LogTime aNow) -> std::optional<DesiredCommand>;

struct CommandPorts
{
  std::string mHost;
  JournalPort mJournal;
  EndpointClient* mClient = nullptr;
  // Asks the platform's weight store for the weights of one load; false when
  // its budget is used up or it cannot be reached. The load is tried later.
  std::function<
    bool(const std::string& aModel, const std::string& aVersion, TimePoint)>
    mFetchWeights;
  // Whether this host still is the endpoint's orderer: registered, not fenced,
  // in contact, and first in rendezvous order.
  std::function<bool(const std::string& aAddress)> mMayIssue;
  std::function<auto()->TimePoint> mNow = [] { return Clock::now(); };
};

enum class CommandResult
{
  Done,
  Failed,      // the endpoint answered that it did not follow the order
  NotIssuer,   // nothing was sent
  NoWeights,   // nothing was sent
  NotRecorded, // nothing was sent: no log, or another order is open
  Unanswered,  // may have been followed; stays open until its deadline
  TooLate,     // nothing was sent: the deadline passed, e.g. in a pause
};

// Issues one order: weights, record, sending, record of its end. Blocks.
auto RunCommand(const CommandPorts& aPorts,
                const std::string& aAddress,
                const DesiredCommand& aOrder) -> CommandResult;

} // namespace mangovalve
