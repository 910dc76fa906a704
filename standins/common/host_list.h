// The platform's list of live and leaving hosts, which lags behind changes.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "mangovalve/base/result.h"
#include "mangovalve/base/time.h"

namespace mangovalve::standins {

struct ListedHost
{
  std::string mService;
  std::string mAddress; // IP:PORT
  std::string mDomain;
  std::string mState; // "live", "leaving"; "gone" removes the host
};

struct HostList
{
  Duration mLag{ 0 };
  struct Change
  {
    TimePoint mVisibleAt;
    ListedHost mHost;
  };
  std::deque<Change> mPending;                // in order of mVisibleAt
  std::map<std::string, ListedHost> mVisible; // by address
};

// Records a change that becomes visible after the lag.
auto ChangeHost(HostList& aList, ListedHost aHost, TimePoint aNow) -> void;

// Hosts as listed at aNow.
auto VisibleHosts(HostList& aList, TimePoint aNow) -> std::vector<ListedHost>;

// Parses one host object or {"hosts":[...]}.
auto ParseHosts(const std::string& aJson)
  -> Result<std::vector<ListedHost>, std::string>;

// Renders {"hosts":[...]}.
auto RenderHosts(const std::vector<ListedHost>& aHosts) -> std::string;

} // namespace mangovalve::standins
