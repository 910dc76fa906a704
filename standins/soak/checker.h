// Judges what a caller got for one request against what the endpoints ran.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "standins/soak/documents.h"

namespace mangovalve::standin {

// How the exchange of one request ended for its caller.
enum class Ending
{
  NoConnection, // nothing was sent
  Unsent,       // the connection ended before the last byte had been written
  Answered,     // a complete response
  Reset,        // no complete response; the peer reset the connection
  Closed,       // no complete response; the peer had read all bytes and closed
  Overdue,      // neither a response nor an end of the connection
  GaveUp,       // the same, until the caller no longer waited
};

struct Attempt
{
  std::string mId;
  std::string mHost;
  std::string mRoute;     // empty: not judged by the documents
  bool mMayRepeat = true; // may run more than once
  bool mFirst = false;    // first request of its connection
  Ending mEnding = Ending::NoConnection;
  bool mBegun = false;      // part of a response has arrived
  unsigned mStatus = 0;     // Answered only
  std::string mProblem;     // what is wrong with a response; empty: nothing
  TimePoint mIdleSince{};   // the last use of the connection
  TimePoint mBegunAt{};     // the first byte was to be written
  TimePoint mLastWriteAt{}; // the last byte was to be written
  TimePoint mSentAt{};      // the last byte had been written
  TimePoint mEndedAt{};
  // When the time that its caller had stated was over, counted like a host.
  TimePoint mExpiresAt = TimePoint::max();
  // The host had not been told to stop, and was the one that accepted the
  // connection.
  bool mHostServed = false;
  // Set by ApplyDocuments.
  std::optional<Allowance> mAllowance;
  bool mWithinLimits = false; // on the time to send it and the idle time before
  // Part of the time between the two in which this process was not running.
  Duration mStalled{};
};

struct JudgeRules
{
  // A connection that is reset later than this after the last byte had been
  // accepted by the host. Zero: not judged.
  std::chrono::milliseconds mLateReset{ 200 };
  // A request that runs at two endpoints at once for longer.
  std::chrono::milliseconds mOverlap{ 400 };
};

// One run of a request at an endpoint.
struct RunSpan
{
  std::size_t mEndpoint = 0;
  TimePoint mFrom;
  TimePoint mUntil;
  std::string mService;
};

// Longest time for which a request has run at two endpoints at once.
auto LongestOverlap(const std::vector<RunSpan>& aRuns) -> Duration;

// Whether the status promises that a request has not run and never will.
auto IsRefusal(unsigned aStatus) -> bool;

// Sets what the documents that may have been in force allow the attempt.
auto ApplyDocuments(Attempt& aAttempt,
                    const std::vector<RunSpan>& aRuns,
                    const std::vector<SoakDocument>& aDocuments) -> void;

// The rule that the attempt broke, with its figures; nothing if it broke none.
// aRuns are all runs of the request that the endpoints have begun.
auto Judge(const Attempt& aAttempt,
           const std::vector<RunSpan>& aRuns,
           const JudgeRules& aRules) -> std::optional<std::string>;

// The times of the attempt and of its runs, from the write of its last byte.
auto Describe(const Attempt& aAttempt, const std::vector<RunSpan>& aRuns)
  -> std::string;

// What is wrong with a whole stream of aEvents events; empty: nothing.
auto StreamProblem(const std::string& aId,
                   std::uint32_t aEvents,
                   const std::string& aBody) -> std::string;

} // namespace mangovalve::standin
