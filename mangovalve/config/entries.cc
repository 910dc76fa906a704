// Canonical entries of a document: a map from path to JSON text.
#include "mangovalve/config/entries.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "mangovalve/base/id.h"

namespace mangovalve {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

auto ToJson(const Team& aTeam) -> Json
{
  return { { "rate", aTeam.mRate },
           { "burst", aTeam.mBurst },
           { "weight", aTeam.mWeight },
           { "max_jobs", aTeam.mMaxJobs } };
}

auto ToJson(const Key& aKey) -> Json
{
  return { { "team", aKey.mTeam } };
}

auto ToJson(const Service& aService) -> Json
{
  return { { "kind", aService.mKind == ServiceKind::Model ? "model" : "plain" },
           { "checks_fencing", aService.mChecksFencing },
           { "max_in_flight", aService.mMaxInFlight } };
}

auto ToJson(const Model& aModel) -> Json
{
  return { { "service", aModel.mService },
           { "version", aModel.mVersion },
           { "adapters", aModel.mAdapters },
           { "retain_former_ms", aModel.mRetainFormer.count() } };
}

auto ToJson(const Route& aRoute) -> Json
{
  return { { "path", aRoute.mPath },
           { "service", aRoute.mService },
           { "model", aRoute.mModel },
           { "open", aRoute.mOpen },
           { "idempotent", aRoute.mIdempotent },
           { "teams", aRoute.mTeams },
           { "timeout_ms", aRoute.mTimeout.count() },
           { "first_byte_timeout_ms", aRoute.mFirstByteTimeout.count() } };
}

auto ToJson(const Domain& aDomain) -> Json
{
  return { { "region", aDomain.mRegion } };
}

auto ToJson(const Settings& aSettings) -> Json
{
  return { { "keys_valid_without_contact_ms",
             aSettings.mKeysValidWithoutContact.count() } };
}

// Sets aTarget if the field is present. Throws Json::exception if it has the
// wrong type.
template<typename T>
auto ReadField(const Json& aJson, const char* aField, T& aTarget) -> void
{
  if (const auto found = aJson.find(aField); found != aJson.end()) {
    aTarget = found->template get<T>();
  }
}

auto ReadField(const Json& aJson, const char* aField, milliseconds& aTarget)
  -> void
{
  auto count = aTarget.count();
  ReadField(aJson, aField, count);
  aTarget = milliseconds(count);
}

auto FromJson(const std::string& aName, const Json& aJson, Team& aTeam) -> void
{
  aTeam.mName = aName;
  ReadField(aJson, "rate", aTeam.mRate);
  ReadField(aJson, "burst", aTeam.mBurst);
  ReadField(aJson, "weight", aTeam.mWeight);
  ReadField(aJson, "max_jobs", aTeam.mMaxJobs);
}

auto FromJson(const std::string& aName, const Json& aJson, Key& aKey) -> void
{
  aKey.mDigest = aName;
  ReadField(aJson, "team", aKey.mTeam);
}

auto FromJson(const std::string& aName, const Json& aJson, Service& aService)
  -> void
{
  aService.mName = aName;
  std::string kind = "plain";
  ReadField(aJson, "kind", kind);
  aService.mKind = kind == "model" ? ServiceKind::Model : ServiceKind::Plain;
  ReadField(aJson, "checks_fencing", aService.mChecksFencing);
  ReadField(aJson, "max_in_flight", aService.mMaxInFlight);
}

auto FromJson(const std::string& aName, const Json& aJson, Model& aModel)
  -> void
{
  aModel.mName = aName;
  ReadField(aJson, "service", aModel.mService);
  ReadField(aJson, "version", aModel.mVersion);
  ReadField(aJson, "adapters", aModel.mAdapters);
  ReadField(aJson, "retain_former_ms", aModel.mRetainFormer);
}

auto FromJson(const std::string& aName, const Json& aJson, Route& aRoute)
  -> void
{
  aRoute.mName = aName;
  ReadField(aJson, "path", aRoute.mPath);
  ReadField(aJson, "service", aRoute.mService);
  ReadField(aJson, "model", aRoute.mModel);
  ReadField(aJson, "open", aRoute.mOpen);
  ReadField(aJson, "idempotent", aRoute.mIdempotent);
  ReadField(aJson, "teams", aRoute.mTeams);
  ReadField(aJson, "timeout_ms", aRoute.mTimeout);
  ReadField(aJson, "first_byte_timeout_ms", aRoute.mFirstByteTimeout);
}

auto FromJson(const std::string& aName, const Json& aJson, Domain& aDomain)
  -> void
{
  aDomain.mName = aName;
  ReadField(aJson, "region", aDomain.mRegion);
}

template<typename T>
auto AddEntries(const char* aKind,
                const std::map<std::string, T>& aItems,
                ConfigEntries& aEntries) -> void
{
  for (const auto& [name, item] : aItems) {
    aEntries[absl::StrCat(aKind, "/", name)] = ToJson(item).dump();
  }
}

template<typename T>
auto SetNamed(std::map<std::string, T>& aItems,
              const std::string& aName,
              const std::optional<std::string>& aJson) -> void
{
  if (!aJson) {
    aItems.erase(aName);
    return;
  }
  T item;
  FromJson(aName, Json::parse(*aJson), item);
  aItems[aName] = std::move(item);
}

// Returns false for an unknown path; throws Json::exception for malformed JSON.
auto SetParsed(Document& aDocument,
               const std::string& aPath,
               const std::optional<std::string>& aJson) -> bool
{
  if (aPath == "settings") {
    Settings settings;
    if (aJson) {
      ReadField(Json::parse(*aJson),
                "keys_valid_without_contact_ms",
                settings.mKeysValidWithoutContact);
    }
    aDocument.mSettings = settings;
    return true;
  }
  const auto slash = aPath.find('/');
  if (slash == std::string::npos || slash + 1 == aPath.size()) {
    return false;
  }
  const auto kind = aPath.substr(0, slash);
  const auto name = aPath.substr(slash + 1);
  if (kind == "teams") {
    SetNamed(aDocument.mTeams, name, aJson);
  } else if (kind == "keys") {
    SetNamed(aDocument.mKeys, name, aJson);
  } else if (kind == "services") {
    SetNamed(aDocument.mServices, name, aJson);
  } else if (kind == "models") {
    SetNamed(aDocument.mModels, name, aJson);
  } else if (kind == "routes") {
    SetNamed(aDocument.mRoutes, name, aJson);
  } else if (kind == "domains") {
    SetNamed(aDocument.mDomains, name, aJson);
  } else {
    return false;
  }
  return true;
}

} // namespace

auto ToEntries(const Document& aDocument) -> ConfigEntries
{
  ConfigEntries entries;
  entries["settings"] = ToJson(aDocument.mSettings).dump();
  AddEntries("teams", aDocument.mTeams, entries);
  AddEntries("keys", aDocument.mKeys, entries);
  AddEntries("services", aDocument.mServices, entries);
  AddEntries("models", aDocument.mModels, entries);
  AddEntries("routes", aDocument.mRoutes, entries);
  AddEntries("domains", aDocument.mDomains, entries);
  return entries;
}

auto SetEntry(Document& aDocument,
              const std::string& aPath,
              const std::optional<std::string>& aJson)
  -> Result<void, std::string>
{
  try {
    if (!SetParsed(aDocument, aPath, aJson)) {
      return Err(absl::StrCat("unknown path \"", aPath, "\""));
    }
    return {};
  } catch (const Json::exception& e) {
    return Err(absl::StrCat("entry \"", aPath, "\": ", e.what()));
  }
}

auto DiffEntries(const ConfigEntries& aFrom, const ConfigEntries& aTo)
  -> EntryChanges
{
  EntryChanges changes;
  for (const auto& [path, json] : aTo) {
    const auto found = aFrom.find(path);
    if (found == aFrom.end() || found->second != json) {
      changes[path] = json;
    }
  }
  for (const auto& [path, json] : aFrom) {
    if (!aTo.contains(path)) {
      changes[path] = std::nullopt;
    }
  }
  return changes;
}

auto ApplyChanges(ConfigEntries& aEntries, const EntryChanges& aChanges) -> void
{
  for (const auto& [path, json] : aChanges) {
    if (json) {
      aEntries[path] = *json;
    } else {
      aEntries.erase(path);
    }
  }
}

auto EntriesDigest(const ConfigEntries& aEntries) -> std::string
{
  std::string text;
  for (const auto& [path, json] : aEntries) {
    absl::StrAppend(&text, path, "\n", json, "\n");
  }
  return Sha256Hex(text);
}

} // namespace mangovalve
