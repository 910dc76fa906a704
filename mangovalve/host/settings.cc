// Parser of a daemon's settings. Names, types and ranges are checked against
// one table of known settings.
#include "mangovalve/host/settings.h"

#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <arpa/inet.h>
#include <toml++/toml.h>

namespace mangovalve {
namespace {

using Assigner =
  std::function<auto(const toml::node& aNode, HostSettings& aSettings)
                  ->Result<void, std::string>>;

struct Setting
{
  bool mRequired = false;
  Assigner mAssign;
};

auto IsName(std::string_view aText) -> bool
{
  constexpr std::size_t kMaxNameLength = 64;
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         aText.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") ==
           std::string_view::npos;
}

auto AssignName(std::string HostSettings::*aField) -> Assigner
{
  return [aField](const toml::node& aNode,
                  HostSettings& aSettings) -> Result<void, std::string> {
    const auto text = aNode.value_exact<std::string>();
    if (!text) {
      return Err(std::string("must be a string"));
    }
    if (!IsName(*text)) {
      return Err(absl::StrCat("\"",
                              *text,
                              "\" is not a name: 1 to 64 letters, digits, "
                              "'.', '_' or '-'"));
    }
    aSettings.*aField = *text;
    return {};
  };
}

auto AssignChoice(std::string HostSettings::*aField,
                  std::vector<std::string> aChoices) -> Assigner
{
  return [aField, choices = std::move(aChoices)](
           const toml::node& aNode,
           HostSettings& aSettings) -> Result<void, std::string> {
    const auto text = aNode.value_exact<std::string>();
    for (const auto& choice : choices) {
      if (text == choice) {
        aSettings.*aField = choice;
        return {};
      }
    }
    return Err(absl::StrCat("must be one of ", absl::StrJoin(choices, ", ")));
  };
}

auto AssignDigest(std::string HostSettings::*aField) -> Assigner
{
  return [aField](const toml::node& aNode,
                  HostSettings& aSettings) -> Result<void, std::string> {
    constexpr std::size_t kDigestDigits = 64;
    const auto text = aNode.value_exact<std::string>();
    if (!text ||
        (!text->empty() &&
         (text->size() != kDigestDigits ||
          text->find_first_not_of("0123456789abcdef") != std::string::npos))) {
      return Err(
        std::string("must be empty or 64 lower-case hexadecimal digits"));
    }
    aSettings.*aField = *text;
    return {};
  };
}

auto AssignAddress(Address HostSettings::*aField) -> Assigner
{
  return [aField](const toml::node& aNode,
                  HostSettings& aSettings) -> Result<void, std::string> {
    const auto text = aNode.value_exact<std::string>();
    if (!text) {
      return Err(std::string("must be a string \"IP:PORT\""));
    }
    const auto address = ParseAddress(*text);
    if (!address) {
      return Err(address.error());
    }
    aSettings.*aField = *address;
    return {};
  };
}

auto AssignSeeds() -> Assigner
{
  return [](const toml::node& aNode,
            HostSettings& aSettings) -> Result<void, std::string> {
    const auto* const array = aNode.as_array();
    if (array == nullptr) {
      return Err(std::string("must be an array of \"IP:PORT\" strings"));
    }
    for (const auto& element : *array) {
      const auto text = element.value_exact<std::string>();
      const auto address =
        text ? ParseAddress(*text)
             : Result<Address, std::string>(
                 Err(std::string("must hold only \"IP:PORT\" strings")));
      if (!address) {
        return Err(address.error());
      }
      aSettings.mSeeds.push_back(*address);
    }
    return {};
  };
}

// An integer in [aLow, aHigh]. T is an integer or std::chrono::milliseconds.
template<typename T>
auto AssignInteger(T HostSettings::*aField,
                   std::int64_t aLow,
                   std::int64_t aHigh) -> Assigner
{
  return [aField, aLow, aHigh](
           const toml::node& aNode,
           HostSettings& aSettings) -> Result<void, std::string> {
    const auto value = aNode.value_exact<std::int64_t>();
    if (!value) {
      return Err(std::string("must be an integer"));
    }
    if (*value < aLow || *value > aHigh) {
      return Err(
        absl::StrFormat("%d is not between %d and %d", *value, aLow, aHigh));
    }
    aSettings.*aField = T(*value);
    return {};
  };
}

auto KnownSettings() -> const std::map<std::string, Setting>&
{
  constexpr std::int64_t kDayMs = 86400000;
  constexpr std::int64_t kMaxThreads = 4096;
  static const std::map<std::string, Setting> sSettings{
    { "host", { true, AssignName(&HostSettings::mHost) } },
    { "domain", { true, AssignName(&HostSettings::mDomain) } },
    { "region", { false, AssignName(&HostSettings::mRegion) } },
    { "log_level",
      { false,
        AssignChoice(&HostSettings::mLogLevel,
                     { "debug", "info", "warn", "error" }) } },
    { "listen.callers", { true, AssignAddress(&HostSettings::mCallers) } },
    { "listen.operators", { true, AssignAddress(&HostSettings::mOperators) } },
    { "listen.peers", { true, AssignAddress(&HostSettings::mPeers) } },
    { "platform.address", { true, AssignAddress(&HostSettings::mPlatform) } },
    { "platform.append_budget",
      { false, AssignInteger(&HostSettings::mAppendBudget, 1, 100000) } },
    { "platform.retention_ms",
      { false, AssignInteger(&HostSettings::mRetention, 1000, 365 * kDayMs) } },
    { "peers.seeds", { false, AssignSeeds() } },
    { "limits.callers_threads",
      { false,
        AssignInteger(&HostSettings::mCallersThreads, 4, kMaxThreads) } },
    { "limits.max_body_bytes",
      { false, AssignInteger(&HostSettings::mMaxBodyBytes, 1024, 1 << 30) } },
    { "limits.drain_accept_ms",
      { false, AssignInteger(&HostSettings::mDrainAccept, 0, kDayMs) } },
    { "limits.drain_timeout_ms",
      { false, AssignInteger(&HostSettings::mDrainTimeout, 0, kDayMs) } },
    { "operators.token_digest",
      { false, AssignDigest(&HostSettings::mOperatorTokenDigest) } },
  };
  return sSettings;
}

auto IsKnownTable(const std::string& aPath) -> bool
{
  const auto prefix = aPath + ".";
  for (const auto& [name, setting] : KnownSettings()) {
    if (name.starts_with(prefix)) {
      return true;
    }
  }
  return false;
}

// State of one parse, shared by nested tables.
struct ParseState
{
  std::string mFile;
  HostSettings mSettings;
  std::map<std::string, bool> mAssigned;
};

auto ParseTable(const toml::table& aTable,
                const std::string& aPrefix,
                ParseState& aState) -> Result<void, SettingsError>
{
  for (const auto& [key, node] : aTable) {
    const auto path = aPrefix + std::string(key.str());
    const auto fail = [&aState, &path, &node = node](std::string aMessage) {
      return Err(SettingsError{
        aState.mFile, node.source().begin.line, path, std::move(aMessage) });
    };
    if (node.is_table() && IsKnownTable(path)) {
      const auto nested = ParseTable(*node.as_table(), path + ".", aState);
      if (!nested) {
        return nested;
      }
      continue;
    }
    const auto known = KnownSettings().find(path);
    if (known == KnownSettings().end()) {
      return fail("unknown setting");
    }
    const auto assigned = known->second.mAssign(node, aState.mSettings);
    if (!assigned) {
      return fail(assigned.error());
    }
    aState.mAssigned[path] = true;
  }
  return {};
}

} // namespace

auto ParseAddress(std::string_view aText) -> Result<Address, std::string>
{
  const auto fail = [aText] {
    return Err(absl::StrCat("\"",
                            absl::string_view(aText.data(), aText.size()),
                            "\" is not IP:PORT with an IPv4 number and a port "
                            "from 1 to 65535"));
  };
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return fail();
  }
  Address address{ std::string(aText.substr(0, colon)), 0 };
  in_addr parsed{};
  std::uint32_t port = 0;
  const auto digits = aText.substr(colon + 1);
  if (inet_pton(AF_INET, address.mIp.c_str(), &parsed) != 1 ||
      digits.find_first_not_of("0123456789") != std::string_view::npos ||
      !absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()),
                        &port) ||
      port == 0 || port > UINT16_MAX) {
    return fail();
  }
  address.mPort = static_cast<std::uint16_t>(port);
  return address;
}

auto FormatAddress(const Address& aAddress) -> std::string
{
  return absl::StrCat(aAddress.mIp, ":", aAddress.mPort);
}

auto FormatError(const SettingsError& aError) -> std::string
{
  auto text = aError.mFile;
  if (aError.mLine != 0) {
    absl::StrAppend(&text, ":", aError.mLine);
  }
  if (!aError.mSetting.empty()) {
    absl::StrAppend(&text, ": ", aError.mSetting);
  }
  return absl::StrCat(text, ": ", aError.mMessage);
}

auto ParseSettings(std::string_view aText, const std::string& aFile)
  -> Result<HostSettings, SettingsError>
{
  ParseState parse;
  parse.mFile = aFile;
  try {
    const auto parsed = ParseTable(toml::parse(aText, aFile), "", parse);
    if (!parsed) {
      return Err(parsed.error());
    }
  } catch (const toml::parse_error& error) {
    return Err(SettingsError{
      aFile, error.source().begin.line, "", std::string(error.description()) });
  }
  for (const auto& [path, setting] : KnownSettings()) {
    if (setting.mRequired && !parse.mAssigned.contains(path)) {
      return Err(
        SettingsError{ aFile, 0, path, "required setting is missing" });
    }
  }
  return parse.mSettings;
}

auto ReadSettings(const std::string& aFile)
  -> Result<HostSettings, SettingsError>
{
  const std::ifstream file(aFile);
  if (!file) {
    return Err(SettingsError{ aFile, 0, "", "cannot be read" });
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), aFile);
}

} // namespace mangovalve
