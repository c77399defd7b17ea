#include "coldstart/coldstart.h"

#include <gtest/gtest.h>

namespace tanagerseam {
namespace {

constexpr double kRate = 23;
constexpr int64_t kStartedAt = 1000;

TimePoint
At(int64_t aMillis)
{
  return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
}

class ColdEndpointsTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    this->cold.SetPolicy("engines", { Millis(3000), kRate });
  }

  bool Register(Millis aColdLeft, int64_t aNow)
  {
    return this->cold.OnEntry({ "e-1", "engines", kStartedAt, aColdLeft },
                              At(aNow));
  }

  bool IsLimited(int64_t aNow) const
  {
    return this->cold.Limit("e-1", At(aNow)).has_value();
  }

  ColdEndpoints cold;
};

TEST_F(ColdEndpointsTest, TheRegistrySaysForHowLong)
{
  EXPECT_TRUE(this->Register(Millis(2000), 0));
  EXPECT_EQ(this->cold.Limit("e-1", At(1999)), kRate);
  EXPECT_FALSE(this->IsLimited(2000));
  EXPECT_EQ(this->cold.Expire(At(2000)), std::vector<std::string>{ "e-1" });
  EXPECT_TRUE(this->cold.Expire(At(2001)).empty());
  {
    SCOPED_TRACE("it becomes cold again without a new start");
    EXPECT_TRUE(this->Register(Millis(3000), 5000));
    EXPECT_TRUE(this->IsLimited(7000));
  }
  {
    SCOPED_TRACE("its next entry says that it is warm");
    EXPECT_FALSE(this->Register(Millis(0), 7000));
    EXPECT_FALSE(this->IsLimited(7000));
  }
}

// An endpoint that comes back under its id would get its full share of calls
// until its entry is read.
TEST_F(ColdEndpointsTest, AnEndpointThatWasDownIsTakenForCold)
{
  this->Register(Millis(0), 0);
  EXPECT_TRUE(this->cold.OnUnreachable("e-1", At(1000)));
  EXPECT_TRUE(this->IsLimited(60000));
  this->cold.OnResponse("e-1", At(60000));
  EXPECT_TRUE(this->IsLimited(62999));
  EXPECT_FALSE(this->IsLimited(63000));
}

TEST_F(ColdEndpointsTest, AnEndpointOfAnEvacuatedZoneIsTakenForColdAfterwards)
{
  this->Register(Millis(0), 0);
  EXPECT_TRUE(this->cold.AssumeCold("e-1", At(1000)));
  EXPECT_TRUE(this->IsLimited(3999));
  {
    SCOPED_TRACE("an entry from before says nothing of it");
    this->Register(Millis(0), 1100);
    EXPECT_TRUE(this->IsLimited(3999));
  }
  EXPECT_FALSE(this->IsLimited(4000));
}

TEST_F(ColdEndpointsTest, PeersTellWhatTheRegistrySays)
{
  this->Register(Millis(0), 0);
  ColdEndpoints peer;
  peer.SetPolicy("engines", { Millis(3000), kRate });
  peer.OnEntry({ "e-1", "engines", kStartedAt, Millis(2500) }, At(100));
  const auto reports = peer.Reports(At(600));
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].coldLeft, Millis(2000));
  EXPECT_TRUE(this->cold.OnPeerReport(reports[0], At(600)));
  EXPECT_TRUE(this->IsLimited(2599));
  {
    SCOPED_TRACE("hosts do not tell each other what they have from each other");
    EXPECT_TRUE(this->cold.Reports(At(700)).empty());
  }
  {
    SCOPED_TRACE("a report of an earlier incarnation is ignored");
    this->cold.OnEntry({ "e-1", "engines", kStartedAt + 500, Millis(0) },
                       At(800));
    EXPECT_FALSE(this->cold.OnPeerReport(reports[0], At(800)));
    EXPECT_FALSE(this->IsLimited(801));
  }
}

// Bad input neither lifts a limit nor holds an endpoint back for ever.
TEST_F(ColdEndpointsTest, AbsurdValuesAreBounded)
{
  this->Register(Millis(1000000000), 0);
  EXPECT_FALSE(this->IsLimited(6000));
  this->Register(Millis(-5), 7000);
  EXPECT_FALSE(this->IsLimited(7000));
  this->cold.SetPolicy("engines", { Millis(-1), kRate });
  this->cold.SetPolicy("engines", { Millis(3000), -4 });
  this->Register(Millis(1000), 8000);
  EXPECT_EQ(this->cold.Limit("e-1", At(8001)), kRate);
}

TEST_F(ColdEndpointsTest, AServiceWithoutAPolicyHasNoColdEndpoints)
{
  this->cold.SetPolicy("engines", {});
  EXPECT_FALSE(this->Register(Millis(2000), 0));
  EXPECT_FALSE(this->cold.OnUnreachable("e-1", At(1)));
  EXPECT_FALSE(this->cold.AssumeCold("e-1", At(1)));
  EXPECT_FALSE(this->IsLimited(1));
}

} // namespace
} // namespace tanagerseam
