// Encodes and decodes the rate limiter's messages as peer frames.
#pragma once

#include <optional>
#include <string>

#include "mangovalve/limits/messages.h"
#include "mangovalve/peer/messages_generated.h"

namespace mangovalve {

// Encodes a length-prefixed frame for Transport::Send.
auto EncodeLimitMessage(const std::string& aFrom, const LimitMessage& aMessage)
  -> std::string;

// Decodes a verified frame. Empty for messages of other subsystems and for
// values out of range, such as a cost that is NaN or negative.
auto DecodeLimitMessage(const peer::Frame& aFrame)
  -> std::optional<LimitMessage>;

} // namespace mangovalve
