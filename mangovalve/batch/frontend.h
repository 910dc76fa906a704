// Callers' HTTP for batch jobs.
//
//   POST /v1/jobs/ID?route=NAME[&model=][&chunk_size=][&max_attempts=]
//                   [&repeatable=false]
//        One JSON object a line: {"custom_id": "...", "body": {...}}.
//        200: the job is accepted and durable; the same body may be resent with
//             the same id at any time and gets the same job.
//        202: outcome unknown; resend with the same id.
//        400, 401, 403, 404, 409 (another content under this id), 413, 429,
//        503: refused, not run.
//   GET  /v1/jobs/ID                 progress counts
//   GET  /v1/jobs/ID/results?from=N  JSON lines of finished items from index N
//   POST /v1/jobs/ID/cancel
//
// Bodies are written to the log while they arrive; memory per upload is bounded
// by kUploadWindow records of kUploadRecordBytes.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_set.h>
#include <httplib.h>

#include "mangovalve/batch/ports.h"
#include "mangovalve/batch/records.h"

namespace mangovalve {

constexpr std::size_t kMaxItemBytes = 256 << 10;
constexpr std::size_t kMaxUploadBytes = std::size_t{ 1 } << 30;
constexpr std::size_t kUploadRecordBytes = 256 << 10;
constexpr std::size_t kUploadWindow = 8; // records committed at once
constexpr std::uint32_t kMaxAttemptsLimit = 20;

// How long a caller waits for the verdict of one window of records.
constexpr std::chrono::seconds kCommitTimeout{ 30 };

// Status and JSON body of an answer.
struct JobReply
{
  int mStatus = 200;
  std::string mBody;
};

// One upload, from the first line to the seal.
class JobUpload
{
public:
  JobUpload(const BatchPorts& aPorts, JobKey aKey, JobOptions aOptions);

  // Takes the next bytes of the request body. After a refusal the rest is
  // ignored; false when even ignoring must end (body too large).
  auto Add(std::string_view aData) -> bool;

  // Ends the body, seals the job and returns the answer.
  auto Finish() -> JobReply;

  // The answer to a body that broke off: it must not be sealed, for it would be
  // another job.
  auto Abort() -> JobReply;

private:
  auto AddLine(std::string_view aLine) -> void;
  auto Begin() -> void;
  auto FlushWindow() -> void;
  auto Refuse(int aStatus,
              const std::string& aReason,
              const std::string& aMessage) -> void;

  const BatchPorts& mPorts;
  JobKey mKey;
  JobOptions mOptions;
  std::optional<JobReply> mRefusal;
  bool mExists = false; // the job is sealed: only the digest is compared
  Position mUpload = 0;
  std::size_t mBytes = 0;
  std::uint32_t mItems = 0;
  std::string mLine;   // bytes of the line not yet ended
  std::string mDigest; // over options and items so far
  absl::flat_hash_set<std::uint64_t> mCustomIds; // hashes
  std::vector<std::vector<ItemBody>> mWindow;
  std::size_t mRecordBytes = 0; // of the last record in the window
};

// Options of a new job from the request's query, checked against the document.
auto ParseJobOptions(const Document& aDocument,
                     const std::string& aTeam,
                     const httplib::Params& aQuery)
  -> Result<JobOptions, JobReply>;

// Progress of a job.
auto JobStatus(const BatchPorts& aPorts, const JobKey& aKey) -> JobReply;

// Cancels a job; 200 only after the record was read back.
auto CancelJob(const BatchPorts& aPorts, const JobKey& aKey) -> JobReply;

// Finished items of one chunk as JSON lines, by index; the error says why they
// cannot be read now.
auto ChunkResults(const BatchPorts& aPorts,
                  const JobKey& aKey,
                  std::uint32_t aChunk,
                  std::uint32_t aFrom) -> Result<std::string, std::string>;

// Whether a caller may choose this id: 1 to 128 of A-Za-z0-9._~-.
auto IsJobId(std::string_view aId) -> bool;

// Adds the handlers. The ports must outlive the server.
auto AddJobRoutes(httplib::Server& aServer, const BatchPorts& aPorts) -> void;

} // namespace mangovalve
