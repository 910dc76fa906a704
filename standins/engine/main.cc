// standin_engine: a model engine with continuous batching.
//
//   POST /v1/completions {"model","prompt","max_tokens","stream"}
//   POST /v1/chat/completions {"model","messages":[{"role","content"}],...}
//        "model" may be NAME or NAME@VERSION; "version" is optional too. One
//        event per token when streamed, then "data: [DONE]".
//   POST /v1/cancel {"id"}: id is the X-Request-Id of the request
//   GET  /v1/streams/ID?from=N: events from the Nth token on (0: all); a
//        cancelled stream is queued again and goes on after its last token
//   GET  /load -> {"running","waiting","max_running","first_token_ms",
//        "finished","cache_blocks","cache_capacity","leaving","role","models"}
//        as of --load_lag_ms ago
//   GET  /cache_events?after=N, POST /kv/export {"blocks":[HEX]},
//        POST /kv/import {"blocks":[HEX]}: see standins/common/prefix_cache.h
//   POST /orders {"fence","action","model","version","adapter","role"}:
//        answered once in force; 409 for an old fence, 429 when the weight
//        store's budget is exceeded
//   GET  /executions: see standins/common/executions.h
//   POST /faults, GET /received: see standins/common
//
// The text of an answer starts with the digest of its prompt, so that a caller
// can tell an answer to another request.
#include <memory>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>

#include "standins/common/flags.h"
#include "standins/common/server.h"
#include "standins/engine/engine.h"

DEFINE_string(models, "", "loaded at start: NAME[@VERSION],...");
DEFINE_uint64(max_batch, 16, "sequences in the batch");
DEFINE_uint64(max_waiting, 1000, "sequences that wait; further ones get 503");
DEFINE_int64(first_token_us, 30000, "first token's delay in a batch of one");
DEFINE_int64(inter_token_us, 8000, "time between tokens in a batch of one");
DEFINE_double(growth, 0.03, "share added to both by each further sequence");
DEFINE_int64(prefill_us, 50, "first token's delay per uncached prompt token");
DEFINE_uint64(cache_blocks, 4096, "capacity of the prefix cache");
DEFINE_int64(load_lag_ms, 100, "age of load reports");
DEFINE_int64(cache_event_delay_ms, 200, "age of cache events");
DEFINE_double(cache_event_loss, 0.01, "share of cache events lost");
DEFINE_int64(load_model_ms, 500, "time to load a model or adapter");
DEFINE_bool(checks_fencing, true, "refuse orders with an old fence");
DEFINE_string(weights, "", "IP:PORT of the weight store; empty: none");

namespace mangovalve::standins {
namespace {

constexpr std::uint32_t kMaxTokens = 4096;

struct EngineStandin
{
  EngineStandin(std::uint64_t aSeed, EngineOptions aOptions)
    : mStandin(aSeed)
    , mEngine(std::move(aOptions))
  {
  }

  Standin mStandin;
  Engine mEngine;
  std::atomic<std::uint64_t> mUnnamed{ 0 };
};

struct Generation
{
  Sequence mSequence;
  std::string mVersion;
  bool mStream = false;
  bool mChat = false;
};

auto PromptOf(const nlohmann::json& aJson, bool aChat) -> std::string
{
  if (!aChat) {
    return TextMember(aJson, "prompt");
  }
  std::string prompt;
  const auto messages = aJson.find("messages");
  if (messages != aJson.end() && messages->is_array()) {
    for (const auto& message : *messages) {
      if (message.is_object()) {
        absl::StrAppend(&prompt,
                        TextMember(message, "role"),
                        ": ",
                        TextMember(message, "content"),
                        "\n");
      }
    }
  }
  return prompt;
}

auto ParseGeneration(const httplib::Request& aRequest)
  -> Result<Generation, std::string>
{
  const auto json = nlohmann::json::parse(aRequest.body, nullptr, false);
  if (!json.is_object()) {
    return Err(std::string("the body is not a JSON object"));
  }
  Generation generation;
  generation.mChat = aRequest.path == "/v1/chat/completions";
  const std::pair<std::string, std::string> model =
    absl::StrSplit(TextMember(json, "model"), absl::MaxSplits('@', 1));
  generation.mSequence.mModel = model.first;
  generation.mVersion =
    model.second.empty() ? TextMember(json, "version") : model.second;
  generation.mSequence.mPrompt = PromptOf(json, generation.mChat);
  if (generation.mSequence.mPrompt.empty()) {
    return Err(std::string("the prompt is empty"));
  }
  const auto maxTokens = json.find("max_tokens");
  if (maxTokens != json.end()) {
    if (!maxTokens->is_number_unsigned() ||
        maxTokens->get<std::uint64_t>() < 1 ||
        maxTokens->get<std::uint64_t>() > kMaxTokens) {
      return Err(absl::StrCat("max_tokens: not in 1..", kMaxTokens));
    }
    generation.mSequence.mMaxTokens = maxTokens->get<std::uint32_t>();
  }
  const auto stream = json.find("stream");
  generation.mStream =
    stream != json.end() && stream->is_boolean() && stream->get<bool>();
  return generation;
}

auto Choice(bool aChat, bool aStream, const std::string& aText)
  -> nlohmann::json
{
  if (!aChat) {
    return { { "index", 0 }, { "text", aText } };
  }
  return { { "index", 0 },
           { aStream ? "delta" : "message",
             { { "role", "assistant" }, { "content", aText } } } };
}

// Position of one reader in a sequence.
struct Reader
{
  SequenceId mId = 0;
  std::string mRequestId;
  std::string mModel;
  bool mChat = false;
  std::uint32_t mNext = 0; // index of the next token to send
  bool mSentDone = false;
};

auto NextEventText(Engine& aEngine,
                   Reader& aReader,
                   const std::function<bool()>& aIsConnected)
  -> std::optional<std::string>
{
  const auto view = aEngine.WaitFor(aReader.mId, aReader.mNext, aIsConnected);
  if (view.mTokens > aReader.mNext) {
    const nlohmann::json event{
      { "id", aReader.mRequestId },
      { "model", aReader.mModel },
      { "token", aReader.mNext },
      { "choices",
        nlohmann::json::array({ Choice(
          aReader.mChat, true, TokenText(view.mPrompt, aReader.mNext)) }) }
    };
    ++aReader.mNext;
    return absl::StrCat("data: ", event.dump(), "\n\n");
  }
  if (view.mState == SequenceState::Finished && !aReader.mSentDone) {
    aReader.mSentDone = true;
    return "data: [DONE]\n\n";
  }
  return std::nullopt;
}

auto StreamAnswer(Engine& aEngine, Reader aReader) -> Answer
{
  auto reader = std::make_shared<Reader>(std::move(aReader));
  Answer answer;
  answer.mContentType = "text/event-stream";
  answer.mNextPart = [&aEngine,
                      reader](const std::function<bool()>& aIsConnected) {
    auto part = NextEventText(aEngine, *reader, aIsConnected);
    if (!part) {
      aEngine.Leave(reader->mId);
    }
    return part;
  };
  answer.mOnDisconnect = [&aEngine, reader] { aEngine.Leave(reader->mId); };
  return answer;
}

auto WholeAnswer(Engine& aEngine, const Reader& aReader) -> Answer
{
  std::string text;
  SequenceView view;
  std::uint32_t tokens = 0;
  do {
    view = aEngine.WaitFor(aReader.mId, tokens, [] { return true; });
    for (; tokens < view.mTokens; ++tokens) {
      text += TokenText(view.mPrompt, tokens);
    }
  } while (view.mState < SequenceState::Finished);
  aEngine.Leave(aReader.mId);
  if (view.mState == SequenceState::Cancelled) {
    return ErrorAnswer(409, "cancelled", "the request was cancelled");
  }
  return JsonAnswer(
    { { "id", aReader.mRequestId },
      { "model", aReader.mModel },
      { "choices",
        nlohmann::json::array({ Choice(aReader.mChat, false, text) }) },
      { "usage",
        { { "prompt_tokens", view.mPrompt.size() / kTokenBytes },
          { "completion_tokens", tokens } } } });
}

auto Generate(EngineStandin& aEngine, const httplib::Request& aRequest)
  -> Answer
{
  if (aEngine.mStandin.mFaults.IsLeaving()) {
    return ErrorAnswer(503, "leaving", "takes no new work");
  }
  auto generation = ParseGeneration(aRequest);
  if (!generation) {
    return ErrorAnswer(400, "bad_request", generation.error());
  }
  auto& sequence = generation->mSequence;
  bool serves = false;
  aEngine.mEngine.WithState([&](const EngineState& aState) {
    serves = ServesModel(aState, sequence.mModel, generation->mVersion);
  });
  if (!serves) {
    return ErrorAnswer(404, "model_not_loaded", "no such model is loaded");
  }
  sequence.mRequestId = aRequest.get_header_value("X-Request-Id");
  if (sequence.mRequestId.empty()) {
    sequence.mRequestId = absl::StrCat("unnamed-", ++aEngine.mUnnamed);
  }
  Reader reader;
  reader.mRequestId = sequence.mRequestId;
  reader.mModel = sequence.mModel;
  reader.mChat = generation->mChat;
  const auto id = aEngine.mEngine.Start(
    std::move(sequence), aRequest.get_header_value("Idempotency-Key"));
  if (!id) {
    return ErrorAnswer(503, "busy", "too many requests wait");
  }
  reader.mId = *id;
  return generation->mStream ? StreamAnswer(aEngine.mEngine, std::move(reader))
                             : WholeAnswer(aEngine.mEngine, reader);
}

auto ResumeStream(EngineStandin& aEngine, const httplib::Request& aRequest)
  -> Answer
{
  Reader reader;
  reader.mRequestId = aRequest.matches[1];
  if (aRequest.has_param("from") &&
      !absl::SimpleAtoi(aRequest.get_param_value("from"), &reader.mNext)) {
    return ErrorAnswer(400, "bad_request", "from: not a number");
  }
  const auto id = aEngine.mEngine.Resume(reader.mRequestId);
  if (!id) {
    return ErrorAnswer(404, "unknown_stream", "no such stream is retained");
  }
  reader.mId = *id;
  return StreamAnswer(aEngine.mEngine, std::move(reader));
}

auto CancelRequest(EngineStandin& aEngine, const httplib::Request& aRequest)
  -> Answer
{
  const auto json = nlohmann::json::parse(aRequest.body, nullptr, false);
  const auto id = json.is_object() ? TextMember(json, "id") : "";
  return JsonAnswer({ { "cancelled", aEngine.mEngine.Cancel(id) } });
}

auto LoadReport(EngineStandin& aEngine, const httplib::Request&) -> Answer
{
  auto report = aEngine.mEngine.Load();
  report["service"] = FLAGS_service;
  report["domain"] = FLAGS_domain;
  report["leaving"] = aEngine.mStandin.mFaults.IsLeaving();
  aEngine.mEngine.WithState([&report](const EngineState& aState) {
    report["role"] = aState.mRole;
    report["models"] = RenderModels(aState);
  });
  return JsonAnswer(report);
}

auto CacheEvents(EngineStandin& aEngine, const httplib::Request& aRequest)
  -> Answer
{
  std::uint64_t after = 0;
  if (aRequest.has_param("after") &&
      !absl::SimpleAtoi(aRequest.get_param_value("after"), &after)) {
    return ErrorAnswer(400, "bad_request", "after: not a number");
  }
  return JsonAnswer(aEngine.mEngine.CacheEvents(after));
}

auto ParseBlocks(const std::string& aBody)
  -> Result<std::vector<BlockHash>, std::string>
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  std::vector<BlockHash> blocks;
  if (!json.is_object()) {
    return Err(std::string("the body is not a JSON object"));
  }
  for (const auto& entry : json.value("blocks", nlohmann::json::array())) {
    BlockHash block = 0;
    if (!entry.is_string() ||
        !absl::SimpleHexAtoi(entry.get<std::string>(), &block)) {
      return Err(std::string("blocks: not a list of hexadecimal hashes"));
    }
    blocks.push_back(block);
  }
  return blocks;
}

auto ExportKv(EngineStandin& aEngine, const httplib::Request& aRequest)
  -> Answer
{
  const auto blocks = ParseBlocks(aRequest.body);
  if (!blocks) {
    return ErrorAnswer(400, "bad_request", blocks.error());
  }
  auto names = nlohmann::json::array();
  for (const auto block : aEngine.mEngine.ExportBlocks(*blocks)) {
    names.push_back(absl::StrFormat("%016x", block));
  }
  return JsonAnswer({ { "blocks", names } });
}

auto ImportKv(EngineStandin& aEngine, const httplib::Request& aRequest)
  -> Answer
{
  const auto blocks = ParseBlocks(aRequest.body);
  if (!blocks) {
    return ErrorAnswer(400, "bad_request", blocks.error());
  }
  aEngine.mEngine.ImportBlocks(*blocks);
  return JsonAnswer({ { "imported", blocks->size() } });
}

// Takes one fetch from the weight store's budget.
auto FetchWeights(const EngineOrder& aOrder) -> Result<void, OrderRefusal>
{
  if (FLAGS_weights.empty()) {
    return {};
  }
  httplib::Client client("http://" + FLAGS_weights);
  const nlohmann::json body{ { "model", aOrder.mModel },
                             { "version", aOrder.mVersion } };
  const auto fetched =
    client.Post("/v1/weights/fetch", body.dump(), "application/json");
  if (!fetched || fetched->status != 200) {
    return Err(OrderRefusal{ fetched ? fetched->status : 503,
                             "weights",
                             "the weight store refused the fetch" });
  }
  return {};
}

auto Obey(Engine& aEngine, const EngineOrder& aOrder)
  -> Result<void, OrderRefusal>
{
  Result<void, OrderRefusal> result;
  bool load = false;
  aEngine.WithState([&](EngineState& aState) {
    result = CheckFence(aState, aOrder);
    load = NeedsLoad(aState, aOrder);
  });
  if (result && load) {
    result = FetchWeights(aOrder);
    absl::SleepFor(absl::Milliseconds(FLAGS_load_model_ms));
  }
  if (!result) {
    return result;
  }
  aEngine.WithState([&](EngineState& aState) {
    // A newer order may have come in while this one loaded.
    result = CheckFence(aState, aOrder);
    if (result) {
      result = ApplyOrder(aState, aOrder);
    }
  });
  return result;
}

auto TakeOrder(EngineStandin& aEngine, const httplib::Request& aRequest)
  -> Answer
{
  const auto order = ParseOrder(aRequest.body);
  const auto result = order ? Obey(aEngine.mEngine, *order)
                            : Result<void, OrderRefusal>(Err(order.error()));
  if (!result) {
    return ErrorAnswer(
      result.error().mStatus, result.error().mReason, result.error().mMessage);
  }
  nlohmann::json answer{ { "ok", true }, { "fence", order->mFence } };
  aEngine.mEngine.WithState([&answer](const EngineState& aState) {
    answer["models"] = RenderModels(aState);
    answer["role"] = aState.mRole;
  });
  return JsonAnswer(answer);
}

auto OptionsFromFlags() -> EngineOptions
{
  EngineOptions options;
  auto& batching = options.mBatching;
  batching.mMaxBatch = FLAGS_max_batch;
  batching.mFirstToken = std::chrono::microseconds(FLAGS_first_token_us);
  batching.mInterToken = std::chrono::microseconds(FLAGS_inter_token_us);
  batching.mGrowth = FLAGS_growth;
  batching.mPrefillPerToken = std::chrono::microseconds(FLAGS_prefill_us);
  batching.mCacheBlocks = FLAGS_cache_blocks;
  options.mMaxWaiting = FLAGS_max_waiting;
  options.mLoadLag = std::chrono::milliseconds(FLAGS_load_lag_ms);
  options.mFeed.mDelay = std::chrono::milliseconds(FLAGS_cache_event_delay_ms);
  options.mFeed.mLossShare = FLAGS_cache_event_loss;
  options.mFeed.mRandom.mState = FLAGS_seed;
  options.mState.mChecksFencing = FLAGS_checks_fencing;
  for (const auto model :
       absl::StrSplit(FLAGS_models, ',', absl::SkipEmpty())) {
    const std::pair<std::string, std::string> key =
      absl::StrSplit(model, absl::MaxSplits('@', 1));
    options.mState.mModels.try_emplace(key);
  }
  return options;
}

auto Main() -> int
{
  EngineStandin engine(FLAGS_seed, OptionsFromFlags());
  const auto add =
    [&engine](const char* aMethod, const char* aPattern, auto aFunction) {
      AddRoute(engine.mStandin,
               aMethod,
               aPattern,
               [&engine, aFunction](const httplib::Request& aRequest) {
                 return aFunction(engine, aRequest);
               });
    };
  add("POST", "/v1/completions", Generate);
  add("POST", "/v1/chat/completions", Generate);
  add("POST", "/v1/cancel", CancelRequest);
  add("GET", "/v1/streams/([^/]+)", ResumeStream);
  add("GET", "/load", LoadReport);
  add("GET", "/cache_events", CacheEvents);
  add("POST", "/kv/export", ExportKv);
  add("POST", "/kv/import", ImportKv);
  add("POST", "/orders", TakeOrder);
  add(
    "GET", "/executions", [](EngineStandin& aEngine, const httplib::Request&) {
      return JsonAnswer(aEngine.mEngine.Counts().Render());
    });
  return RunStandin(engine.mStandin, FLAGS_listen);
}

} // namespace
} // namespace mangovalve::standins

auto main(int aCount, char** aArguments) -> int
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return mangovalve::standins::Main();
}
