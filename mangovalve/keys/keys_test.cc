// Tests of keys: withdrawal, and that no form of a key reaches an endpoint.
#include "mangovalve/keys/keys.h"

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

auto WithKey(const std::string& aKey) -> Document
{
  Document document;
  document.mKeys[KeyDigest(aKey)] = { KeyDigest(aKey), "alpha" };
  return document;
}

auto Joined(const HeaderList& aHeaders) -> std::string
{
  std::string text;
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\n";
  }
  return text;
}

TEST_CASE("new keys differ and have 256 random bits")
{
  const auto one = NewKey();
  CHECK(one.size() == 46);
  CHECK(one.substr(0, 3) == "mv_");
  CHECK(one != NewKey());
}

TEST_CASE("a key is found in each place where callers put it")
{
  const HeaderList none;
  CHECK(ExtractKey({ { "authorization", "bearer  abc " } }, "/") == "abc");
  CHECK(ExtractKey({ { "X-API-KEY", "abc" } }, "/") == "abc");
  CHECK(ExtractKey(none, "/x?a=1&api_key=a%62c") == "abc");
  CHECK(ExtractKey({ { "Cookie", "a=1; api_key=abc" } }, "/") == "abc");
  CHECK(ExtractKey(none, "/x?a=1").empty());
}

// Guards against a withdrawn key that goes on working: each request looks the
// key up in the document in force.
TEST_CASE("a withdrawn key is not found")
{
  const std::string key = "withdrawn";
  auto document = WithKey(key);
  REQUIRE(FindKey(document, key) != nullptr);
  CHECK(FindKey(document, key)->mTeam == "alpha");
  document.mKeys.clear();
  CHECK(FindKey(document, key) == nullptr);
  CHECK(FindKey(document, "") == nullptr);
}

// Guards against a host that honours withdrawn keys for ever because it is cut
// off, when the operators have set a bound.
TEST_CASE("keys are honoured without contact up to the bound")
{
  const TimePoint contact{ std::chrono::hours(1) };
  Settings settings;
  CHECK(AreKeysAccepted(settings, contact, contact + std::chrono::hours(99)));
  settings.mKeysValidWithoutContact = std::chrono::seconds(30);
  CHECK(AreKeysAccepted(settings, contact, contact + std::chrono::seconds(30)));
  CHECK_FALSE(AreKeysAccepted(
    settings, contact, contact + std::chrono::milliseconds(30001)));
}

// Guards against an endpoint that sees a key: in a header of its own, inside an
// allowed header, in a cookie, or in a query parameter, escaped or not.
TEST_CASE("no form of a key is forwarded")
{
  const auto own = "mv_" + std::string(40, 'k') + "-_9";
  for (const auto& key : { own, std::string("plain-secret") }) {
    const auto document = WithKey(key);
    const HeaderList headers{ { "Authorization", "Bearer " + key },
                              { "X-Api-Key", key },
                              { "Cookie", "api_key=" + key },
                              { "Proxy-Authorization", key },
                              { "User-Agent", "curl/" + key },
                              { "X-Custom", key },
                              { "Referer", "http://x/?api_key=" + key },
                              { "Accept", "text/plain" } };
    const auto forwarded = ForwardHeaders(headers, key, document);
    CHECK(Joined(forwarded) == "Accept: text/plain\n");
    std::string escaped;
    for (const auto each : key) {
      constexpr const char* kDigits = "0123456789abcdef";
      escaped += { '%', kDigits[each / 16], kDigits[each % 16] };
    }
    for (const auto& form : { key, escaped, "x" + key }) {
      CHECK(ForwardTarget("/p?a=1&q=" + form + "&b=2", key, document) ==
            "/p?a=1&b=2");
      CHECK(ForwardTarget("/p?" + form, key, document) == "/p");
      CHECK(ForwardTarget("/p/" + form, key, document).empty());
    }
    // A second key of the document in the same request.
    CHECK(ForwardTarget("/p?q=" + key, "other", document) == "/p");
    CHECK(ForwardTarget("/p?api_key=zzz&x=1", "", document) == "/p?x=1");
  }
}

} // namespace
} // namespace mangovalve
