// What the online path needs from its surroundings, as a struct of functions:
// the daemon fills it, tests pass fakes. Every function may be called from any
// thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "mangovalve/base/result.h"
#include "mangovalve/base/time.h"
#include "mangovalve/config/document.h"
#include "mangovalve/endpoint/client.h"
#include "mangovalve/endpoint/endpoint_set.h"
#include "mangovalve/online/intent_state.h"
#include "mangovalve/replay/journal.h"

namespace mangovalve {

struct RateRefusal
{
  enum class Kind
  {
    OverRate,    // the team is over its rate and burst
    Unavailable, // no token source could be reached
  };
  Kind mKind = Kind::OverRate;
  std::chrono::milliseconds mRetryAfter{ 0 };
};

struct OnlinePorts
{
  std::string mHost; // name of this host, written into intents

  // The document in force; never null, revision 0 before the first one.
  std::function<auto()->std::shared_ptr<const Document>> mDocument;

  // Team of a key in plain text; nothing for an unknown or withdrawn key, or
  // when keys may no longer be honoured without contact.
  std::function<auto(const Document& aDocument, const std::string& aKey)
                  ->std::optional<std::string>>
    mTeamOfKey;

  // Takes one token of the team's rate; may wait until aDeadline.
  std::function<auto(const std::string& aTeam, TimePoint aDeadline)
                  ->Result<void, RateRefusal>>
    mAcquireToken;

  // The replayed intent for a team and idempotency key.
  std::function<auto(const std::string& aTeam, const std::string& aKey)
                  ->std::optional<Intent>>
    mFindIntent;
  JournalPort mJournal;

  EndpointSet* mEndpoints = nullptr;
  EndpointClient* mClient = nullptr;

  std::function<auto()->TimePoint> mNow = [] { return Clock::now(); };

  // Online requests that now wait for an endpoint of the service, so that
  // batch feeders yield. Called when the number changes; may be empty.
  std::function<void(const std::string& aService, std::uint32_t aWaiting)>
    mOnWaiting;
  // Time from dispatch to the first byte of an answer; may be empty.
  std::function<void(const std::string& aEndpoint, Duration aDelay)>
    mOnFirstByte;
};

} // namespace mangovalve
