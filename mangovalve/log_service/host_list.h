// The platform's list of live and leaving hosts. It lags: an entry is a hint.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "mangovalve/base/result.h"
#include "mangovalve/base/time.h"
#include "mangovalve/log_service/log_port.h"

namespace mangovalve {

struct ListedHost
{
  std::string mService;
  std::string mAddress; // IP:port
  std::string mDomain;
  bool mLeaving = false;

  auto operator==(const ListedHost&) const -> bool = default;
};

struct HostListPort
{
  std::function<
    auto(TimePoint aDeadline)->Result<std::vector<ListedHost>, PlatformError>>
    mFetchHosts;
};

// Port of the host list at aAddress ("IP:port"); callable from any thread.
auto HttpHostListPort(const std::string& aAddress) -> HostListPort;

} // namespace mangovalve
