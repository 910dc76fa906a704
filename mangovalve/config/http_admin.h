// HTTP API for operators to manage the configuration.
//
//   POST /v1/config/check                       body: TOML
//   POST /v1/config/submit?base=N&id=ID&submitter=S&comment=C   body: TOML
//   POST /v1/config/rollback?to=N&id=ID&submitter=S&comment=C
//   GET  /v1/config/status
//   GET  /v1/config/history?limit=N
//   GET  /v1/config/show?revision=N             response: TOML
//   GET  /v1/config/diff?from=N&to=M
//
// Status codes: 200; 400 bad parameter; 404 unknown revision; 409 conflict,
// with "current_revision"; 413 too large; 422 invalid document, with "errors";
// 503 not accepted; 504 outcome unknown, to be resent with the same id.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mangovalve/base/id.h"
#include "mangovalve/base/time.h"
#include "mangovalve/replay/journal.h"
#include "mangovalve/replay/replica.h"

namespace httplib {
class Server;
} // namespace httplib

namespace mangovalve {

// How far the replica of a registered host has applied the log.
struct HostConfirmation
{
  std::string mHost;
  std::string mDomain;
  // Offset of the next entry that the host will apply, from its last report;
  // nothing if it has not reported.
  std::optional<Offset> mApplied;
  // Age of that report. If it exceeds kConfirmationMaxAge, the host counts as
  // unconfirmed.
  Duration mAge{};
};

constexpr std::chrono::seconds kConfirmationMaxAge{ 3 };

struct ConfigAdmin
{
  const Replica* mReplica = nullptr; // must outlive the server
  JournalPort mJournal;
  // Returns one element per registered host, including this one, from the
  // heartbeats of the peers.
  std::function<auto()->std::vector<HostConfirmation>> mConfirmations;
  // How long a submission waits for its verdict before it is answered with 503
  // or 504.
  Duration mCommitTimeout = std::chrono::seconds(10);
};

// Registers the handlers. Must be called before the server listens.
auto RegisterConfigAdmin(httplib::Server& aServer, ConfigAdmin aAdmin) -> void;

} // namespace mangovalve
