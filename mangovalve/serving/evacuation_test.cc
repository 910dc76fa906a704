// Tests of the set of evacuated domains.
#include "mangovalve/serving/evacuation.h"

#include <doctest/doctest.h>

#include <absl/strings/str_cat.h>

#include "mangovalve/base/random.h"

namespace mangovalve {
namespace {

constexpr auto kPrefix = "evacuate/";

auto Order(const std::string& aDomain, Offset aOffset) -> KeyedRecord
{
  return { kPrefix + aDomain, "{}", aOffset };
}

auto Revocation(const std::string& aDomain, Offset aOffset) -> KeyedRecord
{
  return { kPrefix + aDomain, "", aOffset };
}

using Domains = std::set<std::string>;

// Guards against a key that is taken for another domain, or for all of them.
TEST_CASE("only keys with a valid name are orders")
{
  CHECK(EvacuatedDomain("evacuate/b", kPrefix) == "b");
  CHECK(EvacuatedDomain("evacuate/b/c", kPrefix) == "b/c");
  for (const auto& key : { std::string("evacuate/"),
                           std::string("evacuate"),
                           std::string("config"),
                           std::string("evacuate/a b"),
                           std::string("evacuate/a\n"),
                           std::string("evacuate/\xc3\xa4"),
                           kPrefix + std::string(kMaxDomainBytes + 1, 'a') }) {
    CHECK_FALSE(EvacuatedDomain(key, kPrefix));
  }
  CHECK(IsEvacuationKey("evacuate/", kPrefix));
  CHECK_FALSE(IsEvacuationKey("config", kPrefix));
  CHECK_FALSE(IsEvacuationKey("config", "")); // readers without a prefix
}

// Guards against an order that comes back with a copy from before its
// revocation, and against one that is lost by such a copy.
TEST_CASE("the set with the higher offset is in force")
{
  const auto before = ReadEvacuations({}, kPrefix, 10);
  const auto ordered = WithRecord(before, Order("b", 10), kPrefix);
  const auto revoked = WithRecord(ordered, Revocation("b", 14), kPrefix);
  CHECK(ordered.mDomains == Domains{ "b" });
  CHECK(revoked.mDomains.empty());
  CHECK(Supersedes(ordered, before));
  CHECK(Supersedes(revoked, ordered));
  CHECK_FALSE(Supersedes(ordered, revoked));
  CHECK_FALSE(Supersedes(ordered, ordered));
  CHECK(Supersedes(before, EvacuationSet{}));
  CHECK_FALSE(Supersedes(EvacuationSet{}, before));
  // The host has learned of the revocation from a peer and then reads the order
  // from the store.
  CHECK(WithRecord(revoked, Order("b", 10), kPrefix).mDomains.empty());
}

// Guards against a revocation that is missed because its record has been
// deleted from the table.
TEST_CASE("an order that is absent from the whole table is revoked")
{
  const KeyedRecord document{ "config", "{}", 3 };
  const std::vector<KeyedRecord> table{ document, Order("b", 5) };
  const auto old = ReadEvacuations(table, kPrefix, 6);
  const auto reloaded = ReadEvacuations({ &document, 1 }, kPrefix, 9);
  REQUIRE(Supersedes(reloaded, old));
  const auto change = CompareEvacuations(old, reloaded);
  CHECK(change.mRevoked == std::vector<std::string>{ "b" });
  CHECK(change.mOrdered.empty());
}

// Guards against a single record that makes a starting host believe that it
// knows all orders.
TEST_CASE("a change alone does not make the set known")
{
  CHECK_FALSE(WithRecord({}, Order("b", 5), kPrefix).mAsOf);
}

// Guards against a report from a peer that exceeds the bounds.
TEST_CASE("orders beyond the bounds are ignored")
{
  EvacuationSet set = ReadEvacuations({}, kPrefix, 0);
  for (Offset i = 0; i < 2 * kMaxEvacuations; ++i) {
    set = WithRecord(std::move(set), Order(absl::StrCat("d", i), i), kPrefix);
  }
  CHECK(set.mDomains.size() == kMaxEvacuations);
  wire::EvacuationsT message;
  message.offset = 7;
  message.domains = { "", std::string(kMaxDomainBytes + 1, 'a'), "a b", "b" };
  for (std::size_t i = 0; i < 2 * kMaxEvacuations; ++i) {
    message.domains.push_back(absl::StrCat("d", i));
  }
  const auto read = FromWire(message);
  CHECK(read.mDomains.size() == kMaxEvacuations);
  CHECK(read.mDomains.contains("b"));
  CHECK(read.mAsOf == 7);
  CHECK(ToWire(EvacuationSet{}) == nullptr);
  CHECK(FromWire(*ToWire(set)).mDomains == set.mDomains);
}

// Guards against hosts that stay apart: whatever they read and in which order
// they hear each other, all end with the newest set.
TEST_CASE("hosts that read and hear the orders differently agree at the end")
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random{ seed };
    std::vector<KeyedRecord> log;
    for (Offset offset = 0; offset < 30; ++offset) {
      const auto domain = std::string(1, "abc"[UniformBelow(random, 3)]);
      log.push_back(UniformBelow(random, 2) == 0 ? Order(domain, offset)
                                                 : Revocation(domain, offset));
    }
    std::vector<EvacuationSet> hosts(5, ReadEvacuations({}, kPrefix, 0));
    std::vector<std::size_t> next(hosts.size(), 0);
    for (int step = 0; step < 150; ++step) {
      const auto i = UniformBelow(random, hosts.size());
      const auto j = UniformBelow(random, hosts.size());
      if (UniformBelow(random, 2) == 0 && next[i] < log.size()) {
        hosts[i] = WithRecord(hosts[i], log[next[i]++], kPrefix);
      } else if (Supersedes(hosts[j], hosts[i])) {
        hosts[i] = hosts[j];
      }
    }
    while (next[0] < log.size()) {
      hosts[0] = WithRecord(hosts[0], log[next[0]++], kPrefix);
    }
    EvacuationSet expected = ReadEvacuations({}, kPrefix, 0);
    for (const auto& record : log) {
      expected = WithRecord(expected, record, kPrefix);
    }
    for (auto& host : hosts) {
      host = Supersedes(hosts[0], host) ? hosts[0] : host;
      CHECK_MESSAGE(host.mDomains == expected.mDomains, "seed ", seed);
    }
  }
}

} // namespace
} // namespace mangovalve
