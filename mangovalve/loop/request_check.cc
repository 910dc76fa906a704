// Check of a request before it is written.
#include "mangovalve/loop/request_check.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include "mangovalve/loop/message_parser.h"

namespace mangovalve {
namespace {

using beast::string_view;

auto IsTokenByte(unsigned char aByte) -> bool
{
  constexpr absl::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(aByte) ||
         kSymbols.find(static_cast<char>(aByte)) != absl::string_view::npos;
}

auto IsToken(string_view aText) -> bool
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsTokenByte);
}

auto IsTarget(string_view aText) -> bool
{
  return !aText.empty() &&
         std::none_of(aText.begin(), aText.end(), [](unsigned char aByte) {
           return absl::ascii_iscntrl(aByte) || aByte == ' ';
         });
}

auto IsValue(string_view aText) -> bool
{
  return std::none_of(aText.begin(), aText.end(), [](unsigned char aByte) {
    return absl::ascii_iscntrl(aByte) && aByte != '\t';
  });
}

// Whether the fields give the length of the body.
struct Framing
{
  int mLengths = 0;
  int mEncodings = 0;
  bool mMatches = true;
};

auto AddField(Framing& aFraming,
              const http::fields::value_type& aField,
              std::size_t aBodySize) -> void
{
  const absl::string_view value(aField.value().data(), aField.value().size());
  if (aField.name() == http::field::content_length) {
    std::uint64_t length = 0;
    ++aFraming.mLengths;
    aFraming.mMatches = aFraming.mMatches && absl::SimpleAtoi(value, &length) &&
                        length == aBodySize;
  } else if (aField.name() == http::field::transfer_encoding) {
    ++aFraming.mEncodings;
    aFraming.mMatches =
      aFraming.mMatches && absl::EqualsIgnoreCase(value, "chunked");
  }
}

auto IsFramed(const Framing& aFraming, std::size_t aBodySize) -> bool
{
  const auto count = aFraming.mLengths + aFraming.mEncodings;
  return aFraming.mMatches && (count == 1 || (count == 0 && aBodySize == 0));
}

} // namespace

auto CheckRequest(const Request& aRequest) -> ErrorCode
{
  if (!IsToken(aRequest.method_string())) {
    return http::error::bad_method;
  }
  if (!IsTarget(aRequest.target())) {
    return http::error::bad_target;
  }
  const auto size = aRequest.body().size();
  Framing framing;
  for (const auto& field : aRequest) {
    const auto name = field.name_string();
    if (name.size() > kMaxFieldBytes || !IsToken(name)) {
      return http::error::bad_field;
    }
    if (field.value().size() > kMaxFieldBytes || !IsValue(field.value())) {
      return http::error::bad_value;
    }
    AddField(framing, field, size);
  }
  return IsFramed(framing, size) ? ErrorCode()
                                 : ErrorCode(http::error::bad_content_length);
}

} // namespace mangovalve
