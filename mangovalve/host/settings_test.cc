// Tests that an invalid settings file gives one error, which locates the fault.
#include "mangovalve/host/settings.h"

#include <string>

#include <absl/strings/str_replace.h>
#include <doctest/doctest.h>

namespace mangovalve {
namespace {

const std::string kValidSettings = R"(host = "a1"
domain = "a"

[listen]
callers = "127.0.0.1:8001"
operators = "127.0.0.1:8002"
peers = "127.0.0.1:8003"

[platform]
address = "127.0.0.1:7000"

[peers]
seeds = ["127.0.0.1:8013"]
)";

// The error for kValidSettings with one text replaced by another.
auto ErrorFor(const std::string& aOld, const std::string& aNew) -> std::string
{
  const auto text = absl::StrReplaceAll(kValidSettings, { { aOld, aNew } });
  const auto parsed = ParseSettings(text, "s.toml");
  return parsed ? "accepted" : FormatError(parsed.error());
}

TEST_CASE("a complete settings file is accepted")
{
  const auto parsed = ParseSettings(kValidSettings, "s.toml");
  REQUIRE(parsed);
  CHECK(parsed->mHost == "a1");
  CHECK(FormatAddress(parsed->mCallers) == "127.0.0.1:8001");
  CHECK(parsed->mSeeds.size() == 1);
  CHECK(parsed->mAppendBudget == 300);
}

// Guards against a daemon that starts with a setting other than the intended
// one.
TEST_CASE("an invalid setting is reported with file, line and path")
{
  CHECK(ErrorFor("domain = \"a\"", "domian = \"a\"") ==
        "s.toml:2: domian: unknown setting");
  CHECK(ErrorFor("domain = \"a\"", "domain = 3") ==
        "s.toml:2: domain: must be a string");
  CHECK(ErrorFor("domain = \"a\"", "") ==
        "s.toml: domain: required setting is missing");
  CHECK(ErrorFor("127.0.0.1:8002", "localhost:8002") ==
        "s.toml:6: listen.operators: \"localhost:8002\" is not IP:PORT with "
        "an IPv4 number and a port from 1 to 65535");
  CHECK(ErrorFor("address = \"127.0.0.1:7000\"",
                 "address = \"127.0.0.1:7000\"\nappend_budget = 0") ==
        "s.toml:11: platform.append_budget: 0 is not between 1 and 100000");
  CHECK(ErrorFor("seeds = [\"127.0.0.1:8013\"]", "seeds = [7]") ==
        "s.toml:13: peers.seeds: must hold only \"IP:PORT\" strings");
  CHECK(ErrorFor("domain = \"a\"", "domain = ").starts_with("s.toml:2: "));
}

TEST_CASE("addresses that are not numeric IPv4 with a valid port are rejected")
{
  for (const auto* const bad : { "",
                                 ":",
                                 "127.0.0.1",
                                 "127.0.0.1:",
                                 "127.0.0.1:0",
                                 "127.0.0.1:65536",
                                 "127.0.0.1:-1",
                                 "127.0.0.1: 1",
                                 "127.0.0:1",
                                 "::1:80" }) {
    CHECK_FALSE(ParseAddress(bad));
  }
  CHECK(ParseAddress("0.0.0.0:65535"));
}

} // namespace
} // namespace mangovalve
