// An endpoint of the users' platform on loopback: a model engine that streams
// events and resumes, or a plain service. It counts what it ran and misbehaves
// on request.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "mangovalve/loop/http_server.h"

namespace mangovalve::standin {

struct EndpointOptions
{
  std::string mId;
  std::uint32_t mSlots = 8;
  std::uint32_t mQueue = 24; // more requests are refused as not run
  bool mStreams = true;      // a model engine; otherwise a plain service
  std::uint32_t mEvents = 8; // of a whole stream
  Duration mPerEvent = std::chrono::milliseconds(4);
  Duration mRecovery = std::chrono::milliseconds(300); // after a crash
  Duration mWork = std::chrono::milliseconds(10);      // of a plain request
  bool mHeadFirst = false; // sends the head of a stream before its first event
};

struct EndpointFaults
{
  bool mSilent = false;            // takes requests and never answers
  std::uint32_t mCutAfter = 0;     // breaks streams off after so many events
  bool mCutWithinEvent = false;    // and in the middle of the next one
  std::uint32_t mStrayAnswers = 0; // second answers to the next requests
  unsigned mStatus = 0;            // answers with it, signed, after running
  bool mRefuse = false;            // refuses as not run
  bool mRefuseFirst = false;       // likewise, each id when it first arrives
  unsigned mRefusalStatus = 503;   // of these refusals
  // Writes a copy of a refusal just before the next answer on the connection.
  bool mCopyRefusals = false;
  bool mUnsigned = false;          // successes without a signature
  std::set<std::string> mHopeless; // ids answered as impossible
  // Crashes instead of sending the first event of a request whose prompt has
  // this part, unless it is empty.
  std::string mDeadlyPart;
  // Crashes instead of answering a plain request with this body, unless empty.
  std::string mDeadlyBody;
  std::vector<std::string> mLimits; // values of the header that limits its rate
  bool mLeaving = false;            // says in its responses that it is leaving
};

struct EndpointRun
{
  std::string mId;
  std::string mTeam;
  std::uint64_t mFrom = 0; // first event that was asked for
  bool mKeySeen = false;   // the caller's key came along
  TimePoint mAt;
  TimePoint mEndedAt; // zero while it runs
};

class EndpointServer
{
public:
  EndpointServer(asio::io_context& aLoop, EndpointOptions aOptions);

  auto Listen(const std::string& aAddress) -> ErrorCode;

  // Closes the listener and all connections at once, without another byte, and
  // listens again at aUntil.
  auto Crash(TimePoint aUntil) -> void;

  // Resets the connections on which requests run.
  auto ResetConnections() -> void;

  // Times that the request with this id was run.
  auto RunsOf(const std::string& aId) const -> std::size_t;

  EndpointOptions mOptions;
  EndpointFaults mFaults;
  // Until then it neither sends anything nor notices a closed connection.
  TimePoint mSilentUntil{};
  std::vector<EndpointRun> mRuns;
  std::vector<TimePoint> mArrivals; // of all requests, refused ones too
  std::uint32_t mRunning = 0;
  std::uint32_t mMostRunning = 0;
  std::uint32_t mCancelled = 0; // runs whose sender left before their end
  std::uint32_t mCrashes = 0;
  std::uint32_t mCopiesSent = 0; // of refusals

private:
  auto Handle(CallerPtr aCaller, std::shared_ptr<Request> aRequest) -> Task<>;
  auto Refuse(CallerPtr aCaller, unsigned aStatus, const std::string& aId)
    -> Task<>;
  // Writes the copy of the last refusal on the connection, if there is one.
  auto RepeatRefusal(CallerPtr aCaller) -> Task<>;
  auto Run(CallerPtr aCaller, const Request& aRequest) -> Task<>;
  auto Answer(CallerPtr aCaller, const Request& aRequest) -> Task<>;
  // Waits for at least aTime, and until the endpoint is not silent.
  auto Work(Duration aTime) -> Task<>;
  auto Stream(CallerPtr aCaller, const Request& aRequest) -> Task<>;
  auto Recover(TimePoint aAt) -> Task<>;
  auto Head(const Request& aRequest, unsigned aStatus) const -> ResponseHead;
  // Adds what the endpoint says about its rate and its end.
  auto AddStatements(ResponseHead& aHead) const -> void;

  asio::io_context& mLoop;
  AsyncHttpServer mServer;
  std::string mAddress;
  std::set<CallerPtr> mCallers; // with a running request
  // Refusals of which a copy is due, by connection.
  std::map<std::weak_ptr<Caller>, Response, std::owner_less<>> mCopies;
  std::set<std::string> mRefusedOnce; // ids, with mRefuseFirst
  bool mDown = false;                 // between a crash and the recovery
};

// The data of event aNumber of the request, the same at every endpoint.
auto EventText(const std::string& aId, std::uint64_t aNumber) -> std::string;

// What a whole stream's data come to, joined by line feeds.
auto WholeOutput(const std::string& aId, std::uint32_t aEvents) -> std::string;

} // namespace mangovalve::standin
