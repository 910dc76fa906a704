// Recognizes crashes of endpoints.
#include "mangovalve/serving/endpoint_crash.h"

#include <algorithm>
#include <chrono>

#include <absl/strings/str_cat.h>

#include "mangovalve/base/id.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

// A run that has lost its connection waits this long for its next attempt if
// the endpoint can't be reached.
constexpr auto kProbeTimeout = milliseconds(150);

// A process that ends may close its connections before its listener. A new
// connection is then accepted, and closed within this time.
constexpr auto kEndOfProcess = milliseconds(20);

// Time for which an unused connection is kept.
constexpr auto kIdleTime = std::chrono::seconds(2);

// Whether the endpoint's address refuses connections. False if this is not
// known by aDeadline.
auto RefusesConnections(ServingState& aState,
                        const Endpoint& aEndpoint,
                        TimePoint aDeadline) -> Task<bool>
{
  const auto address = aEndpoint.mRegistration.mAddress;
  auto connection =
    co_await aState.mPool.Acquire(address, TimePoint::max(), aDeadline);
  if (connection) {
    co_await SleepUntil(std::min(Clock::now() + kEndOfProcess, aDeadline));
    aState.mPool.Release(std::move(*connection),
                         Clock::now() + kIdleTime,
                         IdleConnectionLimit(aState, aEndpoint));
    // Connections that the endpoint has closed are not taken from the pool.
    connection =
      co_await aState.mPool.Acquire(address, TimePoint::min(), aDeadline);
  }
  if (connection) {
    aState.mPool.Release(std::move(*connection),
                         Clock::now() + kIdleTime,
                         IdleConnectionLimit(aState, aEndpoint));
    co_return false;
  }
  co_return connection.error() == asio::error::connection_refused;
}

auto IsLeaving(const Endpoint& aEndpoint, TimePoint aNow) -> bool
{
  return aEndpoint.mRemoved || aEndpoint.mRegistration.mLeaving ||
         aEndpoint.mStatements->mLeaving ||
         aNow < aEndpoint.mHealth.mLeavingUntil;
}

// A request may run several times at one endpoint, so the time is part of the
// id.
auto RunId(const LostRun& aRun, const Endpoint& aEndpoint) -> std::uint64_t
{
  return StableHash(absl::StrCat(aRun.mRequestId,
                                 "\n",
                                 aEndpoint.mRegistration.mId,
                                 "\n",
                                 aRun.mLostAt.time_since_epoch().count()));
}

auto ToPartSet(std::vector<PartHash> aParts) -> PartSet
{
  std::sort(aParts.begin(), aParts.end());
  aParts.erase(std::unique(aParts.begin(), aParts.end()), aParts.end());
  return aParts;
}

} // namespace

auto WholeRequestHash(const RequestMetadata& aMetadata,
                      const Request& aRequest,
                      std::string_view aTeam) -> PartHash
{
  const auto method = aRequest.method_string();
  const auto target = aRequest.target();
  // Only the body may contain the separator, so it is hashed by itself.
  const auto text =
    absl::StrCat(absl::string_view(method.data(), method.size()),
                 "\n",
                 aMetadata.mHost,
                 "\n",
                 absl::string_view(target.data(), target.size()),
                 "\n",
                 absl::string_view(aTeam.data(), aTeam.size()));
  return StableHash(text, StableHash(aRequest.body())) | kWholeRequest;
}

auto EndedByEndpoint(const ErrorCode& aError) -> bool
{
  return aError == http::error::end_of_stream ||
         aError == http::error::partial_message || aError == asio::error::eof ||
         aError == asio::error::connection_reset ||
         aError == asio::error::connection_aborted ||
         aError == asio::error::broken_pipe;
}

auto RecordIfCrashed(ServingState& aState,
                     EndpointPtr aEndpoint,
                     LostRun aRun,
                     TimePoint aDeadline) -> Task<bool>
{
  const auto now = Clock::now();
  if (aRun.mParts.empty() || IsLeaving(*aEndpoint, now)) {
    co_return false;
  }
  const auto refuses = co_await RefusesConnections(
    aState, *aEndpoint, std::min(now + kProbeTimeout, aDeadline));
  if (!refuses || IsLeaving(*aEndpoint, Clock::now())) {
    co_return false;
  }
  LogEvent(Severity::Warn,
           "endpoint_crashed",
           { { "id", aRun.mRequestId },
             { "endpoint", aEndpoint->mRegistration.mId },
             { "parts", FormatHashes(aRun.mParts) } });
  // One crash loses several runs; it must not raise the backoff with each.
  if (aEndpoint->mHealth.mRefusedUntil <= Clock::now()) {
    RecordExchange(aState, *aEndpoint, ExchangeResult::Refused);
  }
  CrashedRun crashed;
  crashed.mId = RunId(aRun, *aEndpoint);
  crashed.mAt = aRun.mLostAt;
  crashed.mSentAt = aRun.mSentAt;
  crashed.mParts = ToPartSet(std::move(aRun.mParts));
  const auto quarantines = RecordCrash(
    aState.mSuspects, std::move(crashed), aState.mSuspectPolicy, Clock::now());
  for (const auto& quarantine : quarantines) {
    LogEvent(Severity::Warn,
             "quarantine",
             { { "parts", FormatHashes(quarantine.mParts) },
               { "endpoint", aEndpoint->mRegistration.mId } });
  }
  co_return true;
}

auto QuarantinedUntil(const CrashSuspects& aSuspects,
                      std::span<const PartHash> aParts,
                      TimePoint aNow) -> std::optional<TimePoint>
{
  if (!IsQuarantined(aSuspects, aParts, aNow)) {
    return std::nullopt;
  }
  auto until = aNow;
  for (const auto& quarantine : aSuspects.mQuarantines) {
    const auto matches = std::all_of(
      quarantine.mParts.begin(), quarantine.mParts.end(), [&](PartHash aPart) {
        return std::find(aParts.begin(), aParts.end(), aPart) != aParts.end();
      });
    until = matches ? std::max(until, quarantine.mUntil) : until;
  }
  return until;
}

} // namespace mangovalve
