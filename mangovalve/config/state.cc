// Replicated configuration: the active document and its history.
#include "mangovalve/config/state.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace mangovalve {
namespace {

using Json = nlohmann::json;

auto Text(const flatbuffers::String* aText) -> std::string
{
  return aText == nullptr ? std::string() : aText->str();
}

auto ChangesOf(const record::ConfigSubmission& aRecord) -> EntryChanges
{
  EntryChanges changes;
  if (aRecord.changes() != nullptr) {
    for (const auto* const each : *aRecord.changes()) {
      auto& json = changes[each->path()->str()];
      json.reset();
      if (each->json() != nullptr) {
        json = each->json()->str();
      }
    }
  }
  return changes;
}

auto ChangesToJson(const EntryChanges& aChanges) -> Json
{
  auto json = Json::object();
  for (const auto& [path, text] : aChanges) {
    json[path] = text ? Json(*text) : Json(nullptr);
  }
  return json;
}

auto ChangesFromJson(const Json& aJson) -> EntryChanges
{
  EntryChanges changes;
  for (const auto& [path, text] : aJson.items()) {
    changes[path] =
      text.is_null() ? std::nullopt : std::optional(text.get<std::string>());
  }
  return changes;
}

auto ToJson(const Revision& aRevision) -> Json
{
  return { { "number", aRevision.mNumber },
           { "offset", aRevision.mContext.mOffset },
           { "index", aRevision.mContext.mIndex },
           { "time_ms", aRevision.mContext.mTime.time_since_epoch().count() },
           { "digest", aRevision.mDigest },
           { "submitter", aRevision.mSubmitter },
           { "comment", aRevision.mComment },
           { "submission", aRevision.mSubmission },
           { "rollback_of", aRevision.mRollbackOf },
           { "undo", ChangesToJson(aRevision.mUndo) } };
}

auto RevisionFromJson(const Json& aJson) -> Revision
{
  Revision revision;
  revision.mNumber = aJson.at("number");
  revision.mContext.mOffset = aJson.at("offset");
  revision.mContext.mIndex = aJson.at("index");
  revision.mContext.mTime =
    LogTime(std::chrono::milliseconds(aJson.at("time_ms").get<std::int64_t>()));
  revision.mDigest = aJson.at("digest");
  revision.mSubmitter = aJson.at("submitter");
  revision.mComment = aJson.at("comment");
  revision.mSubmission = aJson.at("submission");
  revision.mRollbackOf = aJson.at("rollback_of");
  revision.mUndo = ChangesFromJson(aJson.at("undo"));
  return revision;
}

// Whether the strings of the record are valid UTF-8. A saved state is JSON,
// which cannot hold other strings.
auto IsUtf8(const record::ConfigSubmission& aRecord,
            const EntryChanges& aChanges) -> bool
{
  try {
    ChangesToJson(aChanges).dump();
    Json(Text(aRecord.submitter())).dump();
    Json(Text(aRecord.comment())).dump();
    Json(Text(aRecord.submission())).dump();
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

} // namespace

auto Apply(ConfigState& aState,
           const RecordContext& aContext,
           const record::ConfigSubmission& aRecord) -> Verdict
{
  const auto submission = Text(aRecord.submission());
  if (const auto* const same = FindSubmission(aState, submission)) {
    return Accepted(same->mNumber);
  }
  if (aRecord.base_revision() != aState.mRevision) {
    return Rejected("conflict", aState.mRevision);
  }
  if (aRecord.rollback_of() != 0 &&
      FindRevision(aState, aRecord.rollback_of()) == nullptr) {
    return Rejected("unknown_revision", aState.mRevision);
  }
  const auto changes = ChangesOf(aRecord);
  if (!IsUtf8(aRecord, changes)) {
    return Rejected("malformed", aState.mRevision);
  }
  auto document = std::make_shared<Document>(*aState.mDocument);
  for (const auto& [path, json] : changes) {
    if (!SetEntry(*document, path, json)) {
      return Rejected("malformed", aState.mRevision);
    }
  }
  auto entries = aState.mEntries;
  ApplyChanges(entries, changes);
  auto digest = EntriesDigest(entries);
  if (digest != Text(aRecord.document_digest())) {
    return Rejected("digest_mismatch", aState.mRevision);
  }
  document->mRevision = aState.mRevision + 1;
  aState.mHistory.push_back({ document->mRevision,
                              aContext,
                              std::move(digest),
                              Text(aRecord.submitter()),
                              Text(aRecord.comment()),
                              submission,
                              aRecord.rollback_of(),
                              DiffEntries(entries, aState.mEntries) });
  if (aState.mHistory.size() > kMaxRevisions) {
    aState.mHistory.pop_front();
  }
  aState.mRevision = document->mRevision;
  aState.mEntries = std::move(entries);
  aState.mDocument = std::move(document);
  return Accepted(aState.mRevision);
}

auto FindRevision(const ConfigState& aState, std::uint64_t aRevision)
  -> const Revision*
{
  if (aState.mHistory.empty() || aRevision < aState.mHistory.front().mNumber ||
      aRevision > aState.mRevision) {
    return nullptr;
  }
  return &aState.mHistory[aRevision - aState.mHistory.front().mNumber];
}

auto FindSubmission(const ConfigState& aState, const std::string& aSubmission)
  -> const Revision*
{
  if (aSubmission.empty()) {
    return nullptr;
  }
  for (const auto& each : aState.mHistory) {
    if (each.mSubmission == aSubmission) {
      return &each;
    }
  }
  return nullptr;
}

auto RevisionBefore(const ConfigState& aState, Offset aNext)
  -> std::optional<std::uint64_t>
{
  for (auto each = aState.mHistory.rbegin(); each != aState.mHistory.rend();
       ++each) {
    if (each->mContext.mOffset < aNext) {
      return each->mNumber;
    }
  }
  if (aState.mHistory.empty() || aState.mHistory.front().mNumber == 1) {
    return 0;
  }
  return std::nullopt;
}

auto EntriesAt(const ConfigState& aState, std::uint64_t aRevision)
  -> std::optional<ConfigEntries>
{
  if (FindRevision(aState, aRevision) == nullptr) {
    return std::nullopt;
  }
  auto entries = aState.mEntries;
  for (auto each = aState.mHistory.rbegin();
       each != aState.mHistory.rend() && each->mNumber > aRevision;
       ++each) {
    ApplyChanges(entries, each->mUndo);
  }
  return entries;
}

auto Save(const ConfigState& aState) -> std::string
{
  Json json = { { "revision", aState.mRevision },
                { "entries", aState.mEntries },
                { "history", Json::array() } };
  for (const auto& each : aState.mHistory) {
    json["history"].push_back(ToJson(each));
  }
  return json.dump();
}

auto Load(std::string_view aData, ConfigState& aState)
  -> Result<void, std::string>
{
  try {
    const auto json = Json::parse(aData);
    ConfigState state;
    state.mRevision = json.at("revision");
    state.mEntries = json.at("entries").get<ConfigEntries>();
    for (const auto& each : json.at("history")) {
      state.mHistory.push_back(RevisionFromJson(each));
    }
    if (!state.mHistory.empty() &&
        (state.mHistory.back().mNumber != state.mRevision ||
         state.mHistory.front().mNumber + state.mHistory.size() - 1 !=
           state.mRevision)) {
      return Err(std::string(
        "the revisions of the configuration history are not consecutive"));
    }
    auto document = std::make_shared<Document>();
    for (const auto& [path, text] : state.mEntries) {
      if (auto set = SetEntry(*document, path, text); !set) {
        return Err(std::move(set.error()));
      }
    }
    document->mRevision = state.mRevision;
    state.mDocument = std::move(document);
    aState = std::move(state);
    return {};
  } catch (const Json::exception& e) {
    return Err(
      absl::StrCat("the configuration state is malformed: ", e.what()));
  }
}

} // namespace mangovalve
