// Identifiers and hashing.
#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <absl/hash/hash.h>

namespace mangovalve {

// Offset of an append in the platform's log. Fencing tokens and epochs are
// offsets.
using Offset = std::uint64_t;

// Unique id of a record or request.
struct Id128
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;

  auto operator<=>(const Id128&) const = default;

  template<typename H>
  friend auto AbslHashValue(H aState, const Id128& aId) -> H
  {
    return H::combine(std::move(aState), aId.mHigh, aId.mLow);
  }
};

// Returns a random id from the system's entropy source.
auto NewId() -> Id128;

// Formats an id as 32 hexadecimal digits.
auto ToHex(const Id128& aId) -> std::string;

// Stable 64-bit hash (XXH3), equal on every host and in every version.
auto StableHash(std::string_view aData, std::uint64_t aSeed = 0)
  -> std::uint64_t;

// Formats hashes as comma-separated hexadecimal numbers.
auto FormatHashes(std::span<const std::uint64_t> aHashes) -> std::string;

// SHA-256 of the data as 64 lower-case hexadecimal digits.
auto Sha256Hex(std::string_view aData) -> std::string;

} // namespace mangovalve
