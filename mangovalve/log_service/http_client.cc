// HTTP clients shared by the platform's ports.
#include "mangovalve/log_service/http_client.h"

#include <algorithm>
#include <cstdlib>

#include <absl/strings/str_cat.h>
#include <httplib.h>

namespace mangovalve {
namespace {

// Idle connections kept; more calls than this at once open new ones.
constexpr std::size_t kMaxIdle = 4;
constexpr std::chrono::seconds kConnectTimeout{ 2 };
// A platform's answer that is longer is dropped, to bound memory.
constexpr std::size_t kMaxAnswer = std::size_t{ 64 } << 20;

using Kind = PlatformError::Kind;

auto Failure(httplib::Error aError) -> PlatformError
{
  const auto sent = aError != httplib::Error::Connection &&
                    aError != httplib::Error::ConnectionTimeout;
  return { sent ? Kind::OutcomeUnknown : Kind::NotSent,
           absl::StrCat("platform: ", httplib::to_string(aError)) };
}

auto StatusError(int aStatus) -> PlatformError
{
  const auto rejected = aStatus == 429 || aStatus == 503;
  return { rejected ? Kind::Rejected : Kind::OutcomeUnknown,
           absl::StrCat("platform answered ", aStatus) };
}

auto SetTimeouts(httplib::Client& aClient, Duration aLeft) -> void
{
  const auto left = std::chrono::ceil<std::chrono::microseconds>(aLeft);
  aClient.set_connection_timeout(
    std::min<std::chrono::microseconds>(left, kConnectTimeout));
  aClient.set_read_timeout(left);
  aClient.set_write_timeout(left);
}

} // namespace

HttpClientPool::HttpClientPool(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  mHost = aAddress.substr(0, colon);
  mPort = colon == std::string::npos
            ? 80
            : std::atoi(aAddress.substr(colon + 1).c_str());
}

HttpClientPool::~HttpClientPool() = default;

auto HttpClientPool::Borrow() -> std::unique_ptr<httplib::Client>
{
  {
    const absl::MutexLock lock(&mMutex);
    if (!mIdle.empty()) {
      auto client = std::move(mIdle.back());
      mIdle.pop_back();
      return client;
    }
  }
  auto client = std::make_unique<httplib::Client>(mHost, mPort);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

auto HttpClientPool::Return(std::unique_ptr<httplib::Client> aClient) -> void
{
  const absl::MutexLock lock(&mMutex);
  if (mIdle.size() < kMaxIdle) {
    mIdle.push_back(std::move(aClient));
  }
}

auto HttpClientPool::Call(const std::string& aTarget,
                          const std::string* aJson,
                          TimePoint aDeadline)
  -> Result<std::string, PlatformError>
{
  const auto left = aDeadline - Clock::now();
  if (left <= Duration::zero()) {
    return Err(PlatformError{ Kind::NotSent, "deadline passed" });
  }
  auto client = Borrow();
  SetTimeouts(*client, left);
  std::string body;
  const auto receive = [&body, aDeadline](const char* aData,
                                          std::size_t aSize) {
    body.append(aData, aSize);
    return body.size() <= kMaxAnswer && Clock::now() < aDeadline;
  };
  httplib::Request request;
  request.method = aJson == nullptr ? "GET" : "POST";
  request.path = aTarget;
  if (aJson != nullptr) {
    request.body = *aJson;
    request.set_header("Content-Type", "application/json");
  }
  request.content_receiver = [&receive](const char* aData,
                                        std::size_t aSize,
                                        std::uint64_t,
                                        std::uint64_t) {
    return receive(aData, aSize);
  };
  const auto result = client->send(request);
  if (!result) {
    return Err(Failure(result.error())); // the connection is closed with it
  }
  const auto status = result->status;
  Return(std::move(client));
  if (status != 200) {
    return Err(StatusError(status));
  }
  return body;
}

auto HttpClientPool::Fetch(const std::string& aTarget, TimePoint aDeadline)
  -> Result<std::string, PlatformError>
{
  return Call(aTarget, nullptr, aDeadline);
}

auto HttpClientPool::Post(const std::string& aTarget,
                          const std::string& aJson,
                          TimePoint aDeadline)
  -> Result<std::string, PlatformError>
{
  return Call(aTarget, &aJson, aDeadline);
}

} // namespace mangovalve
