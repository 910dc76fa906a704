// Submissions of documents: planning a submission, and drafting its record for
// the journal.
#pragma once

#include <cstdint>
#include <string>

#include "mangovalve/base/result.h"
#include "mangovalve/config/document.h"
#include "mangovalve/config/entries.h"
#include "mangovalve/config/state.h"
#include "mangovalve/replay/journal.h"

namespace mangovalve {

struct Submission
{
  std::string mId; // chosen by the submitter; a resend keeps it
  std::uint64_t mBaseRevision = 0;
  EntryChanges mChanges;
  std::string mDigest; // of the resulting document
  std::string mSubmitter;
  std::string mComment;
  std::uint64_t mRollbackOf = 0;
};

// Returns the submission that turns revision aBase into aDocument. The error is
// a stable code: "conflict" if aBase is not the current revision, or
// "unchanged".
auto PlanSubmission(const ConfigState& aState,
                    std::uint64_t aBase,
                    const Document& aDocument)
  -> Result<Submission, std::string>;

// Returns the submission that restores the content of aRevision. The error is
// "unknown_revision" or "unchanged".
auto PlanRollback(const ConfigState& aState, std::uint64_t aRevision)
  -> Result<Submission, std::string>;

// Returns the record of a submission. The record id is derived from the id of
// the submission, so that a resend through any host is a duplicate. A
// submission without an id gets a random record id.
auto DraftSubmission(Submission aSubmission) -> RecordDraft;

} // namespace mangovalve
