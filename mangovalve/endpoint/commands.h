// Commands to endpoints: selects the next command that an endpoint needs, and
// sends one command.
//
// The document specifies which models, versions and adapters the endpoints of a
// service load. Each command sets a state ("this version is loaded"), so that
// repetition and reordering lead to the same state. The host that ranks first
// by rendezvous hashing for an endpoint issues its commands; command_state.h
// prevents hosts from issuing commands concurrently.
//
// A host must not send a command late after a pause of its process. The
// command's deadline is computed before its record is appended, and is checked
// on the open connection right before the first byte. A process that is paused
// after that check holds an idle connection, which endpoints close within
// kCommandMargin.
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

// Returns the next command that brings an endpoint of the service closer to the
// state that the document specifies, or nothing if none is needed or one is
// open. Loads precede unloads: a former version is unloaded only after the
// model's current version and all of its adapters have been loaded for the
// model's mRetainFormer.
auto NextCommand(const Document& aDocument,
                 const std::string& aService,
                 const CommandedEndpoint& aEndpoint,
                 LogTime aNow) -> std::optional<DesiredCommand>;

struct CommandPorts
{
  std::string mHost;
  JournalPort mJournal;
  EndpointClient* mClient = nullptr;
  // Fetches the weights of one load from the platform's weight store. False if
  // the store's budget is exhausted or the store is unreachable; the load is
  // then retried later.
  std::function<
    bool(const std::string& aModel, const std::string& aVersion, TimePoint)>
    mFetchWeights;
  // Whether this host may still issue commands to the endpoint: it is
  // registered, not fenced, connected, and ranks first by rendezvous hashing.
  std::function<bool(const std::string& aAddress)> mMayIssue;
  std::function<auto()->TimePoint> mNow = [] { return Clock::now(); };
};

enum class CommandResult
{
  Done,
  Failed,      // connection refused, or the endpoint reported a failure
  NotIssuer,   // nothing was sent
  NoWeights,   // nothing was sent
  NotRecorded, // nothing was sent: the log is unavailable or a command is open
  Unanswered,  // may have been executed; stays open until its deadline
  TooLate,     // nothing was sent: the deadline expired, e.g. during a pause
};

// Issues one command: fetches the weights, appends the record, sends the
// command and appends the record of its end. Blocks.
auto RunCommand(const CommandPorts& aPorts,
                const std::string& aAddress,
                const DesiredCommand& aCommand) -> CommandResult;

} // namespace mangovalve
