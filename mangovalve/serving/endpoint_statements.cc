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
  return IsLimited(limit) || (limit.mChangedAt != TimePoint{} &&
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
    const auto binding = statements->mLeaving || IsLimited(statements->mLimit);
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

auto UpdateLimitParts(ServingState& aState, TimePoint aNow) -> void
{
  std::optional<std::map<std::string, DomainHosts>> domains;
  for (const auto& [service, pool] : aState.mPools) {
    for (const auto& endpoint : pool.mEndpoints) {
      auto& limit = endpoint->mStatements->mLimit;
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
      auto part =
        settled && chosen
          ? PartOfLimit(endpoint->mRegistration.mId, *limit.mLatest.mRate, view)
          : 0;
      if (part <= 0 && aNow > limit.mLatest.mAt + kUnconfirmedAfter) {
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
    service.mRate += *limit.mLatest.mRate;
    service.mPart += limit.mPart;
    service.mNextAt = std::min(service.mNextAt, limit.mNextAt);
  }
  return service;
}

} // namespace mangovalve
