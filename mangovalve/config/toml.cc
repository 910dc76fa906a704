// Parsing and formatting of the configuration document as TOML.
#include "mangovalve/config/toml.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <sstream>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <toml++/toml.h>

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

// Maximum size of the TOML text. A submission must fit into one append.
constexpr std::size_t kMaxDocumentBytes = std::size_t{ 4 } << 20;
constexpr std::size_t kMaxNameBytes = 64;
constexpr double kMaxNumber = 1e9; // of rate, burst and weight
constexpr milliseconds kMaxDuration{ 7LL * 24 * 3600 * 1000 }; // 168 h
constexpr std::int64_t kMaxCount = 1000000;

// Collects problems, at most one per path.
struct Problems
{
  std::vector<ConfigProblem> mList;
  std::set<std::string> mPaths;
};

auto Add(Problems& aProblems,
         const std::string& aPath,
         std::string aMessage,
         std::uint32_t aLine) -> void
{
  if (aProblems.mPaths.insert(aPath).second) {
    aProblems.mList.push_back({ aPath, std::move(aMessage), aLine });
  }
}

// A table of the document whose fields are being read. Fields that are not in
// mRead at the end are unknown.
struct Fields
{
  const toml::table& mTable;
  std::string mPath;
  Problems& mProblems;
  std::set<std::string, std::less<>> mRead;
};

auto LineOf(const toml::node& aNode) -> std::uint32_t
{
  return aNode.source().begin.line;
}

auto FieldPath(const Fields& aFields, std::string_view aField) -> std::string
{
  return absl::StrCat(
    aFields.mPath, ".", absl::string_view(aField.data(), aField.size()));
}

auto Fail(const Fields& aFields, std::string_view aField, std::string aMessage)
  -> void
{
  const auto* const node = aFields.mTable.get(aField);
  const auto line = node == nullptr ? LineOf(aFields.mTable) : LineOf(*node);
  Add(aFields.mProblems, FieldPath(aFields, aField), std::move(aMessage), line);
}

auto Find(Fields& aFields, std::string_view aField) -> const toml::node*
{
  aFields.mRead.emplace(aField);
  return aFields.mTable.get(aField);
}

auto ReadString(Fields& aFields, std::string_view aField, std::string& aTarget)
  -> void
{
  const auto* const node = Find(aFields, aField);
  if (node == nullptr) {
    return;
  }
  if (const auto value = node->value_exact<std::string>()) {
    aTarget = *value;
  } else {
    Fail(aFields, aField, "must be a string");
  }
}

auto ReadBool(Fields& aFields, std::string_view aField, bool& aTarget) -> void
{
  const auto* const node = Find(aFields, aField);
  if (node == nullptr) {
    return;
  }
  if (const auto value = node->value_exact<bool>()) {
    aTarget = *value;
  } else {
    Fail(aFields, aField, "must be true or false");
  }
}

// Reads a number above 0 and at most kMaxNumber.
auto ReadNumber(Fields& aFields, std::string_view aField, double& aTarget)
  -> void
{
  const auto* const node = Find(aFields, aField);
  if (node == nullptr) {
    return;
  }
  const auto value = node->is_number() ? node->value<double>() : std::nullopt;
  if (!value) {
    Fail(aFields, aField, "must be a number");
  } else if (!(*value > 0 && *value <= kMaxNumber)) {
    Fail(aFields,
         aField,
         absl::StrCat("must be above 0 and at most ", kMaxNumber));
  } else {
    aTarget = *value;
  }
}

// Reads an integer from 1 to kMaxCount.
auto ReadCount(Fields& aFields, std::string_view aField, std::uint32_t& aTarget)
  -> void
{
  const auto* const node = Find(aFields, aField);
  if (node == nullptr) {
    return;
  }
  const auto value = node->value_exact<std::int64_t>();
  if (!value) {
    Fail(aFields, aField, "must be an integer");
  } else if (*value < 1 || *value > kMaxCount) {
    Fail(aFields, aField, absl::StrCat("must be from 1 to ", kMaxCount));
  } else {
    aTarget = static_cast<std::uint32_t>(*value);
  }
}

auto ParseDuration(std::string_view aText) -> std::optional<milliseconds>
{
  const auto unit =
    std::find_if_not(aText.begin(), aText.end(), [](unsigned char aChar) {
      return absl::ascii_isdigit(aChar);
    });
  const auto digits = static_cast<std::size_t>(unit - aText.begin());
  std::int64_t count = 0;
  if (digits == 0 || digits > 9 ||
      !absl::SimpleAtoi(absl::string_view(aText.data(), digits), &count)) {
    return std::nullopt;
  }
  const auto name = aText.substr(digits);
  const auto scale = name == "ms"  ? 1
                     : name == "s" ? 1000
                     : name == "m" ? 60000
                     : name == "h" ? 3600000
                                   : 0;
  return scale == 0 ? std::nullopt : std::optional(milliseconds(count * scale));
}

auto ReadDuration(Fields& aFields,
                  std::string_view aField,
                  milliseconds aMinimum,
                  milliseconds& aTarget) -> void
{
  std::string text;
  if (Find(aFields, aField) == nullptr) {
    return;
  }
  ReadString(aFields, aField, text);
  const auto value = ParseDuration(text);
  if (!value) {
    Fail(aFields, aField, "must be a duration such as \"250ms\" or \"5s\"");
  } else if (*value < aMinimum || *value > kMaxDuration) {
    Fail(aFields,
         aField,
         absl::StrCat("must be from ", aMinimum.count(), "ms to 168h"));
  } else {
    aTarget = *value;
  }
}

auto ReadStrings(Fields& aFields,
                 std::string_view aField,
                 std::vector<std::string>& aTarget) -> void
{
  const auto* const node = Find(aFields, aField);
  if (node == nullptr) {
    return;
  }
  const auto* const array = node->as_array();
  if (array == nullptr) {
    Fail(aFields, aField, "must be an array of strings");
    return;
  }
  for (const auto& each : *array) {
    if (const auto value = each.value_exact<std::string>()) {
      aTarget.push_back(*value);
    } else {
      Fail(aFields, aField, "must be an array of strings");
    }
  }
}

auto RejectUnknownFields(const Fields& aFields) -> void
{
  for (const auto& [key, node] : aFields.mTable) {
    if (!aFields.mRead.contains(key.str())) {
      Fail(aFields, key.str(), "unknown field");
    }
  }
}

auto Read(Fields& aFields, Team& aTeam) -> void
{
  ReadNumber(aFields, "rate", aTeam.mRate);
  ReadNumber(aFields, "burst", aTeam.mBurst);
  ReadNumber(aFields, "weight", aTeam.mWeight);
  ReadCount(aFields, "max_jobs", aTeam.mMaxJobs);
  if (aFields.mTable.get("rate") == nullptr) {
    Fail(aFields, "rate", "is required");
  }
  if (aTeam.mBurst < 1) {
    Fail(aFields, "burst", "must be at least 1");
  }
}

auto Read(Fields& aFields, Key& aKey) -> void
{
  ReadString(aFields, "team", aKey.mTeam);
  const auto isHex =
    std::all_of(aKey.mDigest.begin(), aKey.mDigest.end(), [](char aChar) {
      return absl::ascii_isdigit(static_cast<unsigned char>(aChar)) ||
             (aChar >= 'a' && aChar <= 'f');
    });
  if (aKey.mDigest.size() != 64 || !isHex) {
    // The name may be an API key that was pasted in place of its digest, so the
    // message must not contain it.
    Add(aFields.mProblems,
        "keys",
        "a key's name must be a SHA-256 digest of 64 lower-case hexadecimal "
        "digits",
        LineOf(aFields.mTable));
  }
}

auto Read(Fields& aFields, Service& aService) -> void
{
  std::string kind = "plain";
  ReadString(aFields, "kind", kind);
  if (kind != "model" && kind != "plain") {
    Fail(aFields, "kind", "must be \"model\" or \"plain\"");
  }
  aService.mKind = kind == "model" ? ServiceKind::Model : ServiceKind::Plain;
  ReadBool(aFields, "checks_fencing", aService.mChecksFencing);
  ReadCount(aFields, "max_in_flight", aService.mMaxInFlight);
}

auto Read(Fields& aFields, Model& aModel) -> void
{
  ReadString(aFields, "service", aModel.mService);
  ReadString(aFields, "version", aModel.mVersion);
  ReadStrings(aFields, "adapters", aModel.mAdapters);
  ReadDuration(aFields, "retain_former", milliseconds(0), aModel.mRetainFormer);
  if (aModel.mVersion.empty()) {
    Fail(aFields, "version", "is required");
  }
}

auto Read(Fields& aFields, Route& aRoute) -> void
{
  ReadString(aFields, "path", aRoute.mPath);
  ReadString(aFields, "service", aRoute.mService);
  ReadString(aFields, "model", aRoute.mModel);
  ReadBool(aFields, "open", aRoute.mOpen);
  ReadBool(aFields, "idempotent", aRoute.mIdempotent);
  ReadStrings(aFields, "teams", aRoute.mTeams);
  ReadDuration(aFields, "timeout", milliseconds(1), aRoute.mTimeout);
  ReadDuration(
    aFields, "first_byte_timeout", milliseconds(1), aRoute.mFirstByteTimeout);
  if (!absl::StartsWith(aRoute.mPath, "/")) {
    Fail(aFields, "path", "must begin with \"/\"");
  }
  if (aRoute.mOpen && !aRoute.mTeams.empty()) {
    Fail(aFields, "teams", "an open route must not list teams");
  }
}

auto Read(Fields& aFields, Domain& aDomain) -> void
{
  ReadString(aFields, "region", aDomain.mRegion);
}

auto Read(Fields& aFields, Settings& aSettings) -> void
{
  ReadDuration(aFields,
               "keys_valid_without_contact",
               milliseconds(0),
               aSettings.mKeysValidWithoutContact);
}

auto SetName(Key& aKey, const std::string& aName) -> void
{
  aKey.mDigest = aName;
}

auto SetName(auto& aItem, const std::string& aName) -> void
{
  aItem.mName = aName;
}

// Whether a name may be used; names are part of entry paths and metric labels.
auto IsName(std::string_view aName) -> bool
{
  return !aName.empty() && aName.size() <= kMaxNameBytes &&
         std::all_of(aName.begin(), aName.end(), [](unsigned char aChar) {
           return absl::ascii_isalnum(aChar) || aChar == '-' || aChar == '_' ||
                  aChar == '.';
         });
}

template<typename T>
auto ReadSection(const toml::table& aRoot,
                 const std::string& aSection,
                 std::map<std::string, T>& aItems,
                 Problems& aProblems) -> void
{
  const auto* const node = aRoot.get(aSection);
  if (node == nullptr) {
    return;
  }
  const auto* const section = node->as_table();
  if (section == nullptr) {
    Add(aProblems, aSection, "must be a table", LineOf(*node));
    return;
  }
  for (const auto& [key, each] : *section) {
    const std::string name(key.str());
    const auto isKey = aSection == "keys";
    const auto path = isKey
                        ? absl::StrCat(aSection, ".", name.substr(0, 8), "...")
                        : absl::StrCat(aSection, ".", name);
    const auto* const table = each.as_table();
    if (table == nullptr) {
      Add(aProblems, path, "must be a table", LineOf(each));
      continue;
    }
    if (!IsName(name)) {
      Add(aProblems,
          path,
          "a name must have 1 to 64 characters of A-Z, a-z, 0-9, '-', '_' "
          "and '.'",
          LineOf(each));
      continue;
    }
    Fields fields{ *table, path, aProblems, {} };
    T item;
    SetName(item, name);
    Read(fields, item);
    RejectUnknownFields(fields);
    aItems.emplace(name, std::move(item));
  }
}

auto ReadSettings(const toml::table& aRoot,
                  Settings& aSettings,
                  Problems& aProblems) -> void
{
  const auto* const node = aRoot.get("settings");
  if (node == nullptr) {
    return;
  }
  if (!node->is_table()) {
    Add(aProblems, "settings", "must be a table", LineOf(*node));
    return;
  }
  Fields fields{ *node->as_table(), "settings", aProblems, {} };
  Read(fields, aSettings);
  RejectUnknownFields(fields);
}

// Returns the line of a field, for problems that concern several tables; 0 if
// it is absent.
auto LineAt(const toml::table& aRoot, const std::string& aPath) -> std::uint32_t
{
  const auto node = aRoot.at_path(aPath);
  return node ? LineOf(*node.node()) : 0;
}

// Checks that every name which one table refers to exists in the other.
auto CheckReferences(const Document& aDocument,
                     const toml::table& aRoot,
                     Problems& aProblems) -> void
{
  const auto check = [&](const std::string& aPath,
                         const char* aKind,
                         const std::string& aName,
                         const auto& aItems) {
    if (!aItems.contains(aName)) {
      Add(aProblems,
          aPath,
          aName.empty() ? absl::StrCat("a ", aKind, " is required")
                        : absl::StrCat("no ", aKind, " \"", aName, "\""),
          LineAt(aRoot, aPath));
    }
  };
  for (const auto& [digest, key] : aDocument.mKeys) {
    check(absl::StrCat("keys.", digest.substr(0, 8), "....team"),
          "team",
          key.mTeam,
          aDocument.mTeams);
  }
  for (const auto& [name, model] : aDocument.mModels) {
    check(absl::StrCat("models.", name, ".service"),
          "service",
          model.mService,
          aDocument.mServices);
  }
  for (const auto& [name, route] : aDocument.mRoutes) {
    const auto path = absl::StrCat("routes.", name);
    check(absl::StrCat(path, ".service"),
          "service",
          route.mService,
          aDocument.mServices);
    if (!route.mModel.empty()) {
      check(
        absl::StrCat(path, ".model"), "model", route.mModel, aDocument.mModels);
    }
    for (const auto& team : route.mTeams) {
      check(absl::StrCat(path, ".teams"), "team", team, aDocument.mTeams);
    }
  }
}

// Checks the rules that concern several fields.
auto CheckRules(const Document& aDocument,
                const toml::table& aRoot,
                Problems& aProblems) -> void
{
  std::map<std::string, std::string> routeOfPath;
  for (const auto& [name, route] : aDocument.mRoutes) {
    const auto path = absl::StrCat("routes.", name);
    const auto [first, isNew] = routeOfPath.emplace(route.mPath, name);
    if (!isNew) {
      Add(aProblems,
          absl::StrCat(path, ".path"),
          absl::StrCat("is already the path of route \"", first->second, "\""),
          LineAt(aRoot, absl::StrCat(path, ".path")));
    }
    const auto service = aDocument.mServices.find(route.mService);
    const auto model = aDocument.mModels.find(route.mModel);
    if (service == aDocument.mServices.end()) {
      continue;
    }
    const auto isModel = service->second.mKind == ServiceKind::Model;
    if (isModel != !route.mModel.empty()) {
      Add(aProblems,
          absl::StrCat(path, ".model"),
          isModel ? "is required: the service is of kind \"model\""
                  : "the service is of kind \"plain\"",
          LineAt(aRoot, path));
    } else if (model != aDocument.mModels.end() &&
               model->second.mService != route.mService) {
      Add(aProblems,
          absl::StrCat(path, ".model"),
          "the model belongs to another service",
          LineAt(aRoot, path));
    }
  }
  if (aDocument.mDomains.empty()) {
    Add(aProblems, "domains", "at least one domain is required", 0);
  }
}

auto FindWarnings(const Document& aDocument, const toml::table& aRoot)
  -> std::vector<ConfigProblem>
{
  Problems warnings;
  const auto domains = aDocument.mDomains.size();
  for (const auto& [name, team] : aDocument.mTeams) {
    if (team.mBurst < static_cast<double>(domains)) {
      const auto path = absl::StrCat("teams.", name, ".burst");
      Add(warnings,
          path,
          absl::StrCat(
            "burst ",
            team.mBurst,
            " is below the number of domains (",
            domains,
            "): in a network partition some domains cannot serve the team"),
          LineAt(aRoot, path));
    }
  }
  return std::move(warnings.mList);
}

auto RejectUnknownSections(const toml::table& aRoot, Problems& aProblems)
  -> void
{
  static const std::set<std::string, std::less<>> kSections{
    "settings", "teams", "keys", "services", "models", "routes", "domains"
  };
  for (const auto& [key, node] : aRoot) {
    if (!kSections.contains(key.str())) {
      Add(aProblems, std::string(key.str()), "unknown section", LineOf(node));
    }
  }
}

auto FormatDuration(milliseconds aDuration) -> std::string
{
  return absl::StrCat(aDuration.count(), "ms");
}

auto StringArray(const std::vector<std::string>& aStrings) -> toml::array
{
  toml::array array;
  for (const auto& each : aStrings) {
    array.push_back(each);
  }
  return array;
}

auto ToToml(const Team& aTeam) -> toml::table
{
  return toml::table{ { "rate", aTeam.mRate },
                      { "burst", aTeam.mBurst },
                      { "weight", aTeam.mWeight },
                      { "max_jobs", std::int64_t{ aTeam.mMaxJobs } } };
}

auto ToToml(const Key& aKey) -> toml::table
{
  return toml::table{ { "team", aKey.mTeam } };
}

auto ToToml(const Service& aService) -> toml::table
{
  return toml::table{
    { "kind", aService.mKind == ServiceKind::Model ? "model" : "plain" },
    { "checks_fencing", aService.mChecksFencing },
    { "max_in_flight", std::int64_t{ aService.mMaxInFlight } }
  };
}

auto ToToml(const Model& aModel) -> toml::table
{
  return toml::table{ { "service", aModel.mService },
                      { "version", aModel.mVersion },
                      { "adapters", StringArray(aModel.mAdapters) },
                      { "retain_former",
                        FormatDuration(aModel.mRetainFormer) } };
}

auto ToToml(const Route& aRoute) -> toml::table
{
  return toml::table{ { "path", aRoute.mPath },
                      { "service", aRoute.mService },
                      { "model", aRoute.mModel },
                      { "open", aRoute.mOpen },
                      { "idempotent", aRoute.mIdempotent },
                      { "teams", StringArray(aRoute.mTeams) },
                      { "timeout", FormatDuration(aRoute.mTimeout) },
                      { "first_byte_timeout",
                        FormatDuration(aRoute.mFirstByteTimeout) } };
}

auto ToToml(const Domain& aDomain) -> toml::table
{
  return toml::table{ { "region", aDomain.mRegion } };
}

template<typename T>
auto Section(const std::map<std::string, T>& aItems) -> toml::table
{
  toml::table section;
  for (const auto& [name, item] : aItems) {
    section.insert(name, ToToml(item));
  }
  return section;
}

} // namespace

auto ParseConfig(std::string_view aToml) -> ParsedConfig
{
  ParsedConfig parsed;
  if (aToml.size() > kMaxDocumentBytes) {
    parsed.mErrors.push_back({ "", "the document is over 4 MiB", 0 });
    return parsed;
  }
  toml::table root;
  try {
    root = toml::parse(aToml);
  } catch (const toml::parse_error& e) {
    parsed.mErrors.push_back(
      { "", std::string(e.description()), e.source().begin.line });
    return parsed;
  }
  Problems problems;
  auto& document = parsed.mDocument;
  RejectUnknownSections(root, problems);
  ReadSettings(root, document.mSettings, problems);
  ReadSection(root, "domains", document.mDomains, problems);
  ReadSection(root, "teams", document.mTeams, problems);
  ReadSection(root, "keys", document.mKeys, problems);
  ReadSection(root, "services", document.mServices, problems);
  ReadSection(root, "models", document.mModels, problems);
  ReadSection(root, "routes", document.mRoutes, problems);
  CheckReferences(document, root, problems);
  CheckRules(document, root, problems);
  parsed.mErrors = std::move(problems.mList);
  parsed.mWarnings = FindWarnings(document, root);
  return parsed;
}

auto FormatConfig(const Document& aDocument) -> std::string
{
  const toml::table root{
    { "settings",
      toml::table{
        { "keys_valid_without_contact",
          FormatDuration(aDocument.mSettings.mKeysValidWithoutContact) } } },
    { "domains", Section(aDocument.mDomains) },
    { "teams", Section(aDocument.mTeams) },
    { "keys", Section(aDocument.mKeys) },
    { "services", Section(aDocument.mServices) },
    { "models", Section(aDocument.mModels) },
    { "routes", Section(aDocument.mRoutes) }
  };
  std::ostringstream text;
  text << root << "\n";
  return text.str();
}

} // namespace mangovalve
