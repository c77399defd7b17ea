// The story of a host's membership: it is gone when it is silent and could have
// announced itself, and not while the log keeps it from doing so.
#include <gtest/gtest.h>

#include "fleet/member_table.h"

namespace tanagerseam {
namespace {

FleetMember
MemberNamed(const char* aHost)
{
  return { aHost, "127.0.0.1", 7780 };
}

class MemberStory : public ::testing::Test
{
protected:
  static TimePoint At(int64_t aMillis)
  {
    return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
  }

  void SetUp() override { this->table.LogConfirmed(At(0)); }

  MemberTable table;
};

TEST_F(MemberStory, AHostThatAnnouncesNothingMoreIsGone)
{
  this->table.Announced(MemberNamed("a"), false, At(0));
  EXPECT_TRUE(this->table.Expire(At(13000)).empty());
  EXPECT_EQ(this->table.Expire(At(15000)), std::vector<std::string>{ "a" });
  EXPECT_TRUE(this->table.Members().empty());
}

TEST_F(MemberStory, AHostThatReportsIsThereWhateverItAnnounces)
{
  this->table.Announced(MemberNamed("a"), false, At(0));
  this->table.Heard("a", At(14500));
  EXPECT_TRUE(this->table.Expire(At(15000)).empty());
  EXPECT_FALSE(this->table.Expire(At(19000)).empty());
}

// Found by the soak, seed 69: three hosts that had started anew while the log
// was away took each other for gone, and each used the whole quota.
TEST_F(MemberStory, NobodyIsGoneWhileTheLogKeepsHostsFromAnnouncing)
{
  this->table.Announced(MemberNamed("a"), true, At(1000));
  this->table.LogLost();
  EXPECT_TRUE(this->table.Expire(At(20000)).empty());
  this->table.LogConfirmed(At(21000));
  {
    SCOPED_TRACE("nor at once when it is back");
    EXPECT_TRUE(this->table.Expire(At(22000)).empty());
  }
  EXPECT_FALSE(this->table.Expire(At(30000)).empty());
}

} // namespace
} // namespace tanagerseam
