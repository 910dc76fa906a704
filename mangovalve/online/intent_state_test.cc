// Tests of intents: a key is run at most once, whichever attempts are killed at
// any step.
#include "mangovalve/online/intent_state.h"

#include <array>
#include <functional>

#include <doctest/doctest.h>

#include "mangovalve/base/random.h"
#include "mangovalve/online/harness_test.h"
#include "mangovalve/online/idempotency.h"

namespace mangovalve {
namespace {

using testing::Echo;
using testing::ErrorField;
using testing::FakeEndpoint;
using testing::FakeJournal;
using testing::FakeRequest;
using testing::Harness;

auto IntentRecord(const std::string& aKey) -> RecordDraft
{
  RecordDraft draft;
  draft.mType = record::RecordBody::RequestIntent;
  draft.mBuild = [=](flatbuffers::FlatBufferBuilder& aBuilder) {
    return record::CreateRequestIntentDirect(
             aBuilder, "team", aKey.c_str(), "route", "host", "digest")
      .Union();
  };
  return draft;
}

auto OutcomeRecord(const std::string& aKey,
                   Offset aIntent,
                   const std::string& aBody) -> RecordDraft
{
  RecordDraft draft;
  draft.mType = record::RecordBody::RequestOutcome;
  draft.mBuild = [=](flatbuffers::FlatBufferBuilder& aBuilder) {
    return record::CreateRequestOutcomeDirect(aBuilder,
                                              "team",
                                              aKey.c_str(),
                                              aIntent,
                                              200,
                                              "text/plain",
                                              aBody.c_str())
      .Union();
  };
  return draft;
}

// One request as a state machine over the replayed state. It may be killed
// before any step.
struct Attempt
{
  FakeJournal* mJournal = nullptr;
  int* mRuns = nullptr;
  int mStep = 0;
  std::optional<RecordContext> mOwn;
  bool mDone = false;
  bool mKilled = false;
  std::string mReply;

  auto Step() -> void
  {
    using Do = IdempotencyDecision::Step;
    const auto decision =
      DecideIdempotency(mJournal->Find("team", "k"), "digest", mOwn);
    switch (mStep++) {
      case 0: // look up the intent, and commit one if there is none
      case 1: // look it up again after reading the verdict, and dispatch
        if (decision.mStep == Do::ReturnOutcome) {
          Reply(decision.mOutcome.mBody);
        } else if (decision.mStep == Do::CommitIntent && mStep == 1) {
          const auto committed = mJournal->Commit(IntentRecord("k"));
          if (committed && committed->mVerdict.mAccepted) {
            mOwn = committed->mContext;
          }
        } else if (decision.mStep == Do::Dispatch) {
          ++*mRuns;
        } else {
          Reply("unknown");
        }
        return;
      default: // record the outcome and answer
        static_cast<void>(
          mJournal->Commit(OutcomeRecord("k", mOwn->mOffset, "answer")));
        Reply("answer");
    }
  }
  auto Reply(const std::string& aText) -> void
  {
    mReply = aText;
    mDone = true;
  }
  auto Active() const -> bool { return !mDone && !mKilled; }
};

// Guards against a second run after a crash, a resend through another host, or
// concurrent requests with the same key. Covers every interleaving of three
// attempts of up to three steps, with every combination of kills.
TEST_CASE("a key is run at most once in every interleaving with kills")
{
  auto schedules = 0;
  // A schedule is a sequence of 9 choices among 3 attempts (base 3), and for
  // each attempt the step before which it is killed (3: never).
  for (auto order = 0; order < 19683; ++order) {
    for (auto kills = 0; kills < 64; ++kills) {
      FakeJournal journal;
      auto runs = 0;
      std::array<Attempt, 3> attempts;
      for (auto& attempt : attempts) {
        attempt.mJournal = &journal;
        attempt.mRuns = &runs;
      }
      auto choice = order;
      for (auto i = 0; i < 9; ++i, choice /= 3) {
        const auto index = static_cast<std::size_t>(choice % 3);
        auto& attempt = attempts[index];
        const auto killAt = (kills >> (2 * index)) & 3;
        attempt.mKilled = attempt.mKilled || attempt.mStep == killAt;
        if (attempt.Active()) {
          attempt.Step();
        }
      }
      ++schedules;
      if (runs > 1) {
        FAIL("ran " << runs << " times, order " << order << " kills " << kills);
      }
      // An answer implies that there was a run.
      for (const auto& attempt : attempts) {
        if (attempt.mReply == "answer" && runs != 1) {
          FAIL("answer without a run, order " << order);
        }
      }
      // A later resend never runs it a second time.
      Attempt resend;
      resend.mJournal = &journal;
      resend.mRuns = &runs;
      while (resend.Active()) {
        resend.Step();
      }
      if (runs > 1) {
        FAIL("resend ran it again, order " << order << " kills " << kills);
      }
    }
  }
  CHECK(schedules == 19683 * 64);
}

TEST_CASE("only the first intent of a key and its first outcome are accepted")
{
  FakeJournal journal;
  const auto first = journal.Commit(IntentRecord("a"));
  REQUIRE(first);
  CHECK(first->mVerdict.mAccepted);
  const auto second = journal.Commit(IntentRecord("a"));
  CHECK(second->mVerdict.mReason == "intent_exists");
  CHECK(second->mVerdict.mDetail == first->mContext.mOffset);
  CHECK(journal.Commit(OutcomeRecord("a", 99, "x"))->mVerdict.mReason ==
        "no_such_intent");
  const auto offset = first->mContext.mOffset;
  CHECK(journal.Commit(OutcomeRecord("a", offset, "x"))->mVerdict.mAccepted);
  CHECK(journal.Commit(OutcomeRecord("a", offset, "y"))->mVerdict.mReason ==
        "outcome_exists");
  CHECK(journal.Find("team", "a")->mOutcome->mBody == "x");
}

// Guards against memory use that grows with the age of the log.
TEST_CASE("intents and bodies are bounded by log time and size")
{
  FakeJournal journal;
  const auto big = std::string(kMaxOutcomeBodyBytes, 'x');
  for (auto i = 0; i < 600; ++i) {
    const auto key = "k" + std::to_string(i);
    const auto offset = journal.Commit(IntentRecord(key))->mContext.mOffset;
    static_cast<void>(
      journal.Commit(OutcomeRecord(key, offset, i % 7 == 0 ? big + "x" : big)));
    CHECK(journal.mState.mKeptBodyBytes <= kMaxKeptBodyBytes);
  }
  CHECK_FALSE(journal.Find("team", "k0")->mOutcome->mBodyKept); // too large
  CHECK_FALSE(journal.Find("team", "k1")->mOutcome->mBodyKept); // oldest
  CHECK(journal.Find("team", "k599")->mOutcome->mBodyKept);
  CHECK(journal.Find("team", "k1")->mOutcome->mStatus == 200);
  journal.mTime += kIntentRetention + std::chrono::milliseconds(1);
  static_cast<void>(journal.Commit(IntentRecord("new")));
  CHECK(journal.mState.mIntents.size() == 1);
  CHECK(journal.mState.mKeysInLogOrder.size() == 1);
  CHECK(journal.mState.mKeysWithBody.empty());
  CHECK(journal.mState.mKeptBodyBytes == 0);
}

// Guards against a state that differs after a restart from a snapshot.
TEST_CASE("a saved state is restored, and a truncated one is rejected")
{
  FakeJournal journal;
  for (const auto* const key : { "b", "a", "c" }) {
    const auto offset = journal.Commit(IntentRecord(key))->mContext.mOffset;
    if (key[0] != 'a') {
      static_cast<void>(
        journal.Commit(OutcomeRecord(key, offset, "\xff\xfe body")));
    }
  }
  const auto saved = Save(journal.mState);
  IntentState loaded;
  REQUIRE(Load(saved, loaded));
  CHECK(loaded.mIntents == journal.mState.mIntents);
  CHECK(loaded.mKeysInLogOrder == journal.mState.mKeysInLogOrder);
  CHECK(loaded.mKeysWithBody == journal.mState.mKeysWithBody);
  CHECK(loaded.mKeptBodyBytes == journal.mState.mKeptBodyBytes);
  CHECK(Save(loaded) == saved);
  for (std::size_t size = 1; size < saved.size(); ++size) {
    CHECK_FALSE(Load(std::string_view(saved).substr(0, size), loaded));
  }
}

// Sends POST /orders with a key.
auto SendKeyed(const Harness& aHarness,
               const std::string& aKey,
               const std::string& aBody = "{}") -> httplib::Result
{
  return aHarness.Post("/orders", aBody, { { "Idempotency-Key", aKey } });
}

TEST_CASE("a resend with a key returns the first answer without a second run")
{
  const Harness harness({ Echo, Echo });
  const auto first = SendKeyed(harness, "k", "{\"n\":1}");
  REQUIRE(first);
  CHECK(first->status == 200);
  const auto second = SendKeyed(harness, "k", "{\"n\":1}");
  REQUIRE(second);
  CHECK(second->body == first->body);
  CHECK(second->get_header_value("Idempotency-Replayed") == "true");
  const auto other = SendKeyed(harness, "k", "{\"n\":2}");
  CHECK(other->status == 422);
  CHECK(ErrorField(other, "run") == "not_run");
  CHECK(harness.RequestsReceived() == 1);
}

TEST_CASE("a resend after a missing answer returns outcome_unknown")
{
  const Harness harness(
    { [](FakeEndpoint::Connection& aConnection, const FakeRequest&) {
      aConnection.mClose = true;
    } });
  CHECK(ErrorField(SendKeyed(harness, "k"), "run") == "unknown");
  const auto resend = SendKeyed(harness, "k");
  CHECK(resend->status == 409);
  CHECK(ErrorField(resend, "reason") == "outcome_unknown");
  CHECK(harness.RequestsReceived() == 1);
}

// Guards against "not run" for a request that is run, and against a run without
// a recorded intent, for every way in which the journal can fail.
TEST_CASE("a request with a key is not run while the journal fails")
{
  Harness harness({ Echo });
  for (const auto behavior : { FakeJournal::CommitBehavior::NotAppended,
                               FakeJournal::CommitBehavior::UnknownNotApplied,
                               FakeJournal::CommitBehavior::UnknownApplied }) {
    harness.mJournal.mCommitBehavior = behavior;
    const auto result =
      SendKeyed(harness, "k" + std::to_string(static_cast<int>(behavior)));
    CHECK(result->status == 503);
    CHECK(ErrorField(result, "reason") == "journal_unavailable");
    CHECK(ErrorField(result, "run") == "not_run");
  }
  harness.mJournal.mCommitBehavior = FakeJournal::CommitBehavior::Applied;
  CHECK(SendKeyed(harness, "k3")->status == 409); // UnknownApplied: not run
  CHECK(harness.RequestsReceived() == 0);
}

} // namespace
} // namespace mangovalve
