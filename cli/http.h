// Calls to a daemon's HTTP address, with the exit code of each failure.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace mangovalve::cli {

struct HttpCall
{
  bool mPost = false;
  std::string mPath;
  std::vector<std::pair<std::string, std::string>> mQuery{};
  std::vector<std::pair<std::string, std::string>> mHeaders{};
  std::string mBody{};
  std::string mContentType = "application/json";
  // Whether a call without an answer may be sent again: reads, and writes that
  // carry an id.
  bool mResendable = true;
};

struct HttpAnswer
{
  int mStatus = 0;    // 0: no answer
  bool mSent = false; // whether a host may have received the call
  std::string mBody;
  std::string mError; // why there is no answer
};

// Tries the addresses of --address in turn, again and again until --timeout_s
// has passed, as long as there is no answer or one that says "not accepted" or
// "outcome unknown" (503, 504). Progress goes to standard error.
auto Call(const HttpCall& aCall) -> HttpAnswer;

// The exit code of an answer.
auto ExitCodeOf(const HttpAnswer& aAnswer) -> int;

// Parses a body; an empty object when it is not JSON.
auto ParseBody(const HttpAnswer& aAnswer) -> nlohmann::json;

// Prints an error to standard error.
auto PrintError(std::string_view aMessage) -> void;

} // namespace mangovalve::cli
