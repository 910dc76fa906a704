// Framing of messages between daemons.
#include "mangovalve/peer/frame.h"

#include <cstddef>

#include <flatbuffers/flatbuffers.h>

namespace mangovalve::peer {

auto Feed(FrameReader& aReader,
          std::string_view aBytes,
          std::vector<std::string>& aFrames) -> bool
{
  auto& buffer = aReader.mBuffer;
  buffer.append(aBytes);
  std::size_t used = 0;
  while (buffer.size() - used >= sizeof(std::uint32_t)) {
    const auto length =
      flatbuffers::ReadScalar<std::uint32_t>(buffer.data() + used);
    if (length > kMaxFrameBytes) {
      return false;
    }
    if (buffer.size() - used - sizeof(length) < length) {
      break;
    }
    aFrames.push_back(buffer.substr(used + sizeof(length), length));
    used += sizeof(length) + length;
  }
  buffer.erase(0, used);
  return true;
}

auto AddLengthPrefix(std::string_view aBytes) -> std::string
{
  std::string bytes(sizeof(std::uint32_t), '\0');
  flatbuffers::WriteScalar(bytes.data(),
                           static_cast<std::uint32_t>(aBytes.size()));
  return bytes.append(aBytes);
}

auto VerifyFrame(const std::string& aBytes) -> const Frame*
{
  flatbuffers::Verifier verifier(
    reinterpret_cast<const std::uint8_t*>(aBytes.data()), aBytes.size());
  if (!VerifyFrameBuffer(verifier)) {
    return nullptr;
  }
  const auto* const frame = GetFrame(aBytes.data());
  return frame->message() == nullptr ? nullptr : frame;
}

} // namespace mangovalve::peer
