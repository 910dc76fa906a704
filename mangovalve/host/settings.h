// Settings of one daemon, read from a TOML file at startup.
//
// All values are checked before the daemon starts. The first unknown name,
// wrong type or value out of range is reported with file, line and setting.
//
//   host = "a1"                      # unique name of this host
//   domain = "a"                     # failure domain of this host
//   region = "sk-central"            # optional
//   log_level = "info"               # debug, info, warn or error
//
//   [listen]
//   callers = "127.0.0.1:8001"       # IP:PORT, no host names
//   operators = "127.0.0.1:8002"
//   peers = "127.0.0.1:8003"
//
//   [platform]
//   address = "127.0.0.1:7000"
//   append_budget = 300              # appends per second, whole fleet
//   retention_ms = 3600000           # how long the log keeps a record
//
//   [peers]
//   seeds = ["127.0.0.1:8013"]       # used until the member list is known
//
//   [limits]
//   callers_threads = 256            # concurrent requests from callers
//   max_body_bytes = 8388608
//   drain_accept_ms = 2000           # accept requests after readiness fails
//   drain_timeout_ms = 60000         # for running requests to finish
//
//   [operators]
//   token_digest = ""                # SHA-256 of the operator token; empty:
//   none
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mangovalve/base/result.h"

namespace mangovalve {

struct Address
{
  std::string mIp;
  std::uint16_t mPort = 0;
};

// Parses "IP:PORT" with a numeric IPv4 address and a port from 1 to 65535.
auto ParseAddress(std::string_view aText) -> Result<Address, std::string>;

// Formats an address as "IP:PORT".
auto FormatAddress(const Address& aAddress) -> std::string;

struct HostSettings
{
  std::string mHost;
  std::string mDomain;
  std::string mRegion;
  std::string mLogLevel = "info";
  Address mCallers;
  Address mOperators;
  Address mPeers;
  Address mPlatform;
  std::uint32_t mAppendBudget = 300; // appends per second, whole fleet
  std::chrono::milliseconds mRetention{ 3600000 };
  std::vector<Address> mSeeds;
  std::uint32_t mCallersThreads = 256;
  std::uint64_t mMaxBodyBytes = 8 << 20;
  std::chrono::milliseconds mDrainAccept{ 2000 };
  std::chrono::milliseconds mDrainTimeout{ 60000 };
  std::string mOperatorTokenDigest; // empty: no token is required
};

struct SettingsError
{
  std::string mFile;
  std::uint32_t mLine = 0; // 0 when no line applies
  std::string mSetting;    // dotted path, empty for a syntax error
  std::string mMessage;
};

// Formats an error as "FILE:LINE: SETTING: MESSAGE", without the parts that do
// not apply.
auto FormatError(const SettingsError& aError) -> std::string;

// Parses settings from TOML text; aFile is the file name in errors.
auto ParseSettings(std::string_view aText, const std::string& aFile)
  -> Result<HostSettings, SettingsError>;

// Reads and parses the file.
auto ReadSettings(const std::string& aFile)
  -> Result<HostSettings, SettingsError>;

} // namespace mangovalve
