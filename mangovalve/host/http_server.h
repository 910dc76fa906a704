// HTTP listener of a daemon: an httplib server on its own thread, with the
// checks that are made before a request is routed.
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

  // Handlers must be added before Start.
  auto Routes() -> httplib::Server& { return mServer; }

  // Binds to aAddress and starts serving. Returns an error that names the
  // address if it cannot be bound.
  auto Start(const Address& aAddress) -> Result<void, std::string>;

  // Stops accepting, waits for running requests and joins the thread.
  auto Stop() -> void;

private:
  std::string mName;
  httplib::Server mServer;
  Thread mThread;
};

// Rejects a request whose body is longer than aMaxBodyBytes (413) or of unknown
// length (411) before the body is read, because httplib holds it in memory. Job
// uploads are exempt, because their bodies are read as a stream.
auto LimitBodies(httplib::Server& aServer, std::size_t aMaxBodyBytes) -> void;

// Rejects requests to paths that begin with /v1/config and do not present the
// token with this SHA-256 digest (401). Other paths, such as health, metrics
// and positions, expose nothing that requires the token.
auto RequireToken(httplib::Server& aServer, const std::string& aDigest) -> void;

} // namespace mangovalve
