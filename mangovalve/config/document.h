// The parsed configuration document: teams, keys, rates, routes, services,
// models and failure domains. A Document is immutable once published; a request
// uses the revision under which it was admitted until it ends.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mangovalve {

struct Team
{
  std::string mName;
  double mRate = 0;             // requests per second over all hosts
  double mBurst = 1;            // requests over all hosts
  double mWeight = 1;           // share of capacity under contention
  std::uint32_t mMaxJobs = 100; // concurrently open batch jobs
};

struct Key
{
  std::string mDigest; // SHA-256 of the key, 64 hexadecimal digits
  std::string mTeam;
};

enum class ServiceKind
{
  Model,
  Plain,
};

struct Service
{
  std::string mName;
  ServiceKind mKind = ServiceKind::Plain;
  bool mChecksFencing = false;     // endpoints reject stale fencing tokens
  std::uint32_t mMaxInFlight = 16; // concurrent requests per endpoint
};

struct Model
{
  std::string mName;
  std::string mService;
  std::string mVersion;
  std::vector<std::string> mAdapters;
  // How long the previous version stays loaded after the new one has answered
  // on every endpoint.
  std::chrono::milliseconds mRetainFormer{ 600000 };
};

struct Route
{
  std::string mName;
  std::string mPath; // path prefix of matching requests
  std::string mService;
  std::string mModel;              // model routes only
  bool mOpen = false;              // no API key required
  bool mIdempotent = true;         // false: a request runs at most once
  std::vector<std::string> mTeams; // allowed teams; empty: all
  std::chrono::milliseconds mTimeout{ 30000 }; // for the whole response
  // For the first byte of the response.
  std::chrono::milliseconds mFirstByteTimeout{ 5000 };
};

struct Domain
{
  std::string mName;
  std::string mRegion;
};

struct Settings
{
  // How long keys are accepted without contact to the log or a peer; 0: without
  // limit.
  std::chrono::milliseconds mKeysValidWithoutContact{ 0 };
};

struct Document
{
  std::uint64_t mRevision = 0; // 0: no document was accepted yet
  Settings mSettings;
  std::map<std::string, Team> mTeams;       // by name
  std::map<std::string, Key> mKeys;         // by digest
  std::map<std::string, Service> mServices; // by name
  std::map<std::string, Model> mModels;     // by name
  std::map<std::string, Route> mRoutes;     // by name
  std::map<std::string, Domain> mDomains;   // by name
};

} // namespace mangovalve
