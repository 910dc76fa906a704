// Failure domains that operators have ordered to be evacuated.
#include "mangovalve/serving/evacuation.h"

#include <algorithm>
#include <iterator>

#include <absl/strings/ascii.h>

namespace mangovalve {
namespace {

auto IsDomainName(std::string_view aName) -> bool
{
  return !aName.empty() && aName.size() <= kMaxDomainBytes &&
         std::all_of(aName.begin(), aName.end(), [](char aCharacter) {
           return absl::ascii_isgraph(static_cast<unsigned char>(aCharacter));
         });
}

auto Insert(std::set<std::string>& aDomains, std::string aName) -> void
{
  if (aDomains.size() < kMaxEvacuations) {
    aDomains.insert(std::move(aName));
  }
}

} // namespace

auto IsEvacuationKey(std::string_view aKey, std::string_view aPrefix) -> bool
{
  return !aPrefix.empty() && aKey.starts_with(aPrefix);
}

auto EvacuatedDomain(std::string_view aKey, std::string_view aPrefix)
  -> std::optional<std::string>
{
  if (!IsEvacuationKey(aKey, aPrefix)) {
    return std::nullopt;
  }
  const auto name = aKey.substr(aPrefix.size());
  return IsDomainName(name) ? std::optional(std::string(name)) : std::nullopt;
}

auto ReadEvacuations(std::span<const KeyedRecord> aTable,
                     std::string_view aPrefix,
                     Offset aAsOf) -> EvacuationSet
{
  EvacuationSet set;
  set.mAsOf = aAsOf;
  for (const auto& record : aTable) {
    auto domain = EvacuatedDomain(record.mKey, aPrefix);
    if (domain && !record.mValue.empty()) {
      Insert(set.mDomains, std::move(*domain));
    }
  }
  return set;
}

auto WithRecord(EvacuationSet aSet,
                const KeyedRecord& aRecord,
                std::string_view aPrefix) -> EvacuationSet
{
  // Without the rest of the table, one record does not make the set known.
  if (!aSet.mAsOf || aRecord.mOffset < *aSet.mAsOf) {
    return aSet;
  }
  aSet.mAsOf = aRecord.mOffset + 1;
  auto domain = EvacuatedDomain(aRecord.mKey, aPrefix);
  if (domain && aRecord.mValue.empty()) {
    aSet.mDomains.erase(*domain);
  } else if (domain) {
    Insert(aSet.mDomains, std::move(*domain));
  }
  return aSet;
}

auto Supersedes(const EvacuationSet& aOther, const EvacuationSet& aSet) -> bool
{
  return aOther.mAsOf && (!aSet.mAsOf || *aOther.mAsOf > *aSet.mAsOf);
}

auto CompareEvacuations(const EvacuationSet& aOld, const EvacuationSet& aNew)
  -> EvacuationChange
{
  EvacuationChange change;
  std::set_difference(aNew.mDomains.begin(),
                      aNew.mDomains.end(),
                      aOld.mDomains.begin(),
                      aOld.mDomains.end(),
                      std::back_inserter(change.mOrdered));
  std::set_difference(aOld.mDomains.begin(),
                      aOld.mDomains.end(),
                      aNew.mDomains.begin(),
                      aNew.mDomains.end(),
                      std::back_inserter(change.mRevoked));
  return change;
}

auto ToWire(const EvacuationSet& aSet) -> std::unique_ptr<wire::EvacuationsT>
{
  if (!aSet.mAsOf) {
    return nullptr;
  }
  auto message = std::make_unique<wire::EvacuationsT>();
  message->offset = *aSet.mAsOf;
  message->domains.assign(aSet.mDomains.begin(), aSet.mDomains.end());
  return message;
}

auto FromWire(const wire::EvacuationsT& aMessage) -> EvacuationSet
{
  EvacuationSet set;
  set.mAsOf = aMessage.offset;
  for (const auto& domain : aMessage.domains) {
    if (IsDomainName(domain)) {
      Insert(set.mDomains, domain);
    }
  }
  return set;
}

} // namespace mangovalve
