// When a host takes its links to a service for lost.
#include "reach/reach.h"

#include <gtest/gtest.h>

namespace tanagerseam {
namespace {

class ServiceReachTest : public ::testing::Test
{
protected:
  bool Fail(const std::string& aEndpoint, size_t aEndpoints = 9)
  {
    return this->reach.OnUnreachable(
      "engines", aEndpoint, aEndpoints, this->now);
  }

  ServiceReach reach;
  TimePoint now = BootNow();
};

// Pattern: the links of a host to all endpoints are cut for seconds.
TEST_F(ServiceReachTest, IsLostAfterFailuresInARowAtSeveralEndpoints)
{
  EXPECT_FALSE(this->Fail("e-1"));
  EXPECT_FALSE(this->Fail("e-2"));
  EXPECT_FALSE(this->reach.IsLost("engines"));
  EXPECT_TRUE(this->Fail("e-1"));
  EXPECT_TRUE(this->reach.IsLost("engines"));
  EXPECT_FALSE(this->reach.IsLost("tools"));
  EXPECT_EQ(this->reach.Lost(), std::vector<std::string>{ "engines" });
  {
    SCOPED_TRACE("one call at a time tries whether it is back");
    EXPECT_FALSE(this->reach.TakeTrial("engines", this->now));
    this->now += ServiceReach::kTrialInterval;
    EXPECT_TRUE(this->reach.TakeTrial("engines", this->now));
    EXPECT_FALSE(this->reach.TakeTrial("engines", this->now));
  }
  {
    SCOPED_TRACE("a connection that works ends it");
    EXPECT_TRUE(this->reach.OnConnected("engines"));
    EXPECT_FALSE(this->reach.OnConnected("engines"));
    EXPECT_TRUE(this->reach.Lost().empty());
  }
}

// Pattern: one endpoint crashes, the others serve.
TEST_F(ServiceReachTest, IsNotLostWhileOtherEndpointsAreReached)
{
  for (int i = 0; i < 10; ++i) {
    EXPECT_FALSE(this->Fail("e-1"));
  }
  {
    SCOPED_TRACE("two are down, and connections to others work in between");
    this->reach.OnConnected("engines");
    for (int i = 0; i < 10; ++i) {
      EXPECT_FALSE(this->Fail("e-1"));
      EXPECT_FALSE(this->Fail("e-2"));
      this->reach.OnConnected("engines");
    }
  }
}

TEST_F(ServiceReachTest, IsLostWithItsOnlyEndpoint)
{
  EXPECT_FALSE(this->Fail("e-1", 1));
  EXPECT_FALSE(this->Fail("e-1", 1));
  EXPECT_TRUE(this->Fail("e-1", 1));
}

} // namespace
} // namespace tanagerseam
