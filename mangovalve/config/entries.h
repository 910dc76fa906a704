// Canonical entries of a document: a map from path to JSON text.
//
// Equal documents have equal entries. A submission therefore contains only the
// entries that differ, and a digest over all entries verifies the result.
// Paths: settings, teams/NAME, keys/DIGEST, services/NAME, models/NAME,
// routes/NAME, domains/NAME.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "mangovalve/base/result.h"
#include "mangovalve/config/document.h"

namespace mangovalve {

using ConfigEntries = std::map<std::string, std::string>;

// Maps a path to its new JSON text, or to nothing if the entry is deleted.
using EntryChanges = std::map<std::string, std::optional<std::string>>;

auto ToEntries(const Document& aDocument) -> ConfigEntries;

// Sets or deletes one entry of a document. Unknown fields are ignored and
// absent ones get their default, because hosts of different versions must
// accept the same entries. Fails for an unknown path or malformed JSON; the
// document is then unchanged.
auto SetEntry(Document& aDocument,
              const std::string& aPath,
              const std::optional<std::string>& aJson)
  -> Result<void, std::string>;

// Returns the changes that turn aFrom into aTo.
auto DiffEntries(const ConfigEntries& aFrom, const ConfigEntries& aTo)
  -> EntryChanges;

auto ApplyChanges(ConfigEntries& aEntries, const EntryChanges& aChanges)
  -> void;

// SHA-256 over all entries, as 64 hexadecimal digits.
auto EntriesDigest(const ConfigEntries& aEntries) -> std::string;

} // namespace mangovalve
