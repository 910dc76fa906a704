// One request of a caller whose bytes are sent as planned, and how it ended.
#pragma once

#include <memory>

#include "mangovalve/loop/asio.h"
#include "standins/soak/checker.h"

namespace mangovalve::standin {

struct CallerConnection
{
  explicit CallerConnection(asio::io_context& aLoop)
    : mStream(aLoop)
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  bool mUsed = false; // a request was sent on it
  TimePoint mIdleSince = Clock::now();
};

using CallerConnectionPtr = std::unique_ptr<CallerConnection>;

// Connects to "IP:PORT"; null on failure.
auto Connect(asio::io_context& aLoop, std::string aAddress, TimePoint aDeadline)
  -> Task<CallerConnectionPtr>;

// Whether the peer has neither closed nor reset the idle connection.
auto IsOpen(CallerConnection& aConnection) -> bool;

// How the bytes of a request are sent.
struct SendPlan
{
  std::size_t mPieces = 1;
  Duration mPause{};                    // between pieces
  Duration mPatience = Duration::max(); // after the last byte
};

// Sends the request and reads its response into aResponse, until the caller's
// patience ends or, as an overdue response, the deadline passes. Sets how and
// when it ended in aAttempt; the content of a response is left to the caller.
// The connection may be used again after a response that does not end it.
auto Exchange(CallerConnection& aConnection,
              const Request& aRequest,
              SendPlan aPlan,
              TimePoint aDeadline,
              Attempt& aAttempt,
              Response& aResponse) -> Task<>;

} // namespace mangovalve::standin
