// Journal: commits records to the log and returns their verdicts.
//
// mCommit queues a record for the next group commit, waits until this host has
// read it back in replay, and returns the verdict, which is the same on every
// host. The functions may be called from any thread.
#pragma once

#include <functional>
#include <string>

#include <flatbuffers/flatbuffers.h>

#include "mangovalve/base/id.h"
#include "mangovalve/base/result.h"
#include "mangovalve/base/time.h"
#include "mangovalve/replay/record_context.h"
#include "mangovalve/replay/records_generated.h"

namespace mangovalve {

// Priority of a record in a host's commit queue; lower values go first.
enum class CommitPriority
{
  Configuration,
  Claim,
  Result,
};

struct JournalError
{
  enum class Kind
  {
    NotAppended,    // no append can have taken effect
    OutcomeUnknown, // an append may take effect: resend with the same id
    TooLarge,
    QueueFull, // not attempted
  };
  Kind mKind = Kind::NotAppended;
  std::string mMessage;
};

struct Committed
{
  RecordContext mContext;
  Verdict mVerdict;
};

// A record to append. mBuild adds the body to the batch's builder and returns
// the body's offset in it; it is called once per append attempt.
struct RecordDraft
{
  Id128 mId;
  record::RecordBody mType = record::RecordBody::NONE;
  std::function<
    auto(flatbuffers::FlatBufferBuilder& aBuilder)->flatbuffers::Offset<void>>
    mBuild;
  std::size_t mSizeHint = 256; // bytes; estimate used to size a batch
};

// The journal as the other modules see it. The daemon backs it with LogWriter,
// and tests with fakes.
struct JournalPort
{
  // Commits a record and waits for its verdict until aDeadline.
  std::function<
    auto(RecordDraft aDraft, CommitPriority aPriority, TimePoint aDeadline)
      ->Result<Committed, JournalError>>
    mCommit;
  // Reads the batch at an offset from the log, e.g. to return result bodies.
  std::function<auto(Offset aOffset, TimePoint aDeadline)
                  ->Result<std::string, JournalError>>
    mFetch;
};

} // namespace mangovalve
