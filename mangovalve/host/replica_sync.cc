// Transfer of log entries and of the state between peers over the transport.
#include "mangovalve/host/replica_sync.h"

#include <absl/strings/str_cat.h>

#include "mangovalve/peer/frame.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

constexpr std::string_view kSeedPrefix = "seed/";

} // namespace

ReplicaSync::ReplicaSync(std::string aHost,
                         std::string aOwnAddress,
                         const std::vector<std::string>& aSeeds,
                         Replica& aReplica,
                         peer::Transport& aTransport)
  : mHost(std::move(aHost))
  , mOwnAddress(std::move(aOwnAddress))
  , mReplica(aReplica)
  , mTransport(aTransport)
{
  for (const auto& address : aSeeds) {
    const auto name = absl::StrCat(
      absl::string_view(kSeedPrefix.data(), kSeedPrefix.size()), address);
    mTransport.SetPeer(name, address);
    mPeers[name].mHost = name;
  }
  using peer::Message;
  mTransport.SetHandler(
    Message::RelayRequest,
    [this](const peer::Frame& aFrame) { OnRelayRequest(aFrame); });
  mTransport.SetHandler(Message::RecordRelay,
                        [this](const peer::Frame& aFrame) { OnRelay(aFrame); });
  mTransport.SetHandler(
    Message::StateRequest,
    [this](const peer::Frame& aFrame) { OnStateRequest(aFrame); });
  mTransport.SetHandler(Message::StatePart, [this](const peer::Frame& aFrame) {
    OnStatePart(aFrame);
  });
}

auto ReplicaSync::SetMembers(const MemberState& aMembers) -> void
{
  const absl::MutexLock lock(&mMutex);
  std::map<std::string, PeerPosition> peers;
  for (const auto& [name, member] : aMembers.mMembers) {
    if (name == mHost) {
      continue;
    }
    mTransport.SetPeer(name, member.mPeerAddress);
    peers[name] = mPeers[name];
    peers[name].mHost = name;
  }
  if (peers.empty()) {
    return; // the seeds are used until members are known
  }
  for (const auto& [name, position] : mPeers) {
    if (!peers.contains(name)) {
      mTransport.RemovePeer(name);
    }
  }
  mPeers = std::move(peers);
}

auto ReplicaSync::RecordPosition(const std::string& aHost, Offset aApplied)
  -> void
{
  const absl::MutexLock lock(&mMutex);
  const auto peer = mPeers.find(aHost);
  if (peer != mPeers.end()) {
    peer->second.mApplied = aApplied;
  }
}

auto ReplicaSync::LastPeerContact() const -> TimePoint
{
  const absl::MutexLock lock(&mMutex);
  return mLastPeerContact;
}

// Peers of other domains send no heartbeats, so every peer is assumed to be at
// least one entry ahead; its response to a request shows whether it is.
auto ReplicaSync::Positions(TimePoint aNow) const -> std::vector<PeerPosition>
{
  const auto next = mReplica.Next();
  std::vector<PeerPosition> positions;
  for (const auto& [name, position] : mPeers) {
    auto each = position;
    each.mApplied = std::max(each.mApplied, next + 1);
    each.mHeardAt = aNow;
    positions.push_back(std::move(each));
  }
  return positions;
}

auto ReplicaSync::Tick() -> void
{
  const auto now = Clock::now();
  const OwnPosition own{ mReplica.Next(),
                         mReplica.CaughtUp(),
                         mReplica.LastLogContact() };
  std::optional<SyncRequest> request;
  {
    const absl::MutexLock lock(&mMutex);
    request = PlanSync(mSync, {}, own, Positions(now), now);
  }
  if (!request) {
    return;
  }
  FindCounter("peer_sync_requests_total").Add();
  flatbuffers::FlatBufferBuilder builder;
  const auto replyTo = builder.CreateString(mOwnAddress);
  auto frame =
    request->mKind == SyncRequest::Kind::Relay
      ? peer::Encode(mHost,
                     builder,
                     peer::CreateRelayRequest(builder, request->mFrom, replyTo))
      : peer::Encode(
          mHost,
          builder,
          peer::CreateStateRequest(builder, request->mFrom, replyTo));
  mTransport.Send(request->mHost, std::move(frame));
}

auto ReplicaSync::OnRelayRequest(const peer::Frame& aFrame) -> void
{
  const auto& request = *aFrame.message_as_RelayRequest();
  const auto from = aFrame.from()->str();
  if (request.reply_to() != nullptr) {
    mTransport.SetPeer(from, request.reply_to()->str());
  }
  flatbuffers::FlatBufferBuilder builder;
  const auto recent = mReplica.Recent(request.from(), kRelayBytes);
  mTransport.Send(from,
                  peer::Encode(mHost, builder, BuildRelay(builder, recent)));
}

auto ReplicaSync::OnRelay(const peer::Frame& aFrame) -> void
{
  const auto& relay = *aFrame.message_as_RecordRelay();
  {
    const absl::MutexLock lock(&mMutex);
    ClearOutstanding(mSync);
    mLastPeerContact = Clock::now();
    const auto peer = mPeers.find(aFrame.from()->str());
    if (peer != mPeers.end()) {
      peer->second.mFirstAvailable = relay.first_available();
    }
  }
  mReplica.ApplyRelayed(EntriesOf(relay));
}

auto ReplicaSync::OnStateRequest(const peer::Frame& aFrame) -> void
{
  const auto& request = *aFrame.message_as_StateRequest();
  const auto from = aFrame.from()->str();
  if (!mReplica.CaughtUp()) {
    return;
  }
  if (request.reply_to() != nullptr) {
    mTransport.SetPeer(from, request.reply_to()->str());
  }
  for (const auto& piece : SplitState(mReplica.Capture())) {
    flatbuffers::FlatBufferBuilder builder;
    mTransport.Send(
      from, peer::Encode(mHost, builder, BuildStatePart(builder, piece)));
  }
}

auto ReplicaSync::OnStatePart(const peer::Frame& aFrame) -> void
{
  const auto state =
    AddPiece(mAssembler, PieceOf(*aFrame.message_as_StatePart()));
  if (!state) {
    return;
  }
  {
    const absl::MutexLock lock(&mMutex);
    ClearOutstanding(mSync);
    mLastPeerContact = Clock::now();
  }
  if (const auto restored = mReplica.Restore(*state); !restored) {
    LogEvent(
      Severity::Warn,
      "peer_state_refused",
      { { "from", aFrame.from()->str() }, { "reason", restored.error() } });
    return;
  }
  LogEvent(Severity::Info,
           "peer_state_taken",
           { { "from", aFrame.from()->str() },
             { "as_of", absl::StrCat(state->mAsOf) } });
}

} // namespace mangovalve
