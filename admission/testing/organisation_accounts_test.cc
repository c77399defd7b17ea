// Accounts of work by organisation over the fleet.
#include <gtest/gtest.h>

#include "admission/admission.h"

namespace tanagerseam {
namespace {

TimePoint
At(int64_t aMillis)
{
  return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
}

class OrganisationAccountsTest : public testing::Test
{
protected:
  void SendForTen(int64_t aAtMillis)
  {
    for (uint64_t organisation = 1; organisation <= 10; ++organisation) {
      this->accounts.RecordSent(organisation, 100, At(aAtMillis));
    }
  }

  OrganisationAccounts accounts;
};

// Guards against one organisation's burst that delays the others.
TEST_F(OrganisationAccountsTest, ABurstIsOverItsShareUntilItHasDecayed)
{
  this->SendForTen(0);
  EXPECT_FALSE(this->accounts.IsOverShare(1, At(0)));
  for (int i = 0; i < 8; ++i) {
    this->accounts.RecordSent(1, 100, At(10));
  }
  EXPECT_TRUE(this->accounts.IsOverShare(1, At(200)));
  EXPECT_FALSE(this->accounts.IsOverShare(2, At(200)));
  EXPECT_EQ(this->accounts.Report(At(200)).at(0).organisation, 1u);
  {
    SCOPED_TRACE("its share comes back");
    EXPECT_FALSE(this->accounts.IsOverShare(1, At(9000)));
  }
}

// Guards against reports that are counted twice, and against peers that are
// counted long after they were cut off.
TEST_F(OrganisationAccountsTest, APeersReportReplacesItsLastOne)
{
  this->SendForTen(0);
  this->accounts.OnPeerReport("peer", { { 1, 150 } }, At(100));
  this->accounts.OnPeerReport("peer", { { 1, 150 } }, At(200));
  EXPECT_FALSE(this->accounts.IsOverShare(1, At(300)));
  this->accounts.OnPeerReport("peer", { { 1, 900 } }, At(400));
  EXPECT_TRUE(this->accounts.IsOverShare(1, At(500)));
  {
    SCOPED_TRACE("a report without work leaves the last one in place");
    this->accounts.OnPeerReport("peer", {}, At(600));
    EXPECT_TRUE(this->accounts.IsOverShare(1, At(700)));
  }
  {
    SCOPED_TRACE("it counts for nothing after some half-lives");
    this->SendForTen(16000);
    EXPECT_FALSE(this->accounts.IsOverShare(1, At(16200)));
  }
}

// Guards against memory that grows with the number of organisations.
TEST_F(OrganisationAccountsTest, EvictsTheLeastOfTenThousand)
{
  this->accounts.RecordSent(77777, 5000, At(0));
  for (uint64_t organisation = 1; organisation <= 10000; ++organisation) {
    this->accounts.RecordSent(organisation, 1, At(1));
  }
  EXPECT_LE(this->accounts.Count(), OrganisationAccounts::kMaxOrganisations);
  EXPECT_EQ(this->accounts.Report(At(2)).at(0).organisation, 77777u);
  EXPECT_LE(this->accounts.Report(At(2)).size(),
            OrganisationAccounts::kMaxReported);
}

} // namespace
} // namespace tanagerseam
