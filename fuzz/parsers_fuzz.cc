// Property-based fuzzing of every parser that meets bytes from outside: valid
// inputs are damaged at random and parsed under the address and
// undefined-behavior sanitizers. A run repeats exactly from its seed.
//
// Usage: mangovalve_fuzz [RUNS [SEED]]. Exits with 1 after a failed property;
// a sanitizer's finding ends the process.
#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <limits>
#include <sstream>
#include <string>
#include <vector>

#include "mangovalve/base/property.h"
#include "mangovalve/batch/flatbuffers_table.h"
#include "mangovalve/loop/message_parser.h"
#include "mangovalve/loop/request_check.h"
#include "mangovalve/online/event_stream.h"
#include "mangovalve/peer/state_copy_generated.h"
#include "mangovalve/serving/fleet_load.h"
#include "mangovalve/serving/suspect_exchange.h"
#include "platform/document.h"
#include "platform/messages.h"
#include "platform/store.h"

namespace mangovalve {
namespace {

struct Target
{
  const char* mName;
  std::vector<std::string> mValid; // inputs to damage
  std::function<auto(const std::string&)->bool> mHolds;
};

// One change of an input: its kind, where, and with what.
using Damage = std::tuple<std::uint8_t, std::uint32_t, std::uint32_t>;

// Replaces the first number at or after aFrom.
auto ReplaceNumber(std::string& aText,
                   std::size_t aFrom,
                   const std::string& aNumber) -> void
{
  const auto begin = aText.find_first_of("0123456789", aFrom);
  if (begin != std::string::npos) {
    const auto end = aText.find_first_not_of("0123456789", begin);
    aText.replace(
      begin, (end == std::string::npos ? aText.size() : end) - begin, aNumber);
  }
}

auto Apply(std::string aText, const std::vector<Damage>& aDamages)
  -> std::string
{
  static const std::vector<std::string> kTokens = {
    "-1",       "1e308",
    "null",     "{",
    "[[[[",     "\"",
    "\\u0000",  "\n\n",
    "\r\n",     std::string(5, '\0'),
    "\xff\xfe", "18446744073709551616"
  };
  for (const auto& [kind, where, what] : aDamages) {
    const auto at = aText.empty() ? 0 : where % aText.size();
    const auto length = std::min<std::size_t>(what % 24, aText.size() - at);
    switch (kind % 6) {
      case 0:
        if (!aText.empty()) {
          aText[at] = static_cast<char>(what);
        }
        break;
      case 1:
        aText.erase(at, length);
        break;
      case 2:
        aText.insert(at, aText.substr(at, length));
        break;
      case 3:
        aText.insert(at, kTokens[what % kTokens.size()]);
        break;
      case 4:
        ReplaceNumber(aText, at, kTokens[what % kTokens.size()]);
        break;
      default:
        aText.resize(at);
    }
  }
  return aText;
}

auto SplitsAlike(const std::string& aText) -> bool
{
  EventSplitter whole;
  const auto events = SplitEvents(whole, aText);
  EventSplitter bytes;
  std::string joined;
  std::size_t count = 0;
  for (const auto byte : aText) {
    for (const auto& event : SplitEvents(bytes, std::string_view(&byte, 1))) {
      joined += event.mText;
      joined += EventData(event);
      static_cast<void>(IsProgress(event));
      ++count;
    }
  }
  std::string expected;
  for (const auto& event : events) {
    expected += event.mText;
    expected += EventData(event);
  }
  return count == events.size() && joined == expected &&
         bytes.mPartial == whole.mPartial;
}

auto ReadsRecords(const std::string& aBytes) -> bool
{
  const auto records = platform::DecodeRecords(aBytes, 7);
  std::size_t size = 0;
  for (std::size_t i = 0; i < records.size(); ++i) {
    size += records[i].mKey.size() + records[i].mValue.size();
    if (records[i].mOffset != 7 + i) {
      return false;
    }
  }
  return size <= aBytes.size();
}

auto ReadsDocument(const std::string& aBytes) -> bool
{
  const auto document = platform::ReadDocument(aBytes);
  return !document || document->mLimits.mIdleTimeout.count() >= 0;
}

auto ReadsRegistration(const std::string& aBytes) -> bool
{
  const auto registration = platform::ReadRegistration("id", aBytes);
  return platform::SameRegistration(aBytes, aBytes) &&
         (!registration || registration->mSlots >= 1);
}

// Parses one request; returns the number of bytes that belong to it, or zero if
// it is not whole.
auto ParseRequest(const std::string& aBytes, Request& aInto) -> std::size_t
{
  RequestParser parser;
  parser.header_limit(std::numeric_limits<std::uint32_t>::max());
  parser.eager(true);
  ErrorCode error;
  std::size_t used = 0;
  while (!error && !parser.is_done() && used < aBytes.size()) {
    const auto count = parser.put(
      asio::buffer(aBytes.data() + used, aBytes.size() - used), error);
    used += count;
    if (count == 0) {
      break;
    }
  }
  if (error || !parser.is_done()) {
    return 0;
  }
  aInto = parser.release();
  return used;
}

auto Trimmed(beast::string_view aText) -> beast::string_view
{
  const auto* kBlank = " \t";
  const auto begin = aText.find_first_not_of(kBlank);
  return begin == beast::string_view::npos
           ? beast::string_view()
           : aText.substr(begin, aText.find_last_not_of(kBlank) + 1 - begin);
}

auto SameRequest(const Request& aLeft, const Request& aRight) -> bool
{
  return aLeft.method_string() == aRight.method_string() &&
         aLeft.target() == aRight.target() && aLeft.body() == aRight.body() &&
         std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const auto& aField, const auto& aOther) {
                      return aField.name_string() == aOther.name_string() &&
                             Trimmed(aField.value()) == Trimmed(aOther.value());
                    });
}

// Whether a request that the client writes is read as that request alone.
auto ReadsBack(const Request& aRequest) -> bool
{
  if (CheckRequest(aRequest)) {
    return true; // it is not written
  }
  std::ostringstream text;
  text << aRequest;
  Request read;
  const auto used = ParseRequest(text.str() + "GET / HTTP/1.1\r\n\r\n", read);
  return used == text.str().size() && SameRequest(aRequest, read);
}

// Builds requests with arbitrary text in each place.
auto WritesRequests(const std::string& aBytes) -> bool
{
  auto holds = true;
  for (auto place = 0; place < 5; ++place) {
    Request request(http::verb::post, "/a", 11);
    request.body() = aBytes;
    request.content_length(aBytes.size());
    switch (place) {
      case 0:
        request.method_string(aBytes);
        break;
      case 1:
        request.target(aBytes);
        break;
      case 2:
        request.insert(aBytes, "value");
        break;
      case 3:
        request.insert("Name", aBytes);
        break;
      default:
        request.insert(http::field::content_length, aBytes);
    }
    holds = holds && ReadsBack(request);
  }
  return holds;
}

// Whether what a caller has sent can be passed on.
auto PassesOn(const std::string& aBytes) -> bool
{
  static const auto kProtocol = platform::MakeProtocol();
  Request request;
  if (ParseRequest(aBytes, request) == 0) {
    return true;
  }
  const auto passed = kProtocol.mEndpointRequest(request, DispatchMetadata{});
  return !CheckRequest(passed) && ReadsBack(passed);
}

auto ReadsSubmission(const std::string& aBytes) -> bool
{
  static const auto kProtocol = platform::MakeProtocol();
  Request request(http::verb::post, "/lex/1", 11);
  request.body() = aBytes;
  const auto job = kProtocol.mReadSubmission(request);
  if (!job) {
    return true;
  }
  return !job->items.empty() &&
         std::all_of(
           job->items.begin(), job->items.end(), [&](const auto& aItem) {
             const auto passed =
               kProtocol.mItemRequest("h", *aItem, DispatchMetadata{});
             return !CheckRequest(passed) && ReadsBack(passed);
           });
}

// Reads a request and a response head whose targets and fields are arbitrary.
auto ReadsMetadata(const std::string& aBytes) -> bool
{
  static const auto kProtocol = platform::MakeProtocol();
  RequestHead request;
  request.method(http::verb::get);
  request.target(aBytes);
  ResponseHead response;
  for (const auto* name : { "Request-Id",
                            "Deadline-Ms",
                            "Last-Event-Id",
                            "Wait-Ms",
                            "Server-Load",
                            "Host",
                            "Not-Run" }) {
    request.set(name, aBytes);
    response.set(name, aBytes);
  }
  static_cast<void>(kProtocol.mReadRequest(request));
  static_cast<void>(kProtocol.mReadJobCall(request));
  const auto metadata = kProtocol.mReadResponse(response);
  return metadata.mId.size() <= aBytes.size();
}

// Returns whether memory stays bounded.
auto AppliesEvidence(const wire::CrashEvidenceT* aEvidence) -> bool
{
  const SuspectPolicy policy;
  CrashSuspects suspects;
  if (aEvidence != nullptr) {
    ApplyEvidence(suspects, policy, *aEvidence, "host", TimePoint{});
  }
  return suspects.mRuns.size() <= kMaxRunsSent &&
         suspects.mQuarantines.size() <= policy.mMaxQuarantines;
}

auto AppliesReport(const std::string& aBytes) -> bool
{
  const auto* data = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  FleetLoad fleet;
  auto bounded = true;
  flatbuffers::Verifier verifier(data, aBytes.size());
  if (wire::VerifyLoadReportBuffer(verifier)) {
    wire::LoadReportT report;
    wire::GetLoadReport(data)->UnPackTo(&report);
    bounded = AppliesEvidence(report.evidence.get());
    ApplyReport(fleet, std::move(report), TimePoint{});
  }
  flatbuffers::Verifier summaryVerifier(data, aBytes.size());
  if (wire::VerifyDomainSummaryBuffer(summaryVerifier)) {
    wire::DomainSummaryT summary;
    wire::GetDomainSummary(data)->UnPackTo(&summary);
    bounded = bounded && AppliesEvidence(summary.evidence.get());
    ApplySummary(fleet, std::move(summary), "own", TimePoint{});
  }
  MarkUnresponsive(fleet, TimePoint::max());
  return bounded && fleet.mInFlight.empty() && fleet.mWaiting.empty();
}

auto CopiesState(const std::string& aBytes) -> bool
{
  const auto copy = UnpackTable<wire::StateCopy>(aBytes);
  return !copy || copy->document.size() <= aBytes.size();
}

auto Evidence() -> std::unique_ptr<wire::CrashEvidenceT>
{
  auto evidence = std::make_unique<wire::CrashEvidenceT>();
  auto& run =
    evidence->runs.emplace_back(std::make_unique<wire::CrashedRunCopyT>());
  run->id = 1;
  run->age_ms = 2;
  run->parts = { 3, 4 };
  evidence->starts.emplace_back(4, 1);
  auto& quarantine = evidence->quarantines.emplace_back(
    std::make_unique<wire::QuarantineCopyT>());
  quarantine->parts = { 5, 6 };
  quarantine->age_ms = 7;
  quarantine->remaining_ms = 80000;
  return evidence;
}

auto PackedReport() -> std::string
{
  wire::LoadReportT report;
  report.host = "10.0.0.1:1";
  report.domain = "a";
  report.endpoints.emplace_back(1, 2, 3);
  report.queues.emplace_back(4, 5);
  report.teams.emplace_back(6, 7, 8);
  report.partitions.emplace_back(9, 10);
  report.evidence = Evidence();
  flatbuffers::FlatBufferBuilder builder;
  wire::FinishLoadReportBuffer(builder,
                               wire::LoadReport::Pack(builder, &report));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

auto PackedSummary() -> std::string
{
  wire::DomainSummaryT summary;
  summary.host = "10.0.0.1:1";
  summary.domain = "b";
  summary.hosts = { "10.0.0.1:1", "10.0.0.2:1" };
  summary.endpoints.emplace_back(1, 2, 3);
  summary.teams.emplace_back(6, 7, 8);
  summary.partitions.emplace_back(9, 10, 1);
  summary.evidence = Evidence();
  flatbuffers::FlatBufferBuilder builder;
  wire::FinishDomainSummaryBuffer(builder,
                                  wire::DomainSummary::Pack(builder, &summary));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

auto PackedState() -> std::string
{
  wire::StateCopyT copy;
  copy.document = { 1, 2, 3 };
  auto record = std::make_unique<wire::RecordCopyT>();
  record->key = "k";
  record->value = { 4, 5 };
  copy.endpoints.push_back(std::move(record));
  return PackTable<wire::StateCopy>(copy);
}

auto Targets() -> std::vector<Target>
{
  return {
    { "events",
      { "id: 1\ndata: a\n\nid:2\r\ndata:b\r\n\r\n: c\n\n" },
      SplitsAlike },
    { "records",
      { platform::EncodeRecords({ { "key", "value", 0 }, { "k", "", 0 } }) },
      ReadsRecords },
    { "document",
      { R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/",)"
        R"("kind":"batch","timeoutMs":5000,"sloMs":300,"maxAttempts":3,)"
        R"("backends":[{"service":"s","weight":9}],"maxQueueS":60}],)"
        R"("services":[{"name":"s","maxConns":9,"engine":{"capacity":8}}],)"
        R"("limits":{"idleTimeoutMs":900},"tenants":[{"name":"t",)"
        R"("apiKeys":["k"],"priority":1,"ratePerS":5,"burst":5}]})" },
      ReadsDocument },
    { "registration",
      { R"({"service":"s","address":"1.2.3.4:5","zone":"z","capacity":8,)"
        R"("state":"ready","sequence":4,"born":1700000000000})" },
      ReadsRegistration },
    { "submission",
      { R"({"items":[{"id":"i","path":"/lex/3","headers":{"Model":"m"},)"
        R"("body":"q83vEjRWeJA=","tokens":940}]})" },
      ReadsSubmission },
    { "written",
      { "GET", "/lex/3?a=b", "Content-Length", "3", " a; b=\"c\" " },
      WritesRequests },
    { "passed on",
      { "POST /lex/3?a=b HTTP/1.1\r\nHost: h\r\nModel: m\r\n"
        "Content-Length: 4\r\n\r\nbody",
        "POST / HTTP/1.1\r\nHost: h\r\nConnection: x, close\r\nX: \xe9\r\n"
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "TRACE /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n" },
      PassesOn },
    { "metadata",
      { "/api/lots/7c41?after=12", "/api/items/7c41?id=e5", "3,0,8", "500" },
      ReadsMetadata },
    { "report", { PackedReport(), PackedSummary() }, AppliesReport },
    { "state", { PackedState() }, CopiesState },
  };
}

auto Fuzz(const Target& aTarget, int aRuns, std::uint64_t aSeed) -> bool
{
  const auto holds = CheckSeeded(aSeed, aRuns, [&] {
    const auto& valid =
      aTarget
        .mValid[*rc::gen::arbitrary<std::uint8_t>() % aTarget.mValid.size()];
    const auto damages = *rc::gen::arbitrary<std::vector<Damage>>();
    const auto input = Apply(valid, damages);
    RC_ASSERT(aTarget.mHolds(input));
  });
  std::cout << "target=" << aTarget.mName << " runs=" << aRuns
            << " seed=" << aSeed << " ok=" << (holds ? "true" : "false")
            << std::endl;
  return holds;
}

} // namespace
} // namespace mangovalve

auto main(int argc, char** argv) -> int
{
  constexpr int kDefaultRuns = 5000;
  constexpr std::uint64_t kDefaultSeed = 20261204;
  const auto runs = argc > 1 ? std::atoi(argv[1]) : kDefaultRuns;
  const auto seed =
    argc > 2 ? std::strtoull(argv[2], nullptr, 10) : kDefaultSeed;
  auto failed = 0;
  const auto targets = mangovalve::Targets();
  for (const auto& target : targets) {
    failed += mangovalve::Fuzz(target, runs, seed) ? 0 : 1;
  }
  std::cout << targets.size() - static_cast<std::size_t>(failed) << " passed, "
            << failed << " failed" << std::endl;
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
