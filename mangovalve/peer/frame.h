// Framing of messages between daemons: a 4-byte little-endian length, followed
// by a FlatBuffers Frame of that many bytes. A length of 0 is a keepalive. The
// receiver returns it, so that the sender can detect an unresponsive
// connection.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mangovalve/peer/messages_generated.h"

namespace mangovalve::peer {

// The connection is closed when a longer frame is received.
constexpr std::uint32_t kMaxFrameBytes = 4U << 20;

// Received bytes of a connection that do not form a complete frame yet.
struct FrameReader
{
  std::string mBuffer; // at most one frame and one read
};

// Adds received bytes and moves every complete frame to aFrames; a keepalive is
// an empty string. False if a length exceeds kMaxFrameBytes: the rest of the
// stream can't be parsed.
auto Feed(FrameReader& aReader,
          std::string_view aBytes,
          std::vector<std::string>& aFrames) -> bool;

// Returns the frame in aBytes, or nullptr if it is malformed or has no message.
// The result points into aBytes.
auto VerifyFrame(const std::string& aBytes) -> const Frame*;

// Prepends the length to the bytes of a frame.
auto AddLengthPrefix(std::string_view aBytes) -> std::string;

// Serializes one message from the host aFrom as a frame with its length prefix.
template<typename Table>
auto Encode(const std::string& aFrom,
            flatbuffers::FlatBufferBuilder& aBuilder,
            flatbuffers::Offset<Table> aMessage) -> std::string
{
  const auto frame = CreateFrame(aBuilder,
                                 aBuilder.CreateString(aFrom),
                                 MessageTraits<Table>::enum_value,
                                 aMessage.Union());
  // FinishSizePrefixed can't be used: the receiver verifies the alignment of
  // the frame without the length prefix, which it does not preserve.
  aBuilder.Finish(frame);
  return AddLengthPrefix(
    { reinterpret_cast<const char*>(aBuilder.GetBufferPointer()),
      aBuilder.GetSize() });
}

} // namespace mangovalve::peer
