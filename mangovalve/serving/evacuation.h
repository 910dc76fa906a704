// Failure domains that operators have ordered to be evacuated, as of an offset
// of the store's configuration table.
//
// An order is a record whose key is a prefix and the domain's name; a record
// without a value, or the absence of the record when the table is loaded,
// revokes it. Hosts pass the set on to each other. Of two sets, the one with
// the higher offset is in force, so an outdated copy can't restore an order
// that was revoked, nor revoke a later one.
//
// The functions are pure.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mangovalve/base/id.h"
#include "mangovalve/peer/load_report_generated.h"
#include "mangovalve/serving/tables.h"

namespace mangovalve {

// Further orders are ignored. This bounds the load reports.
constexpr std::size_t kMaxEvacuations = 64;
constexpr std::size_t kMaxDomainBytes = 128;

struct EvacuationSet
{
  // All records below this offset are included. Empty: nothing is known.
  std::optional<Offset> mAsOf;
  std::set<std::string> mDomains; // at most kMaxEvacuations, all valid names
};

struct EvacuationChange
{
  std::vector<std::string> mOrdered;
  std::vector<std::string> mRevoked;
};

// Whether the key is that of an order, readable or not.
auto IsEvacuationKey(std::string_view aKey, std::string_view aPrefix) -> bool;

// The domain that the key of an order names; empty if the name is empty, too
// long or has characters other than visible ASCII.
auto EvacuatedDomain(std::string_view aKey, std::string_view aPrefix)
  -> std::optional<std::string>;

// The orders in the whole table.
auto ReadEvacuations(std::span<const KeyedRecord> aTable,
                     std::string_view aPrefix,
                     Offset aAsOf) -> EvacuationSet;

// The set after a change of the table. Changes must be applied in order; one
// that the set includes already has no effect.
auto WithRecord(EvacuationSet aSet,
                const KeyedRecord& aRecord,
                std::string_view aPrefix) -> EvacuationSet;

// Whether aOther is newer than aSet.
auto Supersedes(const EvacuationSet& aOther, const EvacuationSet& aSet) -> bool;

// Differences between two sets.
auto CompareEvacuations(const EvacuationSet& aOld, const EvacuationSet& aNew)
  -> EvacuationChange;

// Form in messages between hosts; null if nothing is known.
auto ToWire(const EvacuationSet& aSet) -> std::unique_ptr<wire::EvacuationsT>;
auto FromWire(const wire::EvacuationsT& aMessage) -> EvacuationSet;

} // namespace mangovalve
