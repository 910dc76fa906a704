// What endpoints state about themselves in their responses.
#include "mangovalve/serving/endpoint_statements.h"

#include <algorithm>
#include <cmath>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include "mangovalve/base/id.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

// The end of a limit is reported for this time, so that a dropped datagram only
// delays it.
constexpr auto kEndReportDuration = std::chrono::seconds(10);

// Statements of endpoints that are not registered are kept for this time. A
// registration that lapses with the store comes back much sooner.
constexpr auto kStatementRetention = std::chrono::minutes(10);

// Statements that are kept of endpoints that are not registered.
constexpr std::size_t kMaxFormerEndpoints = 4096;

// A limit that no host has heard again for this time may have ended unnoticed
// by the hosts that are no senders.
constexpr auto kUnconfirmedAfter = std::chrono::seconds(30);

// A host that started less than this time ago has not heard all peers of its
// domain yet, so it can't tell who the senders are.
constexpr auto kSettlingTime = milliseconds(1500);

// A registration may have been written this long before it is read: endpoints
// write about once a second, and hosts read twice a second. What it says about
// a warm endpoint does not refute a sign of a restart that is newer.
constexpr auto kRegistrationAge = milliseconds(1500);

// Longest cold time that another host may state.
constexpr auto kMaxCold = std::chrono::minutes(10);

// Ends of a cold time that differ by less are logged as one.
constexpr auto kColdTolerance = milliseconds(500);

// An endpoint that turned cold less than this time ago makes reports urgent.
constexpr auto kNewCold = milliseconds(600);

// Rate of an EndpointLimit without a limit.
constexpr double kNoLimit = -1;

auto KeyOf(const Registration& aRegistration) -> std::uint64_t
{
  return StableHash(aRegistration.mId,
                    static_cast<std::uint64_t>(aRegistration.mStartedMs));
}

auto RateText(const std::optional<double>& aRate) -> std::string
{
  return aRate ? absl::StrCat(*aRate) : "none";
}

auto LogLimit(const EndpointStatements& aStatements, std::string_view aSource)
  -> void
{
  LogEvent(Severity::Info,
           "endpoint_limit",
           { { "endpoint", aStatements.mId },
             { "requests_per_s", RateText(aStatements.mLimit.mLatest.mRate) },
             { "source", std::string(aSource) } });
}

// Whether other hosts need the limit, or its end.
auto IsReported(const EndpointStatements& aStatements, TimePoint aNow) -> bool
{
  const auto& limit = aStatements.mLimit;
  return limit.mLatest.mRate || (limit.mChangedAt != TimePoint{} &&
                                 aNow < limit.mChangedAt + kEndReportDuration);
}

template<typename Predicate>
auto LimitsToSend(const ServingState& aState,
                  TimePoint aNow,
                  const Predicate& aIncluded)
  -> std::vector<wire::EndpointLimit>
{
  std::vector<wire::EndpointLimit> limits;
  for (const auto& [key, statements] : aState.mStatements) {
    if (limits.size() >= kMaxLimitsSent) {
      break;
    }
    if (!IsReported(*statements, aNow) || !aIncluded(statements->mSource)) {
      continue;
    }
    const auto& latest = statements->mLimit.mLatest;
    const auto age = std::chrono::duration_cast<milliseconds>(
      std::max<Duration>(aNow - latest.mAt, {}));
    if (age > kStatementRetention) {
      continue;
    }
    limits.emplace_back(key,
                        latest.mRate.value_or(kNoLimit),
                        static_cast<std::uint32_t>(age.count()));
  }
  return limits;
}

// The service of the endpoint if it limits the requests to cold endpoints;
// otherwise null.
auto WarmupOf(const ServingState& aState, const Endpoint& aEndpoint)
  -> const ServingService*
{
  if (!aState.mDocument) {
    return nullptr;
  }
  const auto& services = aState.mDocument->mServices;
  const auto found = services.find(aEndpoint.mRegistration.mService);
  return found != services.end() && found->second.mWarmupRate > 0
           ? &found->second
           : nullptr;
}

// Whether the statement says something else than the latest one.
auto ApplyCold(EndpointStatements& aStatements,
               ColdStatement aStatement,
               StatementSource aSource,
               std::string_view aOrigin,
               TimePoint aNow) -> bool
{
  if (aStatement.mAt <= aStatements.mCold.mAt) {
    return false;
  }
  aStatements.mColdSource = aSource;
  if (!ApplyColdStatement(aStatements.mCold, aStatement, kColdTolerance)) {
    return false;
  }
  aStatements.mColdChangedAt = aNow;
  const auto left = std::chrono::duration_cast<milliseconds>(
    std::max<Duration>(aStatement.mUntil - aNow, {}));
  LogEvent(Severity::Info,
           "endpoint_cold",
           { { "endpoint", aStatements.mId },
             { "left_ms", absl::StrCat(left.count()) },
             { "source", std::string(aOrigin) } });
  return true;
}

// Puts the warm-up limit of the endpoint in force, or ends it.
auto UpdateWarmup(ServingState& aState, Endpoint& aEndpoint, TimePoint aNow)
  -> void
{
  auto& statements = *aEndpoint.mStatements;
  const auto* service =
    IsCold(statements.mCold, aNow) ? WarmupOf(aState, aEndpoint) : nullptr;
  const auto rate =
    service != nullptr ? std::optional(service->mWarmupRate) : std::nullopt;
  if (rate == statements.mLimit.mWarmupRate) {
    return;
  }
  const auto change = rate ? "cold" : "warm";
  FindCounter("mangovalve_endpoint_warmups_total", { { "change", change } })
    .Add();
  LogEvent(Severity::Info,
           "endpoint_warmup",
           { { "endpoint", statements.mId },
             { "change", change },
             { "requests_per_s", RateText(rate) } });
  SetWarmupRate(statements.mLimit, rate, aNow);
}

template<typename Predicate>
auto ColdToSend(const ServingState& aState,
                TimePoint aNow,
                const Predicate& aIncluded) -> std::vector<wire::ColdEndpoint>
{
  std::vector<wire::ColdEndpoint> cold;
  for (const auto& [key, statements] : aState.mStatements) {
    const auto& latest = statements->mCold;
    const auto recent = statements->mColdChangedAt != TimePoint{} &&
                        aNow < statements->mColdChangedAt + kEndReportDuration;
    const auto age = std::chrono::duration_cast<milliseconds>(
      std::max<Duration>(aNow - latest.mAt, {}));
    if (cold.size() >= kMaxLimitsSent || age > kStatementRetention ||
        !aIncluded(statements->mColdSource) ||
        (!IsCold(latest, aNow) && !recent)) {
      continue;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(
      std::max<Duration>(latest.mUntil - aNow, {}));
    cold.emplace_back(key,
                      static_cast<std::uint32_t>(left.count()),
                      static_cast<std::uint32_t>(age.count()));
  }
  return cold;
}

// The hosts of each failure domain, by what this host knows.
struct DomainHosts
{
  std::vector<std::string> mResponsive;
  std::size_t mRegistered = 0;
};

auto HostsByDomain(const ServingState& aState)
  -> std::map<std::string, DomainHosts>
{
  std::map<std::string, DomainHosts> domains;
  const auto add = [&](const std::string& aHost,
                       const std::string& aDomain,
                       bool aResponsive) {
    auto& domain = domains[aDomain];
    ++domain.mRegistered;
    if (aResponsive) {
      domain.mResponsive.push_back(aHost);
    }
  };
  add(aState.mHost, aState.mDomain, true);
  for (const auto& [host, peer] : aState.mFleet.mPeers) {
    add(host, peer.mDomain, !peer.mUnresponsive);
  }
  return domains;
}

// The hosts among which the senders of an endpoint are chosen: those of its
// domain, or all hosts if its domain has none.
auto HostsFor(const std::map<std::string, DomainHosts>& aDomains,
              const std::string& aDomain) -> DomainHosts
{
  const auto own = aDomains.find(aDomain);
  if (own != aDomains.end()) {
    return own->second;
  }
  DomainHosts all;
  for (const auto& [name, domain] : aDomains) {
    all.mRegistered += domain.mRegistered;
    all.mResponsive.insert(all.mResponsive.end(),
                           domain.mResponsive.begin(),
                           domain.mResponsive.end());
  }
  return all;
}

} // namespace

auto StatementsOf(ServingState& aState,
                  const Registration& aRegistration,
                  TimePoint aNow) -> EndpointStatementsPtr
{
  auto& statements = aState.mStatements[KeyOf(aRegistration)];
  if (!statements) {
    statements = std::make_shared<EndpointStatements>();
    statements->mId = aRegistration.mId;
  }
  statements->mRegisteredAt = aNow;
  return statements;
}

auto ForgetStatements(ServingState& aState, TimePoint aNow) -> void
{
  std::size_t former = 0;
  absl::erase_if(aState.mStatements, [&](const auto& aEntry) {
    const auto& statements = aEntry.second;
    if (statements.use_count() > 1) {
      return false;
    }
    const auto binding = statements->mLeaving ||
                         IsLimited(statements->mLimit) ||
                         IsCold(statements->mCold, aNow);
    const auto expired = statements->mRegisteredAt < aNow - kStatementRetention;
    return !binding || expired || ++former > kMaxFormerEndpoints;
  });
}

auto RecordStatements(ServingState& aState,
                      const Endpoint& aEndpoint,
                      const ResponseMetadata& aMetadata,
                      TimePoint aNow) -> void
{
  // The response of another endpoint at this address, or of none, states
  // nothing about this one.
  if (aMetadata.mWrongEndpoint || aMetadata.mId.empty()) {
    return;
  }
  auto& statements = *aEndpoint.mStatements;
  if (aMetadata.mLeaving && !statements.mLeaving) {
    statements.mLeaving = true;
    aState.mPool.CloseIdleConnections(aEndpoint.mRegistration.mAddress);
    LogEvent(Severity::Info,
             "endpoint_leaving",
             { { "endpoint", statements.mId }, { "source", "response" } });
  }
  if (aMetadata.mColdFor && ApplyCold(statements,
                                      { aNow + *aMetadata.mColdFor, aNow },
                                      StatementSource::ThisHost,
                                      "response",
                                      aNow)) {
    UpdateLimitParts(aState, aNow);
  }
  if (aMetadata.mLimitUnreadable) {
    LogEvent(Severity::Warn,
             "endpoint_limit_unreadable",
             { { "endpoint", statements.mId }, { "id", aMetadata.mId } });
    return;
  }
  statements.mSource = StatementSource::ThisHost;
  if (ApplyStatement(
        statements.mLimit, LimitStatement{ aMetadata.mLimit, aNow }, aNow)) {
    LogLimit(statements, "response");
    UpdateLimitParts(aState, aNow);
  }
}

auto LimitsForReport(const ServingState& aState, TimePoint aNow)
  -> std::vector<wire::EndpointLimit>
{
  return LimitsToSend(aState, aNow, [](StatementSource aSource) {
    return aSource == StatementSource::ThisHost;
  });
}

auto LimitsForSummary(const ServingState& aState, TimePoint aNow)
  -> std::vector<wire::EndpointLimit>
{
  return LimitsToSend(aState, aNow, [](StatementSource aSource) {
    return aSource != StatementSource::OtherDomain;
  });
}

auto ApplyLimits(ServingState& aState,
                 std::span<const wire::EndpointLimit> aLimits,
                 const std::string& aDomain,
                 TimePoint aNow) -> void
{
  auto changed = false;
  for (const auto& copy : aLimits) {
    const auto found = aState.mStatements.find(copy.endpoint());
    if (found == aState.mStatements.end() || !std::isfinite(copy.rate())) {
      continue;
    }
    auto& statements = *found->second;
    LimitStatement statement;
    statement.mAt = aNow - milliseconds(copy.age_ms());
    if (copy.rate() >= 0) {
      statement.mRate = copy.rate();
    }
    if (statement.mAt <= statements.mLimit.mLatest.mAt) {
      continue;
    }
    statements.mSource = aDomain == aState.mDomain
                           ? StatementSource::OwnDomain
                           : StatementSource::OtherDomain;
    if (ApplyStatement(statements.mLimit, statement, aNow)) {
      LogLimit(statements, aDomain);
      changed = true;
    }
  }
  if (changed) {
    UpdateLimitParts(aState, aNow);
  }
}

auto RepeatLimits(ServingState& aState, TimePoint aNow) -> void
{
  for (auto& [key, statements] : aState.mStatements) {
    auto& limit = statements->mLimit;
    if (limit.mChangedAt != TimePoint{}) {
      limit.mChangedAt = aNow;
    }
  }
}

auto RecordRegistration(ServingState& aState,
                        const Endpoint& aEndpoint,
                        bool aIsNew,
                        TimePoint aNow) -> void
{
  const auto coldFor = aEndpoint.mRegistration.mColdFor;
  if (coldFor.count() > 0) {
    ApplyCold(*aEndpoint.mStatements,
              { aNow + coldFor, aNow },
              StatementSource::ThisHost,
              "registration",
              aNow);
  } else if (aIsNew && aState.mKnowsEndpoints) {
    MarkCold(aState, aEndpoint, "new", aNow);
  } else if (aState.mDirectory.mStoreReachable &&
             aNow >= aState.mDirectory.mStoreRecoveredAt + kRegistrationAge) {
    // Records that are read after an outage may be much older.
    const auto at = aNow - kRegistrationAge;
    ApplyCold(*aEndpoint.mStatements,
              { at, at },
              StatementSource::ThisHost,
              "registration",
              aNow);
  }
}

auto RecordRenewal(ServingState& aState, const std::string& aId, TimePoint aNow)
  -> void
{
  const auto entry = aState.mDirectory.mEntries.find(aId);
  if (entry == aState.mDirectory.mEntries.end()) {
    return;
  }
  const auto& registration = entry->second.mRegistration;
  const auto pool = aState.mPools.find(registration.mService);
  if (pool == aState.mPools.end()) {
    return;
  }
  const auto endpoint = pool->second.mById.find(aId);
  if (endpoint != pool->second.mById.end() &&
      endpoint->second->mRegistration == registration) {
    RecordRegistration(aState, *endpoint->second, false, aNow);
  }
}

auto MarkCold(ServingState& aState,
              const Endpoint& aEndpoint,
              std::string_view aSign,
              TimePoint aNow) -> void
{
  const auto* service = WarmupOf(aState, aEndpoint);
  if (service != nullptr) {
    ApplyCold(*aEndpoint.mStatements,
              { aNow + service->mWarmup, aNow },
              StatementSource::ThisHost,
              aSign,
              aNow);
    UpdateLimitParts(aState, aNow);
  }
}

auto ColdForReport(const ServingState& aState, TimePoint aNow)
  -> std::vector<wire::ColdEndpoint>
{
  return ColdToSend(aState, aNow, [](StatementSource aSource) {
    return aSource == StatementSource::ThisHost;
  });
}

auto ColdForSummary(const ServingState& aState, TimePoint aNow)
  -> std::vector<wire::ColdEndpoint>
{
  return ColdToSend(aState, aNow, [](StatementSource aSource) {
    return aSource != StatementSource::OtherDomain;
  });
}

auto ApplyColdEndpoints(ServingState& aState,
                        std::span<const wire::ColdEndpoint> aCold,
                        const std::string& aDomain,
                        TimePoint aNow) -> void
{
  auto changed = false;
  for (const auto& copy : aCold) {
    const auto found = aState.mStatements.find(copy.endpoint());
    const milliseconds age(copy.age_ms());
    const milliseconds left(copy.left_ms());
    if (found == aState.mStatements.end() || age > kStatementRetention) {
      continue;
    }
    const ColdStatement statement{ left.count() > 0
                                     ? aNow +
                                         std::min<milliseconds>(left, kMaxCold)
                                     : aNow - age,
                                   aNow - age };
    const auto source = aDomain == aState.mDomain
                          ? StatementSource::OwnDomain
                          : StatementSource::OtherDomain;
    changed =
      ApplyCold(*found->second, statement, source, aDomain, aNow) || changed;
  }
  if (changed) {
    UpdateLimitParts(aState, aNow);
  }
}

auto AnyNewCold(const ServingState& aState, TimePoint aNow) -> bool
{
  return std::any_of(aState.mStatements.begin(),
                     aState.mStatements.end(),
                     [&](const auto& aEntry) {
                       const auto& statements = *aEntry.second;
                       return statements.mColdSource ==
                                StatementSource::ThisHost &&
                              IsCold(statements.mCold, aNow) &&
                              aNow < statements.mColdChangedAt + kNewCold;
                     });
}

auto UpdateLimitParts(ServingState& aState, TimePoint aNow) -> void
{
  std::optional<std::map<std::string, DomainHosts>> domains;
  for (const auto& [service, pool] : aState.mPools) {
    for (const auto& endpoint : pool.mEndpoints) {
      auto& limit = endpoint->mStatements->mLimit;
      UpdateWarmup(aState, *endpoint, aNow);
      if (!IsLimited(limit)) {
        continue;
      }
      if (!domains) {
        domains = HostsByDomain(aState);
      }
      const auto hosts = HostsFor(*domains, endpoint->mRegistration.mDomain);
      const SenderView view{ aState.mHost,
                             hosts.mResponsive,
                             hosts.mRegistered };
      const auto settled = aNow >= aState.mStartedAt + kSettlingTime;
      const auto chosen = std::find(hosts.mResponsive.begin(),
                                    hosts.mResponsive.end(),
                                    aState.mHost) != hosts.mResponsive.end();
      const auto& id = endpoint->mRegistration.mId;
      const auto& stated = limit.mLatest.mRate;
      const auto& warmup = limit.mWarmupRate;
      double part = 0;
      if (settled && chosen) {
        part = warmup ? PartOfWarmup(id, *warmup, stated, view)
                      : PartOfLimit(id, *stated, view);
      }
      if (part <= 0 && !warmup &&
          aNow > limit.mLatest.mAt + kUnconfirmedAfter) {
        part = kMinEndpointRate /
               static_cast<double>(aState.mFleet.mPeers.size() + 1);
      }
      SetPart(limit, part, aNow);
    }
  }
}

auto LimitsOf(const ServingState& aState,
              const ServicePool& aPool,
              TimePoint aNow) -> LimitedService
{
  LimitedService service;
  for (const auto& endpoint : aPool.mEndpoints) {
    const auto& limit = endpoint->mStatements->mLimit;
    if (!IsLimited(limit) || !IsAvailable(aState, *endpoint, aNow)) {
      continue;
    }
    ++service.mEndpoints;
    service.mRate += AllowedRate(limit).value_or(0);
    service.mPart += limit.mPart;
    service.mNextAt = std::min(service.mNextAt, limit.mNextAt);
  }
  return service;
}

} // namespace mangovalve
