// Tests of when a member expires: once it is silent although it could have
// announced itself, and not while the log was unavailable for announcements.
#include <gtest/gtest.h>

#include "fleet/member_table.h"

namespace tanagerseam {
namespace {

FleetMember
MemberNamed(const char* aHost)
{
  return { aHost, "127.0.0.1", 7780 };
}

class MemberTableTest : public ::testing::Test
{
protected:
  static TimePoint At(int64_t aMillis)
  {
    return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
  }

  void SetUp() override { this->table.OnLogAvailable(At(0)); }

  MemberTable table;
};

TEST_F(MemberTableTest, ExpiresMemberWithoutAnnouncements)
{
  this->table.OnAnnouncement(MemberNamed("a"), false, At(0));
  EXPECT_TRUE(this->table.RemoveExpired(At(13000)).empty());
  EXPECT_EQ(this->table.RemoveExpired(At(15000)),
            std::vector<std::string>{ "a" });
  EXPECT_TRUE(this->table.Members().empty());
}

TEST_F(MemberTableTest, KeepsMemberThatSendsReports)
{
  this->table.OnAnnouncement(MemberNamed("a"), false, At(0));
  this->table.OnReport("a", At(14500));
  EXPECT_TRUE(this->table.RemoveExpired(At(15000)).empty());
  EXPECT_FALSE(this->table.RemoveExpired(At(19000)).empty());
}

// Each host announces itself every few seconds, which must not cost the others
// the work of a change of members.
TEST_F(MemberTableTest, TellsChangesFromRepeatedAnnouncements)
{
  FleetMember member = MemberNamed("a");
  EXPECT_TRUE(this->table.OnAnnouncement(member, false, At(0)));
  EXPECT_FALSE(this->table.OnAnnouncement(member, false, At(4000)));
  member.port += 1;
  EXPECT_TRUE(this->table.OnAnnouncement(member, false, At(8000)));
  EXPECT_TRUE(this->table.Remove("a"));
  EXPECT_FALSE(this->table.Remove("a"));
}

// Guards against messages to an address that the host has left: the store
// executed an announcement of its earlier start after that of the present one.
TEST_F(MemberTableTest, IgnoresALateAnnouncementOfAnEarlierStart)
{
  FleetMember earlier = MemberNamed("a");
  earlier.startTime = 1000;
  FleetMember present = earlier;
  present.startTime = 2000;
  present.port += 1;
  EXPECT_TRUE(this->table.OnAnnouncement(present, false, At(0)));
  EXPECT_FALSE(this->table.OnAnnouncement(earlier, false, At(3000)));
  EXPECT_EQ(this->table.Members().at(0).port, present.port);
  {
    SCOPED_TRACE("one that does not say when it started is believed");
    earlier.startTime = 0;
    EXPECT_TRUE(this->table.OnAnnouncement(earlier, false, At(4000)));
  }
}

// Regression test (soak test, seed 69): three hosts that had restarted while
// the log was unavailable removed each other, and each used the whole quota.
TEST_F(MemberTableTest, KeepsMembersWhileLogIsUnavailable)
{
  this->table.OnAnnouncement(MemberNamed("a"), true, At(1000));
  this->table.OnLogUnavailable();
  EXPECT_TRUE(this->table.RemoveExpired(At(20000)).empty());
  this->table.OnLogAvailable(At(21000));
  {
    SCOPED_TRACE("nor as soon as the log is available again");
    EXPECT_TRUE(this->table.RemoveExpired(At(22000)).empty());
  }
  EXPECT_FALSE(this->table.RemoveExpired(At(30000)).empty());
}

} // namespace
} // namespace tanagerseam
