// Uploads, status, cancellation and results of batch jobs over HTTP.
#include "mangovalve/batch/frontend.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "mangovalve/base/thread.h"
#include "mangovalve/telemetry/counters.h"

namespace mangovalve {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxCustomIdBytes = 256;

// A line holds an item, its custom_id and the JSON syntax around them. Escape
// sequences can make it longer than the decoded item.
constexpr std::size_t kMaxLineBytes = 2 * kMaxItemBytes;

// JSON text of a value. Bytes that are not valid UTF-8, such as a response that
// was truncated within a character, are replaced instead of throwing.
auto Dump(const Json& aValue) -> std::string
{
  return aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto ErrorReply(int aStatus,
                const std::string& aReason,
                const std::string& aMessage,
                const std::string& aRun = "not_run",
                std::int64_t aRetryAfterMs = 0) -> JobReply
{
  const Json error{ { "reason", aReason },
                    { "message", aMessage },
                    { "run", aRun },
                    { "retry_after_ms", aRetryAfterMs } };
  return { aStatus, Dump({ { "error", error } }) };
}

// The response if an append was attempted and its outcome is unknown.
auto UnknownReply() -> JobReply
{
  FindCounter("batch_unresolved_requests_total").Add();
  return ErrorReply(202,
                    "outcome_unknown",
                    "the outcome is unknown; resend with the same id",
                    "unknown",
                    1000);
}

auto UnresolvedReply(const JournalError& aError) -> JobReply
{
  switch (aError.mKind) {
    case JournalError::Kind::OutcomeUnknown:
      return UnknownReply();
    case JournalError::Kind::TooLarge:
      return ErrorReply(413, "record_too_large", aError.mMessage);
    case JournalError::Kind::NotAppended:
    case JournalError::Kind::QueueFull:
      break;
  }
  return ErrorReply(503, "log_unavailable", aError.mMessage, "not_run", 1000);
}

auto StatusJson(const JobKey& aKey, const BatchJob& aJob) -> Json
{
  const auto* const state = aJob.mCancelled  ? "cancelled"
                            : aJob.mFinished ? "finished"
                                             : "running";
  return { { "id", aKey.mJob },
           { "state", state },
           { "items", aJob.mItemCount },
           { "done", aJob.mDone },
           { "failed", aJob.mFailed },
           { "outcome_unknown", aJob.mUnknown },
           { "pending", aJob.mItemCount - aJob.FinishedCount() },
           { "results_readable", !aJob.mExpired } };
}

auto StatusName(record::ItemStatus aStatus) -> std::string
{
  switch (aStatus) {
    case record::ItemStatus::Done:
      return "done";
    case record::ItemStatus::Failed:
      return "failed";
    case record::ItemStatus::OutcomeUnknown:
      break;
  }
  return "outcome_unknown";
}

auto ResultLine(const ItemOutcome& aOutcome) -> std::string
{
  // A response that is JSON is embedded as JSON, any other one as a string.
  auto body = Json::parse(aOutcome.mBody, nullptr, false);
  return Dump({ { "index", aOutcome.mIndex },
                { "custom_id", aOutcome.mCustomId },
                { "status", StatusName(aOutcome.mStatus) },
                { "attempts", aOutcome.mAttempts },
                { "http_status", aOutcome.mHttpStatus },
                { "body",
                  body.is_discarded() ? Json(aOutcome.mBody)
                                      : std::move(body) } }) +
         "\n";
}

auto OptionsText(const JobOptions& aOptions) -> std::string
{
  return Json{ aOptions.mRoute,
               aOptions.mModel,
               aOptions.mChunkSize,
               aOptions.mMaxAttempts,
               aOptions.mRepeatable }
    .dump();
}

auto Number(const httplib::Params& aQuery,
            const std::string& aName,
            std::uint32_t aDefault,
            std::uint32_t aLimit) -> Result<std::uint32_t, JobReply>
{
  const auto found = aQuery.find(aName);
  if (found == aQuery.end()) {
    return aDefault;
  }
  std::uint32_t value = 0;
  if (!absl::SimpleAtoi(found->second, &value) || value == 0 ||
      value > aLimit) {
    return Err(ErrorReply(
      400,
      "bad_option",
      absl::StrCat("query ", aName, " must be a number from 1 to ", aLimit)));
  }
  return value;
}

auto Text(const httplib::Params& aQuery, const std::string& aName)
  -> std::string
{
  const auto found = aQuery.find(aName);
  return found == aQuery.end() ? std::string{} : found->second;
}

auto UnfinishedJobs(const BatchPorts& aPorts, const std::string& aTeam)
  -> std::uint32_t
{
  std::uint32_t count = 0;
  aPorts.mRead([&](const BatchState& aState, const Holders&) {
    for (auto it = aState.mJobs.lower_bound({ aTeam, "" });
         it != aState.mJobs.end() && it->first.mTeam == aTeam;
         ++it) {
      count += it->second.mFinished ? 0 : 1;
    }
  });
  return count;
}

auto KnownJob(const BatchPorts& aPorts, const JobKey& aKey) -> bool
{
  auto known = false;
  aPorts.mRead([&](const BatchState& aState, const Holders&) {
    known = FindJob(aState, aKey) != nullptr;
  });
  return known;
}

} // namespace

JobUpload::JobUpload(const BatchPorts& aPorts, JobKey aKey, JobOptions aOptions)
  : mPorts(aPorts)
  , mKey(std::move(aKey))
  , mOptions(std::move(aOptions))
  , mDigest(Sha256Hex(OptionsText(mOptions)))
{
  mExists = KnownJob(mPorts, mKey);
}

auto JobUpload::Refuse(int aStatus,
                       const std::string& aReason,
                       const std::string& aMessage) -> void
{
  mRefusal = ErrorReply(aStatus, aReason, aMessage);
}

auto JobUpload::Add(std::string_view aData) -> bool
{
  mBytes += aData.size();
  if (mBytes > kMaxUploadBytes) {
    Refuse(413,
           "body_too_large",
           absl::StrCat("a job's body is at most ", kMaxUploadBytes, " bytes"));
    return false;
  }
  while (!mRefusal && !aData.empty()) {
    const auto end = aData.find('\n');
    mLine += aData.substr(0, end);
    if (mLine.size() > kMaxLineBytes) {
      Refuse(413,
             "item_too_large",
             absl::StrCat("line ", mItems + 1, " is too long"));
    } else if (end != std::string_view::npos) {
      AddLine(std::exchange(mLine, {}));
    }
    aData.remove_prefix(end == std::string_view::npos ? aData.size() : end + 1);
  }
  return true;
}

auto JobUpload::AddLine(std::string_view aLine) -> void
{
  if (aLine.empty() || aLine == "\r") {
    return;
  }
  const auto line = absl::StrCat("line ", mItems + 1);
  if (mItems == kMaxJobItems) {
    return Refuse(413,
                  "too_many_items",
                  absl::StrCat("a job has at most ", kMaxJobItems, " items"));
  }
  const auto parsed = Json::parse(aLine, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("body") ||
      !parsed.contains("custom_id") || !parsed["custom_id"].is_string()) {
    return Refuse(400,
                  "bad_item",
                  line +
                    " is not an object with a string custom_id and a body");
  }
  ItemBody item{ mItems,
                 parsed["custom_id"].get<std::string>(),
                 Dump(parsed["body"]) };
  if (item.mCustomId.empty() || item.mCustomId.size() > kMaxCustomIdBytes) {
    return Refuse(
      400,
      "bad_item",
      absl::StrCat(
        line, ": custom_id must have 1 to ", kMaxCustomIdBytes, " bytes"));
  }
  if (item.mBody.size() > kMaxItemBytes) {
    return Refuse(
      413,
      "item_too_large",
      absl::StrCat(line, ": an item has at most ", kMaxItemBytes, " bytes"));
  }
  // Hashes are stored to save memory. Two of 470,000 ids collide in about one
  // of 10^8 jobs.
  if (!mCustomIds.insert(StableHash(item.mCustomId)).second) {
    return Refuse(400, "duplicate_custom_id", line + " repeats a custom_id");
  }
  mDigest = Sha256Hex(absl::StrCat(
    mDigest, item.mCustomId.size(), ":", item.mCustomId, item.mBody));
  ++mItems;
  if (mExists) {
    return;
  }
  const auto bytes = RecordBytes(item);
  if (mWindow.empty() || mRecordBytes + bytes > kUploadRecordBytes) {
    if (mWindow.size() == kUploadWindow) {
      FlushWindow();
    }
    mWindow.emplace_back();
    mRecordBytes = 0;
  }
  mRecordBytes += bytes;
  mWindow.back().push_back(std::move(item));
}

auto JobUpload::OpenUpload() -> void
{
  const auto opened = CommitUntil(mPorts,
                                  DraftJobOpened(mKey, mOptions),
                                  CommitPriority::Claim,
                                  mPorts.mNow() + kCommitTimeout);
  if (!opened) {
    mRefusal = UnresolvedReply(opened.error());
  } else if (!opened->mAccepted) {
    Refuse(400, opened->mReason, "the job's options were refused");
  } else {
    mUpload = opened->mDetail;
  }
}

auto JobUpload::FlushWindow() -> void
{
  if (!mRefusal && mUpload == 0) {
    OpenUpload();
  }
  if (mRefusal) {
    return;
  }
  const auto deadline = mPorts.mNow() + kCommitTimeout;
  using Committed = Result<Verdict, JournalError>;
  std::vector<Committed> verdicts(mWindow.size());
  {
    std::vector<Thread> threads;
    for (std::size_t i = 0; i < mWindow.size(); ++i) {
      threads.emplace_back("job-upload", [this, i, deadline, &verdicts] {
        verdicts[i] =
          CommitUntil(mPorts,
                      DraftJobItems(mKey, mUpload, std::move(mWindow[i])),
                      CommitPriority::Result,
                      deadline);
      });
    }
  }
  mWindow.clear();
  for (const auto& verdict : verdicts) {
    // An unknown outcome takes precedence over other errors, because one of the
    // records may have been appended.
    if (!verdict && (!mRefusal || verdict.error().mKind ==
                                    JournalError::Kind::OutcomeUnknown)) {
      mRefusal = UnresolvedReply(verdict.error());
    } else if (verdict && !verdict->mAccepted && !mRefusal) {
      Refuse(503, verdict->mReason, "the upload took too long; resend it");
    }
  }
}

auto JobUpload::Finish() -> JobReply
{
  if (!mRefusal && !mLine.empty()) {
    AddLine(std::exchange(mLine, {}));
  }
  if (!mRefusal && mItems == 0) {
    Refuse(400, "no_items", "a job needs at least one item");
  }
  if (!mRefusal && !mExists) {
    FlushWindow();
  }
  if (mRefusal) {
    return *mRefusal;
  }
  auto same = false;
  if (mExists) {
    mPorts.mRead([&](const BatchState& aState, const Holders&) {
      const auto* const job = FindJob(aState, mKey);
      same = job != nullptr && job->mDigest == mDigest;
    });
  } else {
    const auto sealed =
      CommitUntil(mPorts,
                  DraftJobSealed(mKey, mUpload, mItems, mDigest),
                  CommitPriority::Claim,
                  mPorts.mNow() + kCommitTimeout);
    if (!sealed) {
      return UnresolvedReply(sealed.error());
    }
    if (!sealed->mAccepted && sealed->mReason != "different_content") {
      return ErrorReply(503, sealed->mReason, "the job was not sealed");
    }
    same = sealed->mAccepted;
  }
  if (!same) {
    return ErrorReply(409,
                      "different_content",
                      "a job with this id and different content exists");
  }
  FindCounter("batch_jobs_acknowledged_total").Add();
  return JobStatus(mPorts, mKey);
}

auto JobUpload::Abort() -> JobReply
{
  return mRefusal ? *mRefusal
                  : ErrorReply(400, "body_cut_short", "the body is incomplete");
}

auto ParseJobOptions(const Document& aDocument,
                     const std::string& aTeam,
                     const httplib::Params& aQuery)
  -> Result<JobOptions, JobReply>
{
  JobOptions options;
  options.mRoute = Text(aQuery, "route");
  const auto route = aDocument.mRoutes.find(options.mRoute);
  if (route == aDocument.mRoutes.end()) {
    return Err(
      ErrorReply(404, "unknown_route", "query route is not a known route"));
  }
  const auto& teams = route->second.mTeams;
  if (!teams.empty() &&
      std::find(teams.begin(), teams.end(), aTeam) == teams.end()) {
    return Err(
      ErrorReply(403, "route_not_allowed", "this team may not use the route"));
  }
  options.mModel =
    aQuery.contains("model") ? Text(aQuery, "model") : route->second.mModel;
  if (!options.mModel.empty() && !aDocument.mModels.contains(options.mModel)) {
    return Err(
      ErrorReply(404, "unknown_model", "query model is not a known model"));
  }
  const auto chunk =
    Number(aQuery, "chunk_size", options.mChunkSize, kMaxChunkSize);
  const auto attempts =
    Number(aQuery, "max_attempts", options.mMaxAttempts, kMaxAttemptsLimit);
  if (!chunk || !attempts) {
    return Err(chunk ? attempts.error() : chunk.error());
  }
  options.mChunkSize = *chunk;
  options.mMaxAttempts = *attempts;
  // A caller can forbid repeated runs on any route, but cannot allow them on a
  // route that the document declares non-idempotent.
  options.mRepeatable =
    route->second.mIdempotent && Text(aQuery, "repeatable") != "false";
  return options;
}

auto JobStatus(const BatchPorts& aPorts, const JobKey& aKey) -> JobReply
{
  auto reply = ErrorReply(404, "unknown_job", "no job with this id");
  aPorts.mRead([&](const BatchState& aState, const Holders&) {
    if (const auto* const job = FindJob(aState, aKey); job != nullptr) {
      reply = { 200, Dump(StatusJson(aKey, *job)) };
    }
  });
  return reply;
}

auto CancelJob(const BatchPorts& aPorts, const JobKey& aKey) -> JobReply
{
  const auto verdict = CommitUntil(aPorts,
                                   DraftJobCancelled(aKey),
                                   CommitPriority::Claim,
                                   aPorts.mNow() + kCommitTimeout);
  if (!verdict) {
    return UnresolvedReply(verdict.error());
  }
  if (!verdict->mAccepted && verdict->mReason == "finished") {
    return ErrorReply(409, "finished", "the job has finished", "run");
  }
  return JobStatus(aPorts, aKey);
}

auto ChunkResults(const BatchPorts& aPorts,
                  const JobKey& aKey,
                  std::uint32_t aChunk,
                  std::uint32_t aFrom) -> Result<std::string, std::string>
{
  std::vector<Position> positions;
  auto known = false;
  aPorts.mRead([&](const BatchState& aState, const Holders&) {
    const auto* const job = FindJob(aState, aKey);
    known = job != nullptr && !job->mExpired && aChunk < ChunkCount(*job);
    if (known) {
      positions = ResultPositions(*job, aChunk);
    }
  });
  if (!known) {
    return Err(std::string("the results are no longer readable"));
  }
  // The result of an item is in its first record in the list.
  std::map<std::uint32_t, ItemOutcome> outcomes;
  for (const auto position : positions) {
    const auto batch = aPorts.mJournal.mFetch(OffsetOf(position),
                                              aPorts.mNow() + kCommitTimeout);
    if (!batch) {
      return Err(batch.error().mMessage);
    }
    auto results = ReadResults(*batch, position);
    if (!results) {
      return Err(results.error());
    }
    for (auto& outcome : *results) {
      const auto index = outcome.mIndex;
      outcomes.try_emplace(index, std::move(outcome));
    }
  }
  std::string lines;
  for (auto it = outcomes.lower_bound(aFrom); it != outcomes.end(); ++it) {
    lines += ResultLine(it->second);
  }
  return lines;
}

namespace {

auto Send(httplib::Response& aResponse, const JobReply& aReply) -> void
{
  aResponse.status = aReply.mStatus;
  aResponse.set_content(aReply.mBody + "\n", "application/json");
}

// Key of the requested job; nullopt after a refusal was sent.
auto Authorize(const BatchPorts& aPorts,
               const httplib::Request& aRequest,
               httplib::Response& aResponse) -> std::optional<JobKey>
{
  const auto team = aPorts.mTeam(aRequest);
  if (!team) {
    Send(aResponse,
         ErrorReply(401, "unknown_key", "the request has no valid key"));
    return std::nullopt;
  }
  return JobKey{ *team, aRequest.matches[1].str() };
}

auto HandleSubmit(const BatchPorts& aPorts,
                  const httplib::Request& aRequest,
                  httplib::Response& aResponse,
                  const httplib::ContentReader& aReader) -> void
{
  const auto key = Authorize(aPorts, aRequest, aResponse);
  if (!key) {
    return;
  }
  const auto document = aPorts.mDocument();
  if (document == nullptr) {
    return Send(aResponse,
                ErrorReply(503, "no_document", "no configuration is active"));
  }
  const auto options = ParseJobOptions(*document, key->mTeam, aRequest.params);
  if (!options) {
    return Send(aResponse, options.error());
  }
  const auto team = document->mTeams.find(key->mTeam);
  if (team != document->mTeams.end() && !KnownJob(aPorts, *key) &&
      UnfinishedJobs(aPorts, key->mTeam) >= team->second.mMaxJobs) {
    return Send(aResponse,
                ErrorReply(429,
                           "too_many_jobs",
                           "the team has reached max_jobs unfinished jobs",
                           "not_run",
                           60000));
  }
  JobUpload upload(aPorts, *key, *options);
  const auto complete = aReader([&](const char* aData, std::size_t aSize) {
    return upload.Add({ aData, aSize });
  });
  Send(aResponse, complete ? upload.Finish() : upload.Abort());
}

auto HandleResults(const BatchPorts& aPorts,
                   const httplib::Request& aRequest,
                   httplib::Response& aResponse) -> void
{
  const auto key = Authorize(aPorts, aRequest, aResponse);
  if (!key) {
    return;
  }
  std::uint32_t from = 0;
  if (aRequest.has_param("from") &&
      !absl::SimpleAtoi(aRequest.get_param_value("from"), &from)) {
    return Send(aResponse,
                ErrorReply(400, "bad_option", "query from must be a number"));
  }
  std::uint32_t chunks = 0;
  std::uint32_t chunkSize = 1;
  auto known = false;
  auto expired = false;
  aPorts.mRead([&](const BatchState& aState, const Holders&) {
    if (const auto* const job = FindJob(aState, *key); job != nullptr) {
      known = true;
      expired = job->mExpired;
      chunks = ChunkCount(*job);
      chunkSize = job->mOptions.mChunkSize;
    }
  });
  if (!known || expired) {
    return Send(aResponse,
                known ? ErrorReply(410,
                                   "results_expired",
                                   "the results are no longer readable",
                                   "run")
                      : ErrorReply(404, "unknown_job", "no job with this id"));
  }
  // On failure the response ends without its final HTTP chunk, so that the
  // caller can detect that it is incomplete.
  aResponse.set_chunked_content_provider(
    "application/jsonl",
    [&aPorts, key = *key, from, chunks, next = from / chunkSize](
      std::size_t, httplib::DataSink& aSink) mutable {
      if (next >= chunks) {
        aSink.done();
        return true;
      }
      const auto lines = ChunkResults(aPorts, key, next++, from);
      return lines.has_value() &&
             (lines->empty() || aSink.write(lines->data(), lines->size()));
    });
}

} // namespace

auto IsJobId(std::string_view aId) -> bool
{
  constexpr std::size_t kMaxIdLength = 128;
  return !aId.empty() && aId.size() <= kMaxIdLength &&
         std::all_of(aId.begin(), aId.end(), [](char aCharacter) {
           return absl::ascii_isalnum(static_cast<unsigned char>(aCharacter)) ||
                  std::string_view("._~-").find(aCharacter) !=
                    std::string_view::npos;
         });
}

auto AddJobRoutes(httplib::Server& aServer, const BatchPorts& aPorts) -> void
{
  const std::string job = "/v1/jobs/([A-Za-z0-9._~-]{1,128})";
  aServer.Post(job,
               [&aPorts](const httplib::Request& aRequest,
                         httplib::Response& aResponse,
                         const httplib::ContentReader& aReader) {
                 HandleSubmit(aPorts, aRequest, aResponse, aReader);
               });
  aServer.Get(
    job,
    [&aPorts](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (const auto key = Authorize(aPorts, aRequest, aResponse)) {
        Send(aResponse, JobStatus(aPorts, *key));
      }
    });
  aServer.Get(
    job + "/results",
    [&aPorts](const httplib::Request& aRequest, httplib::Response& aResponse) {
      HandleResults(aPorts, aRequest, aResponse);
    });
  aServer.Post(
    job + "/cancel",
    [&aPorts](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (const auto key = Authorize(aPorts, aRequest, aResponse)) {
        Send(aResponse, CancelJob(aPorts, *key));
      }
    });
}

} // namespace mangovalve
