// Tests of the statements of endpoints and of their exchange between hosts.
#include "mangovalve/serving/endpoint_statements.h"

#include <limits>
#include <memory>
#include <string>

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kService = "llm";

auto MakeRegistration(std::int64_t aStartedMs, const std::string& aDomain = "a")
  -> Registration
{
  Registration registration;
  registration.mId = "e";
  registration.mService = kService;
  registration.mAddress = "127.0.0.1:1";
  registration.mDomain = aDomain;
  registration.mSlots = 8;
  registration.mStartedMs = aStartedMs;
  return registration;
}

// A host that has been running for long and knows the endpoint.
struct Host
{
  asio::io_context mLoop;
  ServingState mState{ mLoop };
  std::uint64_t mSequence = 0;

  Host(const std::string& aAddress, const std::string& aDomain, TimePoint aNow)
  {
    mState.mHost = aAddress;
    mState.mDomain = aDomain;
    mState.mStartedAt = aNow - seconds(60);
    mState.mDocument = std::make_shared<ServingDocument>();
    Register(mState.mDirectory, MakeRegistration(1));
    SyncPools(mState, aNow);
  }

  auto Endpoint() -> EndpointPtr { return mState.mPools[kService].mById["e"]; }
  auto Limit() -> const EndpointLimit&
  {
    return Endpoint()->mStatements->mLimit;
  }

  // Gets a response of the endpoint.
  auto Hear(std::optional<double> aLimit, TimePoint aNow, bool aLeaving = false)
    -> void
  {
    ResponseMetadata metadata;
    metadata.mId = "request";
    metadata.mLimit = aLimit;
    metadata.mLeaving = aLeaving;
    RecordStatements(mState, *Endpoint(), metadata, aNow);
  }

  auto Report(TimePoint aNow) -> wire::LoadReportT
  {
    auto report = OwnReport(mState, aNow);
    report.incarnation = 1;
    report.sequence = ++mSequence;
    return report;
  }

  auto Summary(TimePoint aNow) -> wire::DomainSummaryT
  {
    auto summary = OwnSummary(mState, Report(aNow), aNow);
    summary.incarnation = 1;
    summary.sequence = ++mSequence;
    return summary;
  }

  auto IsUsable(LimitedUse aUse, TimePoint aNow) -> bool
  {
    return Candidates(mState, mState.mPools[kService], aUse, aNow)[0].mUsable;
  }
};

// Guards against hosts that learn of a limit, of another one or of its end only
// by sending to the endpoint, and against one that comes back from a report
// which was sent before.
TEST_CASE("reports and summaries carry the newest limit, and its end")
{
  const auto start = Clock::now();
  Host first("10.0.0.1:1", "a", start);
  Host second("10.0.0.2:1", "a", start);
  Host other("10.0.1.1:1", "b", start);
  const auto exchange = [&](TimePoint aNow) {
    ApplyPeerReport(second.mState, first.Report(aNow), 9, aNow);
    ApplyPeerReport(first.mState, second.Report(aNow), 9, aNow);
    ApplyPeerSummary(other.mState, first.Summary(aNow), aNow);
  };
  first.Hear(2.5, start);
  exchange(start + milliseconds(100));
  CHECK(second.Limit().mLatest.mRate == 2.5);
  CHECK(other.Limit().mLatest.mRate == 2.5);

  // The other host of the domain hears a lower limit.
  const auto outdated = first.Report(start + seconds(1));
  second.Hear(1.5, start + milliseconds(1500));
  exchange(start + seconds(2));
  exchange(start + milliseconds(2100));
  CHECK(first.Limit().mLatest.mRate == 1.5);
  CHECK(other.Limit().mLatest.mRate == 1.5);

  second.Hear(std::nullopt, start + seconds(3));
  exchange(start + milliseconds(3100));
  exchange(start + milliseconds(3200));
  CHECK_FALSE(IsLimited(first.Limit()));
  CHECK_FALSE(IsLimited(other.Limit()));

  // A report with the first limit arrives very late, by its own account.
  auto late = outdated;
  late.sequence = 1000;
  late.limits = { wire::EndpointLimit(
    late.limits.at(0).endpoint(), 2.5, 3000) };
  ApplyPeerReport(second.mState, late, 9, start + milliseconds(3300));
  CHECK_FALSE(IsLimited(second.Limit()));

  // The end of a limit is not reported for ever.
  CHECK_FALSE(second.Report(start + seconds(4)).limits.empty());
  CHECK(second.Report(start + seconds(30)).limits.empty());
}

// Guards against summaries that pass on what other domains have sent, so that
// an old limit would circulate.
TEST_CASE("a limit from another domain is not passed on")
{
  const auto start = Clock::now();
  Host first("10.0.0.1:1", "a", start);
  Host other("10.0.1.1:1", "b", start);
  first.Hear(2.5, start);
  ApplyPeerSummary(other.mState, first.Summary(start), start);
  REQUIRE(IsLimited(other.Limit()));
  CHECK(other.Report(start).limits.empty());
  CHECK(other.Summary(start).limits.empty());
}

// Guards against reports that stop the daemon or state limits that nobody has
// named.
TEST_CASE("unusable limits in reports are ignored")
{
  const auto start = Clock::now();
  Host host("10.0.0.1:1", "a", start);
  const auto key = host.mState.mStatements.begin()->first;
  wire::LoadReportT report;
  report.host = "10.0.0.2:1";
  report.domain = "a";
  report.incarnation = 1;
  report.sequence = 1;
  report.limits = {
    wire::EndpointLimit(key, std::numeric_limits<double>::quiet_NaN(), 0),
    wire::EndpointLimit(key, std::numeric_limits<double>::infinity(), 0),
    wire::EndpointLimit(key + 1, 2, 0),
    wire::EndpointLimit(key, -7, 0),
  };
  ApplyPeerReport(host.mState, report, 9, start);
  CHECK_FALSE(IsLimited(host.Limit()));
  CHECK(host.mState.mStatements.size() == 1);
}

// Guards against a limit that is taken from an endpoint which now uses the
// address, from an answer without an id, or from one that can't be read.
TEST_CASE("only responses of the endpoint itself state its limit")
{
  const auto start = Clock::now();
  Host host("10.0.0.1:1", "a", start);
  ResponseMetadata metadata;
  metadata.mId = "request";
  metadata.mLimit = 1;
  metadata.mLeaving = true;
  metadata.mWrongEndpoint = true;
  RecordStatements(host.mState, *host.Endpoint(), metadata, start);
  metadata.mWrongEndpoint = false;
  metadata.mId = "";
  RecordStatements(host.mState, *host.Endpoint(), metadata, start);
  CHECK_FALSE(IsLimited(host.Limit()));
  CHECK_FALSE(host.Endpoint()->mStatements->mLeaving);

  host.Hear(2, start);
  ResponseMetadata unreadable;
  unreadable.mId = "request";
  unreadable.mLimitUnreadable = true;
  RecordStatements(
    host.mState, *host.Endpoint(), unreadable, start + seconds(1));
  CHECK(host.Limit().mLatest.mRate == 2);
}

// Guards against limits that are forgotten with a registration that lapses, and
// against a later start that inherits them.
TEST_CASE("a limit lasts as long as the start of its endpoint")
{
  const auto start = Clock::now();
  Host host("10.0.0.1:1", "a", start);
  host.Hear(0.5, start);
  auto& directory = host.mState.mDirectory;
  Unregister(directory, "e", start);
  SyncPools(host.mState, start + seconds(3));
  REQUIRE(host.mState.mPools[kService].mEndpoints.empty());
  Register(directory, MakeRegistration(1));
  SyncPools(host.mState, start + seconds(60));
  CHECK(host.Limit().mLatest.mRate == 0.5);
  Register(directory, MakeRegistration(2));
  SyncPools(host.mState, start + seconds(61));
  CHECK_FALSE(IsLimited(host.Limit()));

  // Without a registration it is forgotten in the end.
  Unregister(directory, "e", start + seconds(63));
  SyncPools(host.mState, start + seconds(66));
  Register(directory, MakeRegistration(3));
  SyncPools(host.mState, start + std::chrono::minutes(30));
  CHECK(host.mState.mStatements.size() == 1);
}

// Guards against requests to a leaving endpoint whose old record comes back,
// and against a later start that is taken for it.
TEST_CASE("an endpoint is leaving until its end, whatever its records say")
{
  const auto start = Clock::now();
  Host host("10.0.0.1:1", "a", start);
  const auto usable = [&](Duration aAfter) {
    return host.IsUsable(LimitedUse::Needed, start + aAfter);
  };
  CHECK(usable(seconds(0)));
  host.Hear(std::nullopt, start, true);
  CHECK_FALSE(usable(seconds(0)));
  // A later answer without the statement takes nothing back.
  host.Hear(std::nullopt, start + seconds(1));
  CHECK_FALSE(usable(seconds(30)));

  auto& directory = host.mState.mDirectory;
  Unregister(directory, "e", start + seconds(31));
  SyncPools(host.mState, start + seconds(34));
  REQUIRE(host.mState.mPools[kService].mEndpoints.empty());
  Register(directory, MakeRegistration(1));
  SyncPools(host.mState, start + seconds(35));
  CHECK_FALSE(usable(seconds(35)));

  Register(directory, MakeRegistration(2));
  SyncPools(host.mState, start + seconds(36));
  CHECK(usable(seconds(36)));
  Register(directory, MakeRegistration(1));
  SyncPools(host.mState, start + seconds(37));
  CHECK_FALSE(usable(seconds(37)));
}

// Guards against senders outside the endpoint's domain beside those inside, and
// against an endpoint that has no senders because its domain has no hosts.
TEST_CASE("hosts of other domains send only if the endpoint's domain has none")
{
  const auto start = Clock::now();
  Host other("10.0.1.1:1", "b", start);
  AddPeer(other.mState.mFleet, "10.0.0.1:1", "a", start);
  other.Hear(1, start);
  UpdatePeerLiveness(other.mState, start);
  CHECK(other.Limit().mPart == 0);
  // Silent for a while: it may be a cut, behind which the host sends.
  UpdatePeerLiveness(other.mState, start + seconds(5));
  CHECK(other.Limit().mPart == 0);
  UpdatePeerLiveness(other.mState, start + seconds(20));
  CHECK(other.Limit().mPart == 1);
}

// Guards against a host that has just started, hears nobody yet and therefore
// uses the whole limit.
TEST_CASE("a host that has just started is no sender")
{
  const auto start = Clock::now();
  Host host("10.0.0.1:1", "a", start);
  host.mState.mStartedAt = start;
  host.Hear(1, start);
  CHECK(host.Limit().mPart == 0);
  UpdateLimitParts(host.mState, start + seconds(2));
  CHECK(host.Limit().mPart == 1);
}

// Guards against batch items that use up the requests of a limit while online
// requests need them, and against items that never get any.
TEST_CASE("batch items get what online requests leave of a limit")
{
  const auto start = Clock::now();
  Host host("10.0.0.1:1", "a", start);
  host.Hear(1, start);
  REQUIRE(host.Limit().mPart == 1);
  CHECK_FALSE(host.IsUsable(LimitedUse::Needed, start + milliseconds(900)));
  CHECK(host.IsUsable(LimitedUse::Needed, start + milliseconds(1100)));
  CHECK_FALSE(host.IsUsable(LimitedUse::Spare, start + milliseconds(2900)));
  CHECK(host.IsUsable(LimitedUse::Spare, start + milliseconds(3100)));
}

// Guards against a host that was cut off while a limit ended and never learns
// of the end, because it sends nothing to the endpoint.
TEST_CASE("a host that is heard again is told of limits that have ended")
{
  const auto start = Clock::now();
  Host first("10.0.0.1:1", "a", start);
  Host cut("10.0.0.2:1", "a", start);
  first.Hear(1, start);
  ApplyPeerReport(cut.mState, first.Report(start), 9, start);
  ApplyPeerReport(first.mState, cut.Report(start), 9, start);
  REQUIRE(IsLimited(cut.Limit()));

  const auto later = start + seconds(60);
  first.Hear(std::nullopt, start + seconds(5));
  first.Hear(std::nullopt, later);
  UpdatePeerLiveness(first.mState, start + seconds(4));
  ApplyPeerReport(first.mState, cut.Report(later), 9, later);
  ApplyPeerReport(cut.mState, first.Report(later), 9, later);
  CHECK_FALSE(IsLimited(first.Limit()));
  CHECK_FALSE(IsLimited(cut.Limit()));
}

// The same for a host that could not hear the others although they heard it,
// and against many hosts that all try an endpoint at once.
TEST_CASE("a limit that nobody has confirmed for long is tried by all hosts")
{
  const auto start = Clock::now();
  auto total = 0.0;
  constexpr auto kHosts = 40;
  const auto address = [](int aIndex) {
    return "10.0.0." + std::to_string(aIndex) + ":1";
  };
  for (auto self = 0; self < kHosts; ++self) {
    Host host(address(self), "a", start);
    for (auto peer = 0; peer < kHosts; ++peer) {
      if (peer != self) {
        AddPeer(host.mState.mFleet, address(peer), "a", start);
        host.mState.mFleet.mPeers[address(peer)].mUnresponsive = false;
      }
    }
    host.Hear(0, start);
    const auto before = host.Limit().mPart;
    UpdateLimitParts(host.mState, start + seconds(31));
    CHECK(host.Limit().mPart > 0);
    total += before > 0 ? 0 : host.Limit().mPart;
  }
  CHECK(total <= kMinEndpointRate);
}

// Guards against a limit that seems to be younger with each report.
TEST_CASE("a limit that is not confirmed for ten minutes is not reported")
{
  const auto start = Clock::now();
  Host host("10.0.0.1:1", "a", start);
  host.Hear(1, start);
  const auto late = host.Report(start + std::chrono::minutes(9));
  REQUIRE(late.limits.size() == 1);
  CHECK(late.limits[0].age_ms() == 9 * 60 * 1000);
  CHECK(host.Report(start + std::chrono::minutes(11)).limits.empty());
}

// Guards against a limit that is taken for a failure of the endpoint.
TEST_CASE("a limit that allows no request leaves the endpoint healthy")
{
  const auto start = Clock::now();
  Host host("10.0.0.1:1", "a", start);
  host.Hear(1, start);
  CHECK_FALSE(host.IsUsable(LimitedUse::Needed, start));
  CHECK(IsAvailable(host.mState, *host.Endpoint(), start));
  const auto& health = host.Endpoint()->mHealth;
  CHECK(health.mConsecutiveFailures == 0);
  CHECK(SlowStartShare(health, host.mState.mHealth, start) == 1);
}

// A host whose document limits the requests to cold endpoints, and which has
// read the whole table.
struct WarmupHost : Host
{
  WarmupHost(const std::string& aAddress,
             const std::string& aDomain,
             TimePoint aNow)
    : Host(aAddress, aDomain, aNow)
  {
    auto document = std::make_shared<ServingDocument>();
    auto& service = document->mServices[kService];
    service.mName = kService;
    service.mWarmup = milliseconds(3500);
    service.mWarmupRate = 6.9;
    mState.mDocument = std::move(document);
    Read(MakeRegistration(1), aNow);
  }

  auto Read(const Registration& aRegistration, TimePoint aNow) -> void
  {
    ReplaceAll(mState.mDirectory, { aRegistration }, aNow);
    SyncPools(mState, aNow);
    UpdateLimitParts(mState, aNow);
  }
};

// Guards against endpoints that are throttled although nothing says that they
// are cold, and against a new incarnation that is not.
TEST_CASE("a new incarnation is cold, endpoints of the first table are warm")
{
  const auto start = Clock::now();
  WarmupHost host("10.0.0.1:1", "a", start);
  CHECK_FALSE(IsLimited(host.Limit()));
  host.Read(MakeRegistration(2), start + seconds(5));
  CHECK(host.Limit().mWarmupRate == 6.9);
  CHECK_FALSE(host.IsUsable(LimitedUse::Needed, start + seconds(5)));
  // It is warm when its time has passed.
  UpdateLimitParts(host.mState, start + milliseconds(8600));
  CHECK_FALSE(IsLimited(host.Limit()));
  CHECK(host.IsUsable(LimitedUse::Spare, start + milliseconds(8600)));
  // Without a warm-up rate nothing changes.
  Host other("10.0.0.2:1", "a", start);
  ReplaceAll(other.mState.mDirectory, { MakeRegistration(2) }, start);
  SyncPools(other.mState, start);
  ReplaceAll(other.mState.mDirectory, { MakeRegistration(3) }, start);
  SyncPools(other.mState, start);
  MarkCold(other.mState, *other.Endpoint(), "connection_lost", start);
  CHECK_FALSE(IsLimited(other.Limit()));
}

// Guards against an old record that makes a crashed endpoint warm, and against
// an endpoint that stays cold although its renewed registration says otherwise.
TEST_CASE("a sign of a restart holds until the registration is renewed later")
{
  const auto start = Clock::now();
  WarmupHost host("10.0.0.1:1", "a", start);
  auto now = start + seconds(5);
  MarkCold(host.mState, *host.Endpoint(), "connection_lost", now);
  CHECK(IsLimited(host.Limit()));
  RecordRenewal(host.mState, "e", now + seconds(1));
  UpdateLimitParts(host.mState, now + seconds(1));
  CHECK(IsLimited(host.Limit()));
  RecordRenewal(host.mState, "e", now + seconds(2));
  UpdateLimitParts(host.mState, now + seconds(2));
  CHECK_FALSE(IsLimited(host.Limit()));

  // Records that are read after an outage may be older.
  now = start + seconds(20);
  MarkCold(host.mState, *host.Endpoint(), "connection_lost", now);
  RecordStoreContact(host.mState.mDirectory, false, now);
  RecordRenewal(host.mState, "e", now + seconds(2));
  UpdateLimitParts(host.mState, now + seconds(2));
  CHECK(IsLimited(host.Limit()));

  // What the registration states counts from when it was read.
  RecordStoreContact(host.mState.mDirectory, true, now + seconds(3));
  auto cold = MakeRegistration(1);
  cold.mColdFor = milliseconds(1200);
  now = start + seconds(30);
  host.Read(cold, now);
  CHECK(IsLimited(host.Limit()));
  UpdateLimitParts(host.mState, now + milliseconds(1300));
  CHECK_FALSE(IsLimited(host.Limit()));
}

// Guards against hosts that fill a cold endpoint because only another host has
// noticed, and against a cold time that circulates between domains.
TEST_CASE("reports and summaries carry the cold time, and its end")
{
  const auto start = Clock::now();
  WarmupHost first("10.0.0.1:1", "a", start);
  WarmupHost second("10.0.0.2:1", "a", start);
  WarmupHost other("10.0.1.1:1", "b", start);
  const auto exchange = [&](TimePoint aNow) {
    ApplyPeerReport(second.mState, first.Report(aNow), 9, aNow);
    ApplyPeerSummary(other.mState, first.Summary(aNow), aNow);
  };
  const auto now = start + seconds(5);
  MarkCold(first.mState, *first.Endpoint(), "connection_refused", now);
  CHECK(AnyNewCold(first.mState, now));
  exchange(now + milliseconds(100));
  CHECK(IsLimited(second.Limit()));
  CHECK(IsLimited(other.Limit()));
  CHECK_FALSE(AnyNewCold(second.mState, now + milliseconds(100)));
  CHECK(second.Report(now + milliseconds(100)).cold.empty());
  CHECK(other.Summary(now + milliseconds(100)).cold.empty());

  ResponseMetadata warm;
  warm.mId = "request";
  warm.mColdFor = milliseconds(0);
  RecordStatements(first.mState, *first.Endpoint(), warm, now + seconds(1));
  CHECK_FALSE(IsLimited(first.Limit()));
  exchange(now + milliseconds(1100));
  CHECK_FALSE(IsLimited(second.Limit()));
  CHECK_FALSE(IsLimited(other.Limit()));
}

} // namespace
} // namespace mangovalve
