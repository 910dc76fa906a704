// The online path of a serving daemon.
#include "mangovalve/online/relay.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "mangovalve/base/decayed_mean.h"
#include "mangovalve/loop/conditional_timeout.h"
#include "mangovalve/online/event_stream.h"
#include "mangovalve/online/slot_line.h"
#include "mangovalve/telemetry/counters.h"
#include "mangovalve/telemetry/event_log.h"

namespace mangovalve {
namespace {

using std::chrono::milliseconds;

// A caller may not ask for less than this; below it the answer could not even
// cross the network.
constexpr auto kMinRemaining = milliseconds(1);

// Pause named to a caller whose request endpoints refused: about half the time
// that an online request holds a slot.
constexpr auto kRefusedRetryAfter = milliseconds(400);

// Pauses named to a caller while there is no document. A daemon gets it within
// some 100 ms of its start, and other daemons most likely have it. One that
// still lacks it later is without the store, which stays away for seconds: a
// caller that comes back once should do so late.
constexpr auto kStartRetryAfter = milliseconds(400);
constexpr auto kStartTime = milliseconds(1000);
constexpr auto kNoDocumentRetryAfter = milliseconds(1500);

// Answers to earlier requests that are passed over on one connection.
constexpr int kMaxStrayAnswers = 2;

auto Millis(Duration aDuration) -> std::string
{
  return absl::StrCat(
    std::chrono::duration_cast<milliseconds>(aDuration).count());
}

auto Scaled(Duration aDuration, double aFactor) -> Duration
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aDuration) * aFactor);
}

// One request of a caller on its way.
struct Exchange
{
  CallerPtr mCaller;
  std::shared_ptr<Request> mRequest;
  RequestMetadata mFacts;
  std::shared_ptr<const ServingDocument> mDocument; // keeps mRoute valid
  const ServingRoute* mRoute = nullptr;
  std::string mTeam;
  std::string mService;
  int mPriority = 0;
  TimePoint mDeadline;
  std::uint32_t mAttempts = 0;     // endpoints that may have run it
  std::uint32_t mRefusals = 0;     // endpoints that did not run it
  std::vector<std::string> mTried; // ids of endpoints that failed or refused
  bool mBegun = false;             // the caller has the head of the answer
  std::optional<std::uint64_t> mLastEvent; // that the caller has
  std::string mEndpoint;                   // the last one, for the log
};

enum class Step
{
  Done,     // the caller has all that it will get
  NotRun,   // this endpoint did not run it
  Failed,   // this endpoint may have run it
  Hopeless, // no further attempt is allowed or useful
};

// Runs one exchange; holds what its steps share.
class Runner
{
public:
  Runner(ServingState& aState,
         const Protocol& aProtocol,
         const RelayPolicy& aPolicy,
         Exchange& aExchange)
    : mState(aState)
    , mProtocol(aProtocol)
    , mPolicy(aPolicy)
    , mExchange(aExchange)
  {
  }

  auto Run() -> Task<>;

private:
  auto GiveUpAt(TimePoint aNow) const -> TimePoint;
  auto Attempt(EndpointPtr aEndpoint) -> Task<Step>;
  auto Send(Endpoint& aEndpoint, ClientConnection& aConnection) -> Task<Step>;
  auto ReadAnswerHead(Endpoint& aEndpoint,
                      ClientConnection& aConnection,
                      std::unique_ptr<ResponseParser>& aParser) -> Task<Step>;
  auto Deliver(Endpoint& aEndpoint,
               ClientConnection& aConnection,
               ResponseParser& aParser,
               const ResponseMetadata& aFacts) -> Task<Step>;
  auto DeliverWhole(Endpoint& aEndpoint,
                    ClientConnection& aConnection,
                    ResponseParser& aParser) -> Task<Step>;
  auto DeliverStream(Endpoint& aEndpoint,
                     ClientConnection& aConnection,
                     ResponseParser& aParser) -> Task<Step>;
  auto ForwardEvents(const std::vector<StreamEvent>& aEvents,
                     const ResponseParser& aParser) -> Task<Step>;
  auto SendToCaller(std::string aBytes, const ResponseParser& aParser)
    -> Task<bool>;
  // Closes the connection of a request that may go elsewhere, once its endpoint
  // has been silent for long and another one has a slot. While all slots are
  // taken the request is most likely in the endpoint's queue.
  auto WatchSilence(const Endpoint& aEndpoint, ClientConnection& aConnection)
    -> std::unique_ptr<ConditionalTimeout>;
  auto MayTryAgain() const -> bool;
  auto MayTryElsewhereAfterRun() const -> bool;
  // Until when an endpoint may bring nothing. There is none before the
  // request's own deadline when the request may not go elsewhere.
  auto SilenceDeadline(Duration aSilence) const -> TimePoint;
  auto FirstByteDeadline() const -> TimePoint;
  auto GapDeadline() const -> TimePoint;
  auto Finish(RefusalReason aRefusal, std::optional<milliseconds> aRetryAfter)
    -> Task<>;
  auto Log(std::string_view aOutcome) const -> void;
  auto NoteFailure(Endpoint& aEndpoint, std::string_view aReason) -> void;

  ServingState& mState;
  const Protocol& mProtocol;
  const RelayPolicy& mPolicy;
  Exchange& mExchange;
};

auto Runner::Log(std::string_view aOutcome) const -> void
{
  FindCounter("mangovalve_requests_total",
              { { "outcome", std::string(aOutcome) } })
    .Add();
  LogEvent(Severity::Info,
           "request",
           { { "id", mExchange.mFacts.mId },
             { "route", mExchange.mRoute->mName },
             { "team", mExchange.mTeam },
             { "document", absl::StrCat(mExchange.mDocument->mVersion) },
             { "endpoint", mExchange.mEndpoint },
             { "attempts", absl::StrCat(mExchange.mAttempts) },
             { "refusals", absl::StrCat(mExchange.mRefusals) },
             { "ms", Millis(Clock::now() - mExchange.mCaller->mArrivedAt) },
             { "outcome", std::string(aOutcome) } });
}

auto Runner::NoteFailure(Endpoint& aEndpoint, std::string_view aReason) -> void
{
  LogEvent(Severity::Warn,
           "attempt_failed",
           { { "id", mExchange.mFacts.mId },
             { "endpoint", aEndpoint.mRegistration.mId },
             { "reason", std::string(aReason) },
             { "ms", Millis(Clock::now() - mExchange.mCaller->mArrivedAt) } });
  RecordExchange(mState, aEndpoint, ExchangeResult::Failed);
}

auto Runner::MayTryElsewhereAfterRun() const -> bool
{
  return MayRepeat(*mExchange.mRoute) &&
         mExchange.mAttempts < mExchange.mRoute->mMaxAttempts;
}

auto Runner::MayTryAgain() const -> bool
{
  return !mExchange.mCaller->Disconnected() &&
         Clock::now() < mExchange.mDeadline;
}

auto Runner::SilenceDeadline(Duration aSilence) const -> TimePoint
{
  return MayTryElsewhereAfterRun()
           ? std::min(mExchange.mDeadline, Clock::now() + aSilence)
           : mExchange.mDeadline;
}

auto Runner::FirstByteDeadline() const -> TimePoint
{
  return SilenceDeadline(std::max(
    mPolicy.mMinSilence,
    Scaled(mExchange.mRoute->mLatencyObjective, mPolicy.mSilenceObjectives)));
}

auto Runner::GapDeadline() const -> TimePoint
{
  return SilenceDeadline(std::max(
    mPolicy.mMinGap,
    Scaled(mExchange.mRoute->mInterEventObjective, mPolicy.mGapObjectives)));
}

auto Runner::GiveUpAt(TimePoint aNow) const -> TimePoint
{
  const auto& route = *mExchange.mRoute;
  const auto first = mExchange.mCaller->mArrivedAt +
                     Scaled(route.mLatencyObjective, mPolicy.mWaitShare);
  // A request that was already sent once has used its wait; it still gets a
  // short one, since giving up now would waste what was done for it.
  const auto later =
    aNow + Scaled(route.mLatencyObjective, mPolicy.mWaitShare / 2);
  const auto sent = mExchange.mAttempts + mExchange.mRefusals > 0;
  return std::min(mExchange.mDeadline, sent ? std::max(first, later) : first);
}

auto Runner::Run() -> Task<>
{
  for (;;) {
    // Named, since g++ 12 destroys a braced argument of an awaited call twice.
    SlotRequest request{
      mExchange.mCaller,     mExchange.mFacts.mId,
      mExchange.mService,    mExchange.mPriority,
      mExchange.mTried,      mExchange.mRoute->mLatencyObjective,
      GiveUpAt(Clock::now())
    };
    auto slot = co_await TakeSlot(mState, std::move(request));
    if (mExchange.mCaller->Disconnected()) {
      Log("caller_gone");
      co_return;
    }
    if (!slot.mEndpoint) {
      const auto ran = mExchange.mAttempts > 0;
      co_await Finish(ran ? RefusalReason::EndpointFailed
                          : RefusalReason::Overloaded,
                      slot.mRetryAfter);
      co_return;
    }
    mExchange.mEndpoint = slot.mEndpoint->mRegistration.mId;
    const auto step = co_await Attempt(slot.mEndpoint);
    if (step == Step::Done) {
      Log(mExchange.mCaller->Disconnected() ? "caller_gone" : "answered");
      co_return;
    }
    mExchange.mTried.push_back(mExchange.mEndpoint);
    const auto again =
      MayTryAgain() &&
      ((step == Step::NotRun && mExchange.mRefusals < mPolicy.mMaxRefusals) ||
       (step == Step::Failed && MayTryElsewhereAfterRun()));
    if (!again) {
      const auto notRun = mExchange.mAttempts == 0;
      const auto late = Clock::now() >= mExchange.mDeadline;
      co_await Finish(notRun ? RefusalReason::Overloaded
                      : late ? RefusalReason::TimedOut
                             : RefusalReason::EndpointFailed,
                      kRefusedRetryAfter);
      co_return;
    }
  }
}

auto Runner::Finish(RefusalReason aRefusal,
                    std::optional<milliseconds> aRetryAfter) -> Task<>
{
  const auto notRun = aRefusal == RefusalReason::Overloaded ||
                      aRefusal == RefusalReason::NotReady;
  if (notRun && mExchange.mAttempts == 0) {
    const auto rate = mState.mRates.find(mExchange.mTeam);
    if (rate != mState.mRates.end()) {
      Refund(rate->second, Clock::now());
    }
  }
  Log(mExchange.mCaller->Disconnected() ? "caller_gone"
      : notRun                          ? "refused_not_run"
                                        : "failed");
  if (mExchange.mBegun) {
    mExchange.mCaller->Abort();
  } else if (!mExchange.mCaller->Disconnected()) {
    auto response =
      mProtocol.mRefuse(aRefusal, mExchange.mFacts.mId, aRetryAfter);
    co_await mExchange.mCaller->Reply(std::move(response));
  }
}

auto Runner::Attempt(EndpointPtr aEndpoint) -> Task<Step>
{
  const ScopedInFlight use(mState, aEndpoint, Workload::Online);
  const auto now = Clock::now();
  const auto idleAfter =
    MayTryElsewhereAfterRun() ? TimePoint::min() : now - mPolicy.mFreshIdle;
  auto connection = co_await mState.mPool.Acquire(
    aEndpoint->mRegistration.mAddress,
    idleAfter,
    std::min(mExchange.mDeadline, now + mPolicy.mConnectTimeout));
  if (mExchange.mCaller->Disconnected()) {
    co_return Step::Done;
  }
  if (!connection) {
    ++mExchange.mRefusals;
    LogEvent(Severity::Warn,
             "connect_failed",
             { { "id", mExchange.mFacts.mId },
               { "endpoint", aEndpoint->mRegistration.mId },
               { "reason", connection.error().message() } });
    RecordExchange(mState, *aEndpoint, ExchangeResult::Refused);
    co_return Step::NotRun;
  }
  auto& stream = (*connection)->mStream;
  mExchange.mCaller->mOnDisconnect = [&stream] { stream.close(); };
  const auto begun = Clock::now();
  auto step = co_await Send(*aEndpoint, **connection);
  std::unique_ptr<ResponseParser> parser;
  if (step == Step::Done) {
    step = co_await ReadAnswerHead(*aEndpoint, **connection, parser);
  }
  if (step == Step::Done) {
    const auto facts = mProtocol.mReadResponse(parser->get().base());
    step = co_await Deliver(*aEndpoint, **connection, *parser, facts);
    if (step == Step::Done && !mExchange.mCaller->Disconnected()) {
      auto& pool = mState.mPools[aEndpoint->mRegistration.mService];
      const std::chrono::duration<double> took = Clock::now() - begun;
      BlendMean(pool.mMeanSeconds, took.count());
    }
  }
  mExchange.mCaller->mOnDisconnect = nullptr;
  if (mExchange.mCaller->Disconnected()) {
    co_return Step::Done;
  }
  if (step == Step::Done || step == Step::NotRun) {
    if (parser) {
      const auto usableUntil =
        ReusableUntil(**connection, *parser, Clock::now());
      mState.mPool.Release(std::move(*connection),
                           usableUntil,
                           IdleConnectionLimit(mState, *aEndpoint));
    }
  }
  co_return step;
}

auto Runner::Send(Endpoint& aEndpoint, ClientConnection& aConnection)
  -> Task<Step>
{
  const auto now = Clock::now();
  DispatchMetadata dispatch;
  dispatch.mEndpointId = aEndpoint.mRegistration.mId;
  dispatch.mTeam = mExchange.mTeam;
  dispatch.mRemaining = std::max(
    kMinRemaining,
    std::chrono::duration_cast<milliseconds>(mExchange.mDeadline - now));
  dispatch.mResumeAfter = mExchange.mLastEvent;
  const auto request =
    mProtocol.mEndpointRequest(*mExchange.mRequest, dispatch);
  ++mExchange.mAttempts;
  const auto error =
    co_await SendRequest(aConnection, request, FirstByteDeadline());
  if (error && !mExchange.mCaller->Disconnected()) {
    NoteFailure(aEndpoint, absl::StrCat("send: ", error.message()));
    co_return Step::Failed;
  }
  co_return Step::Done;
}

auto Runner::WatchSilence(const Endpoint& aEndpoint,
                          ClientConnection& aConnection)
  -> std::unique_ptr<ConditionalTimeout>
{
  if (!MayTryElsewhereAfterRun()) {
    return nullptr;
  }
  auto tried = mExchange.mTried;
  tried.push_back(aEndpoint.mRegistration.mId);
  return std::make_unique<ConditionalTimeout>(
    mState.mLoop,
    FirstByteDeadline(),
    mPolicy.mSilenceCheck,
    [this, tried = std::move(tried)] {
      return HasSlot(mState, mExchange.mService, tried);
    },
    [&aConnection] { aConnection.mStream.close(); });
}

auto Runner::ReadAnswerHead(Endpoint& aEndpoint,
                            ClientConnection& aConnection,
                            std::unique_ptr<ResponseParser>& aParser)
  -> Task<Step>
{
  for (int strays = 0; strays <= kMaxStrayAnswers; ++strays) {
    aParser = std::make_unique<ResponseParser>();
    const auto watch = WatchSilence(aEndpoint, aConnection);
    const auto error =
      co_await ReadHead(aConnection, *aParser, mExchange.mDeadline);
    if (mExchange.mCaller->Disconnected()) {
      co_return Step::Done;
    }
    if (error) {
      // A reused connection may have been closed under the request.
      if (aConnection.mReused && error == http::error::end_of_stream) {
        mState.mPool.CloseIdleConnections(aConnection.mAddress);
        co_return Step::Failed;
      }
      NoteFailure(aEndpoint, absl::StrCat("head: ", error.message()));
      co_return Step::Failed;
    }
    const auto facts = mProtocol.mReadResponse(aParser->get().base());
    if (facts.mId.empty() || facts.mId == mExchange.mFacts.mId) {
      co_return Step::Done;
    }
    // A second answer to an earlier request on this connection.
    LogEvent(Severity::Warn,
             "stray_answer",
             { { "id", mExchange.mFacts.mId },
               { "answers", facts.mId },
               { "endpoint", aEndpoint.mRegistration.mId } });
    const auto cut =
      co_await ReadBody(aConnection, *aParser, FirstByteDeadline());
    if (cut) {
      break;
    }
  }
  NoteFailure(aEndpoint, "answer to another request");
  co_return Step::Failed;
}

auto Runner::Deliver(Endpoint& aEndpoint,
                     ClientConnection& aConnection,
                     ResponseParser& aParser,
                     const ResponseMetadata& aFacts) -> Task<Step>
{
  if (aFacts.mLoad) {
    RecordReportedLoad(mState, aEndpoint, *aFacts.mLoad);
  }
  const auto status = aParser.get().result_int();
  if (aFacts.mNotExecuted || aFacts.mWrongEndpoint) {
    --mExchange.mAttempts;
    ++mExchange.mRefusals;
    LogEvent(Severity::Info,
             "endpoint_refused",
             { { "id", mExchange.mFacts.mId },
               { "endpoint", aEndpoint.mRegistration.mId },
               { "status", absl::StrCat(status) } });
    RecordExchange(mState,
                   aEndpoint,
                   aFacts.mWrongEndpoint ? ExchangeResult::Leaving
                                         : ExchangeResult::Ignored);
    const auto cut =
      co_await ReadBody(aConnection, aParser, FirstByteDeadline());
    if (cut) {
      aConnection.mStream.close();
    }
    co_return Step::NotRun;
  }
  const auto success = status >= 200 && status < 300;
  if (success && (!aFacts.mSigned || aFacts.mId.empty())) {
    NoteFailure(aEndpoint, "success without a signature or id");
    co_return Step::Failed;
  }
  if (status >= 500 && MayTryElsewhereAfterRun()) {
    NoteFailure(aEndpoint, absl::StrCat("status ", status));
    co_return Step::Failed;
  }
  if (mExchange.mBegun && !success) {
    NoteFailure(aEndpoint, absl::StrCat("resumption refused: ", status));
    co_return Step::Failed;
  }
  if (success && aFacts.mIsEventStream) {
    co_return co_await DeliverStream(aEndpoint, aConnection, aParser);
  }
  co_return co_await DeliverWhole(aEndpoint, aConnection, aParser);
}

auto Runner::DeliverWhole(Endpoint& aEndpoint,
                          ClientConnection& aConnection,
                          ResponseParser& aParser) -> Task<Step>
{
  const auto error = co_await ReadBody(aConnection, aParser, GapDeadline());
  if (mExchange.mCaller->Disconnected()) {
    co_return Step::Done;
  }
  if (error) {
    NoteFailure(aEndpoint, absl::StrCat("body: ", error.message()));
    co_return Step::Failed;
  }
  const auto failed = aParser.get().result_int() >= 500;
  RecordExchange(
    mState, aEndpoint, failed ? ExchangeResult::Failed : ExchangeResult::Good);
  Response response;
  response.base() = mProtocol.mCallerHead(aParser.get().base());
  response.body() = std::move(aParser.get().body());
  co_await mExchange.mCaller->Reply(std::move(response));
  co_return Step::Done;
}

auto Runner::DeliverStream(Endpoint& aEndpoint,
                           ClientConnection& aConnection,
                           ResponseParser& aParser) -> Task<Step>
{
  EventSplitter splitter;
  while (!aParser.is_done()) {
    const auto bytes =
      co_await ReadSomeBody(aConnection, aParser, GapDeadline());
    if (mExchange.mCaller->Disconnected()) {
      co_return Step::Done;
    }
    if (!bytes) {
      NoteFailure(aEndpoint, absl::StrCat("stream: ", bytes.error().message()));
      co_return Step::Failed;
    }
    const auto events = SplitEvents(splitter, *bytes);
    const auto step = co_await ForwardEvents(events, aParser);
    if (step == Step::Failed) {
      NoteFailure(aEndpoint, "stream: events are missing");
    }
    if (step != Step::Done || mExchange.mCaller->Disconnected()) {
      co_return step;
    }
  }
  if (!splitter.mPartial.empty()) {
    NoteFailure(aEndpoint, "stream: ended within an event");
    co_return Step::Failed;
  }
  RecordExchange(mState, aEndpoint, ExchangeResult::Good);
  if (!mExchange.mBegun) {
    std::string nothing;
    co_await SendToCaller(std::move(nothing), aParser);
  }
  co_await mExchange.mCaller->EndChunks();
  co_return Step::Done;
}

auto Runner::ForwardEvents(const std::vector<StreamEvent>& aEvents,
                           const ResponseParser& aParser) -> Task<Step>
{
  std::string bytes;
  for (const auto& event : aEvents) {
    const auto order = OrderOf(event, mExchange.mLastEvent);
    if (order == EventOrder::Gap) {
      co_return Step::Failed;
    }
    if (order == EventOrder::Next) {
      bytes += event.mText;
      mExchange.mLastEvent = event.mId ? event.mId : mExchange.mLastEvent;
    }
  }
  if (!bytes.empty()) {
    co_await SendToCaller(std::move(bytes), aParser);
  }
  co_return Step::Done;
}

auto Runner::SendToCaller(std::string aBytes, const ResponseParser& aParser)
  -> Task<bool>
{
  if (mExchange.mBegun) {
    co_return co_await mExchange.mCaller->SendChunk(std::move(aBytes));
  }
  mExchange.mBegun = true;
  auto head = mProtocol.mCallerHead(aParser.get().base());
  co_return co_await mExchange.mCaller->BeginChunks(std::move(head),
                                                    std::move(aBytes));
}

} // namespace

auto CheckCall(std::shared_ptr<const ServingDocument> aDocument,
               const RequestMetadata& aFacts) -> Admission
{
  Admission admission;
  const auto& document = *aDocument;
  admission.mDocument = std::move(aDocument);
  admission.mRoute = FindRoute(document, aFacts.mHost, aFacts.mPath);
  if (admission.mRoute == nullptr) {
    admission.mRefusal = RefusalReason::NoRoute;
    return admission;
  }
  if (!document.mKeysRequired || admission.mRoute->mPublic) {
    return admission;
  }
  const auto team = document.mTeamOfKey.find(aFacts.mKey);
  if (team == document.mTeamOfKey.end()) {
    admission.mRefusal = RefusalReason::UnknownKey;
  } else {
    admission.mTeam = team->second;
  }
  return admission;
}

auto Relay::RefuseNotReady(CallerPtr aCaller, RequestMetadata aFacts) -> Task<>
{
  LogEvent(Severity::Info,
           "request_refused",
           { { "id", aFacts.mId }, { "reason", "no_document" } });
  const auto starting = Clock::now() < mStartedAt + kStartTime;
  co_await aCaller->Reply(
    mProtocol.mRefuse(RefusalReason::NotReady,
                      aFacts.mId,
                      starting ? kStartRetryAfter : kNoDocumentRetryAfter));
}

auto Relay::Serve(CallerPtr aCaller,
                  std::shared_ptr<Request> aRequest,
                  RequestMetadata aFacts,
                  Admission aAdmission) -> Task<>
{
  Exchange exchange;
  exchange.mCaller = aCaller;
  exchange.mFacts = std::move(aFacts);
  exchange.mRequest = std::move(aRequest);
  exchange.mDocument = std::move(aAdmission.mDocument);
  const auto refuse = [&](RefusalReason aRefusal,
                          std::optional<milliseconds> aRetryAfter) {
    LogEvent(Severity::Info,
             "request_refused",
             { { "id", exchange.mFacts.mId },
               { "host", exchange.mFacts.mHost },
               { "path", exchange.mFacts.mPath },
               { "team", exchange.mTeam },
               { "reason", absl::StrCat(static_cast<int>(aRefusal)) } });
    return exchange.mCaller->Reply(
      mProtocol.mRefuse(aRefusal, exchange.mFacts.mId, aRetryAfter));
  };
  exchange.mTeam = std::move(aAdmission.mTeam);
  if (aAdmission.mRefusal) {
    co_await refuse(*aAdmission.mRefusal, std::nullopt);
    co_return;
  }
  exchange.mRoute = aAdmission.mRoute;
  const auto rate = mState.mRates.find(exchange.mTeam);
  const auto now = Clock::now();
  if (rate != mState.mRates.end() && !Admit(rate->second, now)) {
    const auto hosts = ResponsivePeerCount(mState.mFleet) + 1;
    const auto wait = ReturnAt(rate->second, hosts, now) - now;
    LogEvent(Severity::Info,
             "over_rate",
             { { "id", exchange.mFacts.mId },
               { "team", exchange.mTeam },
               { "tokens", absl::StrCat(rate->second.mTokens) },
               { "rate", absl::StrCat(rate->second.mRate) },
               { "burst", absl::StrCat(rate->second.mBurst) },
               { "share", absl::StrCat(rate->second.mShare) } });
    co_await refuse(RefusalReason::OverRate,
                    std::chrono::duration_cast<milliseconds>(wait));
    co_return;
  }
  const auto team = exchange.mDocument->mTeams.find(exchange.mTeam);
  exchange.mPriority =
    team != exchange.mDocument->mTeams.end() && team->second.mPriority
      ? *team->second.mPriority
      : exchange.mRoute->mPriority;
  exchange.mService = PickService(*exchange.mRoute, Uniform(mState.mRandom));
  exchange.mLastEvent = exchange.mFacts.mResumeAfter;
  const auto patience =
    exchange.mFacts.mCallerTimeout.value_or(exchange.mRoute->mTimeout);
  exchange.mDeadline =
    aCaller->mArrivedAt + std::min(patience, exchange.mRoute->mTimeout);
  Runner runner(mState, mProtocol, mPolicy, exchange);
  co_await runner.Run();
}

} // namespace mangovalve
