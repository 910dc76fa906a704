// Group membership, request routing and handoff of the batch job service.
#include "mangovalve/batch/job_service.h"

#include <algorithm>
#include <array>
#include <set>

#include <absl/strings/str_cat.h>

#include "mangovalve/batch/flatbuffers_table.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

// Paths of requests between daemons, indexed by JobOperation.
constexpr std::array<const char*, 4> kPeerPaths = { "/jobs/submit",
                                                    "/jobs/results",
                                                    "/jobs/body",
                                                    "/jobs/end" };

// HTTP statuses of responses between daemons, indexed by JobOutcome.
constexpr std::array<unsigned, 6> kPeerStatuses = {
  200, 404, 429, 503, 504, 421
};

constexpr auto kProgressPath = "/jobs/progress";

// Bytes of output in one progress page, enough for some hundred items.
constexpr std::size_t kProgressBytes = 8UL << 20U;

// Bytes of output in one result page; callers accept 1 MB at most.
constexpr std::size_t kPageBytes = 900UL << 10U;

// A long poll at the owner ends this much before the caller's own timeout.
constexpr auto kWaitMargin = milliseconds(100);
constexpr auto kMaxWait = milliseconds(1000);

constexpr auto kOwnerPollInterval = milliseconds(60);
constexpr auto kFlushPoll = milliseconds(10);
constexpr auto kRemovalInterval = std::chrono::seconds(5);

// Jobs are retained this much longer than promised, because callers count from
// the response to a submission.
constexpr auto kRetentionMargin = std::chrono::seconds(30);

auto VerbOf(std::string_view aPath) -> std::optional<JobOperation>
{
  for (std::size_t i = 0; i < kPeerPaths.size(); ++i) {
    if (aPath == kPeerPaths[i]) {
      return static_cast<JobOperation>(i);
    }
  }
  return std::nullopt;
}

auto OutcomeOf(unsigned aStatus) -> JobOutcome
{
  for (std::size_t i = 0; i < kPeerStatuses.size(); ++i) {
    if (aStatus == kPeerStatuses[i]) {
      return static_cast<JobOutcome>(i);
    }
  }
  return JobOutcome::Unknown;
}

auto MayRetry(JobOperation aVerb) -> bool
{
  return aVerb != JobOperation::Submit;
}

auto BodyOf(const SubmittedJob& aJob, const std::string& aItem)
  -> std::optional<std::string>
{
  for (const auto& item : aJob.mItems) {
    if (item.mSubmitted.id == aItem && !item.mFinished && !aJob.mEnded) {
      const auto& body = item.mSubmitted.body;
      return std::string(body.begin(), body.end());
    }
  }
  return std::nullopt;
}

} // namespace

JobService::JobService(ServingState& aState,
                       const Protocol& aProtocol,
                       const TablePorts& aTables)
  : mState(aState)
  , mProtocol(aProtocol)
  , mTables(aTables)
  , mRunner(
      aState,
      aProtocol,
      { [this] { return RunnablePartitions(); }, [this] { return Owners(); } })
{
}

auto JobService::Start() -> void
{
  Spawn(mState.mLoop, MaintainMembership());
  Spawn(mState.mLoop, mRunner.Run());
  Spawn(mState.mLoop, RemoveExpiredJobs());
}

auto JobService::LeaseValid() const -> bool
{
  return IsValid(mLease, BootNow());
}

auto JobService::OwnPartition(std::uint32_t aPartition) const -> JobPartitionPtr
{
  const auto found = mPartitions.find(aPartition);
  return found != mPartitions.end() && found->second->Active() ? found->second
                                                               : nullptr;
}

auto JobService::OpeningTime() const -> WallTime
{
  return mStartedAt +
         std::chrono::floor<milliseconds>(BootNow() - mBootTimeAtStart);
}

auto JobService::UncertainOutcome(const JobPartition& aPartition) const
  -> std::optional<JobOutcome>
{
  if (!LeaseValid()) {
    return JobOutcome::NotApplied;
  }
  // The partition may have been left while the call waited.
  return aPartition.Active() && aPartition.Confirmed()
           ? std::nullopt
           : std::optional(JobOutcome::NotOwner);
}

// All loaded partitions while the lease is valid and they are confirmed.
// Otherwise the store is unreachable for this daemon or for all daemons. Items
// then continue to run only while at least half of the peers are heard and none
// of them reports the partition with a later generation, so that an isolated
// daemon does not run items of partitions that were taken over.
auto JobService::RunnablePartitions() const -> std::vector<JobPartitionPtr>
{
  std::vector<JobPartitionPtr> partitions;
  const auto leased = LeaseValid();
  const auto heard = 2 * ResponsivePeerCount(mState.mFleet);
  const auto connected =
    mState.mFleet.mPeers.empty() || heard >= mState.mFleet.mPeers.size();
  for (const auto& [number, partition] : mPartitions) {
    const auto claim = OwnerOf(mState.mFleet, number);
    const auto claimed = claim && claim->mGeneration > partition->Generation();
    const auto certain = leased && partition->Confirmed();
    if (partition->Active() && (certain || (connected && !claimed))) {
      partitions.push_back(partition);
    }
  }
  return partitions;
}

auto JobService::Owners() const -> std::size_t
{
  std::size_t owners = 1;
  for (const auto& [host, peer] : mState.mFleet.mPeers) {
    owners += !peer.mUnresponsive && !peer.mLast.partitions.empty() ? 1 : 0;
  }
  return owners;
}

auto JobService::MaintainMembership() -> Task<>
{
  while (!mLeaving) {
    const auto sentAt = BootNow();
    const auto started = Clock::now();
    const auto assignment = co_await mTables.mJoin(
      mState.mHost,
      mPolicy.mTimeToLive,
      mLease.mGeneration,
      started + std::min(mPolicy.mTimeToLive, mPolicy.mCallTimeout));
    if (assignment && !mLeaving) {
      const auto held = RenewLease(mLease,
                                   assignment->mGeneration,
                                   sentAt + mPolicy.mTimeToLive,
                                   BootNow());
      if (!held && !mPartitions.empty()) {
        LogEvent(Severity::Warn,
                 "assignments_missed",
                 { { "generation", absl::StrCat(mLease.mGeneration) },
                   { "partitions", absl::StrCat(mPartitions.size()) } });
      }
      ApplyAssignment(*assignment, held);
    }
    ExpireFormerPartitions(Clock::now());
    co_await SleepUntil(started + mPolicy.mJoinInterval);
  }
}

auto JobService::ReleaseAll() -> void
{
  for (const auto& [number, partition] : mPartitions) {
    Release(partition);
  }
  mPartitions.clear();
}

auto JobService::ApplyAssignment(const GroupAssignment& aAssignment, bool aHeld)
  -> void
{
  const std::set<std::uint32_t> assigned(aAssignment.mPartitions.begin(),
                                         aAssignment.mPartitions.end());
  for (auto it = mPartitions.begin(); it != mPartitions.end();) {
    if (!assigned.contains(it->first) || it->second->Stopped()) {
      Release(it->second);
      it = mPartitions.erase(it);
      continue;
    }
    if (!aHeld) {
      it->second->Reassign(aAssignment.mGeneration);
    }
    ++it;
  }
  for (const auto number : assigned) {
    if (!mPartitions.contains(number)) {
      auto partition = std::make_shared<JobPartition>(
        mState.mLoop,
        mTables,
        number,
        aAssignment.mGeneration,
        OpeningTime(),
        [this](std::uint32_t aPartition, std::uint64_t aGeneration) {
          return FetchProgress(aPartition, aGeneration);
        });
      mPartitions[number] = partition;
      Spawn(mState.mLoop, partition->Run());
    }
  }
}

auto JobService::Release(JobPartitionPtr aPartition) -> void
{
  aPartition->Stop();
  mRunner.StopPartition(*aPartition);
  const auto retainUntil = Clock::now() + mPolicy.mFormerRetention;
  auto& former = mFormer[aPartition->Number()];
  former = FormerPartition{ std::move(aPartition), retainUntil };
}

auto JobService::ExpireFormerPartitions(TimePoint aNow) -> void
{
  std::erase_if(mFormer, [aNow](const auto& aEntry) {
    return aEntry.second.mRetainUntil < aNow;
  });
}

auto JobService::FetchProgress(std::uint32_t aPartition,
                               std::uint64_t aGeneration)
  -> Task<wire::ProgressPageT>
{
  wire::ProgressQueryT query;
  query.partition = aPartition;
  query.generation = aGeneration;
  const auto former = LastOwnerOf(mState.mFleet, aPartition);
  // The partition may be reassigned to its former owner.
  const auto own = mFormer.find(aPartition);
  if (own != mFormer.end() &&
      (!former || former->mGeneration < own->second.mPartition->Generation())) {
    co_return CollectProgress(
      own->second.mPartition->Jobs(), kProgressBytes, Clock::now());
  }
  if (!former || former->mGeneration >= aGeneration) {
    co_return wire::ProgressPageT();
  }
  Request request(http::verb::post, kProgressPath, 11);
  request.set(http::field::host, former->mHost);
  request.body() = PackTable<wire::ProgressQuery>(query);
  const auto response =
    co_await CallOnce(mState.mPool,
                      former->mHost,
                      std::move(request),
                      Clock::now() + mPolicy.mProgressTimeout);
  if (!response || response->result() != http::status::ok) {
    LogEvent(Severity::Warn,
             "progress_missing",
             { { "partition", absl::StrCat(aPartition) },
               { "former", former->mHost } });
    co_return wire::ProgressPageT();
  }
  auto page = UnpackTable<wire::ProgressPage>(response->body());
  co_return std::move(page).value_or(wire::ProgressPageT());
}

auto JobService::ExportProgress(const wire::ProgressQueryT& aQuery)
  -> std::optional<wire::ProgressPageT>
{
  const auto held = mPartitions.find(aQuery.partition);
  if (held != mPartitions.end() &&
      held->second->Generation() < aQuery.generation) {
    // The new owner has fenced this one, which may not have noticed yet.
    Release(held->second);
    mPartitions.erase(held);
  }
  const auto former = mFormer.find(aQuery.partition);
  if (former == mFormer.end() ||
      former->second.mPartition->Generation() >= aQuery.generation) {
    return std::nullopt;
  }
  return CollectProgress(
    former->second.mPartition->Jobs(), kProgressBytes, Clock::now());
}

auto JobService::RemoveExpiredJobs() -> Task<>
{
  for (;;) {
    co_await SleepUntil(Clock::now() + kRemovalInterval);
    for (const auto& [number, partition] : mPartitions) {
      std::vector<SubmittedJobPtr> old;
      for (const auto& [key, job] : partition->Jobs().mJobs) {
        const auto retainUntil =
          job->mSubmittedAt + mPolicy.mKeepResults + kRetentionMargin;
        if (job->mDurable && IsComplete(*job) &&
            partition->Now() > retainUntil) {
          old.push_back(job);
        }
      }
      for (const auto& job : old) {
        partition->RemoveJob(job);
      }
    }
  }
}

auto JobService::AddOwnedPartitions(wire::LoadReportT& aReport) const -> void
{
  for (const auto& [number, partition] : mPartitions) {
    if (partition->Active()) {
      aReport.partitions.emplace_back(partition->Generation(), number);
    }
  }
}

auto JobService::Drain(TimePoint aFlushUntil, TimePoint aDeadline) -> Task<>
{
  mRunner.Pause();
  mRunner.StopAll();
  const auto busy = [this] {
    return mRunner.Running() > 0 ||
           std::any_of(
             mPartitions.begin(), mPartitions.end(), [](const auto& aEntry) {
               return aEntry.second->Active() && !aEntry.second->Flushed();
             });
  };
  while (busy() && Clock::now() < aFlushUntil) {
    co_await SleepUntil(Clock::now() + kFlushPoll);
  }
  mLeaving = true;
  ReleaseAll();
  const auto left = co_await mTables.mLeave(
    mState.mHost, std::min(aDeadline, Clock::now() + mPolicy.mCallTimeout));
  if (!left) {
    LogEvent(Severity::Warn, "group_leave_failed");
  }
}

auto JobService::LongestCall() const -> Duration
{
  return mPolicy.mOwnerWait + mPolicy.mCallTimeout + kMaxWait;
}

auto JobService::CallDeadline(const JobRequest& aJobRequest) const -> TimePoint
{
  return Clock::now() + mPolicy.mCallTimeout +
         milliseconds(aJobRequest.mQuery.wait_ms);
}

auto JobService::RouteRequest(JobRequest aJobRequest) -> Task<JobResponse>
{
  const auto number = PartitionOf(aJobRequest.mTeam, mTables.mJobPartitions);
  const auto deadline = Clock::now() + mPolicy.mOwnerWait;
  JobResponse reply;
  for (;;) {
    const auto own = OwnPartition(number);
    const auto peer = OwnerOf(mState.mFleet, number);
    if (own && (!peer || peer->mGeneration < own->Generation())) {
      reply = co_await HandleRequest(own, aJobRequest);
    } else if (peer) {
      reply = co_await CallPeer(peer->mHost, aJobRequest);
    } else {
      reply.mOutcome = JobOutcome::NotOwner;
    }
    const auto shouldRetry = reply.mOutcome == JobOutcome::NotOwner ||
                             (reply.mOutcome == JobOutcome::Unknown &&
                              MayRetry(aJobRequest.mOperation));
    if (!shouldRetry || Clock::now() + kOwnerPollInterval > deadline) {
      break;
    }
    co_await SleepUntil(Clock::now() + kOwnerPollInterval);
  }
  if (reply.mOutcome == JobOutcome::NotOwner) {
    reply.mOutcome = JobOutcome::NotApplied;
  }
  co_return reply;
}

auto JobService::CallPeer(const std::string& aHost,
                          const JobRequest& aJobRequest) -> Task<JobResponse>
{
  const auto* path =
    kPeerPaths[static_cast<std::size_t>(aJobRequest.mOperation)];
  Request request(http::verb::post, path, 11);
  request.set(http::field::host, aHost);
  request.body() = aJobRequest.mOperation == JobOperation::Submit
                     ? PackTable<wire::Job>(aJobRequest.mJob)
                     : PackTable<wire::JobQuery>(aJobRequest.mQuery);
  auto response = co_await CallOnce(
    mState.mPool, aHost, std::move(request), CallDeadline(aJobRequest));
  JobResponse reply;
  if (!response) {
    reply.mOutcome = response.error() == CallError::NotSent
                       ? JobOutcome::NotApplied
                       : JobOutcome::Unknown;
    co_return reply;
  }
  reply.mOutcome = OutcomeOf(response->result_int());
  if (reply.mOutcome != JobOutcome::Done) {
    co_return reply;
  }
  if (aJobRequest.mOperation == JobOperation::Body) {
    reply.mBody = std::move(response->body());
  } else if (aJobRequest.mOperation == JobOperation::Results) {
    auto page = UnpackTable<wire::ResultPage>(response->body());
    if (!page) {
      reply.mOutcome = JobOutcome::Unknown;
      co_return reply;
    }
    reply.mPage = std::move(*page);
  }
  co_return reply;
}

auto JobService::HandleRequest(JobPartitionPtr aPartition,
                               JobRequest aJobRequest) -> Task<JobResponse>
{
  if (aJobRequest.mOperation == JobOperation::Submit) {
    co_return co_await HandleSubmit(aPartition, std::move(aJobRequest.mJob));
  }
  co_return co_await HandleQuery(
    aPartition, aJobRequest.mOperation, std::move(aJobRequest.mQuery));
}

auto JobService::HandleSubmit(JobPartitionPtr aPartition, wire::JobT aJob)
  -> Task<JobResponse>
{
  JobResponse reply;
  const auto document = mState.mDocument;
  const auto* route =
    document ? FindRoute(*document, aJob.host, aJob.path) : nullptr;
  const auto uncertain = UncertainOutcome(*aPartition);
  if (route == nullptr || uncertain) {
    reply.mOutcome = uncertain.value_or(JobOutcome::NotApplied);
    co_return reply;
  }
  aJob.submitted_ms = aPartition->Now().time_since_epoch().count();
  const auto id = aJob.id;
  auto job = MakeJob(std::move(aJob));
  const auto queued =
    QueuedTokens(aPartition->Jobs(), *document, job->mTeam, route->mName);
  const auto limit = route->mMaxQueuedTokens;
  reply.mOutcome = co_await aPartition->Submit(
    std::move(job), queued, limit, Clock::now() + mPolicy.mCallTimeout);
  LogEvent(Severity::Info,
           "job_submitted",
           { { "job", id },
             { "route", route->mName },
             { "partition", absl::StrCat(aPartition->Number()) },
             { "queued_tokens", absl::StrCat(queued) },
             { "limit", absl::StrCat(limit) },
             { "outcome", absl::StrCat(static_cast<int>(reply.mOutcome)) } });
  co_return reply;
}

auto JobService::HandleQuery(JobPartitionPtr aPartition,
                             JobOperation aVerb,
                             wire::JobQueryT aQuery) -> Task<JobResponse>
{
  JobResponse reply;
  const auto job = FindJob(aPartition->Jobs(), aQuery.team, aQuery.job);
  if (!job) {
    // Another daemon may own the partition, or have owned it, and have accepted
    // the job.
    reply.mOutcome =
      UncertainOutcome(*aPartition).value_or(JobOutcome::NotFound);
    co_return reply;
  }
  if (!job->mDurable) {
    reply.mOutcome = JobOutcome::NotApplied;
    co_return reply;
  }
  reply.mOutcome = JobOutcome::Done;
  if (aVerb == JobOperation::Body) {
    auto body = BodyOf(*job, aQuery.item);
    reply.mOutcome = body ? JobOutcome::Done : JobOutcome::NotFound;
    reply.mBody = std::move(body).value_or("");
  } else if (aVerb == JobOperation::End) {
    LogEvent(Severity::Info, "job_ended", { { "job", job->mId } });
    mRunner.StopJob(*job);
    reply.mOutcome =
      co_await aPartition->EndJob(job, Clock::now() + mPolicy.mCallTimeout);
  } else {
    if (aQuery.wait_ms > 0) {
      const auto wait =
        std::min<milliseconds>(milliseconds(aQuery.wait_ms), kMaxWait) -
        kWaitMargin;
      co_await aPartition->WaitForResult(
        job, aQuery.after, Clock::now() + wait);
    }
    reply.mPage = MakeResultPage(*job, aQuery.after, kPageBytes);
    // Another daemon may have published more results.
    if (reply.mPage.results.empty() && aQuery.after < job->mItems.size()) {
      reply.mOutcome = UncertainOutcome(*aPartition).value_or(JobOutcome::Done);
    }
  }
  co_return reply;
}

auto JobService::ServeCall(CallerPtr aCaller,
                           std::string aTeam,
                           JobCall aCall,
                           std::string aId) -> Task<>
{
  JobRequest jobRequest;
  jobRequest.mOperation = aCall.mOperation;
  jobRequest.mTeam = aTeam;
  jobRequest.mQuery.team = std::move(aTeam);
  jobRequest.mQuery.job = aCall.mJob;
  jobRequest.mQuery.item = aCall.mItem;
  jobRequest.mQuery.after = aCall.mAfter;
  const auto wait = std::clamp(aCall.mWait, milliseconds(0), kMaxWait);
  jobRequest.mQuery.wait_ms = static_cast<std::uint32_t>(wait.count());
  const auto reply = co_await RouteRequest(std::move(jobRequest));
  if (reply.mOutcome != JobOutcome::Done) {
    LogEvent(Severity::Info,
             "job_call",
             { { "job", aCall.mJob },
               { "verb", absl::StrCat(static_cast<int>(aCall.mOperation)) },
               { "outcome", absl::StrCat(static_cast<int>(reply.mOutcome)) } });
  }
  co_await aCaller->Reply(mProtocol.mJobResponse(aCall.mOperation, reply, aId));
}

auto JobService::ServeSubmission(CallerPtr aCaller,
                                 std::shared_ptr<Request> aRequest,
                                 std::string aTeam,
                                 RequestMetadata aMetadata) -> Task<>
{
  auto submission = mProtocol.mReadSubmission(*aRequest);
  if (!submission) {
    LogEvent(Severity::Info,
             "job_malformed",
             { { "job", aMetadata.mId }, { "reason", submission.error() } });
    co_await aCaller->Reply(
      mProtocol.mRefuse(RefusalReason::Malformed, aMetadata.mId, std::nullopt));
    co_return;
  }
  JobRequest jobRequest;
  jobRequest.mOperation = JobOperation::Submit;
  jobRequest.mTeam = aTeam;
  jobRequest.mJob = std::move(*submission);
  jobRequest.mJob.team = std::move(aTeam);
  jobRequest.mJob.id = aMetadata.mId;
  jobRequest.mJob.host = aMetadata.mHost;
  jobRequest.mJob.path = aMetadata.mPath;
  const auto reply = co_await RouteRequest(std::move(jobRequest));
  co_await aCaller->Reply(
    mProtocol.mJobResponse(JobOperation::Submit, reply, aMetadata.mId));
}

auto JobService::ServeProgress(CallerPtr aCaller, std::string aQuery) -> Task<>
{
  const auto query = UnpackTable<wire::ProgressQuery>(aQuery);
  const auto page =
    query ? ExportProgress(*query) : std::optional<wire::ProgressPageT>();
  Response response(page ? http::status::ok : http::status::not_found, 11);
  if (page) {
    response.body() = PackTable<wire::ProgressPage>(*page);
  }
  co_await aCaller->Reply(std::move(response));
}

auto JobService::ServePeer(CallerPtr aCaller, std::shared_ptr<Request> aRequest)
  -> Task<bool>
{
  const auto target = aRequest->target();
  if (target == kProgressPath) {
    co_await ServeProgress(aCaller, aRequest->body());
    co_return true;
  }
  const auto verb = VerbOf(std::string_view(target.data(), target.size()));
  if (!verb) {
    co_return false;
  }
  JobRequest jobRequest;
  jobRequest.mOperation = *verb;
  auto valid = false;
  if (*verb == JobOperation::Submit) {
    if (auto job = UnpackTable<wire::Job>(aRequest->body())) {
      jobRequest.mTeam = job->team;
      jobRequest.mJob = std::move(*job);
      valid = true;
    }
  } else if (auto query = UnpackTable<wire::JobQuery>(aRequest->body())) {
    jobRequest.mTeam = query->team;
    jobRequest.mQuery = std::move(*query);
    valid = true;
  }
  JobResponse reply;
  const auto own =
    OwnPartition(PartitionOf(jobRequest.mTeam, mTables.mJobPartitions));
  if (!valid || !own) {
    reply.mOutcome = JobOutcome::NotOwner;
  } else {
    reply = co_await HandleRequest(own, std::move(jobRequest));
  }
  Response response;
  response.result(kPeerStatuses[static_cast<std::size_t>(reply.mOutcome)]);
  if (reply.mOutcome == JobOutcome::Done && *verb == JobOperation::Results) {
    response.body() = PackTable<wire::ResultPage>(reply.mPage);
  } else if (*verb == JobOperation::Body) {
    response.body() = std::move(reply.mBody);
  }
  co_await aCaller->Reply(std::move(response));
  co_return true;
}

} // namespace mangovalve
