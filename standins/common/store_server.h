// The platform's store on loopback: KeyedStore behind its HTTP calls, able to
// misbehave as the platform's pages say.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "mangovalve/base/random.h"
#include "mangovalve/loop/http_server.h"
#include "standins/common/keyed_store.h"

namespace mangovalve::standin {

enum class Outage
{
  None,
  Unavailable, // 503
  TooMany,     // 429
  Silent,      // no answer
  Reset,       // the connection is reset
};

struct StoreFaults
{
  Outage mOutage = Outage::None;
  std::set<std::string> mOnlyFor; // IPs turned away; empty: all
  Duration mDelay{};              // before each answer
  double mLoseAnswers = 0;        // share of appends done and not answered
  // Share of appends that are done this much later and not answered.
  double mLateAppends = 0;
  Duration mLateBy = std::chrono::seconds(2);
};

struct StoreCounts
{
  std::uint64_t mCalls = 0;
  std::uint64_t mAppends = 0;
  std::uint64_t mBytesIn = 0;
  std::uint64_t mBytesOut = 0;
};

class StoreServer
{
public:
  StoreServer(asio::io_context& aLoop, StoreLimits aLimits);

  auto Listen(const std::string& aAddress) -> ErrorCode;

  // Writes a keyed record as an operator or endpoint does.
  auto Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue) -> void;

  KeyedStore mStore;
  StoreFaults mFaults;
  StoreCounts mCounts;

private:
  auto Handle(CallerPtr aCaller, std::shared_ptr<Request> aRequest) -> Task<>;
  auto Misbehave(Caller& aCaller) -> Task<bool>;
  auto HandleAppend(Caller& aCaller, const Request& aRequest) -> Task<>;
  auto HandleRead(Caller& aCaller, const Request& aRequest) -> Task<>;
  auto Newest(const Request& aRequest) -> Response;
  auto JoinGroup(const Request& aRequest) -> Response;
  auto LeaveGroup(const Request& aRequest) -> Response;
  auto Send(Caller& aCaller, Response aResponse) -> Task<>;

  asio::io_context& mLoop;
  AsyncHttpServer mServer;
  Random mRandom;
  std::set<asio::steady_timer*> mReaders; // held reads, woken by appends
};

} // namespace mangovalve::standin
