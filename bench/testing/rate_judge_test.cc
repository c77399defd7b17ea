// Which refusals RateJudge counts as wrongful and which programs as entitled.
#include <gtest/gtest.h>

#include "bench/rate_judge.h"

namespace tanagerseam::bench {
namespace {

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;

// One organisation with a limit of 1 request per second and a burst of 2.
class RateJudgeTest : public testing::Test
{
protected:
  void Send(int64_t aProgram, int64_t aMillis, int aStatus, int64_t aTook = 1)
  {
    const TimePoint at = TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
    this->requests.push_back(
      { at, Millis(aTook), "open", aProgram, 0, aStatus, "rate_exceeded" });
    ProgramRecord& program = this->programs[aProgram];
    program.program = aProgram;
    program.finished = aStatus == kOk;
  }
  int64_t WrongfulRefusals() const
  {
    int64_t sum = 0;
    const RateJudge judge({ { 1, 2 } }, this->requests);
    for (const auto& entry : judge.WrongfulRefusals()) {
      sum += entry.second;
    }
    return sum;
  }
  ServedShares FindServedShares() const
  {
    std::vector<ProgramRecord> all;
    for (const auto& entry : this->programs) {
      all.push_back(entry.second);
    }
    return RateJudge({ { 1, 2 } }, this->requests).FindServedShares(all, -1);
  }

  std::vector<RequestRecord> requests;
  std::map<int64_t, ProgramRecord> programs;
};

TEST_F(RateJudgeTest, CountsRefusalWithinRateAsWrongful)
{
  this->Send(1, 0, kOk);
  this->Send(2, 10, kTooManyRequests);
  EXPECT_EQ(this->WrongfulRefusals(), 1);
  EXPECT_DOUBLE_EQ(this->FindServedShares().worstOrganisation, 0.5);
}

TEST_F(RateJudgeTest, AcceptsRefusalAboveRate)
{
  this->Send(1, 0, kOk);
  this->Send(2, 10, kOk);
  this->Send(3, 20, kTooManyRequests);
  EXPECT_EQ(this->WrongfulRefusals(), 0);
  EXPECT_DOUBLE_EQ(this->FindServedShares().worstOrganisation, 1);
  EXPECT_NEAR(this->FindServedShares().entitled, 2.0 / 3, 0.01);
}

TEST_F(RateJudgeTest, ChargesLaterTokenForDelayedRequest)
{
  this->Send(1, 0, kOk);
  this->Send(2, 10, kOk);
  this->Send(3, 20, kOk, 1000);
  this->Send(4, 1050, kTooManyRequests);
  EXPECT_EQ(this->WrongfulRefusals(), 0);
  this->Send(5, 2050, kTooManyRequests);
  EXPECT_EQ(this->WrongfulRefusals(), 1);
}

TEST_F(RateJudgeTest, AcceptsRefusalIfLaterRequestTookToken)
{
  this->Send(1, 0, kOk);
  this->Send(2, 10, kTooManyRequests, 200);
  this->Send(3, 20, kOk);
  EXPECT_EQ(this->WrongfulRefusals(), 0);
}

} // namespace
} // namespace tanagerseam::bench
