// HTTP frontend for batch jobs.
//
//   POST /v1/jobs/ID?route=NAME[&model=][&chunk_size=][&max_attempts=]
//                   [&repeatable=false]
//        One JSON object a line: {"custom_id": "...", "body": {...}}.
//        200: the job is accepted and durable. Resending the same body with the
//             same id is safe at any time and refers to the same job.
//        202: the outcome is unknown; resend with the same id.
//        400, 401, 403, 404, 409 (different content under this id), 413, 429,
//        503: refused, not run.
//   GET  /v1/jobs/ID                 progress counts
//   GET  /v1/jobs/ID/results?from=N  JSON lines of finished items from index N
//   POST /v1/jobs/ID/cancel
//
// Bodies are written to the log while they are received. The memory of an
// upload is bounded by kUploadWindow records of kUploadRecordBytes.
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
constexpr std::size_t kUploadWindow = 8; // records committed in parallel
constexpr std::uint32_t kMaxAttemptsLimit = 20;

// Timeout of a caller for the verdicts of one window of records.
constexpr std::chrono::seconds kCommitTimeout{ 30 };

// Status and JSON body of a response.
struct JobReply
{
  int mStatus = 200;
  std::string mBody;
};

// One upload of a job, from its first line to the seal.
class JobUpload
{
public:
  JobUpload(const BatchPorts& aPorts, JobKey aKey, JobOptions aOptions);

  // Processes the next bytes of the request body. After a refusal further bytes
  // are ignored; false if the body is too large and must not be read further.
  auto Add(std::string_view aData) -> bool;

  // Processes the end of the body, seals the job and returns the response.
  auto Finish() -> JobReply;

  // The response to an incomplete body. It must not be sealed, because its
  // content would differ from that of the complete body.
  auto Abort() -> JobReply;

private:
  auto AddLine(std::string_view aLine) -> void;
  auto OpenUpload() -> void;
  auto FlushWindow() -> void;
  auto Refuse(int aStatus,
              const std::string& aReason,
              const std::string& aMessage) -> void;

  const BatchPorts& mPorts;
  JobKey mKey;
  JobOptions mOptions;
  std::optional<JobReply> mRefusal;
  bool mExists = false; // already sealed: only the digests are compared
  Position mUpload = 0;
  std::size_t mBytes = 0;
  std::uint32_t mItems = 0;
  std::string mLine;   // bytes of the incomplete last line
  std::string mDigest; // of the options and all items so far
  absl::flat_hash_set<std::uint64_t> mCustomIds; // hashes
  std::vector<std::vector<ItemBody>> mWindow;
  std::size_t mRecordBytes = 0; // of the last record in the window
};

// Options of a new job from the request's query, validated against the
// document.
auto ParseJobOptions(const Document& aDocument,
                     const std::string& aTeam,
                     const httplib::Params& aQuery)
  -> Result<JobOptions, JobReply>;

// Progress of a job.
auto JobStatus(const BatchPorts& aPorts, const JobKey& aKey) -> JobReply;

// Cancels a job; 200 only after the record was read back from the log.
auto CancelJob(const BatchPorts& aPorts, const JobKey& aKey) -> JobReply;

// Finished items of one chunk from index aFrom on, as JSON lines in order of
// index. The error says why they cannot be read now.
auto ChunkResults(const BatchPorts& aPorts,
                  const JobKey& aKey,
                  std::uint32_t aChunk,
                  std::uint32_t aFrom) -> Result<std::string, std::string>;

// Whether a job id is valid: 1 to 128 characters of A-Za-z0-9._~-.
auto IsJobId(std::string_view aId) -> bool;

// Adds the handlers to the server. The ports must outlive the server.
auto AddJobRoutes(httplib::Server& aServer, const BatchPorts& aPorts) -> void;

} // namespace mangovalve
