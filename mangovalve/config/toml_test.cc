// Tests of the document's TOML form: errors with field paths and lines, and
// round trips.
#include "mangovalve/config/toml.h"

#include <algorithm>

#include <absl/strings/str_join.h>
#include <doctest/doctest.h>

#include "mangovalve/config/entries.h"

namespace mangovalve {
namespace {

const std::string kDigest(64, 'a');

auto ValidConfig() -> std::string
{
  return R"(
[settings]
keys_valid_without_contact = "30s"
[domains.d1]
region = "sk-central"
[domains.d2]
region = "sk-central"
[teams.alpha]
rate = 100
burst = 20.5
weight = 2
max_jobs = 7
[keys.)" +
         kDigest + R"(]
team = "alpha"
[services.hint]
kind = "model"
max_in_flight = 8
[services.profile]
checks_fencing = true
[models.hint-llm]
service = "hint"
version = "v1"
adapters = ["sk"]
retain_former = "1m"
[routes.hints]
path = "/v1/completions"
service = "hint"
model = "hint-llm"
teams = ["alpha"]
timeout = "10s"
first_byte_timeout = "400ms"
[routes.profile]
path = "/profile"
service = "profile"
idempotent = false
)";
}

auto Paths(const std::vector<ConfigProblem>& aProblems) -> std::string
{
  std::vector<std::string> paths;
  for (const auto& each : aProblems) {
    paths.push_back(each.mPath);
  }
  std::sort(paths.begin(), paths.end());
  return absl::StrJoin(paths, "\n");
}

TEST_CASE("a document is parsed with its values and defaults")
{
  const auto parsed = ParseConfig(ValidConfig());
  REQUIRE(Paths(parsed.mErrors).empty());
  CHECK(parsed.mWarnings.empty());
  const auto& document = parsed.mDocument;
  CHECK(document.mSettings.mKeysValidWithoutContact ==
        std::chrono::seconds(30));
  CHECK(document.mTeams.at("alpha").mBurst == 20.5);
  CHECK(document.mKeys.at(kDigest).mTeam == "alpha");
  CHECK(document.mServices.at("hint").mKind == ServiceKind::Model);
  CHECK(document.mServices.at("profile").mChecksFencing);
  CHECK(document.mModels.at("hint-llm").mRetainFormer ==
        std::chrono::minutes(1));
  CHECK(document.mRoutes.at("hints").mFirstByteTimeout ==
        std::chrono::milliseconds(400));
  CHECK_FALSE(document.mRoutes.at("profile").mIdempotent);
  CHECK(document.mRoutes.at("profile").mTimeout == std::chrono::seconds(30));
}

// Guards against a document that changes when it is converted to entries or
// TOML and back. Hosts would then compute different digests.
TEST_CASE("a document survives conversion to entries or TOML and back")
{
  const auto document = ParseConfig(ValidConfig()).mDocument;
  const auto entries = ToEntries(document);
  Document rebuilt;
  for (const auto& [path, json] : entries) {
    REQUIRE(SetEntry(rebuilt, path, json));
  }
  CHECK(ToEntries(rebuilt) == entries);
  const auto again = ParseConfig(FormatConfig(document));
  REQUIRE(Paths(again.mErrors).empty());
  CHECK(ToEntries(again.mDocument) == entries);
  CHECK(EntriesDigest(ToEntries(again.mDocument)) == EntriesDigest(entries));
}

// Guards against a parser that stops at the first error, so that an operator
// has to submit a document once for each error.
TEST_CASE("all errors are reported, one per path")
{
  const auto parsed = ParseConfig(R"(
nonsense = 1
[settings]
keys_valid_without_contact = 5
[domains.d1]
zone = "x"
[teams.alpha]
rate = -1
burst = 0.5
weight = "heavy"
max_jobs = 1.5
[teams."bad name"]
rate = 1
[keys.short]
team = "alpha"
[services.hint]
kind = "gpu"
max_in_flight = 0
[models.m]
service = "none"
adapters = [1, 2]
[routes.r]
path = "x"
service = "absent"
model = "none"
teams = ["nobody", "noone"]
timeout = "0s"
first_byte_timeout = "soon"
open = "yes"
)");
  CHECK(Paths(parsed.mErrors) == "domains.d1.zone\n"
                                 "keys\n"
                                 "models.m.adapters\n"
                                 "models.m.service\n"
                                 "models.m.version\n"
                                 "nonsense\n"
                                 "routes.r.first_byte_timeout\n"
                                 "routes.r.model\n"
                                 "routes.r.open\n"
                                 "routes.r.path\n"
                                 "routes.r.service\n"
                                 "routes.r.teams\n"
                                 "routes.r.timeout\n"
                                 "services.hint.kind\n"
                                 "services.hint.max_in_flight\n"
                                 "settings.keys_valid_without_contact\n"
                                 "teams.alpha.burst\n"
                                 "teams.alpha.max_jobs\n"
                                 "teams.alpha.rate\n"
                                 "teams.alpha.weight\n"
                                 "teams.bad name");
}

TEST_CASE("an error names its line")
{
  const auto broken = ParseConfig("[teams.alpha]\nrate = \n");
  REQUIRE(broken.mErrors.size() == 1);
  CHECK(broken.mErrors[0].mLine == 2);
  const auto wrong =
    ParseConfig("[domains.d]\n\n[teams.alpha]\nrate = \"x\"\n");
  REQUIRE_FALSE(wrong.mErrors.empty());
  CHECK(wrong.mErrors[0].mPath == "teams.alpha.rate");
  CHECK(wrong.mErrors[0].mLine == 4);
}

// Guards against an error message that exposes an API key which was pasted in
// place of its digest.
TEST_CASE("an error about a key does not contain the key")
{
  const std::string key = "mv_" + std::string(43, 'k');
  const auto parsed = ParseConfig("[keys." + key + "]\nteam = \"x\"\n");
  REQUIRE_FALSE(parsed.mErrors.empty());
  for (const auto& each : parsed.mErrors) {
    CHECK((each.mPath + each.mMessage).find(key) == std::string::npos);
  }
}

// Guards against a team that some failure domains cannot serve in a network
// partition, without a warning to the operator.
TEST_CASE("a burst below the number of domains gives a warning")
{
  for (const auto burst : { 1, 2 }) {
    const auto parsed = ParseConfig(
      "[domains.a]\n[domains.b]\n[teams.alpha]\nrate = 5\nburst = " +
      std::to_string(burst) + "\n");
    CHECK(Paths(parsed.mErrors).empty());
    CHECK(parsed.mWarnings.size() == (burst < 2 ? 1 : 0));
  }
}

// Guards against a crash on a truncated document.
TEST_CASE("any prefix of a document is parsed or rejected")
{
  const auto text = ValidConfig();
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto parsed = ParseConfig(text.substr(0, i));
    CHECK(parsed.mErrors.size() <= 20);
  }
}

} // namespace
} // namespace mangovalve
