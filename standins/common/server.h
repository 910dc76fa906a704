// HTTP server shared by the stand-ins: routes that show faults on request, a
// record of everything received, and the flags common to all three programs.
//
// Every stand-in has POST /faults (see faults.h) and GET /received (all bytes
// received, as text). These two never show faults.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "mangovalve/base/result.h"
#include "standins/common/faults.h"

namespace mangovalve::standins {

// What a handler answers. A streamed answer has mNextPart.
struct Answer
{
  int mStatus = 200;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mContentType = "application/json";
  std::string mBody;
  // Next part of the stream, nothing at its end. Waits; gives up early when
  // aIsConnected turns false.
  std::function<
    auto(const std::function<bool()>& aIsConnected)->std::optional<std::string>>
    mNextPart;
  // Called once when the caller leaves before the end of the stream.
  std::function<void()> mOnDisconnect;
};

using AnswerFunction =
  std::function<auto(const httplib::Request& aRequest)->Answer>;

// Answer with a JSON body.
auto JsonAnswer(const nlohmann::json& aJson, int aStatus = 200) -> Answer;

// Error answer {"error":{"reason","message"}}.
auto ErrorAnswer(int aStatus,
                 const std::string& aReason,
                 const std::string& aMessage) -> Answer;

// Member of a JSON object as a string; empty when absent or of another type.
auto TextMember(const nlohmann::json& aJson, const char* aName) -> std::string;

// Text of the requests received, oldest dropped past a bound of 64 MiB.
class ReceivedLog
{
public:
  auto Add(const std::string& aText) -> void;
  auto Text() const -> std::string;
  auto DroppedBytes() const -> std::uint64_t;

private:
  mutable absl::Mutex mMutex;
  std::string mText ABSL_GUARDED_BY(mMutex);
  std::uint64_t mDropped ABSL_GUARDED_BY(mMutex) = 0;
};

// An answer that was sent, for the crossed fault.
struct SentAnswer
{
  std::string mId;
  std::string mBody;
  std::vector<std::string> mParts;
};

// One stand-in's server.
struct Standin
{
  explicit Standin(std::uint64_t aSeed);

  httplib::Server mServer;
  FaultBoard mFaults;
  ReceivedLog mReceived;
  int mListenSocket = -1;
  absl::Mutex mSentMutex;
  std::optional<SentAnswer> mSent ABSL_GUARDED_BY(mSentMutex);
};

// Adds a route. aMethod is GET or POST, aPattern a regular expression over the
// path.
auto AddRoute(Standin& aStandin,
              const std::string& aMethod,
              const std::string& aPattern,
              AnswerFunction aHandler) -> void;

// Binds to aAddress (IP:PORT, port 0 for any free one) and returns the address
// bound.
auto Bind(Standin& aStandin, const std::string& aAddress)
  -> Result<std::string, std::string>;

// Prints listening=IP:PORT on standard output and serves until the process
// ends. Returns the process's exit code.
auto RunStandin(Standin& aStandin, const std::string& aAddress) -> int;

} // namespace mangovalve::standins
