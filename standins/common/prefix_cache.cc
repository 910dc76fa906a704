// The engine's cache of prompt prefixes.
#include "standins/common/prefix_cache.h"

#include "mangovalve/base/id.h"

namespace mangovalve::standins {

auto PromptBlocks(std::string_view aPrompt) -> std::vector<BlockHash>
{
  std::vector<BlockHash> blocks;
  BlockHash parent = 0;
  for (std::size_t at = 0; at + kBlockBytes <= aPrompt.size();
       at += kBlockBytes) {
    parent = StableHash(aPrompt.substr(at, kBlockBytes), parent);
    blocks.push_back(parent);
  }
  return blocks;
}

auto Touch(PrefixCache& aCache, const std::vector<BlockHash>& aBlocks)
  -> std::size_t
{
  std::size_t count = 0;
  for (const auto block : aBlocks) {
    const auto found = aCache.mBlocks.find(block);
    if (found == aCache.mBlocks.end()) {
      break;
    }
    aCache.mByUse.splice(aCache.mByUse.begin(), aCache.mByUse, found->second);
    ++count;
  }
  return count;
}

auto Store(PrefixCache& aCache,
           const std::vector<BlockHash>& aBlocks,
           std::vector<CacheChange>& aChanges) -> void
{
  for (const auto block : aBlocks) {
    const auto found = aCache.mBlocks.find(block);
    if (found != aCache.mBlocks.end()) {
      aCache.mByUse.splice(aCache.mByUse.begin(), aCache.mByUse, found->second);
      continue;
    }
    aCache.mByUse.push_front(block);
    aCache.mBlocks[block] = aCache.mByUse.begin();
    aChanges.push_back({ true, block });
  }
  while (aCache.mByUse.size() > aCache.mCapacity) {
    const auto victim = aCache.mByUse.back();
    aCache.mByUse.pop_back();
    aCache.mBlocks.erase(victim);
    aChanges.push_back({ false, victim });
  }
}

} // namespace mangovalve::standins
