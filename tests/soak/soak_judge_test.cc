// The story of the soak's judge: it finds each broken promise, and finds
// nothing where all were kept.
#include <gtest/gtest.h>

#include "tests/soak/soak_judge.h"

namespace tanagerseam::soak {
namespace {

TimePoint
At(int64_t aMillis)
{
  return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
}

class JudgeStory : public ::testing::Test
{
protected:
  static JudgeSettings Settings()
  {
    JudgeSettings settings;
    settings.limited = "market";
    settings.ratePerSecond = 20;
    settings.burst = 20;
    return settings;
  }

  void Send(const std::string& aId,
            CallType aType,
            const std::string& aPrevious = "",
            int64_t aAt = 0)
  {
    SentCall call;
    call.id = aId;
    call.type = aType;
    call.organisation = "market";
    call.key = "key-1";
    call.program = "p";
    call.previous = aPrevious;
    call.expectedBody = "body";
    call.sentAt = At(aAt);
    this->judge.Sent(call);
  }

  void Run(const std::string& aId, int64_t aAt = 0)
  {
    this->judge.Ran(aId, "market", "body", At(aAt));
    this->judge.Made(aId, "made for " + aId);
  }

  // The promise that was broken, if it is the only one.
  std::string Broken() const
  {
    const auto verdict = this->judge.Verdict();
    if (verdict.size() != 1) {
      return std::to_string(verdict.size()) + " broken";
    }
    return verdict[0].substr(0, verdict[0].find(':'));
  }

  SoakJudge judge{ Settings() };
};

TEST_F(JudgeStory, FindsNothingWherePromisesWereKept)
{
  this->judge.Budget("p", 100, 20);
  this->Send("t-1", CallType::kTurn);
  this->Run("t-1");
  this->judge.HandedOut("p", 20);
  this->judge.Answered("t-1", 200, true, "made for t-1");
  this->Send("t-2", CallType::kTurn, "t-1");
  this->judge.Answered("t-2", 503, true, "");
  this->Send("l-1", CallType::kLook);
  this->Run("l-1");
  this->Run("l-1");
  this->judge.Answered("l-1", 503, true, "");
  EXPECT_EQ(this->Broken(), "0 broken");
}

TEST_F(JudgeStory, FindsACallThatRanTwice)
{
  this->Send("c-1", CallType::kCharge);
  this->Run("c-1");
  this->Run("c-1");
  EXPECT_EQ(this->Broken(), "twice");
}

TEST_F(JudgeStory, FindsARefusalThatWasNotTrue)
{
  this->Send("c-1", CallType::kCharge);
  this->judge.Answered("c-1", 503, true, "");
  this->Run("c-1", 3000);
  EXPECT_EQ(this->Broken(), "refused");
}

TEST_F(JudgeStory, FindsTheAnswerOfAnotherCall)
{
  this->Send("c-1", CallType::kCharge);
  this->Run("c-1");
  this->judge.Answered("c-1", 200, true, "made for c-2");
  EXPECT_EQ(this->Broken(), "mixed");
}

TEST_F(JudgeStory, FindsWhatNobodyAsked)
{
  this->Send("t-1", CallType::kTurn);
  this->judge.Ran("t-1", "market", "another body", At(0));
  EXPECT_EQ(this->Broken(), "unasked");
  this->judge.Ran("t-9", "market", "body", At(0));
  EXPECT_EQ(this->Broken(), "2 broken");
}

TEST_F(JudgeStory, FindsARunForAnotherOrganisation)
{
  this->Send("t-1", CallType::kTurn);
  this->judge.Ran("t-1", "club", "body", At(0));
  EXPECT_EQ(this->Broken(), "unasked");
}

TEST_F(JudgeStory, FindsALostTurn)
{
  this->Send("t-1", CallType::kTurn);
  this->Run("t-1");
  this->judge.Answered("t-1", 200, true, "made for t-1");
  this->Send("t-2", CallType::kTurn, "t-1");
  this->judge.Answered("t-2", 404, true, "");
  EXPECT_EQ(this->Broken(), "lost");
}

TEST_F(JudgeStory, FindsABudgetThatWasOverdrawn)
{
  this->judge.Budget("p", 100, 20);
  this->judge.HandedOut("p", 120);
  EXPECT_EQ(this->Broken(), "0 broken");
  this->judge.HandedOut("p", 10);
  EXPECT_EQ(this->Broken(), "budget");
}

TEST_F(JudgeStory, FindsAKeyThatIsHonouredTooLong)
{
  this->judge.Withdrawn("key-1", At(1000));
  this->Send("l-1", CallType::kLook, "", 2900);
  this->Run("l-1", 2950);
  EXPECT_EQ(this->Broken(), "0 broken");
  this->Send("l-2", CallType::kLook, "", 3100);
  this->Run("l-2", 3150);
  EXPECT_EQ(this->Broken(), "revoked");
}

TEST_F(JudgeStory, FindsAQuotaThatWasPassed)
{
  constexpr int kBound = 152;
  for (int i = 0; i < kBound; ++i) {
    this->Send("l-" + std::to_string(i), CallType::kLook);
    this->Run("l-" + std::to_string(i), i * 30);
  }
  EXPECT_EQ(this->Broken(), "0 broken");
  this->Send("l-x", CallType::kLook);
  this->Run("l-x", kBound * 30);
  EXPECT_EQ(this->Broken(), "quota");
}

} // namespace
} // namespace tanagerseam::soak
