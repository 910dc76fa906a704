// The daemon of one host, assembled from its components.
//
// Startup: the daemon binds the peer, operator and caller listeners, then
// starts the group commit and the log replay. The host joins the member list
// once its replica has caught up, and is ready once a document is active.
//
// Drain: readiness fails first. Callers are served until the load balancer has
// had time to detect this, running requests finish, and batch claims are
// released.
#pragma once

#include <memory>
#include <string>

#include "mangovalve/base/result.h"
#include "mangovalve/host/settings.h"

namespace mangovalve {

class Host
{
public:
  explicit Host(const HostSettings& aSettings);
  ~Host();
  Host(const Host&) = delete;
  auto operator=(const Host&) -> Host& = delete;

  // Binds the listeners and starts all threads. Returns an error that names the
  // listener that could not be started.
  auto Start() -> Result<void, std::string>;

  // Drains the host. Returns when no request runs or the drain timeout has
  // expired.
  auto Drain() -> void;

  // Stops all threads; running requests are aborted.
  auto Stop() -> void;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mangovalve
