// EndpointSet: the endpoints that this host knows, and their eligibility for
// new work.
//
// The platform's host list is delayed and only a hint: it announces endpoints
// and marks leaving ones. Refused connections and responses take precedence. An
// endpoint that refuses connections or responds that it is leaving gets no new
// work from then on, regardless of the list.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "mangovalve/base/random.h"
#include "mangovalve/base/time.h"
#include "mangovalve/routing/choice.h"
#include "mangovalve/routing/health.h"

namespace mangovalve {

// One row of the platform's host list.
struct EndpointHint
{
  std::string mService;
  std::string mAddress; // "IP:port"
  std::string mDomain;
  bool mLeaving = false;
};

enum class EndpointState
{
  Live,
  Leaving,
  Ejected, // because of outlier detection or refused connections
};

struct LoadReport
{
  double mRunning = 0;
  double mWaiting = 0;
  bool mLeaving = false;
  TimePoint mRequestedAt; // by this host's clock
};

struct EndpointStatus
{
  EndpointHint mHint;
  EndpointState mState = EndpointState::Live;
  std::uint32_t mOwnInFlight = 0;
  std::optional<LoadReport> mReport;
};

struct EndpointSetOptions
{
  ChoicePolicy mChoice;
  HealthPolicy mHealth;
  // Older reports are ignored.
  Duration mMaxReportAge = std::chrono::seconds(3);
  // Seed of random choices. 0 uses the system's entropy, so that hosts do not
  // make the same choices.
  std::uint64_t mSeed = 0;
};

// A chosen endpoint. Its request counts as in flight until Finish.
struct ChosenEndpoint
{
  std::string mService;
  std::string mAddress;
  std::string mDomain;
};

// Thread-safe.
class EndpointSet
{
public:
  explicit EndpointSet(std::string aOwnDomain,
                       EndpointSetOptions aOptions = {});

  // Applies the platform's list. Endpoints missing from it count as leaving. If
  // the list contains no endpoint of a service, that service is unchanged,
  // because the list itself is more likely to be faulty.
  auto ApplyHostList(const std::vector<EndpointHint>& aList) -> void;

  // Chooses an endpoint of the service with fewer than aLimit requests.
  // aExclude lists the addresses that this request has already tried.
  auto Choose(const std::string& aService,
              std::uint32_t aLimit,
              std::uint64_t aPrefix,
              const std::vector<std::string>& aExclude,
              TimePoint aNow) -> std::optional<ChosenEndpoint>;

  // Records the end of an exchange with a chosen endpoint.
  auto Finish(const ChosenEndpoint& aEndpoint,
              ExchangeResult aResult,
              TimePoint aNow) -> void;

  auto RecordLoad(const std::string& aAddress,
                  const LoadReport& aReport,
                  TimePoint aNow) -> void;

  // Records a result outside a chosen exchange, e.g. of a probe.
  auto RecordProbe(const std::string& aAddress,
                   ExchangeResult aResult,
                   TimePoint aNow) -> void;

  // Number of endpoints of the service that are eligible for work, including
  // those at their limit.
  auto UsableCount(const std::string& aService, TimePoint aNow) -> std::size_t;

  // Whether Choose without exclusions would find an endpoint.
  auto HasRoom(const std::string& aService,
               std::uint32_t aLimit,
               TimePoint aNow) -> bool;

  auto List(TimePoint aNow) -> std::vector<EndpointStatus>;

private:
  struct Entry
  {
    EndpointHint mHint;
    Health mHealth;
    std::uint32_t mInFlight = 0;
    std::optional<LoadReport> mReport;
    std::uint32_t mInFlightAtReport = 0;
  };
  struct ServiceState
  {
    std::map<std::string, Entry> mEntries; // by address
    SpillState mSpill;
  };

  auto FindEntry(const std::string& aAddress) -> Entry*;
  auto ToCandidate(const Entry& aEntry,
                   std::uint32_t aLimit,
                   TimePoint aNow) const -> Candidate;
  auto UpdateService(ServiceState& aService, TimePoint aNow) -> void;

  const std::string mOwnDomain;
  const EndpointSetOptions mOptions;
  absl::Mutex mMutex;
  std::map<std::string, ServiceState> mServices;
  Random mRandom;
};

} // namespace mangovalve
