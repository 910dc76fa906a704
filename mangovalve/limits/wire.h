// Messages of rates as frames between daemons.
#pragma once

#include <optional>
#include <string>

#include "mangovalve/limits/messages.h"
#include "mangovalve/peer/messages_generated.h"

namespace mangovalve {

// Encodes a message with its length in front, ready for Transport::Send.
auto EncodeLimitMessage(const std::string& aFrom, const LimitMessage& aMessage)
  -> std::string;

// Decodes a verified frame. Empty for other messages, and when a value is
// outside what a host can mean, such as a cost that is not a number.
auto DecodeLimitMessage(const peer::Frame& aFrame)
  -> std::optional<LimitMessage>;

} // namespace mangovalve
