// HTTP clients shared by the platform's ports: a pool of kept-alive
// connections and the classification of failures.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "mangovalve/base/result.h"
#include "mangovalve/base/time.h"
#include "mangovalve/log_service/log_port.h"

namespace httplib {
class Client;
} // namespace httplib

namespace mangovalve {

// Clients of one address. A client serves one call at a time, so that a long
// poll does not hold up an append.
class HttpClientPool
{
public:
  explicit HttpClientPool(const std::string& aAddress);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  auto operator=(const HttpClientPool&) -> HttpClientPool& = delete;

  // GETs or POSTs and returns the body of a 200 answer. A passed deadline is
  // NotSent.
  auto Fetch(const std::string& aTarget, TimePoint aDeadline)
    -> Result<std::string, PlatformError>;
  auto Post(const std::string& aTarget,
            const std::string& aJson,
            TimePoint aDeadline) -> Result<std::string, PlatformError>;

private:
  auto Call(const std::string& aTarget,
            const std::string* aJson,
            TimePoint aDeadline) -> Result<std::string, PlatformError>;
  auto Borrow() -> std::unique_ptr<httplib::Client>;
  auto Return(std::unique_ptr<httplib::Client> aClient) -> void;

  std::string mHost;
  int mPort = 0;
  absl::Mutex mMutex;
  std::vector<std::unique_ptr<httplib::Client>> mIdle ABSL_GUARDED_BY(mMutex);
};

} // namespace mangovalve
