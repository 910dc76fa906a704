// Exchange of evidence on crashes of endpoints between hosts.
//
// Load reports, domain summaries and state copies contain evidence that the
// sender knows, from whichever host it came. So it crosses failure domains in
// the summaries, and it outlives the host that saw it. Crashed runs and starts
// are repeated for a while, because datagrams may be dropped; quarantines are
// repeated as long as they last, so a host that starts learns them from any
// report.
//
// Times are sent as ages. The time of an event that arrives is late by the
// delay of its copy.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "mangovalve/peer/crash_evidence_generated.h"
#include "mangovalve/routing/crash_suspects.h"

namespace mangovalve {

// Limits of the evidence in one datagram.
constexpr std::size_t kMaxRunsSent = 32;
constexpr std::size_t kMaxStartsSent = 64;
constexpr std::size_t kMaxQuarantinesSent = 64;
constexpr std::size_t kMaxPartsSent = kMaxParts; // of one run or quarantine

// When a start that is evidence became known.
struct AnnouncedStart
{
  TimePoint mStartedAt{};
  TimePoint mKnownAt{};
};

// What this host has announced of CrashSuspects. Has no other entries than it.
struct SuspectExchange
{
  absl::flat_hash_map<std::uint64_t, TimePoint> mRuns; // known at; by run's id
  absl::flat_hash_map<PartHash, AnnouncedStart> mStarts;
};

// Takes note of evidence that is new since the last call. A start counts as new
// if it clears its part of a crash; others would be many and tell nothing.
auto NoteEvidence(SuspectExchange& aExchange,
                  const CrashSuspects& aSuspects,
                  TimePoint aNow) -> void;

// Sends all evidence again, because another host is heard that may lack it.
auto RepeatEvidence(SuspectExchange& aExchange, TimePoint aNow) -> void;

// Whether a crash has become known so recently that reports are urgent.
auto AnyNewCrash(const SuspectExchange& aExchange, TimePoint aNow) -> bool;

// The noted evidence that is to be sent at aNow, the newest if it exceeds the
// limits; null if there is none.
auto EvidenceToSend(const SuspectExchange& aExchange,
                    const CrashSuspects& aSuspects,
                    TimePoint aNow) -> std::unique_ptr<wire::CrashEvidenceT>;

// Records evidence from aSource, a host's address. Nothing about it is trusted:
// events beyond the limits are ignored. New quarantines are logged.
auto ApplyEvidence(CrashSuspects& aSuspects,
                   const SuspectPolicy& aPolicy,
                   const wire::CrashEvidenceT& aEvidence,
                   std::string_view aSource,
                   TimePoint aNow) -> void;

// Logs a quarantine that is new at this host.
auto LogQuarantine(const Quarantine& aQuarantine,
                   std::string_view aSource,
                   TimePoint aNow) -> void;

} // namespace mangovalve
