// API keys: generation, digests, lookup of the team, and the removal of every
// form of a key from what is sent to endpoints.
//
// Endpoints get only the headers of an allow list. The document holds digests,
// so a key is compared by hashing it.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mangovalve/base/id.h"
#include "mangovalve/base/time.h"
#include "mangovalve/config/document.h"

namespace mangovalve {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Returns a new random key: "mv_" and 43 characters of [A-Za-z0-9_-], 256 bits.
// Throws std::runtime_error when the system has no entropy.
auto NewKey() -> std::string;

// Digest of a key as the document holds it.
inline auto KeyDigest(std::string_view aKey) -> std::string
{
  return Sha256Hex(aKey);
}

// The key that came with a request, or an empty string. Looked for in this
// order: Authorization (Bearer), X-Api-Key, the query parameter api_key and the
// cookie api_key. Header names match in any case.
auto ExtractKey(const HeaderList& aHeaders, std::string_view aTarget)
  -> std::string;

// The key's entry in the document, or null when it is unknown or withdrawn.
// Must be called for every request with the document in force, not per
// connection.
auto FindKey(const Document& aDocument, std::string_view aKey) -> const Key*;

// Whether a host may still honour keys: always without a bound, else only while
// its last contact to the log or to a peer is not older than the bound. Without
// any contact so far, aLastContact is the start of the process.
auto AreKeysAccepted(const Settings& aSettings,
                     TimePoint aLastContact,
                     TimePoint aNow) -> bool;

// The request target (path and query) for an endpoint: without parameters that
// name or hold a key. Nothing when the path itself holds a key; such a request
// must be refused.
auto ForwardTarget(std::string_view aTarget,
                   std::string_view aKey,
                   const Document& aDocument) -> std::string;

// The headers of the allow list whose value holds no key. Cookies,
// Authorization and X-Api-Key are never on it.
auto ForwardHeaders(const HeaderList& aHeaders,
                    std::string_view aKey,
                    const Document& aDocument) -> HeaderList;

} // namespace mangovalve
