// Replicated configuration: the active document and its history.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "mangovalve/base/result.h"
#include "mangovalve/config/document.h"
#include "mangovalve/config/entries.h"
#include "mangovalve/replay/record_context.h"
#include "mangovalve/replay/records_generated.h"

namespace mangovalve {

// Number of revisions in the history, whose content can be reconstructed.
constexpr std::size_t kMaxRevisions = 1000;

// One accepted submission.
struct Revision
{
  std::uint64_t mNumber = 0;
  RecordContext mContext;
  std::string mDigest; // of the canonical document
  std::string mSubmitter;
  std::string mComment;
  std::string mSubmission;       // id chosen by the submitter
  std::uint64_t mRollbackOf = 0; // 0: not a rollback
  EntryChanges mUndo;            // changes that restore the preceding revision
};

struct ConfigState
{
  std::uint64_t mRevision = 0;   // 0: no submission was accepted yet
  ConfigEntries mEntries;        // content of mRevision
  std::deque<Revision> mHistory; // consecutive, ends with mRevision
  // The parsed form of mEntries; never null, immutable once published.
  std::shared_ptr<const Document> mDocument = std::make_shared<Document>();
};

// Applies a submission. The verdict is accepted, with the new revision as
// detail, or rejected with "conflict", "digest_mismatch", "malformed" or
// "unknown_revision" and the current revision as detail. A resend of a
// submission in the history is accepted with its revision and has no effect.
auto Apply(ConfigState& aState,
           const RecordContext& aContext,
           const record::ConfigSubmission& aRecord) -> Verdict;

// Returns the entries of a revision; nothing if it is not in the history.
auto EntriesAt(const ConfigState& aState, std::uint64_t aRevision)
  -> std::optional<ConfigEntries>;

// Returns a revision of the history; null if it is not there.
auto FindRevision(const ConfigState& aState, std::uint64_t aRevision)
  -> const Revision*;

// Returns the revision that the submission with this id created; null if it is
// not in the history.
auto FindSubmission(const ConfigState& aState, const std::string& aSubmission)
  -> const Revision*;

// Returns the active revision of a host whose next entry to apply is aNext;
// nothing if the history does not reach back that far.
auto RevisionBefore(const ConfigState& aState, Offset aNext)
  -> std::optional<std::uint64_t>;

// Serializes the state for a snapshot.
auto Save(const ConfigState& aState) -> std::string;

// Restores a saved state. On failure aState is unchanged and the error says
// what is malformed.
auto Load(std::string_view aData, ConfigState& aState)
  -> Result<void, std::string>;

} // namespace mangovalve
