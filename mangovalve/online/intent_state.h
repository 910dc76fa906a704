// Replayed intents and outcomes of non-idempotent requests.
//
// The first intent in the log for a team and idempotency key is accepted, later
// ones are rejected. Only the writer of the accepted intent may dispatch the
// request, once, after reading the intent back. Every host finds the intent
// and, once recorded, the outcome. Entries are kept for kIntentRetention of log
// time.
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

// Log time for which a resend with the same key finds the first request.
constexpr auto kIntentRetention = std::chrono::hours(24);
// Memory bounds. An intent is rejected when the table is full. The body of an
// outcome is dropped if it exceeds its bound, and the oldest kept bodies are
// dropped when all of them together exceed theirs.
constexpr std::size_t kMaxIntents = 200'000;
constexpr std::size_t kMaxOutcomeBodyBytes = 64 << 10;
constexpr std::size_t kMaxKeptBodyBytes = 32 << 20;

struct Outcome
{
  int mStatus = 0; // 0: outcome unknown
  std::string mContentType;
  std::string mBody;
  bool mBodyKept = true; // false: dropped because of a memory bound

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
  // The keys of mIntents in log order.
  std::deque<IntentKey> mKeysInLogOrder;
  // Keys whose outcome has a kept body, in the log order of the outcomes, and
  // the total size of these bodies.
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

// The intent for a key, or nullopt if there is none.
auto FindIntent(const IntentState& aState,
                const std::string& aTeam,
                const std::string& aKey) -> std::optional<Intent>;

// Serializes the state for a snapshot.
auto Save(const IntentState& aState) -> std::string;

// Restores a saved state; the error describes the malformed part.
auto Load(std::string_view aData, IntentState& aState)
  -> Result<void, std::string>;

} // namespace mangovalve
