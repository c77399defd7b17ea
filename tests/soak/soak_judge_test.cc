// SoakChecker reports a violation of each invariant and reports none for a
// correct run.
#include <gtest/gtest.h>

#include "tests/soak/soak_judge.h"

namespace tanagerseam::soak {
namespace {

TimePoint
At(int64_t aMillis)
{
  return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
}

class SoakCheckerTest : public ::testing::Test
{
protected:
  static constexpr Millis kDeadline{ 1500 };

  static CheckerSettings Settings()
  {
    CheckerSettings settings;
    settings.limitedOrganisation = "market";
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
    call.previousTurn = aPrevious;
    call.expectedBody = "body";
    call.sentAt = At(aAt);
    call.deadline = kDeadline;
    this->checker.OnCallSent(call);
  }

  void Run(const std::string& aId, int64_t aAt = 0)
  {
    this->checker.OnCallExecuted(Executed(aId, aAt));
    this->checker.OnResponseProduced(Produced(aId));
  }

  static std::string DigestFor(const std::string& aId)
  {
    return "engine-1." + aId;
  }

  // The response of the endpoint to a call.
  static ProducedResponse Produced(const std::string& aId)
  {
    return { aId, DigestFor(aId), 200, "made for " + aId };
  }

  // The same as a client should receive it.
  static ReceivedResponse Received(const std::string& aId)
  {
    const ProducedResponse produced = Produced(aId);
    return { aId, produced.status, true, produced.digest, produced.body };
  }

  // A gateway's own failure.
  static ReceivedResponse Refused(const std::string& aId, int aStatus)
  {
    return { aId, aStatus, true, "", "" };
  }

  static ExecutedCall Executed(const std::string& aId, int64_t aAt = 0)
  {
    return { aId, "engine-1", "market", "body", kDeadline, At(aAt) };
  }

  // The violated invariant if there is exactly one violation, else their
  // number.
  std::string ViolatedInvariant() const
  {
    const auto verdict = this->checker.Violations();
    if (verdict.size() != 1) {
      return std::to_string(verdict.size()) + " violations";
    }
    return verdict[0].substr(0, verdict[0].find(':'));
  }

  SoakChecker checker{ Settings() };
};

TEST_F(SoakCheckerTest, ReportsNothingWithoutViolations)
{
  this->checker.SetBudget("p", 100, 20);
  this->Send("t-1", CallType::kTurn);
  this->Run("t-1");
  this->checker.OnTokensReceived("p", 20);
  this->checker.OnResponseReceived(Received("t-1"));
  this->Send("t-2", CallType::kTurn, "t-1");
  this->checker.OnResponseReceived(Refused("t-2", 503));
  this->Send("l-1", CallType::kLookup);
  this->Run("l-1");
  this->Run("l-1");
  this->checker.OnResponseReceived(Refused("l-1", 503));
  EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
}

TEST_F(SoakCheckerTest, ReportsCallExecutedTwice)
{
  this->Send("c-1", CallType::kCharge);
  this->Run("c-1");
  this->Run("c-1");
  EXPECT_EQ(this->ViolatedInvariant(), "duplicate_execution");
}

TEST_F(SoakCheckerTest, ReportsExecutionAfterRefusal)
{
  this->Send("c-1", CallType::kCharge);
  this->checker.OnResponseReceived(Refused("c-1", 503));
  this->Run("c-1", 3000);
  EXPECT_EQ(this->ViolatedInvariant(), "executed_after_refusal");
}

TEST_F(SoakCheckerTest, ReportsResponseOfAnotherCall)
{
  this->Send("c-1", CallType::kCharge);
  this->Run("c-1");
  ReceivedResponse foreign = Received("c-1");
  foreign.body = "made for c-2";
  EXPECT_FALSE(this->checker.OnResponseReceived(foreign));
  EXPECT_EQ(this->ViolatedInvariant(), "wrong_response");
}

// A cut head once passed for a success with status 0.
TEST_F(SoakCheckerTest, ReportsBytesThatAreNoHttpResponse)
{
  const std::vector<std::string> responses = {
    "HTTP/1.1 0 OK\r\n\r\n",
    "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "HTTP/1.1 600 X\r\n\r\n",
    "HTTP/1.1 2000 X\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
    "made for c-1",
  };
  this->Send("c-1", CallType::kCharge);
  for (const std::string& response : responses) {
    SCOPED_TRACE(response);
    SoakChecker other(Settings());
    EXPECT_FALSE(other.OnBytesReceived("c-1", response));
    EXPECT_EQ(other.Violations().size(), 1U);
  }
  this->checker.OnBytesReceived("c-1", responses[0]);
  EXPECT_EQ(this->ViolatedInvariant(), "wrong_response");
}

TEST_F(SoakCheckerTest, AcceptsEachBeginningOfOwnResponse)
{
  const std::string response = "HTTP/1.1 503 X\r\nX-Request-Id: c-1\r\n"
                               "Content-Length: 4\r\n\r\nbusy";
  this->Send("c-1", CallType::kCharge);
  for (size_t length = 0; length <= response.size(); ++length) {
    this->checker.OnBytesReceived("c-1", response.substr(0, length));
  }
  EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
}

TEST_F(SoakCheckerTest, ReportsStatusThatNoResponseHas)
{
  this->Send("c-1", CallType::kCharge);
  EXPECT_FALSE(this->checker.OnResponseReceived(Refused("c-1", 0)));
  EXPECT_EQ(this->ViolatedInvariant(), "wrong_response");
  EXPECT_FALSE(this->checker.OnResponseReceived(Refused("c-1", 600)));
  EXPECT_EQ(this->ViolatedInvariant(), "2 violations");
}

TEST_F(SoakCheckerTest, ReportsEachSuccessStatusWithForeignBody)
{
  ProducedResponse created = Produced("c-1");
  created.status = 201;
  this->Send("c-1", CallType::kCharge);
  this->checker.OnResponseProduced(created);
  ReceivedResponse received = Received("c-1");
  received.status = 201;
  EXPECT_TRUE(this->checker.OnResponseReceived(received));
  received.body = "made for c-2";
  EXPECT_FALSE(this->checker.OnResponseReceived(received));
  EXPECT_EQ(this->ViolatedInvariant(), "wrong_response");
}

// Guards against a second response of a connection that is handed to the next
// call of it, under that call's id.
TEST_F(SoakCheckerTest, ReportsResponseThatAnotherCallWasGiven)
{
  this->Send("c-1", CallType::kCharge);
  this->Run("c-1");
  this->Send("c-2", CallType::kCharge);
  this->Run("c-2");
  {
    SCOPED_TRACE("each its own");
    EXPECT_TRUE(this->checker.OnResponseReceived(Received("c-1")));
    EXPECT_TRUE(this->checker.OnResponseReceived(Received("c-2")));
    EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  }
  ReceivedResponse foreign = Received("c-1");
  foreign.id = "c-2";
  EXPECT_FALSE(this->checker.OnResponseReceived(foreign));
  EXPECT_EQ(this->ViolatedInvariant(), "wrong_response");
}

// Guards against a success that no endpoint vouches for.
TEST_F(SoakCheckerTest, ReportsSuccessWithoutADigestOrWithOneThatNobodyGave)
{
  this->Send("c-1", CallType::kCharge);
  this->Run("c-1");
  {
    SCOPED_TRACE("one that breaks off may end before its digest");
    ReceivedResponse cut = Received("c-1");
    cut.complete = false;
    cut.digest.clear();
    EXPECT_TRUE(this->checker.OnResponseReceived(cut));
    EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  }
  ReceivedResponse unsealed = Received("c-1");
  unsealed.digest.clear();
  EXPECT_FALSE(this->checker.OnResponseReceived(unsealed));
  EXPECT_EQ(this->ViolatedInvariant(), "wrong_response");
  ReceivedResponse invented = Received("c-1");
  invented.digest = "engine-1.c-9";
  EXPECT_FALSE(this->checker.OnResponseReceived(invented));
  invented.complete = false;
  EXPECT_FALSE(this->checker.OnResponseReceived(invented));
  EXPECT_EQ(this->ViolatedInvariant(), "3 violations");
}

// Guards against a success with a status that its endpoint did not give.
TEST_F(SoakCheckerTest, ReportsSuccessWithAnotherStatusThanItsDigest)
{
  this->Send("c-1", CallType::kCharge);
  this->Run("c-1");
  ReceivedResponse created = Received("c-1");
  created.status = 201;
  EXPECT_FALSE(this->checker.OnResponseReceived(created));
  EXPECT_EQ(this->ViolatedInvariant(), "wrong_response");
}

// Guards against a success where the endpoint had answered with a failure.
TEST_F(SoakCheckerTest, ReportsSuccessWhereTheEndpointFailed)
{
  const ProducedResponse failed{ "c-1", DigestFor("c-1"), 500, "failed" };
  this->Send("c-1", CallType::kCharge);
  this->checker.OnResponseProduced(failed);
  {
    SCOPED_TRACE("the failure itself");
    EXPECT_TRUE(this->checker.OnResponseReceived(
      { "c-1", 500, true, failed.digest, failed.body }));
    EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  }
  EXPECT_FALSE(this->checker.OnResponseReceived(
    { "c-1", 200, true, failed.digest, failed.body }));
  EXPECT_EQ(this->ViolatedInvariant(), "wrong_response");
}

// Guards against a body of one attempt under the digest of another.
TEST_F(SoakCheckerTest, ReportsBodyThatWasGivenUnderAnotherDigest)
{
  const ProducedResponse first{ "l-1", "tools-1.1", 200, "one" };
  const ProducedResponse second{ "l-1", "tools-2.2", 200, "two" };
  this->Send("l-1", CallType::kLookup);
  this->checker.OnResponseProduced(first);
  this->checker.OnResponseProduced(second);
  {
    SCOPED_TRACE("the response of either attempt");
    EXPECT_TRUE(this->checker.OnResponseReceived(
      { "l-1", 200, true, "tools-1.1", "one" }));
    EXPECT_TRUE(this->checker.OnResponseReceived(
      { "l-1", 200, true, "tools-2.2", "two" }));
    EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  }
  EXPECT_FALSE(
    this->checker.OnResponseReceived({ "l-1", 200, true, "tools-1.1", "two" }));
  EXPECT_EQ(this->ViolatedInvariant(), "wrong_response");
}

// Guards against a body that lacks its end, or goes on into a second response,
// and looks complete.
TEST_F(SoakCheckerTest, ReportsBodyThatIsNotWhole)
{
  const std::string whole = Produced("c-1").body;
  this->Send("c-1", CallType::kCharge);
  this->Run("c-1");
  {
    SCOPED_TRACE("one that is seen to break off");
    for (size_t length = 0; length <= whole.size(); ++length) {
      ReceivedResponse part = Received("c-1");
      part.complete = false;
      part.body.resize(length);
      EXPECT_TRUE(this->checker.OnResponseReceived(part));
    }
    EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  }
  ReceivedResponse ended = Received("c-1");
  for (size_t length = 0; length < whole.size(); ++length) {
    ended.body = whole.substr(0, length);
    EXPECT_FALSE(this->checker.OnResponseReceived(ended));
  }
  ended.body = whole + "HTTP/1.1 200 X\r\n";
  EXPECT_FALSE(this->checker.OnResponseReceived(ended));
  EXPECT_EQ(this->checker.Violations().size(), whole.size() + 1);
}

// Guards against a failure that bears an endpoint's digest and not its status.
TEST_F(SoakCheckerTest, ReportsFailureWithAnotherStatusThanItsDigest)
{
  const ProducedResponse failed{ "c-1", DigestFor("c-1"), 500, "failed" };
  this->Send("c-1", CallType::kCharge);
  this->checker.OnResponseProduced(failed);
  {
    SCOPED_TRACE("a gateway's own failure bears no digest");
    EXPECT_TRUE(this->checker.OnResponseReceived(Refused("c-1", 502)));
    EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  }
  const ReceivedResponse altered{ "c-1", 502, true, failed.digest, "failed" };
  EXPECT_FALSE(this->checker.OnResponseReceived(altered));
  EXPECT_EQ(this->ViolatedInvariant(), "wrong_response");
  {
    SCOPED_TRACE("nor does it count whether the body has come");
    ReceivedResponse cut = altered;
    cut.complete = false;
    EXPECT_FALSE(this->checker.OnResponseReceived(cut));
    EXPECT_EQ(this->ViolatedInvariant(), "2 violations");
  }
  {
    SCOPED_TRACE("a digest that a success had");
    this->Send("c-2", CallType::kCharge);
    this->Run("c-2");
    ReceivedResponse success = Received("c-2");
    success.status = 502;
    EXPECT_FALSE(this->checker.OnResponseReceived(success));
    EXPECT_EQ(this->ViolatedInvariant(), "3 violations");
  }
}

TEST_F(SoakCheckerTest, ReportsIdOfAnotherCallWhateverTheStatus)
{
  this->Send("c-1", CallType::kCharge);
  this->checker.OnBytesReceived("c-1",
                                "HTTP/1.1 503 X\r\nX-Request-Id: c-2\r\n"
                                "Content-Length: 0\r\n\r\n");
  EXPECT_EQ(this->ViolatedInvariant(), "wrong_response");
}

TEST_F(SoakCheckerTest, ReportsBytesAfterResponse)
{
  const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  this->Send("c-1", CallType::kCharge);
  EXPECT_FALSE(this->checker.OnBytesReceived(
    "c-1", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone" + second));
  EXPECT_EQ(this->ViolatedInvariant(), "wrong_response");
  EXPECT_FALSE(this->checker.OnBytesReceived(
    "c-1",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4\r\ndone\r\n0\r\n\r\n" +
      second));
  EXPECT_EQ(this->ViolatedInvariant(), "2 violations");
  this->checker.OnBytesWithoutCall("p", second);
  EXPECT_EQ(this->ViolatedInvariant(), "3 violations");
}

TEST_F(SoakCheckerTest, ReportsAlteredBodyAndUnknownCall)
{
  this->Send("t-1", CallType::kTurn);
  ExecutedCall executed = Executed("t-1");
  executed.body = "another body";
  this->checker.OnCallExecuted(executed);
  EXPECT_EQ(this->ViolatedInvariant(), "wrong_request");
  this->checker.OnCallExecuted(Executed("t-9"));
  EXPECT_EQ(this->ViolatedInvariant(), "2 violations");
}

TEST_F(SoakCheckerTest, ReportsExecutionForAnotherOrganisation)
{
  this->Send("t-1", CallType::kTurn);
  ExecutedCall executed = Executed("t-1");
  executed.organisation = "club";
  this->checker.OnCallExecuted(executed);
  EXPECT_EQ(this->ViolatedInvariant(), "wrong_request");
}

TEST_F(SoakCheckerTest, ReportsLostTurn)
{
  this->Send("t-1", CallType::kTurn);
  this->Run("t-1");
  this->checker.OnResponseReceived(Received("t-1"));
  this->Send("t-2", CallType::kTurn, "t-1");
  this->checker.OnResponseReceived(Refused("t-2", 404));
  EXPECT_EQ(this->ViolatedInvariant(), "lost_turn");
}

TEST_F(SoakCheckerTest, ReportsOverdrawnBudget)
{
  this->checker.SetBudget("p", 100, 20);
  this->checker.OnTokensReceived("p", 120);
  EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  this->checker.OnTokensReceived("p", 10);
  EXPECT_EQ(this->ViolatedInvariant(), "budget");
}

TEST_F(SoakCheckerTest, ReportsKeyAcceptedAfterFreshness)
{
  this->checker.OnKeyWithdrawn("key-1", At(1000));
  this->Send("l-1", CallType::kLookup, "", 2900);
  this->Run("l-1", 2950);
  EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  this->Send("l-2", CallType::kLookup, "", 3100);
  this->Run("l-2", 3150);
  EXPECT_EQ(this->ViolatedInvariant(), "withdrawn_key");
}

TEST_F(SoakCheckerTest, ReportsExceededQuota)
{
  constexpr int kBound = 152;
  for (int i = 0; i < kBound; ++i) {
    this->Send("l-" + std::to_string(i), CallType::kLookup);
    this->Run("l-" + std::to_string(i), i * 30);
  }
  EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  this->Send("l-x", CallType::kLookup);
  this->Run("l-x", kBound * 30);
  EXPECT_EQ(this->ViolatedInvariant(), "quota");
}

TEST_F(SoakCheckerTest, ReportsMoreRequestsThanTheRateThatAnEndpointNames)
{
  // 1.5 x 2 x 4 + 5 requests in a window.
  constexpr int kBound = 17;
  for (int64_t at = 0; at <= 9000; at += 100) {
    this->checker.OnRateNamed("e-1", 2, At(at));
  }
  {
    SCOPED_TRACE("as it begins, the calls under way are excused");
    for (int i = 0; i < 100; ++i) {
      this->checker.OnRequestArrived("e-1", At(i * 29));
    }
    EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  }
  {
    SCOPED_TRACE("then the bound holds");
    for (int i = 0; i < kBound; ++i) {
      this->checker.OnRequestArrived("e-1", At(4000 + i * 100));
    }
    EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
    this->checker.OnRequestArrived("e-1", At(7900));
    EXPECT_EQ(this->ViolatedInvariant(), "rate_limit");
  }
}

// Guards against a host that goes on sending to a zone that an operator
// empties.
TEST_F(SoakCheckerTest, ReportsRequestsToAnEvacuatedZone)
{
  this->checker.OnEndpointAdded("a-1", "zone-a");
  this->checker.OnEndpointAdded("b-1", "zone-b");
  this->checker.OnZoneEvacuated("zone-a", At(1000));
  {
    SCOPED_TRACE("before the record, within the limit, and elsewhere");
    this->checker.OnRequestArrived("a-1", At(900));
    this->checker.OnRequestArrived("a-1", At(6000));
    this->checker.OnRequestArrived("b-1", At(9000));
    EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  }
  this->checker.OnRequestArrived("a-1", At(6001));
  EXPECT_EQ(this->ViolatedInvariant(), "evacuated_zone");
}

TEST_F(SoakCheckerTest, AllowsRequestsOnceAnEvacuationHasEnded)
{
  this->checker.OnEndpointAdded("a-1", "zone-a");
  this->checker.OnZoneEvacuated("zone-a", At(1000));
  this->checker.OnEvacuationEnded("zone-a", At(8000));
  this->checker.OnRequestArrived("a-1", At(8000));
  this->checker.OnZoneEvacuated("zone-a", At(10000));
  this->checker.OnRequestArrived("a-1", At(15000));
  EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  this->checker.OnRequestArrived("a-1", At(15001));
  EXPECT_EQ(this->ViolatedInvariant(), "evacuated_zone");
}

// Guards against requests that are sent to more endpoints than the route
// allows.
TEST_F(SoakCheckerTest, ReportsRequestsThatTooManyEndpointsExecuted)
{
  const auto runAtThree = [this](const std::string& aId) {
    this->Send(aId, CallType::kLookup);
    for (const char* endpoint : { "tools-1", "tools-2", "tools-3" }) {
      ExecutedCall executed = Executed(aId);
      executed.endpoint = endpoint;
      this->checker.OnCallExecuted(executed);
    }
  };
  for (const char* id : { "l-1", "l-2", "l-3" }) {
    runAtThree(id);
  }
  {
    SCOPED_TRACE("three are tolerated");
    EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  }
  runAtThree("l-4");
  EXPECT_EQ(this->ViolatedInvariant(), "attempts");
  {
    SCOPED_TRACE("an endpoint that was cut off meanwhile does not count");
    this->checker.OnEndpointCutOff("tools-2", At(100));
    this->checker.OnEndpointRestored("tools-2", At(200));
    EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  }
}

// Guards against endpoints that are told of more time than the client has left.
TEST_F(SoakCheckerTest, ReportsTimeLimitsThatAreTooLong)
{
  const auto execute = [this](std::optional<Millis> aDeadline, int64_t aAt) {
    for (int i = 0; i < 21; ++i) {
      const std::string id = "l-" + std::to_string(i);
      ExecutedCall executed = Executed(id, aAt);
      executed.deadline = aDeadline;
      this->checker.OnCallExecuted(executed);
    }
  };
  for (int i = 0; i < 21; ++i) {
    this->Send("l-" + std::to_string(i), CallType::kLookup);
  }
  execute(kDeadline, 0);
  execute(kDeadline - Millis(800), 800);
  EXPECT_EQ(this->ViolatedInvariant(), "0 violations");
  {
    SCOPED_TRACE("sent once more later, with the time limit of the first");
    execute(kDeadline, 800);
    EXPECT_EQ(this->ViolatedInvariant(), "deadline");
  }
}

TEST_F(SoakCheckerTest, ReportsRequestsWithoutTimeLimit)
{
  for (int i = 0; i < 21; ++i) {
    const std::string id = "l-" + std::to_string(i);
    this->Send(id, CallType::kLookup);
    ExecutedCall executed = Executed(id);
    executed.deadline = std::nullopt;
    this->checker.OnCallExecuted(executed);
  }
  EXPECT_EQ(this->ViolatedInvariant(), "deadline");
}

} // namespace
} // namespace tanagerseam::soak
