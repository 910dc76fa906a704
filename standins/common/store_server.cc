// The platform's store on loopback.
#include "standins/common/store_server.h"

#include <algorithm>
#include <map>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

namespace mangovalve::standin {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = 1024UL << 10U;
constexpr std::size_t kOffsetBytes = 8;
constexpr std::size_t kLengthBytes = 4;

// A held call that is never answered; the caller's deadline ends it.
constexpr auto kSilence = std::chrono::seconds(60);

struct Target
{
  std::string mPath;
  std::map<std::string, std::string> mQuery;
};

auto Decode(absl::string_view aText) -> std::string
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += absl::HexStringToBytes(aText.substr(i + 1, 2));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

auto ParseTarget(beast::string_view aTarget) -> Target
{
  Target target;
  const auto mark = aTarget.find('?');
  const auto path = aTarget.substr(0, mark);
  target.mPath.assign(path.data(), path.size());
  if (mark == beast::string_view::npos) {
    return target;
  }
  const auto query = aTarget.substr(mark + 1);
  for (const auto part :
       absl::StrSplit(absl::string_view(query.data(), query.size()), '&')) {
    const std::pair<absl::string_view, absl::string_view> pair =
      absl::StrSplit(part, absl::MaxSplits('=', 1));
    target.mQuery[std::string(pair.first)] = Decode(pair.second);
  }
  return target;
}

auto NumberOf(const Target& aTarget, const std::string& aName)
  -> std::optional<std::uint64_t>
{
  std::uint64_t number = 0;
  const auto found = aTarget.mQuery.find(aName);
  return found != aTarget.mQuery.end() &&
             absl::SimpleAtoi(found->second, &number)
           ? std::optional(number)
           : std::nullopt;
}

auto TextOf(const Target& aTarget, const std::string& aName) -> std::string
{
  const auto found = aTarget.mQuery.find(aName);
  return found == aTarget.mQuery.end() ? "" : found->second;
}

auto BigEndian(std::uint64_t aValue, std::size_t aBytes) -> std::string
{
  std::string bytes;
  for (auto i = aBytes; i > 0; --i) {
    bytes += static_cast<char>((aValue >> (8 * (i - 1))) & 0xffU);
  }
  return bytes;
}

auto JsonAnswer(unsigned aStatus, const Json& aBody) -> Response
{
  Response response;
  response.result(aStatus);
  response.set(http::field::content_type, "application/json");
  response.body() = aBody.dump();
  return response;
}

auto ReadAppend(const Request& aRequest) -> std::optional<AppendCall>
{
  const auto target = ParseTarget(aRequest.target());
  auto records = SplitRecords(aRequest.body());
  if (!records) {
    return std::nullopt;
  }
  AppendCall call;
  call.mTopic = TextOf(target, "topic");
  call.mPartition =
    static_cast<std::uint32_t>(NumberOf(target, "part").value_or(0));
  call.mAt = NumberOf(target, "at");
  call.mProducer = TextOf(target, "producer");
  call.mEpoch = NumberOf(target, "epoch").value_or(0);
  call.mSequence = NumberOf(target, "sequence").value_or(0);
  call.mRecords = std::move(*records);
  return call;
}

auto AppendResponse(const AppendAnswer& aAnswer) -> Response
{
  Json body = { { "offset", aAnswer.mOffset }, { "end", aAnswer.mEnd } };
  if (!aAnswer.mWhy.empty()) {
    body["why"] = aAnswer.mWhy;
    body["sequence"] = aAnswer.mExpected;
  }
  return JsonAnswer(aAnswer.mStatus, body);
}

} // namespace

StoreServer::StoreServer(asio::io_context& aLoop, StoreLimits aLimits)
  : mLoop(aLoop)
  , mServer(
      aLoop,
      [this](CallerPtr aCaller, std::shared_ptr<Request> aRequest) {
        return Handle(std::move(aCaller), std::move(aRequest));
      },
      [] {
        CallerLimits limits;
        limits.mIdleTimeout = std::chrono::minutes(5);
        return limits;
      })
{
  mStore.mLimits = aLimits;
}

auto StoreServer::Listen(const std::string& aAddress) -> ErrorCode
{
  return mServer.Listen(aAddress);
}

auto StoreServer::Put(const std::string& aTopic,
                      const std::string& aKey,
                      const std::string& aValue) -> void
{
  AppendCall call;
  call.mTopic = aTopic;
  call.mRecords = { std::string(1, static_cast<char>(aKey.size())) + aKey +
                    aValue };
  Append(mStore, call, Clock::now());
  for (auto* reader : mReaders) {
    reader->cancel();
  }
}

auto StoreServer::Misbehave(Caller& aCaller) -> Task<bool>
{
  const auto ip = aCaller.RemoteIp();
  const auto meant = mFaults.mOnlyFor.empty() || mFaults.mOnlyFor.contains(ip);
  const auto outage = meant ? mFaults.mOutage : Outage::None;
  if (outage == Outage::Unavailable) {
    co_await aCaller.Reply(Response(http::status::service_unavailable, 11));
  } else if (outage == Outage::TooMany) {
    co_await aCaller.Reply(Response(http::status::too_many_requests, 11));
  } else if (outage == Outage::Silent) {
    co_await SleepUntil(Clock::now() + kSilence);
  }
  if (outage == Outage::Silent || outage == Outage::Reset) {
    aCaller.Abort();
  }
  co_return outage != Outage::None;
}

auto StoreServer::Handle(CallerPtr aCaller, std::shared_ptr<Request> aRequest)
  -> Task<>
{
  ++mCounts.mCalls;
  mCounts.mBytesIn += aRequest->body().size();
  const auto misbehaved = co_await Misbehave(*aCaller);
  if (misbehaved) {
    co_return;
  }
  if (mFaults.mDelay > Duration::zero()) {
    co_await SleepUntil(Clock::now() + mFaults.mDelay);
  }
  ExpireRecords(mStore, Clock::now());
  const auto path = ParseTarget(aRequest->target()).mPath;
  if (path == "/api/log-append") {
    co_await HandleAppend(*aCaller, *aRequest);
  } else if (path == "/api/log-read") {
    co_await HandleRead(*aCaller, *aRequest);
  } else if (path == "/api/log-newest") {
    co_await Send(*aCaller, Newest(*aRequest));
  } else if (path == "/api/log-join") {
    co_await Send(*aCaller, JoinGroup(*aRequest));
  } else if (path == "/api/log-leave") {
    co_await Send(*aCaller, LeaveGroup(*aRequest));
  } else {
    co_await Send(*aCaller, Response(http::status::not_found, 11));
  }
}

auto StoreServer::Send(Caller& aCaller, Response aResponse) -> Task<>
{
  mCounts.mBytesOut += aResponse.body().size();
  co_await aCaller.Reply(std::move(aResponse));
}

auto StoreServer::HandleAppend(Caller& aCaller, const Request& aRequest)
  -> Task<>
{
  ++mCounts.mAppends;
  const auto call = ReadAppend(aRequest);
  if (!call) {
    co_await Send(aCaller, Response(http::status::bad_request, 11));
    co_return;
  }
  if (Uniform(mRandom) < mFaults.mLateAppends) {
    co_await SleepUntil(Clock::now() + mFaults.mLateBy);
    Append(mStore, *call, Clock::now());
    aCaller.Abort();
    co_return;
  }
  const auto answer = Append(mStore, *call, Clock::now());
  for (auto* reader : mReaders) {
    reader->cancel();
  }
  if (Uniform(mRandom) < mFaults.mLoseAnswers) {
    co_await SleepUntil(Clock::now() + kSilence);
    aCaller.Abort();
    co_return;
  }
  co_await Send(aCaller, AppendResponse(answer));
}

auto StoreServer::HandleRead(Caller& aCaller, const Request& aRequest) -> Task<>
{
  const auto target = ParseTarget(aRequest.target());
  const auto topic = TextOf(target, "topic");
  const auto number =
    static_cast<std::uint32_t>(NumberOf(target, "part").value_or(0));
  const auto from = NumberOf(target, "from").value_or(0);
  const std::chrono::milliseconds wait(NumberOf(target, "waitMs").value_or(0));
  const auto waitUntil = Clock::now() + wait;
  auto* partition = FindPartition(mStore, topic, number);
  if (partition == nullptr) {
    co_await Send(aCaller, Response(http::status::not_found, 11));
    co_return;
  }
  asio::steady_timer timer(mLoop);
  mReaders.insert(&timer);
  while (EndOf(*partition) <= from && Clock::now() < waitUntil) {
    timer.expires_at(waitUntil);
    ErrorCode ignored; // an append cancels the wait
    co_await timer.async_wait(CaptureError(ignored));
  }
  mReaders.erase(&timer);
  if (from < partition->mFirst) {
    auto gone =
      JsonAnswer(410, Json::object({ { "first", partition->mFirst } }));
    co_await Send(aCaller, std::move(gone));
    co_return;
  }
  Response response(http::status::ok, 11);
  response.body() = BigEndian(EndOf(*partition), kOffsetBytes) +
                    BigEndian(partition->mFirst, kOffsetBytes);
  for (auto i = from - partition->mFirst; i < partition->mRecords.size(); ++i) {
    const auto& bytes = partition->mRecords[i].mBytes;
    response.body() += BigEndian(bytes.size(), kLengthBytes) + bytes;
    if (response.body().size() > kPageBytes) {
      break;
    }
  }
  co_await Send(aCaller, std::move(response));
}

auto StoreServer::Newest(const Request& aRequest) -> Response
{
  const auto target = ParseTarget(aRequest.target());
  const auto number =
    static_cast<std::uint32_t>(NumberOf(target, "part").value_or(0));
  auto* partition = FindPartition(mStore, TextOf(target, "topic"), number);
  if (partition == nullptr) {
    return { http::status::not_found, 11 };
  }
  auto items = Json::array();
  std::size_t bytes = 0;
  auto record = partition->mNewest.upper_bound(TextOf(target, "after"));
  for (; record != partition->mNewest.end() && items.size() < kPageItems &&
         bytes < kPageBytes;
       ++record) {
    const auto& [value, offset] = record->second;
    bytes += value.size();
    items.push_back({ { "key", record->first },
                      { "value", absl::Base64Escape(value) },
                      { "offset", offset } });
  }
  return JsonAnswer(200,
                    { { "items", std::move(items) },
                      { "more", record != partition->mNewest.end() },
                      { "end", EndOf(*partition) } });
}

auto StoreServer::JoinGroup(const Request& aRequest) -> Response
{
  const auto call = Json::parse(aRequest.body(), nullptr, false);
  if (!call.is_object()) {
    return { http::status::bad_request, 11 };
  }
  const auto answer = Join(mStore,
                           call.value("group", ""),
                           call.value("member", ""),
                           call.value("topics", std::vector<std::string>()),
                           std::chrono::milliseconds(call.value("ttlMs", 1000)),
                           call.value("generation", std::uint64_t{ 0 }),
                           Clock::now());
  auto parts = Json::array();
  for (const auto& [topic, part, committed] : answer.mParts) {
    parts.push_back(Json::array({ topic, part, committed }));
  }
  return JsonAnswer(
    200, { { "generation", answer.mGeneration }, { "parts", parts } });
}

auto StoreServer::LeaveGroup(const Request& aRequest) -> Response
{
  const auto call = Json::parse(aRequest.body(), nullptr, false);
  if (!call.is_object()) {
    return { http::status::bad_request, 11 };
  }
  Leave(
    mStore, call.value("group", ""), call.value("member", ""), Clock::now());
  return { http::status::ok, 11 };
}

} // namespace mangovalve::standin
