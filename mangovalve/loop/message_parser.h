// Parsers of HTTP/1.1 messages that bear whatever a peer sends.
//
// The library's fields throw for a name or value above 64 KiB, out of reach of
// the task that reads. Its parsers also add the fields of a trailer, which come
// after the last chunk, to those of the head, where they would be taken for
// what they are not: the head has been examined by then. These parsers report
// an oversized field as header_limit and discard trailers.
#pragma once

#include <cstdint>
#include <limits>

#include "mangovalve/loop/asio.h"

namespace mangovalve {

// Longest name and longest value of a field that a message can hold.
constexpr std::size_t kMaxFieldBytes =
  std::numeric_limits<std::uint16_t>::max() - 2;

template<bool IsRequest>
class MessageParser : public http::parser<IsRequest, http::string_body>
{
private:
  void on_field_impl(http::field aField,
                     beast::string_view aName,
                     beast::string_view aValue,
                     ErrorCode& aError) override
  {
    if (this->is_header_done()) {
      return; // of the trailer
    }
    if (aName.size() > kMaxFieldBytes || aValue.size() > kMaxFieldBytes) {
      aError = http::error::header_limit;
      return;
    }
    this->get().insert(aField, aName, aValue);
  }
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

} // namespace mangovalve
