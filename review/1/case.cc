// A tenant submits a batch job of 200 items with ordinary headers, which makes
// the job's record larger than the store takes.
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "review/common/fleet.h"

namespace mangovalve::review {
namespace {

constexpr std::size_t kMostItems = 200;  // of one job, by the users' page
constexpr std::size_t kSmall = 20;       // items of the job before
constexpr std::size_t kParts = 120;      // shared ones of each prompt
constexpr auto kSubmitFor = seconds(25); // attempts at the large job
constexpr auto kSettle = seconds(1);     // settleMs
constexpr auto kFinish = seconds(18);    // finishS
constexpr auto kPause = milliseconds(500);

// The header that lists the parts of a prompt: "ID:TOKENS,...".
auto PromptParts(std::size_t aItem) -> std::string
{
  std::string parts;
  for (std::size_t i = 0; i < kParts; ++i) {
    absl::StrAppendFormat(
      &parts, "%s%08x:10", i == 0 ? "" : ",", 0x5c1e0700 + i);
  }
  return absl::StrCat(parts, absl::StrFormat(",%08x:50", 0x9c2e4100 + aItem));
}

// Gives each item a prompt of many shared parts.
auto EnlargeHeaders(Json& aItems) -> void
{
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    aItems[i]["headers"]["Prompt-Prefix"] = PromptParts(i);
    aItems[i]["headers"]["Token-Usage"] = "1250,194";
    aItems[i]["tokens"] = 1444;
  }
}

// Results of the job that a client can read; nothing if none answers.
auto CountResults(Fleet& aFleet, const std::string& aTenant, std::string aJob)
  -> Task<std::optional<std::size_t>>
{
  const auto reply =
    co_await aFleet.ReadResults(aFleet.mDaemons.back(), aTenant, aJob);
  const auto page = Json::parse(reply.mBody, nullptr, false);
  if (reply.mStatus != 200 || !page.is_object()) {
    co_return std::nullopt;
  }
  co_return page["results"].size();
}

auto RunIt(Fleet& aFleet) -> Task<int>
{
  standin::EndpointOptions options;
  options.mEvents = 194; // as of the users' lexicon-batch, 20 ms each
  options.mPerEvent = milliseconds(20);
  for (int i = 0; i < 6; ++i) {
    options.mId = absl::StrCat("i-", i);
    aFleet.AddReplica("hint-llm", options);
  }
  const auto started = co_await aFleet.Start();
  if (!started) {
    co_return kCouldNotRun;
  }
  co_await SleepUntil(Clock::now() + seconds(2));
  // Named objects, because g++ 12 destroys some temporaries of an awaited call
  // twice.
  const std::string tenant = "amber";
  const std::string first = "first-1";
  const std::string second = "second-1";
  const auto small = MakeItems(first, kSmall);
  const auto accepted = co_await aFleet.SubmitUntilAccepted(
    tenant, first, small, Clock::now() + kSubmitFor);
  if (!accepted) {
    co_return kCouldNotRun;
  }
  auto items = MakeItems(second, kMostItems);
  if (Fleet::Trouble()) {
    EnlargeHeaders(items);
  }
  co_await aFleet.SubmitUntilAccepted(
    tenant, second, items, Clock::now() + kSubmitFor);
  const auto until = Clock::now() + kFinish + kSettle;
  std::optional<std::size_t> results;
  while (Clock::now() < until) {
    results = co_await CountResults(aFleet, tenant, first);
    if (results == kSmall) {
      break;
    }
    co_await SleepUntil(Clock::now() + kPause);
  }
  std::uint32_t running = 0;
  for (const auto& replica : aFleet.mReplicas) {
    running += replica.mRunning;
  }
  aFleet.Record(absl::StrCat("items that replicas still run: ", running));
  if (results != kSmall) {
    aFleet.Break(absl::StrCat("LOST: of ",
                              kSmall,
                              " items accepted with 202, ",
                              results.value_or(0),
                              " are listed"));
  }
  co_return aFleet.Verdict();
}

} // namespace
} // namespace mangovalve::review

auto main() -> int
{
  return mangovalve::review::RunCase({}, mangovalve::review::RunIt);
}
