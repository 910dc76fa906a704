// Parsers of HTTP/1.1 messages that bear whatever a peer sends.
//
// The library's fields throw for a name or value above 64 KiB, out of reach of
// the task that reads. Its parsers also add the fields of a trailer, which come
// after the last chunk, to those of the head, where they would be taken for
// what they are not: the head has been examined by then. These parsers report
// an oversized field as header_limit and discard trailers. They bound the
// number of header lines and the size of all of them, since the library's limit
// applies only to what it has not parsed yet. They don't reserve the announced
// length of a body, which a sender need not send.
#pragma once

#include <cstdint>
#include <limits>

#include "mangovalve/loop/asio.h"

namespace mangovalve {

// Longest name and longest value of a field that a message can hold.
constexpr std::size_t kMaxFieldBytes =
  std::numeric_limits<std::uint16_t>::max() - 2;

// Bytes that the library needs for a header line in addition to its text, with
// the overhead of the allocator.
constexpr std::size_t kFieldCost = sizeof(http::fields::value_type) + 32;

// Header lines of one message, if no other number is set.
constexpr std::uint32_t kMaxHeaderLines = 4096;

template<bool IsRequest>
class MessageParser : public http::parser<IsRequest, http::string_body>
{
public:
  auto LimitHead(std::uint32_t aBytes, std::uint32_t aLines) -> void
  {
    this->header_limit(aBytes);
    mMaxBytes = aBytes;
    mMaxLines = aLines;
  }

  // Bytes in memory of the header lines that have been parsed.
  auto HeadBytes() const -> std::size_t
  {
    return mTextBytes + mLines * kFieldCost;
  }

private:
  // A colon and the end of the line.
  static constexpr std::size_t kLineBytes = 3;

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*aLength*/,
                         ErrorCode& aError) override
  {
    aError = {};
  }

  void on_field_impl(http::field aField,
                     beast::string_view aName,
                     beast::string_view aValue,
                     ErrorCode& aError) override
  {
    if (this->is_header_done()) {
      return; // of the trailer
    }
    ++mLines;
    mTextBytes += aName.size() + aValue.size() + kLineBytes;
    if (aName.size() > kMaxFieldBytes || aValue.size() > kMaxFieldBytes ||
        mLines > mMaxLines || mTextBytes > mMaxBytes) {
      aError = http::error::header_limit;
      return;
    }
    this->get().insert(aField, aName, aValue);
  }

  std::size_t mMaxBytes = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t mMaxLines = kMaxHeaderLines;
  std::uint32_t mLines = 0;   // of the head
  std::size_t mTextBytes = 0; // of these lines
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

} // namespace mangovalve
