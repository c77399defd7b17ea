// Verdicts and effects of ClusterState::Apply for each record type.
#include <gtest/gtest.h>

#include "state/state.h"

namespace tanagerseam {
namespace {

constexpr int kSlots = 4;

class ClusterStateTest : public testing::Test
{
protected:
  Verdict Write(const std::string& aHost, const RecordBody& aBody)
  {
    Record record{ { aHost, "1", ++this->sequences[aHost] }, aBody };
    this->last = record;
    this->outcome = this->state.Apply(this->offset++, record);
    return this->outcome.verdict;
  }

  // Two members; "a" owns every slot, all in the same epoch.
  void SetUp() override
  {
    this->Write("a", MemberJoined{ "z1", "", "", "" });
    this->Write("b", MemberJoined{ "z2", "", "", "" });
    SlotsClaimed claims;
    for (int slot = 0; slot < kSlots; ++slot) {
      claims.claims.push_back({ slot, 0 });
    }
    ASSERT_EQ(this->Write("a", claims), Verdict::kAccepted);
    this->epoch = this->state.Slots()[0].epoch;
  }

  ProgramOpened Opened(const std::string& aId, int64_t aBudget)
  {
    ProgramOpened body;
    body.program = aId;
    body.organisation = "stopa";
    body.budgetTokens = aBudget;
    body.maxTurns = 3;
    body.epoch = this->epoch;
    return body;
  }

  CallStarted Started(const std::string& aId,
                      int64_t aCall,
                      int64_t aAttempt,
                      int64_t aReserved)
  {
    return { aId, aCall, aAttempt, this->epoch, aReserved, true, "digest" };
  }

  CallFinished Finished(const std::string& aId,
                        int64_t aCall,
                        int64_t aAttempt,
                        int64_t aUsed)
  {
    CallFinished body;
    body.program = aId;
    body.call = aCall;
    body.attempt = aAttempt;
    body.previousDigest = this->state.Program(aId)->HeadDigest();
    body.answer = "answer " + std::to_string(aCall);
    body.usedTokens = aUsed;
    return body;
  }

  ClusterState state{ kSlots };
  int64_t offset = 0;
  int64_t epoch = 0;
  std::map<std::string, uint64_t> sequences;
  Record last;
  ApplyOutcome outcome;
};

TEST_F(ClusterStateTest, MembersRenewLeaveAndExpire)
{
  EXPECT_EQ(this->Write("a", MemberRenewed{ 2, true }), Verdict::kAccepted);
  const Member& a = this->state.Members().at("a");
  EXPECT_EQ(a.renewedOffset, 3);
  EXPECT_EQ(a.replayedOffset, 2);
  EXPECT_TRUE(a.draining);
  EXPECT_EQ(this->Write("x", MemberRenewed{}), Verdict::kNotMember);
  EXPECT_EQ(this->Write("x", MemberLeft{}), Verdict::kNotMember);
  {
    SCOPED_TRACE("an expiry counts only for the renewal it names");
    EXPECT_EQ(this->Write("b", MemberExpired{ "a", "1", 0 }),
              Verdict::kStaleRenewal);
    EXPECT_EQ(this->Write("b", MemberExpired{ "a", "0", 3 }),
              Verdict::kNotMember);
    EXPECT_EQ(this->Write("x", MemberExpired{ "a", "1", 3 }),
              Verdict::kNotMember);
    EXPECT_EQ(this->state.Slots()[0].owner, "a");
    EXPECT_EQ(this->Write("b", MemberExpired{ "a", "1", 3 }),
              Verdict::kAccepted);
    EXPECT_EQ(this->state.Slots()[0].owner, "");
  }
  EXPECT_EQ(this->Write("a", MemberRenewed{}), Verdict::kNotMember);
  EXPECT_EQ(this->Write("b", MemberLeft{}), Verdict::kAccepted);
  EXPECT_TRUE(this->state.Members().empty());
}

TEST_F(ClusterStateTest, SlotHasOneOwnerAndItsEpochNeverDecreases)
{
  EXPECT_EQ(this->Write("b", SlotsClaimed{ { { 0, this->epoch } } }),
            Verdict::kWrongEpoch);
  this->Write("b", SlotsReleased{ { 0 } });
  EXPECT_EQ(this->state.Slots()[0].owner, "a");
  this->Write("a", SlotsReleased{ { 0, -1, kSlots } });
  EXPECT_EQ(this->outcome.slots, std::vector<int>{ 0 });
  EXPECT_EQ(this->Write("x", SlotsClaimed{ { { 0, this->epoch } } }),
            Verdict::kNotMember);
  EXPECT_EQ(this->Write("b", SlotsClaimed{ { { 0, 0 } } }),
            Verdict::kWrongEpoch);
  SlotsClaimed mixed{ { { 0, this->epoch }, { 1, this->epoch }, { 99, 0 } } };
  EXPECT_EQ(this->Write("b", mixed), Verdict::kAccepted);
  EXPECT_EQ(this->outcome.slots, std::vector<int>{ 0 });
  EXPECT_GT(this->state.Slots()[0].epoch, this->epoch);
  EXPECT_EQ(this->state.Slots()[1].owner, "a");
}

TEST_F(ClusterStateTest, NewIncarnationFreesSlotsOfPreviousOne)
{
  MemberJoined body;
  body.replayedOffset = this->offset - 1;
  const Record join{ { "a", "2", 1 }, body };
  EXPECT_EQ(this->state.Apply(this->offset++, join).verdict,
            Verdict::kAccepted);
  EXPECT_EQ(this->state.Slots()[0].owner, "");
  EXPECT_EQ(this->Write("a", MemberRenewed{}), Verdict::kNotMember);
}

TEST_F(ClusterStateTest, RejectsDelayedJoinOfEarlierProcess)
{
  MemberJoined join;
  join.replayedOffset = this->offset - 1;
  const Record second{ { "a", "2", 1 }, join };
  EXPECT_EQ(this->state.Apply(this->offset++, second).verdict,
            Verdict::kAccepted);
  const Record late{ { "a", "1b", 1 }, join };
  EXPECT_EQ(this->state.Apply(this->offset++, late).verdict,
            Verdict::kStaleRenewal);
  EXPECT_EQ(this->state.Members().at("a").incarnation, "2");
}

TEST_F(ClusterStateTest, ResentRecordTakesEffectOnceInAnyOrder)
{
  const Record one{ { "a", "1", 20 }, ConfigApplied{ 0, Json::object() } };
  const Record two{ { "a", "1", 21 }, ConfigApplied{ 1, Json::object() } };
  EXPECT_EQ(this->state.Apply(this->offset++, one).verdict, Verdict::kAccepted);
  EXPECT_EQ(this->state.Apply(this->offset++, two).verdict, Verdict::kAccepted);
  EXPECT_EQ(this->state.Apply(this->offset++, one).verdict,
            Verdict::kDuplicate);
  EXPECT_EQ(this->state.Apply(this->offset++, two).verdict,
            Verdict::kDuplicate);
  const Record late{ { "a", "1", 19 }, ConfigApplied{ 2, Json::object() } };
  EXPECT_EQ(this->state.Apply(this->offset++, late).verdict,
            Verdict::kAccepted);
  EXPECT_EQ(this->state.Apply(this->offset++, late).verdict,
            Verdict::kDuplicate);
  EXPECT_EQ(this->state.Config().version, 3);
}

TEST_F(ClusterStateTest, RejectsConcurrentConfigChange)
{
  EXPECT_EQ(this->Write("a", ConfigApplied{ 0, Json{ { "x", 1 } }, "anna" }),
            Verdict::kAccepted);
  EXPECT_EQ(this->Write("b", ConfigApplied{ 0, Json{ { "x", 2 } }, "bert" }),
            Verdict::kVersionConflict);
  EXPECT_EQ(this->state.Config().author, "anna");
}

TEST_F(ClusterStateTest, OnlySlotOwnerOpensProgramAndOnlyOnce)
{
  ProgramOpened body = this->Opened("p", 100);
  EXPECT_EQ(this->Write("b", body), Verdict::kWrongEpoch);
  body.epoch = 0;
  EXPECT_EQ(this->Write("a", body), Verdict::kWrongEpoch);
  body.epoch = this->epoch;
  EXPECT_EQ(this->Write("a", body), Verdict::kAccepted);
  EXPECT_EQ(this->Write("a", body), Verdict::kAlreadyExists);
  body.program = "child";
  body.parent = "nobody";
  EXPECT_EQ(this->Write("a", body), Verdict::kUnknownProgram);
  body.parent = "p";
  body.organisation = "other";
  EXPECT_EQ(this->Write("a", body), Verdict::kUnknownProgram);
}

TEST_F(ClusterStateTest, CallsRunSequentiallyAndChainTheirDigests)
{
  EXPECT_EQ(this->Write("a", this->Started("p", 1, 1, 10)),
            Verdict::kUnknownProgram);
  this->Write("a", this->Opened("p", 100));
  EXPECT_EQ(this->Write("b", this->Started("p", 1, 1, 10)),
            Verdict::kWrongEpoch);
  EXPECT_EQ(this->Write("a", this->Started("p", 2, 1, 10)),
            Verdict::kOutOfOrder);
  EXPECT_EQ(this->Write("a", this->Started("p", 1, 1, 101)),
            Verdict::kBudgetExhausted);
  EXPECT_EQ(this->Write("a", CallVoided{ "p", 1, 1 }), Verdict::kNotStarted);
  EXPECT_EQ(this->Write("a", this->Started("p", 1, 1, 10)), Verdict::kAccepted);
  EXPECT_EQ(this->Write("a", this->Started("p", 1, 1, 10)),
            Verdict::kAlreadyStarted);
  CallFinished wrong = this->Finished("p", 1, 1, 7);
  wrong.previousDigest = "another history";
  EXPECT_EQ(this->Write("a", wrong), Verdict::kOutOfOrder);
  EXPECT_EQ(this->Write("a", this->Finished("p", 1, 2, 7)),
            Verdict::kOutOfOrder);
  const CallFinished first = this->Finished("p", 1, 1, 7);
  EXPECT_EQ(this->Write("a", first), Verdict::kAccepted);
  EXPECT_EQ(this->Write("a", first), Verdict::kOutOfOrder);
  const auto program = this->state.Program("p");
  EXPECT_EQ(program->spentTokens, 7);
  EXPECT_EQ(program->reservedTokens, 0);
  EXPECT_EQ(program->HeadDigest(), TurnDigest("p", first));
  for (int64_t call = 2; call <= 3; ++call) {
    EXPECT_EQ(this->Write("a", this->Started("p", call, 1, 1)),
              Verdict::kAccepted);
    EXPECT_EQ(this->Write("a", this->Finished("p", call, 1, 1)),
              Verdict::kAccepted);
  }
  EXPECT_EQ(this->Write("a", this->Started("p", 4, 1, 1)), Verdict::kTurnLimit);
  EXPECT_EQ(this->Write("a", ProgramEnded{ "p", "done" }), Verdict::kAccepted);
  EXPECT_EQ(this->Write("a", ProgramEnded{ "p", "done" }),
            Verdict::kProgramEnded);
  EXPECT_EQ(this->Write("a", this->Started("p", 4, 1, 1)),
            Verdict::kProgramEnded);
  EXPECT_EQ(this->Write("a", ProgramEnded{ "q", "done" }),
            Verdict::kUnknownProgram);
  EXPECT_EQ(this->Write("a", CallVoided{ "q", 1, 1 }),
            Verdict::kUnknownProgram);
}

TEST_F(ClusterStateTest,
       UnknownAttemptKeepsReservationAndVoidedAttemptReleasesIt)
{
  this->Write("a", this->Opened("p", 100));
  this->Write("a", this->Started("p", 1, 1, 40));
  this->Write("a", this->Started("p", 1, 2, 40));
  EXPECT_EQ(this->state.Program("p")->RemainingTokens(), 20);
  EXPECT_EQ(this->Write("a", this->Started("p", 1, 3, 40)),
            Verdict::kBudgetExhausted);
  EXPECT_EQ(this->Write("a", CallVoided{ "p", 1, 1 }), Verdict::kNotStarted);
  EXPECT_EQ(this->Write("a", CallVoided{ "p", 1, 2 }), Verdict::kAccepted);
  EXPECT_EQ(this->state.Program("p")->RemainingTokens(), 60);
  this->Write("a", this->Started("p", 1, 3, 30));
  this->Write("a", this->Finished("p", 1, 3, 5));
  EXPECT_EQ(this->state.Program("p")->spentTokens, 45);
  EXPECT_EQ(this->state.Program("p")->reservedTokens, 0);
}

TEST_F(ClusterStateTest, SubAgentBudgetIsReservedFromParent)
{
  this->Write("a", this->Opened("p", 100));
  ProgramOpened child = this->Opened("c", 60);
  child.parent = "p";
  EXPECT_EQ(this->Write("a", child), Verdict::kAccepted);
  EXPECT_EQ(this->Write("a", this->Started("p", 1, 1, 50)),
            Verdict::kBudgetExhausted);
  child.program = "d";
  EXPECT_EQ(this->Write("a", child), Verdict::kBudgetExhausted);
  this->Write("a", this->Started("c", 1, 1, 20));
  this->Write("a", this->Finished("c", 1, 1, 15));
  this->Write("a", this->Started("c", 2, 1, 10));
  EXPECT_EQ(this->Write("a", ProgramEnded{ "c", "done" }), Verdict::kAccepted);
  // The open call may still use its reservation.
  EXPECT_EQ(this->state.Program("p")->spentTokens, 25);
  EXPECT_EQ(this->state.Program("p")->RemainingTokens(), 75);
  this->Write("a", ProgramEnded{ "p", "done" });
  EXPECT_EQ(this->Write("a", child), Verdict::kProgramEnded);
}

TEST_F(ClusterStateTest, RequestIsStartedOnceUnlessVoided)
{
  const RequestStarted start{ "k", "digest", this->epoch };
  EXPECT_EQ(this->Write("b", start), Verdict::kWrongEpoch);
  EXPECT_EQ(this->Write("a", RequestFinished{ "k", 200, "", "" }),
            Verdict::kNotStarted);
  EXPECT_EQ(this->Write("a", RequestVoided{ "k", this->epoch }),
            Verdict::kNotStarted);
  EXPECT_EQ(this->Write("a", start), Verdict::kAccepted);
  EXPECT_EQ(this->Write("a", start), Verdict::kAlreadyStarted);
  EXPECT_EQ(this->Write("a", RequestVoided{ "k", this->epoch + 1 }),
            Verdict::kNotStarted);
  EXPECT_EQ(this->Write("a", RequestVoided{ "k", this->epoch }),
            Verdict::kAccepted);
  EXPECT_EQ(this->Write("a", start), Verdict::kAccepted);
  EXPECT_EQ(this->Write("a", RequestFinished{ "k", 201, "text", "body" }),
            Verdict::kAccepted);
  EXPECT_EQ(this->Write("a", RequestFinished{ "k", 500, "text", "other" }),
            Verdict::kNotStarted);
  EXPECT_EQ(this->Write("a", start), Verdict::kAlreadyStarted);
  EXPECT_EQ(this->state.FindLedgerEntry("k")->httpStatus, 201);
  EXPECT_EQ(this->state.FindLedgerEntry("k")->body, "body");
}

TEST_F(ClusterStateTest, RejectsVoidOfRequestAfterSlotMoved)
{
  this->Write("a", RequestStarted{ "k", "digest", this->epoch });
  const int slot = this->state.SlotOf("ledger/k");
  this->Write("a", SlotsReleased{ { slot } });
  EXPECT_EQ(this->Write("a", RequestVoided{ "k", this->epoch }),
            Verdict::kWrongEpoch);
  this->Write("b", SlotsClaimed{ { { slot, this->epoch } } });
  EXPECT_EQ(this->Write("a", RequestVoided{ "k", this->epoch }),
            Verdict::kWrongEpoch);
  EXPECT_EQ(this->state.FindLedgerEntry("k")->phase, LedgerPhase::kStarted);
  // A late response is still recorded.
  EXPECT_EQ(this->Write("a", RequestFinished{ "k", 201, "text", "body" }),
            Verdict::kAccepted);
}

TEST_F(ClusterStateTest, ExpiryNeedsMoreVotesThanSparePromises)
{
  this->Write("c", MemberJoined{ "z3", "", "", "" });
  this->Write("d", MemberJoined{ "z3", "", "", "" });
  const MemberExpired vote{ "a", "1", 5 };
  EXPECT_EQ(this->Write("a", MemberRenewed{ 2, false, 3, 1 }),
            Verdict::kAccepted);
  EXPECT_EQ(this->Write("b", vote), Verdict::kVoted);
  EXPECT_EQ(this->Write("b", vote), Verdict::kVoted);
  {
    SCOPED_TRACE("a renewal discards earlier votes");
    EXPECT_EQ(this->Write("a", MemberRenewed{ 2, false, 3, 1 }),
              Verdict::kAccepted);
    EXPECT_EQ(this->Write("c", vote), Verdict::kStaleRenewal);
  }
  const MemberExpired secondVote{ "a", "1", 8 };
  EXPECT_EQ(this->Write("b", secondVote), Verdict::kVoted);
  {
    SCOPED_TRACE("a vote is discarded when the voter leaves");
    EXPECT_EQ(this->Write("b", MemberLeft{}), Verdict::kAccepted);
    EXPECT_EQ(this->Write("c", secondVote), Verdict::kVoted);
  }
  EXPECT_EQ(this->Write("d", secondVote), Verdict::kAccepted);
  EXPECT_EQ(this->state.Slots()[0].owner, "");
}

TEST_F(ClusterStateTest, OperatorRemovesMemberUnlessItRenewedSince)
{
  this->Write("a", MemberRenewed{ 2, false, 3, 1 });
  EXPECT_EQ(this->Write("operator", MemberRemoved{ "a", "0", 3 }),
            Verdict::kNotMember);
  EXPECT_EQ(this->Write("operator", MemberRemoved{ "a", "1", 2 }),
            Verdict::kStaleRenewal);
  EXPECT_EQ(this->state.Slots()[0].owner, "a");
  EXPECT_EQ(this->Write("operator", MemberRemoved{ "a", "1", 3 }),
            Verdict::kAccepted);
  EXPECT_EQ(this->state.Slots()[0].owner, "");
  EXPECT_EQ(this->state.Members().count("a"), 0U);
}

TEST(RecordCodec, EveryRecordTypeRoundTrips)
{
  const std::vector<RecordBody> bodies = {
    MemberJoined{ "z", "p", "c", "a", 5 },
    MemberRenewed{ 7, true },
    MemberLeft{},
    MemberExpired{ "a", "1", 3, true },
    MemberRemoved{ "a", "1", 3, "anna" },
    SlotsClaimed{ { { 1, 2 } } },
    SlotsReleased{ { 1, 2 } },
    ConfigApplied{ 1, Json{ { "x", 1 } }, "anna", 5 },
    ProgramOpened{ "p", "o", "q", "high", 1, 2, 3, 4 },
    CallStarted{ "p", 1, 2, 3, 4, false, "d" },
    CallFinished{ "p", 1, 2, "d", "model", "[]", "{}", "{}", 200, 9, "e" },
    CallVoided{ "p", 1, 2 },
    ProgramEnded{ "p", "done" },
    RequestStarted{ "k", "d", 1 },
    RequestFinished{ "k", 200, "t", "b" },
    RequestVoided{ "k", 1 },
    Snapshot{ 5, Json::object() },
  };
  ASSERT_EQ(bodies.size(), std::variant_size_v<RecordBody>);
  for (size_t i = 0; i < bodies.size(); ++i) {
    SCOPED_TRACE(RecordTypeName(bodies[i]));
    EXPECT_EQ(bodies[i].index(), i);
    const std::string text = EncodeRecord({ { "a", "1", 9 }, bodies[i] });
    auto decoded = DecodeRecord(text);
    ASSERT_TRUE(IsOk(decoded));
    EXPECT_EQ(EncodeRecord(std::get<Record>(decoded)), text);
  }
  for (const char* text : { "", "{}", "[1]", R"({"type":"nothing"})" }) {
    SCOPED_TRACE(text);
    EXPECT_FALSE(IsOk(DecodeRecord(text)));
  }
}

} // namespace
} // namespace tanagerseam
