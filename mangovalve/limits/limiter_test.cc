// Tests of Limiter over loopback sockets.
#include "mangovalve/limits/limiter.h"

#include <doctest/doctest.h>

#include "mangovalve/peer/frame.h"
#include "mangovalve/peer/transport.h"

namespace mangovalve {
namespace {

struct Daemon
{
  Daemon(const std::string& aHost, const std::string& aDomain)
    : mTransport({ aHost, "127.0.0.1:0" })
    , mLimiter({ aHost, aDomain, "r", {} },
               { [] { return Clock::now(); },
                 [this](const std::string& aTo, std::string aFrame) {
                   mTransport.Send(aTo, std::move(aFrame));
                 },
                 {},
                 {} })
  {
    for (const auto type : { peer::Message::LeaseRequest,
                             peer::Message::LeaseGrant,
                             peer::Message::TokenRequest,
                             peer::Message::TokenGrant }) {
      mTransport.SetHandler(
        type, [this](const peer::Frame& aFrame) { mLimiter.Handle(aFrame); });
    }
  }
  ~Daemon()
  {
    mTransport.Stop();
    mLimiter.Stop();
  }

  peer::Transport mTransport;
  Limiter mLimiter;
};

// Guards against missed wake-ups and messages that fail to decode: every host
// must get tokens, whichever of them holds the bucket.
TEST_CASE("every host of a fleet is granted tokens over sockets")
{
  MemberState members;
  std::vector<std::unique_ptr<Daemon>> daemons;
  auto document = std::make_shared<Document>();
  document->mRevision = 1;
  for (const auto* name : { "a", "b", "c" }) {
    members.mMembers[name].mHost = name;
    members.mMembers[name].mDomain = std::string("domain-") + name;
    members.mMembers[name].mRegion = "r";
    members.mMembers[name].mIncarnation = 1;
    document->mDomains[std::string("domain-") + name];
    daemons.push_back(
      std::make_unique<Daemon>(name, std::string("domain-") + name));
    REQUIRE(daemons.back()->mTransport.Start());
  }
  document->mTeams["team"] = { "team", 1000, 3 };
  for (const auto& daemon : daemons) {
    for (std::size_t index = 0; index < daemons.size(); ++index) {
      daemon->mTransport.SetPeer(std::string(1, "abc"[index]),
                                 daemons[index]->mTransport.Address());
    }
    daemon->mLimiter.SetMembers(members);
    daemon->mLimiter.SetDocument(document);
    daemon->mLimiter.Start();
  }
  for (auto round = 0; round < 20; ++round) {
    for (const auto& daemon : daemons) {
      const auto admission = daemon->mLimiter.Acquire(
        "team", 1, Clock::now() + std::chrono::hours(1));
      CHECK(std::holds_alternative<Granted>(admission));
    }
  }
  CHECK(std::holds_alternative<Refused>(daemons[0]->mLimiter.Acquire(
    "unknown", 1, Clock::now() + std::chrono::hours(1))));
}

} // namespace
} // namespace mangovalve
