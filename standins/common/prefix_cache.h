// The engine's cache of prompt prefixes: blocks of the prompt's bytes, each
// named by a hash chained over its predecessors, least recently used evicted.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mangovalve::standins {

// Bytes of prompt in one block. Four bytes count as one token.
constexpr std::size_t kBlockBytes = 64;
constexpr std::size_t kTokenBytes = 4;

using BlockHash = std::uint64_t;

// Hashes of the whole blocks of a prompt: StableHash of the block's bytes with
// the predecessor's hash (0 for the first) as the seed.
auto PromptBlocks(std::string_view aPrompt) -> std::vector<BlockHash>;

// A block that came into the cache or left it.
struct CacheChange
{
  bool mStored = false; // false: removed
  BlockHash mBlock = 0;
};

struct PrefixCache
{
  std::size_t mCapacity = 0;   // blocks
  std::list<BlockHash> mByUse; // most recently used first
  std::map<BlockHash, std::list<BlockHash>::iterator> mBlocks;
};

// Leading blocks that are cached; marks them as used.
auto Touch(PrefixCache& aCache, const std::vector<BlockHash>& aBlocks)
  -> std::size_t;

// Stores the blocks and evicts down to the capacity; appends the changes.
auto Store(PrefixCache& aCache,
           const std::vector<BlockHash>& aBlocks,
           std::vector<CacheChange>& aChanges) -> void;

} // namespace mangovalve::standins
