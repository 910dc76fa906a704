// API keys: generation, digests, lookup and removal.
#include "mangovalve/keys/keys.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <openssl/rand.h>

namespace mangovalve {
namespace {

constexpr std::string_view kPrefix = "mv_";
constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kSecretChars = 43; // base64 of kSecretBytes, unpadded
// Parameter and cookie that may carry a key.
constexpr std::string_view kParameter = "api_key";

// Names under which clients of other systems send keys; never forwarded.
constexpr std::array kKeyParameters{ "api_key",  "apikey",       "api-key",
                                     "key",      "access_token", "token",
                                     "x-api-key" };

// Headers an endpoint may see. Connection management, Host, Content-Length and
// trace headers are set by the sender.
constexpr std::array kAllowed{ "accept",           "accept-language",
                               "content-type",     "content-language",
                               "content-encoding", "user-agent",
                               "idempotency-key" };

// The string views of absl and std are distinct types in this build.
auto View(std::string_view aText) -> absl::string_view
{
  return { aText.data(), aText.size() };
}

auto IsOneOf(std::string_view aName, const auto& aNames) -> bool
{
  return std::any_of(aNames.begin(), aNames.end(), [aName](const char* aEach) {
    return absl::EqualsIgnoreCase(View(aName), aEach);
  });
}

auto IsHex(char aDigit) -> bool
{
  return absl::ascii_isxdigit(static_cast<unsigned char>(aDigit));
}

// Decodes %XX and '+'; a malformed escape stays as it is.
auto PercentDecode(std::string_view aText) -> std::string
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size() && IsHex(aText[i + 1]) &&
        IsHex(aText[i + 2])) {
      decoded += absl::HexStringToBytes(View(aText.substr(i + 1, 2)));
      i += 2;
    } else {
      decoded.push_back(aText[i] == '+' ? ' ' : aText[i]);
    }
  }
  return decoded;
}

// Whether a text holds something in the form of our keys, known or not.
auto HoldsOwnForm(std::string_view aText) -> bool
{
  for (auto at = aText.find(kPrefix); at != std::string_view::npos;
       at = aText.find(kPrefix, at + 1)) {
    const auto secret = aText.substr(at + kPrefix.size(), kSecretChars);
    if (secret.size() == kSecretChars &&
        std::all_of(secret.begin(), secret.end(), [](unsigned char aChar) {
          return absl::ascii_isalnum(aChar) || aChar == '-' || aChar == '_';
        })) {
      return true;
    }
  }
  return false;
}

// Whether a text holds the request's key or is a key of the document, also
// when escaped up to three times.
auto HoldsKey(std::string_view aText,
              std::string_view aKey,
              const Document& aDocument) -> bool
{
  constexpr int kMaxEscapes = 3;
  std::string text(aText);
  for (auto i = 0; i <= kMaxEscapes; ++i) {
    if ((!aKey.empty() && text.find(aKey) != std::string::npos) ||
        HoldsOwnForm(text) || FindKey(aDocument, text) != nullptr) {
      return true;
    }
    auto decoded = PercentDecode(text);
    if (decoded == text) {
      return false;
    }
    text = std::move(decoded);
  }
  return false;
}

auto FindHeader(const HeaderList& aHeaders, std::string_view aName)
  -> const std::string*
{
  for (const auto& [name, value] : aHeaders) {
    if (absl::EqualsIgnoreCase(View(name), View(aName))) {
      return &value;
    }
  }
  return nullptr;
}

using Parameter = std::pair<std::string, std::string>;

auto SplitParameter(absl::string_view aText) -> Parameter
{
  return absl::StrSplit(aText, absl::MaxSplits('=', 1));
}

auto KeyFromQuery(std::string_view aTarget) -> std::string
{
  const auto question = aTarget.find('?');
  if (question == std::string_view::npos) {
    return {};
  }
  for (const auto each :
       absl::StrSplit(View(aTarget.substr(question + 1)), '&')) {
    const auto [name, value] = SplitParameter(each);
    if (PercentDecode(name) == kParameter) {
      return PercentDecode(value);
    }
  }
  return {};
}

auto KeyFromCookie(std::string_view aCookie) -> std::string
{
  for (const auto each : absl::StrSplit(View(aCookie), ';')) {
    const auto [name, value] = SplitParameter(absl::StripAsciiWhitespace(each));
    if (name == kParameter) {
      return value;
    }
  }
  return {};
}

} // namespace

auto NewKey() -> std::string
{
  std::array<unsigned char, kSecretBytes> secret{};
  if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1) {
    throw std::runtime_error("no random bytes for a key");
  }
  const auto text = absl::WebSafeBase64Escape(absl::string_view(
    reinterpret_cast<const char*>(secret.data()), secret.size()));
  return absl::StrCat(View(kPrefix), text.substr(0, kSecretChars));
}

auto ExtractKey(const HeaderList& aHeaders, std::string_view aTarget)
  -> std::string
{
  if (const auto* const value = FindHeader(aHeaders, "Authorization")) {
    auto text = absl::StripAsciiWhitespace(*value);
    if (absl::StartsWithIgnoreCase(text, "bearer ")) {
      text.remove_prefix(std::string_view("bearer ").size());
      return std::string(absl::StripAsciiWhitespace(text));
    }
  }
  if (const auto* const value = FindHeader(aHeaders, "X-Api-Key")) {
    return std::string(absl::StripAsciiWhitespace(*value));
  }
  if (auto key = KeyFromQuery(aTarget); !key.empty()) {
    return key;
  }
  const auto* const cookie = FindHeader(aHeaders, "Cookie");
  return cookie == nullptr ? std::string() : KeyFromCookie(*cookie);
}

auto FindKey(const Document& aDocument, std::string_view aKey) -> const Key*
{
  if (aKey.empty()) {
    return nullptr;
  }
  const auto found = aDocument.mKeys.find(KeyDigest(aKey));
  return found == aDocument.mKeys.end() ? nullptr : &found->second;
}

auto AreKeysAccepted(const Settings& aSettings,
                     TimePoint aLastContact,
                     TimePoint aNow) -> bool
{
  const auto bound = aSettings.mKeysValidWithoutContact;
  return bound.count() == 0 || aNow - aLastContact <= bound;
}

auto ForwardTarget(std::string_view aTarget,
                   std::string_view aKey,
                   const Document& aDocument) -> std::string
{
  const auto question = aTarget.find('?');
  const auto path = aTarget.substr(0, question);
  if (HoldsKey(path, aKey, aDocument)) {
    return {};
  }
  if (question == std::string_view::npos) {
    return std::string(path);
  }
  std::vector<absl::string_view> kept;
  for (const auto each :
       absl::StrSplit(View(aTarget.substr(question + 1)), '&')) {
    const auto [name, value] = SplitParameter(each);
    if (!IsOneOf(PercentDecode(name), kKeyParameters) &&
        !HoldsKey(name, aKey, aDocument) && !HoldsKey(value, aKey, aDocument)) {
      kept.push_back(each);
    }
  }
  return kept.empty() ? std::string(path)
                      : absl::StrCat(View(path), "?", absl::StrJoin(kept, "&"));
}

auto ForwardHeaders(const HeaderList& aHeaders,
                    std::string_view aKey,
                    const Document& aDocument) -> HeaderList
{
  HeaderList forwarded;
  for (const auto& [name, value] : aHeaders) {
    if (IsOneOf(name, kAllowed) && !HoldsKey(value, aKey, aDocument)) {
      forwarded.emplace_back(name, value);
    }
  }
  return forwarded;
}

} // namespace mangovalve
