// An httplib server on a thread of its own, configured like every listener of
// a daemon.
#pragma once

#include <string>

#include <httplib.h>

#include "mangovalve/base/result.h"
#include "mangovalve/base/thread.h"
#include "mangovalve/host/settings.h"
#include "mangovalve/online/frontend.h"

namespace mangovalve {

class HttpServer
{
public:
  // aName is the name of the listener's thread.
  HttpServer(std::string aName, const OnlineFrontendOptions& aOptions);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;

  // Routes are added here before Start.
  auto Routes() -> httplib::Server& { return mServer; }

  // Binds and serves. The error says which address could not be bound.
  auto Start(const Address& aAddress) -> Result<void, std::string>;

  // Stops accepting, waits for running requests and joins the thread.
  auto Stop() -> void;

private:
  std::string mName;
  httplib::Server mServer;
  Thread mThread;
};

// Refuses a body that is longer than aMaxBodyBytes (413) or of unknown length
// (411) before it is read, because httplib holds it in memory. Uploads of jobs
// are left alone: their bodies are read as a stream.
auto LimitBodies(httplib::Server& aServer, std::size_t aMaxBodyBytes) -> void;

// Asks for the token with this SHA-256 digest on every path under /v1/config
// (401 without); health, metrics and positions carry nothing that needs it.
auto RequireToken(httplib::Server& aServer, const std::string& aDigest) -> void;

} // namespace mangovalve
