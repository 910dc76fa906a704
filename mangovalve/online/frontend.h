// OnlineFrontend: the HTTP frontend for online requests, on an httplib::Server.
//
// Model routes take OpenAI-compatible POST requests on paths that end in
// /v1/completions and /v1/chat/completions, with and without streaming; every
// other path goes to the plain service of the longest matching route.
//
// Order of calls: ConfigureServer, registration of other handlers (jobs),
// Register (which handles all remaining paths), BindServer,
// server.listen_after_bind().
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include <absl/synchronization/mutex.h>
#include <httplib.h>

#include "mangovalve/online/dispatcher.h"
#include "mangovalve/online/drain.h"
#include "mangovalve/online/ports.h"
#include "mangovalve/online/request.h"

namespace mangovalve {

struct OnlineFrontendOptions
{
  // Number of worker threads. Each open connection occupies one, even while
  // idle. With one descriptor per worker and one per running exchange, 400
  // workers stay below the 1024 descriptors that httplib's select() supports.
  std::size_t mWorkers = 400;
  std::size_t mMaxBodyBytes = 4 << 20;
  // Per streamed answer; limits what is buffered for a slow caller.
  std::size_t mMaxBufferedStreamBytes = 256 << 10;
  std::chrono::seconds mKeepAlive{ 5 };
  std::chrono::seconds mReadTimeout{ 10 };
  std::chrono::seconds mWriteTimeout{ 10 };
  DrainPolicy mDrain;
};

// Sets the worker pool, keep-alive, TCP_NODELAY, limits, JSON bodies for the
// server's own errors, and socket options without SO_REUSEPORT.
auto ConfigureServer(httplib::Server& aServer,
                     const OnlineFrontendOptions& aOptions) -> void;

// Binds the IP address aHost and aPort, with a listen backlog that absorbs
// bursts of connections; port 0 picks a free port. Returns the bound port, or 0
// if the address cannot be bound.
auto BindServer(httplib::Server& aServer, const std::string& aHost, int aPort)
  -> int;

class OnlineFrontend
{
public:
  // aPorts must outlive the frontend.
  OnlineFrontend(const OnlinePorts& aPorts,
                 OnlineFrontendOptions aOptions = {});

  // Registers handlers for all paths without a handler, and the worker pool
  // that counts the server's connections.
  auto Register(httplib::Server& aServer) -> void;

  // Starts draining; see drain.h. The server may be stopped once
  // CurrentDrainPhase() is Done.
  auto Drain() -> void;
  auto CurrentDrainPhase() -> DrainPhase;
  // Requests that were received and are not completely answered.
  auto Running() const -> std::size_t { return mRunning->load(); }
  // Accepted connections that wait for a worker, or whose first request has not
  // been answered. Their requests may have been sent completely.
  auto UnansweredConnections() const -> std::size_t
  {
    return mUnanswered->load();
  }

private:
  auto Handle(const httplib::Request& aRequest, httplib::Response& aResponse)
    -> void;
  auto HandleStream(const OnlineRequest& aRequest,
                    const AdmittedRequest& aAdmitted,
                    const std::shared_ptr<void>& aRunningGuard,
                    httplib::Response& aResponse) -> void;

  const OnlinePorts& mPorts;
  const OnlineFrontendOptions mOptions;
  Dispatcher mDispatcher;
  // Shared with streamed answers, which may outlive the frontend.
  std::shared_ptr<std::atomic<std::size_t>> mRunning;
  // Shared with the server's worker pool.
  std::shared_ptr<std::atomic<std::size_t>> mUnanswered;
  absl::Mutex mMutex;
  DrainSchedule mDrain;
};

} // namespace mangovalve
