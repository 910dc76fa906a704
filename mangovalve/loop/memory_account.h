// Account of the bytes that a host holds for others: connections with their
// read buffers, heads, bodies, answers that are kept whole, bytes that slow
// readers have not taken yet, and parsed batch submissions.
//
// When it is full, connections whose request is still being received are
// evicted, which is safe since nothing of them has run. If that does not
// suffice, the new bytes are refused. Only the event loop's thread uses it.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_set.h>

#include "mangovalve/base/time.h"

namespace mangovalve {

enum class HeldKind
{
  Connections, // with their read buffers
  Heads,
  Bodies,
  Answers, // that are kept until they are complete
  Output,  // that callers have not read yet
  Jobs,    // parsed batch submissions
};
constexpr std::size_t kHeldKinds = 6;

// Receive buffer of one connection. What the server has not read from it counts
// as memory of the process, but not in the account, so the buffers of all
// connections together are bounded by the bytes that the account may hold.
// Linux doubles the size for its own overhead.
constexpr std::size_t kReceiveBufferBytes = 12UL << 10U;

struct MemoryLimits
{
  std::size_t mHeldBytes = 64UL << 20U;
  // Of callers, peers and operators together.
  std::size_t mConnections = 2000;
  // Header lines of one message. A head of 16,384 bytes cannot have as many,
  // since the shortest line has 4 bytes.
  std::uint32_t mHeaderLines = 4096;
};

// MemTotal of the text of /proc/meminfo, in bytes; nullopt if there is none.
auto ParseMemoryTotal(std::string_view aText) -> std::optional<std::uint64_t>;

// Limits for a machine with this memory and this limit of descriptors. The
// bytes are a quarter of the memory, at least enough for one request of the
// largest default size.
auto LimitsFor(std::uint64_t aMemoryTotal, std::uint64_t aDescriptors)
  -> MemoryLimits;

// Lowers the number of connections until their receive buffers fill at most as
// many bytes as may be held.
auto BoundReceiveBuffers(MemoryLimits& aLimits) -> void;

// The same for this machine.
auto LimitsOfThisMachine() -> MemoryLimits;

// Upper bound of the memory that the values of a JSON text take once parsed,
// apart from its strings, which take at most its size.
auto ParsedJsonBytes(std::string_view aText) -> std::size_t;

// A connection on which no request is being handled.
struct EvictionCandidate
{
  std::size_t mHeld = 0;       // bytes
  std::uint64_t mReceived = 0; // bytes of the current request
  TimePoint mProgressAt{};     // when the last of them arrived
  bool mServed = false; // an earlier request was answered, none has begun
};

enum class Shortage
{
  HeldBytes,
  Connections,
};

// Returns the candidate to evict. The request that has been stalled longest
// comes first, in whole seconds, and among equals the one that has received
// least. Against a shortage of bytes, connections that hold little come last,
// so that ordinary requests pass; against one of connections, those that have
// served a request and wait for the next one do.
auto ChooseEviction(std::span<const EvictionCandidate> aCandidates,
                    Shortage aShortage,
                    TimePoint aNow) -> std::optional<std::size_t>;

class MemoryHolder;

class MemoryAccount
{
public:
  auto Held() const -> std::size_t { return mHeld; }
  auto HeldOf(HeldKind aKind) const -> std::size_t;
  auto Connections() const -> std::size_t { return mEvictable.size() + mFixed; }

  // Makes room for one more connection; false if none can be evicted.
  auto MakeRoomForConnection() -> bool;

  // Whether an event about the account may be logged now. An attack causes
  // thousands of them per second.
  auto MayLog(TimePoint aNow) -> bool;

  // Sets the gauges.
  auto Publish() const -> void;

  MemoryLimits mLimits;

private:
  friend class MemoryHolder;

  // Bodies and jobs leave a part of the limit to heads and answers.
  auto LimitOf(HeldKind aKind) const -> std::size_t;
  // Evicts until aBytes more of a kind fit; false if they don't.
  auto MakeRoom(HeldKind aKind, std::size_t aBytes, const MemoryHolder& aFor)
    -> bool;
  auto Choose(Shortage aShortage) -> MemoryHolder*;
  auto Evict(MemoryHolder& aHolder, Shortage aShortage) -> void;
  auto NoteRefusal(Shortage aShortage) -> void;

  std::array<std::size_t, kHeldKinds> mByKind{};
  std::size_t mHeld = 0; // sum of mByKind
  absl::flat_hash_set<MemoryHolder*> mEvictable;
  std::size_t mFixed = 0; // connections that are not in mEvictable
  TimePoint mNextLogAt{};
  std::uint64_t mNotLogged = 0; // events since the last one that was logged
};

using MemoryAccountPtr = std::shared_ptr<MemoryAccount>;

// The bytes of one connection or exchange; without an account it counts
// nothing. The destructor returns them, so the holder keeps the account alive:
// connections of an event loop may outlive the daemon.
class MemoryHolder
{
public:
  explicit MemoryHolder(MemoryAccountPtr aAccount)
    : mAccount(std::move(aAccount))
  {
  }
  ~MemoryHolder();
  MemoryHolder(const MemoryHolder&) = delete;
  auto operator=(const MemoryHolder&) -> MemoryHolder& = delete;

  // Counts this holder as a connection. aEvict is called once it is evicted and
  // must end what the connection awaits.
  auto BeConnection(std::function<void()> aEvict) -> void;

  // Sets the bytes of a kind. Returns false, and changes nothing, if they don't
  // fit or this holder was evicted.
  auto Set(HeldKind aKind, std::size_t aBytes) -> bool;
  // The same for bytes that cannot be refused any more.
  auto Force(HeldKind aKind, std::size_t aBytes) -> void;
  auto ReleaseAll() -> void;

  // Whether the connection may be evicted. It must not be while an endpoint may
  // run its request.
  auto SetEvictable(bool aEvictable) -> void;

  auto Evicted() const -> bool { return mEvicted; }

  EvictionCandidate mProgress; // mHeld is kept by this class

private:
  friend class MemoryAccount;

  auto Change(HeldKind aKind, std::size_t aBytes) -> void;

  MemoryAccountPtr mAccount;
  std::array<std::size_t, kHeldKinds> mBytes{};
  std::function<void()> mEvict; // empty unless it is a connection
  bool mIsEvictable = false;
  bool mEvicted = false;
};

} // namespace mangovalve
