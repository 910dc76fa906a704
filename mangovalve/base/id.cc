// Identifiers and digests: OpenSSL for entropy and SHA-256.
#include "mangovalve/base/id.h"

#include <array>
#include <cstdlib>

#include <absl/strings/escaping.h>
#include <absl/strings/str_format.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace mangovalve {

auto NewId() -> Id128
{
  Id128 id;
  // Without entropy two hosts could choose the same id, and replay would drop
  // one of two different records.
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&id), sizeof(id)) != 1) {
    std::abort();
  }
  return id;
}

auto ToHex(const Id128& aId) -> std::string
{
  return absl::StrFormat("%016x%016x", aId.mHigh, aId.mLow);
}

auto Sha256Hex(std::string_view aData) -> std::string
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aData.data()),
         aData.size(),
         digest.data());
  return absl::BytesToHexString(absl::string_view(
    reinterpret_cast<const char*>(digest.data()), digest.size()));
}

} // namespace mangovalve
