// Which endpoints this host has sent which leading parts of prompts.
#include "mangovalve/routing/prefix_affinity.h"

#include <algorithm>

#include <absl/hash/hash.h>

namespace mangovalve {
namespace {

// Leading sequences of one prompt that are remembered. Later parts are rarely
// shared.
constexpr std::size_t kMaxSequences = 8;

// Key of the sequence that consists of the one with key aLeading and aPart.
auto Extend(std::uint64_t aLeading, std::uint64_t aPart) -> std::uint64_t
{
  return absl::HashOf(aLeading, aPart);
}

auto SentTo(const PrefixAffinity& aAffinity, std::uint64_t aEndpoint) -> double
{
  const auto sent = aAffinity.mSentTokens.find(aEndpoint);
  return sent == aAffinity.mSentTokens.end() ? 0 : sent->second;
}

auto NoteHolder(KeptPrefix& aPrefix, PrefixHolder aHolder) -> void
{
  std::erase_if(aPrefix.mHolders, [&](const PrefixHolder& aOther) {
    return aOther.mEndpoint == aHolder.mEndpoint;
  });
  if (aPrefix.mHolders.size() >= kMaxHoldersPerPrefix) {
    aPrefix.mHolders.erase(aPrefix.mHolders.begin());
  }
  aPrefix.mHolders.push_back(aHolder);
}

auto EvictOldest(PrefixAffinity& aAffinity) -> void
{
  while (aAffinity.mPrefixes.size() > kMaxKeptPrefixes) {
    aAffinity.mPrefixes.erase(aAffinity.mOldestFirst.front());
    aAffinity.mOldestFirst.pop_front();
  }
}

} // namespace

auto NotePrefixSent(PrefixAffinity& aAffinity,
                    std::uint64_t aEndpoint,
                    std::span<const std::uint64_t> aParts,
                    double aTokens) -> void
{
  auto& sent = aAffinity.mSentTokens[aEndpoint];
  sent += std::max(0.0, aTokens);
  std::uint64_t key = 0;
  for (const auto part : aParts.first(std::min(aParts.size(), kMaxSequences))) {
    key = Extend(key, part);
    const auto [prefix, added] = aAffinity.mPrefixes.try_emplace(key);
    auto& order = aAffinity.mOldestFirst;
    if (added) {
      prefix->second.mAge = order.insert(order.end(), key);
    } else {
      order.splice(order.end(), order, prefix->second.mAge);
    }
    NoteHolder(prefix->second, { aEndpoint, sent });
  }
  EvictOldest(aAffinity);
}

auto FindKept(const PrefixAffinity& aAffinity,
              std::span<const std::uint64_t> aParts,
              std::span<const std::uint32_t> aPartTokens,
              double aMemoryTokens) -> std::vector<KeptTokens>
{
  std::vector<KeptTokens> kept;
  std::uint64_t key = 0;
  std::uint32_t tokens = 0;
  const auto count =
    std::min({ aParts.size(), aPartTokens.size(), kMaxSequences });
  for (std::size_t i = 0; i < count; ++i) {
    key = Extend(key, aParts[i]);
    tokens += aPartTokens[i];
    const auto prefix = aAffinity.mPrefixes.find(key);
    if (prefix == aAffinity.mPrefixes.end()) {
      break;
    }
    for (const auto& holder : prefix->second.mHolders) {
      const auto since =
        SentTo(aAffinity, holder.mEndpoint) - holder.mSentTokens;
      if (since >= aMemoryTokens) {
        continue;
      }
      const auto known =
        std::find_if(kept.begin(), kept.end(), [&](const KeptTokens& aKept) {
          return aKept.mEndpoint == holder.mEndpoint;
        });
      if (known == kept.end()) {
        kept.push_back({ holder.mEndpoint, tokens });
      } else {
        known->mTokens = tokens;
      }
    }
  }
  return kept;
}

auto ForgetEndpoint(PrefixAffinity& aAffinity, std::uint64_t aEndpoint) -> void
{
  aAffinity.mSentTokens.erase(aEndpoint);
  for (auto& [key, prefix] : aAffinity.mPrefixes) {
    std::erase_if(prefix.mHolders, [&](const PrefixHolder& aHolder) {
      return aHolder.mEndpoint == aEndpoint;
    });
  }
}

} // namespace mangovalve
