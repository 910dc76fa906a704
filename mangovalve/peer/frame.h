// Frames on the wire between daemons: a 4-byte little-endian length, then that
// many bytes of a FlatBuffers Frame. A length of 0 is a keepalive, which the
// receiver returns, so that a sender notices a connection that went silent.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mangovalve/peer/messages_generated.h"

namespace mangovalve::peer {

// A longer frame closes the connection.
constexpr std::uint32_t kMaxFrameBytes = 4U << 20;

// Bytes of a connection that do not yet form a whole frame.
struct FrameReader
{
  std::string mBuffer; // at most one frame and one read
};

// Adds bytes and moves every whole frame to aFrames, a keepalive as an empty
// string. False when a length is over the bound: the stream cannot be read any
// further.
auto Feed(FrameReader& aReader,
          std::string_view aBytes,
          std::vector<std::string>& aFrames) -> bool;

// The frame in the bytes, or nullptr unless every offset in it is valid. The
// result points into aBytes.
auto VerifyFrame(const std::string& aBytes) -> const Frame*;

// The bytes with their length in front.
auto AddLengthPrefix(std::string_view aBytes) -> std::string;

// Serializes one message from the host aFrom, with the length in front.
template<typename Table>
auto Encode(const std::string& aFrom,
            flatbuffers::FlatBufferBuilder& aBuilder,
            flatbuffers::Offset<Table> aMessage) -> std::string
{
  const auto frame = CreateFrame(aBuilder,
                                 aBuilder.CreateString(aFrom),
                                 MessageTraits<Table>::enum_value,
                                 aMessage.Union());
  // The receiver verifies the alignment of the frame without the length, which
  // FinishSizePrefixed does not keep.
  aBuilder.Finish(frame);
  return AddLengthPrefix(
    { reinterpret_cast<const char*>(aBuilder.GetBufferPointer()),
      aBuilder.GetSize() });
}

} // namespace mangovalve::peer
