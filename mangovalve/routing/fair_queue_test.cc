// Tests of the fair queue between teams.
#include "mangovalve/routing/fair_queue.h"

#include <doctest/doctest.h>

#include "mangovalve/base/random.h"

namespace mangovalve {
namespace {

const auto kStart = TimePoint(std::chrono::hours(1));
const auto kNever = TimePoint::max();

auto Put(FairQueue& aQueue,
         const std::string& aTeam,
         std::uint64_t aId,
         double aWork,
         double aWeight = 1,
         TimePoint aLatest = kNever) -> QueueVerdict
{
  return Enqueue(aQueue,
                 aTeam,
                 aWeight,
                 { aId, aWork, kNever, aLatest },
                 FairQueuePolicy{},
                 kStart);
}

auto TakeOne(FairQueue& aQueue, TimePoint aNow = kStart)
  -> std::optional<Ticket>
{
  std::vector<Ticket> expired;
  return Dequeue(aQueue, FairQueuePolicy{}, aNow, expired);
}

// Guards against a team that gets a larger share by sending more or longer
// requests.
TEST_CASE("work is shared by weight regardless of request size")
{
  FairQueue queue;
  // Ids below 1000 are of team a (short requests), below 2000 of b (long
  // ones), the others of c with double weight.
  for (std::uint64_t i = 0; i < 900; ++i) {
    Put(queue, "a", i, 50);
    Put(queue, "b", 1000 + i, 400);
    Put(queue, "c", 2000 + i, 100, 2);
  }
  std::map<std::uint64_t, double> served;
  auto total = 0.0;
  while (total < 80000) {
    const auto ticket = TakeOne(queue);
    REQUIRE(ticket);
    served[ticket->mId / 1000] += ticket->mWork;
    total += ticket->mWork;
  }
  CHECK(served[0] == doctest::Approx(total / 4).epsilon(0.05));
  CHECK(served[1] == doctest::Approx(total / 4).epsilon(0.05));
  CHECK(served[2] == doctest::Approx(total / 2).epsilon(0.05));
}

// Guards against an idle team whose request waits behind another's long queue.
TEST_CASE("a team that was idle is served within a round")
{
  FairQueue queue;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    Put(queue, "flood", i, 100);
  }
  static_cast<void>(TakeOne(queue));
  Put(queue, "quiet", 5000, 100);
  auto before = 0;
  while (TakeOne(queue)->mId != 5000) {
    ++before;
  }
  CHECK(before <= 3);
}

TEST_CASE("a ticket past its latest start is removed, not dispatched")
{
  FairQueue queue;
  Put(queue, "a", 1, 10, 1, kStart + std::chrono::seconds(1));
  Put(queue, "a", 2, 10);
  std::vector<Ticket> expired;
  const auto ticket = Dequeue(
    queue, FairQueuePolicy{}, kStart + std::chrono::seconds(2), expired);
  REQUIRE(ticket);
  CHECK(ticket->mId == 2);
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].mId == 1);
}

// Guards against requests that wait although they cannot be served in time, and
// against unnecessary rejections of a team with little queued work.
TEST_CASE("work that cannot start in time is rejected on arrival, per team")
{
  FairQueue queue;
  auto now = kStart;
  for (std::uint64_t i = 0; i < 400; ++i) {
    Put(queue, "flood", i, 100);
  }
  for (auto i = 0; i < 100; ++i) { // 1000 tokens per second
    static_cast<void>(TakeOne(queue, now));
    now += std::chrono::milliseconds(100);
  }
  const auto soon = kStart + std::chrono::seconds(5);
  CHECK(Put(queue, "flood", 1000, 100, 1, soon) == QueueVerdict::DeadlineUnmet);
  CHECK(Put(queue, "quiet", 1001, 100, 1, soon) == QueueVerdict::Queued);
}

// Guards against rejections in a burst after a period of low load, in which the
// dispatch rate was limited only by arrivals.
TEST_CASE("a low arrival rate is not mistaken for a low service rate")
{
  FairQueue queue;
  auto now = kStart;
  for (std::uint64_t i = 0; i < 100; ++i) {
    Put(queue, "a", i, 100);
    static_cast<void>(TakeOne(queue, now));
    now += std::chrono::seconds(10);
  }
  for (std::uint64_t i = 0; i < 10; ++i) {
    CHECK(Put(queue, "a", 200 + i, 100, 1, kStart + std::chrono::seconds(1)) ==
          QueueVerdict::Queued);
  }
}

// Guards against dropped or duplicated tickets and a wrong ticket count,
// whatever the order of calls.
TEST_CASE("no ticket is dropped or duplicated in random operations")
{
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    Random random{ seed };
    FairQueue queue;
    std::map<std::uint64_t, std::string> inside;
    std::uint64_t next = 1;
    for (auto step = 0; step < 300; ++step) {
      const auto team =
        std::string(1, static_cast<char>('a' + UniformBelow(random, 4)));
      switch (UniformBelow(random, 4)) {
        case 0:
        case 1:
          CHECK(Put(queue, team, next, 1 + 500 * Uniform(random)) ==
                QueueVerdict::Queued);
          inside[next++] = team;
          break;
        case 2:
          if (const auto ticket = TakeOne(queue)) {
            REQUIRE(inside.contains(ticket->mId));
            if (UniformBelow(random, 3) == 0) {
              Requeue(queue, inside[ticket->mId], 1, *ticket);
            } else {
              inside.erase(ticket->mId);
            }
          }
          break;
        default:
          if (!inside.empty()) {
            const auto [id, owner] = *inside.begin();
            CHECK(Remove(queue, owner, id));
            inside.erase(id);
          }
      }
      REQUIRE(queue.mTicketCount == inside.size());
    }
    while (const auto ticket = TakeOne(queue)) {
      REQUIRE(inside.erase(ticket->mId) == 1);
    }
    CHECK(inside.empty());
    CHECK(queue.mTeams.empty());
  }
}

} // namespace
} // namespace mangovalve
