// Batch jobs of the whole fleet at one daemon.
#include "mangovalve/batch/job_service.h"

#include <algorithm>
#include <array>
#include <set>

#include <absl/strings/str_cat.h>

#include "mangovalve/batch/flat_table.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

// Paths between daemons, by verb.
constexpr std::array<const char*, 4> kPeerPaths = { "/jobs/submit",
                                                    "/jobs/results",
                                                    "/jobs/body",
                                                    "/jobs/end" };

// Statuses between daemons, by outcome.
constexpr std::array<unsigned, 6> kPeerStatuses = {
  200, 404, 429, 503, 504, 421
};

constexpr auto kProgressPath = "/jobs/progress";

// Bytes of progress in one answer: some hundred items.
constexpr std::size_t kProgressBytes = 8UL << 20U;

// Bytes of results in one answer; callers take 1 MB at most.
constexpr std::size_t kPageBytes = 900UL << 10U;

// An owner's answer must not come later than a caller waits for a result.
constexpr auto kWaitMargin = milliseconds(100);
constexpr auto kMaxWait = milliseconds(1000);

constexpr auto kOwnerPause = milliseconds(60);
constexpr auto kFlushPoll = milliseconds(10);
constexpr auto kDropInterval = std::chrono::seconds(5);

// Jobs are kept this much longer than promised, since clocks differ.
constexpr auto kKeepMargin = std::chrono::seconds(30);

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

auto MayAskTwice(JobOperation aVerb) -> bool
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
  Spawn(mState.mLoop, KeepMembership());
  Spawn(mState.mLoop, mRunner.Run());
  Spawn(mState.mLoop, DropOldJobs());
}

auto JobService::LeaseHolds() const -> bool
{
  return BootNow() < mLeaseUntil;
}

auto JobService::OwnPartition(std::uint32_t aPartition) const -> JobPartitionPtr
{
  const auto found = mPartitions.find(aPartition);
  return found != mPartitions.end() && found->second->Active() ? found->second
                                                               : nullptr;
}

// While the lease holds, all partitions that are loaded. After that, the store
// is away from this daemon or from all: items go on only while other daemons
// are heard and none of them claims the partition, so that a daemon that is cut
// off alone does not run what others have taken over.
auto JobService::RunnablePartitions() const -> std::vector<JobPartitionPtr>
{
  std::vector<JobPartitionPtr> partitions;
  const auto leased = LeaseHolds();
  const auto heard = 2 * ResponsivePeerCount(mState.mFleet);
  const auto connected =
    mState.mFleet.mPeers.empty() || heard >= mState.mFleet.mPeers.size();
  for (const auto& [number, partition] : mPartitions) {
    const auto claim = OwnerOf(mState.mFleet, number);
    const auto claimed = claim && claim->mGeneration > partition->Generation();
    if (partition->Active() && (leased || (connected && !claimed))) {
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

auto JobService::KeepMembership() -> Task<>
{
  while (!mLeaving) {
    const auto sentAt = BootNow();
    const auto started = Clock::now();
    const auto share = co_await mTables.mJoin(
      mState.mHost,
      mPolicy.mTimeToLive,
      mGeneration,
      started + std::min(mPolicy.mTimeToLive, mPolicy.mCallTimeout));
    if (share && !mLeaving) {
      mLeaseUntil = sentAt + mPolicy.mTimeToLive;
      TakeShare(*share);
    }
    ForgetFormer(Clock::now());
    co_await SleepUntil(started + mPolicy.mJoinInterval);
  }
}

auto JobService::TakeShare(const GroupAssignment& aShare) -> void
{
  mGeneration = aShare.mGeneration;
  const std::set<std::uint32_t> held(aShare.mPartitions.begin(),
                                     aShare.mPartitions.end());
  for (auto it = mPartitions.begin(); it != mPartitions.end();) {
    if (!held.contains(it->first) || it->second->Stopped()) {
      Release(it->second);
      it = mPartitions.erase(it);
    } else {
      ++it;
    }
  }
  for (const auto number : held) {
    if (!mPartitions.contains(number)) {
      auto partition = std::make_shared<JobPartition>(
        mState.mLoop,
        mTables,
        number,
        mGeneration,
        mStartedAt,
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
  const auto keepUntil = Clock::now() + mPolicy.mKeepFormer;
  auto& former = mFormer[aPartition->Number()];
  former = FormerPartition{ std::move(aPartition), keepUntil };
}

auto JobService::ForgetFormer(TimePoint aNow) -> void
{
  std::erase_if(mFormer, [aNow](const auto& aEntry) {
    return aEntry.second.mKeepUntil < aNow;
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
  // The partition may come back to the host that had it last.
  const auto own = mFormer.find(aPartition);
  if (own != mFormer.end() &&
      (!former || former->mGeneration < own->second.mPartition->Generation())) {
    co_return ProgressOf(own->second.mPartition->Jobs(), kProgressBytes);
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

auto JobService::GiveProgress(const wire::ProgressQueryT& aQuery)
  -> std::optional<wire::ProgressPageT>
{
  const auto held = mPartitions.find(aQuery.partition);
  if (held != mPartitions.end() &&
      held->second->Generation() < aQuery.generation) {
    // The asker has fenced this owner, which may not have noticed yet.
    Release(held->second);
    mPartitions.erase(held);
  }
  const auto former = mFormer.find(aQuery.partition);
  if (former == mFormer.end() ||
      former->second.mPartition->Generation() >= aQuery.generation) {
    return std::nullopt;
  }
  return ProgressOf(former->second.mPartition->Jobs(), kProgressBytes);
}

auto JobService::DropOldJobs() -> Task<>
{
  for (;;) {
    co_await SleepUntil(Clock::now() + kDropInterval);
    for (const auto& [number, partition] : mPartitions) {
      std::vector<SubmittedJobPtr> old;
      for (const auto& [key, job] : partition->Jobs().mJobs) {
        const auto keepUntil =
          job->mSubmittedAt + mPolicy.mKeepResults + kKeepMargin;
        if (job->mDurable && IsOver(*job) && WallNow() > keepUntil) {
          old.push_back(job);
        }
      }
      for (const auto& job : old) {
        partition->Drop(job);
      }
    }
  }
}

auto JobService::AddClaims(wire::LoadReportT& aReport) const -> void
{
  for (const auto& [number, partition] : mPartitions) {
    if (partition->Active()) {
      aReport.partitions.emplace_back(partition->Generation(), number);
    }
  }
}

auto JobService::Drain(TimePoint aUntil) -> Task<>
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
  while (busy() && Clock::now() < aUntil) {
    co_await SleepUntil(Clock::now() + kFlushPoll);
  }
  mLeaving = true;
  for (const auto& [number, partition] : mPartitions) {
    Release(partition);
  }
  mPartitions.clear();
  const auto left =
    co_await mTables.mLeave(mState.mHost, Clock::now() + mPolicy.mCallTimeout);
  if (!left) {
    LogEvent(Severity::Warn, "group_leave_failed");
  }
}

auto JobService::CallDeadline(const Question& aQuestion) const -> TimePoint
{
  return Clock::now() + mPolicy.mCallTimeout +
         milliseconds(aQuestion.mQuery.wait_ms);
}

auto JobService::Ask(Question aQuestion) -> Task<JobResponse>
{
  const auto number = PartitionOf(aQuestion.mTeam, mTables.mJobPartitions);
  const auto giveUpAt = Clock::now() + mPolicy.mOwnerWait;
  JobResponse reply;
  for (;;) {
    const auto own = OwnPartition(number);
    const auto peer = OwnerOf(mState.mFleet, number);
    if (own && (!peer || peer->mGeneration < own->Generation())) {
      reply = co_await Answer(own, aQuestion);
    } else if (peer) {
      reply = co_await AskPeer(peer->mHost, aQuestion);
    } else {
      reply.mOutcome = JobOutcome::NotOwner;
    }
    const auto again = reply.mOutcome == JobOutcome::NotOwner ||
                       (reply.mOutcome == JobOutcome::Unknown &&
                        MayAskTwice(aQuestion.mOperation));
    if (!again || Clock::now() >= giveUpAt) {
      break;
    }
    co_await SleepUntil(Clock::now() + kOwnerPause);
  }
  if (reply.mOutcome == JobOutcome::NotOwner) {
    reply.mOutcome = JobOutcome::NotApplied;
  }
  co_return reply;
}

auto JobService::AskPeer(const std::string& aHost, const Question& aQuestion)
  -> Task<JobResponse>
{
  const auto* path = kPeerPaths[static_cast<std::size_t>(aQuestion.mOperation)];
  Request request(http::verb::post, path, 11);
  request.set(http::field::host, aHost);
  request.body() = aQuestion.mOperation == JobOperation::Submit
                     ? PackTable<wire::Job>(aQuestion.mJob)
                     : PackTable<wire::JobQuery>(aQuestion.mQuery);
  auto response = co_await CallOnce(
    mState.mPool, aHost, std::move(request), CallDeadline(aQuestion));
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
  if (aQuestion.mOperation == JobOperation::Body) {
    reply.mBody = std::move(response->body());
  } else if (aQuestion.mOperation == JobOperation::Results) {
    auto page = UnpackTable<wire::ResultPage>(response->body());
    if (!page) {
      reply.mOutcome = JobOutcome::Unknown;
      co_return reply;
    }
    reply.mPage = std::move(*page);
  }
  co_return reply;
}

auto JobService::Answer(JobPartitionPtr aPartition, Question aQuestion)
  -> Task<JobResponse>
{
  if (aQuestion.mOperation == JobOperation::Submit) {
    co_return co_await AnswerSubmit(aPartition, std::move(aQuestion.mJob));
  }
  co_return co_await AnswerQuery(
    aPartition, aQuestion.mOperation, std::move(aQuestion.mQuery));
}

auto JobService::AnswerSubmit(JobPartitionPtr aPartition, wire::JobT aJob)
  -> Task<JobResponse>
{
  JobResponse reply;
  const auto document = mState.mDocument;
  const auto* route =
    document ? FindRoute(*document, aJob.host, aJob.path) : nullptr;
  if (route == nullptr || !LeaseHolds()) {
    reply.mOutcome = JobOutcome::NotApplied;
    co_return reply;
  }
  aJob.submitted_ms = WallNow().time_since_epoch().count();
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

auto JobService::AnswerQuery(JobPartitionPtr aPartition,
                             JobOperation aVerb,
                             wire::JobQueryT aQuery) -> Task<JobResponse>
{
  JobResponse reply;
  const auto job = FindJob(aPartition->Jobs(), aQuery.team, aQuery.job);
  if (!job || !job->mDurable) {
    // Another daemon may have taken the partition over and accepted it there.
    reply.mOutcome =
      !job && LeaseHolds() ? JobOutcome::NotFound : JobOutcome::NotApplied;
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
      co_await aPartition->End(job, Clock::now() + mPolicy.mCallTimeout);
  } else {
    if (aQuery.wait_ms > 0) {
      const auto wait =
        std::min<milliseconds>(milliseconds(aQuery.wait_ms), kMaxWait) -
        kWaitMargin;
      co_await aPartition->WaitForResult(
        job, aQuery.after, Clock::now() + wait);
    }
    reply.mPage = PageOf(*job, aQuery.after, kPageBytes);
  }
  co_return reply;
}

auto JobService::ServeCall(CallerPtr aCaller,
                           std::string aTeam,
                           JobCall aCall,
                           std::string aId) -> Task<>
{
  Question question;
  question.mOperation = aCall.mOperation;
  question.mTeam = aTeam;
  question.mQuery.team = std::move(aTeam);
  question.mQuery.job = aCall.mJob;
  question.mQuery.item = aCall.mItem;
  question.mQuery.after = aCall.mAfter;
  question.mQuery.wait_ms = static_cast<std::uint32_t>(aCall.mWait.count());
  const auto reply = co_await Ask(std::move(question));
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
                                 RequestMetadata aFacts) -> Task<>
{
  auto submission = mProtocol.mReadSubmission(*aRequest);
  if (!submission) {
    LogEvent(Severity::Info,
             "job_malformed",
             { { "job", aFacts.mId }, { "reason", submission.error() } });
    co_await aCaller->Reply(
      mProtocol.mRefuse(RefusalReason::Malformed, aFacts.mId, std::nullopt));
    co_return;
  }
  Question question;
  question.mOperation = JobOperation::Submit;
  question.mTeam = aTeam;
  question.mJob = std::move(*submission);
  question.mJob.team = std::move(aTeam);
  question.mJob.id = aFacts.mId;
  question.mJob.host = aFacts.mHost;
  question.mJob.path = aFacts.mPath;
  const auto reply = co_await Ask(std::move(question));
  co_await aCaller->Reply(
    mProtocol.mJobResponse(JobOperation::Submit, reply, aFacts.mId));
}

auto JobService::ServeProgress(CallerPtr aCaller, std::string aQuery) -> Task<>
{
  const auto query = UnpackTable<wire::ProgressQuery>(aQuery);
  const auto page =
    query ? GiveProgress(*query) : std::optional<wire::ProgressPageT>();
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
  Question question;
  question.mOperation = *verb;
  auto valid = false;
  if (*verb == JobOperation::Submit) {
    if (auto job = UnpackTable<wire::Job>(aRequest->body())) {
      question.mTeam = job->team;
      question.mJob = std::move(*job);
      valid = true;
    }
  } else if (auto query = UnpackTable<wire::JobQuery>(aRequest->body())) {
    question.mTeam = query->team;
    question.mQuery = std::move(*query);
    valid = true;
  }
  JobResponse reply;
  const auto own =
    OwnPartition(PartitionOf(question.mTeam, mTables.mJobPartitions));
  if (!valid || !own) {
    reply.mOutcome = JobOutcome::NotOwner;
  } else {
    reply = co_await Answer(own, std::move(question));
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
