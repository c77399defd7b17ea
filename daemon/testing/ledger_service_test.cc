// Non-repeatable requests on an owner whose replay lags behind its appends.
#include <gtest/gtest.h>

#include <thread>

#include "daemon/ledger_service.h"
#include "daemon/testing/one_daemon.h"

namespace tanagerseam {
namespace {

constexpr Millis kTimeout(5000);

class LedgerServiceTest : public SingleDaemonTest
{
protected:
  LedgerServiceTest()
    : SingleDaemonTest(Millis(100))
    , runner(this->context)
    , ledger(this->context, this->runner)
  {
    this->journal.Start(kTimeout);
    this->journal.SubmitAndWait(MemberJoined{}, kTimeout);
    SlotsClaimed all;
    for (int slot = 0; slot < kSlotCount; ++slot) {
      all.claims.push_back({ slot, 0 });
    }
    this->journal.SubmitAndWait(all, kTimeout);
  }

  // Runs a request to a route that does not exist, so that nothing is sent;
  // returns its refusal.
  Refusal Run()
  {
    CallRequest request;
    request.operation = CallOperation::kServiceCall;
    request.organisation = "stopa";
    request.route = "absent";
    request.idempotencyKey = "once";
    request.deadline = Now() + kTimeout;
    const auto result = this->ledger.Run(request);
    EXPECT_TRUE(result.has_value());
    EXPECT_FALSE(IsOk(*result));
    return std::get<Refusal>(*result);
  }

  // Waits until the replay has reached the offset before aEnd.
  void AwaitReplay(int64_t aEnd)
  {
    const TimePoint start = Now();
    const auto replayed = [this] {
      return this->journal.With(
        [](const ClusterState& aState) { return aState.LastOffset() + 1; });
    };
    while (replayed() < aEnd && Now() - start < kTimeout) {
      std::this_thread::sleep_for(Millis(1));
    }
    ASSERT_EQ(replayed(), aEnd);
  }

  ServiceRunner runner;
  LedgerService ledger;
};

TEST_F(LedgerServiceTest, RefusesAsNotRunUntilVoidIsReplayed)
{
  const int64_t before = this->log.Size();
  {
    SCOPED_TRACE("the intent is appended and not replayed");
    this->log.SetReadEnd(before);
    EXPECT_EQ(this->Run().reason, RefusalReason::kLogUnavailable);
  }
  {
    SCOPED_TRACE("the intent is replayed, its RequestVoided is not");
    this->log.SetReadEnd(before + 1);
    this->AwaitReplay(before + 1);
    const Refusal refusal = this->Run();
    EXPECT_EQ(refusal.reason, RefusalReason::kLogUnavailable);
    EXPECT_EQ(refusal.ran, RanState::kNo);
  }
  {
    SCOPED_TRACE("both are replayed: the key can be used again");
    this->log.SetReadEnd(before + 2);
    this->AwaitReplay(before + 2);
    this->log.SetReadEnd(std::numeric_limits<int64_t>::max());
    EXPECT_EQ(this->Run().reason, RefusalReason::kUnknownRoute);
  }
}

} // namespace
} // namespace tanagerseam
