// Stable hashes by xxHash. In a file of its own, so that the serving daemon
// links without OpenSSL, which would double its memory.
#include "mangovalve/base/id.h"

#include <xxhash.h>

namespace mangovalve {

auto StableHash(std::string_view aData, std::uint64_t aSeed) -> std::uint64_t
{
  return XXH3_64bits_withSeed(aData.data(), aData.size(), aSeed);
}

} // namespace mangovalve
