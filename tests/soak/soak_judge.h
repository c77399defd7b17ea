// What clients and endpoints of a soak saw, and which promises that breaks.
//
//   SoakJudge judge(settings);
//   judge.Sent(call);                     // by a client, before it sends
//   judge.Ran("a-1", body, now);          // by an endpoint that begins to work
//   judge.Answered("a-1", 200, true, text, now);
//   for (const std::string& broken : judge.Verdict()) { ... }
//
// Promises:
//  - twice:    a call that may not be repeated runs once at most;
//  - refused:  what was answered 402, 408, 421, 429 or 503 never runs;
//  - mixed:    a whole success is what an endpoint made for that very call;
//  - unasked:  an endpoint gets the chain of a turn and its new input, or the
//              body as it was sent, under the organisation of the key;
//  - lost:     a turn that was answered whole is never said not to exist;
//  - budget:   the turns of a program hand out its budget and one turn at most;
//  - revoked:  a key is not honoured longer than its freshness;
//  - quota:    runs of an organisation in any window stay in the users' bound.
//
// Everything is kept until the end: a soak of a minute sends some 10,000 calls.
#ifndef TANAGERSEAM_TESTS_SOAK_SOAK_JUDGE_H_
#define TANAGERSEAM_TESTS_SOAK_SOAK_JUDGE_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam::soak {

enum class CallType
{
  kTurn,
  kLook,
  kCharge,
};

std::string_view
NameOf(CallType aType);

// One attempt of a client.
struct SentCall
{
  std::string id;
  CallType type = CallType::kLook;
  std::string organisation;
  std::string key;
  std::string program;
  // The turn that it goes on from.
  std::string previous;
  // What an endpoint is to receive.
  std::string expectedBody;
  TimePoint sentAt{};
};

struct JudgeSettings
{
  Millis keyFreshness{ 2000 };
  // Of the organisation named `limited`.
  std::string limited;
  double ratePerSecond = 0;
  double burst = 0;
  Millis window{ 5000 };
  double overage = 0.1;
  double tolerance = 20;
};

class SoakJudge
{
public:
  explicit SoakJudge(JudgeSettings aSettings);

  void Sent(SentCall aCall);
  void Withdrawn(const std::string& aKey, TimePoint aAt);
  // aOrganisation is what the endpoint was told.
  void Ran(const std::string& aId,
           const std::string& aOrganisation,
           const std::string& aBody,
           TimePoint aAt);
  // What the endpoint made for the call.
  void Made(const std::string& aId, const std::string& aText);
  void Answered(const std::string& aId,
                int aStatus,
                bool aWhole,
                const std::string& aText);
  // Events of a turn that reached the client.
  void HandedOut(const std::string& aProgram, int64_t aTokens);
  void Budget(const std::string& aProgram, int64_t aTokens, int64_t aTurnMost);
  // Something that the fleet itself did wrong.
  void Report(const std::string& aBroken);

  // Every promise that was broken, with the call.
  std::vector<std::string> Verdict() const;
  size_t Calls() const { return this->calls.size(); }
  size_t WholeAnswers() const { return this->wholeAnswers; }

private:
  struct Record
  {
    SentCall call;
    std::vector<TimePoint> ranAt;
    std::vector<std::string> made;
    int status = 0;
    bool whole = false;
  };
  struct Spending
  {
    int64_t budget = 0;
    int64_t turnMost = 0;
    int64_t handedOut = 0;
  };

  void Add(const char* aPromise, const Record& aRecord, std::string aDetail);
  void CheckRuns(std::vector<std::string>& aBroken) const;
  void CheckBudgets(std::vector<std::string>& aBroken) const;
  void CheckQuota(std::vector<std::string>& aBroken) const;

  JudgeSettings settings;
  std::unordered_map<std::string, Record> calls;
  std::unordered_map<std::string, TimePoint> withdrawnAt;
  std::map<std::string, Spending> programs;
  std::vector<TimePoint> limitedRuns;
  std::vector<std::string> broken;
  size_t wholeAnswers = 0;
};

} // namespace tanagerseam::soak

#endif // TANAGERSEAM_TESTS_SOAK_SOAK_JUDGE_H_
