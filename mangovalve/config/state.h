// Replayed configuration: the document in force and its history.
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

// Revisions whose content can be read back.
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
  EntryChanges mUndo; // changes that lead back to the revision before
};

struct ConfigState
{
  std::uint64_t mRevision = 0;   // 0: nothing submitted yet
  ConfigEntries mEntries;        // content of mRevision
  std::deque<Revision> mHistory; // consecutive, ends with mRevision
  // The parsed form of mEntries; never null, immutable once published.
  std::shared_ptr<const Document> mDocument = std::make_shared<Document>();
};

// Verdicts: accepted with the new revision as detail; "conflict" with the
// current revision; "digest_mismatch", "malformed" or "unknown_revision". A
// resend of a submission in the history is accepted with its revision and
// changes nothing.
auto Apply(ConfigState& aState,
           const RecordContext& aContext,
           const record::ConfigSubmission& aRecord) -> Verdict;

// ConfigEntries of a revision in the history; nothing for any other.
auto EntriesAt(const ConfigState& aState, std::uint64_t aRevision)
  -> std::optional<ConfigEntries>;

// The history entry of a revision; null when it is not in the history.
auto FindRevision(const ConfigState& aState, std::uint64_t aRevision)
  -> const Revision*;

// The accepted submission with this id; null when it is not in the history.
auto FindSubmission(const ConfigState& aState, const std::string& aSubmission)
  -> const Revision*;

// The revision in force for a host whose next entry to apply is aNext; nothing
// when the history does not reach that far back.
auto RevisionBefore(const ConfigState& aState, Offset aNext)
  -> std::optional<std::uint64_t>;

// Serializes the state for a snapshot.
auto Save(const ConfigState& aState) -> std::string;

// Restores a saved state; the error names what is malformed.
auto Load(std::string_view aData, ConfigState& aState)
  -> Result<void, std::string>;

} // namespace mangovalve
