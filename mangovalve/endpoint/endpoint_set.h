// EndpointSet: the endpoints that this host knows, and which of them may get
// work.
//
// The platform's host list lags and is only a hint: it introduces endpoints and
// marks leaving ones. Refused connections and answers decide. An endpoint that
// refuses connections or answers that it is leaving gets no new work at once,
// whatever the list says.
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
  Ejected, // an outlier, or it refuses connections
};

struct LoadReport
{
  double mRunning = 0;
  double mWaiting = 0;
  bool mLeaving = false;
  TimePoint mRequestedAt; // when the report was asked for, by this host's clock
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
  // A report older than this no longer counts.
  Duration mMaxReportAge = std::chrono::seconds(3);
  // Of random choices; 0 takes one from the system's entropy, because hosts
  // must not make the same choices.
  std::uint64_t mSeed = 0;
};

// A chosen endpoint, counted as in flight until Finish.
struct ChosenEndpoint
{
  std::string mService;
  std::string mAddress;
  std::string mDomain;
};

// Callers on any thread.
class EndpointSet
{
public:
  explicit EndpointSet(std::string aOwnDomain,
                       EndpointSetOptions aOptions = {});

  // Takes over the platform's list. Endpoints missing from it count as leaving,
  // except when the list lacks every endpoint of a service: an empty list is
  // more likely a fault of the list.
  auto ApplyHostList(const std::vector<EndpointHint>& aList) -> void;

  // Chooses an endpoint of the service with room under aLimit requests each.
  // aExclude lists addresses that this request has already tried.
  auto Choose(const std::string& aService,
              std::uint32_t aLimit,
              std::uint64_t aPrefix,
              const std::vector<std::string>& aExclude,
              TimePoint aNow) -> std::optional<ChosenEndpoint>;

  // Notes the end of an exchange with a chosen endpoint.
  auto Finish(const ChosenEndpoint& aEndpoint,
              ExchangeResult aResult,
              TimePoint aNow) -> void;

  auto RecordLoad(const std::string& aAddress,
                  const LoadReport& aReport,
                  TimePoint aNow) -> void;

  // Notes a result that is not the end of a chosen exchange, e.g. of a probe.
  auto RecordProbe(const std::string& aAddress,
                   ExchangeResult aResult,
                   TimePoint aNow) -> void;

  // Endpoints of the service that may get work now, with room or without.
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
