// A fleet of replicas in virtual time.
#include "bench/config_fleet.h"

#include <algorithm>

#include "mangovalve/base/id.h"

namespace mangovalve::bench {
namespace {

using std::chrono::milliseconds;

// Latencies of the sample deployment: hosts 1.5 ms apart one way, and a log
// that answers in 10 ms.
constexpr std::chrono::microseconds kHop{ 1500 };
constexpr milliseconds kLogLatency{ 10 };
constexpr milliseconds kPollInterval{ 20 };
constexpr milliseconds kHeartbeatInterval{ 100 };
constexpr milliseconds kQueueInterval{ 5 };
constexpr std::chrono::seconds kAppendTimeout{ 1 };
constexpr std::chrono::seconds kSubmitTimeout{ 10 };

// Peers that a host hears from: those of its domain.
constexpr std::size_t kPeers = 8;

// Reported when a host never had a revision in force, in seconds.
constexpr double kNever = 1e9;

} // namespace

auto Seconds(Duration aDuration) -> double
{
  return std::chrono::duration<double>(aDuration).count();
}

auto SampleDocument(std::size_t aTeams) -> Document
{
  Document document;
  for (const auto* const name : { "d1", "d2", "d3" }) {
    document.mDomains[name] = { name, "sk-central" };
  }
  document.mServices["hint"] = { "hint", ServiceKind::Model, true, 16 };
  document.mModels["hint-llm"] = { "hint-llm", "hint", "v1", {}, {} };
  document.mRoutes["hints"].mName = "hints";
  document.mRoutes["hints"].mService = "hint";
  document.mRoutes["hints"].mModel = "hint-llm";
  for (std::size_t i = 0; i < aTeams; ++i) {
    const auto name = "team" + std::to_string(i);
    const auto digest = Sha256Hex("key-" + std::to_string(i));
    document.mTeams[name] = { name, 100, 20, 1, 100 };
    document.mKeys[digest] = { digest, name };
  }
  return document;
}

ConfigFleet::ConfigFleet(const FleetOptions& aOptions)
  : mOptions(aOptions)
  , mRandom{ aOptions.mSeed }
  , mHosts(aOptions.mHosts)
{
  const auto relayed = static_cast<std::size_t>(
    aOptions.mRelayedShare * static_cast<double>(aOptions.mHosts));
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    auto& host = mHosts[i];
    host.mReplica = std::make_unique<mangovalve::Replica>(mLog.Port());
    host.mReplica->Step({}); // the log is empty: all begin
    host.mReachesLog = i >= relayed;
    auto* const queue = &host.mQueue;
    host.mReplica->OnApplied([queue](const AppliedEntry& aApplied) {
      ResolveApplied(*queue, aApplied.mRecords, aApplied.mLogTime);
    });
    const auto phase = [&] {
      return std::chrono::microseconds(UniformBelow(mRandom, 20000));
    };
    At(mNow + phase(), [this, i] { Poll(i); });
    At(mNow + phase(), [this, i] { Heartbeat(i); });
    At(mNow + phase(), [this, i] { Append(i); });
  }
}

auto ConfigFleet::At(TimePoint aAt, std::function<auto()->void> aEvent) -> void
{
  mEvents.emplace(std::pair(std::max(aAt, mNow), mOrder++), std::move(aEvent));
}

auto ConfigFleet::RunUntil(TimePoint aEnd) -> void
{
  while (!mEvents.empty() && mEvents.begin()->first.first <= aEnd) {
    const auto event = std::move(mEvents.extract(mEvents.begin()).mapped());
    event();
    if (!mEvents.empty()) {
      mNow = std::max(mNow, mEvents.begin()->first.first);
    }
  }
  mNow = std::max(mNow, aEnd);
}

auto ConfigFleet::Poll(std::size_t aHost) -> void
{
  auto& host = mHosts[aHost];
  if (host.mReachesLog) {
    host.mReplica->Step({});
    host.mLogContact = mNow;
    NoteInForce(aHost);
  }
  At(mNow + kPollInterval, [this, aHost] { Poll(aHost); });
}

auto ConfigFleet::Heartbeat(std::size_t aHost) -> void
{
  const auto applied = mHosts[aHost].mReplica->Next();
  const auto available = mHosts[aHost].mReplica->Recent(0, 1).mFirstAvailable;
  for (std::size_t i = 1; i <= std::min(kPeers, mHosts.size() - 1); ++i) {
    const auto to = (aHost + i) % mHosts.size();
    At(mNow + kHop, [this, aHost, to, applied, available] {
      auto& peers = mHosts[to].mPeers;
      const auto name = std::to_string(aHost);
      const auto found =
        std::find_if(peers.begin(), peers.end(), [&](const auto& aEach) {
          return aEach.mHost == name;
        });
      const PeerPosition position{ name, applied, available, mNow };
      if (found == peers.end()) {
        peers.push_back(position);
      } else {
        *found = position;
      }
      Sync(to);
    });
  }
  At(mNow + kHeartbeatInterval, [this, aHost] { Heartbeat(aHost); });
}

auto ConfigFleet::Sync(std::size_t aHost) -> void
{
  auto& host = mHosts[aHost];
  const OwnPosition own{ host.mReplica->Next(), true, host.mLogContact };
  const auto request = PlanSync(host.mSync, {}, own, host.mPeers, mNow);
  if (!request) {
    return;
  }
  const auto from = std::stoul(request->mHost);
  At(mNow + kHop, [this, aHost, from, next = request->mFrom] {
    auto entries = mHosts[from].mReplica->Recent(next, kRelayBytes).mEntries;
    At(mNow + kHop, [this, aHost, entries = std::move(entries)] {
      mHosts[aHost].mReplica->ApplyRelayed(entries);
      ClearOutstanding(mHosts[aHost].mSync);
      NoteInForce(aHost);
    });
  });
}

auto ConfigFleet::Append(std::size_t aHost) -> void
{
  auto& host = mHosts[aHost];
  At(mNow + kQueueInterval, [this, aHost] { Append(aHost); });
  if (host.mAppending || !host.mReachesLog) {
    return;
  }
  const auto batch = NextBatch(host.mQueue, mHosts.size(), mNow);
  if (!batch) {
    return;
  }
  host.mAppending = true;
  At(mNow + kLogLatency, [this, aHost, batch = *batch] {
    const auto luck = Uniform(mRandom);
    const auto fate =
      luck < mOptions.mLostShare / 2 ? FakeLog::AppendOutcome::ResponseDropped
      : luck < mOptions.mLostShare   ? FakeLog::AppendOutcome::RequestDropped
                                     : FakeLog::AppendOutcome::Done;
    mLog.SetAppendOutcome([fate] { return fate; });
    mLog.SetTime(LogTime(
      std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch())));
    const auto result = mLog.Append(batch.mPayload);
    if (fate != FakeLog::AppendOutcome::RequestDropped) {
      mAppendedAt.push_back(mNow);
    }
    const auto wait = result ? Duration(kHop) : Duration(kAppendTimeout);
    At(mNow + wait, [this, aHost, batch, result] {
      FinishAppend(mHosts[aHost].mQueue, batch, result, mNow);
      mHosts[aHost].mAppending = false;
    });
  });
}

auto ConfigFleet::ReachingHost() -> std::size_t
{
  while (true) {
    const auto host = UniformBelow(mRandom, mHosts.size());
    if (mHosts[host].mReachesLog) {
      return host;
    }
  }
}

auto ConfigFleet::Submit(
  std::size_t aHost,
  const std::function<auto(Document& aDocument)->void>& aChange,
  std::function<auto(std::optional<Verdict>)->void> aDone) -> void
{
  auto& host = mHosts[aHost];
  auto submission = host.mReplica->Read([&](const FleetState& aState) {
    auto document = *aState.mConfig.mDocument;
    aChange(document);
    return PlanSubmission(aState.mConfig, aState.mConfig.mRevision, document);
  });
  if (!submission) {
    aDone(std::nullopt);
    return;
  }
  auto draft = DraftSubmission(std::move(*submission));
  draft.mId = { Next(mRandom), Next(mRandom) };
  const auto record =
    Enqueue(host.mQueue, std::move(draft), CommitPriority::Configuration);
  At(mNow + kSubmitTimeout, [record = *record, done = std::move(aDone)] {
    done(record->mOutcome ? std::optional(record->mOutcome->mVerdict)
                          : std::nullopt);
  });
}

auto ConfigFleet::NoteInForce(std::size_t aHost) -> void
{
  auto& host = mHosts[aHost];
  const auto revision = host.mReplica->CurrentDocument()->mRevision;
  for (auto each = host.mInForce.empty() ? 1
                                         : host.mInForce.rbegin()->first + 1;
       each <= revision;
       ++each) {
    host.mInForce[each] = mNow;
  }
}

auto ConfigFleet::AcceptedAt(std::uint64_t aRevision) const
  -> std::optional<TimePoint>
{
  return mHosts.back().mReplica->Read(
    [&](const FleetState& aState) -> std::optional<TimePoint> {
      const auto* const found = FindRevision(aState.mConfig, aRevision);
      return found == nullptr
               ? std::nullopt
               : std::optional(mAppendedAt[found->mContext.mOffset]);
    });
}

auto ConfigFleet::InForceAt(std::size_t aHost, std::uint64_t aRevision) const
  -> std::optional<TimePoint>
{
  const auto found = mHosts[aHost].mInForce.find(aRevision);
  return found == mHosts[aHost].mInForce.end() ? std::nullopt
                                               : std::optional(found->second);
}

auto ConfigFleet::WorstInForce() const -> double
{
  const auto last = mHosts.back().mReplica->CurrentDocument()->mRevision;
  auto worst = 0.0;
  for (std::uint64_t revision = 1; revision <= last; ++revision) {
    for (std::size_t host = 0; host < mHosts.size(); ++host) {
      const auto at = InForceAt(host, revision);
      worst =
        std::max(worst, at ? Seconds(*at - *AcceptedAt(revision)) : kNever);
    }
  }
  return worst;
}

} // namespace mangovalve::bench
