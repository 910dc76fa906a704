// Dependencies of the online path, as a struct of functions that the daemon
// implements and tests replace by fakes. Every function may be called from any
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
    OverRate,    // the team has exceeded its rate and burst
    Unavailable, // no token source could be reached
  };
  Kind mKind = Kind::OverRate;
  std::chrono::milliseconds mRetryAfter{ 0 };
};

struct OnlinePorts
{
  std::string mHost; // name of this host, written into intents

  // The active document. Never null; has revision 0 before the first one.
  std::function<auto()->std::shared_ptr<const Document>> mDocument;

  // Team of a key in plain text; nullopt for an unknown or withdrawn key, or
  // when the host has been without contact for longer than it may accept
  // keys.
  std::function<auto(const Document& aDocument, const std::string& aKey)
                  ->std::optional<std::string>>
    mTeamOfKey;

  // Takes one token of the team's rate limit; may wait until aDeadline.
  std::function<auto(const std::string& aTeam, TimePoint aDeadline)
                  ->Result<void, RateRefusal>>
    mAcquireToken;

  // The replayed intent for a team and idempotency key, if there is one.
  std::function<auto(const std::string& aTeam, const std::string& aKey)
                  ->std::optional<Intent>>
    mFindIntent;
  JournalPort mJournal;

  EndpointSet* mEndpoints = nullptr;
  EndpointClient* mClient = nullptr;

  std::function<auto()->TimePoint> mNow = [] { return Clock::now(); };

  // Receives the number of online requests that wait for an endpoint of the
  // service when it changes, so that batch dispatchers yield. May be empty.
  std::function<void(const std::string& aService, std::uint32_t aWaiting)>
    mOnWaiting;
  // Receives the time from dispatch to the first byte of an answer. May be
  // empty.
  std::function<void(const std::string& aEndpoint, Duration aDelay)>
    mOnFirstByte;
};

} // namespace mangovalve
