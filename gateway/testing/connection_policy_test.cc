#include <gtest/gtest.h>

#include "gateway/connection_policy.h"

namespace tanagerseam {
namespace {

class ConnectionPolicyTest : public ::testing::Test
{
protected:
  bool NeedsOwn(CallKind aKind, const std::string& aService = "engines")
  {
    return this->policy.NeedsOwnConnection(aKind, aService, this->now);
  }

  ConnectionPolicy policy;
  TimePoint now{ Millis(1000000) };
};

TEST_F(ConnectionPolicyTest, AsksForWhatTheKindOfCallNeeds)
{
  EXPECT_FALSE(this->NeedsOwn(CallKind::kIdempotent));
  EXPECT_TRUE(this->NeedsOwn(CallKind::kNonIdempotent));
  EXPECT_FALSE(this->NeedsOwn(CallKind::kStream));
}

TEST_F(ConnectionPolicyTest, KeepsStreamsOffKeptConnectionsAfterAStrayResponse)
{
  this->policy.OnStrayResponse("engines", this->now);
  EXPECT_TRUE(this->NeedsOwn(CallKind::kStream));
  EXPECT_FALSE(this->NeedsOwn(CallKind::kIdempotent));
  {
    SCOPED_TRACE("other services are not concerned");
    EXPECT_FALSE(this->NeedsOwn(CallKind::kStream, "tools"));
  }
  {
    SCOPED_TRACE("it is forgotten after a while");
    this->now += ConnectionPolicy::kStrayMemory;
    EXPECT_FALSE(this->NeedsOwn(CallKind::kStream));
  }
}

} // namespace
} // namespace tanagerseam
