// Faults that a stand-in shows on request (POST /faults).
//
// A fault is one JSON object, or several under "faults":
//   {"kind":"late","path":"/v1/log","delay_ms":500,"count":3}
//   {"clear":true}
// "path" is a prefix of the request's path, "method" is optional, "count" is
// the number of requests affected (default: no limit) and "probability" the
// share of matching requests affected. Kinds:
//   late         the request takes effect, its answer comes delay_ms later
//   slow         the request takes effect and is answered delay_ms later
//   error        answered with "status" (default 500), no effect
//   outage       error with status 503
//   over_budget  error with status 429
//   lost_before  the connection is closed without an answer and without effect
//   lost_after   the request takes effect, then the connection is closed
//   crossed      the answer is the previous answer, under its request id
//   cut          "where": "length" (body shorter than its Content-Length),
//                "chunk" (stream without its last chunk), "done" (stream
//                without [DONE]), "unframed" (half of the body, ended by
//                closing the connection); "after" bytes or parts
//   silent       "where": "first_byte", "stream" (after "after" parts) or
//                "old_connections" (only on those older than the fault)
//   leaving      new work is refused with 503 and the load report says so
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "mangovalve/base/random.h"
#include "mangovalve/base/result.h"
#include "mangovalve/base/time.h"

namespace mangovalve::standins {

enum class FaultKind
{
  Late,
  Slow,
  Error,
  LostBefore,
  LostAfter,
  Crossed,
  Cut,
  Silent,
  Leaving,
};

enum class FaultPlace
{
  Unset,
  Length,
  Chunk,
  Done,
  Unframed,
  FirstByte,
  Stream,
  OldConnections,
};

struct Fault
{
  FaultKind mKind = FaultKind::Error;
  FaultPlace mPlace = FaultPlace::Unset;
  std::string mPath = "/"; // prefix
  std::string mMethod;     // empty: every method
  std::chrono::milliseconds mDelay{ 0 };
  int mStatus = 500;
  std::int64_t mCount = -1; // requests still to affect; -1: no limit
  double mProbability = 1;
  std::uint64_t mAfter = 0;  // bytes or stream parts before the fault shows
  TimePoint mSetAt;          // for faults of older connections only
  std::uint64_t mSerial = 0; // given by the board
};

// Parses one fault object; the error names the member that is wrong.
auto ParseFault(const nlohmann::json& aJson, TimePoint aNow)
  -> Result<Fault, std::string>;

// The request properties that faults match on.
struct FaultQuery
{
  std::string mMethod;
  std::string mPath;
  TimePoint mConnectedAt;
};

// Faults in force. Thread-safe.
class FaultBoard
{
public:
  explicit FaultBoard(std::uint64_t aSeed);

  auto Set(Fault aFault) -> void;
  auto Clear() -> void;
  // First fault that affects this request, in the order set; counts it.
  auto Take(const FaultQuery& aQuery) -> std::optional<Fault>;
  auto IsLeaving() const -> bool;
  // True while the fault is in force; a silent connection ends with its fault.
  auto IsInForce(std::uint64_t aSerial) const -> bool;

private:
  mutable absl::Mutex mMutex;
  Random mRandom ABSL_GUARDED_BY(mMutex);
  std::uint64_t mNextSerial ABSL_GUARDED_BY(mMutex) = 1;
  std::vector<Fault> mFaults ABSL_GUARDED_BY(mMutex);
  // First serial that Clear has not removed. A fault whose count is used up is
  // still in force for the requests that it affects.
  std::uint64_t mFirstSerial ABSL_GUARDED_BY(mMutex) = 1;
};

// Applies the body of POST /faults; the error says what is wrong.
auto ApplyFaultRequest(FaultBoard& aBoard,
                       const std::string& aBody,
                       TimePoint aNow) -> Result<void, std::string>;

} // namespace mangovalve::standins
