// Tests of the table of leading prompt parts that endpoints keep.
#include "mangovalve/routing/prefix_affinity.h"

#include <array>

#include <doctest/doctest.h>

namespace mangovalve {
namespace {

constexpr double kMemory = 1000;

using Parts = std::vector<std::uint64_t>;
using PartTokens = std::vector<std::uint32_t>;

auto TokensAt(const std::vector<KeptTokens>& aKept, std::uint64_t aEndpoint)
  -> std::uint32_t
{
  for (const auto& kept : aKept) {
    if (kept.mEndpoint == aEndpoint) {
      return kept.mTokens;
    }
  }
  return 0;
}

TEST_CASE("the longest kept sequence counts, from the first part on")
{
  // A part is kept only together with those before it.
  PrefixAffinity affinity;
  NotePrefixSent(affinity, 1, Parts{ 10, 20 }, 100);
  NotePrefixSent(affinity, 2, Parts{ 10 }, 100);
  const auto find = [&](const Parts& aParts) {
    return FindKept(affinity, aParts, PartTokens{ 200, 50, 7 }, kMemory);
  };
  CHECK(TokensAt(find({ 10, 20, 30 }), 1) == 250);
  CHECK(TokensAt(find({ 10, 20, 30 }), 2) == 200);
  CHECK(TokensAt(find({ 10, 30 }), 1) == 200);
  CHECK(find({ 20 }).empty());
  CHECK(find({}).empty());
}

TEST_CASE("parts end with the memory of the endpoint and with its incarnation")
{
  // Guards against a preference for endpoints that have long evicted the parts.
  PrefixAffinity affinity;
  const Parts parts{ 10 };
  const PartTokens tokens{ 200 };
  NotePrefixSent(affinity, 1, parts, 100);
  NotePrefixSent(affinity, 2, parts, 100);
  NotePrefixSent(affinity, 1, Parts{ 11 }, kMemory - 1);
  CHECK(TokensAt(FindKept(affinity, parts, tokens, kMemory), 1) == 200);
  NotePrefixSent(affinity, 1, Parts{ 12 }, 1);
  CHECK(TokensAt(FindKept(affinity, parts, tokens, kMemory), 1) == 0);
  CHECK(TokensAt(FindKept(affinity, parts, tokens, kMemory), 2) == 200);
  ForgetEndpoint(affinity, 2);
  CHECK(FindKept(affinity, parts, tokens, kMemory).empty());
}

TEST_CASE("the table stays bounded and evicts what was not sent for long")
{
  // Callers choose the ids of parts, so there may be any number of them.
  PrefixAffinity affinity;
  for (std::uint64_t part = 1; part <= 3 * kMaxKeptPrefixes; ++part) {
    NotePrefixSent(affinity, part % 40, Parts{ 1000000 }, 0);
    NotePrefixSent(affinity, part % 40, Parts{ part }, 0);
  }
  CHECK(affinity.mPrefixes.size() == kMaxKeptPrefixes);
  CHECK(affinity.mOldestFirst.size() == kMaxKeptPrefixes);
  const auto often =
    FindKept(affinity, Parts{ 1000000 }, PartTokens{ 5 }, kMemory);
  CHECK(often.size() == kMaxHoldersPerPrefix);
  CHECK(FindKept(affinity, Parts{ 1 }, PartTokens{ 5 }, kMemory).empty());
  CHECK_FALSE(
    FindKept(affinity, Parts{ 3 * kMaxKeptPrefixes }, PartTokens{ 5 }, kMemory)
      .empty());
}

} // namespace
} // namespace mangovalve
