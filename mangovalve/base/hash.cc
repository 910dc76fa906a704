// Stable hashes by xxHash. In a file of its own, so that the serving daemon
// links without OpenSSL, which would double its memory.
#include "mangovalve/base/id.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <xxhash.h>

namespace mangovalve {

auto StableHash(std::string_view aData, std::uint64_t aSeed) -> std::uint64_t
{
  return XXH3_64bits_withSeed(aData.data(), aData.size(), aSeed);
}

auto FormatHashes(std::span<const std::uint64_t> aHashes) -> std::string
{
  return absl::StrJoin(
    aHashes, ",", [](std::string* aOut, std::uint64_t aHash) {
      absl::StrAppend(aOut, absl::Hex(aHash, absl::kZeroPad16));
    });
}

} // namespace mangovalve
