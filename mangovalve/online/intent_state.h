// Replayed intents and outcomes of non-idempotent requests.
//
// The first intent for a team and idempotency key wins by position in the log;
// only its writer may dispatch, once, after reading it back. Every host finds
// the intent and, when recorded, the outcome. Entries are kept for
// kIntentRetention of log time.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "mangovalve/base/result.h"
#include "mangovalve/replay/record_context.h"
#include "mangovalve/replay/records_generated.h"

namespace mangovalve {

// How long a resend with the same key finds the first request.
constexpr auto kIntentRetention = std::chrono::hours(24);
// Bounds of memory: an intent is refused when the table is full, the body of an
// outcome is dropped when it is larger or when older bodies fill the bound.
constexpr std::size_t kMaxIntents = 200'000;
constexpr std::size_t kMaxOutcomeBodyBytes = 64 << 10;
constexpr std::size_t kMaxKeptBodyBytes = 32 << 20;

struct Outcome
{
  int mStatus = 0; // 0: outcome unknown
  std::string mContentType;
  std::string mBody;
  bool mBodyKept = true; // false: the body was too large to keep

  auto operator==(const Outcome&) const -> bool = default;
};

struct Intent
{
  Offset mOffset = 0;
  std::uint32_t mIndex = 0;
  LogTime mTime{};
  std::string mRoute;
  std::string mHost;
  std::string mDigest; // of the request
  std::optional<Outcome> mOutcome;

  auto operator==(const Intent&) const -> bool = default;
};

// Team and idempotency key.
using IntentKey = std::pair<std::string, std::string>;

struct IntentState
{
  std::map<IntentKey, Intent> mIntents;
  // Keys in log order; exactly those of mIntents.
  std::deque<IntentKey> mKeysInLogOrder;
  // Keys with a kept body in the order of their outcomes, and the sum of the
  // bodies' sizes.
  std::deque<IntentKey> mKeysWithBody;
  std::size_t mKeptBodyBytes = 0;
};

// Rejected "intent_exists" (detail: offset of the first intent) or
// "intents_full".
auto Apply(IntentState& aState,
           const RecordContext& aContext,
           const record::RequestIntent& aRecord) -> Verdict;

// Rejected "no_such_intent" or "outcome_exists".
auto Apply(IntentState& aState,
           const RecordContext& aContext,
           const record::RequestOutcome& aRecord) -> Verdict;

// The intent for a key, if one is known.
auto FindIntent(const IntentState& aState,
                const std::string& aTeam,
                const std::string& aKey) -> std::optional<Intent>;

// Serializes the state for a snapshot.
auto Save(const IntentState& aState) -> std::string;

// Restores a saved state; the error names what is malformed.
auto Load(std::string_view aData, IntentState& aState)
  -> Result<void, std::string>;

} // namespace mangovalve
