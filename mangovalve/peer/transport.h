// TCP transport between daemons.
//
// One I/O thread owns all sockets. A host sends to a peer over the connection
// that it opened itself, and receives on the connections that peers opened.
// Sending never blocks: when a peer's queue is full, the frame is dropped and
// counted. Delivery is not guaranteed; callers repeat what must arrive.
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
  std::string mListenAddress;         // IP:port; port 0 selects a free port
  std::size_t mQueueBytes = 8U << 20; // limit of the send queue of each peer
  std::size_t mMaxIncoming = 2048;    // limit of accepted connections
  // A connection without a response to keepalives for this time is closed and
  // reopened.
  Duration mUnresponsiveTimeout = std::chrono::seconds(1);
  Duration mKeepaliveInterval = std::chrono::milliseconds(300);
  // A connection without a frame to send for this time is closed.
  Duration mIdleTimeout = std::chrono::seconds(20);
  Duration mBackoffMin = std::chrono::milliseconds(50);
  Duration mBackoffMax = std::chrono::seconds(2);
};

// Runs on the I/O thread. Must not block or keep a reference to the frame.
using FrameHandler = std::function<auto(const Frame& aFrame)->void>;

class Transport
{
public:
  explicit Transport(TransportOptions aOptions);
  ~Transport();
  Transport(const Transport&) = delete;
  auto operator=(const Transport&) -> Transport& = delete;

  // Registers the handler of a message type. Call before Start.
  auto SetHandler(Message aType, FrameHandler aHandler) -> void;

  // Listens and starts the I/O thread. The error names the address.
  auto Start() -> Result<void, std::string>;
  // Closes all connections and joins the thread. No handler runs afterwards.
  auto Stop() -> void;

  // Listening address with the actual port.
  auto Address() const -> std::string;

  // Sets or changes a peer's address. The connection is opened when the first
  // frame is sent. A malformed address is logged and ignored.
  auto SetPeer(const std::string& aHost, const std::string& aAddress) -> void;
  auto RemovePeer(const std::string& aHost) -> void;

  // Queues a frame made by Encode. False if the peer is unknown or its queue is
  // full. Thread-safe.
  auto Send(const std::string& aHost, std::string aFrame) -> bool;

  // True while the connection to the peer is open and responsive. Thread-safe.
  auto Connected(const std::string& aHost) const -> bool;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mangovalve::peer
