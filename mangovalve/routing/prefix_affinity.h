// Which endpoints this host has sent which leading parts of prompts.
//
// An endpoint that still holds the first parts of a prompt reads only the rest.
// Endpoints do not say what they hold, so it is inferred from what was sent to
// them: the parts count as kept until the tokens sent there since exceed the
// endpoint's memory, or the endpoint restarts. The table is bounded; the parts
// that have not been sent for the longest time are evicted first.
//
// The functions are pure.
#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace mangovalve {

// Sequences of leading parts that are remembered, and endpoints for each.
constexpr std::size_t kMaxKeptPrefixes = 2048;
constexpr std::size_t kMaxHoldersPerPrefix = 16;

struct PrefixHolder
{
  std::uint64_t mEndpoint = 0; // hash of its id and start
  // Tokens sent to it when the parts were last sent, since the table began.
  double mSentTokens = 0;
};

struct KeptPrefix
{
  // The latest holder is the last one; at most kMaxHoldersPerPrefix.
  std::vector<PrefixHolder> mHolders;
  std::list<std::uint64_t>::iterator mAge; // in PrefixAffinity::mOldestFirst
};

struct PrefixAffinity
{
  // By the hash of the sequence of leading parts; at most kMaxKeptPrefixes.
  absl::flat_hash_map<std::uint64_t, KeptPrefix> mPrefixes;
  std::list<std::uint64_t> mOldestFirst; // the same keys
  // By endpoint, of the endpoints that were sent anything.
  absl::flat_hash_map<std::uint64_t, double> mSentTokens;
};

// Tokens of the prompt that an endpoint keeps.
struct KeptTokens
{
  std::uint64_t mEndpoint = 0;
  std::uint32_t mTokens = 0;
};

// Records that a request with these leading parts was sent to the endpoint.
// aTokens estimates the tokens that all hosts sent there since this host's
// previous request to it.
auto NotePrefixSent(PrefixAffinity& aAffinity,
                    std::uint64_t aEndpoint,
                    std::span<const std::uint64_t> aParts,
                    double aTokens) -> void;

// The endpoints that most likely keep leading parts, with the tokens of the
// longest sequence that each of them keeps. Parts of unstated size count as 0
// tokens. An endpoint has room for aMemoryTokens.
auto FindKept(const PrefixAffinity& aAffinity,
              std::span<const std::uint64_t> aParts,
              std::span<const std::uint32_t> aPartTokens,
              double aMemoryTokens) -> std::vector<KeptTokens>;

// Forgets an endpoint that has ended or restarted.
auto ForgetEndpoint(PrefixAffinity& aAffinity, std::uint64_t aEndpoint) -> void;

} // namespace mangovalve
