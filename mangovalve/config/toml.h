// Parsing and formatting of the configuration document as TOML.
//
//   [settings]        keys_valid_without_contact = "30s"
//   [domains.NAME]    region
//   [teams.NAME]      rate, burst, weight, max_jobs
//   [keys.DIGEST]     team
//   [services.NAME]   kind = "model" | "plain", checks_fencing, max_in_flight
//   [models.NAME]     service, version, adapters, retain_former
//   [routes.NAME]     path, service, model, open, idempotent, teams, timeout,
//                     first_byte_timeout
//
// Durations are strings such as "250ms", "5s", "10m" or "1h"; "0s" is zero.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "mangovalve/config/document.h"

namespace mangovalve {

// An error or a warning about a submitted document.
struct ConfigProblem
{
  std::string mPath; // field, e.g. teams.alpha.rate; empty: whole document
  std::string mMessage;
  std::uint32_t mLine = 0; // 1-based; 0: unknown

  auto operator==(const ConfigProblem&) const -> bool = default;
};

struct ParsedConfig
{
  Document mDocument; // valid only if mErrors is empty; mRevision is 0
  std::vector<ConfigProblem> mErrors; // at most one per path
  std::vector<ConfigProblem> mWarnings;
};

// Parses and validates a document. Collects all errors instead of stopping at
// the first, unless the text is too large or is not TOML.
auto ParseConfig(std::string_view aToml) -> ParsedConfig;

// Formats a document as TOML that parses to the same document.
auto FormatConfig(const Document& aDocument) -> std::string;

} // namespace mangovalve
