// Connections between daemons.
//
// One I/O thread owns every socket. A host sends to a peer over the connection
// it opened itself and receives on the connections that peers opened. Sending
// never blocks: past the bound of a peer's queue a frame is dropped and
// counted. Nothing that is sent is certain to arrive; callers repeat what
// matters.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "mangovalve/base/result.h"
#include "mangovalve/base/time.h"
#include "mangovalve/peer/messages_generated.h"

namespace mangovalve::peer {

struct TransportOptions
{
  std::string mHost;                  // own host name
  std::string mListenAddress;         // IP:port; port 0 takes a free one
  std::size_t mQueueBytes = 8U << 20; // bound of one peer's send queue
  std::size_t mMaxIncoming = 2048;    // accepted connections
  // A connection with unanswered keepalives for this long is closed and opened
  // again.
  Duration mUnresponsiveTimeout = std::chrono::seconds(1);
  Duration mKeepaliveInterval = std::chrono::milliseconds(300);
  // Without a frame to send for this long, a connection is closed.
  Duration mIdleTimeout = std::chrono::seconds(20);
  Duration mBackoffMin = std::chrono::milliseconds(50);
  Duration mBackoffMax = std::chrono::seconds(2);
};

// Runs on the I/O thread, must not block, and must not keep the frame.
using FrameHandler = std::function<auto(const Frame& aFrame)->void>;

class Transport
{
public:
  explicit Transport(TransportOptions aOptions);
  ~Transport();
  Transport(const Transport&) = delete;
  auto operator=(const Transport&) -> Transport& = delete;

  // Registers the handler of a message type; before Start.
  auto SetHandler(Message aType, FrameHandler aHandler) -> void;

  // Listens and starts the I/O thread. The error names the address.
  auto Start() -> Result<void, std::string>;
  // Closes everything and joins the thread. No handler runs afterwards.
  auto Stop() -> void;

  // Address in use, with the port that was taken.
  auto Address() const -> std::string;

  // Sets or changes a peer's address. The connection is opened with the first
  // frame to send. A malformed address is logged and ignored.
  auto SetPeer(const std::string& aHost, const std::string& aAddress) -> void;
  auto RemovePeer(const std::string& aHost) -> void;

  // Queues a frame made by Encode. False if the peer is unknown or its queue is
  // full. Any thread.
  auto Send(const std::string& aHost, std::string aFrame) -> bool;

  // True while the connection to the peer is open and not silent. Any thread.
  auto Connected(const std::string& aHost) const -> bool;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mangovalve::peer
