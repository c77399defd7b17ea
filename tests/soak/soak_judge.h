// Records what clients and endpoints of a soak test observe and checks it
// against the gateways' guarantees.
//
// Usage:
//
//   SoakChecker checker(settings);
//   checker.OnCallSent(call);             // by a client, before it sends
//   checker.OnCallExecuted(executed);                     // by an endpoint
//   checker.OnResponseProduced({ "a-1", digest, 200, text });   // by an
//   endpoint checker.OnBytesReceived("a-1", bytes);                      // by
//   a client checker.OnResponseReceived(received);                       // by
//   a client for (const std::string& violation : checker.Violations()) { ... }
//
// Invariants, by the name that starts a violation's text:
// - duplicate_execution: a call that is not idempotent is executed at most
//   once.
// - executed_after_refusal: such a call is never executed if its response was
//   402, 408, 421, 429 or 503.
// - wrong_response: a client receives HTTP responses with a status from 200 to
//   599 and with no other call's id, and nothing between them. A complete
//   success bears a digest. A digest is one that an endpoint gave to that call,
//   with the same status; a complete success has the whole body given under
//   it. The gateways' own failures bear none.
// - wrong_request: an endpoint receives the history of a turn and its new
//   input, or the body as it was sent, under the organisation of the key.
// - lost_turn: no 404 for a turn whose previous turn was completed.
// - budget: the turns of a program return at most its budget and one turn's
//   maximum.
// - attempts: at most kToleratedRequests requests are executed by more
//   endpoints, in one attempt of a client, than the route allows. Endpoints
//   that were cut off meanwhile do not count.
// - deadline: endpoints are told of no more time than the client has left; see
//   IsDeadlineTooLong.
// - withdrawn_key: a call sent later than keyFreshness after its key was
//   withdrawn is not executed.
// - quota: executions for the rate-limited organisation in any window are at
//   most (rate x window + burst) x (1 + overageFraction) +
//   toleranceExecutions.
// - rate_limit: from kRateAdaptation after an endpoint first named a rate, and
//   while it names it, it gets in any kRateWindow at most kRateFactor times as
//   many requests as that allows, and kRateTolerance more.
// - evacuated_zone: no request reaches an endpoint of a zone later than
//   kEvacuationLimit after the record of its evacuation, until that is deleted.
//
// All calls are kept until the end: a soak of one minute sends about 10,000.
#ifndef TANAGERSEAM_TESTS_SOAK_SOAK_JUDGE_H_
#define TANAGERSEAM_TESTS_SOAK_SOAK_JUDGE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam::soak {

enum class CallType
{
  kTurn,
  kLookup,
  kCharge,
};

std::string_view
NameOf(CallType aType);

// One attempt of a client to make a call.
struct SentCall
{
  std::string id;
  CallType type = CallType::kLookup;
  std::string organisation;
  std::string key;
  std::string program;
  // Id of the turn that this one continues; empty for the first.
  std::string previousTurn;
  // The body that an endpoint should receive.
  std::string expectedBody;
  TimePoint sentAt{};
  // How long the client waits.
  Millis deadline{ 0 };
};

// A request that an endpoint began to execute.
struct ExecutedCall
{
  std::string id;
  std::string endpoint;
  // The organisation that the request named.
  std::string organisation;
  std::string body;
  // The time limit that the request named, if any.
  std::optional<Millis> deadline;
  TimePoint at{};
};

// A response that an endpoint produced for a call, whatever becomes of its
// bytes.
struct ProducedResponse
{
  std::string id;
  // No other response of the soak has this one.
  std::string digest;
  int status = 200;
  std::string body;
};

// A response as a client received it.
struct ReceivedResponse
{
  // Of the call that it was received for.
  std::string id;
  int status = 0;
  // Its framing says that it has ended.
  bool complete = false;
  // Empty without one, and while the head has not ended.
  std::string digest;
  // Without its framing.
  std::string body;
  // All bytes, for the report of a violation.
  std::string bytes;
};

// The most endpoints that one attempt of a client may be sent to.
size_t
MaxEndpoints(CallType aType);

struct CheckerSettings
{
  Millis keyFreshness{ 2000 };
  // The organisation that has a quota; rate and burst are those of its quota.
  std::string limitedOrganisation;
  double ratePerSecond = 0;
  double burst = 0;
  Millis quotaWindow{ 5000 };
  double overageFraction = 0.1;
  double toleranceExecutions = 20;
};

class SoakChecker
{
public:
  static constexpr Millis kRateAdaptation{ 3000 };
  static constexpr Millis kRateWindow{ 4000 };
  static constexpr double kRateFactor = 1.5;
  static constexpr double kRateTolerance = 5;
  // The operators' bound: 5 s after the store has acknowledged the record.
  static constexpr Millis kEvacuationLimit{ 5000 };
  // Requests that may go to more endpoints than allowed, or name too much time.
  static constexpr size_t kToleratedRequests = 3;
  static constexpr size_t kToleratedDeadlines = 20;
  // The fraction of requests that may name too much time, if there are more.
  static constexpr double kToleratedDeadlineFraction = 0.2;
  // How much longer a time limit may be than what the client has left.
  static constexpr Millis kDeadlineSlack{ 500 };

  explicit SoakChecker(CheckerSettings aSettings);

  void OnCallSent(SentCall aCall);
  void OnKeyWithdrawn(const std::string& aKey, TimePoint aAt);
  void OnCallExecuted(const ExecutedCall& aExecuted);
  // The endpoint can't be reached as before, from now until it is restored.
  void OnEndpointCutOff(const std::string& aEndpoint, TimePoint aAt);
  void OnEndpointRestored(const std::string& aEndpoint, TimePoint aAt);
  // A request arrived at an endpoint, which may refuse it.
  void OnRequestArrived(const std::string& aEndpoint, TimePoint aAt);
  // An endpoint that OnRequestArrived names, and where it lies.
  void OnEndpointAdded(const std::string& aEndpoint, const std::string& aZone);
  // The record of an evacuation was acknowledged.
  void OnZoneEvacuated(const std::string& aZone, TimePoint aAt);
  // The record is about to be deleted.
  void OnEvacuationEnded(const std::string& aZone, TimePoint aAt);
  // An endpoint named its rate in a response.
  void OnRateNamed(const std::string& aEndpoint,
                   double aCallsPerSecond,
                   TimePoint aAt);
  void OnResponseProduced(ProducedResponse aResponse);
  // aBytes are what a client received for the call, complete or not, as they
  // came. False if they are not the call's own.
  bool OnBytesReceived(const std::string& aId, const std::string& aBytes);
  // aBytes arrived on the connection of aProgram while no call was under way.
  void OnBytesWithoutCall(const std::string& aProgram,
                          const std::string& aBytes);
  // False if the response is not the call's own.
  bool OnResponseReceived(const ReceivedResponse& aResponse);
  // aTokens is the tokens in the events that the client received for a turn.
  void OnTokensReceived(const std::string& aProgram, int64_t aTokens);
  void SetBudget(const std::string& aProgram,
                 int64_t aTokens,
                 int64_t aMaxTurnTokens);
  // Adds a violation found outside this class, such as a crash.
  void ReportViolation(const std::string& aViolation);

  // All violations, each with the call or program concerned.
  std::vector<std::string> Violations() const;
  size_t Calls() const { return this->calls.size(); }
  size_t CompleteResponses() const { return this->completeResponses; }

private:
  struct CallRecord
  {
    SentCall call;
    std::vector<ExecutedCall> executions;
    std::vector<ProducedResponse> produced;
    int status = 0;
    bool complete = false;
  };
  struct TimeSpan
  {
    TimePoint from{};
    TimePoint to = TimePoint::max();
  };
  // The time in which an endpoint named one rate.
  struct RateSpell
  {
    double callsPerSecond = 0;
    TimePoint firstAt{};
    TimePoint lastAt{};
  };
  struct EndpointRecord
  {
    std::string zone;
    std::vector<TimePoint> requestsAt;
    std::vector<RateSpell> spells;
    std::vector<TimeSpan> cutOff;
  };
  struct ProgramTokens
  {
    int64_t budgetTokens = 0;
    int64_t maxTurnTokens = 0;
    int64_t receivedTokens = 0;
  };

  void AddViolation(const char* aInvariant,
                    const CallRecord& aRecord,
                    std::string aDetail);
  void CheckPreviousTurn(const CallRecord& aRecord);
  void CheckExecutions(std::vector<std::string>& aViolations) const;
  void CheckBudgets(std::vector<std::string>& aViolations) const;
  void CheckQuota(std::vector<std::string>& aViolations) const;
  void CheckRates(std::vector<std::string>& aViolations) const;
  void CheckEvacuations(std::vector<std::string>& aViolations) const;
  void CheckAttempts(std::vector<std::string>& aViolations) const;
  void CheckDeadlines(std::vector<std::string>& aViolations) const;
  // The endpoints that executed the call and were not cut off while the client
  // waited.
  std::set<std::string> SoundEndpoints(const CallRecord& aRecord) const;
  // True if the request names no time limit, or one that is longer than the
  // client's, or, repeated later than kDeadlineSlack after the first, one that
  // ends later than the first's and the client's; each by kDeadlineSlack.
  static bool IsDeadlineTooLong(const CallRecord& aRecord,
                                const ExecutedCall& aExecuted);

  CheckerSettings settings;
  std::unordered_map<std::string, CallRecord> calls;
  std::unordered_map<std::string, TimePoint> withdrawnAt;
  std::map<std::string, ProgramTokens> programs;
  std::map<std::string, EndpointRecord> endpoints;
  // By zone, oldest first.
  std::map<std::string, std::vector<TimeSpan>> evacuations;
  std::vector<TimePoint> limitedExecutions;
  std::vector<std::string> violations;
  size_t completeResponses = 0;
};

} // namespace tanagerseam::soak

#endif // TANAGERSEAM_TESTS_SOAK_SOAK_JUDGE_H_
