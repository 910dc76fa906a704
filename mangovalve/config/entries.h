// Canonical entries of a document: path -> JSON text.
//
// Equal documents have equal entries, so that a submission carries only the
// entries that differ, and the digest over all entries proves the result.
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

// Path -> new JSON text, or nothing for a deletion.
using EntryChanges = std::map<std::string, std::optional<std::string>>;

auto ToEntries(const Document& aDocument) -> ConfigEntries;

// Sets or deletes one entry of a document. Lenient, since hosts of different
// versions must agree: unknown fields are ignored and absent ones take their
// default. The error names an unknown path or malformed JSON; the document is
// then unchanged.
auto SetEntry(Document& aDocument,
              const std::string& aPath,
              const std::optional<std::string>& aJson)
  -> Result<void, std::string>;

// Changes that turn aFrom into aTo.
auto DiffEntries(const ConfigEntries& aFrom, const ConfigEntries& aTo)
  -> EntryChanges;

auto ApplyChanges(ConfigEntries& aEntries, const EntryChanges& aChanges)
  -> void;

// SHA-256 over all entries, 64 hexadecimal digits.
auto EntriesDigest(const ConfigEntries& aEntries) -> std::string;

} // namespace mangovalve
