// Account of the bytes that a host holds for others.
#include "mangovalve/loop/memory_account.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <tuple>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <sys/resource.h>

#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using std::chrono::seconds;

// A quarter of the memory is held for others. The rest is left to the process
// itself, to the allocator's overhead and to the system.
constexpr std::uint64_t kMemoryPart = 4;

// One body of 4 MiB with the copy that is sent fits into the part that bodies
// may use.
constexpr std::uint64_t kLeastHeldBytes = 16UL << 20U;

// Half of the descriptors are left to connections that this host opens.
constexpr std::uint64_t kDescriptorPart = 2;
constexpr std::uint64_t kLeastConnections = 64;
constexpr std::uint64_t kMostConnections = 20000;

// Evicting connections that hold less than this frees little.
constexpr std::size_t kLittleBytes = 64UL << 10U;

constexpr auto kLogInterval = std::chrono::milliseconds(100);

constexpr std::array<const char*, kHeldKinds> kKindNames{
  "connections", "heads", "bodies", "answers", "output", "jobs"
};

auto NameOf(Shortage aShortage) -> const char*
{
  return aShortage == Shortage::HeldBytes ? "held_bytes" : "connections";
}

auto Millis(Duration aDuration) -> std::string
{
  return absl::StrCat(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

} // namespace

auto ParseMemoryTotal(std::string_view aText) -> std::optional<std::uint64_t>
{
  constexpr std::uint64_t kKiloByte = 1024;
  for (auto line :
       absl::StrSplit(absl::string_view(aText.data(), aText.size()), '\n')) {
    std::uint64_t kiloBytes = 0;
    if (absl::ConsumePrefix(&line, "MemTotal:") &&
        absl::ConsumeSuffix(&line, "kB") &&
        absl::SimpleAtoi(absl::StripAsciiWhitespace(line), &kiloBytes)) {
      return kiloBytes * kKiloByte;
    }
  }
  return std::nullopt;
}

auto LimitsFor(std::uint64_t aMemoryTotal, std::uint64_t aDescriptors)
  -> MemoryLimits
{
  MemoryLimits limits;
  limits.mHeldBytes = std::max(aMemoryTotal / kMemoryPart, kLeastHeldBytes);
  limits.mConnections = std::clamp(
    aDescriptors / kDescriptorPart, kLeastConnections, kMostConnections);
  BoundReceiveBuffers(limits);
  return limits;
}

auto BoundReceiveBuffers(MemoryLimits& aLimits) -> void
{
  aLimits.mConnections =
    std::min(aLimits.mConnections, aLimits.mHeldBytes / kReceiveBufferBytes);
}

auto LimitsOfThisMachine() -> MemoryLimits
{
  // Assumed if the system does not tell.
  constexpr std::uint64_t kSmallestMachine = 120'000'000;
  constexpr rlim_t kFewDescriptors = 1024;
  std::ostringstream text;
  text << std::ifstream("/proc/meminfo").rdbuf();
  auto memory = ParseMemoryTotal(text.str()).value_or(kSmallestMachine);
  rlimit limit{};
  if (getrlimit(RLIMIT_AS, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    memory = std::min<std::uint64_t>(memory, limit.rlim_cur);
  }
  const auto known = getrlimit(RLIMIT_NOFILE, &limit) == 0;
  return LimitsFor(memory, known ? limit.rlim_cur : kFewDescriptors);
}

auto ParsedJsonBytes(std::string_view aText) -> std::size_t
{
  // An empty object, which is the largest value without a string.
  constexpr std::size_t kValueBytes = 96;
  const auto values = std::count_if(aText.begin(), aText.end(), [](char aByte) {
    return aByte == ',' || aByte == '[' || aByte == '{';
  });
  return kValueBytes * static_cast<std::size_t>(values);
}

auto ChooseEviction(std::span<const EvictionCandidate> aCandidates,
                    Shortage aShortage,
                    TimePoint aNow) -> std::optional<std::size_t>
{
  // The smallest rank is evicted first.
  const auto rank = [&](const EvictionCandidate& aCandidate) {
    const auto last = aShortage == Shortage::HeldBytes
                        ? aCandidate.mHeld < kLittleBytes
                        : aCandidate.mServed;
    const auto stalled = std::chrono::duration_cast<seconds>(
      std::max(Duration::zero(), aNow - aCandidate.mProgressAt));
    return std::make_tuple(
      last, -stalled, aCandidate.mReceived, aCandidate.mProgressAt);
  };
  const auto first =
    std::min_element(aCandidates.begin(),
                     aCandidates.end(),
                     [&](const auto& aOne, const auto& aOther) {
                       return rank(aOne) < rank(aOther);
                     });
  if (first == aCandidates.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(first - aCandidates.begin());
}

auto MemoryAccount::HeldOf(HeldKind aKind) const -> std::size_t
{
  return mByKind.at(static_cast<std::size_t>(aKind));
}

auto MemoryAccount::LimitOf(HeldKind aKind) const -> std::size_t
{
  constexpr std::size_t kParts = 4;
  return aKind == HeldKind::Bodies || aKind == HeldKind::Jobs
           ? mLimits.mHeldBytes - mLimits.mHeldBytes / kParts
           : mLimits.mHeldBytes;
}

auto MemoryAccount::Choose(Shortage aShortage) -> MemoryHolder*
{
  std::vector<EvictionCandidate> candidates;
  std::vector<MemoryHolder*> holders;
  candidates.reserve(mEvictable.size());
  holders.reserve(mEvictable.size());
  for (auto* holder : mEvictable) {
    candidates.push_back(holder->mProgress);
    holders.push_back(holder);
  }
  const auto chosen = ChooseEviction(candidates, aShortage, Clock::now());
  return chosen ? holders[*chosen] : nullptr;
}

auto MemoryAccount::Evict(MemoryHolder& aHolder, Shortage aShortage) -> void
{
  const auto now = Clock::now();
  FindCounter("mangovalve_memory_evictions_total",
              { { "reason", NameOf(aShortage) } })
    .Add();
  if (MayLog(now)) {
    const auto& progress = aHolder.mProgress;
    LogEvent(Severity::Warn,
             "memory_evicted",
             { { "reason", NameOf(aShortage) },
               { "held", absl::StrCat(progress.mHeld) },
               { "received", absl::StrCat(progress.mReceived) },
               { "stalled_ms", Millis(now - progress.mProgressAt) },
               { "total", absl::StrCat(mHeld) },
               { "limit", absl::StrCat(mLimits.mHeldBytes) },
               { "connections", absl::StrCat(Connections()) },
               { "not_logged", absl::StrCat(std::exchange(mNotLogged, 0)) } });
  }
  // Counted as free at once; the connection's task frees them in this turn of
  // the loop.
  aHolder.mEvicted = true;
  aHolder.ReleaseAll();
  mEvictable.erase(&aHolder);
  const auto evict = std::move(aHolder.mEvict);
  aHolder.mEvict = nullptr;
  evict();
}

auto MemoryAccount::NoteRefusal(Shortage aShortage) -> void
{
  FindCounter("mangovalve_memory_refusals_total",
              { { "reason", NameOf(aShortage) } })
    .Add();
  if (MayLog(Clock::now())) {
    LogEvent(Severity::Warn,
             "memory_refused",
             { { "reason", NameOf(aShortage) },
               { "total", absl::StrCat(mHeld) },
               { "limit", absl::StrCat(mLimits.mHeldBytes) },
               { "connections", absl::StrCat(Connections()) },
               { "not_logged", absl::StrCat(std::exchange(mNotLogged, 0)) } });
  }
}

auto MemoryAccount::MakeRoom(HeldKind aKind,
                             std::size_t aBytes,
                             const MemoryHolder& aFor) -> bool
{
  while (mHeld + aBytes > LimitOf(aKind)) {
    auto* const chosen = Choose(Shortage::HeldBytes);
    // The bytes of connections that hold nothing can't be had.
    if (chosen == nullptr || chosen == &aFor || chosen->mProgress.mHeld == 0) {
      NoteRefusal(Shortage::HeldBytes);
      return false;
    }
    Evict(*chosen, Shortage::HeldBytes);
  }
  return true;
}

auto MemoryAccount::MakeRoomForConnection() -> bool
{
  while (Connections() >= mLimits.mConnections) {
    auto* const chosen = Choose(Shortage::Connections);
    if (chosen == nullptr) {
      NoteRefusal(Shortage::Connections);
      return false;
    }
    Evict(*chosen, Shortage::Connections);
  }
  return true;
}

auto MemoryAccount::MayLog(TimePoint aNow) -> bool
{
  if (aNow < mNextLogAt) {
    ++mNotLogged;
    return false;
  }
  mNextLogAt = aNow + kLogInterval;
  return true;
}

auto MemoryAccount::Publish() const -> void
{
  for (std::size_t i = 0; i < kHeldKinds; ++i) {
    FindCounter("mangovalve_memory_held_bytes",
                { { "kind", kKindNames.at(i) } })
      .Set(static_cast<std::int64_t>(mByKind.at(i)));
  }
}

MemoryHolder::~MemoryHolder()
{
  ReleaseAll();
  if (mAccount != nullptr && mEvict) {
    SetEvictable(true);
    mAccount->mEvictable.erase(this);
  }
}

auto MemoryHolder::BeConnection(std::function<void()> aEvict) -> void
{
  mEvict = std::move(aEvict);
  mIsEvictable = true;
  if (mAccount != nullptr) {
    mAccount->mEvictable.insert(this);
  }
}

auto MemoryHolder::SetEvictable(bool aEvictable) -> void
{
  if (mAccount == nullptr || !mEvict || aEvictable == mIsEvictable) {
    return;
  }
  mIsEvictable = aEvictable;
  if (aEvictable) {
    --mAccount->mFixed;
    mAccount->mEvictable.insert(this);
  } else {
    ++mAccount->mFixed;
    mAccount->mEvictable.erase(this);
  }
}

auto MemoryHolder::Change(HeldKind aKind, std::size_t aBytes) -> void
{
  const auto kind = static_cast<std::size_t>(aKind);
  auto& bytes = mBytes.at(kind);
  mProgress.mHeld += aBytes - bytes;
  mAccount->mByKind.at(kind) += aBytes - bytes;
  mAccount->mHeld += aBytes - bytes;
  bytes = aBytes;
}

auto MemoryHolder::Set(HeldKind aKind, std::size_t aBytes) -> bool
{
  if (mAccount == nullptr) {
    return true;
  }
  if (mEvicted) {
    return false;
  }
  const auto before = mBytes.at(static_cast<std::size_t>(aKind));
  if (aBytes > before && !mAccount->MakeRoom(aKind, aBytes - before, *this)) {
    return false;
  }
  Change(aKind, aBytes);
  return true;
}

auto MemoryHolder::Force(HeldKind aKind, std::size_t aBytes) -> void
{
  if (mAccount != nullptr && !mEvicted && !Set(aKind, aBytes)) {
    Change(aKind, aBytes);
  }
}

auto MemoryHolder::ReleaseAll() -> void
{
  for (std::size_t i = 0; mAccount != nullptr && i < kHeldKinds; ++i) {
    Change(static_cast<HeldKind>(i), 0);
  }
}

} // namespace mangovalve
