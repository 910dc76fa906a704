// Dispatch of batch items over the endpoint client.
//
// A model item is streamed, so that it can be preempted at once by an online
// request and resumed at the same engine from the event where it stopped. If
// the engine no longer has the stream, the item runs again from its beginning.
// Only repeatable items are preempted.
#include "mangovalve/host/batch_dispatch.h"

#include <map>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace mangovalve {
namespace {

using Json = nlohmann::json;

// Longer than any online timeout, because batch items have much later
// deadlines.
constexpr std::chrono::minutes kItemTimeout{ 10 };
constexpr std::chrono::seconds kItemFirstByteTimeout{ 60 };
constexpr std::chrono::seconds kCancelTimeout{ 2 };
constexpr absl::Duration kStopCheckInterval = absl::Milliseconds(5);
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

auto CurrentStopReason(const StopFlag& aStop) -> StopReason
{
  return aStop.load(std::memory_order_relaxed);
}

// Tells the engine to drop the stream, which it would otherwise keep generating
// without a reader. Best effort: errors are ignored.
auto CancelStream(EndpointClient& aClient,
                  const std::string& aEndpoint,
                  const std::string& aStreamId) -> void
{
  const auto now = Clock::now();
  EndpointRequest request;
  request.mAddress = aEndpoint;
  request.mTarget = "/v1/cancel";
  request.mBody = Json{ { "id", aStreamId } }.dump();
  request.mRequestId = ToHex(NewId());
  request.mFirstByteDeadline = now + kCancelTimeout;
  request.mDeadline = now + kCancelTimeout;
  static_cast<void>(aClient.Exchange(request));
}

// State of one dispatch.
struct ItemRun
{
  EndpointClient& mClient;
  StopWatcher& mWatcher;
  const BatchDispatch& mDispatch;
  const StopFlag& mStop;
  std::string mStreamId;
  std::string mEvents; // raw event stream, including parts before a resume
};

auto FirstRequest(const ItemRun& aRun, const Document& aDocument)
  -> Result<EndpointRequest, std::string>
{
  const auto route = aDocument.mRoutes.find(aRun.mDispatch.mRoute);
  if (route == aDocument.mRoutes.end()) {
    return Err(absl::StrCat(
      "route \"", aRun.mDispatch.mRoute, "\" is not in the document"));
  }
  EndpointRequest request;
  request.mTarget = route->second.mPath;
  if (aRun.mDispatch.mModel.empty()) {
    request.mBody = aRun.mDispatch.mBody;
    return request;
  }
  const auto body =
    ItemRequestBody(aRun.mDispatch.mBody, aRun.mDispatch.mModel);
  if (!body) {
    return Err(body.error());
  }
  request.mBody = *body;
  const auto chat = Json::parse(*body).contains("messages");
  request.mTarget = chat ? "/v1/chat/completions" : "/v1/completions";
  return request;
}

auto ResumeRequest(const ResumePoint& aResume) -> EndpointRequest
{
  EndpointRequest request;
  request.mMethod = "GET";
  request.mTarget =
    absl::StrCat("/v1/streams/", aResume.mStreamId, "?from=", aResume.mFrom);
  return request;
}

// Sends the request and cancels it once the stop flag is set.
auto Send(ItemRun& aRun, EndpointRequest aRequest)
  -> Result<EndpointResponse, EndpointError>
{
  const auto now = Clock::now();
  aRequest.mAddress = aRun.mDispatch.mEndpoint;
  aRequest.mRequestId = aRun.mStreamId;
  aRequest.mFirstByteDeadline = now + kItemFirstByteTimeout;
  aRequest.mDeadline = now + kItemTimeout;
  Cancellation cancellation;
  ResponseSink sink;
  if (!aRun.mDispatch.mModel.empty()) {
    sink.mOnHead = [](const EndpointResponseHead&) { return true; };
    sink.mOnData = [&aRun](std::string_view aData) {
      aRun.mEvents.append(aData);
      return CurrentStopReason(aRun.mStop) == StopReason::None;
    };
  }
  const auto ticket = aRun.mWatcher.Add(aRun.mStop, cancellation);
  auto answer = aRun.mClient.Exchange(aRequest, sink, &cancellation);
  aRun.mWatcher.Remove(ticket);
  return answer;
}

auto StoppedOutcome(ItemRun& aRun, Sent aSent) -> DispatchOutcome
{
  DispatchOutcome outcome;
  if (!aRun.mDispatch.mModel.empty() && aSent == Sent::Sent) {
    CancelStream(aRun.mClient, aRun.mDispatch.mEndpoint, aRun.mStreamId);
  }
  if (!aRun.mDispatch.mRepeatable) {
    outcome.mKind = aSent == Sent::Sent ? DispatchOutcome::Kind::Unknown
                                        : DispatchOutcome::Kind::NotRun;
    return outcome;
  }
  outcome.mKind = DispatchOutcome::Kind::Yielded;
  auto events = CompleteEvents(aRun.mEvents);
  const auto count = CountEvents(events);
  if (count > 0) {
    outcome.mResume = ResumePoint{
      aRun.mDispatch.mEndpoint, aRun.mStreamId, count, std::move(events)
    };
  }
  return outcome;
}

auto Answered(const ItemRun& aRun, const EndpointResponse& aAnswer)
  -> DispatchOutcome
{
  DispatchOutcome outcome;
  outcome.mKind = DispatchOutcome::Kind::Answered;
  outcome.mHttpStatus = static_cast<std::uint32_t>(aAnswer.mHead.mStatus);
  outcome.mBody = aAnswer.mBody;
  if (!aRun.mEvents.empty()) {
    const auto joined = JoinEvents(aRun.mEvents);
    if (!joined) {
      outcome.mKind = DispatchOutcome::Kind::Unknown;
      outcome.mBody = joined.error();
      return outcome;
    }
    outcome.mBody = *joined;
  }
  return outcome;
}

} // namespace

auto ItemRequestBody(const std::string& aBody, const std::string& aModel)
  -> Result<std::string, std::string>
{
  auto body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return Err(std::string("the item's body is not a JSON object"));
  }
  if (!body.contains("prompt") && !body.contains("messages")) {
    return Err(std::string("the item's body has neither prompt nor messages"));
  }
  body["model"] = aModel;
  body["stream"] = true;
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto JoinEvents(const std::string& aEvents) -> Result<std::string, std::string>
{
  Json joined;
  std::string text;
  std::string finish;
  auto chat = false;
  std::size_t begin = 0;
  while (begin < aEvents.size()) {
    const auto end = std::min(aEvents.find('\n', begin), aEvents.size());
    auto line = aEvents.substr(begin, end - begin);
    begin = end + 1;
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (!line.starts_with("data: ") || line == "data: [DONE]") {
      continue;
    }
    const auto event = Json::parse(line.substr(6), nullptr, false);
    if (!event.is_object() || !event.contains("choices") ||
        !event["choices"].is_array() || event["choices"].empty()) {
      return Err(std::string("malformed event in the streamed response"));
    }
    const auto& choice = event["choices"][0];
    if (joined.is_null()) {
      joined = event;
    }
    chat = chat || choice.contains("delta");
    const auto piece =
      chat ? choice.value("delta", Json::object()).value("content", Json())
           : choice.value("text", Json());
    text += piece.is_string() ? piece.get<std::string>() : "";
    const auto reason = choice.value("finish_reason", Json());
    finish = reason.is_string() ? reason.get<std::string>() : finish;
  }
  if (joined.is_null()) {
    return Err(std::string("the streamed response has no events"));
  }
  Json choice{ { "index", 0 }, { "finish_reason", finish } };
  if (chat) {
    choice["message"] = { { "role", "assistant" }, { "content", text } };
    joined["object"] = "chat.completion";
  } else {
    choice["text"] = text;
  }
  joined["choices"] = Json::array({ choice });
  return joined.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto CompleteEvents(const std::string& aEvents) -> std::string
{
  const auto end = aEvents.rfind("\n\n");
  return end == std::string::npos ? std::string() : aEvents.substr(0, end + 2);
}

auto CountEvents(const std::string& aEvents) -> std::uint64_t
{
  std::uint64_t count = 0;
  for (auto at = aEvents.find("\n\n"); at != std::string::npos;
       at = aEvents.find("\n\n", at + 2)) {
    ++count;
  }
  return count;
}

StopWatcher::StopWatcher()
  : mThread("stop-watcher", [this] { Run(); })
{
}

StopWatcher::~StopWatcher()
{
  {
    const absl::MutexLock lock(&mMutex);
    mStopping = true;
  }
  mThread.Join();
}

auto StopWatcher::Add(const StopFlag& aFlag, Cancellation& aCancellation)
  -> std::uint64_t
{
  const absl::MutexLock lock(&mMutex);
  mWatched[mNextTicket] = { &aFlag, &aCancellation };
  return mNextTicket++;
}

auto StopWatcher::Remove(std::uint64_t aTicket) -> void
{
  const absl::MutexLock lock(&mMutex);
  mWatched.erase(aTicket);
}

auto StopWatcher::Run() -> void
{
  const absl::MutexLock lock(&mMutex);
  const auto hasWork = [this] { return mStopping || !mWatched.empty(); };
  while (!mStopping) {
    mMutex.Await(absl::Condition(&hasWork)); // no polling while idle
    for (const auto& [ticket, watched] : mWatched) {
      if (CurrentStopReason(*watched.mFlag) != StopReason::None) {
        watched.mCancellation->Cancel();
      }
    }
    mMutex.AwaitWithTimeout(absl::Condition(&mStopping), kStopCheckInterval);
  }
}

auto RunBatchItem(EndpointClient& aClient,
                  StopWatcher& aWatcher,
                  const Document& aDocument,
                  const BatchDispatch& aDispatch,
                  const StopFlag& aStop) -> DispatchOutcome
{
  ItemRun run{ aClient, aWatcher, aDispatch, aStop, {}, {} };
  DispatchOutcome outcome;
  if (aDispatch.mResume &&
      aDispatch.mResume->mEndpoint == aDispatch.mEndpoint) {
    run.mStreamId = aDispatch.mResume->mStreamId;
    run.mEvents = aDispatch.mResume->mPartial;
    const auto answer = Send(run, ResumeRequest(*aDispatch.mResume));
    if (answer && answer->mHead.mStatus != kNotFound) {
      return Answered(run, *answer);
    }
    if (!answer && CurrentStopReason(aStop) != StopReason::None) {
      return StoppedOutcome(run, answer.error().mSent);
    }
    run.mEvents.clear(); // the engine dropped the stream: run again
  }
  run.mStreamId = ToHex(aDispatch.mRequestId);
  const auto request = FirstRequest(run, aDocument);
  if (!request) {
    outcome.mKind = DispatchOutcome::Kind::Answered;
    outcome.mHttpStatus = 400;
    outcome.mBody = Json{ { "error", request.error() } }.dump();
    return outcome;
  }
  const auto answer = Send(run, *request);
  if (answer && answer->mHead.mStatus == kServiceUnavailable &&
      aDispatch.mRepeatable) {
    // The endpoint is leaving or full. The status does not prove that the item
    // was not executed, so a non-repeatable item gets 503 as its final
    // response.
    outcome.mKind = DispatchOutcome::Kind::NotRun;
    return outcome;
  }
  if (answer) {
    return Answered(run, *answer);
  }
  if (CurrentStopReason(aStop) != StopReason::None) {
    return StoppedOutcome(run, answer.error().mSent);
  }
  outcome.mKind = answer.error().mSent == Sent::NotSent
                    ? DispatchOutcome::Kind::NotRun
                    : DispatchOutcome::Kind::Unknown;
  outcome.mBody = answer.error().mMessage;
  return outcome;
}

} // namespace mangovalve
