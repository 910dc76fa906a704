// Tests of the parsing of frames from untrusted bytes.
#include "mangovalve/peer/frame.h"

#include <doctest/doctest.h>

#include "mangovalve/base/random.h"

namespace mangovalve::peer {
namespace {

auto Sample(std::uint64_t aSequence) -> std::string
{
  flatbuffers::FlatBufferBuilder builder;
  const std::vector<flatbuffers::Offset<TokenDemand>> demands{
    CreateTokenDemandDirect(builder, aSequence, "team-1"),
    CreateTokenDemandDirect(builder, aSequence, "team-2")
  };
  const auto request = CreateTokenRequestDirect(builder, &demands);
  return Encode("host-a", builder, request);
}

// Guards against dropped or merged frames when reads split them at any byte.
TEST_CASE("frames are parsed correctly for every size of reads")
{
  const auto stream = Sample(1) + AddLengthPrefix({}) + Sample(2);
  for (std::size_t step = 1; step <= stream.size(); ++step) {
    FrameReader reader;
    std::vector<std::string> frames;
    for (std::size_t at = 0; at < stream.size(); at += step) {
      REQUIRE(Feed(reader, stream.substr(at, step), frames));
    }
    REQUIRE(frames.size() == 3);
    REQUIRE(frames[1].empty());
    for (const auto index : { 0, 2 }) {
      const auto* const frame = VerifyFrame(frames[index]);
      REQUIRE(frame != nullptr);
      REQUIRE(frame->message_as_TokenRequest()->demands()->Get(1)->id() ==
              (index == 0 ? 1U : 2U));
    }
  }
}

// Guards against an unbounded buffer because of an invalid length.
TEST_CASE("a length over the limit ends the stream")
{
  FrameReader reader;
  std::vector<std::string> frames;
  CHECK(Feed(reader, std::string("\x00\x00\x40\x00", 4), frames));
  FrameReader second;
  CHECK_FALSE(Feed(second, std::string("\x01\x00\x40\x00", 4), frames));
  CHECK(frames.empty());
}

// Guards against reads outside the buffer. Truncated and corrupted frames must
// be rejected or be safe to read; a sanitizer reports violations.
TEST_CASE("corrupted frames do not crash the parser")
{
  const auto whole = Sample(3).substr(4);
  for (std::size_t length = 0; length < whole.size(); ++length) {
    // An accepted frame may lack only the padding at its end.
    const auto cut = whole.substr(0, length);
    const auto* const frame = VerifyFrame(cut);
    if (frame != nullptr) {
      CHECK(whole.size() - length < sizeof(std::uint64_t));
      CHECK(frame->message_as_TokenRequest()->demands()->size() == 2);
    }
  }
  Random random{ 20261 };
  for (auto round = 0; round < 20000; ++round) {
    auto bytes = whole;
    for (auto change = UniformBelow(random, 4); change < 4; ++change) {
      bytes[UniformBelow(random, bytes.size())] =
        static_cast<char>(Next(random));
    }
    const auto* const frame = VerifyFrame(bytes);
    if (frame != nullptr && frame->message_as_TokenRequest() != nullptr &&
        frame->message_as_TokenRequest()->demands() != nullptr) {
      for (const auto* demand : *frame->message_as_TokenRequest()->demands()) {
        CHECK(demand->team()->str().size() <= bytes.size());
      }
    }
  }
  for (auto round = 0; round < 20000; ++round) {
    std::string noise(UniformBelow(random, 200), '\0');
    for (auto& byte : noise) {
      byte = static_cast<char>(Next(random));
    }
    FrameReader reader;
    std::vector<std::string> frames;
    static_cast<void>(Feed(reader, noise, frames));
    for (const auto& frame : frames) {
      static_cast<void>(VerifyFrame(frame));
    }
  }
}

} // namespace
} // namespace mangovalve::peer
