// A call that waits for an owner, of its organisation's rate or of its slot,
// while its API key is withdrawn.
#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "daemon/rate_service.h"
#include "daemon/router.h"
#include "daemon/testing/one_daemon.h"
#include "desired/desired.h"

namespace tanagerseam {
namespace {

constexpr Millis kTimeout(5000);
// Time until the call certainly waits.
constexpr Millis kUntilWaiting(200);
// Within this time a withdrawn key stops all calls that wait.
constexpr Millis kTarget(5000);

class RefusalSink : public CallSink
{
public:
  void Head(int, const std::string&, const std::vector<std::string>&) override
  {
  }
  bool Chunk(std::string_view) override { return true; }
  void End(const CompletionInfo&) override {}
  void Refuse(const Refusal& aRefusal) override { this->refusal = aRefusal; }
  bool Cancelled() const override { return false; }

  std::optional<Refusal> refusal;
};

// No slot has an owner.
class WithdrawnKey : public SingleDaemonTest
{
protected:
  WithdrawnKey()
    : SingleDaemonTest(Millis(100))
  {
    this->journal.Start(kTimeout);
    this->journal.SubmitAndWait(MemberJoined{}, kTimeout);
    DesiredState desired;
    desired.organisations["stopa"];
    ApiKey key;
    key.name = "web";
    key.organisation = "stopa";
    key.digest = Sha256Hex("key");
    desired.keys["web"] = key;
    this->Apply(0, desired);
    this->desired = desired;
    this->call.organisation = "stopa";
    this->call.keyDigest = Sha256Hex("key");
    // Far later than the target.
    this->call.deadline = Now() + Millis(12000);
  }

  void Apply(int64_t aBase, const DesiredState& aDesired)
  {
    ConfigApplied applied;
    applied.base = aBase;
    applied.config = ToJson(aDesired);
    this->journal.SubmitAndWait(applied, kTimeout);
    const TimePoint start = Now();
    while (this->journal.Config()->version <= aBase &&
           Now() - start < kTimeout) {
      std::this_thread::sleep_for(Millis(1));
    }
    ASSERT_EQ(this->journal.Config()->version, aBase + 1);
  }

  // Withdraws the key while aWait runs in another thread; expects that it ends
  // with a refusal for that within the target.
  void ExpectToStop(const std::function<std::optional<Refusal>()>& aWait)
  {
    std::future<std::optional<Refusal>> waiting =
      std::async(std::launch::async, aWait);
    std::this_thread::sleep_for(kUntilWaiting);
    this->desired.Withdraw("web");
    this->Apply(1, this->desired);
    const TimePoint withdrawn = Now();
    const std::optional<Refusal> refusal = waiting.get();
    EXPECT_LT(Now() - withdrawn, kTarget);
    ASSERT_TRUE(refusal.has_value());
    EXPECT_EQ(refusal->reason, RefusalReason::kKeyWithdrawn);
  }

  DesiredState desired;
  CallRequest call;
};

// Guards against a call that waits 8 s for its organisation's rate although its
// key has been withdrawn, and is then refused for the missing owner.
TEST_F(WithdrawnKey, StopsACallThatWaitsForItsRate)
{
  RateService rates(this->context);
  this->ExpectToStop([&] { return rates.AcquireToken(this->call); });
}

// Guards against the same until the call's deadline, where its slot has no
// owner.
TEST_F(WithdrawnKey, StopsACallThatWaitsForTheOwnerOfItsSlot)
{
  Router router(this->context,
                [](const CallRequest&, CallSink&) { return false; });
  this->ExpectToStop([&] {
    RefusalSink sink;
    router.Route(this->call, "organisation/stopa", sink);
    return sink.refusal;
  });
}

} // namespace
} // namespace tanagerseam
