// Applies, saves and loads intents and outcomes of non-idempotent requests.
#include "mangovalve/online/intent_state.h"

#include <nlohmann/json.hpp>

namespace mangovalve {
namespace {

using nlohmann::json;

auto Text(const flatbuffers::String* aText) -> std::string
{
  return aText == nullptr ? std::string() : aText->str();
}

// Drops the kept body of an intent's outcome. The intent has an outcome.
auto DropBody(IntentState& aState, Intent& aIntent) -> void
{
  auto& outcome = *aIntent.mOutcome;
  aState.mKeptBodyBytes -= outcome.mBody.size();
  outcome.mBody.clear();
  outcome.mBodyKept = false;
}

// Drops intents that are older than kIntentRetention.
auto Expire(IntentState& aState, LogTime aNow) -> void
{
  while (!aState.mKeysInLogOrder.empty()) {
    const auto found = aState.mIntents.find(aState.mKeysInLogOrder.front());
    if (aNow - found->second.mTime <= kIntentRetention) {
      return;
    }
    if (found->second.mOutcome) {
      aState.mKeptBodyBytes -= found->second.mOutcome->mBody.size();
      std::erase(aState.mKeysWithBody, found->first);
    }
    aState.mIntents.erase(found);
    aState.mKeysInLogOrder.pop_front();
  }
}

auto DropOldBodies(IntentState& aState) -> void
{
  while (aState.mKeptBodyBytes > kMaxKeptBodyBytes) {
    DropBody(aState, aState.mIntents.at(aState.mKeysWithBody.front()));
    aState.mKeysWithBody.pop_front();
  }
}

auto ToJson(const IntentKey& aKey, const Intent& aIntent) -> json
{
  json entry{ aKey.first,
              aKey.second,
              aIntent.mOffset,
              aIntent.mIndex,
              aIntent.mTime.time_since_epoch().count(),
              aIntent.mRoute,
              aIntent.mHost,
              aIntent.mDigest };
  if (aIntent.mOutcome) {
    const auto& outcome = *aIntent.mOutcome;
    entry.push_back({ outcome.mStatus,
                      outcome.mContentType,
                      outcome.mBody,
                      outcome.mBodyKept });
  }
  return entry;
}

auto FromJson(const json& aEntry) -> std::pair<IntentKey, Intent>
{
  Intent intent;
  aEntry.at(2).get_to(intent.mOffset);
  aEntry.at(3).get_to(intent.mIndex);
  intent.mTime =
    LogTime(std::chrono::milliseconds(aEntry.at(4).get<std::int64_t>()));
  aEntry.at(5).get_to(intent.mRoute);
  aEntry.at(6).get_to(intent.mHost);
  aEntry.at(7).get_to(intent.mDigest);
  if (aEntry.size() > 8) {
    const auto& outcome = aEntry.at(8);
    intent.mOutcome = Outcome{ outcome.at(0).get<int>(),
                               outcome.at(1).get<std::string>(),
                               outcome.at(2).get<std::string>(),
                               outcome.at(3).get<bool>() };
  }
  IntentKey key{ aEntry.at(0).get<std::string>(),
                 aEntry.at(1).get<std::string>() };
  return { std::move(key), std::move(intent) };
}

} // namespace

auto Apply(IntentState& aState,
           const RecordContext& aContext,
           const record::RequestIntent& aRecord) -> Verdict
{
  Expire(aState, aContext.mTime);
  const IntentKey key{ Text(aRecord.team()), Text(aRecord.idempotency_key()) };
  const auto found = aState.mIntents.find(key);
  if (found != aState.mIntents.end()) {
    return Rejected("intent_exists", found->second.mOffset);
  }
  if (aState.mIntents.size() >= kMaxIntents) {
    return Rejected("intents_full");
  }
  Intent intent;
  intent.mOffset = aContext.mOffset;
  intent.mIndex = aContext.mIndex;
  intent.mTime = aContext.mTime;
  intent.mRoute = Text(aRecord.route());
  intent.mHost = Text(aRecord.host());
  intent.mDigest = Text(aRecord.request_digest());
  aState.mIntents.emplace(key, std::move(intent));
  aState.mKeysInLogOrder.push_back(key);
  return Accepted();
}

auto Apply(IntentState& aState,
           const RecordContext& aContext,
           const record::RequestOutcome& aRecord) -> Verdict
{
  Expire(aState, aContext.mTime);
  const IntentKey key{ Text(aRecord.team()), Text(aRecord.idempotency_key()) };
  const auto found = aState.mIntents.find(key);
  if (found == aState.mIntents.end() ||
      found->second.mOffset != aRecord.intent()) {
    return Rejected("no_such_intent");
  }
  if (found->second.mOutcome) {
    return Rejected("outcome_exists");
  }
  Outcome outcome;
  outcome.mStatus = static_cast<int>(aRecord.http_status());
  outcome.mContentType = Text(aRecord.content_type());
  outcome.mBodyKept =
    aRecord.body() == nullptr || aRecord.body()->size() <= kMaxOutcomeBodyBytes;
  if (outcome.mBodyKept) {
    outcome.mBody = Text(aRecord.body());
    aState.mKeptBodyBytes += outcome.mBody.size();
    aState.mKeysWithBody.push_back(key);
  }
  found->second.mOutcome = std::move(outcome);
  DropOldBodies(aState);
  return Accepted();
}

auto FindIntent(const IntentState& aState,
                const std::string& aTeam,
                const std::string& aKey) -> std::optional<Intent>
{
  const auto found = aState.mIntents.find({ aTeam, aKey });
  return found == aState.mIntents.end() ? std::nullopt
                                        : std::optional(found->second);
}

auto Save(const IntentState& aState) -> std::string
{
  auto intents = json::array();
  for (const auto& key : aState.mKeysInLogOrder) {
    intents.push_back(ToJson(key, aState.mIntents.at(key)));
  }
  auto bodies = json::array();
  for (const auto& [team, key] : aState.mKeysWithBody) {
    bodies.push_back({ team, key });
  }
  // CBOR, unlike JSON text, preserves bodies that are not UTF-8.
  const auto bytes = json::to_cbor(json{ intents, bodies });
  return { bytes.begin(), bytes.end() };
}

auto Load(std::string_view aData, IntentState& aState)
  -> Result<void, std::string>
{
  aState = {};
  if (aData.empty()) {
    return {};
  }
  try {
    IntentState loaded;
    const auto saved = json::from_cbor(aData.begin(), aData.end());
    for (const auto& entry : saved.at(0)) {
      auto [key, intent] = FromJson(entry);
      loaded.mKeptBodyBytes +=
        intent.mOutcome ? intent.mOutcome->mBody.size() : 0;
      loaded.mKeysInLogOrder.push_back(key);
      loaded.mIntents.emplace(key, std::move(intent));
    }
    for (const auto& key : saved.at(1)) {
      loaded.mKeysWithBody.emplace_back(key.at(0), key.at(1));
      if (!loaded.mIntents.at(loaded.mKeysWithBody.back()).mOutcome) {
        return Err(
          std::string("intents: a key with a kept body has no outcome"));
      }
    }
    if (loaded.mKeysInLogOrder.size() != loaded.mIntents.size()) {
      return Err(std::string("intents: duplicate key"));
    }
    aState = std::move(loaded);
  } catch (const std::exception& error) {
    return Err(std::string("intents: ") + error.what());
  }
  return {};
}

} // namespace mangovalve
